//! A run as text.

use std::fmt::Write;

use whinspindle_lab_scenario::{Ill, Scenario, Trouble};
use whinspindle_toml_config::units::format_duration;

use crate::{Row, Run};

/// Trouble in a few words.
pub fn ill_text(scenario: &Scenario, trouble: &Trouble) -> String {
    let whom = || {
        let servers = scenario.troubled(&trouble.whom).len();
        let tier = &scenario.tiers[trouble.whom.tier].name;
        let zone = trouble.whom.zone.map_or(String::new(), |zone| format!(" of {}", scenario.zones[zone]));
        format!("{servers} servers of {tier}{zone}")
    };
    let zone = |zone: &usize| scenario.zones[*zone].as_str();
    match &trouble.ill {
        Ill::Kill => format!("kill {}", whom()),
        Ill::Vanish => format!("vanish {}", whom()),
        Ill::Hang => format!("hang {}", whom()),
        Ill::Fail(part) => format!("{part} fail at {}", whom()),
        Ill::Slow(factor) => format!("{factor} times slower {}", whom()),
        Ill::Pause(time) => format!("pauses of {} at {}", format_duration(*time), whom()),
        Ill::Neighbour(part) => format!("a neighbour takes {part} of {}", whom()),
        Ill::Drain => format!("drain {}", whom()),
        Ill::Replace(_) => format!("replace {}", whom()),
        Ill::Join(count) => format!("{count} servers join"),
        Ill::Cut(a, b) => format!("cut {}-{}", zone(a), zone(b)),
        Ill::Loss(part) => format!("loss of {part}"),
        Ill::Resets(part) => format!("resets of {part}"),
        Ill::DiscoverySilent => "discovery is silent".to_string(),
        Ill::DiscoveryLate(by) => format!("discovery is late by {}", format_duration(*by)),
        Ill::DiscoveryForgets(part) => format!("discovery forgets {part}"),
        Ill::DiscoveryRepeats(_) => "discovery repeats an old list".to_string(),
        Ill::BalancerKill(of) => format!("kill {} balancers", of.len()),
        Ill::BalancerStop(of) => format!("stop {} balancers", of.len()),
        Ill::BalancerRestart(of) => format!("restart {} balancers", of.len()),
        Ill::BalancerReload(of) => format!("reload {} balancers", of.len()),
        Ill::PeerCut(of, ways) => format!("peers cut {ways:?} at {} balancers", of.len()),
        Ill::PeerLoss(part) => format!("peers lose {part}"),
        Ill::PeerRepeat(part) => format!("peers repeat {part}"),
        Ill::PeerDelay(by) => format!("peers late by {}", format_duration(*by)),
        Ill::PeerReorder(by) => format!("peers late by up to {}", format_duration(*by)),
        Ill::DiskLost(of) => format!("disks of {} balancers lost", of.len()),
        Ill::DiskBack(of) => format!("disks of {} balancers put back", of.len()),
        Ill::Release(release) => format!("release {:?} of {}", release.how, whom()),
        Ill::Surge(factor) => format!("load times {factor}"),
    }
}

fn rows(into: &mut String, title: &str, rows: &[Row]) {
    let _ = writeln!(
        into,
        "\n{title:<16} {:>8} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8} {:>8} {:>8}",
        "queries", "worth", "done", "tardy", "reject", "fail", "p50 ms", "p99 ms", "max ms"
    );
    for row in rows {
        let part = |count: u64| format!("{:.1}%", 100.0 * count as f64 / row.queries.max(1) as f64);
        let _ = writeln!(
            into,
            "{:<16} {:>8} {:>7.3} {:>7} {:>7} {:>7} {:>7} {:>8.1} {:>8.1} {:>8.1}",
            row.name,
            row.queries,
            row.worth,
            part(row.completed),
            part(row.tardy),
            part(row.rejected),
            part(row.failed),
            row.latency.p50,
            row.latency.p99,
            row.latency.max
        );
    }
}

/// A run as a table of some lines.
pub fn table(run: &Run) -> String {
    let mut text = String::new();
    let clock = if run.simulated { "simulated" } else { "real sockets" };
    let _ = writeln!(
        text,
        "{}: {} ({clock}), seed {}, {:.0} s of which {:.0} s count, digest {}",
        run.scenario, run.decided_by, run.seed, run.lasts_s, run.counted_s, run.digest
    );
    let all = Row {
        name: "clients".to_string(),
        queries: run.queries,
        completed: run.completed,
        tardy: run.tardy,
        rejected: run.rejected,
        failed: run.failed,
        worth: run.worth,
        latency: run.latency,
    };
    rows(&mut text, "", &[all]);
    for (title, list) in [
        ("tier", &run.tiers),
        ("product", &run.products),
        ("tenant", &run.tenants),
        ("balancer", &run.shapes),
    ] {
        if list.len() > 1 {
            rows(&mut text, title, list);
        }
    }
    let price = &run.price;
    let _ = writeln!(
        text,
        "\n{:.2} executions a query, {:.1}% crossings, {} handshakes, {} probes, {:.1}% of the work \
         wasted, {} further tries by clients, {:.0} server seconds choked, {} servers fallen",
        price.executions_a_query,
        100.0 * price.crossings,
        price.handshakes,
        price.probes,
        100.0 * price.wasted,
        price.client_retries,
        price.choked_s,
        price.fallen
    );
    let cost = &run.cost;
    if run.simulated {
        let _ = writeln!(
            text,
            "{} events in {:.1} s, {:.0} a second, {:.0} MB",
            cost.events, cost.wall_s, cost.events_a_second, cost.memory_mb
        );
    }
    if cost.balancer_memory_mb > 0.0 {
        let _ = writeln!(
            text,
            "each balancer at most {:.1} MB, {} descriptors, {:.0} us of CPU a query",
            cost.balancer_memory_mb, cost.balancer_descriptors, cost.balancer_cpu_us
        );
    }
    for note in &run.notes {
        let _ = writeln!(text, "note: {note}");
    }
    if let Some(void) = &run.void {
        let _ = writeln!(text, "THIS RUN DOES NOT COUNT: {void}");
    }
    text.push_str(&verdict(run));
    text
}

/// The referee's word.
pub fn verdict(run: &Run) -> String {
    let mut text = String::new();
    let verdict = &run.verdict;
    if verdict.is_clean() {
        let _ = writeln!(
            text,
            "referee: all four rules kept ({} queries, {} executions and {} cold starts looked at)",
            verdict.looked[0], verdict.looked[2], verdict.looked[3]
        );
        if verdict.fleet_looked > 0 {
            let _ = writeln!(text, "referee: the fleet's promises kept ({} decisions)", verdict.fleet_looked);
        }
        return text;
    }
    if let Some(broken) = &verdict.fleet {
        let _ = writeln!(text, "referee: BROKEN, a promise of the fleet: {broken}");
    }
    let _ = writeln!(
        text,
        "referee: BROKEN, rule 1 {} times, rule 2 {}, rule 3 {}, rule 4 {}",
        verdict.broken[0], verdict.broken[1], verdict.broken[2], verdict.broken[3]
    );
    for broken in verdict.breaks.iter().take(10) {
        let _ = writeln!(text, "  {broken}");
    }
    if verdict.breaks.len() > 10 {
        let _ = writeln!(text, "  and {} more", verdict.breaks.len() - 10);
    }
    text
}
