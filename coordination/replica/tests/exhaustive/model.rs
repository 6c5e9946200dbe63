//! A model of replicas, their disks and the messages between them that executes one action at a time.

mod choices;
mod machine;

use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

use whinspindle_replica::{
    Input, Message, Output, ProtocolRules, Replica, ReplicaSettings, Timing, Tolerance,
};

pub use self::choices::{Action, Budget};
use self::machine::Machine;
use crate::common::history::Request;
use crate::common::node::{Registers, endpoint};
use crate::observer::{Observer, hash_of};

/// The initial number of machines and the tolerated number of losses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Core {
    /// Founding members, which are all voters and in the chain.
    pub members: usize,
    pub losses: usize,
}

pub const THREE: Core = Core { members: 3, losses: 1 };
pub const TWO: Core = Core { members: 2, losses: 1 };
pub const FOUR: Core = Core { members: 4, losses: 2 };

/// The clock advances this far in one step. A coarse clock lets searches reach view changes.
const CLOCK_STEP_MS: u64 = 300;
/// The number of clock steps that a crash or a cut lasts in a schedule with departures.
const FAULT_STEPS: u64 = 5;
/// The number of clock steps by which a message is delayed.
const DELAY_STEPS: u64 = 2;

/// Timeouts that suit the coarse clock.
const TIMING: Timing = Timing {
    heartbeat_interval_ms: 1,
    suspicion_timeout_ms: 400,
    contact_lifetime_ms: 1_000,
    disk_stall_timeout_ms: 700,
    chain_stall_timeout_ms: 700,
    replacement_timeout_ms: 1_000,
    round_timeout_ms: 700,
    submit_timeout_ms: 1_000_000,
    resend_interval_ms: 200,
};

/// A directed link from one machine to another, by number.
pub type Link = (usize, usize);

/// A message in flight.
#[derive(Clone, Debug)]
struct InFlightMessage {
    order: u64,
    digest: u64,
    message: Rc<Message>,
}

/// A request that a client submits during a schedule.
#[derive(Clone, Debug)]
pub struct ScheduledRequest {
    /// The clock step after which the request is submitted in the ordinary schedule.
    pub after: u64,
    pub machine: usize,
    pub request: Request,
}

/// The state of all machines and links at a point of a schedule.
#[derive(Clone)]
pub struct Model<L> {
    core: Core,
    pub steps: u64,
    pub passed: u64,
    pub machines: Vec<Rc<Machine<L>>>,
    links: BTreeMap<Link, VecDeque<InFlightMessage>>,
    /// Delayed messages, with the clock step at which they can arrive again.
    delayed: Vec<(u64, Link, InFlightMessage)>,
    /// Links that are cut, with the clock step at which they heal.
    cuts: BTreeMap<Link, u64>,
    down_until: BTreeMap<usize, u64>,
    submitted: BTreeSet<usize>,
    /// The machine to which a request was submitted, by ticket.
    submitted_to: Vec<usize>,
    scheduled_requests: Rc<Vec<ScheduledRequest>>,
    pub observer: Observer,
    pub budget: Budget,
    sent_messages: u64,
}

impl<L: ProtocolRules> Model<L> {
    /// Founding members with empty disks.
    pub fn new(core: Core, scheduled_requests: Vec<ScheduledRequest>, budget: Budget) -> Model<L> {
        let mut model = Model {
            core,
            steps: 0,
            passed: 0,
            machines: (0..core.members).map(|_| Rc::new(Machine::empty())).collect(),
            links: BTreeMap::new(),
            delayed: Vec::new(),
            cuts: BTreeMap::new(),
            down_until: BTreeMap::new(),
            submitted: BTreeSet::new(),
            submitted_to: Vec::new(),
            scheduled_requests: Rc::new(scheduled_requests),
            observer: Observer::default(),
            budget,
            sent_messages: 0,
        };
        for machine in 0..core.members {
            model.start(machine).expect("a start breaks nothing");
        }
        model
    }

