//! Messages as bytes: what was sent is read again, and damaged bytes are refused or read, but never more than that.

mod common;

use common::node::{cluster, endpoint};
use quickcheck::quickcheck;
use whinspindle_lab_simulated_cluster::{Effect, Event, NetworkTiming, Process};
use whinspindle_replica::{Message, StandardRules};

/// Messages that a running replica sends.
fn messages() -> Vec<Message> {
    let mut cluster = cluster::<StandardRules>(1, 3, 1, NetworkTiming::default());
    cluster.run_until(3_000);
    let now = cluster.now();
    let process = cluster.process_mut(endpoint(0)).unwrap();
    let effects = (0..40).flat_map(|tick| process.handle(now + 50 * tick, Event::Tick));
    let sent = effects.filter_map(|effect| match effect {
        Effect::Send { message, .. } => Some(message),
        _ => None,
    });
    sent.collect()
}

#[test]
fn messages_are_read_as_they_were_sent() {
    let messages = messages();
    assert!(messages.len() > 10);
    for message in messages {
        assert_eq!(Message::decode(&message.encode()).unwrap(), message);
    }
}

#[test]
fn a_truncated_message_is_rejected() {
    let bytes = messages()[0].encode();
    for length in 0..bytes.len() {
        assert!(Message::decode(&bytes[..length]).is_err(), "{length} of {}", bytes.len());
    }
}

quickcheck! {
    fn any_bytes_are_rejected_or_decoded(bytes: Vec<u8>) -> bool {
        let _ = Message::decode(&bytes);
        true
    }

    fn a_damaged_message_is_rejected_or_decoded(at: usize, value: u8) -> bool {
        let mut bytes = messages()[0].encode();
        let at = at % bytes.len();
        bytes[at] = value;
        let _ = Message::decode(&bytes);
        true
    }
}
