//! From the tables of a file to a scenario. Every check that looks at one value or at several stands here.

use whinspindle_toml_config::{Place, Table};

use crate::*;

const HOUR: u64 = 3_600_000_000;
const MOST_SERVERS: u64 = 20_000;

/// The index of a name, which must be one of those known.
fn named(table: &Table, key: &str, names: &[String], default: Option<usize>) -> usize {
    if !table.holds(key) && default.is_some() {
        return default.unwrap_or(0);
    }
    let name = table.text(key, None);
    find(table, &table.place_of(key), &name, names)
}

fn find(table: &Table, place: &Place, name: &str, names: &[String]) -> usize {
    names.iter().position(|known| known == name).unwrap_or_else(|| {
        if !name.is_empty() {
            table.fault(place, format!("no such name: {name:?}"), format!("known: {}", names.join(", ")));
        }
        0
    })
}

fn positive(table: &Table, key: &str, value: u64) -> u64 {
    if value == 0 {
        table.fault(&table.place_of(key), "is nothing", "more than 0");
    }
    value.max(1)
}

fn unique(table: &Table, tables: &[Table], names: &[String]) {
    for (n, name) in names.iter().enumerate() {
        if names[..n].contains(name) {
            table.fault(&tables[n].place_of("name"), format!("{name:?} is there twice"), "a name of its own");
        }
    }
}

pub fn scenario(table: &Table) -> Scenario {
    let lasts = positive(table, "lasts", table.time("lasts", Some(30_000_000)));
    if lasts > 24 * HOUR {
        table.fault(&table.place_of("lasts"), "is longer than a day", "24h at most");
    }
    let warm_up = table.time("warm-up", Some(0));
    if warm_up >= lasts {
        table.fault(&table.place_of("warm-up"), "leaves nothing to count", "less than `lasts`");
    }
    let zones = zones(table);
    let kinds = kinds(table);
    let tiers = tiers(table, &zones, &kinds);
    let tier_names: Vec<String> = tiers.iter().map(|tier| tier.name.clone()).collect();
    let products = products(table, &tier_names);
    let tenants = tenants(table);
    let scenario = Scenario {
        name: table.text("name", None),
        shows: table.text("shows", None),
        seed: table.count("seed", (0, u64::MAX), Some(1)),
        lasts,
        warm_up,
        network: network(&table.table_or_defaults("network")),
        allowed: allowed(&table.table_or_defaults("allowed")),
        route: table.table("route").map(|t| route(&t)),
        discovery: discovery(&table.table_or_defaults("discovery")),
        clients: clients(&table.table_or_defaults("clients")),
        fleet: fleet(table, tiers[0].balancers, lasts),
        loads: loads(table, lasts, &products, &tenants),
        ranges: ranges(table),
        troubles: Vec::new(),
        zones,
        kinds,
        tiers,
        products,
        tenants,
    };
    let troubles = table.tables("trouble").iter().map(|t| trouble(t, &scenario)).collect();
    Scenario { troubles, ..scenario }
}

fn zones(table: &Table) -> Vec<String> {
    let zones: Vec<String> = table.texts("zones").into_iter().map(|(name, _)| name).collect();
    if zones.is_empty() {
        table.fault(&table.place_of("zones"), "there is no zone", "zones = [\"a\"]");
        return vec![String::new()];
    }
    for (n, (name, place)) in table.texts("zones").iter().enumerate() {
        if zones[..n].contains(name) {
            table.fault(place, format!("{name:?} is there twice"), "a name of its own for each zone");
        }
    }
    zones
}

fn network(table: &Table) -> Network {
    Network {
        near: table.time("near", Some(150)),
        far: table.time("far", Some(1_500)),
        spread: table.number("spread", (0.0, 1.0), Some(0.2)),
        loss: table.number("loss", (0.0, 0.9), Some(0.0)),
        resend: table.time("resend", Some(200_000)),
        resets: table.number("resets", (0.0, 1.0), Some(0.0)),
    }
}

