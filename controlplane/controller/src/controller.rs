//! The controller as a state machine: calls, frames and finished disk writes in; answers, frames and disk writes out.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use http::StatusCode;
use whinspindle_distribution::frame::FrameKind;
use whinspindle_distribution::{
    Configured, ControllerAddress, Evacuations, Gossip, GossipScope, Instance, Instances, Link, Publisher,
    Report, SubscriberId, ToBalancer, decode_gossip, encode_gossip,
};
use whinspindle_registry::{
    HeartbeatEffect, InstanceRecord, InstanceRegistry, LeaseTable, LeaseTiming, RegistryTiming,
};
use whinspindle_replica::{
    DurableWrite, Input, LossKind, Message, Output, RecordWrite, Replica, Reply, SubmitError,
};

use crate::acquaintances::Acquaintances;
use crate::api::{Call, Refusal, Response};
use crate::directory::{self, Place};
use crate::exchange;
use crate::fleet::FleetState;
use crate::memory::Memory;
use crate::orders::{self, Departure, Orders, Outcome};
use crate::pending::{CallId, PendingOrder, PendingOrders, Request};
use crate::status;

/// An order gets its answer within this time, since its caller gives up after a second of silence.
const ORDER_MS: u64 = 900;
/// While there is no quorum the caller soon goes on to another controller.
const ORDER_WITHOUT_QUORUM_MS: u64 = 250;
/// A large body may take longer: a millisecond for so many bytes.
const ORDER_BYTES_PER_MS: u64 = 4096;
/// An order that failed without a known outcome is submitted again after this time.
const RESUBMIT_MS: u64 = 100;
/// Heartbeats and renewals that change nothing are told to the other controllers at this interval.
const GOSSIP_REFRESH_MS: u64 = 400;
/// They wait this much longer for other messages to go along with.
const GOSSIP_PATIENCE_MS: u64 = 200;
/// Interval of the messages that show balancers that this controller is alive.
const LINK_MS: u64 = 300;
/// Instances that come, or are cold for another time, are told at most this often: many do so together.
const INSTANCES_INTERVAL_MS: u64 = 300;
/// Interval at which silent instances and balancers are looked for.
const EXPIRY_MS: u64 = 300;
/// After a start all upstreams and balancers have been heard of within this time, and within so many heartbeats.
const LEARNING_MS: u64 = 3_000;
const LEARNING_HEARTBEATS: u64 = 2;
/// Without a quorum, the records that were found on the disk are told after this time.
const LONE_START_MS: u64 = 3_000;

/// What a controller has to know of itself and its deployment.
#[derive(Clone, Debug)]
pub struct ControllerSettings {
    pub node: String,
    pub address: ControllerAddress,
    /// Region of each zone.
    pub zones: BTreeMap<String, String>,
    pub heartbeat_ms: u64,
}

/// What happens to a controller.
#[derive(Debug)]
pub enum Event {
    /// Some time has passed.
    Tick,
    Call {
        id: CallId,
        call: Call,
    },
    /// The caller doesn't wait any more.
    CallDropped {
        id: CallId,
    },
    /// A connection to another controller stands.
    PeerConnected {
        peer: SocketAddr,
    },
    ReplicaMessage {
        from: SocketAddr,
        message: Message,
    },
    GossipReceived {
        payload: Bytes,
    },
    Report {
        subscriber: SubscriberId,
        report: Report,
    },
    SubscriberClosed {
        subscriber: SubscriberId,
    },
    Persisted {
        token: u64,
        log_bytes: usize,
    },
    PersistFailed {
        token: u64,
    },
    /// A checkpoint that shortens the log has ended, well or not.
    Compacted,
    /// The disk holds what an earlier process remembered.
    Recalled {
        memory: Bytes,
    },
    /// A write of `Action::Remember` has ended, well or not.
    Remembered,
    /// The process is about to stop.
    Leave,
}