    /// Adds a machine with an empty disk.
    pub fn add(&mut self) -> Result<(), String> {
        self.machines.push(Rc::new(Machine::empty()));
        self.start(self.machines.len() - 1)
    }

    fn now(&self) -> u64 {
        1_000 + self.passed * CLOCK_STEP_MS
    }

    pub fn is_running(&self, machine: usize) -> bool {
        self.machines[machine].replica.is_some()
    }

    /// Executes an action; returns the violated invariant, if any.
    pub fn act(&mut self, action: Action) -> Result<(), String> {
        self.steps += 1;
        self.charge_budget(action);
        match action {
            Action::Deliver(link) => {
                let in_flight = self.take(link);
                self.deliver(link, in_flight)?;
            }
            Action::Lose(link) => {
                self.take(link);
            }
            Action::Duplicate(link) => {
                let in_flight = self.take(link);
                self.links.entry(link).or_default().extend(in_flight.clone());
                self.deliver(link, in_flight)?;
            }
            Action::Delay(link) => {
                let in_flight = self.take(link);
                self.delayed.extend(in_flight.map(|in_flight| (self.passed + DELAY_STEPS, link, in_flight)));
            }
            Action::Written(machine) => self.written(machine)?,
            Action::Crash { machine, writes } => self.stop(machine, writes),
            Action::Restart { machine, writes } => {
                self.stop(machine, writes);
                self.start(machine)?;
            }
            Action::LoseDisk(machine) => {
                self.stop(machine, false);
                self.machine(machine).disk = (None, Vec::new());
            }
            Action::Start(machine) => self.start(machine)?,
            Action::Replace(machine) => self.replace(machine)?,
            Action::Cut(link) => self.cut(link),
            Action::Isolate(machine) => self.isolate(machine),
            Action::Heal => self.cuts.clear(),
            Action::Submit { machine, request } => self.submit(machine, request)?,
            Action::Pass => self.pass()?,
        }
        Ok(())
    }

    /// Subtracts the cost of an action from the budget.
    fn charge_budget(&mut self, action: Action) {
        let budget = &mut self.budget;
        match action {
            Action::Lose(_) | Action::Delay(_) => budget.losses -= 1,
            Action::Duplicate(_) => budget.duplicates -= 1,
            Action::Crash { .. } | Action::Restart { .. } => budget.crashes -= 1,
            Action::LoseDisk(_) => budget.lost_disks -= 1,
            Action::Replace(_) => budget.replacements -= 1,
            Action::Cut(_) | Action::Isolate(_) => budget.cuts -= 1,
            Action::Pass => budget.passes = budget.passes.saturating_sub(1),
            Action::Deliver(_)
            | Action::Written(_)
            | Action::Start(_)
            | Action::Heal
            | Action::Submit { .. } => {}
        }
    }

    fn isolate(&mut self, machine: usize) {
        for other in (0..self.machines.len()).filter(|other| *other != machine) {
            self.cut((machine, other));
            self.cut((other, machine));
        }
    }

    fn take(&mut self, link: Link) -> Option<InFlightMessage> {
        self.links.get_mut(&link)?.pop_front()
    }

    fn deliver(&mut self, link: Link, in_flight: Option<InFlightMessage>) -> Result<(), String> {
        let Some(in_flight) = in_flight else { return Ok(()) };
        let (from, to) = link;
        let message = (*in_flight.message).clone();
        self.handle(to, Input::Message { from: endpoint(from), message })
    }

    /// Cuts a link. Messages in flight on the link are lost, and so are messages sent while it is cut.
    fn cut(&mut self, link: Link) {
        self.cuts.insert(link, self.passed + FAULT_STEPS);
        self.links.remove(&link);
    }

    fn written(&mut self, number: usize) -> Result<(), String> {
        let machine = self.machine(number);
        let Some((token, write)) = machine.writing.take() else { return Ok(()) };
        machine.write(write);
        self.handle(number, Input::Persisted { token })
    }

