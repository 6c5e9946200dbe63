//! The queries of the clients: an open loop, in which a late answer never delays the next query.

use whinspindle_lab_scenario::{Load, Scenario, Shape};

use crate::MICROSECONDS_PER_SECOND;
use crate::random::{Concern, RandomGenerator};

/// A query as its client sends it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When it is sent.
    pub due: u64,
    /// The number of its product.
    pub product: usize,
    /// The number of its tenant.
    pub tenant: usize,
    /// The client's zone.
    pub zone: usize,
    /// Microseconds of work at speed 1.
    pub work: f64,
    /// A number of its own, from which further choices for this query are drawn.
    pub mark: u64,
}

/// One stream of load.
pub struct Arrivals {
    load: Load,
    duration: u64,
    mean_work: f64,
    variation: f64,
    zones: usize,
    tenants: Vec<f64>,
    random: RandomGenerator,
    at: f64,
    /// The factor on the rate while a surge lasts.
    pub surge: f64,
}

/// The share of a period that a burst takes.
const BURST_SHARE: f64 = 0.2;

/// How far a load looks ahead at most for its next query, so that a surge is noticed.
const MAX_LOOKAHEAD: f64 = MICROSECONDS_PER_SECOND;

impl Arrivals {
    /// The load with the number `stream` of a scenario.
    pub fn new(scenario: &Scenario, stream: usize) -> Self {
        let load = scenario.loads[stream].clone();
        let product = &scenario.products[load.product];
        Arrivals {
            duration: scenario.lasts,
            mean_work: product.work as f64,
            variation: product.varies,
            zones: scenario.zones.len(),
            tenants: scenario.tenants.iter().map(|tenant| tenant.share).collect(),
            random: RandomGenerator::new(scenario.seed, Concern::Arrivals(stream)),
            at: load.from as f64,
            surge: 1.0,
            load,
        }
    }

    /// Queries a second at a time, without surges.
    pub fn rate(&self, at: f64) -> f64 {
        let Load { rate, peak, period, shape, from, .. } = self.load;
        let since = at - from as f64;
        match shape {
            Shape::Steady | Shape::Poisson => rate,
            Shape::Bursts => {
                if (since / period as f64).fract() < BURST_SHARE {
                    peak
                } else {
                    rate
                }
            }
            Shape::Ramp => {
                let until = self.load.until.min(self.duration) as f64;
                rate + (peak - rate) * (since / (until - from as f64)).clamp(0.0, 1.0)
            }
            Shape::Swing => {
                let turn = (std::f64::consts::TAU * since / period as f64).sin();
                rate + (peak - rate) * (1.0 + turn) / 2.0
            }
        }
    }

    /// The next query, or as an error the time until which there is none; nothing once the load has ended.
    pub fn next_arrival(&mut self) -> Option<Result<Arrival, u64>> {
        let until = self.load.until.min(self.duration) as f64;
        let max_rate = self.load.rate.max(self.load.peak) * self.surge / MICROSECONDS_PER_SECOND;
        let horizon = (self.at + MAX_LOOKAHEAD).min(until);
        loop {
            let gap = match self.load.shape {
                Shape::Steady => 1.0 / max_rate.max(1e-18),
                _ => self.random.exponential(1.0 / max_rate.max(1e-18)),
            };
            if self.at + gap >= horizon {
                // Exponential gaps have no memory and may be drawn again; equal gaps go on.
                if self.load.shape == Shape::Steady && self.at + gap < until {
                    self.at += gap;
                    return Some(Ok(self.draw()));
                }
                self.at = horizon;
                return (horizon < until).then_some(Err(horizon as u64));
            }
            self.at += gap;
            let now = self.rate(self.at) * self.surge / MICROSECONDS_PER_SECOND;
            if self.load.shape == Shape::Steady || self.random.unit() * max_rate < now {
                return Some(Ok(self.draw()));
            }
        }
    }

    fn draw(&mut self) -> Arrival {
        let all: f64 = self.tenants.iter().sum();
        let mut at = self.random.unit() * all;
        let is_drawn = |share: &f64| {
            at -= share;
            at < 0.0
        };
        let drawn = self.tenants.iter().position(is_drawn).unwrap_or(0);
        Arrival {
            due: self.at as u64,
            product: self.load.product,
            tenant: self.load.tenant.unwrap_or(drawn),
            zone: self.random.below(self.zones),
            work: self.random.varied(self.mean_work, self.variation).max(1.0),
            mark: self.random.bits(),
        }
    }
}
