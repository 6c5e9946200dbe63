//! Several controllers on a simulated network with simulated disks, and callers that retry at other
//! controllers.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http::StatusCode;
use whinspindle_controller::api::{Call, Response};
use whinspindle_controller::commands::CommandApplication;
use whinspindle_controller::{
    Action, CallId, Controller, ControllerSettings, Event, ProtocolRules, StandardRules,
};
use whinspindle_distribution::frame::FrameKind;
use whinspindle_distribution::{ControllerAddress, Link, Report, SubscriberId, ToBalancer, Update};
use whinspindle_lab_simulated_cluster::{
    Cluster, DiskTiming, Effect, Event as ProcessEvent, NetworkTiming, Pcg, Process, Start,
};
use whinspindle_replica::{DurableWrite, Message, Replica, ReplicaSettings, Timing, Tolerance};

use super::instance_lists::InstanceLists;
use super::{HEARTBEAT_MS, redirected_call, zones};

/// This many controllers, the first in the list, are the seeds.
pub const SEEDS: usize = 3;
/// A call without a response times out after this time.
const CALL_TIMEOUT_MS: u64 = 1_000;
/// The maximum number of redirects that a caller follows.
const MAX_REDIRECTS: usize = 2;
/// The token of compactions, which are not requested by the replica.
const COMPACTION_TOKEN: u64 = u64::MAX;

/// A frame with the incarnation of the process that sent it. A new incarnation means a new connection.
#[derive(Clone)]
pub struct Frame {
    incarnation: u64,
    kind: FrameKind,
    payload: Bytes,
}

/// Inputs to a controller from outside of the cluster.
pub enum Command {
    Call {
        id: CallId,
        call: Call,
    },
    Report {
        subscriber: SubscriberId,
        report: Report,
    },
    Closed {
        subscriber: SubscriberId,
    },
    /// The connection to another controller is established again.
    Reconnected {
        peer: SocketAddr,
    },
    Shutdown,
}

/// Outputs of a controller to callers and balancers.
pub enum Answer {
    Response { id: CallId, response: Response },
    Update { subscriber: SubscriberId, update: Update },
    Link { subscriber: SubscriberId, link: Link },
}

/// The saved state of each controller, which is stored separately from the journal of the cluster.
type SavedStates = Rc<RefCell<HashMap<SocketAddr, Vec<u8>>>>;
/// Controllers whose next start simulates the last release without protocol versions.
type EarlierReleases = Rc<RefCell<BTreeSet<SocketAddr>>>;

/// One controller of the fleet.
pub struct Node<L = StandardRules> {
    pub controller: Controller<L>,
    endpoint: SocketAddr,
    saved_states: SavedStates,
    incarnation: u64,
    incarnations: HashMap<SocketAddr, u64>,
    /// Simulates the last release without protocol versions: it sends no version and can't read newer
    /// messages.
    is_earlier_release: bool,
}

impl<L: ProtocolRules> Process for Node<L> {
    type Message = Frame;
    type Command = Command;
    type Answer = Answer;

    fn handle(&mut self, now: u64, event: ProcessEvent<Self>) -> Vec<Effect<Self>> {
        let actions = match event {
            ProcessEvent::Tick => {
                let mut actions = self.controller.handle(now, Event::StateSaved);
                actions.extend(self.controller.handle(now, Event::Tick));
                actions
            }
            ProcessEvent::Message { from, message } => self.receive(now, from, message),
            ProcessEvent::Command(Command::Call { id, call }) => {
                self.controller.handle(now, Event::Call { id, call })
            }
            ProcessEvent::Command(Command::Report { subscriber, report }) => {
                self.controller.handle(now, Event::Report { subscriber, report })
            }
            ProcessEvent::Command(Command::Closed { subscriber }) => {
                self.controller.handle(now, Event::SubscriberClosed { subscriber })
            }
            ProcessEvent::Command(Command::Reconnected { peer }) => {
                self.controller.handle(now, Event::PeerConnected { peer })
            }
            ProcessEvent::Command(Command::Shutdown) => self.controller.handle(now, Event::Shutdown),
            ProcessEvent::Persisted { token: COMPACTION_TOKEN }
            | ProcessEvent::PersistFailed { token: COMPACTION_TOKEN } => {
                self.controller.handle(now, Event::Compacted)
            }
            ProcessEvent::Persisted { token } => {
                self.controller.handle(now, Event::Persisted { token, log_bytes: 0 })
            }
            ProcessEvent::PersistFailed { token } => {
                self.controller.handle(now, Event::PersistFailed { token })
            }
        };
        self.effects(actions)
    }
}

