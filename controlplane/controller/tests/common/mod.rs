//! A single controller that is its own quorum. Tests control its clock and when writes to its disk complete.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod deployment;
pub mod edge;
pub mod fleet;
pub mod instance_lists;
pub mod invariant_checker;
pub mod operators;
pub mod rules;
pub mod schedule;
pub mod upstream;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, StatusCode};
use whinspindle_configuration::{Heartbeat, InstanceState};
use whinspindle_controller::api::{self, Call, Request, Response};
use whinspindle_controller::commands::CommandApplication;
use whinspindle_controller::{Action, CallId, Controller, ControllerSettings, Event};
use whinspindle_distribution::{
    ControllerAddress, InstanceChanges, Link, Report, SubscriberId, ToBalancer, Update, Versions,
};
use whinspindle_replica::{Replica, ReplicaSettings, Timing, Tolerance};

/// The time in milliseconds at which tests start. The clock of a process doesn't start at zero either.
pub const START: u64 = 1_000_000;
pub const TICK_MS: u64 = 50;
pub const HEARTBEAT_MS: u64 = 1_000;

/// A controller with its pending disk writes and all that it has sent.
pub struct Single {
    pub controller: Controller,
    pub now: u64,
    /// Whether writes become durable at once.
    pub disk_works: bool,
    queued_writes: VecDeque<u64>,
    pub answers: HashMap<CallId, Response>,
    /// The updates that balancers were sent, with complete lists of instances.
    pub updates: Vec<(SubscriberId, Update)>,
    /// The changes of instances in all updates, in the order in which they were sent.
    pub changes_sent: Vec<InstanceChanges>,
    /// Bytes of all messages to other controllers.
    pub peer_bytes: usize,
    lists: instance_lists::InstanceLists,
    pub links: Vec<(SubscriberId, Link)>,
    /// The states that the controller has saved, oldest first.
    pub saved_states: Vec<Vec<u8>>,
    last_call: u64,
}

impl Single {
    /// A controller that has just started.
    pub fn start() -> Single {
        let endpoint: SocketAddr = "10.0.0.1:7700".parse().unwrap();
        let replica_settings = ReplicaSettings {
            endpoint,
            zone: "zone-a".to_owned(),
            region: "north".to_owned(),
            seeds: vec![endpoint],
            bootstrap: true,
            incarnation: 1,
            start_id: 2,
            tolerance: Tolerance::machines_only(0),
            timing: Timing::default(),
        };
        let (replica, outputs) =
            Replica::new(replica_settings, CommandApplication, (None, Vec::new()), START).unwrap();
        let address = ControllerAddress { endpoint, zone: "zone-a".to_owned(), region: "north".to_owned() };
        let settings = ControllerSettings {
            node: "core-1".to_owned(),
            address,
            zones: zones(),
            heartbeat_ms: HEARTBEAT_MS,
        };
        let (controller, actions) = Controller::new(settings, replica, outputs, START);
        let mut single = Single {
            controller,
            now: START,
            disk_works: true,
            queued_writes: VecDeque::new(),
            answers: HashMap::new(),
            updates: Vec::new(),
            changes_sent: Vec::new(),
            peer_bytes: 0,
            lists: instance_lists::InstanceLists::default(),
            links: Vec::new(),
            saved_states: Vec::new(),
            last_call: 0,
        };
        single.take(actions);
        single.finish_writes();
        single
    }

    /// A controller that is in a quorum and has completed its discovery.
    pub fn in_quorum() -> Single {
        let mut single = Single::start();
        single.pass(5_000);
        assert!(single.controller.is_in_quorum(single.now), "a controller alone is its own quorum");
        single
    }

    pub fn pass(&mut self, span_ms: u64) {
        let end = self.now + span_ms;
        while self.now < end {
            self.now = (self.now + TICK_MS).min(end);
            self.handle(Event::Tick);
        }
    }

    pub fn handle(&mut self, event: Event) {
        let written = self.saved_states.len();
        let actions = self.controller.handle(self.now, event);
        self.take(actions);
        if self.disk_works {
            self.finish_writes();
        }
        if self.disk_works && self.saved_states.len() > written {
            self.handle(Event::StateSaved);
        }
    }

    /// Completes all queued writes.
    pub fn finish_writes(&mut self) {
        while let Some(token) = self.queued_writes.pop_front() {
            let actions = self.controller.handle(self.now, Event::Persisted { token, log_bytes: 0 });
            self.take(actions);
        }
    }

    pub fn call(&mut self, call: Call) -> CallId {
        self.last_call += 1;
        let id = CallId(self.last_call);
        self.handle(Event::Call { id, call });
        id
    }

    /// The status of a call that is answered immediately.
    pub fn status(&mut self, call: Call) -> StatusCode {
        let id = self.call(call);
        self.answer(id).expect("the call is answered at once").status
    }

