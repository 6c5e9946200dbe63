//! Digests of ranges, and the reconciliation of two replicas.

use std::collections::BTreeMap;

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use whinspindle_digests::{
    Answer, Change, Digest, FAN_OUT, KeyRange, MAX_ANSWER_BYTES, MAX_QUESTION_RANGES, RangeAnswer,
    RangeDigest, Reconciliation, UnexpectedAnswer, answer_question, differing_ranges, digest, partition,
    split,
};

type Record = (u64, Vec<u8>);
type Records = BTreeMap<String, Record>;

/// Records with keys made of the numbers, each with a value of `value_bytes` bytes.
fn numbered_records(numbers: impl IntoIterator<Item = u32>, value_bytes: usize) -> Records {
    let entry =
        |number: u32| (format!("key-{number:06}"), (u64::from(number), vec![number as u8; value_bytes]));
    numbers.into_iter().map(entry).collect()
}

fn range(start: &str, end: Option<&str>) -> KeyRange {
    KeyRange { start: start.to_owned(), end: end.map(str::to_owned) }
}

fn apply_changes(records: &mut Records, changes: Vec<Change<Record>>) {
    for change in changes {
        match change {
            Change::Write { key, record } => {
                records.insert(key, record);
            }
            Change::Remove { key } => {
                assert!(records.remove(&key).is_some(), "`{key}` is removed twice");
            }
        }
    }
}

/// The cost of a reconciliation.
#[derive(Debug, Default)]
struct Cost {
    rounds: usize,
    records: usize,
    changes: usize,
    largest_question: usize,
    largest_answer_bytes: usize,
}

fn reconcile(target: &mut Records, source: &Records) -> Cost {
    let mut cost = Cost::default();
    let mut reconciliation = Reconciliation::new();
    while let Some(question) = reconciliation.next_question(target) {
        let answer = answer_question(source, &question);
        assert!(!answer.ranges.is_empty(), "the answer covers no range");
        cost.rounds += 1;
        cost.largest_question = cost.largest_question.max(question.ranges.len());
        let sent = answer.ranges.iter().flat_map(|range| match range {
            RangeAnswer::Records(records) => records.as_slice(),
            _ => &[],
        });
        cost.records += sent.clone().count();
        let bytes = sent.map(|(key, record)| key.len() + record.1.len()).sum();
        cost.largest_answer_bytes = cost.largest_answer_bytes.max(bytes);
        let changes = reconciliation.apply(target, answer).expect("the answer matches");
        cost.changes += changes.len();
        apply_changes(target, changes);
        assert!(cost.rounds < 10_000, "the reconciliation does not end");
    }
    cost
}

#[test]
fn a_digest_covers_keys_sequences_and_values() {
    let all = KeyRange::all();
    let records = numbered_records([1, 2, 3], 5);
    let original = digest(&records, &all);
    assert_eq!(digest(&records.clone(), &all), original);

    let mut changed = Vec::new();
    let mut change = |edit: &dyn Fn(&mut Records)| {
        let mut records = records.clone();
        edit(&mut records);
        changed.push(digest(&records, &all));
    };
    change(&|records| drop(records.remove("key-000002")));
    change(&|records| drop(records.insert("key-000004".to_owned(), (4, Vec::new()))));
    change(&|records| records.get_mut("key-000001").expect("the record exists").0 = 9);
    change(&|records| records.get_mut("key-000001").expect("the record exists").1[0] = 9);
    change(&|records| records.get_mut("key-000003").expect("the record exists").1.truncate(4));
    changed.push(original);
    for (index, digest) in changed.iter().enumerate() {
        assert!(!changed[index + 1..].contains(digest), "two different states have the same digest");
    }
}

#[test]
fn a_digest_excludes_other_ranges() {
    let mut records = numbered_records(0..10, 5);
    let middle = range("key-000003", Some("key-000006"));
    let before = digest(&records, &middle);
    records.remove("key-000002");
    records.remove("key-000006");
    assert_eq!(digest(&records, &middle), before);
    records.remove("key-000003");
    assert_ne!(digest(&records, &middle), before);
}

#[test]
fn ranges_without_keys_have_the_digest_of_no_records() {
    let records = numbered_records(0..10, 5);
    for range in
        [range("key-000005", Some("key-000005")), range("key-000007", Some("key-000002")), range("x", None)]
    {
        assert_eq!(range.entries(&records).count(), 0);
        assert_eq!(digest(&records, &range), digest(&Records::new(), &KeyRange::all()));
    }
}

