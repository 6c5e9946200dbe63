//! Admission control for the first seconds of a process, which may restart together with all others. It
//! admits few requests at a time at first, and more while answers stay about as fast as the fastest ones.
//! Guards against a rush of clients to the first balancer that is up after an outage, and against servers
//! overloaded by all balancers that return at once. The module does no I/O and reads no clock.

/// The most recent answers by which overload of the servers is detected.
const MAX_RECENT_ANSWERS: usize = 16;
/// Requests in flight at first for each listed server, shared out over the members of the fleet.
const INITIAL_REQUESTS_PER_SERVER: f64 = 2.0;
/// The factor on the limit after a step with fast answers.
const INCREASE: f64 = 1.5;
/// The factor on the limit after a step with slow answers.
const DECREASE: f64 = 0.7;
/// Answers are slow if their median exceeds the fastest median by more than this factor.
const SLOW_FACTOR: f64 = 2.0;
/// The limit is lifted after this many steps without a rejected request.
const STEPS_WITHOUT_REJECTION: u32 = 8;
/// The limit is lifted after this many steps in any case.
const MAX_STEPS: u32 = 80;

/// A limit on the requests in flight that grows while answers stay fast.
pub struct StartupLimit {
    step_us: u64,
    next_step_at_us: u64,
    steps: u32,
    steps_without_rejection: u32,
    max_in_flight: f64,
    min_in_flight: f64,
    /// The latest answer times since the last step, in microseconds.
    recent_answers_us: Vec<u64>,
    fastest_median_us: Option<u64>,
    rejected: u64,
    is_over: bool,
}

impl StartupLimit {
    /// Creates a limit for a process that starts at `now`. `step_us` is the time between two steps in
    /// microseconds, an answer time that is acceptable to the clients of every product.
    pub fn new(servers: usize, members: usize, step_us: u64, now: u64) -> StartupLimit {
        let step_us = step_us.max(1);
        let min_in_flight = (INITIAL_REQUESTS_PER_SERVER * servers as f64 / members.max(1) as f64).max(1.0);
        StartupLimit {
            step_us,
            next_step_at_us: now + step_us,
            steps: 0,
            steps_without_rejection: 0,
            max_in_flight: min_in_flight,
            min_in_flight,
            recent_answers_us: Vec::new(),
            fastest_median_us: None,
            rejected: 0,
            is_over: false,
        }
    }

    /// Whether the limit is lifted, so that all requests are admitted.
    pub fn is_over(&self) -> bool {
        self.is_over
    }

    /// The number of requests that the limit has rejected.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Admits a request beside `open` others in flight, or returns after how many microseconds its client
    /// should retry. `chance`, from 0 to 1, spreads the retries of many clients.
    pub fn try_admit(&mut self, now: u64, open: usize, chance: f64) -> Result<(), u64> {
        self.advance(now);
        if self.is_over || (open as f64) < self.max_in_flight {
            return Ok(());
        }
        self.rejected += 1;
        self.steps_without_rejection = 0;
        Err(((1.0 + 3.0 * chance) * self.step_us as f64) as u64)
    }

    /// Records a request that was completed after `spent` microseconds.
    pub fn record_completion(&mut self, spent: u64) {
        if self.recent_answers_us.len() == MAX_RECENT_ANSWERS {
            self.recent_answers_us.remove(0);
        }
        self.recent_answers_us.push(spent);
    }

    /// Takes the steps that are due, each of which adjusts the limit by the answers since the last one.
    pub fn advance(&mut self, now: u64) {
        while !self.is_over && now >= self.next_step_at_us {
            self.next_step_at_us += self.step_us;
            self.steps += 1;
            self.steps_without_rejection += 1;
            let mut answers = std::mem::take(&mut self.recent_answers_us);
            answers.sort_unstable();
            if let Some(median) = answers.get(answers.len() / 2).copied() {
                let fastest = self.fastest_median_us.map_or(median, |fastest| fastest.min(median));
                self.fastest_median_us = Some(fastest);
                let is_overloaded = median as f64 > SLOW_FACTOR * fastest as f64;
                self.max_in_flight = (self.max_in_flight * if is_overloaded { DECREASE } else { INCREASE })
                    .max(self.min_in_flight);
            }
            self.is_over = self.steps_without_rejection >= STEPS_WITHOUT_REJECTION || self.steps >= MAX_STEPS;
        }
    }
}