impl<L: ProtocolRules> Node<L> {
    fn receive(&mut self, now: u64, from: SocketAddr, frame: Frame) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.incarnations.insert(from, frame.incarnation) != Some(frame.incarnation) {
            actions = self.controller.handle(now, Event::PeerConnected { peer: from });
        }
        let event = match frame.kind {
            FrameKind::Replica => {
                let message = Message::decode(&frame.payload).expect("a message of a replica");
                let message = if self.is_earlier_release { to_earlier_release(message) } else { message };
                Event::ReplicaMessage { from, message }
            }
            FrameKind::Gossip => Event::GossipReceived { from, payload: frame.payload },
            other => panic!("no frame between controllers: {other:?}"),
        };
        actions.extend(self.controller.handle(now, event));
        actions
    }

    fn effects(&self, actions: Vec<Action>) -> Vec<Effect<Self>> {
        actions.into_iter().filter_map(|action| self.effect(action)).collect()
    }

    fn effect(&self, action: Action) -> Option<Effect<Self>> {
        Some(match action {
            Action::Answer { id, response } => Effect::Answer(Answer::Response { id, response }),
            Action::SendPeer { to, kind: FrameKind::Replica, payload } if self.is_earlier_release => {
                let message = Message::decode(&payload).expect("a message of a replica");
                let payload = Bytes::from(to_earlier_release(message).encode());
                let frame = Frame { incarnation: self.incarnation, kind: FrameKind::Replica, payload };
                Effect::Send { to, message: frame }
            }
            Action::SendPeer { to, kind, payload } => {
                Effect::Send { to, message: Frame { incarnation: self.incarnation, kind, payload } }
            }
            Action::SendBalancer { to, message: ToBalancer::Update(update) } => {
                Effect::Answer(Answer::Update { subscriber: to, update })
            }
            Action::SendBalancer { to, message: ToBalancer::Link(link) } => {
                Effect::Answer(Answer::Link { subscriber: to, link })
            }
            Action::Persist { token, write: DurableWrite::Append(records) } => {
                Effect::Append { token, records }
            }
            Action::Persist { token, write: DurableWrite::Checkpoint(state) } => {
                Effect::Checkpoint { token, state }
            }
            Action::Compact { state } => Effect::Checkpoint { token: COMPACTION_TOKEN, state },
            Action::SaveState { state } => {
                self.saved_states.borrow_mut().insert(self.endpoint, state);
                return None;
            }
        })
    }
}

/// Converts a message to the form that the last release without protocol versions sends and reads.
fn to_earlier_release(message: Message) -> Message {
    match message {
        Message::VoterLost { .. } => panic!("the earlier release can't read {message:?}"),
        Message::Heartbeat(mut heartbeat) => {
            heartbeat.protocol = 0;
            Message::Heartbeat(heartbeat)
        }
        other => other,
    }
}

pub fn endpoint(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7700))
}

