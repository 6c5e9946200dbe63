//! All schedules of an upstream's behavior, on new and reused connections, for each kind of route. Answers go
//! only to their own requests, a request that may not be retried runs at most once, and a status that says
//! that a request has not run is given only if this is true.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod common;

use std::time::Duration;

use common::{
    Client, Harness, REUSE_DELAY, SETTLE_TIME, STAMP, Script, Step, body, chunks, header, play, status, write,
};
use tokio::time::sleep;

const FIRST: &str = "aaaaaaaaaaaaaaa1";
const SECOND: &str = "bbbbbbbbbbbbbbb2";
const WARM_UP: &str = "ccccccccccccccc3";
const OTHER: &str = "ddddddddddddddd4";
/// Buffer size of a connection that is smaller than a request.
const NARROW_PIPE_BYTES: usize = 64;
const SMALL_BODY_BYTES: usize = 5;
const LARGE_BODY_BYTES: usize = 900;
/// Times between the end of an answer and the next request.
const GAPS_MS: [u64; 3] = [0, 19, 50];
const SURPLUS_WAITS_MS: [u64; 5] = [0, 10, 49, 50, 51];
/// Number of truncated bytes, more than the last chunk.
const TRUNCATED_BYTES: usize = 12;
const UNREAD_WAIT: Duration = Duration::from_millis(30);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RouteKind {
    Unsafe,
    Safe,
    Stream,
    Resumable,
}

impl RouteKind {
    const ALL: [RouteKind; 4] = [RouteKind::Unsafe, RouteKind::Safe, RouteKind::Stream, RouteKind::Resumable];

    fn path(self) -> &'static str {
        match self {
            RouteKind::Unsafe => "/unsafe/x",
            RouteKind::Safe => "/safe/x",
            RouteKind::Stream => "/stream/x",
            RouteKind::Resumable => "/resumable/x",
        }
    }

    fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::Resumable)
    }

    /// Maximum number of runs that the route allows.
    fn max_runs(self) -> usize {
        match self {
            RouteKind::Unsafe | RouteKind::Stream => 1,
            RouteKind::Safe | RouteKind::Resumable => 2,
        }
    }

    /// The head and body of a successful answer, with `{id}` for the request's id.
    fn success(self) -> (String, String) {
        let head = format!(
            "HTTP/1.1 200 OK\r\nWhinspindle-Request-Id: {{id}}\r\nWhinspindle-Server-Stamp: {STAMP}\r\n\
             Keep-Alive: timeout=5\r\n"
        );
        if self.is_stream() {
            let head = format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            let chunks = event_texts().map(|text| format!("{:x}\r\n{text}\r\n", length(&text)));
            return (head, format!("{}0\r\n\r\n", chunks.concat()));
        }
        let body = "{id} is served".to_owned();
        (format!("{head}Content-Length: {}\r\n\r\n", length(&body)), body)
    }

    fn complete_answer(self) -> String {
        let (head, body) = self.success();
        head + &body
    }

    /// A successful answer with a chunked body.
    fn in_chunks(self) -> String {
        let (head, body) = self.success();
        if self.is_stream() {
            return head + &body;
        }
        let head =
            head.replacen(&format!("Content-Length: {}", length(&body)), "Transfer-Encoding: chunked", 1);
        format!("{head}10\r\n{{id}}\r\na\r\n is served\r\n0\r\n\r\n")
    }
}

/// The body of an answer; empty if it is chunked and incomplete.
fn complete_body(received: &str) -> String {
    match header(received, "transfer-encoding") {
        Some(_) => Some(chunks(received)).filter(|(_, is_complete)| *is_complete).unwrap_or_default().0,
        None => body(received).to_owned(),
    }
}

fn event_texts() -> [String; 3] {
    [1, 2, 3].map(|number| format!("id: {number}\ndata: {{id}}\n\n"))
}

/// The length of a text after an id replaces `{id}`.
fn length(text: &str) -> usize {
    text.replace("{id}", FIRST).len()
}

fn with_id(text: &str, id: &str) -> String {
    text.replace("{id}", id)
}

/// The body of an answer that declines a request.
const DECLINED: &str = "{id} is declined";

/// The behavior of an upstream for one request.
#[derive(Clone, Debug)]
struct Event {
    name: String,
    script: Script,
    /// Whether the request must be answered successfully.
    must_serve: bool,
    /// Time between the answer and the surplus bytes or the close.
    surplus_after: Duration,
    /// Whether the upstream declines the request, with status 409.
    declines: bool,
}

