//! The actions that are possible in a state of the model.

use std::collections::VecDeque;

use whinspindle_replica::ProtocolRules;

use super::{InFlightMessage, Link, Model, ScheduledRequest};

/// A step of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// The oldest message of the link arrives.
    Deliver(Link),
    /// The oldest message of the link is lost.
    Lose(Link),
    /// The oldest message of the link arrives, and a copy of it arrives again.
    Duplicate(Link),
    /// The oldest message of the link is delayed, and newer messages overtake it.
    Delay(Link),
    /// The current write completes.
    Written(usize),
    /// The process stops. The current write completes if `writes` is set.
    Crash {
        machine: usize,
        writes: bool,
    },
    /// The process stops, and another one starts at once.
    Restart {
        machine: usize,
        writes: bool,
    },
    /// The process stops, and the disk is lost.
    LoseDisk(usize),
    Start(usize),
    /// The machine is removed for good, and another one is added.
    Replace(usize),
    Cut(Link),
    Isolate(usize),
    Heal,
    /// A client submits a request to the replica on this machine.
    Submit {
        machine: usize,
        request: usize,
    },
    /// The clock advances by one step, and connected replicas exchange heartbeats.
    Pass,
}

/// The number of faults of each kind and of clock steps that may still happen.
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
    /// All actions that are possible now.
    pub fn actions(&self) -> Vec<Action> {
        let mut actions = self.actions_on_messages();
        for number in 0..self.machines.len() {
            actions.extend(self.actions_on_machine(number));
        }
        let requests = self.pending_requests();
        actions.extend(requests.map(|(request, ScheduledRequest { machine, .. })| Action::Submit {
            machine: *machine,
            request,
        }));
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

    /// The faults that are possible at a running machine.
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

    /// Requests that were not submitted yet and whose machine is running.
    fn pending_requests(&self) -> impl Iterator<Item = (usize, &ScheduledRequest)> {
        let requests = self.scheduled_requests.iter().enumerate();
        requests
            .filter(|(index, request)| !self.submitted.contains(index) && self.is_running(request.machine))
    }

    /// The next action without faults: disks write at once, messages arrive in the order in which they were
    /// sent, and the clock advances only when nothing else can happen.
    pub fn ordinary(&self) -> Action {
        if let Some(number) = self.machines.iter().position(|machine| machine.writing.is_some()) {
            return Action::Written(number);
        }
        if let Some(link) = self.link_of_oldest_message() {
            return Action::Deliver(link);
        }
        let due = self.pending_requests().find(|(_, request)| request.after <= self.passed);
        due.map_or(Action::Pass, |(request, ScheduledRequest { machine, .. })| Action::Submit {
            machine: *machine,
            request,
        })
    }

    fn link_of_oldest_message(&self) -> Option<Link> {
        let oldest_of_link =
            |(link, in_flight): (&Link, &VecDeque<InFlightMessage>)| Some((in_flight.front()?.order, *link));
        self.links.iter().filter_map(oldest_of_link).min().map(|(_, link)| link)
    }

    /// The faults that may happen instead of the ordinary action.
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
