//! The real balancers: one process each, started with the configuration that the platform would give it.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;
use whinspindle::host::{Effect, ServerScope};

use crate::discovery;
use crate::state::Stage;

/// What a balancer may hold; far more than it needs, as the limits are not what is tried here.
const MEMORY_MB: u64 = 256;
const SOCKETS: u64 = 4096;

pub struct Process {
    child: Child,
    /// CPU time used, as read last.
    cpu_us: f64,
}

fn free_address() -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|fault| fault.to_string())?;
    listener.local_addr().map_err(|fault| fault.to_string())
}

pub async fn start_all(stage: &Rc<Stage>) -> Result<(), String> {
    let count = stage.world.borrow().nodes.len();
    // Datagrams arrive where no other process picks a port: one that is free for connections may be another's
    // for these.
    let stand = whinspindle_lab_fault_proxies::next_stand();
    for node in 0..count {
        let listen = free_address()?;
        let peer_listen = whinspindle_lab_fault_proxies::address(stand, node % 250, 2 + (node / 250) as u16);
        let mut world = stage.world.borrow_mut();
        (world.nodes[node].listen, world.nodes[node].peer_listen) = (listen, peer_listen);
    }
    crate::fleet::lay(stage)?;
    (0..count).try_for_each(|node| start(stage, node))
}

/// Starts the program; its log goes to a file of its own.
pub fn start(stage: &Stage, node: usize) -> Result<(), String> {
    let tier = stage.world.borrow().nodes[node].tier;
    let news = stage.world.borrow().tiers[tier].registry.full_list();
    let configuration = configuration(stage, node, &discovery::line(stage, node, &news));
    let config = stage.folder.join(format!("n{node}.json"));
    std::fs::write(&config, configuration.to_string()).map_err(|fault| fault.to_string())?;
    let log = File::options().create(true).append(true).open(stage.folder.join(format!("n{node}.log")));
    let log = log.map_err(|fault| fault.to_string())?;
    discovery::told(stage, node, &news);
    let mut command = Command::new(&stage.program);
    if let Some(file) = crate::fleet::operator(stage, node)? {
        command.args(["run", "--operator"]).arg(file);
    }
    let child = command
        .env("ROUTER_CONFIG", &config)
        .env("ROUTER_NAME", format!("n{node}"))
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
        .map_err(|fault| format!("{}: {fault}", stage.program.display()))?;
    let mut world = stage.world.borrow_mut();
    let n = &mut world.nodes[node];
    n.process = Some(Process { child, cpu_us: 0.0 });
    n.may_end = false;
    n.incarnation += 1;
    Ok(())
}

fn configuration(stage: &Stage, node: usize, known: &str) -> Value {
    let scenario = &stage.scenario;
    let world = stage.world.borrow();
    let n = &world.nodes[node];
    let tier = &scenario.tiers[n.tier];
    let ns = |us: u64| us * 1000;
    let products: Vec<Value> = scenario
        .products
        .iter()
        .map(|product| {
            let (effect, scope) = match product.effect {
                Effect::Idempotent => ("safe", Value::Null),
                Effect::NonIdempotent => ("unsafe", Value::Null),
                Effect::Deduplicated(ServerScope::All) => ("keyed", json!("all")),
                Effect::Deduplicated(ServerScope::Zone) => ("keyed", json!("zone")),
                Effect::Deduplicated(ServerScope::Cell) => ("keyed", json!("cell")),
            };
            json!({"name": product.name, "effect": effect, "keyScope": scope,
                "memorySpanNs": ns(product.memory), "importance": product.importance,
                "sloTimeNs": ns(product.slo_time), "statementTimeoutNs": ns(product.statement_timeout),
                "tardyImportance": product.tardy_importance})
        })
        .collect();
    let tenants: Vec<Value> = scenario
        .tenants
        .iter()
        .map(|tenant| json!({"name": tenant.name, "quotaPerS": tenant.quota, "share": tenant.share}))
        .collect();
    let mut columns = Vec::new();
    columns.extend(tier.reports.utilization.then_some("utilization"));
    columns.extend(tier.reports.throughput.then_some("throughput"));
    let moved = node < tier.moved;
    columns.extend(moved.then_some("outstanding"));
    let kinds: Vec<&str> = scenario.kinds.iter().map(|kind| kind.name.as_str()).collect();
    let allowed = &scenario.allowed;
    let seed =
        scenario.seed.wrapping_mul(1_000_003).wrapping_add(node as u64 + 977 * u64::from(n.incarnation));
    let of_tier = world.nodes.iter().filter(|other| other.tier == n.tier);
    let peers: Vec<String> = match stage.between.borrow().as_ref().filter(|_| n.tier == 0) {
        Some(between) => between.relays.peers_of(node).iter().map(ToString::to_string).collect(),
        None => of_tier.map(|other| other.peer_listen.to_string()).collect(),
    };
    let is_told = n.incarnation == 0 || scenario.discovery.known;
    let known: Value = serde_json::from_str(known).ok().filter(|_| is_told).unwrap_or(Value::Null);
    json!({"name": format!("n{node}"), "listen": n.listen.to_string(), "discovery": n.discovery.to_string(),
        "seed": format!("{seed:016x}"), "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "peers": peers, "peer_listen": n.peer_listen.to_string(), "known": known,
        "settings": {"balancers": scenario.balancers(n.tier), "rank": node, "tier": n.tier,
            "zones": scenario.zones, "locality": n.zone, "kinds": kinds, "membershipMode": "pushed",
            "tickNs": 1_000_000, "products": products, "projects": tenants,
            "limits": {"cancel": allowed.cancel, "connIdleNs": ns(tier.connections.idle),
                "connectTimeoutNs": ns(tier.connections.time_out), "mostExecutions": allowed.executions,
                "maxRetryAfterNs": ns(allowed.retry_after), "retryAfter": allowed.retry_after > 0,
                "probes": allowed.probes, "secondCopies": allowed.allow_hedging,
                "streamsPerConn": if moved { 100 } else { 1 }},
            "loadInfo": {"columns": columns, "how": if moved { "pull" } else { "piggyback" }},
            "deductions": {"crossZone": allowed.crossing, "lateFail": if allowed.probes { 0.02 } else { 0.0 }},
            "obligations": {"answerSlackNs": ns(allowed.slack), "coldFrom": tier.cold.from,
                "coldNs": ns(tier.cold.lasts), "fallMultiple": tier.cold.multiple,
                "stopSendingWithinNs": ns(allowed.grace), "tipAfterNs": ns(tier.cold.tip_after)}}})
}