impl Event {
    /// Whether the next request must be served, because surplus bytes arrive well within the reuse delay or the
    /// request is sent well within it.
    fn must_serve_next(&self, gap: Duration) -> bool {
        self.must_serve && (self.surplus_after < REUSE_DELAY / 2 || gap < REUSE_DELAY / 2)
    }
}

fn event(name: impl Into<String>, script: Script) -> Event {
    Event { name: name.into(), script, must_serve: false, surplus_after: Duration::ZERO, declines: false }
}

fn served(name: impl Into<String>, script: Script) -> Event {
    Event { must_serve: true, ..event(name, script) }
}

/// An answer without a body.
fn empty_answer(status: &str, headers: &str) -> Step {
    write(format!("HTTP/1.1 {status}\r\n{headers}Content-Length: 0\r\n\r\n"))
}

const OWN_ID: &str = "Whinspindle-Request-Id: {id}\r\n";
const OTHER_ID: &str = "Whinspindle-Request-Id: ddddddddddddddd4\r\n";
const NOT_RUN: &str = "Whinspindle-Not-Run: 1\r\n";

fn overload_rejection(id: &str) -> Step {
    empty_answer("503 Service Unavailable", &format!("{id}{NOT_RUN}Keep-Alive: timeout=5\r\n"))
}

fn misdirected(id: &str) -> Step {
    empty_answer("421 Misdirected Request", id)
}

fn broken_answers(kind: RouteKind) -> Vec<Event> {
    let (head, body) = kind.success();
    let half_head = write(&head[..head.len() / 2]);
    let half_body = write(format!("{head}{}", &body[..body.len() / 2]));
    let in_chunks = kind.in_chunks();
    let unframed = head
        .lines()
        .filter(|line| !line.starts_with("Content-Length") && !line.starts_with("Transfer-Encoding"))
        .fold(String::new(), |head, line| head + line + "\r\n");
    vec![
        event("silence", vec![Step::Run, Step::Hang]),
        event("a close before the body is read", vec![Step::BeforeBody, Step::Close]),
        event("a close", vec![Step::Run, Step::Close]),
        event("half a head", vec![Step::Run, half_head.clone(), Step::Close]),
        event("half a body", vec![Step::Run, half_body.clone(), Step::Close]),
        event(
            "chunks that break off",
            vec![Step::Run, write(&in_chunks[..in_chunks.len() - TRUNCATED_BYTES]), Step::Close],
        ),
        event(
            "chunks without the last",
            vec![Step::Run, write(in_chunks.replace("0\r\n\r\n", "")), Step::Close],
        ),
        event("half a body and silence", vec![Step::Run, half_body, Step::Hang]),
        event(
            "half a head early",
            vec![
                Step::BeforeBody,
                Step::Run,
                half_head,
                Step::Wait(UNREAD_WAIT),
                Step::ReadBody,
                Step::Close,
            ],
        ),
        event("no length", vec![Step::Run, write(unframed + "id: 1\ndata: x\n\n"), Step::Close]),
        event("no answer", vec![Step::Run, write("what is this\r\n\r\n"), Step::Close]),
        event("a head without end", vec![Step::Run, write("HTTP/1.1 200 OK\r\nA: b\r\n"), Step::Hang]),
        event(
            "a continuation and a close",
            vec![Step::Run, write("HTTP/1.1 100 Continue\r\n\r\n"), Step::Close],
        ),
        event(
            "another protocol",
            vec![Step::Run, write("HTTP/1.1 101 Switching Protocols\r\n\r\n"), Step::Close],
        ),
    ]
}

fn good_answers(kind: RouteKind) -> Vec<Event> {
    let complete_answer = || write(kind.complete_answer());
    let closing = kind.complete_answer().replacen("Keep-Alive: timeout=5", "Connection: close", 1);
    let after = |text: &str| vec![Step::Run, write(text), complete_answer()];
    let early = |rest: &[Step]| {
        let mut script = vec![Step::BeforeBody, Step::Run, complete_answer()];
        script.extend_from_slice(rest);
        script
    };
    vec![
        served("a whole answer", vec![Step::Run, complete_answer()]),
        served("a whole answer that names a close", vec![Step::Run, write(closing.clone()), Step::Close]),
        served("a whole answer that names a close to come", vec![Step::Run, write(closing)]),
        served("a whole answer in chunks", vec![Step::Run, write(kind.in_chunks())]),
        served("a whole answer and a close", vec![Step::Run, complete_answer(), Step::Close]),
        served("a continuation", after("HTTP/1.1 100 Continue\r\n\r\n")),
        served("hints", after("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n")),
        served("two continuations", after("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n")),
        served(
            "a continuation before the body",
            vec![
                Step::BeforeBody,
                write("HTTP/1.1 100 Continue\r\n\r\n"),
                Step::ReadBody,
                Step::Run,
                complete_answer(),
            ],
        ),
        event("an early answer, the body read at once", early(&[Step::ReadBody])),
        event("an early answer, the body read later", early(&[Step::Wait(UNREAD_WAIT), Step::ReadBody])),
        event("an early answer and a close", early(&[Step::Close])),
        event("an early answer and silence", early(&[Step::Wait(UNREAD_WAIT), Step::Close])),
    ]
}

