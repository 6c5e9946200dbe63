//! Drawn schedules of faults over real processes, several at once:
//! `cargo run --release -p whinspindle-lab-fault-proxies --example hunt -- FROM TO [MEMBERS] [AT ONCE]`.

use std::path::Path;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use whinspindle_lab_fault_proxies::hunt::{draw, play, shrink};

fn main() {
    let numbers: Vec<u64> = std::env::args().skip(1).filter_map(|word| word.parse().ok()).collect();
    let (from, to) = (numbers.first().copied().unwrap_or(0), numbers.get(1).copied().unwrap_or(10));
    let members = numbers.get(2).copied().unwrap_or(5) as usize;
    let at_once = numbers.get(3).copied().unwrap_or(8);
    let program = Path::new("target/release/whinspindle");
    let (next, changes, broken) = (AtomicU64::new(from), AtomicUsize::new(0), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for _ in 0..at_once {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= to {
                        return;
                    }
                    let events = draw(seed, members);
                    let name = format!("hunt-{seed}");
                    match play(program, &name, members, &events) {
                        Ok(done) => {
                            changes.fetch_add(done, Ordering::Relaxed);
                        }
                        Err(words) => {
                            broken.fetch_add(1, Ordering::Relaxed);
                            println!("seed {seed}: {words}\n{events:?}");
                            let few = shrink(program, &name, members, &events);
                            println!("seed {seed}, shrunk: {few:?}");
                        }
                    }
                }
            });
        }
    });
    println!(
        "{} schedules over {members} real processes, {} changes in force, {} broken",
        to - from,
        changes.into_inner(),
        broken.into_inner()
    );
}
