//! Cached parts of prompts. A part is of use only behind the same parts before it; the least recently used give way.

use std::collections::HashMap;

use super::work::PromptPart;

/// Names a part together with all parts before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartKey(pub u64);

/// A part as the cache sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CachedPart {
    pub key: PartKey,
    pub parent: Option<PartKey>,
    pub tokens: u64,
}

/// The parts of a prompt with their keys.
pub fn chain_of(prompt: &[PromptPart]) -> Vec<CachedPart> {
    let mut parent = None;
    let mut chain = Vec::with_capacity(prompt.len());
    for part in prompt {
        let key = part_key(parent, part.id);
        chain.push(CachedPart { key, parent, tokens: part.tokens });
        parent = Some(key);
    }
    chain
}

fn part_key(parent: Option<PartKey>, id: u64) -> PartKey {
    const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    let seed = parent.map_or(MULTIPLIER, |parent| parent.0);
    let mixed = (seed.rotate_left(23) ^ id).wrapping_mul(MULTIPLIER);
    PartKey(mixed ^ (mixed >> 31))
}

#[derive(Debug)]
struct Entry {
    parent: Option<PartKey>,
    tokens: u64,
    /// Running requests that use the part.
    users: usize,
    /// Cached parts that stand right behind it.
    children: usize,
    last_use: u64,
}

/// The cached parts of one engine.
#[derive(Debug, Default)]
pub struct PrefixCache {
    entries: HashMap<PartKey, Entry>,
    tokens: u64,
    pinned_tokens: u64,
    uses: u64,
}

impl PrefixCache {
    /// Tokens of all cached parts.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Tokens of the parts that running requests use; these can't give way.
    pub fn pinned_tokens(&self) -> u64 {
        self.pinned_tokens
    }

    /// How many parts from the start of a chain are cached.
    pub fn cached_prefix(&self, chain: &[CachedPart]) -> usize {
        chain.iter().take_while(|part| self.entries.contains_key(&part.key)).count()
    }

    /// Tokens by which the pinned ones grow if these cached parts are pinned.
    pub fn unpinned_tokens(&self, chain: &[CachedPart]) -> u64 {
        let entries = chain.iter().filter_map(|part| self.entries.get(&part.key));
        entries.filter(|entry| entry.users == 0).map(|entry| entry.tokens).sum()
    }

    /// Takes a part in use; it was just read, unless it is cached already.
    pub fn pin(&mut self, part: &CachedPart) {
        self.uses += 1;
        let uses = self.uses;
        if !self.entries.contains_key(&part.key) {
            self.insert(part);
        }
        if let Some(entry) = self.entries.get_mut(&part.key) {
            if entry.users == 0 {
                self.pinned_tokens += entry.tokens;
            }
            entry.users += 1;
            entry.last_use = uses;
        }
    }

    /// Ends one use of a part; it stays cached.
    pub fn unpin(&mut self, key: PartKey) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.users -= 1;
            if entry.users == 0 {
                self.pinned_tokens -= entry.tokens;
            }
        }
    }

    /// Drops the least recently used part that nothing rests on; false if there is none.
    pub fn evict_one(&mut self) -> bool {
        let idle = self.entries.iter().filter(|(_, entry)| entry.users == 0 && entry.children == 0);
        let Some(key) = idle.min_by_key(|(_, entry)| entry.last_use).map(|(key, _)| *key) else {
            return false;
        };
        if let Some(entry) = self.entries.remove(&key) {
            self.tokens -= entry.tokens;
            self.add_child(entry.parent, -1);
        }
        true
    }

    fn insert(&mut self, part: &CachedPart) {
        let entry =
            Entry { parent: part.parent, tokens: part.tokens, users: 0, children: 0, last_use: self.uses };
        self.entries.insert(part.key, entry);
        self.tokens += part.tokens;
        self.add_child(part.parent, 1);
    }

    fn add_child(&mut self, parent: Option<PartKey>, change: isize) {
        if let Some(entry) = parent.and_then(|parent| self.entries.get_mut(&parent)) {
            entry.children = entry.children.saturating_add_signed(change);
        }
    }
}
