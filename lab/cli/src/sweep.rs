//! A grid of scenario values, each point over the same seeds.

use std::io::IsTerminal;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use indicatif::ProgressBar;
use rayon::prelude::*;
use serde::Serialize;
use whinspindle_lab_report::Run;

use crate::file::{self, Changes};
use crate::play;

#[derive(Args)]
pub struct SweepLine {
    /// The scenario file
    file: PathBuf,
    /// Values to go through, as in `load.0.rate=50/s,100/s,200/s`; several make a grid
    #[arg(long = "over", value_name = "PATH=VALUE,VALUE", required = true)]
    over: Vec<String>,
    /// Policies to go through
    #[arg(long, value_delimiter = ',', default_value = "module")]
    policy: Vec<String>,
    /// Seeds from 1 on
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    #[command(flatten)]
    changes: Changes,
    /// Keep all figures as JSON in this file
    #[arg(long)]
    json: Option<PathBuf>,
}

#[derive(Serialize)]
struct Point {
    values: Vec<String>,
    policy: String,
    worth: f64,
    worth_spread: f64,
    p99_ms: f64,
    rejected: f64,
    failed: f64,
    broken: u64,
    runs: Vec<Run>,
}

/// Every combination of one value from each list.
fn grid(lists: &[Vec<String>]) -> Vec<Vec<String>> {
    lists.iter().fold(vec![Vec::new()], |points, list| {
        let longer = |point: &Vec<String>| {
            let point = point.clone();
            list.iter().map(move |value| [point.clone(), vec![value.clone()]].concat()).collect::<Vec<_>>()
        };
        points.iter().flat_map(longer).collect()
    })
}

pub fn run(line: &SweepLine) -> Result<ExitCode, String> {
    let (text, _) = file::read(&line.file)?;
    let text = file::changed(&text, &line.changes)?;
    let mut lists = Vec::new();
    for over in &line.over {
        let (path, values) = over.split_once('=').ok_or_else(|| format!("--over {over}: has no ="))?;
        lists.push(values.split(',').map(|value| format!("{path}={value}")).collect::<Vec<_>>());
    }
    let mut jobs = Vec::new();
    for policy in &line.policy {
        let decides = file::policy(policy)?;
        for values in grid(&lists) {
            for seed in 1..=line.seeds.max(1) {
                let text = file::changed(&text, &Changes { seed: Some(seed), set: values.clone() })?;
                let scenario = file::parse(&text, &values.join(" "))?;
                jobs.push((values.clone(), policy.clone(), decides, scenario, text));
            }
        }
    }
    let bar = if std::io::stderr().is_terminal() {
        ProgressBar::new(jobs.len() as u64)
    } else {
        ProgressBar::hidden()
    };
    let runs: Vec<Run> = jobs
        .par_iter()
        .map(|(_, _, decides, scenario, text)| {
            let run = play::virtually(scenario, text, *decides, false);
            bar.inc(1);
            run
        })
        .collect();
    bar.finish_and_clear();
    let count = line.seeds.max(1) as usize;
    let mut points = Vec::new();
    for (jobs, runs) in jobs.chunks(count).zip(runs.chunks(count)) {
        let mean = |of: &dyn Fn(&Run) -> f64| runs.iter().map(of).sum::<f64>() / runs.len() as f64;
        let worth = mean(&|run| run.worth);
        let variance = mean(&|run| (run.worth - worth).powi(2));
        points.push(Point {
            values: jobs[0].0.clone(),
            policy: jobs[0].1.clone(),
            worth,
            worth_spread: variance.sqrt(),
            p99_ms: mean(&|run| run.latency.p99),
            rejected: mean(&|run| run.rejected as f64 / run.queries.max(1) as f64),
            failed: mean(&|run| run.failed as f64 / run.queries.max(1) as f64),
            broken: runs.iter().map(|run| run.verdict.broken.iter().sum::<u64>()).sum(),
            runs: runs.to_vec(),
        });
    }
    println!(
        "{:<44} {:<15} {:>7} {:>7} {:>9} {:>8} {:>8} {:>7}",
        "values (simulated)", "policy", "worth", "spread", "p99 ms", "reject", "fail", "broken"
    );
    for point in &points {
        println!(
            "{:<44} {:<15} {:>7.3} {:>7.3} {:>9.1} {:>7.1}% {:>7.1}% {:>7}",
            point.values.join(" "),
            point.policy,
            point.worth,
            point.worth_spread,
            point.p99_ms,
            100.0 * point.rejected,
            100.0 * point.failed,
            point.broken
        );
    }
    if let Some(json) = &line.json {
        let text = serde_json::to_string_pretty(&points).map_err(|fault| fault.to_string())?;
        std::fs::write(json, text).map_err(|fault| format!("{}: {fault}", json.display()))?;
    }
    Ok(ExitCode::SUCCESS)
}
