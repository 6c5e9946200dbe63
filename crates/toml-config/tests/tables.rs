//! Error reports with lines, fields and hints, and the formatting of durations.

use whinspindle_toml_config::units::format_duration;
use whinspindle_toml_config::{ConfigError, parse};

/// Line, field and part of the message.
type ExpectedError = (usize, &'static str, &'static str);

/// Parses a table with one value of each type and returns the errors.
fn errors_of(text: &str) -> Vec<ConfigError> {
    let result = parse(text, |table| {
        table.duration_us("wait", Some(1));
        table.rate_per_s("rate", Some(1.0));
        table.size_bytes("body", Some(1));
        table.float("part", (0.0, 1.0), Some(0.5));
        table.integer("servers", (1, 10), Some(1));
        table.boolean("on", false);
        table.one_of("shape", &[("steady", 1), ("poisson", 2)], Some(1));
        table.strings("zones");
        for server in table.tables("server") {
            server.string("name", None);
        }
    });
    result.err().unwrap_or_default()
}

#[test]
fn reports_each_error_with_its_line_and_field() {
    let cases: &[(&str, &[ExpectedError])] = &[
        ("wait = \"300ms\"\nrate = \"6/min\"\nbody = \"64KiB\"\npart = 1\nservers = 0x0a\n", &[]),
        ("wait = 300", &[(1, "wait", "bare integer")]),
        ("wait = \"300\"", &[(1, "wait", "no unit")]),
        ("wait = \"300 parsecs\"", &[(1, "wait", "unknown unit")]),
        ("wait = \"-3ms\"", &[(1, "wait", "does not begin with a number")]),
        ("wait = \"99999999999999d\"", &[(1, "wait", "too large")]),
        ("rate = \"110ms\"", &[(1, "rate", "unknown unit")]),
        ("body = \"64kb\"", &[(1, "body", "unknown unit")]),
        ("part = 1.5", &[(1, "part", "outside")]),
        ("part = nan", &[(1, "part", "no number")]),
        ("servers = 11", &[(1, "servers", "outside")]),
        ("servers = 99999999999999999999999999", &[(1, "servers", "outside")]),
        ("servers = \"3\"", &[(1, "servers", "is a string")]),
        ("on = 1", &[(1, "on", "is a integer")]),
        ("shape = \"round\"", &[(1, "shape", "not known")]),
        ("zones = [\"a\", 2]", &[(1, "zones[1]", "is a integer")]),
        ("\nwiat = \"1s\"", &[(2, "wiat", "no such key")]),
        ("[server]\nname = \"a\"", &[(1, "server", "is a table")]),
        (
            "[[server]]\nname = \"a\"\n[[server]]\nnam = \"b\"",
            &[(3, "server[1].name", "is missing"), (4, "server[1].nam", "no such key")],
        ),
        (
            "wait = 3\n\npart = 7\nrate = \"x\"",
            &[(1, "wait", "bare"), (3, "part", "outside"), (4, "rate", "does not begin")],
        ),
        ("wait = \"1s\"\nwait = \"2s\"", &[(2, "", "duplicate key")]),
        ("wait = \n\nrate == 1", &[(1, "", ""), (3, "", "")]),
    ];
    for (text, expected) in cases {
        let found = errors_of(text);
        let reported: Vec<String> = found.iter().map(ConfigError::to_string).collect();
        assert!(
            found.len() >= expected.len() && found.is_empty() == expected.is_empty(),
            "{text}: {reported:?}"
        );
        for (line, field, part) in *expected {
            let matches = |e: &&ConfigError| e.line == *line && e.field == *field && e.message.contains(part);
            assert!(
                found.iter().any(|e| matches(&e)),
                "{text}: line {line}, {field}, {part} in {reported:?}"
            );
        }
    }
}

#[test]
fn suggests_the_nearest_known_key() {
    let found = errors_of("shap = 3");
    assert_eq!(found[0].hint, "is \"shape\" meant?");
}

#[test]
fn random_texts_do_not_panic_the_parser() {
    let mut random = 1u64;
    let alphabet: Vec<char> = "a=[]{}\"'\n\\#.,0189eE+-_ü\u{0}\t:Tz ".chars().collect();
    for length in 0..2_000 {
        let text: String = (0..length % 64)
            .map(|_| {
                random = random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
                alphabet[(random >> 33) as usize % alphabet.len()]
            })
            .collect();
        for error in errors_of(&text) {
            assert!(error.line <= text.lines().count() + 1, "{text:?}: {error}");
        }
    }
    let long = "x".repeat(5 * 1024 * 1024);
    assert_eq!(errors_of(&long).len(), 1);
}

#[test]
fn formats_durations_in_the_largest_exact_unit() {
    for (us, text) in [(0, "0s"), (300_000, "300ms"), (5_000_000, "5s"), (120_000_000, "2min"), (7, "7us")] {
        assert_eq!(format_duration(us), text);
    }
}
