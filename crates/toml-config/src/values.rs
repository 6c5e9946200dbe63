//! Typed values of a table with units, ranges and defaults.

use toml::Spanned;
use toml::de::DeValue;

use crate::table::{Location, Table};
use crate::units::{self, Unit};

impl Table<'_> {
    /// A time in microseconds, written as `"300ms"`.
    pub fn duration_us(&self, key: &str, default: Option<u64>) -> u64 {
        self.with_unit::<units::Time>(key, default)
    }

    /// A rate in events per second, written as `"110/s"`.
    pub fn rate_per_s(&self, key: &str, default: Option<f64>) -> f64 {
        self.with_unit::<units::Rate>(key, default)
    }

    /// A size in bytes, written as `"64KiB"`.
    pub fn size_bytes(&self, key: &str, default: Option<u64>) -> u64 {
        self.with_unit::<units::Size>(key, default)
    }

    /// A value with a unit. Missing values are errors unless there is a default.
    fn with_unit<U: Unit>(&self, key: &str, default: Option<U::Value>) -> U::Value {
        match self.value(key).map(Spanned::get_ref) {
            None => default.unwrap_or_else(|| {
                self.report_missing(key, U::EXPECTED);
                U::PLACEHOLDER
            }),
            Some(DeValue::String(text)) => U::parse(text).unwrap_or_else(|problem| {
                self.report_invalid(key, format!("{problem}: {text:?}"), U::EXPECTED);
                default.unwrap_or(U::PLACEHOLDER)
            }),
            Some(other) => {
                self.report_invalid(key, format!("is a bare {}", other.type_str()), U::EXPECTED);
                default.unwrap_or(U::PLACEHOLDER)
            }
        }
    }

    /// A string. Missing values are errors unless there is a default.
    pub fn string(&self, key: &str, default: Option<&str>) -> String {
        match self.value(key).map(Spanned::get_ref) {
            None => default.map(str::to_string).unwrap_or_else(|| {
                self.report_missing(key, "a text in quotes");
                String::new()
            }),
            Some(DeValue::String(text)) => text.to_string(),
            Some(other) => {
                self.report_invalid(key, format!("is a bare {}", other.type_str()), "a text in quotes");
                String::new()
            }
        }
    }

    /// A boolean.
    pub fn boolean(&self, key: &str, default: bool) -> bool {
        match self.value(key).map(Spanned::get_ref) {
            None => default,
            Some(DeValue::Boolean(flag)) => *flag,
            Some(other) => {
                self.report_invalid(
                    key,
                    format!("is a {}", other.type_str()),
                    "true or false, without quotes",
                );
                default
            }
        }
    }

    /// A number within `range`, both ends included. Missing values are errors unless there is a default.
    pub fn float(&self, key: &str, range: (f64, f64), default: Option<f64>) -> f64 {
        let expected = format!("a number from {} to {}", range.0, range.1);
        let read = match self.value(key).map(Spanned::get_ref) {
            None => {
                return default.unwrap_or_else(|| {
                    self.report_missing(key, &expected);
                    range.0
                });
            }
            Some(DeValue::Float(number)) => number.as_str().replace('_', "").parse::<f64>().ok(),
            Some(DeValue::Integer(number)) if number.radix() == 10 => number.as_str().parse::<f64>().ok(),
            Some(_) => None,
        };
        match read.filter(|read| read.is_finite()) {
            Some(read) if read >= range.0 && read <= range.1 => read,
            Some(read) => {
                self.report_invalid(key, format!("{read} lies outside"), expected);
                default.unwrap_or(range.0)
            }
            None => {
                self.report_invalid(key, "is no number that can be read", expected);
                default.unwrap_or(range.0)
            }
        }
    }

    /// An integer within `range`, both ends included. Missing values are errors unless there is a default.
    pub fn integer(&self, key: &str, range: (u64, u64), default: Option<u64>) -> u64 {
        let expected = format!("a whole number from {} to {}", range.0, range.1);
        match self.value(key).map(Spanned::get_ref) {
            None => default.unwrap_or_else(|| {
                self.report_missing(key, &expected);
                range.0
            }),
            Some(DeValue::Integer(number)) => {
                let read = u64::from_str_radix(number.as_str(), number.radix()).ok();
                read.filter(|read| *read >= range.0 && *read <= range.1).unwrap_or_else(|| {
                    self.report_invalid(key, format!("{} lies outside", number.as_str()), expected);
                    default.unwrap_or(range.0)
                })
            }
            Some(other) => {
                self.report_invalid(key, format!("is a {}", other.type_str()), expected);
                default.unwrap_or(range.0)
            }
        }
    }

    /// The value that `words` assigns to the string. Missing values are errors unless there is a default.
    pub fn one_of<T: Copy>(&self, key: &str, words: &[(&str, T)], default: Option<T>) -> T {
        let expected = || {
            let quoted: Vec<String> = words.iter().map(|(word, _)| format!("{word:?}")).collect();
            format!("one of {}", quoted.join(", "))
        };
        match self.value(key).map(Spanned::get_ref) {
            None => default.unwrap_or_else(|| {
                self.report_missing(key, &expected());
                words[0].1
            }),
            Some(DeValue::String(text)) => {
                let found = words.iter().find(|(word, _)| *word == text.as_ref());
                found.map(|(_, meaning)| *meaning).unwrap_or_else(|| {
                    self.report_invalid(key, format!("is not known: {text:?}"), expected());
                    default.unwrap_or(words[0].1)
                })
            }
            Some(other) => {
                self.report_invalid(key, format!("is a {}", other.type_str()), expected());
                default.unwrap_or(words[0].1)
            }
        }
    }

    /// An array of strings; empty if the key is missing.
    pub fn strings(&self, key: &str) -> Vec<(String, Location)> {
        let Some(value) = self.value(key) else { return Vec::new() };
        let Some(array) = value.get_ref().as_array() else {
            self.report_invalid(key, format!("is a {}", value.get_ref().type_str()), "an array of texts");
            return Vec::new();
        };
        let mut texts = Vec::new();
        for (index, item) in array.iter().enumerate() {
            let location = Location { span: item.span(), field: format!("{}[{index}]", self.path_of(key)) };
            match item.get_ref().as_str() {
                Some(text) => texts.push((text.to_string(), location)),
                None => self.report_error(
                    &location,
                    format!("is a {}", item.get_ref().type_str()),
                    "a text in quotes",
                ),
            }
        }
        texts
    }

    /// An array of integers within `range`, both ends included. A missing array is an error.
    pub fn integers(&self, key: &str, range: (u64, u64)) -> Vec<u64> {
        let expected = format!("whole numbers from {} to {}", range.0, range.1);
        let Some(value) = self.value(key) else {
            self.report_missing(key, &expected);
            return Vec::new();
        };
        let Some(array) = value.get_ref().as_array() else {
            self.report_invalid(key, format!("is a {}", value.get_ref().type_str()), expected);
            return Vec::new();
        };
        let mut numbers = Vec::new();
        for (index, item) in array.iter().enumerate() {
            let read = match item.get_ref() {
                DeValue::Integer(number) => u64::from_str_radix(number.as_str(), number.radix()).ok(),
                _ => None,
            };
            match read.filter(|read| (range.0..=range.1).contains(read)) {
                Some(read) => numbers.push(read),
                None => {
                    let location =
                        Location { span: item.span(), field: format!("{}[{index}]", self.path_of(key)) };
                    self.report_error(&location, "is no such number", expected.as_str());
                }
            }
        }
        numbers
    }
}
