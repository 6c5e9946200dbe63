//! Figures of whole runs: what is noise, what is kept, what is drawn.

use whinspindle_lab_invariants::Violation;
use whinspindle_lab_report::compare::bootstrap;
use whinspindle_lab_report::{Run, Second, Span, page, table};

/// Whole numbers that repeat only after long.
fn chance(state: &mut u64, n: usize) -> usize {
    *state = state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
    ((*state >> 33) as usize) % n
}

#[test]
fn differences_are_told_from_noise() {
    let mut state = 1;
    let first: Vec<f64> = (0..20).map(|_| chance(&mut state, 1000) as f64 / 1000.0).collect();
    let cases: [(&str, f64, f64, bool); 4] = [
        ("none at all", 0.0, 0.0, true),
        ("chance alone", 0.0, 0.2, true),
        ("clear", 0.1, 0.05, false),
        ("clear, the other way", -0.1, 0.05, false),
    ];
    for (name, shift, spread, noise) in cases {
        let mut sign = -1.0;
        let second: Vec<f64> = first
            .iter()
            .map(|a| {
                sign = -sign;
                a + shift + sign * spread
            })
            .collect();
        let difference = bootstrap(&first, &second, |n| chance(&mut state, n));
        assert_eq!(difference.is_noise(), noise, "{name}: {difference:?}");
        assert!(difference.low <= shift + 1e-9 && difference.high >= shift - 1e-9, "{name}: {difference:?}");
    }
}

fn run() -> Run {
    let second = |n: usize| Second {
        at_s: n as f64,
        completed: 10,
        p50: 5.0,
        p90: 9.0,
        p99: 20.0 + n as f64,
        executions: vec![6, 4],
        held: vec![1, 2],
        ..Second::default()
    };
    Run {
        scenario: "a <day>".to_string(),
        decided_by: "module".to_string(),
        simulated: true,
        lasts_s: 20.0,
        queries: 200,
        completed: 200,
        zones: vec!["north".to_string(), "south".to_string()],
        seconds: (0..20).map(second).collect(),
        troubles: vec![Span { from_s: 5.0, until_s: 9.0, what: "kill 1 servers".to_string() }],
        ..Run::default()
    }
}

#[test]
fn a_kept_run_is_read_as_it_was_written() {
    let again = Run::from_json(&run().to_json()).expect("a run");
    assert_eq!(again.to_json(), run().to_json());
    assert!(Run::from_json("{}").is_err() && Run::from_json("no").is_err());
}

#[test]
fn the_page_stands_alone_and_shows_what_happened() {
    let page = page::page(&run()).expect("a page");
    for wanted in ["<svg", "kill 1 servers", "zone north", "a &lt;day&gt;", "simulated"] {
        assert!(page.contains(wanted), "{wanted}");
    }
    for fetched in ["<script", "<link", "src=", "@import", "href="] {
        assert!(!page.contains(fetched), "{fetched}");
    }
}

#[test]
fn an_empty_run_has_a_page_too() {
    assert!(page::page(&Run::default()).is_ok());
}

#[test]
fn a_broken_rule_is_named_in_the_table() {
    let mut run = run();
    assert!(table::table(&run).contains("all four rules kept"));
    run.verdict.broken[2] = 1;
    run.verdict.breaks.push(Violation {
        rule: 3,
        what: "sent 400 ms after".to_string(),
        at: 7_000_000,
        query: Some(9),
        balancer: Some(1),
        server: Some(2),
    });
    let text = table::table(&run);
    for wanted in ["BROKEN", "rule 3 at 7.000 s: sent 400 ms after, balancer 1, server 2, query 9"] {
        assert!(text.contains(wanted), "{wanted}: {text}");
    }
    run.void = Some("too slow".to_string());
    assert!(table::table(&run).contains("DOES NOT COUNT: too slow"));
}
