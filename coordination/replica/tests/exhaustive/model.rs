//! Replicas, their disks and the messages between them, one event after the other.

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
use crate::common::history::Asked;
use crate::common::node::{Registers, endpoint};
use crate::observer::{Observer, hash_of};

/// How many machines there are at first, and how many of them may be lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Core {
    /// Founding members, all of them voters and in the chain.
    pub members: usize,
    pub losses: usize,
}

pub const THREE: Core = Core { members: 3, losses: 1 };
pub const TWO: Core = Core { members: 2, losses: 1 };
pub const FOUR: Core = Core { members: 4, losses: 2 };

/// How far the clock goes in one step, in milliseconds. It is coarse so that searches get to view changes.
const CLOCK_STEP: u64 = 300;
/// How many steps of the clock a crash, a cut or a delay lasts in a schedule with departures.
const SPAN: u64 = 5;
const LATE: u64 = 2;

/// Spans that suit the coarse clock.
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

/// A direction of a link, by the numbers of the machines.
pub type Link = (usize, usize);

/// A message on its way.
#[derive(Clone, Debug)]
struct InFlightMessage {
    order: u64,
    digest: u64,
    message: Rc<Message>,
}

/// What a caller asks.
#[derive(Clone, Debug)]
pub struct Order {
    /// Where nothing goes wrong, it is asked for after so many steps of the clock.
    pub after: u64,
    pub machine: usize,
    pub asked: Asked,
}

/// Machines in the middle of a schedule.
#[derive(Clone)]
pub struct Model<L> {
    core: Core,
    pub steps: u64,
    pub passed: u64,
    pub machines: Vec<Rc<Machine<L>>>,
    links: BTreeMap<Link, VecDeque<InFlightMessage>>,
    /// Messages that arrive later, and when.
    late: Vec<(u64, Link, InFlightMessage)>,
    /// Links that are cut, and until when.
    cuts: BTreeMap<Link, u64>,
    down_until: BTreeMap<usize, u64>,
    asked: BTreeSet<usize>,
    /// The machine that was asked, by ticket.
    asked_at: Vec<usize>,
    orders: Rc<Vec<Order>>,
    pub observer: Observer,
    pub budget: Budget,
    posted: u64,
}

impl<L: ProtocolRules> Model<L> {
    /// Founding members with empty disks.
    pub fn new(core: Core, orders: Vec<Order>, budget: Budget) -> Model<L> {
        let mut model = Model {
            core,
            steps: 0,
            passed: 0,
            machines: (0..core.members).map(|_| Rc::new(Machine::empty())).collect(),
            links: BTreeMap::new(),
            late: Vec::new(),
            cuts: BTreeMap::new(),
            down_until: BTreeMap::new(),
            asked: BTreeSet::new(),
            asked_at: Vec::new(),
            orders: Rc::new(orders),
            observer: Observer::default(),
            budget,
            posted: 0,
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
        1_000 + self.passed * CLOCK_STEP
    }

    pub fn is_running(&self, machine: usize) -> bool {
        self.machines[machine].replica.is_some()
    }

    /// Carries out an action; says what is broken by it.
    pub fn act(&mut self, action: Action) -> Result<(), String> {
        self.steps += 1;
        self.pay_for(action);
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
                self.late.extend(in_flight.map(|in_flight| (self.passed + LATE, link, in_flight)));
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
            Action::Ask { machine, order } => self.ask(machine, order)?,
            Action::Pass => self.pass()?,
        }
        Ok(())
    }