fn start_node<L: ProtocolRules>(
    start: Start,
    saved_states: SavedStates,
    is_earlier_release: bool,
) -> (Node<L>, Vec<Effect<Node<L>>>) {
    let zones: BTreeMap<String, String> = zones();
    let (zone, region) = zones.iter().nth(start.endpoint.port() as usize % zones.len()).unwrap();
    let replica_settings = ReplicaSettings {
        endpoint: start.endpoint,
        zone: zone.clone(),
        region: region.clone(),
        seeds: start.nodes.iter().copied().take(SEEDS).collect(),
        bootstrap: start.is_bootstrap,
        incarnation: start.random_number,
        start_id: start.random_number,
        tolerance: Tolerance::machines_only(1),
        timing: Timing::default(),
    };
    let (replica, outputs) = Replica::new(replica_settings, CommandApplication, start.recovered, start.now)
        .expect("the disk can be read");
    let address = ControllerAddress { endpoint: start.endpoint, zone: zone.clone(), region: region.clone() };
    let node = start.endpoint.to_string();
    let settings = ControllerSettings { node, address, zones, heartbeat_ms: HEARTBEAT_MS };
    let (mut controller, mut actions) = Controller::with_rules(settings, replica, outputs, start.now);
    let state = saved_states.borrow().get(&start.endpoint).cloned();
    if let Some(state) = state {
        actions.extend(controller.handle(start.now, Event::StateRestored { state: state.into() }));
    }
    let (endpoint, incarnation) = (start.endpoint, start.random_number);
    let incarnations = HashMap::new();
    let node = Node { controller, endpoint, saved_states, incarnation, incarnations, is_earlier_release };
    let effects = node.effects(actions);
    (node, effects)
}

/// A call that is retried at other controllers until there is a definite response.
pub struct Attempt {
    pub call: Call,
    pub first_sent_at: u64,
    pub answered: Option<(u64, Response)>,
    pub is_abandoned: bool,
    waiting: Option<PendingCall>,
}

/// A call that was sent to a controller and has no response yet.
#[derive(Clone, Copy)]
struct PendingCall {
    id: CallId,
    at: SocketAddr,
    sent_at: u64,
    /// The number of redirects that its caller has followed.
    redirects: usize,
}

/// Controllers, callers, and the messages that balancers were sent.
pub struct Fleet<L: ProtocolRules = StandardRules> {
    pub cluster: Cluster<Node<L>>,
    pub random: Pcg,
    /// The share of responses that don't reach their callers.
    pub lost_answers: f64,
    pub attempts: Vec<Attempt>,
    /// The updates that balancers were sent, with complete lists of instances.
    pub updates: Vec<(SubscriberId, Update)>,
    lists: InstanceLists,
    pub links: Vec<(SubscriberId, Link)>,
    /// Updates and links in the order in which they were sent.
    pub sent: Vec<(SubscriberId, ToBalancer)>,
    saved_states: SavedStates,
    earlier_releases: EarlierReleases,
    last_call: u64,
}

impl Fleet {
    /// Starts controllers and waits until they have discovered each other.
    pub fn start(seed: u64, count: u8) -> Fleet {
        Fleet::with_rules(seed, count)
    }

    /// Like [`Fleet::start`], with controllers of the last release without protocol versions.
    pub fn start_earlier_release(seed: u64, count: u8) -> Fleet {
        Fleet::with_earlier_releases(seed, count, (1..=count).map(endpoint).collect())
    }
}

impl<L: ProtocolRules> Fleet<L> {
    /// Like [`Fleet::start`], under rules of the caller's choice.
    pub fn with_rules(seed: u64, count: u8) -> Self {
        Fleet::with_earlier_releases(seed, count, BTreeSet::new())
    }

    fn with_earlier_releases(seed: u64, count: u8, earlier: BTreeSet<SocketAddr>) -> Self {
        let earlier_releases: EarlierReleases = Rc::new(RefCell::new(earlier));
        let earlier = Rc::clone(&earlier_releases);
        let saved_states = SavedStates::default();
        let shared_states = Rc::clone(&saved_states);
        let starter = move |start: Start| {
            let is_earlier = earlier.borrow().contains(&start.endpoint);
            start_node(start, Rc::clone(&shared_states), is_earlier)
        };
        let mut cluster = Cluster::new(seed, NetworkTiming::default(), DiskTiming::default(), starter);
        for number in 1..=count {
            cluster.add(endpoint(number), true);
        }
        for number in 1..=count {
            cluster.start(endpoint(number));
        }
        let mut fleet = Fleet {
            cluster,
            random: Pcg::new(seed ^ 0x5eed),
            lost_answers: 0.0,
            attempts: Vec::new(),
            updates: Vec::new(),
            lists: InstanceLists::default(),
            links: Vec::new(),
            sent: Vec::new(),
            saved_states,
            earlier_releases,
            last_call: 0,
        };
        fleet.pass(4_000);
        fleet
    }

