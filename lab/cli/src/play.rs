//! Single runs: played, kept, played again, shown.

use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use whinspindle_lab_report::{Run, page, table};
use whinspindle_lab_scenario::Scenario;
use whinspindle_lab_simulation::{Fleet, Policy};

use crate::file::{self, Changes};

#[derive(Args)]
pub struct RunLine {
    /// The scenario file
    file: PathBuf,
    /// What decides: module, random, round-robin, least-requests, two-choices, true-state
    #[arg(long, default_value = "module")]
    policy: String,
    #[command(flatten)]
    changes: Changes,
    /// Behind loopback sockets, with the program itself, in real time
    #[arg(long)]
    real: bool,
    /// The program for --real; else the one beside this command, wherever it is called from
    #[arg(long)]
    program: Option<PathBuf>,
    /// Keep the figures as JSON and the page with its plots in this folder
    #[arg(long)]
    out: Option<PathBuf>,
    /// Print the figures as JSON and nothing else
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
pub struct ReplayLine {
    /// The JSON of a kept run, or a scenario file
    file: PathBuf,
}

#[derive(Args)]
pub struct ReportLine {
    /// The JSON of a kept run
    file: PathBuf,
    /// The folder for the page; else only the table is printed
    #[arg(long)]
    out: Option<PathBuf>,
}

pub fn run(line: &RunLine) -> Result<ExitCode, String> {
    let (text, _) = file::read(&line.file)?;
    let text = file::changed(&text, &line.changes)?;
    let scenario = file::parse(&text, &line.file.display().to_string())?;
    let run = if line.real {
        let bar = progress(!line.json);
        let program = line.program.clone().unwrap_or_else(beside);
        let run = whinspindle_lab_testbed::play(&scenario, &program, &mut |part, words| {
            bar.set_position((part * 1000.0) as u64);
            bar.set_message(words.to_string());
        })?;
        bar.finish_and_clear();
        Run { text, ..run }
    } else {
        virtually(&scenario, &text, file::policy(&line.policy)?, !line.json)
    };
    if line.json {
        println!("{}", run.to_json());
    } else {
        print!("{}", table::table(&run));
    }
    if let Some(out) = &line.out {
        keep(&run, out, !line.json)?;
    }
    Ok(end(&run))
}

/// The program in the folder of this command, where a build puts both.
pub fn beside() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.with_file_name("whinspindle")
}

/// What the run says of itself to a script.
fn end(run: &Run) -> ExitCode {
    match (&run.void, run.verdict.is_clean()) {
        (Some(_), _) => ExitCode::from(4),
        (None, false) => ExitCode::from(3),
        (None, true) => ExitCode::SUCCESS,
    }
}

fn progress(shown: bool) -> ProgressBar {
    if !shown || !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(1000);
    let style = "{bar:40} {percent}% {elapsed} {msg}";
    bar.set_style(ProgressStyle::with_template(style).unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar.enable_steady_tick(Duration::from_secs(1));
    bar
}

/// One run in virtual time.
pub fn virtually(scenario: &Scenario, text: &str, policy: Policy, shown: bool) -> Run {
    let bar = progress(shown);
    let mut run = Fleet::new(scenario, policy).run(&mut |progress| {
        bar.set_position((progress.part * 1000.0) as u64);
        bar.set_message(format!("{} events, {} queries", progress.events, progress.queries));
    });
    bar.finish_and_clear();
    run.text = text.to_string();
    run.cost.memory_mb = peak_memory_mb();
    run
}

/// The most memory that this process has held.
fn peak_memory_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kb = line.and_then(|line| line.trim().trim_end_matches(" kB").trim().parse::<f64>().ok());
    kb.map_or(0.0, |kb| kb / 1024.0)
}

fn keep(run: &Run, out: &Path, shown: bool) -> Result<(), String> {
    let told = |fault: std::io::Error| format!("{}: {fault}", out.display());
    std::fs::create_dir_all(out).map_err(told)?;
    let clock = if run.simulated { "" } else { "-real" };
    let name = format!("{}-{}{clock}-{}", run.scenario, run.decided_by, run.seed);
    let json = out.join(format!("{name}.json"));
    std::fs::write(&json, run.to_json()).map_err(told)?;
    let html = out.join(format!("{name}.html"));
    let page = page::page(run).map_err(|fault| format!("the page can't be drawn: {fault}"))?;
    std::fs::write(&html, page).map_err(told)?;
    if shown {
        println!("figures: {}\npage: {}", json.display(), html.display());
    }
    Ok(())
}

fn kept(file: &Path) -> Result<Run, String> {
    let text = std::fs::read_to_string(file).map_err(|fault| format!("{}: {fault}", file.display()))?;
    Run::from_json(&text).map_err(|fault| format!("{}: is no kept run: {fault}", file.display()))
}

pub fn replay(line: &ReplayLine) -> Result<ExitCode, String> {
    if line.file.extension().is_some_and(|ending| ending == "toml") {
        let (text, scenario) = file::read(&line.file)?;
        let run = virtually(&scenario, &text, Policy::Module, true);
        print!("{}", table::table(&run));
        return Ok(end(&run));
    }
    let before = kept(&line.file)?;
    if !before.simulated {
        return Err("a run on real sockets can't be played again to the last digit".to_string());
    }
    let scenario = file::parse(&before.text, &line.file.display().to_string())?;
    let run = virtually(&scenario, &before.text, file::policy(&before.decided_by)?, true);
    print!("{}", table::table(&run));
    if run.digest == before.digest {
        println!("the same run, to the last digit");
        return Ok(end(&run));
    }
    println!("ANOTHER RUN: digest {} before, {} now; the build has changed", before.digest, run.digest);
    Ok(ExitCode::FAILURE)
}

pub fn report(line: &ReportLine) -> Result<ExitCode, String> {
    let run = kept(&line.file)?;
    print!("{}", table::table(&run));
    if let Some(out) = &line.out {
        keep(&run, out, true)?;
    }
    Ok(ExitCode::SUCCESS)
}
