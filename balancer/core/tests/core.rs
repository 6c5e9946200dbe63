//! The core without sockets: the effects that each event causes.

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

/// Records the calls, and the server index and process of each execution.
struct RecordingEffects(Rc<RefCell<Vec<String>>>, Rc<RefCell<Vec<(usize, u64)>>>);

impl Effects for RecordingEffects {
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

    fn set_timer(&mut self, _delay_us: u64, _label: u32) {}

    fn probe(&mut self, _server: usize, process: ServerProcess) {
        self.0.borrow_mut().push(format!("probe {}", process.address));
    }
}

struct Fixture {
    core: BalancerCore<RecordingEffects>,
    calls: Rc<RefCell<Vec<String>>>,
    sent: Rc<RefCell<Vec<(usize, u64)>>>,
}

impl Fixture {
    /// Starts a core with servers given as (port, lifecycle), each in its own cell.
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
        let (calls, sent) = <(Rc<RefCell<Vec<String>>>, Rc<RefCell<Vec<_>>>)>::default();
        let effects = RecordingEffects(Rc::clone(&calls), Rc::clone(&sent));
        let mut fixture = Fixture { core: BalancerCore::new(effects, &deployment, 7, NOW), calls, sent };
        fixture.update_list(true, servers);
        fixture
    }

    fn update_list(&mut self, is_complete: bool, servers: &[(&str, &str)]) {
        self.update_list_at(1, is_complete, servers);
    }

    fn update_list_at(&mut self, generation: u64, is_complete: bool, servers: &[(&str, &str)]) {
        let instance = |(port, lifecycle): &(&str, &str)| {
            format!(
                r#"{{"instanceId": "s-{port}", "hostPort": "127.0.0.1:{port}", "zone": "a", "cell": {port},
                "lifecycle": "{lifecycle}"}}"#
            )
        };
        let entries: Vec<String> = servers.iter().map(instance).collect();
        let line = format!(
            r#"{{"generation": {generation}, "reset": {is_complete}, "instances": [{}]}}"#,
            entries.join(",")
        );
        self.core.apply_endpoint_update(NOW, &EndpointUpdate::decode(line.as_bytes()).expect("a list"));
    }

    /// Submits a query whose trace id is the name of the caller.
    fn submit(&mut self, caller: &'static str) -> Ticket {
        self.submit_with_trace(caller, caller).expect("a new id")
    }

    fn submit_with_trace(&mut self, trace: &'static str, caller: &'static str) -> Option<Ticket> {
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

    fn end_execution(&mut self, query_index: usize, execution_index: usize, outcome: Outcome) {
        let response = (outcome == Completed).then(|| ServerResponse {
            headers: http::HeaderMap::new(),
            body: bytes::Bytes::from_static(b"x"),
        });
        let end = EndedExecution {
            query_index,
            execution_index,
            outcome,
            elapsed_us: 1000,
            report: LoadReport::default(),
            response,
        };
        self.core.execution_ended(NOW + 1000, end);
    }

    fn calls(&self) -> Vec<String> {
        self.calls.take()
    }
}

#[test]
fn final_answer_follows_the_last_outcome() {
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
        let mut fixture = Fixture::new(effect, &[("1", "ready")]);
        fixture.submit("client");
        assert_eq!(fixture.calls(), ["execute 0.0 at 127.0.0.1:1"]);
        for (execution_index, &outcome) in outcomes.iter().enumerate() {
            fixture.end_execution(0, execution_index, outcome);
        }
        let answers: Vec<String> = answers.iter().map(|answer| format!("client: {answer}")).collect();
        let mut calls = fixture.calls();
        calls.retain(|line| line.starts_with("client: "));
        assert_eq!(calls, answers, "{effect} {outcomes:?}");
    }
}

#[test]
fn queries_that_never_ran_are_retried_on_another_server() {
    for (outcome, is_retried) in
        [(Rejected, true), (NotConnected, true), (NeverSent, true), (Error, false), (ClientError, false)]
    {
        let mut fixture = Fixture::new("keyed", &[("1", "ready"), ("2", "ready")]);
        fixture.submit("client");
        let first = fixture.calls();
        fixture.end_execution(0, 0, outcome);
        let second = fixture.calls();
        assert_eq!(second[0].starts_with("execute 0.1 at"), is_retried, "{outcome:?}: {second:?}");
        assert_ne!(first[0].rsplit(' ').next(), second[0].rsplit(' ').next());
    }
}

