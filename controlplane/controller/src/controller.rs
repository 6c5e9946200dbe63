//! The controller as a state machine: calls, frames and finished disk writes in; answers, frames and disk writes out.
//!
//! Each submodule handles one concern of it: [`calls`], the path of commands through the chain ([`submission`],
//! [`replication`]), [`gossip`] between controllers, [`publication`] to balancers, and the state around a restart
//! ([`readiness`], [`saved_state`]).

mod calls;
mod event;
mod gossip;
mod publication;
mod readiness;
mod replication;
mod saved_state;
mod submission;

use std::collections::BTreeMap;
use std::marker::PhantomData;
use std::net::SocketAddr;

use whinspindle_distribution::{ControllerAddress, Publisher};
use whinspindle_registry::{InstanceRegistry, LeaseTable, LeaseTiming, RegistryTiming};
use whinspindle_replica::{Input, LossKind, Output, Replica};

pub use self::event::{Action, Event};
use crate::commands::{CommandApplication, records};
use crate::fleet_state::FleetState;
use crate::host_region_cache::HostRegionCache;
use crate::known_peers::KnownPeers;
use crate::pending_commands::PendingCommands;
use crate::protocol_rules::{ProtocolRules, StandardRules};
use crate::quorum_contact::QuorumContact;
use crate::save_schedule::SaveSchedule;
use crate::silence_grace::SilenceGrace;

/// The interval at which silent instances and balancers are removed, in milliseconds.
const EXPIRY_MS: u64 = 300;

/// The settings of a controller: itself and its deployment.
#[derive(Clone, Debug)]
pub struct ControllerSettings {
    /// The name of its node.
    pub node: String,
    /// Where other controllers and balancers connect, and where that is.
    pub address: ControllerAddress,
    /// The region of each zone.
    pub zones: BTreeMap<String, String>,
    /// The time between two heartbeats of an upstream, in milliseconds.
    pub heartbeat_ms: u64,
}

/// One controller. The time is passed in as milliseconds of a steady clock.
pub struct Controller<R = StandardRules> {
    rules: PhantomData<R>,
    settings: ControllerSettings,
    replica: Replica<CommandApplication>,
    registry: InstanceRegistry,
    leases: LeaseTable,
    host_regions: HostRegionCache,
    publisher: Publisher,
    fleet: FleetState,
    pending: PendingCommands,
    known_peers: KnownPeers,
    started_at: u64,
    contact: QuorumContact,
    /// How long the controller discovers instances and balancers after its start before it publishes them.
    discovery_ms: u64,
    /// Another controller has sent all that is live.
    received_complete_state: bool,
    /// State of an earlier process was restored, from this disk or from another controller.
    has_restored_state: bool,
    save_schedule: SaveSchedule,
    shutting_down: bool,
    compacting: bool,
    gossip_at: u64,
    gossip_sent_at: u64,
    link_at: u64,
    expiry_at: u64,
    /// The registry's version that was published last.
    published_instances: u64,
    /// The registry's count of withdrawals that was published last.
    published_withdrawals: u64,
    instances_published_at: Option<u64>,
    /// A change is to be published at the next tick.
    publish_pending: bool,
    /// When each peer was last sent a snapshot.
    snapshots_sent: BTreeMap<SocketAddr, u64>,
    /// When the silence of upstreams counts again after a loss of contact.
    silence_grace: SilenceGrace,
    /// The list of controllers that subscribers were sent last.
    announced_controllers: Vec<ControllerAddress>,
    actions: Vec<Action>,
}

impl Controller {
    /// A controller around a replica, and its first actions; `outputs` are the first ones of that replica.
    pub fn new(
        settings: ControllerSettings,
        replica: Replica<CommandApplication>,
        outputs: Vec<Output>,
        now: u64,
    ) -> (Self, Vec<Action>) {
        Controller::with_rules(settings, replica, outputs, now)
    }
}

