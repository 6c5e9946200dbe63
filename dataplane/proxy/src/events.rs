//! Splits the body of an event stream into complete events and tracks their ids. A pure state machine: chunks of the body
//! in, complete events out.

use bytes::{Bytes, BytesMut};
use snafu::{Snafu, ensure};

/// The longest event that is accepted.
pub const MAXIMUM_EVENT_BYTES: usize = 1024 * 1024;

const ID_FIELD: &[u8] = b"id:";
const VERSIONS_FIELD: &[u8] = b"versions:";

/// The position in a stream after which a resumed run has to continue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// The id of the last complete event that had one.
    pub last_id: Option<u64>,
    /// The largest difference between the ids of two consecutive events.
    pub largest_step: Option<u64>,
    /// The version of the model's weights that made the last event.
    pub versions: Option<u64>,
}

/// Why a body is no stream that may be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum EventError {
    /// Ids of events do not rise.
    #[snafu(display("event {id} comes after event {last}"))]
    NotRising {
        /// The id before.
        last: u64,
        /// The id that does not rise.
        id: u64,
    },
    /// A resumed run seems to leave events out.
    #[snafu(display("the resumed run begins at event {id}, too far after event {last}"))]
    Gap {
        /// The id of the last event before.
        last: u64,
        /// The first id of the resumed run.
        id: u64,
    },
    /// An event is above the limit.
    #[snafu(display("an event is longer than {MAXIMUM_EVENT_BYTES} bytes"))]
    TooLong,
}

/// Takes the chunks of a body and returns complete events. An event ends with an empty line.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// The bytes after the last complete event.
    partial: BytesMut,
    /// Number of these that are complete lines which were scanned.
    scanned: usize,
    /// The id and the version in the scanned lines.
    partial_id: Option<u64>,
    partial_versions: Option<u64>,
    position: Position,
    /// The next id is the first one after events of another run.
    joins: bool,
}

impl EventSplitter {
    /// A splitter for a run whose head names this version.
    pub fn new(versions: Option<u64>) -> Self {
        let position = Position { versions, ..Position::default() };
        EventSplitter { position, ..EventSplitter::default() }
    }

    /// A splitter for a run that resumes after events of another run.
    pub fn resuming(position: Position) -> Self {
        EventSplitter { position, joins: true, ..EventSplitter::default() }
    }

    /// The position after the complete events so far.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Takes a chunk of the body and returns the complete events that end in it; empty if none does.
    pub fn push(&mut self, piece: Bytes) -> Result<Bytes, EventError> {
        if self.partial.is_empty() {
            let end = self.scan(&piece)?;
            self.partial.extend_from_slice(&piece[end..]);
            self.scanned = self.scanned.saturating_sub(end);
            return Ok(piece.slice(..end));
        }
        self.partial.extend_from_slice(&piece);
        let buffer = std::mem::take(&mut self.partial);
        let scanned = self.scan(&buffer);
        self.partial = buffer;
        let end = scanned?;
        self.scanned = self.scanned.saturating_sub(end);
        ensure!(self.partial.len() - end <= MAXIMUM_EVENT_BYTES, TooLongSnafu);
        Ok(self.partial.split_to(end).freeze())
    }

    /// The bytes after the last complete event once the body has ended.
    pub fn finish(&mut self) -> Bytes {
        self.scanned = 0;
        std::mem::take(&mut self.partial).freeze()
    }

    /// Scans the lines that are new in the buffer; returns the end of the last complete event.
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

    /// Takes the fields of an event that is complete into the position.
    fn end_event(&mut self) -> Result<(), EventError> {
        self.position.versions = self.partial_versions.take().or(self.position.versions);
        let Some(id) = self.partial_id.take() else { return Ok(()) };
        let joins = std::mem::take(&mut self.joins);
        if let Some(last) = self.position.last_id {
            ensure!(id > last, NotRisingSnafu { last, id });
            let step = id - last;
            let most = self.position.largest_step.unwrap_or(u64::MAX);
            ensure!(!joins || step <= most, GapSnafu { last, id });
            self.position.largest_step = Some(self.position.largest_step.unwrap_or(0).max(step));
        }
        self.position.last_id = Some(id);
        Ok(())
    }
}

fn parse_number(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
