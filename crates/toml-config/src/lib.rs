//! TOML files that people write: every value is taken by its key with the unit it must have, and all faults
//! are told at once, each with its line, what is wrong and what would be right. A derived reader would stop
//! at the first fault, so the tables are walked instead.

#![allow(missing_docs, reason = "not every public item is documented yet")]

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::ops::Range;
use std::rc::Rc;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

pub mod units;

use units::Unit;

/// Longest file that is read.
pub const MOST_BYTES: usize = 4 * 1024 * 1024;
/// After so many faults the rest are only counted.
const MOST_FAULTS: usize = 200;

/// One thing that is wrong in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Bytes of the file that it is about.
    pub span: Range<usize>,
    /// Counted from 1, in characters.
    pub line: usize,
    pub column: usize,
    /// Where in the tables: `tier[0].servers[1].speed`.
    pub field: String,
    pub fault: String,
    /// What would be right.
    pub way_out: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "line {}:{}: ", self.line, self.column)?;
        if !self.field.is_empty() {
            write!(to, "{}: ", self.field)?;
        }
        write!(to, "{}", self.fault)?;
        if !self.way_out.is_empty() {
            write!(to, "; {}", self.way_out)?;
        }
        Ok(())
    }
}

#[derive(Default)]
struct Found {
    list: Vec<(Range<usize>, String, String, String)>,
    more: usize,
}

#[derive(Clone, Default)]
struct Finder(Rc<RefCell<Found>>);

impl Finder {
    fn add(&self, span: Range<usize>, field: &str, fault: String, way_out: String) {
        let mut found = self.0.borrow_mut();
        if found.list.len() < MOST_FAULTS {
            found.list.push((span, field.to_string(), fault, way_out));
        } else {
            found.more += 1;
        }
    }
}

/// Where a value stands in its file, for checks that look at several values together.
#[derive(Clone, Debug, Default)]
pub struct Place {
    pub span: Range<usize>,
    pub field: String,
}

/// One table of the file. Keys that nobody has asked for when it is dropped are faults.
pub struct Table<'a> {
    table: Option<&'a DeTable<'a>>,
    span: Range<usize>,
    path: String,
    known: RefCell<BTreeSet<String>>,
    finder: Finder,
}

/// Reads the text through `take`, which gets its outermost table. All faults, in the order of their lines.
pub fn read<T>(text: &str, take: impl FnOnce(&Table) -> T) -> Result<T, Vec<Fault>> {
    let finder = Finder::default();
    if text.len() > MOST_BYTES {
        let fault = format!("the file has {} bytes", text.len());
        finder.add(0..0, "", fault, format!("at most {MOST_BYTES} are read"));
        return Err(lines(text, &finder));
    }
    let (document, errors) = DeTable::parse_recoverable(text);
    for error in errors {
        finder.add(error.span().unwrap_or(0..0), "", first_line(error.message()), String::new());
    }
    // What follows a broken line is often misread, so that the keys are looked at only in a readable file.
    if !finder.0.borrow().list.is_empty() {
        return Err(lines(text, &finder));
    }
    let table = Table {
        table: Some(document.get_ref()),
        span: 0..0,
        path: String::new(),
        known: RefCell::default(),
        finder: finder.clone(),
    };
    let taken = take(&table);
    drop(table);
    let faults = lines(text, &finder);
    if faults.is_empty() { Ok(taken) } else { Err(faults) }
}

fn first_line(message: &str) -> String {
    message.lines().map(str::trim).filter(|line| !line.is_empty()).collect::<Vec<_>>().join(", ")
}

fn lines(text: &str, finder: &Finder) -> Vec<Fault> {
    let mut found = finder.0.take();
    found.list.sort_by_key(|(span, ..)| span.start);
    let starts: Vec<usize> =
        std::iter::once(0).chain(text.match_indices('\n').map(|(at, _)| at + 1)).collect();
    let place = |at: usize| {
        let mut at = at.min(text.len());
        while !text.is_char_boundary(at) {
            at -= 1;
        }
        let line = starts.partition_point(|&start| start <= at);
        (line, text[starts[line - 1]..at].chars().count() + 1)
    };
    let mut faults: Vec<Fault> = Vec::with_capacity(found.list.len());
    for (span, field, fault, way_out) in found.list {
        let (line, column) = place(span.start);
        faults.push(Fault { span, line, column, field, fault, way_out });
    }
    if let Some(last) = faults.last_mut().filter(|_| found.more > 0) {
        last.way_out.push_str(&format!(" ({} more faults are not listed)", found.more));
    }
    faults
}

