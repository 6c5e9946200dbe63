//! A running balancer: the decision core, and the I/O that carries out the effects it requests.

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
use whinspindle_rollout::{Count, ObservedOutcomes, Place as Listed};
use whinspindle_upstream_pool::{
    ConnectionPool, ExchangeError, MemoryBudget, PoolSettings, Progress, ProgressHandle, Upstream,
};

use crate::clock::Clock;
use crate::configuration::Configuration;
use crate::fleet::{ActivePolicy, Fleet};
use crate::listener::ClientConnections;
use crate::resource_limits::ResourceLimits;
use crate::shutdown::Shutdown;
use crate::timers::Timers;

/// How often the state of the fleet is read between requests; well below any drain grace period.
const FOLLOW: Duration = Duration::from_millis(50);

/// A connection rests for this fraction of the connect time-out before it carries the next request.
const REST_PART: u64 = 20;

/// A running balancer, shared by the tasks of its thread.
pub struct Node {
    /// Clock of the process.
    pub clock: Clock,
    /// Settings of the deployment.
    pub deployment: Deployment,
    /// The balancing decisions.
    pub core: RefCell<BalancerCore<NodeEffects>>,
    /// Connections to upstreams.
    pub upstreams: ConnectionPool,
    /// Timers requested by the core.
    pub timers: Rc<Timers>,
    /// State of the graceful shutdown.
    pub shutdown: Shutdown,
    /// The operator file in force: the process's own, or the policy of the fleet.
    pub operator: RefCell<Option<Arc<Operator>>>,
    /// The fleet this process is a member of.
    pub fleet: Option<Fleet>,
    /// Number of the fleet policy that was applied last.
    applied_policy: Cell<Option<u64>>,
    /// Version of the set of taken-out servers that was applied last.
    taken_out_servers: Cell<u64>,
    /// Endpoint list known at the start, until it is applied or replaced by one from discovery.
    unconfirmed_list: RefCell<Option<EndpointUpdate>>,
    /// Notified when the list known at the start is applied or replaced.
    first_list: Notify,
    /// Whether the present list comes from discovery or from the platform's configuration.
    pub is_list_discovered: Cell<bool>,
    /// Otherwise how far the list is trusted, and whether it came from other balancers; none if there is no list.
    pub list_trust: Cell<Option<(Trust, bool)>>,
    /// Outcomes counted for the fleet.
    pub fleet_counts: RefCell<ObservedOutcomes>,
    /// Whether a slow start is configured and waits for the first endpoint list.
    pub slow_start_pending: Cell<bool>,
    /// Admission limit of the slow start, while it runs.
    pub startup_limit: RefCell<Option<StartupLimit>>,
    /// Number of requests that clients have open.
    pub open_queries: Cell<usize>,
    /// Channels that cancel executions, by query and execution index.
    cancellations: RefCell<BTreeMap<(usize, usize), oneshot::Sender<()>>>,
}

impl Node {
    /// Builds the node with the list that is known at the start.
    pub fn new(
        configuration: Configuration,
        resource_limits: ResourceLimits,
        fleet: Option<Fleet>,
    ) -> Rc<Node> {
        let Configuration { deployment, known_endpoints: known, seed, .. } = configuration;
        let clock = Clock::start();
        let shutdown = Shutdown::new(deployment.statement_timeouts_us.iter().copied().max().unwrap_or(0));
        let node = Rc::new_cyclic(|node| {
            let timers = Rc::new(Timers::default());
            let effects = NodeEffects { node: Weak::clone(node), timers: Rc::clone(&timers) };
            Node {
                clock,
                core: RefCell::new(BalancerCore::new(effects, &deployment, seed, clock.now())),
                upstreams: ConnectionPool::new(PoolSettings {
                    max_connections: resource_limits.upstream,
                    server_idle_timeout: Duration::from_micros(deployment.server_idle_timeout_us),
                    connect_timeout: Duration::from_micros(deployment.connect_timeout_us),
                    // An answer that has begun should not pause for longer than connecting takes.
                    stall_timeout: Duration::from_micros(deployment.connect_timeout_us),
                    reuse_delay: Duration::from_micros(deployment.connect_timeout_us / REST_PART),
                    memory_budget: MemoryBudget::new(MAX_BODY_BYTES, resource_limits.long_answers),
                }),
                deployment,
                timers,
                shutdown,
                operator: RefCell::default(),
                fleet,
                applied_policy: Cell::new(None),
                taken_out_servers: Cell::new(0),
                unconfirmed_list: RefCell::default(),
                first_list: Notify::new(),
                is_list_discovered: Cell::new(false),
                list_trust: Cell::new(None),
                fleet_counts: RefCell::default(),
                slow_start_pending: Cell::new(false),
                startup_limit: RefCell::default(),
                open_queries: Cell::new(0),
                cancellations: RefCell::default(),
            }
        });
        if let Some(mut known) = known {
            for fault in &known.errors {
                log_line!("list", "an entry of the known list is passed over: {fault}");
            }
            known.is_complete = true;
            node.unconfirmed_list.replace(Some(known));
        }
        node
    }

