//! One running balancer: the core, and what carries out the effects that it asks for.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::panic::AssertUnwindSafe;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use whinspindle::host::{Endpoint, EndpointState, LoadReport, Outcome};
use whinspindle_balancer_core::{BalancerCore, Effects, EndedExecution, Execution, ServerProcess};
use whinspindle_deployment_settings::Deployment;
use whinspindle_endpoint_cache::{StartupLimit, Trust};
use whinspindle_operator_file::Operator;
use whinspindle_protocol::answer::Answer;
use whinspindle_protocol::endpoints::EndpointUpdate;
use whinspindle_protocol::execution::{self, Reply};
use whinspindle_protocol::query::MAX_BODY_BYTES;
use whinspindle_rate_limited_log::log_line;
use whinspindle_rollout::{Count, Place as Listed, Seen};
use whinspindle_upstream_pool::{
    ConnectionPool, Failure, MemoryBudget, PoolSettings, Progress, ProgressHandle, Upstream,
};

use crate::accept::Accepted;
use crate::clock::Clock;
use crate::fleet::{By, Fleet};
use crate::placement::Placement;
use crate::shares::Shares;
use crate::stop::Stop;
use crate::timers::Timers;

/// How often what the fleet has agreed on is looked at between queries: well within any grace of a drain.
const FOLLOW: Duration = Duration::from_millis(50);

/// A connection rests for this part of the time that connecting may take before it carries the next query.
const REST_PART: u64 = 20;

pub struct Node {
    pub clock: Clock,
    pub deployment: Deployment,
    pub core: RefCell<BalancerCore<Wires>>,
    pub upstreams: ConnectionPool,
    pub timers: Rc<Timers>,
    pub stop: Stop,
    /// What the operator's file says, where there is one, or what the fleet has agreed on.
    pub operator: RefCell<Option<Arc<Operator>>>,
    pub fleet: Option<Fleet>,
    /// The terms of the fleet that were taken over last, and the servers let out, by their numbers.
    by: Cell<Option<u64>>,
    let_out: Cell<u64>,
    /// The list that is known from the start, until it is believed: discovery may know better.
    known: RefCell<Option<EndpointUpdate>>,
    first_list: Notify,
    /// Whether the list is discovery's word, or the platform's.
    pub discovered: Cell<bool>,
    /// Else how far the list is believed, and whether neighbours have told it; none if there is no list.
    pub trusted: Cell<Option<(Trust, bool)>>,
    /// What is counted for the fleet, where there is one.
    pub seen: RefCell<Seen>,
    /// The first seconds after the start, where the operator's file asks for it; queries that clients have
    /// open.
    pub begins: Cell<bool>,
    pub startup_limit: RefCell<Option<StartupLimit>>,
    pub open: Cell<usize>,
    /// Where the order to stop waiting goes, by query and execution.
    cancels: RefCell<BTreeMap<(usize, usize), oneshot::Sender<()>>>,
}

impl Node {
    pub fn new(placement: Placement, shares: Shares, fleet: Option<Fleet>) -> Rc<Node> {
        let Placement { deployment, known, seed, .. } = placement;
        let clock = Clock::start();
        let stop = Stop::new(deployment.statement_timeouts.iter().copied().max().unwrap_or(0));
        let node = Rc::new_cyclic(|node| {
            let timers = Rc::new(Timers::default());
            let wires = Wires { node: Weak::clone(node), timers: Rc::clone(&timers) };
            Node {
                clock,
                core: RefCell::new(BalancerCore::new(wires, &deployment, seed, clock.now())),
                upstreams: ConnectionPool::new(PoolSettings {
                    max_open: shares.upstream,
                    idle_time: Duration::from_micros(deployment.idle_time),
                    connect_time_out: Duration::from_micros(deployment.connect_time_out),
                    // What a server has begun to write should not pause for longer than it takes to reach it.
                    stall_time_out: Duration::from_micros(deployment.connect_time_out),
                    quiet_time: Duration::from_micros(deployment.connect_time_out / REST_PART),
                    memory: MemoryBudget::new(MAX_BODY_BYTES, shares.long_answers),
                }),
                deployment,
                timers,
                stop,
                operator: RefCell::default(),
                fleet,
                by: Cell::new(None),
                let_out: Cell::new(0),
                known: RefCell::default(),
                first_list: Notify::new(),
                discovered: Cell::new(false),
                trusted: Cell::new(None),
                seen: RefCell::default(),
                begins: Cell::new(false),
                startup_limit: RefCell::default(),
                open: Cell::new(0),
                cancels: RefCell::default(),
            }
        });
        if let Some(mut known) = known {
            for fault in &known.faults {
                log_line!("list", "an entry of the known list is passed over: {fault}");
            }
            known.complete = true;
            node.known.replace(Some(known));
        }
        node
    }