fn rejections() -> Vec<Event> {
    let mut events = Vec::new();
    for (name, id) in [("its id", OWN_ID), ("another id", OTHER_ID), ("no id", "")] {
        events.push(event(format!("full, with {name}"), vec![overload_rejection(id)]));
        events.push(event(format!("misdirected, with {name}"), vec![misdirected(id)]));
        let early = vec![Step::BeforeBody, overload_rejection(id), Step::Wait(UNREAD_WAIT), Step::ReadBody];
        events.push(event(format!("full, early, with {name}"), early));
        events.push(event(
            format!("full, early, and a close, with {name}"),
            vec![Step::BeforeBody, overload_rejection(id), Step::Close],
        ));
        let bodiless = format!("HTTP/1.1 503 Full\r\n{id}{NOT_RUN}Content-Length: 5\r\n\r\n");
        events.push(event(format!("full, without its body, with {name}"), vec![write(bodiless), Step::Hang]));
        let surplus = SURPLUS_WAITS_MS.map(|wait| {
            let script =
                vec![overload_rejection(id), Step::Wait(Duration::from_millis(wait)), overload_rejection(id)];
            event(format!("full, and again after {wait} ms, with {name}"), script)
        });
        events.extend(surplus);
    }
    for status in ["503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout"] {
        events.push(event(format!("{status} of a run"), vec![Step::Run, empty_answer(status, OWN_ID)]));
    }
    events
}

fn unusable_answers(kind: RouteKind) -> Vec<Event> {
    let complete_answer = kind.complete_answer();
    let (head, body) = kind.success();
    let with = |header: &str| write(complete_answer.replacen("\r\n", &format!("\r\n{header}\r\n"), 1));
    let unstamped = complete_answer.replace(&format!("Whinspindle-Server-Stamp: {STAMP}\r\n"), "");
    let failure = head.replace("200 OK", "500 Oh") + &body;
    let mut events = vec![
        event("another id", vec![Step::Run, write(with_id(&complete_answer, OTHER))]),
        event(
            "another id, then its own",
            vec![Step::Run, write(with_id(&complete_answer, OTHER)), write(complete_answer.clone())],
        ),
        event("no id", vec![Step::Run, write(complete_answer.replace(OWN_ID, ""))]),
        event("no stamp", vec![Step::Run, write(unstamped)]),
        event("an encoding", vec![Step::Run, with("Content-Encoding: gzip")]),
        event("a failure", vec![Step::Run, write(failure)]),
        event("a redirection", vec![Step::Run, empty_answer("302 Found", OWN_ID)]),
        event("nothing changed", vec![Step::Run, empty_answer("304 Not Modified", OWN_ID)]),
    ];
    let second_length = if kind.is_stream() { "Content-Length: 3" } else { "Transfer-Encoding: chunked" };
    events.push(event("two kinds of length", vec![Step::Run, with(second_length), Step::Close]));
    events
}

/// Complete answers with surplus bytes after them, also in place of the next answer.
fn surplus_answers(kind: RouteKind) -> Vec<Event> {
    let complete_answer = kind.complete_answer();
    let surplus = [
        ("the answer again", write(complete_answer.clone())),
        ("an answer to another", write(with_id(&complete_answer, OTHER))),
        ("half an answer", write(&complete_answer[..complete_answer.len() / 2])),
        ("no answer", write("what is this\r\n\r\n")),
        ("a continuation", write("HTTP/1.1 100 Continue\r\n\r\n")),
        ("a refusal", overload_rejection(OWN_ID)),
        ("a refusal without id", overload_rejection("")),
        ("a misdirection without id", misdirected("")),
        ("a close", Step::Close),
    ];
    let mut events = Vec::new();
    for (name, more) in surplus {
        for wait in SURPLUS_WAITS_MS {
            let surplus_after = Duration::from_millis(wait);
            let script =
                vec![Step::Run, write(complete_answer.clone()), Step::Wait(surplus_after), more.clone()];
            events.push(Event { surplus_after, ..served(format!("{name} {wait} ms behind"), script) });
        }
    }
    events
}

