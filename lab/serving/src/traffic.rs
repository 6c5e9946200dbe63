//! Clients: what they ask, where they ask it and what they make of the answers.

mod client;
mod connections;
mod content;
mod crowd;
mod directory;
mod event_reader;
mod kinds;

pub use content::{LOOKUP_ANSWER_BYTES, event_text, lookup_answer, request_body};
pub use crowd::Crowd;
pub use event_reader::{EventReader, StreamFault};
pub use kinds::{
    Draft, LOOKUP_SERVICE, MODEL_NAME, MODEL_SERVICE, RequestKind, SharedPart, StreamShape, kinds,
};
