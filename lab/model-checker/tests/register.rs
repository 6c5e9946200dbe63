//! Every order of deliveries, and the faults that it finds.

use whinspindle_consensus::{ConsensusRules, StandardConsensusRules};
use whinspindle_lab_model_checker::plants::*;
use whinspindle_lab_model_checker::register::{Bound, Searched, search};

const TWO: Bound =
    Bound { rounds: [1, 1], memories: 0, steps: ['a', 'b'], prompt: false, before: &[], most_states: 40_000 };
const LOST: Bound = Bound { memories: 1, prompt: true, most_states: 15_000, ..TWO };
/// Voter 2 has voted in the first round, which is agreed by that.
const FORGOTTEN: Bound = Bound {
    before: &[
        "proposer 0 begins round 1",
        "voter 0 promises round 1, and is heard",
        "voter 2 promises round 1, and is heard",
        "voter 0 votes for \"0a\" of round 1",
        "voter 2 votes for \"0a\" of round 1",
    ],
    ..LOST
};
/// The first round has reached one voter alone.
const THREE: Bound = Bound {
    rounds: [2, 1],
    prompt: true,
    before: &[
        "proposer 0 begins round 1",
        "voter 0 promises round 1, and is heard",
        "voter 1 promises round 1, and is heard",
        "voter 0 votes for \"0a\" of round 1",
        "proposer 1 begins round 2",
        "voter 1 promises round 2, and is heard",
    ],
    most_states: 15_000,
    ..TWO
};
/// Voter 3 is to take the place of voter 2: it has voted for that with voter 1, and the next round is to settle it.
const REPLACED: Bound = Bound {
    rounds: [2, 2],
    steps: ['r', 'b'],
    before: &[
        "proposer 0 begins round 1",
        "voter 0 promises round 1, and is heard",
        "voter 1 promises round 1, and is heard",
        "voter 1 votes for \"0r\" of round 1",
        "voter 3 votes for \"0r\" of round 1",
        "proposer 1 begins round 2",
        "proposer 0 begins round 3",
        "voter 0 promises round 3, and is heard",
        "voter 1 promises round 3, and is heard",
        "voter 1 votes for \"0rr\" of round 3",
        "proposer 1 begins round 4",
    ],
    ..THREE
};

#[test]
fn as_published_nothing_is_lost() {
    for (name, bound, whole) in [
        ("two rounds", TWO, true),
        ("a memory lost", LOST, false),
        ("a vote lost", FORGOTTEN, false),
        ("three rounds", THREE, false),
        ("a voter replaced", REPLACED, false),
    ] {
        let Searched { states, whole: seen, broken } = search::<StandardConsensusRules>(&bound, false);
        println!("{name}: {states} states");
        assert_eq!((broken, seen), (None, whole), "{name}");
        assert!(states > 1_000, "{name}: {states}");
    }
}

fn found<L: ConsensusRules>(bound: &Bound, forgets: bool, longest: usize) {
    let (broken, way) = search::<L>(bound, forgets).broken.expect("the planted fault is found");
    println!("{}: {broken}\n  {}", std::any::type_name::<L>(), way.join("\n  "));
    assert!(way.len() <= longest, "{way:?}");
}

#[test]
fn each_planted_fault_is_found_by_a_short_way() {
    found::<HalfIsEnough>(&TWO, false, 20);
    found::<PromiseBroken>(&TWO, false, 20);
    found::<NothingAdopted>(&TWO, false, 20);
    found::<OldestAdopted>(&THREE, false, 24);
    found::<NewBoardAlone>(&REPLACED, false, 24);
    found::<StandardConsensusRules>(&FORGOTTEN, true, 20);
}
