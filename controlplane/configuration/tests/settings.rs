//! Tests of parsing the settings file of a process.

use std::collections::BTreeMap;
use std::path::PathBuf;

use quickcheck::QuickCheck;
use whinspindle_configuration::{Bounds, Listen, MachineLimits, Settings, SettingsError, Tolerance};

const EXAMPLE: &str = include_str!("data/settings.json");

fn parse(text: &str) -> Result<Settings, SettingsError> {
    Settings::parse(text.as_bytes())
}

fn parse_changed(from: &str, to: &str) -> Result<Settings, SettingsError> {
    assert_eq!(EXAMPLE.matches(from).count(), 1, "`{from}` isn't unique in the example");
    parse(&EXAMPLE.replace(from, to))
}

#[test]
fn every_field_is_parsed() {
    let settings = parse(EXAMPLE).expect("the example is valid");
    assert_eq!(settings.node, "core-hall1-1");
    assert_eq!(settings.role, "keeper");
    assert_eq!(settings.ip.to_string(), "10.1.0.12");
    assert_eq!((settings.zone.as_str(), settings.region.as_str()), ("hall1", "north"));
    let zones = [("hall1", "north"), ("hall2", "south"), ("hall3", "west")];
    assert_eq!(
        settings.zones,
        BTreeMap::from(zones.map(|(zone, region)| (zone.to_owned(), region.to_owned())))
    );
    assert_eq!(
        settings.listen,
        Listen {
            front: None,
            ready: None,
            control: Some(([10, 1, 0, 12], 8166).into()),
            directory: Some(([10, 1, 0, 12], 8164).into()),
        }
    );
    assert_eq!(settings.port_range, (7720, 7735));
    assert_eq!(settings.seeds, [([10, 1, 0, 12], 8166).into(), ([10, 2, 0, 42], 8166).into()]);
    assert!(settings.bootstrap);
    assert_eq!(settings.limits, MachineLimits { memory_mb: 256, max_fds: 4096, disk_mb: 128 });
    assert_eq!(settings.data_dir, Some(PathBuf::from("/data/keeper")));
    assert_eq!(settings.heartbeat_ms, 1200);
    assert_eq!(settings.tolerate, Tolerance { machines: 2, zones: 1, regions: 0 });
    assert_eq!(
        settings.bounds,
        Bounds {
            seed_lag_ms: 3_100,
            reuse_after_ms: 2_100,
            contact_ms: 4_001,
            ack_ms: 5_001,
            sync_ms: 4_100,
            drain_ms: 2_501,
            grace_ms: 8_100,
            converge_ms: 2_502,
            downgrade_ms: 251,
            retry_ratio: 0.25,
            retry_window_ms: 10_100,
            retry_slack: 52.0,
            cold_overrun: 1.75,
            cold_slack: 6.0,
            evac_ms: 5_002,
            recover_ms: 12_100,
            pass_ms: 252,
            again_ms: 10_200,
            ttl_max_ms: 5_100,
        }
    );
}

#[test]
fn internal_endpoints_use_the_port_range() {
    let settings = parse(EXAMPLE).expect("the example is valid");
    assert_eq!(settings.internal_endpoint([10, 2, 0, 42].into()).to_string(), "10.2.0.42:7720");
    assert_eq!(settings.agent_endpoint().to_string(), "127.0.0.1:7721");
}

#[test]
fn absent_keys_have_defaults() {
    let text = r#"{"node":"n","ip":"10.0.0.1","zone":"z","region":"r","port_range":[1,2],"data_dir":null}"#;
    let settings = parse(text).expect("only required keys");
    assert_eq!(settings.zones, BTreeMap::from([("z".to_owned(), "r".to_owned())]));
    assert_eq!(settings.listen, Listen::default());
    assert_eq!(settings.limits, MachineLimits::default());
    assert_eq!(settings.tolerate, Tolerance::default());
    assert_eq!(settings.bounds, Bounds::default());
    assert_eq!(settings.data_dir, None);
    assert!(!settings.bootstrap);
    assert!(settings.seeds.is_empty());
}

