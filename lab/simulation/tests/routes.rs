//! Routes drawn at random: what the proof accepts breaks no rule among hostile servers, with no bound on
//! repeats.

use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};

use whinspindle::host::{HedgePolicy, RetryOn};
use whinspindle::pcg::Pcg;
use whinspindle_lab_scenario::{Route, Scenario};
use whinspindle_lab_simulation::{Fleet, Policy};
use whinspindle_routes::{Bounds, Conditions, ProductRow, Servers, proof};

const ROUTES: u64 = 20_000;
const THREADS: u64 = 8;
/// The shortest step of the clock that the decisions are told of.
const TICK: u64 = 1_000;

fn hostile(seed: u64) -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../scenarios/hostile.toml");
    let text = std::fs::read_to_string(file).expect("the file");
    let mut scenario = Scenario::read(&text).unwrap_or_else(|faults| panic!("{faults:?}"));
    scenario.seed = seed;
    scenario.allowed.allow_hedging = seed.is_multiple_of(2);
    scenario
}

fn drawn(chance: &mut Pcg) -> Route {
    let mut ms = |most: usize| (1 + chance.next_below(most) as u64) * 1_000;
    let (time, execution_time, wait, copy) = (ms(3_400), ms(1_500), ms(300), ms(600));
    let executions = 1 + chance.next_below(5);
    Route {
        time: Some(time),
        execution_time: (chance.next_below(4) > 0).then_some(execution_time),
        executions: Some(executions),
        wait: if chance.next_below(2) > 0 { wait } else { 0 },
        spread: chance.next_f64(),
        hedge: (chance.next_below(3) == 0).then_some(copy),
        budget: 100.0,
    }
}

/// What the proof says of it, held against the scenario's deployment.
fn is_accepted(scenario: &Scenario, route: &Route) -> bool {
    let bounds = Bounds {
        executions: scenario.allowed.executions,
        allow_hedging: scenario.allowed.allow_hedging,
        cancel: scenario.allowed.cancel,
        connect_time_out: scenario.tiers[0].connections.time_out,
        tick: TICK,
        network: scenario.network.far + scenario.network.resend,
        largest_body: u64::MAX,
    };
    scenario.products.iter().all(|product| {
        let time = route.time.unwrap_or(product.statement_timeout);
        let executions = route.executions.unwrap_or(1);
        let after = RetryOn { never_ran: true, error: true, broken: true, timed_out: true };
        let conditions = Conditions {
            time,
            execution_time: route.execution_time.unwrap_or(time),
            executions,
            retry_on: if executions > 1 { after } else { RetryOn::NONE },
            wait: route.wait,
            spread: route.spread,
            hedge: route.hedge.map_or(HedgePolicy::Never, HedgePolicy::After),
            budget: route.budget,
            largest_body: 0,
            servers: Servers::default(),
        };
        let row = ProductRow {
            effect: product.effect,
            memory_span: product.memory,
            statement_timeout: product.statement_timeout,
        };
        proof::prove(&conditions, &row, &bounds).is_empty()
    })
}

#[test]
fn accepted_routes_break_no_rule_among_hostile_servers() {
    let [accepted, queries] = [(); 2].map(|()| AtomicUsize::new(0));
    std::thread::scope(|threads| {
        for thread in 0..THREADS {
            let (accepted, queries) = (&accepted, &queries);
            threads.spawn(move || {
                for number in (thread..ROUTES).step_by(THREADS as usize) {
                    let mut scenario = hostile(number);
                    let route = drawn(&mut Pcg::new(number));
                    if !is_accepted(&scenario, &route) {
                        continue;
                    }
                    scenario.route = Some(route.clone());
                    let run = Fleet::new(&scenario, Policy::Module).run(&mut |_| {});
                    assert!(run.verdict.is_clean(), "{number} {route:?}: {:?}", run.verdict.breaks.first());
                    accepted.fetch_add(1, Ordering::Relaxed);
                    queries.fetch_add(run.verdict.looked[0] as usize, Ordering::Relaxed);
                }
            });
        }
    });
    let (accepted, queries) = (accepted.into_inner(), queries.into_inner());
    println!("{accepted} of {ROUTES} accepted, {queries} queries");
    // Neither is the proof a wall, nor does it let all pass.
    assert!((2_000..15_000).contains(&accepted), "{accepted} of {ROUTES} accepted");
    assert!(queries > 500 * accepted, "{queries} queries");
}
