//! The controllers that are known: those of the settings, and those that controllers told of.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use whinspindle_distribution::ControllerAddress;

/// The most controllers that are remembered.
const MAXIMUM_KNOWN: usize = 32;
/// Pause after a failed attempt: short at first, since controllers often come up together with the agent.
const EAGER_PAUSE_MS: u64 = 100;
/// So many attempts in a row are eager.
const EAGER_ATTEMPTS: u32 = 20;
const PATIENT_PAUSE_MS: u64 = 1_000;
/// Pause for a controller that answers and cannot serve.
const REJECTED_PAUSE_MS: u64 = 2_000;

/// How near a controller is; lower is preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    OwnZone,
    OwnRegion,
    /// An address of the settings of which nothing has been learned yet.
    Unknown,
    OtherRegion,
}

/// Known controllers, and when each may be tried again.
#[derive(Clone, Debug)]
pub struct ControllerCatalog {
    zone: String,
    region: String,
    /// Spreads the first attempts of several agents over the controllers.
    seed: u64,
    known: BTreeMap<SocketAddr, Known>,
}

#[derive(Clone, Debug)]
struct Known {
    rank: Rank,
    is_seed: bool,
    mentioned_at: u64,
    failures: u32,
    not_before: u64,
    attempted_at: Option<u64>,
    /// Orders controllers that are alike otherwise.
    draw: u64,
}

impl ControllerCatalog {
    pub fn new(zone: String, region: String, seed: u64) -> Self {
        ControllerCatalog { zone, region, seed, known: BTreeMap::new() }
    }

    /// Replaces the controllers of the settings. Those that were learned stay.
    pub fn set_seeds(&mut self, now: u64, seeds: &[SocketAddr]) {
        for known in self.known.values_mut() {
            known.is_seed = false;
        }
        for &endpoint in seeds {
            let known = self.entry(now, endpoint);
            known.is_seed = true;
            known.not_before = known.not_before.min(now);
        }
        self.shrink();
    }

    /// Adds the controllers that a controller told of.
    pub fn learn(&mut self, now: u64, controllers: &[ControllerAddress]) {
        for controller in controllers {
            let rank = self.rank_of_place(&controller.zone, &controller.region);
            self.entry(now, controller.endpoint).rank = rank;
        }
        self.shrink();
    }

    pub fn rank(&self, endpoint: SocketAddr) -> Rank {
        self.known.get(&endpoint).map_or(Rank::Unknown, |known| known.rank)
    }

    /// Notes the start of an attempt.
    pub fn attempted(&mut self, now: u64, endpoint: SocketAddr) {
        if let Some(known) = self.known.get_mut(&endpoint) {
            known.attempted_at = Some(now);
        }
    }

    /// Notes that a controller was taken as the link.
    pub fn succeeded(&mut self, endpoint: SocketAddr) {
        if let Some(known) = self.known.get_mut(&endpoint) {
            known.failures = 0;
        }
    }

    /// Notes a failed attempt or a lost link.
    pub fn failed(&mut self, now: u64, endpoint: SocketAddr) {
        if let Some(known) = self.known.get_mut(&endpoint) {
            known.failures += 1;
            let is_eager = known.failures <= EAGER_ATTEMPTS;
            known.not_before = now + if is_eager { EAGER_PAUSE_MS } else { PATIENT_PAUSE_MS };
        }
    }

    /// Notes that a controller answered and cannot serve.
    pub fn rejected(&mut self, now: u64, endpoint: SocketAddr) {
        if let Some(known) = self.known.get_mut(&endpoint) {
            known.not_before = now + REJECTED_PAUSE_MS;
        }
    }

    /// The controller to try next where a link is needed: the nearest, of these the one tried longest ago.
    pub fn next(&self, now: u64, is_taken: impl Fn(SocketAddr) -> bool) -> Option<SocketAddr> {
        let eligible =
            self.known.iter().filter(|(endpoint, known)| known.not_before <= now && !is_taken(**endpoint));
        eligible
            .min_by_key(|(_, known)| (known.rank, known.attempted_at, known.draw))
            .map(|(&endpoint, _)| endpoint)
    }

    /// When `next` has an answer at the earliest.
    pub fn next_at(&self, is_taken: impl Fn(SocketAddr) -> bool) -> Option<u64> {
        let others = self.known.iter().filter(|(endpoint, _)| !is_taken(**endpoint));
        others.map(|(_, known)| known.not_before).min()
    }

    /// A controller that is known to be nearer, of these the one tried longest ago.
    pub fn nearer_than(&self, rank: Rank) -> Option<SocketAddr> {
        let nearer = self.known.iter().filter(|(_, known)| known.rank < rank && known.rank != Rank::Unknown);
        nearer.min_by_key(|(_, known)| (known.attempted_at, known.rank)).map(|(&endpoint, _)| endpoint)
    }

    fn rank_of_place(&self, zone: &str, region: &str) -> Rank {
        if zone == self.zone {
            Rank::OwnZone
        } else if region == self.region {
            Rank::OwnRegion
        } else {
            Rank::OtherRegion
        }
    }

    fn entry(&mut self, now: u64, endpoint: SocketAddr) -> &mut Known {
        let seed = self.seed;
        let known = self.known.entry(endpoint).or_insert_with(|| Known::new(endpoint, seed));
        known.mentioned_at = now;
        known
    }

    /// Forgets what was mentioned longest ago; the controllers of the settings stay.
    fn shrink(&mut self) {
        while self.known.len() > MAXIMUM_KNOWN {
            let learned = self.known.iter().filter(|(_, known)| !known.is_seed);
            let Some((&oldest, _)) = learned.min_by_key(|(_, known)| known.mentioned_at) else { return };
            self.known.remove(&oldest);
        }
    }
}

impl Known {
    fn new(endpoint: SocketAddr, seed: u64) -> Known {
        let mut hasher = DefaultHasher::new();
        (seed, endpoint).hash(&mut hasher);
        Known {
            rank: Rank::Unknown,
            is_seed: false,
            mentioned_at: 0,
            failures: 0,
            not_before: 0,
            attempted_at: None,
            draw: hasher.finish(),
        }
    }
}
