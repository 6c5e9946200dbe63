//! What decides at a balancer: the module, or one of the plain policies that it is compared with.

use whinspindle::balancer::Balancer;
use whinspindle::host::{Arrival, BalancerSettings, Endpoint, ExecutionEnd, Host, LoadReport, RoutePolicy};
use whinspindle_lab_model::random::RandomGenerator;

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
    /// Deliberately wrong, to prove that the invariant checker detects it: resends, keeps drained servers, overloads cold ones.
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
    Execute { query_index: usize, server: usize, time_out: u64 },
    Cancel { query_index: usize, exec: usize },
    Reject { query_index: usize, retry_after: u64 },
    Abort { query_index: usize },
    Wake { wait: u64, label: u32 },
    Probe { server: usize },
}

/// The host of the decisions: writes down what they wish.
#[derive(Default)]
pub struct Wishes(pub Vec<Wish>);

impl Host for Wishes {
    fn execute(&mut self, query_index: usize, server: usize, time_out: u64) {
        self.0.push(Wish::Execute { query_index, server, time_out });
    }
    fn cancel(&mut self, query_index: usize, exec: usize) {
        self.0.push(Wish::Cancel { query_index, exec });
    }
    fn reject(&mut self, query_index: usize, retry_after: u64) {
        self.0.push(Wish::Reject { query_index, retry_after });
    }
    fn abort(&mut self, query_index: usize) {
        self.0.push(Wish::Abort { query_index });
    }
    fn set_timer(&mut self, wait: u64, label: u32) {
        self.0.push(Wish::Wake { wait, label });
    }
    fn probe(&mut self, server: usize) {
        self.0.push(Wish::Probe { server });
    }
    fn watch_endpoints(&mut self) {}
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
    pub fn new(
        policy: Policy,
        terms: BalancerSettings,
        seed: u64,
        random: RandomGenerator,
        now: u64,
    ) -> Self {
        match policy {
            Policy::Module => Decider::Module(Box::new(Balancer::new(Wishes::default(), terms, seed, now))),
            plain => Decider::Plain(Box::new(Plain::new(plain, terms, random))),
        }
    }

    /// The plain policies know no routes.
    pub fn route(&mut self, rows: Option<Vec<RoutePolicy>>) {
        if let (Decider::Module(balancer), Some(rows)) = (self, rows) {
            balancer.set_routes(vec![rows]);
        }
    }

    pub fn wishes(&mut self) -> &mut Vec<Wish> {
        match self {
            Decider::Module(balancer) => &mut balancer.host.0,
            Decider::Plain(plain) => &mut plain.wishes,
        }
    }

    pub fn list(&mut self, now: u64, whole: bool, entries: &[Endpoint]) {
        match self {
            Decider::Module(balancer) if whole => balancer.endpoints_replaced(now, entries),
            Decider::Module(balancer) => balancer.endpoints_changed(now, entries),
            Decider::Plain(plain) => plain.list(whole, entries),
        }
    }

    pub fn query(&mut self, now: u64, query_index: usize, arrival: Arrival, sight: &dyn Sight) {
        match self {
            Decider::Module(balancer) => balancer.query_arrived(now, query_index, arrival),
            Decider::Plain(plain) => plain.query(now, query_index, arrival, sight),
        }
    }

    pub fn completed(
        &mut self,
        now: u64,
        query_index: usize,
        exec: usize,
        ending: ExecutionEnd,
        sight: &dyn Sight,
    ) {
        match self {
            Decider::Module(balancer) => balancer.execution_ended(now, query_index, exec, ending),
            Decider::Plain(plain) => plain.completed(now, query_index, exec, ending, sight),
        }
    }

    pub fn withdrawn(&mut self, now: u64, query_index: usize) {
        match self {
            Decider::Module(balancer) => balancer.query_withdrawn(now, query_index),
            Decider::Plain(plain) => plain.withdrawn(query_index),
        }
    }

    /// The plain policies answer what they hold until its own time is over.
    pub fn stopping(&mut self, now: u64, until: u64) {
        if let Decider::Module(balancer) = self {
            balancer.begin_shutdown(now, until);
        }
    }

    pub fn probed(&mut self, now: u64, server: usize, answered: bool, report: LoadReport) {
        if let Decider::Module(balancer) = self {
            balancer.probe_ended(now, server, answered, report);
        }
    }

    pub fn timer(&mut self, now: u64, label: u32) {
        if let Decider::Module(balancer) = self {
            balancer.timer_fired(now, label);
        }
    }
}
