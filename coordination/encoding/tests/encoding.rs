//! Messages can be read back; truncated messages and excessive traversal are rejected.

use capnp::message::ReaderOptions;
use capnp::serialize::write_message_to_words;
use whinspindle_encoding::{new_message, read_message};

const TEXT_COUNT: u32 = 40;

fn message_with_texts() -> Vec<u8> {
    let mut message = new_message();
    let mut texts = message.initn_root::<capnp::text_list::Builder<'_>>(TEXT_COUNT);
    for index in 0..TEXT_COUNT {
        texts.set(index, "a text of some length");
    }
    write_message_to_words(&message)
}

#[test]
fn a_written_message_can_be_read() {
    let bytes = message_with_texts();
    let message = read_message(&bytes).unwrap();
    let texts = message.get_root::<capnp::text_list::Reader<'_>>().unwrap();
    assert_eq!(texts.len(), TEXT_COUNT);
    assert_eq!(texts.get(TEXT_COUNT - 1).unwrap(), "a text of some length");
}

#[test]
fn a_truncated_message_is_rejected() {
    let bytes = message_with_texts();
    for length in 0..bytes.len() {
        assert!(read_message(&bytes[..length]).is_err(), "cut to {length} bytes");
    }
}

#[test]
fn the_number_of_traversals_is_bounded() {
    let bytes = message_with_texts();
    let message = read_message(&bytes).unwrap();
    let read_all_texts = || {
        let texts = message.get_root::<capnp::text_list::Reader<'_>>()?;
        texts.iter().try_for_each(|text| text.map(|_| ()))
    };
    let max_traversals = ReaderOptions::default().nesting_limit as usize;
    let traversals = (0..max_traversals).take_while(|_| read_all_texts().is_ok()).count();
    assert!((1..max_traversals).contains(&traversals), "{traversals} traversals");
}