fn kinds(table: &Table) -> Vec<Kind> {
    let tables = table.tables("kind");
    let read = |t: &Table| {
        let cores = t.number("cores", (0.01, 1024.0), Some(4.0));
        let speed = t.number("speed", (0.001, 1000.0), Some(1.0));
        let slots = t.count("slots", (1, 1_000_000), Some((2.0 * cores).ceil() as u64)) as usize;
        Kind {
            name: t.text("name", None),
            cores,
            speed,
            slots,
            room: t.count("room", (0, 1_000_000), Some(4 * slots as u64)) as usize,
            listed: t.number("listed", (0.000_001, 1e6), Some(cores * speed)),
            choke: t.table("choke").map(|t| choke(&t)),
        }
    };
    let kinds: Vec<Kind> = tables.iter().map(read).collect();
    let names: Vec<String> = kinds.iter().map(|kind| kind.name.clone()).collect();
    unique(table, &tables, &names);
    if kinds.is_empty() {
        table.fault(&table.place_of("kind"), "there is no kind of machine", "a table [[kind]]");
    }
    kinds
}

fn choke(table: &Table) -> Choke {
    let choke = Choke {
        at: table.number("at", (0.01, 1000.0), Some(2.0)),
        slows: table.number("slows", (1.0, 1000.0), Some(2.5)),
        idle: table.number("idle", (0.0, 10.0), Some(0.1)),
        rests: table.time("rests", Some(3_000_000)),
    };
    if choke.idle >= choke.at {
        let way_out = format!("less than `at`, which is {}", choke.at);
        table.fault(&table.place_of("idle"), "a choked machine would be idle at once", way_out);
    }
    choke
}

fn tiers(table: &Table, zones: &[String], kinds: &[Kind]) -> Vec<Tier> {
    let tables = table.tables("tier");
    let kind_names: Vec<String> = kinds.iter().map(|kind| kind.name.clone()).collect();
    let mut tiers: Vec<Tier> = Vec::new();
    for (n, t) in tables.iter().enumerate() {
        let groups = t.tables("servers");
        let servers = groups.iter().map(|group| servers(group, zones, &kind_names)).collect::<Vec<_>>();
        if servers.is_empty() {
            t.fault(&t.place_of("servers"), "there are no servers", "a table [[tier.servers]]");
        }
        for key in ["balancers", "moved"].into_iter().filter(|key| n > 0 && t.holds(key)) {
            let way_out = "leave it out: each server of the tier before has one of its own";
            t.fault(&t.place_of(key), "only the first tier has a number of balancers", way_out);
        }
        let balancers = t.count("balancers", (1, 100_000), Some(1)) as usize;
        let moved = t.count("moved", (0, 100_000), Some(0)) as usize;
        if moved > balancers {
            let way_out = format!("{balancers} at most");
            t.fault(&t.place_of("moved"), "more balancers have moved than there are", &way_out);
        }
        tiers.push(Tier {
            name: t.text("name", None),
            balancers,
            moved,
            servers,
            connections: connections(&t.table_or_defaults("connections")),
            cold: cold(&t.table_or_defaults("cold")),
            reports: reports(&t.table_or_defaults("reports")),
        });
    }
    let names: Vec<String> = tiers.iter().map(|tier| tier.name.clone()).collect();
    unique(table, &tables, &names);
    if tiers.is_empty() {
        table.fault(&table.place_of("tier"), "there is no tier", "a table [[tier]]");
        tiers.push(Tier {
            name: String::new(),
            balancers: 1,
            moved: 0,
            servers: Vec::new(),
            connections: connections(&table.table_or_defaults("tier")),
            cold: cold(&table.table_or_defaults("tier")),
            reports: reports(&table.table_or_defaults("tier")),
        });
    }
    tiers
}

fn servers(table: &Table, zones: &[String], kinds: &[String]) -> Servers {
    let mut over: Vec<usize> =
        table.texts("zones").iter().map(|(name, place)| find(table, place, name, zones)).collect();
    if over.is_empty() {
        over = (0..zones.len()).collect();
    }
    Servers {
        kind: named(table, "kind", kinds, None),
        count: table.count("count", (1, MOST_SERVERS), None) as usize,
        zones: over,
    }
}