    /// Discovery has told something.
    pub fn told(&self, update: &EndpointUpdate) {
        if !update.complete {
            self.believe_known();
        }
        self.known.take();
        self.discovered.set(true);
        self.core.borrow_mut().list(self.clock.now(), update);
        self.first_list.notify_waiters();
    }

    /// What is known from the start counts, now that discovery has nothing to say against it, or nothing at
    /// all.
    pub fn believe_known(&self) {
        if let Some(known) = self.known.take() {
            self.core.borrow_mut().list(self.clock.now(), &known);
            if let Some(fleet) = self.fleet.as_ref().filter(|_| self.discovered.get()) {
                fleet.tell_list(self.core.borrow().complete_list(), 0);
            }
        }
        self.first_list.notify_waiters();
    }

    /// Waits while there is a list that may be out of date, and discovery has not been heard yet. Guards
    /// against sending in the first moment to servers that drain since the list was written.
    pub async fn settled(&self) {
        while self.known.borrow().is_some() {
            self.first_list.notified().await;
        }
    }

    /// Few queries at a time to begin with, as a process that may have come back with all others. Guards
    /// against a beginning that is over before there is a list: it counts from the first that there is.
    fn begin_slowly(&self) {
        self.begins.set(false);
        let terms = &self.deployment.terms;
        let slo_time = terms.products.iter().map(|row| row.slo_time).min().unwrap_or(0);
        // Guards against products that take minutes: whether servers are jammed is seen sooner than their
        // answers.
        let step = (slo_time / 2).min(self.deployment.connect_time_out);
        let servers = self.core.borrow().listed().len();
        self.startup_limit.replace(Some(StartupLimit::new(servers, terms.balancers, step, self.clock.now())));
    }

    /// Whether the slow beginning is over, if there was one; it is told then, and forgotten.
    pub fn takes_all(&self) -> bool {
        if self.begins.get() && self.core.borrow().has_list() {
            self.begin_slowly();
        }
        let mut held = self.startup_limit.borrow_mut();
        let Some(startup_limit) = held.as_mut() else { return !self.begins.get() };
        startup_limit.look(self.clock.now());
        if startup_limit.is_over() {
            log_line!(
                "start",
                "all queries are taken from now on, {} were turned away",
                startup_limit.rejected()
            );
            held.take();
        }
        held.is_none()
    }

    /// Whether one more query may be taken now; if not, when its client had best come back.
    pub fn may_take(&self) -> Result<(), u64> {
        // Without a list the decisions reject by themselves.
        if self.takes_all() || self.begins.get() {
            return Ok(());
        }
        let mut held = self.startup_limit.borrow_mut();
        held.as_mut().map_or(Ok(()), |startup_limit| {
            startup_limit.take(self.clock.now(), self.open.get(), rand::random())
        })
    }

    /// Takes an operator's file over: it counts for queries that come from now on.
    pub fn operate(&self, operator: Arc<Operator>) {
        self.core.borrow_mut().routes(operator.rows(&self.deployment));
        self.operator.replace(Some(operator));
    }

    /// Before a query is taken: it is decided by what holds for the fleet now, if this is one of a fleet.
    /// False if the query has to be rejected, since this process may not know what holds.
    pub fn keep_up(&self) -> bool {
        let Some(fleet) = &self.fleet else { return true };
        self.keep_up_with_servers(fleet);
        match fleet.by() {
            By::Nothing => false,
            By::Terms(number, _) if self.by.get() == Some(number) => true,
            By::Terms(number, operator) => {
                self.by.set(Some(number));
                self.operate(operator);
                true
            }
        }
    }

