//! The servers behind their sockets: one listener for each balancer of the tier, so that each execution shows
//! by its address whose it is. What they make of a query is the machine's doing.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use whinspindle::host::EndpointState;
use whinspindle_lab_model::machine::{Admission, MachineEvent, Report, Task};
use whinspindle_lab_simulation::server_id;

use crate::clients;
use crate::http::{self, Message, Reader};
use crate::state::{Out, Stage};

/// Delays on the way shorter than this are left to loopback itself.
const LEAST_DELAY: u64 = 500;
/// Discovery notices after this time that a process has gone without a word.
const DISCOVERY_NOTICES: Duration = Duration::from_secs(2);

pub async fn listen(stage: &Rc<Stage>) -> io::Result<()> {
    let nodes: Vec<usize> = stage.world.borrow().nodes.iter().map(|node| node.tier).collect();
    for (node, tier) in nodes.into_iter().enumerate() {
        let hosts = stage.world.borrow().tiers[tier].hosts.len();
        for place in 0..hosts {
            listen_for(stage, tier, place, node).await?;
        }
    }
    Ok(())
}

pub async fn listen_for(stage: &Rc<Stage>, tier: usize, place: usize, node: usize) -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    stage.world.borrow_mut().tiers[tier].hosts[place].addresses.insert(node, address);
    spawn_local(accept(Rc::clone(stage), tier, place, node, address, Some(listener)));
    Ok(())
}

/// Listens while the process is up; a new process listens at the same address.
async fn accept(
    stage: Rc<Stage>,
    tier: usize,
    place: usize,
    node: usize,
    address: SocketAddr,
    mut listener: Option<TcpListener>,
) {
    let mut up = stage.world.borrow().tiers[tier].hosts[place].up.subscribe();
    loop {
        let Some(server) = *up.borrow_and_update() else {
            listener = None;
            if up.changed().await.is_err() {
                return;
            }
            continue;
        };
        let Some(open) = &listener else {
            listener = again(address).ok();
            if listener.is_none() {
                sleep(Duration::from_millis(10)).await;
            }
            continue;
        };
        tokio::select! {
            accepted = open.accept() => {
                if let Ok((socket, _)) = accepted {
                    spawn_local(connection(Rc::clone(&stage), tier, place, node, server, socket));
                }
            }
            changed = up.changed() => if changed.is_err() { return },
        }
    }
}

fn again(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1024)
}

async fn connection(
    stage: Rc<Stage>,
    tier: usize,
    place: usize,
    node: usize,
    server: usize,
    socket: TcpStream,
) {
    let mut up = stage.world.borrow().tiers[tier].hosts[place].up.subscribe();
    let socket = Rc::new(socket);
    stage.world.borrow_mut().tiers[tier].hosts[place].machine.connections += 1;
    tokio::select! {
        _ = up.wait_for(|process| *process != Some(server)) => {
            // The process has ended: its connections are reset.
            let _ = socket2::SockRef::from(&*socket).set_linger(Some(Duration::ZERO));
        }
        _ = converse(&stage, tier, place, node, server, &socket) => {
            let machine = &mut stage.world.borrow_mut().tiers[tier].hosts[place].machine;
            machine.connections = machine.connections.saturating_sub(1);
        }
    }
}

/// One request after the other, until somebody ends it.
async fn converse(
    stage: &Rc<Stage>,
    tier: usize,
    place: usize,
    node: usize,
    server: usize,
    socket: &Rc<TcpStream>,
) -> io::Result<()> {
    let idle = Duration::from_micros(stage.scenario.tiers[tier].connections.idle);
    let mut reader = Reader::new();
    let mut fresh = true;
    loop {
        match timeout(idle, reader.first_byte(socket)).await {
            Ok(Ok(true)) => {}
            _ => return Ok(()),
        }
        let begun = stage.now();
        let Some(request) = reader.message(socket, false).await? else { return Ok(()) };
        out_of_reach(stage, tier, place, node).await;
        if request.target == "/healthz" || request.target == "/load" {
            let report = stage.world.borrow_mut().tiers[tier].hosts[place].machine.report(stage.now());
            let body = report.map(report_text).unwrap_or_default();
            http::write(socket, answer("200 OK", "", body.as_bytes()).as_bytes()).await?;
            continue;
        }
        if !execution(stage, (tier, place, node, server), socket, &request, begun, fresh).await? {
            return Ok(());
        }
        fresh = false;
    }
}