#[test]
fn trace_id_of_an_open_query_is_in_use() {
    // The trace id stays in use until the last execution has ended, also after the answer or a disconnect.
    for (disconnects, outcome) in [(true, Cancelled), (false, Completed)] {
        let mut fixture = Fixture::new("keyed", &[("1", "ready")]);
        let ticket = fixture.submit("first");
        fixture.calls();
        assert!(fixture.submit_with_trace("first", "second").is_none());
        if disconnects {
            fixture.core.client_disconnected(NOW, ticket);
            assert!(fixture.submit_with_trace("first", "second").is_none());
        }
        fixture.end_execution(0, 0, outcome);
        assert_eq!(fixture.calls(), [if disconnects { "cancel 0.0" } else { "first: completed" }]);
        assert!(fixture.submit_with_trace("first", "second").is_some());
        assert_eq!(fixture.core.query_counts().accepted, 2);
    }
}

#[test]
fn disconnected_client_gets_no_answer_and_its_execution_is_cancelled() {
    for outcome in [Cancelled, Completed, TimedOut] {
        let mut fixture = Fixture::new("keyed", &[("1", "ready")]);
        let ticket = fixture.submit("client");
        fixture.calls();
        fixture.core.client_disconnected(NOW, ticket);
        fixture.core.client_disconnected(NOW, ticket);
        assert_eq!(fixture.calls(), ["cancel 0.0"]);
        fixture.end_execution(0, 0, outcome);
        assert!(fixture.calls().is_empty());
        assert_eq!((fixture.core.query_counts().abandoned, fixture.core.query_counts().completed), (1, 0));
    }
}

#[test]
fn ticket_refers_only_to_its_own_query() {
    // A client that disconnects right after its answer must not cancel the next query with the same index.
    let mut fixture = Fixture::new("keyed", &[("1", "ready")]);
    let first = fixture.submit("first");
    fixture.end_execution(0, 0, Completed);
    fixture.submit("second");
    fixture.calls();
    fixture.core.client_disconnected(NOW, first);
    assert!(fixture.calls().is_empty());
    fixture.end_execution(0, 0, Completed);
    assert_eq!(fixture.calls(), ["second: completed"]);
}

#[test]
fn query_index_is_reused_only_without_executions_in_flight() {
    let mut fixture = Fixture::new("keyed", &[("1", "ready"), ("2", "ready")]);
    let ticket = fixture.submit("first");
    fixture.core.client_disconnected(NOW, ticket);
    fixture.submit("second");
    let calls = fixture.calls();
    assert!(calls.last().is_some_and(|line| line.starts_with("execute 1.0 at")), "{calls:?}");
    fixture.end_execution(0, 0, Cancelled);
    fixture.submit("third");
    assert!(fixture.calls()[0].starts_with("execute 0.0 at"));
}

#[test]
fn execution_may_be_sent_while_server_is_ready_and_query_open() {
    for (is_complete, update, expected) in [
        (false, &[][..], true),
        (true, &[], false),
        (false, &[("1", "draining")], false),
        (false, &[("1", "gone")], false),
        (false, &[("2", "gone")], true),
        (true, &[("1", "ready")], true),
    ] {
        let mut fixture = Fixture::new("keyed", &[("1", "ready"), ("2", "ready")]);
        let ticket = fixture.submit("client");
        fixture.update_list(is_complete, update);
        assert_eq!(fixture.core.is_ready(0), expected, "{is_complete} {update:?}");
        assert_eq!(fixture.core.may_send(NOW, 0, 0, 0), expected, "{is_complete} {update:?}");
        fixture.core.client_disconnected(NOW, ticket);
        assert!(!fixture.core.may_send(NOW, 0, 0, 0));
    }
    assert!(Fixture::new("keyed", &[]).core.has_list());
}

