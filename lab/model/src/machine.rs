//! One server: cores shared by the queries in its slots, a waiting room before them, and what goes wrong with
//! it.
//!
//! All queries at work get the same pace, so one figure, the service that each has had since the last time
//! when nobody was at work, tells how far they all are. A query ends when that figure reaches its own mark.

use std::collections::{BTreeSet, HashMap, VecDeque};

use whinspindle_lab_scenario::{Choke, Cold, Kind, Reports, Tier};

use crate::dice::Dice;

/// While a server warms up its pace is brought up to date this often.
const WARM_STEP: u64 = 50_000;
/// Service this near to its mark has reached it: far less than a microsecond.
const NEAR: f64 = 1e-3;
/// Part of the point where it chokes.
const NEAR_CHOKE: f64 = 0.8;
/// A query that fails at once takes this long.
const HARD_FAULT: u64 = 1_000;

/// Names a query at a server; the driver's own number.
pub type Job = u64;

/// What a server is asked to do.
#[derive(Clone, Copy, Debug)]
pub struct Task {
    /// Work at speed 1.
    pub work: f64,
    /// Calls to the next tier, which split the work into equal pieces.
    pub calls: usize,
    /// It comes on a new connection.
    pub fresh: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    Taken,
    /// The waiting room is full, it drains, or holds all connections that it may.
    Rejected,
    /// Nobody listens.
    Down,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Did {
    /// Ended well, or with an error.
    Answered(Job, bool),
    /// Wants a call to the next tier.
    Calls(Job),
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    pub utilization: Option<f64>,
    pub throughput: Option<f64>,
    pub inflight: usize,
    pub queue: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Waits,
    Works(u64),
    Calls,
    /// Fails when the time comes, without work.
    Fails,
    /// Never answers.
    Stuck,
}

#[derive(Debug)]
struct Progress {
    stage: Stage,
    piece: f64,
    calls_left: usize,
    /// Nobody waits for the answer.
    left: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Up,
    /// Pushed over while it was cold; stays down.
    Fallen,
    Down,
}

pub struct Machine {
    cores: f64,
    speed: f64,
    slots: usize,
    room: usize,
    choke: Option<Choke>,
    cold: Cold,
    reports: Reports,
    cost: f64,
    cap: usize,
    dice: Dice,
    state: State,
    /// 0: long ago.
    started_at: u64,
    pub draining: bool,
    pub hung: bool,
    pub paused: bool,
    /// Neither takes nor says anything.
    pub silent: bool,
    pub fails: f64,
    pub slow: f64,
    pub neighbour: f64,
    jobs: HashMap<Job, Progress>,
    waiting: VecDeque<Job>,
    /// Those at work by the service at which they have had theirs; a bit pattern of a float not below 0 sorts
    /// like the float.
    working: BTreeSet<(u64, Job)>,
    service: f64,
    updated: u64,
    taken_slots: usize,
    /// Those that fail, by when.
    failing: BTreeSet<(u64, Job)>,
    choked: bool,
    idle_since: Option<u64>,
    /// Work that came within the last `tip_after`, while cold.
    came: VecDeque<(u64, f64)>,
    pub connections: usize,
    // For the reports: core time used and queries answered since the last one was made.
    used: f64,
    answered: usize,
    report: Report,
    reported: u64,
}

impl Machine {
    pub fn new(kind: &Kind, tier: &Tier, dice: Dice, started_at: u64) -> Self {
        Machine {
            cores: kind.cores,
            speed: kind.speed,
            slots: kind.slots,
            room: kind.room,
            choke: kind.choke.clone(),
            cold: tier.cold.clone(),
            reports: tier.reports.clone(),
            cost: tier.connections.cost as f64,
            cap: tier.connections.cap,
            dice,
            state: State::Up,
            started_at,
            draining: false,
            hung: false,
            paused: false,
            silent: false,
            fails: 0.0,
            slow: 1.0,
            neighbour: 0.0,
            jobs: HashMap::new(),
            waiting: VecDeque::new(),
            working: BTreeSet::new(),
            service: 0.0,
            updated: started_at,
            taken_slots: 0,
            failing: BTreeSet::new(),
            choked: false,
            idle_since: None,
            came: VecDeque::new(),
            connections: 0,
            used: 0.0,
            answered: 0,
            report: Report::default(),
            reported: started_at,
        }
    }

