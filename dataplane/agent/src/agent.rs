//! What the agent does: keeps the link, holds the newest sections, feeds its proxy and passes its reports on.

use std::net::{IpAddr, SocketAddr};

use whinspindle_distribution::{Link, Report, ToBalancer, Update, Versions};

use crate::catalog::ControllerCatalog;
use crate::connection::ConnectionId;
use crate::figures::AgentFigures;
use crate::protocol_rules::{ProtocolRules, StandardRules};
use crate::report::ProxyState;
use crate::sections::GuardedSections;
use crate::selector::{LinkEvent, LinkSelector, LossReason};

/// How often the agent reports while no proxy does.
const REPORT_MS: u64 = 500;
/// How often the proxy hears of the link at least, at its reports: a silent agent is given up.
const KEEP_ALIVE_MS: u64 = 1_000;
/// How often the settings are read again while no controller is reached.
const SETTINGS_MS: u64 = 2_000;
/// Time kept of the grace for the end itself.
const EXIT_RESERVE_MS: u64 = 1_000;

/// What an agent is told at its start.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    pub node: String,
    pub machine: IpAddr,
    pub zone: String,
    pub region: String,
    /// The internal endpoints of the controllers of the settings.
    pub seeds: Vec<SocketAddr>,
    /// Time between the order to stop and the end by force.
    pub grace_ms: u64,
    /// Differs for each start; also spreads the first attempts.
    pub incarnation: u64,
}

/// What happens to an agent.
#[derive(Clone, Debug)]
pub enum Input {
    /// The time of `next_wake` has come.
    Tick,
    Connected(ConnectionId),
    /// A connection has ended or could not be made.
    Closed(ConnectionId),
    FromController(ConnectionId, ToBalancer),
    /// A proxy has connected; an earlier one is gone.
    ProxyConnected,
    ProxyClosed,
    FromProxy(Report),
    /// The settings were read again.
    Seeds(Vec<SocketAddr>),
    /// The process is to stop.
    Terminate,
}

/// What an agent wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Connect {
        connection: ConnectionId,
        endpoint: SocketAddr,
    },
    Close(ConnectionId),
    /// Send a hello; the first frame of a connection.
    Greet(ConnectionId),
    Report(ConnectionId, Report),
    ToProxy(ToBalancer),
    /// Read the settings and hand in the controllers.
    ReadSettings,
    /// Write out what is pending and end.
    Exit,
    Log(Notice),
}

/// What is worth a line in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    Linked {
        endpoint: SocketAddr,
        in_quorum: bool,
    },
    LinkLost {
        endpoint: SocketAddr,
        reason: LossReason,
    },
    QuorumChanged {
        in_quorum: bool,
    },
    ProxyConnected,
    ProxyClosed,
    /// The proxy has put a newer configuration or evacuation into force.
    Applied {
        configured: u64,
        evacuations: u64,
    },
    Leaving,
}

/// The agent's state.
#[derive(Clone, Debug)]
pub struct Agent<L = StandardRules> {
    selector: LinkSelector,
    sections: GuardedSections<L>,
    proxy: ProxyState,
    /// What the proxy was told of the link last.
    link: Link,
    link_told_at: u64,
    /// When the link's controller, or the last one that was linked, was heard.
    heard_at: Option<u64>,
    /// What the log says of the quorum of the link's controller.
    logged_quorum: bool,
    grace_ms: u64,
    exit_at: Option<u64>,
    exited: bool,
    next_report_at: u64,
    next_settings_at: u64,
    applied: Versions,
}

impl Agent {
    pub fn new(now: u64, settings: AgentSettings) -> Self {
        Agent::with_rules(now, settings)
    }
}

impl<L: ProtocolRules> Agent<L> {
    /// Like [`Agent::new`], under rules of the caller's choice.
    pub fn with_rules(now: u64, settings: AgentSettings) -> Self {
        let AgentSettings { node, machine, zone, region, seeds, grace_ms, incarnation } = settings;
        let mut catalog = ControllerCatalog::new(zone.clone(), region.clone(), incarnation);
        catalog.set_seeds(now, &seeds);
        Agent {
            selector: LinkSelector::new(catalog),
            sections: GuardedSections::new(),
            proxy: ProxyState::absent(node, zone, region, machine, incarnation),
            link: Link::default(),
            link_told_at: now,
            heard_at: None,
            logged_quorum: false,
            grace_ms,
            exit_at: None,
            exited: false,
            next_report_at: now,
            next_settings_at: now + SETTINGS_MS,
            applied: Versions::default(),
        }
    }

