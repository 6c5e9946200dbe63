//! Random commands checked against a model with unbounded history: retries at any distance, delayed copies,
//! and records restored from a checkpoint.

use std::collections::{BTreeMap, BTreeSet};

use quickcheck::{Arbitrary, Gen, QuickCheck};
use whinspindle_controller::commands::records::{
    current_generation, departure_of, evacuated_zones, evacuation_sequence,
};
use whinspindle_controller::commands::{Command, CommandApplication, Departure, Outcome};
use whinspindle_replica::{Answer, Application, Evaluation, Records};

const SEQUENCES: u64 = 150;
const STEPS_PER_SEQUENCE: usize = 60;
const SEED: u64 = 48;
/// A retry of a configuration older than this many changes may get no definite answer.
const HISTORY_LENGTH: usize = 512;
/// More configurations than the history holds.
const MAX_BURST: usize = 530;
const ZONES: [&str; 2] = ["zone-a", "zone-b"];

#[derive(Clone, Debug)]
enum Step {
    /// A configuration whose base is `base_offset` from the current generation and whose generation is
    /// `generation_offset` from its base.
    Replace {
        base_offset: i8,
        generation_offset: i8,
        body: u8,
    },
    /// Consecutive configurations, each based on the previous one.
    Burst {
        count: usize,
    },
    /// A retry of an earlier configuration command, counted back from the newest.
    Repeat {
        distance: usize,
    },
    /// An evacuation command that has observed the newest record of its zone.
    Evacuate {
        zone: usize,
        evacuated: bool,
    },
    /// A delayed copy of an earlier evacuation command, counted back from the newest.
    DelayedEvacuation {
        distance: usize,
    },
    Drain {
        instance: u8,
        is_deregistered: bool,
    },
    /// A checkpoint and a restart.
    Restart,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let below = |g: &mut Gen, bound: usize| usize::arbitrary(g) % bound;
        match below(g, 32) {
            0..10 => Step::Replace {
                base_offset: [0, 0, 0, 0, -1, -2, 1, 2][below(g, 8)],
                generation_offset: [1, 1, 1, 2, 3, 0, -1][below(g, 7)],
                body: below(g, 3) as u8,
            },
            10..12 => Step::Burst { count: [1, 5, 30, MAX_BURST][below(g, 4)] },
            12..19 => Step::Repeat { distance: [below(g, 6), below(g, 700)][below(g, 2)] },
            19..23 => Step::Evacuate { zone: below(g, ZONES.len()), evacuated: bool::arbitrary(g) },
            23..27 => Step::DelayedEvacuation { distance: below(g, 6) },
            27..30 => Step::Drain { instance: below(g, 4) as u8, is_deregistered: bool::arbitrary(g) },
            _ => Step::Restart,
        }
    }
}

#[derive(Clone, Debug)]
struct Steps(Vec<Step>);

impl Arbitrary for Steps {
    fn arbitrary(g: &mut Gen) -> Steps {
        Steps((0..STEPS_PER_SEQUENCE).map(|_| Step::arbitrary(g)).collect())
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Steps>> {
        Box::new(self.0.shrink().map(Steps))
    }
}

/// Base generation, generation and body.
type Configuration = (u64, u64, Vec<u8>);

/// The records under test, and the state that the commands so far should have produced.
#[derive(Default)]
struct Model {
    records: Records,
    sequence: u64,
    sent: Vec<Configuration>,
    applied: Vec<Configuration>,
    refused: BTreeSet<Configuration>,
    evacuation_commands: Vec<(usize, bool, u64)>,
    evacuated: BTreeMap<usize, bool>,
    departures: BTreeMap<u8, Departure>,
}

impl Model {
    fn apply_step(&mut self, step: &Step) {
        match *step {
            Step::Replace { base_offset, generation_offset, body } => {
                let base = self.current().saturating_add_signed(base_offset.into());
                let generation = base.saturating_add_signed(generation_offset.into());
                self.replace((base, generation, format!("{generation} {body}").into_bytes()));
            }
            Step::Burst { count } => {
                for _ in 0..count {
                    let base = self.current();
                    self.replace((base, base + 1, format!("{} burst", base + 1).into_bytes()));
                }
            }
            Step::Repeat { distance } => {
                if let Some(index) = self.sent.len().checked_sub(1 + distance) {
                    self.replace(self.sent[index].clone());
                }
            }
            Step::Evacuate { zone, evacuated } => {
                let observed_sequence = evacuation_sequence(&self.records, ZONES[zone]);
                self.evacuation_commands.push((zone, evacuated, observed_sequence));
                assert_eq!(self.evacuate(zone, evacuated, observed_sequence), Outcome::Applied);
                self.evacuated.insert(zone, evacuated);
            }
            Step::DelayedEvacuation { distance } => {
                if let Some(index) = self.evacuation_commands.len().checked_sub(1 + distance) {
                    let (zone, evacuated, observed_sequence) = self.evacuation_commands[index];
                    let outcome = self.evacuate(zone, evacuated, observed_sequence);
                    assert!(matches!(outcome, Outcome::Superseded { .. }), "a delayed copy: {outcome:?}");
                }
            }
            Step::Drain { instance, is_deregistered } => self.drain(instance, is_deregistered),
            Step::Restart => self.restart(),
        }
        self.check_records();
    }

