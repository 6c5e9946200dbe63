//! The load report that an answer may carry: `TEXT inflight=7, queue=2, util=0.61`.

use whinspindle::host::LoadReport;

/// The figures that the decisions read, under the names of the settings and of the report's header.
const UTILIZATION: [&str; 2] = ["utilization", "util"];
const THROUGHPUT: [&str; 2] = ["throughput", "qps"];
const IN_FLIGHT: [&str; 2] = ["outstanding", "inflight"];
const QUEUED: [&str; 2] = ["backlog", "queue"];

/// Reads the columns that the settings name; a figure that is no plain number is passed over.
pub fn decode(text: &str, columns: &[String]) -> LoadReport {
    let text = text.trim();
    let text = text.strip_prefix("TEXT ").unwrap_or(text);
    let holds = |names: [&str; 2]| columns.iter().any(|column| names.contains(&column.as_str()));
    let mut report = LoadReport::default();
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        let name = name.trim();
        let value = value.trim().parse::<f64>().ok().filter(|value| value.is_finite() && *value >= 0.0);
        if UTILIZATION.contains(&name) && holds(UTILIZATION) {
            report.utilization = value;
        } else if THROUGHPUT.contains(&name) && holds(THROUGHPUT) {
            report.throughput = value;
        } else if IN_FLIGHT.contains(&name) && holds(IN_FLIGHT) {
            report.queries_at_server = value;
        } else if QUEUED.contains(&name) && holds(QUEUED) {
            report.queries_at_server = report.queries_at_server.or(value);
        }
    }
    report
}
