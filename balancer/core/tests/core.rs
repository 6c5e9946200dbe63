//! The core without sockets: the effects that it asks for at each event.

use std::cell::RefCell;
use std::rc::Rc;

use whinspindle::host::{Arrival, LoadReport, Outcome};
use whinspindle_balancer_core::{BalancerCore, Effects, EndedExecution, Execution, ServerProcess, Ticket};
use whinspindle_protocol::answer::{AbortReason, Answer, ServerResponse};
use whinspindle_protocol::endpoints::EndpointUpdate;
use whinspindle_protocol::query::ForwardedQuery;

use Outcome::{
    Broken, Cancelled, ClientError, Completed, Error, Malformed, NeverSent, NotConnected, Rejected,
    StaleConnection, TimedOut,
};

const NOW: u64 = 1_000_000_000;

/// What was said, and the index and the process of each server that was sent to.
struct Notes(Rc<RefCell<Vec<String>>>, Rc<RefCell<Vec<(usize, u64)>>>);

impl Effects for Notes {
    type Caller = &'static str;

    fn execute(&mut self, execution: Execution) {
        let Execution { query_index, execution_index, process, server, .. } = execution;
        let line = format!("execute {query_index}.{execution_index} at {}", process.address);
        self.0.borrow_mut().push(line);
        self.1.borrow_mut().push((server, process.process));
    }

    fn cancel(&mut self, query_index: usize, execution_index: usize) {
        self.0.borrow_mut().push(format!("cancel {query_index}.{execution_index}"));
    }

    fn answer(&mut self, caller: &'static str, answer: Answer) {
        let answer = match answer {
            Answer::Completed(_) => "completed",
            Answer::Rejected(_) => "rejected",
            Answer::Aborted(AbortReason::Failed) => "aborted",
            Answer::Aborted(AbortReason::OutOfTime) => "aborted, out of time",
            Answer::Aborted(AbortReason::ServerUnresponsive) => "aborted, silent",
        };
        self.0.borrow_mut().push(format!("{caller}: {answer}"));
    }

    fn set_timer(&mut self, _wait: u64, _label: u32) {}

    fn probe(&mut self, _server: usize, process: ServerProcess) {
        self.0.borrow_mut().push(format!("probe {}", process.address));
    }
}

struct Bench {
    core: BalancerCore<Notes>,
    said: Rc<RefCell<Vec<String>>>,
    sent: Rc<RefCell<Vec<(usize, u64)>>>,
}

