//! The client's reading of streams.

use bytes::Bytes;
use whinspindle_lab_serving::traffic::{EventReader, StreamFault, event_text};

const SESSION: u64 = 77;

fn event(id: u64, total: u64) -> String {
    format!("id: {id}\ndata: {}\n\n", event_text(SESSION, id, total))
}

fn push(reader: &mut EventReader, now: u64, text: &str) -> Result<(), StreamFault> {
    reader.push(now, &Bytes::copy_from_slice(text.as_bytes()))
}

#[test]
fn a_whole_stream_may_come_in_any_pieces() {
    let text: String = (1..=3).map(|id| event(id, 3)).collect();
    for size in 1..text.len() {
        let mut reader = EventReader::new(0, SESSION, 3);
        for piece in text.as_bytes().chunks(size) {
            reader.push(0, &Bytes::copy_from_slice(piece)).unwrap();
        }
        assert!(reader.is_whole());
        assert_eq!(reader.finish(), Ok(()));
    }
}

#[test]
fn first_event_and_longest_pause_are_measured() {
    let mut reader = EventReader::new(100, SESSION, 3);
    push(&mut reader, 150, &event(1, 3)).unwrap();
    push(&mut reader, 450, &event(2, 3)).unwrap();
    push(&mut reader, 460, &event(3, 3)).unwrap();
    assert_eq!(reader.first_event_ms(), Some(50));
    assert_eq!(reader.longest_pause_ms(), 300);
}

#[test]
fn missing_double_and_surplus_events_are_found() {
    let mut reader = EventReader::new(0, SESSION, 3);
    let missing = push(&mut reader, 0, &event(2, 3));
    assert_eq!(missing, Err(StreamFault::OutOfOrder { expected: 1, found: Some(2) }));

    let mut reader = EventReader::new(0, SESSION, 3);
    push(&mut reader, 0, &event(1, 3)).unwrap();
    let double = push(&mut reader, 0, &event(1, 3));
    assert_eq!(double, Err(StreamFault::OutOfOrder { expected: 2, found: Some(1) }));

    let mut reader = EventReader::new(0, SESSION, 1);
    push(&mut reader, 0, &event(1, 1)).unwrap();
    let surplus = push(&mut reader, 0, &event(2, 1));
    assert_eq!(surplus, Err(StreamFault::OutOfOrder { expected: 2, found: Some(2) }));
}

#[test]
fn another_text_is_found() {
    let mut reader = EventReader::new(0, SESSION, 3);
    let other = format!("id: 1\ndata: {}\n\n", event_text(SESSION + 1, 1, 3));
    assert_eq!(push(&mut reader, 0, &other), Err(StreamFault::OtherText { id: 1 }));
}

#[test]
fn an_early_end_must_not_look_complete() {
    let mut reader = EventReader::new(0, SESSION, 3);
    push(&mut reader, 0, &event(1, 3)).unwrap();
    assert_eq!(reader.finish(), Err(StreamFault::EndedEarly { last: 1, total: 3 }));
}

#[test]
fn a_new_try_goes_on_behind_the_last_whole_event() {
    let mut reader = EventReader::new(0, SESSION, 2);
    push(&mut reader, 0, &event(1, 2)).unwrap();
    push(&mut reader, 0, "id: 2\nda").unwrap();
    reader.resume();
    assert_eq!(reader.last_id(), 1);
    push(&mut reader, 0, &event(2, 2)).unwrap();
    assert_eq!(reader.finish(), Ok(()));
}
