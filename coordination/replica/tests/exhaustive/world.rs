//! Replicas, their disks and the messages between them, one event after the other.

use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

use whinspindle_replica::{
    DurableWrite, Input, Laws, Message, Output, Replica, ReplicaSettings, Timing, Tolerance,
};

use crate::common::history::Asked;
use crate::common::node::{Registers, endpoint};
use crate::observer::{Observer, hash_of};

/// Founding members, all of them voters and in the chain.
pub const FOUNDING: usize = 3;
/// How far the clock goes in one step, in milliseconds. It is coarse so that searches get to view changes.
const CLOCK_STEP: u64 = 300;
/// How many steps of the clock a crash, a cut or a delay lasts in a schedule with departures.
const SPAN: u64 = 5;
const LATE: u64 = 2;

/// Spans that suit the coarse clock.
const TIMING: Timing = Timing {
    heartbeat: 1,
    suspicion: 400,
    contact: 1_000,
    disk_stall: 700,
    chain_stall: 700,
    replacement: 1_000,
    round: 700,
    submit: 1_000_000,
    resend: 200,
};

/// One machine and the process on it.
#[derive(Clone, Debug)]
pub struct Machine<L> {
    pub replica: Option<Replica<Registers, L>>,
    disk: (Option<Vec<u8>>, Vec<Vec<u8>>),
    /// The write under way.
    writing: Option<(u64, DurableWrite)>,
    starts: u64,
    is_gone: bool,
    /// Made when it is asked for.
    fingerprint: OnceCell<u64>,
}

impl<L: Laws> Machine<L> {
    fn empty() -> Machine<L> {
        let (replica, disk, writing) = (None, (None, Vec::new()), None);
        Machine { replica, disk, writing, starts: 0, is_gone: false, fingerprint: OnceCell::new() }
    }

    fn fingerprint(&self) -> u64 {
        let Machine { replica, disk, writing, starts, is_gone, fingerprint } = self;
        let under_way = writing.as_ref().map(|(token, write)| match write {
            DurableWrite::Append(records) => (*token, false, hash_of(records)),
            DurableWrite::Checkpoint(state) => (*token, true, hash_of(state)),
        });
        // Of the replica, only its text tells all.
        let state = || hash_of((format!("{replica:?}"), disk, under_way, starts, is_gone));
        *fingerprint.get_or_init(state)
    }

    fn write(&mut self, write: DurableWrite) {
        match write {
            DurableWrite::Append(records) => self.disk.1.extend(records),
            DurableWrite::Checkpoint(state) => self.disk = (Some(state), Vec::new()),
        }
    }
}

/// A direction of a link, by the numbers of the machines.
pub type Link = (usize, usize);

/// A message on its way.
#[derive(Clone, Debug)]
struct Mail {
    order: u64,
    digest: u64,
    message: Rc<Message>,
}

/// Something that happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// The oldest message of the link arrives.
    Deliver(Link),
    Lose(Link),
    /// It arrives, and will do so again.
    Repeat(Link),
    /// It will arrive after a while, later ones before it.
    Delay(Link),
    /// The write under way is done.
    Written(usize),
    /// The process ends; the write under way may be done.
    Crash {
        machine: usize,
        writes: bool,
    },
    /// The process ends, and another one starts at once.
    Restart {
        machine: usize,
        writes: bool,
    },
    /// The process ends and the disk is lost.
    LoseDisk(usize),
    Start(usize),
    /// The machine is gone for good; another one comes.
    Replace(usize),
    Cut(Link),
    Isolate(usize),
    Heal,
    /// A caller asks the replica on this machine.
    Ask {
        machine: usize,
        order: usize,
    },
    /// Time passes; whoever is connected hears the other's heartbeat.
    Pass,
}

/// What a caller asks.
#[derive(Clone, Debug)]
pub struct Order {
    /// Where nothing goes wrong, it is asked for after so many steps of the clock.
    pub after: u64,
    pub machine: usize,
    pub asked: Asked,
}

