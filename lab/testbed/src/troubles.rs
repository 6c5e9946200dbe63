//! The timetable on sockets and processes.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;
use whinspindle::host::EndpointState;
use whinspindle_lab_model::machine::Machine;
use whinspindle_lab_scenario::{How, Ill, Trouble};

use crate::state::Stage;
use crate::{clients, fleet, program, release};

/// Clients' front notices only after this time that a balancer has died.
const FRONT_NOTICES: Duration = Duration::from_secs(2);
/// Connections go on coming for so long after a balancer was told to end.
const STILL_DEALT: Duration = Duration::from_millis(300);
/// A kill may follow the longest statement timeout and this.
const KILL_AFTER: Duration = Duration::from_millis(700);
const DISCOVERY_NOTICES: Duration = Duration::from_secs(2);

fn change(stage: &Stage, trouble: &Trouble, change: impl Fn(&mut Machine)) {
    let now = stage.now();
    let tier = trouble.whom.tier;
    for place in stage.scenario.troubled(&trouble.whom) {
        stage.world.borrow_mut().tiers[tier].hosts[place].machine.change(now, &change);
    }
    stage.stirred.notify_one();
}

fn registries(stage: &Stage, change: impl Fn(&mut whinspindle_lab_model::registry::Registry)) {
    for tier in &mut stage.world.borrow_mut().tiers {
        change(&mut tier.registry);
        tier.changed.send_modify(|count| *count += 1);
    }
}

fn started_at(stage: &Stage, tier: usize, place: usize) -> u64 {
    let world = stage.world.borrow();
    let state = &world.tiers[tier];
    state.registry.get(state.hosts[place].server).map_or(0, |listing| listing.started_at)
}

fn drain(stage: &Stage, tier: usize, place: usize) {
    let started_at = started_at(stage, tier, place);
    stage.world.borrow_mut().tiers[tier].hosts[place].machine.draining = true;
    stage.list(tier, place, EndpointState::Draining, started_at);
}

/// The process of a server ends, and with it the balancer of its calls.
fn stop(stage: &Stage, tier: usize, place: usize) {
    let now = stage.now();
    let node = {
        let mut world = stage.world.borrow_mut();
        let host = &mut world.tiers[tier].hosts[place];
        let held = host.machine.drop_jobs();
        host.machine.stop(now);
        host.up.send_replace(None);
        let node = host.node;
        // Those that wait for these see their end.
        held.iter().for_each(|job| drop(world.jobs.remove(job)));
        node
    };
    if let Some(node) = node {
        program::kill(stage, node);
    }
}

/// A new process on the machine, cold, at the same addresses.
fn start(stage: &Rc<Stage>, tier: usize, place: usize) {
    let now = stage.now();
    let (old, listed, node) = {
        let world = stage.world.borrow();
        let host = &world.tiers[tier].hosts[place];
        (host.server, world.tiers[tier].registry.get(host.server).is_some(), host.node)
    };
    if listed {
        stage.list(tier, place, EndpointState::Gone, 0);
    }
    // Discovery tells the start in milliseconds.
    let start = now / 1000 * 1000;
    {
        let mut world = stage.world.borrow_mut();
        let server = world.tiers[tier].place_of.len();
        debug_assert_ne!(server, old);
        world.tiers[tier].place_of.push(place);
        let host = &mut world.tiers[tier].hosts[place];
        host.server = server;
        host.machine.start(now);
        host.up.send_replace(Some(server));
        world.checker.server_started(now, whinspindle_lab_simulation::server_id(tier, server));
    }
    stage.list(tier, place, EndpointState::Ready, start);
    if let Some(node) = node {
        let stage = Rc::clone(stage);
        spawn_local(async move { restart(&stage, node).await });
    }
}

/// A server ends and starts again under its own name, cold, at the same addresses.
pub fn start_in_place(stage: &Rc<Stage>, tier: usize, place: usize) {
    stop(stage, tier, place);
    let now = stage.now();
    let start = now / 1000 * 1000;
    {
        let mut world = stage.world.borrow_mut();
        let host = &mut world.tiers[tier].hosts[place];
        let server = host.server;
        host.machine.start(now);
        host.up.send_replace(Some(server));
        world.checker.server_started(now, whinspindle_lab_simulation::server_id(tier, server));
    }
    stage.list(tier, place, EndpointState::Ready, start);
}

/// Starts a balancer that is down, and deals it clients once it is ready.
async fn restart(stage: &Stage, node: usize) {
    if let Err(fault) = program::start(stage, node) {
        stage.world.borrow_mut().faults.push(fault);
        return;
    }
    clients::healthy(stage, node).await;
    stage.world.borrow_mut().nodes[node].dealt = true;
}

