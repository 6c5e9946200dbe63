//! The encoding and authentication of datagrams between the balancers of a fleet.
//!
//! Each datagram carries its sender, its fleet and a keyed hash; a message longer than a datagram is sent in
//! parts. Datagrams may be late, duplicated or lost. Retransmission is left to the sender of the message,
//! which knows whether the message is still of use. The crate opens no sockets and reads no clock.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use serde::de::DeserializeOwned;

/// The largest datagram that the platform's protocol allows, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The protocol version, the first byte of a datagram.
const VERSION: u8 = 1;
/// Version, part, parts, fleet, sender, start and serial number.
const HEADER_BYTES: usize = 1 + 1 + 1 + 4 + 2 + 4 + 4;
/// The keyed hash at the end of a datagram.
const TAG_BYTES: usize = 12;
/// The longest message, in parts.
const MAX_PARTS: usize = 255;
/// Messages of one sender that are assembled at the same time.
const MAX_PARTIAL_MESSAGES: usize = 8;
/// Serial numbers that are remembered for each start of a sender, to detect duplicates.
const REPLAY_WINDOW: u32 = 512;
/// Starts of a sender that are remembered.
const MAX_STARTS: usize = 4;

/// The number of dropped datagrams since the start, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DroppedDatagrams {
    /// Datagrams that are too short, of another version, or not a message of the protocol.
    pub garbled: u64,
    /// Datagrams of a fleet with another name.
    pub other_fleet: u64,
    /// Datagrams whose sender is no member, or that come from the address of another member.
    pub unknown: u64,
    /// Datagrams whose tag doesn't match: they were altered, or the sender has another secret.
    pub wrong_mark: u64,
    /// Duplicates, and datagrams with too old a serial number.
    pub repeated: u64,
    /// Datagrams beyond the rate limit of one sender.
    pub flood: u64,
}

/// The serial numbers received from one start of a sender.
#[derive(Clone, Debug, Default)]
struct SenderStart {
    start: u32,
    highest_serial: u32,
    received_serials: BTreeSet<u32>,
}

/// The state of receiving from one sender.
#[derive(Clone, Debug, Default)]
struct Sender {
    /// The latest starts of the sender, the one received from last at the end. Several are kept side by side,
    /// since an old datagram of an unknown start must not lock out the sender's present start.
    starts: Vec<SenderStart>,
    /// Messages in parts, by start and first serial number.
    partial_messages: BTreeMap<(u32, u32), Vec<Option<Vec<u8>>>>,
    /// The present second of the rate limit.
    second: u64,
    /// Datagrams received in `second`.
    datagrams_in_second: u32,
}

/// Encodes and decodes the datagrams of one process.
pub struct PeerTransport {
    member: u16,
    /// The first bytes of the hash of the fleet's name.
    fleet_hash: [u8; 4],
    key: [u8; 32],
    start: u32,
    next_serial: u32,
    /// Bytes of a message in one part.
    part_bytes: usize,
    max_datagrams_per_second: u32,
    senders: Vec<Sender>,
    /// Datagrams that were dropped since the start, by cause.
    pub dropped: DroppedDatagrams,
}

fn bytes_at<const N: usize>(bytes: &[u8], offset: usize) -> [u8; N] {
    bytes.get(offset..offset + N).and_then(|bytes| bytes.try_into().ok()).unwrap_or([0; N])
}

impl PeerTransport {
    /// Creates the transport of one member. With an empty `secret` the tag protects only against accidents.
    /// `start` is a random number drawn at each start of the process.
    pub fn new(
        member: u16,
        member_count: u16,
        fleet: &str,
        secret: &str,
        start: u32,
        max_datagram_bytes: usize,
    ) -> Self {
        let key = blake3::derive_key("whinspindle datagrams between balancers, version 1", secret.as_bytes());
        PeerTransport {
            member,
            fleet_hash: bytes_at(blake3::hash(fleet.as_bytes()).as_bytes(), 0),
            key,
            start,
            next_serial: 0,
            part_bytes: max_datagram_bytes - HEADER_BYTES - TAG_BYTES,
            max_datagrams_per_second: 2_000 + 20 * u32::from(member_count),
            senders: vec![Sender::default(); member_count as usize],
            dropped: DroppedDatagrams::default(),
        }
    }

    fn tag(&self, to: u16, bytes: &[u8]) -> [u8; TAG_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        // The receiver is part of the hash, so that a datagram can't be redirected to another member.
        hasher.update(&to.to_le_bytes());
        hasher.update(bytes);
        bytes_at(hasher.finalize().as_bytes(), 0)
    }

