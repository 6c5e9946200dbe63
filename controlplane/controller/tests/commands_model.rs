//! Commands drawn at random against a model that forgets nothing: repeats at any distance, copies that come late, and
//! records that were written to a disk and read again.

use std::collections::{BTreeMap, BTreeSet};

use quickcheck::{Arbitrary, Gen, QuickCheck};
use whinspindle_controller::commands::records::{
    current_generation, departure_of, evacuated_zones, evacuation_sequence,
};
use whinspindle_controller::commands::{Command, CommandApplication, Departure, Outcome};
use whinspindle_replica::{Answer, Application, Evaluation, Records};

const SEQUENCES: u64 = 150;
const STEPS: usize = 60;
const SEED: u64 = 48;
/// Configurations after which a repeat may get no clear answer.
const HISTORY: usize = 512;
/// More than the history holds, in one step.
const LONGEST_BURST: usize = 530;
const ZONES: [&str; 2] = ["zone-a", "zone-b"];

#[derive(Clone, Debug)]
enum Step {
    /// A configuration on the base so far from the current one, with a generation so far above the base.
    Replace {
        base: i8,
        above: i8,
        body: u8,
    },
    /// Configurations one after the other.
    Burst {
        count: usize,
    },
    /// One of the configuration commands so far once more, counted from the newest.
    Repeat {
        distance: usize,
    },
    /// A command on the newest record of the zone.
    Evacuate {
        zone: usize,
        evacuated: bool,
    },
    /// A copy of one of the evacuation commands so far.
    LateEvacuation {
        distance: usize,
    },
    Drain {
        instance: u8,
        is_gone: bool,
    },
    /// A checkpoint and a restart.
    Restart,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let below = |g: &mut Gen, bound: usize| usize::arbitrary(g) % bound;
        match below(g, 32) {
            0..10 => Step::Replace {
                base: [0, 0, 0, 0, -1, -2, 1, 2][below(g, 8)],
                above: [1, 1, 1, 2, 3, 0, -1][below(g, 7)],
                body: below(g, 3) as u8,
            },
            10..12 => Step::Burst { count: [1, 5, 30, LONGEST_BURST][below(g, 4)] },
            12..19 => Step::Repeat { distance: [below(g, 6), below(g, 700)][below(g, 2)] },
            19..23 => Step::Evacuate { zone: below(g, ZONES.len()), evacuated: bool::arbitrary(g) },
            23..27 => Step::LateEvacuation { distance: below(g, 6) },
            27..30 => Step::Drain { instance: below(g, 4) as u8, is_gone: bool::arbitrary(g) },
            _ => Step::Restart,
        }
    }
}

#[derive(Clone, Debug)]
struct Steps(Vec<Step>);

impl Arbitrary for Steps {
    fn arbitrary(g: &mut Gen) -> Steps {
        Steps((0..STEPS).map(|_| Step::arbitrary(g)).collect())
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Steps>> {
        Box::new(self.0.shrink().map(Steps))
    }
}

type Configuration = (u64, u64, Vec<u8>);

/// What the commands so far should have come to.
#[derive(Default)]
struct Model {
    records: Records,
    sequence: u64,
    asked: Vec<Configuration>,
    taken: Vec<Configuration>,
    refused: BTreeSet<Configuration>,
    evacuation_orders: Vec<(usize, bool, u64)>,
    evacuated: BTreeMap<usize, bool>,
    departures: BTreeMap<u8, Departure>,
}

impl Model {
    fn play(&mut self, step: &Step) {
        match *step {
            Step::Replace { base, above, body } => {
                let base = self.current().saturating_add_signed(base.into());
                let generation = base.saturating_add_signed(above.into());
                self.replace((base, generation, format!("{generation} {body}").into_bytes()));
            }
            Step::Burst { count } => {
                for _ in 0..count {
                    let base = self.current();
                    self.replace((base, base + 1, format!("{} burst", base + 1).into_bytes()));
                }
            }
            Step::Repeat { distance } => {
                if let Some(index) = self.asked.len().checked_sub(1 + distance) {
                    self.replace(self.asked[index].clone());
                }
            }
            Step::Evacuate { zone, evacuated } => {
                let observed_sequence = evacuation_sequence(&self.records, ZONES[zone]);
                self.evacuation_orders.push((zone, evacuated, observed_sequence));
                assert_eq!(self.evacuate(zone, evacuated, observed_sequence), Outcome::Applied);
                self.evacuated.insert(zone, evacuated);
            }
            Step::LateEvacuation { distance } => {
                if let Some(index) = self.evacuation_orders.len().checked_sub(1 + distance) {
                    let (zone, evacuated, observed_sequence) = self.evacuation_orders[index];
                    let outcome = self.evacuate(zone, evacuated, observed_sequence);
                    assert!(matches!(outcome, Outcome::Superseded { .. }), "a late copy: {outcome:?}");
                }
            }
            Step::Drain { instance, is_gone } => self.drain(instance, is_gone),
            Step::Restart => self.restart(),
        }
        self.compare();
    }

