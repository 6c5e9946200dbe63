//! The batch: which requests run, what a step reads and writes, and what happens when places or memory run out.

use super::prefix_cache::{CachedPart, PartKey, PrefixCache, chain_of};
use super::settings::EngineSettings;
use super::work::{Work, WorkId};

/// What became of work while time went on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The work got a place; `reused` parts of its prompt were cached, `missing` ones are read.
    Admitted { work: WorkId, reused: Vec<PartKey>, missing: Vec<CachedPart> },
    /// Its first token came: from here on it counts as run.
    Started { work: WorkId },
    /// The event with this id is whole.
    Event { work: WorkId, id: u64, last: bool },
    /// It lost its place to a more urgent one, or for want of memory, and waits again.
    PutBack { work: WorkId },
    /// Its deadline passed.
    Expired { work: WorkId, started: bool },
}

/// Why work is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejected {
    QueueFull,
    LargerThanMemory,
}

/// What an engine tells of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineLoad {
    pub queued: usize,
    pub running: usize,
    /// Tokens that can't give way.
    pub used_tokens: u64,
    pub memory_tokens: u64,
}

/// A request that waits or runs.
#[derive(Debug)]
struct Request {
    work: Work,
    order: u64,
    chain: Vec<CachedPart>,
    generated: u64,
    started: bool,
}

/// A request with a place in the batch.
#[derive(Debug)]
struct Running {
    request: Request,
    /// Parts at the start of its chain that are cached and in use by it.
    pinned: usize,
    /// Tokens read of the part behind these.
    read_of_part: u64,
    /// Tokens of its own answer that have to be read again before it goes on.
    unread_answer: u64,
    /// Tokens of memory that it holds for itself.
    private_tokens: u64,
    /// Tokens of the prompt that the step under way reads.
    planned_read: u64,
}

/// A step under way.
#[derive(Clone, Copy, Debug)]
struct Step {
    ends_at: f64,
}

/// The engine of one upstream. Times are microseconds of a steady clock.
#[derive(Debug)]
pub struct Engine {
    settings: EngineSettings,
    queue: Vec<Request>,
    running: Vec<Running>,
    cache: PrefixCache,
    step: Option<Step>,
    submitted: u64,
}

impl Engine {
    /// An empty engine.
    pub fn new(settings: EngineSettings) -> Self {
        Engine {
            settings,
            queue: Vec::new(),
            running: Vec::new(),
            cache: PrefixCache::default(),
            step: None,
            submitted: 0,
        }
    }

    /// Takes work; it waits until `advance` finds a place for it.
    pub fn submit(&mut self, work: Work) -> Result<(), Rejected> {
        if work.prompt_tokens() + work.output_tokens > self.settings.memory_tokens {
            return Err(Rejected::LargerThanMemory);
        }
        let free_slots = self.settings.slots.saturating_sub(self.running.len());
        if self.queue.len() >= self.settings.queue + free_slots {
            return Err(Rejected::QueueFull);
        }
        self.submitted += 1;
        let chain = chain_of(&work.prompt);
        let generated = (work.skipped_events * self.settings.tokens_per_event).min(work.output_tokens);
        self.enqueue(Request { work, order: self.submitted, chain, generated, started: false });
        Ok(())
    }

    /// Drops work that nobody waits for.
    pub fn cancel(&mut self, id: WorkId) {
        self.queue.retain(|request| request.work.id != id);
        if let Some(index) = self.running.iter().position(|running| running.request.work.id == id) {
            self.release(index);
        }
    }

    /// When the step under way ends; none while nothing runs.
    pub fn next_step_us(&self) -> Option<u64> {
        self.step.map(|step| step.ends_at.ceil() as u64)
    }

    /// Lets time go on and tells what came of it.
    pub fn advance(&mut self, now_us: u64) -> Vec<Progress> {
        let mut progress = Vec::new();
        loop {
            let began_at = match self.step {
                Some(step) if step.ends_at > now_us as f64 => break,
                Some(step) => {
                    self.finish_step(&mut progress);
                    step.ends_at
                }
                None => now_us as f64,
            };
            self.step = self.begin_step(began_at, &mut progress);
            if self.step.is_none() {
                break;
            }
        }
        progress
    }