/// What may still happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    pub losses: u8,
    pub repeats: u8,
    pub crashes: u8,
    pub cuts: u8,
    pub lost_disks: u8,
    pub replacements: u8,
    pub passes: u8,
}

/// Machines in the middle of a schedule.
#[derive(Clone)]
pub struct World<L> {
    pub steps: u64,
    pub passed: u64,
    pub machines: Vec<Rc<Machine<L>>>,
    links: BTreeMap<Link, VecDeque<Mail>>,
    /// Messages that arrive later, and when.
    late: Vec<(u64, Link, Mail)>,
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

impl<L: Laws> World<L> {
    /// Founding members with empty disks.
    pub fn new(orders: Vec<Order>, budget: Budget) -> World<L> {
        let mut world = World {
            steps: 0,
            passed: 0,
            machines: (0..FOUNDING).map(|_| Rc::new(Machine::empty())).collect(),
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
        for machine in 0..FOUNDING {
            world.start(machine).expect("a start breaks nothing");
        }
        world
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

    /// What may happen now.
    pub fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        let budget = self.budget;
        for (link, mails) in &self.links {
            if mails.is_empty() {
                continue;
            }
            actions.push(Action::Deliver(*link));
            if budget.losses > 0 {
                actions.push(Action::Lose(*link));
            }
            if budget.repeats > 0 {
                actions.push(Action::Repeat(*link));
            }
        }
        for (number, machine) in self.machines.iter().enumerate() {
            if machine.writing.is_some() {
                actions.push(Action::Written(number));
            }
            if machine.replica.is_none() && !machine.is_gone {
                actions.push(Action::Start(number));
            }
            if machine.replica.is_none() {
                continue;
            }
            if budget.crashes > 0 {
                actions.push(Action::Crash { machine: number, writes: false });
                if machine.writing.is_some() {
                    actions.push(Action::Crash { machine: number, writes: true });
                }
            }
            if budget.lost_disks > 0 {
                actions.push(Action::LoseDisk(number));
            }
            if budget.replacements > 0 {
                actions.push(Action::Replace(number));
            }
            if budget.cuts > 0 {
                actions.push(Action::Isolate(number));
                let others = (0..self.machines.len()).filter(|other| *other != number);
                actions.extend(others.map(|other| Action::Cut((number, other))));
            }
        }
        actions.extend(
            self.unasked().map(|(order, Order { machine, .. })| Action::Ask { machine: *machine, order }),
        );
        if !self.cuts.is_empty() {
            actions.push(Action::Heal);
        }
        if budget.passes > 0 {
            actions.push(Action::Pass);
        }
        actions
    }

    /// Orders that may be asked for now.
    fn unasked(&self) -> impl Iterator<Item = (usize, &Order)> {
        let orders = self.orders.iter().enumerate();
        orders.filter(|(order, what)| !self.asked.contains(order) && self.is_running(what.machine))
    }

    /// What happens where nothing goes wrong: the disks are quick, messages arrive in the order in which they were
    /// sent, and time passes once there is nothing else to do.
    pub fn ordinary(&self) -> Action {
        if let Some(number) = self.machines.iter().position(|machine| machine.writing.is_some()) {
            return Action::Written(number);
        }
        if let Some(link) = self.oldest() {
            return Action::Deliver(link);
        }
        let due = self.unasked().find(|(_, order)| order.after <= self.passed);
        due.map_or(Action::Pass, |(order, Order { machine, .. })| Action::Ask { machine: *machine, order })
    }

    fn oldest(&self) -> Option<Link> {
        let first = |(link, mails): (&Link, &VecDeque<Mail>)| Some((mails.front()?.order, *link));
        self.links.iter().filter_map(first).min().map(|(_, link)| link)
    }

    /// What may go wrong in the place of the ordinary action.
    pub fn departures(&self, ordinary: Action) -> Vec<Action> {
        let mut departures = match ordinary {
            Action::Deliver(link) => {
                let crash = |machine| Action::Crash { machine, writes: false };
                let (lose, repeat, delay) = (Action::Lose(link), Action::Repeat(link), Action::Delay(link));
                let (sender, receiver) = link;
                let restart = Action::Restart { machine: receiver, writes: false };
                let (lost, cut) = (Action::LoseDisk(receiver), Action::Cut(link));
                vec![
                    lose,
                    repeat,
                    delay,
                    restart,
                    crash(sender),
                    crash(receiver),
                    lost,
                    cut,
                    Action::Isolate(receiver),
                ]
            }
            Action::Written(machine) => {
                let crash = |writes| Action::Crash { machine, writes };
                let restart = |writes| Action::Restart { machine, writes };
                vec![restart(false), restart(true), crash(false), crash(true), Action::LoseDisk(machine)]
            }
            Action::Pass => (0..self.machines.len()).map(Action::Replace).collect(),
            _ => Vec::new(),
        };
        departures.retain(|departure| self.is_allowed(*departure));
        departures
    }

    fn is_allowed(&self, action: Action) -> bool {
        let budget = self.budget;
        match action {
            Action::Crash { machine, .. } | Action::Restart { machine, .. } => {
                budget.crashes > 0 && self.is_running(machine)
            }
            Action::LoseDisk(machine) => budget.lost_disks > 0 && self.is_running(machine),
            Action::Replace(machine) => budget.replacements > 0 && self.is_running(machine),
            Action::Cut(_) | Action::Isolate(_) => budget.cuts > 0,
            Action::Lose(_) | Action::Delay(_) => budget.losses > 0,
            Action::Repeat(_) => budget.repeats > 0,
            _ => true,
        }
    }

    /// Carries out an action; says what is broken by it.
    pub fn act(&mut self, action: Action) -> Result<(), String> {
        self.steps += 1;
        match action {
            Action::Deliver(link) => {
                let mail = self.take(link);
                self.deliver(link, mail)
            }
            Action::Lose(link) => {
                self.budget.losses -= 1;
                self.take(link);
                Ok(())
            }
            Action::Repeat(link) => {
                self.budget.repeats -= 1;
                let mail = self.take(link);
                self.links.entry(link).or_default().extend(mail.clone());
                self.deliver(link, mail)
            }
            Action::Delay(link) => {
                self.budget.losses -= 1;
                let mail = self.take(link);
                self.late.extend(mail.map(|mail| (self.passed + LATE, link, mail)));
                Ok(())
            }
            Action::Written(machine) => self.written(machine),
            Action::Crash { machine, writes } => {
                self.budget.crashes -= 1;
                self.stop(machine, writes);
                Ok(())
            }
            Action::Restart { machine, writes } => {
                self.budget.crashes -= 1;
                self.stop(machine, writes);
                self.start(machine)
            }
            Action::LoseDisk(machine) => {
                self.budget.lost_disks -= 1;
                self.stop(machine, false);
                self.machine(machine).disk = (None, Vec::new());
                Ok(())
            }
            Action::Start(machine) => self.start(machine),
            Action::Replace(machine) => self.replace(machine),
            Action::Cut(link) => {
                self.budget.cuts -= 1;
                self.cut(link);
                Ok(())
            }
            Action::Isolate(machine) => {
                self.budget.cuts -= 1;
                for other in (0..self.machines.len()).filter(|other| *other != machine) {
                    self.cut((machine, other));
                    self.cut((other, machine));
                }
                Ok(())
            }
            Action::Heal => {
                self.cuts.clear();
                Ok(())
            }
            Action::Ask { machine, order } => self.ask(machine, order),
            Action::Pass => self.pass(),
        }
    }

    fn take(&mut self, link: Link) -> Option<Mail> {
        self.links.get_mut(&link)?.pop_front()
    }

    fn deliver(&mut self, link: Link, mail: Option<Mail>) -> Result<(), String> {
        let Some(mail) = mail else { return Ok(()) };
        let (from, to) = link;
        let message = (*mail.message).clone();
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
        self.down_until.remove(&number);
        let machine = self.machine(number);
        machine.starts += 1;
        let drawn = 1_000 * (number as u64 + 1) + machine.starts;
        let settings = ReplicaSettings {
            endpoint: endpoint(number),
            zone: format!("zone-{number}"),
            region: String::new(),
            seeds: (0..FOUNDING).map(endpoint).collect(),
            bootstrap: number < FOUNDING && machine.starts == 1,
            birth: drawn,
            start: drawn,
            tolerance: Tolerance::of_machines(1),
            timing: TIMING,
        };
        let (replica, outputs) = Replica::with_laws(settings, Registers, machine.disk.clone(), now)
            .map_err(|error| error.to_string())?;
        machine.replica = Some(replica);
        self.carry_out(number, outputs)
    }

    fn replace(&mut self, number: usize) -> Result<(), String> {
        self.budget.replacements -= 1;
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
        self.budget.passes = self.budget.passes.saturating_sub(1);
        self.passed += 1;
        let (due, late) = std::mem::take(&mut self.late).into_iter().partition(|(at, ..)| *at <= self.passed);
        self.late = late;
        let due: Vec<(u64, Link, Mail)> = due;
        for (_, link, mail) in due {
            self.links.entry(link).or_default().push_front(mail);
        }
        for machine in 0..self.machines.len() {
            if self.is_running(machine) {
                self.handle(machine, Input::Tick)?;
            }
        }
        Ok(())
    }

    /// In a schedule with departures: what was down or cut for long is well again.
    pub fn mend(&mut self) -> Result<(), String> {
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
                Output::Reply { .. } | Output::Replaced => {}
                Output::Committed { sequence, writes } => self.observer.committed(sequence, writes)?,
            }
        }
        if let Some(replica) = &self.machines[number].replica {
            self.observer.stands_at(replica.committed_sequence(), replica.committed())?;
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
        let mail = Mail { order: self.posted, digest: hash_of(message.encode()), message: Rc::new(message) };
        self.links.entry((from, to)).or_default().push_back(mail);
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
        self.links.values().flatten().any(|mail| is_meant(&mail.message))
    }

