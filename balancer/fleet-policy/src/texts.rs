//! The store of policy and plan texts: the complete texts by hash, and one text that is assembled from
//! chunks.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::record::{Hash, MAX_TEXT_BYTES};

/// Bytes of a text in one message, which fits a datagram of 256 bytes together with its frame.
pub const CHUNK_BYTES: usize = 176;
/// The number of complete texts that are kept. Members that lag behind still fetch the previous one.
const MAX_TEXTS: usize = 4;
/// Chunks requested at once, one for each bit of a `u64`.
pub const CHUNKS_PER_REQUEST: usize = 64;

/// A text of which some chunks are missing.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PartialText {
    hash: Hash,
    length: usize,
    chunks: Vec<Option<Vec<u8>>>,
}

/// The texts of a member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Texts {
    complete: BTreeMap<Hash, Rc<[u8]>>,
    /// The hashes of the complete texts, oldest first.
    insertion_order: Vec<Hash>,
    partial: Option<PartialText>,
}

impl Texts {
    /// Returns a complete text.
    pub fn get(&self, hash: Hash) -> Option<Rc<[u8]>> {
        self.complete.get(&hash).cloned()
    }

    /// Stores a complete text.
    pub fn insert(&mut self, text: &[u8]) -> Hash {
        let hash = Hash::of(text);
        if self.complete.insert(hash, text.into()).is_none() {
            self.insertion_order.push(hash);
        }
        hash
    }

    /// Drops the oldest texts beyond the limit, except those in use.
    pub fn evict(&mut self, used: &[Hash]) {
        while self.insertion_order.len() > MAX_TEXTS {
            let Some(oldest) = self.insertion_order.iter().position(|hash| !used.contains(hash)) else {
                return;
            };
            self.complete.remove(&self.insertion_order.remove(oldest));
        }
    }

    /// The first missing chunk of a text, and a bit for each missing chunk from there on.
    pub fn missing_chunks(&mut self, hash: Hash, length: u32) -> Option<(u16, u64)> {
        let length = length as usize;
        if self.complete.contains_key(&hash) || length == 0 || length > MAX_TEXT_BYTES {
            return None;
        }
        if self.partial.as_ref().is_none_or(|partial| partial.hash != hash || partial.length != length) {
            let chunks = vec![None; length.div_ceil(CHUNK_BYTES)];
            self.partial = Some(PartialText { hash, length, chunks });
        }
        let chunks = &self.partial.as_ref()?.chunks;
        let first = chunks.iter().position(Option::is_none)?;
        let window = chunks[first..].iter().take(CHUNKS_PER_REQUEST).enumerate();
        let missing =
            window.filter(|(_, chunk)| chunk.is_none()).fold(0, |bits, (offset, _)| bits | 1 << offset);
        Some((first as u16, missing))
    }

    /// Whether one of the requested chunks hasn't been received yet.
    pub fn is_missing(&self, hash: Hash, chunk: u16, missing: u64) -> bool {
        let Some(partial) = self.partial.as_ref().filter(|partial| partial.hash == hash) else {
            return false;
        };
        let requested = (0..CHUNKS_PER_REQUEST)
            .filter(|offset| missing >> offset & 1 == 1)
            .map(|offset| chunk as usize + offset);
        requested.filter_map(|index| partial.chunks.get(index)).any(Option::is_none)
    }

    /// The number of missing chunks of the text that is being assembled.
    pub fn missing_chunk_count(&self, hash: Hash) -> u64 {
        let partial = self.partial.as_ref().filter(|partial| partial.hash == hash);
        partial.map_or(0, |partial| partial.chunks.iter().filter(|chunk| chunk.is_none()).count() as u64)
    }

    /// Returns a chunk of a complete text, and the length of that text in bytes.
    pub fn chunk(&self, hash: Hash, chunk: u16) -> Option<(u32, Vec<u8>)> {
        let text = self.complete.get(&hash)?;
        let bytes = text.chunks(CHUNK_BYTES).nth(chunk as usize)?;
        Some((text.len() as u32, bytes.to_vec()))
    }

    /// Adds a chunk and returns whether the text is complete now. Guards against chunks of another text: an
    /// assembled text with the wrong hash is dropped.
    pub fn add_chunk(&mut self, hash: Hash, chunk: u16, bytes: Vec<u8>) -> bool {
        let Some(partial) = self.partial.as_mut().filter(|partial| partial.hash == hash) else {
            return false;
        };
        let count = partial.chunks.len();
        let last_length = partial.length - (count - 1) * CHUNK_BYTES;
        let Some(slot) = partial.chunks.get_mut(chunk as usize) else { return false };
        if bytes.len() != (if chunk as usize + 1 == count { last_length } else { CHUNK_BYTES }) {
            return false;
        }
        *slot = Some(bytes);
        if partial.chunks.iter().any(Option::is_none) {
            return false;
        }
        let text: Vec<u8> = partial.chunks.iter().flatten().flatten().copied().collect();
        self.partial = None;
        if Hash::of(&text) != hash {
            return false;
        }
        self.insert(&text);
        true
    }
}