fn connections(table: &Table) -> Connections {
    Connections {
        cost: table.time("cost", Some(2_000)),
        cap: table.count("cap", (1, 1_000_000), Some(1_000)) as usize,
        idle: positive(table, "idle", table.time("idle", Some(15_000_000))),
        time_out: positive(table, "time-out", table.time("time-out", Some(250_000))),
    }
}

fn cold(table: &Table) -> Cold {
    Cold {
        from: table.number("from", (0.001, 1.0), Some(0.3)),
        lasts: table.time("lasts", Some(8_000_000)),
        multiple: table.number("multiple", (1.0, 1000.0), Some(3.0)),
        tip_after: positive(table, "tip-after", table.time("tip-after", Some(3_000_000))),
    }
}

fn reports(table: &Table) -> Reports {
    Reports {
        utilization: table.flag("utilization", false),
        throughput: table.flag("throughput", false),
        every: positive(table, "every", table.time("every", Some(500_000))),
        noise: table.number("noise", (0.0, 1.0), Some(0.0)),
        absent: table.number("absent", (0.0, 1.0), Some(0.0)),
    }
}

#[derive(Clone, Copy)]
enum Kept {
    Idempotent,
    Deduplicated,
    NonIdempotent,
}

fn products(table: &Table, tiers: &[String]) -> Vec<Product> {
    let tables = table.tables("product");
    let names: Vec<String> = tables.iter().map(|t| t.text("name", None)).collect();
    unique(table, &tables, &names);
    let mut products = Vec::new();
    for (t, name) in tables.iter().zip(&names) {
        let effects = [
            ("idempotent", Kept::Idempotent),
            ("deduplicated", Kept::Deduplicated),
            ("non-idempotent", Kept::NonIdempotent),
        ];
        let groups = [("all", Group::All), ("zone", Group::Zone), ("cell", Group::Cell)];
        let effect = match t.one_of("effect", &effects, None) {
            Kept::Idempotent => Effect::Idempotent,
            Kept::Deduplicated => Effect::Deduplicated(t.one_of("group", &groups, Some(Group::All))),
            Kept::NonIdempotent => Effect::NonIdempotent,
        };
        let deduplicated = matches!(effect, Effect::Deduplicated(_));
        for key in ["group", "memory"] {
            if !deduplicated && t.holds(key) {
                let way_out = "effect = \"deduplicated\", or leave it out";
                t.fault(&t.place_of(key), "only deduplicated products have it", way_out);
            }
        }
        let slo_time = positive(t, "slo-time", t.time("slo-time", Some(500_000)));
        let statement_timeout =
            positive(t, "statement-timeout", t.time("statement-timeout", Some(4 * slo_time)));
        if statement_timeout < slo_time {
            let way_out = "at least the SLO time";
            t.fault(&t.place_of("statement-timeout"), "is shorter than the SLO time", way_out);
        }
        let tier = named(t, "tier", tiers, Some(0));
        let calls = t.count("calls", (0, 100), Some(0)) as usize;
        let calls_product = if calls > 0 {
            named(t, "calls-product", &names, None)
        } else {
            named(t, "calls-product", &names, Some(0))
        };
        products.push(Product {
            name: name.clone(),
            effect,
            memory: t.time("memory", Some(if deduplicated { 5_000_000 } else { 0 })),
            importance: t.number("importance", (0.0, 1e6), Some(1.0)),
            slo_time,
            statement_timeout,
            tardy_importance: t.number("tardy-importance", (0.0, 1.0), Some(0.5)),
            tier,
            work: positive(t, "work", t.time("work", Some(20_000))),
            varies: t.number("varies", (0.0, 20.0), Some(0.5)),
            calls,
            calls_product,
        });
    }
    for (t, product) in tables.iter().zip(&products) {
        let callee = products.get(product.calls_product).map_or(0, |callee| callee.tier);
        if product.calls > 0 && callee != product.tier + 1 {
            let fault = format!("is not answered by the tier behind {}", tiers[product.tier]);
            t.fault(&t.place_of("calls-product"), fault, "a product of the next tier");
        }
    }
    if products.is_empty() {
        table.fault(&table.place_of("product"), "there is no product", "a table [[product]]");
    }
    products
}

