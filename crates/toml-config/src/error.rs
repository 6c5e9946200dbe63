//! Errors of a configuration file with their locations.

use std::cell::RefCell;
use std::fmt;
use std::ops::Range;
use std::rc::Rc;

/// Further errors are only counted.
const MAX_ERRORS: usize = 200;

/// An error in a configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The byte range of the value in the file.
    pub span: Range<usize>,
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
    /// The path of the value, as in `tier[0].servers[1].speed`; empty for the whole file.
    pub field: String,
    /// The problem.
    pub message: String,
    /// A valid alternative; empty if none is known.
    pub hint: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "line {}:{}: ", self.line, self.column)?;
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        write!(f, "{}", self.message)?;
        if !self.hint.is_empty() {
            write!(f, "; {}", self.hint)?;
        }
        Ok(())
    }
}

/// An error whose line and column are not computed yet.
struct UnlocatedError {
    span: Range<usize>,
    field: String,
    message: String,
    hint: String,
}

#[derive(Default)]
struct CollectedErrors {
    errors: Vec<UnlocatedError>,
    /// Number of errors beyond [`MAX_ERRORS`].
    omitted: usize,
}

/// Collects the errors of one file. Clones share one collection.
#[derive(Clone, Default)]
pub struct ErrorCollector(Rc<RefCell<CollectedErrors>>);

impl ErrorCollector {
    /// Adds an error for the value at `span`.
    pub fn add(&self, span: Range<usize>, field: &str, message: String, hint: String) {
        let mut collection = self.0.borrow_mut();
        if collection.errors.len() < MAX_ERRORS {
            collection.errors.push(UnlocatedError { span, field: field.to_string(), message, hint });
        } else {
            collection.omitted += 1;
        }
    }

    /// Whether no error was added.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().errors.is_empty()
    }

    /// Takes all errors, ordered by their position in `text`.
    pub fn take(&self, text: &str) -> Vec<ConfigError> {
        let mut collection = self.0.take();
        collection.errors.sort_by_key(|error| error.span.start);
        let line_starts: Vec<usize> =
            std::iter::once(0).chain(text.match_indices('\n').map(|(offset, _)| offset + 1)).collect();
        let mut errors: Vec<ConfigError> = Vec::with_capacity(collection.errors.len());
        for UnlocatedError { span, field, message, hint } in collection.errors {
            let (line, column) = line_and_column(text, &line_starts, span.start);
            errors.push(ConfigError { span, line, column, field, message, hint });
        }
        if let Some(last) = errors.last_mut().filter(|_| collection.omitted > 0) {
            last.hint.push_str(&format!(" ({} more faults are not listed)", collection.omitted));
        }
        errors
    }
}

/// Line and column of a byte offset, both counted from 1.
fn line_and_column(text: &str, line_starts: &[usize], offset: usize) -> (usize, usize) {
    let mut offset = offset.min(text.len());
    while !text.is_char_boundary(offset) {
        offset -= 1;
    }
    let line = line_starts.partition_point(|&start| start <= offset);
    (line, text[line_starts[line - 1]..offset].chars().count() + 1)
}
