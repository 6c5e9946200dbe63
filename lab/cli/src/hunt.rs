//! A random search for days on which a rule breaks or much is lost, and the shrinking of what is found.

use std::io::IsTerminal;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::Args;
use indicatif::ProgressBar;
use rayon::prelude::*;
use serde::Serialize;
use toml::{Table, Value};
use whinspindle_lab_model::random::{Concern, RandomGenerator};
use whinspindle_lab_scenario::{Scenario, change};
use whinspindle_lab_simulation::{Fleet, Policy};

use crate::file;

#[derive(Args)]
pub struct HuntLine {
    /// The scenario files to start from; what their `[ranges]` name is drawn anew for each try
    #[arg(required = true)]
    files: Vec<PathBuf>,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Tries
    #[arg(long, default_value_t = 200)]
    tries: u64,
    /// End after this time, in minutes, even if tries are left
    #[arg(long, default_value_t = 60.0)]
    minutes: f64,
    /// Troubles added to those of the file, drawn anew for each try
    #[arg(long, default_value_t = 2)]
    troubles: u64,
    /// How many of the worst finds are listed
    #[arg(long, default_value_t = 100)]
    list: usize,
    /// How many of the worst finds are shrunk and saved
    #[arg(long, default_value_t = 3)]
    keep: usize,
    /// Further plays that the shrinking of a find may take
    #[arg(long, default_value_t = 120)]
    shrink: usize,
    /// What decides
    #[arg(long, default_value = "module")]
    policy: String,
    /// The folder for what is found
    #[arg(long, default_value = "finds")]
    out: PathBuf,
}

/// One find: the loss is what the true state reaches less what the policy does, on the same day.
#[derive(Clone, Debug, Serialize)]
struct Find {
    seed: u64,
    scenario: String,
    worth: f64,
    true_state: f64,
    loss: f64,
    broken: [u64; 4],
    first_break: Option<String>,
    #[serde(skip)]
    text: String,
}

impl Find {
    /// Broken rules first, then the loss.
    fn rank(&self) -> f64 {
        let broken = self.broken.iter().any(|count| *count > 0);
        if broken { 100.0 + self.loss } else { self.loss }
    }

    /// Whether another find shows the same thing: one of the rules that this one breaks, or most of its loss.
    fn is_shown_by(&self, other: &Find) -> bool {
        if self.broken.iter().any(|count| *count > 0) {
            return self.broken.iter().zip(&other.broken).any(|(a, b)| *a > 0 && *b > 0);
        }
        other.loss >= 0.8 * self.loss
    }
}

/// Troubles that a try may add, as they would be written.
fn draw_trouble(random: &mut RandomGenerator, scenario: &Scenario) -> Table {
    let lasts = scenario.lasts;
    let at = (lasts as f64 * (0.1 + 0.6 * random.unit())) as u64 / 1000;
    let time = (lasts as f64 * (0.05 + 0.3 * random.unit())) as u64 / 1000;
    let mut table = Table::new();
    let text = |text: String| Value::String(text);
    table.insert("at".into(), text(format!("{at}ms")));
    table.insert("lasts".into(), text(format!("{time}ms")));
    let words = [
        "kill",
        "vanish",
        "hang",
        "fail",
        "slow",
        "pause",
        "neighbour",
        "drain",
        "replace",
        "loss",
        "resets",
        "discovery-silent",
        "discovery-late",
        "discovery-forgets",
        "discovery-repeats",
        "balancer-kill",
        "balancer-stop",
        "surge",
        "join",
        "cut",
    ];
    let mut word = words[random.below(words.len())];
    if word == "cut" && scenario.zones.len() < 2 {
        word = "slow";
    }
    table.insert("what".into(), text(word.to_string()));
    let tier = scenario.tiers[random.below(scenario.tiers.len())].name.clone();
    let part = Value::Float(((0.05 + 0.45 * random.unit()) * 100.0).round() / 100.0);
    match word {
        "kill" | "vanish" | "hang" | "fail" | "slow" | "pause" | "neighbour" | "drain" | "replace" => {
            table.insert("tier".into(), text(tier));
            table.insert("part".into(), part);
        }
        "join" => {
            table.insert("tier".into(), text(tier));
            table.insert("count".into(), Value::Integer(1 + random.below(4) as i64));
        }
        "cut" => {
            let first = random.below(scenario.zones.len());
            let second = (first + 1 + random.below(scenario.zones.len() - 1)) % scenario.zones.len();
            let names = [first, second].map(|zone| text(scenario.zones[zone].clone()));
            table.insert("zones".into(), Value::Array(names.to_vec()));
        }
        "discovery-forgets" => {
            table.insert("part".into(), part);
        }
        "balancer-kill" | "balancer-stop" => {
            let one = random.below(scenario.tiers[0].balancers).to_string();
            table.insert("balancers".into(), Value::Array(vec![text(one)]));
        }
        "surge" => {
            table.insert("factor".into(), Value::Float(1.2 + 1.8 * random.unit()));
        }
        "loss" | "resets" => {
            table.insert("factor".into(), Value::Float(0.02 + 0.2 * random.unit()));
        }
        _ => {}
    }
    table
}

