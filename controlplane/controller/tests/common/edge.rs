//! A simulated edge machine: the agent with its connections to controllers, and the state that its proxy has
//! applied.

use std::collections::{BTreeMap, VecDeque};
use std::net::{IpAddr, SocketAddr};

use whinspindle_agent::{Agent, AgentSettings, ConnectionId, Input, Output, ProtocolRules};
use whinspindle_distribution::{AppliedState, Report, SubscriberId, ToBalancer};

use super::zones;

/// Interval between reports of a proxy without changes.
const REPORT_MS: u64 = 500;
const GRACE_MS: u64 = 8_000;

/// A connection of the agent to a controller, with the messages in flight.
pub struct Wire {
    pub controller: SocketAddr,
    pub subscriber: SubscriberId,
    /// The incarnation of the controller process that accepted the connection; none before that.
    pub accepted_by: Option<u64>,
    /// Messages to the controller.
    pub upward: VecDeque<Report>,
    /// Messages to the agent.
    pub downward: VecDeque<ToBalancer>,
}

/// Requests of an edge machine to the network.
pub enum EdgeAction {
    Connect(ConnectionId, SocketAddr),
    Closed(Wire),
}

/// The state of the proxy process.
#[derive(Default)]
struct Proxy {
    applied: AppliedState,
    report_at: u64,
}

/// An edge machine, whose agent and proxy may each be stopped.
pub struct Edge<L> {
    pub number: u8,
    pub address: SocketAddr,
    pub wires: BTreeMap<ConnectionId, Wire>,
    /// The seed controllers in the settings.
    pub seeds: Vec<SocketAddr>,
    agent: Option<Agent<L>>,
    proxy: Option<Proxy>,
    incarnations: u64,
    pub frozen_until: u64,
    /// The newest sequence number of a configuration that a proxy has reported to the running agent.
    pub newest_reported: u64,
}

impl<L: ProtocolRules> Edge<L> {
    pub fn new(number: u8, seeds: Vec<SocketAddr>) -> Self {
        Edge {
            number,
            address: SocketAddr::from(([10, 1, 0, number], 8161)),
            wires: BTreeMap::new(),
            seeds,
            agent: None,
            proxy: None,
            incarnations: 0,
            frozen_until: 0,
            newest_reported: 0,
        }
    }

    pub fn is_running(&self) -> bool {
        self.agent.is_some() && self.proxy.is_some()
    }

    /// The state that the proxy has applied, if it is running.
    pub fn applied(&self) -> Option<&AppliedState> {
        self.proxy.as_ref().map(|proxy| &proxy.applied)
    }

    pub fn start_agent(&mut self, now: u64) -> Vec<EdgeAction> {
        if self.agent.is_some() {
            return Vec::new();
        }
        self.incarnations += 1;
        self.newest_reported = 0;
        let (zone, region) = self.location();
        let settings = AgentSettings {
            node: self.node(),
            machine_ip: self.address.ip(),
            zone,
            region,
            seeds: self.seeds.clone(),
            grace_ms: GRACE_MS,
            incarnation: u64::from(self.number) << 32 | self.incarnations,
        };
        self.agent = Some(Agent::with_rules(now, settings));
        let mut actions = Vec::new();
        if self.proxy.is_some() {
            actions = self.handle_input(now, Input::ProxyConnected);
        }
        actions
    }

    pub fn start_proxy(&mut self, now: u64) -> Vec<EdgeAction> {
        if self.proxy.is_some() {
            return Vec::new();
        }
        self.proxy = Some(Proxy { applied: AppliedState::new(), report_at: now });
        self.handle_input(now, Input::ProxyConnected)
    }

    /// Stops the agent; its connections are closed.
    pub fn stop_agent(&mut self) -> Vec<EdgeAction> {
        self.agent = None;
        std::mem::take(&mut self.wires).into_values().map(EdgeAction::Closed).collect()
    }

    pub fn stop_proxy(&mut self, now: u64) -> Vec<EdgeAction> {
        self.proxy = None;
        self.handle_input(now, Input::ProxyClosed)
    }

    /// Sends a report and runs the agent if they are due.
    pub fn tick(&mut self, now: u64) -> Vec<EdgeAction> {
        let mut actions = Vec::new();
        if self.proxy.as_ref().is_some_and(|proxy| now >= proxy.report_at) {
            actions.extend(self.report(now));
        }
        if self.agent.as_ref().is_some_and(|agent| now >= agent.next_wake(now)) {
            actions.extend(self.handle_input(now, Input::Tick));
        }
        actions
    }

    pub fn handle_input(&mut self, now: u64, input: Input) -> Vec<EdgeAction> {
        let Some(agent) = &mut self.agent else { return Vec::new() };
        let mut outputs = agent.handle(now, input);
        if outputs.contains(&Output::ReadSettings) {
            outputs.extend(agent.handle(now, Input::SeedsReloaded(self.seeds.clone())));
        }
        outputs.into_iter().filter_map(|output| self.execute(now, output)).collect()
    }

    fn execute(&mut self, now: u64, output: Output) -> Option<EdgeAction> {
        match output {
            Output::Connect { connection, endpoint } => {
                return Some(EdgeAction::Connect(connection, endpoint));
            }
            Output::Close(connection) => return self.wires.remove(&connection).map(EdgeAction::Closed),
            Output::SendReport(connection, report) => {
                if let Some(wire) = self.wires.get_mut(&connection) {
                    wire.upward.push_back(report);
                }
            }
            Output::SendToProxy(ToBalancer::Update(update)) => {
                if let Some(proxy) = &mut self.proxy {
                    proxy.applied.apply(now, update);
                    proxy.report_at = now;
                }
            }
            Output::SendToProxy(ToBalancer::Link(_))
            | Output::SendHello(_)
            | Output::ReadSettings
            | Output::Exit
            | Output::Log(_) => {}
        }
        None
    }

    fn report(&mut self, now: u64) -> Vec<EdgeAction> {
        let (zone, region) = self.location();
        let Some(proxy) = &mut self.proxy else { return Vec::new() };
        proxy.report_at = now + REPORT_MS;
        let applied = proxy.applied.versions();
        let report = Report {
            node: self.node(),
            incarnation: self.incarnations,
            zone,
            region,
            front: self.address,
            ready: applied.configured > 0 && applied.instances > 0,
            shutting_down: false,
            applied,
            sends: Vec::new(),
            failing: Vec::new(),
        };
        if self.agent.is_some() {
            self.newest_reported = self.newest_reported.max(applied.configured);
        }
        self.handle_input(now, Input::FromProxy(report))
    }

    fn node(&self) -> String {
        format!("edge-{}", self.number)
    }

    /// The zone and the region of the machine.
    pub fn location(&self) -> (String, String) {
        let zones = zones();
        let (zone, region) = zones.iter().nth(usize::from(self.number) % zones.len()).unwrap();
        (zone.clone(), region.clone())
    }

    pub fn machine(&self) -> IpAddr {
        self.address.ip()
    }
}