/// What a controller wants done.
#[derive(Debug)]
pub enum Action {
    Answer {
        id: CallId,
        response: Response,
    },
    SendPeer {
        to: SocketAddr,
        kind: FrameKind,
        payload: Bytes,
    },
    SendBalancer {
        to: SubscriberId,
        message: ToBalancer,
    },
    Persist {
        token: u64,
        write: DurableWrite,
    },
    /// Write a checkpoint that shortens the log.
    Compact {
        state: Vec<u8>,
    },
    /// Write what a restarted process is to recall; not urgent.
    Remember {
        memory: Vec<u8>,
    },
}

/// One controller.
pub struct Controller {
    settings: ControllerSettings,
    replica: Replica<Orders>,
    registry: InstanceRegistry,
    leases: LeaseTable,
    publisher: Publisher,
    fleet: FleetState,
    pending: PendingOrders,
    acquaintances: Acquaintances,
    started_at: u64,
    /// When the replica was last seen in a quorum.
    quorum_at: Option<u64>,
    was_in_quorum: bool,
    /// How long a controller that has just started learns before it tells what it knows.
    learning_ms: u64,
    /// Another controller has told all that lives.
    is_taught: bool,
    /// What an earlier process knew has been found, here or by another controller.
    has_recalled: bool,
    memory: Memory,
    leaving: bool,
    compacting: bool,
    gossip_at: u64,
    link_at: u64,
    expiry_at: u64,
    /// The registry's version that the publisher holds.
    published_instances: u64,
    /// The registry's count of withdrawals that the publisher holds.
    published_withdrawals: u64,
    instances_published_at: Option<u64>,
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
        let timing = RegistryTiming { heartbeat_ms: settings.heartbeat_ms };
        let learning_ms = LEARNING_MS.max(settings.heartbeat_ms * LEARNING_HEARTBEATS);
        let mut controller = Controller {
            settings,
            replica,
            registry: InstanceRegistry::new(timing),
            leases: LeaseTable::new(LeaseTiming::default()),
            publisher: Publisher::new(),
            fleet: FleetState::default(),
            pending: PendingOrders::default(),
            acquaintances: Acquaintances::default(),
            started_at: now,
            quorum_at: None,
            was_in_quorum: false,
            learning_ms,
            is_taught: false,
            has_recalled: false,
            memory: Memory::default(),
            leaving: false,
            compacting: false,
            gossip_at: now,
            link_at: now,
            expiry_at: now,
            published_instances: 0,
            published_withdrawals: 0,
            instances_published_at: None,
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

    pub fn is_in_quorum(&self, now: u64) -> bool {
        self.replica.is_in_quorum(now)
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
        for call in self.pending.take_overdue(now) {
            self.answer(call, Response::unavailable("no outcome is known yet"));
        }
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
        if links_are_due || self.are_instances_due(now) {
            self.publish(now);
        }
    }

    /// Changes that are not urgent go along with the replica's own messages, in the same packets.
    fn is_gossip_due(&self, now: u64) -> bool {
        let goes_along = self.actions.iter().any(|action| matches!(action, Action::SendPeer { .. }));
        now >= self.gossip_at && (goes_along || now >= self.gossip_at + GOSSIP_PATIENCE_MS)
    }

    fn note_quorum(&mut self, now: u64) {
        let in_quorum = self.replica.is_in_quorum(now);
        if in_quorum {
            self.quorum_at = Some(now);
        }
        self.registry.set_isolated(now, !in_quorum);
        self.leases.set_isolated(!in_quorum);
        let is_gained = !std::mem::replace(&mut self.was_in_quorum, in_quorum) && in_quorum;
        if is_gained {
            // Balancers may wait for just that.
            self.send_links(now);
            self.publish(now);
        }
    }

    fn expire(&mut self, now: u64) {
        self.expiry_at = now + EXPIRY_MS;
        self.registry.expire(now);
        self.leases.expire(now);
        self.acquaintances.forget_old(now);
    }

    // Calls.

    fn call(&mut self, now: u64, id: CallId, call: Call) {
        match call {
            Call::Replace { base, generation, body } => {
                self.order(now, id, Request::Replace { base, generation, body });
            }
            Call::Fetch => self.order(now, id, Request::Fetch),
            Call::Evacuate { zone, .. } if !self.settings.zones.contains_key(&zone) => {
                self.answer(id, Refusal::UnknownZone.into());
            }
            Call::Evacuate { zone, evacuated } => {
                self.order(now, id, Request::Evacuate { zone, evacuated });
            }
            Call::Heartbeat { instance, heartbeat } => {
                let effect = self.registry.heartbeat(now, &instance, &heartbeat);
                self.heartbeat_taken(now, id, instance, effect);
            }
            Call::Deregister { instance } => self.depart(now, id, instance, Departure::Gone),
            Call::Resolve { region, zone } => self.resolve(now, id, &region, &zone),
            Call::Status => self.answer_status(now, id),
        }
    }

    fn heartbeat_taken(&mut self, now: u64, id: CallId, instance: String, effect: HeartbeatEffect) {
        match effect {
            HeartbeatEffect::Accepted { changed } => {
                self.answer(id, Response::accepted());
                if changed {
                    self.instances_changed(now);
                }
            }
            HeartbeatEffect::Stale => self.answer(id, Response::accepted()),
            HeartbeatEffect::StartsDraining => {
                self.instances_changed(now);
                self.depart(now, id, instance, Departure::Draining);
            }
            HeartbeatEffect::Overfull => {
                self.answer(id, Response::unavailable("more instances than this controller holds"));
            }
        }
    }

    fn depart(&mut self, now: u64, id: CallId, instance: String, departure: Departure) {
        if orders::departure_of(self.replica.committed(), &instance) >= Some(departure) {
            self.answer(id, Response::accepted());
            return;
        }
        self.order(now, id, Request::Drain { instance, departure });
    }

    fn resolve(&mut self, now: u64, id: CallId, region: &str, zone: &str) {
        let region = self.settings.zones.get(zone).map_or(region, String::as_str);
        let addresses = directory::addresses_for(&self.leases, now, Place { region, zone });
        let response = match directory::answer(&addresses) {
            Some(body) if self.may_tell(now) => Response::ok(body),
            _ => Response::unavailable("no balancer is known yet"),
        };
        self.answer(id, response);
    }

    fn answer_status(&mut self, now: u64, id: CallId) {
        let body = status::describe(&status::Summary {
            node: &self.settings.node,
            replica: &self.replica,
            registry: &self.registry,
            leases: &self.leases,
            publisher: &self.publisher,
            pending: self.pending.len(),
            leaving: self.leaving,
            now,
        });
        self.answer(id, Response::ok(body));
    }

    fn answer(&mut self, id: CallId, response: Response) {
        self.actions.push(Action::Answer { id, response });
    }

    // Orders.

    fn order(&mut self, now: u64, call: CallId, request: Request) {
        let deadline = now + self.time_for(now, &request);
        self.submit(now, PendingOrder { call, request, seen: 0, deadline });
    }

    fn time_for(&self, now: u64, request: &Request) -> u64 {
        let lost_quorum = self.quorum_at.is_none_or(|at| at + ORDER_MS < now);
        if lost_quorum && !self.replica.is_in_quorum(now) {
            return ORDER_WITHOUT_QUORUM_MS;
        }
        match request {
            Request::Replace { body, .. } => ORDER_MS + body.len() as u64 / ORDER_BYTES_PER_MS,
            _ => ORDER_MS,
        }
    }

    fn submit(&mut self, now: u64, mut pending: PendingOrder) {
        if let Request::Evacuate { zone, .. } = &pending.request {
            pending.seen = pending.seen.max(orders::evacuation_sequence(self.replica.committed(), zone));
        }
        let call = pending.call;
        let Ok(command) = pending.order().encode() else {
            self.answer(call, Response::unavailable("the order could not be written"));
            return;
        };
        let ticket = self.pending.submitted(pending);
        self.step(now, Input::Submit { ticket, command });
    }

    fn replied(&mut self, now: u64, ticket: u64, result: Result<Reply, SubmitError>) {
        let Some(pending) = self.pending.take(ticket) else { return };
        match result {
            Ok(reply) if pending.request == Request::Fetch => {
                self.answer(pending.call, fetched(reply.answer));
            }
            Ok(reply) => self.decided(now, pending, &reply.answer),
            Err(_) => self.pending.rest(now + RESUBMIT_MS, pending),
        }
    }

    fn decided(&mut self, now: u64, mut pending: PendingOrder, answer: &[u8]) {
        let response = match Outcome::decode(answer) {
            Ok(Outcome::Done) => Response::accepted(),
            Ok(Outcome::OtherBase { current }) => Response::failure(
                StatusCode::PRECONDITION_FAILED,
                &format!("the configuration in place is of generation {current}"),
            ),
            Ok(Outcome::NotAbove { current }) => Response::failure(
                StatusCode::CONFLICT,
                &format!("the generation is not above the current one, {current}"),
            ),
            Ok(Outcome::Overtaken { sequence }) if pending.deadline > now => {
                pending.seen = sequence;
                self.submit(now, pending);
                return;
            }
            Ok(Outcome::Overtaken { .. } | Outcome::Unreadable) | Err(_) => {
                Response::unavailable("the order was not carried out")
            }
        };
        self.answer(pending.call, response);
    }

    // The replica.

    fn step(&mut self, now: u64, input: Input) {
        let outputs = self.replica.handle(now, input);
        self.take_outputs(now, outputs);
    }

    fn receive(&mut self, now: u64, from: SocketAddr, message: Message) {
        if let Message::Heartbeat(heartbeat) = &message {
            self.acquaintances.mentioned(now, &heartbeat.heard);
        }
        self.step(now, Input::Message { from, message });
        if !self.was_in_quorum {
            self.note_quorum(now);
        }
    }

    fn take_outputs(&mut self, now: u64, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    let payload = Bytes::from(message.encode());
                    self.actions.push(Action::SendPeer { to, kind: FrameKind::Replica, payload });
                }
                Output::Persist { token, write } => self.actions.push(Action::Persist { token, write }),
                Output::Reply { ticket, result } => self.replied(now, ticket, result),
                Output::Committed { writes, .. } => self.committed(now, &writes),
                Output::Replaced => self.replaced(now),
            }
        }
    }

    fn committed(&mut self, now: u64, writes: &[RecordWrite]) {
        for write in writes {
            if let Some((instance, departure)) = orders::departure_in(write) {
                self.departed(instance, departure);
            }
        }
        self.publish(now);
    }

    fn replaced(&mut self, now: u64) {
        self.take_departures();
        self.publish(now);
    }

    fn take_departures(&mut self) {
        let departures: Vec<(String, Departure)> = orders::departures(self.replica.committed())
            .map(|(instance, departure)| (instance.to_owned(), departure))
            .collect();
        for (instance, departure) in departures {
            self.departed(&instance, departure);
        }
    }

    fn departed(&mut self, instance: &str, departure: Departure) {
        match departure {
            Departure::Draining => self.registry.drained(instance),
            Departure::Gone => self.registry.gone(instance),
        }
    }

    fn persisted(&mut self, now: u64, token: u64, log_bytes: usize) {
        self.step(now, Input::Persisted { token });
        if self.compacting {
            return;
        }
        if let Some(state) = self.replica.checkpoint_due(log_bytes) {
            self.compacting = true;
            self.actions.push(Action::Compact { state });
        }
    }

    fn leave(&mut self, now: u64) {
        self.leaving = true;
        self.step(now, Input::Leave);
        self.send_links(now);
    }

    // Other controllers.

    fn instances_changed(&mut self, now: u64) {
        self.send_changes(now);
        self.publish(now);
    }

    /// Tells all other controllers what was heard here. Those to which the replica sends nothing get an empty message
    /// too, so that the connection is known to stand.
    fn send_changes(&mut self, now: u64) {
        self.gossip_at = now + GOSSIP_REFRESH_MS;
        let is_empty = !self.registry.has_changes() && !self.leases.has_changes();
        let gossip = exchange::changes(now, &mut self.registry, &mut self.leases);
        let payload = Bytes::from(encode_gossip(&gossip));
        let known = self.replica.peers();
        let beyond = self.acquaintances.beyond(self.settings.address.endpoint, &known);
        let known = known.into_iter().filter(|_| !is_empty);
        for to in known.chain(beyond) {
            self.actions.push(Action::SendPeer { to, kind: FrameKind::Gossip, payload: payload.clone() });
        }
    }

    fn send_snapshot(&mut self, now: u64, to: SocketAddr) {
        let scope = if self.has_heard_all(now) { GossipScope::Complete } else { GossipScope::Heard };
        let gossip = exchange::heard(now, scope, &self.registry, &self.leases);
        let payload = Bytes::from(encode_gossip(&gossip));
        self.actions.push(Action::SendPeer { to, kind: FrameKind::Gossip, payload });
        self.send_recalled(now, to);
    }

    /// Of use to a controller that has started at about the same time and found its disk empty.
    fn send_recalled(&mut self, now: u64, to: SocketAddr) {
        if !self.has_recalled || self.has_heard_all(now) {
            return;
        }
        let gossip = exchange::recalled(now, &self.registry, &self.leases);
        let payload = Bytes::from(encode_gossip(&gossip));
        self.actions.push(Action::SendPeer { to, kind: FrameKind::Gossip, payload });
    }

    fn take_gossip(&mut self, now: u64, payload: &[u8]) {
        let Ok(gossip) = decode_gossip(payload) else { return };
        if gossip.scope == GossipScope::Recalled {
            self.take_recalled(now, gossip);
            return;
        }
        let mut changed = false;
        for instance in gossip.instances {
            changed |= self.registry.merge(now, exchange::instance_record(instance));
        }
        for lease in gossip.leases {
            changed |= self.leases.merge(now, exchange::lease_record(lease));
        }
        if gossip.scope == GossipScope::Complete && !self.has_heard_all(now) {
            self.is_taught = true;
            self.registry.drop_recalled();
            self.leases.drop_recalled();
            changed = true;
        }
        if changed {
            self.publish(now);
        }
    }

    // What outlives the process without being replicated.

    fn recall(&mut self, now: u64, memory: &[u8]) {
        let Ok(gossip) = decode_gossip(memory) else { return };
        self.take_recalled(now, gossip);
        for peer in self.peers() {
            self.send_recalled(now, peer);
        }
    }

    /// What was known before a start stands in for what is not heard of yet.
    fn take_recalled(&mut self, now: u64, gossip: Gossip) {
        if self.has_heard_all(now) {
            return;
        }
        for instance in gossip.instances {
            self.has_recalled |= self.registry.recall(now, exchange::instance_record(instance));
        }
        for lease in gossip.leases {
            self.has_recalled |= self.leases.recall(now, exchange::lease_record(lease));
        }
        self.publish(now);
    }

    fn remember(&mut self, now: u64) {
        let versions = (self.registry.version(), self.leases.version());
        if !self.has_heard_all(now) || !self.memory.is_due(now, versions) {
            return;
        }
        let gossip = exchange::memory(now, &self.registry, &self.leases);
        let cold_ms = gossip.instances.iter().map(|instance| instance.cold_ms).max();
        self.memory.writing(now, versions, cold_ms.unwrap_or(0));
        self.actions.push(Action::Remember { memory: encode_gossip(&gossip) });
    }

    // Balancers.

    fn take_report(&mut self, now: u64, subscriber: SubscriberId, report: &Report) {
        let is_new = !self.publisher.subscribers().any(|known| known == subscriber);
        self.publisher.reported(now, subscriber, report);
        let changed = self.leases.renew(now, exchange::lease_of(report));
        if is_new {
            let message = ToBalancer::Link(self.link(now, self.controllers(now)));
            self.actions.push(Action::SendBalancer { to: subscriber, message });
        }
        if changed {
            self.send_changes(now);
        }
        if changed || is_new {
            self.publish(now);
        }
    }

    fn send_links(&mut self, now: u64) {
        self.link_at = now + LINK_MS;
        let controllers = self.controllers(now);
        let told = if controllers == self.told_controllers { Vec::new() } else { controllers.clone() };
        self.told_controllers = controllers;
        let link = self.link(now, told);
        for to in self.publisher.subscribers() {
            self.actions.push(Action::SendBalancer { to, message: ToBalancer::Link(link.clone()) });
        }
    }

    fn link(&self, now: u64, controllers: Vec<ControllerAddress>) -> Link {
        Link { in_quorum: self.replica.is_in_quorum(now), leaving: self.leaving, controllers }
    }

    /// Sends each balancer what it lacks of the newest state.
    fn publish(&mut self, now: u64) {
        self.refresh_replicated(now);
        if self.may_tell(now) {
            self.refresh_instances(now);
            self.refresh_fleet(now);
        }
        let subscribers: Vec<SubscriberId> = self.publisher.subscribers().collect();
        for to in subscribers {
            if let Some(update) = self.publisher.update_for(now, to) {
                self.actions.push(Action::SendBalancer { to, message: ToBalancer::Update(update) });
            }
        }
    }

    /// A replica that has just started may hold old records; they are told only if a quorum doesn't come about soon.
    fn refresh_replicated(&mut self, now: u64) {
        if !self.may_tell_records(now) {
            return;
        }
        let records = self.replica.committed();
        let held = self.publisher.versions();
        if let Some(record) = records.get(orders::CONFIGURATION)
            && record.sequence > held.configured
        {
            let body = Bytes::from(record.value.to_vec());
            self.publisher.configure(Configured { sequence: record.sequence, body });
        }
        let (sequence, zones) = orders::evacuated_zones(records);
        if sequence > held.evacuations {
            self.publisher.evacuate(Evacuations { sequence, zones });
        }
    }

    fn may_tell_records(&self, now: u64) -> bool {
        let waited = self.quorum_at.is_some() || now >= self.started_at + LONE_START_MS;
        waited || self.replica.is_in_quorum(now)
    }

    /// Whether all upstreams and balancers that live have had the time to be known here, directly or by the other
    /// controllers.
    fn has_heard_all(&self, now: u64) -> bool {
        self.is_taught || now >= self.started_at + self.learning_ms
    }

    /// Whether what is known of upstreams and balancers is worth telling: before, it would be less than balancers may
    /// know already. What an earlier process knew stands in, once it is known who has departed since.
    fn may_tell(&self, now: u64) -> bool {
        self.has_heard_all(now) || (self.has_recalled && self.may_tell_records(now))
    }

    fn are_instances_due(&self, now: u64) -> bool {
        let has_rested = self.instances_published_at.is_none_or(|at| now >= at + INSTANCES_INTERVAL_MS);
        let is_urgent = self.registry.withdrawals() != self.published_withdrawals;
        self.registry.version() != self.published_instances && (has_rested || is_urgent)
    }

    fn refresh_instances(&mut self, now: u64) {
        if !self.are_instances_due(now) {
            return;
        }
        let version = self.registry.version();
        self.published_instances = version;
        self.published_withdrawals = self.registry.withdrawals();
        self.instances_published_at = Some(now);
        let list = self.registry.snapshot(now).into_iter().map(instance).collect();
        self.publisher.set_instances(now, Instances { version, list });
    }

    fn refresh_fleet(&mut self, now: u64) {
        let loads = self.leases.loads(now).into_iter().map(exchange::region_load).collect();
        if let Some(fleet) = self.fleet.update(now, self.leases.balancers(now), loads) {
            self.publisher.set_fleet(fleet);
        }
    }

    /// All controllers that are known, this one included: members of the view, and others that are heard.
    fn controllers(&self, now: u64) -> Vec<ControllerAddress> {
        let members = self.replica.view().members.iter();
        let members = members.map(|member| (member.endpoint, member.zone.as_str(), member.region.as_str()));
        let mut controllers = BTreeMap::new();
        for (endpoint, zone, region) in members.chain(self.replica.heard(now)) {
            let (zone, region) = (zone.to_owned(), region.to_owned());
            controllers.insert(endpoint, ControllerAddress { endpoint, zone, region });
        }
        controllers.insert(self.settings.address.endpoint, self.settings.address.clone());
        controllers.into_values().collect()
    }
}

fn fetched(body: Vec<u8>) -> Response {
    if body.is_empty() {
        return Response::failure(StatusCode::NOT_FOUND, "there is no configuration yet");
    }
    Response::ok(Bytes::from(body))
}

fn instance(record: InstanceRecord) -> Instance {
    Instance {
        id: record.id,
        service: record.service,
        address: record.address,
        zone: record.zone,
        slots: record.slots,
        draining: record.draining,
        cold_ms: record.cold_ms,
    }
}
