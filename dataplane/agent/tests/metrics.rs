//! The metrics that the agent serves.

mod common;

use common::{Harness, Mode, configured, controller, proxy_report};
use whinspindle_agent::Input;
use whinspindle_agent::metrics::render;
use whinspindle_distribution::Versions;

fn metrics_text(harness: &Harness) -> String {
    render(&harness.agent, harness.now)
}

fn assert_lines(text: &str, lines: &[&str]) {
    for line in lines {
        assert!(text.contains(&format!("whinspindle_agent_{line}\n")), "{line} in {text}");
    }
}

#[test]
fn without_anything_received_there_is_no_age() {
    let harness = Harness::new(&[(1, controller("a", "north"))], &[1], 5);
    let text = metrics_text(&harness);
    assert_lines(&text, &["linked{} 0.0", "in_quorum{} 0.0", "proxy_connected{} 0.0"]);
    assert!(!text.contains("whinspindle_agent_heard_seconds{"), "{text}");
}

#[test]
fn the_link_the_proxy_and_the_versions_are_served() {
    let mut harness = Harness::new(&[(1, controller("a", "north"))], &[1], 5);
    harness.run_until(1_000);
    harness.give(Input::ProxyConnected);
    harness.update(1, configured(7));
    harness.run_until(1_200);
    assert_lines(
        &metrics_text(&harness),
        &[
            "linked{} 1.0",
            "in_quorum{} 1.0",
            "proxy_connected{} 1.0",
            "held{section=\"configuration\"} 7.0",
            "applied{section=\"configuration\"} 0.0",
        ],
    );
    harness.give(Input::FromProxy(proxy_report(Versions { configured: 7, ..Versions::default() })));
    assert_lines(&metrics_text(&harness), &["applied{section=\"configuration\"} 7.0"]);
}

#[test]
fn the_age_grows_while_nothing_is_received_from_controllers() {
    let mut harness = Harness::new(&[(1, controller("a", "north"))], &[1], 5);
    harness.run_until(2_000);
    let heard = harness.agent.metrics(harness.now).received_ms_ago.expect("it was heard");
    assert!(heard <= 310, "{heard}");
    harness.set_mode(1, Mode::Silent);
    harness.run_until(12_000);
    let metrics = harness.agent.metrics(harness.now);
    assert!((9_600..=10_400).contains(&metrics.received_ms_ago.unwrap()), "{metrics:?}");
    assert!(!metrics.has_link && !metrics.in_quorum);
}