#[test]
fn older_list_does_not_reactivate_draining_servers() {
    // State with generation 5, then a later update with another generation, and whether the server is ready.
    for (lifecycle, generation, is_complete, is_ready) in [
        ("draining", 4, true, false),
        ("draining", 4, false, false),
        ("draining", 5, true, true),
        ("draining", 6, true, true),
        ("ready", 4, true, true),
    ] {
        let mut fixture = Fixture::new("keyed", &[("1", "ready"), ("2", "ready")]);
        fixture.update_list_at(5, false, &[("1", lifecycle)]);
        fixture.update_list_at(generation, is_complete, &[("1", "ready"), ("2", "ready")]);
        assert_eq!(fixture.core.is_ready(0), is_ready, "{lifecycle} {generation} {is_complete}");
        // The next update counts by its own generation is_retried.
        fixture.update_list_at(generation + 1, false, &[("1", "ready")]);
        assert!(fixture.core.is_ready(0), "{lifecycle} {generation} {is_complete}");
    }
}

#[test]
fn server_index_is_reused_without_references() {
    let mut fixture = Fixture::new("keyed", &[("1", "ready")]);
    let mut next = 1;
    let replace = |fixture: &mut Fixture, next: &mut u32| {
        let (old, new) = (next.to_string(), (*next + 1).to_string());
        fixture.update_list(false, &[(&old, "gone"), (&new, "ready")]);
        *next += 1;
    };
    // An execution refers to its server until it ends, even if the query is finished.
    fixture.submit("first");
    replace(&mut fixture, &mut next);
    fixture.submit("second");
    fixture.end_execution(0, 0, Completed);
    fixture.end_execution(1, 0, Completed);
    assert_eq!(fixture.sent.take(), [(0, 1), (1, 2)]);
    for _ in 0..1000 {
        replace(&mut fixture, &mut next);
        fixture.submit("later");
        fixture.end_execution(0, 0, Completed);
        fixture.end_execution(1, 0, Completed);
    }
    let sent = fixture.sent.take();
    assert!(sent.iter().all(|&(server, _)| server < 3), "{sent:?}");
    let processes: Vec<u64> = sent.iter().map(|&(_, process)| process).collect();
    assert_eq!(processes, (3..1003).collect::<Vec<u64>>());
}

#[test]
fn query_without_ready_server_is_rejected_at_once() {
    for servers in [&[][..], &[("1", "draining")]] {
        let mut fixture = Fixture::new("keyed", servers);
        fixture.submit("client");
        assert_eq!(fixture.calls(), ["client: rejected"]);
    }
}

#[test]
fn servers_drained_by_the_fleet_ignore_the_list() {
    let key = |port: &str| whinspindle_deployment_settings::server_key(format!("s-{port}").as_bytes());
    let set_drained = |fixture: &mut Fixture, ports: &[&str]| {
        fixture.core.set_drained(NOW, &ports.iter().map(|port| key(port)).collect());
    };
    let mut fixture = Fixture::new("safe", &[("1", "ready"), ("2", "ready")]);
    let submit = |fixture: &mut Fixture, caller| {
        let query_index = fixture.submit(caller);
        let calls = fixture.calls().remove(0);
        if calls.starts_with("execute") {
            fixture.end_execution(0, 0, Completed);
            fixture.calls();
        }
        let _ = query_index;
        calls
    };
    set_drained(&mut fixture, &["1"]);
    for caller in ["a", "b", "c", "d", "e", "f"] {
        assert_eq!(submit(&mut fixture, caller), "execute 0.0 at 127.0.0.1:2");
    }
    // A drained server stays drained after another list update. So does one that is drained before it is
    // listed.
    fixture.update_list(false, &[("1", "ready")]);
    set_drained(&mut fixture, &["1", "3"]);
    fixture.update_list(false, &[("2", "draining"), ("3", "ready")]);
    assert_eq!(submit(&mut fixture, "g"), "g: rejected");
    // A server that is no longer drained gets queries is_retried, unless the list says that it is draining.
    set_drained(&mut fixture, &["2"]);
    fixture.update_list(false, &[("3", "gone")]);
    assert_eq!(submit(&mut fixture, "h"), "execute 0.0 at 127.0.0.1:1");
    set_drained(&mut fixture, &[]);
    fixture.update_list(false, &[("1", "gone")]);
    assert_eq!(submit(&mut fixture, "i"), "i: rejected");
}
