//! What clients ask for, what is read again, and when things happen.

use whinspindle_lab_serving::engine::{PromptPart, chain_of};
use whinspindle_lab_serving::prompt_ledger::{PromptLedger, PromptTokens};
use whinspindle_lab_serving::random::Random;
use whinspindle_lab_serving::schedule::schedule;
use whinspindle_lab_serving::tally::{Failure, Outcome, Tally};
use whinspindle_lab_serving::traffic::{Draft, kinds};

fn regions(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("region-{index}")).collect()
}

#[test]
fn drafts_keep_to_their_kinds() {
    let kinds = kinds(&regions(3));
    let mut random = Random::new(1);
    let mut counts = vec![0; kinds.len()];
    for _ in 0..10_000 {
        let draft = Draft::draw(&mut random, &kinds);
        counts[draft.kind] += 1;
        let Some(shape) = &kinds[draft.kind].stream else {
            assert!(draft.prompt.is_empty());
            continue;
        };
        assert_eq!(draft.prompt.len(), shape.shared.len() + 1);
        assert_eq!(draft.prompt.last().map(|part| part.id), Some(draft.session));
        assert!((1..=shape.most_events).contains(&draft.events));
    }
    for (kind, count) in kinds.iter().zip(counts) {
        let share = f64::from(count) / 10_000.0;
        assert!((share - kind.share).abs() < 0.02, "{}: {share}", kind.name);
    }
}

#[test]
fn homes_leave_out_a_region_only_if_there_are_enough() {
    assert_eq!(kinds(&regions(3))[1].home_regions.len(), 2);
    assert!(kinds(&regions(2))[1].home_regions.is_empty());
}

#[test]
fn parts_count_as_read_again_shortly_after_their_last_use() {
    let chain = chain_of(&[PromptPart { id: 1, tokens: 100 }]);
    let mut ledger = PromptLedger::default();
    ledger.read(0, &chain[0]);
    ledger.reuse(8_000, chain[0].key);
    ledger.read(18_000, &chain[0]);
    ledger.read(28_001, &chain[0]);
    assert_eq!(ledger.tokens(), PromptTokens { read: 300, read_again: 100, reused: 100 });
}

#[test]
fn events_come_in_order_within_the_run() {
    let events = schedule(20_000);
    assert!(events.windows(2).all(|pair| pair[0].at_ms <= pair[1].at_ms));
    assert!(events.iter().all(|event| event.at_ms < 20_000));
}

#[test]
fn outcomes_are_counted_by_kind() {
    let mut tally = Tally::new(["a".to_owned(), "b".to_owned()]);
    for first_event_ms in 1..=100 {
        tally.add(0, Outcome::Served { in_time: first_event_ms <= 90, first_event_ms });
    }
    tally.add(1, Outcome::Refused { status: 503 });
    tally.add(1, Outcome::Failed(Failure::Cut));
    let kinds: Vec<_> = tally.kinds().map(|(_, kind)| kind.clone()).collect();
    assert_eq!((kinds[0].requests, kinds[0].served(), kinds[0].in_time), (100, 100, 90));
    assert_eq!((kinds[0].first_event_ms(0.5), kinds[0].first_event_ms(0.99)), (Some(50), Some(99)));
    assert_eq!((kinds[1].requests, kinds[1].refused(), kinds[1].failed()), (2, 1, 1));
    assert_eq!(kinds[1].first_event_ms(0.5), None);
}
