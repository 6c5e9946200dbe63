//! Reads a stream of events, checks that it is whole and in order, and notes its pauses.

use bytes::{Bytes, BytesMut};
use snafu::Snafu;

use super::content::event_text;

const EVENT_END: &[u8] = b"\n\n";

/// Why a stream is not the one that was asked for.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum StreamFault {
    #[snafu(display("event {found:?} came where {expected} is due"))]
    OutOfOrder { expected: u64, found: Option<u64> },
    #[snafu(display("event {id} has another text than its upstream wrote"))]
    OtherText { id: u64 },
    #[snafu(display("it ended as if complete after event {last} of {total}"))]
    EndedEarly { last: u64, total: u64 },
}

/// Reads the events of one request, over all its tries.
#[derive(Debug)]
pub struct EventReader {
    session: u64,
    total: u64,
    last_id: u64,
    began_at: u64,
    first_event_ms: Option<u64>,
    last_event_at: u64,
    longest_pause_ms: u64,
    partial: BytesMut,
}

impl EventReader {
    /// A reader for so many events; times count from `now`.
    pub fn new(now: u64, session: u64, total: u64) -> Self {
        EventReader {
            session,
            total,
            last_id: 0,
            began_at: now,
            first_event_ms: None,
            last_event_at: now,
            longest_pause_ms: 0,
            partial: BytesMut::new(),
        }
    }

    /// A new try goes on behind the last event; what came of the next one is dropped.
    pub fn resume(&mut self) {
        self.partial.clear();
    }

    /// Takes a piece of the body.
    pub fn push(&mut self, now: u64, piece: &Bytes) -> Result<(), StreamFault> {
        self.partial.extend_from_slice(piece);
        let ends = |window: &[u8]| window == EVENT_END;
        while let Some(length) = self.partial.windows(EVENT_END.len()).position(ends) {
            let event = self.partial.split_to(length + EVENT_END.len());
            self.take_event(now, &event[..length])?;
        }
        Ok(())
    }

    /// The body ended as a whole one.
    pub fn finish(&self) -> Result<(), StreamFault> {
        if self.is_whole() && self.partial.is_empty() {
            return Ok(());
        }
        Err(StreamFault::EndedEarly { last: self.last_id, total: self.total })
    }

    /// Whether all events have come.
    pub fn is_whole(&self) -> bool {
        self.last_id == self.total
    }

    /// The id of the last event; 0 before the first.
    pub fn last_id(&self) -> u64 {
        self.last_id
    }

    /// From the first try to the first event.
    pub fn first_event_ms(&self) -> Option<u64> {
        self.first_event_ms
    }

    /// The longest time between two events.
    pub fn longest_pause_ms(&self) -> u64 {
        self.longest_pause_ms
    }

    fn take_event(&mut self, now: u64, event: &[u8]) -> Result<(), StreamFault> {
        let field = |name: &str| {
            let text = std::str::from_utf8(event).unwrap_or_default();
            text.lines().find_map(|line| line.strip_prefix(name)).map(str::trim)
        };
        let expected = self.last_id + 1;
        let found = field("id:").and_then(|id| id.parse().ok());
        if found != Some(expected) || expected > self.total {
            return Err(StreamFault::OutOfOrder { expected, found });
        }
        if field("data:") != Some(event_text(self.session, expected, self.total).as_str()) {
            return Err(StreamFault::OtherText { id: expected });
        }
        self.last_id = expected;
        self.note_time(now);
        Ok(())
    }

    fn note_time(&mut self, now: u64) {
        match self.first_event_ms {
            None => self.first_event_ms = Some(now - self.began_at),
            Some(_) => self.longest_pause_ms = self.longest_pause_ms.max(now - self.last_event_at),
        }
        self.last_event_at = now;
    }
}