    fn current(&self) -> u64 {
        self.applied.last().map_or(0, |(_, generation, _)| *generation)
    }

    fn replace(&mut self, command: Configuration) {
        let (base, generation, body) = command.clone();
        let was_applied = self.applied.iter().any(|(_, _, applied)| *applied == body);
        let outcome = self.execute(Command::Replace { base, generation, body });
        match outcome {
            Outcome::Applied if was_applied => {}
            Outcome::Applied => {
                assert_eq!(base, self.current(), "applied on another base: {command:?}");
                assert!(generation > self.current(), "applied with too low a generation: {command:?}");
                assert!(!self.refused.contains(&command), "refused and applied: {command:?}");
                self.applied.push(command.clone());
            }
            Outcome::BaseMismatch { .. } | Outcome::GenerationTooLow { .. } => {
                assert!(!was_applied, "applied and refused: {command:?}");
                let is_applicable = base >= self.current() && generation > base;
                assert!(!is_applicable, "refused though applicable: {command:?}");
                self.refused.insert(command.clone());
            }
            Outcome::BaseNotInPlace { .. } => assert!(base > self.current(), "{command:?}"),
            Outcome::HistoryExpired { .. } => {
                let oldest =
                    self.applied.len().checked_sub(HISTORY_LENGTH).map(|index| self.applied[index].1);
                assert!(oldest.is_some_and(|oldest| generation < oldest), "expired too early: {command:?}");
            }
            Outcome::Superseded { .. } | Outcome::Unreadable => panic!("{outcome:?} for {command:?}"),
        }
        self.sent.push(command);
    }

    fn evacuate(&mut self, zone: usize, evacuated: bool, observed_sequence: u64) -> Outcome {
        self.execute(Command::Evacuate { zone: ZONES[zone].to_owned(), evacuated, observed_sequence })
    }

    fn drain(&mut self, instance: u8, is_deregistered: bool) {
        let departure = if is_deregistered { Departure::Deregistered } else { Departure::Draining };
        let outcome = self.execute(Command::Drain { instance: format!("i-{instance}"), departure });
        assert_eq!(outcome, Outcome::Applied);
        let known = self.departures.entry(instance).or_insert(departure);
        *known = departure.max(*known);
    }

    /// Encodes and decodes the records, as a checkpoint and a recovery do.
    fn restart(&mut self) {
        let encoded = postcard::to_stdvec(&self.records).expect("records can be written");
        self.records = postcard::from_bytes(&encoded).expect("records can be read");
    }

    fn execute(&mut self, command: Command) -> Outcome {
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

    fn check_records(&self) {
        assert_eq!(current_generation(&self.records), self.current());
        let body = self.records.get("configuration").map(|record| record.value.to_vec());
        assert_eq!(body, self.applied.last().map(|(_, _, body)| body.clone()));
        let evacuated = self.evacuated.iter().filter(|(_, evacuated)| **evacuated);
        let zones: Vec<String> = evacuated.map(|(zone, _)| ZONES[*zone].to_owned()).collect();
        assert_eq!(evacuated_zones(&self.records).zones, zones);
        for (instance, departure) in &self.departures {
            assert_eq!(departure_of(&self.records, &format!("i-{instance}")), Some(*departure));
        }
        let mut bases = BTreeSet::new();
        assert!(self.applied.iter().all(|(base, ..)| bases.insert(*base)), "two on one base");
    }
}

#[test]
fn commands_agree_with_a_model_with_unbounded_history() {
    fn property(steps: Steps) -> bool {
        let mut model = Model::default();
        steps.0.iter().for_each(|step| model.apply_step(step));
        true
    }
    let random = Gen::from_size_and_seed(STEPS_PER_SEQUENCE, SEED);
    let mut check = QuickCheck::new().tests(SEQUENCES).max_tests(SEQUENCES).rng(random);
    check.quickcheck(property as fn(Steps) -> bool);
}