    /// Applies an update from discovery.
    pub fn endpoints_updated(&self, update: &EndpointUpdate) {
        if !update.is_complete {
            self.apply_known_endpoints();
        }
        self.unconfirmed_list.take();
        self.is_list_discovered.set(true);
        self.core.borrow_mut().apply_endpoint_update(self.clock.now(), update);
        self.first_list.notify_waiters();
    }

    /// Applies the list known at the start, once discovery has confirmed it with a partial update or could not be
    /// reached.
    pub fn apply_known_endpoints(&self) {
        if let Some(known) = self.unconfirmed_list.take() {
            self.core.borrow_mut().apply_endpoint_update(self.clock.now(), &known);
            if let Some(fleet) = self.fleet.as_ref().filter(|_| self.is_list_discovered.get()) {
                fleet.report_endpoints(self.core.borrow().endpoint_list(), 0);
            }
        }
        self.first_list.notify_waiters();
    }

    /// Waits while the known list may be out of date and discovery has not answered. Otherwise the first requests
    /// could go to servers that have begun draining since the list was written.
    pub async fn wait_for_endpoints(&self) {
        while self.unconfirmed_list.borrow().is_some() {
            self.first_list.notified().await;
        }
    }

    /// Limits the first requests, since this process may have restarted together with all others. The limit starts
    /// with the first list, so that it is not over before requests can be served.
    fn start_slowly(&self) {
        self.slow_start_pending.set(false);
        let terms = &self.deployment.balancer_settings;
        let slo_time = terms.products.iter().map(|row| row.slo_time_us).min().unwrap_or(0);
        // Bounded by the connect time-out, since for products that take minutes overload shows long before answers
        // do.
        let step = (slo_time / 2).min(self.deployment.connect_timeout_us);
        let servers = self.core.borrow().endpoints().len();
        self.startup_limit.replace(Some(StartupLimit::new(servers, terms.balancers, step, self.clock.now())));
    }

