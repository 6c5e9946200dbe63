//! The list of servers from balancers that stayed up, for one that comes back while discovery does not
//! answer. No I/O and no clock: messages and times in, messages and a list out.
//!
//! Nothing that one neighbour says is believed against better word. Two that tell a list alike serve by it
//! themselves: it is taken as told while it is not old. What a single one tells is doubted whatever its age.
//! Of several lists that two tell, the one that discovery has confirmed last is taken, so that those that
//! come back from a cut of ten minutes are not believed against those that were not away. A process asks only
//! until discovery has answered.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use whinspindle_protocol::endpoints::{EndpointUpdate, ListedServer};

use crate::{AgeLimits, Trust, decode, encode};

/// Members asked at a time, and after how much time others are, in microseconds.
const MEMBERS_ASKED: usize = 3;
const ASK_INTERVAL: u64 = 200_000;
/// A single member's word, and an older one that two tell alike, is waited with for so long: better may come.
/// After the second time nothing more is asked for.
const SINGLE_SOURCE_WAIT: u64 = 600_000;
const ASK_TIME: u64 = 3_000_000;
/// Bytes of a list in one message, and chunks asked for at once.
const CHUNK_BYTES: usize = 160;
const CHUNKS_PER_REQUEST: u16 = 64;
/// Pieces that a member gives in one second to all together, so that those that return don't push it over.
const CHUNKS_PER_SECOND: u32 = 4_000;
/// Longest list that is asked for, in bytes: some 4,000 servers.
const MAX_LIST_BYTES: u32 = 256 * 1024;

/// The first half of a list's BLAKE3 hash.
type Name = [u8; 16];

/// What balancers say to each other of the list; its encoding is part of the protocol between them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NeighbourMessage {
    /// What list do you have by discovery's word?
    Ask,
    /// This one, told so many microseconds ago.
    Offer {
        /// The list's name.
        name: Name,
        /// Its length in bytes.
        length: u32,
        /// Time since discovery confirmed it, in microseconds.
        age_us: u64,
    },
    /// Pieces of it, from this one on.
    Fetch {
        /// The list's name.
        name: Name,
        /// Number of the first chunk.
        first_chunk: u16,
    },
    /// One chunk of a list.
    Chunk {
        /// The list's name.
        name: Name,
        /// Number of the chunk, from 0.
        chunk: u16,
        /// Its bytes.
        bytes: Vec<u8>,
    },
}

impl NeighbourMessage {
    /// The message as it is sent.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }
}

struct Own {
    name: Name,
    bytes: Vec<u8>,
    servers: Vec<ListedServer>,
    /// By this member's clock: when discovery told it, or said anything after that.
    at: u64,
}

/// A list that is put together.
struct Download {
    name: Name,
    chunks: Vec<Option<Vec<u8>>>,
    /// When chunks were asked for last.
    asked: u64,
}

/// The exchange of endpoint lists with the other balancers.
pub struct NeighbourExchange {
    me: u16,
    members: u16,
    ages: AgeLimits,
    own: Option<Own>,
    /// Discovery has told this process a list.
    discovered: bool,
    began: u64,
    next: u64,
    turn: u16,
    /// What each says that it has: name, length, and when that was told, by this member's clock.
    has: BTreeMap<u16, (Name, u32, u64)>,
    download: Option<Download>,
    /// What was taken last, how far it is believed, and when it was told.
    taken: Option<(Name, Trust, u64)>,
    /// In this second of the clock so many chunks were given.
    given: (u64, u32),
}

fn name_of(bytes: &[u8]) -> Name {
    let mut name = [0; 16];
    name.copy_from_slice(&blake3::hash(bytes).as_bytes()[..16]);
    name
}

impl NeighbourExchange {
    /// `seed` spreads whom those that return at once ask first.
    pub fn new(me: u16, members: u16, ages: AgeLimits, seed: u64, now: u64) -> NeighbourExchange {
        NeighbourExchange {
            me,
            members,
            ages,
            own: None,
            discovered: false,
            began: now,
            next: now,
            turn: (seed % u64::from(members.max(1))) as u16,
            has: BTreeMap::new(),
            download: None,
            taken: None,
            given: (0, 0),
        }
    }

