//! The exchange of endpoint lists between balancers, for a balancer that restarts while discovery doesn't
//! answer.
//!
//! A list that two neighbours hold in the same form is trusted fully while it is not old; a list from a
//! single neighbour is doubted whatever its age. Of several lists that two neighbours hold, the one that
//! discovery confirmed last is taken, so that members that return from a long partition don't outvote the
//! others. A process asks only until discovery has answered. The module does no I/O and reads no clock.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use whinspindle_protocol::endpoints::{EndpointUpdate, ListedServer};

use crate::{AgeLimits, Trust, decode_update, encode};

/// Members that are asked at once.
const MEMBERS_ASKED: usize = 3;
/// Time after which other members are asked, in microseconds.
const ASK_INTERVAL_US: u64 = 200_000;
/// How long a list from a single member, or one that is not fresh, waits for a better one, in microseconds.
const SINGLE_SOURCE_WAIT_US: u64 = 600_000;
/// Time after which a process with a fully trusted list stops asking, in microseconds.
const ASK_TIME_US: u64 = 3_000_000;
/// Bytes of a list in one message.
const CHUNK_BYTES: usize = 160;
/// Chunks requested at once.
const CHUNKS_PER_REQUEST: u16 = 64;
/// Chunks that a member sends in one second, so that many restarting balancers don't overload it.
const CHUNKS_PER_SECOND: u32 = 4_000;
/// The longest list that is requested, in bytes: about 4,000 servers.
const MAX_LIST_BYTES: u32 = 256 * 1024;

/// The first half of a list's BLAKE3 hash.
type ListHash = [u8; 16];

/// A message about endpoint lists; its encoding is part of the protocol between balancers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NeighbourMessage {
    /// Asks which list the receiver has from discovery.
    Ask,
    /// The answer to `Ask`: the list that the sender has.
    Offer {
        /// The hash of the list.
        hash: ListHash,
        /// The length of the list in bytes.
        length: u32,
        /// Time since discovery confirmed the list, in microseconds.
        age_us: u64,
    },
    /// Requests chunks of a list.
    Fetch {
        /// The hash of the list.
        hash: ListHash,
        /// The index of the first chunk.
        first_chunk: u16,
    },
    /// One chunk of a list.
    Chunk {
        /// The hash of the list.
        hash: ListHash,
        /// The index of the chunk, from 0.
        chunk: u16,
        /// The bytes of the chunk.
        bytes: Vec<u8>,
    },
}

impl NeighbourMessage {
    /// Encodes the message.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }
}

/// The list that this member has from discovery.
struct OwnList {
    hash: ListHash,
    bytes: Vec<u8>,
    servers: Vec<ListedServer>,
    /// When discovery last confirmed the list, by this member's clock.
    confirmed_at_us: u64,
}

/// A list that is assembled from chunks.
struct Download {
    hash: ListHash,
    chunks: Vec<Option<Vec<u8>>>,
    /// When chunks were last requested.
    requested_at_us: u64,
}

/// The exchange of endpoint lists with the other balancers.
pub struct NeighbourExchange {
    member: u16,
    member_count: u16,
    age_limits: AgeLimits,
    own_list: Option<OwnList>,
    /// Whether discovery has sent this process a list.
    is_discovered: bool,
    started_at_us: u64,
    next_ask_at_us: u64,
    /// The member that was asked last.
    last_asked: u16,
    /// The list that each member offers: its hash, its length, and when it was confirmed by this member's
    /// clock.
    offers: BTreeMap<u16, (ListHash, u32, u64)>,
    download: Option<Download>,
    /// The list that was taken last, its trust, and when it was confirmed.
    taken: Option<(ListHash, Trust, u64)>,
    /// The present second, and the number of chunks sent in it.
    chunks_sent: (u64, u32),
}

fn hash_of(bytes: &[u8]) -> ListHash {
    let mut hash = [0; 16];
    hash.copy_from_slice(&blake3::hash(bytes).as_bytes()[..16]);
    hash
}

impl NeighbourExchange {
    /// Creates the exchange of one member. `seed` decides which member is asked first, so that members that
    /// restart together ask different ones.
    pub fn new(
        member: u16,
        member_count: u16,
        age_limits: AgeLimits,
        seed: u64,
        now: u64,
    ) -> NeighbourExchange {
        NeighbourExchange {
            member,
            member_count,
            age_limits,
            own_list: None,
            is_discovered: false,
            started_at_us: now,
            next_ask_at_us: now,
            last_asked: (seed % u64::from(member_count.max(1))) as u16,
            offers: BTreeMap::new(),
            download: None,
            taken: None,
            chunks_sent: (0, 0),
        }
    }

