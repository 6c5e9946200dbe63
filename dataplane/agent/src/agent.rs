//! The agent's state machine: keeps a link to a controller, sends the newest sections to its proxy and forwards the proxy's
//! reports.

use whinspindle_distribution::{Link, Report, ToBalancer, Update, Versions};

use crate::catalog::ControllerCatalog;
use crate::connection::ConnectionId;
use crate::guarded_sections::GuardedSections;
use crate::messages::{AgentSettings, Input, Notice, Output};
use crate::metrics::AgentMetrics;
use crate::protocol_rules::{ProtocolRules, StandardRules};
use crate::proxy_state::ProxyState;
use crate::selector::{LinkEvent, LinkSelector};

/// Interval of reports while no proxy reports.
const REPORT_MS: u64 = 500;
/// Interval of link messages to a proxy that reports, which would disconnect a silent agent.
const KEEP_ALIVE_MS: u64 = 1_000;
/// Interval of reading the settings again while there is no link.
const SETTINGS_MS: u64 = 2_000;
/// The agent exits this long before the end of the grace period.
const EXIT_RESERVE_MS: u64 = 1_000;

/// The state machine of an agent. Times are milliseconds of a monotonic clock that the caller reads.
#[derive(Clone, Debug)]
pub struct Agent<L = StandardRules> {
    selector: LinkSelector,
    sections: GuardedSections<L>,
    proxy: ProxyState,
    /// The link as last sent to the proxy.
    link: Link,
    link_sent_at: u64,
    /// When something was last received from the present or last link.
    received_at: Option<u64>,
    /// The quorum of the link's controller as last logged.
    logged_quorum: bool,
    grace_ms: u64,
    exit_at: Option<u64>,
    exited: bool,
    next_report_at: u64,
    next_settings_at: u64,
    applied: Versions,
}

impl Agent {
    /// An agent without connections.
    pub fn new(now: u64, settings: AgentSettings) -> Self {
        Agent::with_rules(now, settings)
    }
}

impl<L: ProtocolRules> Agent<L> {
    /// Like [`Agent::new`], with other protocol rules.
    pub fn with_rules(now: u64, settings: AgentSettings) -> Self {
        let AgentSettings { node, machine_ip, zone, region, seeds, grace_ms, incarnation } = settings;
        let mut catalog = ControllerCatalog::new(zone.clone(), region.clone(), incarnation);
        catalog.set_seeds(now, &seeds);
        Agent {
            selector: LinkSelector::new(catalog),
            sections: GuardedSections::new(),
            proxy: ProxyState::absent(node, zone, region, machine_ip, incarnation),
            link: Link::default(),
            link_sent_at: now,
            received_at: None,
            logged_quorum: false,
            grace_ms,
            exit_at: None,
            exited: false,
            next_report_at: now,
            next_settings_at: now + SETTINGS_MS,
            applied: Versions::default(),
        }
    }