fn tenants(table: &Table) -> Vec<Tenant> {
    let tables = table.tables("tenant");
    let read = |t: &Table| Tenant {
        name: t.text("name", None),
        share: t.number("share", (0.0, 1e9), Some(1.0)),
        quota: t.rate("quota", Some(0.0)),
    };
    let tenants: Vec<Tenant> = tables.iter().map(read).collect();
    let names: Vec<String> = tenants.iter().map(|tenant| tenant.name.clone()).collect();
    unique(table, &tables, &names);
    if tenants.is_empty() {
        return vec![Tenant { name: "all".to_string(), share: 1.0, quota: 0.0 }];
    }
    tenants
}

fn allowed(table: &Table) -> Allowed {
    Allowed {
        executions: table.count("executions", (1, 20), Some(3)) as usize,
        allow_hedging: table.flag("second-copies", false),
        cancel: table.flag("cancel", true),
        probes: table.flag("probes", false),
        retry_after: table.time("retry-after", Some(1_500_000)),
        slack: table.time("slack", Some(20_000)),
        grace: table.time("grace", Some(300_000)),
        crossing: table.number("crossing", (0.0, 1.0), Some(0.0)),
    }
}

fn route(table: &Table) -> Route {
    let time = |key: &str| table.holds(key).then(|| positive(table, key, table.time(key, None)));
    Route {
        time: time("time"),
        execution_time: time("execution-time"),
        executions: table.holds("executions").then(|| table.count("executions", (1, 20), None) as usize),
        wait: table.time("wait", Some(0)),
        spread: table.number("spread", (0.0, 10.0), Some(0.0)),
        hedge: time("second-copy"),
        budget: table.number("budget", (0.0, 100.0), Some(100.0)),
    }
}

fn discovery(table: &Table) -> Discovery {
    Discovery {
        delay: table.time("delay", Some(100_000)),
        spread: table.number("spread", (0.0, 1.0), Some(0.5)),
        known: table.flag("known", true),
    }
}

fn fleet(table: &Table, balancers: usize, lasts: u64) -> Option<Fleet> {
    let acts = table.tables("act");
    let Some(t) = table.table("fleet") else {
        if let Some(act) = acts.first() {
            table.fault(&act.place(), "there is no fleet to act on", "a table [fleet]");
        }
        return None;
    };
    let last = balancers.saturating_sub(1) as u64;
    let act = |t: &Table| {
        let at = t.time("at", None);
        if at >= lasts {
            t.fault(&t.place_of("at"), "is after the end", "less than `lasts`");
        }
        let words: Vec<String> = t.texts("run").into_iter().map(|(word, _)| word).collect();
        let done = match (t.holds("policy"), words.is_empty()) {
            (true, true) => Deed::Propose(t.text("policy", None)),
            (false, false) => Deed::Run(words),
            _ => {
                let way_out = "a policy to propose, or run = [\"halt\", \"--why\", \"errors\"]";
                t.fault(&t.place(), "has not one thing to do", way_out);
                Deed::Run(Vec::new())
            }
        };
        Act { at, balancer: t.count("balancer", (0, last), Some(0)) as usize, done }
    };
    Some(Fleet {
        voters: t.count("voters", (1, balancers.min(7) as u64), Some(balancers.min(3) as u64)) as usize,
        right: t.time("right", Some(2_000_000)),
        keep: t.flag("keep", false),
        begin_slowly: t.flag("begin-slowly", true),
        acts: acts.iter().map(act).collect(),
    })
}

fn clients(table: &Table) -> Clients {
    Clients {
        retries: table.count("retries", (0, 20), Some(0)) as usize,
        wait: table.time("wait", Some(200_000)),
        spread: table.number("spread", (0.0, 1.0), Some(0.5)),
        follow_retry_after: table.flag("follow-retry-after", true),
        marks: table.flag("marks", true),
        leaves: table.number("leaves", (0.0, 1.0), Some(0.0)),
        favour: table.number("favour", (1.0, 100.0), Some(1.0)),
    }
}

