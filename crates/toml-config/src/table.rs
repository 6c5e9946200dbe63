//! One table of the file.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::ops::Range;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::fault::FaultCollector;

/// Where a value is in its file, for checks that compare several values.
#[derive(Clone, Debug, Default)]
pub struct Place {
    /// The bytes of the file that the value takes.
    pub span: Range<usize>,
    /// The path of the value, as in `tier[0].servers[1].speed`.
    pub field: String,
}

/// One table of the file. Keys that were not asked for when it is dropped are faults.
pub struct Table<'a> {
    /// `None`: the table is not in the file.
    table: Option<&'a DeTable<'a>>,
    /// The bytes of the file that it takes.
    span: Range<usize>,
    /// Its path from the root of the file.
    path: String,
    /// The keys that were asked for.
    known: RefCell<BTreeSet<String>>,
    /// Collects the faults of the whole file.
    faults: FaultCollector,
}

impl<'a> Table<'a> {
    /// The outermost table of a file.
    pub(crate) fn root(table: &'a DeTable<'a>, faults: FaultCollector) -> Table<'a> {
        Table { table: Some(table), span: 0..0, path: String::new(), known: RefCell::default(), faults }
    }

    /// Whether the table has this key.
    pub fn holds(&self, key: &str) -> bool {
        self.value(key).is_some()
    }

    /// Whether the table has no keys.
    pub fn is_empty(&self) -> bool {
        self.table.is_none_or(|table| table.is_empty())
    }

    /// Where this table begins.
    pub fn place(&self) -> Place {
        Place { span: self.span.clone(), field: self.path.clone() }
    }

    /// Where the value of a key is, or the table if it has no such key.
    pub fn place_of(&self, key: &str) -> Place {
        let span = self.value(key).map_or(self.span.clone(), Spanned::span);
        Place { span, field: self.path_of(key) }
    }

    /// Reports a fault at a place.
    pub fn fault(&self, place: &Place, fault: impl Into<String>, way_out: impl Into<String>) {
        self.faults.add(place.span.clone(), &place.field, fault.into(), way_out.into());
    }

    /// All keys of this table, which are known from now on: for tables whose keys are names chosen by the user.
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

    /// A table inside this one; `None` if the key is missing.
    pub fn table(&self, key: &str) -> Option<Table<'a>> {
        let value = self.value(key)?;
        let Some(table) = value.get_ref().as_table() else {
            self.wrong(key, format!("is a {}", value.get_ref().type_str()), format!("a table: [{key}]"));
            return None;
        };
        Some(self.inner(Some(table), value.span(), self.path_of(key)))
    }

    /// A table inside this one; if the key is missing, a table without keys whose required keys are no faults.
    pub fn table_or_defaults(&self, key: &str) -> Table<'a> {
        self.table(key).unwrap_or_else(|| self.inner(None, self.span.clone(), self.path_of(key)))
    }

    /// An array of tables; empty if the key is missing.
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

    /// A table inside this one.
    fn inner(&self, table: Option<&'a DeTable<'a>>, span: Range<usize>, path: String) -> Table<'a> {
        Table { table, span, path, known: RefCell::default(), faults: self.faults.clone() }
    }

    /// The path of a key from the root of the file.
    pub(crate) fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_string() } else { format!("{}.{key}", self.path) }
    }

    /// The value of a key, which is known from now on.
    pub(crate) fn value(&self, key: &str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.known.borrow_mut().insert(key.to_string());
        self.table.and_then(|table| table.get(key))
    }

    /// Reports a fault of the value of a key.
    pub(crate) fn wrong(&self, key: &str, fault: impl Into<String>, way_out: impl Into<String>) {
        self.fault(&self.place_of(key), fault, way_out);
    }

    /// Reports that a required key is missing.
    pub(crate) fn missing(&self, key: &str, wanted: &str) {
        if self.table.is_some() {
            let place = Place { span: self.span.clone(), field: self.path_of(key) };
            self.fault(&place, "is missing", wanted);
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
            let way_out = match nearest {
                Some((_, known)) => format!("is {known:?} meant?"),
                None if known.is_empty() => String::new(),
                None => {
                    let all: Vec<&str> = known.iter().map(String::as_str).collect();
                    format!("known here: {}", all.join(", "))
                }
            };
            self.faults.add(key.span(), &self.path_of(name), "no such key".to_string(), way_out);
        }
    }
}
