//! Tests of the linearizability checker: it accepts exactly the histories that have a linearization.

mod common;

use common::history::{Operation, Request, Response, check};

fn put(value: &str, started_at: u64, completion: Option<u64>) -> Operation {
    operation(Request::Put(value.to_string()), started_at, completion.map(|at| (at, Response::Done)))
}

fn get(value: &str, started_at: u64, completion: u64) -> Operation {
    operation(Request::Get, started_at, Some((completion, Response::Value(value.to_string()))))
}

fn swap(old: &str, new: &str, started_at: u64, completion: Option<(u64, Response)>) -> Operation {
    operation(Request::Swap { old: old.to_string(), new: new.to_string() }, started_at, completion)
}

fn operation(request: Request, started_at: u64, completion: Option<(u64, Response)>) -> Operation {
    Operation { register: "r".to_string(), request, started_at, completion }
}

#[test]
fn histories_with_a_linearization_are_accepted() {
    let refused = |value: &str| Response::Refused(value.to_string());
    let histories = [
        vec![put("a", 0, Some(1)), get("a", 2, 3), put("b", 4, Some(5)), get("b", 6, 7)],
        // Concurrent puts in either order.
        vec![put("a", 0, Some(9)), put("b", 0, Some(9)), get("b", 10, 11)],
        // An unknown put takes effect late.
        vec![put("a", 0, None), get("-", 5, 6), get("a", 7, 8)],
        vec![put("a", 0, Some(1)), swap("a", "b", 2, Some((3, Response::Done))), get("b", 4, 5)],
        vec![put("a", 0, Some(1)), swap("c", "b", 2, Some((3, refused("a")))), get("a", 4, 5)],
        // The value of the second swap is never read.
        vec![put("a", 0, Some(1)), swap("a", "b", 2, Some((9, Response::Done))), swap("a", "c", 2, None)],
    ];
    for history in histories {
        check(&history).unwrap();
    }
}

#[test]
fn histories_without_a_linearization_are_rejected() {
    let histories = [
        // A stale read.
        vec![put("a", 0, Some(1)), put("b", 2, Some(3)), get("a", 4, 5)],
        vec![put("a", 0, Some(1)), get("-", 2, 3)],
        // A lost write, and a value that was never written.
        vec![put("a", 0, Some(1)), get("a", 2, 3), get("-", 4, 5)],
        vec![get("z", 0, 1)],
        // A value that is read again after a newer one.
        vec![put("a", 0, None), put("b", 0, None), get("a", 2, 3), get("b", 4, 5), get("a", 6, 7)],
        // Two swaps of one value.
        vec![
            put("a", 0, Some(1)),
            swap("a", "b", 2, Some((9, Response::Done))),
            swap("a", "c", 2, Some((9, Response::Done))),
        ],
        // A swap whose value is read before the swap begins.
        vec![put("a", 0, Some(1)), get("b", 2, 3), swap("a", "b", 4, Some((5, Response::Done)))],
    ];
    for history in histories {
        assert!(check(&history).is_err(), "{history:?}");
    }
}