fn loads(table: &Table, lasts: u64, products: &[Product], tenants: &[Tenant]) -> Vec<Load> {
    let tables = table.tables("load");
    let product_names: Vec<String> = products.iter().map(|product| product.name.clone()).collect();
    let tenant_names: Vec<String> = tenants.iter().map(|tenant| tenant.name.clone()).collect();
    let shapes = [
        ("steady", Shape::Steady),
        ("poisson", Shape::Poisson),
        ("bursts", Shape::Bursts),
        ("ramp", Shape::Ramp),
        ("swing", Shape::Swing),
    ];
    let mut loads = Vec::new();
    for t in &tables {
        let shape = t.one_of("shape", &shapes, Some(Shape::Poisson));
        let rate = t.rate("rate", None);
        let peak = t.rate("peak", Some(rate));
        let period = positive(t, "period", t.time("period", Some(10_000_000)));
        let changes = matches!(shape, Shape::Bursts | Shape::Ramp | Shape::Swing);
        if changes && !t.holds("peak") {
            t.fault(&t.place_of("peak"), "is missing", "the rate at its highest, as in \"200/s\"");
        }
        if !changes && t.holds("peak") {
            let way_out = "shape = \"bursts\", \"ramp\" or \"swing\"";
            t.fault(&t.place_of("peak"), "this shape has no peak", way_out);
        }
        let until = t.time("until", Some(lasts));
        let from = t.time("from", Some(0));
        if from >= until {
            t.fault(&t.place_of("from"), "is not before `until`", "an earlier time");
        }
        let product = named(t, "product", &product_names, Some(0));
        if products.get(product).is_some_and(|product| product.tier > 0) {
            t.fault(
                &t.place_of("product"),
                "is not answered by the first tier",
                "a product of the first tier",
            );
        }
        let tenant = t.holds("tenant").then(|| named(t, "tenant", &tenant_names, None));
        loads.push(Load { product, tenant, rate, peak, period, shape, from, until });
    }
    if loads.is_empty() {
        table.fault(&table.place_of("load"), "there is no load", "a table [[load]]");
    }
    loads
}

fn ranges(table: &Table) -> Vec<Range> {
    let Some(ranges) = table.table("ranges") else { return Vec::new() };
    let mut read = Vec::new();
    for (path, place) in ranges.keys() {
        let ends: Vec<String> = ranges.texts(&path).into_iter().map(|(end, _)| end).collect();
        match ends.as_slice() {
            [low, high] => {
                if let Err(fault) = change::between(low, high, 0.5) {
                    ranges.fault(&place, fault, "two values of one unit, as in [\"50/s\", \"200/s\"]");
                }
                read.push(Range { path, low: low.clone(), high: high.clone() });
            }
            _ => ranges.fault(&place, "has not two ends", "as in [\"50/s\", \"200/s\"]"),
        }
    }
    read
}

#[derive(Clone, Copy, PartialEq)]
enum Word {
    Kill,
    Vanish,
    Hang,
    Fail,
    Slow,
    Pause,
    Neighbour,
    Drain,
    Replace,
    Join,
    Cut,
    Loss,
    Resets,
    DiscoverySilent,
    DiscoveryLate,
    DiscoveryForgets,
    DiscoveryRepeats,
    BalancerKill,
    BalancerStop,
    BalancerRestart,
    BalancerReload,
    PeerCut,
    PeerLoss,
    PeerRepeat,
    PeerDelay,
    PeerReorder,
    DiskLost,
    DiskBack,
    Release,
    Surge,
}

const WAYS: [(&str, Ways); 3] = [("both", Ways::Both), ("out", Ways::Out), ("in", Ways::In)];

