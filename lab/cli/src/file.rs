//! Scenario files from the command line.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Args;
use whinspindle_lab_scenario::{Scenario, change};
use whinspindle_lab_simulation::Policy;

/// What may be changed of a scenario without touching its file.
#[derive(Args, Clone)]
pub struct Changes {
    /// Another seed than the file's
    #[arg(long)]
    pub seed: Option<u64>,
    /// Another value than the file's, as in `load.0.rate=200/s` or `tier.0.servers.0.count=12`
    #[arg(long = "set", value_name = "PATH=VALUE")]
    pub set: Vec<String>,
}

#[derive(Args)]
pub struct CheckLine {
    /// The scenario files
    #[arg(required = true)]
    files: Vec<PathBuf>,
}

pub fn check(line: &CheckLine) -> Result<ExitCode, String> {
    let mut good = true;
    for file in &line.files {
        match read(file) {
            Ok((_, scenario)) => {
                let loads: Vec<String> = (0..scenario.tiers.len())
                    .map(|tier| {
                        let part = 100.0 * scenario.utilization(tier);
                        format!("{} at {part:.0}%", scenario.tiers[tier].name)
                    })
                    .collect();
                println!("{}: good; mean load of {}", file.display(), loads.join(", "));
            }
            Err(faults) => {
                eprintln!("{faults}");
                good = false;
            }
        }
    }
    Ok(if good { ExitCode::SUCCESS } else { ExitCode::from(2) })
}

/// The text and what it says; else all faults, a line each.
pub fn read(file: &Path) -> Result<(String, Scenario), String> {
    let bytes = std::fs::read(file).map_err(|fault| format!("{}: {fault}", file.display()))?;
    let text = String::from_utf8(bytes).map_err(|_| format!("{}: is not UTF-8 text", file.display()))?;
    let scenario = parse(&text, &file.display().to_string())?;
    Ok((text, scenario))
}

pub fn parse(text: &str, name: &str) -> Result<Scenario, String> {
    Scenario::read(text).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(|fault| format!("{name}: {fault}")).collect();
        lines.join("\n")
    })
}

/// The text with the changes in it.
pub fn changed(text: &str, changes: &Changes) -> Result<String, String> {
    if changes.seed.is_none() && changes.set.is_empty() {
        return Ok(text.to_string());
    }
    let mut table = change::parse(text)?;
    for set in &changes.set {
        let (path, value) = set.split_once('=').ok_or_else(|| format!("--set {set}: has no ="))?;
        change::set(&mut table, path, change::value(value))?;
    }
    if let Some(seed) = changes.seed {
        change::set(&mut table, "seed", change::value(&seed.to_string()))?;
    }
    Ok(change::write(&table))
}

pub fn policy(name: &str) -> Result<Policy, String> {
    let found = Policy::ALL.iter().find(|(known, _)| *known == name);
    found.map(|(_, policy)| *policy).ok_or_else(|| {
        let known: Vec<&str> = Policy::ALL.iter().map(|(known, _)| *known).collect();
        format!("{name:?} is no policy; one of {}", known.join(", "))
    })
}
