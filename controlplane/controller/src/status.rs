//! The status of a controller for operators, as JSON and as OpenMetrics text.

use std::fmt::Write;
use std::net::SocketAddr;

use bytes::Bytes;
use whinspindle_distribution::Publisher;
use whinspindle_metrics::MetricsSnapshot;
use whinspindle_registry::{InstanceRegistry, LeaseTable};
use whinspindle_replica::{Replica, Voter};

use crate::api::push_json_string;
use crate::commands::{CommandApplication, records};
use crate::pending_commands::PendingCommands;

/// The parts of a controller that its status describes.
pub struct StatusSource<'a> {
    pub node: &'a str,
    pub replica: &'a Replica<CommandApplication>,
    pub registry: &'a InstanceRegistry,
    pub leases: &'a LeaseTable,
    pub publisher: &'a Publisher,
    pub in_quorum: bool,
    pub commands: &'a PendingCommands,
    pub shutting_down: bool,
    pub now: u64,
}

/// Formats the status as a JSON object.
pub fn to_json(source: &StatusSource<'_>) -> Bytes {
    let mut json = String::from("{\"node\":");
    push_json_string(&mut json, source.node);
    push_fields(&mut json, source);
    push_replication(&mut json, source.replica);
    push_evacuations(&mut json, source.replica);
    push_leases(&mut json, source);
    push_lag(&mut json, source);
    json.push('}');
    Bytes::from(json)
}

/// Formats the status as OpenMetrics text.
pub fn to_metrics(source: &StatusSource<'_>) -> String {
    let mut metrics = MetricsSnapshot::default();
    for (name, value) in fields(source) {
        let name = format!("controller_{name}");
        metrics.add_gauge(&name, "As in the controller's status", [([].as_slice(), value as f64)]);
    }
    let gauges = [
        (
            "controller_balancers",
            "Balancers that hold a lease",
            source.leases.live_leases(source.now).count(),
        ),
        (
            "controller_fatal_losses",
            "Kinds of tolerated losses without a majority",
            source.replica.fatal_losses().len(),
        ),
        ("controller_chain_length", "Members of the chain", source.replica.view().chain.len()),
    ];
    for (name, help, value) in gauges {
        metrics.add_gauge(name, help, [([].as_slice(), value as f64)]);
    }
    metrics.into_text()
}

fn fields(source: &StatusSource<'_>) -> [(&'static str, u64); 14] {
    let versions = source.publisher.versions();
    let command_counts = source.commands.counts();
    [
        ("in_quorum", u64::from(source.in_quorum)),
        ("leaving", u64::from(source.shutting_down)),
        ("pending_orders", source.commands.len() as u64),
        ("orders_confirmed", command_counts.confirmed),
        ("orders_refused", command_counts.refused),
        ("orders_unclear", command_counts.unclear),
        ("committed_sequence", source.replica.committed_sequence()),
        ("generation", records::current_generation(source.replica.committed_records())),
        ("published_configuration", versions.configured),
        ("published_evacuations", versions.evacuations),
        ("published_instances", versions.instances),
        ("published_fleet", versions.fleet),
        ("instances", source.registry.len() as u64),
        ("subscribers", source.publisher.subscribers().count() as u64),
    ]
}

fn push_fields(json: &mut String, source: &StatusSource<'_>) {
    for (name, value) in fields(source) {
        push_number(json, name, value);
    }
}

fn push_replication(json: &mut String, replica: &Replica<CommandApplication>) {
    let view = replica.view();
    push_number(json, "view", view.number);
    let endpoint = |voter: Voter| view.endpoint(voter);
    push_addresses(json, "chain", view.chain.iter().filter_map(|link| endpoint(link.voter)));
    push_addresses(json, "voters", view.voters().into_iter().filter_map(endpoint));
    push_addresses(json, "peers", replica.peer_endpoints());
    let fatal_losses = replica.fatal_losses();
    push_list(json, "fatal_losses", fatal_losses, |json, kind| push_json_string(json, kind.name()));
}

fn push_evacuations(json: &mut String, replica: &Replica<CommandApplication>) {
    let zones = records::evacuated_zones(replica.committed_records()).zones;
    push_list(json, "evacuated_zones", zones, |json, zone| push_json_string(json, &zone));
}

fn push_leases(json: &mut String, source: &StatusSource<'_>) {
    push_list(json, "balancers", source.leases.snapshot(source.now), |json, record| {
        json.push_str("{\"node\":");
        push_json_string(json, &record.lease.node);
        push_number(json, "ready", u64::from(record.lease.ready));
        push_number(json, "leaving", u64::from(record.lease.shutting_down));
        push_number(json, "age_ms", record.age_ms);
        json.push('}');
    });
}

fn push_lag(json: &mut String, source: &StatusSource<'_>) {
    push_list(json, "lagging", source.publisher.lags(source.now), |json, lag| {
        let section = format!("{:?}", lag.section);
        json.push_str("{\"section\":");
        push_json_string(json, &section.to_lowercase());
        push_number(json, "subscriber", lag.subscriber.0);
        push_number(json, "version", lag.version);
        push_number(json, "waiting_ms", lag.waiting_ms);
        json.push('}');
    });
}

fn push_number(json: &mut String, name: &str, value: u64) {
    let _ = write!(json, ",\"{name}\":{value}");
}

fn push_addresses(json: &mut String, name: &str, addresses: impl IntoIterator<Item = SocketAddr>) {
    push_list(json, name, addresses, |json, address| {
        let _ = write!(json, "\"{address}\"");
    });
}

fn push_list<T>(
    json: &mut String,
    name: &str,
    items: impl IntoIterator<Item = T>,
    mut push_item: impl FnMut(&mut String, T),
) {
    let _ = write!(json, ",\"{name}\":[");
    for (position, item) in items.into_iter().enumerate() {
        if position > 0 {
            json.push(',');
        }
        push_item(json, item);
    }
    json.push(']');
}
