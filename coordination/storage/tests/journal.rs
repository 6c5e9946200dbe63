//! A journal through losses of power at every step, failing disks and ended processes.

mod simulation;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use simulation::{Fault, Files, SimulatedDirectory};
use whinspindle_storage::{Directory, Journal, RecoveredState, StorageError};

/// The state of the tests: all records ever appended, by their numbers.
type History = Vec<u32>;

fn record(number: u32) -> Vec<u8> {
    let mut bytes = number.to_le_bytes().to_vec();
    bytes.resize(4 + number as usize % 3 * 7, number as u8);
    bytes
}

fn records(numbers: &[u32]) -> Vec<Vec<u8>> {
    numbers.iter().map(|&number| record(number)).collect()
}

fn number_of(record: &[u8]) -> u32 {
    u32::from_le_bytes(record[..4].try_into().expect("four bytes"))
}

fn state(history: &[u32]) -> Vec<u8> {
    history.iter().flat_map(|number| number.to_le_bytes()).collect()
}

fn history_of(recovered: &RecoveredState) -> History {
    let checkpoint = recovered.checkpoint.as_deref().unwrap_or_default();
    checkpoint.chunks(4).map(number_of).chain(recovered.log.iter().map(|record| number_of(record))).collect()
}

fn open(directory: &SimulatedDirectory) -> (Journal<SimulatedDirectory>, History) {
    let (journal, recovered) = Journal::open(directory.clone()).expect("the disk works");
    for record in &recovered.log {
        assert_eq!(*record, self::record(number_of(record)), "a record was changed");
    }
    let history = history_of(&recovered);
    (journal, history)
}

#[derive(Clone, Debug)]
enum Action {
    Append(usize),
    Checkpoint,
}

use Action::{Append, Checkpoint};

type Visit<'a> = dyn FnMut(Files, &[u32], &[u32]) + 'a;

/// Plays actions and calls `visit` with the files after each operation on the folder, with the records that were
/// acknowledged before it and those under way.
fn explore(files: Files, actions: &[Action], visit: &mut Visit) {
    let directory = SimulatedDirectory::with_files(files);
    directory.start_recording();
    let (mut journal, mut history) = open(&directory);
    for files in directory.take_recorded() {
        visit(files, &history, &[]);
    }
    for action in actions {
        let next = history.iter().max().map_or(0, |last| last + 1);
        let batch: Vec<u32> = match action {
            Append(count) => (next..).take(*count).collect(),
            Checkpoint => Vec::new(),
        };
        match action {
            Append(_) => journal.append(&records(&batch)).expect("the disk works"),
            Checkpoint => journal.checkpoint(&state(&history)).expect("the disk works"),
        }
        for files in directory.take_recorded() {
            visit(files, &history, &batch);
        }
        history.extend(batch);
    }
    visit(directory.files(), &history, &[]);
}

/// Loses power in all ways and checks that nothing acknowledged is lost and nothing else appears.
fn check_power_loss(files: &Files, acknowledged: &[u32], under_way: &[u32], next: &mut dyn FnMut(Files)) {
    for files in files.all_after_power_loss() {
        let (_, history) = open(&SimulatedDirectory::with_files(files.clone()));
        let rest = history.strip_prefix(acknowledged);
        assert!(
            rest.is_some_and(|rest| under_way.starts_with(rest)),
            "{acknowledged:?} and a part of {under_way:?} became {history:?}"
        );
        next(files);
    }
}

#[test]
fn an_empty_folder_has_no_state() {
    let directory = SimulatedDirectory::default();
    let (journal, recovered) = Journal::open(directory).expect("the disk works");
    assert_eq!(recovered, RecoveredState::default());
    assert_eq!(journal.log_bytes(), 0);
}

#[test]
fn records_and_checkpoints_are_read_back() {
    let directory = SimulatedDirectory::default();
    let (mut journal, _) = open(&directory);
    journal.append(&[b"one".to_vec(), Vec::new()]).expect("the disk works");
    journal.append(&[b"three".to_vec()]).expect("the disk works");
    assert!(journal.log_bytes() > 8);
    let (mut journal, recovered) = Journal::open(directory.clone()).expect("the disk works");
    assert_eq!(recovered.checkpoint, None);
    assert_eq!(recovered.log, [b"one".to_vec(), Vec::new(), b"three".to_vec()]);

    journal.checkpoint(b"state").expect("the disk works");
    assert_eq!(journal.log_bytes(), 0);
    journal.append(&[b"four".to_vec()]).expect("the disk works");
    let (_, recovered) = Journal::open(directory).expect("the disk works");
    assert_eq!(
        recovered,
        RecoveredState { checkpoint: Some(b"state".to_vec()), log: vec![b"four".to_vec()] }
    );
}