/// While the machine is silent, or the way to it cut, nothing that has come is looked at.
async fn out_of_reach(stage: &Stage, tier: usize, place: usize, node: usize) {
    loop {
        let (silent, delay) = {
            let mut world = stage.world.borrow_mut();
            let host = &world.tiers[tier].hosts[place];
            let (from, to) = (world.nodes[node].zone, host.zone);
            let silent = host.machine.silent;
            (silent, world.links.transit_time(from, to))
        };
        match delay {
            Some(delay) if !silent => {
                if 2 * delay > LEAST_DELAY {
                    sleep(Duration::from_micros(delay)).await;
                }
                return;
            }
            _ => sleep(Duration::from_millis(10)).await,
        }
    }
}

/// Runs one query; false if the connection is of no further use.
async fn execution(
    stage: &Rc<Stage>,
    at: (usize, usize, usize, usize),
    socket: &Rc<TcpStream>,
    request: &Message,
    begun: u64,
    fresh: bool,
) -> io::Result<bool> {
    let (tier, place, node, server) = at;
    let id = request.header("x-trace-id").and_then(|id| u64::from_str_radix(id, 16).ok());
    let Some(id) = id.filter(|id| stage.world.borrow().asked.contains_key(id)) else {
        http::write(socket, answer("400 Bad Request", "", b"no such query\n").as_bytes()).await?;
        return Ok(true);
    };
    let Some((number, job, taken)) = begin(stage, at, socket, id, begun, fresh) else { return Ok(false) };
    let (mut well, mut ran) = (false, false);
    match taken {
        Admission::Accepted => {
            let (tell, told) = oneshot::channel();
            stage.world.borrow_mut().jobs.insert(job, tell);
            stage.stirred.notify_one();
            tokio::select! {
                made = told => match made {
                    Ok(made) => (well, ran) = (made, true),
                    // The machine fell with it.
                    Err(_) => {
                        over(stage, id, number, true);
                        let _ = socket2::SockRef::from(&**socket).set_linger(Some(Duration::ZERO));
                        return Ok(false);
                    }
                },
                () = http::ended(socket) => {
                    let now = stage.now();
                    let mut world = stage.world.borrow_mut();
                    world.jobs.remove(&job);
                    world.tiers[tier].hosts[place].machine.cancel(now, job);
                    drop(world);
                    stage.stirred.notify_one();
                    over(stage, id, number, true);
                    return Ok(false);
                }
            }
        }
        Admission::Rejected => {}
        Admission::Down => {
            fell(stage, tier, place, server);
            over(stage, id, number, false);
            return Ok(false);
        }
    }
    out_of_reach(stage, tier, place, node).await;
    let breaks = !fresh && stage.world.borrow_mut().links.resets_exchange();
    if ran && breaks {
        over(stage, id, number, true);
        let _ = socket2::SockRef::from(&**socket).set_linger(Some(Duration::ZERO));
        return Ok(false);
    }
    let report = stage.world.borrow_mut().tiers[tier].hosts[place].machine.report(stage.now());
    let report = report.map(|report| format!("Endpoint-Load-Metrics: {}\r\n", report_text(report)));
    let report = report.unwrap_or_default();
    let text = match (ran, well) {
        (true, true) => answer("200 OK", &report, clients::body(id).as_bytes()),
        (true, false) => answer("500 Internal Server Error", &report, b"failed\n"),
        _ => answer("503 Service Unavailable", &format!("X-Never-Ran: 1\r\n{report}"), b"full\n"),
    };
    // It is over before its last byte has gone out, so that a repeat can't seem to overlap it.
    over(stage, id, number, ran);
    http::write(socket, text.as_bytes()).await?;
    Ok(true)
}

/// Takes note of an execution and hands it to the machine.
fn begin(
    stage: &Stage,
    at: (usize, usize, usize, usize),
    socket: &Rc<TcpStream>,
    id: u64,
    begun: u64,
    fresh: bool,
) -> Option<(usize, u64, Admission)> {
    let (tier, place, node, server) = at;
    let now = stage.now();
    let mut world = stage.world.borrow_mut();
    let world = &mut *world;
    // What a balancer that was killed meanwhile still had in its sockets is not its sending any more: it is
    // dropped.
    world.nodes[node].process.as_ref()?;
    // Of earlier executions those whose connection the balancer has closed are over.
    let mut closed = Vec::new();
    if let Some(out) = world.out.get_mut(&id) {
        out.retain(|out| {
            let ended = http::has_ended(&out.socket);
            closed.extend(ended.then_some(out.number));
            !ended
        });
    }
    closed.iter().for_each(|&number| world.checker.execution_ended(now, id, number, true));
    let asked = world.asked.get_mut(&id)?;
    let number = asked.executions;
    asked.executions += 1;
    let (work, calls) = (asked.work, stage.scenario.products[asked.product].calls);
    world.out.entry(id).or_default().push(Out { socket: Rc::clone(socket), number });
    world.checker.execution_sent(begun, id, server_id(tier, server), work);
    let (from, to) = (world.nodes[node].zone, world.tiers[tier].hosts[place].zone);
    if let Some(tally) = &mut world.tally {
        tally.execution(now, tier, place, to, from != to, fresh);
    }
    world.next_job += 1;
    let job = world.next_job << 32 | (id & 0xffff_ffff);
    let taken = world.tiers[tier].hosts[place].machine.admit(now, job, Task { work, calls, fresh });
    Some((number, job, taken))
}

