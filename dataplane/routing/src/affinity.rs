//! Which instance keeps a shared part of prompts: rendezvous hashing, so that all balancers agree without a word.

use crate::PromptPart;
use crate::instance::InstanceState;

/// The instance that keeps a prefix may hold this many times the mean of this balancer's sends ...
const MOST_LOAD: f64 = 1.25;
/// ... or one above it, and one more for each so many tokens, if that is more.
const TOKENS_IN_FLIGHT: u32 = 2_000;
const MOST_IN_FLIGHT: u32 = 3;
/// The same of sends that wait for their first event: their prompts are read one after the other.
const TOKENS_WAITING: u32 = 4_000;
const MOST_WAITING: u32 = 1;

/// The chain of shared parts that begins a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SharedPrefix {
    pub(crate) hash: u64,
    pub(crate) tokens: u32,
}

/// All parts but the last, which is the request's or session's own; the own one where it is the only one.
pub(crate) fn shared_prefix(prompt: &[PromptPart]) -> Option<SharedPrefix> {
    let (own, shared) = prompt.split_last()?;
    let chain = if shared.is_empty() { std::slice::from_ref(own) } else { shared };
    let hash = chain.iter().fold(0, |hash, part| mix(hash ^ part.id));
    let tokens = shared.iter().fold(0u32, |sum, part| sum.saturating_add(part.tokens));
    Some(SharedPrefix { hash, tokens })
}

/// The same for an instance's id on every balancer.
pub(crate) fn hash_id(id: &str) -> u64 {
    id.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// How high an instance ranks for a prefix: the highest keeps it.
pub(crate) fn rank(prefix: SharedPrefix, instance_hash: u64) -> u64 {
    mix(prefix.hash ^ mix(instance_hash))
}

/// The finalizer of SplitMix64: spreads each bit over all.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// How much an instance may hold before a prefix goes on to the next one in rank.
pub(crate) struct Crowd {
    most_in_flight: f64,
    most_waiting: f64,
}

impl Crowd {
    pub(crate) fn of<'a>(prefix: SharedPrefix, candidates: impl Iterator<Item = &'a InstanceState>) -> Self {
        let (mut count, mut in_flight, mut waiting) = (0.0, 0.0, 0.0);
        for instance in candidates {
            count += 1.0;
            in_flight += f64::from(instance.in_flight);
            waiting += f64::from(instance.unanswered);
        }
        let most = |sum: f64, extra: u32| {
            let mean = sum / f64::max(count, 1.0);
            (MOST_LOAD * mean).max(mean + 1.0 + f64::from(extra))
        };
        Crowd {
            most_in_flight: most(in_flight, (prefix.tokens / TOKENS_IN_FLIGHT).min(MOST_IN_FLIGHT)),
            most_waiting: most(waiting, (prefix.tokens / TOKENS_WAITING).min(MOST_WAITING)),
        }
    }

    pub(crate) fn has_room(&self, instance: &InstanceState) -> bool {
        f64::from(instance.in_flight + 1) <= self.most_in_flight
            && f64::from(instance.unanswered + 1) <= self.most_waiting
    }
}
