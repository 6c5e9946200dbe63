//! The large parts that many prompts begin with, and how instances are divided among them.
//!
//! A prompt's parts are kept only where all parts before them are kept. Where the holders of a few common first parts
//! are spread over all instances, each instance reads each of these parts for itself. So the instances are divided: each
//! belongs to one common part, by weighted rendezvous hashing, which needs no word between balancers, and a prompt's
//! holder is sought first among the instances of its first part.

use std::collections::BTreeMap;

use crate::affinity::mix;

/// A part that was not seen for so many times the time in which reading it again is priced is forgotten.
const KEPT_SPANS: u64 = 3;
/// A part is common once it was seen so often.
const LEAST_SEEN: f64 = 2.0;
/// Counts are halved so often in the time for which a part is kept, so that weights follow the traffic.
const HALVINGS: u64 = 2;
/// Weights are powers of this: what balancers count differs by chance, and they are to divide alike.
const WEIGHT_STEP: f64 = 4.0;
/// At least so many instances for each common part; with fewer, each part is better kept by the holders of what follows.
const LEAST_INSTANCES: usize = 4;
const CAPACITY: usize = 64;

#[derive(Clone, Copy, Debug)]
struct Seen {
    count: f64,
    last: u64,
}

/// The common first parts of a service's prompts.
#[derive(Debug, Default)]
pub(crate) struct CommonParts {
    seen: BTreeMap<u64, Seen>,
    halved_at: u64,
    /// Common parts and their weights.
    weights: Vec<(u64, f64)>,
}

impl CommonParts {
    /// A prompt begins with this part. `again_ms` is the time in which reading it again is priced.
    pub(crate) fn note(&mut self, now: u64, part: u64, again_ms: u64) {
        let kept_ms = KEPT_SPANS * again_ms;
        if now >= self.halved_at + kept_ms / HALVINGS {
            self.halved_at = now;
            self.seen.retain(|_, seen| seen.last + kept_ms > now);
            self.seen.values_mut().for_each(|seen| seen.count = (seen.count / 2.0).max(LEAST_SEEN));
        }
        if self.seen.len() >= CAPACITY && !self.seen.contains_key(&part) {
            return;
        }
        let seen = self.seen.entry(part).or_insert(Seen { count: 0.0, last: now });
        seen.count += 1.0;
        seen.last = now;
        self.weigh();
    }

    /// Whether so many instances are divided among common parts, and this part is one of them.
    pub(crate) fn divide(&self, part: u64, instances: usize) -> bool {
        let count = self.weights.len();
        count > 1
            && count * LEAST_INSTANCES <= instances
            && self.weights.iter().any(|weight| weight.0 == part)
    }

    /// The part to which an instance belongs.
    pub(crate) fn part_of(&self, instance_hash: u64) -> Option<u64> {
        let score = |&(part, weight): &(u64, f64)| -weight / unit(mix(part ^ mix(instance_hash))).ln();
        let best = self.weights.iter().max_by(|a, b| score(a).total_cmp(&score(b)))?;
        Some(best.0)
    }

    fn weigh(&mut self) {
        let common = self.seen.iter().filter(|(_, seen)| seen.count >= LEAST_SEEN);
        let most = common.clone().map(|(_, seen)| seen.count).fold(0.0, f64::max);
        let weight = |count: f64| WEIGHT_STEP.powf((count / most).log(WEIGHT_STEP).round());
        self.weights = common.map(|(&part, seen)| (part, weight(seen.count))).collect();
    }
}

/// A number between 0 and 1, both excluded.
fn unit(hash: u64) -> f64 {
    const SCALE: f64 = (1u64 << 53) as f64;
    ((hash >> 11) as f64 + 0.5) / SCALE
}
