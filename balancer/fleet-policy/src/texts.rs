//! The texts of policies: whole ones by their hash, and one that is put together from pieces.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::record::{Hash, LONGEST_TEXT};

/// Bytes of a text in one message, so that it fits a datagram of 256 bytes with its frame.
pub const PIECE: usize = 176;
/// Whole texts kept: the one in force, the next, and the one before for those that are behind.
const KEPT: usize = 4;
/// Pieces asked for at once: the bits of a word.
pub const AT_ONCE: usize = 64;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Partly {
    hash: Hash,
    length: usize,
    pieces: Vec<Option<Vec<u8>>>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Texts {
    whole: BTreeMap<Hash, Rc<[u8]>>,
    /// In the order in which they came.
    order: Vec<Hash>,
    partly: Option<Partly>,
}

impl Texts {
    pub fn get(&self, hash: Hash) -> Option<Rc<[u8]>> {
        self.whole.get(&hash).cloned()
    }

    pub fn put(&mut self, text: &[u8]) -> Hash {
        let hash = Hash::of(text);
        if self.whole.insert(hash, text.into()).is_none() {
            self.order.push(hash);
        }
        hash
    }

    /// Lets go of the oldest beyond the limit, but not of those in use.
    pub fn let_go(&mut self, used: &[Hash]) {
        while self.order.len() > KEPT {
            let Some(place) = self.order.iter().position(|hash| !used.contains(hash)) else { return };
            self.whole.remove(&self.order.remove(place));
        }
    }

    /// The first piece wanting of a text, and which of those from there on are wanting too.
    pub fn wanting(&mut self, hash: Hash, length: u32) -> Option<(u16, u64)> {
        let length = length as usize;
        if self.whole.contains_key(&hash) || length == 0 || length > LONGEST_TEXT {
            return None;
        }
        if self.partly.as_ref().is_none_or(|partly| partly.hash != hash || partly.length != length) {
            let pieces = vec![None; length.div_ceil(PIECE)];
            self.partly = Some(Partly { hash, length, pieces });
        }
        let pieces = &self.partly.as_ref()?.pieces;
        let first = pieces.iter().position(Option::is_none)?;
        let window = pieces[first..].iter().take(AT_ONCE).enumerate();
        let wanting = window.filter(|(_, piece)| piece.is_none()).fold(0, |bits, (at, _)| bits | 1 << at);
        Some((first as u16, wanting))
    }

    /// Whether a piece of those asked for is still on its way.
    pub fn is_wanting(&self, hash: Hash, piece: u16, wanting: u64) -> bool {
        let Some(partly) = self.partly.as_ref().filter(|partly| partly.hash == hash) else { return false };
        let asked = (0..AT_ONCE).filter(|at| wanting >> at & 1 == 1).map(|at| piece as usize + at);
        asked.filter_map(|at| partly.pieces.get(at)).any(Option::is_none)
    }

    pub fn lacks(&self, hash: Hash) -> u64 {
        let of = self.partly.as_ref().filter(|partly| partly.hash == hash);
        of.map_or(0, |partly| partly.pieces.iter().filter(|piece| piece.is_none()).count() as u64)
    }

    pub fn piece(&self, hash: Hash, piece: u16) -> Option<(u32, Vec<u8>)> {
        let text = self.whole.get(&hash)?;
        let bytes = text.chunks(PIECE).nth(piece as usize)?;
        Some((text.len() as u32, bytes.to_vec()))
    }

    /// Takes a piece; whether the text is whole now. Guards against pieces that are not of it: a text whose hash
    /// is another is thrown away.
    pub fn take(&mut self, hash: Hash, piece: u16, bytes: Vec<u8>) -> bool {
        let Some(partly) = self.partly.as_mut().filter(|partly| partly.hash == hash) else { return false };
        let count = partly.pieces.len();
        let last = partly.length - (count - 1) * PIECE;
        let Some(place) = partly.pieces.get_mut(piece as usize) else { return false };
        if bytes.len() != (if piece as usize + 1 == count { last } else { PIECE }) {
            return false;
        }
        *place = Some(bytes);
        if partly.pieces.iter().any(Option::is_none) {
            return false;
        }
        let text: Vec<u8> = partly.pieces.iter().flatten().flatten().copied().collect();
        self.partly = None;
        if Hash::of(&text) != hash {
            return false;
        }
        self.put(&text);
        true
    }
}
