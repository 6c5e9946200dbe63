//! Faults of a file, each with the line that it is in.

use std::cell::RefCell;
use std::fmt;
use std::ops::Range;
use std::rc::Rc;

/// After this many faults the rest are only counted.
const MAX_FAULTS: usize = 200;

/// One thing that is wrong in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The bytes of the file that it is about.
    pub span: Range<usize>,
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
    /// The path of the value, as in `tier[0].servers[1].speed`; empty for the whole file.
    pub field: String,
    /// What is wrong.
    pub fault: String,
    /// What would be right; empty if that is not known.
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

/// A fault whose line is not computed yet.
struct Collected {
    span: Range<usize>,
    field: String,
    fault: String,
    way_out: String,
}

#[derive(Default)]
struct Collection {
    faults: Vec<Collected>,
    /// The number of faults beyond the maximum.
    more: usize,
}

/// Collects the faults of one file; clones share one collection.
#[derive(Clone, Default)]
pub struct FaultCollector(Rc<RefCell<Collection>>);

impl FaultCollector {
    /// Adds a fault of the value at `span`.
    pub fn add(&self, span: Range<usize>, field: &str, fault: String, way_out: String) {
        let mut collection = self.0.borrow_mut();
        if collection.faults.len() < MAX_FAULTS {
            collection.faults.push(Collected { span, field: field.to_string(), fault, way_out });
        } else {
            collection.more += 1;
        }
    }

    /// Whether no fault was added.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().faults.is_empty()
    }

    /// Takes out all faults, in the order of their lines in `text`.
    pub fn take(&self, text: &str) -> Vec<Fault> {
        let mut collection = self.0.take();
        collection.faults.sort_by_key(|collected| collected.span.start);
        let line_starts: Vec<usize> =
            std::iter::once(0).chain(text.match_indices('\n').map(|(at, _)| at + 1)).collect();
        let mut faults: Vec<Fault> = Vec::with_capacity(collection.faults.len());
        for Collected { span, field, fault, way_out } in collection.faults {
            let (line, column) = line_and_column(text, &line_starts, span.start);
            faults.push(Fault { span, line, column, field, fault, way_out });
        }
        if let Some(last) = faults.last_mut().filter(|_| collection.more > 0) {
            last.way_out.push_str(&format!(" ({} more faults are not listed)", collection.more));
        }
        faults
    }
}

/// The line and the column of a byte, both from 1.
fn line_and_column(text: &str, line_starts: &[usize], offset: usize) -> (usize, usize) {
    let mut offset = offset.min(text.len());
    while !text.is_char_boundary(offset) {
        offset -= 1;
    }
    let line = line_starts.partition_point(|&start| start <= offset);
    (line, text[line_starts[line - 1]..offset].chars().count() + 1)
}
