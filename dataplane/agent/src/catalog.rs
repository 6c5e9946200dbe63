//! Catalog of known controllers, which are configured in the settings or listed by other controllers.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use whinspindle_distribution::ControllerAddress;

/// Maximum number of controllers in the catalog.
const MAX_CONTROLLERS: usize = 32;
/// Backoff after the first failures, in milliseconds. It is short since controllers often start together with
/// the agent.
const SHORT_BACKOFF_MS: u64 = 100;
/// Number of consecutive failures that are followed by the short backoff.
const SHORT_BACKOFF_FAILURES: u32 = 20;
/// Backoff after later failures, in milliseconds.
const LONG_BACKOFF_MS: u64 = 1_000;
/// Backoff for a controller that responds but cannot serve, in milliseconds.
const REJECTED_BACKOFF_MS: u64 = 2_000;

/// Proximity of a controller to the agent, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Proximity {
    /// In the agent's zone.
    OwnZone,
    /// In the agent's region.
    OwnRegion,
    /// Configured in the settings, with a zone that is not known yet.
    Unknown,
    /// In another region.
    OtherRegion,
}

/// Known controllers with their proximities and backoffs.
#[derive(Clone, Debug)]
pub struct ControllerCatalog {
    zone: String,
    region: String,
    /// Seed that spreads the first attempts of several agents over the controllers.
    seed: u64,
    controllers: BTreeMap<SocketAddr, KnownController>,
}

#[derive(Clone, Debug)]
struct KnownController {
    proximity: Proximity,
    is_seed: bool,
    last_listed_at: u64,
    failures: u32,
    eligible_at: u64,
    last_attempt_at: Option<u64>,
    /// Order of controllers that are otherwise equal.
    tie_breaker: u64,
}

impl ControllerCatalog {
    /// Creates an empty catalog for an agent in a zone and region. `seed` differs for each agent.
    pub fn new(zone: String, region: String, seed: u64) -> Self {
        ControllerCatalog { zone, region, seed, controllers: BTreeMap::new() }
    }

    /// Replaces the controllers from the settings. Listed controllers stay.
    pub fn set_seeds(&mut self, now: u64, seeds: &[SocketAddr]) {
        for known in self.controllers.values_mut() {
            known.is_seed = false;
        }
        for &endpoint in seeds {
            let known = self.entry(now, endpoint);
            known.is_seed = true;
            known.eligible_at = known.eligible_at.min(now);
        }
        self.evict_oldest();
    }

    /// Adds controllers that a controller lists.
    pub fn learn(&mut self, now: u64, controllers: &[ControllerAddress]) {
        for controller in controllers {
            let proximity = self.proximity_of(&controller.zone, &controller.region);
            self.entry(now, controller.endpoint).proximity = proximity;
        }
        self.evict_oldest();
    }

    /// Returns the proximity of a controller.
    pub fn proximity(&self, endpoint: SocketAddr) -> Proximity {
        self.controllers.get(&endpoint).map_or(Proximity::Unknown, |known| known.proximity)
    }

    /// Records the start of a connection attempt.
    pub fn record_attempt(&mut self, now: u64, endpoint: SocketAddr) {
        if let Some(known) = self.controllers.get_mut(&endpoint) {
            known.last_attempt_at = Some(now);
        }
    }

    /// Records that a controller has become the link.
    pub fn record_success(&mut self, endpoint: SocketAddr) {
        if let Some(known) = self.controllers.get_mut(&endpoint) {
            known.failures = 0;
        }
    }

    /// Records a failed attempt or a lost link.
    pub fn record_failure(&mut self, now: u64, endpoint: SocketAddr) {
        if let Some(known) = self.controllers.get_mut(&endpoint) {
            known.failures += 1;
            let is_early = known.failures <= SHORT_BACKOFF_FAILURES;
            known.eligible_at = now + if is_early { SHORT_BACKOFF_MS } else { LONG_BACKOFF_MS };
        }
    }

    /// Records that a controller responded but cannot serve.
    pub fn record_rejection(&mut self, now: u64, endpoint: SocketAddr) {
        if let Some(known) = self.controllers.get_mut(&endpoint) {
            known.eligible_at = now + REJECTED_BACKOFF_MS;
        }
    }

    /// Returns the controller for the next attempt: the nearest, and among equals the one with the oldest
    /// last attempt.
    pub fn next_candidate(&self, now: u64, is_excluded: impl Fn(SocketAddr) -> bool) -> Option<SocketAddr> {
        let eligible = self
            .controllers
            .iter()
            .filter(|(endpoint, known)| known.eligible_at <= now && !is_excluded(**endpoint));
        eligible
            .min_by_key(|(_, known)| (known.proximity, known.last_attempt_at, known.tie_breaker))
            .map(|(&endpoint, _)| endpoint)
    }

    /// Returns the earliest time at which [`ControllerCatalog::next_candidate`] returns a controller.
    pub fn next_candidate_at(&self, is_excluded: impl Fn(SocketAddr) -> bool) -> Option<u64> {
        let others = self.controllers.iter().filter(|(endpoint, _)| !is_excluded(**endpoint));
        others.map(|(_, known)| known.eligible_at).min()
    }

    /// Returns a controller that is known to be nearer; among several, the one with the oldest last attempt.
    pub fn nearer_candidate(&self, proximity: Proximity) -> Option<SocketAddr> {
        let nearer = self
            .controllers
            .iter()
            .filter(|(_, known)| known.proximity < proximity && known.proximity != Proximity::Unknown);
        nearer
            .min_by_key(|(_, known)| (known.last_attempt_at, known.proximity))
            .map(|(&endpoint, _)| endpoint)
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
        let known = self.controllers.entry(endpoint).or_insert_with(|| KnownController::new(endpoint, seed));
        known.last_listed_at = now;
        known
    }

    /// Removes the controllers with the oldest listing. Controllers from the settings stay.
    fn evict_oldest(&mut self) {
        while self.controllers.len() > MAX_CONTROLLERS {
            let learned = self.controllers.iter().filter(|(_, known)| !known.is_seed);
            let Some((&oldest, _)) = learned.min_by_key(|(_, known)| known.last_listed_at) else { return };
            self.controllers.remove(&oldest);
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
            last_listed_at: 0,
            failures: 0,
            eligible_at: 0,
            last_attempt_at: None,
            tie_breaker: hasher.finish(),
        }
    }
}