#[test]
fn an_append_costs_one_sync() {
    let directory = SimulatedDirectory::default();
    let (mut journal, _) = open(&directory);
    for append in 0..3 {
        let before = directory.syncs();
        journal.append(&records(&[append, append + 10])).expect("the disk works");
        assert_eq!(directory.syncs(), before + 1);
    }
    let before = directory.syncs();
    journal.append(&[]).expect("nothing to write");
    assert_eq!(directory.syncs(), before);
    journal.checkpoint(b"state").expect("the disk works");
    assert_eq!(directory.syncs(), before + 1);
    journal.append(&records(&[3])).expect("the disk works");
    assert_eq!(directory.syncs(), before + 2);
}

#[test]
fn a_loss_of_power_at_any_step_keeps_what_was_acknowledged() {
    let first = [
        Append(2),
        Append(1),
        Checkpoint,
        Append(3),
        Append(1),
        Checkpoint,
        Checkpoint,
        Append(2),
        Append(1),
    ];
    let second = [Append(2), Checkpoint, Append(1)];
    let mut outcomes = 0;
    explore(Files::default(), &first, &mut |files, acknowledged, under_way| {
        check_power_loss(&files, acknowledged, under_way, &mut |files| {
            explore(files, &second, &mut |files, acknowledged, under_way| {
                check_power_loss(&files, acknowledged, under_way, &mut |_| outcomes += 1);
            });
        });
    });
    assert!(outcomes > 10_000, "only {outcomes} outcomes were seen");
}

#[test]
fn a_full_disk_takes_records_again_once_it_has_space() {
    for takes_effect in [false, true] {
        for after in 0..3 {
            let directory = SimulatedDirectory::default();
            let (mut journal, _) = open(&directory);
            journal.append(&records(&[0, 1])).expect("the disk works");
            let fault = Fault { after, operations: 100, is_full: true, takes_effect };
            directory.set_fault(Some(fault));
            let mut history = vec![0, 1];
            for number in 10..13 {
                match journal.append(&records(&[number, number + 10])) {
                    Ok(()) => history.extend([number, number + 10]),
                    Err(error) => assert!(matches!(error, StorageError::Full { .. }), "{error}"),
                }
            }
            let error = journal.checkpoint(&state(&history)).expect_err("the disk is full");
            assert!(matches!(error, StorageError::Full { .. }), "{error}");

            directory.set_fault(None);
            journal.append(&records(&[2])).expect("the disk has space again");
            history.push(2);
            assert_eq!(open(&directory).1, history);
            for files in directory.files().all_after_power_loss() {
                assert_eq!(open(&SimulatedDirectory::with_files(files)).1, history);
            }
        }
    }
}

#[test]
fn records_after_a_checkpoint_that_failed_late_are_kept() {
    let directory = SimulatedDirectory::default();
    let (mut journal, _) = open(&directory);
    journal.append(&records(&[0, 1])).expect("the disk works");
    // The sync reports a failure though all has reached the disk.
    directory.set_fault(Some(Fault { after: 2, operations: 1, is_full: false, takes_effect: true }));
    journal.checkpoint(&state(&[0, 1])).expect_err("the sync fails");
    journal.append(&records(&[2])).expect("the disk works");
    assert_eq!(open(&directory).1, [0, 1, 2]);

    let (mut journal, _) = open(&directory);
    journal.append(&records(&[3])).expect("the disk works");
    assert_eq!(open(&directory).1, [0, 1, 2, 3]);
    journal.checkpoint(&state(&[0, 1, 2, 3])).expect("the disk works");
    journal.append(&records(&[4])).expect("the disk works");
    assert_eq!(open(&directory).1, [0, 1, 2, 3, 4]);
}

