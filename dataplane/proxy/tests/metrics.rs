//! The metrics that the proxy serves.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod common;

use std::time::Duration;

use common::{Harness, play, post, served, status};
use tokio::time::sleep;
use whinspindle_proxy::metrics::text;

#[test]
fn requests_upstreams_and_unreachable_domains_are_served() {
    play(async {
        let harness = Harness::new();
        harness.upstreams.script(served("ok"));
        assert_eq!(status(&harness.ask(&post("/unsafe/a")).await), 200);
        let told = text(&harness.node);
        for line in [
            "whinspindle_requests_total{event=\"Answered\"} 1\n",
            "whinspindle_ready{} 1.0\n",
            "whinspindle_upstream_connections{} 1.0\n",
            "whinspindle_upstreams_ready{service=\"plain\",region=\"r1\"} 3.0\n",
            "whinspindle_upstreams_out_of_reach{service=\"model\",region=\"r1\"} 0.0\n",
            "whinspindle_region_share{service=\"plain\",region=\"r1\"} 1.0\n",
        ] {
            assert!(told.contains(line), "{line} in {told}");
        }
        harness.upstreams.connect_time.set(Duration::from_secs(1));
        assert_eq!(status(&harness.ask(&post("/stream/a")).await), 503);
        let told = text(&harness.node);
        let line = "whinspindle_upstreams_out_of_reach{service=\"model\",region=\"r1\"} 3.0\n";
        assert!(told.contains(line), "{told}");
        assert!(told.contains("event=\"Refused\"} 1\n"), "{told}");
        for line in [
            "whinspindle_refusals_total{service=\"model\",reason=\"NoUpstream\"} 1\n",
            "whinspindle_passed_over_total{service=\"plain\"} 0\n",
            "whinspindle_prompts_total{service=\"plain\",to=\"elsewhere\"} 0\n",
            "whinspindle_fit_error_seconds{service=\"plain\",region=\"r1\"} 0.0\n",
        ] {
            assert!(told.contains(line), "{line} in {told}");
        }
    });
}

/// The log line counts events since the last line, and the metrics since the start.
#[test]
fn counts_never_fall() {
    play(async {
        let harness = Harness::new();
        for _ in 0..3 {
            harness.upstreams.script(served("ok"));
            assert_eq!(status(&harness.ask(&post("/unsafe/a")).await), 200);
            harness.pass(Duration::from_secs(11)).await;
        }
        sleep(Duration::from_millis(10)).await;
        let told = text(&harness.node);
        assert!(told.contains("whinspindle_requests_total{event=\"Answered\"} 3\n"), "{told}");
    });
}
