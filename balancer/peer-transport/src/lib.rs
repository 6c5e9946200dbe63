//! Datagrams between the balancers of a fleet. Each carries who sent it, which fleet it is of and a keyed hash;
//! what is longer than a datagram goes in parts. Datagrams come late, twice or never, and nothing here sends one
//! again: that is for those who know what it is worth. No sockets and no clock: bytes in, messages out.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use serde::de::DeserializeOwned;

/// What the platform's protocol allows in one datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The first byte: another version is another protocol.
const VERSION: u8 = 1;
/// Version, part, parts, fleet, sender, start, number.
const HEADER_BYTES: usize = 1 + 1 + 1 + 4 + 2 + 4 + 4;
const TAG_BYTES: usize = 12;
/// Longest message, in parts.
const MAX_PARTS: usize = 255;
/// Messages of one sender that are put together at the same time.
const MAX_PARTIAL_MESSAGES: usize = 8;
/// Numbers of datagrams by which one that comes again is known.
const REPLAY_WINDOW: u32 = 512;
/// Starts of a sender whose datagrams are told apart.
const MAX_STARTS: usize = 4;

/// What was passed over since the start, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DroppedDatagrams {
    /// Too short, of another version, or no message of the protocol.
    pub garbled: u64,
    /// Of a fleet with another name.
    pub other_fleet: u64,
    /// A sender that is no member, or one that sends from another's address.
    pub unknown: u64,
    /// Its tag is not that of the fleet's secret, or a byte is another.
    pub wrong_mark: u64,
    /// Come before, or of an earlier start of its sender.
    pub repeated: u64,
    /// More from one sender in a second than any member sends.
    pub flood: u64,
}

/// What one start of a sender has sent.
#[derive(Clone, Debug, Default)]
struct Start {
    start: u32,
    highest: u32,
    seen: BTreeSet<u32>,
}

/// What a sender has sent.
#[derive(Clone, Debug, Default)]
struct Sender {
    /// The one heard last at the end. None takes another's place: a datagram of an hour ago, of a start that this
    /// process has not heard of before, must not lock out the one that lives.
    starts: Vec<Start>,
    /// Messages in parts, by start and first number.
    partial: BTreeMap<(u32, u32), Vec<Option<Vec<u8>>>>,
    second: u64,
    in_second: u32,
}

/// Both ends of the datagrams of one process.
pub struct PeerTransport {
    me: u16,
    fleet: [u8; 4],
    key: [u8; 32],
    start: u32,
    next: u32,
    /// Bytes of a message in one part.
    part_bytes: usize,
    most_a_second: u32,
    senders: Vec<Sender>,
    /// Datagrams that were dropped since the start, by cause.
    pub dropped: DroppedDatagrams,
}

fn number<const N: usize>(bytes: &[u8], at: usize) -> [u8; N] {
    bytes.get(at..at + N).and_then(|bytes| bytes.try_into().ok()).unwrap_or([0; N])
}

impl PeerTransport {
    /// `fleet` is the fleet's name, `secret` what its members share (may be empty: then the tag guards against
    /// accidents only), `start` drawn anew at each start of the process, `longest` the largest datagram.
    pub fn new(me: u16, members: u16, fleet: &str, secret: &str, start: u32, longest: usize) -> Self {
        let key = blake3::derive_key("whinspindle datagrams between balancers, version 1", secret.as_bytes());
        PeerTransport {
            me,
            fleet: number(blake3::hash(fleet.as_bytes()).as_bytes(), 0),
            key,
            start,
            next: 0,
            part_bytes: longest - HEADER_BYTES - TAG_BYTES,
            most_a_second: 2_000 + 20 * u32::from(members),
            senders: vec![Sender::default(); members as usize],
            dropped: DroppedDatagrams::default(),
        }
    }

    fn tag(&self, to: u16, bytes: &[u8]) -> [u8; TAG_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        // A datagram is for one member alone, so that none can be turned to another.
        hasher.update(&to.to_le_bytes());
        hasher.update(bytes);
        number(hasher.finalize().as_bytes(), 0)
    }

