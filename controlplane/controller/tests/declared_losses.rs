//! An operator declares voters lost whose machines will not return.

mod common;

use common::fleet::{Fleet, endpoint};
use common::*;
use http::StatusCode;
use whinspindle_controller::api::{Call, Response};

const COMMAND_TIMEOUT_MS: u64 = 15_000;
/// A controller detects the loss of others within this time.
const NOTICED_MS: u64 = 3_000;

fn declare(lost: u8, confirmed_view: Option<u64>) -> Call {
    Call::DeclareLost { lost: vec![endpoint(lost)], confirmed_view }
}

fn text(response: &Response) -> String {
    String::from_utf8(response.body.to_vec()).expect("text")
}

/// The number of the view that the operator has to confirm.
fn view_to_confirm(response: &Response) -> u64 {
    let text = text(response);
    let (_, rest) = text.split_once("confirm=").expect("the response names the view to confirm");
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().expect("a number")
}

/// One of two controllers is lost for good and another machine has joined. The configuration can be read, but
/// it can't be replaced until the operator has declared the loss and confirmed the view named in the first
/// response.
#[test]
fn one_of_two_accepts_commands_after_a_confirmed_loss() {
    let mut fleet = Fleet::start(1, 2);
    fleet.complete(replace(0, 1), COMMAND_TIMEOUT_MS);
    fleet.pass(1_000);
    let refused = fleet.ask(endpoint(1), declare(2, None)).expect("an answer");
    assert_eq!(refused.status, StatusCode::CONFLICT, "it is still reachable: {}", text(&refused));

    fleet.cluster.remove(endpoint(2));
    fleet.cluster.add(endpoint(3), false);
    fleet.cluster.start(endpoint(3));
    fleet.pass(NOTICED_MS);
    let read = fleet.ask(endpoint(1), Call::Fetch).expect("an answer");
    assert_eq!((read.status, read.body), (StatusCode::OK, configuration(1)));
    let change = fleet.ask(endpoint(1), replace(1, 2)).expect("an answer");
    assert_eq!(change.status, StatusCode::SERVICE_UNAVAILABLE);

    let first = fleet.ask(endpoint(1), declare(2, None)).expect("an answer");
    assert_eq!(first.status, StatusCode::PRECONDITION_REQUIRED);
    assert!(text(&first).contains("nothing acknowledged is lost"), "{}", text(&first));
    let view = view_to_confirm(&first);
    let outdated = fleet.ask(endpoint(1), declare(2, Some(view - 1))).expect("an answer");
    assert_eq!(outdated.status, StatusCode::PRECONDITION_REQUIRED);
    let confirmed = fleet.ask(endpoint(1), declare(2, Some(view))).expect("an answer");
    assert_eq!(confirmed.status, StatusCode::OK, "{}", text(&confirmed));

    fleet.complete(replace(1, 2), COMMAND_TIMEOUT_MS);
    fleet.pass(NOTICED_MS);
    for number in [1, 3] {
        let read = fleet.ask(endpoint(number), Call::Fetch).expect("an answer");
        assert_eq!((read.status, read.body), (StatusCode::OK, configuration(2)), "at {number}");
    }
}

/// Two of three controllers are lost for good: the response warns that acknowledged changes may be lost.
#[test]
fn response_warns_if_acknowledged_changes_may_be_lost() {
    let mut fleet = Fleet::start(2, 3);
    fleet.complete(replace(0, 1), COMMAND_TIMEOUT_MS);
    fleet.pass(1_000);
    for number in [2, 3] {
        fleet.cluster.remove(endpoint(number));
        fleet.cluster.add(endpoint(number + 2), false);
        fleet.cluster.start(endpoint(number + 2));
    }
    fleet.pass(NOTICED_MS);
    let incomplete = fleet.ask(endpoint(1), declare(2, None)).expect("an answer");
    assert_eq!(incomplete.status, StatusCode::CONFLICT, "the third controller is not declared lost");
    let declare_both =
        |confirmed_view| Call::DeclareLost { lost: vec![endpoint(2), endpoint(3)], confirmed_view };
    let first = fleet.ask(endpoint(1), declare_both(None)).expect("an answer");
    assert!(text(&first).contains("may be lost"), "{}", text(&first));
    let confirmed = fleet.ask(endpoint(1), declare_both(Some(view_to_confirm(&first)))).expect("an answer");
    assert_eq!(confirmed.status, StatusCode::OK, "{}", text(&confirmed));
    fleet.complete(replace(1, 2), COMMAND_TIMEOUT_MS);
}
