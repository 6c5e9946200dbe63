//! Reading of TOML files that people write.
//!
//! Every value is taken by its key, with the unit that it must have. All faults are reported at once, each with its
//! line, what is wrong and what would be right. A derived deserializer would stop at the first fault, so the tables are
//! walked instead.
//!
//! ```
//! let limits = whinspindle_toml_config::read("timeout = \"300ms\"\n", |table| table.time("timeout", None));
//! assert_eq!(limits, Ok(300_000));
//!
//! let faults = whinspindle_toml_config::read("timeout = 300\n", |table| table.time("timeout", None)).unwrap_err();
//! assert_eq!(faults[0].line, 1);
//! ```

mod fault;
mod table;
pub mod units;
mod values;

use toml::de::DeTable;

pub use fault::Fault;
pub use table::{Place, Table};

use fault::FaultCollector;

/// The longest file that is read, in bytes.
pub const MOST_BYTES: usize = 4 * 1024 * 1024;

/// Reads the text through `take`, which gets its outermost table.
///
/// # Errors
///
/// All faults, in the order of their lines.
pub fn read<T>(text: &str, take: impl FnOnce(&Table) -> T) -> Result<T, Vec<Fault>> {
    let collector = FaultCollector::default();
    if text.len() > MOST_BYTES {
        let fault = format!("the file has {} bytes", text.len());
        collector.add(0..0, "", fault, format!("at most {MOST_BYTES} are read"));
        return Err(collector.take(text));
    }
    let (document, errors) = DeTable::parse_recoverable(text);
    for error in errors {
        collector.add(error.span().unwrap_or(0..0), "", join_lines(error.message()), String::new());
    }
    // What follows a syntax error is often misread, so the keys are checked only in a file without one.
    if !collector.is_empty() {
        return Err(collector.take(text));
    }
    let table = Table::root(document.get_ref(), collector.clone());
    let taken = take(&table);
    // Dropping the table reports its unknown keys.
    drop(table);
    let faults = collector.take(text);
    if faults.is_empty() { Ok(taken) } else { Err(faults) }
}

/// The lines of a message in one line.
fn join_lines(message: &str) -> String {
    message.lines().map(str::trim).filter(|line| !line.is_empty()).collect::<Vec<_>>().join(", ")
}
