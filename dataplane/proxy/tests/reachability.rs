//! Attempts at a zone after a connection attempt has timed out.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod common;

use std::time::Duration;

use common::*;
use tokio::time::sleep;

const LONGER_THAN_A_CONNECT_MAY_TAKE: Duration = Duration::from_secs(1);

/// Creates upstreams with a long keep-alive time and one idle connection to each upstream of a service.
async fn with_idle_connections() -> Harness {
    let harness = Harness::new();
    let kept = format!("Keep-Alive: timeout=60\r\nWhinspindle-Server-Stamp: {STAMP}\r\n");
    harness.upstreams.default_script(vec![Step::Wait(SETTLE_TIME), answer("200 OK", &kept, "ok")]);
    let request = post("/unsafe/a");
    let (first, second, third) =
        tokio::join!(harness.ask(&request), harness.ask(&request), harness.ask(&request));
    assert_eq!([status(&first), status(&second), status(&third)], [200; 3]);
    sleep(REUSE_DELAY).await;
    assert_eq!(harness.upstreams.open(), 3);
    harness
}

#[test]
fn nothing_is_written_on_idle_connections_to_a_suspected_zone() {
    play(async {
        let harness = with_idle_connections().await;
        harness.upstreams.connect_time.set(LONGER_THAN_A_CONNECT_MAY_TAKE);
        assert_eq!(status(&harness.ask(&post("/stream/a")).await), 503, "no upstream takes the connection");
        let before = harness.upstreams.requests().len();
        sleep(Duration::from_secs(2)).await;
        assert_eq!(status(&harness.ask(&post("/unsafe/b")).await), 503);
        assert_eq!(
            harness.upstreams.requests().len(),
            before,
            "it might never be answered, and may not be repeated"
        );
    });
}

#[test]
fn a_zone_that_accepts_a_connection_is_trusted_again() {
    play(async {
        let harness = with_idle_connections().await;
        harness.upstreams.connect_time.set(LONGER_THAN_A_CONNECT_MAY_TAKE);
        assert_eq!(status(&harness.ask(&post("/stream/a")).await), 503);
        harness.upstreams.connect_time.set(Duration::ZERO);
        sleep(Duration::from_secs(2)).await;
        assert_eq!(status(&harness.ask(&post("/unsafe/b")).await), 200);
        assert_eq!(status(&harness.ask(&post("/unsafe/c")).await), 200);
    });
}

#[test]
fn while_the_zone_is_unreachable_requests_are_rejected_at_once() {
    play(async {
        let harness = Harness::new();
        harness.upstreams.connect_time.set(LONGER_THAN_A_CONNECT_MAY_TAKE);
        assert_eq!(status(&harness.ask(&post("/stream/a")).await), 503);
        let begun = tokio::time::Instant::now();
        let answer = harness.ask(&post("/stream/b")).await;
        assert_eq!(status(&answer), 503);
        assert!(header(&answer, "retry-after").is_some(), "{answer}");
        assert!(begun.elapsed() < Duration::from_millis(50), "{:?}", begun.elapsed());
    });
}
