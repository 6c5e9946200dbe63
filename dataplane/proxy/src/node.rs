//! The state that the parts of the proxy share.

use std::cell::{Cell, RefCell};
use std::sync::Arc;

use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};
use whinspindle_configuration::{Configuration, ConfigurationError, Settings};
use whinspindle_distribution::{AppliedState, Update};
use whinspindle_routing::{Router, RouterSettings};

use crate::clock::Clock;
use crate::connect::Connect;
use crate::limits::{Capacities, LimitsInForce, MemoryBudget};
use crate::pool::{Pool, PoolLimits};
use crate::request_counts::RequestCounts;
use crate::shutdown::{Shutdown, ShutdownTimes};

/// Fraction of an upstream's connections that all balancers together use.
const USED_CONNECTIONS_FRACTION: f64 = 0.9;

/// The state of the process. It is used by one thread; nothing is borrowed across an `await`.
pub struct Node {
    /// The settings of the process.
    pub settings: Settings,
    /// The clock of the router.
    pub clock: Clock,
    /// Descriptors and memory by use.
    pub capacities: Capacities,
    /// The router.
    pub router: RefCell<Router>,
    /// Limits of requests that clients may count on.
    pub limits: RefCell<LimitsInForce>,
    /// Connections to upstreams.
    pub pool: Pool,
    /// Memory for bodies.
    pub bodies: MemoryBudget,
    /// The graceful shutdown.
    pub shutdown: Shutdown,
    /// Notified when a report is due at once.
    pub report_due: Notify,
    /// Sections of updates that are in force.
    pub applied_state: RefCell<AppliedState>,
    /// Notified when an update has been applied.
    updated: Notify,
    /// Counters of requests and attempts.
    pub request_counts: RequestCounts,
    configuration: RefCell<Option<Arc<Configuration>>>,
    balancers: Cell<u32>,
}

impl Node {
    /// The state of a process that knows no configuration and no instances yet; `seed` is the router's.
    pub fn new(settings: Settings, connect: Box<dyn Connect>, seed: u64) -> Self {
        let clock = Clock::starting_now();
        let capacities = Capacities::of(&settings.limits);
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
            bodies: MemoryBudget::new(capacities.body_bytes),
            shutdown: Shutdown::new(ShutdownTimes::of(grace)),
            report_due: Notify::new(),
            applied_state: RefCell::default(),
            updated: Notify::new(),
            request_counts: RequestCounts::default(),
            configuration: RefCell::default(),
            balancers: Cell::new(1),
            settings,
        }
    }

    /// The configuration in force.
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

    /// Waits until a configuration and the instances are known, at most until then.
    pub async fn informed(&self, until: Instant) {
        while !self.is_informed() && timeout_at(until, self.updated.notified()).await.is_ok() {}
    }

    /// The most connections that this process may open to one upstream of a service with this `max_conns`.
    pub fn most_connections(&self, max_conns: u32) -> usize {
        let allowed =
            f64::from(max_conns) * USED_CONNECTIONS_FRACTION / f64::from(self.balancers.get().max(1));
        (allowed as usize).max(1)
    }

    /// Applies the sections of an update that are newer.
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

    /// Does what is due by time alone.
    pub fn tick(&self) {
        self.router.borrow_mut().tick(self.clock.now_ms());
        let router = self.router.borrow();
        self.pool.sweep(|instance| router.target(instance).is_some());
        if let Some(counts) = self.request_counts.tick() {
            spdlog::info!("requests: {counts}; {} connections to upstreams", self.pool.open());
        }
    }
}
