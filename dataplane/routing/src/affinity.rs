//! Prefix affinity: rendezvous hashing with bounded loads assigns the shared prefix of prompts to an
//! instance.
//!
//! All balancers compute the same ranking of instances without communication. The highest-ranked instance of
//! a prefix is its cache owner. If the cache owner exceeds its bound, the next instance in the ranking
//! receives the request.

use crate::PromptPart;
use crate::instance::InstanceState;

/// In-flight bound of a cache owner, as a factor on the mean of this balancer's attempts in the region ...
const IN_FLIGHT_BOUND_FACTOR: f64 = 2.0;
/// ... or, if higher, the mean plus one, plus one for each full multiple of this prefix length ...
const TOKENS_PER_EXTRA_ATTEMPT: u32 = 2_000;
/// ... up to this maximum.
const MAX_EXTRA_ATTEMPTS: u32 = 3;
/// Bound on prompt tokens that wait for prefill: the mean plus the length of the prefix times this factor.
const PREFILL_BOUND_FACTOR: f64 = 1.0;
/// Minimum length of a large prefix; its prefill takes longer and costs more than forwarding to another
/// region.
const LARGE_PREFIX_TOKENS: u32 = 1_000;

/// Shared parts at the start of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SharedPrefix {
    /// Hash of the part ids.
    pub(crate) hash: u64,
    /// Length of the shared parts, in tokens.
    pub(crate) tokens: u32,
}

impl SharedPrefix {
    /// Whether the prefix has one cache owner among all regions instead of one in each region.
    pub(crate) fn is_large(self) -> bool {
        self.tokens >= LARGE_PREFIX_TOKENS
    }
}

/// Returns all parts except the last, which belongs to the request or session alone. A single part is the
/// prefix itself.
pub(crate) fn shared_prefix(prompt: &[PromptPart]) -> Option<SharedPrefix> {
    let (own, shared) = prompt.split_last()?;
    let chain = if shared.is_empty() { std::slice::from_ref(own) } else { shared };
    let hash = chain.iter().fold(0, |hash, part| mix(hash ^ part.id));
    let tokens = shared.iter().fold(0u32, |sum, part| sum.saturating_add(part.tokens));
    Some(SharedPrefix { hash, tokens })
}

/// FNV-1a hash of an instance id; equal on all balancers.
pub(crate) fn hash_id(id: &str) -> u64 {
    id.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// Rank of an instance for a prefix; the instance with the highest rank is the cache owner.
pub(crate) fn rank(prefix: SharedPrefix, instance_hash: u64) -> u64 {
    mix(prefix.hash ^ mix(instance_hash))
}

/// Finalizer of SplitMix64: each input bit affects all output bits.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Load bounds above which requests of a prefix go to the next instance in the ranking.
#[derive(Debug, Default)]
pub(crate) struct BoundedLoad {
    /// Number of candidates and this balancer's attempts in flight, by region.
    regions: Vec<(f64, f64)>,
    /// Number of attempts above the mean that is always allowed.
    extra_in_flight: f64,
    /// Maximum prompt tokens that may wait for prefill.
    max_pending_prompt_tokens: f64,
}

impl BoundedLoad {
    /// Computes the bounds for a prefix and its candidates.
    pub(crate) fn for_candidates<'a>(
        prefix: SharedPrefix,
        candidates: impl Iterator<Item = &'a InstanceState>,
    ) -> Self {
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
            unread += instance.pending_prompt_tokens as f64;
        }
        BoundedLoad {
            regions,
            extra_in_flight: 1.0
                + f64::from((prefix.tokens / TOKENS_PER_EXTRA_ATTEMPT).min(MAX_EXTRA_ATTEMPTS)),
            max_pending_prompt_tokens: unread / f64::max(count, 1.0)
                + PREFILL_BOUND_FACTOR * f64::from(prefix.tokens),
        }
    }

    /// Whether one more attempt of this balancer stays within the in-flight bound of the instance.
    pub(crate) fn is_within_in_flight_bound(&self, instance: &InstanceState) -> bool {
        let (count, in_flight) = self.regions[instance.region];
        let mean = in_flight / f64::max(count, 1.0);
        let max_in_flight = (IN_FLIGHT_BOUND_FACTOR * mean).max(mean + self.extra_in_flight);
        f64::from(instance.in_flight + 1) <= max_in_flight
    }

    /// Whether the prompt tokens that wait for prefill at the instance are within the bound.
    pub(crate) fn is_within_prefill_bound(&self, instance: &InstanceState) -> bool {
        instance.pending_prompt_tokens as f64 <= self.max_pending_prompt_tokens
    }
}