/// Answers to the request behind the beginning of a surplus answer, of every length.
fn answers_behind_truncated_surplus(kind: RouteKind) -> Vec<Event> {
    let surplus_heads = [
        format!("HTTP/1.1 503 Service Unavailable\r\n{NOT_RUN}Keep-Alive: timeout=5\r\n{OTHER_ID}"),
        format!("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\n{OTHER_ID}"),
        format!("HTTP/1.1 421 Misdirected Request\r\nKeep-Alive: timeout=5\r\n{OTHER_ID}"),
        "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n".to_owned(),
    ];
    let declined = format!(
        "HTTP/1.1 409 Conflict\r\n{OWN_ID}Whinspindle-Server-Stamp: {STAMP}\r\nContent-Length: {}\r\n\r\n{DECLINED}",
        length(DECLINED)
    );
    let mut events = Vec::new();
    for surplus in surplus_heads {
        for end in 1..surplus.len() {
            for (declines, answer) in [(false, kind.complete_answer()), (true, declined.clone())] {
                let truncated = &surplus[..end];
                let script = vec![Step::Run, write(format!("{truncated}{answer}"))];
                let name = format!("{truncated:?} and then {answer:?}");
                events.push(Event { declines, ..event(name, script) });
            }
        }
    }
    events
}

/// The events, and each event that ends in a close also with a reset instead.
fn with_resets(events: Vec<Event>) -> Vec<Event> {
    let ends_in_close = |event: &&Event| matches!(event.script.last(), Some(Step::Close));
    let resets = events.iter().filter(ends_in_close).map(|event| {
        let mut event = event.clone();
        event.name += ", by a reset";
        event.script.pop();
        event.script.push(Step::Reset);
        event
    });
    let resets: Vec<Event> = resets.collect();
    [events, resets].concat()
}

fn all_events(kind: RouteKind) -> Vec<Event> {
    with_resets(
        [
            broken_answers(kind),
            good_answers(kind),
            rejections(),
            unusable_answers(kind),
            surplus_answers(kind),
        ]
        .concat(),
    )
}

/// A schedule of an event and its circumstances.
#[derive(Clone, Debug)]
struct Schedule {
    kind: RouteKind,
    event: Event,
    /// Whether connections to all upstreams have already carried an answer.
    is_reused: bool,
    is_narrow: bool,
    body_bytes: usize,
    gap: Duration,
    /// Time after the request at which the client disconnects.
    disconnects_after: Option<Duration>,
}

impl Schedule {
    fn request(&self, id: &str) -> String {
        let body = id[..1].repeat(self.body_bytes);
        format!(
            "POST {} HTTP/1.1\r\nHost: a.example\r\nWhinspindle-Request-Id: {id}\r\n\
             Whinspindle-Deadline-Ms: 3000\r\nContent-Length: {}\r\n\r\n{body}",
            self.kind.path(),
            self.body_bytes
        )
    }

    async fn play(&self) {
        let harness = Harness::new();
        harness.upstreams.default_script(vec![Step::Run, write(self.kind.complete_answer())]);
        if self.is_narrow {
            harness.upstreams.pipe_bytes.set(Some(NARROW_PIPE_BYTES));
        }
        if self.is_reused {
            self.warm_up(&harness).await;
        }
        let connections = harness.upstreams.connections();
        harness.upstreams.script(self.event.script.clone());
        let mut client = harness.client();
        client.send(&self.request(FIRST)).await;
        match self.disconnects_after {
            Some(time) => {
                sleep(time).await;
                drop(client);
            }
            None => {
                let received = client.answer().await;
                self.check_answer(&harness, FIRST, &received);
                if self.event.must_serve {
                    assert_eq!(status(&received), 200, "{received}");
                    assert!(!self.is_reused || harness.upstreams.connections() == connections, "reused");
                }
            }
        }
        sleep(self.gap).await;
        let received = harness.ask(&self.request(SECOND)).await;
        self.check_answer(&harness, SECOND, &received);
        // The second request may meet the event if the first client disconnects immediately.
        let must_serve = self.disconnects_after.is_none() && self.event.must_serve_next(self.gap);
        assert!(!must_serve || status(&received) == 200, "the next request is served: {received}");
        sleep(REUSE_DELAY).await;
        self.check_upstreams(&harness);
    }

    /// Sends six concurrent requests, which leaves an idle connection to each of the three upstreams.
    async fn warm_up(&self, harness: &Harness) {
        let mut clients: Vec<Client> = (0..6).map(|_| harness.client()).collect();
        for client in &mut clients {
            let mut script = vec![Step::Wait(SETTLE_TIME * 5)];
            script.push(write(self.kind.complete_answer()));
            harness.upstreams.script(script);
            client.send(&self.request(WARM_UP)).await;
        }
        for client in &mut clients {
            assert_eq!(status(&client.answer().await), 200);
        }
        sleep(REUSE_DELAY).await;
    }

