//! Strict parsing of JSON documents.
//!
//! `nanoserde` accepts more than JSON (comments, trailing commas, text after the document), and it panics or
//! never returns on some malformed input. The grammar of a document is therefore checked in one pass before
//! `nanoserde` sees it ([`grammar`]). `nanoserde` also rejects some notations of numbers that JSON allows.
//! Numbers in these notations are rewritten before it parses the document.

mod grammar;

use std::borrow::Cow;
use std::ops::Range;

use nanoserde::{DeJson, DeJsonErr, DeJsonErrReason};
use snafu::Snafu;

use self::grammar::{Scanner, check_grammar};

/// The suffix that turns an integer into a floating-point number.
const FRACTION_SUFFIX: &str = ".0";

/// The reason why a document can't be parsed, and the position of the error.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum JsonError {
    /// The document is not valid UTF-8.
    #[snafu(display("not UTF-8 from byte {offset} on"))]
    NotUtf8 {
        /// The number of valid bytes before the error.
        offset: usize,
    },

    /// The document is not valid JSON.
    #[snafu(display("line {line}, column {column}: expected {expected}"))]
    Syntax {
        /// The token or value that the grammar expects at this position.
        expected: &'static str,
        /// The line number, starting at 1.
        line: usize,
        /// The column number, starting at 1.
        column: usize,
    },

    /// A required key of an object is missing.
    #[snafu(display("line {line}, column {column}: `{key}` is missing"))]
    Missing {
        /// The missing key.
        key: String,
        /// The line number, starting at 1.
        line: usize,
        /// The column number, starting at 1.
        column: usize,
    },

    /// A value is of the wrong type or out of range.
    #[snafu(display("line {line}, column {column}: `{key}`: {reason}"))]
    Value {
        /// The key of the value.
        key: String,
        /// The reason why the value is invalid.
        reason: String,
        /// The line number, starting at 1.
        line: usize,
        /// The column number, starting at 1.
        column: usize,
    },
}

impl JsonError {
    /// The key that is missing or has an invalid value, if known.
    pub fn key(&self) -> Option<&str> {
        match self {
            JsonError::Missing { key, .. } | JsonError::Value { key, .. } => Some(key),
            JsonError::NotUtf8 { .. } | JsonError::Syntax { .. } => None,
        }
    }
}

/// Parses a document. Unknown keys are ignored.
pub(crate) fn parse<T: DeJson>(bytes: &[u8]) -> Result<T, JsonError> {
    let text =
        std::str::from_utf8(bytes).map_err(|error| JsonError::NotUtf8 { offset: error.valid_up_to() })?;
    let unsupported = check_grammar(text)?;
    let text = rewrite_numbers(text, &unsupported);
    T::deserialize_json(&text).map_err(|error| value_error(&text, error))
}

/// Rewrites the numbers at the given ranges: removes plus signs, and appends `.0` to integers that fit no
/// integer type.
fn rewrite_numbers<'a>(text: &'a str, numbers: &[Range<usize>]) -> Cow<'a, str> {
    if numbers.is_empty() {
        return Cow::Borrowed(text);
    }
    let mut rewritten = String::with_capacity(text.len() + numbers.len() * FRACTION_SUFFIX.len());
    let mut end = 0;
    for number in numbers {
        rewritten.push_str(&text[end..number.start]);
        let digits = &text[number.clone()];
        rewritten.push_str(&digits.replace('+', ""));
        if is_integer(digits) {
            rewritten.push_str(FRACTION_SUFFIX);
        }
        end = number.end;
    }
    rewritten.push_str(&text[end..]);
    Cow::Owned(rewritten)
}

fn is_integer(number: &str) -> bool {
    !number.contains(['.', 'e', 'E'])
}

fn fits_integer(number: &str) -> bool {
    number.parse::<u64>().is_ok() || number.parse::<i64>().is_ok()
}

fn value_error(text: &str, error: DeJsonErr) -> JsonError {
    let (line, column) = (error.line + 1, error.col);
    let reason = match error.msg {
        DeJsonErrReason::MissingKey(key) => return JsonError::Missing { key, line, column },
        DeJsonErrReason::UnexpectedToken(_, expected) => format!("expected {expected}"),
        DeJsonErrReason::UnexpectedKey(found) => format!("unexpected key {found}"),
        DeJsonErrReason::NoSuchEnum(found) => format!("unknown variant {found}"),
        DeJsonErrReason::OutOfRange(range) => format!("out of range: {range}"),
        DeJsonErrReason::WrongType(found) => format!("wrong type {found}"),
        DeJsonErrReason::CannotParse(value) => format!("{value} can't be represented"),
        reason => format!("{reason:?}"),
    };
    let key = last_key_before(text, error.line, error.col);
    JsonError::Value { key, reason, line, column }
}

/// Returns the last object key that starts before a position, or an empty string if there is none.
fn last_key_before(text: &str, line: usize, column: usize) -> String {
    let line_start = if line == 0 { 0 } else { nth_line_start(text, line) };
    let end =
        text[line_start..].char_indices().nth(column).map_or(text.len(), |(index, _)| line_start + index);
    let mut scanner = Scanner::new(&text[..end]);
    let mut key = "";
    while let Some(byte) = scanner.peek() {
        if byte != b'"' {
            scanner.position += 1;
            continue;
        }
        let start = scanner.position + 1;
        if scanner.scan_string().is_err() {
            break;
        }
        let string = &text[start..scanner.position - 1];
        scanner.skip_whitespace();
        if scanner.peek() == Some(b':') {
            key = string;
        }
    }
    key.to_owned()
}

fn nth_line_start(text: &str, line: usize) -> usize {
    text.match_indices('\n').nth(line - 1).map_or(text.len(), |(index, _)| index + 1)
}