    /// The status of an evacuation command whose caller confirms it if it is redirected.
    pub fn evacuation_status(&mut self, zone: &str, evacuated: bool) -> StatusCode {
        let id = self.call(evacuate(zone, evacuated));
        let response = self.answer(id).expect("the command is answered at once");
        let status = response.status;
        redirected_call(response).map_or(status, |confirmed| self.status(confirmed))
    }

    pub fn answer(&self, id: CallId) -> Option<&Response> {
        self.answers.get(&id)
    }

    pub fn report(&mut self, subscriber: u64, report: Report) {
        self.handle(Event::Report { subscriber: SubscriberId(subscriber), report });
    }

    fn take(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Answer { id, response } => {
                    let previous = self.answers.insert(id, response);
                    assert!(previous.is_none(), "{id:?} was answered twice");
                }
                Action::SendBalancer { to, message: ToBalancer::Update(update) } => {
                    self.changes_sent.extend(update.changes.clone());
                    self.updates.push((to, self.lists.expand(to, update)));
                }
                Action::SendBalancer { to, message: ToBalancer::Link(link) } => self.links.push((to, link)),
                Action::Persist { token, .. } => self.queued_writes.push_back(token),
                Action::SaveState { state } => self.saved_states.push(state),
                Action::SendPeer { payload, .. } => self.peer_bytes += payload.len(),
                Action::Compact { .. } => {}
            }
        }
    }
}

pub fn zones() -> BTreeMap<String, String> {
    [("zone-a", "north"), ("zone-b", "north"), ("zone-c", "south")]
        .map(|(zone, region)| (zone.to_owned(), region.to_owned()))
        .into()
}

/// A configuration without routes.
pub fn configuration(generation: u64) -> Bytes {
    let limits = r#"{"max_header_bytes":16384,"max_body_bytes":4096,"header_timeout_ms":3000,"idle_timeout_ms":15000}"#;
    Bytes::from(format!(r#"{{"generation":{generation},"routes":[],"services":[],"limits":{limits}}}"#))
}

pub fn replace(base: u64, generation: u64) -> Call {
    Call::Replace { base, generation, body: configuration(generation) }
}

pub fn evacuate(zone: &str, evacuated: bool) -> Call {
    Call::Evacuate { zone: zone.to_owned(), evacuated, confirmed_sequence: None }
}

/// The call to which a response redirects its caller; none for other responses.
pub fn redirected_call(response: &Response) -> Option<Call> {
    let target = response.redirect_path.as_ref()?;
    assert_eq!(response.status, StatusCode::TEMPORARY_REDIRECT);
    let (path, query) = target.split_once('?').expect("a redirect names the record");
    let request = Request { method: &Method::POST, path, query, base_version: None, body: Bytes::new() };
    Some(api::parse(&request).expect("a redirect leads to a call"))
}

pub fn heartbeat(instance: &str, sequence: u64, state: InstanceState) -> Call {
    let host = 1 + instance.bytes().map(u64::from).sum::<u64>() % 250;
    let heartbeat = Heartbeat {
        backend: "desk".to_owned(),
        address: format!("10.128.0.{host}:8080").parse().unwrap(),
        zone: "zone-a".to_owned(),
        generation: "v1".to_owned(),
        slots: 6,
        state,
        slow_start_ms: 0,
        remaining_ms: None,
        sequence,
    };
    Call::Heartbeat { instance: instance.to_owned(), heartbeat }
}

/// The heartbeat of an instance whose address is derived from a number, so that thousands have different
/// ones.
pub fn heartbeat_at(instance: &str, number: u16) -> Call {
    let Call::Heartbeat { instance, mut heartbeat } = heartbeat(instance, 1, InstanceState::Ready) else {
        unreachable!("it is a heartbeat")
    };
    let [high, low] = number.to_be_bytes();
    heartbeat.address = SocketAddr::from(([10, 129, high, low], 8080));
    Call::Heartbeat { instance, heartbeat }
}

pub fn deregister(instance: &str) -> Call {
    Call::Deregister { instance: instance.to_owned() }
}

/// The directory request of a client for a host that is in no configuration.
pub fn resolve(region: &str, zone: &str) -> Call {
    resolve_host("unknown.example", region, zone)
}

pub fn resolve_host(host: &str, region: &str, zone: &str) -> Call {
    Call::Resolve { host: host.to_owned(), region: region.to_owned(), zone: zone.to_owned() }
}

/// The report of a balancer that is ready for clients.
pub fn report(number: u8, zone: &str) -> Report {
    Report {
        node: format!("edge-{number}"),
        incarnation: 1,
        zone: zone.to_owned(),
        region: zones()[zone].clone(),
        front: SocketAddr::from(([10, 1, 0, number], 8161)),
        ready: true,
        shutting_down: false,
        applied: Versions::default(),
        sends: Vec::new(),
        failing: Vec::new(),
    }
}