const WORDS: [(&str, Word); 30] = [
    ("kill", Word::Kill),
    ("vanish", Word::Vanish),
    ("hang", Word::Hang),
    ("fail", Word::Fail),
    ("slow", Word::Slow),
    ("pause", Word::Pause),
    ("neighbour", Word::Neighbour),
    ("drain", Word::Drain),
    ("replace", Word::Replace),
    ("join", Word::Join),
    ("cut", Word::Cut),
    ("loss", Word::Loss),
    ("resets", Word::Resets),
    ("discovery-silent", Word::DiscoverySilent),
    ("discovery-late", Word::DiscoveryLate),
    ("discovery-forgets", Word::DiscoveryForgets),
    ("discovery-repeats", Word::DiscoveryRepeats),
    ("balancer-kill", Word::BalancerKill),
    ("balancer-stop", Word::BalancerStop),
    ("balancer-restart", Word::BalancerRestart),
    ("balancer-reload", Word::BalancerReload),
    ("peer-cut", Word::PeerCut),
    ("peer-loss", Word::PeerLoss),
    ("peer-repeat", Word::PeerRepeat),
    ("peer-delay", Word::PeerDelay),
    ("peer-reorder", Word::PeerReorder),
    ("disk-lost", Word::DiskLost),
    ("disk-back", Word::DiskBack),
    ("release", Word::Release),
    ("surge", Word::Surge),
];

fn trouble(t: &Table, scenario: &Scenario) -> Trouble {
    let at = t.time("at", None);
    if at >= scenario.lasts {
        t.fault(&t.place_of("at"), "comes after the end", "less than `lasts`");
    }
    let word = t.one_of("what", &WORDS, None);
    let part = |default| t.number("part", (0.0, 1.0), Some(default));
    let factor = |range, default| t.number("factor", range, Some(default));
    let ill = match word {
        Word::Kill => Ill::Kill,
        Word::Vanish => Ill::Vanish,
        Word::Hang => Ill::Hang,
        Word::Fail => Ill::Fail(factor((0.0, 1.0), 1.0)),
        Word::Slow => Ill::Slow(factor((1.0, 1e4), 4.0)),
        Word::Pause => Ill::Pause(positive(t, "pauses", t.time("pauses", Some(500_000)))),
        Word::Neighbour => Ill::Neighbour(factor((0.0, 0.99), 0.5)),
        Word::Drain => Ill::Drain,
        Word::Replace => Ill::Replace(t.time("ends", Some(2_000_000))),
        Word::Join => Ill::Join(t.count("count", (1, MOST_SERVERS), None) as usize),
        Word::Cut => {
            let zones = t.texts("zones");
            let ends: Vec<usize> =
                zones.iter().map(|(name, place)| find(t, place, name, &scenario.zones)).collect();
            match ends.as_slice() {
                [a, b] if a != b => Ill::Cut(*a, *b),
                _ => {
                    t.fault(&t.place_of("zones"), "names no two zones", "zones = [\"a\", \"b\"]");
                    Ill::Cut(0, 0)
                }
            }
        }
        Word::Loss => Ill::Loss(factor((0.0, 0.9), 0.1)),
        Word::Resets => Ill::Resets(factor((0.0, 1.0), 0.1)),
        Word::DiscoverySilent => Ill::DiscoverySilent,
        Word::DiscoveryLate => Ill::DiscoveryLate(t.time("by", Some(2_000_000))),
        Word::DiscoveryForgets => Ill::DiscoveryForgets(part(0.3)),
        Word::DiscoveryRepeats => Ill::DiscoveryRepeats(t.time("from-before", Some(5_000_000))),
        Word::BalancerKill => Ill::BalancerKill(balancers(t, scenario)),
        Word::BalancerStop => Ill::BalancerStop(balancers(t, scenario)),
        Word::BalancerRestart => Ill::BalancerRestart(balancers(t, scenario)),
        Word::BalancerReload => Ill::BalancerReload(balancers(t, scenario)),
        Word::PeerCut => Ill::PeerCut(balancers(t, scenario), t.one_of("ways", &WAYS, Some(Ways::Both))),
        Word::PeerLoss => Ill::PeerLoss(factor((0.0, 1.0), 0.1)),
        Word::PeerRepeat => Ill::PeerRepeat(factor((0.0, 1.0), 0.1)),
        Word::PeerDelay => Ill::PeerDelay(t.time("by", Some(100_000))),
        Word::PeerReorder => Ill::PeerReorder(t.time("by", Some(100_000))),
        Word::DiskLost => Ill::DiskLost(balancers(t, scenario)),
        Word::DiskBack => Ill::DiskBack(balancers(t, scenario)),
        Word::Release => Ill::Release(release(t, scenario)),
        Word::Surge => Ill::Surge(factor((0.0, 1000.0), 2.0)),
    };
    let of_fleet = matches!(
        word,
        Word::PeerCut
            | Word::PeerLoss
            | Word::PeerRepeat
            | Word::PeerDelay
            | Word::PeerReorder
            | Word::DiskLost
            | Word::DiskBack
    );
    if of_fleet && scenario.fleet.is_none() {
        t.fault(&t.place_of("what"), "falls on a fleet, and there is none", "a table [fleet]");
    }
    let of_servers = matches!(
        word,
        Word::Kill
            | Word::Vanish
            | Word::Hang
            | Word::Fail
            | Word::Slow
            | Word::Pause
            | Word::Neighbour
            | Word::Drain
            | Word::Replace
            | Word::Release
    );
    let mut whom = Whom { tier: 0, servers: Vec::new(), zone: None, part: 1.0 };
    if of_servers || word == Word::Join {
        let tiers: Vec<String> = scenario.tiers.iter().map(|tier| tier.name.clone()).collect();
        whom.tier = named(t, "tier", &tiers, Some(0));
    }
    if of_servers {
        whom.zone = t.holds("zone").then(|| named(t, "zone", &scenario.zones, None));
        whom.part = part(1.0);
        let most = scenario.servers(whom.tier).len();
        whom.servers = numbers(t, "servers", most);
        if whom.servers.is_empty() && whom.zone.is_none() && !t.holds("part") {
            let way_out = "servers = [\"0\"], zone = \"a\", or part = 0.3";
            t.fault(&t.place(), "falls on nobody by name", way_out);
        }
    }
    Trouble { at, lasts: t.time("lasts", Some(scenario.lasts.saturating_sub(at))), ill, whom }
}

