//! The model against what is known in closed form.

use whinspindle_lab_report::Run;
use whinspindle_lab_scenario::Scenario;
use whinspindle_lab_simulation::{Fleet, Policy};

/// One server without network, connections or a waiting room that ends.
fn queue(cores: usize, slots: usize, rate: f64, varies: f64, lasts: u64, more: &str) -> Run {
    let text = format!(
        r#"
        name = "queue"
        shows = "a queue"
        lasts = "{lasts}s"
        warm-up = "20s"
        zones = ["a"]
        network = {{ near = "1us", spread = 0.0 }}
        [[kind]]
        name = "k"
        cores = {cores}
        slots = {slots}
        room = 1000000
        [[tier]]
        name = "t"
        connections = {{ cost = "0s", cap = 1000000 }}
        [[tier.servers]]
        kind = "k"
        count = 1
        [[product]]
        name = "p"
        effect = "idempotent"
        work = "10ms"
        varies = {varies}
        slo-time = "30min"
        statement-timeout = "30min"
        [[load]]
        rate = "{rate}/s"
        {more}
        "#
    );
    let scenario = Scenario::read(&text).unwrap_or_else(|faults| panic!("{faults:?}"));
    Fleet::new(&scenario, Policy::Random).run(&mut |_| {})
}

/// The chance that all of `c` servers are busy, by Erlang's formula.
fn erlang_c(c: usize, offered: f64) -> f64 {
    let term = |k: usize| (1..=k).fold(1.0, |term, n| term * offered / n as f64);
    let last = term(c) * c as f64 / (c as f64 - offered);
    last / ((0..c).map(term).sum::<f64>() + last)
}

#[test]
fn mean_times_are_those_of_queueing_theory() {
    // Work is 10 ms: a core serves 100 a second. Slots over cores mean that the cores are shared.
    let cases = [
        ("M/M/1 at 0.5", 1, 1, 50.0, 1.0),
        ("M/M/1 at 0.7", 1, 1, 70.0, 1.0),
        ("M/M/4 at 0.8", 4, 4, 320.0, 1.0),
        ("M/M/4 at 0.5", 4, 4, 200.0, 1.0),
        ("M/M/1 shared at 0.7", 1, 100_000, 70.0, 1.0),
        // With shared cores the mean does not depend on how the work varies.
        ("M/D/1 shared at 0.7", 1, 100_000, 70.0, 0.0),
        ("M/G/1 shared at 0.6", 1, 100_000, 60.0, 1.8),
    ];
    for (name, cores, slots, rate, varies) in cases {
        let run = queue(cores, slots, rate, varies, (150_000.0 / rate) as u64, "");
        let waits = 1000.0 * erlang_c(cores, rate / 100.0) / (100.0 * cores as f64 - rate);
        let expected = 10.0 + waits;
        let mean = run.latency.mean;
        let error = (mean - expected).abs() / expected;
        assert!(error < 0.07, "{name}: mean {mean:.2} ms, by theory {expected:.2} ms");
        // Little: what is in the system is what comes a second times how long it stays.
        let held: f64 = run.seconds.iter().map(|second| second.held[0] as f64).sum();
        let held = held / run.seconds.len() as f64;
        let by_little = rate * mean / 1e3;
        let error = (held - by_little).abs() / by_little;
        assert!(error < 0.12, "{name}: {held:.3} held, by Little's law {by_little:.3}");
        assert!(run.verdict.is_clean() && run.completed == run.queries, "{name}: {:?}", run.verdict);
    }
}

#[test]
fn constant_work_in_one_slot_waits_half_as_long() {
    // Pollaczek and Khinchin: M/D/1 waits half of M/M/1.
    let run = queue(1, 1, 70.0, 0.0, 2_000, "");
    let expected = 10.0 + 0.7 * 10.0 / (2.0 * 0.3);
    let mean = run.latency.mean;
    assert!((mean - expected).abs() / expected < 0.05, "mean {mean:.2} ms, by theory {expected:.2} ms");
}

#[test]
fn latency_counts_from_when_a_query_was_due() {
    // For four seconds nothing is worked on. Queries go on coming, and those of the first second wait the
    // longest: a closed loop would have sent only one.
    let trouble =
        "[[trouble]]\nat = \"40s\"\nlasts = \"4s\"\nwhat = \"pause\"\npauses = \"4s\"\nservers = [\"0\"]";
    let run = queue(4, 4, 100.0, 1.0, 60, trouble);
    let second = |n: usize| &run.seconds[n];
    assert!(second(40).completed > 60, "{:?}", second(40));
    assert!(second(40).p50 > 3_300.0 && second(43).p50 < 1_500.0, "{:?} {:?}", second(40), second(43));
    assert!(run.latency.max > 3_900.0, "{:?}", run.latency);
}

#[test]
fn load_comes_at_the_rates_that_its_shape_says() {
    let cases = [
        ("shape = \"steady\"", [100.0, 100.0]),
        ("shape = \"poisson\"", [100.0, 100.0]),
        ("shape = \"ramp\"\npeak = \"300/s\"", [150.0, 250.0]),
        ("shape = \"swing\"\npeak = \"300/s\"\nperiod = \"200s\"", [263.7, 136.3]),
        ("shape = \"bursts\"\npeak = \"300/s\"\nperiod = \"10s\"", [140.0, 140.0]),
    ];
    for (more, expected) in cases {
        let run = queue(8, 8, 100.0, 0.0, 200, more);
        for (half, expected) in run.seconds.chunks(100).zip(expected) {
            let rate = half.iter().map(|second| second.completed).sum::<u64>() as f64 / 100.0;
            assert!((rate - expected).abs() / expected < 0.05, "{more}: {rate} a second, not {expected}");
        }
    }
}