    /// Encodes a message as datagrams; returns none if the message is too long.
    pub fn encode(&mut self, to: u16, message: &impl Serialize) -> Vec<Vec<u8>> {
        let Ok(bytes) = postcard::to_stdvec(message) else { return Vec::new() };
        let parts = bytes.len().div_ceil(self.part_bytes).max(1);
        if parts > MAX_PARTS {
            return Vec::new();
        }
        // Serial numbers run out after weeks, and begin again under another start number.
        if self.next_serial > u32::MAX - MAX_PARTS as u32 {
            (self.start, self.next_serial) = (self.start.wrapping_add(1), 0);
        }
        let mut datagrams = Vec::with_capacity(parts);
        for part in 0..parts {
            let mut datagram = Vec::with_capacity(self.part_bytes + HEADER_BYTES + TAG_BYTES);
            datagram.extend([VERSION, part as u8, parts as u8]);
            datagram.extend(self.fleet_hash);
            datagram.extend(self.member.to_le_bytes());
            datagram.extend(self.start.to_le_bytes());
            datagram.extend(self.next_serial.to_le_bytes());
            datagram.extend(&bytes[part * self.part_bytes..bytes.len().min((part + 1) * self.part_bytes)]);
            let tag = self.tag(to, &datagram);
            datagram.extend(tag);
            datagrams.push(datagram);
            self.next_serial += 1;
        }
        datagrams
    }

    /// The sender that a datagram claims to have, before it is authenticated.
    pub fn claimed_sender(datagram: &[u8]) -> Option<u16> {
        (datagram.len() >= HEADER_BYTES + TAG_BYTES).then(|| u16::from_le_bytes(bytes_at(datagram, 7)))
    }

    /// Receives a datagram from the address of the member `from`, and returns its message once that is
    /// complete. `second` counts the seconds of the process's own clock.
    pub fn receive<M: DeserializeOwned>(
        &mut self,
        second: u64,
        from: Option<u16>,
        datagram: &[u8],
    ) -> Option<(u16, M)> {
        let claimed = Self::claimed_sender(datagram);
        if claimed.is_none() || datagram[0] != VERSION {
            self.dropped.garbled += 1;
            return None;
        }
        if datagram[3..7] != self.fleet_hash {
            self.dropped.other_fleet += 1;
            return None;
        }
        let Some(from) =
            claimed.filter(|claimed| from == Some(*claimed) && (*claimed as usize) < self.senders.len())
        else {
            self.dropped.unknown += 1;
            return None;
        };
        let sender = &mut self.senders[from as usize];
        if sender.second != second {
            (sender.second, sender.datagrams_in_second) = (second, 0);
        }
        sender.datagrams_in_second += 1;
        if sender.datagrams_in_second > self.max_datagrams_per_second {
            self.dropped.flood += 1;
            return None;
        }
        let (body, tag) = datagram.split_at(datagram.len() - TAG_BYTES);
        if tag != self.tag(self.member, body) {
            self.dropped.wrong_mark += 1;
            return None;
        }
        let (part, parts) = (body[1] as usize, body[2] as usize);
        let (start, serial) = (u32::from_le_bytes(bytes_at(body, 9)), u32::from_le_bytes(bytes_at(body, 13)));
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
            let message_id = (start, serial.wrapping_sub(part as u32));
            self.senders[from as usize].add_part(message_id, part, parts, payload)?
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
    /// Guards against duplicated and long-delayed datagrams: returns whether the serial number is new and not
    /// too old.
    fn is_new(&mut self, start: u32, serial: u32) -> bool {
        let known = self.starts.iter().position(|known| known.start == start);
        let mut sender_start = match known {
            Some(index) => self.starts.remove(index),
            None => SenderStart { start, ..SenderStart::default() },
        };
        let is_new = serial.saturating_add(REPLAY_WINDOW) > sender_start.highest_serial
            && sender_start.received_serials.insert(serial);
        sender_start.highest_serial = sender_start.highest_serial.max(serial);
        while sender_start.received_serials.len() > REPLAY_WINDOW as usize {
            sender_start.received_serials.pop_first();
        }
        self.starts.push(sender_start);
        if self.starts.len() > MAX_STARTS {
            self.starts.remove(0);
        }
        is_new
    }

    /// Adds a part of a message, and returns the message once it is complete.
    fn add_part(
        &mut self,
        message_id: (u32, u32),
        part: usize,
        parts: usize,
        bytes: &[u8],
    ) -> Option<Vec<u8>> {
        let message = self.partial_messages.entry(message_id).or_insert_with(|| vec![None; parts]);
        if message.len() != parts {
            return None;
        }
        message[part] = Some(bytes.to_vec());
        if message.iter().all(Option::is_some) {
            return Some(
                self.partial_messages.remove(&message_id)?.into_iter().flatten().flatten().collect(),
            );
        }
        // The oldest partial message will not be completed any more.
        if self.partial_messages.len() > MAX_PARTIAL_MESSAGES {
            self.partial_messages.pop_first();
        }
        None
    }
}

#[cfg(test)]
mod tests;