    /// Takes an input, and returns what is to be done, in order.
    pub fn handle(&mut self, now: u64, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Tick => {}
            Input::Connected(connection) => self.connected(now, connection, &mut outputs),
            Input::Closed(connection) => {
                let events = self.selector.closed(now, connection);
                self.follow(now, events, &mut outputs);
            }
            Input::FromController(connection, message) => {
                self.controller_said(now, connection, message, &mut outputs);
            }
            Input::ProxyConnected => self.proxy_connected(now, &mut outputs),
            Input::ProxyClosed => self.proxy_closed(now, &mut outputs),
            Input::FromProxy(report) => self.proxy_reported(now, report, &mut outputs),
            Input::Seeds(seeds) => {
                let events = self.selector.set_seeds(now, &seeds);
                self.follow(now, events, &mut outputs);
            }
            Input::Terminate => self.terminate(now, &mut outputs),
        }
        self.tick(now, &mut outputs);
        outputs
    }

    /// What whoever watches the agent is told.
    pub fn figures(&self, now: u64) -> AgentFigures {
        AgentFigures {
            linked: self.selector.current().is_some(),
            in_quorum: self.selector.has_quorum(),
            proxy_connected: self.proxy.is_connected(),
            heard_ms_ago: self.heard_at.map(|at| now.saturating_sub(at)),
            held: self.sections.versions(),
            applied: self.applied,
        }
    }

    /// When to hand in a tick at the latest.
    pub fn next_wake(&self, now: u64) -> u64 {
        let report = match self.selector.current() {
            Some(_) if self.proxy.speaks(now) => Some(self.proxy.silent_at()),
            Some(_) => Some(self.next_report_at),
            None => None,
        };
        let settings = self.selector.current().is_none().then_some(self.next_settings_at);
        let wakes = [report, settings, self.sections.next_wake(), self.exit_at];
        wakes.into_iter().flatten().fold(self.selector.next_wake(now), u64::min)
    }

    fn tick(&mut self, now: u64, outputs: &mut Vec<Output>) {
        let events = self.selector.tick(now);
        self.follow(now, events, outputs);
        let news = self.sections.settle(now);
        self.pass_on(news, outputs);
        if !self.proxy.speaks(now) && now >= self.next_report_at {
            self.report(now, outputs);
        }
        if self.selector.current().is_none() && now >= self.next_settings_at {
            self.next_settings_at = now + SETTINGS_MS;
            outputs.push(Output::ReadSettings);
        }
        if self.exit_at.is_some_and(|exit_at| now >= exit_at) {
            self.exit(outputs);
        }
    }

    /// A controller answers the first report with its state, so both frames go out together.
    fn connected(&mut self, now: u64, connection: ConnectionId, outputs: &mut Vec<Output>) {
        let events = self.selector.connected(now, connection);
        outputs.push(Output::Greet(connection));
        outputs.push(Output::Report(connection, self.upward(now)));
        self.follow(now, events, outputs);
    }

    fn controller_said(
        &mut self,
        now: u64,
        id: ConnectionId,
        message: ToBalancer,
        outputs: &mut Vec<Output>,
    ) {
        if self.selector.current() == Some(id) {
            self.heard_at = Some(now);
        }
        match message {
            ToBalancer::Link(link) => {
                let events = self.selector.told(now, id, &link);
                self.follow(now, events, outputs);
                self.quorum_told(now, id, link.in_quorum, outputs);
            }
            ToBalancer::Update(update) => {
                self.selector.heard(now, id);
                if self.selector.current() == Some(id) {
                    let news = self.sections.apply(now, update);
                    self.took_sections(now, news, outputs);
                }
            }
        }
    }

    fn quorum_told(&mut self, now: u64, id: ConnectionId, in_quorum: bool, outputs: &mut Vec<Output>) {
        if self.selector.current() != Some(id) {
            return;
        }
        let news = self.sections.set_quorum(now, in_quorum);
        self.took_sections(now, news, outputs);
        if std::mem::replace(&mut self.logged_quorum, in_quorum) != in_quorum {
            outputs.push(Output::Log(Notice::QuorumChanged { in_quorum }));
        }
        self.set_link_quorum(now, in_quorum, outputs);
    }

    fn set_link_quorum(&mut self, now: u64, in_quorum: bool, outputs: &mut Vec<Output>) {
        if self.link.in_quorum == in_quorum {
            return;
        }
        self.link.in_quorum = in_quorum;
        if self.proxy.is_connected() {
            self.tell_proxy_of_link(now, outputs);
        }
    }

    fn tell_proxy_of_link(&mut self, now: u64, outputs: &mut Vec<Output>) {
        self.link_told_at = now;
        outputs.push(Output::ToProxy(ToBalancer::Link(self.link.clone())));
    }

    /// Passes news on to the proxy. What the proxy has applied already is acknowledged at once.
    fn took_sections(&mut self, now: u64, news: Update, outputs: &mut Vec<Output>) {
        self.pass_on(news, outputs);
        if self.proxy.speaks(now) && self.upward(now).applied != self.applied {
            self.report(now, outputs);
        }
    }

    fn pass_on(&self, news: Update, outputs: &mut Vec<Output>) {
        if self.proxy.is_connected() && news != Update::default() {
            outputs.push(Output::ToProxy(ToBalancer::Update(news)));
        }
    }

    fn proxy_connected(&mut self, now: u64, outputs: &mut Vec<Output>) {
        self.proxy.connected(now);
        outputs.push(Output::Log(Notice::ProxyConnected));
        self.tell_proxy_of_link(now, outputs);
        self.pass_on(self.sections.snapshot(now), outputs);
    }

    fn proxy_closed(&mut self, now: u64, outputs: &mut Vec<Output>) {
        self.proxy.closed();
        outputs.push(Output::Log(Notice::ProxyClosed));
        self.report(now, outputs);
        if self.exit_at.is_some() {
            self.exit(outputs);
        }
    }

    fn proxy_reported(&mut self, now: u64, report: Report, outputs: &mut Vec<Output>) {
        let before = self.applied;
        self.sections.in_force(report.applied);
        self.proxy.reported(now, report);
        self.report(now, outputs);
        if now >= self.link_told_at + KEEP_ALIVE_MS {
            self.tell_proxy_of_link(now, outputs);
        }
        let (configured, evacuations) = (self.applied.configured, self.applied.evacuations);
        if configured > before.configured || evacuations > before.evacuations {
            outputs.push(Output::Log(Notice::Applied { configured, evacuations }));
        }
    }

    fn terminate(&mut self, now: u64, outputs: &mut Vec<Output>) {
        if self.exit_at.is_some() {
            return;
        }
        self.exit_at = Some(now + self.grace_ms.saturating_sub(EXIT_RESERVE_MS));
        outputs.push(Output::Log(Notice::Leaving));
        self.report(now, outputs);
        if !self.proxy.is_connected() {
            self.exit(outputs);
        }
    }

    fn exit(&mut self, outputs: &mut Vec<Output>) {
        if !self.exited {
            self.exited = true;
            outputs.push(Output::Exit);
        }
    }

    fn upward(&self, now: u64) -> Report {
        self.proxy.upward(now, self.sections.versions(), self.exit_at.is_some())
    }

    fn report(&mut self, now: u64, outputs: &mut Vec<Output>) {
        self.next_report_at = now + REPORT_MS;
        let report = self.upward(now);
        self.applied = report.applied;
        if let Some(connection) = self.selector.current() {
            outputs.push(Output::Report(connection, report));
        }
    }

    fn follow(&mut self, now: u64, events: Vec<LinkEvent>, outputs: &mut Vec<Output>) {
        for event in events {
            match event {
                LinkEvent::Connect { connection, endpoint } => {
                    outputs.push(Output::Connect { connection, endpoint });
                }
                LinkEvent::Close { connection } => outputs.push(Output::Close(connection)),
                LinkEvent::Adopted { endpoint, in_quorum, .. } => {
                    self.sections.linked(now);
                    self.logged_quorum = in_quorum;
                    outputs.push(Output::Log(Notice::Linked { endpoint, in_quorum }));
                }
                LinkEvent::Lost { endpoint, reason } => {
                    self.sections.set_quorum(now, false);
                    outputs.push(Output::Log(Notice::LinkLost { endpoint, reason }));
                    self.set_link_quorum(now, false, outputs);
                }
            }
        }
    }
}
