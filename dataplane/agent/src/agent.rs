//! State machine of the agent: keeps a link to a controller, sends the newest sections to its proxy and
//! forwards the reports of the proxy.

use whinspindle_distribution::{Link, Report, ToBalancer, Update, Versions};

use crate::catalog::ControllerCatalog;
use crate::connection::ConnectionId;
use crate::guarded_sections::GuardedSections;
use crate::messages::{AgentSettings, Input, Notice, Output};
use crate::metrics::AgentMetrics;
use crate::protocol_rules::{ProtocolRules, StandardRules};
use crate::proxy_state::ProxyState;
use crate::selector::{LinkEvent, LinkSelector};

/// Interval of reports to the controller while no proxy reports.
const REPORT_INTERVAL_MS: u64 = 500;
/// Interval of link messages to a reporting proxy, which disconnects from an agent that sends nothing.
const KEEP_ALIVE_INTERVAL_MS: u64 = 1_000;
/// Interval of reloading the settings while there is no link.
const SETTINGS_READ_INTERVAL_MS: u64 = 2_000;
/// Time between the exit of the agent and the end of the grace period.
const EXIT_MARGIN_MS: u64 = 1_000;

/// State machine of an agent. Times are milliseconds of a monotonic clock that the caller reads.
#[derive(Clone, Debug)]
pub struct Agent<R = StandardRules> {
    selector: LinkSelector,
    sections: GuardedSections<R>,
    proxy: ProxyState,
    /// Link message that was last sent to the proxy.
    link: Link,
    link_sent_at: u64,
    /// Time of the last message on the current or last link.
    last_received_at: Option<u64>,
    /// Whether the linked controller was in a quorum at the last log line.
    last_logged_quorum: bool,
    grace_ms: u64,
    exit_at: Option<u64>,
    has_exited: bool,
    next_report_at: u64,
    next_settings_at: u64,
    applied_versions: Versions,
}

impl Agent {
    /// Creates an agent without connections.
    pub fn new(now: u64, settings: AgentSettings) -> Self {
        Agent::with_rules(now, settings)
    }
}

impl<R: ProtocolRules> Agent<R> {
    /// Creates an agent with other protocol rules than [`Agent::new`].
    pub fn with_rules(now: u64, settings: AgentSettings) -> Self {
        let AgentSettings { node, machine_ip, zone, region, seeds, grace_ms, incarnation } = settings;
        let mut catalog = ControllerCatalog::new(zone.clone(), region.clone(), incarnation);
        catalog.set_seeds(now, &seeds);
        Agent {
            selector: LinkSelector::new(catalog),
            sections: GuardedSections::new(),
            proxy: ProxyState::disconnected(node, zone, region, machine_ip, incarnation),
            link: Link::default(),
            link_sent_at: now,
            last_received_at: None,
            last_logged_quorum: false,
            grace_ms,
            exit_at: None,
            has_exited: false,
            next_report_at: now,
            next_settings_at: now + SETTINGS_READ_INTERVAL_MS,
            applied_versions: Versions::default(),
        }
    }