    /// The list as discovery has told it; it has confirmed it last at this time.
    pub fn record_discovered(&mut self, at: u64, servers: &[ListedServer]) {
        self.discovered = true;
        match &mut self.own {
            Some(own) if own.servers == servers => own.at = at,
            _ => {
                let mut sorted = servers.to_vec();
                sorted.sort_by(|a, b| a.name.cmp(&b.name));
                // Without its time: members that were told the same at other moments have the same list.
                let bytes = encode(&sorted, 0, 0);
                let own = Own { name: name_of(&bytes), bytes, servers: servers.to_vec(), at };
                self.own = Some(own)
                    .filter(|own| !own.servers.is_empty() && own.bytes.len() <= MAX_LIST_BYTES as usize);
            }
        }
        self.download = None;
    }

    /// Called a few times a second; what is to be sent, and to whom.
    pub fn tick(&mut self, now: u64) -> Vec<(u16, NeighbourMessage)> {
        // Discovery has answered, or two members have: nothing better is to be had here.
        let done = matches!(self.taken, Some((_, Trust::Full, _))) && now >= self.began + ASK_TIME;
        if self.discovered || done || self.members < 2 {
            return Vec::new();
        }
        let mut said = Vec::new();
        if now >= self.next {
            self.next = now + ASK_INTERVAL;
            for _ in 0..MEMBERS_ASKED.min(self.members as usize - 1) {
                self.turn = (self.turn + 1) % self.members;
                if self.turn == self.me {
                    self.turn = (self.turn + 1) % self.members;
                }
                said.push((self.turn, NeighbourMessage::Ask));
            }
        }
        said.extend(self.fetch(now));
        said
    }

    /// The list that is to be had: what most members tell alike, the youngest of those; with how many tell
    /// it.
    fn best(&self, now: u64) -> Option<(Name, u32, u64, usize)> {
        let mut alike: BTreeMap<Name, (u32, u64, usize)> = BTreeMap::new();
        for (name, length, at) in self.has.values() {
            let known = alike.entry(*name).or_insert((*length, *at, 0));
            // By the oldest word of those that tell it alike: that is what all of them have seen.
            (known.1, known.2) = (if known.2 == 0 { *at } else { known.1.min(*at) }, known.2 + 1);
        }
        let best = alike.into_iter().max_by_key(|(_, (_, at, count))| ((*count).min(2), *at));
        let (name, (length, at, count)) = best?;
        let surely = count > 1 && now.saturating_sub(at) <= self.ages.fresh_us;
        (surely || now >= self.began + SINGLE_SOURCE_WAIT).then_some((name, length, at, count))
    }

    fn fetch(&mut self, now: u64) -> Option<(u16, NeighbourMessage)> {
        let (name, length, _, count) = self.best(now)?;
        if self.taken.is_some_and(|(taken, trust, _)| taken == name && (count < 2 || trust == Trust::Full)) {
            return None;
        }
        if self.download.as_ref().is_none_or(|download| download.name != name) {
            let chunks = vec![None; (length as usize).div_ceil(CHUNK_BYTES)];
            self.download = Some(Download { name, chunks, asked: 0 });
        }
        let download = self.download.as_mut()?;
        if now < download.asked + ASK_INTERVAL / 4 {
            return None;
        }
        let from = download.chunks.iter().position(Option::is_none)?;
        download.asked = now;
        // Those that have it in turn, so that one that dies meanwhile holds nothing up.
        let have: Vec<u16> =
            self.has.iter().filter(|(_, (of, ..))| *of == name).map(|(member, _)| *member).collect();
        let of = have.get((now / (ASK_INTERVAL / 4)) as usize % have.len().max(1))?;
        Some((*of, NeighbourMessage::Fetch { name, first_chunk: from as u16 }))
    }

