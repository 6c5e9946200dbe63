//! From the tables of a file to a scenario. Every check that looks at one value or at several stands here.

use whinspindle_toml_config::{Location, Table};

use crate::*;

const HOUR: u64 = 3_600_000_000;
const MOST_SERVERS: u64 = 20_000;

/// The index of a name, which must be one of those known.
fn named(table: &Table, key: &str, names: &[String], default: Option<usize>) -> usize {
    if !table.contains_key(key) && default.is_some() {
        return default.unwrap_or(0);
    }
    let name = table.string(key, None);
    find(table, &table.location_of(key), &name, names)
}

fn find(table: &Table, place: &Location, name: &str, names: &[String]) -> usize {
    names.iter().position(|known| known == name).unwrap_or_else(|| {
        if !name.is_empty() {
            table.report_error(
                place,
                format!("no such name: {name:?}"),
                format!("known: {}", names.join(", ")),
            );
        }
        0
    })
}

fn positive(table: &Table, key: &str, value: u64) -> u64 {
    if value == 0 {
        table.report_error(&table.location_of(key), "is nothing", "more than 0");
    }
    value.max(1)
}

fn unique(table: &Table, tables: &[Table], names: &[String]) {
    for (n, name) in names.iter().enumerate() {
        if names[..n].contains(name) {
            table.report_error(
                &tables[n].location_of("name"),
                format!("{name:?} is there twice"),
                "a name of its own",
            );
        }
    }
}

