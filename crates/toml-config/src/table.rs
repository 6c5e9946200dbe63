//! Tables of a configuration file.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::ops::Range;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::error::ErrorCollector;

/// Location of a value in the file, for errors in checks across several values.
#[derive(Clone, Debug, Default)]
pub struct Location {
    /// The byte range of the value.
    pub span: Range<usize>,
    /// The path of the value, as in `tier[0].servers[1].speed`.
    pub field: String,
}

/// A table of the file. Dropping it reports an error for each key that was never looked up.
pub struct Table<'a> {
    /// `None` if the table is not in the file.
    table: Option<&'a DeTable<'a>>,
    /// The byte range of the table in the file.
    span: Range<usize>,
    /// Path from the root of the file.
    path: String,
    /// The keys that were looked up.
    known: RefCell<BTreeSet<String>>,
    /// Collects the errors of the whole file.
    errors: ErrorCollector,
}

impl<'a> Table<'a> {
    /// The root table of a file.
    pub(crate) fn root(table: &'a DeTable<'a>, errors: ErrorCollector) -> Table<'a> {
        Table { table: Some(table), span: 0..0, path: String::new(), known: RefCell::default(), errors }
    }

    /// Whether the table has this key.
    pub fn contains_key(&self, key: &str) -> bool {
        self.value(key).is_some()
    }

    /// Whether the table has no keys.
    pub fn is_empty(&self) -> bool {
        self.table.is_none_or(|table| table.is_empty())
    }

    /// Location of this table.
    pub fn location(&self) -> Location {
        Location { span: self.span.clone(), field: self.path.clone() }
    }

    /// Location of the value of a key, or of the table if the key is missing.
    pub fn location_of(&self, key: &str) -> Location {
        let span = self.value(key).map_or(self.span.clone(), Spanned::span);
        Location { span, field: self.path_of(key) }
    }

    /// Reports an error at a location.
    pub fn report_error(&self, location: &Location, message: impl Into<String>, hint: impl Into<String>) {
        self.errors.add(location.span.clone(), &location.field, message.into(), hint.into());
    }

    /// All keys of this table, marked as looked up. For tables whose keys are names chosen by the user.
    pub fn keys(&self) -> Vec<(String, Location)> {
        let Some(table) = self.table else { return Vec::new() };
        let keys = table.keys().map(|key| {
            let name = key.get_ref().to_string();
            self.known.borrow_mut().insert(name.clone());
            let location = Location { span: key.span(), field: self.path_of(&name) };
            (name, location)
        });
        keys.collect()
    }

    /// A nested table; `None` if the key is missing.
    pub fn table(&self, key: &str) -> Option<Table<'a>> {
        let value = self.value(key)?;
        let Some(table) = value.get_ref().as_table() else {
            self.report_invalid(
                key,
                format!("is a {}", value.get_ref().type_str()),
                format!("a table: [{key}]"),
            );
            return None;
        };
        Some(self.nested(Some(table), value.span(), self.path_of(key)))
    }

    /// A nested table. If the key is missing, an empty table whose required keys may be missing too.
    pub fn table_or_defaults(&self, key: &str) -> Table<'a> {
        self.table(key).unwrap_or_else(|| self.nested(None, self.span.clone(), self.path_of(key)))
    }

    /// An array of tables; empty if the key is missing.
    pub fn tables(&self, key: &str) -> Vec<Table<'a>> {
        let Some(value) = self.value(key) else { return Vec::new() };
        let Some(array) = value.get_ref().as_array() else {
            let message = format!("is a {}", value.get_ref().type_str());
            self.report_invalid(key, message, format!("an array of tables: [[{key}]]"));
            return Vec::new();
        };
        let mut tables = Vec::new();
        for (index, item) in array.iter().enumerate() {
            let path = format!("{}[{index}]", self.path_of(key));
            match item.get_ref().as_table() {
                Some(table) => tables.push(self.nested(Some(table), item.span(), path)),
                None => {
                    let location = Location { span: item.span(), field: path };
                    self.report_error(&location, format!("is a {}", item.get_ref().type_str()), "a table");
                }
            }
        }
        tables
    }

    fn nested(&self, table: Option<&'a DeTable<'a>>, span: Range<usize>, path: String) -> Table<'a> {
        Table { table, span, path, known: RefCell::default(), errors: self.errors.clone() }
    }

    /// The path of a key from the root of the file.
    pub(crate) fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_string() } else { format!("{}.{key}", self.path) }
    }

    /// The value of a key, which is marked as looked up.
    pub(crate) fn value(&self, key: &str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.known.borrow_mut().insert(key.to_string());
        self.table.and_then(|table| table.get(key))
    }

    /// Reports an error for the value of a key.
    pub(crate) fn report_invalid(&self, key: &str, message: impl Into<String>, hint: impl Into<String>) {
        self.report_error(&self.location_of(key), message, hint);
    }

    /// Reports that a required key is missing.
    pub(crate) fn report_missing(&self, key: &str, expected: &str) {
        if self.table.is_some() {
            let location = Location { span: self.span.clone(), field: self.path_of(key) };
            self.report_error(&location, "is missing", expected);
        }
    }
}

impl Drop for Table<'_> {
    fn drop(&mut self) {
        let Some(table) = self.table else { return };
        let known = self.known.borrow();
        for key in table.keys().filter(|key| !known.contains(key.get_ref().as_ref())) {
            let name = key.get_ref().as_ref();
            let nearest = known
                .iter()
                .map(|known| (strsim::damerau_levenshtein(known, name), known))
                .min()
                .filter(|(distance, known)| *distance <= 1 + known.len() / 4);
            let hint = match nearest {
                Some((_, known)) => format!("is {known:?} meant?"),
                None if known.is_empty() => String::new(),
                None => {
                    let all: Vec<&str> = known.iter().map(String::as_str).collect();
                    format!("known here: {}", all.join(", "))
                }
            };
            self.errors.add(key.span(), &self.path_of(name), "no such key".to_string(), hint);
        }
    }
}
