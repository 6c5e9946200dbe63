//! A snapshot of the metrics of a process, encoded as OpenMetrics text.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Names and values of the labels of one metric.
type Labels = Vec<(String, String)>;

/// A snapshot of metrics.
///
/// Values are read from the process state for each scrape, so there are no duplicate counters and no cost between
/// scrapes.
pub struct MetricsSnapshot {
    registry: Registry,
}

impl Default for MetricsSnapshot {
    fn default() -> Self {
        MetricsSnapshot { registry: Registry::with_prefix("whinspindle") }
    }
}

impl MetricsSnapshot {
    /// Adds a counter with one value per label set. The encoded name gets the suffix `_total`.
    pub fn add_counter<'a>(
        &mut self,
        name: &str,
        help: &str,
        values: impl IntoIterator<Item = (&'a [(&'a str, &'a str)], u64)>,
    ) {
        let family = Family::<Labels, Counter>::default();
        for (labels, value) in values {
            family.get_or_create(&owned(labels)).inc_by(value);
        }
        self.registry.register(name, help, family);
    }

    /// Adds a gauge with one value per label set.
    pub fn add_gauge<'a>(
        &mut self,
        name: &str,
        help: &str,
        values: impl IntoIterator<Item = (&'a [(&'a str, &'a str)], f64)>,
    ) {
        let family = Family::<Labels, Gauge<f64, AtomicU64>>::default();
        for (labels, value) in values {
            family.get_or_create(&owned(labels)).set(value);
        }
        self.registry.register(name, help, family);
    }

    /// Encodes all metrics as OpenMetrics text.
    pub fn into_text(self) -> String {
        let mut text = String::new();
        // Writing to a string never fails.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

fn owned(labels: &[(&str, &str)]) -> Labels {
    labels.iter().map(|&(name, value)| (name.to_owned(), value.to_owned())).collect()
}
