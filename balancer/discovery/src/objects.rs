//! Splits a byte stream into JSON objects, independent of chunk boundaries and white space.

/// Maximum size of an object. A list of thousands of servers fits.
const MAX_OBJECT_BYTES: usize = 8 << 20;

#[derive(Default)]
pub struct ObjectSplitter {
    partial: Vec<u8>,
    /// Number of open brackets.
    depth: usize,
    in_string: bool,
    /// Whether the previous character was the escape character of a string.
    escaped: bool,
}

impl ObjectSplitter {
    /// Consumes data and calls `on_object` for each complete object. Only white space is allowed between
    /// objects.
    pub fn push(
        &mut self,
        data: &[u8],
        mut on_object: impl FnMut(&[u8]) -> Result<(), String>,
    ) -> Result<(), String> {
        for &byte in data {
            if self.partial.is_empty() && byte.is_ascii_whitespace() {
                continue;
            }
            if self.partial.is_empty() && byte != b'{' {
                return Err(format!("expected an object, found {:?}", char::from(byte)));
            }
            if self.partial.len() == MAX_OBJECT_BYTES {
                return Err(format!("object longer than {MAX_OBJECT_BYTES} bytes"));
            }
            self.partial.push(byte);
            if self.ends_object(byte) {
                on_object(&std::mem::take(&mut self.partial))?;
            }
        }
        Ok(())
    }

    /// Whether an object has started but is not complete.
    pub fn has_partial_object(&self) -> bool {
        !self.partial.is_empty()
    }

    fn ends_object(&mut self, byte: u8) -> bool {
        if self.in_string {
            self.in_string = self.escaped || byte != b'"';
            self.escaped = !self.escaped && byte == b'\\';
            return false;
        }
        match byte {
            b'"' => self.in_string = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => {
                self.depth = self.depth.saturating_sub(1);
                return self.depth == 0;
            }
            _ => {}
        }
        false
    }
}
