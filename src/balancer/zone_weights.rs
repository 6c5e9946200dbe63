//! Weights of zones: latency is fitted against load for each zone, and the weights are solved anew where ready servers,
//! latencies or arrivals have changed.

use super::{Balancer, CHECK_PERIOD, LABEL_WEIGHTS};
use crate::host::Host;
use crate::samples::{LatencyFit, decay_weighted, fit_increasing_line, mean, normalize_shares};
use crate::weights::{MIN_SHARE, MIN_SLOPE_RATIO, Target, solve};

/// Each tier's checks come so long after those of the tier above, so that parents settle first.
const TIER_SETTLE_TIME: u64 = 3_000_000;
/// A change by this part has the weights solved anew.
const RELEVANT_CHANGE: f64 = 0.2;
/// The weight of a latency sample halves in so many check periods.
const HALF_LIFE_PERIODS: u64 = 2;

impl<H: Host> Balancer<H> {
    /// Sets the timer of the next check of the weights.
    pub(super) fn schedule_weight_check(&mut self) {
        let phase = (self.settings.tier as u64 * TIER_SETTLE_TIME) % CHECK_PERIOD;
        let wait = CHECK_PERIOD - (self.now + CHECK_PERIOD - phase) % CHECK_PERIOD;
        self.host.set_timer(wait, LABEL_WEIGHTS);
    }

    /// The periodic check: solves the weights anew where what they were solved for has changed.
    pub(super) fn check_weights(&mut self) {
        self.schedule_weight_check();
        self.select_subset();
        let has_changed = |old: f64, new: f64| (new - old).abs() > RELEVANT_CHANGE * old;
        let rate = self.rate(&self.arrivals, CHECK_PERIOD);
        let zones = 0..self.zones.len();
        let seen: Vec<_> = zones.map(|zone| (self.ready_count(zone), self.latency_fit(zone).mean)).collect();
        let mut solved_for = self.zones.iter().map(|zone| zone.solved_for).zip(&seen);
        let zone_changed =
            solved_for.any(|(old, new)| has_changed(old.0, new.0) || has_changed(old.1, new.1));
        if zone_changed || has_changed(self.solved_rate, rate) {
            self.solved_rate = rate;
            self.zones.iter_mut().zip(seen).for_each(|(zone, seen)| zone.solved_for = seen);
            self.solve_weights(rate * self.settings.balancers as f64);
        }
    }

    fn solve_weights(&mut self, rate: f64) {
        // A crossing costs as if a query came late by that part of its SLO time.
        let slo_time = mean(self.settings.products.iter().map(|product| product.slo_time_us as f64));
        let target = |zone: usize| Target {
            ready_servers: self.ready_count(zone),
            load_per_server: self.load_per_ready(zone),
            fit: self.latency_fit(zone),
            crossing_cost: if zone == self.settings.home_zone {
                0.0
            } else {
                self.settings.cross_zone_cost * slo_time
            },
        };
        let targets: Vec<Target> = (0..self.zones.len()).map(target).collect();
        let weights = self.zone_weights();
        let solved = solve(&mut self.random, &targets, &weights, rate).into_iter().flatten();
        self.zones.iter_mut().zip(solved).for_each(|(zone, weight)| zone.weight_per_ready = weight);
    }

    /// Each zone's part of the queries: its solved weight times its available servers, and a small floor.
    pub(super) fn zone_weights(&self) -> Vec<f64> {
        let mut weights = vec![0.0; self.zones.len()];
        for &server in self.listed.iter().filter(|&&server| self.is_available(server)) {
            let zone = self.servers[server].zone;
            weights[zone] += self.zones[zone].weight_per_ready;
        }
        normalize_shares(weights, MIN_SHARE)
    }

    /// Queries a second on each available server of the zone: as reported, else this balancer's own for all balancers.
    pub(super) fn load_per_ready(&self, zone: usize) -> f64 {
        let is_ready = |server: &&usize| self.servers[**server].zone == zone && self.is_available(**server);
        let ready = || self.listed.iter().filter(is_ready);
        if ready().any(|&server| !self.servers[server].reported_rates.is_empty()) {
            return self.mean_reported_rate(ready());
        }
        let share = self.zone_weights()[zone];
        let own = self.rate(&self.arrivals, CHECK_PERIOD) * share * self.settings.balancers as f64;
        own / self.ready_count(zone).max(1.0)
    }

    fn ready_count(&self, zone: usize) -> f64 {
        let is_ready = |server: &&usize| self.servers[**server].zone == zone && self.is_available(**server);
        self.listed.iter().filter(is_ready).count() as f64
    }

    /// Zone latency as a + b * load per ready server, by decayed least squares.
    fn latency_fit(&self, zone: usize) -> LatencyFit {
        let samples = decay_weighted(&self.zones[zone].samples, self.now, HALF_LIFE_PERIODS * CHECK_PERIOD);
        fit_increasing_line(samples, MIN_SLOPE_RATIO)
    }
}