#[test]
fn durations_are_read_in_either_unit() {
    let seconds = parse_changed(r#""drain_ms": 2501"#, r#""drain_s": 2.5005"#).expect("seconds");
    assert_eq!(seconds.bounds.drain_ms, 2_501);
    let milliseconds = parse_changed(r#""sync_s": 4.1"#, r#""sync_ms": 4100"#).expect("milliseconds");
    assert_eq!(milliseconds.bounds.sync_ms, 4_100);
}

#[test]
fn unknown_keys_are_skipped() {
    let from = r#""bounds": {"#;
    let to = r#""later": [{"a": {}}], "bounds": {"flag": true, "list": [1, 2], "none": null, "word": "x", "#;
    assert_eq!(parse_changed(from, to), parse(EXAMPLE));
}

#[test]
fn errors_name_invalid_keys() {
    for (key, from, to) in [
        ("node", r#""node": "core-hall1-1","#, ""),
        ("ip", r#""ip": "10.1.0.12""#, r#""ip": "10.1.0""#),
        ("ip", r#""ip": "10.1.0.12""#, r#""ip": 10"#),
        ("listen.control", r#""control": "10.1.0.12:8166""#, r#""control": "10.1.0.12""#),
        ("seeds", r#""10.2.0.42:8166""#, r#""seed.example:8166""#),
        ("port_range", "[7720, 7735]", "[7720]"),
        ("port_range", "[7720, 7735]", "[7735, 7720]"),
        ("port_range", "[7720, 7735]", "[7720, 7720]"),
        ("port_range", "[7720, 7735]", "[0, 7720]"),
        ("port_range", "[7720, 7735]", "[7720, 77350]"),
        ("port_range", "[7720, 7735]", "[7720, 7735, 7736]"),
        ("heartbeat_ms", r#""heartbeat_ms": 1200"#, r#""heartbeat_ms": 0"#),
        ("heartbeat_ms", r#""heartbeat_ms": 1200"#, r#""heartbeat_ms": "fast""#),
        ("bounds.retry_ratio", r#""retry_ratio": 0.25"#, r#""retry_ratio": -0.25"#),
        ("bounds.retry_ratio", r#""retry_ratio": 0.25"#, r#""retry_ratio": "0.25""#),
        ("bounds.ack_ms", r#""ack_ms": 5001"#, r#""ack_ms": null"#),
        ("machines", r#""machines": 2"#, r#""machines": -2"#),
        ("bootstrap", r#""bootstrap": true"#, r#""bootstrap": "true""#),
    ] {
        let error = parse_changed(from, to).expect_err(to);
        assert!(error.to_string().contains(&format!("`{key}`")), "{to}: {error}");
    }
}

#[test]
fn all_faults_are_reported_at_once() {
    let mut text = EXAMPLE.to_owned();
    for (from, to) in [
        (r#""node": "core-hall1-1","#, ""),
        (r#""ip": "10.1.0.12""#, r#""ip": "10.1.0""#),
        (r#""zone": "hall1","#, r#""zone": null,"#),
        (r#""region": "north","#, ""),
        (r#""control": "10.1.0.12:8166""#, r#""control": "10.1.0.12""#),
        (r#""directory": "10.1.0.12:8164""#, r#""directory": "hall1:8164""#),
        ("[7720, 7735]", "[7720]"),
        (r#"["10.1.0.12:8166", "10.2.0.42:8166"]"#, r#"["first", "10.2.0.42:8166", "third"]"#),
        (r#""heartbeat_ms": 1200"#, r#""heartbeat_ms": 0"#),
        (r#""grace_s": 8.1"#, r#""grace_s": -8.1"#),
        (r#""retry_ratio": 0.25"#, r#""retry_ratio": "many""#),
    ] {
        assert!(text.contains(from), "{from}");
        text = text.replace(from, to);
    }
    let Err(SettingsError::Invalid { faults }) = parse(&text) else {
        panic!("invalid settings were accepted")
    };
    let messages: Vec<String> = faults.iter().map(ToString::to_string).collect();
    for start in [
        "`node` is missing",
        "`ip` is `10.1.0`",
        "`zone` is missing",
        "`region` is missing",
        "`listen.control` is `10.1.0.12`",
        "`listen.directory` is `hall1:8164`",
        "`port_range` is `7720`",
        "`seeds` is `first`",
        "`seeds` is `third`",
        "`heartbeat_ms` is `0`",
        "`bounds.grace_s` is `-8.1`",
        "`bounds.retry_ratio` is `no number`",
    ] {
        assert_eq!(
            messages.iter().filter(|message| message.starts_with(start)).count(),
            1,
            "{start} in {messages:?}"
        );
    }
    assert_eq!(messages.len(), 12, "{messages:?}");
    let text = parse(&text).unwrap_err().to_string();
    assert_eq!(text, messages.join("; "));
}

/// Durations are added without an overflow check, so very long ones are rejected.
#[test]
fn durations_longer_than_a_day_are_rejected() {
    for (from, to) in [
        (r#""heartbeat_ms": 1200"#, r#""heartbeat_ms": 18446744073709551615"#),
        (r#""heartbeat_ms": 1200"#, r#""heartbeat_ms": 86400001"#),
        (r#""grace_s": 8.1"#, r#""grace_s": 86400.1"#),
        (r#""grace_s": 8.1"#, r#""grace_ms": 1e300"#),
        (r#""contact_ms": 4001"#, r#""contact_ms": 18446744073709551615"#),
    ] {
        assert!(parse_changed(from, to).is_err(), "{to}");
    }
    let day = parse_changed(r#""grace_s": 8.1"#, r#""grace_s": 86400"#).expect("a day is accepted");
    assert_eq!(day.bounds.grace_ms, 86_400_000);
}

#[test]
fn every_proper_prefix_is_refused() {
    let document = EXAMPLE.trim_end();
    for length in 0..document.len() {
        assert!(parse(&document[..length]).is_err(), "the first {length} bytes were accepted");
    }
}

#[test]
fn changed_bytes_never_panic() {
    fn property(position: usize, byte: u8, brace_position: usize) -> bool {
        let mut bytes = EXAMPLE.as_bytes().to_vec();
        let length = bytes.len();
        bytes[position % length] = byte;
        let _ = Settings::parse(&bytes);
        bytes[brace_position % length] = b'}';
        let _ = Settings::parse(&bytes);
        true
    }
    QuickCheck::new().tests(20_000).quickcheck(property as fn(usize, u8, usize) -> bool);
}