impl Bench {
    /// Servers listed as name, lifecycle; each in a cell of its own, at the port that its name tells.
    fn new(effect: &str, servers: &[(&str, &str)]) -> Self {
        let settings = format!(
            r#"{{"balancers": 1, "tier": 0, "zones": ["a"], "membershipMode": "pushed", "tickNs": 5000000,
            "products": [{{"name": "order", "effect": "{effect}", "keyScope": "cell", "sloTimeNs": 1000000000,
                "memorySpanNs": 5000000000, "statementTimeoutNs": 3000000000, "tardyImportance": 0.5}}],
            "limits": {{"cancel": true, "mostExecutions": 3, "maxRetryAfterNs": 0, "retryAfter": false,
                "secondCopies": false}}, "loadInfo": {{}},
            "obligations": {{"coldFrom": 0.3, "coldNs": 1, "fallMultiple": 3.0, "tipAfterNs": 1}}}}"#
        );
        let deployment = whinspindle_deployment_settings::parse(settings.as_bytes()).expect("settings");
        let (said, sent) = <(Rc<RefCell<Vec<String>>>, Rc<RefCell<Vec<_>>>)>::default();
        let notes = Notes(Rc::clone(&said), Rc::clone(&sent));
        let mut bench = Bench { core: BalancerCore::new(notes, &deployment, 7, NOW), said, sent };
        bench.list(true, servers);
        bench
    }

    fn list(&mut self, whole: bool, servers: &[(&str, &str)]) {
        self.list_of(1, whole, servers);
    }

    fn list_of(&mut self, generation: u64, whole: bool, servers: &[(&str, &str)]) {
        let entry = |(port, lifecycle): &(&str, &str)| {
            format!(
                r#"{{"instanceId": "s-{port}", "hostPort": "127.0.0.1:{port}", "zone": "a", "cell": {port},
                "lifecycle": "{lifecycle}"}}"#
            )
        };
        let entries: Vec<String> = servers.iter().map(entry).collect();
        let line = format!(
            r#"{{"generation": {generation}, "reset": {whole}, "instances": [{}]}}"#,
            entries.join(",")
        );
        self.core.apply_endpoint_update(NOW, &EndpointUpdate::decode(line.as_bytes()).expect("a list"));
    }

    /// A query under an id of its own, the name of its client.
    fn query(&mut self, caller: &'static str) -> Ticket {
        self.query_as(caller, caller).expect("a new id")
    }

    fn query_as(&mut self, trace: &'static str, caller: &'static str) -> Option<Ticket> {
        let arrival = Arrival { product: 0, tenant: 0, deadline: NOW + 3_000_000, route: None };
        let query = ForwardedQuery {
            trace: http::HeaderValue::from_static(trace),
            method: http::Method::POST,
            target: http::Uri::from_static("/api"),
            headers: http::HeaderMap::new(),
            body: bytes::Bytes::new(),
        };
        self.core.submit_query(NOW, arrival, query, caller)
    }

    fn ended(&mut self, query_index: usize, execution_index: usize, outcome: Outcome) {
        let served = (outcome == Completed).then(|| ServerResponse {
            headers: http::HeaderMap::new(),
            body: bytes::Bytes::from_static(b"x"),
        });
        let ended = EndedExecution {
            query_index,
            execution_index,
            outcome,
            elapsed_us: 1000,
            report: LoadReport::default(),
            response: served,
        };
        self.core.execution_ended(NOW + 1000, ended);
    }

    fn said(&self) -> Vec<String> {
        self.said.take()
    }
}

#[test]
fn the_last_outcome_decides_the_answer() {
    for (effect, outcomes, answers) in [
        ("keyed", &[Completed][..], &["completed"][..]),
        ("keyed", &[Error], &["aborted"]),
        ("keyed", &[Malformed, Malformed, Malformed], &["aborted"]),
        ("keyed", &[TimedOut], &["aborted, out of time"]),
        ("keyed", &[Rejected], &["rejected"]),
        ("keyed", &[NotConnected], &["rejected"]),
        ("keyed", &[NeverSent], &["rejected"]),
        ("safe", &[Error], &["rejected"]),
        ("unsafe", &[Broken], &["aborted"]),
        ("keyed", &[ClientError], &["aborted"]),
        ("keyed", &[StaleConnection, Malformed, Completed], &["completed"]),
    ] {
        let mut bench = Bench::new(effect, &[("1", "ready")]);
        bench.query("client");
        assert_eq!(bench.said(), ["execute 0.0 at 127.0.0.1:1"]);
        for (execution_index, &outcome) in outcomes.iter().enumerate() {
            bench.ended(0, execution_index, outcome);
        }
        let answers: Vec<String> = answers.iter().map(|answer| format!("client: {answer}")).collect();
        let mut said = bench.said();
        said.retain(|line| line.starts_with("client: "));
        assert_eq!(said, answers, "{effect} {outcomes:?}");
    }
}

#[test]
fn what_never_ran_goes_to_another_server() {
    for (outcome, again) in
        [(Rejected, true), (NotConnected, true), (NeverSent, true), (Error, false), (ClientError, false)]
    {
        let mut bench = Bench::new("keyed", &[("1", "ready"), ("2", "ready")]);
        bench.query("client");
        let first = bench.said();
        bench.ended(0, 0, outcome);
        let second = bench.said();
        assert_eq!(second[0].starts_with("execute 0.1 at"), again, "{outcome:?}: {second:?}");
        assert_ne!(first[0].rsplit(' ').next(), second[0].rsplit(' ').next());
    }
}

