//! One server: cores shared by the queries in its slots, a queue before them, and its faults.
//!
//! All queries in the slots progress at the same speed (processor sharing), so that one number, the service that each of
//! them has had since the slots were last empty, tells the progress of all. A query ends when that number reaches its
//! target.

mod jobs;
mod report;

use std::collections::{BTreeSet, HashMap, VecDeque};

use whinspindle_lab_scenario::{Choke, Cold, Kind, Reports, Tier};

use crate::random::RandomGenerator;

pub use report::Report;

/// A server is near saturation from this share of the saturation point on.
const NEAR_SATURATION: f64 = 0.8;

/// Identifies a query at a server; the driver chooses the number.
pub type Job = u64;

/// What a server is asked to do.
#[derive(Clone, Copy, Debug)]
pub struct Task {
    /// Microseconds of work at speed 1.
    pub work: f64,
    /// Calls to the next tier, which split the work into equal chunks.
    pub calls: usize,
    /// Whether it arrives on a new connection.
    pub fresh: bool,
}

/// Whether a server takes a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Queued, or in a slot.
    Accepted,
    /// The queue is full, the server is draining, or it has more connections than it may.
    Rejected,
    /// No process listens.
    Down,
}

/// What a server does next for a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineEvent {
    /// Answers; the flag says whether it succeeded.
    Answered(Job, bool),
    /// Calls the next tier.
    Calls(Job),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Queued,
    /// In a slot, until the service reaches this target (the bits of a float).
    Running(u64),
    /// In a slot, waiting for a call to the next tier.
    Calling,
    /// Fails after `FAILURE_TIME`, without work.
    Failing,
    /// Never answers.
    Stuck,
}

#[derive(Debug)]
struct Progress {
    phase: Phase,
    chunk: f64,
    remaining_calls: usize,
    /// The answer is no longer wanted.
    cancelled: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Up,
    /// Overloaded while it was cold; it stays down until the next start.
    Overloaded,
    Down,
}

/// A simulated server.
pub struct Machine {
    cores: f64,
    speed: f64,
    slots: usize,
    queue_limit: usize,
    saturation: Option<Choke>,
    cold: Cold,
    reports: Reports,
    cost: f64,
    cap: usize,
    random: RandomGenerator,
    state: State,
    /// 0 means long ago.
    started_at: u64,
    /// Takes no new queries.
    pub draining: bool,
    /// Accepts queries and never answers them.
    pub hung: bool,
    /// Its process is stopped.
    pub paused: bool,
    /// Neither receives nor sends anything.
    pub silent: bool,
    /// The share of queries that fail at once.
    pub failure_rate: f64,
    /// The factor by which work takes longer.
    pub slowdown: f64,
    /// The share of its speed that another tenant of the machine takes.
    pub neighbour_load: f64,
    jobs: HashMap<Job, Progress>,
    waiting: VecDeque<Job>,
    /// Running jobs by their target. The bits of floats that are not negative sort like the floats.
    working: BTreeSet<(u64, Job)>,
    service: f64,
    updated: u64,
    taken_slots: usize,
    /// Failing jobs by the time of their failure.
    failing: BTreeSet<(u64, Job)>,
    saturated: bool,
    idle_since: Option<u64>,
    /// Work received within the last `tip_after`, while cold.
    recent_work: VecDeque<(u64, f64)>,
    /// Open connections from balancers.
    pub connections: usize,
    // For the reports: core time used and queries answered since the last one.
    used: f64,
    answered: usize,
    report: Report,
    reported: u64,
}

impl Machine {
    /// A server of a kind, ready and without queries.
    pub fn new(kind: &Kind, tier: &Tier, random: RandomGenerator, started_at: u64) -> Self {
        Machine {
            cores: kind.cores,
            speed: kind.speed,
            slots: kind.slots,
            queue_limit: kind.room,
            saturation: kind.choke.clone(),
            cold: tier.cold.clone(),
            reports: tier.reports.clone(),
            cost: tier.connections.cost as f64,
            cap: tier.connections.cap,
            random,
            state: State::Up,
            started_at,
            draining: false,
            hung: false,
            paused: false,
            silent: false,
            failure_rate: 0.0,
            slowdown: 1.0,
            neighbour_load: 0.0,
            jobs: HashMap::new(),
            waiting: VecDeque::new(),
            working: BTreeSet::new(),
            service: 0.0,
            updated: started_at,
            taken_slots: 0,
            failing: BTreeSet::new(),
            saturated: false,
            idle_since: None,
            recent_work: VecDeque::new(),
            connections: 0,
            used: 0.0,
            answered: 0,
            report: Report::default(),
            reported: started_at,
        }
    }

