//! Which instance keeps a shared part of prompts: rendezvous hashing, so that all balancers agree without a word.

use crate::PromptPart;
use crate::instance::InstanceState;

/// The instance that keeps a prefix may hold this many times the mean of this balancer's sends to its region ...
const MOST_LOAD: f64 = 2.0;
/// ... or one above it, and one more for each so many tokens, if that is more.
const TOKENS_IN_FLIGHT: u32 = 2_000;
const MOST_IN_FLIGHT: u32 = 3;
/// Prompts that wait there to be read may have so many tokens above the mean as reading the prefix so often would take.
const READS_WAITED: f64 = 1.0;
/// From so many shared tokens on, reading them anew takes longer, and costs more, than a crossing between regions.
const LARGE_TOKENS: u32 = 1_000;

/// The chain of shared parts that begins a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SharedPrefix {
    pub(crate) hash: u64,
    pub(crate) tokens: u32,
}

impl SharedPrefix {
    /// Whether it is kept by one instance of all regions rather than by one in each.
    pub(crate) fn is_large(self) -> bool {
        self.tokens >= LARGE_TOKENS
    }
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
#[derive(Debug, Default)]
pub(crate) struct Crowd {
    /// For each region: candidates and this balancer's sends in flight there.
    regions: Vec<(f64, f64)>,
    extra_in_flight: f64,
    most_unread: f64,
}

impl Crowd {
    pub(crate) fn of<'a>(prefix: SharedPrefix, candidates: impl Iterator<Item = &'a InstanceState>) -> Self {
        let mut regions = Vec::new();
        let (mut count, mut unread) = (0.0, 0.0);
        for instance in candidates {
            if regions.len() <= instance.region {
                regions.resize(instance.region + 1, (0.0, 0.0));
            }
            let region: &mut (f64, f64) = &mut regions[instance.region];
            region.0 += 1.0;
            region.1 += f64::from(instance.in_flight);
            count += 1.0;
            unread += instance.unread_tokens as f64;
        }
        Crowd {
            regions,
            extra_in_flight: 1.0 + f64::from((prefix.tokens / TOKENS_IN_FLIGHT).min(MOST_IN_FLIGHT)),
            most_unread: unread / f64::max(count, 1.0) + READS_WAITED * f64::from(prefix.tokens),
        }
    }

    /// Whether the instance holds few enough of this balancer's sends.
    pub(crate) fn has_place(&self, instance: &InstanceState) -> bool {
        let (count, in_flight) = self.regions[instance.region];
        let mean = in_flight / f64::max(count, 1.0);
        let most = (MOST_LOAD * mean).max(mean + self.extra_in_flight);
        f64::from(instance.in_flight + 1) <= most
    }

    /// Whether few enough tokens of prompts wait there to be read.
    pub(crate) fn has_read(&self, instance: &InstanceState) -> bool {
        instance.unread_tokens as f64 <= self.most_unread
    }
}