    /// A member says something; what is answered.
    pub fn receive(&mut self, now: u64, from: u16, bytes: &[u8]) -> Vec<NeighbourMessage> {
        let Ok(message) = postcard::from_bytes::<NeighbourMessage>(bytes) else { return Vec::new() };
        match message {
            NeighbourMessage::Ask => {
                let has = |own: &Own| NeighbourMessage::Offer {
                    name: own.name,
                    length: own.bytes.len() as u32,
                    age_us: now.saturating_sub(own.at),
                };
                self.own.iter().map(has).collect()
            }
            NeighbourMessage::Offer { name, length, age_us: age } => {
                if from != self.me && from < self.members && length > 0 && length <= MAX_LIST_BYTES {
                    self.has.insert(from, (name, length, now.saturating_sub(age)));
                }
                Vec::new()
            }
            NeighbourMessage::Fetch { name, first_chunk: first } => self.give(now, name, first),
            NeighbourMessage::Chunk { name, chunk, bytes } => {
                if let Some(download) = self.download.as_mut().filter(|download| download.name == name)
                    && bytes.len() <= CHUNK_BYTES
                    && let Some(place) = download.chunks.get_mut(chunk as usize)
                {
                    *place = Some(bytes);
                    if download.chunks.iter().take(chunk as usize).all(Option::is_some)
                        && (chunk + 1) % CHUNKS_PER_REQUEST == 0
                    {
                        // The next ones are asked for without a pause.
                        download.asked = 0;
                    }
                }
                Vec::new()
            }
        }
    }

    fn give(&mut self, now: u64, name: Name, first: u16) -> Vec<NeighbourMessage> {
        let second = now / 1_000_000;
        if self.given.0 != second {
            self.given = (second, 0);
        }
        let Some(own) = self.own.as_ref().filter(|own| own.name == name) else { return Vec::new() };
        let left = CHUNKS_PER_SECOND.saturating_sub(self.given.1) as usize;
        let chunks = own
            .bytes
            .chunks(CHUNK_BYTES)
            .enumerate()
            .skip(first as usize)
            .take(usize::from(CHUNKS_PER_REQUEST).min(left));
        let given: Vec<NeighbourMessage> = chunks
            .map(|(chunk, bytes)| NeighbourMessage::Chunk {
                name,
                chunk: chunk as u16,
                bytes: bytes.to_vec(),
            })
            .collect();
        self.given.1 += given.len() as u32;
        given
    }

    /// A list to go by, once one is whole, and how far it is believed; better ones may follow. `unix` is the
    /// time by which starts are told, in microseconds.
    pub fn take_list(&mut self, now: u64, unix: u64) -> Option<(EndpointUpdate, Trust)> {
        let (name, _, at, count) = self.best(now)?;
        let age = now.saturating_sub(at);
        let trust = match (count, age) {
            (2.., age) if age <= self.ages.old_us => Trust::Full,
            (_, age) if age <= self.ages.old_us => Trust::Doubted,
            _ => Trust::Unverified,
        };
        // What was taken before gives way to what is believed further, or was told later and is believed as
        // far.
        let worse = |(taken, of, told): (Name, Trust, u64)| match (of == trust, trust) {
            (true, _) => taken != name && at > told,
            (false, Trust::Full) => true,
            (false, Trust::Doubted) => of == Trust::Unverified,
            (false, Trust::Unverified) => false,
        };
        if self.discovered || !self.taken.is_none_or(worse) {
            return None;
        }
        let download = self.download.as_ref().filter(|download| download.name == name)?;
        let chunks: Option<Vec<&Vec<u8>>> = download.chunks.iter().map(Option::as_ref).collect();
        let bytes: Vec<u8> = chunks?.into_iter().flatten().copied().collect();
        if name_of(&bytes) != name {
            // Pieces of another list under its name: they are asked for anew.
            self.download = None;
            return None;
        }
        let update = decode(&bytes, trust, unix)?;
        self.taken = Some((name, trust, at));
        Some((update, trust))
    }
}