#[test]
fn the_id_of_an_open_query_is_taken() {
    // Until its last execution has ended, also after its answer or when its client has left.
    for (leaves, outcome) in [(true, Cancelled), (false, Completed)] {
        let mut bench = Bench::new("keyed", &[("1", "ready")]);
        let ticket = bench.query("first");
        bench.said();
        assert!(bench.query_as("first", "second").is_none());
        if leaves {
            bench.core.client_disconnected(NOW, ticket);
            assert!(bench.query_as("first", "second").is_none());
        }
        bench.ended(0, 0, outcome);
        assert_eq!(bench.said(), [if leaves { "cancel 0.0" } else { "first: completed" }]);
        assert!(bench.query_as("first", "second").is_some());
        assert_eq!(bench.core.query_counts().accepted, 2);
    }
}

#[test]
fn a_client_that_leaves_gets_no_answer_and_its_execution_is_called_off() {
    for outcome in [Cancelled, Completed, TimedOut] {
        let mut bench = Bench::new("keyed", &[("1", "ready")]);
        let ticket = bench.query("client");
        bench.said();
        bench.core.client_disconnected(NOW, ticket);
        bench.core.client_disconnected(NOW, ticket);
        assert_eq!(bench.said(), ["cancel 0.0"]);
        bench.ended(0, 0, outcome);
        assert!(bench.said().is_empty());
        assert_eq!((bench.core.query_counts().abandoned, bench.core.query_counts().completed), (1, 0));
    }
}

#[test]
fn a_ticket_stands_for_its_own_query_only() {
    // Guards against a client that leaves right after its answer taking the next query with it.
    let mut bench = Bench::new("keyed", &[("1", "ready")]);
    let first = bench.query("first");
    bench.ended(0, 0, Completed);
    bench.query("second");
    bench.said();
    bench.core.client_disconnected(NOW, first);
    assert!(bench.said().is_empty());
    bench.ended(0, 0, Completed);
    assert_eq!(bench.said(), ["second: completed"]);
}

#[test]
fn an_index_is_free_only_when_nothing_is_out() {
    let mut bench = Bench::new("keyed", &[("1", "ready"), ("2", "ready")]);
    let ticket = bench.query("first");
    bench.core.client_disconnected(NOW, ticket);
    bench.query("second");
    let said = bench.said();
    assert!(said.last().is_some_and(|line| line.starts_with("execute 1.0 at")), "{said:?}");
    bench.ended(0, 0, Cancelled);
    bench.query("third");
    assert!(bench.said()[0].starts_with("execute 0.0 at"));
}

#[test]
fn an_execution_may_begin_while_its_server_is_ready_and_its_query_open() {
    for (whole, update, wanted) in [
        (false, &[][..], true),
        (true, &[], false),
        (false, &[("1", "draining")], false),
        (false, &[("1", "gone")], false),
        (false, &[("2", "gone")], true),
        (true, &[("1", "ready")], true),
    ] {
        let mut bench = Bench::new("keyed", &[("1", "ready"), ("2", "ready")]);
        let ticket = bench.query("client");
        bench.list(whole, update);
        assert_eq!(bench.core.is_ready(0), wanted, "{whole} {update:?}");
        assert_eq!(bench.core.may_send(NOW, 0, 0, 0), wanted, "{whole} {update:?}");
        bench.core.client_disconnected(NOW, ticket);
        assert!(!bench.core.may_send(NOW, 0, 0, 0));
    }
    assert!(Bench::new("keyed", &[]).core.has_list());
}

