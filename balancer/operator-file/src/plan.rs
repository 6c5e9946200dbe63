//! The reader of a release's plan.

use whinspindle_rollout::{MOST_UNITS, Plan, Unit};
use whinspindle_toml_config::{ConfigError, Location, Table};

/// How long a wave may be watched, in microseconds: in less nothing is seen, and more than a day is forgotten.
const WATCH: std::ops::RangeInclusive<u64> = 1_000_000..=86_400_000_000;
const DEFAULT_WATCH: u64 = 60_000_000;

/// Reads and checks a plan; `balancers` is how many the fleet has, if that is known.
pub fn read_plan(text: &str, balancers: Option<usize>) -> Result<Plan, Vec<ConfigError>> {
    whinspindle_toml_config::parse(text, |table| plan(table, balancers))
}

fn plan(t: &Table, balancers: Option<usize>) -> Plan {
    let names = unit_names(t);
    let units = units(t, &names, balancers);
    if units.is_empty() || units.len() > MOST_UNITS {
        let way_out = format!("1 to {MOST_UNITS}; more in several releases");
        t.report_error(&t.location_of("units"), format!("{} units", units.len()), way_out);
    }
    let watch = t.duration_us("watch", Some(DEFAULT_WATCH));
    if !WATCH.contains(&watch) {
        t.report_error(&t.location_of("watch"), "is too short to see anything, or forgotten", "1 s to 24 h");
    }
    Plan {
        name: t.string("name", None),
        names: names.into_iter().map(|(name, _)| name).collect(),
        waves: waves(t, units.len()),
        units,
        watch,
        error: t.float("error", (1e-6, 0.2), Some(0.01)),
        build: t.contains_key("build").then(|| t.string("build", None)),
    }
}

/// The names of the units and their places in the file, with ranges of balancers expanded.
fn unit_names(t: &Table) -> Vec<(String, Location)> {
    let mut names: Vec<(String, Location)> = Vec::new();
    for (text, place) in t.strings("units") {
        match text.strip_prefix("balancer:").and_then(|numbers| numbers.split_once('-')) {
            Some((from, to)) => match (from.parse::<u16>(), to.parse::<u16>()) {
                (Ok(from), Ok(to)) if from <= to => {
                    names.extend((from..=to).map(|number| (format!("balancer:{number}"), place.clone())));
                }
                _ => t.report_error(&place, format!("{text:?} is no range"), "as in \"balancer:0-8\""),
            },
            None => names.push((text, place)),
        }
    }
    names
}

/// The units by their names, each checked.
fn units(t: &Table, names: &[(String, Location)], balancers: Option<usize>) -> Vec<Unit> {
    let mut units: Vec<Unit> = Vec::new();
    for (name, place) in names {
        let Some(unit) = unit(name) else {
            t.report_error(
                place,
                format!("{name:?} is no unit"),
                "balancer:NUMBER, balancer:FROM-TO or server:ID",
            );
            continue;
        };
        if let (Unit::Balancer(number), Some(all)) = (unit, balancers)
            && number as usize >= all
        {
            t.report_error(
                place,
                format!("the fleet has {all} balancers"),
                format!("0 to {}", all.saturating_sub(1)),
            );
        }
        if units.contains(&unit) {
            t.report_error(place, format!("{name} stands here twice"), "each unit once");
        }
        units.push(unit);
    }
    units
}

/// How many units have restarted when each wave is complete, each more than the one before; the last is all.
fn waves(t: &Table, all: usize) -> Vec<usize> {
    if !t.contains_key("waves") {
        // A first one alone, then a tenth, a half, and the rest.
        let mut waves: Vec<usize> = vec![1, all.div_ceil(10), all.div_ceil(2), all];
        waves.dedup();
        waves.retain(|wave| *wave <= all);
        return waves;
    }
    let mut waves: Vec<usize> = Vec::new();
    for (text, place) in t.strings("waves") {
        let count = match text.strip_suffix('%') {
            Some(part) => part.parse::<f64>().ok().filter(|part| *part > 0.0 && *part <= 100.0).map(|part| {
                // Rounded up, so that a small part of few units is one.
                ((part / 100.0 * all as f64).ceil() as usize).min(all)
            }),
            None => text.parse::<usize>().ok().filter(|count| (1..=all).contains(count)),
        };
        match count {
            None => t.report_error(&place, format!("{text:?} is no wave of {all}"), "as in \"1\" or \"25%\""),
            // Percentages of few units may round to the same count: that is one wave.
            Some(count) if waves.last() == Some(&count) && text.ends_with('%') => {}
            Some(count) if waves.last().is_some_and(|last| *last >= count) => {
                t.report_error(
                    &place,
                    format!("{count} have gone already"),
                    "each wave more than the one before",
                );
            }
            Some(count) => waves.push(count),
        }
    }
    if waves.last() != Some(&all) {
        t.report_error(&t.location_of("waves"), "the last wave leaves units behind", "\"100%\" at the end");
    }
    waves
}

/// A unit by its name: `balancer:NUMBER` or `server:ID`.
pub fn unit(name: &str) -> Option<Unit> {
    match name.split_once(':') {
        Some(("balancer", number)) => number.parse().ok().map(Unit::Balancer),
        Some(("server", id)) if !id.is_empty() => {
            Some(Unit::Server(whinspindle_deployment_settings::server_key(id.as_bytes())))
        }
        _ => None,
    }
}