    /// The load at this moment.
    pub fn load(&self) -> EngineLoad {
        EngineLoad {
            queued: self.queue.len(),
            running: self.running.len(),
            used_tokens: self.used_tokens(),
            memory_tokens: self.settings.memory_tokens,
        }
    }

    /// Tokens in memory, cached ones that can give way included.
    pub fn held_tokens(&self) -> u64 {
        self.cache.tokens() + self.private_tokens()
    }

    fn enqueue(&mut self, request: Request) {
        let rank = |request: &Request| (request.work.urgency, request.order);
        let place = self.queue.partition_point(|waiting| rank(waiting) < rank(&request));
        self.queue.insert(place, request);
    }

    fn begin_step(&mut self, at: f64, progress: &mut Vec<Progress>) -> Option<Step> {
        self.expire(at as u64, progress);
        self.admit(progress);
        if self.running.is_empty() {
            return None;
        }
        let read = self.plan_reading();
        let context = self.used_tokens() as f64 / 1_000.0;
        let length = self.settings.step_us
            + self.settings.step_us_per_request * self.running.len() as f64
            + self.settings.step_us_per_thousand_tokens * context
            + read as f64 / self.settings.prompt_tokens_per_ms * 1_000.0;
        Some(Step { ends_at: at + length })
    }

    fn expire(&mut self, now_us: u64, progress: &mut Vec<Progress>) {
        let late = |request: &Request| request.work.deadline_us <= now_us;
        for request in self.queue.extract_if(.., |request| late(request)) {
            progress.push(Progress::Expired { work: request.work.id, started: request.started });
        }
        while let Some(index) = self.running.iter().position(|running| late(&running.request)) {
            let request = self.release(index);
            progress.push(Progress::Expired { work: request.work.id, started: request.started });
        }
    }

    fn admit(&mut self, progress: &mut Vec<Progress>) {
        while let Some(next) = self.queue.first() {
            let urgency = next.work.urgency;
            let has_slot = self.running.len() < self.settings.slots;
            if has_slot && self.fits(next) {
                let request = self.queue.remove(0);
                self.place(request, progress);
                continue;
            }
            match self.least_urgent() {
                Some(index) if self.running[index].request.work.urgency > urgency => {
                    self.put_back(index, progress);
                }
                _ => break,
            }
        }
    }

    /// Whether the memory holds a request besides all that the running ones need for their prompts.
    fn fits(&self, request: &Request) -> bool {
        let cached = self.cache.cached_prefix(&request.chain);
        let (cached, missing) = request.chain.split_at(cached);
        let unread: u64 = missing.iter().map(|part| part.tokens).sum::<u64>() + request.generated;
        let newly_pinned = self.cache.unpinned_tokens(cached);
        let promised: u64 = self.running.iter().map(Running::unread_tokens).sum();
        self.used_tokens() + promised + newly_pinned + unread < self.settings.memory_tokens
    }

    fn place(&mut self, request: Request, progress: &mut Vec<Progress>) {
        let pinned = self.cache.cached_prefix(&request.chain);
        for part in &request.chain[..pinned] {
            self.cache.pin(part);
        }
        progress.push(Progress::Admitted {
            work: request.work.id,
            reused: request.chain[..pinned].iter().map(|part| part.key).collect(),
            missing: request.chain[pinned..].to_vec(),
        });
        let unread_answer = request.generated;
        let running =
            Running { request, pinned, read_of_part: 0, unread_answer, private_tokens: 0, planned_read: 0 };
        self.running.push(running);
    }

    /// Shares out what one step reads: the most urgent first, then those that came first.
    fn plan_reading(&mut self) -> u64 {
        self.running.sort_by_key(|running| (running.request.work.urgency, running.request.order));
        let mut left = self.settings.prompt_tokens_per_step;
        for running in &mut self.running {
            running.planned_read = running.unread_tokens().min(left);
            left -= running.planned_read;
        }
        self.settings.prompt_tokens_per_step - left
    }

