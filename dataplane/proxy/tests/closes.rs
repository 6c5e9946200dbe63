//! Races between a request and the proxy's close of its connection: a forwarded request is answered, and any
//! other request gets no answer.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod common;

use std::rc::Rc;
use std::time::Duration;

use common::{Client, Harness, REUSE_DELAY, SETTLE_TIME, Script, Step, body, play, post, served, status};
use tokio::task::{spawn_local, yield_now};
use tokio::time::sleep;
use whinspindle_proxy::clients::finish;

const BODY: &str = "mine";
const SECOND_PATH: &str = "/stream/second";
const ANSWER_DELAY: Duration = Duration::from_millis(60);
/// Just under the configured idle time-out plus its margin.
const ALMOST_IDLE: Duration = Duration::from_millis(15_999);
/// Just under the configured header time-out plus its margin.
const ALMOST_HEAD_TIMEOUT: Duration = Duration::from_millis(3_999);

/// Why the proxy closes a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CloseReason {
    /// The idle time-out has passed.
    Idle,
    /// The header time-out has passed since the first bytes of a request.
    HeadTimeout,
    /// The process shuts down.
    Shutdown,
}

/// The timing of a request relative to the close.
#[derive(Clone, Copy, Debug)]
struct CloseRace {
    close: CloseReason,
    /// Number of bytes of the request that are sent before the close is requested.
    bytes_before_close: usize,
    /// Number of yields to other tasks before the close is requested, and between the request and the
    /// remaining bytes.
    task_yields: (usize, usize),
    /// Time between the first bytes and the requested close.
    wait: Duration,
}

/// The result for a request.
#[derive(Debug, PartialEq)]
struct RequestResult {
    was_forwarded: bool,
    answer: String,
}

/// A request whose deadline allows for a head sent in two parts.
fn second_request() -> String {
    post(SECOND_PATH).replace("3000", "9000")
}

fn delayed_answer() -> Script {
    let mut script = served(BODY);
    script.insert(0, Step::Wait(ANSWER_DELAY));
    script
}

async fn reused_connection(harness: &Harness) -> Client {
    let mut client = harness.client();
    harness.upstreams.script(served("first"));
    client.send(&post("/stream/first")).await;
    assert_eq!(body(&client.answer().await), "first");
    client
}

async fn yield_times(task_yields: usize) {
    for _ in 0..task_yields {
        yield_now().await;
    }
}

fn request_close(harness: &Harness, close: CloseReason) {
    match close {
        CloseReason::Idle | CloseReason::HeadTimeout => harness.clients.sweep(&harness.node),
        CloseReason::Shutdown => {
            harness.node.shutdown.request();
            let (node, clients) = (Rc::clone(&harness.node), Rc::clone(&harness.clients));
            spawn_local(async move { finish(&node, &clients).await });
        }
    }
}

async fn run_race(race: CloseRace) -> RequestResult {
    let CloseRace { close, bytes_before_close, task_yields, wait } = race;
    let harness = Harness::new();
    let mut client = reused_connection(&harness).await;
    harness.upstreams.script(delayed_answer());
    let request = second_request();
    let (first, rest) = request.split_at(bytes_before_close);
    match close {
        CloseReason::Idle => sleep(ALMOST_IDLE + SETTLE_TIME).await,
        CloseReason::HeadTimeout => {
            client.send(&first[..bytes_before_close.min(10)]).await;
            sleep(ALMOST_HEAD_TIMEOUT + SETTLE_TIME).await;
        }
        CloseReason::Shutdown => sleep(REUSE_DELAY).await,
    }
    let sent = if close == CloseReason::HeadTimeout { bytes_before_close.min(10) } else { 0 };
    client.send(&first[sent..]).await;
    yield_times(task_yields.0).await;
    sleep_if_any(wait).await;
    request_close(&harness, close);
    yield_times(task_yields.1).await;
    client.send_ignoring_close(rest).await;
    let answer = client.receive_for(Duration::from_secs(5)).await;
    let was_forwarded = harness.upstreams.requests().iter().any(|request| request.contains(SECOND_PATH));
    RequestResult { was_forwarded, answer }
}

/// Skips a sleep of zero, which would still advance the clock.
async fn sleep_if_any(time: Duration) {
    if time > Duration::ZERO {
        sleep(time).await;
    }
}

fn races() -> Vec<CloseRace> {
    let request = second_request();
    let head = request.find("\r\n\r\n").expect("a head") + 4;
    let mut races = Vec::new();
    for close in [CloseReason::Idle, CloseReason::HeadTimeout, CloseReason::Shutdown] {
        for bytes_before_close in [0, 1, 10, 40, head - 1, head, head + 2, request.len()] {
            for task_yields in [(0, 0), (0, 1), (1, 0), (1, 1), (0, 3), (3, 0), (3, 3)] {
                for wait in [0, 1, 59, 60, 61] {
                    races.push(CloseRace {
                        close,
                        bytes_before_close,
                        task_yields,
                        wait: Duration::from_millis(wait),
                    });
                }
            }
        }
    }
    races
}

#[test]
fn a_request_during_a_close_is_answered_if_it_is_forwarded() {
    let length = second_request().len();
    for race in races() {
        play(async move {
            let result = run_race(race).await;
            let is_answered = status(&result.answer) == 200 && body(&result.answer) == BODY;
            assert_eq!(result.was_forwarded, is_answered, "{race:?}: {result:?}");
            assert!(is_answered || result.answer.is_empty(), "{race:?}: {result:?}");
            let was_complete = race.bytes_before_close == length;
            assert!(is_answered || !was_complete, "{race:?}: it arrived before the close, {result:?}");
        });
    }
}
