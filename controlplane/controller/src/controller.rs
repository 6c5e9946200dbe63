//! The controller as a state machine: calls, frames and finished disk writes in; answers, frames and disk writes out.

mod calls;
mod disclosure;
mod event;
mod gossip;
mod publication;
mod recall;
mod replication;
mod submission;

use std::collections::BTreeMap;
use std::marker::PhantomData;
use std::net::SocketAddr;

use whinspindle_distribution::{ControllerAddress, Publisher};
use whinspindle_registry::{InstanceRegistry, LeaseTable, LeaseTiming, RegistryTiming};
use whinspindle_replica::{Input, LossKind, Output, Replica};

pub use self::event::{Action, Event};
use crate::acquaintances::Acquaintances;
use crate::contact::Contact;
use crate::fleet::FleetState;
use crate::memory::Memory;
use crate::orders::{self, Orders};
use crate::pending::PendingOrders;
use crate::protocol_rules::{ProtocolRules, StandardRules};
use crate::residency::Residency;

/// Interval at which silent instances and balancers are looked for.
const EXPIRY_MS: u64 = 300;

/// What a controller has to know of itself and its deployment.
#[derive(Clone, Debug)]
pub struct ControllerSettings {
    pub node: String,
    pub address: ControllerAddress,
    /// Region of each zone.
    pub zones: BTreeMap<String, String>,
    pub heartbeat_ms: u64,
}

/// One controller.
pub struct Controller<L = StandardRules> {
    rules: PhantomData<L>,
    settings: ControllerSettings,
    replica: Replica<Orders>,
    registry: InstanceRegistry,
    leases: LeaseTable,
    residency: Residency,
    publisher: Publisher,
    fleet: FleetState,
    pending: PendingOrders,
    acquaintances: Acquaintances,
    started_at: u64,
    contact: Contact,
    /// How long a controller that has just started learns before it tells what it knows.
    learning_ms: u64,
    /// Another controller has told all that lives.
    is_taught: bool,
    /// What an earlier process knew has been found, here or by another controller.
    has_recalled: bool,
    memory: Memory,
    shutting_down: bool,
    compacting: bool,
    gossip_at: u64,
    gossip_sent_at: u64,
    link_at: u64,
    expiry_at: u64,
    /// The registry's version that the publisher holds.
    published_instances: u64,
    /// The registry's count of withdrawals that the publisher holds.
    published_withdrawals: u64,
    instances_published_at: Option<u64>,
    /// Something has changed that balancers are to be told at the next tick.
    publication_waits: bool,
    /// When each peer was sent a snapshot last.
    snapshots_sent: BTreeMap<SocketAddr, u64>,
    /// The list of controllers that subscribers were told last.
    told_controllers: Vec<ControllerAddress>,
    actions: Vec<Action>,
}

impl Controller {
    /// A controller around a replica, with the first outputs of that replica.
    pub fn new(
        settings: ControllerSettings,
        replica: Replica<Orders>,
        outputs: Vec<Output>,
        now: u64,
    ) -> (Self, Vec<Action>) {
        Controller::with_rules(settings, replica, outputs, now)
    }
}

impl<L: ProtocolRules> Controller<L> {
    /// Like [`Controller::new`], under rules of the caller's choice.
    pub fn with_rules(
        settings: ControllerSettings,
        replica: Replica<Orders>,
        outputs: Vec<Output>,
        now: u64,
    ) -> (Self, Vec<Action>) {
        let timing = RegistryTiming { heartbeat_ms: settings.heartbeat_ms };
        let learning_ms = disclosure::learning_ms(settings.heartbeat_ms);
        let mut controller = Controller {
            rules: PhantomData,
            settings,
            replica,
            registry: InstanceRegistry::new(timing),
            leases: LeaseTable::new(LeaseTiming::default()),
            residency: Residency::default(),
            publisher: Publisher::new(),
            fleet: FleetState::default(),
            pending: PendingOrders::default(),
            acquaintances: Acquaintances::default(),
            started_at: now,
            contact: Contact::new(now),
            learning_ms,
            is_taught: false,
            has_recalled: false,
            memory: Memory::default(),
            shutting_down: false,
            compacting: false,
            gossip_at: now,
            gossip_sent_at: now,
            link_at: now,
            expiry_at: now,
            published_instances: 0,
            published_withdrawals: 0,
            instances_published_at: None,
            publication_waits: false,
            snapshots_sent: BTreeMap::new(),
            told_controllers: Vec::new(),
            actions: Vec::new(),
        };
        controller.take_departures();
        controller.take_outputs(now, outputs);
        let actions = std::mem::take(&mut controller.actions);
        (controller, actions)
    }

    /// Takes an event; answers what is to be done, in order.
    pub fn handle(&mut self, now: u64, event: Event) -> Vec<Action> {
        self.contact.awake(now);
        match event {
            Event::Tick => self.tick(now),
            Event::Call { id, call } => self.call(now, id, call),
            Event::CallDropped { id } => self.pending.forget(id),
            Event::PeerConnected { peer } => self.send_snapshot(now, peer),
            Event::ReplicaMessage { from, message } => self.receive(now, from, message),
            Event::GossipReceived { payload } => self.take_gossip(now, &payload),
            Event::Report { subscriber, report } => self.take_report(now, subscriber, &report),
            Event::SubscriberClosed { subscriber } => self.publisher.unsubscribe(subscriber),
            Event::Persisted { token, log_bytes } => self.persisted(now, token, log_bytes),
            Event::PersistFailed { token } => self.step(now, Input::PersistFailed { token }),
            Event::Compacted => self.compacting = false,
            Event::Recalled { memory } => self.recall(now, &memory),
            Event::Remembered => self.memory.written(),
            Event::Leave => self.leave(now),
        }
        std::mem::take(&mut self.actions)
    }

    /// The other controllers that are known.
    pub fn peers(&self) -> Vec<SocketAddr> {
        let mut peers = self.replica.peers();
        peers.extend(self.acquaintances.beyond(self.settings.address.endpoint, &peers));
        peers
    }

    /// Whether it is committed, as far as known here, that an instance leaves or has left.
    pub fn has_departed(&self, instance: &str) -> bool {
        orders::departure_of(self.replica.committed(), instance).is_some()
    }

    /// Whether callers wait for an outcome.
    pub fn has_pending_orders(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Whether this controller is in contact with a majority and up to date.
    pub fn is_in_quorum(&self, now: u64) -> bool {
        self.contact.is_in_quorum() && self.replica.is_in_quorum(now)
    }

    /// The kinds of losses that are to be tolerated but would leave no majority of the voters.
    pub fn fatal_losses(&self) -> Vec<LossKind> {
        self.replica.fatal_losses()
    }

    fn tick(&mut self, now: u64) {
        self.step(now, Input::Tick);
        self.note_quorum(now);
        for pending in self.pending.take_rested(now) {
            self.submit(now, pending);
        }
        self.give_up_overdue(now);
        if now >= self.expiry_at {
            self.expire(now);
        }
        if self.is_gossip_due(now) {
            self.send_changes(now);
        }
        self.remember(now);
        let links_are_due = now >= self.link_at;
        if links_are_due {
            self.send_links(now);
        }
        if links_are_due || self.publication_waits || self.are_instances_due(now) {
            self.publish(now);
        }
    }

    fn expire(&mut self, now: u64) {
        self.expiry_at = now + EXPIRY_MS;
        self.registry.expire(now);
        self.leases.expire(now);
        self.acquaintances.forget_old(now);
    }
}
