//! The fence of `Learn`: what was committed in a view that a replica does not know yet waits until it does.

mod common;

use std::cell::Cell;
use std::rc::Rc;

use common::clients::Clients;
use common::history::{Request, check};
use common::node::{cluster, endpoint};
use whinspindle_lab_simulated_cluster::NetworkTiming;
use whinspindle_replica::{Message, StandardRules};

/// The head is silent, and hears nothing but what others have committed without it: it does not know the view in which
/// it is no member of the chain. Where its own log holds an entry that never left it, theirs holds another.
#[test]
fn a_head_does_not_take_its_own_entry_for_one_that_others_have_committed() {
    let mut cluster = cluster::<StandardRules>(1, 3, 1, NetworkTiming::default());
    let mut clients = Clients::default();
    clients.run_until(&mut cluster, 2_000);
    let head = endpoint(0);
    assert!(clients.write_within(&mut cluster, head, 1_000).is_some());
    let until = cluster.now() + 500;
    clients.run_until(&mut cluster, until);
    let before = cluster.process(head).unwrap().replica.committed_records().clone();

    let taught = Rc::new(Cell::new(0));
    let counter = Rc::clone(&taught);
    cluster.network().withhold(move |from, to, message| {
        let is_taught = to == head && matches!(message, Message::Learn { .. });
        counter.set(counter.get() + usize::from(is_taught));
        from == head || (to == head && !is_taught)
    });
    clients.begin(&mut cluster, head, "register-0", Request::Put("never-left".to_string()));
    let until = cluster.now() + 2_500;
    clients.run_until(&mut cluster, until);
    for number in [1, 2, 1] {
        assert!(clients.write_within(&mut cluster, endpoint(number), 3_000).is_some());
    }
    let until = cluster.now() + 100;
    clients.run_until(&mut cluster, until);

    assert!(taught.get() >= 3, "only {} were taught", taught.get());
    let replica = &cluster.process(head).unwrap().replica;
    assert!(replica.newest_sequence() > replica.committed_sequence(), "its own entry waits in its log");
    assert_eq!(replica.view().number, 1, "it knows no other view");
    assert_eq!(*replica.committed_records(), before, "what it can't place is not taken in");

    cluster.network().withhold_nothing();
    let until = cluster.now() + 6_000;
    clients.run_until(&mut cluster, until);
    let others = cluster.process(endpoint(1)).unwrap().replica.committed_records().clone();
    let replica = &cluster.process(head).unwrap().replica;
    assert!(replica.view().number > 1);
    assert_eq!(*replica.committed_records(), others);
    check(&clients.history()).unwrap();
}
