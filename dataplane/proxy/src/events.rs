//! Splits the body of an event stream into whole events and follows their ids. A pure state machine: pieces of the
//! body in, whole events out.

use bytes::{Bytes, BytesMut};
use snafu::{Snafu, ensure};

/// The longest event that is waited for.
pub const MAXIMUM_EVENT_BYTES: usize = 1024 * 1024;

const ID_FIELD: &[u8] = b"id:";
const VERSIONS_FIELD: &[u8] = b"versions:";

/// Where a stream stands: what a resumed run has to go on from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// The id of the last whole event that had one.
    pub last_id: Option<u64>,
    /// The largest distance between the ids of two events in a row.
    pub largest_step: Option<u64>,
    /// The version of the weights that made the last event.
    pub versions: Option<u64>,
}

/// Why a body is not a stream that may be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum EventError {
    #[snafu(display("event {id} comes after event {last}"))]
    NotRising { last: u64, id: u64 },
    #[snafu(display("the resumed run begins at event {id}, too far after event {last}"))]
    Gap { last: u64, id: u64 },
    #[snafu(display("an event is longer than {MAXIMUM_EVENT_BYTES} bytes"))]
    TooLong,
}

/// Takes the pieces of a body and gives back whole events. An event ends with an empty line.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// The bytes behind the last whole event.
    partial: BytesMut,
    /// How many of them are whole lines that have been looked at.
    scanned: usize,
    /// The id in the lines that have been looked at, and the version.
    partial_id: Option<u64>,
    partial_versions: Option<u64>,
    position: Position,
    /// The next id follows one of another run.
    joins: bool,
}

impl EventSplitter {
    /// A splitter for a run of which the head names this version.
    pub fn new(versions: Option<u64>) -> Self {
        let position = Position { versions, ..Position::default() };
        EventSplitter { position, ..EventSplitter::default() }
    }

    /// A splitter for a run that goes on after events of another run.
    pub fn resuming(position: Position) -> Self {
        EventSplitter { position, joins: true, ..EventSplitter::default() }
    }

    /// Where the stream stands after the whole events so far.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Takes a piece of the body and returns the whole events that end in it; empty if none does.
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

    /// What is left behind the last whole event once the body has ended.
    pub fn finish(&mut self) -> Bytes {
        self.scanned = 0;
        std::mem::take(&mut self.partial).freeze()
    }

    /// Looks at the lines that are new in the buffer; returns the end of the last whole event.
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
