//! An agent among simulated controllers, on simulated time.
#![allow(dead_code, reason = "each test file uses its share")]

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use whinspindle_agent::{Agent, AgentSettings, ConnectionId, Input, Notice, Output};
use whinspindle_distribution::{
    Configured, ControllerAddress, Evacuations, Fleet, Instance, Instances, Link, Report, ToBalancer, Update,
    Versions,
};

const KEEP_ALIVE_MS: u64 = 300;
/// More inputs than this within one millisecond mean that the agent wakes without need.
const MAXIMUM_INPUTS_AT_ONCE: u32 = 100;

pub const GRACE_MS: u64 = 8_000;

/// How a controller's machine behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Up,
    /// The process is gone: connections end, new ones are refused.
    Down,
    /// The machine is gone: nothing is answered.
    Silent,
}

#[derive(Clone, Debug)]
pub struct Controller {
    pub mode: Mode,
    pub in_quorum: bool,
    pub shutting_down: bool,
    pub zone: &'static str,
    pub region: &'static str,
    /// Sent once to each connection.
    pub update: Update,
    /// One way, in milliseconds.
    pub delay_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct SimulatedConnection {
    endpoint: SocketAddr,
    reported: bool,
}

pub struct Harness {
    pub now: u64,
    pub agent: Agent,
    pub controllers: BTreeMap<SocketAddr, Controller>,
    /// The controllers that every controller lists.
    pub listed: Vec<SocketAddr>,
    pub reports: Vec<(u64, SocketAddr, Report)>,
    pub attempts: Vec<(u64, SocketAddr)>,
    pub to_proxy: Vec<ToBalancer>,
    pub notices: Vec<(u64, Notice)>,
    pub settings_read: Vec<u64>,
    pub exited_at: Option<u64>,
    connections: BTreeMap<ConnectionId, SimulatedConnection>,
    inbox: BTreeMap<(u64, u64), Input>,
    queued: u64,
    keep_alive_at: u64,
}

/// The internal endpoint of a controller.
pub fn endpoint(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_720))
}

pub fn controller(zone: &'static str, region: &'static str) -> Controller {
    Controller {
        mode: Mode::Up,
        in_quorum: true,
        shutting_down: false,
        zone,
        region,
        update: Update::default(),
        delay_ms: 5,
    }
}

pub fn instance(id: &str) -> Instance {
    Instance {
        id: id.to_owned(),
        service: "model".to_owned(),
        address: "10.9.0.1:80".parse().unwrap(),
        zone: "a".to_owned(),
        slots: 4,
        draining: false,
        slow_start_ms: 0,
    }
}

pub fn instances(version: u64, ids: &[&str]) -> Update {
    let list = ids.iter().map(|id| instance(id)).collect();
    Update { instances: Some(Instances { version, list }), ..Update::default() }
}

pub fn fleet(version: u64, balancers: u32) -> Update {
    Update { fleet: Some(Fleet { version, balancers, loads: vec![], failing: vec![] }), ..Update::default() }
}

pub fn configured(sequence: u64) -> Update {
    let body = Bytes::from(sequence.to_string());
    Update { configured: Some(Configured { sequence, body }), ..Update::default() }
}

pub fn evacuated(sequence: u64, zone: &str) -> Update {
    let zones = vec![zone.to_owned()];
    Update { evacuations: Some(Evacuations { sequence, zones }), ..Update::default() }
}

pub fn proxy_report(applied: Versions) -> Report {
    Report {
        node: "edge-1".to_owned(),
        incarnation: 77,
        zone: "a".to_owned(),
        region: "north".to_owned(),
        front: "10.0.0.99:8000".parse().unwrap(),
        ready: true,
        shutting_down: false,
        applied,
        sends: vec![],
        failing: vec![],
    }
}