#[test]
fn digests_convert_to_bytes_and_back() {
    let digest = digest(&numbered_records(0..3, 1), &KeyRange::all());
    assert_eq!(Digest::from_bytes(digest.as_bytes()), Some(digest));
    assert_eq!(Digest::from_bytes(&digest.as_bytes()[1..]), None);
}

#[test]
fn equal_replicas_need_one_round_trip() {
    for count in [0, 1, 5_000] {
        let source = numbered_records(0..count, 20);
        let cost = reconcile(&mut source.clone(), &source);
        assert_eq!((cost.rounds, cost.records), (1, 0));
    }
}

#[test]
fn one_difference_among_many_records_takes_few_rounds_and_records() {
    let source = numbered_records(0..5_000, 100);
    for edit in [
        |records: &mut Records| drop(records.remove("key-002222")),
        |records: &mut Records| drop(records.insert("key-002222x".to_owned(), (1, Vec::new()))),
        |records: &mut Records| drop(records.insert("a".to_owned(), (1, Vec::new()))),
        |records: &mut Records| drop(records.insert("z".to_owned(), (1, Vec::new()))),
        |records: &mut Records| records.get_mut("key-004999").expect("the record exists").0 += 1,
    ] {
        let mut target = source.clone();
        edit(&mut target);
        let cost = reconcile(&mut target, &source);
        assert_eq!(target, source);
        assert_eq!(cost.changes, 1);
        assert!(cost.rounds <= 5, "{cost:?}");
        assert!(cost.records <= 40, "{cost:?}");
    }
}

#[test]
fn an_empty_replica_receives_each_record_once() {
    let source = numbered_records(0..3_000, 300);
    let mut target = Records::new();
    let cost = reconcile(&mut target, &source);
    assert_eq!(target, source);
    assert_eq!(cost.records, source.len());
}

#[test]
fn all_records_may_be_removed() {
    let mut target = numbered_records(0..3_000, 300);
    let cost = reconcile(&mut target, &Records::new());
    assert!(target.is_empty());
    assert_eq!(cost.rounds, 1);
}

#[test]
fn messages_are_bounded() {
    let source = numbered_records(0..400, 20_000);
    let mut target = Records::new();
    let cost = reconcile(&mut target, &source);
    assert_eq!(target, source);
    assert!(cost.largest_answer_bytes <= MAX_ANSWER_BYTES + 20_100, "{cost:?}");
    assert!(cost.largest_question <= MAX_QUESTION_RANGES, "{cost:?}");
}

#[test]
fn answers_that_do_not_match_are_rejected() {
    let target = numbered_records(0..100, 100);
    let part = |start: &str, end: Option<&str>| RangeDigest::compute(&target, range(start, end));
    let (start, end) = (part("", Some("m")), part("m", None));
    let outside = RangeAnswer::Records(vec![("a".to_owned(), (1, Vec::new()))]);
    let mut reconciliation = Reconciliation::new();
    let mut assert_rejected = |ranges: Vec<RangeAnswer<Record>>| {
        reconciliation.next_question(&target).expect("the records were not compared");
        assert_eq!(reconciliation.apply(&target, Answer { ranges }), Err(UnexpectedAnswer));
    };
    assert_rejected(vec![RangeAnswer::Same, RangeAnswer::Same]);
    assert_rejected(vec![RangeAnswer::Parts(vec![])]);
    assert_rejected(vec![RangeAnswer::Parts(vec![part("", None)])]);
    assert_rejected(vec![RangeAnswer::Parts(vec![start.clone(), part("n", None)])]);
    assert_rejected(vec![RangeAnswer::Parts(vec![part("b", Some("m")), end.clone()])]);
    assert_rejected(vec![RangeAnswer::Parts(vec![start.clone(), part("m", Some("n"))])]);
    assert_rejected(vec![RangeAnswer::Parts(vec![
        part("", Some("m")),
        part("m", Some("a")),
        part("a", None),
    ])]);

    reconciliation.next_question(&target).expect("the records were not compared");
    let parts = RangeAnswer::Parts(vec![start, RangeDigest::compute(&Records::new(), end.range)]);
    assert_eq!(reconciliation.apply(&target, Answer { ranges: vec![parts] }), Ok(Vec::new()));
    let question = reconciliation.next_question(&target);
    assert_eq!(question, None, "no record lies in the part that differs");

    let mut reconciliation = Reconciliation::new();
    reconciliation.next_question(&target).expect("the records were not compared");
    let parts = vec![part("", Some("m")), RangeDigest { range: range("m", None), ..part("", Some("m")) }];
    assert!(reconciliation.apply(&target, Answer { ranges: vec![RangeAnswer::Parts(parts)] }).is_ok());
    reconciliation.next_question(&target).expect("one part differs");
    assert_eq!(reconciliation.apply(&target, Answer { ranges: vec![outside] }), Err(UnexpectedAnswer));
}