#[test]
fn files_stay_small() {
    let directory = SimulatedDirectory::default();
    let (mut journal, _) = open(&directory);
    for round in 0..50 {
        journal.append(&[vec![round; 1000]]).expect("the disk works");
        journal.checkpoint(&[round; 500]).expect("the disk works");
    }
    assert!(directory.files().total_bytes() < 3_500);
}

#[test]
fn a_damaged_checkpoint_is_not_taken_for_an_empty_disk() {
    let directory = SimulatedDirectory::default();
    let (mut journal, _) = open(&directory);
    journal.checkpoint(b"first").expect("the disk works");
    journal.checkpoint(b"second").expect("the disk works");
    let mut files = directory.files();
    files.damage("slot-a", 60);
    files.damage("slot-b", 60);
    let error = Journal::open(SimulatedDirectory::with_files(files)).expect_err("both slots are damaged");
    assert!(matches!(error, StorageError::Damaged { .. }), "{error}");
}

/// A folder whose two checkpoints are damaged, with logs behind both: of the seventh and the eighth generation.
fn damaged_folder() -> Files {
    let directory = SimulatedDirectory::default();
    let (mut journal, _) = open(&directory);
    for generation in 1..=8 {
        journal.checkpoint(b"state").expect("the disk works");
        journal.append(&records(&[generation])).expect("the disk works");
    }
    let mut files = directory.files();
    files.damage("slot-a", 60);
    files.damage("slot-b", 60);
    files
}

fn is_damaged(files: &Files) -> bool {
    let opened = Journal::open(SimulatedDirectory::with_files(files.clone()));
    matches!(opened, Err(StorageError::Damaged { .. }))
}

#[test]
fn a_loss_of_power_while_a_damaged_journal_is_discarded_leaves_it_damaged_or_empty() {
    let directory = SimulatedDirectory::with_files(damaged_folder());
    assert!(is_damaged(&directory.files()));
    directory.start_recording();
    Journal::discard(&mut directory.clone()).expect("the disk works");
    let mut outcomes = 0;
    for files in directory.take_recorded() {
        for files in files.all_after_power_loss() {
            outcomes += 1;
            if is_damaged(&files) {
                continue;
            }
            let directory = SimulatedDirectory::with_files(files);
            let (mut journal, history) = open(&directory);
            assert_eq!(history, History::default());
            // Nor do old records come back with a generation that is reached again.
            for _ in 0..8 {
                journal.checkpoint(b"").expect("the disk works");
                assert_eq!(open(&directory).1, History::default());
            }
        }
    }
    assert!(outcomes > 8, "only {outcomes} outcomes were seen");
    assert_eq!(open(&directory).1, History::default());
}

