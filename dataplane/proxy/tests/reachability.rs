//! What is sent to a zone of which connections have fallen silent.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod common;

use std::time::Duration;

use common::*;
use tokio::time::sleep;

const LONGER_THAN_A_CONNECT_MAY_TAKE: Duration = Duration::from_secs(1);

/// Upstreams that keep idle connections for long; one connection to each of a service is idle.
async fn with_idle_connections() -> World {
    let world = World::new();
    let kept = format!("Keep-Alive: timeout=60\r\nWhinspindle-Server-Stamp: {STAMP}\r\n");
    world.upstreams.otherwise(vec![Step::Wait(MOMENT), answer("200 OK", &kept, "ok")]);
    let request = post("/unsafe/a");
    let (first, second, third) = tokio::join!(world.ask(&request), world.ask(&request), world.ask(&request));
    assert_eq!([status(&first), status(&second), status(&third)], [200; 3]);
    sleep(REST).await;
    assert_eq!(world.upstreams.open(), 3);
    world
}

#[test]
fn nothing_is_written_on_idle_connections_to_a_zone_in_doubt() {
    play(async {
        let world = with_idle_connections().await;
        world.upstreams.connect_time.set(LONGER_THAN_A_CONNECT_MAY_TAKE);
        assert_eq!(status(&world.ask(&post("/stream/a")).await), 503, "no upstream takes the connection");
        let before = world.upstreams.requests().len();
        sleep(Duration::from_secs(2)).await;
        assert_eq!(status(&world.ask(&post("/unsafe/b")).await), 503);
        assert_eq!(
            world.upstreams.requests().len(),
            before,
            "it might never be answered, and may not be repeated"
        );
    });
}

#[test]
fn a_zone_that_takes_a_connection_is_trusted_again() {
    play(async {
        let world = with_idle_connections().await;
        world.upstreams.connect_time.set(LONGER_THAN_A_CONNECT_MAY_TAKE);
        assert_eq!(status(&world.ask(&post("/stream/a")).await), 503);
        world.upstreams.connect_time.set(Duration::ZERO);
        sleep(Duration::from_secs(2)).await;
        assert_eq!(status(&world.ask(&post("/unsafe/b")).await), 200);
        assert_eq!(status(&world.ask(&post("/unsafe/c")).await), 200);
    });
}

#[test]
fn while_the_zone_is_out_of_reach_requests_are_refused_at_once() {
    play(async {
        let world = World::new();
        world.upstreams.connect_time.set(LONGER_THAN_A_CONNECT_MAY_TAKE);
        assert_eq!(status(&world.ask(&post("/stream/a")).await), 503);
        let begun = tokio::time::Instant::now();
        let answer = world.ask(&post("/stream/b")).await;
        assert_eq!(status(&answer), 503);
        assert!(header(&answer, "retry-after").is_some(), "{answer}");
        assert!(begun.elapsed() < Duration::from_millis(50), "{:?}", begun.elapsed());
    });
}
