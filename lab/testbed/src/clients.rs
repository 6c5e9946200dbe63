//! Clients and their front: queries go out when they are due, whatever became of those before. The calls that
//! servers make to the next tier go the same way.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use whinspindle::host::{Effect, ServerScope};
use whinspindle_lab_invariants::Final;
use whinspindle_lab_model::arrivals::{Arrival, Arrivals};
use whinspindle_lab_model::random::{Concern, RandomGenerator};
use whinspindle_lab_report::Told;

use crate::http::{self, Message, Reader};
use crate::servers;
use crate::state::{Asked, Stage};

/// A query that goes out later than this after it was due was held up by the machine.
const LATE: u64 = 50_000;
/// Clients wait a little longer than they say, so that an answer in the slack still finds them.
const PATIENCE: u64 = 100_000;

/// What an answer to this query says.
pub fn body(id: u64) -> String {
    format!("made for {id:016x}\n")
}

/// Waits until all balancers answer their health check.
pub async fn await_ready(stage: &Rc<Stage>, within: Duration) -> Result<(), String> {
    let count = stage.world.borrow().nodes.len();
    for node in 0..count {
        if timeout(within, healthy(stage, node)).await.is_err() {
            return Err(format!("balancer {node} did not get ready within {} s", within.as_secs()));
        }
        stage.world.borrow_mut().nodes[node].dealt = true;
    }
    Ok(())
}

