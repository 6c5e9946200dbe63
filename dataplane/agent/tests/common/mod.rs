//! Test harness: an agent with simulated controllers and simulated time.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use whinspindle_agent::{Agent, AgentSettings, ConnectionId, Input, Notice, Output};
use whinspindle_distribution::{
    Configured, ControllerAddress, Evacuations, Fleet, Instance, Instances, Link, Report, ToBalancer, Update,
    Versions,
};

const KEEP_ALIVE_INTERVAL_MS: u64 = 300;
/// More inputs than this within one millisecond mean that the agent is in a busy loop.
const MAX_CONCURRENT_INPUTS: u32 = 100;

pub const GRACE_MS: u64 = 8_000;

/// State of the process and machine of a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Up,
    /// The process has ended. Connections end, and new connections are refused.
    Down,
    /// The machine does not respond.
    Silent,
}

#[derive(Clone, Debug)]
pub struct Controller {
    pub mode: Mode,
    pub in_quorum: bool,
    pub shutting_down: bool,
    pub zone: &'static str,
    pub region: &'static str,
    /// Update that is sent once on each connection.
    pub update: Update,
    /// One-way delay, in milliseconds.
    pub delay_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct SimulatedConnection {
    endpoint: SocketAddr,
    has_reported: bool,
}

pub struct Harness {
    pub now: u64,
    pub agent: Agent,
    pub controllers: BTreeMap<SocketAddr, Controller>,
    /// Controllers that every controller lists.
    pub listed: Vec<SocketAddr>,
    pub reports: Vec<(u64, SocketAddr, Report)>,
    pub attempts: Vec<(u64, SocketAddr)>,
    pub proxy_messages: Vec<ToBalancer>,
    pub notices: Vec<(u64, Notice)>,
    pub settings_read_at: Vec<u64>,
    pub exited_at: Option<u64>,
    connections: BTreeMap<ConnectionId, SimulatedConnection>,
    inbox: BTreeMap<(u64, u64), Input>,
    queued_count: u64,
    next_keep_alive_at: u64,
}

/// Returns the internal endpoint of a controller.
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
    /// Creates an agent in zone `a` of region `north` with the controllers `seeds` in its settings.
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
            proxy_messages: Vec::new(),
            notices: Vec::new(),
            settings_read_at: Vec::new(),
            exited_at: None,
            connections: BTreeMap::new(),
            inbox: BTreeMap::new(),
            queued_count: 0,
            next_keep_alive_at: 0,
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
        let closed: Vec<_> = self
            .connections
            .iter()
            .filter(|(_, connection_state)| connection_state.endpoint == endpoint(number))
            .map(|(&id, _)| id)
            .collect();
        for connection in closed {
            self.connections.remove(&connection);
            self.queue(1, Input::Closed(connection));
        }
    }

    /// Runs the simulation until the given time, inclusive.
    pub fn run_until(&mut self, until: u64) {
        let mut concurrent_inputs = 0;
        loop {
            let arrival = self.inbox.first_key_value().map_or(u64::MAX, |((at, _), _)| *at);
            let next = self.agent.next_wake(self.now).min(arrival).min(self.next_keep_alive_at).max(self.now);
            if next > until || self.exited_at.is_some() {
                self.now = until;
                return;
            }
            concurrent_inputs = if next == self.now { concurrent_inputs + 1 } else { 0 };
            assert!(concurrent_inputs < MAX_CONCURRENT_INPUTS, "busy loop at {next}");
            self.now = next;
            self.run_step(arrival);
        }
    }

    fn run_step(&mut self, arrival: u64) {
        if arrival <= self.now
            && let Some((_, input)) = self.inbox.pop_first()
        {
            self.handle_input(input);
        } else if self.next_keep_alive_at <= self.now {
            self.next_keep_alive_at = self.now + KEEP_ALIVE_INTERVAL_MS;
            self.send_keep_alives();
        } else {
            self.handle_input(Input::Tick);
        }
    }

    pub fn handle_input(&mut self, input: Input) {
        for output in self.agent.handle(self.now, input) {
            self.execute(output);
        }
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Connect { connection, endpoint } => self.connect(connection, endpoint),
            Output::Close(connection) => {
                self.connections.remove(&connection);
                self.inbox.retain(|_, input| connection_of(input) != Some(connection));
            }
            Output::SendHello(_) => {}
            Output::SendReport(connection, report) => self.receive_report(connection, report),
            Output::SendToProxy(message) => self.proxy_messages.push(message),
            Output::ReadSettings => self.settings_read_at.push(self.now),
            Output::Exit => self.exited_at = Some(self.now),
            Output::Log(notice) => self.notices.push((self.now, notice)),
        }
    }

    fn connect(&mut self, connection: ConnectionId, endpoint: SocketAddr) {
        self.attempts.push((self.now, endpoint));
        match self.controllers.get(&endpoint).map(|state| (state.mode, state.delay_ms)) {
            Some((Mode::Up, delay_ms)) => {
                self.connections.insert(connection, SimulatedConnection { endpoint, has_reported: false });
                self.queue(2 * delay_ms, Input::Connected(connection));
            }
            Some((Mode::Down, delay_ms)) => self.queue(2 * delay_ms, Input::Closed(connection)),
            Some((Mode::Silent, _)) | None => {}
        }
    }

    fn receive_report(&mut self, connection: ConnectionId, report: Report) {
        let Some(connection_state) = self.connections.get_mut(&connection) else { return };
        let endpoint = connection_state.endpoint;
        let state = &self.controllers[&endpoint];
        if state.mode != Mode::Up {
            return;
        }
        self.reports.push((self.now, endpoint, report));
        if !std::mem::replace(&mut connection_state.has_reported, true) {
            let (delay_ms, update) = (2 * state.delay_ms, state.update.clone());
            let link = self.link(endpoint, true);
            self.queue(delay_ms, Input::FromController(connection, link));
            if update != Update::default() {
                self.queue(delay_ms, Input::FromController(connection, ToBalancer::Update(update)));
            }
        }
    }

    fn link(&self, endpoint: SocketAddr, lists_controllers: bool) -> ToBalancer {
        let state = &self.controllers[&endpoint];
        let listed_controllers = self.listed.iter().filter(|_| lists_controllers).map(|&endpoint| {
            let listed = &self.controllers[&endpoint];
            ControllerAddress { endpoint, zone: listed.zone.to_owned(), region: listed.region.to_owned() }
        });
        ToBalancer::Link(Link {
            in_quorum: state.in_quorum,
            shutting_down: state.shutting_down,
            controllers: listed_controllers.collect(),
        })
    }

    fn send_keep_alives(&mut self) {
        let connections: Vec<_> =
            self.connections.iter().map(|(&id, &connection_state)| (id, connection_state)).collect();
        for (connection, connection_state) in connections {
            let state = &self.controllers[&connection_state.endpoint];
            if state.mode == Mode::Up && connection_state.has_reported {
                let delay_ms = state.delay_ms;
                let link = self.link(connection_state.endpoint, false);
                self.queue(delay_ms, Input::FromController(connection, link));
            }
        }
    }

    /// Sends an update from a controller to the agent.
    pub fn send_update(&mut self, number: u8, update: Update) {
        let connections: Vec<_> =
            self.connections.iter().map(|(&id, &connection_state)| (id, connection_state)).collect();
        for (connection, connection_state) in connections {
            if connection_state.endpoint == endpoint(number) && connection_state.has_reported {
                self.queue(5, Input::FromController(connection, ToBalancer::Update(update.clone())));
            }
        }
    }

    fn queue(&mut self, delay_ms: u64, input: Input) {
        self.queued_count += 1;
        self.inbox.insert((self.now + delay_ms, self.queued_count), input);
    }

    /// Returns the controllers to which the agent has reported on an open connection.
    pub fn connected_controllers(&self) -> Vec<SocketAddr> {
        self.connections
            .values()
            .filter(|connection_state| connection_state.has_reported)
            .map(|connection_state| connection_state.endpoint)
            .collect()
    }

    /// Returns the controllers of all links of the agent, in order.
    pub fn link_history(&self) -> Vec<SocketAddr> {
        let endpoints = self.notices.iter().filter_map(|(_, notice)| match notice {
            Notice::Linked { endpoint, .. } => Some(*endpoint),
            _ => None,
        });
        endpoints.collect()
    }

    /// Returns the time of the newest link.
    pub fn linked_at(&self) -> u64 {
        let newest = self.notices.iter().rev().find(|(_, notice)| matches!(notice, Notice::Linked { .. }));
        newest.unwrap().0
    }

    /// Whether the agent has ever lost its link.
    pub fn has_lost_link(&self) -> bool {
        self.notices.iter().any(|(_, notice)| matches!(notice, Notice::LinkLost { .. }))
    }

    pub fn last_report(&self) -> &Report {
        &self.reports.last().unwrap().2
    }

    /// Returns the updates that were sent to the proxy.
    pub fn proxy_updates(&self) -> Vec<Update> {
        let updates = self.proxy_messages.iter().filter_map(|message| match message {
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