const HOWS: [(&str, How); 4] = [
    ("agreed", How::Agreed),
    ("at-once", How::AtOnce),
    ("batches", How::Batches),
    ("one-by-one", How::OneByOne),
];

fn release(t: &Table, scenario: &Scenario) -> Release {
    Release {
        how: t.one_of("how", &HOWS, Some(How::Agreed)),
        most: t.count("most", (1, MOST_SERVERS), Some(1)) as usize,
        every: t.time("every", Some(10_000_000)),
        drains: t.time("drains", Some(2_000_000)),
        watch: t.time("watch", Some(5_000_000)),
        fails: t.number("fails", (0.0, 1.0), Some(0.0)),
        slow: t.number("slow", (1.0, 100.0), Some(1.0)),
        balancers: numbers(t, "balancers", scenario.tiers[0].balancers),
    }
}

/// Numbers of servers or balancers, written `"0"` or `"3-7"`.
fn numbers(t: &Table, key: &str, most: usize) -> Vec<usize> {
    let mut all = Vec::new();
    for (text, place) in t.texts(key) {
        let (from, to) = text.split_once('-').unwrap_or((&text, &text));
        match (from.trim().parse::<usize>(), to.trim().parse::<usize>()) {
            (Ok(from), Ok(to)) if from <= to && to < most => all.extend(from..=to),
            (Ok(_), Ok(_)) => t.fault(
                &place,
                format!("{text:?} lies outside"),
                format!("numbers from 0 to {}", most.max(1) - 1),
            ),
            _ => t.fault(&place, format!("{text:?} is no number"), "as in [\"0\", \"3-7\"]"),
        }
    }
    all.sort_unstable();
    all.dedup();
    all
}

fn balancers(t: &Table, scenario: &Scenario) -> Vec<usize> {
    let most = scenario.tiers[0].balancers;
    let all = numbers(t, "balancers", most);
    if all.is_empty() && !t.holds("balancers") { (0..most).collect() } else { all }
}
