//! Requests that cross a close by the proxy: one that is forwarded is answered, any other gets nothing at all.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod common;

use std::rc::Rc;
use std::time::Duration;

use common::{Client, Harness, REUSE_DELAY, SETTLE_TIME, Script, Step, body, play, post, served, status};
use tokio::task::{spawn_local, yield_now};
use tokio::time::sleep;
use whinspindle_proxy::clients::finish;

const BODY: &str = "mine";
const SECOND: &str = "/stream/second";
const WORK: Duration = Duration::from_millis(60);
/// The idle time of the configuration and the slack behind it, but for a moment.
const ALMOST_IDLE: Duration = Duration::from_millis(15_999);
/// The time for a head and the slack behind it, but for a moment.
const ALMOST_LATE: Duration = Duration::from_millis(3_999);

/// Why the proxy closes a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Close {
    /// It was idle for too long.
    Idle,
    /// The head of its request was not complete in time; the first part of it is sent this long before.
    LateHead,
    /// The process shuts down.
    Stop,
}

/// When the close is ordered, and how the request lies around it.
#[derive(Clone, Copy, Debug)]
struct Crossing {
    close: Close,
    /// Bytes that come before the order.
    before: usize,
    /// Turns of other tasks between these bytes and the order, and between the order and the rest.
    turns: (usize, usize),
    /// Time between the bytes before and the order.
    wait: Duration,
}

/// What has become of a request.
#[derive(Debug, PartialEq)]
struct Seen {
    passed_on: bool,
    answer: String,
}

/// A request with time enough for a head that comes in two parts.
fn second() -> String {
    post(SECOND).replace("3000", "9000")
}

fn work() -> Script {
    let mut script = served(BODY);
    script.insert(0, Step::Wait(WORK));
    script
}

async fn kept_connection(harness: &Harness) -> Client {
    let mut client = harness.client();
    harness.upstreams.script(served("first"));
    client.send(&post("/stream/first")).await;
    assert_eq!(body(&client.answer().await), "first");
    client
}

async fn give_turns(turns: usize) {
    for _ in 0..turns {
        yield_now().await;
    }
}

fn order(harness: &Harness, close: Close) {
    match close {
        Close::Idle | Close::LateHead => harness.clients.sweep(&harness.node),
        Close::Stop => {
            harness.node.shutdown.request();
            let (node, clients) = (Rc::clone(&harness.node), Rc::clone(&harness.clients));
            spawn_local(async move { finish(&node, &clients).await });
        }
    }
}

async fn cross(crossing: Crossing) -> Seen {
    let Crossing { close, before, turns, wait } = crossing;
    let harness = Harness::new();
    let mut client = kept_connection(&harness).await;
    harness.upstreams.script(work());
    let request = second();
    let (first, rest) = request.split_at(before);
    match close {
        Close::Idle => sleep(ALMOST_IDLE + SETTLE_TIME).await,
        Close::LateHead => {
            client.send(&first[..before.min(10)]).await;
            sleep(ALMOST_LATE + SETTLE_TIME).await;
        }
        Close::Stop => sleep(REUSE_DELAY).await,
    }
    let sent = if close == Close::LateHead { before.min(10) } else { 0 };
    client.send(&first[sent..]).await;
    give_turns(turns.0).await;
    sleep_if_any(wait).await;
    order(&harness, close);
    give_turns(turns.1).await;
    client.send_ignoring_close(rest).await;
    let answer = client.receive_for(Duration::from_secs(5)).await;
    let passed_on = harness.upstreams.requests().iter().any(|request| request.contains(SECOND));
    Seen { passed_on, answer }
}

/// A sleep of no time would still let the clock move.
async fn sleep_if_any(time: Duration) {
    if time > Duration::ZERO {
        sleep(time).await;
    }
}

fn crossings() -> Vec<Crossing> {
    let request = second();
    let head = request.find("\r\n\r\n").expect("a head") + 4;
    let mut crossings = Vec::new();
    for close in [Close::Idle, Close::LateHead, Close::Stop] {
        for before in [0, 1, 10, 40, head - 1, head, head + 2, request.len()] {
            for turns in [(0, 0), (0, 1), (1, 0), (1, 1), (0, 3), (3, 0), (3, 3)] {
                for wait in [0, 1, 59, 60, 61] {
                    crossings.push(Crossing { close, before, turns, wait: Duration::from_millis(wait) });
                }
            }
        }
    }
    crossings
}

#[test]
fn a_request_on_a_kept_connection_that_crosses_a_close_is_answered_if_it_is_passed_on() {
    let length = second().len();
    for crossing in crossings() {
        play(async move {
            let seen = cross(crossing).await;
            let is_answered = status(&seen.answer) == 200 && body(&seen.answer) == BODY;
            assert_eq!(seen.passed_on, is_answered, "{crossing:?}: {seen:?}");
            assert!(is_answered || seen.answer.is_empty(), "{crossing:?}: {seen:?}");
            let was_whole = crossing.before == length;
            assert!(is_answered || !was_whole, "{crossing:?}: it came before the close, {seen:?}");
        });
    }
}