/// Power is lost in the middle of a checkpoint, again and again: each is written where the torn one lies, never over
/// the whole one, so that there is always one to go back to, with the log behind it.
#[test]
fn checkpoints_torn_in_succession_leave_the_last_complete_one() {
    for torn_in_a_row in 1..=4 {
        for cut_short in 1..8 {
            let directory = SimulatedDirectory::default();
            let (mut journal, _) = open(&directory);
            let mut history = vec![0, 1];
            journal.append(&records(&history)).expect("the disk works");
            journal.checkpoint(&state(&history)).expect("the disk works");
            journal.append(&records(&[2])).expect("the disk works");
            history.push(2);
            for round in 0..torn_in_a_row {
                // The slot is written by half, and neither its length nor its sync comes.
                directory.set_fault(Some(Fault {
                    after: 0,
                    operations: 1,
                    is_full: false,
                    takes_effect: true,
                }));
                journal.checkpoint(&state(&history)).expect_err("power is lost");
                directory.set_fault(None);
                directory.lose_power(cut_short + round);
                let (reopened, found) = open(&directory);
                assert_eq!(found, history, "{torn_in_a_row} torn in a row");
                journal = reopened;
                let next = 3 + round as u32;
                journal.append(&records(&[next])).expect("the disk works");
                history.push(next);
            }
            journal.checkpoint(&state(&history)).expect("the disk works");
            assert_eq!(open(&directory).1, history);
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Append(usize),
    Checkpoint,
    LosePower(usize),
    EndProcess,
    Fail(Fault),
    Mend,
}

impl Arbitrary for Step {
    fn arbitrary(generator: &mut Gen) -> Self {
        match u8::arbitrary(generator) % 16 {
            0..6 => Step::Append(1 + usize::arbitrary(generator) % 3),
            6..9 => Step::Checkpoint,
            9..11 => Step::LosePower(usize::arbitrary(generator)),
            11 => Step::EndProcess,
            12..15 => Step::Fail(Fault {
                after: usize::arbitrary(generator) % 5,
                operations: 1 + usize::arbitrary(generator) % 4,
                is_full: bool::arbitrary(generator),
                takes_effect: bool::arbitrary(generator),
            }),
            _ => Step::Mend,
        }
    }
}

/// A journal with what it has to hold.
struct Model {
    directory: SimulatedDirectory,
    journal: Journal<SimulatedDirectory>,
    acknowledged: History,
    /// Batches that failed since the last operation that succeeded; a part of one of them may be there.
    failed: Vec<Vec<u32>>,
    next: u32,
}

impl Model {
    fn new() -> Self {
        let directory = SimulatedDirectory::default();
        let (journal, acknowledged) = open(&directory);
        Model { directory, journal, acknowledged, failed: Vec::new(), next: 0 }
    }

    fn play(&mut self, step: &Step) {
        match step {
            Step::Append(count) => self.append(*count),
            Step::Checkpoint => self.checkpoint(),
            Step::LosePower(outcome) => {
                self.directory.lose_power(*outcome);
                self.reopen();
            }
            Step::EndProcess => self.reopen(),
            Step::Fail(fault) => self.directory.set_fault(Some(*fault)),
            Step::Mend => self.directory.set_fault(None),
        }
    }

    fn append(&mut self, count: usize) {
        let batch: Vec<u32> = (self.next..).take(count).collect();
        // A batch that failed has its numbers used again: the bytes that it left look like the next batch.
        match self.journal.append(&records(&batch)) {
            Ok(()) => {
                self.next += count as u32;
                self.acknowledged.extend(batch);
                self.failed.clear();
            }
            Err(_) => self.failed.push(batch),
        }
    }

    fn checkpoint(&mut self) {
        if self.journal.checkpoint(&state(&self.acknowledged)).is_ok() {
            self.failed.clear();
            assert_eq!(self.journal.log_bytes(), 0);
        }
    }

    fn reopen(&mut self) {
        self.directory.set_fault(None);
        let (journal, history) = open(&self.directory);
        let rest = history.strip_prefix(self.acknowledged.as_slice());
        let is_known = rest
            .is_some_and(|rest| rest.is_empty() || self.failed.iter().any(|batch| batch.starts_with(rest)));
        assert!(is_known, "{:?} with {:?} failed became {history:?}", self.acknowledged, self.failed);
        self.next = history.last().map_or(0, |last| last + 1);
        self.acknowledged = history;
        self.failed.clear();
        self.journal = journal;
    }
}

#[test]
fn random_sequences_keep_what_was_acknowledged() {
    fn property(steps: Vec<Step>) -> bool {
        let mut model = Model::new();
        for step in &steps {
            model.play(step);
        }
        model.reopen();
        true
    }
    QuickCheck::new().tests(20_000).quickcheck(property as fn(Vec<Step>) -> bool);
}

#[test]
fn arbitrary_files_never_panic() {
    fn property(slots: (Vec<u8>, Vec<u8>), logs: (Vec<u8>, Vec<u8>)) -> bool {
        let mut directory = SimulatedDirectory::default();
        for (name, content) in
            [("slot-a", slots.0), ("slot-b", slots.1), ("log-a", logs.0), ("log-b", logs.1)]
        {
            directory.write_at(name, 0, &content).expect("the disk works");
        }
        match Journal::open(directory.clone()) {
            Ok((mut journal, recovered)) => {
                journal.append(&[b"more".to_vec()]).expect("the disk works");
                let (_, again) = Journal::open(directory).expect("it was opened before");
                let log = [recovered.log, vec![b"more".to_vec()]].concat();
                again == RecoveredState { checkpoint: recovered.checkpoint, log }
            }
            Err(error) => matches!(error, StorageError::Damaged { .. }),
        }
    }
    type Contents = (Vec<u8>, Vec<u8>);
    QuickCheck::new().tests(2_000).quickcheck(property as fn(Contents, Contents) -> bool);
}