    fn keep_up_with_servers(&self, fleet: &Fleet) {
        if let Some((number, keys)) = fleet.let_out(self.let_out.get()) {
            self.let_out.set(number);
            self.core.borrow_mut().taken_out(self.clock.now(), &keys);
        }
    }

    /// Between queries too the servers that the fleet lets out are kept up with, since what is in hand may be
    /// sent again; and the fleet is told how the servers stand here.
    pub async fn follow_fleet(self: Rc<Self>, accepted: Rc<Accepted>) {
        let Some(fleet) = &self.fleet else { return };
        let (terms, zones) = (&self.deployment.terms, &self.deployment.zones);
        loop {
            sleep(FOLLOW).await;
            self.keep_up_with_servers(fleet);
            if fleet.is_taken_out() {
                accepted.close_idle();
            }
            let now = self.clock.now();
            // Until discovery has spoken, neighbours may know better than what was kept. Guards against one
            // that is doubted in the place of one that was kept a moment ago: all servers would be cold, and
            // reached anew.
            let better = |trust| match self.trusted.get() {
                Some((of, from_neighbours)) => trust < of || from_neighbours && trust == of,
                None => true,
            };
            let given = fleet.given_list().filter(|(_, trust)| !self.discovered.get() && better(*trust));
            if let Some((update, trust)) = given {
                self.trusted.set(Some((trust, true)));
                self.core.borrow_mut().list(now, &update);
            }
            let place = |entry: &Endpoint| Listed {
                key: entry.key,
                zone: zones.get(entry.zone).cloned().unwrap_or_default(),
                cell: entry.cell,
                full: entry.state == EndpointState::Ready
                    && (entry.started_at == 0 || now >= entry.started_at + terms.slow_start_time),
            };
            let listed = self.core.borrow().listed();
            let (servers, own) = self.seen.borrow_mut().take();
            let kinds = self.deployment.kinds.len().max(1);
            // Servers that the list names no more are left out.
            let count = |entry: &Endpoint| {
                let count = servers.get(&entry.server)?;
                Some((entry.key, (entry.zone * kinds + entry.kind) as u16, *count))
            };
            let counts: Vec<(u64, u16, Count)> = listed.iter().filter_map(count).collect();
            fleet.tell(listed.iter().map(place).collect(), counts, own);
        }
    }

    /// Told to stop: what is in hand may have more patience left than there is time.
    pub fn end(&self) {
        self.stop.order();
        let now = self.clock.now();
        self.core.borrow_mut().stopping(now, now + self.stop.within(u64::MAX));
    }

    /// Calls the core for each wake, for ever.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let label = self.timers.next().await;
            self.core.borrow_mut().timer(self.clock.now(), label);
        }
    }

    /// Sends an execution and waits for its end, or for the order to stop waiting.
    async fn execute(&self, order: &Execution, cancelled: oneshot::Receiver<()>) -> (Outcome, Option<Reply>) {
        let progress = ProgressHandle::default();
        let address = order.process.address;
        let until = self.clock.now() + order.time_out;
        let prepare = || {
            let now = self.clock.now();
            let left = until.saturating_sub(now);
            let wanted =
                self.core.borrow_mut().may_begin(now, order.query_index, order.execution_index, order.server);
            wanted.then(|| execution::encode(&order.query, address, left))
        };
        let exchange = self.upstreams.exchange(upstream(order.process), prepare, &progress);
        tokio::select! {
            biased;
            Ok(()) = cancelled => {
                log_line!("upstream", "{address}: called off, request {:?}", progress.progress());
                match progress.progress() {
                    Progress::Complete => (Outcome::Cancelled, None),
                    Progress::Begun | Progress::Nothing => (Outcome::NeverSent, None),
                }
            }
            end = timeout(Duration::from_micros(order.time_out), exchange) => match end {
                Ok(Ok(response)) => {
                    let reply = Reply::decode(response, &self.deployment.columns);
                    (reply.outcome, Some(reply))
                }
                Ok(Err(failure)) => {
                    log_line!("upstream", "{address}: {failure}");
                    (outcome(&failure), None)
                }
                Err(_) if progress.progress() == Progress::Complete => (Outcome::TimedOut, None),
                Err(_) => (Outcome::NotConnected, None),
            },
        }
    }

    async fn probe(&self, server: usize, process: ServerProcess) -> (bool, LoadReport) {
        let progress = ProgressHandle::default();
        let prepare = || {
            let wanted = self.core.borrow().is_ready(server);
            wanted.then(|| execution::probe(process.address, !self.deployment.columns.is_empty()))
        };
        let longest = self.deployment.terms.products.iter().map(|row| row.slo_time).max().unwrap_or(0);
        let exchange = self.upstreams.exchange(upstream(process), prepare, &progress);
        match timeout(Duration::from_micros(longest), exchange).await {
            Ok(Ok(response)) => Reply::decode_probe(response, &self.deployment.columns),
            _ => (false, LoadReport::default()),
        }
    }
}