    /// Whether all requests are admitted: there was no slow start, or it is over. Logs the end of the slow start.
    pub fn accepts_all(&self) -> bool {
        if self.slow_start_pending.get() && self.core.borrow().has_list() {
            self.start_slowly();
        }
        let mut held = self.startup_limit.borrow_mut();
        let Some(startup_limit) = held.as_mut() else { return !self.slow_start_pending.get() };
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

    /// Admits one more request, or returns the microseconds after which the client should retry.
    pub fn admit(&self) -> Result<(), u64> {
        // Without a list the core rejects requests itself.
        if self.accepts_all() || self.slow_start_pending.get() {
            return Ok(());
        }
        let mut held = self.startup_limit.borrow_mut();
        held.as_mut().map_or(Ok(()), |startup_limit| {
            startup_limit.take(self.clock.now(), self.open_queries.get(), rand::random())
        })
    }

    /// Applies an operator file to requests that arrive from now on.
    pub fn apply_operator_file(&self, operator: Arc<Operator>) {
        self.core.borrow_mut().set_routes(operator.rows(&self.deployment));
        self.operator.replace(Some(operator));
    }

    /// Applies the fleet's present policy before a request is taken. Returns false if the request must be rejected,
    /// since this process may not know the policy in force.
    pub fn apply_active_policy(&self) -> bool {
        let Some(fleet) = &self.fleet else { return true };
        self.apply_taken_out_servers(fleet);
        match fleet.active_policy() {
            ActivePolicy::Unknown => false,
            ActivePolicy::Policy(number, _) if self.applied_policy.get() == Some(number) => true,
            ActivePolicy::Policy(number, operator) => {
                self.applied_policy.set(Some(number));
                self.apply_operator_file(operator);
                true
            }
        }
    }

    /// Applies the servers taken out by the fleet, if they have changed.
    fn apply_taken_out_servers(&self, fleet: &Fleet) {
        if let Some((number, keys)) = fleet.taken_out_servers(self.taken_out_servers.get()) {
            self.taken_out_servers.set(number);
            self.core.borrow_mut().set_drained(self.clock.now(), &keys);
        }
    }

    /// Follows the fleet between requests: applies the servers taken out, since requests in flight may be retried,
    /// and reports the servers' state to the fleet.
    pub async fn follow_fleet(self: Rc<Self>, connections: Rc<ClientConnections>) {
        let Some(fleet) = &self.fleet else { return };
        let (terms, zones) = (&self.deployment.balancer_settings, &self.deployment.zones);
        loop {
            sleep(FOLLOW).await;
            self.apply_taken_out_servers(fleet);
            if fleet.is_taken_out() {
                connections.close_idle();
            }
            let now = self.clock.now();
            // Until discovery has answered, other balancers may have a better list than the restored one. A less
            // trusted list never replaces a more trusted one: every server would start slowly and be connected
            // anew.
            let better = |trust| match self.list_trust.get() {
                Some((of, from_neighbours)) => trust < of || from_neighbours && trust == of,
                None => true,
            };
            let given =
                fleet.neighbour_list().filter(|(_, trust)| !self.is_list_discovered.get() && better(*trust));
            if let Some((update, trust)) = given {
                self.list_trust.set(Some((trust, true)));
                self.core.borrow_mut().apply_endpoint_update(now, &update);
            }
            let place = |entry: &Endpoint| Listed {
                key: entry.key,
                zone: zones.get(entry.zone).cloned().unwrap_or_default(),
                cell: entry.cell,
                full: entry.state == EndpointState::Ready
                    && (entry.started_at == 0 || now >= entry.started_at + terms.slow_start_duration_us),
            };
            let listed = self.core.borrow().endpoints();
            let (servers, own) = self.fleet_counts.borrow_mut().take();
            let kinds = self.deployment.kinds.len().max(1);
            // Servers that are no longer listed are left out.
            let count = |entry: &Endpoint| {
                let count = servers.get(&entry.server)?;
                Some((entry.key, (entry.zone * kinds + entry.kind) as u16, *count))
            };
            let counts: Vec<(u64, u16, Count)> = listed.iter().filter_map(count).collect();
            fleet.report_servers(listed.iter().map(place).collect(), counts, own);
        }
    }

    /// Begins the graceful shutdown, and shortens the deadlines of requests in flight to the time left.
    pub fn begin_shutdown(&self) {
        self.shutdown.request();
        let now = self.clock.now();
        self.core.borrow_mut().begin_shutdown(now, now + self.shutdown.limit_patience(u64::MAX));
    }

    /// Calls the core for each timer that fires; never returns.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let label = self.timers.next().await;
            self.core.borrow_mut().timer_fired(self.clock.now(), label);
        }
    }

    /// Sends an execution and waits for its end or its cancellation.
    async fn execute(&self, order: &Execution, cancelled: oneshot::Receiver<()>) -> (Outcome, Option<Reply>) {
        let progress = ProgressHandle::default();
        let address = order.process.address;
        let until = self.clock.now() + order.timeout_us;
        let prepare = || {
            let now = self.clock.now();
            let left = until.saturating_sub(now);
            let wanted =
                self.core.borrow_mut().may_send(now, order.query_index, order.execution_index, order.server);
            wanted.then(|| execution::encode_execution(&order.query, address, left))
        };
        let exchange = self.upstreams.exchange(upstream(order.process), prepare, &progress);
        tokio::select! {
            biased;
            Ok(()) = cancelled => {
                log_line!("upstream", "{address}: called off, request {:?}", progress.progress());
                match progress.progress() {
                    Progress::Complete => (Outcome::Cancelled, None),
                    Progress::Partial | Progress::NotStarted => (Outcome::NeverSent, None),
                }
            }
            end = timeout(Duration::from_micros(order.timeout_us), exchange) => match end {
                Ok(Ok(response)) => {
                    let reply = Reply::decode(response, &self.deployment.load_columns);
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

    /// Sends a health check; returns whether it was answered, and the load it reported.
    async fn probe(&self, server: usize, process: ServerProcess) -> (bool, LoadReport) {
        let progress = ProgressHandle::default();
        let prepare = || {
            let wanted = self.core.borrow().is_ready(server);
            wanted.then(|| execution::encode_probe(process.address, !self.deployment.load_columns.is_empty()))
        };
        let longest =
            self.deployment.balancer_settings.products.iter().map(|row| row.slo_time_us).max().unwrap_or(0);
        let exchange = self.upstreams.exchange(upstream(process), prepare, &progress);
        match timeout(Duration::from_micros(longest), exchange).await {
            Ok(Ok(response)) => Reply::decode_probe(response, &self.deployment.load_columns),
            _ => (false, LoadReport::default()),
        }
    }
}

fn upstream(process: ServerProcess) -> Upstream {
    Upstream { address: process.address, process: process.process }
}

/// Translates a failed exchange to the outcome that the core decides by.
fn outcome(failure: &ExchangeError) -> Outcome {
    match failure.progress {
        _ if failure.is_local() => Outcome::NeverSent,
        Progress::Complete if failure.is_stale_connection => Outcome::StaleConnection,
        Progress::Complete if failure.response_started => Outcome::Malformed,
        Progress::Complete => Outcome::Broken,
        Progress::Partial | Progress::NotStarted => Outcome::NotConnected,
    }
}

/// Carries out the effects of the core. Each runs in a task of its own, so that none calls the core while it is
/// borrowed.
pub struct NodeEffects {
    node: Weak<Node>,
    timers: Rc<Timers>,
}

impl Effects for NodeEffects {
    type Caller = oneshot::Sender<Answer>;

    fn execute(&mut self, order: Execution) {
        let (cancel, cancelled) = oneshot::channel();
        let Some(node) = self.node.upgrade() else { return };
        node.cancellations.borrow_mut().insert((order.query_index, order.execution_index), cancel);
        spawn_local(async move {
            let sent = node.clock.now();
            // A panic in an exchange ends only this execution.
            let end = AssertUnwindSafe(node.execute(&order, cancelled)).catch_unwind().await;
            let (outcome, reply) = end.unwrap_or((Outcome::Broken, None));
            node.cancellations.borrow_mut().remove(&(order.query_index, order.execution_index));
            let now = node.clock.now();
            if node.fleet.is_some() {
                node.fleet_counts.borrow_mut().execution(order.server, order.product, outcome, now - sent);
            }
            let (report, served) =
                reply.map_or_else(Default::default, |reply| (reply.report, reply.response));
            let Execution { query_index, execution_index, .. } = order;
            let ended = EndedExecution {
                query_index,
                execution_index,
                outcome,
                elapsed_us: now - sent,
                report,
                response: served,
            };
            node.core.borrow_mut().execution_ended(now, ended);
        });
    }

    fn cancel(&mut self, query_index: usize, execution_index: usize) {
        let node = self.node.upgrade();
        if let Some(cancel) =
            node.and_then(|node| node.cancellations.borrow_mut().remove(&(query_index, execution_index)))
        {
            let _ = cancel.send(());
        }
    }

    fn answer(&mut self, caller: Self::Caller, answer: Answer) {
        // The receiver is gone if the client has disconnected.
        let _ = caller.send(answer);
    }

    fn set_timer(&mut self, wait: u64, label: u32) {
        self.timers.add(wait, label);
    }

    fn probe(&mut self, server: usize, process: ServerProcess) {
        let Some(node) = self.node.upgrade() else { return };
        spawn_local(async move {
            let probe = AssertUnwindSafe(node.probe(server, process)).catch_unwind().await;
            let (answered, report) = probe.unwrap_or_default();
            node.core.borrow_mut().probe_ended(node.clock.now(), server, answered, report);
        });
    }
}
