//! The node of a controller process. It owns the state machine, the connections and the disk.

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

/// The number of bytes queued for a balancer above which its connection is closed.
const MAX_BALANCER_QUEUE_BYTES: usize = 8 * 1024 * 1024;
/// The interval at which connections to other controllers are checked for silent and unused ones, in
/// milliseconds.
const PEER_CHECK_INTERVAL_MS: u64 = 300;

/// The node, shared by the tasks of the process. It must not be borrowed across an `await`.
pub type SharedNode = Rc<RefCell<Node>>;

/// A call whose task is waiting for the response.
struct WaitingCall {
    sender: oneshot::Sender<Response>,
    /// The description for the log, if the call is an operator command.
    command_description: Option<String>,
}

/// A cache of the last encoded message. Most balancers receive the same message and share its bytes.
#[derive(Default)]
struct EncodedMessageCache {
    last_message: Option<(ToBalancer, Bytes)>,
}

impl EncodedMessageCache {
    fn encode(&mut self, message: ToBalancer) -> Bytes {
        if let Some((last_message, payload)) = &self.last_message
            && *last_message == message
        {
            return payload.clone();
        }
        let payload = Bytes::from(encode_to_balancer(&message));
        self.last_message = Some((message, payload.clone()));
        payload
    }
}

/// The node of one controller process.
pub struct Node {
    pub clock: Clock,
    controller: Controller,
    calls: HashMap<CallId, WaitingCall>,
    last_call_id: u64,
    subscribers: HashMap<SubscriberId, Rc<SendQueue>>,
    last_subscriber_id: u64,
    peer_links: PeerLinks,
    disk: Disk,
    peers_checked_at: u64,
    was_in_quorum: bool,
    fatal_losses: StableValue<Vec<LossKind>>,
}

impl Node {
    /// Creates a node around a controller. Nothing is sent before the first event.
    pub fn new(clock: Clock, controller: Controller, peer_links: PeerLinks, disk: Disk) -> Node {
        Node {
            clock,
            controller,
            calls: HashMap::new(),
            last_call_id: 0,
            subscribers: HashMap::new(),
            last_subscriber_id: 0,
            peer_links,
            disk,
            peers_checked_at: 0,
            was_in_quorum: false,
            fatal_losses: StableValue::default(),
        }
    }

    /// The controller's metrics in the OpenMetrics text format.
    pub fn metrics(&self) -> String {
        self.controller.metrics(self.clock.now())
    }

    /// Passes an event to the state machine and performs the actions that it returns.
    pub fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        let actions = self.controller.handle(now, event);
        self.perform(now, actions);
    }

    /// Performs actions of the state machine.
    pub fn perform(&mut self, now: u64, actions: Vec<Action>) {
        let mut message_cache = EncodedMessageCache::default();
        for action in actions {
            match action {
                Action::Answer { id, response } => self.answer(id, response),
                Action::SendPeer { to, kind, payload } => self.peer_links.send(now, to, kind, payload),
                Action::SendBalancer { to, message } => {
                    self.send_balancer(now, to, message_cache.encode(message))
                }
                Action::Persist { token, write } => self.disk.persist(token, write),
                Action::Compact { state } => self.disk.compact(state),
                Action::SaveState { state } => self.disk.save_state(state),
            }
        }
    }

    /// Advances the state machine and checks the connections. Must be called periodically.
    pub fn tick(&mut self) {
        self.handle(Event::Tick);
        let now = self.clock.now();
        if now >= self.peers_checked_at + PEER_CHECK_INTERVAL_MS {
            self.peers_checked_at = now;
            self.peer_links.reconnect_silent(now);
            self.peer_links.close_unused(now, &self.controller.peers());
            self.report_fatal_losses(now);
        }
        let in_quorum = self.controller.is_in_quorum(now);
        if in_quorum != self.was_in_quorum {
            self.was_in_quorum = in_quorum;
            info!("{}", if in_quorum { "entered a quorum" } else { "lost the quorum" });
        }
    }

    fn report_fatal_losses(&mut self, now: u64) {
        let fatal_losses = self.controller.fatal_losses();
        let Some(fatal_losses) = self.fatal_losses.update(now, fatal_losses) else { return };
        if fatal_losses.is_empty() {
            info!("a majority of the voters survives each tolerated loss");
            return;
        }
        let names: Vec<&str> = fatal_losses.iter().map(|kind| kind.name()).collect();
        warn!("no majority of the voters would survive the tolerated loss of {}", names.join(", "));
    }

    /// Starts a call. Its response is sent to the returned receiver.
    pub fn start_call(&mut self, call: Call) -> (CallId, oneshot::Receiver<Response>) {
        self.last_call_id += 1;
        let id = CallId(self.last_call_id);
        let (sender, receiver) = oneshot::channel();
        self.calls.insert(id, WaitingCall { sender, command_description: call.command_description() });
        self.handle(Event::Call { id, call });
        (id, receiver)
    }

    /// Cancels a call whose caller no longer waits. Has no effect after the call was answered.
    pub fn cancel_call(&mut self, id: CallId) {
        if let Some(call) = self.calls.remove(&id) {
            if let Some(command) = call.command_description {
                info!("command {command}: the caller closed its connection before the answer");
            }
            self.handle(Event::CallDropped { id });
        }
    }

    /// Whether any caller is waiting for a response.
    pub fn has_calls(&self) -> bool {
        !self.calls.is_empty()
    }

    /// Registers the connection of a balancer. Its task writes the frames of the returned queue to the
    /// connection.
    pub fn subscribe(&mut self) -> (SubscriberId, Rc<SendQueue>) {
        self.last_subscriber_id += 1;
        let id = SubscriberId(self.last_subscriber_id);
        let send_queue = Rc::new(SendQueue::new(MAX_BALANCER_QUEUE_BYTES));
        self.subscribers.insert(id, Rc::clone(&send_queue));
        (id, send_queue)
    }

    /// Removes the connection of a balancer.
    pub fn unsubscribe(&mut self, subscriber: SubscriberId) {
        self.subscribers.remove(&subscriber);
        self.handle(Event::SubscriberClosed { subscriber });
    }

    /// Records that a frame was received from another controller.
    pub fn record_peer_frame(&mut self, peer: SocketAddr) {
        let now = self.clock.now();
        self.peer_links.record_frame(now, peer);
    }

    fn handle_peer_connected(&mut self, link: &PeerLink) {
        let now = self.clock.now();
        link.mark_connected(now);
        self.handle(Event::PeerConnected { peer: link.peer() });
    }

    /// Passes the report of a finished disk job to the state machine.
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
            if let Some(command) = call.command_description {
                info!("command {command}: {response}");
            }
            // The caller may have closed its connection in the meantime.
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
    fn on_connected(&self, link: &PeerLink) {
        self.borrow_mut().handle_peer_connected(link);
    }
}