    /// Records the list from discovery, which confirmed it last at `confirmed_at_us`.
    pub fn record_discovered(&mut self, confirmed_at_us: u64, servers: &[ListedServer]) {
        self.is_discovered = true;
        match &mut self.own_list {
            Some(own) if own.servers == servers => own.confirmed_at_us = confirmed_at_us,
            _ => {
                let mut sorted = servers.to_vec();
                sorted.sort_by(|a, b| a.name.cmp(&b.name));
                // Encoded without its time, so that members that received the same list at different times
                // compute the same hash.
                let bytes = encode(&sorted, 0, 0);
                let own =
                    OwnList { hash: hash_of(&bytes), bytes, servers: servers.to_vec(), confirmed_at_us };
                self.own_list = Some(own)
                    .filter(|own| !own.servers.is_empty() && own.bytes.len() <= MAX_LIST_BYTES as usize);
            }
        }
        self.download = None;
    }

    /// Returns the messages that are due, with their receivers. To be called a few times a second.
    pub fn tick(&mut self, now: u64) -> Vec<(u16, NeighbourMessage)> {
        // Once discovery has answered, or two members agree, neighbours can't provide a better list.
        let is_done =
            matches!(self.taken, Some((_, Trust::Full, _))) && now >= self.started_at_us + ASK_TIME_US;
        if self.is_discovered || is_done || self.member_count < 2 {
            return Vec::new();
        }
        let mut messages = Vec::new();
        if now >= self.next_ask_at_us {
            self.next_ask_at_us = now + ASK_INTERVAL_US;
            for _ in 0..MEMBERS_ASKED.min(self.member_count as usize - 1) {
                self.last_asked = (self.last_asked + 1) % self.member_count;
                if self.last_asked == self.member {
                    self.last_asked = (self.last_asked + 1) % self.member_count;
                }
                messages.push((self.last_asked, NeighbourMessage::Ask));
            }
        }
        messages.extend(self.fetch(now));
        messages
    }

    /// The best list on offer: its hash, its length, when it was confirmed, and how many members offer it. A
    /// list that two members offer is preferred, and then the one that was confirmed last.
    fn best_offer(&self, now: u64) -> Option<(ListHash, u32, u64, usize)> {
        let mut by_hash: BTreeMap<ListHash, (u32, u64, usize)> = BTreeMap::new();
        for (hash, length, at) in self.offers.values() {
            let offer = by_hash.entry(*hash).or_insert((*length, *at, 0));
            // The oldest confirmation counts, since it is the one that all these members have seen.
            (offer.1, offer.2) = (if offer.2 == 0 { *at } else { offer.1.min(*at) }, offer.2 + 1);
        }
        let best = by_hash.into_iter().max_by_key(|(_, (_, at, count))| ((*count).min(2), *at));
        let (hash, (length, at, count)) = best?;
        let is_certain = count > 1 && now.saturating_sub(at) <= self.age_limits.fresh_us;
        (is_certain || now >= self.started_at_us + SINGLE_SOURCE_WAIT_US).then_some((hash, length, at, count))
    }

    fn fetch(&mut self, now: u64) -> Option<(u16, NeighbourMessage)> {
        let (hash, length, _, count) = self.best_offer(now)?;
        if self.taken.is_some_and(|(taken, trust, _)| taken == hash && (count < 2 || trust == Trust::Full)) {
            return None;
        }
        if self.download.as_ref().is_none_or(|download| download.hash != hash) {
            let chunks = vec![None; (length as usize).div_ceil(CHUNK_BYTES)];
            self.download = Some(Download { hash, chunks, requested_at_us: 0 });
        }
        let download = self.download.as_mut()?;
        if now < download.requested_at_us + ASK_INTERVAL_US / 4 {
            return None;
        }
        let first_chunk = download.chunks.iter().position(Option::is_none)?;
        download.requested_at_us = now;
        // The members that offer the list take turns, so that a failed one doesn't block the download.
        let sources: Vec<u16> =
            self.offers.iter().filter(|(_, (of, ..))| *of == hash).map(|(member, _)| *member).collect();
        let source = sources.get((now / (ASK_INTERVAL_US / 4)) as usize % sources.len().max(1))?;
        Some((*source, NeighbourMessage::Fetch { hash, first_chunk: first_chunk as u16 }))
    }