    /// Machines of which a caller waits for an answer.
    pub fn awaited(&self) -> BTreeSet<usize> {
        self.observer.unanswered().into_iter().map(|ticket| self.asked_at[ticket]).collect()
    }

    /// Whether the oldest message of the link is such a message.
    pub fn brings(&self, link: Link, is_meant: impl Fn(&Message) -> bool) -> bool {
        let oldest = self.links.get(&link).and_then(VecDeque::front);
        oldest.is_some_and(|mail| is_meant(&mail.message))
    }

    /// The links in the order in which their messages were sent, which the ordinary action depends on.
    pub fn order_of_links(&self) -> Vec<Link> {
        let mails = self.links.iter().flat_map(|(link, mails)| mails.iter().map(|mail| (mail.order, *link)));
        let in_order: BTreeMap<u64, Link> = mails.collect();
        in_order.into_values().collect()
    }

    /// A number by which two states are told apart.
    pub fn fingerprint(&self) -> u64 {
        let machines: Vec<u64> = self.machines.iter().map(|machine| machine.fingerprint()).collect();
        let digests = |(link, mails): (&Link, &VecDeque<Mail>)| {
            let digests: Vec<u64> = mails.iter().map(|mail| mail.digest).collect();
            (!digests.is_empty()).then_some((*link, digests))
        };
        let links: Vec<(Link, Vec<u64>)> = self.links.iter().filter_map(digests).collect();
        let late: Vec<(u64, Link, u64)> =
            self.late.iter().map(|(at, link, mail)| (*at, *link, mail.digest)).collect();
        let faults = (&self.cuts, &self.down_until, &self.asked, self.budget, self.passed);
        hash_of((machines, links, late, faults, self.observer.fingerprint()))
    }
}