/// Sends a signal to a balancer's process.
pub fn signal(stage: &Stage, node: usize, name: &str) {
    let id = stage.world.borrow().nodes[node].process.as_ref().map(|process| process.child.id());
    if let Some(id) = id {
        let _ = Command::new("kill").args(["-s", name, &id.to_string()]).status();
    }
}

/// Kills a balancer outright: what it held is its clients' to repeat.
pub fn kill(stage: &Stage, node: usize) {
    let now = stage.now();
    let mut world = stage.world.borrow_mut();
    let world = &mut *world;
    world.checker.balancer_ended(now, node);
    let n = &mut world.nodes[node];
    n.may_end = true;
    n.incarnation += 1;
    n.idle.clear();
    if let Some(mut process) = n.process.take() {
        let _ = process.child.kill();
        let _ = process.child.wait();
    }
}

/// Whether the process of a balancer has ended by itself.
pub fn has_ended(stage: &Stage, node: usize) -> bool {
    let mut world = stage.world.borrow_mut();
    let process = world.nodes[node].process.as_mut();
    process.is_none_or(|process| !matches!(process.child.try_wait(), Ok(None)))
}

/// Watches the processes: ends that nobody ordered, memory, descriptors, CPU time.
pub async fn guard(stage: Rc<Stage>) {
    loop {
        sleep(Duration::from_millis(200)).await;
        let now = stage.now();
        let count = stage.world.borrow().nodes.len();
        for node in 0..count {
            let running = {
                let world = stage.world.borrow();
                world.nodes[node].process.is_some() && !world.nodes[node].may_end
            };
            if running && has_ended(&stage, node) {
                let mut world = stage.world.borrow_mut();
                world.checker.balancer_crashed(now, node);
                world.nodes[node].process = None;
                world.nodes[node].dealt = false;
                let log = stage.folder.join(format!("n{node}.log"));
                let log = std::fs::read_to_string(log).unwrap_or_default();
                let last = log.lines().last().unwrap_or_default().to_string();
                world.faults.push(format!("balancer {node} has ended by itself: {last}"));
            }
            measure(&stage, node);
        }
    }
}

fn measure(stage: &Stage, node: usize) {
    let mut world = stage.world.borrow_mut();
    let world = &mut *world;
    let Some(process) = &mut world.nodes[node].process else { return };
    let of = |file: &str| {
        std::fs::read_to_string(format!("/proc/{}/{file}", process.child.id())).unwrap_or_default()
    };
    let status = of("status");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak = peak.and_then(|peak| peak.trim().trim_end_matches(" kB").trim().parse::<f64>().ok());
    world.memory_mb = world.memory_mb.max(peak.unwrap_or(0.0) / 1024.0);
    let open = std::fs::read_dir(format!("/proc/{}/fd", process.child.id())).map_or(0, Iterator::count);
    world.descriptors = world.descriptors.max(open as u64);
    // The times are the 14th and 15th field, in hundredths of a second; the name before may hold blanks.
    let times = of("stat");
    let ticks = times.rsplit(')').next().map(|rest| {
        rest.split_whitespace().skip(11).take(2).filter_map(|ticks| ticks.parse::<f64>().ok()).sum::<f64>()
    });
    let used = ticks.unwrap_or(0.0) * 10_000.0;
    world.cpu_us += (used - process.cpu_us).max(0.0);
    process.cpu_us = process.cpu_us.max(used);
}

pub fn end_all(stage: &Stage) {
    let count = stage.world.borrow().nodes.len();
    (0..count).for_each(|node| kill(stage, node));
}
