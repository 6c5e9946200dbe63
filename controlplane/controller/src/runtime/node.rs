//! The state machine with the connections and the disk that its actions are carried out on.

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
use super::peer_links::{ConnectionObserver, PeerLink, PeerLinks};
use super::send_queue::SendQueue;
use super::stable_value::StableValue;
use crate::api::{Call, Response};
use crate::controller::{Action, Controller, Event};
use crate::pending_commands::CallId;

/// The bytes queued for a balancer beyond which its connection is closed.
const MAX_BALANCER_BYTES: usize = 8 * 1024 * 1024;
/// The interval at which connections to other controllers are checked for silence and disuse.
const PEER_CHECK_MS: u64 = 300;

/// The node as the tasks of the process share it. It is never borrowed across an `await`.
pub type SharedNode = Rc<RefCell<Node>>;

/// A call whose task waits for the response.
struct WaitingCall {
    sender: oneshot::Sender<Response>,
    /// The operator command for the log, if it is one.
    command: Option<String>,
}

/// A cache of the last encoded message: most balancers are sent the same one, and share its bytes.
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
    subscribers: HashMap<SubscriberId, Rc<SendQueue>>,
    last_subscriber: u64,
    peers: PeerLinks,
    disk: Disk,
    peers_checked_at: u64,
    was_in_quorum: bool,
    fatal_losses: StableValue<Vec<LossKind>>,
}

impl Node {
    /// A node around a controller; nothing is sent before the first event.
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
            peers_checked_at: 0,
            was_in_quorum: false,
            fatal_losses: StableValue::default(),
        }
    }

    /// The controller's metrics as OpenMetrics text.
    pub fn metrics(&self) -> String {
        self.controller.metrics(self.clock.now())
    }

    /// Hands an event to the state machine and carries out the actions it returns.
    pub fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        let actions = self.controller.handle(now, event);
        self.perform(now, actions);
    }

    /// Carries out actions of the state machine.
    pub fn perform(&mut self, now: u64, actions: Vec<Action>) {
        let mut encoded = EncodedMessage::default();
        for action in actions {
            match action {
                Action::Answer { id, response } => self.answer(id, response),
                Action::SendPeer { to, kind, payload } => self.peers.send(now, to, kind, payload),
                Action::SendBalancer { to, message } => self.send_balancer(now, to, encoded.of(message)),
                Action::Persist { token, write } => self.disk.persist(token, write),
                Action::Compact { state } => self.disk.compact(state),
                Action::SaveState { state } => self.disk.save_state(state),
            }
        }
    }

    /// To be called periodically: advances the state machine and checks the connections.
    pub fn tick(&mut self) {
        self.handle(Event::Tick);
        let now = self.clock.now();
        if now >= self.peers_checked_at + PEER_CHECK_MS {
            self.peers_checked_at = now;
            self.peers.reconnect_silent(now);
            self.peers.close_unused(now, &self.controller.peers());
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

    /// Starts a call; its response arrives at the receiver.
    pub fn call(&mut self, call: Call) -> (CallId, oneshot::Receiver<Response>) {
        self.last_call += 1;
        let id = CallId(self.last_call);
        let (sender, receiver) = oneshot::channel();
        self.calls.insert(id, WaitingCall { sender, command: call.command_description() });
        self.handle(Event::Call { id, call });
        (id, receiver)
    }

    /// Withdraws a call that is no longer waited for; no effect after its answer.
    pub fn end_call(&mut self, id: CallId) {
        if let Some(call) = self.calls.remove(&id) {
            if let Some(command) = call.command {
                info!("command {command}: the caller has closed its connection");
            }
            self.handle(Event::CallDropped { id });
        }
    }

    /// Whether any caller waits for a response.
    pub fn has_calls(&self) -> bool {
        !self.calls.is_empty()
    }

    /// Registers the connection of a balancer; its task writes what the queue receives.
    pub fn subscribe(&mut self) -> (SubscriberId, Rc<SendQueue>) {
        self.last_subscriber += 1;
        let id = SubscriberId(self.last_subscriber);
        let send_queue = Rc::new(SendQueue::new(MAX_BALANCER_BYTES));
        self.subscribers.insert(id, Rc::clone(&send_queue));
        (id, send_queue)
    }

    /// Removes the connection of a balancer.
    pub fn unsubscribe(&mut self, subscriber: SubscriberId) {
        self.subscribers.remove(&subscriber);
        self.handle(Event::SubscriberClosed { subscriber });
    }

    /// Records that a frame was read from a controller.
    pub fn peer_frame_received(&mut self, peer: SocketAddr) {
        let now = self.clock.now();
        self.peers.frame_received(now, peer);
    }

    fn peer_connected(&mut self, link: &PeerLink) {
        let now = self.clock.now();
        link.mark_connected(now);
        self.handle(Event::PeerConnected { peer: link.peer() });
    }

    /// Passes a finished job of the disk's thread to the state machine.
    pub fn handle_disk_report(&mut self, report: DiskReport) {
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
            DiskReport::StateRestored { state } => self.handle(Event::StateRestored { state: state.into() }),
            DiskReport::StateSaved => self.handle(Event::StateSaved),
        }
    }

    fn answer(&mut self, id: CallId, response: Response) {
        if let Some(call) = self.calls.remove(&id) {
            if let Some(command) = call.command {
                info!("command {command}: {response}");
            }
            // The caller may have gone in the meantime.
            let _ = call.sender.send(response);
        }
    }

    fn send_balancer(&mut self, now: u64, to: SubscriberId, payload: Bytes) {
        if let Some(send_queue) = self.subscribers.get(&to) {
            send_queue.push(now, FrameKind::ToBalancer, payload);
        }
    }
}

impl ConnectionObserver for RefCell<Node> {
    fn connected(&self, link: &PeerLink) {
        self.borrow_mut().peer_connected(link);
    }
}
