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
/// The values are read from the state of the process when a scrape asks for them, so that nothing is counted twice and
/// nothing is spent between scrapes.
pub struct Figures {
    /// Encodes them.
    registry: Registry,
}

impl Default for Figures {
    fn default() -> Self {
        Figures { registry: Registry::with_prefix("whinspindle") }
    }
}

impl Figures {
    /// Adds a counter, one value for each set of labels. Its name is encoded with the suffix `_total`.
    pub fn count<'a>(
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

    /// Adds a gauge, one value for each set of labels.
    pub fn gauge<'a>(
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

    /// The text of all metrics.
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
