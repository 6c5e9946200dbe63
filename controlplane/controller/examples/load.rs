//! One controller under the load of a large deployment: what each kind of event costs, and what balancers are sent.
//!
//! `cargo run --release -p whinspindle-controller --example load -- [instances] [controllers] [balancers]`

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use bytes::Bytes;
use whinspindle_configuration::{Heartbeat, InstanceState};
use whinspindle_controller::api::Call;
use whinspindle_controller::commands::CommandApplication;
use whinspindle_controller::{Action, CallId, Controller, ControllerSettings, Event};
use whinspindle_distribution::{
    ControllerAddress, Gossip, GossipInstance, GossipScope, Report, SubscriberId, ToBalancer, Versions,
    encode_gossip, encode_to_balancer,
};
use whinspindle_replica::{Replica, ReplicaSettings, Timing, Tolerance};

/// The other controller that gossip comes from.
const PEER: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 0, 2)), 7_700);
const START: u64 = 1_000_000;
const LENGTH_MS: u64 = 30_000;
const STEP_MS: u64 = 50;
const HEARTBEAT_MS: u64 = 1_200;
const GOSSIP_MS: u64 = 400;
const REPORT_MS: u64 = 500;
/// Instances come in over this time.
const ARRIVAL_MS: u64 = 6_000;
/// One instance in so many is another one at each of its heartbeats.
const REPLACEMENT_INTERVAL: u64 = 500;

#[derive(Default)]
struct Cost {
    events: u64,
    spent: Duration,
}

struct Load {
    controller: Controller,
    now: u64,
    costs: BTreeMap<&'static str, Cost>,
    sent_bytes: u64,
    largest_burst: u64,
    updates: u64,
    applied: BTreeMap<SubscriberId, u64>,
    calls: u64,
}

impl Load {
    fn handle(&mut self, name: &'static str, event: Event) {
        let begun = Instant::now();
        let actions = self.controller.handle(self.now, event);
        self.note(name, begun.elapsed());
        self.take(actions);
    }

    fn note(&mut self, name: &'static str, spent: Duration) {
        let cost = self.costs.entry(name).or_default();
        cost.events += 1;
        cost.spent += spent;
    }

    fn take(&mut self, actions: Vec<Action>) {
        let mut burst = 0;
        for action in actions {
            match action {
                Action::Persist { token, .. } => {
                    self.handle("persisted", Event::Persisted { token, log_bytes: 0 });
                }
                Action::SaveState { .. } => self.handle("remembered", Event::StateSaved),
                Action::SendBalancer { to, message } => burst += self.send(to, &message),
                Action::Answer { .. } | Action::SendPeer { .. } | Action::Compact { .. } => {}
            }
        }
        self.sent_bytes += burst;
        self.largest_burst = self.largest_burst.max(burst);
    }

    fn send(&mut self, to: SubscriberId, message: &ToBalancer) -> u64 {
        let begun = Instant::now();
        let bytes = encode_to_balancer(message).len() as u64;
        self.note("encode for a balancer", begun.elapsed());
        if let ToBalancer::Update(update) = message {
            self.updates += 1;
            let whole = update.instances.as_ref().map(|section| section.version);
            let changed = update.changes.as_ref().map(|changes| changes.version);
            if let Some(version) = whole.or(changed) {
                self.applied.insert(to, version);
            }
        }
        bytes
    }

    fn heartbeats(&mut self, numbers: impl Iterator<Item = u64>) {
        for number in numbers {
            self.calls += 1;
            let call =
                Call::Heartbeat { instance: name(number, self.now), heartbeat: heartbeat(number, self.now) };
            self.handle("heartbeat", Event::Call { id: CallId(self.calls), call });
        }
    }

    fn gossip(&mut self, numbers: impl Iterator<Item = u64>) {
        let instances = numbers.map(|number| gossip_instance(number, self.now)).collect();
        let gossip = Gossip { scope: GossipScope::Changes, instances, leases: Vec::new() };
        let payload = Bytes::from(encode_gossip(&gossip));
        self.handle("gossip", Event::GossipReceived { from: PEER, payload });
    }

    fn report(&mut self, balancer: u64) {
        let subscriber = SubscriberId(balancer);
        let instances = self.applied.get(&subscriber).copied().unwrap_or_default();
        let report = Report {
            node: format!("edge-{balancer}"),
            incarnation: 1,
            zone: "zone-a".to_owned(),
            region: "north".to_owned(),
            front: SocketAddr::from(([10, 1, 0, balancer as u8], 8161)),
            ready: true,
            shutting_down: false,
            applied: Versions { instances, ..Versions::default() },
            sends: Vec::new(),
            failing: Vec::new(),
        };
        self.handle("report", Event::Report { subscriber, report });
    }
}