impl<R: ProtocolRules> Controller<R> {
    /// Like [`Controller::new`], with other protocol rules.
    pub fn with_rules(
        settings: ControllerSettings,
        replica: Replica<CommandApplication>,
        outputs: Vec<Output>,
        now: u64,
    ) -> (Self, Vec<Action>) {
        let timing = RegistryTiming { heartbeat_ms: settings.heartbeat_ms };
        let discovery_ms = readiness::discovery_ms(settings.heartbeat_ms);
        let silence_grace = SilenceGrace::new(settings.heartbeat_ms);
        let mut controller = Controller {
            rules: PhantomData,
            settings,
            replica,
            registry: InstanceRegistry::new(timing),
            leases: LeaseTable::new(LeaseTiming::default()),
            host_regions: HostRegionCache::default(),
            publisher: Publisher::new(),
            fleet: FleetState::default(),
            pending: PendingCommands::default(),
            known_peers: KnownPeers::default(),
            started_at: now,
            contact: QuorumContact::new(now),
            discovery_ms,
            received_complete_state: false,
            has_restored_state: false,
            save_schedule: SaveSchedule::default(),
            shutting_down: false,
            compacting: false,
            gossip_at: now,
            gossip_sent_at: now,
            link_at: now,
            expiry_at: now,
            published_instances: 0,
            published_withdrawals: 0,
            instances_published_at: None,
            publish_pending: false,
            snapshots_sent: BTreeMap::new(),
            silence_grace,
            announced_controllers: Vec::new(),
            actions: Vec::new(),
        };
        controller.take_departures();
        controller.take_outputs(now, outputs);
        let actions = std::mem::take(&mut controller.actions);
        (controller, actions)
    }

    /// Handles an event; returns the actions to carry out, in order.
    pub fn handle(&mut self, now: u64, event: Event) -> Vec<Action> {
        self.contact.detect_pause(now);
        match event {
            Event::Tick => self.tick(now),
            Event::Call { id, call } => self.call(now, id, call),
            Event::CallDropped { id } => self.pending.remove_call(id),
            Event::PeerConnected { peer } => self.send_snapshot(now, peer),
            Event::ReplicaMessage { from, message } => self.receive(now, from, message),
            Event::GossipReceived { from, payload } => self.take_gossip(now, from, &payload),
            Event::Report { subscriber, report } => self.take_report(now, subscriber, &report),
            Event::SubscriberClosed { subscriber } => self.publisher.unsubscribe(subscriber),
            Event::Persisted { token, log_bytes } => self.persisted(now, token, log_bytes),
            Event::PersistFailed { token } => self.step(now, Input::PersistFailed { token }),
            Event::Compacted => self.compacting = false,
            Event::StateRestored { state } => self.restore_state(now, &state),
            Event::StateSaved => self.save_schedule.write_ended(),
            Event::Shutdown => self.shut_down(now),
        }
        std::mem::take(&mut self.actions)
    }

    /// The addresses of all other known controllers.
    pub fn peers(&self) -> Vec<SocketAddr> {
        let mut peers = self.replica.peer_endpoints();
        peers.extend(self.known_peers.excluding(self.settings.address.endpoint, &peers));
        peers
    }

    /// Whether the departure of an instance is committed, as far as known here.
    pub fn has_departed(&self, instance: &str) -> bool {
        records::departure_of(self.replica.committed_records(), instance).is_some()
    }

    /// Whether any caller waits for the outcome of a command.
    pub fn has_pending_commands(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Whether this controller is in contact with a majority of the voters and up to date.
    pub fn is_in_quorum(&self, now: u64) -> bool {
        self.contact.is_in_quorum() && self.replica.is_in_quorum(now)
    }

    /// The kinds of losses that the settings want tolerated but that would leave no majority of the voters.
    pub fn fatal_losses(&self) -> Vec<LossKind> {
        self.replica.fatal_losses()
    }

    fn tick(&mut self, now: u64) {
        self.step(now, Input::Tick);
        self.update_quorum(now);
        for pending in self.pending.take_due(now) {
            self.submit(now, pending);
        }
        self.answer_overdue(now);
        if now >= self.expiry_at {
            self.expire(now);
        }
        if self.is_gossip_due(now) {
            self.send_changes(now);
        }
        self.save_state_if_due(now);
        let links_are_due = now >= self.link_at;
        if links_are_due {
            self.send_links(now);
        }
        if links_are_due || self.publish_pending || self.are_instances_due(now) {
            self.publish(now);
        }
    }

    fn expire(&mut self, now: u64) {
        self.expiry_at = now + EXPIRY_MS;
        self.count_silence(now);
        self.registry.expire(now);
        self.leases.expire(now);
        self.known_peers.remove_expired(now);
    }
}
