//! A single-pass check of the JSON grammar.

use std::ops::Range;

use super::{JsonError, fits_integer, is_integer};

/// The maximum nesting depth of a document.
const MAX_DEPTH: usize = 128;

/// The syntax element that the grammar allows next.
#[derive(Clone, Copy)]
enum Expected {
    Value,
    FirstElement,
    FirstKey,
    Key,
    Separator,
    End,
}

/// A JSON value that contains other values.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Container {
    Object,
    Array,
}

/// Scans a document from start to end.
pub(super) struct Scanner<'a> {
    text: &'a str,
    bytes: &'a [u8],
    pub(super) position: usize,
    open_containers: Vec<Container>,
    /// The ranges of numbers whose notation `nanoserde` doesn't support.
    unsupported_numbers: Vec<Range<usize>>,
}

/// Checks the grammar of a document. Returns the ranges of numbers whose notation `nanoserde` doesn't
/// support.
pub(super) fn check_grammar(text: &str) -> Result<Vec<Range<usize>>, JsonError> {
    let mut scanner = Scanner::new(text);
    match scanner.scan_document() {
        Ok(()) => Ok(scanner.unsupported_numbers),
        Err(expected) => Err(scanner.syntax_error(expected)),
    }
}

impl<'a> Scanner<'a> {
    pub(super) fn new(text: &'a str) -> Self {
        Scanner {
            text,
            bytes: text.as_bytes(),
            position: 0,
            open_containers: Vec::new(),
            unsupported_numbers: Vec::new(),
        }
    }

    fn syntax_error(&self, expected: &'static str) -> JsonError {
        let before = &self.bytes[..self.position];
        let line = before.iter().filter(|&&byte| byte == b'\n').count() + 1;
        let line_start = before.iter().rposition(|&byte| byte == b'\n').map_or(0, |index| index + 1);
        JsonError::Syntax { expected, line, column: self.position - line_start + 1 }
    }

    fn scan_document(&mut self) -> Result<(), &'static str> {
        let mut expected = Expected::Value;
        loop {
            self.skip_whitespace();
            expected = match expected {
                Expected::FirstElement if self.consume(b']') => self.close_container(),
                Expected::FirstKey if self.consume(b'}') => self.close_container(),
                Expected::Value | Expected::FirstElement => self.scan_value()?,
                Expected::Key | Expected::FirstKey => self.scan_key()?,
                Expected::Separator => self.scan_separator()?,
                Expected::End if self.position == self.bytes.len() => return Ok(()),
                Expected::End => return Err("the end of the document"),
            };
        }
    }

    fn scan_value(&mut self) -> Result<Expected, &'static str> {
        match self.peek() {
            Some(b'{') => return self.open_container(Container::Object),
            Some(b'[') => return self.open_container(Container::Array),
            Some(b'"') => self.scan_string()?,
            Some(b'-' | b'0'..=b'9') => self.scan_number()?,
            Some(b't') => self.scan_literal("true")?,
            Some(b'f') => self.scan_literal("false")?,
            Some(b'n') => self.scan_literal("null")?,
            _ => return Err("a value"),
        }
        Ok(self.expected_after_value())
    }

    fn open_container(&mut self, container: Container) -> Result<Expected, &'static str> {
        if self.open_containers.len() == MAX_DEPTH {
            return Err("less depth");
        }
        self.position += 1;
        self.open_containers.push(container);
        Ok(match container {
            Container::Object => Expected::FirstKey,
            Container::Array => Expected::FirstElement,
        })
    }

    fn close_container(&mut self) -> Expected {
        self.open_containers.pop();
        self.expected_after_value()
    }

    fn expected_after_value(&self) -> Expected {
        if self.open_containers.is_empty() { Expected::End } else { Expected::Separator }
    }

    fn scan_key(&mut self) -> Result<Expected, &'static str> {
        if self.peek() != Some(b'"') {
            return Err("a key");
        }
        self.scan_string()?;
        self.skip_whitespace();
        if !self.consume(b':') {
            return Err("`:`");
        }
        Ok(Expected::Value)
    }

    fn scan_separator(&mut self) -> Result<Expected, &'static str> {
        let is_object = self.open_containers.last() == Some(&Container::Object);
        if self.consume(b',') {
            return Ok(if is_object { Expected::Key } else { Expected::Value });
        }
        if self.consume(if is_object { b'}' } else { b']' }) {
            return Ok(self.close_container());
        }
        Err(if is_object { "`,` or `}`" } else { "`,` or `]`" })
    }

    pub(super) fn scan_string(&mut self) -> Result<(), &'static str> {
        self.position += 1;
        while let Some(byte) = self.peek() {
            match byte {
                b'"' => {
                    self.position += 1;
                    return Ok(());
                }
                b'\\' => self.scan_escape()?,
                0..0x20 => return Err("no control character in a string"),
                _ => self.position += 1,
            }
        }
        Err("the end of the string")
    }

    fn scan_escape(&mut self) -> Result<(), &'static str> {
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

    fn scan_number(&mut self) -> Result<(), &'static str> {
        let start = self.position;
        self.consume(b'-');
        if !self.consume(b'0') {
            self.scan_digits()?;
        }
        if self.consume(b'.') {
            self.scan_digits()?;
        }
        if self.consume(b'e') || self.consume(b'E') {
            let _ = self.consume(b'+') || self.consume(b'-');
            self.scan_digits()?;
        }
        let number = &self.text[start..self.position];
        if number.contains('+') || (is_integer(number) && !fits_integer(number)) {
            self.unsupported_numbers.push(start..self.position);
        }
        Ok(())
    }

    fn scan_digits(&mut self) -> Result<(), &'static str> {
        let start = self.position;
        while self.peek().is_some_and(|byte| byte.is_ascii_digit()) {
            self.position += 1;
        }
        if self.position == start { Err("a digit") } else { Ok(()) }
    }

    fn scan_literal(&mut self, literal: &'static str) -> Result<(), &'static str> {
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

    fn consume(&mut self, byte: u8) -> bool {
        let found = self.peek() == Some(byte);
        self.position += usize::from(found);
        found
    }
}
