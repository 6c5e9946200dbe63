//! Strict reading of JSON documents.
//!
//! `nanoserde` takes more than JSON (comments, trailing commas, text behind the document), and it panics or never
//! returns on some broken input. The grammar of a document is therefore checked in one pass before `nanoserde`
//! sees it. It takes less than JSON in the spelling of numbers: those that it would refuse are spelled anew.

use std::borrow::Cow;
use std::ops::Range;

use nanoserde::{DeJson, DeJsonErr, DeJsonErrReason};
use snafu::Snafu;

/// Deeper documents are refused.
const MAX_DEPTH: usize = 128;
/// Makes a fraction of an integer.
const FRACTION: &str = ".0";

/// Why a document could not be read, and where.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum JsonError {
    #[snafu(display("not UTF-8 from byte {offset} on"))]
    NotText { offset: usize },

    #[snafu(display("line {line}, column {column}: expected {expected}"))]
    Syntax { expected: &'static str, line: usize, column: usize },

    #[snafu(display("line {line}, column {column}: `{key}` is missing"))]
    Missing { key: String, line: usize, column: usize },

    #[snafu(display("line {line}, column {column}: `{key}`: {reason}"))]
    Value { key: String, reason: String, line: usize, column: usize },
}

impl JsonError {
    /// The key at fault, where one is known.
    pub fn key(&self) -> Option<&str> {
        match self {
            JsonError::Missing { key, .. } | JsonError::Value { key, .. } => Some(key),
            JsonError::NotText { .. } | JsonError::Syntax { .. } => None,
        }
    }
}

/// Reads a whole document. Unknown keys are skipped.
pub(crate) fn parse<T: DeJson>(bytes: &[u8]) -> Result<T, JsonError> {
    let text =
        std::str::from_utf8(bytes).map_err(|error| JsonError::NotText { offset: error.valid_up_to() })?;
    let unread = check_grammar(text)?;
    let text = spell_anew(text, &unread);
    T::deserialize_json(&text).map_err(|error| value_error(&text, error))
}

/// The text with other spellings of these numbers: without a plus sign, and as a fraction where no integer holds it.
fn spell_anew<'a>(text: &'a str, numbers: &[Range<usize>]) -> Cow<'a, str> {
    if numbers.is_empty() {
        return Cow::Borrowed(text);
    }
    let mut spelled = String::with_capacity(text.len() + numbers.len() * FRACTION.len());
    let mut end = 0;
    for number in numbers {
        spelled.push_str(&text[end..number.start]);
        let digits = &text[number.clone()];
        spelled.push_str(&digits.replace('+', ""));
        if is_integer(digits) {
            spelled.push_str(FRACTION);
        }
        end = number.end;
    }
    spelled.push_str(&text[end..]);
    Cow::Owned(spelled)
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
        DeJsonErrReason::CannotParse(what) => format!("{what} can't be represented"),
        reason => format!("{reason:?}"),
    };
    let key = last_key_before(text, error.line, error.col);
    JsonError::Value { key, reason, line, column }
}

