//! How long a change takes to reach the last of several processes of the program, in real time on loopback:
//! `cargo run --release -p whinspindle-lab-fault-proxies --example times -- target/release/whinspindle 3 9 31`.

use std::path::Path;
use std::time::{Duration, Instant};

use whinspindle_lab_fault_proxies::{Referee, Stand, Way};

const FLEET: &str = "name = \"times\"\nvoters = [0, 1, 2]\n";

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let Some((program, sizes)) = arguments.split_first() else {
        eprintln!("the program, and how many processes, one number or several");
        std::process::exit(2);
    };
    println!("processes  fault      to the last s, five changes");
    for size in sizes.iter().filter_map(|size| size.parse::<usize>().ok()) {
        let lossy = Way { loss: 0.1, ..Way::default() };
        for (fault, way) in [
            ("none", Way::default()),
            ("10% lost", lossy),
            ("third down", Way::default()),
            ("third cut", Way::default()),
        ] {
            let mut stand = Stand::new(Path::new(program), &format!("times-{size}"), size, FLEET);
            stand.start_all();
            let referee = Referee::new(&stand.listens);
            stand.found();
            // A steward knows who is away after as long as a right lasts.
            std::thread::sleep(Duration::from_secs(12));
            stand.relays.all(way);
            // Those at the end, no voters; the change is proposed by the first that is there.
            let away: Vec<usize> = (size - (size - 3).min(size / 3)..size).collect();
            let is_there = |member: usize| !fault.starts_with("third") || !away.contains(&member);
            let by = (0..size).rev().find(|member| is_there(*member)).unwrap_or(0);
            match fault {
                "third down" => away.iter().for_each(|member| stand.kill(*member)),
                "third cut" => stand.relays.cut(&away, true),
                _ => {}
            }
            let mut times: Vec<String> = Vec::new();
            for limit in 11..16 {
                let begun = Instant::now();
                let told = stand.ask(by, &["propose", &stand.policy(limit), "--wait", "0"]);
                assert!(told.code == 3 || told.code == 0, "{}", told.said);
                stand.until("decided by all", || {
                    let last = referee.last(begun);
                    (0..size)
                        .filter(|member| is_there(*member))
                        .all(|member| last[member].is_some_and(|seen| seen.limit == Some(limit)))
                });
                times.push(format!("{:.2}", begun.elapsed().as_secs_f64()));
                std::thread::sleep(Duration::from_secs(11));
            }
            println!("{size:>9}  {fault:<9}  {}", times.join(" "));
        }
    }
}
