//! Clients' queries: open loop, so that one that is late to be answered never holds back the next.

use whinspindle_lab_scenario::{Load, Scenario, Shape};

use crate::dice::{Concern, Dice};

/// A query as its client wants it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wanted {
    pub due: u64,
    pub product: usize,
    pub tenant: usize,
    pub zone: usize,
    /// Work at speed 1.
    pub work: f64,
    /// A number of its own, from which further choices for this query are drawn.
    pub mark: u64,
}

/// One stream of load.
pub struct Arrivals {
    load: Load,
    lasts: u64,
    mean_work: f64,
    varies: f64,
    zones: usize,
    tenants: Vec<f64>,
    dice: Dice,
    at: f64,
    pub surge: f64,
}

/// How far a load looks ahead at most for its next query, so that a surge is noticed.
const LOOK_AHEAD: f64 = 1e6;

impl Arrivals {
    pub fn new(scenario: &Scenario, stream: usize) -> Self {
        let load = scenario.loads[stream].clone();
        let product = &scenario.products[load.product];
        Arrivals {
            lasts: scenario.lasts,
            mean_work: product.work as f64,
            varies: product.varies,
            zones: scenario.zones.len(),
            tenants: scenario.tenants.iter().map(|tenant| tenant.share).collect(),
            dice: Dice::new(scenario.seed, Concern::Arrivals(stream)),
            at: load.from as f64,
            surge: 1.0,
            load,
        }
    }

    /// The rate at a time, surges aside.
    pub fn rate(&self, at: f64) -> f64 {
        let Load { rate, peak, period, shape, from, .. } = self.load;
        let since = at - from as f64;
        match shape {
            Shape::Steady | Shape::Poisson => rate,
            Shape::Bursts => {
                if (since / period as f64).fract() < 0.2 {
                    peak
                } else {
                    rate
                }
            }
            Shape::Ramp => {
                let until = self.load.until.min(self.lasts) as f64;
                rate + (peak - rate) * (since / (until - from as f64)).clamp(0.0, 1.0)
            }
            Shape::Swing => {
                let turn = (std::f64::consts::TAU * since / period as f64).sin();
                rate + (peak - rate) * (1.0 + turn) / 2.0
            }
        }
    }

    /// The next query, or the time until which there is none; nothing once the load has ended.
    pub fn ahead(&mut self) -> Option<Result<Wanted, u64>> {
        let until = self.load.until.min(self.lasts) as f64;
        let most = self.load.rate.max(self.load.peak) * self.surge / 1e6;
        let look = (self.at + LOOK_AHEAD).min(until);
        loop {
            let gap = match self.load.shape {
                Shape::Steady => 1.0 / most.max(1e-18),
                _ => self.dice.exponential(1.0 / most.max(1e-18)),
            };
            if self.at + gap >= look {
                // Without memory the wait may begin anew; with equal gaps it goes on.
                if self.load.shape == Shape::Steady && self.at + gap < until {
                    self.at += gap;
                    return Some(Ok(self.draw()));
                }
                self.at = look;
                return (look < until).then_some(Err(look as u64));
            }
            self.at += gap;
            let now = self.rate(self.at) * self.surge / 1e6;
            if self.load.shape == Shape::Steady || self.dice.unit() * most < now {
                return Some(Ok(self.draw()));
            }
        }
    }

    fn draw(&mut self) -> Wanted {
        let all: f64 = self.tenants.iter().sum();
        let mut at = self.dice.unit() * all;
        let passes = |share: &f64| {
            at -= share;
            at < 0.0
        };
        let drawn = self.tenants.iter().position(passes).unwrap_or(0);
        Wanted {
            due: self.at as u64,
            product: self.load.product,
            tenant: self.load.tenant.unwrap_or(drawn),
            zone: self.dice.below(self.zones),
            work: self.dice.varied(self.mean_work, self.varies).max(1.0),
            mark: self.dice.bits(),
        }
    }
}
