//! The fence of `Learn`: a replica applies records committed in a newer view only after it knows that view.

mod common;

use std::cell::Cell;
use std::rc::Rc;

use common::clients::Clients;
use common::history::{Request, check};
use common::node::{cluster, endpoint};
use whinspindle_lab_simulated_cluster::NetworkTiming;
use whinspindle_replica::{Message, StandardRules};

/// The head is isolated except for incoming `Learn` messages, so it does not know the view whose chain
/// excludes it. Its log has an entry that it never sent, at a sequence where the other logs have a different
/// entry.
#[test]
fn an_isolated_head_does_not_commit_its_own_entry_in_place_of_the_committed_one() {
    let mut cluster = cluster::<StandardRules>(1, 3, 1, NetworkTiming::default());
    let mut clients = Clients::default();
    clients.run_until(&mut cluster, 2_000);
    let head = endpoint(0);
    assert!(clients.write_within(&mut cluster, head, 1_000).is_some());
    let until = cluster.now() + 500;
    clients.run_until(&mut cluster, until);
    let before = cluster.process(head).unwrap().replica.committed_records().clone();

    let learn_messages = Rc::new(Cell::new(0));
    let counter = Rc::clone(&learn_messages);
    cluster.network().set_drop_filter(move |from, to, message| {
        let is_learn = to == head && matches!(message, Message::Learn { .. });
        counter.set(counter.get() + usize::from(is_learn));
        from == head || (to == head && !is_learn)
    });
    clients.begin(&mut cluster, head, "register-0", Request::Put("never-left".to_string()));
    let until = cluster.now() + 2_500;
    clients.run_until(&mut cluster, until);
    for number in [1, 2, 1] {
        assert!(clients.write_within(&mut cluster, endpoint(number), 3_000).is_some());
    }
    let until = cluster.now() + 100;
    clients.run_until(&mut cluster, until);

    assert!(learn_messages.get() >= 3, "only {} Learn messages arrived", learn_messages.get());
    let replica = &cluster.process(head).unwrap().replica;
    assert!(
        replica.newest_sequence() > replica.committed_sequence(),
        "its own entry is uncommitted in its log"
    );
    assert_eq!(replica.view().number, 1, "it knows no newer view");
    assert_eq!(*replica.committed_records(), before, "records of an unknown view are not applied");

    cluster.network().clear_drop_filter();
    let until = cluster.now() + 6_000;
    clients.run_until(&mut cluster, until);
    let others = cluster.process(endpoint(1)).unwrap().replica.committed_records().clone();
    let replica = &cluster.process(head).unwrap().replica;
    assert!(replica.view().number > 1);
    assert_eq!(*replica.committed_records(), others);
    check(&clients.history()).unwrap();
}