#[test]
fn an_older_list_does_not_bring_back_what_drains() {
    // What is told with the number 5, then with this one, and whether the server may have queries.
    for (told, generation, whole, ready) in [
        ("draining", 4, true, false),
        ("draining", 4, false, false),
        ("draining", 5, true, true),
        ("draining", 6, true, true),
        ("ready", 4, true, true),
    ] {
        let mut bench = Bench::new("keyed", &[("1", "ready"), ("2", "ready")]);
        bench.list_of(5, false, &[("1", told)]);
        bench.list_of(generation, whole, &[("1", "ready"), ("2", "ready")]);
        assert_eq!(bench.core.is_ready(0), ready, "{told} {generation} {whole}");
        // What comes after that counts by its own number again.
        bench.list_of(generation + 1, false, &[("1", "ready")]);
        assert!(bench.core.is_ready(0), "{told} {generation} {whole}");
    }
}

#[test]
fn an_index_of_a_server_is_used_again_once_nothing_holds_it() {
    let mut bench = Bench::new("keyed", &[("1", "ready")]);
    let mut next = 1;
    let replace = |bench: &mut Bench, next: &mut u32| {
        let (old, new) = (next.to_string(), (*next + 1).to_string());
        bench.list(false, &[(&old, "gone"), (&new, "ready")]);
        *next += 1;
    };
    // Held by an execution until that ends, whatever becomes of the query.
    bench.query("first");
    replace(&mut bench, &mut next);
    bench.query("second");
    bench.ended(0, 0, Completed);
    bench.ended(1, 0, Completed);
    assert_eq!(bench.sent.take(), [(0, 1), (1, 2)]);
    for _ in 0..1000 {
        replace(&mut bench, &mut next);
        bench.query("later");
        bench.ended(0, 0, Completed);
        bench.ended(1, 0, Completed);
    }
    let sent = bench.sent.take();
    assert!(sent.iter().all(|&(server, _)| server < 3), "{sent:?}");
    let processes: Vec<u64> = sent.iter().map(|&(_, process)| process).collect();
    assert_eq!(processes, (3..1003).collect::<Vec<u64>>());
}

#[test]
fn no_server_is_a_rejection_at_once() {
    for servers in [&[][..], &[("1", "draining")]] {
        let mut bench = Bench::new("keyed", servers);
        bench.query("client");
        assert_eq!(bench.said(), ["client: rejected"]);
    }
}

#[test]
fn servers_that_the_fleet_lets_out_drain_whatever_the_list_says() {
    let key = |port: &str| whinspindle_deployment_settings::server_key(format!("s-{port}").as_bytes());
    let taken_out = |bench: &mut Bench, ports: &[&str]| {
        bench.core.set_drained(NOW, &ports.iter().map(|port| key(port)).collect());
    };
    let mut bench = Bench::new("safe", &[("1", "ready"), ("2", "ready")]);
    let goes = |bench: &mut Bench, caller| {
        let query_index = bench.query(caller);
        let said = bench.said().remove(0);
        if said.starts_with("execute") {
            bench.ended(0, 0, Completed);
            bench.said();
        }
        let _ = query_index;
        said
    };
    taken_out(&mut bench, &["1"]);
    for caller in ["a", "b", "c", "d", "e", "f"] {
        assert_eq!(goes(&mut bench, caller), "execute 0.0 at 127.0.0.1:2");
    }
    // The list tells of it again, or of another start: it stays out. So does one let out before it is listed.
    bench.list(false, &[("1", "ready")]);
    taken_out(&mut bench, &["1", "3"]);
    bench.list(false, &[("2", "draining"), ("3", "ready")]);
    assert_eq!(goes(&mut bench, "g"), "g: rejected");
    // Back, it gets what comes; one that drains by the list goes on draining.
    taken_out(&mut bench, &["2"]);
    bench.list(false, &[("3", "gone")]);
    assert_eq!(goes(&mut bench, "h"), "execute 0.0 at 127.0.0.1:1");
    taken_out(&mut bench, &[]);
    bench.list(false, &[("1", "gone")]);
    assert_eq!(goes(&mut bench, "i"), "i: rejected");
}
