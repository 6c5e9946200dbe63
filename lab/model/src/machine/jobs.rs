//! The queries of a server: admission, progress, calls to the next tier, and cancellation.

use super::{Admission, Job, Machine, MachineEvent, Phase, Progress, State, Task};

/// How often the speed of a server in its slow start is updated.
const WARM_UP_STEP: u64 = 50_000;
/// Service this near to its target, in microseconds of work, has reached it.
const COMPLETION_TOLERANCE: f64 = 1e-3;
/// How long a query takes that fails without work.
const FAILURE_TIME: u64 = 1_000;

impl Machine {
    /// A query arrives.
    pub fn admit(&mut self, now: u64, job: Job, task: Task) -> Admission {
        self.advance(now);
        if self.state != State::Up {
            return Admission::Down;
        }
        let work = task.work + if task.fresh { self.cost } else { 0.0 };
        if self.warm_fraction(now) < 1.0 && self.overloads(now, work) {
            return Admission::Down;
        }
        if self.draining || self.waiting.len() >= self.queue_limit || self.connections > self.cap {
            return Admission::Rejected;
        }
        let chunk = work / (task.calls + 1) as f64;
        let mut phase = Phase::Queued;
        if self.hung {
            phase = Phase::Stuck;
        } else if self.random.chance(self.failure_rate) {
            phase = Phase::Failing;
            self.failing.insert((now + FAILURE_TIME, job));
        }
        self.jobs.insert(job, Progress { phase, chunk, remaining_calls: task.calls, cancelled: false });
        if phase == Phase::Queued {
            self.waiting.push_back(job);
            self.start_waiting();
        }
        self.update_saturation(now);
        Admission::Accepted
    }

    /// Whether this work overloads a cold server, which then goes down.
    fn overloads(&mut self, now: u64, work: f64) -> bool {
        self.recent_work.push_back((now, work));
        let since = now.saturating_sub(self.cold.tip_after);
        while self.recent_work.pop_front_if(|(at, _)| *at < since).is_some() {}
        let (sum, largest) =
            self.recent_work.iter().fold((0.0, 0.0), |(sum, most), (_, w)| (sum + w, f64::max(most, *w)));
        let capacity = self.cores.min(self.slots as f64) * self.speed * self.warm_fraction(now);
        // The largest query is allowed on top, as a margin for random bursts.
        let overloads = sum > self.cold.multiple * capacity * self.cold.tip_after as f64 + largest;
        if overloads {
            self.state = State::Overloaded;
        }
        overloads
    }

    fn start_waiting(&mut self) {
        while self.taken_slots < self.slots
            && let Some(job) = self.waiting.pop_front()
        {
            self.taken_slots += 1;
            self.start_work(job);
        }
    }

    fn start_work(&mut self, job: Job) {
        if self.working.is_empty() {
            self.service = 0.0;
        }
        let Some(progress) = self.jobs.get_mut(&job) else { return };
        let target = (self.service + progress.chunk).to_bits();
        progress.phase = Phase::Running(target);
        self.working.insert((target, job));
    }

    /// When the server next does something by itself; `u64::MAX` if it will not.
    pub fn next(&self) -> u64 {
        if self.state != State::Up || self.silent {
            return u64::MAX;
        }
        let mut next = self.failing.first().map_or(u64::MAX, |(at, _)| *at);
        if let Some((target, _)) = self.working.first() {
            let service_rate = self.service_rate();
            if service_rate > 0.0 {
                let left = (f64::from_bits(*target) - self.service).max(0.0);
                next = next.min(self.updated + (left / service_rate).ceil() as u64);
            }
            if self.warm_fraction(self.updated) < 1.0 {
                next = next.min(self.updated + WARM_UP_STEP);
            }
        }
        if let (Some(since), Some(saturation)) = (self.idle_since, &self.saturation) {
            next = next.min(since + saturation.rests);
        }
        next
    }

    /// Appends what the server has done up to now to `events`.
    pub fn step(&mut self, now: u64, events: &mut Vec<MachineEvent>) {
        self.advance(now);
        if self.state != State::Up || self.silent {
            return;
        }
        while let Some(&(at, job)) = self.failing.first()
            && at <= now
        {
            self.failing.pop_first();
            self.end(job, false, events);
        }
        while let Some(&(target, job)) = self.working.first()
            && f64::from_bits(target) <= self.service + COMPLETION_TOLERANCE
        {
            self.working.pop_first();
            let Some(progress) = self.jobs.get_mut(&job) else { continue };
            if progress.remaining_calls > 0 && !progress.cancelled {
                progress.remaining_calls -= 1;
                progress.phase = Phase::Calling;
                events.push(MachineEvent::Calls(job));
            } else {
                self.taken_slots -= 1;
                self.end(job, true, events);
            }
        }
        self.start_waiting();
        self.update_saturation(now);
    }

    fn end(&mut self, job: Job, succeeded: bool, events: &mut Vec<MachineEvent>) {
        if let Some(progress) = self.jobs.remove(&job) {
            self.answered += 1;
            if !progress.cancelled {
                events.push(MachineEvent::Answered(job, succeeded));
            }
        }
    }

    /// A call to the next tier has returned.
    pub fn call_returned(&mut self, now: u64, job: Job, succeeded: bool, events: &mut Vec<MachineEvent>) {
        self.advance(now);
        if self.jobs.get(&job).is_none_or(|progress| progress.phase != Phase::Calling) {
            return;
        }
        if succeeded {
            self.start_work(job);
        } else {
            self.taken_slots -= 1;
            self.end(job, false, events);
            self.start_waiting();
        }
        self.update_saturation(now);
    }

    /// The answer is no longer wanted, and a queued query is removed. Returns whether it was queued.
    pub fn cancel(&mut self, now: u64, job: Job) -> bool {
        self.advance(now);
        let Some(progress) = self.jobs.get_mut(&job) else { return false };
        progress.cancelled = true;
        match progress.phase {
            Phase::Queued => {
                self.waiting.retain(|waits| *waits != job);
                self.jobs.remove(&job);
                self.update_saturation(now);
                true
            }
            Phase::Stuck => {
                self.jobs.remove(&job);
                self.update_saturation(now);
                false
            }
            Phase::Calling => {
                self.taken_slots -= 1;
                self.jobs.remove(&job);
                self.start_waiting();
                self.update_saturation(now);
                false
            }
            Phase::Running(_) | Phase::Failing => false,
        }
    }
}
