//! Typed access to hand-written TOML files, with units and complete error reports.
//!
//! Every value is looked up by its key with an expected unit. All errors of a file are reported together, each with its
//! line, the problem and a hint. A derived deserializer would stop at the first error.
//!
//! ```
//! let limits = whinspindle_toml_config::parse("timeout = \"300ms\"\n", |table| table.duration_us("timeout", None));
//! assert_eq!(limits, Ok(300_000));
//!
//! let errors = whinspindle_toml_config::parse("timeout = 300\n", |table| table.duration_us("timeout", None)).unwrap_err();
//! assert_eq!(errors[0].line, 1);
//! ```

mod error;
mod table;
pub mod units;
mod values;

use toml::de::DeTable;

pub use error::ConfigError;
pub use table::{Location, Table};

use error::ErrorCollector;

/// Maximum file size in bytes.
pub const MAX_FILE_BYTES: usize = 4 * 1024 * 1024;

/// Parses TOML text and passes its root table to `read`.
///
/// # Errors
///
/// All errors of the file, ordered by line.
pub fn parse<T>(text: &str, read: impl FnOnce(&Table) -> T) -> Result<T, Vec<ConfigError>> {
    let collector = ErrorCollector::default();
    if text.len() > MAX_FILE_BYTES {
        let message = format!("the file has {} bytes", text.len());
        collector.add(0..0, "", message, format!("at most {MAX_FILE_BYTES} are read"));
        return Err(collector.take(text));
    }
    let (document, errors) = DeTable::parse_recoverable(text);
    for error in errors {
        collector.add(error.span().unwrap_or(0..0), "", join_lines(error.message()), String::new());
    }
    // Values after a syntax error are often misread, so keys are checked only if the syntax is valid.
    if !collector.is_empty() {
        return Err(collector.take(text));
    }
    let table = Table::root(document.get_ref(), collector.clone());
    let value = read(&table);
    // Dropping the table reports its unknown keys.
    drop(table);
    let errors = collector.take(text);
    if errors.is_empty() { Ok(value) } else { Err(errors) }
}

/// Joins the lines of a message with commas.
fn join_lines(message: &str) -> String {
    message.lines().map(str::trim).filter(|line| !line.is_empty()).collect::<Vec<_>>().join(", ")
}