fn upstream(process: ServerProcess) -> Upstream {
    Upstream { address: process.address, process: process.process }
}

/// What an exchange that came to nothing means for the decisions.
fn outcome(failure: &Failure) -> Outcome {
    match failure.progress {
        _ if failure.is_own() => Outcome::NeverSent,
        Progress::Complete if failure.stale => Outcome::Stale,
        Progress::Complete if failure.answered => Outcome::Malformed,
        Progress::Complete => Outcome::Broken,
        Progress::Begun | Progress::Nothing => Outcome::NotConnected,
    }
}

/// Carries out what the core asks for. Each effect runs in a task of its own, so that none calls the
/// core while it is at work.
pub struct Wires {
    node: Weak<Node>,
    timers: Rc<Timers>,
}

impl Effects for Wires {
    type Caller = oneshot::Sender<Answer>;

    fn execute(&mut self, order: Execution) {
        let (cancel, cancelled) = oneshot::channel();
        let Some(node) = self.node.upgrade() else { return };
        node.cancels.borrow_mut().insert((order.query_index, order.execution_index), cancel);
        spawn_local(async move {
            let sent = node.clock.now();
            // Guards against a fault in an exchange: a panic ends the execution and nothing else.
            let end = AssertUnwindSafe(node.execute(&order, cancelled)).catch_unwind().await;
            let (outcome, reply) = end.unwrap_or((Outcome::Broken, None));
            node.cancels.borrow_mut().remove(&(order.query_index, order.execution_index));
            let now = node.clock.now();
            if node.fleet.is_some() {
                node.seen.borrow_mut().execution(order.server, order.product, outcome, now - sent);
            }
            let (report, served) = reply.map_or_else(Default::default, |reply| (reply.report, reply.served));
            let Execution { query_index, execution_index, .. } = order;
            let ended =
                EndedExecution { query_index, execution_index, outcome, spent: now - sent, report, served };
            node.core.borrow_mut().execution_ended(now, ended);
        });
    }

    fn cancel(&mut self, query_index: usize, execution_index: usize) {
        let node = self.node.upgrade();
        if let Some(cancel) =
            node.and_then(|node| node.cancels.borrow_mut().remove(&(query_index, execution_index)))
        {
            let _ = cancel.send(());
        }
    }

    fn answer(&mut self, caller: Self::Caller, answer: Answer) {
        // A caller that has just left needs none.
        let _ = caller.send(answer);
    }

    fn wake(&mut self, wait: u64, label: u32) {
        self.timers.add(wait, label);
    }

    fn probe(&mut self, server: usize, process: ServerProcess) {
        let Some(node) = self.node.upgrade() else { return };
        spawn_local(async move {
            let probe = AssertUnwindSafe(node.probe(server, process)).catch_unwind().await;
            let (answered, report) = probe.unwrap_or_default();
            node.core.borrow_mut().probed(node.clock.now(), server, answered, report);
        });
    }
}
