//! An edge machine: the agent and what its proxy holds, with the agent's connections to the controllers.

use std::collections::{BTreeMap, VecDeque};
use std::net::{IpAddr, SocketAddr};

use whinspindle_agent::{Agent, AgentSettings, ConnectionId, Input, Output, ProtocolRules};
use whinspindle_distribution::{AppliedState, Report, SubscriberId, ToBalancer};

use super::zones;

/// How often a proxy reports without news.
const REPORT_MS: u64 = 500;
const GRACE_MS: u64 = 8_000;

/// A connection of the agent, with what is on its way.
pub struct Wire {
    pub controller: SocketAddr,
    pub subscriber: SubscriberId,
    /// The incarnation of the controller's process that accepted it; none while it is being made.
    pub accepted_by: Option<u64>,
    pub upward: VecDeque<Report>,
    pub downward: VecDeque<ToBalancer>,
}

/// What an edge machine wants of the network.
pub enum EdgeAction {
    Connect(ConnectionId, SocketAddr),
    Closed(Wire),
}

/// What the proxy process holds.
#[derive(Default)]
struct Proxy {
    applied: AppliedState,
    report_at: u64,
}

pub struct Edge<L> {
    pub number: u8,
    pub address: SocketAddr,
    pub wires: BTreeMap<ConnectionId, Wire>,
    /// What the settings name.
    pub seeds: Vec<SocketAddr>,
    agent: Option<Agent<L>>,
    proxy: Option<Proxy>,
    incarnations: u64,
    pub frozen_until: u64,
    /// The newest position of a configuration that a proxy has reported to the running agent.
    pub reported: u64,
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
            reported: 0,
        }
    }

    pub fn is_running(&self) -> bool {
        self.agent.is_some() && self.proxy.is_some()
    }

    /// What the proxy holds, if it runs.
    pub fn applied(&self) -> Option<&AppliedState> {
        self.proxy.as_ref().map(|proxy| &proxy.applied)
    }

    pub fn start_agent(&mut self, now: u64) -> Vec<EdgeAction> {
        if self.agent.is_some() {
            return Vec::new();
        }
        self.incarnations += 1;
        self.reported = 0;
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
            actions = self.give(now, Input::ProxyConnected);
        }
        actions
    }

    pub fn start_proxy(&mut self, now: u64) -> Vec<EdgeAction> {
        if self.proxy.is_some() {
            return Vec::new();
        }
        self.proxy = Some(Proxy { applied: AppliedState::new(), report_at: now });
        self.give(now, Input::ProxyConnected)
    }

    /// The kernel closes the connections of a process that has ended.
    pub fn stop_agent(&mut self) -> Vec<EdgeAction> {
        self.agent = None;
        std::mem::take(&mut self.wires).into_values().map(EdgeAction::Closed).collect()
    }

    pub fn stop_proxy(&mut self, now: u64) -> Vec<EdgeAction> {
        self.proxy = None;
        self.give(now, Input::ProxyClosed)
    }

    /// Lets the agent and the proxy do what is due.
    pub fn tick(&mut self, now: u64) -> Vec<EdgeAction> {
        let mut actions = Vec::new();
        if self.proxy.as_ref().is_some_and(|proxy| now >= proxy.report_at) {
            actions.extend(self.report(now));
        }
        if self.agent.as_ref().is_some_and(|agent| now >= agent.next_wake(now)) {
            actions.extend(self.give(now, Input::Tick));
        }
        actions
    }

    pub fn give(&mut self, now: u64, input: Input) -> Vec<EdgeAction> {
        let Some(agent) = &mut self.agent else { return Vec::new() };
        let mut outputs = agent.handle(now, input);
        if outputs.contains(&Output::ReadSettings) {
            outputs.extend(agent.handle(now, Input::SeedsReloaded(self.seeds.clone())));
        }
        outputs.into_iter().filter_map(|output| self.carry_out(now, output)).collect()
    }

    fn carry_out(&mut self, now: u64, output: Output) -> Option<EdgeAction> {
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
            self.reported = self.reported.max(applied.configured);
        }
        self.give(now, Input::FromProxy(report))
    }

    fn node(&self) -> String {
        format!("edge-{}", self.number)
    }

    /// Its zone and region.
    pub fn location(&self) -> (String, String) {
        let zones = zones();
        let (zone, region) = zones.iter().nth(usize::from(self.number) % zones.len()).unwrap();
        (zone.clone(), region.clone())
    }

    pub fn machine(&self) -> IpAddr {
        self.address.ip()
    }
}