    fn stop(&mut self, number: usize, writes: bool) {
        let machine = self.machine(number);
        machine.replica = None;
        let current_write = machine.writing.take();
        if let Some((_, write)) = current_write.filter(|_| writes) {
            machine.write(write);
        }
        self.down_until.insert(number, self.passed + FAULT_STEPS);
    }

    fn start(&mut self, number: usize) -> Result<(), String> {
        let now = self.now();
        let Core { members, losses } = self.core;
        self.down_until.remove(&number);
        let machine = self.machine(number);
        machine.starts += 1;
        let drawn = 1_000 * (number as u64 + 1) + machine.starts;
        let settings = ReplicaSettings {
            endpoint: endpoint(number),
            zone: format!("zone-{number}"),
            region: String::new(),
            seeds: (0..members).map(endpoint).collect(),
            bootstrap: number < members && machine.starts == 1,
            incarnation: drawn,
            start_id: drawn,
            tolerance: Tolerance::machines_only(losses),
            timing: TIMING,
        };
        let (replica, outputs) = Replica::with_rules(settings, Registers, machine.disk.clone(), now)
            .map_err(|error| error.to_string())?;
        machine.replica = Some(replica);
        self.apply_outputs(number, outputs)
    }

    fn replace(&mut self, number: usize) -> Result<(), String> {
        self.stop(number, false);
        self.down_until.remove(&number);
        self.machine(number).is_gone = true;
        self.add()
    }

    fn submit(&mut self, machine: usize, index: usize) -> Result<(), String> {
        self.submitted.insert(index);
        let request = self.scheduled_requests[index].request.clone();
        let command = request.command(crate::observer::REGISTER).into_bytes();
        let ticket = self.observer.record_request(self.steps, request);
        self.submitted_to.push(machine);
        self.handle(machine, Input::Submit { ticket, command })
    }

    fn pass(&mut self) -> Result<(), String> {
        self.passed += 1;
        let (due, delayed) =
            std::mem::take(&mut self.delayed).into_iter().partition(|(at, ..)| *at <= self.passed);
        self.delayed = delayed;
        let due: Vec<(u64, Link, InFlightMessage)> = due;
        for (_, link, in_flight) in due {
            self.links.entry(link).or_default().push_front(in_flight);
        }
        for machine in 0..self.machines.len() {
            if self.is_running(machine) {
                self.handle(machine, Input::Tick)?;
            }
        }
        Ok(())
    }

    /// In a schedule with departures: ends the cuts that are due and restarts the machines that are due.
    pub fn heal(&mut self) -> Result<(), String> {
        let passed = self.passed;
        self.cuts.retain(|_, until| *until > passed);
        let due: Vec<usize> = self
            .down_until
            .iter()
            .filter(|(_, until)| **until <= passed)
            .map(|(number, _)| *number)
            .collect();
        for number in due {
            self.start(number)?;
        }
        Ok(())
    }

    fn handle(&mut self, number: usize, input: Input) -> Result<(), String> {
        let now = self.now();
        let Some(replica) = &mut self.machine(number).replica else { return Ok(()) };
        let outputs = replica.handle(now, input);
        self.apply_outputs(number, outputs)
    }

    fn apply_outputs(&mut self, number: usize, outputs: Vec<Output>) -> Result<(), String> {
        let mut heartbeats = Vec::new();
        for output in outputs {
            match output {
                Output::Send { to, message: message @ Message::Heartbeat(_) } => {
                    heartbeats.push((to, message))
                }
                Output::Send { to, message } => self.enqueue(number, to, message),
                Output::Persist { token, write } => {
                    self.machine(number).writing = Some((token, write));
                }
                Output::Reply { ticket, result: Ok(reply) } => {
                    self.observer.record_answer(self.steps, ticket, &reply)?;
                }
                Output::Reply { .. } | Output::RecordsReplaced => {}
                Output::Committed { sequence, writes } => self.observer.record_commit(sequence, writes)?,
            }
        }
        if let Some(replica) = &self.machines[number].replica {
            self.observer.check_records(replica.committed_sequence(), replica.committed_records())?;
            self.observer.record_view(replica.view())?;
        }
        for (to, message) in heartbeats {
            self.deliver_heartbeat(number, to, message)?;
        }
        Ok(())
    }

