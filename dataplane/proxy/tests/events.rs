//! The event splitter: complete events for any chunk boundaries, and increasing ids.

use bytes::Bytes;
use quickcheck::{TestResult, quickcheck};
use whinspindle_proxy::events::{EventError, EventSplitter, MAX_EVENT_BYTES, StreamPosition};

fn push(splitter: &mut EventSplitter, piece: &str) -> Result<String, EventError> {
    let events = splitter.push(Bytes::copy_from_slice(piece.as_bytes()))?;
    Ok(String::from_utf8(events.to_vec()).expect("events are text"))
}

fn event(id: u64, text: &str) -> String {
    format!("id: {id}\ndata: {text}\n\n")
}

#[test]
fn complete_events_pass_at_once() {
    let mut splitter = EventSplitter::new(None);
    let two = event(1, "a") + &event(2, "b");
    assert_eq!(push(&mut splitter, &two), Ok(two));
    assert_eq!(
        splitter.position(),
        StreamPosition { last_id: Some(2), largest_step: Some(1), versions: None }
    );
    assert!(splitter.finish().is_empty());
}

#[test]
fn a_partial_event_is_held_back() {
    let mut splitter = EventSplitter::new(None);
    assert_eq!(push(&mut splitter, "id: 1\ndata: a\n\nid: 2\nda"), Ok(event(1, "a")));
    assert_eq!(splitter.position().last_id, Some(1));
    assert_eq!(push(&mut splitter, "ta: b\n"), Ok(String::new()));
    assert_eq!(push(&mut splitter, "\nid"), Ok(event(2, "b")));
    assert_eq!(splitter.position().last_id, Some(2));
    assert_eq!(splitter.finish(), "id");
}

#[test]
fn lines_may_end_with_carriage_returns() {
    let mut splitter = EventSplitter::new(None);
    let events = "versions: 3\r\nid: 7\r\ndata: a\r\n\r\n";
    assert_eq!(push(&mut splitter, events), Ok(events.to_owned()));
    assert_eq!(splitter.position().last_id, Some(7));
}

#[test]
fn a_change_of_versions_is_tracked() {
    let mut splitter = EventSplitter::new(Some(3));
    assert_eq!(push(&mut splitter, &event(1, "a")), Ok(event(1, "a")));
    assert_eq!(splitter.position().versions, Some(3));
    let changed = "versions: 4\n".to_owned() + &event(2, "b");
    assert_eq!(push(&mut splitter, &changed), Ok(changed));
    assert_eq!(splitter.position().versions, Some(4));
    // A version takes effect once its event is complete.
    assert_eq!(push(&mut splitter, "versions: 5\nid: 3\n"), Ok(String::new()));
    assert_eq!(splitter.position().versions, Some(4));
}

#[test]
fn ids_must_rise() {
    for (first, second) in [(5, 5), (5, 4)] {
        let mut splitter = EventSplitter::new(None);
        let events = event(first, "a") + &event(second, "b");
        assert_eq!(push(&mut splitter, &events), Err(EventError::NotIncreasing { last: first, id: second }));
    }
}

#[test]
fn a_resumed_run_continues_after_the_first() {
    let position = StreamPosition { last_id: Some(12), largest_step: Some(4), versions: None };
    let cases = [
        (13, Ok(())),
        (16, Ok(())),
        (12, Err(EventError::NotIncreasing { last: 12, id: 12 })),
        (4, Err(EventError::NotIncreasing { last: 12, id: 4 })),
        (17, Err(EventError::Gap { last: 12, id: 17 })),
    ];
    for (id, expected) in cases {
        let mut splitter = EventSplitter::resuming(position);
        assert_eq!(push(&mut splitter, &event(id, "x")).map(|_| ()), expected, "id {id}");
    }
}

#[test]
fn only_the_first_event_of_a_resumed_run_is_checked_against_the_step() {
    let mut splitter =
        EventSplitter::resuming(StreamPosition { last_id: Some(12), largest_step: Some(1), versions: None });
    let events = event(13, "a") + &event(20, "b");
    assert_eq!(push(&mut splitter, &events), Ok(events));
    assert_eq!(
        splitter.position(),
        StreamPosition { last_id: Some(20), largest_step: Some(7), versions: None }
    );
}

#[test]
fn events_without_ids_pass() {
    let mut splitter = EventSplitter::new(None);
    let events = ": still there\n\ndata: a\n\n";
    assert_eq!(push(&mut splitter, events), Ok(events.to_owned()));
    assert_eq!(splitter.position(), StreamPosition::default());
}

#[test]
fn an_endless_event_is_rejected() {
    let mut splitter = EventSplitter::new(None);
    let half = "x".repeat(MAX_EVENT_BYTES / 2 + 1);
    assert_eq!(push(&mut splitter, &half), Ok(String::new()));
    assert_eq!(push(&mut splitter, &half), Err(EventError::TooLong));
}

/// Splits the text at the positions in `cuts`.
fn pieces(text: &str, cuts: &[usize]) -> Vec<String> {
    let mut places: Vec<usize> = cuts.iter().map(|cut| cut % (text.len() + 1)).collect();
    places.extend([0, text.len()]);
    places.sort_unstable();
    places.windows(2).map(|pair| text[pair[0]..pair[1]].to_owned()).collect()
}

quickcheck! {
    fn chunk_boundaries_do_not_matter(steps: Vec<u8>, cuts: Vec<usize>, tail: bool) -> TestResult {
        let mut id = 0;
        let mut text = String::new();
        for step in &steps {
            id += u64::from(*step) + 1;
            text += &event(id, &"t".repeat(usize::from(*step) % 7));
        }
        let whole = text.clone();
        if tail {
            text += "id: 9999999\ndata: cut";
        }
        let mut splitter = EventSplitter::new(None);
        let mut passed = String::new();
        for piece in pieces(&text, &cuts) {
            let Ok(events) = push(&mut splitter, &piece) else { return TestResult::failed() };
            if !events.is_empty() && !events.ends_with("\n\n") {
                return TestResult::failed();
            }
            passed += &events;
        }
        let last = (id > 0).then_some(id);
        let rest = splitter.finish();
        let kept = rest == text.as_bytes()[whole.len()..];
        TestResult::from_bool(passed == whole && splitter.position().last_id == last && kept)
    }
}
