//! Simulates the load of a large deployment on one controller. Measures the CPU time of each kind of event,
//! and the size of the messages to balancers.
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

/// The controller from which all gossip is received.
const PEER: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 0, 2)), 7_700);
const START_MS: u64 = 1_000_000;
const DURATION_MS: u64 = 30_000;
const STEP_MS: u64 = 50;
const HEARTBEAT_INTERVAL_MS: u64 = 1_200;
const GOSSIP_INTERVAL_MS: u64 = 400;
const REPORT_INTERVAL_MS: u64 = 500;
/// The time over which the instances are added.
const RAMP_UP_MS: u64 = 6_000;
/// At each heartbeat, one in this number of instances is replaced by a new instance.
const REPLACEMENT_INTERVAL: u64 = 500;

#[derive(Default)]
struct Cost {
    events: u64,
    elapsed: Duration,
}

struct LoadTest {
    controller: Controller,
    now: u64,
    costs: BTreeMap<&'static str, Cost>,
    sent_bytes: u64,
    largest_burst_bytes: u64,
    updates: u64,
    applied_instances_versions: BTreeMap<SubscriberId, u64>,
    last_call_id: u64,
}

impl LoadTest {
    fn handle(&mut self, cost_name: &'static str, event: Event) {
        let started_at = Instant::now();
        let actions = self.controller.handle(self.now, event);
        self.add_cost(cost_name, started_at.elapsed());
        self.perform(actions);
    }

    fn add_cost(&mut self, cost_name: &'static str, elapsed: Duration) {
        let cost = self.costs.entry(cost_name).or_default();
        cost.events += 1;
        cost.elapsed += elapsed;
    }

    fn perform(&mut self, actions: Vec<Action>) {
        let mut burst_bytes = 0;
        for action in actions {
            match action {
                Action::Persist { token, .. } => {
                    self.handle("persisted", Event::Persisted { token, log_bytes: 0 });
                }
                Action::SaveState { .. } => self.handle("state saved", Event::StateSaved),
                Action::SendBalancer { to, message } => burst_bytes += self.send(to, &message),
                Action::Answer { .. } | Action::SendPeer { .. } | Action::Compact { .. } => {}
            }
        }
        self.sent_bytes += burst_bytes;
        self.largest_burst_bytes = self.largest_burst_bytes.max(burst_bytes);
    }

    fn send(&mut self, to: SubscriberId, message: &ToBalancer) -> u64 {
        let started_at = Instant::now();
        let bytes = encode_to_balancer(message).len() as u64;
        self.add_cost("encode for a balancer", started_at.elapsed());
        if let ToBalancer::Update(update) = message {
            self.updates += 1;
            let snapshot_version = update.instances.as_ref().map(|section| section.version);
            let changes_version = update.changes.as_ref().map(|changes| changes.version);
            if let Some(version) = snapshot_version.or(changes_version) {
                self.applied_instances_versions.insert(to, version);
            }
        }
        bytes
    }

    fn send_heartbeats(&mut self, instance_numbers: impl Iterator<Item = u64>) {
        for number in instance_numbers {
            self.last_call_id += 1;
            let call = Call::Heartbeat {
                instance: instance_id(number, self.now),
                heartbeat: heartbeat(number, self.now),
            };
            self.handle("heartbeat", Event::Call { id: CallId(self.last_call_id), call });
        }
    }

    fn receive_gossip(&mut self, instance_numbers: impl Iterator<Item = u64>) {
        let instances = instance_numbers.map(|number| gossip_instance(number, self.now)).collect();
        let gossip = Gossip { scope: GossipScope::Changes, instances, leases: Vec::new() };
        let payload = Bytes::from(encode_gossip(&gossip));
        self.handle("gossip", Event::GossipReceived { from: PEER, payload });
    }

