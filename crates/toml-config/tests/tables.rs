//! Faults are reported all at once, each at its line; values come with their units.

use whinspindle_toml_config::units::time_text;
use whinspindle_toml_config::{Fault, read};

/// The line, the field, and words of the fault.
type Expected = (usize, &'static str, &'static str);

/// Reads a table with one value of each kind.
fn faults_of(text: &str) -> Vec<Fault> {
    let taken = read(text, |table| {
        table.time("wait", Some(1));
        table.rate("rate", Some(1.0));
        table.size("body", Some(1));
        table.number("part", (0.0, 1.0), Some(0.5));
        table.count("servers", (1, 10), Some(1));
        table.flag("on", false);
        table.one_of("shape", &[("steady", 1), ("poisson", 2)], Some(1));
        table.texts("zones");
        for server in table.tables("server") {
            server.text("name", None);
        }
    });
    taken.err().unwrap_or_default()
}

#[test]
fn each_fault_is_reported_at_its_line_with_a_correction() {
    let cases: &[(&str, &[Expected])] = &[
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
        let found = faults_of(text);
        let reported: Vec<String> = found.iter().map(Fault::to_string).collect();
        assert!(
            found.len() >= expected.len() && found.is_empty() == expected.is_empty(),
            "{text}: {reported:?}"
        );
        for (line, field, words) in *expected {
            let fits = |f: &&Fault| f.line == *line && f.field == *field && f.fault.contains(words);
            assert!(found.iter().any(|f| fits(&f)), "{text}: line {line}, {field}, {words} in {reported:?}");
        }
    }
}

#[test]
fn a_misspelt_key_is_reported_with_the_nearest_known_one() {
    let found = faults_of("shap = 3");
    assert_eq!(found[0].way_out, "is \"shape\" meant?");
}

#[test]
fn no_text_panics_the_reader() {
    let mut bits = 1u64;
    let alphabet: Vec<char> = "a=[]{}\"'\n\\#.,0189eE+-_ü\u{0}\t:Tz ".chars().collect();
    for length in 0..2_000 {
        let text: String = (0..length % 64)
            .map(|_| {
                bits = bits.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
                alphabet[(bits >> 33) as usize % alphabet.len()]
            })
            .collect();
        for fault in faults_of(&text) {
            assert!(fault.line <= text.lines().count() + 1, "{text:?}: {fault}");
        }
    }
    let long = "x".repeat(5 * 1024 * 1024);
    assert_eq!(faults_of(&long).len(), 1);
}

#[test]
fn times_are_written_as_they_are_read() {
    for (us, text) in [(0, "0s"), (300_000, "300ms"), (5_000_000, "5s"), (120_000_000, "2min"), (7, "7us")] {
        assert_eq!(time_text(us), text);
    }
}
