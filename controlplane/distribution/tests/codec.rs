//! Tests of the codecs: messages are unchanged after encoding and decoding, and invalid bytes give errors.

mod common;

use common::Random;
use quickcheck::quickcheck;
use whinspindle_distribution::{
    Gossip, Hello, Report, ToBalancer, decode_gossip, decode_hello, decode_report, decode_to_balancer,
    encode_gossip, encode_hello, encode_report, encode_to_balancer,
};

quickcheck! {
    fn hello_round_trip(hello: Random<Hello>) -> bool {
        decode_hello(&encode_hello(&hello.0)).unwrap() == hello.0
    }

    fn to_balancer_round_trip(message: Random<ToBalancer>) -> bool {
        decode_to_balancer(&encode_to_balancer(&message.0)).unwrap() == message.0
    }

    fn report_round_trip(report: Random<Report>) -> bool {
        decode_report(&encode_report(&report.0)).unwrap() == report.0
    }

    fn gossip_round_trip(gossip: Random<Gossip>) -> bool {
        decode_gossip(&encode_gossip(&gossip.0)).unwrap() == gossip.0
    }

    fn decoding_truncated_messages_fails(
        message: Random<ToBalancer>,
        gossip: Random<Gossip>,
        cut: usize
    ) -> bool {
        let message = encode_to_balancer(&message.0);
        let gossip = encode_gossip(&gossip.0);
        decode_to_balancer(&message[..cut % message.len()]).is_err()
            && decode_gossip(&gossip[..cut % gossip.len()]).is_err()
    }

    fn decoding_altered_messages_does_not_panic(
        message: Random<ToBalancer>,
        report: Random<Report>,
        position: usize,
        byte: u8
    ) -> bool {
        let mut message = encode_to_balancer(&message.0);
        let length = message.len();
        message[position % length] = byte;
        let mut report = encode_report(&report.0);
        let length = report.len();
        report[position % length] = byte;
        let _ = (decode_to_balancer(&message), decode_report(&report));
        true
    }

    fn decoding_random_bytes_does_not_panic(bytes: Vec<u8>) -> bool {
        let _ = (
            decode_hello(&bytes),
            decode_to_balancer(&bytes),
            decode_report(&bytes),
            decode_gossip(&bytes),
        );
        true
    }
}

#[test]
fn decoding_empty_input_fails() {
    assert!(decode_hello(&[]).is_err());
    assert!(decode_to_balancer(&[]).is_err());
    assert!(decode_report(&[]).is_err());
    assert!(decode_gossip(&[]).is_err());
}

#[test]
fn length_beyond_the_end_of_the_input_is_rejected() {
    let message = [0, 0, 0, 0, 0xff, 0xff, 0xff, 0x7f, 0, 0, 0, 0, 0, 0, 0, 0];
    assert!(decode_report(&message).is_err());
}
