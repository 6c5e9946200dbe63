//! Messages survive the way to bytes and back, and bytes that are no message give errors.

mod common;

use common::Any;
use quickcheck::quickcheck;
use whinspindle_distribution::{
    Gossip, Hello, Report, ToBalancer, decode_gossip, decode_hello, decode_report, decode_to_balancer,
    encode_gossip, encode_hello, encode_report, encode_to_balancer,
};

quickcheck! {
    fn hello_round_trip(hello: Any<Hello>) -> bool {
        decode_hello(&encode_hello(&hello.0)).unwrap() == hello.0
    }

    fn to_balancer_round_trip(message: Any<ToBalancer>) -> bool {
        decode_to_balancer(&encode_to_balancer(&message.0)).unwrap() == message.0
    }

    fn report_round_trip(report: Any<Report>) -> bool {
        decode_report(&encode_report(&report.0)).unwrap() == report.0
    }

    fn gossip_round_trip(gossip: Any<Gossip>) -> bool {
        decode_gossip(&encode_gossip(&gossip.0)).unwrap() == gossip.0
    }

    fn truncated_messages_give_errors(message: Any<ToBalancer>, gossip: Any<Gossip>, cut: usize) -> bool {
        let message = encode_to_balancer(&message.0);
        let gossip = encode_gossip(&gossip.0);
        decode_to_balancer(&message[..cut % message.len()]).is_err()
            && decode_gossip(&gossip[..cut % gossip.len()]).is_err()
    }

    fn altered_messages_do_not_panic(message: Any<ToBalancer>, report: Any<Report>, at: usize, byte: u8) -> bool {
        let mut message = encode_to_balancer(&message.0);
        let length = message.len();
        message[at % length] = byte;
        let mut report = encode_report(&report.0);
        let length = report.len();
        report[at % length] = byte;
        let _ = (decode_to_balancer(&message), decode_report(&report));
        true
    }

    fn garbage_does_not_panic(garbage: Vec<u8>) -> bool {
        let _ = (decode_hello(&garbage), decode_to_balancer(&garbage), decode_report(&garbage), decode_gossip(&garbage));
        true
    }
}

#[test]
fn empty_input_is_no_message() {
    assert!(decode_hello(&[]).is_err());
    assert!(decode_to_balancer(&[]).is_err());
    assert!(decode_report(&[]).is_err());
    assert!(decode_gossip(&[]).is_err());
}

#[test]
fn large_length_in_few_bytes_is_refused() {
    let claim = [0, 0, 0, 0, 0xff, 0xff, 0xff, 0x7f, 0, 0, 0, 0, 0, 0, 0, 0];
    assert!(decode_report(&claim).is_err());
}