    /// Begins a call and returns its index in `attempts`.
    pub fn begin(&mut self, call: Call) -> usize {
        let first_sent_at = self.cluster.now();
        self.attempts.push(Attempt {
            call,
            first_sent_at,
            answered: None,
            is_abandoned: false,
            waiting: None,
        });
        self.attempts.len() - 1
    }

    /// Begins a call that is sent to this controller first, if it is running.
    pub fn begin_at(&mut self, at: SocketAddr, call: Call) -> usize {
        let attempt = self.begin(call.clone());
        self.send(attempt, at, call, 0);
        attempt
    }

    /// Ends the retries of an attempt.
    pub fn abandon(&mut self, attempt: usize) {
        self.attempts[attempt].is_abandoned = true;
    }

    /// Passes time. Callers retry at another controller until they get a definite response.
    pub fn pass(&mut self, span_ms: u64) {
        let end = self.cluster.now() + span_ms;
        while self.cluster.now() < end {
            self.send_waiting();
            let answers = self.cluster.run_until((self.cluster.now() + 20).min(end));
            for occurrence in answers {
                self.record(occurrence.at, occurrence.answer);
            }
        }
    }

    /// Sends a call and waits for its definite response.
    pub fn complete(&mut self, call: Call, limit_ms: u64) -> Response {
        let attempt = self.begin(call.clone());
        let end = self.cluster.now() + limit_ms;
        while self.attempts[attempt].answered.is_none() {
            assert!(self.cluster.now() < end, "no answer to {call:?} within {limit_ms} ms");
            self.pass(20);
        }
        self.attempts[attempt].answered.clone().unwrap().1
    }

    /// Sends a call to one controller and returns its response, or none if it doesn't respond in time. The
    /// caller follows redirects.
    pub fn ask(&mut self, at: SocketAddr, call: Call) -> Option<Response> {
        let mut response = self.ask_once(at, call)?;
        for _ in 0..MAX_REDIRECTS {
            let Some(redirected) = redirected_call(&response) else { break };
            response = self.ask_once(at, redirected)?;
        }
        Some(response)
    }

    /// Like [`Fleet::ask`], by a caller that follows no redirects.
    pub fn ask_once(&mut self, at: SocketAddr, call: Call) -> Option<Response> {
        let id = self.next_call();
        self.cluster.send_command(at, Command::Call { id, call });
        let end = self.cluster.now() + CALL_TIMEOUT_MS;
        let mut definite = None;
        while definite.is_none() && self.cluster.now() < end {
            for occurrence in self.cluster.run_until(self.cluster.now() + 20) {
                match occurrence.answer {
                    Answer::Response { id: answered, response } if answered == id => {
                        definite = Some(response)
                    }
                    other => self.record(occurrence.at, other),
                }
            }
        }
        definite
    }

    /// The chain that a controller reports, starting with the head.
    pub fn chain(&mut self, at: SocketAddr) -> Vec<SocketAddr> {
        let status = self.ask(at, Call::Status).expect("the status is returned at once").body;
        let text = String::from_utf8(status.to_vec()).expect("text");
        let (_, rest) = text.split_once("\"chain\":[").expect("the chain");
        let (list, _) = rest.split_once(']').expect("its end");
        list.split(',').map(|address| address.trim_matches('"').parse().expect("an address")).collect()
    }

    /// The time in milliseconds since a call was first sent.
    pub fn since(&self, attempt: usize) -> u64 {
        self.cluster.now() - self.attempts[attempt].first_sent_at
    }

    pub fn report(&mut self, at: SocketAddr, subscriber: u64, report: Report) {
        self.cluster.command(at, Command::Report { subscriber: SubscriberId(subscriber), report });
    }

