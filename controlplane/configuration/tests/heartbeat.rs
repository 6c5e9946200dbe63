//! Tests of parsing heartbeats.

use quickcheck::QuickCheck;
use whinspindle_configuration::{Heartbeat, HeartbeatError, InstanceState};

const EXAMPLE: &str = r#"{"backend":"chat","address":"10.128.0.9:8080","zone":"hall1","generation":"v1","slots":128,
    "state":"ready","cold_ms":1200,"stage":"hybrid","models":[{"name":"m","generation":1,"adapters":[]}],"seq":4}"#;

fn parse(text: &str) -> Result<Heartbeat, HeartbeatError> {
    Heartbeat::parse(text.as_bytes())
}

fn example() -> Heartbeat {
    Heartbeat {
        backend: "chat".to_owned(),
        address: ([10, 128, 0, 9], 8080).into(),
        zone: "hall1".to_owned(),
        generation: "v1".to_owned(),
        slots: 128,
        state: InstanceState::Ready,
        slow_start_ms: 1200,
        remaining_ms: None,
        sequence: 4,
    }
}

#[test]
fn every_field_is_parsed() {
    assert_eq!(parse(EXAMPLE), Ok(example()));
}

#[test]
fn draining_instance_is_parsed() {
    let text = EXAMPLE.replace(r#""ready""#, r#""draining","remaining_ms":1500.2"#);
    let expected = Heartbeat { state: InstanceState::Draining, remaining_ms: Some(1501), ..example() };
    assert_eq!(parse(&text), Ok(expected));
}

#[test]
fn optional_keys_may_be_absent() {
    let text = r#"{"backend":"b","address":"10.0.0.1:1","zone":"z","state":"ready","seq":1}"#;
    let heartbeat = parse(text).expect("only required keys");
    assert_eq!((heartbeat.slots, heartbeat.slow_start_ms, heartbeat.remaining_ms), (1, 0, None));
}

#[test]
fn errors_name_invalid_keys() {
    for (key, from, to) in [
        ("seq", r#","seq":4"#, ""),
        ("seq", r#""seq":4"#, r#""seq":-4"#),
        ("backend", r#""backend":"chat","#, ""),
        ("slots", r#""slots":128"#, r#""slots":"128""#),
        ("address", "10.128.0.9:8080", "10.128.0.9"),
        ("state", r#""ready""#, r#""gone""#),
    ] {
        let error = parse(&EXAMPLE.replace(from, to)).expect_err(key);
        assert!(error.to_string().contains(&format!("`{key}`")), "{error}");
    }
}

#[test]
fn every_proper_prefix_is_refused() {
    for length in 0..EXAMPLE.len() {
        assert!(parse(&EXAMPLE[..length]).is_err(), "the first {length} bytes were accepted");
    }
}

#[test]
fn changed_bytes_never_panic() {
    fn property(position: usize, byte: u8, cut: usize) -> bool {
        let mut bytes = EXAMPLE.as_bytes().to_vec();
        let position = position % bytes.len();
        bytes[position] = byte;
        let _ = Heartbeat::parse(&bytes);
        Heartbeat::parse(&bytes[..cut % EXAMPLE.len()]).is_err()
    }
    QuickCheck::new().tests(20_000).quickcheck(property as fn(usize, u8, usize) -> bool);
}
