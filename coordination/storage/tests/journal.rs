//! Recovery of a journal after losses of power at every step, disk faults and process restarts.

mod simulation;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use simulation::{Fault, Files, SimulatedDirectory};
use whinspindle_storage::{Directory, Journal, RecoveredState, StorageError};

/// The state of the tested state machine: the numbers of all appended records.
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

/// Runs the actions. After each file operation, calls `visit` with the files, the records acknowledged
/// before the operation and the records of the append in progress.
fn explore(files: Files, actions: &[Action], visit: &mut Visit) {
    let directory = SimulatedDirectory::with_files(files);
    directory.start_recording();
    let (mut journal, mut history) = open(&directory);
    for files in directory.take_recorded() {
        visit(files, &history, &[]);
    }
    for action in actions {
        let next_number = history.iter().max().map_or(0, |last| last + 1);
        let batch: Vec<u32> = match action {
            Append(count) => (next_number..).take(*count).collect(),
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

/// Checks all outcomes of a loss of power: acknowledged records are kept, and only a prefix of the pending
/// records may follow them. Calls `visit` with the files of each outcome.
fn check_power_loss(files: &Files, acknowledged: &[u32], pending: &[u32], visit: &mut dyn FnMut(Files)) {
    for files in files.all_after_power_loss() {
        let (_, history) = open(&SimulatedDirectory::with_files(files.clone()));
        let rest = history.strip_prefix(acknowledged);
        assert!(
            rest.is_some_and(|rest| pending.starts_with(rest)),
            "acknowledged {acknowledged:?}, pending {pending:?}, recovered {history:?}"
        );
        visit(files);
    }
}

#[test]
fn an_empty_folder_has_no_checkpoint_and_no_log() {
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
fn an_append_takes_one_sync() {
    let directory = SimulatedDirectory::default();
    let (mut journal, _) = open(&directory);
    for append in 0..3 {
        let before = directory.sync_count();
        journal.append(&records(&[append, append + 10])).expect("the disk works");
        assert_eq!(directory.sync_count(), before + 1);
    }
    let before = directory.sync_count();
    journal.append(&[]).expect("there is nothing to write");
    assert_eq!(directory.sync_count(), before);
    journal.checkpoint(b"state").expect("the disk works");
    assert_eq!(directory.sync_count(), before + 1);
    journal.append(&records(&[3])).expect("the disk works");
    assert_eq!(directory.sync_count(), before + 2);
}

#[test]
fn a_loss_of_power_at_any_step_keeps_acknowledged_records() {
    let actions_before_loss = [
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
    let actions_after_loss = [Append(2), Checkpoint, Append(1)];
    let mut outcomes = 0;
    explore(Files::default(), &actions_before_loss, &mut |files, acknowledged, pending| {
        check_power_loss(&files, acknowledged, pending, &mut |files| {
            explore(files, &actions_after_loss, &mut |files, acknowledged, pending| {
                check_power_loss(&files, acknowledged, pending, &mut |_| outcomes += 1);
            });
        });
    });
    assert!(outcomes > 10_000, "only {outcomes} outcomes were checked");
}

#[test]
fn appends_succeed_again_once_a_full_disk_has_space() {
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
fn records_after_a_checkpoint_with_a_failed_sync_are_kept() {
    let directory = SimulatedDirectory::default();
    let (mut journal, _) = open(&directory);
    journal.append(&records(&[0, 1])).expect("the disk works");
    // The sync reports a failure although all writes have reached the disk.
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
fn checkpoints_bound_the_size_of_the_files() {
    let directory = SimulatedDirectory::default();
    let (mut journal, _) = open(&directory);
    for round in 0..50 {
        journal.append(&[vec![round; 1000]]).expect("the disk works");
        journal.checkpoint(&[round; 500]).expect("the disk works");
    }
    assert!(directory.files().total_bytes() < 3_500);
}

#[test]
fn damaged_checkpoints_are_reported() {
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

/// A folder with the checkpoints and logs of generations 7 and 8, whose checkpoints are both damaged.
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
    let result = Journal::open(SimulatedDirectory::with_files(files.clone()));
    matches!(result, Err(StorageError::Damaged { .. }))
}

#[test]
fn a_loss_of_power_during_discard_leaves_a_damaged_or_empty_journal() {
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
            // Old records must not be recovered when their generation is reached again.
            for _ in 0..8 {
                journal.checkpoint(b"").expect("the disk works");
                assert_eq!(open(&directory).1, History::default());
            }
        }
    }
    assert!(outcomes > 8, "only {outcomes} outcomes were checked");
    assert_eq!(open(&directory).1, History::default());
}

/// Power is lost repeatedly in the middle of a checkpoint. Each new checkpoint overwrites the torn one and
/// never the complete one, so that a complete checkpoint and its log can always be recovered.
#[test]
fn successive_torn_checkpoints_keep_the_last_complete_one() {
    for torn_checkpoints in 1..=4 {
        for first_outcome in 1..8 {
            let directory = SimulatedDirectory::default();
            let (mut journal, _) = open(&directory);
            let mut history = vec![0, 1];
            journal.append(&records(&history)).expect("the disk works");
            journal.checkpoint(&state(&history)).expect("the disk works");
            journal.append(&records(&[2])).expect("the disk works");
            history.push(2);
            for round in 0..torn_checkpoints {
                // Half of the slot is written. Its length is not set, and it is not synced.
                directory.set_fault(Some(Fault {
                    after: 0,
                    operations: 1,
                    is_full: false,
                    takes_effect: true,
                }));
                journal.checkpoint(&state(&history)).expect_err("power is lost");
                directory.set_fault(None);
                directory.lose_power(first_outcome + round);
                let (reopened, recovered) = open(&directory);
                assert_eq!(recovered, history, "{torn_checkpoints} torn checkpoints");
                journal = reopened;
                let number = 3 + round as u32;
                journal.append(&records(&[number])).expect("the disk works");
                history.push(number);
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
    RestartProcess,
    InjectFault(Fault),
    ClearFault,
}

impl Arbitrary for Step {
    fn arbitrary(generator: &mut Gen) -> Self {
        match u8::arbitrary(generator) % 16 {
            0..6 => Step::Append(1 + usize::arbitrary(generator) % 3),
            6..9 => Step::Checkpoint,
            9..11 => Step::LosePower(usize::arbitrary(generator)),
            11 => Step::RestartProcess,
            12..15 => Step::InjectFault(Fault {
                after: usize::arbitrary(generator) % 5,
                operations: 1 + usize::arbitrary(generator) % 4,
                is_full: bool::arbitrary(generator),
                takes_effect: bool::arbitrary(generator),
            }),
            _ => Step::ClearFault,
        }
    }
}

/// A journal and the records that it must recover.
struct Model {
    directory: SimulatedDirectory,
    journal: Journal<SimulatedDirectory>,
    acknowledged: History,
    /// Batches that failed since the last successful operation. A prefix of one of them may be recovered.
    failed_batches: Vec<Vec<u32>>,
    next_number: u32,
}

impl Model {
    fn new() -> Self {
        let directory = SimulatedDirectory::default();
        let (journal, acknowledged) = open(&directory);
        Model { directory, journal, acknowledged, failed_batches: Vec::new(), next_number: 0 }
    }

    fn run_step(&mut self, step: &Step) {
        match step {
            Step::Append(count) => self.append(*count),
            Step::Checkpoint => self.checkpoint(),
            Step::LosePower(outcome) => {
                self.directory.lose_power(*outcome);
                self.reopen();
            }
            Step::RestartProcess => self.reopen(),
            Step::InjectFault(fault) => self.directory.set_fault(Some(*fault)),
            Step::ClearFault => self.directory.set_fault(None),
        }
    }

    fn append(&mut self, count: usize) {
        let batch: Vec<u32> = (self.next_number..).take(count).collect();
        // The numbers of a failed batch are reused, so that bytes left by it look like the next batch.
        match self.journal.append(&records(&batch)) {
            Ok(()) => {
                self.next_number += count as u32;
                self.acknowledged.extend(batch);
                self.failed_batches.clear();
            }
            Err(_) => self.failed_batches.push(batch),
        }
    }

    fn checkpoint(&mut self) {
        if self.journal.checkpoint(&state(&self.acknowledged)).is_ok() {
            self.failed_batches.clear();
            assert_eq!(self.journal.log_bytes(), 0);
        }
    }

    fn reopen(&mut self) {
        self.directory.set_fault(None);
        let (journal, history) = open(&self.directory);
        let rest = history.strip_prefix(self.acknowledged.as_slice());
        let is_expected = rest.is_some_and(|rest| {
            rest.is_empty() || self.failed_batches.iter().any(|batch| batch.starts_with(rest))
        });
        assert!(
            is_expected,
            "acknowledged {:?}, failed {:?}, recovered {history:?}",
            self.acknowledged, self.failed_batches
        );
        self.next_number = history.last().map_or(0, |last| last + 1);
        self.acknowledged = history;
        self.failed_batches.clear();
        self.journal = journal;
    }
}

#[test]
fn random_steps_keep_acknowledged_records() {
    fn property(steps: Vec<Step>) -> bool {
        let mut model = Model::new();
        for step in &steps {
            model.run_step(step);
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
                let (_, reopened) = Journal::open(directory).expect("the journal could be opened before");
                let log = [recovered.log, vec![b"more".to_vec()]].concat();
                reopened == RecoveredState { checkpoint: recovered.checkpoint, log }
            }
            Err(error) => matches!(error, StorageError::Damaged { .. }),
        }
    }
    type Contents = (Vec<u8>, Vec<u8>);
    QuickCheck::new().tests(2_000).quickcheck(property as fn(Contents, Contents) -> bool);
}
