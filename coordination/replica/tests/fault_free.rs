//! Operation without faults: stable membership, writes at the head, answers from the tail.

mod common;

use common::clients::Clients;
use common::history::{Request, check};
use common::node::{cluster, endpoint};
use whinspindle_lab_simulated_cluster::NetworkTiming;
use whinspindle_replica::StandardRules;

#[test]
fn three_members_serve_writes_and_reads_at_every_replica() {
    let mut cluster = cluster::<StandardRules>(1, 3, 1, NetworkTiming::default());
    let mut clients = Clients::default();
    clients.run_until(&mut cluster, 1_500);
    for number in 0..3 {
        let took = clients.write_within(&mut cluster, endpoint(number), 1_000);
        assert!(took.is_some_and(|took| took < 150), "replica {number} took {took:?}");
    }
    for number in 0..3 {
        clients.begin(&mut cluster, endpoint(number), "register-0", Request::Get);
    }
    let until = cluster.now() + 1_000;
    clients.run_until(&mut cluster, until);
    assert_eq!(clients.answered(), 6);
    check(&clients.history()).unwrap();
    for number in 0..3 {
        let replica = &cluster.process(endpoint(number)).unwrap().replica;
        assert_eq!(replica.committed_sequence(), 3);
        assert!(replica.is_in_quorum(cluster.now()));
        assert_eq!(replica.view().number, 1, "nothing calls for a view change");
    }
}
