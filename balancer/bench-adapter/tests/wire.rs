//! The adapter as a process: framing, queries from arrival to answer, and rejection of invalid input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const OPTIONS: &str = r#"{"balancers": 1, "tier": 0, "zones": ["a"], "membershipMode": "on_request",
    "tickNs": 5000000,
    "products": [{"effect": "safe", "sloTimeNs": 1000000000, "importance": 1.0, "somethingNew": 1}],
    "limits": {"cancel": true, "mostExecutions": 2, "maxRetryAfterNs": 0, "retryAfter": false,
        "secondCopies": false},
    "loadInfo": {"columns": ["throughput", "unheardOf"]},
    "obligations": {"coldFrom": 0.3, "coldNs": 8000000000, "fallMultiple": 3.0, "mustAskInNs": 10000000000,
        "tipAfterNs": 3000000000}}"#;

const NO_PRODUCTS: &str = r#"{"balancers": 1, "tier": 0, "membershipMode": "pushed", "tickNs": 1,
    "products": [],
    "limits": {"cancel": true, "mostExecutions": 2, "maxRetryAfterNs": 0, "retryAfter": false,
        "secondCopies": true},
    "loadInfo": {},
    "obligations": {"coldFrom": 0.3, "coldNs": 1, "fallMultiple": 3.0, "tipAfterNs": 1}}"#;

fn record(code: u8, fields: &[&[u8]]) -> Vec<u8> {
    let fields = fields.concat();
    [&[code][..], &(fields.len() as u32).to_le_bytes(), &fields].concat()
}

fn batch(number: u32, clock: u64, records: &[Vec<u8>]) -> Vec<u8> {
    let body = [&(records.len() as u32).to_le_bytes()[..], &records.concat()].concat();
    [&number.to_le_bytes()[..], &clock.to_le_bytes(), &(body.len() as u32).to_le_bytes(), &body].concat()
}

fn attach(options: &str) -> Vec<u8> {
    record(16, &[&[3, 0], &[9; 8], &(options.len() as u32).to_le_bytes(), options.as_bytes()])
}

/// An endpoint list with one ready upstream in bank 2, and the event that passes it to balancer 3.
fn list() -> [Vec<u8>; 2] {
    let entry = [&UPSTREAM[..], &[0, 0], &[0, 0], &[0, 0], &[1], &1.0f32.to_le_bytes(), &[0; 8]].concat();
    [record(26, &[&[2, 0], &1u32.to_le_bytes(), &entry]), record(17, &[&[3, 0], &[0], &[0; 4], &[2, 0]])]
}

const UPSTREAM: [u8; 6] = [10, 1, 2, 3, 0x90, 0x1f];

fn query(txn: u32, deadline: u64) -> Vec<u8> {
    record(18, &[&[3, 0], &txn.to_le_bytes(), &[0, 0], &[0, 0], &[0; 16], &deadline.to_le_bytes()])
}

fn completed(txn: u32, state: u8, query_answered: u8) -> Vec<u8> {
    let report = [&[2][..], &f32::NAN.to_le_bytes(), &1.0f32.to_le_bytes()].concat();
    record(20, &[&[3, 0], &txn.to_le_bytes(), &[0; 8], &UPSTREAM, &[0, state, query_answered], &report])
}

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_whinspindle-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may have stopped reading already.
    let _ = child.stdin.take().expect("piped").write_all(input);
    child.wait_with_output().expect("the adapter ends")
}

/// The replies as (number, codes of the records).
fn replies(mut bytes: &[u8]) -> Vec<(u32, Vec<u8>)> {
    let number = |bytes: &[u8]| u32::from_le_bytes(bytes[..4].try_into().expect("four bytes"));
    let mut replies = Vec::new();
    while !bytes.is_empty() {
        let (mut body, rest) = bytes[8..].split_at(number(&bytes[4..]) as usize);
        let mut codes = Vec::new();
        while !body.is_empty() {
            codes.push(body[0]);
            body = &body[5 + number(&body[1..]) as usize..];
        }
        replies.push((number(bytes), codes));
        bytes = rest;
    }
    replies
}