    /// Takes from the budget what an action costs.
    fn pay_for(&mut self, action: Action) {
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
            | Action::Ask { .. } => {}
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

    /// What is on its way into a cut is lost, also what is sent later.
    fn cut(&mut self, link: Link) {
        self.cuts.insert(link, self.passed + SPAN);
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
        let under_way = machine.writing.take();
        if let Some((_, write)) = under_way.filter(|_| writes) {
            machine.write(write);
        }
        self.down_until.insert(number, self.passed + SPAN);
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
        self.carry_out(number, outputs)
    }

    fn replace(&mut self, number: usize) -> Result<(), String> {
        self.stop(number, false);
        self.down_until.remove(&number);
        self.machine(number).is_gone = true;
        self.add()
    }

    fn ask(&mut self, machine: usize, order: usize) -> Result<(), String> {
        self.asked.insert(order);
        let asked = self.orders[order].asked.clone();
        let command = asked.command(crate::observer::REGISTER).into_bytes();
        let ticket = self.observer.ask(self.steps, asked);
        self.asked_at.push(machine);
        self.handle(machine, Input::Submit { ticket, command })
    }

    fn pass(&mut self) -> Result<(), String> {
        self.passed += 1;
        let (due, late) = std::mem::take(&mut self.late).into_iter().partition(|(at, ..)| *at <= self.passed);
        self.late = late;
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

    /// In a schedule with departures: what was down or cut for long is well again.
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
        self.carry_out(number, outputs)
    }

    fn carry_out(&mut self, number: usize, outputs: Vec<Output>) -> Result<(), String> {
        let mut heartbeats = Vec::new();
        for output in outputs {
            match output {
                Output::Send { to, message: message @ Message::Heartbeat(_) } => {
                    heartbeats.push((to, message))
                }
                Output::Send { to, message } => self.post(number, to, message),
                Output::Persist { token, write } => {
                    self.machine(number).writing = Some((token, write));
                }
                Output::Reply { ticket, result: Ok(reply) } => {
                    self.observer.answered(self.steps, ticket, &reply)?;
                }
                Output::Reply { .. } | Output::RecordsReplaced => {}
                Output::Committed { sequence, writes } => self.observer.committed(sequence, writes)?,
            }
        }
        if let Some(replica) = &self.machines[number].replica {
            self.observer.stands_at(replica.committed_sequence(), replica.committed_records())?;
            self.observer.adopted(replica.view())?;
        }
        for (to, message) in heartbeats {
            self.tell(number, to, message)?;
        }
        Ok(())
    }

    fn number(&self, at: std::net::SocketAddr) -> Option<usize> {
        (0..self.machines.len()).find(|number| endpoint(*number) == at)
    }

    fn post(&mut self, from: usize, to: std::net::SocketAddr, message: Message) {
        let Some(to) = self.number(to) else { return };
        if self.cuts.contains_key(&(from, to)) {
            return;
        }
        self.posted += 1;
        let in_flight = InFlightMessage {
            order: self.posted,
            digest: hash_of(message.encode()),
            message: Rc::new(message),
        };
        self.links.entry((from, to)).or_default().push_back(in_flight);
    }

    /// Heartbeats arrive at once.
    fn tell(&mut self, from: usize, to: std::net::SocketAddr, message: Message) -> Result<(), String> {
        let Some(to) = self.number(to).filter(|to| !self.cuts.contains_key(&(from, *to))) else {
            return Ok(());
        };
        self.handle(to, Input::Message { from: endpoint(from), message })
    }

    /// The machine, to be changed.
    fn machine(&mut self, number: usize) -> &mut Machine<L> {
        let machine = Rc::make_mut(&mut self.machines[number]);
        machine.fingerprint = OnceCell::new();
        machine
    }

    /// Whether such a message is on its way.
    pub fn carries(&self, is_meant: impl Fn(&Message) -> bool) -> bool {
        self.links.values().flatten().any(|in_flight| is_meant(&in_flight.message))
    }

    /// Machines of which a caller waits for an answer.
    pub fn awaited(&self) -> BTreeSet<usize> {
        self.observer.unanswered().into_iter().map(|ticket| self.asked_at[ticket]).collect()
    }

    /// Whether the oldest message of the link is such a message.
    pub fn brings(&self, link: Link, is_meant: impl Fn(&Message) -> bool) -> bool {
        let oldest = self.links.get(&link).and_then(VecDeque::front);
        oldest.is_some_and(|in_flight| is_meant(&in_flight.message))
    }

    /// The links in the order in which their messages were sent, which the ordinary action depends on.
    pub fn order_of_links(&self) -> Vec<Link> {
        let in_flight = self
            .links
            .iter()
            .flat_map(|(link, in_flight)| in_flight.iter().map(|in_flight| (in_flight.order, *link)));
        let in_order: BTreeMap<u64, Link> = in_flight.collect();
        in_order.into_values().collect()
    }

    /// A number by which two states are told apart.
    pub fn fingerprint(&self) -> u64 {
        let machines: Vec<u64> = self.machines.iter().map(|machine| machine.fingerprint()).collect();
        let digests = |(link, in_flight): (&Link, &VecDeque<InFlightMessage>)| {
            let digests: Vec<u64> = in_flight.iter().map(|in_flight| in_flight.digest).collect();
            (!digests.is_empty()).then_some((*link, digests))
        };
        let links: Vec<(Link, Vec<u64>)> = self.links.iter().filter_map(digests).collect();
        let late: Vec<(u64, Link, u64)> =
            self.late.iter().map(|(at, link, in_flight)| (*at, *link, in_flight.digest)).collect();
        let faults = (&self.cuts, &self.down_until, &self.asked, self.budget, self.passed);
        hash_of((machines, links, late, faults, self.observer.fingerprint()))
    }
}