    fn finish_step(&mut self, progress: &mut Vec<Progress>) {
        let order: Vec<WorkId> = self.running.iter().map(|running| running.request.work.id).collect();
        for id in order {
            self.read_prompt(id, progress);
            self.write_token(id, progress);
        }
    }

    fn read_prompt(&mut self, id: WorkId, progress: &mut Vec<Progress>) {
        // A request before this one may have taken its place.
        let Some(index) = self.index_of(id) else { return };
        let planned = std::mem::take(&mut self.running[index].planned_read);
        let Some(index) = self.claim(id, planned, progress) else { return };
        let running = &mut self.running[index];
        running.private_tokens += planned;
        let mut left = planned;
        while let Some(part) = running.request.chain.get(running.pinned) {
            let missing = part.tokens - running.read_of_part;
            if left < missing {
                running.read_of_part += left;
                return;
            }
            left -= missing;
            running.read_of_part = 0;
            running.pinned += 1;
            running.private_tokens -= part.tokens;
            self.cache.pin(part);
        }
        running.unread_answer -= left;
    }

    fn write_token(&mut self, id: WorkId, progress: &mut Vec<Progress>) {
        let waits = self.index_of(id).is_none_or(|index| self.running[index].unread_tokens() > 0);
        if waits {
            return;
        }
        if let Some(index) = self.claim(id, 1, progress) {
            self.generate(index, progress);
        }
    }

    /// Makes room for tokens of a running request, at the cost of less urgent ones; none if it lost its own place.
    fn claim(&mut self, id: WorkId, tokens: u64, progress: &mut Vec<Progress>) -> Option<usize> {
        while !self.make_room(tokens) {
            let victim = self.least_urgent()?;
            self.put_back(victim, progress);
            self.index_of(id)?;
        }
        self.index_of(id)
    }

    fn generate(&mut self, index: usize, progress: &mut Vec<Progress>) {
        let running = &mut self.running[index];
        let request = &mut running.request;
        let work = request.work.id;
        if !request.started {
            request.started = true;
            progress.push(Progress::Started { work });
        }
        running.private_tokens += 1;
        request.generated = (request.generated + 1).min(request.work.output_tokens);
        let last = request.generated == request.work.output_tokens;
        let stride = self.settings.tokens_per_event;
        if last || request.generated.is_multiple_of(stride) {
            let id = request.generated.div_ceil(stride);
            progress.push(Progress::Event { work, id, last });
        }
        if last {
            self.release(index);
        }
    }

    /// Lets cached parts give way until so many tokens fit; false if they don't.
    fn make_room(&mut self, tokens: u64) -> bool {
        while self.held_tokens() + tokens > self.settings.memory_tokens {
            if !self.cache.evict_one() {
                return false;
            }
        }
        true
    }

    /// The newest of the least urgent.
    fn least_urgent(&self) -> Option<usize> {
        let rank = |running: &Running| (running.request.work.urgency, running.request.order);
        (0..self.running.len()).max_by_key(|&index| rank(&self.running[index]))
    }

    fn put_back(&mut self, index: usize, progress: &mut Vec<Progress>) {
        let request = self.release(index);
        progress.push(Progress::PutBack { work: request.work.id });
        self.enqueue(request);
    }

    fn release(&mut self, index: usize) -> Request {
        let running = self.running.remove(index);
        for part in &running.request.chain[..running.pinned] {
            self.cache.unpin(part.key);
        }
        running.request
    }

    fn index_of(&self, id: WorkId) -> Option<usize> {
        self.running.iter().position(|running| running.request.work.id == id)
    }

    fn private_tokens(&self) -> u64 {
        self.running.iter().map(|running| running.private_tokens).sum()
    }

    fn used_tokens(&self) -> u64 {
        self.cache.pinned_tokens() + self.private_tokens()
    }
}

impl Running {
    /// Tokens to read before the next token of the answer.
    fn unread_tokens(&self) -> u64 {
        let parts = self.request.chain[self.pinned..].iter().map(|part| part.tokens).sum::<u64>();
        parts - self.read_of_part + self.unread_answer
    }
}
