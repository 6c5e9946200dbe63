//! Two policies, or two builds of this command, on the same seeds.

use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};

use clap::Args;
use rayon::prelude::*;
use serde::Serialize;
use whinspindle_lab_model::random::{Concern, RandomGenerator};
use whinspindle_lab_report::Run;
use whinspindle_lab_report::compare::{Difference, bootstrap};

use crate::file::{self, Changes};
use crate::play;

#[derive(Args)]
pub struct CompareLine {
    /// The scenario files
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// What the others are compared with
    #[arg(long, default_value = "module")]
    first: String,
    /// What is compared
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "random,round-robin,least-requests,two-choices,true-state"
    )]
    second: Vec<String>,
    /// Another build of this command, which plays `first` in place of the policies of `second`
    #[arg(long)]
    build: Option<PathBuf>,
    /// Seeds from 1 on
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// Keep the figures as JSON in this file
    #[arg(long)]
    json: Option<PathBuf>,
}

#[derive(Serialize)]
struct Compared {
    scenario: String,
    first: String,
    second: String,
    first_worth: f64,
    second_worth: f64,
    difference: Difference,
    noise: bool,
    /// Runs in which a rule was broken.
    first_broken: usize,
    second_broken: usize,
}

/// Plays a scenario text by another build.
fn by_build(build: &Path, text: &str, policy: &str, seed: u64) -> Result<Run, String> {
    let file = std::env::temp_dir().join(format!("whinspindle-compare-{}-{seed}.toml", std::process::id()));
    std::fs::write(&file, text).map_err(|fault| fault.to_string())?;
    let output = Command::new(build).arg("run").arg(&file).args(["--json", "--policy", policy]).output();
    let _ = std::fs::remove_file(&file);
    let output = output.map_err(|fault| format!("{}: {fault}", build.display()))?;
    Run::from_json(&String::from_utf8_lossy(&output.stdout))
        .map_err(|fault| format!("{}: {fault}: {}", build.display(), String::from_utf8_lossy(&output.stderr)))
}

pub fn run(line: &CompareLine) -> Result<ExitCode, String> {
    let mut all = Vec::new();
    println!(
        "{:<24} {:<15} {:<15} {:>7} {:>7}  {:<28} broken",
        "scenario (simulated)", "first", "second", "first", "second", "second less first, 95%"
    );
    for file in &line.files {
        let (text, _) = file::read(file)?;
        let seeds: Vec<u64> = (1..=line.seeds.max(2)).collect();
        let play = |policy: &str| -> Result<Vec<Run>, String> {
            let decides = file::policy(policy)?;
            let runs = seeds.par_iter().map(|&seed| {
                let text = file::changed(&text, &Changes { seed: Some(seed), set: Vec::new() })?;
                let scenario = file::parse(&text, &file.display().to_string())?;
                Ok(play::virtually(&scenario, &text, decides, false))
            });
            runs.collect()
        };
        let first = play(&line.first)?;
        let seconds: Vec<(String, Vec<Run>)> = match &line.build {
            Some(build) => {
                let runs: Result<Vec<Run>, String> = seeds
                    .par_iter()
                    .map(|&seed| {
                        let text = file::changed(&text, &Changes { seed: Some(seed), set: Vec::new() })?;
                        by_build(build, &text, &line.first, seed)
                    })
                    .collect();
                vec![("other build".to_string(), runs?)]
            }
            None => {
                let play = |name: &String| play(name).map(|runs| (name.clone(), runs));
                line.second.iter().map(play).collect::<Result<_, _>>()?
            }
        };
        for (name, second) in seconds {
            let compared = compare(&line.first, &first, &name, &second);
            show(&compared);
            all.push(compared);
        }
    }
    if let Some(json) = &line.json {
        let text = serde_json::to_string_pretty(&all).map_err(|fault| fault.to_string())?;
        std::fs::write(json, text).map_err(|fault| format!("{}: {fault}", json.display()))?;
    }
    Ok(ExitCode::SUCCESS)
}

fn compare(name: &str, first: &[Run], other: &str, second: &[Run]) -> Compared {
    let worths = |runs: &[Run]| runs.iter().map(|run| run.worth).collect::<Vec<f64>>();
    let mean = |worths: &[f64]| worths.iter().sum::<f64>() / worths.len().max(1) as f64;
    let (a, b) = (worths(first), worths(second));
    let mut random = RandomGenerator::new(1, Concern::Hunt);
    let difference = bootstrap(&a, &b, |n| random.below(n));
    let broken = |runs: &[Run]| runs.iter().filter(|run| !run.verdict.is_clean()).count();
    Compared {
        scenario: first[0].scenario.clone(),
        first: name.to_string(),
        second: other.to_string(),
        first_worth: mean(&a),
        second_worth: mean(&b),
        noise: difference.is_noise(),
        difference,
        first_broken: broken(first),
        second_broken: broken(second),
    }
}

fn show(compared: &Compared) {
    let d = &compared.difference;
    let word = if compared.noise { "noise" } else { "" };
    let interval = format!("{:+.3} ({:+.3} to {:+.3}) {word}", d.mean, d.low, d.high);
    println!(
        "{:<24} {:<15} {:<15} {:>7.3} {:>7.3}  {:<28} {}, {} of {}",
        compared.scenario,
        compared.first,
        compared.second,
        compared.first_worth,
        compared.second_worth,
        interval,
        compared.first_broken,
        compared.second_broken,
        d.pairs
    );
}
