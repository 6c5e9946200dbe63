//! The grammar of JSON, checked in one pass.

use std::ops::Range;

use super::{JsonError, fits_integer, is_integer};

/// Deeper documents are refused.
const MAX_DEPTH: usize = 128;

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

/// The kinds of values that contain others.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Container {
    Object,
    Array,
}

/// A pass over a document.
pub(super) struct Scanner<'a> {
    text: &'a str,
    bytes: &'a [u8],
    pub(super) position: usize,
    open: Vec<Container>,
    /// The numbers whose notation `nanoserde` doesn't support.
    unsupported: Vec<Range<usize>>,
}

/// Checks the grammar of a document; returns the numbers whose notation `nanoserde` doesn't support.
pub(super) fn check_grammar(text: &str) -> Result<Vec<Range<usize>>, JsonError> {
    let mut scanner = Scanner::new(text);
    match scanner.document() {
        Ok(()) => Ok(scanner.unsupported),
        Err(expected) => Err(scanner.syntax_error(expected)),
    }
}

impl<'a> Scanner<'a> {
    pub(super) fn new(text: &'a str) -> Self {
        Scanner { text, bytes: text.as_bytes(), position: 0, open: Vec::new(), unsupported: Vec::new() }
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

    pub(super) fn string(&mut self) -> Result<(), &'static str> {
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
            self.unsupported.push(start..self.position);
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

    pub(super) fn skip_whitespace(&mut self) {
        while matches!(self.peek(), Some(b' ' | b'\t' | b'\n' | b'\r')) {
            self.position += 1;
        }
    }

    pub(super) fn peek(&self) -> Option<u8> {
        self.bytes.get(self.position).copied()
    }

    fn take(&mut self, byte: u8) -> bool {
        let found = self.peek() == Some(byte);
        self.position += usize::from(found);
        found
    }
}
