//! The controller as a state machine. Its inputs are calls, frames and finished disk writes; its outputs are
//! answers, frames and disk writes.
//!
//! [`calls`] handles the calls of operators, upstreams and clients. [`submission`] and [`replication`] pass
//! commands through the chain. [`gossip`] exchanges observations with other controllers, and [`publication`]
//! sends updates to balancers. [`readiness`] and [`saved_state`] handle the time after a restart.

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
use crate::evacuation_admission::EvacuationAdmission;
use crate::fleet_state::FleetState;
use crate::host_region_cache::HostRegionCache;
use crate::known_peers::KnownPeers;
use crate::pending_commands::PendingCommands;
use crate::protocol_rules::{ProtocolRules, StandardRules};
use crate::quorum_contact::QuorumContact;
use crate::save_schedule::SaveSchedule;
use crate::silence_grace::SilenceGrace;

/// The interval at which silent instances and balancers are removed, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 300;

/// The settings of a controller and of its deployment.
#[derive(Clone, Debug)]
pub struct ControllerSettings {
    /// The name of the controller's node.
    pub node: String,
    /// The address to which other controllers and balancers connect, with its zone and region.
    pub address: ControllerAddress,
    /// The region of each zone.
    pub zones: BTreeMap<String, String>,
    /// The time between two heartbeats of an upstream instance, in milliseconds.
    pub heartbeat_ms: u64,
}

/// One controller. The caller passes the time in milliseconds of a monotonic clock.
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
    quorum_contact: QuorumContact,
    evacuation_admission: EvacuationAdmission,
    /// The time after the start during which the controller discovers instances and balancers before it
    /// publishes them, in milliseconds.
    discovery_ms: u64,
    /// Whether another controller has sent a complete snapshot of its observations.
    received_complete_state: bool,
    /// Whether saved state was restored, from this disk or from another controller.
    has_restored_state: bool,
    save_schedule: SaveSchedule,
    shutting_down: bool,
    is_compacting: bool,
    next_gossip_at: u64,
    last_gossip_at: u64,
    next_link_at: u64,
    next_expiry_at: u64,
    /// The version of the instance registry that was last published.
    published_instances_version: u64,
    /// The registry's withdrawal count that was last published.
    published_withdrawal_count: u64,
    instances_published_at: Option<u64>,
    /// Whether a change must be published at the next tick.
    is_publish_pending: bool,
    /// The time at which each peer was last sent a snapshot.
    snapshot_sent_at: BTreeMap<SocketAddr, u64>,
    /// Determines when the silence of upstreams counts again after a loss of contact.
    silence_grace: SilenceGrace,
    /// The list of controllers that was last sent to the subscribers.
    announced_controllers: Vec<ControllerAddress>,
    actions: Vec<Action>,
}

impl Controller {
    /// Creates a controller around a replica and returns its first actions. `outputs` are the first outputs
    /// of the replica.
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
    /// Like [`Controller::new`], with the protocol rules `R`.
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
            quorum_contact: QuorumContact::new(now),
            evacuation_admission: EvacuationAdmission::new(now),
            discovery_ms,
            received_complete_state: false,
            has_restored_state: false,
            save_schedule: SaveSchedule::default(),
            shutting_down: false,
            is_compacting: false,
            next_gossip_at: now,
            last_gossip_at: now,
            next_link_at: now,
            next_expiry_at: now,
            published_instances_version: 0,
            published_withdrawal_count: 0,
            instances_published_at: None,
            is_publish_pending: false,
            snapshot_sent_at: BTreeMap::new(),
            silence_grace,
            announced_controllers: Vec::new(),
            actions: Vec::new(),
        };
        controller.apply_departures();
        controller.observe_evacuations(now);
        controller.handle_outputs(now, outputs);
        let actions = std::mem::take(&mut controller.actions);
        (controller, actions)
    }

    /// Handles an event. Returns the actions to perform, in order.
    pub fn handle(&mut self, now: u64, event: Event) -> Vec<Action> {
        self.quorum_contact.detect_pause(now);
        self.evacuation_admission.observe_time(now);
        match event {
            Event::Tick => self.tick(now),
            Event::Call { id, call } => self.handle_call(now, id, call),
            Event::CallDropped { id } => self.pending.remove_call(id),
            Event::PeerConnected { peer } => self.send_snapshot(now, peer),
            Event::ReplicaMessage { from, message } => self.handle_replica_message(now, from, message),
            Event::GossipReceived { from, payload } => self.merge_gossip(now, from, &payload),
            Event::Report { subscriber, report } => self.handle_report(now, subscriber, &report),
            Event::SubscriberClosed { subscriber } => self.publisher.unsubscribe(subscriber),
            Event::Persisted { token, log_bytes } => self.handle_persisted(now, token, log_bytes),
            Event::PersistFailed { token } => self.step_replica(now, Input::PersistFailed { token }),
            Event::Compacted => self.is_compacting = false,
            Event::StateRestored { state } => self.restore_state(now, &state),
            Event::StateSaved => self.save_schedule.record_write_end(),
            Event::Shutdown => self.shut_down(now),
        }
        std::mem::take(&mut self.actions)
    }

    /// The internal addresses of all other known controllers.
    pub fn peers(&self) -> Vec<SocketAddr> {
        let mut peers = self.replica.peer_endpoints();
        peers.extend(self.known_peers.excluding(self.settings.address.endpoint, &peers));
        peers
    }

    /// Whether the departure of an instance is committed, according to this controller's records.
    pub fn has_departed(&self, instance: &str) -> bool {
        records::departure_of(self.replica.committed_records(), instance).is_some()
    }

    /// Whether any caller is waiting for the outcome of a command.
    pub fn has_pending_commands(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Whether this controller is up to date and in contact with a majority of the voters.
    pub fn is_in_quorum(&self, now: u64) -> bool {
        self.quorum_contact.is_in_quorum() && self.replica.is_in_quorum(now)
    }

    /// The kinds of losses that the settings require to be tolerated, but after which no majority of the
    /// voters would remain.
    pub fn fatal_losses(&self) -> Vec<LossKind> {
        self.replica.fatal_losses()
    }

    fn tick(&mut self, now: u64) {
        self.step_replica(now, Input::Tick);
        self.update_quorum(now);
        for pending in self.pending.take_due(now) {
            self.submit(now, pending);
        }
        self.answer_overdue_commands(now);
        if now >= self.next_expiry_at {
            self.expire(now);
        }
        if self.is_gossip_due(now) {
            self.send_changes(now);
        }
        self.save_state_if_due(now);
        let links_are_due = now >= self.next_link_at;
        if links_are_due {
            self.send_links(now);
        }
        if links_are_due || self.is_publish_pending || self.are_instances_due(now) {
            self.publish(now);
        }
    }

    fn expire(&mut self, now: u64) {
        self.next_expiry_at = now + EXPIRY_INTERVAL_MS;
        self.update_silence_grace(now);
        self.registry.expire(now);
        self.leases.expire(now);
        self.known_peers.remove_expired(now);
    }
}