    /// Restarts a controller with its disk, as the current release or as the earlier one.
    pub fn change_release(&mut self, at: SocketAddr, is_earlier: bool) {
        if is_earlier {
            self.earlier_releases.borrow_mut().insert(at);
        } else {
            self.earlier_releases.borrow_mut().remove(&at);
        }
        self.cluster.command(at, Command::Shutdown);
        self.pass(300);
        self.restart(at);
    }

    pub fn restart(&mut self, at: SocketAddr) {
        self.cluster.stop(at);
        self.cluster.start(at);
    }

    /// Loses the disk of a stopped controller.
    pub fn wipe(&mut self, at: SocketAddr) {
        self.cluster.wipe(at);
        self.saved_states.borrow_mut().remove(&at);
    }

    /// Partitions a controller from all others, or heals the partition.
    pub fn set_partitioned(&mut self, at: SocketAddr, is_partitioned: bool) {
        for other in self.cluster.endpoints().into_iter().filter(|other| *other != at) {
            for (from, to) in [(at, other), (other, at)] {
                if is_partitioned {
                    self.cluster.cut(from, to);
                } else {
                    self.cluster.heal(from, to);
                }
            }
        }
    }

    /// Heals the partition of a controller whose connections have ended meanwhile, and establishes them
    /// again.
    pub fn rejoin(&mut self, at: SocketAddr) {
        self.set_partitioned(at, false);
        for other in self.cluster.endpoints().into_iter().filter(|other| *other != at) {
            self.cluster.command(other, Command::Reconnected { peer: at });
            self.cluster.command(at, Command::Reconnected { peer: other });
        }
    }

    /// Sends the calls that have no pending request.
    pub fn send_waiting(&mut self) {
        let now = self.cluster.now();
        let endpoints = self.cluster.endpoints();
        for index in 0..self.attempts.len() {
            let attempt = &self.attempts[index];
            let is_waiting = attempt.waiting.is_some_and(|pending| now < pending.sent_at + CALL_TIMEOUT_MS);
            if attempt.answered.is_some() || attempt.is_abandoned || is_waiting {
                continue;
            }
            let call = attempt.call.clone();
            let at = endpoints[self.random.next_below(endpoints.len())];
            self.send(index, at, call, 0);
        }
    }

    fn send(&mut self, attempt: usize, at: SocketAddr, call: Call, redirects: usize) {
        let id = self.next_call();
        let running = self.cluster.send_command(at, Command::Call { id, call });
        let pending = PendingCall { id, at, sent_at: self.cluster.now(), redirects };
        self.attempts[attempt].waiting = running.then_some(pending);
    }

    /// Records a response or a message of a controller.
    pub fn record(&mut self, at: u64, answer: Answer) {
        match answer {
            Answer::Response { id, response } => self.record_response(at, id, response),
            Answer::Update { subscriber, update } => {
                self.sent.push((subscriber, ToBalancer::Update(update.clone())));
                self.updates.push((subscriber, self.lists.expand(subscriber, update)));
            }
            Answer::Link { subscriber, link } => {
                self.sent.push((subscriber, ToBalancer::Link(link.clone())));
                self.links.push((subscriber, link));
            }
        }
    }

    fn record_response(&mut self, at: u64, id: CallId, response: Response) {
        let is_waiting = |attempt: &Attempt| attempt.waiting.is_some_and(|pending| pending.id == id);
        if self.lost_answers > 0.0 && self.random.next_f64() < self.lost_answers {
            return;
        }
        let Some(index) = self.attempts.iter().position(is_waiting) else { return };
        let attempt = &mut self.attempts[index];
        let pending = attempt.waiting.take().expect("it is waiting");
        match redirected_call(&response) {
            Some(_) if attempt.is_abandoned || pending.redirects == MAX_REDIRECTS => {}
            Some(redirected) => self.send(index, pending.at, redirected, pending.redirects + 1),
            None if response.status == StatusCode::SERVICE_UNAVAILABLE => {}
            None => attempt.answered = Some((at, response)),
        }
    }

    pub fn next_call(&mut self) -> CallId {
        self.last_call += 1;
        CallId(self.last_call)
    }
}
