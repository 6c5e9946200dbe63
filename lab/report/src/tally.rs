//! Counts of one run while it lasts.

use hdrhistogram::Histogram;
use whinspindle_lab_scenario::Scenario;

use crate::{Price, Quantiles, Row, Run, Second, Server, Span};

/// Latencies from a microsecond to an hour, to three digits.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("bounds that hold")
}

fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    let ms = |us: u64| us as f64 / 1e3;
    if histogram.is_empty() {
        return Quantiles::default();
    }
    Quantiles {
        count: histogram.len(),
        mean: histogram.mean() / 1e3,
        p50: ms(histogram.value_at_quantile(0.5)),
        p90: ms(histogram.value_at_quantile(0.9)),
        p99: ms(histogram.value_at_quantile(0.99)),
        p999: ms(histogram.value_at_quantile(0.999)),
        max: ms(histogram.max()),
    }
}

/// How a client's query ended, from the first try to the last word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    Completed,
    Rejected,
    Failed,
}

struct Count {
    name: String,
    queries: u64,
    completed: u64,
    tardy: u64,
    rejected: u64,
    failed: u64,
    earned: f64,
    possible: f64,
    latency: Histogram<u64>,
}

impl Count {
    fn new(name: &str) -> Self {
        Count {
            name: name.to_string(),
            queries: 0,
            completed: 0,
            tardy: 0,
            rejected: 0,
            failed: 0,
            earned: 0.0,
            possible: 0.0,
            latency: histogram(),
        }
    }

    fn add(&mut self, told: Told, tardy: bool, latency: u64, importance: f64, earned: f64) {
        self.queries += 1;
        self.possible += importance;
        self.earned += earned;
        match told {
            Told::Completed => {
                self.completed += 1;
                self.tardy += u64::from(tardy);
                let _ = self.latency.record(latency.max(1));
            }
            Told::Rejected => self.rejected += 1,
            Told::Failed => self.failed += 1,
        }
    }

    fn row(&self) -> Row {
        Row {
            name: self.name.clone(),
            queries: self.queries,
            completed: self.completed,
            tardy: self.tardy,
            rejected: self.rejected,
            failed: self.failed,
            worth: if self.possible > 0.0 { self.earned / self.possible } else { 0.0 },
            latency: quantiles(&self.latency),
        }
    }
}

/// A second in the making.
struct Moment {
    second: Second,
    latencies: Vec<u64>,
}

/// The seconds that are drawn are as many at most; in longer runs each stands for several.
const MOST_SECONDS: u64 = 3_600;

pub struct Tally {
    begun: u64,
    counted_from: u64,
    until: u64,
    step: u64,
    zones: usize,
    rows: Vec<(f64, u64, f64)>,
    all: Count,
    tiers: Vec<Count>,
    products: Vec<Count>,
    tenants: Vec<Count>,
    /// The balancers of the first tier, as they were and moved.
    shapes: [Count; 2],
    moved: usize,
    moments: Vec<Moment>,
    pub price: Price,
    pub taken: u64,
    pub crossings: u64,
    pub work_done: f64,
    pub work_wasted: f64,
    /// Executions by tier and number of the server.
    executions: Vec<Vec<u64>>,
    server_zones: Vec<Vec<usize>>,
}

impl Tally {
    /// `begun` is the time of the clock at which the scenario begins.
    pub fn new(scenario: &Scenario, begun: u64) -> Self {
        let step = 1_000_000 * (scenario.lasts / 1_000_000 / MOST_SECONDS + 1);
        let zones = scenario.zones.len();
        let moments = (0..scenario.lasts.div_ceil(step)).map(|n| Moment {
            second: Second {
                at_s: (n * step) as f64 / 1e6,
                executions: vec![0; zones],
                held: vec![0; zones],
                ..Second::default()
            },
            latencies: Vec::new(),
        });
        let tiers = 0..scenario.tiers.len();
        Tally {
            begun,
            counted_from: begun + scenario.warm_up,
            until: begun + scenario.lasts,
            step,
            zones,
            rows: scenario
                .products
                .iter()
                .map(|row| (row.importance, row.slo_time, row.tardy_importance))
                .collect(),
            all: Count::new("all"),
            tiers: scenario.tiers.iter().map(|tier| Count::new(&tier.name)).collect(),
            products: scenario.products.iter().map(|product| Count::new(&product.name)).collect(),
            tenants: scenario.tenants.iter().map(|tenant| Count::new(&tenant.name)).collect(),
            shapes: [Count::new("as before"), Count::new("moved")],
            moved: scenario.tiers[0].moved,
            moments: moments.collect(),
            price: Price::default(),
            taken: 0,
            crossings: 0,
            work_done: 0.0,
            work_wasted: 0.0,
            executions: tiers.clone().map(|tier| vec![0; scenario.servers(tier).len()]).collect(),
            server_zones: tiers
                .map(|tier| scenario.servers(tier).iter().map(|(_, zone)| *zone).collect())
                .collect(),
        }
    }

    pub fn counts(&self, due: u64) -> bool {
        due >= self.counted_from && due < self.until
    }

    fn moment(&mut self, at: u64) -> Option<&mut Moment> {
        let n = at.saturating_sub(self.begun) / self.step;
        self.moments.get_mut(n as usize)
    }

    /// Whether an answer came late, and what it earns of which importance.
    fn earned(&self, product: usize, latency: u64, told: Told) -> (bool, f64, f64) {
        let (importance, slo_time, tardy_importance) = self.rows[product];
        let tardy = latency > slo_time;
        let part = match (told, tardy) {
            (Told::Completed, false) => 1.0,
            (Told::Completed, true) => tardy_importance,
            _ => 0.0,
        };
        (tardy, importance, importance * part)
    }

