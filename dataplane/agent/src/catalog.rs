//! The catalog of known controllers: those of the settings, and those listed by controllers.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use whinspindle_distribution::ControllerAddress;

/// The most controllers in the catalog.
const MAXIMUM_KNOWN: usize = 32;
/// Backoff after the first failed attempts, in milliseconds; short since controllers often start together with the agent.
const FIRST_BACKOFF_MS: u64 = 100;
/// Number of consecutive failures with the short backoff.
const FIRST_ATTEMPTS: u32 = 20;
/// Backoff after later failures, in milliseconds.
const LATER_BACKOFF_MS: u64 = 1_000;
/// Backoff for a controller that answers and cannot serve, in milliseconds.
const REJECTED_BACKOFF_MS: u64 = 2_000;

/// The distance of a controller; lower is preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Proximity {
    /// In the agent's zone.
    OwnZone,
    /// In the agent's region.
    OwnRegion,
    /// An address of the settings whose zone is not known yet.
    Unknown,
    /// In another region.
    OtherRegion,
}

/// Known controllers with their ranks and backoffs.
#[derive(Clone, Debug)]
pub struct ControllerCatalog {
    zone: String,
    region: String,
    /// Spreads the first attempts of several agents over the controllers.
    seed: u64,
    known: BTreeMap<SocketAddr, KnownController>,
}

#[derive(Clone, Debug)]
struct KnownController {
    proximity: Proximity,
    is_seed: bool,
    listed_at: u64,
    failures: u32,
    not_before: u64,
    attempted_at: Option<u64>,
    /// Orders controllers that are equal otherwise.
    tie_breaker: u64,
}

impl ControllerCatalog {
    /// An empty catalog for an agent in this zone and region; `seed` differs for each agent.
    pub fn new(zone: String, region: String, seed: u64) -> Self {
        ControllerCatalog { zone, region, seed, known: BTreeMap::new() }
    }

    /// Replaces the controllers of the settings. Learned ones stay.
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

    /// Adds the controllers that a controller lists.
    pub fn learn(&mut self, now: u64, controllers: &[ControllerAddress]) {
        for controller in controllers {
            let proximity = self.proximity_of(&controller.zone, &controller.region);
            self.entry(now, controller.endpoint).proximity = proximity;
        }
        self.shrink();
    }

    /// The proximity of a controller.
    pub fn proximity(&self, endpoint: SocketAddr) -> Proximity {
        self.known.get(&endpoint).map_or(Proximity::Unknown, |known| known.proximity)
    }

    /// Records the start of an attempt.
    pub fn record_attempt(&mut self, now: u64, endpoint: SocketAddr) {
        if let Some(known) = self.known.get_mut(&endpoint) {
            known.attempted_at = Some(now);
        }
    }

    /// Records that a controller has become the link.
    pub fn record_success(&mut self, endpoint: SocketAddr) {
        if let Some(known) = self.known.get_mut(&endpoint) {
            known.failures = 0;
        }
    }

    /// Records a failed attempt or a lost link.
    pub fn record_failure(&mut self, now: u64, endpoint: SocketAddr) {
        if let Some(known) = self.known.get_mut(&endpoint) {
            known.failures += 1;
            let is_early = known.failures <= FIRST_ATTEMPTS;
            known.not_before = now + if is_early { FIRST_BACKOFF_MS } else { LATER_BACKOFF_MS };
        }
    }

    /// Records that a controller answered and cannot serve.
    pub fn record_rejection(&mut self, now: u64, endpoint: SocketAddr) {
        if let Some(known) = self.known.get_mut(&endpoint) {
            known.not_before = now + REJECTED_BACKOFF_MS;
        }
    }

    /// The controller for the next attempt: the nearest, among these the one attempted longest ago.
    pub fn next_candidate(&self, now: u64, is_taken: impl Fn(SocketAddr) -> bool) -> Option<SocketAddr> {
        let eligible =
            self.known.iter().filter(|(endpoint, known)| known.not_before <= now && !is_taken(**endpoint));
        eligible
            .min_by_key(|(_, known)| (known.proximity, known.attempted_at, known.tie_breaker))
            .map(|(&endpoint, _)| endpoint)
    }

    /// The earliest time at which [`ControllerCatalog::next_candidate`] returns a controller.
    pub fn next_candidate_at(&self, is_taken: impl Fn(SocketAddr) -> bool) -> Option<u64> {
        let others = self.known.iter().filter(|(endpoint, _)| !is_taken(**endpoint));
        others.map(|(_, known)| known.not_before).min()
    }

    /// A controller that is known to be nearer, among these the one attempted longest ago.
    pub fn nearer_candidate(&self, proximity: Proximity) -> Option<SocketAddr> {
        let nearer = self
            .known
            .iter()
            .filter(|(_, known)| known.proximity < proximity && known.proximity != Proximity::Unknown);
        nearer.min_by_key(|(_, known)| (known.attempted_at, known.proximity)).map(|(&endpoint, _)| endpoint)
    }

    fn proximity_of(&self, zone: &str, region: &str) -> Proximity {
        if zone == self.zone {
            Proximity::OwnZone
        } else if region == self.region {
            Proximity::OwnRegion
        } else {
            Proximity::OtherRegion
        }
    }

    fn entry(&mut self, now: u64, endpoint: SocketAddr) -> &mut KnownController {
        let seed = self.seed;
        let known = self.known.entry(endpoint).or_insert_with(|| KnownController::new(endpoint, seed));
        known.listed_at = now;
        known
    }

    /// Forgets the controllers that were listed longest ago; those of the settings stay.
    fn shrink(&mut self) {
        while self.known.len() > MAXIMUM_KNOWN {
            let learned = self.known.iter().filter(|(_, known)| !known.is_seed);
            let Some((&oldest, _)) = learned.min_by_key(|(_, known)| known.listed_at) else { return };
            self.known.remove(&oldest);
        }
    }
}

impl KnownController {
    fn new(endpoint: SocketAddr, seed: u64) -> KnownController {
        let mut hasher = DefaultHasher::new();
        (seed, endpoint).hash(&mut hasher);
        KnownController {
            proximity: Proximity::Unknown,
            is_seed: false,
            listed_at: 0,
            failures: 0,
            not_before: 0,
            attempted_at: None,
            tie_breaker: hasher.finish(),
        }
    }
}
