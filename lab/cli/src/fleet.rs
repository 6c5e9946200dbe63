//! The agreement of fleets, played and searched.

use std::process::ExitCode;

use clap::Args;
use rayon::prelude::*;
use whinspindle_fleet_policy::StandardConsensusRules;
use whinspindle_lab_model_checker::members::{Plan, World, hunt, search};
use whinspindle_lab_model_checker::sizes::{Fleet, measure, schedule};

#[derive(Args)]
pub struct FleetLine {
    /// How many members
    #[arg(long, value_delimiter = ',', default_value = "3,9,31,100,300,1000")]
    members: Vec<u16>,
    /// Bytes of the policy
    #[arg(long, default_value_t = 2048)]
    text: usize,
    /// Plays of each, with seeds from 1 on; the median of the times is shown
    #[arg(long, default_value_t = 5)]
    seeds: u64,
}

#[derive(Args)]
pub struct ExploreLine {
    /// Departures from the plain schedule that are tried together, each at any delivery
    #[arg(long, default_value_t = 1)]
    departures: usize,
    /// States that are looked at, at most
    #[arg(long, default_value_t = 20_000_000)]
    states: usize,
    /// Schedules of up to six departures that are drawn after that
    #[arg(long, default_value_t = 1000)]
    drawn: u64,
    /// Schedules of whole fleets in virtual time that are drawn after that
    #[arg(long, default_value_t = 1000)]
    schedules: u64,
}

type Change = fn(Fleet) -> Fleet;

/// What befalls a fleet, by its name in the table.
const FAULTS: [(&str, Change); 4] = [
    ("none", |fleet| fleet),
    ("10% lost", |fleet| Fleet { loss: 0.1, ..fleet }),
    ("a third down", |fleet| Fleet { down: 1.0 / 3.0, ..fleet }),
    ("a third cut off", |fleet| Fleet { cut: 1.0 / 3.0, ..fleet }),
];

pub fn sizes(line: &FleetLine) -> Result<ExitCode, String> {
    println!("simulated; a right of 10 s, a policy of {} bytes, medians of {} plays", line.text, line.seeds);
    println!(
        "members  fault            to the last s   datagrams/s (bytes/s) at rest: voter, other   during: voter, other \
         core us/s"
    );
    for &members in &line.members {
        for (name, change) in FAULTS {
            let play = |seed| measure(&change(Fleet { text: line.text, ..Fleet::plain(members, seed) }));
            let mut plays = (1..=line.seeds).into_par_iter().map(play).collect::<Result<Vec<_>, _>>()?;
            plays.sort_by_key(|play| play.to_last.unwrap_or(u64::MAX));
            let Some(play) = plays.get(plays.len() / 2) else { continue };
            let last = play.to_last.map_or("never".to_string(), |us| format!("{:.2}", us as f64 / 1e6));
            let sent = |sent: [whinspindle_lab_model_checker::sizes::Sent; 2]| {
                let one = |sent: whinspindle_lab_model_checker::sizes::Sent| {
                    format!("{:.1} ({:.0})", sent.datagrams, sent.bytes)
                };
                format!("{}, {}", one(sent[0]), one(sent[1]))
            };
            println!(
                "{members:>7}  {name:<16} {last:>13}   {:<46} {:<30} {:.1}",
                sent(play.rest),
                sent(play.during),
                play.cpu
            );
        }
    }
    Ok(ExitCode::SUCCESS)
}

pub fn explore(line: &ExploreLine) -> Result<ExitCode, String> {
    let broken = |what: String| {
        println!("BROKEN: {what}");
        Ok(ExitCode::from(3))
    };
    let searched = search::<StandardConsensusRules>(Plan::default(), false, line.departures, line.states);
    if let Some((what, departures)) = searched.broken {
        World::<StandardConsensusRules>::new(Plan::default(), false)
            .tell(&departures)
            .iter()
            .for_each(|line| println!("{line}"));
        return broken(format!("{what}, by {departures:?}"));
    }
    let all = if searched.states < line.states { "all of them" } else { "up to the bound" };
    println!("{} departures: {} states, {all}", line.departures, searched.states);
    let blocks: Vec<u64> = (0..line.drawn.div_ceil(100)).collect();
    let drawn = |block: &u64| {
        let seeds = block * 100..(block * 100 + 100).min(line.drawn);
        [
            Plan::default(),
            Plan { absent: 1, ..Plan::default() },
            Plan { outs: Some([6, 6]), ..Plan::default() },
            Plan { proposed: [3, 13], absent: 2, moves: Some(9), ..Plan::default() },
            Plan {
                proposed: [99, 99],
                outs: Some([4, 4]),
                release: Some([4, 24]),
                steps: 60,
                ..Plan::default()
            },
        ]
        .into_iter()
        .find_map(|plan| hunt::<StandardConsensusRules>(plan, false, seeds.clone(), 6).broken)
    };
    if let Some((what, departures)) = blocks.par_iter().find_map_any(drawn) {
        return broken(format!("{what}, by {departures:?}"));
    }
    println!("{} drawn schedules of up to six departures, five times: nothing broken", line.drawn);
    match (0..line.schedules).into_par_iter().map(schedule).sum::<Result<u64, String>>() {
        Ok(changes) => {
            println!("{} drawn fleets, {changes} changes in force: nothing broken", line.schedules)
        }
        Err(what) => return broken(what),
    }
    Ok(ExitCode::SUCCESS)
}