/// Two maps that share many records.
#[derive(Clone, Debug)]
struct Pair {
    target: Records,
    source: Records,
}

impl Arbitrary for Pair {
    fn arbitrary(generator: &mut Gen) -> Self {
        let mut pair = Pair { target: Records::new(), source: Records::new() };
        let count = usize::arbitrary(generator) % 600;
        let difference = 1 + u32::arbitrary(generator) % 100;
        let value_length_bound = *generator.choose(&[1, 50, 2_000]).expect("not empty");
        for _ in 0..count {
            let key =
                format!("{}{:x}", ["", "a", "é"][usize::arbitrary(generator) % 3], u16::arbitrary(generator));
            let record =
                (u64::arbitrary(generator), vec![7; usize::arbitrary(generator) % value_length_bound]);
            match u32::arbitrary(generator) % difference {
                0 => drop(pair.target.insert(key, record)),
                1 => drop(pair.source.insert(key, record)),
                2 => {
                    pair.target.insert(key.clone(), (record.0 ^ 1, record.1.clone()));
                    pair.source.insert(key, record);
                }
                _ => {
                    pair.target.insert(key.clone(), record.clone());
                    pair.source.insert(key, record);
                }
            }
        }
        pair
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let Pair { target, source } = self.clone();
        let shared = source.clone();
        let fewer_source = source.into_iter().collect::<Vec<_>>().shrink().take(50);
        let with_target = target.clone();
        let by_source = fewer_source
            .map(move |source| Pair { target: with_target.clone(), source: source.into_iter().collect() });
        let fewer_target = target.into_iter().collect::<Vec<_>>().shrink().take(50);
        let by_target = fewer_target
            .map(move |target| Pair { target: target.into_iter().collect(), source: shared.clone() });
        Box::new(by_source.chain(by_target))
    }
}

#[test]
fn two_maps_become_equal() {
    fn property(pair: Pair) -> bool {
        let Pair { mut target, source } = pair;
        let cost = reconcile(&mut target, &source);
        target == source
            && cost.largest_question <= MAX_QUESTION_RANGES
            && cost.largest_answer_bytes <= MAX_ANSWER_BYTES + 4 * 1024
    }
    QuickCheck::new().tests(1_000).quickcheck(property as fn(Pair) -> bool);
}

#[test]
fn the_differing_ranges_of_a_partition_cover_all_differences() {
    fn property(pair: Pair, parts: u8) -> TestResult {
        let Pair { mut target, source } = pair;
        let digests = partition(&target, usize::from(parts));
        if digests.len() > usize::from(parts).max(1) {
            return TestResult::error("too many parts");
        }
        for range in differing_ranges(&source, &digests) {
            target.retain(|key, _| !range.contains(key));
            target.extend(range.entries(&source).map(|(key, record)| (key.clone(), record.clone())));
        }
        TestResult::from_bool(target == source)
    }
    QuickCheck::new().tests(1_000).quickcheck(property as fn(Pair, u8) -> TestResult);
}

#[test]
fn the_parts_of_a_range_have_no_gap_and_no_overlap() {
    fn property(records: BTreeMap<String, Record>, start: String, end: Option<String>) -> bool {
        let range = KeyRange { start, end };
        let parts = split(&records, &range);
        let boundaries_match =
            parts.windows(2).all(|pair| pair[0].range.end.as_ref() == Some(&pair[1].range.start));
        let count: usize = parts.iter().map(|part| part.range.entries(&records).count()).sum();
        (1..=FAN_OUT).contains(&parts.len())
            && boundaries_match
            && parts[0].range.start == range.start
            && parts[parts.len() - 1].range.end == range.end
            && count == range.entries(&records).count()
            && parts.iter().all(|part| part.matches(&records))
    }
    QuickCheck::new()
        .tests(3_000)
        .quickcheck(property as fn(BTreeMap<String, Record>, String, Option<String>) -> bool);
}
