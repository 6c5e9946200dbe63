//! How long each trouble of a scenario lasts beyond its end: the run beside the same one without it.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use rayon::prelude::*;
use whinspindle_lab_report::recovery::{Recovery, recovery};
use whinspindle_lab_report::{Run, table};
use whinspindle_lab_scenario::Scenario;
use whinspindle_lab_simulation::Policy;

use crate::file::{self, Changes};
use crate::play;

#[derive(Args)]
pub struct ReturnLine {
    /// The scenario file
    file: PathBuf,
    #[command(flatten)]
    changes: Changes,
    /// Plays of each, with seeds from the scenario's on; medians are shown
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// Only this trouble, by its number from 0
    #[arg(long)]
    trouble: Option<usize>,
    /// Behind loopback sockets, with the program itself, one play after the other
    #[arg(long)]
    real: bool,
    /// The program for --real
    #[arg(long)]
    program: Option<PathBuf>,
    /// Print the figures as JSON, a line a trouble and seed
    #[arg(long)]
    json: bool,
}

fn median(mut of: Vec<f64>) -> f64 {
    of.sort_by(f64::total_cmp);
    of.get(of.len() / 2).copied().unwrap_or(0.0)
}

pub fn run(line: &ReturnLine) -> Result<ExitCode, String> {
    let (text, _) = file::read(&line.file)?;
    let text = file::changed(&text, &line.changes)?;
    let scenario = file::parse(&text, &line.file.display().to_string())?;
    let program = line.program.clone().unwrap_or_else(play::beside);
    let played = |scenario: &Scenario| -> Result<Run, String> {
        if line.real {
            return whinspindle_lab_testbed::play(scenario, &program, &mut |_, _| {});
        }
        Ok(play::virtually(scenario, "", Policy::Module, false))
    };
    let seeds: Vec<u64> = (0..line.seeds).map(|more| scenario.seed + more).collect();
    let mut broken = false;
    let asked = |number: &usize| line.trouble.is_none_or(|only| only == *number);
    for number in (0..scenario.troubles.len()).filter(asked) {
        let trouble = &scenario.troubles[number];
        let (begins, ends) = (trouble.at as f64 / 1e6, (trouble.at + trouble.lasts) as f64 / 1e6);
        let one = |seed: &u64| -> Result<(Recovery, bool, Option<String>), String> {
            let with = Scenario { seed: *seed, ..scenario.clone() };
            let mut without = with.clone();
            without.troubles.remove(number);
            let (with, without) = (played(&with)?, played(&without)?);
            let clean = with.verdict.is_clean();
            Ok((recovery(&with, &without, begins, ends), clean, with.void.or(without.void)))
        };
        let all: Result<Vec<_>, String> = match line.real {
            true => seeds.iter().map(one).collect(),
            false => seeds.par_iter().map(one).collect(),
        };
        let all = all?;
        broken |= all.iter().any(|(_, clean, _)| !clean);
        let name = table::ill_text(&scenario, trouble);
        if line.json {
            for (seed, (found, clean, void)) in seeds.iter().zip(&all) {
                let found = serde_json::to_value(found).map_err(|fault| fault.to_string())?;
                println!(
                    "{}",
                    serde_json::json!({"trouble": name, "seed": seed, "clean": clean, "void": void,
                        "found": found})
                );
            }
            continue;
        }
        let of = |get: fn(&Recovery) -> f64| median(all.iter().map(|(found, _, _)| get(found)).collect());
        let full = of(|found| found.to_full_s.unwrap_or(f64::INFINITY));
        let full = if full.is_finite() { format!("{full:.0} s") } else { "not before the end".to_string() };
        println!("{name}, from {begins:.1} to {ends:.1} s: full service after {full}");
        println!(
            "  lost {:.2} s of worth while it lasted, {:.2} s after; rejected {:+.0}, failed {:+.0}, \
             handshakes {:+.0}, further tries {:+.0}, choked {:+.1} s, crossings {:+.1}%",
            of(|found| found.lost_during_s),
            of(|found| found.lost_after_s),
            of(|found| found.rejected as f64),
            of(|found| found.failed as f64),
            of(|found| found.handshakes as f64),
            of(|found| found.client_tries as f64),
            of(|found| found.choked_s),
            of(|found| 100.0 * found.crossings),
        );
        for (_, _, void) in &all {
            if let Some(void) = void {
                println!("  A PLAY DOES NOT COUNT: {void}");
            }
        }
    }
    Ok(if broken { ExitCode::from(3) } else { ExitCode::SUCCESS })
}