    fn check_answer(&self, harness: &Harness, id: &str, received: &str) {
        let code = status(received);
        if matches!(code, 408 | 421 | 429 | 503) {
            assert_eq!(harness.upstreams.runs(id), 0, "{code} promises that it has not run");
        }
        if let Some(answered) = header(received, "whinspindle-request-id") {
            assert_eq!(answered, id, "the answer is its own: {received}");
        }
        if header(received, "whinspindle-server-stamp").is_some() {
            let is_declined = self.event.declines && code == 409 && body(received) == with_id(DECLINED, id);
            let is_own = matches!(code, 200 | 500) || is_declined;
            assert!(is_own, "a stamp comes with the status of its upstream: {received}");
        }
        if code == 200 {
            self.check_success(id, received);
        }
    }

    fn check_success(&self, id: &str, received: &str) {
        assert_eq!(header(received, "content-encoding"), None, "{received}");
        assert_eq!(header(received, "whinspindle-server-stamp").as_deref(), Some(STAMP), "{received}");
        if !self.kind.is_stream() {
            assert_eq!(complete_body(received), with_id("{id} is served", id), "the whole body");
            return;
        }
        let complete_answer = with_id(&event_texts().concat(), id);
        let (events, is_complete) = chunks(received);
        assert!(complete_answer.starts_with(&events), "a part of its own stream: {received}");
        assert!(!is_complete || events == complete_answer, "an incomplete stream looks complete: {received}");
    }

    fn check_upstreams(&self, harness: &Harness) {
        for id in [FIRST, SECOND] {
            let runs = harness.upstreams.runs(id);
            assert!(runs <= self.kind.max_runs(), "{id} ran {runs} times");
        }
        for request in harness.upstreams.requests() {
            let id = header(&request, "whinspindle-request-id").unwrap_or_default();
            assert!([FIRST, SECOND, WARM_UP].contains(&id.as_str()), "{request}");
            assert_eq!(body(&request), id[..1].repeat(self.body_bytes), "its own body");
        }
        for part in harness.upstreams.broken_bodies() {
            let bytes = part.as_bytes();
            let is_own = bytes.iter().all(|byte| *byte == bytes[0] && b"abc".contains(byte));
            assert!(is_own, "a body contains other bytes: {part}");
        }
    }
}

fn play_schedules(disconnects_after: Option<Duration>, gaps: &[u64]) -> usize {
    let mut played = 0;
    for kind in RouteKind::ALL {
        for event in all_events(kind) {
            for (is_reused, is_narrow) in [(false, false), (false, true), (true, false), (true, true)] {
                for body_bytes in [SMALL_BODY_BYTES, LARGE_BODY_BYTES] {
                    for gap in gaps {
                        let gap = Duration::from_millis(*gap);
                        let event = event.clone();
                        let schedule = Schedule {
                            kind,
                            event,
                            is_reused,
                            is_narrow,
                            body_bytes,
                            gap,
                            disconnects_after,
                        };
                        // Printed only if a check fails.
                        println!("{kind:?} {:?}: {schedule:?}", schedule.event.name);
                        play(async move { schedule.play().await });
                        played += 1;
                    }
                }
            }
        }
    }
    played
}

#[test]
fn every_schedule_matches_answers_to_requests() {
    let played = play_schedules(None, &GAPS_MS);
    assert!(played > 5_000, "{played} schedules");
}

#[test]
fn every_schedule_with_a_disconnect_matches_answers_to_requests() {
    let played: usize =
        [0, 1, 20].into_iter().map(|time| play_schedules(Some(Duration::from_millis(time)), &[0])).sum();
    assert!(played > 5_000, "{played} schedules");
}

/// Guards against: a head that begins with surplus bytes is taken for the answer, so that a request that ran
/// runs again, its client is told that it has not run, or a failure becomes a success.
#[test]
fn truncated_surplus_before_an_answer_does_not_change_it() {
    for kind in RouteKind::ALL {
        for event in answers_behind_truncated_surplus(kind) {
            for is_reused in [false, true] {
                println!("{kind:?}, reused {is_reused}: {}", event.name);
                let event = event.clone();
                let schedule = Schedule {
                    kind,
                    event,
                    is_reused,
                    is_narrow: false,
                    body_bytes: SMALL_BODY_BYTES,
                    gap: Duration::ZERO,
                    disconnects_after: None,
                };
                play(async move { schedule.play().await });
            }
        }
    }
}
