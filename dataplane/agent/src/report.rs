//! What the agent reports upward, made of its proxy's newest report.

use std::net::SocketAddr;

use whinspindle_distribution::{Report, Versions};

/// A proxy that has not reported for this long is not ready.
const PROXY_SILENCE_MS: u64 = 3_000;

/// What the agent knows of its proxy.
#[derive(Clone, Debug)]
pub(crate) struct ProxyState {
    connected: bool,
    /// Of the agent itself.
    incarnation: u64,
    reported_at: u64,
    /// The newest report, or one that stands in for it until the first.
    report: Report,
}

impl ProxyState {
    /// A proxy that has not connected yet; its front address is not known.
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

    pub fn is_connected(&self) -> bool {
        self.connected
    }

    pub fn connected(&mut self, now: u64) {
        self.connected = true;
        self.reported_at = now;
        self.withdraw();
    }

    pub fn closed(&mut self) {
        self.connected = false;
        self.withdraw();
    }

    pub fn reported(&mut self, now: u64, report: Report) {
        self.connected = true;
        self.reported_at = now;
        self.report = report;
    }

    /// Whether reports of the proxy are coming in, so that the agent has none to make up.
    pub fn speaks(&self, now: u64) -> bool {
        self.connected && now < self.reported_at + PROXY_SILENCE_MS
    }

    /// When the proxy counts as silent.
    pub fn silent_at(&self) -> u64 {
        self.reported_at + PROXY_SILENCE_MS
    }

    /// The report to send. An agent that leaves alone does so in a life of its own: a proxy that lives on is not left
    /// out once the next agent reports it. What the agent does not hold itself is not acknowledged: the next proxy would lack it.
    pub fn upward(&self, now: u64, held: Versions, shutting_down: bool) -> Report {
        let mut report = self.report.clone();
        if shutting_down && !report.shutting_down {
            report.shutting_down = true;
            report.incarnation = self.incarnation;
        }
        report.applied = acknowledged(report.applied, held);
        if !self.speaks(now) {
            report.ready = false;
            report.sends.clear();
            report.failing.clear();
        }
        report
    }

    fn withdraw(&mut self) {
        self.report.ready = false;
        self.report.applied = Versions::default();
        self.report.sends.clear();
        self.report.failing.clear();
    }
}

/// The numbers of instances and fleet are each controller's own, and are not compared.
fn acknowledged(applied: Versions, held: Versions) -> Versions {
    Versions {
        configured: applied.configured.min(held.configured),
        evacuations: applied.evacuations.min(held.evacuations),
        instances: if held.instances == 0 { 0 } else { applied.instances },
        fleet: if held.fleet == 0 { 0 } else { applied.fleet },
    }
}