/// The last key of an object that begins before a position; empty if there is none.
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
        if scanner.string().is_err() {
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

/// What the grammar allows next.
#[derive(Clone, Copy)]
enum Expected {
    Value,
    FirstElement,
    FirstKey,
    Key,
    Separator,
    End,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Container {
    Object,
    Array,
}

struct Scanner<'a> {
    text: &'a str,
    bytes: &'a [u8],
    position: usize,
    open: Vec<Container>,
    /// The numbers that have to be spelled anew.
    unread: Vec<Range<usize>>,
}

/// Checks a whole document; answers which of its numbers have to be spelled anew.
fn check_grammar(text: &str) -> Result<Vec<Range<usize>>, JsonError> {
    let mut scanner = Scanner::new(text);
    match scanner.document() {
        Ok(()) => Ok(scanner.unread),
        Err(expected) => Err(scanner.syntax_error(expected)),
    }
}

impl<'a> Scanner<'a> {
    fn new(text: &'a str) -> Self {
        Scanner { text, bytes: text.as_bytes(), position: 0, open: Vec::new(), unread: Vec::new() }
    }

    fn syntax_error(&self, expected: &'static str) -> JsonError {
        let before = &self.bytes[..self.position];
        let line = before.iter().filter(|&&byte| byte == b'\n').count() + 1;
        let line_start = before.iter().rposition(|&byte| byte == b'\n').map_or(0, |index| index + 1);
        JsonError::Syntax { expected, line, column: self.position - line_start + 1 }
    }

    fn document(&mut self) -> Result<(), &'static str> {
        let mut expected = Expected::Value;
        loop {
            self.skip_whitespace();
            expected = match expected {
                Expected::FirstElement if self.take(b']') => self.close(),
                Expected::FirstKey if self.take(b'}') => self.close(),
                Expected::Value | Expected::FirstElement => self.value()?,
                Expected::Key | Expected::FirstKey => self.key()?,
                Expected::Separator => self.separator()?,
                Expected::End if self.position == self.bytes.len() => return Ok(()),
                Expected::End => return Err("the end of the document"),
            };
        }
    }

    fn value(&mut self) -> Result<Expected, &'static str> {
        match self.peek() {
            Some(b'{') => return self.open(Container::Object),
            Some(b'[') => return self.open(Container::Array),
            Some(b'"') => self.string()?,
            Some(b'-' | b'0'..=b'9') => self.number()?,
            Some(b't') => self.literal("true")?,
            Some(b'f') => self.literal("false")?,
            Some(b'n') => self.literal("null")?,
            _ => return Err("a value"),
        }
        Ok(self.after_value())
    }

    fn open(&mut self, container: Container) -> Result<Expected, &'static str> {
        if self.open.len() == MAX_DEPTH {
            return Err("less depth");
        }
        self.position += 1;
        self.open.push(container);
        Ok(match container {
            Container::Object => Expected::FirstKey,
            Container::Array => Expected::FirstElement,
        })
    }

    fn close(&mut self) -> Expected {
        self.open.pop();
        self.after_value()
    }

    fn after_value(&self) -> Expected {
        if self.open.is_empty() { Expected::End } else { Expected::Separator }
    }

    fn key(&mut self) -> Result<Expected, &'static str> {
        if self.peek() != Some(b'"') {
            return Err("a key");
        }
        self.string()?;
        self.skip_whitespace();
        if !self.take(b':') {
            return Err("`:`");
        }
        Ok(Expected::Value)
    }

    fn separator(&mut self) -> Result<Expected, &'static str> {
        let object = self.open.last() == Some(&Container::Object);
        if self.take(b',') {
            return Ok(if object { Expected::Key } else { Expected::Value });
        }
        if self.take(if object { b'}' } else { b']' }) {
            return Ok(self.close());
        }
        Err(if object { "`,` or `}`" } else { "`,` or `]`" })
    }

    fn string(&mut self) -> Result<(), &'static str> {
        self.position += 1;
        while let Some(byte) = self.peek() {
            match byte {
                b'"' => {
                    self.position += 1;
                    return Ok(());
                }
                b'\\' => self.escape()?,
                0..0x20 => return Err("no control character in a string"),
                _ => self.position += 1,
            }
        }
        Err("the end of the string")
    }

    fn escape(&mut self) -> Result<(), &'static str> {
        self.position += 1;
        match self.peek() {
            Some(b'"' | b'\\' | b'/' | b'b' | b'f' | b'n' | b'r' | b't') => self.position += 1,
            Some(b'u') => {
                let digits = self.bytes.get(self.position + 1..self.position + 5);
                if !digits.is_some_and(|digits| digits.iter().all(u8::is_ascii_hexdigit)) {
                    return Err("four hexadecimal digits");
                }
                self.position += 5;
            }
            _ => return Err("an escape sequence"),
        }
        Ok(())
    }

    fn number(&mut self) -> Result<(), &'static str> {
        let start = self.position;
        self.take(b'-');
        if !self.take(b'0') {
            self.digits()?;
        }
        if self.take(b'.') {
            self.digits()?;
        }
        if self.take(b'e') || self.take(b'E') {
            let _ = self.take(b'+') || self.take(b'-');
            self.digits()?;
        }
        let number = &self.text[start..self.position];
        if number.contains('+') || (is_integer(number) && !fits_integer(number)) {
            self.unread.push(start..self.position);
        }
        Ok(())
    }

    fn digits(&mut self) -> Result<(), &'static str> {
        let start = self.position;
        while self.peek().is_some_and(|byte| byte.is_ascii_digit()) {
            self.position += 1;
        }
        if self.position == start { Err("a digit") } else { Ok(()) }
    }

    fn literal(&mut self, literal: &'static str) -> Result<(), &'static str> {
        if !self.bytes[self.position..].starts_with(literal.as_bytes()) {
            return Err(literal);
        }
        self.position += literal.len();
        Ok(())
    }

    fn skip_whitespace(&mut self) {
        while matches!(self.peek(), Some(b' ' | b'\t' | b'\n' | b'\r')) {
            self.position += 1;
        }
    }

    fn peek(&self) -> Option<u8> {
        self.bytes.get(self.position).copied()
    }

    fn take(&mut self, byte: u8) -> bool {
        let found = self.peek() == Some(byte);
        self.position += usize::from(found);
        found
    }
}