    // ---- what it can do

    pub fn is_up(&self) -> bool {
        self.state == State::Up
    }

    pub fn has_fallen(&self) -> bool {
        self.state == State::Fallen
    }

    pub fn is_choked(&self) -> bool {
        self.choked
    }

    /// Whether one more query, beside those on the way, would find no room, bring it near to choking, or keep
    /// it choked.
    pub fn is_full(&self, coming: usize) -> bool {
        let most = self.choke.as_ref().map_or(f64::MAX, |choke| NEAR_CHOKE * choke.at * self.slots as f64);
        let waiting = self.waiting.len() + coming;
        self.choked || waiting >= self.room || (self.jobs.len() + coming + 1) as f64 > most
    }

    /// Queries that it holds, waiting or at work.
    pub fn held(&self) -> usize {
        self.jobs.len()
    }

    pub fn warmth(&self, now: u64) -> f64 {
        let age = now.saturating_sub(self.started_at);
        if self.started_at == 0 || age >= self.cold.lasts {
            return 1.0;
        }
        self.cold.from + (1.0 - self.cold.from) * age as f64 / self.cold.lasts as f64
    }

    /// Work a second that it can do right now.
    pub fn strength(&self, now: u64) -> f64 {
        if self.state != State::Up || self.hung || self.paused || self.silent {
            return 0.0;
        }
        self.pace(now) * self.cores.min(self.slots as f64)
    }

    fn pace(&self, now: u64) -> f64 {
        let choke = self.choke.as_ref().filter(|_| self.choked).map_or(1.0, |choke| choke.slows);
        self.speed * self.warmth(now) * (1.0 - self.neighbour) / (self.slow * choke)
    }

    /// Service that each query at work gets in a microsecond.
    fn share(&self) -> f64 {
        if self.paused || self.silent {
            return 0.0;
        }
        self.pace(self.updated) * (self.cores / self.working.len().max(1) as f64).min(1.0)
    }

    // ---- what happens to it

    /// Brings the service up to date. Whoever changes anything calls this first.
    fn advance(&mut self, now: u64) {
        let passed = now.saturating_sub(self.updated) as f64;
        if !self.working.is_empty() {
            self.service += passed * self.share();
            if !self.paused && !self.silent {
                self.used += passed * self.cores.min(self.working.len() as f64);
            }
        }
        self.updated = now.max(self.updated);
    }

    pub fn arrive(&mut self, now: u64, job: Job, task: Task) -> Taken {
        self.advance(now);
        if self.state != State::Up {
            return Taken::Down;
        }
        let work = task.work + if task.fresh { self.cost } else { 0.0 };
        if self.warmth(now) < 1.0 && self.tips(now, work) {
            return Taken::Down;
        }
        if self.draining || self.waiting.len() >= self.room || self.connections > self.cap {
            return Taken::Rejected;
        }
        let piece = work / (task.calls + 1) as f64;
        let mut stage = Stage::Waits;
        if self.hung {
            stage = Stage::Stuck;
        } else if self.dice.chance(self.fails) {
            stage = Stage::Fails;
            self.failing.insert((now + HARD_FAULT, job));
        }
        self.jobs.insert(job, Progress { stage, piece, calls_left: task.calls, left: false });
        if stage == Stage::Waits {
            self.waiting.push_back(job);
            self.fill();
        }
        self.mark_choke(now);
        Taken::Taken
    }

