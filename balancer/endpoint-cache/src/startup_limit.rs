//! The first seconds of a process that comes back, perhaps with all others: it takes few queries at a time,
//! and more as long as answers stay as fast as the fastest. Guards against the clients of a whole outage, who
//! all come to the first that is up, and against servers that are jammed by the sum of all that return. No
//! I/O and no clock.

/// Answers by which it is seen whether servers are jammed.
const LAST: usize = 16;
/// So many queries at once for each server listed, shared out over the members of the fleet, to begin with.
const BEGIN: f64 = 2.0;
/// By how much more or less is taken after each step, and how much slower answers may be.
const MORE: f64 = 1.5;
const LESS: f64 = 0.7;
const SLOWER: f64 = 2.0;
/// Steps without a query turned away after which it is over, and the most in all.
const CALM: u32 = 8;
const MOST: u32 = 80;

/// A limit on queries in flight that grows while answers stay fast.
pub struct StartupLimit {
    /// Between two steps, in microseconds.
    step: u64,
    next: u64,
    steps: u32,
    calm: u32,
    allowed: f64,
    least: f64,
    last: Vec<u64>,
    fastest: Option<u64>,
    rejected: u64,
    over: bool,
}

impl StartupLimit {
    /// `step` in microseconds is what clients of all products wait for gladly.
    pub fn new(servers: usize, members: usize, step: u64, now: u64) -> StartupLimit {
        let step = step.max(1);
        let least = (BEGIN * servers as f64 / members.max(1) as f64).max(1.0);
        StartupLimit {
            step,
            next: now + step,
            steps: 0,
            calm: 0,
            allowed: least,
            least,
            last: Vec::new(),
            fastest: None,
            rejected: 0,
            over: false,
        }
    }

    /// Whether it takes everything from now on.
    pub fn is_over(&self) -> bool {
        self.over
    }

    /// Queries turned away by it.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Whether one more may be taken beside so many open ones; if not, after how many microseconds its client
    /// had best come back. `chance` from 0 to 1 spreads those.
    pub fn try_admit(&mut self, now: u64, open: usize, chance: f64) -> Result<(), u64> {
        self.advance(now);
        if self.over || (open as f64) < self.allowed {
            return Ok(());
        }
        self.rejected += 1;
        self.calm = 0;
        Err(((1.0 + 3.0 * chance) * self.step as f64) as u64)
    }

    /// A query was completed after so many microseconds.
    pub fn record_completion(&mut self, spent: u64) {
        if self.last.len() == LAST {
            self.last.remove(0);
        }
        self.last.push(spent);
    }

    /// Time has passed.
    pub fn advance(&mut self, now: u64) {
        while !self.over && now >= self.next {
            self.next += self.step;
            self.steps += 1;
            self.calm += 1;
            let mut last = std::mem::take(&mut self.last);
            last.sort_unstable();
            if let Some(median) = last.get(last.len() / 2).copied() {
                let fastest = self.fastest.map_or(median, |fastest| fastest.min(median));
                self.fastest = Some(fastest);
                let jammed = median as f64 > SLOWER * fastest as f64;
                self.allowed = (self.allowed * if jammed { LESS } else { MORE }).max(self.least);
            }
            self.over = self.calm >= CALM || self.steps >= MOST;
        }
    }
}