    fn receive_report(&mut self, balancer: u64) {
        let subscriber = SubscriberId(balancer);
        let instances = self.applied_instances_versions.get(&subscriber).copied().unwrap_or_default();
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

/// The id of the instance that currently has this number. The instances are replaced from time to time.
fn instance_id(number: u64, now: u64) -> String {
    let interval = now / HEARTBEAT_INTERVAL_MS;
    let replaced_in = (0..=interval)
        .rev()
        .take(40)
        .find(|interval| (interval * 7 + number).is_multiple_of(REPLACEMENT_INTERVAL));
    format!("i-{number:05}-{}", replaced_in.unwrap_or_default())
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
        id: instance_id(number, now),
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

fn start() -> LoadTest {
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
        Replica::new(replica_settings, CommandApplication, (None, Vec::new()), START_MS)
    else {
        unreachable!("an empty disk can be read")
    };
    let address = ControllerAddress { endpoint, zone: "zone-a".to_owned(), region: "north".to_owned() };
    let zones = [("zone-a".to_owned(), "north".to_owned())].into();
    let settings =
        ControllerSettings { node: "core-1".to_owned(), address, zones, heartbeat_ms: HEARTBEAT_INTERVAL_MS };
    let (controller, actions) = Controller::new(settings, replica, outputs, START_MS);
    let mut load_test = LoadTest {
        controller,
        now: START_MS,
        costs: BTreeMap::new(),
        sent_bytes: 0,
        largest_burst_bytes: 0,
        updates: 0,
        applied_instances_versions: BTreeMap::new(),
        last_call_id: 0,
    };
    load_test.perform(actions);
    load_test
}

fn main() {
    let mut sizes = std::env::args().skip(1).filter_map(|argument| argument.parse::<u64>().ok());
    let instances = sizes.next().unwrap_or(3_000);
    let controllers = sizes.next().unwrap_or(15);
    let balancers = sizes.next().unwrap_or(20);
    let mut load_test = start();
    while load_test.now < START_MS + DURATION_MS {
        let elapsed_ms = load_test.now - START_MS;
        let added = (instances * elapsed_ms / RAMP_UP_MS).min(instances);
        let heartbeat_step = elapsed_ms % HEARTBEAT_INTERVAL_MS / STEP_MS;
        let steps_per_heartbeat = HEARTBEAT_INTERVAL_MS / STEP_MS;
        load_test.send_heartbeats(
            (0..added)
                .filter(|n| n % controllers == 0 && n / controllers % steps_per_heartbeat == heartbeat_step),
        );
        let gossip_step = elapsed_ms % GOSSIP_INTERVAL_MS / STEP_MS;
        for peer in (1..controllers).filter(|peer| peer % (GOSSIP_INTERVAL_MS / STEP_MS) == gossip_step) {
            let gossip_round = elapsed_ms % HEARTBEAT_INTERVAL_MS / GOSSIP_INTERVAL_MS;
            load_test.receive_gossip(
                (0..added).filter(|n| n % controllers == peer && n / controllers % 3 == gossip_round),
            );
        }
        for balancer in (1..=balancers)
            .filter(|n| n % (REPORT_INTERVAL_MS / STEP_MS) == elapsed_ms % REPORT_INTERVAL_MS / STEP_MS)
        {
            load_test.receive_report(balancer);
        }
        load_test.handle("tick", Event::Tick);
        load_test.now += STEP_MS;
    }
    println!(
        "{instances} instances, {controllers} controllers, {balancers} balancers connected, {DURATION_MS} ms"
    );
    for (name, cost) in &load_test.costs {
        let per_event_us = cost.elapsed.as_micros() as u64 / cost.events.max(1);
        let core_percent = cost.elapsed.as_millis() as f64 * 100.0 / DURATION_MS as f64;
        println!("{name}: {} events, {per_event_us} us each, {core_percent:.2} % of a core", cost.events);
    }
    println!(
        "to balancers: {} updates, {} KB per second, at most {} KB at once",
        load_test.updates,
        load_test.sent_bytes / DURATION_MS,
        load_test.largest_burst_bytes / 1_000
    );
}
