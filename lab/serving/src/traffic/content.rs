//! The contents of requests and answers. Both ends compute them, so that each can tell a changed byte.

use bytes::Bytes;

/// Length of an answer to a lookup.
pub const LOOKUP_ANSWER_BYTES: usize = 800;

/// The text of an event: which of how many, and a mark of its session.
pub fn event_text(session: u64, id: u64, total: u64) -> String {
    let mark = (session ^ id.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    format!("{id}/{total} {:08x}", mark >> 32)
}

/// The body of a request.
pub fn request_body(request: &str, length: usize) -> Bytes {
    repeat_to(&format!("{request} asks; "), length)
}

/// The body of the answer to a lookup.
pub fn lookup_answer(request: &str, length: usize) -> Bytes {
    repeat_to(&format!("{request} is answered; "), length)
}

fn repeat_to(text: &str, length: usize) -> Bytes {
    text.bytes().cycle().take(length).collect()
}
