//! Measures the cost of finding a request's route by the number of routes: `cargo run --release -p
//! whinspindle-routes --example lookup`. The absolute figures depend on the machine; compare the ratios.

use std::hint::black_box;
use std::time::Instant;

use whinspindle_routes::pattern::Pattern;
use whinspindle_routes::{Lookup, Route, RouteMatch, RouteTable};

const LOOKUPS: usize = 1_000_000;

fn table(count: usize) -> RouteTable {
    let route = |n: usize| {
        let path = Pattern::parse(&format!("/s{}/{{id}}/p{n}/*", n % 50)).expect("a path");
        let matches = RouteMatch { method: None, path, product: None, tenant: None };
        Route { name: n.to_string(), matches, conditions: Vec::new() }
    };
    RouteTable::new((0..count).map(route).collect())
}

fn main() {
    println!("{:>8} {:>14} {:>14}", "routes", "found, ns", "none, ns");
    for count in [1, 100, 2_000] {
        let table = table(count);
        let targets: Vec<String> =
            (0..64).map(|n| n * 7 % count).map(|n| format!("/s{}/x/p{n}/y/z", n % 50)).collect();
        let cost = |targets: &[String]| {
            let started = Instant::now();
            for n in 0..LOOKUPS {
                let target = &targets[n % targets.len()];
                let lookup = Lookup { method: "GET", target, product: 0, tenant: 0 };
                black_box(table.find(&lookup));
            }
            started.elapsed().as_nanos() as f64 / LOOKUPS as f64
        };
        println!("{count:>8} {:>14.0} {:>14.0}", cost(&targets), cost(&["/s0/x/other".to_string()]));
    }
}
