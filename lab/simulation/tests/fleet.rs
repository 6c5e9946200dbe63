//! Whole fleets: the same run every time, rules kept by those that keep them and seen broken by one that does
//! not.

use std::path::Path;

use whinspindle_lab_report::{Row, Run};
use whinspindle_lab_scenario::{Ill, Scenario, Trouble, Whom, change};
use whinspindle_lab_simulation::{Fleet, Policy};

/// A file of `lab/scenarios`, with some values changed.
fn scenario(name: &str, changes: &[(&str, &str)]) -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../scenarios/{name}.toml"));
    let text = std::fs::read_to_string(&file).unwrap_or_else(|fault| panic!("{}: {fault}", file.display()));
    let mut table = change::parse(&text).expect("TOML");
    for (path, value) in changes {
        change::set(&mut table, path, change::value(value)).expect("a path");
    }
    Scenario::read(&change::write(&table)).unwrap_or_else(|faults| panic!("{name}: {faults:?}"))
}

fn play(scenario: &Scenario, policy: Policy) -> Run {
    Fleet::new(scenario, policy).run(&mut |_| {})
}

#[test]
fn the_same_seed_brings_the_same_run_on_any_number_of_threads() {
    let scenario_of = |seed: &str| scenario("payments", &[("seed", seed)]);
    let alone = play(&scenario_of("5"), Policy::Module).digest;
    let together: Vec<String> = std::thread::scope(|threads| {
        let seeds = ["5", "6", "5", "7"];
        let plays = seeds.map(|seed| threads.spawn(move || play(&scenario_of(seed), Policy::Module).digest));
        plays.into_iter().map(|play| play.join().expect("a run")).collect()
    });
    assert_eq!((&together[0], &together[2]), (&alone, &alone));
    assert!(together[1] != alone && together[3] != alone && together[1] != together[3], "{together:?}");
}

#[test]
fn the_same_queries_come_whatever_decides() {
    let scenario = scenario("hung-server", &[("clients.retries", "0")]);
    let queries = |policy| play(&scenario, policy).queries;
    let first = queries(Policy::Module);
    assert!(first > 3_000);
    for (name, policy) in Policy::ALL {
        assert_eq!(queries(policy), first, "{name}");
    }
}

#[test]
fn rules_are_kept_through_every_trouble() {
    let names = [
        "three-servers",
        "hung-server",
        "fast-errors",
        "half-cold",
        "discovery-silent",
        "discovery-late",
        "discovery-forgets",
        "cut",
        "resets",
        "balancers-restart",
        "payments",
        "two-tiers",
        "jammed-below",
        "retry-storm",
        "pauses",
        "rolling-replace",
    ];
    for name in names {
        let scenario = scenario(name, &[]);
        for policy in [Policy::Module, Policy::LeastRequests] {
            let run = play(&scenario, policy);
            let word = format!("{name}, {}: {:?}", policy.name(), run.verdict.breaks.first());
            assert!(run.verdict.broken[..3] == [0, 0, 0], "{word}");
            // The plain policies have no budget for cold servers.
            assert!(policy != Policy::Module || run.verdict.broken[3] == 0, "{word}");
            assert!(run.verdict.looked[0] > 100 && run.verdict.looked[2] > 100, "{word}");
        }
    }
}

/// The days of a full fleet, in small. In the last one queries with 4.6 s of patience hang at balancers that are
/// killed 3.7 s after they were told to end.
#[test]
fn rules_are_kept_on_the_days_of_a_full_fleet() {
    for name in ["full-calm", "full-herd", "full-zone", "full-split", "full-join", "full-roll"] {
        for seed in ["1", "2", "3"] {
            let run = play(&scenario(name, &[("seed", seed)]), Policy::Module);
            assert!(run.verdict.is_clean(), "{name}, seed {seed}: {:?}", run.verdict.breaks.first());
            assert!(run.verdict.looked[0] > 5_000, "{name}, seed {seed}");
        }
    }
    // The invariant checker reports the queries that a balancer holds beyond its shutdown grace.
    let run = play(&scenario("full-roll", &[]), Policy::LeastRequests);
    let lost =
        |broken: &whinspindle_lab_invariants::Violation| broken.what.starts_with("told to end and killed");
    assert!(run.verdict.breaks.iter().any(lost), "{:?}", run.verdict.breaks.first());
}

/// What all balancers do together: with the price of a crossing left out none stays at home.
#[test]
fn a_cut_or_a_lost_zone_harms_little_where_queries_stay_home() {
    for (name, without, change) in
        [("full-split", 0.08, ("allowed.crossing", "0.0")), ("full-zone", 0.004, ("allowed.crossing", "0.0"))]
    {
        let worth = |changes: &[(&str, &str)]| {
            let runs = ["1", "2", "3"].map(|seed| {
                let changes = [changes, &[("seed", seed)]].concat();
                play(&scenario(name, &changes), Policy::Module).worth
            });
            runs.iter().sum::<f64>() / 3.0
        };
        let (with, less) = (worth(&[]), worth(&[change]));
        assert!(with > less + without, "{name}: {with:.3}, without {change:?} {less:.3}");
    }
}

