//! The effect of each command on the records, including repeated and concurrent commands.

use whinspindle_controller::commands::records::{
    EvacuatedZones, current_generation, departure_of, departures, evacuated_zones, evacuation_sequence,
};
use whinspindle_controller::commands::{Command, CommandApplication, Departure, Outcome};
use whinspindle_replica::{Answer, Application, Evaluation, Records};

/// Replicated records, with the sequence number of the last write.
#[derive(Default)]
struct State {
    records: Records,
    sequence: u64,
}

impl State {
    fn evaluate(&self, command: Command) -> Evaluation {
        CommandApplication.evaluate(&self.records, &command.encode().expect("a command can be encoded"))
    }

    fn execute(&mut self, command: Command) -> Outcome {
        let evaluation = self.evaluate(command);
        if !evaluation.writes.is_empty() {
            self.sequence += 1;
            self.records.apply(self.sequence, &evaluation.writes);
        }
        outcome(&evaluation)
    }

    fn replace(&mut self, base: u64, generation: u64, body: &str) -> Outcome {
        self.execute(replace(base, generation, body))
    }

    fn configuration(&self) -> &[u8] {
        self.records.get("configuration").map_or(b"", |record| record.value.as_slice())
    }
}

fn outcome(evaluation: &Evaluation) -> Outcome {
    match &evaluation.answer {
        Answer::Value(value) => Outcome::decode(value).expect("the answer is an outcome"),
        Answer::Record(key) => panic!("an outcome was expected, not the record {key}"),
    }
}

fn replace(base: u64, generation: u64, body: &str) -> Command {
    Command::Replace { base, generation, body: body.as_bytes().to_vec() }
}

fn evacuate(zone: &str, evacuated: bool, observed_sequence: u64) -> Command {
    Command::Evacuate { zone: zone.to_owned(), evacuated, observed_sequence }
}

fn drain(instance: &str, departure: Departure) -> Command {
    Command::Drain { instance: instance.to_owned(), departure }
}

#[test]
fn commands_survive_encoding() {
    let commands = [
        replace(5, 7, "{\"generation\":7}"),
        replace(0, u64::MAX, ""),
        Command::Fetch,
        evacuate("zone-a", true, 12),
        evacuate("", false, 0),
        drain("i-1", Departure::Draining),
        drain("i-2", Departure::Deregistered),
    ];
    for command in commands {
        let encoded = command.clone().encode().expect("a command can be encoded");
        assert_eq!(Command::decode(&encoded).expect("it can be read again"), command);
    }
}

#[test]
fn malformed_command_changes_nothing() {
    for command in [&b""[..], &[200, 1, 2], &[2], &[3, 0]] {
        let evaluation = CommandApplication.evaluate(&Records::default(), command);
        assert!(evaluation.writes.is_empty(), "{command:?}");
        assert_eq!(outcome(&evaluation), Outcome::Unreadable, "{command:?}");
    }
}

#[test]
fn configurations_build_on_each_other() {
    let mut state = State::default();
    assert_eq!(state.replace(0, 3, "first"), Outcome::Applied);
    assert_eq!(state.replace(3, 7, "second"), Outcome::Applied);
    assert_eq!(state.configuration(), b"second");
    assert_eq!(current_generation(&state.records), 7);
}

#[test]
fn configuration_on_another_base_is_refused() {
    let mut state = State::default();
    state.replace(0, 3, "first");
    for base in [0, 1, 2] {
        assert_eq!(state.replace(base, 9, "other"), Outcome::BaseMismatch { current: 3 }, "base {base}");
    }
    assert_eq!(state.configuration(), b"first");
}

/// The command must not be refused for good: the base may still be applied, and a delayed copy of the command
/// would then be applied after it.
#[test]
fn configuration_ahead_of_its_base_is_not_refused_for_good() {
    let mut state = State::default();
    assert_eq!(state.replace(3, 5, "early"), Outcome::BaseNotInPlace { current: 0 });
    assert_eq!(state.replace(0, 3, "first"), Outcome::Applied);
    assert_eq!(state.replace(4, 9, "never"), Outcome::BaseNotInPlace { current: 3 });
    assert_eq!(state.replace(3, 5, "early"), Outcome::Applied);
    assert_eq!(state.configuration(), b"early");
    assert_eq!(state.replace(4, 9, "never"), Outcome::BaseMismatch { current: 5 });
}

#[test]
fn generation_not_above_the_current_one_is_refused() {
    let mut state = State::default();
    assert_eq!(state.replace(0, 0, "zero"), Outcome::GenerationTooLow { current: 0 });
    state.replace(0, 5, "first");
    for generation in [0, 4, 5] {
        let outcome = state.replace(5, generation, "other");
        assert_eq!(outcome, Outcome::GenerationTooLow { current: 5 }, "generation {generation}");
    }
    assert_eq!(state.configuration(), b"first");
}

#[test]
fn one_of_two_changes_on_the_same_base_wins() {
    let mut state = State::default();
    state.replace(0, 1, "base");
    assert_eq!(state.replace(1, 2, "winner"), Outcome::Applied);
    assert_eq!(state.replace(1, 2, "loser"), Outcome::BaseMismatch { current: 2 });
    assert_eq!(state.replace(1, 3, "another loser"), Outcome::BaseMismatch { current: 2 });
    assert_eq!(state.configuration(), b"winner");
}

#[test]
fn applied_configuration_is_acknowledged_again() {
    let mut state = State::default();
    state.replace(0, 1, "first");
    state.replace(1, 2, "second");
    let sequence = state.sequence;
    assert_eq!(state.replace(1, 2, "second"), Outcome::Applied);
    assert_eq!(state.replace(0, 1, "first"), Outcome::Applied, "even after a newer one");
    assert_eq!(state.sequence, sequence, "without a write");
    assert_eq!(state.configuration(), b"second");
}