    /// The datagrams that carry a message; none if it is longer than any may be.
    pub fn encode(&mut self, to: u16, message: &impl Serialize) -> Vec<Vec<u8>> {
        let Ok(bytes) = postcard::to_stdvec(message) else { return Vec::new() };
        let parts = bytes.len().div_ceil(self.part_bytes).max(1);
        if parts > MAX_PARTS {
            return Vec::new();
        }
        // After weeks the numbers are used up, and begin again as those of another start.
        if self.next > u32::MAX - MAX_PARTS as u32 {
            (self.start, self.next) = (self.start.wrapping_add(1), 0);
        }
        let mut datagrams = Vec::with_capacity(parts);
        for part in 0..parts {
            let mut datagram = Vec::with_capacity(self.part_bytes + HEADER_BYTES + TAG_BYTES);
            datagram.extend([VERSION, part as u8, parts as u8]);
            datagram.extend(self.fleet);
            datagram.extend(self.me.to_le_bytes());
            datagram.extend(self.start.to_le_bytes());
            datagram.extend(self.next.to_le_bytes());
            datagram.extend(&bytes[part * self.part_bytes..bytes.len().min((part + 1) * self.part_bytes)]);
            let tag = self.tag(to, &datagram);
            datagram.extend(tag);
            datagrams.push(datagram);
            self.next += 1;
        }
        datagrams
    }

    /// Whom a datagram says it is from, before anything of it is believed.
    pub fn claimed_sender(datagram: &[u8]) -> Option<u16> {
        (datagram.len() >= HEADER_BYTES + TAG_BYTES).then(|| u16::from_le_bytes(number(datagram, 7)))
    }

    /// Takes a datagram that came from the address of `from`; a message once it is complete. `second` counts seconds
    /// of the process's own clock.
    pub fn receive<M: DeserializeOwned>(
        &mut self,
        second: u64,
        from: Option<u16>,
        datagram: &[u8],
    ) -> Option<(u16, M)> {
        let said = Self::claimed_sender(datagram);
        if said.is_none() || datagram[0] != VERSION {
            self.dropped.garbled += 1;
            return None;
        }
        if datagram[3..7] != self.fleet {
            self.dropped.other_fleet += 1;
            return None;
        }
        let Some(from) = said.filter(|said| from == Some(*said) && (*said as usize) < self.senders.len())
        else {
            self.dropped.unknown += 1;
            return None;
        };
        let sender = &mut self.senders[from as usize];
        if sender.second != second {
            (sender.second, sender.in_second) = (second, 0);
        }
        sender.in_second += 1;
        if sender.in_second > self.most_a_second {
            self.dropped.flood += 1;
            return None;
        }
        let (body, tag) = datagram.split_at(datagram.len() - TAG_BYTES);
        if tag != self.tag(self.me, body) {
            self.dropped.wrong_mark += 1;
            return None;
        }
        let (part, parts) = (body[1] as usize, body[2] as usize);
        let (start, serial) = (u32::from_le_bytes(number(body, 9)), u32::from_le_bytes(number(body, 13)));
        if part >= parts {
            self.dropped.garbled += 1;
            return None;
        }
        if !self.senders[from as usize].is_new(start, serial) {
            self.dropped.repeated += 1;
            return None;
        }
        let payload = &body[HEADER_BYTES..];
        let complete = if parts == 1 {
            payload.to_vec()
        } else {
            let first = (start, serial.wrapping_sub(part as u32));
            self.senders[from as usize].put(first, part, parts, payload)?
        };
        match postcard::from_bytes(&complete) {
            Ok(message) => Some((from, message)),
            Err(_) => {
                self.dropped.garbled += 1;
                None
            }
        }
    }
}

impl Sender {
    /// Guards against datagrams that the network brings twice, and those of an hour ago.
    fn is_new(&mut self, start: u32, serial: u32) -> bool {
        let known = self.starts.iter().position(|known| known.start == start);
        let mut of = match known {
            Some(place) => self.starts.remove(place),
            None => Start { start, ..Start::default() },
        };
        let is_new = serial.saturating_add(REPLAY_WINDOW) > of.highest && of.seen.insert(serial);
        of.highest = of.highest.max(serial);
        while of.seen.len() > REPLAY_WINDOW as usize {
            of.seen.pop_first();
        }
        self.starts.push(of);
        if self.starts.len() > MAX_STARTS {
            self.starts.remove(0);
        }
        is_new
    }

    fn put(&mut self, first: (u32, u32), part: usize, parts: usize, bytes: &[u8]) -> Option<Vec<u8>> {
        let message = self.partial.entry(first).or_insert_with(|| vec![None; parts]);
        if message.len() != parts {
            return None;
        }
        message[part] = Some(bytes.to_vec());
        if message.iter().all(Option::is_some) {
            return Some(self.partial.remove(&first)?.into_iter().flatten().flatten().collect());
        }
        // What was begun longest ago will not become complete.
        if self.partial.len() > MAX_PARTIAL_MESSAGES {
            self.partial.pop_first();
        }
        None
    }
}

#[cfg(test)]
mod tests;