pub async fn play(stage: Rc<Stage>, number: usize) {
    let trouble = stage.scenario.troubles[number].clone();
    stage.until(trouble.at).await;
    let (tier, lasts) = (trouble.whom.tier, Duration::from_micros(trouble.lasts));
    let places = stage.scenario.troubled(&trouble.whom);
    match &trouble.ill {
        Ill::Kill => {
            for &place in &places {
                stop(&stage, tier, place);
            }
            let gone: Vec<usize> =
                places.iter().map(|&place| stage.world.borrow().tiers[tier].hosts[place].server).collect();
            let noticing = Rc::clone(&stage);
            let noticed = places.clone();
            spawn_local(async move {
                sleep(DISCOVERY_NOTICES).await;
                for (place, server) in noticed.into_iter().zip(gone) {
                    let same = {
                        let world = noticing.world.borrow();
                        let host = &world.tiers[tier].hosts[place];
                        host.server == server && !host.machine.is_up()
                    };
                    if same {
                        noticing.list(tier, place, EndpointState::Gone, 0);
                    }
                }
            });
            sleep(lasts).await;
            places.iter().for_each(|&place| start(&stage, tier, place));
        }
        Ill::Vanish => during(&stage, &trouble, |m| m.silent = true, |m| m.silent = false).await,
        Ill::Hang => during(&stage, &trouble, |m| m.hung = true, |m| m.hung = false).await,
        Ill::Fail(part) => {
            during(&stage, &trouble, |m| m.failure_rate = *part, |m| m.failure_rate = 0.0).await
        }
        Ill::Slow(factor) => during(&stage, &trouble, |m| m.slowdown = *factor, |m| m.slowdown = 1.0).await,
        Ill::Neighbour(part) => {
            during(&stage, &trouble, |m| m.neighbour_load = *part, |m| m.neighbour_load = 0.0).await;
        }
        Ill::Pause(time) => {
            let (mut paused, mut left) = (true, trouble.lasts);
            while left > 0 {
                change(&stage, &trouble, |machine| machine.paused = paused);
                let step = left.min(*time);
                sleep(Duration::from_micros(step)).await;
                (paused, left) = (!paused, left - step);
            }
            change(&stage, &trouble, |machine| machine.paused = false);
        }
        Ill::Drain => {
            places.iter().for_each(|&place| drain(&stage, tier, place));
            sleep(lasts).await;
            for &place in &places {
                stage.world.borrow_mut().tiers[tier].hosts[place].machine.draining = false;
                let started_at = started_at(&stage, tier, place);
                stage.list(tier, place, EndpointState::Ready, started_at);
            }
        }
        Ill::Replace(ends) => {
            places.iter().for_each(|&place| drain(&stage, tier, place));
            sleep(Duration::from_micros(*ends)).await;
            for &place in &places {
                stop(&stage, tier, place);
                stage.list(tier, place, EndpointState::Gone, 0);
                start(&stage, tier, place);
            }
        }
        Ill::Join(_) => {
            let note = "servers that join are played in virtual time only".to_string();
            stage.world.borrow_mut().faults.push(note);
        }
        Ill::Cut(a, b) => {
            stage.world.borrow_mut().links.partition(*a, *b);
            sleep(lasts).await;
            stage.world.borrow_mut().links.heal(*a, *b);
        }
        Ill::Loss(part) => {
            stage.world.borrow_mut().links.loss_rate = *part;
            sleep(lasts).await;
            stage.world.borrow_mut().links.loss_rate = stage.scenario.network.loss;
        }
        Ill::Resets(part) => {
            stage.world.borrow_mut().links.reset_rate = *part;
            sleep(lasts).await;
            stage.world.borrow_mut().links.reset_rate = stage.scenario.network.resets;
        }
        Ill::DiscoverySilent => {
            registries(&stage, |registry| registry.silent = true);
            sleep(lasts).await;
            registries(&stage, |registry| registry.silent = false);
        }
        Ill::DiscoveryLate(by) => {
            stage.world.borrow_mut().tiers.iter_mut().for_each(|tier| tier.registry.delay = *by);
            sleep(lasts).await;
            stage.world.borrow_mut().tiers.iter_mut().for_each(|tier| tier.registry.delay = 0);
        }
        Ill::DiscoveryForgets(part) => {
            registries(&stage, |registry| registry.omitted_share = *part);
            sleep(lasts).await;
            registries(&stage, |registry| registry.omitted_share = 0.0);
        }
        Ill::DiscoveryRepeats(_) => {
            let note = "old lists are told again in virtual time only".to_string();
            stage.world.borrow_mut().faults.push(note);
        }
        Ill::BalancerKill(of) => {
            of.iter().for_each(|&node| program::kill(&stage, node));
            sleep(FRONT_NOTICES.min(lasts)).await;
            of.iter().for_each(|&node| stage.world.borrow_mut().nodes[node].dealt = false);
            sleep(lasts.saturating_sub(FRONT_NOTICES)).await;
            restart_all(&stage, of);
        }
        Ill::BalancerStop(of) => {
            for &node in of {
                program::signal(&stage, node, "STOP");
                stage.world.borrow_mut().checker.balancer_paused(stage.now(), node);
            }
            sleep(lasts).await;
            for &node in of {
                program::signal(&stage, node, "CONT");
                stage.world.borrow_mut().checker.balancer_resumed(stage.now(), node);
            }
        }
        Ill::BalancerRestart(of) => {
            for &node in of {
                spawn_local(planned(Rc::clone(&stage), node));
            }
        }
        Ill::Release(terms) => {
            if terms.how != How::Agreed || !terms.balancers.is_empty() || stage.scenario.fleet.is_none() {
                let note = "on sockets only agreed releases of servers are played, in a fleet".to_string();
                return stage.world.borrow_mut().faults.push(note);
            }
            release::play(Rc::clone(&stage), tier, places, terms.clone()).await;
        }
        Ill::PeerCut(..)
        | Ill::PeerLoss(_)
        | Ill::PeerRepeat(_)
        | Ill::PeerDelay(_)
        | Ill::PeerReorder(_) => {
            fleet::trouble(&stage, number, true);
            sleep(lasts).await;
            fleet::trouble(&stage, number, false);
        }
        Ill::DiskLost(of) => {
            of.iter().for_each(|&node| program::kill(&stage, node));
            disks(&stage, of, false, false);
            sleep(FRONT_NOTICES.min(lasts)).await;
            of.iter().for_each(|&node| stage.world.borrow_mut().nodes[node].dealt = false);
            sleep(lasts.saturating_sub(FRONT_NOTICES)).await;
            restart_all(&stage, of);
        }
        Ill::DiskBack(of) => {
            disks(&stage, of, true, false);
            sleep(lasts).await;
            for &node in of {
                program::kill(&stage, node);
                stage.world.borrow_mut().nodes[node].dealt = false;
            }
            disks(&stage, of, false, true);
            restart_all(&stage, of);
        }
        Ill::BalancerReload(of) => of.iter().for_each(|&node| program::signal(&stage, node, "HUP")),
        Ill::Surge(factor) => {
            stage.world.borrow_mut().surge *= factor;
            sleep(lasts).await;
            stage.world.borrow_mut().surge /= factor.max(1e-9);
        }
    }
}

