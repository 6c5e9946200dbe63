//! What may happen next in a world.

use std::collections::VecDeque;

use whinspindle_replica::ProtocolRules;

use super::{InFlightMessage, Link, Model, Order};

/// Something that happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// The oldest message of the link arrives.
    Deliver(Link),
    Lose(Link),
    /// It arrives, and will do so again.
    Duplicate(Link),
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

/// What may still happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    pub losses: u8,
    pub duplicates: u8,
    pub crashes: u8,
    pub cuts: u8,
    pub lost_disks: u8,
    pub replacements: u8,
    pub passes: u8,
}

impl<L: ProtocolRules> Model<L> {
    /// What may happen now.
    pub fn actions(&self) -> Vec<Action> {
        let mut actions = self.actions_on_messages();
        for number in 0..self.machines.len() {
            actions.extend(self.actions_on_machine(number));
        }
        let orders = self.unasked();
        actions.extend(orders.map(|(order, Order { machine, .. })| Action::Ask { machine: *machine, order }));
        if !self.cuts.is_empty() {
            actions.push(Action::Heal);
        }
        if self.budget.passes > 0 {
            actions.push(Action::Pass);
        }
        actions
    }

    fn actions_on_messages(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        let carrying = self.links.iter().filter(|(_, in_flight)| !in_flight.is_empty());
        for (link, _) in carrying {
            actions.push(Action::Deliver(*link));
            if self.budget.losses > 0 {
                actions.push(Action::Lose(*link));
            }
            if self.budget.duplicates > 0 {
                actions.push(Action::Duplicate(*link));
            }
        }
        actions
    }

    fn actions_on_machine(&self, number: usize) -> Vec<Action> {
        let machine = &self.machines[number];
        let is_writing = machine.writing.is_some();
        let mut actions = Vec::new();
        if is_writing {
            actions.push(Action::Written(number));
        }
        if machine.replica.is_some() {
            actions.extend(self.faults_of(number, is_writing));
        } else if !machine.is_gone {
            actions.push(Action::Start(number));
        }
        actions
    }

    /// What may happen to a running machine beside its work.
    fn faults_of(&self, number: usize, is_writing: bool) -> Vec<Action> {
        let budget = self.budget;
        let mut actions = Vec::new();
        if budget.crashes > 0 {
            actions.push(Action::Crash { machine: number, writes: false });
            if is_writing {
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
        let first =
            |(link, in_flight): (&Link, &VecDeque<InFlightMessage>)| Some((in_flight.front()?.order, *link));
        self.links.iter().filter_map(first).min().map(|(_, link)| link)
    }

    /// What may go wrong in the place of the ordinary action.
    pub fn departures(&self, ordinary: Action) -> Vec<Action> {
        let mut departures = match ordinary {
            Action::Deliver(link) => {
                let (sender, receiver) = link;
                vec![
                    Action::Lose(link),
                    Action::Duplicate(link),
                    Action::Delay(link),
                    Action::Restart { machine: receiver, writes: false },
                    Action::Crash { machine: sender, writes: false },
                    Action::Crash { machine: receiver, writes: false },
                    Action::LoseDisk(receiver),
                    Action::Cut(link),
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
            Action::Duplicate(_) => budget.duplicates > 0,
            _ => true,
        }
    }
}
