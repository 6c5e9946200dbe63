//! Heartbeats that arrive in another order than they were sent: what was said last stands.

mod common;

use common::clients::Clients;
use common::node::{Node, cluster, endpoint};
use whinspindle_lab_simulated_cluster::{Cluster, Effect, Event, NetworkTiming, Process};
use whinspindle_replica::{Message, StandardRules};

/// A write is acknowledged within this, in milliseconds.
const ACKNOWLEDGED_WITHIN: u64 = 3_000;
/// Several heartbeats are sent within so many ticks.
const TICKS: u64 = 20;
const TICK: u64 = 50;

/// A heartbeat that a replica sends to another one about now.
fn heartbeat(cluster: &mut Cluster<Node>, from: usize, to: usize) -> Message {
    let now = cluster.now();
    let process = cluster.process_mut(endpoint(from)).unwrap();
    let mut effects = (0..TICKS).flat_map(|tick| process.handle(now + TICK * tick, Event::Tick));
    let sent = effects.find_map(|effect| match effect {
        Effect::Send { to: receiver, message: message @ Message::Heartbeat(_) }
            if receiver == endpoint(to) =>
        {
            Some(message)
        }
        _ => None,
    });
    sent.expect("a heartbeat")
}

fn deliver(cluster: &mut Cluster<Node>, from: usize, to: usize, message: Message) {
    let now = cluster.now();
    let process = cluster.process_mut(endpoint(to)).unwrap();
    process.handle(now, Event::Message { from: endpoint(from), message });
}

#[test]
fn an_overtaken_heartbeat_does_not_take_back_what_is_known_to_be_committed() {
    let mut cluster = cluster::<StandardRules>(5, 3, 1, NetworkTiming::default());
    let mut clients = Clients::default();
    clients.write_within(&mut cluster, endpoint(0), ACKNOWLEDGED_WITHIN).expect("a write");
    let until = cluster.now() + ACKNOWLEDGED_WITHIN;
    clients.run_until(&mut cluster, until);
    let held_up = heartbeat(&mut cluster, 0, 2);
    for other in [0, 1] {
        cluster.cut(endpoint(other), endpoint(2));
        cluster.cut(endpoint(2), endpoint(other));
    }
    clients.write_within(&mut cluster, endpoint(0), ACKNOWLEDGED_WITHIN).expect("a write without the third");
    let newer = heartbeat(&mut cluster, 0, 2);
    let is_behind = |cluster: &Cluster<Node>| cluster.process(endpoint(2)).unwrap().replica.is_behind();
    deliver(&mut cluster, 0, 2, newer);
    assert!(is_behind(&cluster), "the other has committed more");
    deliver(&mut cluster, 0, 2, held_up);
    assert!(is_behind(&cluster), "what was said before changes nothing");
}