    fn current(&self) -> u64 {
        self.taken.last().map_or(0, |(_, generation, _)| *generation)
    }

    fn replace(&mut self, command: Configuration) {
        let (base, generation, body) = command.clone();
        let was_in_force = self.taken.iter().any(|(_, _, taken)| *taken == body);
        let outcome = self.carry_out(Command::Replace { base, generation, body });
        match outcome {
            Outcome::Applied if was_in_force => {}
            Outcome::Applied => {
                assert_eq!(base, self.current(), "taken on another base: {command:?}");
                assert!(generation > self.current(), "taken though not above: {command:?}");
                assert!(!self.refused.contains(&command), "refused and taken: {command:?}");
                self.taken.push(command.clone());
            }
            Outcome::BaseMismatch { .. } | Outcome::GenerationTooLow { .. } => {
                assert!(!was_in_force, "taken and refused: {command:?}");
                let is_proper = base >= self.current() && generation > base;
                assert!(!is_proper, "refused though it may be taken: {command:?}");
                self.refused.insert(command.clone());
            }
            Outcome::BaseNotInPlace { .. } => assert!(base > self.current(), "{command:?}"),
            Outcome::HistoryExpired { .. } => {
                let oldest = self.taken.len().checked_sub(HISTORY).map(|index| self.taken[index].1);
                assert!(oldest.is_some_and(|oldest| generation < oldest), "forgotten soon: {command:?}");
            }
            Outcome::Superseded { .. } | Outcome::Unreadable => panic!("{outcome:?} for {command:?}"),
        }
        self.asked.push(command);
    }

    fn evacuate(&mut self, zone: usize, evacuated: bool, observed_sequence: u64) -> Outcome {
        self.carry_out(Command::Evacuate { zone: ZONES[zone].to_owned(), evacuated, observed_sequence })
    }

    fn drain(&mut self, instance: u8, is_gone: bool) {
        let departure = if is_gone { Departure::Deregistered } else { Departure::Draining };
        let outcome = self.carry_out(Command::Drain { instance: format!("i-{instance}"), departure });
        assert_eq!(outcome, Outcome::Applied);
        let held = self.departures.entry(instance).or_insert(departure);
        *held = departure.max(*held);
    }

    /// The records as a checkpoint holds them.
    fn restart(&mut self) {
        let encoded = postcard::to_stdvec(&self.records).expect("records can be written");
        self.records = postcard::from_bytes(&encoded).expect("and read again");
    }

    fn carry_out(&mut self, command: Command) -> Outcome {
        let Evaluation { writes, answer } =
            CommandApplication.evaluate(&self.records, &command.encode().expect("a command"));
        if !writes.is_empty() {
            self.sequence += 1;
            self.records.apply(self.sequence, &writes);
        }
        match answer {
            Answer::Value(value) => Outcome::decode(&value).expect("an outcome"),
            Answer::Record(key) => panic!("an outcome was expected, not the record {key}"),
        }
    }

    fn compare(&self) {
        assert_eq!(current_generation(&self.records), self.current());
        let body = self.records.get("configuration").map(|record| record.value.to_vec());
        assert_eq!(body, self.taken.last().map(|(_, _, body)| body.clone()));
        let evacuated = self.evacuated.iter().filter(|(_, evacuated)| **evacuated);
        let zones: Vec<String> = evacuated.map(|(zone, _)| ZONES[*zone].to_owned()).collect();
        assert_eq!(evacuated_zones(&self.records).zones, zones);
        for (instance, departure) in &self.departures {
            assert_eq!(departure_of(&self.records, &format!("i-{instance}")), Some(*departure));
        }
        let mut bases = BTreeSet::new();
        assert!(self.taken.iter().all(|(base, ..)| bases.insert(*base)), "two on one base");
    }
}

#[test]
fn commands_agree_with_a_model_with_unbounded_history() {
    fn holds(steps: Steps) -> bool {
        let mut model = Model::default();
        steps.0.iter().for_each(|step| model.play(step));
        true
    }
    let random = Gen::from_size_and_seed(STEPS, SEED);
    let mut check = QuickCheck::new().tests(SEQUENCES).max_tests(SEQUENCES).rng(random);
    check.quickcheck(holds as fn(Steps) -> bool);
}