    /// Handles an input. Returns the outputs in order.
    pub fn handle(&mut self, now: u64, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Tick => {}
            Input::Connected(connection) => self.connected(now, connection, &mut outputs),
            Input::Closed(connection) => {
                let events = self.selector.record_closed(now, connection);
                self.carry_out(now, events, &mut outputs);
            }
            Input::FromController(connection, message) => {
                self.handle_controller_message(now, connection, message, &mut outputs);
            }
            Input::ProxyConnected => self.proxy_connected(now, &mut outputs),
            Input::ProxyClosed => self.proxy_closed(now, &mut outputs),
            Input::FromProxy(report) => self.proxy_reported(now, report, &mut outputs),
            Input::SeedsReloaded(seeds) => {
                let events = self.selector.set_seeds(now, &seeds);
                self.carry_out(now, events, &mut outputs);
            }
            Input::Terminate => self.terminate(now, &mut outputs),
        }
        self.tick(now, &mut outputs);
        outputs
    }

    /// The present metrics.
    pub fn metrics(&self, now: u64) -> AgentMetrics {
        AgentMetrics {
            has_link: self.selector.current_link().is_some(),
            in_quorum: self.selector.has_quorum(),
            is_proxy_connected: self.proxy.is_connected(),
            received_ms_ago: self.received_at.map(|at| now.saturating_sub(at)),
            held_versions: self.sections.versions(),
            applied_versions: self.applied,
        }
    }

    /// The time of the next [`Input::Tick`] at the latest.
    pub fn next_wake(&self, now: u64) -> u64 {
        let report = match self.selector.current_link() {
            Some(_) if self.proxy.is_reporting(now) => Some(self.proxy.times_out_at()),
            Some(_) => Some(self.next_report_at),
            None => None,
        };
        let settings = self.selector.current_link().is_none().then_some(self.next_settings_at);
        let wakes = [report, settings, self.sections.next_wake(), self.exit_at];
        wakes.into_iter().flatten().fold(self.selector.next_wake(now), u64::min)
    }

    fn tick(&mut self, now: u64, outputs: &mut Vec<Output>) {
        let events = self.selector.tick(now);
        self.carry_out(now, events, outputs);
        let changes = self.sections.release_pending(now);
        self.forward(changes, outputs);
        if !self.proxy.is_reporting(now) && now >= self.next_report_at {
            self.report(now, outputs);
        }
        if self.selector.current_link().is_none() && now >= self.next_settings_at {
            self.next_settings_at = now + SETTINGS_MS;
            outputs.push(Output::ReadSettings);
        }
        if self.exit_at.is_some_and(|exit_at| now >= exit_at) {
            self.exit(outputs);
        }
    }

    /// Sends hello and report together, since a controller answers the first report with its state.
    fn connected(&mut self, now: u64, connection: ConnectionId, outputs: &mut Vec<Output>) {
        let events = self.selector.record_connected(now, connection);
        outputs.push(Output::SendHello(connection));
        outputs.push(Output::SendReport(connection, self.outgoing_report(now)));
        self.carry_out(now, events, outputs);
    }

    fn handle_controller_message(
        &mut self,
        now: u64,
        id: ConnectionId,
        message: ToBalancer,
        outputs: &mut Vec<Output>,
    ) {
        if self.selector.current_link() == Some(id) {
            self.received_at = Some(now);
        }
        match message {
            ToBalancer::Link(link) => {
                let events = self.selector.record_state(now, id, &link);
                self.carry_out(now, events, outputs);
                self.record_quorum(now, id, link.in_quorum, outputs);
            }
            ToBalancer::Update(update) => {
                self.selector.record_received(now, id);
                if self.selector.current_link() == Some(id) {
                    let changes = self.sections.apply(now, update);
                    self.forward_and_acknowledge(now, changes, outputs);
                }
            }
        }
    }

    fn record_quorum(&mut self, now: u64, id: ConnectionId, in_quorum: bool, outputs: &mut Vec<Output>) {
        if self.selector.current_link() != Some(id) {
            return;
        }
        let changes = self.sections.set_quorum(now, in_quorum);
        self.forward_and_acknowledge(now, changes, outputs);
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
            self.send_link_to_proxy(now, outputs);
        }
    }

    fn send_link_to_proxy(&mut self, now: u64, outputs: &mut Vec<Output>) {
        self.link_sent_at = now;
        outputs.push(Output::SendToProxy(ToBalancer::Link(self.link.clone())));
    }

    /// Forwards changes to the proxy, and acknowledges at once what the proxy has applied already.
    fn forward_and_acknowledge(&mut self, now: u64, changes: Update, outputs: &mut Vec<Output>) {
        self.forward(changes, outputs);
        if self.proxy.is_reporting(now) && self.outgoing_report(now).applied != self.applied {
            self.report(now, outputs);
        }
    }

    fn forward(&self, changes: Update, outputs: &mut Vec<Output>) {
        if self.proxy.is_connected() && changes != Update::default() {
            outputs.push(Output::SendToProxy(ToBalancer::Update(changes)));
        }
    }

    fn proxy_connected(&mut self, now: u64, outputs: &mut Vec<Output>) {
        self.proxy.connected(now);
        outputs.push(Output::Log(Notice::ProxyConnected));
        self.send_link_to_proxy(now, outputs);
        self.forward(self.sections.snapshot(now), outputs);
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
        self.sections.record_in_force(report.applied);
        self.proxy.reported(now, report);
        self.report(now, outputs);
        if now >= self.link_sent_at + KEEP_ALIVE_MS {
            self.send_link_to_proxy(now, outputs);
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
        outputs.push(Output::Log(Notice::ShuttingDown));
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

    fn outgoing_report(&self, now: u64) -> Report {
        self.proxy.outgoing_report(now, self.sections.versions(), self.exit_at.is_some())
    }

    fn report(&mut self, now: u64, outputs: &mut Vec<Output>) {
        self.next_report_at = now + REPORT_MS;
        let report = self.outgoing_report(now);
        self.applied = report.applied;
        if let Some(connection) = self.selector.current_link() {
            outputs.push(Output::SendReport(connection, report));
        }
    }

    fn carry_out(&mut self, now: u64, events: Vec<LinkEvent>, outputs: &mut Vec<Output>) {
        for event in events {
            match event {
                LinkEvent::Connect { connection, endpoint } => {
                    outputs.push(Output::Connect { connection, endpoint });
                }
                LinkEvent::Close { connection } => outputs.push(Output::Close(connection)),
                LinkEvent::Linked { endpoint, in_quorum, .. } => {
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
