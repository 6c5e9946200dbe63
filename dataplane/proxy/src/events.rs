//! Splits the body of an event stream into complete events and tracks their ids.

use bytes::{Bytes, BytesMut};
use snafu::{Snafu, ensure};

/// Maximum length of an event.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

const ID_FIELD: &[u8] = b"id:";
const VERSIONS_FIELD: &[u8] = b"versions:";

/// The position in a stream after which a resumed stream has to continue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamPosition {
    /// The id of the last complete event with an id.
    pub last_id: Option<u64>,
    /// The largest difference between the ids of two consecutive events.
    pub largest_step: Option<u64>,
    /// The version of the model's weights that generated the last event.
    pub versions: Option<u64>,
}

/// Why an event stream must not be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum EventError {
    /// Event ids do not increase.
    #[snafu(display("event id {id} after event id {last} is not increasing"))]
    NotIncreasing {
        /// The previous id.
        last: u64,
        /// The id that is not greater.
        id: u64,
    },
    /// A resumed stream appears to skip events.
    #[snafu(display("the resumed stream starts at event {id}, too far after event {last}"))]
    Gap {
        /// The id of the last event before the resumption.
        last: u64,
        /// The first id of the resumed stream.
        id: u64,
    },
    /// An event exceeds the maximum length.
    #[snafu(display("an event is longer than {MAX_EVENT_BYTES} bytes"))]
    TooLong,
}

/// Splits the chunks of a body into complete events. An empty line ends an event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// The bytes after the last complete event.
    partial: BytesMut,
    /// Number of bytes of `partial` in complete lines, which have been scanned.
    scanned: usize,
    /// The id in the scanned lines of the partial event.
    partial_id: Option<u64>,
    /// The version of the weights in the scanned lines of the partial event.
    partial_versions: Option<u64>,
    position: StreamPosition,
    /// Whether the next id is the first one of a resumed stream.
    awaits_resumed_id: bool,
}

impl EventSplitter {
    /// Creates a splitter for a stream whose head gives this version of the weights.
    pub fn new(versions: Option<u64>) -> Self {
        let position = StreamPosition { versions, ..StreamPosition::default() };
        EventSplitter { position, ..EventSplitter::default() }
    }

    /// Creates a splitter for a stream that resumes after this position.
    pub fn resuming(position: StreamPosition) -> Self {
        EventSplitter { position, awaits_resumed_id: true, ..EventSplitter::default() }
    }

    /// Returns the position after the last complete event.
    pub fn position(&self) -> StreamPosition {
        self.position
    }

    /// Processes a chunk of the body. Returns the events that end in this chunk, or nothing if none does.
    pub fn push(&mut self, chunk: Bytes) -> Result<Bytes, EventError> {
        if self.partial.is_empty() {
            let end = self.scan(&chunk)?;
            self.partial.extend_from_slice(&chunk[end..]);
            self.scanned = self.scanned.saturating_sub(end);
            return Ok(chunk.slice(..end));
        }
        self.partial.extend_from_slice(&chunk);
        let buffer = std::mem::take(&mut self.partial);
        let scanned = self.scan(&buffer);
        self.partial = buffer;
        let end = scanned?;
        self.scanned = self.scanned.saturating_sub(end);
        ensure!(self.partial.len() - end <= MAX_EVENT_BYTES, TooLongSnafu);
        Ok(self.partial.split_to(end).freeze())
    }

    /// Returns the bytes after the last complete event, once the body has ended.
    pub fn finish(&mut self) -> Bytes {
        self.scanned = 0;
        std::mem::take(&mut self.partial).freeze()
    }

    /// Scans new complete lines in the buffer and returns the end of the last complete event.
    fn scan(&mut self, buffer: &[u8]) -> Result<usize, EventError> {
        let mut event_end = 0;
        while let Some(length) = buffer[self.scanned..].iter().position(|&byte| byte == b'\n') {
            let line = &buffer[self.scanned..self.scanned + length];
            self.scanned += length + 1;
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.is_empty() {
                self.end_event()?;
                event_end = self.scanned;
            } else if let Some(value) = line.strip_prefix(ID_FIELD) {
                self.partial_id = parse_number(value);
            } else if let Some(value) = line.strip_prefix(VERSIONS_FIELD) {
                self.partial_versions = parse_number(value);
            }
        }
        Ok(event_end)
    }

    /// Updates the position with the fields of a complete event.
    fn end_event(&mut self) -> Result<(), EventError> {
        self.position.versions = self.partial_versions.take().or(self.position.versions);
        let Some(id) = self.partial_id.take() else { return Ok(()) };
        let awaits_resumed_id = std::mem::take(&mut self.awaits_resumed_id);
        if let Some(last) = self.position.last_id {
            ensure!(id > last, NotIncreasingSnafu { last, id });
            let step = id - last;
            let max_step = self.position.largest_step.unwrap_or(u64::MAX);
            ensure!(!awaits_resumed_id || step <= max_step, GapSnafu { last, id });
            self.position.largest_step = Some(self.position.largest_step.unwrap_or(0).max(step));
        }
        self.position.last_id = Some(id);
        Ok(())
    }
}

fn parse_number(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