    /// Whether its process runs.
    pub fn is_up(&self) -> bool {
        self.state == State::Up
    }

    /// Whether it went down by overload during its slow start.
    pub fn is_overloaded(&self) -> bool {
        self.state == State::Overloaded
    }

    /// Whether too many queries have made it slow.
    pub fn is_saturated(&self) -> bool {
        self.saturated
    }

    /// Whether one more query, beside those on their way, would find the queue full, come near to saturation, or keep it
    /// saturated.
    pub fn is_full(&self, coming: usize) -> bool {
        let job_limit = self
            .saturation
            .as_ref()
            .map_or(f64::MAX, |saturation| NEAR_SATURATION * saturation.at * self.slots as f64);
        let waiting = self.waiting.len() + coming;
        self.saturated || waiting >= self.queue_limit || (self.jobs.len() + coming + 1) as f64 > job_limit
    }

    /// The number of queries that wait or run.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// The share of its full speed that its slow start has reached.
    pub fn warm_fraction(&self, now: u64) -> f64 {
        let age = now.saturating_sub(self.started_at);
        if self.started_at == 0 || age >= self.cold.lasts {
            return 1.0;
        }
        self.cold.from + (1.0 - self.cold.from) * age as f64 / self.cold.lasts as f64
    }

    /// Microseconds of work that it can do now in a microsecond.
    pub fn capacity(&self, now: u64) -> f64 {
        if self.state != State::Up || self.hung || self.paused || self.silent {
            return 0.0;
        }
        self.speed_now(now) * self.cores.min(self.slots as f64)
    }

    fn speed_now(&self, now: u64) -> f64 {
        let slowed_by =
            self.saturation.as_ref().filter(|_| self.saturated).map_or(1.0, |saturation| saturation.slows);
        self.speed * self.warm_fraction(now) * (1.0 - self.neighbour_load) / (self.slowdown * slowed_by)
    }

    /// The service that each running query gets in a microsecond.
    fn service_rate(&self) -> f64 {
        if self.paused || self.silent {
            return 0.0;
        }
        self.speed_now(self.updated) * (self.cores / self.working.len().max(1) as f64).min(1.0)
    }

    /// Brings the service up to date; called before any change.
    fn advance(&mut self, now: u64) {
        let passed = now.saturating_sub(self.updated) as f64;
        if !self.working.is_empty() {
            self.service += passed * self.service_rate();
            if !self.paused && !self.silent {
                self.used += passed * self.cores.min(self.working.len() as f64);
            }
        }
        self.updated = now.max(self.updated);
    }

    /// The process ends, and its queries break off.
    pub fn stop(&mut self, now: u64) {
        self.advance(now);
        self.clear();
        self.state = State::Down;
    }

    /// Removes and returns the open queries of a server that went down.
    pub fn drop_jobs(&mut self) -> Vec<Job> {
        let mut open: Vec<Job> = self.jobs.keys().copied().collect();
        open.sort_unstable();
        self.clear();
        open
    }

    fn clear(&mut self) {
        self.jobs.clear();
        self.waiting.clear();
        self.working.clear();
        self.failing.clear();
        self.recent_work.clear();
        (self.taken_slots, self.connections, self.service) = (0, 0, 0.0);
        (self.saturated, self.idle_since) = (false, None);
    }

    /// Starts a new process, which is cold.
    pub fn start(&mut self, now: u64) {
        self.clear();
        (self.state, self.started_at, self.updated, self.reported) = (State::Up, now, now, now);
        (self.draining, self.hung, self.paused, self.silent) = (false, false, false, false);
        (self.failure_rate, self.slowdown) = (0.0, 1.0);
        (self.used, self.answered, self.report) = (0.0, 0, Report::default());
    }

    /// Changes its faults; the work done so far counts at the speed before.
    pub fn change(&mut self, now: u64, change: impl FnOnce(&mut Machine)) {
        self.advance(now);
        change(self);
    }

    /// Too many open queries make it slow, until there have been nearly none for a while.
    fn update_saturation(&mut self, now: u64) {
        let Some(saturation) = &self.saturation else { return };
        let open = self.jobs.len() as f64;
        let slots = self.slots as f64;
        if open > saturation.at * slots {
            self.saturated = true;
        }
        if !self.saturated || open > saturation.idle * slots {
            self.idle_since = None;
        } else if now >= *self.idle_since.get_or_insert(now) + saturation.rests {
            (self.saturated, self.idle_since) = (false, None);
        }
    }
}