/// Returns once the balancer says that it is ready.
pub async fn healthy(stage: &Stage, node: usize) {
    loop {
        let address = stage.world.borrow().nodes[node].listen;
        let asked = async {
            let socket = TcpStream::connect(address).await?;
            http::write(&socket, b"GET /healthz HTTP/1.1\r\nHost: balancer\r\nConnection: close\r\n\r\n")
                .await?;
            let answer = Reader::new().message(&socket, true).await?;
            io::Result::Ok(answer.is_some_and(|answer| answer.status == 200))
        };
        if matches!(timeout(Duration::from_secs(1), asked).await, Ok(Ok(true))) {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// One stream of load.
pub async fn stream(stage: Rc<Stage>, number: usize) {
    let mut arrivals = Arrivals::new(&stage.scenario, number);
    loop {
        arrivals.surge = stage.world.borrow().surge;
        match arrivals.next_arrival() {
            None => return,
            Some(Err(until)) => stage.until(until).await,
            Some(Ok(wanted)) => {
                stage.until(wanted.due).await;
                spawn_local(want(Rc::clone(&stage), wanted));
            }
        }
    }
}

/// A client's query, over all its tries.
async fn want(stage: Rc<Stage>, wanted: Arrival) {
    let due = stage.begun() + wanted.due;
    let product = &stage.scenario.products[wanted.product];
    let harmless = matches!(product.effect, Effect::Idempotent | Effect::Deduplicated(ServerScope::All));
    let clients = &stage.scenario.clients;
    let mut tries = 0;
    let (told, now) = loop {
        let now = stage.now();
        {
            let mut world = stage.world.borrow_mut();
            world.sent += 1;
            world.sent_late += u64::from(tries == 0 && now > due + LATE);
        }
        let node = dealt(&stage, wanted.zone);
        let mut has_left = false;
        let (told, advice, reached) = match node {
            None => (Told::Failed, 0, false),
            Some(node) => {
                let leaves = {
                    let random = &mut stage.world.borrow_mut().random;
                    let leaves = random.chance(clients.leaves);
                    leaves.then(|| (product.slo_time as f64 * random.unit()) as u64)
                };
                let asked = Asked {
                    product: wanted.product,
                    tenant: wanted.tenant,
                    node,
                    work: wanted.work,
                    mark: wanted.mark,
                    deadline: now + product.statement_timeout,
                    executions: 0,
                };
                let asking = ask(&stage, asked, tries > 0, leaves).await;
                // One that leaves early has no use for an answer any more.
                has_left = asking.0 != Told::Completed && leaves.is_some();
                asking
            }
        };
        let again = told == Told::Rejected || (told == Told::Failed && (harmless || !reached));
        if told == Told::Completed || !again || tries >= clients.retries || has_left {
            break (told, stage.now());
        }
        tries += 1;
        let wait = {
            let mut world = stage.world.borrow_mut();
            if let Some(tally) = &mut world.tally {
                tally.price.client_retries += 1;
            }
            world.random.spread(clients.wait, clients.spread)
        };
        let wait = wait.max(if clients.follow_retry_after { advice } else { 0 });
        sleep(Duration::from_micros(wait)).await;
    };
    if let Some(tally) = &mut stage.world.borrow_mut().tally {
        tally.client(due, now, wanted.product, wanted.tenant, told);
    }
}

fn dealt(stage: &Stage, zone: usize) -> Option<usize> {
    let mut world = stage.world.borrow_mut();
    let fronts = 0..stage.scenario.tiers[0].balancers;
    let dealt: Vec<usize> = fronts.filter(|&node| world.nodes[node].dealt).collect();
    let near: Vec<usize> = dealt.iter().copied().filter(|&node| world.nodes[node].zone == zone).collect();
    let from = if near.is_empty() { dealt } else { near };
    let chance = world.random.unit();
    from.get(stage.scenario.favoured(from.len(), chance)).copied()
}

/// One try: what became of it, the advice that came with it, and whether the balancer had it.
async fn ask(stage: &Rc<Stage>, asked: Asked, again: bool, leaves: Option<u64>) -> (Told, u64, bool) {
    let kept = stage.world.borrow_mut().nodes[asked.node].idle.pop();
    if let Some(socket) = kept {
        match attempt(stage, asked, again, leaves, &socket, false).await {
            // A connection that was closed under the query: it goes out once more on a new one.
            Attempt::Crossed => {}
            Attempt::Answered(told, advice, keeps) => {
                if keeps {
                    stage.world.borrow_mut().nodes[asked.node].idle.push(socket);
                }
                return (told, advice, true);
            }
            Attempt::Lost => return (Told::Failed, 0, true),
        }
    }
    let address = stage.world.borrow().nodes[asked.node].listen;
    let connecting = timeout(Duration::from_secs(1), TcpStream::connect(address)).await;
    let Ok(Ok(socket)) = connecting else { return (Told::Failed, 0, false) };
    let _ = socket.set_nodelay(true);
    match attempt(stage, asked, again, leaves, &socket, true).await {
        Attempt::Answered(told, advice, keeps) => {
            if keeps {
                stage.world.borrow_mut().nodes[asked.node].idle.push(socket);
            }
            (told, advice, true)
        }
        Attempt::Crossed | Attempt::Lost => (Told::Failed, 0, true),
    }
}

enum Attempt {
    /// And whether the connection may be used again.
    Answered(Told, u64, bool),
    Crossed,
    Lost,
}

fn request(stage: &Stage, id: u64, asked: &Asked, again: bool) -> String {
    let product = &stage.scenario.products[asked.product];
    let left = asked.deadline.saturating_sub(stage.now()) / 1000;
    let tenant = &stage.scenario.tenants[asked.tenant].name;
    let mark = if again && stage.scenario.clients.marks { "X-Second-Try: 1\r\n" } else { "" };
    let common = format!(
        "Host: balancer\r\nX-Trace-Id: {id:016x}\r\nX-Qos: {}\r\nX-Customer: {tenant}\r\nX-Expires-In-Ms: \
         {left}\r\n{mark}",
        product.name
    );
    match product.effect {
        Effect::Idempotent => format!("GET /api HTTP/1.1\r\n{common}\r\n"),
        _ => {
            let key = format!("{:016x}", asked.mark);
            format!("POST /api HTTP/1.1\r\n{common}Idempotency-Key: {key}\r\nContent-Length: 4\r\n\r\nwork")
        }
    }
}

async fn attempt(
    stage: &Rc<Stage>,
    asked: Asked,
    again: bool,
    leaves: Option<u64>,
    socket: &TcpStream,
    fresh: bool,
) -> Attempt {
    let (id, incarnation) = {
        let mut world = stage.world.borrow_mut();
        world.next_query += 1;
        let id = world.next_query;
        world.asked.insert(id, asked);
        (id, world.nodes[asked.node].incarnation)
    };
    let text = request(stage, id, &asked, again);
    let wrote = http::write(socket, text.as_bytes()).await;
    let came = stage.now();
    if wrote.is_ok() {
        let mut world = stage.world.borrow_mut();
        world.checker.query_accepted(came, asked.node, id, asked.product, asked.deadline);
        if let Some(tally) = &mut world.tally {
            tally.taken += u64::from(tally.counts(came));
        }
    }
    let mut wait = (asked.deadline + PATIENCE).saturating_sub(came);
    if let Some(leaves) = leaves {
        wait = wait.min(leaves);
    }
    let mut reader = Reader::new();
    let answer = async {
        wrote?;
        reader.message(socket, true).await
    };
    let answer = timeout(Duration::from_micros(wait), answer).await;
    let now = stage.now();
    let mut world = stage.world.borrow_mut();
    let executions = world.asked.remove(&id).map_or(0, |asked| asked.executions);
    let attempt = match answer {
        Ok(Ok(Some(answer))) => {
            let (told, word, advice) = read(id, &answer);
            world.checker.query_answered(now, id, word);
            let keeps = answer.header("connection") != Some("close");
            let same = world.nodes[asked.node].incarnation == incarnation;
            if let Some(tally) = &mut world.tally {
                let tier = stage.scenario.products[asked.product].tier;
                tally.tier(tier, asked.node, asked.product, came, now, told);
            }
            Attempt::Answered(told, advice, keeps && same)
        }
        Ok(_) if !fresh && executions == 0 => {
            world.checker.query_cancelled(now, id);
            Attempt::Crossed
        }
        // Lost: the invariant checker counts it once its answer is overdue, unless the balancer was killed.
        Ok(_) => {
            let killed =
                world.nodes[asked.node].incarnation != incarnation || world.nodes[asked.node].may_end;
            if killed {
                world.checker.query_cancelled(now, id);
            }
            Attempt::Lost
        }
        Err(_) => {
            // Whoever gives up a balancer that stands still has hung up before it could answer: nothing is
            // owed then.
            if leaves.is_some() || world.checker.is_paused(asked.node) {
                world.checker.query_cancelled(now, id);
            }
            Attempt::Lost
        }
    };
    drop(world);
    attempt
}

fn read(id: u64, answer: &Message) -> (Told, Final, u64) {
    let advice = answer.header("retry-after").and_then(|seconds| seconds.parse::<f64>().ok());
    let advice = advice.filter(|seconds| seconds.is_finite() && *seconds >= 0.0);
    let advice = advice.map_or(0, |seconds| (seconds * 1e6) as u64);
    match answer.status {
        200 if answer.body == body(id).as_bytes() => (Told::Completed, Final::Completed, 0),
        // A body that no server made for this query: reported as completed, so that the invariant checker finds no run for it.
        200 => (Told::Failed, Final::Completed, 0),
        429 | 503 => (Told::Rejected, Final::Rejected, advice),
        _ => (Told::Failed, Final::Aborted, 0),
    }
}

/// A server's call to the next tier, through its own balancer.
pub async fn call(stage: Rc<Stage>, tier: usize, place: usize, server: usize, job: u64) {
    let parent = {
        let world = stage.world.borrow();
        let node = world.tiers[tier].hosts[place].node;
        world.asked.get(&(job & 0xffff_ffff)).copied().zip(node)
    };
    let mut well = false;
    if let Some((parent, node)) = parent {
        let product = stage.scenario.products[parent.product].calls_product;
        let row = &stage.scenario.products[product];
        let now = stage.now();
        let mark = parent.mark.rotate_left(17) ^ job;
        let asked = Asked {
            product,
            tenant: parent.tenant,
            node,
            work: RandomGenerator::new(mark, Concern::Clients).varied(row.work as f64, row.varies).max(1.0),
            mark,
            deadline: parent.deadline.min(now + row.statement_timeout),
            executions: 0,
        };
        well = ask(&stage, asked, false, None).await.0 == Told::Completed;
    }
    let now = stage.now();
    let mut did = Vec::new();
    {
        let mut world = stage.world.borrow_mut();
        let world = &mut *world;
        let host = &mut world.tiers[tier].hosts[place];
        if host.server == server {
            host.machine.call_returned(now, job, well, &mut did);
        }
        for did in did {
            if let whinspindle_lab_model::machine::MachineEvent::Answered(job, well) = did
                && let Some(waits) = world.jobs.remove(&job)
            {
                let _ = waits.send(well);
            }
        }
    }
    stage.stirred.notify_one();
    servers::work(&stage);
}