#[test]
fn retries_are_recognized_within_the_bounded_history() {
    let mut state = State::default();
    let configurations = 600;
    for generation in 1..=configurations {
        let body = format!("configuration {generation}");
        assert_eq!(state.replace(generation - 1, generation, &body), Outcome::Applied);
    }
    let repeat =
        |generation: u64| replace(generation - 1, generation, &format!("configuration {generation}"));
    assert_eq!(state.execute(repeat(configurations - 500)), Outcome::Applied);
    let expired = Outcome::HistoryExpired { current: configurations };
    assert_eq!(state.execute(repeat(1)), expired, "it was applied, so it is not refused");
    assert_eq!(state.replace(0, 88, "of a forgotten generation"), expired);
    assert_eq!(state.replace(88, 88, "never valid"), Outcome::GenerationTooLow { current: configurations });
    assert_eq!(state.replace(0, 89, "of a known one"), Outcome::BaseMismatch { current: configurations });
    assert!(state.records.len() < 520, "the history is bounded");
}

#[test]
fn the_newest_configuration_is_read_at_the_tail() {
    let evaluation = State::default().evaluate(Command::Fetch);
    assert!(evaluation.writes.is_empty());
    assert_eq!(evaluation.answer, Answer::Record("configuration".to_owned()));
}

#[test]
fn evacuations_begin_and_finish() {
    let mut state = State::default();
    assert_eq!(state.execute(evacuate("zone-a", true, 0)), Outcome::Applied);
    assert_eq!(state.execute(evacuate("zone-b", true, 0)), Outcome::Applied);
    assert_eq!(
        evacuated_zones(&state.records),
        EvacuatedZones { sequence: 2, zones: vec!["zone-a".to_owned(), "zone-b".to_owned()] }
    );
    assert_eq!(state.execute(evacuate("zone-a", false, 1)), Outcome::Applied);
    assert_eq!(
        evacuated_zones(&state.records),
        EvacuatedZones { sequence: 3, zones: vec!["zone-b".to_owned()] }
    );
}

#[test]
fn repeated_evacuation_is_acknowledged_and_changes_nothing() {
    let mut state = State::default();
    assert_eq!(state.execute(evacuate("zone-a", false, 0)), Outcome::Applied, "never evacuated");
    assert_eq!(evacuated_zones(&state.records), EvacuatedZones { sequence: 1, zones: Vec::new() });
    assert_eq!(state.execute(evacuate("zone-a", true, 1)), Outcome::Applied);
    assert_eq!(state.execute(evacuate("zone-a", true, 2)), Outcome::Applied);
    assert_eq!(
        evacuated_zones(&state.records),
        EvacuatedZones { sequence: 3, zones: vec!["zone-a".to_owned()] }
    );
}

/// The operator gets no definite answer to a command and sends the opposite one, which is acknowledged. A delayed
/// copy of the first command must not be applied afterwards.
#[test]
fn acknowledged_evacuation_supersedes_delayed_copies_of_earlier_ones() {
    for evacuated in [true, false] {
        let mut state = State::default();
        state.execute(evacuate("zone-a", !evacuated, 0));
        let delayed = evacuate("zone-a", evacuated, 1);
        assert_eq!(state.execute(evacuate("zone-a", !evacuated, 1)), Outcome::Applied, "it changes no state");
        assert_eq!(state.execute(delayed), Outcome::Superseded { sequence: 2 });
        assert_eq!(evacuated_zones(&state.records).zones.is_empty(), evacuated);
    }
}

#[test]
fn delayed_command_does_not_undo_a_newer_one() {
    let mut state = State::default();
    state.execute(evacuate("zone-a", true, 0));
    state.execute(evacuate("zone-a", false, 1));
    assert_eq!(state.execute(evacuate("zone-a", true, 0)), Outcome::Superseded { sequence: 2 });
    assert_eq!(evacuated_zones(&state.records).zones, Vec::<String>::new());
    let observed_sequence = evacuation_sequence(&state.records, "zone-a");
    assert_eq!(
        state.execute(evacuate("zone-a", true, observed_sequence)),
        Outcome::Applied,
        "a new command is applied"
    );
}

#[test]
fn repeated_departures_are_written_once() {
    let mut state = State::default();
    assert_eq!(state.execute(drain("i-1", Departure::Draining)), Outcome::Applied);
    assert_eq!(state.execute(drain("i-1", Departure::Draining)), Outcome::Applied);
    assert_eq!(state.sequence, 1);
    assert_eq!(state.execute(drain("i-1", Departure::Deregistered)), Outcome::Applied);
    assert_eq!(departure_of(&state.records, "i-1"), Some(Departure::Deregistered));
    assert_eq!(state.execute(drain("i-1", Departure::Draining)), Outcome::Applied);
    assert_eq!(
        departure_of(&state.records, "i-1"),
        Some(Departure::Deregistered),
        "a deregistration is permanent"
    );
    assert_eq!(departure_of(&state.records, "i-2"), None);
}

#[test]
fn oldest_departures_are_evicted() {
    let mut state = State::default();
    for number in 0..2_100 {
        state.execute(drain(&format!("i-{number}"), Departure::Draining));
    }
    let known: Vec<&str> = departures(&state.records).map(|(instance, _)| instance).collect();
    assert_eq!(known.len(), 2_048);
    assert!(!known.contains(&"i-51"), "the oldest");
    assert!(known.contains(&"i-52") && known.contains(&"i-2099"), "the newest");
}
