//! Cuts what a watch brings into lines, however it was split on the way.

/// A list of thousands of servers fits; what is longer is no list.
const MOST_LINE: usize = 8 << 20;

#[derive(Default)]
pub struct Lines {
    begun: Vec<u8>,
}

impl Lines {
    /// Calls `line` for each whole line that is not empty.
    pub fn take(&mut self, data: &[u8], mut line: impl FnMut(&[u8])) -> Result<(), String> {
        for piece in data.split_inclusive(|&byte| byte == b'\n') {
            if self.begun.len() + piece.len() > MOST_LINE {
                return Err(format!("a line of over {MOST_LINE} bytes"));
            }
            self.begun.extend_from_slice(piece);
            if self.begun.ends_with(b"\n") {
                let whole = std::mem::take(&mut self.begun);
                let whole = whole.trim_ascii();
                if !whole.is_empty() {
                    line(whole);
                }
            }
        }
        Ok(())
    }
}