    /// Whether this work is what pushes a cold server over. It stays down then.
    fn tips(&mut self, now: u64, work: f64) -> bool {
        self.came.push_back((now, work));
        let since = now.saturating_sub(self.cold.tip_after);
        while self.came.pop_front_if(|(at, _)| *at < since).is_some() {}
        let (sum, largest) =
            self.came.iter().fold((0.0, 0.0), |(sum, most), (_, w)| (sum + w, f64::max(most, *w)));
        let capacity = self.cores.min(self.slots as f64) * self.speed * self.warmth(now);
        // One query's work is slack for chance.
        let tips = sum > self.cold.multiple * capacity * self.cold.tip_after as f64 + largest;
        if tips {
            self.state = State::Fallen;
        }
        tips
    }

    fn fill(&mut self) {
        while self.taken_slots < self.slots
            && let Some(job) = self.waiting.pop_front()
        {
            self.taken_slots += 1;
            self.work(job);
        }
    }

    fn work(&mut self, job: Job) {
        if self.working.is_empty() {
            self.service = 0.0;
        }
        let Some(progress) = self.jobs.get_mut(&job) else { return };
        let mark = (self.service + progress.piece).to_bits();
        progress.stage = Stage::Works(mark);
        self.working.insert((mark, job));
    }

    /// When something happens here by itself; `u64::MAX` if nothing will.
    pub fn next(&self) -> u64 {
        if self.state != State::Up || self.silent {
            return u64::MAX;
        }
        let mut next = self.failing.first().map_or(u64::MAX, |(at, _)| *at);
        if let Some((mark, _)) = self.working.first() {
            let share = self.share();
            if share > 0.0 {
                let left = (f64::from_bits(*mark) - self.service).max(0.0);
                next = next.min(self.updated + (left / share).ceil() as u64);
            }
            if self.warmth(self.updated) < 1.0 {
                next = next.min(self.updated + WARM_STEP);
            }
        }
        if let (Some(since), Some(choke)) = (self.idle_since, &self.choke) {
            next = next.min(since + choke.rests);
        }
        next
    }

    /// Takes note of what has happened up to now.
    pub fn step(&mut self, now: u64, did: &mut Vec<Did>) {
        self.advance(now);
        if self.state != State::Up || self.silent {
            return;
        }
        while let Some((_, job)) = self.failing.pop_first_if_before(now) {
            self.end(job, false, did);
        }
        while let Some(&(mark, job)) = self.working.first()
            && f64::from_bits(mark) <= self.service + NEAR
        {
            self.working.pop_first();
            let Some(progress) = self.jobs.get_mut(&job) else { continue };
            if progress.calls_left > 0 && !progress.left {
                progress.calls_left -= 1;
                progress.stage = Stage::Calls;
                did.push(Did::Calls(job));
            } else {
                self.taken_slots -= 1;
                self.end(job, true, did);
            }
        }
        self.fill();
        self.mark_choke(now);
    }

    fn end(&mut self, job: Job, well: bool, did: &mut Vec<Did>) {
        if let Some(progress) = self.jobs.remove(&job) {
            self.answered += 1;
            if !progress.left {
                did.push(Did::Answered(job, well));
            }
        }
    }

    /// A call to the next tier has come back.
    pub fn returned(&mut self, now: u64, job: Job, well: bool, did: &mut Vec<Did>) {
        self.advance(now);
        if self.jobs.get(&job).is_none_or(|progress| progress.stage != Stage::Calls) {
            return;
        }
        if well {
            self.work(job);
        } else {
            self.taken_slots -= 1;
            self.end(job, false, did);
            self.fill();
        }
        self.mark_choke(now);
    }

