//! The state of the proxy, and the report to the controller that is made from its newest report.

use std::net::SocketAddr;

use whinspindle_distribution::{Report, Versions};

/// A proxy that has not reported for this time is not ready, in milliseconds.
const PROXY_TIMEOUT_MS: u64 = 3_000;

/// The state of the proxy.
#[derive(Clone, Debug)]
pub(crate) struct ProxyState {
    connected: bool,
    /// Incarnation of the agent itself.
    incarnation: u64,
    reported_at: u64,
    /// The newest report, or a substitute until the first one.
    report: Report,
}

impl ProxyState {
    /// A proxy that has not connected yet; the address on which it serves clients is unknown.
    pub fn absent(
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
        ProxyState { connected: false, incarnation, reported_at: 0, report }
    }

    /// Whether a proxy is connected.
    pub fn is_connected(&self) -> bool {
        self.connected
    }

    /// A proxy has connected.
    pub fn connected(&mut self, now: u64) {
        self.connected = true;
        self.reported_at = now;
        self.withdraw();
    }

    /// The proxy's connection has ended.
    pub fn closed(&mut self) {
        self.connected = false;
        self.withdraw();
    }

    /// Takes a report of the proxy.
    pub fn reported(&mut self, now: u64, report: Report) {
        self.connected = true;
        self.reported_at = now;
        self.report = report;
    }

    /// Whether the proxy reports regularly, so that the agent needs no reports of its own.
    pub fn is_reporting(&self, now: u64) -> bool {
        self.connected && now < self.reported_at + PROXY_TIMEOUT_MS
    }

    /// When the proxy times out.
    pub fn times_out_at(&self) -> u64 {
        self.reported_at + PROXY_TIMEOUT_MS
    }

    /// The report for the controller.
    ///
    /// An agent that shuts down without its proxy reports its own incarnation, so that the proxy is not excluded once the next
    /// agent reports it. Sections that the agent lacks are not acknowledged, since the next proxy would lack them.
    pub fn outgoing_report(&self, now: u64, held: Versions, shutting_down: bool) -> Report {
        let mut report = self.report.clone();
        if shutting_down && !report.shutting_down {
            report.shutting_down = true;
            report.incarnation = self.incarnation;
        }
        report.applied = acknowledged(report.applied, held);
        if !self.is_reporting(now) {
            report.ready = false;
            report.sends.clear();
            report.failing.clear();
        }
        report
    }

    /// Clears what only holds for a proxy that reports.
    fn withdraw(&mut self) {
        self.report.ready = false;
        self.report.applied = Versions::default();
        self.report.sends.clear();
        self.report.failing.clear();
    }
}

/// Versions of instances and fleet are numbered by each controller and can't be compared.
fn acknowledged(applied: Versions, held: Versions) -> Versions {
    Versions {
        configured: applied.configured.min(held.configured),
        evacuations: applied.evacuations.min(held.evacuations),
        instances: if held.instances == 0 { 0 } else { applied.instances },
        fleet: if held.fleet == 0 { 0 } else { applied.fleet },
    }
}