impl Harness {
    /// An agent in zone `a` of region `north` whose settings name these controllers.
    pub fn new(controllers: &[(u8, Controller)], seeds: &[u8], incarnation: u64) -> Harness {
        let settings = AgentSettings {
            node: "edge-1".to_owned(),
            machine_ip: "10.0.0.99".parse().unwrap(),
            zone: "a".to_owned(),
            region: "north".to_owned(),
            seeds: seeds.iter().copied().map(endpoint).collect(),
            grace_ms: GRACE_MS,
            incarnation,
        };
        Harness {
            now: 0,
            agent: Agent::new(0, settings),
            controllers: controllers
                .iter()
                .map(|(number, state)| (endpoint(*number), state.clone()))
                .collect(),
            listed: controllers.iter().map(|(number, _)| endpoint(*number)).collect(),
            reports: Vec::new(),
            attempts: Vec::new(),
            to_proxy: Vec::new(),
            notices: Vec::new(),
            settings_read: Vec::new(),
            exited_at: None,
            connections: BTreeMap::new(),
            inbox: BTreeMap::new(),
            queued: 0,
            keep_alive_at: 0,
        }
    }

    pub fn controller(&mut self, number: u8) -> &mut Controller {
        self.controllers.get_mut(&endpoint(number)).unwrap()
    }

    pub fn set_mode(&mut self, number: u8, mode: Mode) {
        self.controller(number).mode = mode;
        if mode != Mode::Down {
            return;
        }
        let ended: Vec<_> = self
            .connections
            .iter()
            .filter(|(_, wire)| wire.endpoint == endpoint(number))
            .map(|(&id, _)| id)
            .collect();
        for connection in ended {
            self.connections.remove(&connection);
            self.queue(1, Input::Closed(connection));
        }
    }

    /// Plays until the time, this moment included.
    pub fn run_until(&mut self, until: u64) {
        let mut at_once = 0;
        loop {
            let arrival = self.inbox.first_key_value().map_or(u64::MAX, |((at, _), _)| *at);
            let next = self.agent.next_wake(self.now).min(arrival).min(self.keep_alive_at).max(self.now);
            if next > until || self.exited_at.is_some() {
                self.now = until;
                return;
            }
            at_once = if next == self.now { at_once + 1 } else { 0 };
            assert!(at_once < MAXIMUM_INPUTS_AT_ONCE, "busy at {next}");
            self.now = next;
            self.play(arrival);
        }
    }

    fn play(&mut self, arrival: u64) {
        if arrival <= self.now
            && let Some((_, input)) = self.inbox.pop_first()
        {
            self.give(input);
        } else if self.keep_alive_at <= self.now {
            self.keep_alive_at = self.now + KEEP_ALIVE_MS;
            self.send_keep_alives();
        } else {
            self.give(Input::Tick);
        }
    }

    pub fn give(&mut self, input: Input) {
        for output in self.agent.handle(self.now, input) {
            self.carry_out(output);
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Connect { connection, endpoint } => self.connect(connection, endpoint),
            Output::Close(connection) => {
                self.connections.remove(&connection);
                self.inbox.retain(|_, input| connection_of(input) != Some(connection));
            }
            Output::SendHello(_) => {}
            Output::SendReport(connection, report) => self.take_report(connection, report),
            Output::SendToProxy(message) => self.to_proxy.push(message),
            Output::ReadSettings => self.settings_read.push(self.now),
            Output::Exit => self.exited_at = Some(self.now),
            Output::Log(notice) => self.notices.push((self.now, notice)),
        }
    }

    fn connect(&mut self, connection: ConnectionId, endpoint: SocketAddr) {
        self.attempts.push((self.now, endpoint));
        match self.controllers.get(&endpoint).map(|state| (state.mode, state.delay_ms)) {
            Some((Mode::Up, delay_ms)) => {
                self.connections.insert(connection, SimulatedConnection { endpoint, reported: false });
                self.queue(2 * delay_ms, Input::Connected(connection));
            }
            Some((Mode::Down, delay_ms)) => self.queue(2 * delay_ms, Input::Closed(connection)),
            Some((Mode::Silent, _)) | None => {}
        }
    }

