//! State of the proxy, and the report to the controller, which is based on the newest report of the proxy.

use std::net::SocketAddr;

use whinspindle_distribution::{Report, Versions};

/// Time without a report after which a proxy is not ready, in milliseconds.
const PROXY_TIMEOUT_MS: u64 = 3_000;

/// State of the proxy.
#[derive(Clone, Debug)]
pub(crate) struct ProxyState {
    is_connected: bool,
    /// Incarnation of the agent.
    incarnation: u64,
    reported_at: u64,
    /// Newest report, or a substitute before the first report.
    report: Report,
}

impl ProxyState {
    /// Creates the state before a proxy connects. The address on which the proxy serves clients is unknown.
    pub fn disconnected(
        node: String,
        zone: String,
        region: String,
        machine: std::net::IpAddr,
        incarnation: u64,
    ) -> Self {
        let report = Report {
            node,
            incarnation,
            zone,
            region,
            front: SocketAddr::new(machine, 0),
            ready: false,
            shutting_down: false,
            applied: Versions::default(),
            sends: Vec::new(),
            failing: Vec::new(),
        };
        ProxyState { is_connected: false, incarnation, reported_at: 0, report }
    }

    /// Whether a proxy is connected.
    pub fn is_connected(&self) -> bool {
        self.is_connected
    }

    /// Records that a proxy has connected.
    pub fn record_connected(&mut self, now: u64) {
        self.is_connected = true;
        self.reported_at = now;
        self.clear_report();
    }

    /// Records that the connection of the proxy has ended.
    pub fn record_closed(&mut self) {
        self.is_connected = false;
        self.clear_report();
    }

    /// Records a report of the proxy.
    pub fn record_report(&mut self, now: u64, report: Report) {
        self.is_connected = true;
        self.reported_at = now;
        self.report = report;
    }

    /// Whether the proxy reports regularly, so that the agent does not send reports of its own.
    pub fn is_reporting(&self, now: u64) -> bool {
        self.is_connected && now < self.reported_at + PROXY_TIMEOUT_MS
    }

    /// Time at which the proxy times out without further reports.
    pub fn timeout_at(&self) -> u64 {
        self.reported_at + PROXY_TIMEOUT_MS
    }

    /// Returns the report for the controller.
    ///
    /// An agent that shuts down without its proxy reports its own incarnation, so that the controller does
    /// not exclude the proxy when the next agent reports it. Sections that the agent lacks are not
    /// acknowledged, since the next proxy would not receive them.
    pub fn outgoing_report(&self, now: u64, agent_versions: Versions, shutting_down: bool) -> Report {
        let mut report = self.report.clone();
        if shutting_down && !report.shutting_down {
            report.shutting_down = true;
            report.incarnation = self.incarnation;
        }
        report.applied = acknowledged_versions(report.applied, agent_versions);
        if !self.is_reporting(now) {
            report.ready = false;
            report.sends.clear();
            report.failing.clear();
        }
        report
    }

    /// Clears the fields of the report that are valid only while a proxy reports.
    fn clear_report(&mut self) {
        self.report.ready = false;
        self.report.applied = Versions::default();
        self.report.sends.clear();
        self.report.failing.clear();
    }
}

/// Limits applied versions to the versions of the agent. Each controller numbers the versions of instances
/// and fleet on its own, so that these can't be compared.
fn acknowledged_versions(applied: Versions, agent_versions: Versions) -> Versions {
    Versions {
        configured: applied.configured.min(agent_versions.configured),
        evacuations: applied.evacuations.min(agent_versions.evacuations),
        instances: if agent_versions.instances == 0 { 0 } else { applied.instances },
        fleet: if agent_versions.fleet == 0 { 0 } else { applied.fleet },
    }
}
