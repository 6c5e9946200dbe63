//! Cuts what a watch brings into JSON objects, however it was split on the way and however it is indented.

/// A list of thousands of servers fits; what is longer is no list.
const MOST_BYTES: usize = 8 << 20;

#[derive(Default)]
pub struct Objects {
    begun: Vec<u8>,
    /// Brackets that are open, whether this is inside a string, and right after its escape.
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl Objects {
    /// Calls `object` for each whole object; what stands between them must be white space.
    pub fn take(
        &mut self,
        data: &[u8],
        mut object: impl FnMut(&[u8]) -> Result<(), String>,
    ) -> Result<(), String> {
        for &byte in data {
            if self.begun.is_empty() && byte.is_ascii_whitespace() {
                continue;
            }
            if self.begun.is_empty() && byte != b'{' {
                return Err(format!("no object begins with {:?}", char::from(byte)));
            }
            if self.begun.len() == MOST_BYTES {
                return Err(format!("an object of over {MOST_BYTES} bytes"));
            }
            self.begun.push(byte);
            if self.closes(byte) {
                object(&std::mem::take(&mut self.begun))?;
            }
        }
        Ok(())
    }

    /// An object has begun and is not whole yet.
    pub fn is_begun(&self) -> bool {
        !self.begun.is_empty()
    }

    fn closes(&mut self, byte: u8) -> bool {
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
