//! What decides at a balancer: the module, or one of the plain policies that it is compared with.

use whinspindle::decide::Balancer;
use whinspindle::host::{Arrival, Conditions, Ending, Entry, Host, LoadReport, Terms};
use whinspindle_lab_model::dice::Dice;

use crate::plain::Plain;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    Module,
    Random,
    RoundRobin,
    LeastRequests,
    TwoChoices,
    /// Sees what every server truly holds and can do; the first tier rejects once all are full.
    TrueState,
    /// Deliberately wrong, to prove that the referee looks: resends, keeps drained servers, floods cold ones.
    Reckless,
}

impl Policy {
    pub const ALL: [(&'static str, Policy); 7] = [
        ("module", Policy::Module),
        ("random", Policy::Random),
        ("round-robin", Policy::RoundRobin),
        ("least-requests", Policy::LeastRequests),
        ("two-choices", Policy::TwoChoices),
        ("true-state", Policy::TrueState),
        ("reckless", Policy::Reckless),
    ];

    pub fn name(self) -> &'static str {
        Policy::ALL.iter().find(|(_, policy)| *policy == self).map_or("", |(name, _)| name)
    }
}

/// One thing that was decided. Virtual time carries it out after the call that decided it.
#[derive(Clone, Copy, Debug)]
pub enum Wish {
    Execute { qry: usize, server: usize, time_out: u64 },
    Cancel { qry: usize, exec: usize },
    Reject { qry: usize, retry_after: u64 },
    Abort { qry: usize },
    Wake { wait: u64, label: u32 },
    Probe { server: usize },
}

/// The host of the decisions: writes down what they wish.
#[derive(Default)]
pub struct Wishes(pub Vec<Wish>);

impl Host for Wishes {
    fn execute(&mut self, qry: usize, server: usize, time_out: u64) {
        self.0.push(Wish::Execute { qry, server, time_out });
    }
    fn cancel(&mut self, qry: usize, exec: usize) {
        self.0.push(Wish::Cancel { qry, exec });
    }
    fn reject(&mut self, qry: usize, retry_after: u64) {
        self.0.push(Wish::Reject { qry, retry_after });
    }
    fn abort(&mut self, qry: usize) {
        self.0.push(Wish::Abort { qry });
    }
    fn wake(&mut self, wait: u64, label: u32) {
        self.0.push(Wish::Wake { wait, label });
    }
    fn probe(&mut self, server: usize) {
        self.0.push(Wish::Probe { server });
    }
    fn follow_list(&mut self) {}
}

/// What is true of the servers, for the policy that sees it.
pub trait Sight {
    /// Queries held over the work a second that it can do; none where it can do nothing more.
    fn burden(&self, server: usize) -> Option<f64>;
}

pub enum Decider {
    Module(Box<Balancer<Wishes>>),
    Plain(Box<Plain>),
}

impl Decider {
    pub fn new(policy: Policy, terms: Terms, seed: u64, dice: Dice, now: u64) -> Self {
        match policy {
            Policy::Module => Decider::Module(Box::new(Balancer::new(Wishes::default(), terms, seed, now))),
            plain => Decider::Plain(Box::new(Plain::new(plain, terms, dice))),
        }
    }

    /// The plain policies know no routes.
    pub fn route(&mut self, rows: Option<Vec<Conditions>>) {
        if let (Decider::Module(balancer), Some(rows)) = (self, rows) {
            balancer.routes(vec![rows]);
        }
    }

    pub fn wishes(&mut self) -> &mut Vec<Wish> {
        match self {
            Decider::Module(balancer) => &mut balancer.host.0,
            Decider::Plain(plain) => &mut plain.wishes,
        }
    }

    pub fn list(&mut self, now: u64, whole: bool, entries: &[Entry]) {
        match self {
            Decider::Module(balancer) if whole => balancer.list_whole(now, entries),
            Decider::Module(balancer) => balancer.list_changed(now, entries),
            Decider::Plain(plain) => plain.list(whole, entries),
        }
    }

    pub fn query(&mut self, now: u64, qry: usize, arrival: Arrival, sight: &dyn Sight) {
        match self {
            Decider::Module(balancer) => balancer.query(now, qry, arrival),
            Decider::Plain(plain) => plain.query(now, qry, arrival, sight),
        }
    }

    pub fn completed(&mut self, now: u64, qry: usize, exec: usize, ending: Ending, sight: &dyn Sight) {
        match self {
            Decider::Module(balancer) => balancer.completed(now, qry, exec, ending),
            Decider::Plain(plain) => plain.completed(now, qry, exec, ending, sight),
        }
    }

    pub fn withdrawn(&mut self, now: u64, qry: usize) {
        match self {
            Decider::Module(balancer) => balancer.withdrawn(now, qry),
            Decider::Plain(plain) => plain.withdrawn(qry),
        }
    }

    /// The plain policies answer what they hold until its own time is over.
    pub fn stopping(&mut self, now: u64, until: u64) {
        if let Decider::Module(balancer) = self {
            balancer.stopping(now, until);
        }
    }

    pub fn probed(&mut self, now: u64, server: usize, answered: bool, report: LoadReport) {
        if let Decider::Module(balancer) = self {
            balancer.probed(now, server, answered, report);
        }
    }

    pub fn timer(&mut self, now: u64, label: u32) {
        if let Decider::Module(balancer) = self {
            balancer.timer(now, label);
        }
    }
}
