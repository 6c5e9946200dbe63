//! The referee finds each way to break a rule, and nothing where none is broken.

use whinspindle_lab_serving::referee::{Referee, RequestRules, UpstreamPlace, Violation};

fn rules() -> RequestRules {
    RequestRules {
        service: "assistant".to_owned(),
        repeatable: false,
        most_upstreams: 1,
        home_regions: Vec::new(),
    }
}

fn repeatable() -> RequestRules {
    RequestRules { repeatable: true, most_upstreams: 2, ..rules() }
}

fn upstream(instance: &str) -> UpstreamPlace {
    UpstreamPlace {
        instance: instance.to_owned(),
        service: "assistant".to_owned(),
        region: "region-a".to_owned(),
    }
}

/// A request that is served as it should be.
fn serve(referee: &mut Referee, now: u64, request: &str, rules: RequestRules, instance: &str) {
    referee.sent(now, request, rules);
    referee.arrived(now, request, &upstream(instance));
    referee.ran(request, instance);
    referee.stamped(request, "stamp");
    referee.answered(request, 200, Some("stamp"));
}

#[test]
fn a_proper_run_breaks_nothing() {
    let mut referee = Referee::default();
    for now in 0..100 {
        serve(&mut referee, now, &format!("r{now}"), rules(), "i-1");
    }
    referee.sent(200, "refused", rules());
    referee.answered("refused", 503, None);
    assert_eq!(referee.finish(), []);
}

#[test]
fn an_unsafe_request_runs_once() {
    let mut referee = Referee::default();
    serve(&mut referee, 0, "r", rules(), "i-1");
    referee.arrived(1, "r", &upstream("i-2"));
    referee.ran("r", "i-2");
    assert_eq!(referee.finish(), [Violation::RanTwice { request: "r".to_owned(), runs: 2 }]);
}

#[test]
fn a_repeatable_request_may_run_again() {
    let mut referee = Referee::default();
    serve(&mut referee, 0, "r", repeatable(), "i-1");
    referee.arrived(1, "r", &upstream("i-2"));
    referee.ran("r", "i-2");
    assert_eq!(referee.finish(), []);
}

#[test]
fn requests_run_on_no_more_upstreams_than_their_routes_allow() {
    let mut referee = Referee::default();
    for request in ["a", "b", "c", "d"] {
        referee.sent(0, request, repeatable());
        for instance in ["i-1", "i-2", "i-3"] {
            referee.ran(request, instance);
        }
    }
    assert_eq!(referee.finish(), [Violation::TooManyUpstreams { requests: 4 }]);
}

#[test]
fn a_refusal_promises_that_the_request_never_runs() {
    for runs_first in [true, false] {
        let mut referee = Referee::default();
        referee.sent(0, "r", rules());
        if runs_first {
            referee.ran("r", "i-1");
        }
        referee.answered("r", 429, None);
        if !runs_first {
            referee.ran("r", "i-1");
        }
        assert_eq!(referee.finish(), [Violation::RefusedButRan { request: "r".to_owned(), status: 429 }]);
    }
}

#[test]
fn only_what_was_sent_arrives_and_where_it_belongs() {
    let mut referee = Referee::default();
    referee.arrived(0, "never", &upstream("i-1"));
    let homes = RequestRules { home_regions: vec!["region-b".to_owned()], ..rules() };
    referee.sent(0, "home", homes);
    referee.arrived(0, "home", &upstream("i-1"));
    referee.sent(0, "service", RequestRules { service: "orders".to_owned(), ..rules() });
    referee.arrived(0, "service", &upstream("i-1"));
    let expected = [
        Violation::NeverSent { request: "never".to_owned() },
        Violation::NotAHome { request: "home".to_owned(), region: "region-a".to_owned() },
        Violation::WrongService {
            request: "service".to_owned(),
            expected: "orders".to_owned(),
            service: "assistant".to_owned(),
        },
    ];
    assert_eq!(referee.finish(), expected);
}

#[test]
fn a_success_carries_the_stamp_of_its_own_upstream() {
    let mut referee = Referee::default();
    referee.sent(0, "a", rules());
    referee.answered("a", 200, None);
    referee.sent(0, "b", rules());
    referee.stamped("b", "one");
    referee.answered("b", 500, Some("other"));
    let expected = [
        Violation::ForeignAnswer { request: "a".to_owned(), status: 200 },
        Violation::ForeignAnswer { request: "b".to_owned(), status: 500 },
    ];
    assert_eq!(referee.finish(), expected);
}

#[test]
fn a_proper_request_is_not_denied() {
    let mut referee = Referee::default();
    referee.sent(0, "r", rules());
    referee.answered("r", 404, None);
    assert_eq!(referee.finish(), [Violation::Denied { request: "r".to_owned(), status: 404 }]);
}

#[test]
fn nothing_reaches_a_drained_upstream_after_the_bound() {
    let mut referee = Referee::default();
    referee.drain_acknowledged(1_000, "i-1");
    serve(&mut referee, 3_500, "in-time", rules(), "i-1");
    serve(&mut referee, 3_501, "late", rules(), "i-1");
    serve(&mut referee, 9_000, "elsewhere", rules(), "i-2");
    let expected =
        Violation::AfterDrain { request: "late".to_owned(), instance: "i-1".to_owned(), late_ms: 2_501 };
    assert_eq!(referee.finish(), [expected]);
}

#[test]
fn a_cold_upstream_gets_few_requests_a_second() {
    let mut referee = Referee::default();
    // 10 x 1.5 + 5: 20 in any second while it is cold.
    referee.turned_cold(0, "i-1", 3_000, 10.0);
    for number in 0..20 {
        serve(&mut referee, 100, &format!("first-{number}"), rules(), "i-1");
    }
    for number in 0..20 {
        serve(&mut referee, 1_100, &format!("second-{number}"), rules(), "i-1");
    }
    for number in 0..50 {
        serve(&mut referee, 3_000, &format!("warm-{number}"), rules(), "i-1");
    }
    let mut too_many = Referee::default();
    too_many.turned_cold(0, "i-1", 3_000, 10.0);
    for number in 0..21 {
        serve(&mut too_many, 100 + number * 49, &format!("r{number}"), rules(), "i-1");
    }
    assert_eq!(referee.finish(), []);
    let expected = Violation::TooManyWhileCold { instance: "i-1".to_owned(), count: 21 };
    assert_eq!(too_many.finish(), [expected]);
}

/// Sends so many requests and lets so many of them arrive a second time.
fn with_repeats(requests: usize, repeats: usize) -> Vec<Violation> {
    let mut referee = Referee::default();
    for number in 0..requests {
        let request = format!("r{number}");
        serve(&mut referee, number as u64, &request, repeatable(), "i-1");
        if number < repeats {
            referee.arrived(number as u64, &request, &upstream("i-2"));
        }
    }
    referee.finish()
}

#[test]
fn repeats_keep_within_the_shared_budget() {
    // 52, and a fifth of the requests.
    assert_eq!(with_repeats(400, 52), []);
    assert!(matches!(
        with_repeats(400, 400).as_slice(),
        [Violation::TooManyRepeats { repeats, .. }] if *repeats > 52
    ));
}
