//! The agent's metrics, read from its state at each scrape.

use whinspindle_distribution::Versions;
use whinspindle_metrics::MetricsSnapshot;

use crate::agent::Agent;
use crate::protocol_rules::ProtocolRules;

/// Metrics of an agent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AgentMetrics {
    /// A controller is linked.
    pub has_link: bool,
    /// The link's controller is in a quorum.
    pub in_quorum: bool,
    /// The proxy is connected.
    pub is_proxy_connected: bool,
    /// Milliseconds since something was received from the present or last link; none before the first link.
    pub received_ms_ago: Option<u64>,
    /// Versions of the sections that the agent has.
    pub held_versions: Versions,
    /// Versions of the sections that its proxy has applied.
    pub applied_versions: Versions,
}

/// The present metrics as OpenMetrics text.
pub fn render<L: ProtocolRules>(agent: &Agent<L>, now: u64) -> String {
    let metrics = agent.metrics(now);
    let mut figures = MetricsSnapshot::default();
    let flags = [
        ("agent_linked", "1 while a controller is linked", metrics.has_link),
        ("agent_in_quorum", "1 while the link's controller is in a quorum", metrics.in_quorum),
        ("agent_proxy_connected", "1 while the proxy is connected", metrics.is_proxy_connected),
    ];
    for (name, help, flag) in flags {
        figures.add_gauge(name, help, [([].as_slice(), if flag { 1.0 } else { 0.0 })]);
    }
    let heard = metrics.received_ms_ago.map(|ms| ([].as_slice(), ms as f64 / 1_000.0));
    figures.add_gauge("agent_heard_seconds", "Time since a controller was last heard", heard);
    add_versions(&mut figures, "agent_held", "Newest versions that the agent holds", metrics.held_versions);
    add_versions(
        &mut figures,
        "agent_applied",
        "Versions that the proxy has in force",
        metrics.applied_versions,
    );
    figures.into_text()
}

fn add_versions(figures: &mut MetricsSnapshot, name: &str, help: &str, versions: Versions) {
    let rows: [([(&str, &str); 1], u64); 4] = [
        ([("section", "configuration")], versions.configured),
        ([("section", "evacuations")], versions.evacuations),
        ([("section", "instances")], versions.instances),
        ([("section", "fleet")], versions.fleet),
    ];
    figures.add_gauge(name, help, rows.iter().map(|(labels, version)| (labels.as_slice(), *version as f64)));
}