    /// Handles a message and returns the answers to its sender.
    pub fn receive(&mut self, now: u64, from: u16, bytes: &[u8]) -> Vec<NeighbourMessage> {
        let Ok(message) = postcard::from_bytes::<NeighbourMessage>(bytes) else { return Vec::new() };
        match message {
            NeighbourMessage::Ask => {
                let offer = |own: &OwnList| NeighbourMessage::Offer {
                    hash: own.hash,
                    length: own.bytes.len() as u32,
                    age_us: now.saturating_sub(own.confirmed_at_us),
                };
                self.own_list.iter().map(offer).collect()
            }
            NeighbourMessage::Offer { hash, length, age_us } => {
                if from != self.member && from < self.member_count && length > 0 && length <= MAX_LIST_BYTES {
                    self.offers.insert(from, (hash, length, now.saturating_sub(age_us)));
                }
                Vec::new()
            }
            NeighbourMessage::Fetch { hash, first_chunk } => self.send_chunks(now, hash, first_chunk),
            NeighbourMessage::Chunk { hash, chunk, bytes } => {
                if let Some(download) = self.download.as_mut().filter(|download| download.hash == hash)
                    && bytes.len() <= CHUNK_BYTES
                    && let Some(slot) = download.chunks.get_mut(chunk as usize)
                {
                    *slot = Some(bytes);
                    if download.chunks.iter().take(chunk as usize).all(Option::is_some)
                        && (chunk + 1) % CHUNKS_PER_REQUEST == 0
                    {
                        // The next chunks are requested without a pause.
                        download.requested_at_us = 0;
                    }
                }
                Vec::new()
            }
        }
    }

    fn send_chunks(&mut self, now: u64, hash: ListHash, first_chunk: u16) -> Vec<NeighbourMessage> {
        let second = now / 1_000_000;
        if self.chunks_sent.0 != second {
            self.chunks_sent = (second, 0);
        }
        let Some(own) = self.own_list.as_ref().filter(|own| own.hash == hash) else { return Vec::new() };
        let budget = CHUNKS_PER_SECOND.saturating_sub(self.chunks_sent.1) as usize;
        let chunks = own
            .bytes
            .chunks(CHUNK_BYTES)
            .enumerate()
            .skip(first_chunk as usize)
            .take(usize::from(CHUNKS_PER_REQUEST).min(budget));
        let messages: Vec<NeighbourMessage> = chunks
            .map(|(chunk, bytes)| NeighbourMessage::Chunk {
                hash,
                chunk: chunk as u16,
                bytes: bytes.to_vec(),
            })
            .collect();
        self.chunks_sent.1 += messages.len() as u32;
        messages
    }

    /// Returns a list and its trust once a download is complete; better lists may follow. `unix` is the wall
    /// clock in microseconds, from which the start times of servers are taken.
    pub fn take_list(&mut self, now: u64, unix: u64) -> Option<(EndpointUpdate, Trust)> {
        let (hash, _, at, count) = self.best_offer(now)?;
        let age = now.saturating_sub(at);
        let trust = match (count, age) {
            (2.., age) if age <= self.age_limits.old_us => Trust::Full,
            (_, age) if age <= self.age_limits.old_us => Trust::Doubted,
            _ => Trust::Unverified,
        };
        // The list that was taken before is replaced by one with more trust, or by one with the same trust
        // that was confirmed later.
        let is_worse =
            |(taken, taken_trust, taken_at): (ListHash, Trust, u64)| match (taken_trust == trust, trust) {
                (true, _) => taken != hash && at > taken_at,
                (false, Trust::Full) => true,
                (false, Trust::Doubted) => taken_trust == Trust::Unverified,
                (false, Trust::Unverified) => false,
            };
        if self.is_discovered || !self.taken.is_none_or(is_worse) {
            return None;
        }
        let download = self.download.as_ref().filter(|download| download.hash == hash)?;
        let chunks: Option<Vec<&Vec<u8>>> = download.chunks.iter().map(Option::as_ref).collect();
        let bytes: Vec<u8> = chunks?.into_iter().flatten().copied().collect();
        if hash_of(&bytes) != hash {
            // Some chunks belong to another list: the download starts over.
            self.download = None;
            return None;
        }
        let update = decode_update(&bytes, trust, unix)?;
        self.taken = Some((hash, trust, at));
        Some((update, trust))
    }
}
