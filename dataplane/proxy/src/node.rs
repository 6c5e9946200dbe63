//! What the parts of the proxy share.

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

/// The part of an upstream's connections that all balancers together use.
const CONNECTIONS_PART: f64 = 0.9;

/// The state of the process. One thread uses it; nothing is borrowed over a wait.
pub struct Node {
    pub settings: Settings,
    pub clock: Clock,
    pub capacities: Capacities,
    pub router: RefCell<Router>,
    pub limits: RefCell<LimitsInForce>,
    pub pool: Pool,
    pub bodies: MemoryBudget,
    pub shutdown: Shutdown,
    /// Something has changed that the control plane wants to know at once.
    pub report_due: Notify,
    pub applied_state: RefCell<AppliedState>,
    /// Something new is in force.
    updated: Notify,
    pub request_counts: RequestCounts,
    configuration: RefCell<Option<Arc<Configuration>>>,
    balancers: Cell<u32>,
}

impl Node {
    pub fn new(settings: Settings, connect: Box<dyn Connect>, seed: u64) -> Self {
        let clock = Clock::starting_now();
        let capacities = Capacities::of(&settings.limits);
        let router_settings = RouterSettings {
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            zones: settings.zones.clone(),
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

    /// A configuration and the instances are known, and the process is not stopping.
    pub fn is_ready(&self) -> bool {
        self.is_informed() && !self.shutdown.is_requested()
    }

    fn is_informed(&self) -> bool {
        self.configuration.borrow().is_some() && self.applied_state.borrow().instances().is_some()
    }

    /// Waits until a configuration and the instances are known, not longer than until then.
    pub async fn informed(&self, until: Instant) {
        while !self.is_informed() && timeout_at(until, self.updated.notified()).await.is_ok() {}
    }

    /// The most connections that this process may have to one upstream of a service.
    pub fn most_connections(&self, max_conns: u32) -> usize {
        let share = f64::from(max_conns) * CONNECTIONS_PART / f64::from(self.balancers.get().max(1));
        (share as usize).max(1)
    }

    /// Puts what is new in an update in force.
    pub fn apply(&self, update: Update) -> Result<(), ConfigurationError> {
        let now = self.clock.now_ms();
        let news = self.applied_state.borrow_mut().apply(now, update);
        let configured = news.configured.map(|configured| self.configure(now, &configured.body));
        let mut router = self.router.borrow_mut();
        if let Some(evacuations) = &news.evacuations {
            router.evacuations(now, &evacuations.zones);
        }
        if let Some(fleet) = &news.fleet {
            self.balancers.set(fleet.balancers);
            router.fleet(now, fleet);
        }
        if let Some(instances) = &news.instances {
            router.instances(now, instances);
        }
        drop(router);
        self.updated.notify_waiters();
        configured.unwrap_or(Ok(()))
    }

    fn configure(&self, now: u64, body: &[u8]) -> Result<(), ConfigurationError> {
        let configuration = Arc::new(Configuration::parse(body)?);
        self.router.borrow_mut().configure(now, &configuration);
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