    fn number(&self, at: std::net::SocketAddr) -> Option<usize> {
        (0..self.machines.len()).find(|number| endpoint(*number) == at)
    }

    fn enqueue(&mut self, from: usize, to: std::net::SocketAddr, message: Message) {
        let Some(to) = self.number(to) else { return };
        if self.cuts.contains_key(&(from, to)) {
            return;
        }
        self.sent_messages += 1;
        let in_flight = InFlightMessage {
            order: self.sent_messages,
            digest: hash_of(message.encode()),
            message: Rc::new(message),
        };
        self.links.entry((from, to)).or_default().push_back(in_flight);
    }

    /// Delivers a heartbeat at once.
    fn deliver_heartbeat(
        &mut self,
        from: usize,
        to: std::net::SocketAddr,
        message: Message,
    ) -> Result<(), String> {
        let Some(to) = self.number(to).filter(|to| !self.cuts.contains_key(&(from, *to))) else {
            return Ok(());
        };
        self.handle(to, Input::Message { from: endpoint(from), message })
    }

    /// A mutable reference to a machine. Its cached fingerprint is cleared.
    fn machine(&mut self, number: usize) -> &mut Machine<L> {
        let machine = Rc::make_mut(&mut self.machines[number]);
        machine.fingerprint = OnceCell::new();
        machine
    }

    /// Whether a matching message is in flight.
    pub fn has_in_flight(&self, matches: impl Fn(&Message) -> bool) -> bool {
        self.links.values().flatten().any(|in_flight| matches(&in_flight.message))
    }

    /// Machines with unanswered requests.
    pub fn machines_with_unanswered_requests(&self) -> BTreeSet<usize> {
        self.observer.unanswered().into_iter().map(|ticket| self.submitted_to[ticket]).collect()
    }

    /// Whether the oldest message of the link matches.
    pub fn oldest_matches(&self, link: Link, matches: impl Fn(&Message) -> bool) -> bool {
        let oldest = self.links.get(&link).and_then(VecDeque::front);
        oldest.is_some_and(|in_flight| matches(&in_flight.message))
    }

    /// The links in the order in which their messages were sent. The next ordinary action depends on it.
    pub fn order_of_links(&self) -> Vec<Link> {
        let in_flight = self
            .links
            .iter()
            .flat_map(|(link, in_flight)| in_flight.iter().map(|in_flight| (in_flight.order, *link)));
        let in_order: BTreeMap<u64, Link> = in_flight.collect();
        in_order.into_values().collect()
    }

    /// A hash that identifies the state.
    pub fn fingerprint(&self) -> u64 {
        let machines: Vec<u64> = self.machines.iter().map(|machine| machine.fingerprint()).collect();
        let digests = |(link, in_flight): (&Link, &VecDeque<InFlightMessage>)| {
            let digests: Vec<u64> = in_flight.iter().map(|in_flight| in_flight.digest).collect();
            (!digests.is_empty()).then_some((*link, digests))
        };
        let links: Vec<(Link, Vec<u64>)> = self.links.iter().filter_map(digests).collect();
        let delayed: Vec<(u64, Link, u64)> =
            self.delayed.iter().map(|(at, link, in_flight)| (*at, *link, in_flight.digest)).collect();
        let faults = (&self.cuts, &self.down_until, &self.submitted, self.budget, self.passed);
        hash_of((machines, links, delayed, faults, self.observer.fingerprint()))
    }
}
