//! What is written can be read; what is cut short or points to the same part again and again is refused.

use capnp::message::ReaderOptions;
use capnp::serialize::write_message_to_words;
use whinspindle_encoding::{new_message, read_message};

const TEXTS: u32 = 40;

fn message_with_texts() -> Vec<u8> {
    let mut message = new_message();
    let mut texts = message.initn_root::<capnp::text_list::Builder<'_>>(TEXTS);
    for index in 0..TEXTS {
        texts.set(index, "a text of some length");
    }
    write_message_to_words(&message)
}

#[test]
fn what_is_written_can_be_read() {
    let bytes = message_with_texts();
    let message = read_message(&bytes).unwrap();
    let texts = message.get_root::<capnp::text_list::Reader<'_>>().unwrap();
    assert_eq!(texts.len(), TEXTS);
    assert_eq!(texts.get(TEXTS - 1).unwrap(), "a text of some length");
}

#[test]
fn a_truncated_message_is_rejected() {
    let bytes = message_with_texts();
    for length in 0..bytes.len() {
        assert!(read_message(&bytes[..length]).is_err(), "cut to {length} bytes");
    }
}

#[test]
fn a_message_is_read_through_a_bounded_number_of_times() {
    let bytes = message_with_texts();
    let message = read_message(&bytes).unwrap();
    let reads_all = || {
        let texts = message.get_root::<capnp::text_list::Reader<'_>>()?;
        texts.iter().try_for_each(|text| text.map(|_| ()))
    };
    let most = ReaderOptions::default().nesting_limit as usize;
    let readings = (0..most).take_while(|_| reads_all().is_ok()).count();
    assert!((1..most).contains(&readings), "{readings} readings");
}