    /// A client's query has its last word. Latency counts from when it was due, not from when it was sent.
    pub fn client(&mut self, due: u64, now: u64, product: usize, tenant: usize, told: Told) {
        let latency = now.saturating_sub(due);
        let (tardy, importance, earned) = self.earned(product, latency, told);
        if let Some(moment) = self.moment(due) {
            moment.second.earned += earned;
            moment.second.offered += importance;
            match told {
                Told::Completed => {
                    moment.second.completed += 1;
                    moment.second.tardy += u64::from(tardy);
                    moment.latencies.push(latency);
                }
                Told::Rejected => moment.second.rejected += 1,
                Told::Failed => moment.second.failed += 1,
            }
        }
        if self.counts(due) {
            self.all.add(told, tardy, latency, importance, earned);
            self.products[product].add(told, tardy, latency, importance, earned);
            if let Some(count) = self.tenants.get_mut(tenant) {
                count.add(told, tardy, latency, importance, earned);
            }
        }
    }

    /// A query of a tier has had its final answer from its balancer; `came` is when the balancer took it.
    pub fn tier(&mut self, tier: usize, node: usize, product: usize, came: u64, now: u64, told: Told) {
        if !self.counts(came) {
            return;
        }
        let latency = now.saturating_sub(came);
        let (tardy, importance, earned) = self.earned(product, latency, told);
        self.tiers[tier].add(told, tardy, latency, importance, earned);
        if tier == 0 {
            self.shapes[usize::from(node < self.moved)].add(told, tardy, latency, importance, earned);
        }
    }

    pub fn execution(
        &mut self,
        now: u64,
        tier: usize,
        server: usize,
        zone: usize,
        crosses: bool,
        fresh: bool,
    ) {
        if let Some(moment) = self.moment(now) {
            moment.second.executions[zone] += 1;
        }
        if !self.counts(now) {
            return;
        }
        self.price.executions += 1;
        self.crossings += u64::from(crosses);
        self.price.handshakes += u64::from(fresh);
        // Servers that join later have the next numbers.
        let counts = &mut self.executions[tier];
        if server >= counts.len() {
            counts.resize(server + 1, 0);
            self.server_zones[tier].resize(server + 1, zone);
        }
        counts[server] += 1;
    }

    /// What the servers of each zone hold now, and how many of all are choked.
    pub fn sample(&mut self, now: u64, held: &[u64], choked: u64) {
        let counts = self.counts(now);
        if counts {
            self.price.choked_s += choked as f64 * self.step as f64 / 1e6;
        }
        let zones = self.zones;
        if let Some(moment) = self.moment(now) {
            moment.second.held = held[..zones].to_vec();
            moment.second.choked = choked;
        }
    }

    pub fn step(&self) -> u64 {
        self.step
    }

    /// All figures; `busy` tells how much of its cores each server used.
    pub fn finish(mut self, scenario: &Scenario, busy: impl Fn(usize, usize) -> f64) -> Run {
        let row = self.all.row();
        self.price.executions_a_query = self.price.executions as f64 / self.taken.max(1) as f64;
        self.price.crossings = self.crossings as f64 / self.price.executions.max(1) as f64;
        self.price.wasted = if self.work_done > 0.0 { self.work_wasted / self.work_done } else { 0.0 };
        let seconds = self.moments.into_iter().map(|mut moment| {
            moment.latencies.sort_unstable();
            let rank = |part: f64| {
                let at = (moment.latencies.len() as f64 * part) as usize;
                moment.latencies.get(at).map_or(0.0, |us| *us as f64 / 1e3)
            };
            Second { p50: rank(0.5), p90: rank(0.9), p99: rank(0.99), ..moment.second }
        });
        let seconds = seconds.collect();
        let mut servers = Vec::new();
        for (tier, counts) in self.executions.iter().enumerate() {
            for (number, executions) in counts.iter().enumerate() {
                let zone = scenario.zones[self.server_zones[tier][number]].clone();
                servers.push(Server {
                    tier,
                    number,
                    zone,
                    executions: *executions,
                    busy: busy(tier, number),
                });
            }
        }
        let troubles = scenario.troubles.iter().map(|trouble| Span {
            from_s: trouble.at as f64 / 1e6,
            until_s: (trouble.at + trouble.lasts).min(scenario.lasts) as f64 / 1e6,
            what: crate::table::ill_text(scenario, trouble),
        });
        Run {
            scenario: scenario.name.clone(),
            shows: scenario.shows.clone(),
            seed: scenario.seed,
            lasts_s: scenario.lasts as f64 / 1e6,
            counted_s: (scenario.lasts - scenario.warm_up) as f64 / 1e6,
            worth: row.worth,
            queries: row.queries,
            completed: row.completed,
            tardy: row.tardy,
            rejected: row.rejected,
            failed: row.failed,
            latency: row.latency,
            tiers: self.tiers.iter().map(Count::row).collect(),
            products: self.products.iter().map(Count::row).collect(),
            tenants: self.tenants.iter().map(Count::row).collect(),
            shapes: if self.moved > 0 { self.shapes.iter().map(Count::row).collect() } else { Vec::new() },
            price: self.price,
            seconds,
            servers,
            troubles: troubles.collect(),
            zones: scenario.zones.clone(),
            ..Run::default()
        }
    }
}
