//! Sends sections from a publisher to a subscriber, which acknowledges the sections that it applied.

use bytes::Bytes;
use whinspindle_distribution::{AppliedState, Configured, Evacuations, Publisher, SubscriberId, Versions};

fn main() {
    let subscriber = SubscriberId(1);
    let (mut publisher, mut applied) = (Publisher::new(), AppliedState::new());
    publisher.set_configured(Configured { sequence: 1, body: Bytes::from_static(b"{}") });
    publisher.subscribe(subscriber, Versions::default());
    for now in [0, 10, 20] {
        if now == 20 {
            publisher.set_evacuations(Evacuations { sequence: 2, zones: vec!["zone-a".to_owned()] });
        }
        match publisher.update_for(now, subscriber) {
            Some(update) => {
                let changes = applied.apply(now, update);
                println!("at {now} ms: {changes:?}");
                publisher.acknowledge(now, subscriber, applied.versions());
            }
            None => println!("at {now} ms: nothing new"),
        }
    }
    println!("unacknowledged sections: {:?}", publisher.lags(2_000).len());
}