/// Balancers of both shapes before the same servers, through a drain and cold starts, however far the move is: no
/// rule is broken, and neither kind is served less than it is alone, but for a little.
#[test]
fn balancers_of_both_shapes_share_their_servers() {
    let play = |seed: &str, moved: usize| {
        play(&scenario("moving", &[("seed", seed), ("tier.0.moved", &moved.to_string())]), Policy::Module)
    };
    let share = |row: &Row| row.completed as f64 / row.queries as f64;
    for seed in ["1", "2", "3"] {
        let alone = [share(&play(seed, 0).tiers[0]), share(&play(seed, 16).tiers[0])];
        for moved in [2, 8, 14] {
            let run = play(seed, moved);
            assert!(run.verdict.is_clean(), "{moved}, seed {seed}: {:?}", run.verdict.breaks.first());
            let looked = run.verdict.looked;
            assert!(looked[..3].iter().all(|&looked| looked > 100) && looked[3] == 4, "{looked:?}");
            let rows = run.shapes.iter().zip(alone);
            assert_eq!(rows.len(), 2, "{moved}");
            for (row, alone) in rows {
                let word = format!("{}, {moved} moved, seed {seed}: {:.3}", row.name, share(row));
                assert!(row.queries > 500 && share(row) > alone - 0.05, "{word}, alone {alone:.3}");
            }
        }
    }
}

type Change = fn(&mut Scenario);

#[test]
fn a_policy_that_breaks_the_rules_is_caught_for_each() {
    let weak = |scenario: &mut Scenario| {
        (scenario.tiers[0].cold.multiple, scenario.tiers[0].cold.from) = (1.0, 0.05);
    };
    let cases: [(&str, usize, Change); 3] =
        [("payments", 2, |_| {}), ("discovery-late", 3, |_| {}), ("half-cold", 4, weak)];
    for (name, rule, change) in cases {
        let mut scenario = scenario(name, &[]);
        change(&mut scenario);
        let run = play(&scenario, Policy::Reckless);
        assert!(run.verdict.broken[rule - 1] > 0, "{name}: rule {rule}: {:?}", run.verdict.broken);
    }
}

/// What a hunt once took for broken rules: servers of two tiers under one number, and a query that reached a
/// stopped balancer after its time.
#[test]
fn the_lab_accuses_nobody_for_its_own_faults() {
    let trouble = |at: u64, lasts: u64, ill| {
        let whom = Whom { tier: 1, servers: vec![0, 1, 2], zone: None, part: 1.0 };
        Trouble { at: at * 1000, lasts: lasts * 1000, ill, whom }
    };
    for seed in 1..=4 {
        let mut tiers = scenario("two-tiers", &[]);
        (tiers.seed, tiers.lasts) = (seed, 24_000_000);
        tiers.troubles = vec![
            trouble(5_000, 8_000, Ill::Loss(0.2)),
            trouble(6_900, 7_900, Ill::Kill),
            trouble(13_500, 1_600, Ill::BalancerKill(vec![1])),
        ];
        let mut small = scenario("hunt-small", &[]);
        small.seed = seed;
        small.troubles = vec![trouble(9_000, 4_300, Ill::BalancerStop(vec![0]))];
        small.troubles[0].whom.tier = 0;
        for scenario in [tiers, small] {
            let run = play(&scenario, Policy::Module);
            assert!(
                run.verdict.is_clean(),
                "{}, seed {seed}: {:?}",
                run.scenario,
                run.verdict.breaks.first()
            );
        }
    }
}

#[test]
fn work_grows_with_the_queries_and_not_with_the_square_of_the_fleet() {
    let events = |servers: usize| {
        let rate = format!("{}/s", servers * 10);
        let count = servers.to_string();
        let balancers = (servers / 2).to_string();
        let changes: &[(&str, &str)] = &[
            ("tier.0.servers.0.count", &count),
            ("tier.0.balancers", &balancers),
            ("load.0.rate", &rate),
            ("lasts", "10s"),
        ];
        let run = play(&scenario("fleet-50", changes), Policy::Random);
        run.cost.events as f64 / run.queries as f64
    };
    let (small, large) = (events(25), events(250));
    assert!(large < 1.5 * small, "{small:.1} events a query with 25 servers, {large:.1} with 250");
}

#[test]
fn clients_that_leave_and_servers_that_answer_too_late_are_ordinary() {
    let changes = &[("clients.leaves", "0.2"), ("product.0.slo-time", "25ms")];
    let mut scenario = scenario("hung-server", changes);
    scenario.allowed.cancel = false;
    let run = play(&scenario, Policy::Module);
    assert!(run.verdict.is_clean(), "{:?}", run.verdict.breaks.first());
    assert!(run.failed > run.queries / 50, "some leave for good: {} of {}", run.failed, run.queries);
    assert!(run.price.wasted > 0.0, "what is under way goes on where nothing is called off");
}
