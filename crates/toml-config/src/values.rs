//! Typed values of a table, with their units, ranges and defaults.

use toml::Spanned;
use toml::de::DeValue;

use crate::table::{Place, Table};
use crate::units::{self, Unit};

impl Table<'_> {
    /// A time in microseconds, written as `"300ms"`.
    pub fn time(&self, key: &str, default: Option<u64>) -> u64 {
        self.with_unit::<units::Time>(key, default)
    }

    /// A rate in events per second, written as `"110/s"`.
    pub fn rate(&self, key: &str, default: Option<f64>) -> f64 {
        self.with_unit::<units::Rate>(key, default)
    }

    /// A size in bytes, written as `"64KiB"`.
    pub fn size(&self, key: &str, default: Option<u64>) -> u64 {
        self.with_unit::<units::Size>(key, default)
    }

    /// A value with a unit. A missing one is a fault if there is no default.
    fn with_unit<U: Unit>(&self, key: &str, default: Option<U::Value>) -> U::Value {
        match self.value(key).map(Spanned::get_ref) {
            None => default.unwrap_or_else(|| {
                self.missing(key, U::WANTED);
                U::STAND_IN
            }),
            Some(DeValue::String(text)) => U::read(text).unwrap_or_else(|fault| {
                self.wrong(key, format!("{fault}: {text:?}"), U::WANTED);
                default.unwrap_or(U::STAND_IN)
            }),
            Some(other) => {
                self.wrong(key, format!("is a bare {}", other.type_str()), U::WANTED);
                default.unwrap_or(U::STAND_IN)
            }
        }
    }

    /// A string. A missing one is a fault if there is no default.
    pub fn text(&self, key: &str, default: Option<&str>) -> String {
        match self.value(key).map(Spanned::get_ref) {
            None => default.map(str::to_string).unwrap_or_else(|| {
                self.missing(key, "a text in quotes");
                String::new()
            }),
            Some(DeValue::String(text)) => text.to_string(),
            Some(other) => {
                self.wrong(key, format!("is a bare {}", other.type_str()), "a text in quotes");
                String::new()
            }
        }
    }

    /// A boolean.
    pub fn flag(&self, key: &str, default: bool) -> bool {
        match self.value(key).map(Spanned::get_ref) {
            None => default,
            Some(DeValue::Boolean(flag)) => *flag,
            Some(other) => {
                self.wrong(key, format!("is a {}", other.type_str()), "true or false, without quotes");
                default
            }
        }
    }

    /// A number within `range`, both ends included. A missing one is a fault if there is no default.
    pub fn number(&self, key: &str, range: (f64, f64), default: Option<f64>) -> f64 {
        let wanted = format!("a number from {} to {}", range.0, range.1);
        let read = match self.value(key).map(Spanned::get_ref) {
            None => {
                return default.unwrap_or_else(|| {
                    self.missing(key, &wanted);
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
                self.wrong(key, format!("{read} lies outside"), wanted);
                default.unwrap_or(range.0)
            }
            None => {
                self.wrong(key, "is no number that can be read", wanted);
                default.unwrap_or(range.0)
            }
        }
    }

    /// An integer within `range`, both ends included. A missing one is a fault if there is no default.
    pub fn count(&self, key: &str, range: (u64, u64), default: Option<u64>) -> u64 {
        let wanted = format!("a whole number from {} to {}", range.0, range.1);
        match self.value(key).map(Spanned::get_ref) {
            None => default.unwrap_or_else(|| {
                self.missing(key, &wanted);
                range.0
            }),
            Some(DeValue::Integer(number)) => {
                let read = u64::from_str_radix(number.as_str(), number.radix()).ok();
                read.filter(|read| *read >= range.0 && *read <= range.1).unwrap_or_else(|| {
                    self.wrong(key, format!("{} lies outside", number.as_str()), wanted);
                    default.unwrap_or(range.0)
                })
            }
            Some(other) => {
                self.wrong(key, format!("is a {}", other.type_str()), wanted);
                default.unwrap_or(range.0)
            }
        }
    }

    /// The meaning of one of `words`. A missing one is a fault if there is no default.
    pub fn one_of<T: Copy>(&self, key: &str, words: &[(&str, T)], default: Option<T>) -> T {
        let wanted = || {
            let quoted: Vec<String> = words.iter().map(|(word, _)| format!("{word:?}")).collect();
            format!("one of {}", quoted.join(", "))
        };
        match self.value(key).map(Spanned::get_ref) {
            None => default.unwrap_or_else(|| {
                self.missing(key, &wanted());
                words[0].1
            }),
            Some(DeValue::String(text)) => {
                let found = words.iter().find(|(word, _)| *word == text.as_ref());
                found.map(|(_, meaning)| *meaning).unwrap_or_else(|| {
                    self.wrong(key, format!("is not known: {text:?}"), wanted());
                    default.unwrap_or(words[0].1)
                })
            }
            Some(other) => {
                self.wrong(key, format!("is a {}", other.type_str()), wanted());
                default.unwrap_or(words[0].1)
            }
        }
    }

    /// An array of strings; empty if the key is missing.
    pub fn texts(&self, key: &str) -> Vec<(String, Place)> {
        let Some(value) = self.value(key) else { return Vec::new() };
        let Some(array) = value.get_ref().as_array() else {
            self.wrong(key, format!("is a {}", value.get_ref().type_str()), "an array of texts");
            return Vec::new();
        };
        let mut texts = Vec::new();
        for (number, item) in array.iter().enumerate() {
            let place = Place { span: item.span(), field: format!("{}[{number}]", self.path_of(key)) };
            match item.get_ref().as_str() {
                Some(text) => texts.push((text.to_string(), place)),
                None => self.fault(&place, format!("is a {}", item.get_ref().type_str()), "a text in quotes"),
            }
        }
        texts
    }

    /// An array of integers within `range`, both ends included. A missing one is a fault.
    pub fn numbers(&self, key: &str, range: (u64, u64)) -> Vec<u64> {
        let wanted = format!("whole numbers from {} to {}", range.0, range.1);
        let Some(value) = self.value(key) else {
            self.missing(key, &wanted);
            return Vec::new();
        };
        let Some(array) = value.get_ref().as_array() else {
            self.wrong(key, format!("is a {}", value.get_ref().type_str()), wanted);
            return Vec::new();
        };
        let mut numbers = Vec::new();
        for (at, item) in array.iter().enumerate() {
            let read = match item.get_ref() {
                DeValue::Integer(number) => u64::from_str_radix(number.as_str(), number.radix()).ok(),
                _ => None,
            };
            match read.filter(|read| (range.0..=range.1).contains(read)) {
                Some(read) => numbers.push(read),
                None => {
                    let place = Place { span: item.span(), field: format!("{}[{at}]", self.path_of(key)) };
                    self.fault(&place, "is no such number", wanted.as_str());
                }
            }
        }
        numbers
    }
}