/// The present holder of a place: now and then it is another one.
fn name(number: u64, now: u64) -> String {
    let beat = now / HEARTBEAT_MS;
    let replaced =
        (0..=beat).rev().take(40).find(|beat| (beat * 7 + number).is_multiple_of(REPLACEMENT_INTERVAL));
    format!("i-{number:05}-{}", replaced.unwrap_or_default())
}

fn address(number: u64) -> SocketAddr {
    SocketAddr::from(([10, 128, (number / 250) as u8, (number % 250) as u8], 8080))
}

fn heartbeat(number: u64, now: u64) -> Heartbeat {
    Heartbeat {
        backend: "backend-of-models".to_owned(),
        address: address(number),
        zone: "zone-of-halls".to_owned(),
        generation: "v1".to_owned(),
        slots: 128,
        state: InstanceState::Ready,
        slow_start_ms: 0,
        remaining_ms: None,
        sequence: now,
    }
}

fn gossip_instance(number: u64, now: u64) -> GossipInstance {
    GossipInstance {
        id: name(number, now),
        service: "backend-of-models".to_owned(),
        address: address(number),
        zone: "zone-of-halls".to_owned(),
        slots: 128,
        sequence: now,
        draining: false,
        deregistered: false,
        slow_start_ms: 0,
        age_ms: 100,
    }
}

fn start() -> Load {
    let endpoint: SocketAddr = SocketAddr::from(([10, 0, 0, 1], 7700));
    let replica_settings = ReplicaSettings {
        endpoint,
        zone: "zone-a".to_owned(),
        region: "north".to_owned(),
        seeds: vec![endpoint],
        bootstrap: true,
        incarnation: 1,
        start_id: 2,
        tolerance: Tolerance::machines_only(0),
        timing: Timing::default(),
    };
    let Ok((replica, outputs)) =
        Replica::new(replica_settings, CommandApplication, (None, Vec::new()), START)
    else {
        unreachable!("an empty disk can be read")
    };
    let address = ControllerAddress { endpoint, zone: "zone-a".to_owned(), region: "north".to_owned() };
    let zones = [("zone-a".to_owned(), "north".to_owned())].into();
    let settings =
        ControllerSettings { node: "core-1".to_owned(), address, zones, heartbeat_ms: HEARTBEAT_MS };
    let (controller, actions) = Controller::new(settings, replica, outputs, START);
    let mut load = Load {
        controller,
        now: START,
        costs: BTreeMap::new(),
        sent_bytes: 0,
        largest_burst: 0,
        updates: 0,
        applied: BTreeMap::new(),
        calls: 0,
    };
    load.take(actions);
    load
}

fn main() {
    let mut sizes = std::env::args().skip(1).filter_map(|argument| argument.parse::<u64>().ok());
    let instances = sizes.next().unwrap_or(3_000);
    let controllers = sizes.next().unwrap_or(15);
    let balancers = sizes.next().unwrap_or(20);
    let mut load = start();
    while load.now < START + LENGTH_MS {
        let elapsed = load.now - START;
        let arrived = (instances * elapsed / ARRIVAL_MS).min(instances);
        let slot = elapsed % HEARTBEAT_MS / STEP_MS;
        let steps = HEARTBEAT_MS / STEP_MS;
        load.heartbeats((0..arrived).filter(|n| n % controllers == 0 && n / controllers % steps == slot));
        let gossip_slot = elapsed % GOSSIP_MS / STEP_MS;
        for peer in (1..controllers).filter(|peer| peer % (GOSSIP_MS / STEP_MS) == gossip_slot) {
            let third = elapsed % HEARTBEAT_MS / GOSSIP_MS;
            load.gossip((0..arrived).filter(|n| n % controllers == peer && n / controllers % 3 == third));
        }
        for balancer in (1..=balancers).filter(|n| n % (REPORT_MS / STEP_MS) == elapsed % REPORT_MS / STEP_MS)
        {
            load.report(balancer);
        }
        load.handle("tick", Event::Tick);
        load.now += STEP_MS;
    }
    println!(
        "{instances} instances, {controllers} controllers, {balancers} balancers at this one, {LENGTH_MS} ms"
    );
    for (name, cost) in &load.costs {
        let per_event = cost.spent.as_micros() as u64 / cost.events.max(1);
        let share = cost.spent.as_millis() as f64 * 100.0 / LENGTH_MS as f64;
        println!("{name}: {} events, {per_event} us each, {share:.2} % of a core", cost.events);
    }
    println!(
        "to balancers: {} updates, {} KB a second, {} KB at once at most",
        load.updates,
        load.sent_bytes / LENGTH_MS,
        load.largest_burst / 1_000
    );
}
