//! The proxy's metrics, read from its state at each scrape.

use whinspindle_metrics::MetricsSnapshot;
use whinspindle_routing::{RegionMetrics, RejectionReason, ServiceMetrics};

use crate::node::Node;

/// Returns the current metrics as OpenMetrics text.
pub fn text(node: &Node) -> String {
    let mut metrics = MetricsSnapshot::default();
    add_requests(&mut metrics, node);
    let services = node.router.borrow().metrics(node.clock.now_ms());
    add_services(&mut metrics, &services);
    metrics.into_text()
}

fn add_requests(metrics: &mut MetricsSnapshot, node: &Node) {
    let counts = node.request_counts.totals();
    let names: Vec<(String, u64)> =
        counts.iter().map(|(event, count)| (event.label().to_owned(), *count)).collect();
    let labels: Vec<[(&str, &str); 1]> = names.iter().map(|(name, _)| [("event", name.as_str())]).collect();
    let samples = labels.iter().zip(&names).map(|(labels, (_, count))| (labels.as_slice(), *count));
    metrics.add_counter("requests", "Answers, streams and sends by how they ended", samples);
    let open = node.pool.open_connections() as f64;
    metrics.add_gauge("upstream_connections", "Open connections to upstreams", [([].as_slice(), open)]);
    let is_ready = if node.is_ready() { 1.0 } else { 0.0 };
    metrics.add_gauge("ready", "1 while the proxy takes clients", [([].as_slice(), is_ready)]);
}

fn add_services(metrics: &mut MetricsSnapshot, services: &[ServiceMetrics]) {
    let labels: Vec<_> = services.iter().map(|service| [("service", service.service.as_str())]).collect();
    let samples =
        labels.iter().zip(services).map(|(labels, service)| (labels.as_slice(), service.retry_budget_tokens));
    metrics.add_gauge(
        "repeats_left",
        "Repeated sends that this balancer's part of the budget allows",
        samples,
    );
    add_choices(metrics, services);
    add_regions(metrics, services, "region_share", "Weight by which the region is drawn", |region| {
        region.weight
    });
    add_regions(
        metrics,
        services,
        "fit_error_seconds",
        "How far latencies lie beside the fit that the weight is solved with",
        |region| region.fit_error_ms / 1_000.0,
    );
    add_regions(
        metrics,
        services,
        "upstreams_ready",
        "Upstreams that may be sent to and don't rest",
        |region| region.ready_instances as f64,
    );
    add_regions(metrics, services, "upstreams_cold", "Upstreams that are cold", |region| {
        region.warming_up_instances as f64
    });
    add_regions(metrics, services, "upstreams_resting", "Upstreams that rest after failures", |region| {
        region.ejected_instances as f64
    });
    add_regions(metrics, services, "upstreams_out_of_reach", "Upstreams in places out of reach", |region| {
        region.unreachable_instances as f64
    });
    add_regions(metrics, services, "sends_in_flight", "This balancer's sends under way", |region| {
        region.in_flight_attempts as f64
    });
}

fn add_choices(metrics: &mut MetricsSnapshot, services: &[ServiceMetrics]) {
    let rejections = services.iter().flat_map(|service| {
        let named = |(reason, count): &(RejectionReason, u64)| (reason.label().to_owned(), *count);
        service.rejections.iter().map(named).map(|(reason, count)| (service.service.as_str(), reason, count))
    });
    let rejections: Vec<_> = rejections.collect();
    let labels: Vec<_> = rejections
        .iter()
        .map(|(service, reason, _)| [("service", *service), ("reason", reason.as_str())])
        .collect();
    let samples = labels.iter().zip(&rejections).map(|(labels, (_, _, count))| (labels.as_slice(), *count));
    metrics.add_counter("refusals", "Requests that were refused, by reason", samples);
    let labels: Vec<_> = services.iter().map(|service| [("service", service.service.as_str())]).collect();
    let samples =
        labels.iter().zip(services).map(|(labels, service)| (labels.as_slice(), service.busy_instance_skips));
    metrics.add_counter("passed_over", "Picks that passed over an upstream for its sends in flight", samples);
    let prompts: Vec<_> = services
        .iter()
        .flat_map(|service| {
            let name = service.service.as_str();
            [(name, "holder", service.cache_owner_hits), (name, "elsewhere", service.cache_owner_misses)]
        })
        .map(|(service, target, count)| ([("service", service), ("to", target)], count))
        .collect();
    let samples = prompts.iter().map(|(labels, count)| (labels.as_slice(), *count));
    metrics.add_counter(
        "prompts",
        "Prompts sent to the upstream that is to keep their shared parts, and elsewhere",
        samples,
    );
}

fn add_regions(
    metrics: &mut MetricsSnapshot,
    services: &[ServiceMetrics],
    name: &str,
    help: &str,
    value: impl Fn(&RegionMetrics) -> f64,
) {
    let regions: Vec<([(&str, &str); 2], f64)> = services
        .iter()
        .flat_map(|service| service.regions.iter().map(move |region| (service, region)))
        .map(|(service, region)| {
            ([("service", service.service.as_str()), ("region", region.region.as_str())], value(region))
        })
        .collect();
    metrics.add_gauge(name, help, regions.iter().map(|(labels, value)| (labels.as_slice(), *value)));
}