pub fn scenario(table: &Table) -> Scenario {
    let lasts = positive(table, "lasts", table.duration_us("lasts", Some(30_000_000)));
    if lasts > 24 * HOUR {
        table.report_error(&table.location_of("lasts"), "is longer than a day", "24h at most");
    }
    let warm_up = table.duration_us("warm-up", Some(0));
    if warm_up >= lasts {
        table.report_error(&table.location_of("warm-up"), "leaves nothing to count", "less than `lasts`");
    }
    let zones = zones(table);
    let kinds = kinds(table);
    let tiers = tiers(table, &zones, &kinds);
    let tier_names: Vec<String> = tiers.iter().map(|tier| tier.name.clone()).collect();
    let products = products(table, &tier_names);
    let tenants = tenants(table);
    let scenario = Scenario {
        name: table.string("name", None),
        shows: table.string("shows", None),
        seed: table.integer("seed", (0, u64::MAX), Some(1)),
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
    let zones: Vec<String> = table.strings("zones").into_iter().map(|(name, _)| name).collect();
    if zones.is_empty() {
        table.report_error(&table.location_of("zones"), "there is no zone", "zones = [\"a\"]");
        return vec![String::new()];
    }
    for (n, (name, place)) in table.strings("zones").iter().enumerate() {
        if zones[..n].contains(name) {
            table.report_error(place, format!("{name:?} is there twice"), "a name of its own for each zone");
        }
    }
    zones
}

fn network(table: &Table) -> Network {
    Network {
        near: table.duration_us("near", Some(150)),
        far: table.duration_us("far", Some(1_500)),
        spread: table.float("spread", (0.0, 1.0), Some(0.2)),
        loss: table.float("loss", (0.0, 0.9), Some(0.0)),
        resend: table.duration_us("resend", Some(200_000)),
        resets: table.float("resets", (0.0, 1.0), Some(0.0)),
    }
}

fn kinds(table: &Table) -> Vec<Kind> {
    let tables = table.tables("kind");
    let read = |t: &Table| {
        let cores = t.float("cores", (0.01, 1024.0), Some(4.0));
        let speed = t.float("speed", (0.001, 1000.0), Some(1.0));
        let slots = t.integer("slots", (1, 1_000_000), Some((2.0 * cores).ceil() as u64)) as usize;
        Kind {
            name: t.string("name", None),
            cores,
            speed,
            slots,
            room: t.integer("room", (0, 1_000_000), Some(4 * slots as u64)) as usize,
            listed: t.float("listed", (0.000_001, 1e6), Some(cores * speed)),
            choke: t.table("choke").map(|t| choke(&t)),
        }
    };
    let kinds: Vec<Kind> = tables.iter().map(read).collect();
    let names: Vec<String> = kinds.iter().map(|kind| kind.name.clone()).collect();
    unique(table, &tables, &names);
    if kinds.is_empty() {
        table.report_error(&table.location_of("kind"), "there is no kind of machine", "a table [[kind]]");
    }
    kinds
}

fn choke(table: &Table) -> Choke {
    let choke = Choke {
        at: table.float("at", (0.01, 1000.0), Some(2.0)),
        slows: table.float("slows", (1.0, 1000.0), Some(2.5)),
        idle: table.float("idle", (0.0, 10.0), Some(0.1)),
        rests: table.duration_us("rests", Some(3_000_000)),
    };
    if choke.idle >= choke.at {
        let way_out = format!("less than `at`, which is {}", choke.at);
        table.report_error(&table.location_of("idle"), "a choked machine would be idle at once", way_out);
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
            t.report_error(&t.location_of("servers"), "there are no servers", "a table [[tier.servers]]");
        }
        for key in ["balancers", "moved"].into_iter().filter(|key| n > 0 && t.contains_key(key)) {
            let way_out = "leave it out: each server of the tier before has one of its own";
            t.report_error(&t.location_of(key), "only the first tier has a number of balancers", way_out);
        }
        let balancers = t.integer("balancers", (1, 100_000), Some(1)) as usize;
        let moved = t.integer("moved", (0, 100_000), Some(0)) as usize;
        if moved > balancers {
            let way_out = format!("{balancers} at most");
            t.report_error(&t.location_of("moved"), "more balancers have moved than there are", &way_out);
        }
        tiers.push(Tier {
            name: t.string("name", None),
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
        table.report_error(&table.location_of("tier"), "there is no tier", "a table [[tier]]");
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
        table.strings("zones").iter().map(|(name, place)| find(table, place, name, zones)).collect();
    if over.is_empty() {
        over = (0..zones.len()).collect();
    }
    Servers {
        kind: named(table, "kind", kinds, None),
        count: table.integer("count", (1, MOST_SERVERS), None) as usize,
        zones: over,
    }
}

fn connections(table: &Table) -> Connections {
    Connections {
        cost: table.duration_us("cost", Some(2_000)),
        cap: table.integer("cap", (1, 1_000_000), Some(1_000)) as usize,
        idle: positive(table, "idle", table.duration_us("idle", Some(15_000_000))),
        time_out: positive(table, "time-out", table.duration_us("time-out", Some(250_000))),
    }
}

fn cold(table: &Table) -> Cold {
    Cold {
        from: table.float("from", (0.001, 1.0), Some(0.3)),
        lasts: table.duration_us("lasts", Some(8_000_000)),
        multiple: table.float("multiple", (1.0, 1000.0), Some(3.0)),
        tip_after: positive(table, "tip-after", table.duration_us("tip-after", Some(3_000_000))),
    }
}

fn reports(table: &Table) -> Reports {
    Reports {
        utilization: table.boolean("utilization", false),
        throughput: table.boolean("throughput", false),
        every: positive(table, "every", table.duration_us("every", Some(500_000))),
        noise: table.float("noise", (0.0, 1.0), Some(0.0)),
        absent: table.float("absent", (0.0, 1.0), Some(0.0)),
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
    let names: Vec<String> = tables.iter().map(|t| t.string("name", None)).collect();
    unique(table, &tables, &names);
    let mut products = Vec::new();
    for (t, name) in tables.iter().zip(&names) {
        let effects = [
            ("idempotent", Kept::Idempotent),
            ("deduplicated", Kept::Deduplicated),
            ("non-idempotent", Kept::NonIdempotent),
        ];
        let groups = [("all", ServerScope::All), ("zone", ServerScope::Zone), ("cell", ServerScope::Cell)];
        let effect = match t.one_of("effect", &effects, None) {
            Kept::Idempotent => Effect::Idempotent,
            Kept::Deduplicated => Effect::Deduplicated(t.one_of("group", &groups, Some(ServerScope::All))),
            Kept::NonIdempotent => Effect::NonIdempotent,
        };
        let deduplicated = matches!(effect, Effect::Deduplicated(_));
        for key in ["group", "memory"] {
            if !deduplicated && t.contains_key(key) {
                let way_out = "effect = \"deduplicated\", or leave it out";
                t.report_error(&t.location_of(key), "only deduplicated products have it", way_out);
            }
        }
        let slo_time = positive(t, "slo-time", t.duration_us("slo-time", Some(500_000)));
        let statement_timeout =
            positive(t, "statement-timeout", t.duration_us("statement-timeout", Some(4 * slo_time)));
        if statement_timeout < slo_time {
            let way_out = "at least the SLO time";
            t.report_error(&t.location_of("statement-timeout"), "is shorter than the SLO time", way_out);
        }
        let tier = named(t, "tier", tiers, Some(0));
        let calls = t.integer("calls", (0, 100), Some(0)) as usize;
        let calls_product = if calls > 0 {
            named(t, "calls-product", &names, None)
        } else {
            named(t, "calls-product", &names, Some(0))
        };
        products.push(Product {
            name: name.clone(),
            effect,
            memory: t.duration_us("memory", Some(if deduplicated { 5_000_000 } else { 0 })),
            importance: t.float("importance", (0.0, 1e6), Some(1.0)),
            slo_time,
            statement_timeout,
            tardy_importance: t.float("tardy-importance", (0.0, 1.0), Some(0.5)),
            tier,
            work: positive(t, "work", t.duration_us("work", Some(20_000))),
            varies: t.float("varies", (0.0, 20.0), Some(0.5)),
            calls,
            calls_product,
        });
    }
    for (t, product) in tables.iter().zip(&products) {
        let callee = products.get(product.calls_product).map_or(0, |callee| callee.tier);
        if product.calls > 0 && callee != product.tier + 1 {
            let fault = format!("is not answered by the tier behind {}", tiers[product.tier]);
            t.report_error(&t.location_of("calls-product"), fault, "a product of the next tier");
        }
    }
    if products.is_empty() {
        table.report_error(&table.location_of("product"), "there is no product", "a table [[product]]");
    }
    products
}

fn tenants(table: &Table) -> Vec<Tenant> {
    let tables = table.tables("tenant");
    let read = |t: &Table| Tenant {
        name: t.string("name", None),
        share: t.float("share", (0.0, 1e9), Some(1.0)),
        quota: t.rate_per_s("quota", Some(0.0)),
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
        executions: table.integer("executions", (1, 20), Some(3)) as usize,
        allow_hedging: table.boolean("second-copies", false),
        cancel: table.boolean("cancel", true),
        probes: table.boolean("probes", false),
        retry_after: table.duration_us("retry-after", Some(1_500_000)),
        slack: table.duration_us("slack", Some(20_000)),
        grace: table.duration_us("grace", Some(300_000)),
        crossing: table.float("crossing", (0.0, 1.0), Some(0.0)),
    }
}

fn route(table: &Table) -> Route {
    let time =
        |key: &str| table.contains_key(key).then(|| positive(table, key, table.duration_us(key, None)));
    Route {
        time: time("time"),
        execution_time: time("execution-time"),
        executions: table
            .contains_key("executions")
            .then(|| table.integer("executions", (1, 20), None) as usize),
        wait: table.duration_us("wait", Some(0)),
        spread: table.float("spread", (0.0, 10.0), Some(0.0)),
        hedge: time("second-copy"),
        budget: table.float("budget", (0.0, 100.0), Some(100.0)),
    }
}

fn discovery(table: &Table) -> Discovery {
    Discovery {
        delay: table.duration_us("delay", Some(100_000)),
        spread: table.float("spread", (0.0, 1.0), Some(0.5)),
        known: table.boolean("known", true),
    }
}

fn fleet(table: &Table, balancers: usize, lasts: u64) -> Option<Fleet> {
    let acts = table.tables("act");
    let Some(t) = table.table("fleet") else {
        if let Some(act) = acts.first() {
            table.report_error(&act.location(), "there is no fleet to act on", "a table [fleet]");
        }
        return None;
    };
    let last = balancers.saturating_sub(1) as u64;
    let act = |t: &Table| {
        let at = t.duration_us("at", None);
        if at >= lasts {
            t.report_error(&t.location_of("at"), "is after the end", "less than `lasts`");
        }
        let words: Vec<String> = t.strings("run").into_iter().map(|(word, _)| word).collect();
        let done = match (t.contains_key("policy"), words.is_empty()) {
            (true, true) => Deed::Propose(t.string("policy", None)),
            (false, false) => Deed::Run(words),
            _ => {
                let way_out = "a policy to propose, or run = [\"halt\", \"--why\", \"errors\"]";
                t.report_error(&t.location(), "has not one thing to do", way_out);
                Deed::Run(Vec::new())
            }
        };
        Act { at, balancer: t.integer("balancer", (0, last), Some(0)) as usize, done }
    };
    Some(Fleet {
        voters: t.integer("voters", (1, balancers.min(7) as u64), Some(balancers.min(3) as u64)) as usize,
        right: t.duration_us("right", Some(2_000_000)),
        keep: t.boolean("keep", false),
        begin_slowly: t.boolean("begin-slowly", true),
        acts: acts.iter().map(act).collect(),
    })
}

fn clients(table: &Table) -> Clients {
    Clients {
        retries: table.integer("retries", (0, 20), Some(0)) as usize,
        wait: table.duration_us("wait", Some(200_000)),
        spread: table.float("spread", (0.0, 1.0), Some(0.5)),
        follow_retry_after: table.boolean("follow-retry-after", true),
        marks: table.boolean("marks", true),
        leaves: table.float("leaves", (0.0, 1.0), Some(0.0)),
        favour: table.float("favour", (1.0, 100.0), Some(1.0)),
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
        let rate = t.rate_per_s("rate", None);
        let peak = t.rate_per_s("peak", Some(rate));
        let period = positive(t, "period", t.duration_us("period", Some(10_000_000)));
        let changes = matches!(shape, Shape::Bursts | Shape::Ramp | Shape::Swing);
        if changes && !t.contains_key("peak") {
            t.report_error(&t.location_of("peak"), "is missing", "the rate at its highest, as in \"200/s\"");
        }
        if !changes && t.contains_key("peak") {
            let way_out = "shape = \"bursts\", \"ramp\" or \"swing\"";
            t.report_error(&t.location_of("peak"), "this shape has no peak", way_out);
        }
        let until = t.duration_us("until", Some(lasts));
        let from = t.duration_us("from", Some(0));
        if from >= until {
            t.report_error(&t.location_of("from"), "is not before `until`", "an earlier time");
        }
        let product = named(t, "product", &product_names, Some(0));
        if products.get(product).is_some_and(|product| product.tier > 0) {
            t.report_error(
                &t.location_of("product"),
                "is not answered by the first tier",
                "a product of the first tier",
            );
        }
        let tenant = t.contains_key("tenant").then(|| named(t, "tenant", &tenant_names, None));
        loads.push(Load { product, tenant, rate, peak, period, shape, from, until });
    }
    if loads.is_empty() {
        table.report_error(&table.location_of("load"), "there is no load", "a table [[load]]");
    }
    loads
}

fn ranges(table: &Table) -> Vec<Range> {
    let Some(ranges) = table.table("ranges") else { return Vec::new() };
    let mut read = Vec::new();
    for (path, place) in ranges.keys() {
        let ends: Vec<String> = ranges.strings(&path).into_iter().map(|(end, _)| end).collect();
        match ends.as_slice() {
            [low, high] => {
                if let Err(fault) = change::between(low, high, 0.5) {
                    ranges.report_error(&place, fault, "two values of one unit, as in [\"50/s\", \"200/s\"]");
                }
                read.push(Range { path, low: low.clone(), high: high.clone() });
            }
            _ => ranges.report_error(&place, "has not two ends", "as in [\"50/s\", \"200/s\"]"),
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
    let at = t.duration_us("at", None);
    if at >= scenario.lasts {
        t.report_error(&t.location_of("at"), "comes after the end", "less than `lasts`");
    }
    let word = t.one_of("what", &WORDS, None);
    let part = |default| t.float("part", (0.0, 1.0), Some(default));
    let factor = |range, default| t.float("factor", range, Some(default));
    let ill = match word {
        Word::Kill => Ill::Kill,
        Word::Vanish => Ill::Vanish,
        Word::Hang => Ill::Hang,
        Word::Fail => Ill::Fail(factor((0.0, 1.0), 1.0)),
        Word::Slow => Ill::Slow(factor((1.0, 1e4), 4.0)),
        Word::Pause => Ill::Pause(positive(t, "pauses", t.duration_us("pauses", Some(500_000)))),
        Word::Neighbour => Ill::Neighbour(factor((0.0, 0.99), 0.5)),
        Word::Drain => Ill::Drain,
        Word::Replace => Ill::Replace(t.duration_us("ends", Some(2_000_000))),
        Word::Join => Ill::Join(t.integer("count", (1, MOST_SERVERS), None) as usize),
        Word::Cut => {
            let zones = t.strings("zones");
            let ends: Vec<usize> =
                zones.iter().map(|(name, place)| find(t, place, name, &scenario.zones)).collect();
            match ends.as_slice() {
                [a, b] if a != b => Ill::Cut(*a, *b),
                _ => {
                    t.report_error(&t.location_of("zones"), "names no two zones", "zones = [\"a\", \"b\"]");
                    Ill::Cut(0, 0)
                }
            }
        }
        Word::Loss => Ill::Loss(factor((0.0, 0.9), 0.1)),
        Word::Resets => Ill::Resets(factor((0.0, 1.0), 0.1)),
        Word::DiscoverySilent => Ill::DiscoverySilent,
        Word::DiscoveryLate => Ill::DiscoveryLate(t.duration_us("by", Some(2_000_000))),
        Word::DiscoveryForgets => Ill::DiscoveryForgets(part(0.3)),
        Word::DiscoveryRepeats => Ill::DiscoveryRepeats(t.duration_us("from-before", Some(5_000_000))),
        Word::BalancerKill => Ill::BalancerKill(balancers(t, scenario)),
        Word::BalancerStop => Ill::BalancerStop(balancers(t, scenario)),
        Word::BalancerRestart => Ill::BalancerRestart(balancers(t, scenario)),
        Word::BalancerReload => Ill::BalancerReload(balancers(t, scenario)),
        Word::PeerCut => Ill::PeerCut(balancers(t, scenario), t.one_of("ways", &WAYS, Some(Ways::Both))),
        Word::PeerLoss => Ill::PeerLoss(factor((0.0, 1.0), 0.1)),
        Word::PeerRepeat => Ill::PeerRepeat(factor((0.0, 1.0), 0.1)),
        Word::PeerDelay => Ill::PeerDelay(t.duration_us("by", Some(100_000))),
        Word::PeerReorder => Ill::PeerReorder(t.duration_us("by", Some(100_000))),
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
        t.report_error(&t.location_of("what"), "falls on a fleet, and there is none", "a table [fleet]");
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
        whom.zone = t.contains_key("zone").then(|| named(t, "zone", &scenario.zones, None));
        whom.part = part(1.0);
        let most = scenario.servers(whom.tier).len();
        whom.servers = numbers(t, "servers", most);
        if whom.servers.is_empty() && whom.zone.is_none() && !t.contains_key("part") {
            let way_out = "servers = [\"0\"], zone = \"a\", or part = 0.3";
            t.report_error(&t.location(), "falls on nobody by name", way_out);
        }
    }
    Trouble { at, lasts: t.duration_us("lasts", Some(scenario.lasts.saturating_sub(at))), ill, whom }
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
        most: t.integer("most", (1, MOST_SERVERS), Some(1)) as usize,
        every: t.duration_us("every", Some(10_000_000)),
        drains: t.duration_us("drains", Some(2_000_000)),
        watch: t.duration_us("watch", Some(5_000_000)),
        fails: t.float("fails", (0.0, 1.0), Some(0.0)),
        slow: t.float("slow", (1.0, 100.0), Some(1.0)),
        balancers: numbers(t, "balancers", scenario.tiers[0].balancers),
    }
}

/// Numbers of servers or balancers, written `"0"` or `"3-7"`.
fn numbers(t: &Table, key: &str, most: usize) -> Vec<usize> {
    let mut all = Vec::new();
    for (text, place) in t.strings(key) {
        let (from, to) = text.split_once('-').unwrap_or((&text, &text));
        match (from.trim().parse::<usize>(), to.trim().parse::<usize>()) {
            (Ok(from), Ok(to)) if from <= to && to < most => all.extend(from..=to),
            (Ok(_), Ok(_)) => t.report_error(
                &place,
                format!("{text:?} lies outside"),
                format!("numbers from 0 to {}", most.max(1) - 1),
            ),
            _ => t.report_error(&place, format!("{text:?} is no number"), "as in [\"0\", \"3-7\"]"),
        }
    }
    all.sort_unstable();
    all.dedup();
    all
}

fn balancers(t: &Table, scenario: &Scenario) -> Vec<usize> {
    let most = scenario.tiers[0].balancers;
    let all = numbers(t, "balancers", most);
    if all.is_empty() && !t.contains_key("balancers") { (0..most).collect() } else { all }
}