#[test]
fn processes_batches() {
    let [list_record, endpoints_event] = list();
    let second = 1_000_000_000;
    let cases = [
        ("empty", vec![], vec![]),
        ("attach: timer and subscription", vec![attach(OPTIONS), list_record, endpoints_event], vec![18, 23]),
        ("a query goes out, with its timer", vec![query(7, 5 * second)], vec![16, 18]),
        ("an answer for an unknown query", vec![completed(8, 0, 1)], vec![]),
        ("served", vec![completed(7, 0, 1)], vec![]),
        (
            "the same again, and withdrawn",
            vec![completed(7, 0, 1), record(21, &[&[3, 0], &[7, 0, 0, 0]])],
            vec![],
        ),
        (
            "an error with nobody else to ask",
            vec![query(9, 5 * second), completed(9, 13, 0)],
            vec![16, 18, 22],
        ),
        ("a subscription failed", vec![record(17, &[&[3, 0], &[1], &[0; 4], &[99, 0]])], vec![18]),
        ("killed and started anew", vec![record(25, &[&[3, 0]]), attach(OPTIONS)], vec![18, 23]),
    ];
    let input: Vec<u8> = (0u32..)
        .zip(&cases)
        .flat_map(|(n, (_, records, _))| batch(n, second + u64::from(n) * 5_000_000, records))
        .collect();
    let output = run(&input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let replies = replies(&output.stdout);
    assert_eq!(replies.len(), cases.len());
    for ((n, (name, _, codes)), reply) in (0u32..).zip(cases).zip(replies) {
        assert_eq!(reply, (n, codes), "{name}");
    }
}

#[test]
fn processes_many_instances_and_a_long_list() {
    let entry = |n: u16| {
        let [low, high] = n.to_le_bytes();
        [&[10, 1, low, high, 1, 1][..], &[0, 0], &[n as u8 % 4, 0], &[low, 0], &[1], &[0; 12]].concat()
    };
    let entries: Vec<u8> = (0..5000).flat_map(entry).collect();
    let mut records = vec![record(26, &[&[2, 0], &5000u32.to_le_bytes(), &entries])];
    for instance in (0..400u16).map(u16::to_le_bytes) {
        records.push(record(
            16,
            &[&instance, &[9; 8], &(OPTIONS.len() as u32).to_le_bytes(), OPTIONS.as_bytes()],
        ));
        records.push(record(17, &[&instance, &[0], &[0; 4], &[2, 0]]));
    }
    let first_batch = batch(0, 1_000_000_000, &records);
    // The first query arrives ten hours later.
    let second_batch = batch(1, 36_000_000_000_000, &[query(1, 36_003_000_000_000)]);
    let output = run(&[first_batch, second_batch].concat());
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let replies = replies(&output.stdout);
    assert_eq!((replies[0].1.len(), &replies[1].1), (800, &vec![16, 18]));
}

#[test]
fn rejects_invalid_input() {
    let valid_batch = batch(0, 0, &[attach(OPTIONS)]);
    for (name, input, expected) in [
        ("header cut short", vec![0; 7], "batch header"),
        ("body cut short", valid_batch[..40].to_vec(), "batch 0"),
        ("field cut short", batch(0, 0, &[record(16, &[&[3, 0, 1]])]), "initSeed"),
        ("bytes too many", batch(0, 0, &[attach(OPTIONS), record(25, &[&[3, 0, 0]])]), "crash_now"),
        ("unknown record", batch(0, 0, &[record(77, &[])]), "77"),
        ("settings that are no JSON", batch(0, 0, &[attach("{")]), "options"),
        (
            "settings that lack a key",
            batch(0, 0, &[attach(&OPTIONS.replace("mostExec", "leastExec"))]),
            "mostExec",
        ),
        ("unknown effect", batch(0, 0, &[attach(&OPTIONS.replace("safe", "odd"))]), "odd"),
        ("no products", batch(0, 0, &[attach(NO_PRODUCTS)]), "products"),
        ("nobody attached", batch(0, 0, &[query(1, 1)]), "balancer 3"),
        ("unknown list", batch(0, 0, &[attach(OPTIONS), list()[1].clone()]), "no list 2"),
        ("unknown outcome", batch(0, 0, &[attach(OPTIONS), completed(1, 99, 0)]), "99"),
    ] {
        let output = run(&input);
        let message = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(1), "{name}");
        assert!(message.contains(expected) && message.lines().count() == 1, "{name}: {message}");
    }
}
