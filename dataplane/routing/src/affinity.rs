//! Prefix affinity: rendezvous hashing with bounded loads binds the shared start of prompts to an instance.
//!
//! All balancers rank the instances alike without talking to each other. The instance that ranks highest for a prefix is
//! its cache owner; where that one is above its bound, the next in rank takes the request.

use crate::PromptPart;
use crate::instance::InstanceState;

/// The in-flight bound of a cache owner: this many times the mean of this balancer's attempts in its region ...
const MOST_LOAD: f64 = 2.0;
/// ... or, if that is more, one above the mean and one more for each so many tokens of the prefix ...
const TOKENS_IN_FLIGHT: u32 = 2_000;
/// ... up to so many more.
const MOST_IN_FLIGHT: u32 = 3;
/// The bound of prompt tokens that wait for prefill: the mean and this many times the tokens of the prefix.
const READS_WAITED: f64 = 1.0;
/// From so many tokens on, the prefill of a prefix takes longer and costs more than forwarding to another region.
const LARGE_TOKENS: u32 = 1_000;

/// The shared parts at the start of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SharedPrefix {
    /// Hash of the ids of the parts.
    pub(crate) hash: u64,
    /// Length of the shared parts, in tokens.
    pub(crate) tokens: u32,
}

impl SharedPrefix {
    /// Whether it has one cache owner over all regions rather than one in each.
    pub(crate) fn is_large(self) -> bool {
        self.tokens >= LARGE_TOKENS
    }
}

/// All parts but the last, which belongs to the request or session alone; that one if it is the only part.
pub(crate) fn shared_prefix(prompt: &[PromptPart]) -> Option<SharedPrefix> {
    let (own, shared) = prompt.split_last()?;
    let chain = if shared.is_empty() { std::slice::from_ref(own) } else { shared };
    let hash = chain.iter().fold(0, |hash, part| mix(hash ^ part.id));
    let tokens = shared.iter().fold(0u32, |sum, part| sum.saturating_add(part.tokens));
    Some(SharedPrefix { hash, tokens })
}

/// FNV-1a hash of an instance's id; the same on every balancer.
pub(crate) fn hash_id(id: &str) -> u64 {
    id.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// The rank of an instance for a prefix: the highest is the cache owner.
pub(crate) fn rank(prefix: SharedPrefix, instance_hash: u64) -> u64 {
    mix(prefix.hash ^ mix(instance_hash))
}

/// The finalizer of SplitMix64: each bit of the input changes all bits of the output.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// The bounds above which requests of a prefix go to the next instance in rank.
#[derive(Debug, Default)]
pub(crate) struct BoundedLoad {
    /// For each region: number of candidates, and this balancer's attempts in flight there.
    regions: Vec<(f64, f64)>,
    /// Attempts above the mean that are always allowed.
    extra_in_flight: f64,
    /// The most prompt tokens that may wait for prefill.
    most_unread: f64,
}

impl BoundedLoad {
    /// The bounds for a prefix among these candidates.
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
        BoundedLoad {
            regions,
            extra_in_flight: 1.0 + f64::from((prefix.tokens / TOKENS_IN_FLIGHT).min(MOST_IN_FLIGHT)),
            most_unread: unread / f64::max(count, 1.0) + READS_WAITED * f64::from(prefix.tokens),
        }
    }

    /// Whether one more of this balancer's attempts stays within the in-flight bound of the instance.
    pub(crate) fn is_below_in_flight_bound(&self, instance: &InstanceState) -> bool {
        let (count, in_flight) = self.regions[instance.region];
        let mean = in_flight / f64::max(count, 1.0);
        let most = (MOST_LOAD * mean).max(mean + self.extra_in_flight);
        f64::from(instance.in_flight + 1) <= most
    }

    /// Whether the prompt tokens that wait for prefill are within the bound.
    pub(crate) fn is_below_unread_bound(&self, instance: &InstanceState) -> bool {
        instance.unread_tokens as f64 <= self.most_unread
    }
}