/// All at once: one that does not get ready must not keep the others down.
fn restart_all(stage: &Rc<Stage>, of: &[usize]) {
    for &node in of {
        let stage = Rc::clone(stage);
        spawn_local(async move { restart(&stage, node).await });
    }
}

fn disks(stage: &Stage, of: &[usize], keep: bool, back: bool) {
    for &node in of {
        if let Err(fault) = fleet::disk(stage, node, keep, back) {
            stage.world.borrow_mut().faults.push(format!("disk of balancer {node}: {fault}"));
        }
    }
}

async fn during(
    stage: &Stage,
    trouble: &Trouble,
    begins: impl Fn(&mut Machine),
    ends: impl Fn(&mut Machine),
) {
    change(stage, trouble, begins);
    sleep(Duration::from_micros(trouble.lasts)).await;
    change(stage, trouble, ends);
}

/// A balancer is told to end, is killed if it has not, and starts again.
async fn planned(stage: Rc<Stage>, node: usize) {
    stage.world.borrow_mut().nodes[node].may_end = true;
    program::signal(&stage, node, "TERM");
    sleep(STILL_DEALT).await;
    stage.world.borrow_mut().nodes[node].dealt = false;
    let longest = stage.scenario.products.iter().map(|product| product.statement_timeout).max().unwrap_or(0);
    let kill_at = stage.now() + longest + KILL_AFTER.as_micros() as u64;
    while stage.now() < kill_at && !program::has_ended(&stage, node) {
        sleep(Duration::from_millis(20)).await;
    }
    {
        let now = stage.now();
        let mut world = stage.world.borrow_mut();
        let open = world.checker.open_queries(node);
        // What it had taken and not answered by then is lost.
        if open > 0 {
            world.checker.balancer_crashed(now, node);
        }
    }
    program::kill(&stage, node);
    restart(&stage, node).await;
}
