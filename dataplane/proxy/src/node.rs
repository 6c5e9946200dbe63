//! The state shared by the modules of the proxy.

use std::cell::{Cell, RefCell};
use std::sync::Arc;

use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};
use whinspindle_configuration::{Configuration, ConfigurationError, Settings};
use whinspindle_distribution::{AppliedState, Update};
use whinspindle_routing::{Router, RouterSettings};

use crate::clock::Clock;
use crate::connect::Connect;
use crate::limits::{Capacities, EffectiveLimits, MemoryBudget};
use crate::pool::{Pool, PoolLimits};
use crate::request_counts::RequestCounts;
use crate::shutdown::{Shutdown, ShutdownTimes};

/// Fraction of an upstream's `max_conns` that all balancers use together.
const USED_CONNECTIONS_FRACTION: f64 = 0.9;

/// The state of the process. Used by a single thread; no borrow is kept across an `await`.
pub struct Node {
    /// The settings of the process.
    pub settings: Settings,
    /// The clock of the router.
    pub clock: Clock,
    /// Shares of file descriptors and memory.
    pub capacities: Capacities,
    /// Chooses an instance for each attempt.
    pub router: RefCell<Router>,
    /// The request limits in effect.
    pub limits: RefCell<EffectiveLimits>,
    /// Connections to upstreams.
    pub pool: Pool,
    /// The memory budget for bodies.
    pub body_memory: MemoryBudget,
    /// The state of the graceful shutdown.
    pub shutdown: Shutdown,
    /// Notified when a report must be sent immediately.
    pub report_due: Notify,
    /// The sections of updates that have been applied.
    pub applied_state: RefCell<AppliedState>,
    /// Notified when an update has been applied.
    updated: Notify,
    /// Counters of requests and attempts.
    pub request_counts: RequestCounts,
    configuration: RefCell<Option<Arc<Configuration>>>,
    balancers: Cell<u32>,
}

impl Node {
    /// Creates the state of a process without configuration and instances; `seed` seeds the router.
    pub fn new(settings: Settings, connect: Box<dyn Connect>, seed: u64) -> Self {
        let clock = Clock::starting_now();
        let capacities = Capacities::from_limits(&settings.limits);
        let router_settings = RouterSettings {
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            zone_regions: settings.zones.clone(),
            bounds: settings.bounds.clone(),
            heartbeat_ms: settings.heartbeat_ms,
            mechanisms: settings.mechanisms,
            seed,
        };
        let grace = std::time::Duration::from_millis(settings.bounds.grace_ms);
        Node {
            clock,
            capacities,
            router: RefCell::new(Router::new(router_settings, clock.now_ms())),
            limits: RefCell::default(),
            pool: Pool::new(connect, PoolLimits { total: capacities.upstreams }),
            body_memory: MemoryBudget::new(capacities.body_bytes),
            shutdown: Shutdown::new(ShutdownTimes::for_grace_period(grace)),
            report_due: Notify::new(),
            applied_state: RefCell::default(),
            updated: Notify::new(),
            request_counts: RequestCounts::default(),
            configuration: RefCell::default(),
            balancers: Cell::new(1),
            settings,
        }
    }

    /// Returns the current configuration.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// Whether a configuration and the instances are known, and the process is not shutting down.
    pub fn is_ready(&self) -> bool {
        self.is_informed() && !self.shutdown.is_requested()
    }

    fn is_informed(&self) -> bool {
        self.configuration.borrow().is_some() && self.applied_state.borrow().instances().is_some()
    }

    /// Waits until a configuration and the instances are known, or until the given instant.
    pub async fn wait_until_informed(&self, until: Instant) {
        while !self.is_informed() && timeout_at(until, self.updated.notified()).await.is_ok() {}
    }

    /// Returns the maximum number of connections of this process to one upstream of a service with this
    /// `max_conns`.
    pub fn max_connections(&self, max_conns: u32) -> usize {
        let allowed =
            f64::from(max_conns) * USED_CONNECTIONS_FRACTION / f64::from(self.balancers.get().max(1));
        (allowed as usize).max(1)
    }

    /// Applies the sections of an update that are newer than the applied ones.
    pub fn apply(&self, update: Update) -> Result<(), ConfigurationError> {
        let now = self.clock.now_ms();
        let changes = self.applied_state.borrow_mut().apply(now, update);
        let configured = changes.configured.map(|configured| self.configure(now, &configured.body));
        let mut router = self.router.borrow_mut();
        if let Some(evacuations) = &changes.evacuations {
            router.set_evacuated_zones(now, &evacuations.zones);
        }
        if let Some(fleet) = &changes.fleet {
            self.balancers.set(fleet.balancers);
            router.set_fleet(now, fleet);
        }
        if let Some(instances) = &changes.instances {
            router.set_instances(now, instances);
        }
        drop(router);
        self.updated.notify_waiters();
        configured.unwrap_or(Ok(()))
    }

    fn configure(&self, now: u64, body: &[u8]) -> Result<(), ConfigurationError> {
        let configuration = Arc::new(Configuration::parse(body)?);
        self.router.borrow_mut().set_configuration(now, &configuration);
        self.limits.borrow_mut().replace(&configuration.limits);
        *self.configuration.borrow_mut() = Some(configuration);
        Ok(())
    }

    /// Does periodic work: router updates, closing of idle connections, and the regular log line.
    pub fn tick(&self) {
        self.router.borrow_mut().tick(self.clock.now_ms());
        let router = self.router.borrow();
        self.pool.sweep(|instance| router.target(instance).is_some());
        if let Some(counts) = self.request_counts.tick() {
            spdlog::info!("requests: {counts}; {} connections to upstreams", self.pool.open_connections());
        }
    }
}
