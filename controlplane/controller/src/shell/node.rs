//! The state machine with the connections and the disk that its actions go to.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use spdlog::{info, warn};
use tokio::sync::oneshot;
use whinspindle_distribution::frame::FrameKind;
use whinspindle_distribution::{SubscriberId, ToBalancer, encode_to_balancer};
use whinspindle_replica::LossKind;

use super::clock::Clock;
use super::disk::{Disk, DiskReport};
use super::outbox::Outbox;
use super::peers::{PeerLink, PeerLinks};
use super::reported::Reported;
use crate::api::{Call, Response};
use crate::controller::{Action, Controller, Event};
use crate::pending::CallId;

/// A balancer that doesn't read gets a new connection once so many bytes wait for it.
const MAX_BALANCER_BYTES: usize = 8 * 1024 * 1024;
/// Interval at which the connections to other controllers are looked at.
const LINK_CHECK_MS: u64 = 300;

/// The node as the tasks of the process share it. It is never borrowed across a wait.
pub type SharedNode = Rc<RefCell<Node>>;

/// A call whose answer its task waits for.
struct WaitingCall {
    sender: oneshot::Sender<Response>,
    /// What an operator asked for.
    order: Option<String>,
}

/// The bytes of the last message to a balancer: most balancers are sent the same, and share them.
#[derive(Default)]
struct EncodedMessage {
    last: Option<(ToBalancer, Bytes)>,
}

impl EncodedMessage {
    fn of(&mut self, message: ToBalancer) -> Bytes {
        if let Some((last, payload)) = &self.last
            && *last == message
        {
            return payload.clone();
        }
        let payload = Bytes::from(encode_to_balancer(&message));
        self.last = Some((message, payload.clone()));
        payload
    }
}

/// One controller process.
pub struct Node {
    pub clock: Clock,
    controller: Controller,
    calls: HashMap<CallId, WaitingCall>,
    last_call: u64,
    subscribers: HashMap<SubscriberId, Rc<Outbox>>,
    last_subscriber: u64,
    peers: PeerLinks,
    disk: Disk,
    links_checked_at: u64,
    was_in_quorum: bool,
    fatal_losses: Reported<Vec<LossKind>>,
}

impl Node {
    /// The controller's figures as OpenMetrics text.
    pub fn metrics(&self) -> String {
        self.controller.metrics(self.clock.now())
    }

    pub fn new(clock: Clock, controller: Controller, peers: PeerLinks, disk: Disk) -> Node {
        Node {
            clock,
            controller,
            calls: HashMap::new(),
            last_call: 0,
            subscribers: HashMap::new(),
            last_subscriber: 0,
            peers,
            disk,
            links_checked_at: 0,
            was_in_quorum: false,
            fatal_losses: Reported::default(),
        }
    }

    /// Hands an event to the state machine and does what it wants.
    pub fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        let actions = self.controller.handle(now, event);
        self.perform(now, actions);
    }

    /// Does what the state machine wants.
    pub fn perform(&mut self, now: u64, actions: Vec<Action>) {
        let mut encoded = EncodedMessage::default();
        for action in actions {
            match action {
                Action::Answer { id, response } => self.answer(id, response),
                Action::SendPeer { to, kind, payload } => self.peers.send(now, to, kind, payload),
                Action::SendBalancer { to, message } => self.send_balancer(now, to, encoded.of(message)),
                Action::Persist { token, write } => self.disk.persist(token, write),
                Action::Compact { state } => self.disk.compact(state),
                Action::Remember { memory } => self.disk.remember(memory),
            }
        }
    }

    /// Some time has passed.
    pub fn tick(&mut self) {
        self.handle(Event::Tick);
        let now = self.clock.now();
        if now >= self.links_checked_at + LINK_CHECK_MS {
            self.links_checked_at = now;
            self.peers.renew_silent(now);
            self.peers.end_unused(now, &self.controller.peers());
            self.report_fatal_losses(now);
        }
        let in_quorum = self.controller.is_in_quorum(now);
        if in_quorum != self.was_in_quorum {
            self.was_in_quorum = in_quorum;
            info!("{}", if in_quorum { "in a quorum" } else { "out of quorum" });
        }
    }

    fn report_fatal_losses(&mut self, now: u64) {
        let fatal = self.controller.fatal_losses();
        let Some(fatal) = self.fatal_losses.changed(now, fatal) else { return };
        if fatal.is_empty() {
            info!("a majority of the voters outlives each loss that is to be tolerated");
            return;
        }
        let names: Vec<&str> = fatal.iter().map(|kind| kind.name()).collect();
        warn!("no majority of the voters would outlive the tolerated loss of {}", names.join(", "));
    }

    /// Takes a call; its answer comes through the receiver.
    pub fn call(&mut self, call: Call) -> (CallId, oneshot::Receiver<Response>) {
        self.last_call += 1;
        let id = CallId(self.last_call);
        let (sender, receiver) = oneshot::channel();
        self.calls.insert(id, WaitingCall { sender, order: call.order_name() });
        self.handle(Event::Call { id, call });
        (id, receiver)
    }

    /// A caller has gone, or has its answer.
    pub fn end_call(&mut self, id: CallId) {
        if let Some(call) = self.calls.remove(&id) {
            if let Some(order) = call.order {
                info!("order {order}: its caller has gone");
            }
            self.handle(Event::CallDropped { id });
        }
    }

    /// Whether callers wait.
    pub fn has_calls(&self) -> bool {
        !self.calls.is_empty()
    }

    /// Adds a connection of a balancer.
    pub fn subscribe(&mut self) -> (SubscriberId, Rc<Outbox>) {
        self.last_subscriber += 1;
        let id = SubscriberId(self.last_subscriber);
        let outbox = Rc::new(Outbox::new(MAX_BALANCER_BYTES));
        self.subscribers.insert(id, Rc::clone(&outbox));
        (id, outbox)
    }

    pub fn unsubscribe(&mut self, subscriber: SubscriberId) {
        self.subscribers.remove(&subscriber);
        self.handle(Event::SubscriberClosed { subscriber });
    }

    /// Something was read from a controller.
    pub fn heard_of_peer(&mut self, peer: SocketAddr) {
        let now = self.clock.now();
        self.peers.heard(now, peer);
    }

    /// The connection to a controller stands.
    pub fn peer_connected(&mut self, link: &PeerLink) {
        let now = self.clock.now();
        link.connected(now);
        self.handle(Event::PeerConnected { peer: link.peer() });
    }

    pub fn disk_reported(&mut self, report: DiskReport) {
        match report {
            DiskReport::Persisted { tokens, log_bytes } => {
                for token in tokens {
                    self.handle(Event::Persisted { token, log_bytes });
                }
            }
            DiskReport::PersistFailed { tokens } => {
                for token in tokens {
                    self.handle(Event::PersistFailed { token });
                }
            }
            DiskReport::Compacted => self.handle(Event::Compacted),
            DiskReport::Recalled { memory } => self.handle(Event::Recalled { memory: memory.into() }),
            DiskReport::Remembered => self.handle(Event::Remembered),
        }
    }

    fn answer(&mut self, id: CallId, response: Response) {
        if let Some(call) = self.calls.remove(&id) {
            if let Some(order) = call.order {
                info!("order {order}: {response}");
            }
            // The caller may have gone in the meantime.
            let _ = call.sender.send(response);
        }
    }

    fn send_balancer(&mut self, now: u64, to: SubscriberId, payload: Bytes) {
        if let Some(outbox) = self.subscribers.get(&to) {
            outbox.push(now, FrameKind::ToBalancer, payload);
        }
    }
}
