//! The parser of a release's plan.

use whinspindle_rollout::{MAX_UNITS, Plan, Unit};
use whinspindle_toml_config::{ConfigError, Location, Table};

/// How long a wave may be observed, in microseconds. A shorter time shows no effects, and a wave that lasts
/// longer than a day would be forgotten.
const WATCH_US: std::ops::RangeInclusive<u64> = 1_000_000..=86_400_000_000;
const DEFAULT_WATCH_US: u64 = 60_000_000;

/// Parses and checks a plan. `balancer_count` is the number of balancers in the fleet, if that is known.
pub fn parse_plan(text: &str, balancer_count: Option<usize>) -> Result<Plan, Vec<ConfigError>> {
    whinspindle_toml_config::parse(text, |table| plan(table, balancer_count))
}

fn plan(table: &Table, balancer_count: Option<usize>) -> Plan {
    let names = unit_names(table);
    let units = units(table, &names, balancer_count);
    if units.is_empty() || units.len() > MAX_UNITS {
        let hint = format!("1 to {MAX_UNITS}; more in several releases");
        table.report_error(&table.location_of("units"), format!("{} units", units.len()), hint);
    }
    let watch_us = table.duration_us("watch", Some(DEFAULT_WATCH_US));
    if !WATCH_US.contains(&watch_us) {
        table.report_error(
            &table.location_of("watch"),
            "is too short to observe effects, or too long",
            "1 s to 24 h",
        );
    }
    Plan {
        name: table.string("name", None),
        unit_names: names.into_iter().map(|(name, _)| name).collect(),
        wave_ends: wave_ends(table, units.len()),
        units,
        watch_us,
        false_halt_probability: table.float("error", (1e-6, 0.2), Some(0.01)),
        build: table.contains_key("build").then(|| table.string("build", None)),
    }
}

/// The names of the units and their locations in the file, with ranges of balancers expanded.
fn unit_names(table: &Table) -> Vec<(String, Location)> {
    let mut names: Vec<(String, Location)> = Vec::new();
    for (text, location) in table.strings("units") {
        match text.strip_prefix("balancer:").and_then(|numbers| numbers.split_once('-')) {
            Some((from, to)) => match (from.parse::<u16>(), to.parse::<u16>()) {
                (Ok(from), Ok(to)) if from <= to => {
                    names.extend((from..=to).map(|number| (format!("balancer:{number}"), location.clone())));
                }
                _ => table.report_error(
                    &location,
                    format!("{text:?} is not a range"),
                    "as in \"balancer:0-8\"",
                ),
            },
            None => names.push((text, location)),
        }
    }
    names
}

/// The units with these names, each checked.
fn units(table: &Table, names: &[(String, Location)], balancer_count: Option<usize>) -> Vec<Unit> {
    let mut units: Vec<Unit> = Vec::new();
    for (name, location) in names {
        let Some(unit) = parse_unit(name) else {
            table.report_error(
                location,
                format!("{name:?} is not a unit"),
                "balancer:NUMBER, balancer:FROM-TO or server:ID",
            );
            continue;
        };
        if let (Unit::Balancer(number), Some(all)) = (unit, balancer_count)
            && number as usize >= all
        {
            table.report_error(
                location,
                format!("the fleet has {all} balancers"),
                format!("0 to {}", all.saturating_sub(1)),
            );
        }
        if units.contains(&unit) {
            table.report_error(location, format!("{name} is named twice"), "each unit once");
        }
        units.push(unit);
    }
    units
}

/// For each wave, the number of units that have restarted when it is complete. The numbers increase, and the
/// last is that of all units.
fn wave_ends(table: &Table, unit_count: usize) -> Vec<usize> {
    if !table.contains_key("waves") {
        // One unit first, then a tenth, a half, and all units.
        let mut ends: Vec<usize> = vec![1, unit_count.div_ceil(10), unit_count.div_ceil(2), unit_count];
        ends.dedup();
        ends.retain(|end| *end <= unit_count);
        return ends;
    }
    let mut ends: Vec<usize> = Vec::new();
    for (text, location) in table.strings("waves") {
        let end = match text.strip_suffix('%') {
            Some(part) => part.parse::<f64>().ok().filter(|part| *part > 0.0 && *part <= 100.0).map(|part| {
                // Rounded up, so that a small percentage of few units is one unit.
                ((part / 100.0 * unit_count as f64).ceil() as usize).min(unit_count)
            }),
            None => text.parse::<usize>().ok().filter(|end| (1..=unit_count).contains(end)),
        };
        match end {
            None => table.report_error(
                &location,
                format!("{text:?} is not a wave of {unit_count} units"),
                "as in \"1\" or \"25%\"",
            ),
            // Percentages of few units that round to the same number are one wave.
            Some(end) if ends.last() == Some(&end) && text.ends_with('%') => {}
            Some(end) if ends.last().is_some_and(|last| *last >= end) => {
                table.report_error(
                    &location,
                    format!("{end} units are in an earlier wave already"),
                    "each wave larger than the one before",
                );
            }
            Some(end) => ends.push(end),
        }
    }
    if ends.last() != Some(&unit_count) {
        table.report_error(
            &table.location_of("waves"),
            "the last wave does not include all units",
            "\"100%\" at the end",
        );
    }
    ends
}

/// Parses the name of a unit: `balancer:NUMBER` or `server:ID`.
pub fn parse_unit(name: &str) -> Option<Unit> {
    match name.split_once(':') {
        Some(("balancer", number)) => number.parse().ok().map(Unit::Balancer),
        Some(("server", id)) if !id.is_empty() => {
            Some(Unit::Server(whinspindle_deployment_settings::server_key(id.as_bytes())))
        }
        _ => None,
    }
}