    fn take_report(&mut self, connection: ConnectionId, report: Report) {
        let Some(wire) = self.connections.get_mut(&connection) else { return };
        let endpoint = wire.endpoint;
        let state = &self.controllers[&endpoint];
        if state.mode != Mode::Up {
            return;
        }
        self.reports.push((self.now, endpoint, report));
        if !std::mem::replace(&mut wire.reported, true) {
            let (delay_ms, update) = (2 * state.delay_ms, state.update.clone());
            let link = self.link(endpoint, true);
            self.queue(delay_ms, Input::FromController(connection, link));
            if update != Update::default() {
                self.queue(delay_ms, Input::FromController(connection, ToBalancer::Update(update)));
            }
        }
    }

    fn link(&self, endpoint: SocketAddr, with_controllers: bool) -> ToBalancer {
        let state = &self.controllers[&endpoint];
        let listed_controllers = self.listed.iter().filter(|_| with_controllers).map(|&endpoint| {
            let of = &self.controllers[&endpoint];
            ControllerAddress { endpoint, zone: of.zone.to_owned(), region: of.region.to_owned() }
        });
        ToBalancer::Link(Link {
            in_quorum: state.in_quorum,
            shutting_down: state.shutting_down,
            controllers: listed_controllers.collect(),
        })
    }

    fn send_keep_alives(&mut self) {
        let connections: Vec<_> = self.connections.iter().map(|(&id, &wire)| (id, wire)).collect();
        for (connection, wire) in connections {
            let state = &self.controllers[&wire.endpoint];
            if state.mode == Mode::Up && wire.reported {
                let delay_ms = state.delay_ms;
                let link = self.link(wire.endpoint, false);
                self.queue(delay_ms, Input::FromController(connection, link));
            }
        }
    }

    /// Sends an update from a controller to the agent.
    pub fn update(&mut self, number: u8, update: Update) {
        let connections: Vec<_> = self.connections.iter().map(|(&id, &wire)| (id, wire)).collect();
        for (connection, wire) in connections {
            if wire.endpoint == endpoint(number) && wire.reported {
                self.queue(5, Input::FromController(connection, ToBalancer::Update(update.clone())));
            }
        }
    }

    fn queue(&mut self, delay_ms: u64, input: Input) {
        self.queued += 1;
        self.inbox.insert((self.now + delay_ms, self.queued), input);
    }

    /// The controllers that have a connection of the agent on which it has reported.
    pub fn linked_to(&self) -> Vec<SocketAddr> {
        self.connections.values().filter(|wire| wire.reported).map(|wire| wire.endpoint).collect()
    }

    /// Where the agent was linked to, in order.
    pub fn links(&self) -> Vec<SocketAddr> {
        let linked = self.notices.iter().filter_map(|(_, notice)| match notice {
            Notice::Linked { endpoint, .. } => Some(*endpoint),
            _ => None,
        });
        linked.collect()
    }

    /// When the newest link was made.
    pub fn linked_at(&self) -> u64 {
        let linked = self.notices.iter().rev().find(|(_, notice)| matches!(notice, Notice::Linked { .. }));
        linked.unwrap().0
    }

    /// Whether the agent was ever without a link after its first one.
    pub fn lost_link(&self) -> bool {
        self.notices.iter().any(|(_, notice)| matches!(notice, Notice::LinkLost { .. }))
    }

    pub fn last_report(&self) -> &Report {
        &self.reports.last().unwrap().2
    }

    /// The updates that the proxy was sent.
    pub fn proxy_updates(&self) -> Vec<Update> {
        let updates = self.to_proxy.iter().filter_map(|message| match message {
            ToBalancer::Update(update) => Some(update.clone()),
            ToBalancer::Link(_) => None,
        });
        updates.collect()
    }
}

fn connection_of(input: &Input) -> Option<ConnectionId> {
    match input {
        Input::Connected(connection) | Input::Closed(connection) | Input::FromController(connection, _) => {
            Some(*connection)
        }
        _ => None,
    }
}