    /// Nobody waits for the answer any more: what has not begun does not begin. True if it had not.
    pub fn leave(&mut self, now: u64, job: Job) -> bool {
        self.advance(now);
        let Some(progress) = self.jobs.get_mut(&job) else { return false };
        progress.left = true;
        match progress.stage {
            Stage::Waits => {
                self.waiting.retain(|waits| *waits != job);
                self.jobs.remove(&job);
                self.mark_choke(now);
                true
            }
            Stage::Stuck => {
                self.jobs.remove(&job);
                self.mark_choke(now);
                false
            }
            Stage::Calls => {
                self.taken_slots -= 1;
                self.jobs.remove(&job);
                self.fill();
                self.mark_choke(now);
                false
            }
            Stage::Works(_) | Stage::Fails => false,
        }
    }

    /// The process ends: all that it held breaks.
    pub fn stop(&mut self, now: u64) {
        self.advance(now);
        self.clear();
        self.state = State::Down;
    }

    /// What a server that fell or was stopped still held.
    pub fn drop_all(&mut self) -> Vec<Job> {
        let mut held: Vec<Job> = self.jobs.keys().copied().collect();
        held.sort_unstable();
        self.clear();
        held
    }

    fn clear(&mut self) {
        self.jobs.clear();
        self.waiting.clear();
        self.working.clear();
        self.failing.clear();
        self.came.clear();
        (self.taken_slots, self.connections, self.service) = (0, 0, 0.0);
        (self.choked, self.idle_since) = (false, None);
    }

    /// A new process, cold.
    pub fn start(&mut self, now: u64) {
        self.clear();
        (self.state, self.started_at, self.updated, self.reported) = (State::Up, now, now, now);
        (self.draining, self.hung, self.paused, self.silent) = (false, false, false, false);
        (self.fails, self.slow) = (0.0, 1.0);
        (self.used, self.answered, self.report) = (0.0, 0, Report::default());
    }

    /// Changes how well it is; the work so far counts at the pace before.
    pub fn change(&mut self, now: u64, change: impl FnOnce(&mut Machine)) {
        self.advance(now);
        change(self);
    }

    /// Too many queries held turn it slow; nearly none for a while make it well again.
    fn mark_choke(&mut self, now: u64) {
        let Some(choke) = &self.choke else { return };
        let held = self.jobs.len() as f64;
        let slots = self.slots as f64;
        if held > choke.at * slots {
            self.choked = true;
        }
        if !self.choked || held > choke.idle * slots {
            self.idle_since = None;
        } else if now >= *self.idle_since.get_or_insert(now) + choke.rests {
            (self.choked, self.idle_since) = (false, None);
        }
    }

    /// What an answer or a probe says of its load: made anew every so often, and not exact.
    pub fn report(&mut self, now: u64) -> Option<Report> {
        self.advance(now);
        let passed = now.saturating_sub(self.reported);
        if passed >= self.reports.every {
            let noise = |dice: &mut Dice, noise: f64| 1.0 + noise * (2.0 * dice.unit() - 1.0);
            let busy = (self.used / (passed as f64 * self.cores)).min(1.0);
            let rate = self.answered as f64 * 1e6 / passed as f64;
            let exact = self.reports.noise;
            let busy = (busy * noise(&mut self.dice, exact)).min(1.0);
            let rate = rate * noise(&mut self.dice, exact);
            self.report = Report {
                utilization: self.reports.utilization.then_some(busy),
                throughput: self.reports.throughput.then_some(rate),
                inflight: self.jobs.len() - self.waiting.len(),
                queue: self.waiting.len(),
            };
            (self.reported, self.used, self.answered) = (now, 0.0, 0);
        }
        let some = self.reports.utilization || self.reports.throughput;
        (some && !self.dice.chance(self.reports.absent)).then_some(self.report)
    }
}

trait FirstBefore {
    fn pop_first_if_before(&mut self, now: u64) -> Option<(u64, Job)>;
}

impl FirstBefore for BTreeSet<(u64, Job)> {
    fn pop_first_if_before(&mut self, now: u64) -> Option<(u64, Job)> {
        if self.first()?.0 <= now { self.pop_first() } else { None }
    }
}