impl<'a> Table<'a> {
    fn inner(&self, table: Option<&'a DeTable<'a>>, span: Range<usize>, path: String) -> Table<'a> {
        Table { table, span, path, known: RefCell::default(), finder: self.finder.clone() }
    }

    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_string() } else { format!("{}.{key}", self.path) }
    }

    fn value(&self, key: &str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.known.borrow_mut().insert(key.to_string());
        self.table.and_then(|table| table.get(key))
    }

    pub fn holds(&self, key: &str) -> bool {
        self.value(key).is_some()
    }

    /// Whether it holds no key at all.
    pub fn is_empty(&self) -> bool {
        self.table.is_none_or(|table| table.is_empty())
    }

    /// Where this table begins.
    pub fn place(&self) -> Place {
        Place { span: self.span.clone(), field: self.path.clone() }
    }

    /// Where the value of a key stands, or the table if it is not there.
    pub fn place_of(&self, key: &str) -> Place {
        let span = self.value(key).map_or(self.span.clone(), Spanned::span);
        Place { span, field: self.path_of(key) }
    }

    pub fn fault(&self, place: &Place, fault: impl Into<String>, way_out: impl Into<String>) {
        self.finder.add(place.span.clone(), &place.field, fault.into(), way_out.into());
    }

    fn wrong(&self, key: &str, fault: impl Into<String>, way_out: impl Into<String>) {
        self.fault(&self.place_of(key), fault, way_out);
    }

    /// Where there is no such key and it must be there.
    fn missing(&self, key: &str, wanted: &str) {
        if self.table.is_some() {
            let place = Place { span: self.span.clone(), field: self.path_of(key) };
            self.fault(&place, "is missing", wanted);
        }
    }

    /// A value with a unit; none is a fault where there is no default.
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

    /// Microseconds, written as `"300ms"`.
    pub fn time(&self, key: &str, default: Option<u64>) -> u64 {
        self.with_unit::<units::Time>(key, default)
    }

    /// Events a second, written as `"110/s"`.
    pub fn rate(&self, key: &str, default: Option<f64>) -> f64 {
        self.with_unit::<units::Rate>(key, default)
    }

    /// Bytes, written as `"64KiB"`.
    pub fn size(&self, key: &str, default: Option<u64>) -> u64 {
        self.with_unit::<units::Size>(key, default)
    }

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

    /// A number within `range`, both ends allowed.
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

    /// A whole number within `range`, both ends allowed.
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

    /// One of some words.
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

    /// An array of texts.
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

    /// An array of whole numbers within `range`, both ends allowed.
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

    /// A table inside this one; none where there is no such key.
    pub fn table(&self, key: &str) -> Option<Table<'a>> {
        let value = self.value(key)?;
        let Some(table) = value.get_ref().as_table() else {
            self.wrong(key, format!("is a {}", value.get_ref().type_str()), format!("a table: [{key}]"));
            return None;
        };
        Some(self.inner(Some(table), value.span(), self.path_of(key)))
    }

    /// A table whose every key has its default if it is not there.
    pub fn table_or_defaults(&self, key: &str) -> Table<'a> {
        self.table(key).unwrap_or_else(|| self.inner(None, self.span.clone(), self.path_of(key)))
    }

    /// The tables of an array.
    pub fn tables(&self, key: &str) -> Vec<Table<'a>> {
        let Some(value) = self.value(key) else { return Vec::new() };
        let Some(array) = value.get_ref().as_array() else {
            let fault = format!("is a {}", value.get_ref().type_str());
            self.wrong(key, fault, format!("an array of tables: [[{key}]]"));
            return Vec::new();
        };
        let mut tables = Vec::new();
        for (number, item) in array.iter().enumerate() {
            let path = format!("{}[{number}]", self.path_of(key));
            match item.get_ref().as_table() {
                Some(table) => tables.push(self.inner(Some(table), item.span(), path)),
                None => {
                    let place = Place { span: item.span(), field: path };
                    self.fault(&place, format!("is a {}", item.get_ref().type_str()), "a table");
                }
            }
        }
        tables
    }

    /// Every key of this table, for those whose keys are names of the user's own.
    pub fn keys(&self) -> Vec<(String, Place)> {
        let Some(table) = self.table else { return Vec::new() };
        let keys = table.keys().map(|key| {
            let name = key.get_ref().to_string();
            self.known.borrow_mut().insert(name.clone());
            let place = Place { span: key.span(), field: self.path_of(&name) };
            (name, place)
        });
        keys.collect()
    }
}

impl Drop for Table<'_> {
    fn drop(&mut self) {
        let Some(table) = self.table else { return };
        let known = self.known.borrow();
        for key in table.keys().filter(|key| !known.contains(key.get_ref().as_ref())) {
            let name = key.get_ref().as_ref();
            let near = known
                .iter()
                .map(|known| (strsim::damerau_levenshtein(known, name), known))
                .min()
                .filter(|(distance, known)| *distance <= 1 + known.len() / 4);
            let way_out = match near {
                Some((_, known)) => format!("is {known:?} meant?"),
                None if known.is_empty() => String::new(),
                None => {
                    let all: Vec<&str> = known.iter().map(String::as_str).collect();
                    format!("known here: {}", all.join(", "))
                }
            };
            self.finder.add(key.span(), &self.path_of(name), "no such key".to_string(), way_out);
        }
    }
}