/// One try's text: the ranges drawn, troubles added, a seed of its own.
fn draw(text: &str, number: u64, line: &HuntLine) -> Result<String, String> {
    let mut random = RandomGenerator::new(line.seed ^ (number << 20), Concern::Hunt);
    let scenario = file::parse(text, "the scenario")?;
    let mut table = change::parse(text)?;
    for range in &scenario.ranges {
        let value = change::between(&range.low, &range.high, random.unit())?;
        change::set(&mut table, &range.path, value)?;
    }
    // What is added must fit what the ranges have made of the file.
    let scenario = file::parse(&change::write(&table), "a try")?;
    let added: Vec<Value> =
        (0..line.troubles).map(|_| Value::Table(draw_trouble(&mut random, &scenario))).collect();
    if !added.is_empty() {
        let troubles = table.entry("trouble").or_insert_with(|| Value::Array(Vec::new()));
        if let Value::Array(troubles) = troubles {
            troubles.extend(added);
        }
    }
    table.insert("seed".into(), Value::Integer((random.bits() >> 33) as i64));
    Ok(change::write(&table))
}

fn judge(text: String, policy: Policy) -> Result<Find, String> {
    let scenario = file::parse(&text, "a try")?;
    let run = Fleet::new(&scenario, policy).run(&mut |_| {});
    let best = Fleet::new(&scenario, Policy::TrueState).run(&mut |_| {});
    Ok(Find {
        seed: scenario.seed,
        scenario: scenario.name.clone(),
        worth: run.worth,
        true_state: best.worth,
        loss: best.worth - run.worth,
        broken: run.verdict.broken,
        first_break: run.verdict.breaks.first().map(ToString::to_string),
        text,
    })
}

/// Makes the find smaller as long as it still shows the same.
fn shrink(find: &Find, policy: Policy, most: usize) -> Find {
    let mut best = find.clone();
    let mut plays = 0;
    'again: while plays < most {
        let Ok(table) = change::parse(&best.text) else { return best };
        let smaller: Vec<Table> = change::smaller(&table);
        // Candidates that can be read are tried a few at a time, and the first that still shows it is taken,
        // so that the result does not depend on how many cores there are.
        for few in smaller.chunks(8) {
            let judged: Vec<Option<Find>> =
                few.par_iter().map(|table| judge(change::write(table), policy).ok()).collect();
            plays += few.len();
            if let Some(found) = judged.into_iter().flatten().find(|small| find.is_shown_by(small)) {
                best = found;
                continue 'again;
            }
            if plays >= most {
                break;
            }
        }
        break;
    }
    best
}

pub fn run(line: &HuntLine) -> Result<ExitCode, String> {
    let policy = file::policy(&line.policy)?;
    let mut texts = Vec::new();
    for file in &line.files {
        texts.push(file::read(file)?.0);
    }
    let begun = Instant::now();
    let most = Duration::from_secs_f64(line.minutes.max(0.0) * 60.0);
    let bar =
        if std::io::stderr().is_terminal() { ProgressBar::new(line.tries) } else { ProgressBar::hidden() };
    let tries: Vec<Result<Find, String>> = (0..line.tries)
        .into_par_iter()
        .filter_map(|number| {
            if begun.elapsed() > most {
                return None;
            }
            let text = draw(&texts[number as usize % texts.len()], number, line);
            let find = text.and_then(|text| judge(text, policy));
            bar.inc(1);
            Some(find)
        })
        .collect();
    bar.finish_and_clear();
    let (mut finds, mut unplayed) = (Vec::new(), Vec::new());
    for tried in tries {
        match tried {
            Ok(find) => finds.push(find),
            Err(fault) => unplayed.push(fault),
        }
    }
    // A range may lead to files that can't be: they are told, and the hunt goes on.
    if let Some(fault) = unplayed.first() {
        println!("{} tries could not be played, such as: {fault}", unplayed.len());
    }
    if finds.is_empty() {
        return Err("nothing was played".to_string());
    }
    finds.sort_by(|a, b| b.rank().total_cmp(&a.rank()).then(a.seed.cmp(&b.seed)));
    let broken = finds.iter().filter(|find| find.broken.iter().any(|count| *count > 0)).count();
    let wall = begun.elapsed().as_secs_f64();
    println!("{} days played in {wall:.0} s (simulated), rules broken on {broken}", finds.len());
    std::fs::create_dir_all(&line.out).map_err(|fault| format!("{}: {fault}", line.out.display()))?;
    let keep = |name: String, text: &str| {
        let file = line.out.join(name);
        std::fs::write(&file, text).map_err(|fault| format!("{}: {fault}", file.display()))
    };
    finds.truncate(line.list);
    println!(
        "{:<20} {:>11} {:>7} {:>10} {:>7}  first break",
        "scenario", "seed", "worth", "true state", "loss"
    );
    for find in finds.iter().take(20) {
        println!(
            "{:<20} {:>11} {:>7.3} {:>10.3} {:>7.3}  {}",
            find.scenario,
            find.seed,
            find.worth,
            find.true_state,
            find.loss,
            find.first_break.as_deref().unwrap_or("")
        );
    }
    let json = serde_json::to_string_pretty(&finds).map_err(|fault| fault.to_string())?;
    keep("finds.json".to_string(), &json)?;
    for (number, find) in finds.iter().take(line.keep).enumerate() {
        keep(format!("find-{number}.toml"), &find.text)?;
        let small = shrink(find, policy, line.shrink);
        keep(format!("find-{number}-small.toml"), &small.text)?;
        println!(
            "find {number}: loss {:.3}, shrunk from {} to {} lines at loss {:.3}: {}",
            find.loss,
            find.text.lines().count(),
            small.text.lines().count(),
            small.loss,
            line.out.join(format!("find-{number}-small.toml")).display()
        );
    }
    Ok(if broken > 0 { ExitCode::from(3) } else { ExitCode::SUCCESS })
}