fn over(stage: &Stage, id: u64, number: usize, may_have_run: bool) {
    let now = stage.now();
    let mut world = stage.world.borrow_mut();
    world.checker.execution_ended(now, id, number, may_have_run);
    if let Some(out) = world.out.get_mut(&id) {
        out.retain(|out| out.number != number);
        if out.is_empty() {
            world.out.remove(&id);
        }
    }
}

/// A cold server was pushed over: it ends, and discovery notices later.
fn fell(stage: &Rc<Stage>, tier: usize, place: usize, server: usize) {
    let now = stage.now();
    let mut world = stage.world.borrow_mut();
    let host = &mut world.tiers[tier].hosts[place];
    if !host.machine.is_overloaded() || host.up.borrow().is_none() {
        return;
    }
    host.machine.drop_jobs();
    host.up.send_replace(None);
    world.checker.server_overloaded(now, server_id(tier, server));
    if let Some(tally) = &mut world.tally {
        tally.price.fallen += 1;
    }
    drop(world);
    let stage = Rc::clone(stage);
    spawn_local(async move {
        sleep(DISCOVERY_NOTICES).await;
        if stage.world.borrow().tiers[tier].hosts[place].server == server {
            stage.list(tier, place, EndpointState::Gone, 0);
        }
    });
}

fn report_text(report: Report) -> String {
    let held = report.inflight + report.queue;
    let mut text = format!("TEXT inflight={held}, queue={}", report.queue);
    for (name, value) in [("utilization", report.utilization), ("throughput", report.throughput)] {
        if let Some(value) = value {
            text.push_str(&format!(", {name}={value:.4}"));
        }
    }
    text
}

fn answer(status: &str, headers: &str, body: &[u8]) -> String {
    let body = String::from_utf8_lossy(body);
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Lets the machines work: each is looked at when something is due there.
pub async fn engine(stage: Rc<Stage>) {
    loop {
        let next = {
            let world = stage.world.borrow();
            let hosts = world.tiers.iter().flat_map(|tier| &tier.hosts);
            hosts.map(|host| host.machine.next()).min().unwrap_or(u64::MAX)
        };
        let wait = Duration::from_micros(next.saturating_sub(stage.now()).min(1_000_000));
        if !wait.is_zero() {
            let _ = timeout(wait, stage.stirred.notified()).await;
        }
        work(&stage);
        tokio::task::yield_now().await;
    }
}

/// Each machine does what was due up to now, at the times at which it was due: timers are late by a
/// millisecond, and the work must not be.
pub fn work(stage: &Rc<Stage>) {
    let now = stage.now();
    let mut did = Vec::new();
    let mut calls = Vec::new();
    let mut world = stage.world.borrow_mut();
    let world = &mut *world;
    for tier in 0..world.tiers.len() {
        for place in 0..world.tiers[tier].hosts.len() {
            let host = &mut world.tiers[tier].hosts[place];
            while host.machine.next() <= now {
                let at = host.machine.next();
                host.machine.step(at, &mut did);
            }
            let server = host.server;
            for did in did.drain(..) {
                match did {
                    MachineEvent::Answered(job, well) => {
                        if well {
                            let id = job & 0xffff_ffff;
                            world.checker.query_executed(now, server_id(tier, server), id);
                        }
                        if let Some(waits) = world.jobs.remove(&job) {
                            let _ = waits.send(well);
                        }
                    }
                    MachineEvent::Calls(job) => calls.push((tier, place, server, job)),
                }
            }
        }
    }
    for (tier, place, server, job) in calls {
        spawn_local(clients::call(Rc::clone(stage), tier, place, server, job));
    }
}