    /// Handles an input. Returns the outputs in order.
    pub fn handle(&mut self, now: u64, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Tick => {}
            Input::Connected(connection) => self.handle_connected(now, connection, &mut outputs),
            Input::Closed(connection) => {
                let events = self.selector.record_closed(now, connection);
                self.handle_link_events(now, events, &mut outputs);
            }
            Input::FromController(connection, message) => {
                self.handle_controller_message(now, connection, message, &mut outputs);
            }
            Input::ProxyConnected => self.handle_proxy_connected(now, &mut outputs),
            Input::ProxyClosed => self.handle_proxy_closed(now, &mut outputs),
            Input::FromProxy(report) => self.handle_proxy_report(now, report, &mut outputs),
            Input::SeedsReloaded(seeds) => {
                let events = self.selector.set_seeds(now, &seeds);
                self.handle_link_events(now, events, &mut outputs);
            }
            Input::Terminate => self.handle_terminate(now, &mut outputs),
        }
        self.tick(now, &mut outputs);
        outputs
    }

    /// Returns the current metrics.
    pub fn metrics(&self, now: u64) -> AgentMetrics {
        AgentMetrics {
            has_link: self.selector.current_link().is_some(),
            in_quorum: self.selector.has_quorum(),
            is_proxy_connected: self.proxy.is_connected(),
            received_ms_ago: self.last_received_at.map(|at| now.saturating_sub(at)),
            section_versions: self.sections.versions(),
            applied_versions: self.applied_versions,
        }
    }

    /// Returns the latest time of the next [`Input::Tick`].
    pub fn next_wake(&self, now: u64) -> u64 {
        let report = match self.selector.current_link() {
            Some(_) if self.proxy.is_reporting(now) => Some(self.proxy.timeout_at()),
            Some(_) => Some(self.next_report_at),
            None => None,
        };
        let settings_read = self.selector.current_link().is_none().then_some(self.next_settings_at);
        let wakes = [report, settings_read, self.sections.next_wake(), self.exit_at];
        wakes.into_iter().flatten().fold(self.selector.next_wake(now), u64::min)
    }

    fn tick(&mut self, now: u64, outputs: &mut Vec<Output>) {
        let events = self.selector.tick(now);
        self.handle_link_events(now, events, outputs);
        let changes = self.sections.apply_pending(now);
        self.forward_to_proxy(changes, outputs);
        if !self.proxy.is_reporting(now) && now >= self.next_report_at {
            self.send_report(now, outputs);
        }
        if self.selector.current_link().is_none() && now >= self.next_settings_at {
            self.next_settings_at = now + SETTINGS_READ_INTERVAL_MS;
            outputs.push(Output::ReadSettings);
        }
        if self.exit_at.is_some_and(|exit_at| now >= exit_at) {
            self.exit(outputs);
        }
    }

    /// Sends the hello and a report together, since a controller sends its state in response to the first
    /// report.
    fn handle_connected(&mut self, now: u64, connection: ConnectionId, outputs: &mut Vec<Output>) {
        let events = self.selector.record_connected(now, connection);
        outputs.push(Output::SendHello(connection));
        outputs.push(Output::SendReport(connection, self.outgoing_report(now)));
        self.handle_link_events(now, events, outputs);
    }

    fn handle_controller_message(
        &mut self,
        now: u64,
        id: ConnectionId,
        message: ToBalancer,
        outputs: &mut Vec<Output>,
    ) {
        if self.selector.current_link() == Some(id) {
            self.last_received_at = Some(now);
        }
        match message {
            ToBalancer::Link(link) => {
                let events = self.selector.record_state(now, id, &link);
                self.handle_link_events(now, events, outputs);
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
        if std::mem::replace(&mut self.last_logged_quorum, in_quorum) != in_quorum {
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

    /// Forwards changes to the proxy, and reports changes of the acknowledged versions at once.
    fn forward_and_acknowledge(&mut self, now: u64, changes: Update, outputs: &mut Vec<Output>) {
        self.forward_to_proxy(changes, outputs);
        if self.proxy.is_reporting(now) && self.outgoing_report(now).applied != self.applied_versions {
            self.send_report(now, outputs);
        }
    }

    fn forward_to_proxy(&self, changes: Update, outputs: &mut Vec<Output>) {
        if self.proxy.is_connected() && changes != Update::default() {
            outputs.push(Output::SendToProxy(ToBalancer::Update(changes)));
        }
    }

    fn handle_proxy_connected(&mut self, now: u64, outputs: &mut Vec<Output>) {
        self.proxy.record_connected(now);
        outputs.push(Output::Log(Notice::ProxyConnected));
        self.send_link_to_proxy(now, outputs);
        self.forward_to_proxy(self.sections.snapshot(now), outputs);
    }

    fn handle_proxy_closed(&mut self, now: u64, outputs: &mut Vec<Output>) {
        self.proxy.record_closed();
        outputs.push(Output::Log(Notice::ProxyClosed));
        self.send_report(now, outputs);
        if self.exit_at.is_some() {
            self.exit(outputs);
        }
    }

    fn handle_proxy_report(&mut self, now: u64, report: Report, outputs: &mut Vec<Output>) {
        let before = self.applied_versions;
        self.sections.record_applied(report.applied);
        self.proxy.record_report(now, report);
        self.send_report(now, outputs);
        if now >= self.link_sent_at + KEEP_ALIVE_INTERVAL_MS {
            self.send_link_to_proxy(now, outputs);
        }
        let (configured, evacuations) = (self.applied_versions.configured, self.applied_versions.evacuations);
        if configured > before.configured || evacuations > before.evacuations {
            outputs.push(Output::Log(Notice::Applied { configured, evacuations }));
        }
    }

    fn handle_terminate(&mut self, now: u64, outputs: &mut Vec<Output>) {
        if self.exit_at.is_some() {
            return;
        }
        self.exit_at = Some(now + self.grace_ms.saturating_sub(EXIT_MARGIN_MS));
        outputs.push(Output::Log(Notice::ShuttingDown));
        self.send_report(now, outputs);
        if !self.proxy.is_connected() {
            self.exit(outputs);
        }
    }

    fn exit(&mut self, outputs: &mut Vec<Output>) {
        if !self.has_exited {
            self.has_exited = true;
            outputs.push(Output::Exit);
        }
    }

    fn outgoing_report(&self, now: u64) -> Report {
        self.proxy.outgoing_report(now, self.sections.versions(), self.exit_at.is_some())
    }

    fn send_report(&mut self, now: u64, outputs: &mut Vec<Output>) {
        self.next_report_at = now + REPORT_INTERVAL_MS;
        let report = self.outgoing_report(now);
        self.applied_versions = report.applied;
        if let Some(connection) = self.selector.current_link() {
            outputs.push(Output::SendReport(connection, report));
        }
    }

    fn handle_link_events(&mut self, now: u64, events: Vec<LinkEvent>, outputs: &mut Vec<Output>) {
        for event in events {
            match event {
                LinkEvent::Connect { connection, endpoint } => {
                    outputs.push(Output::Connect { connection, endpoint });
                }
                LinkEvent::Close { connection } => outputs.push(Output::Close(connection)),
                LinkEvent::Linked { endpoint, in_quorum, .. } => {
                    self.sections.record_new_link(now);
                    self.last_logged_quorum = in_quorum;
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
