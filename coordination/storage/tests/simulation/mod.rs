//! A simulated folder that can lose power, with all possible outcomes of writes that were not synced.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use whinspindle_storage::{Directory, DirectoryError};

/// A change to a file that is not durable yet.
#[derive(Clone, Debug)]
pub enum Change {
    Write { offset: usize, bytes: Vec<u8> },
    SetLength(usize),
}

/// The outcome of a loss of power for one change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    Kept,
    Missing,
    /// Only this range of a write is kept, in eighths of its length.
    Torn(usize, usize),
}

const WRITE_OUTCOMES: [WriteOutcome; 6] = [
    WriteOutcome::Kept,
    WriteOutcome::Missing,
    WriteOutcome::Torn(0, 4),
    WriteOutcome::Torn(4, 8),
    WriteOutcome::Torn(1, 7),
    WriteOutcome::Torn(0, 1),
];
const SET_LENGTH_OUTCOMES: [WriteOutcome; 2] = [WriteOutcome::Kept, WriteOutcome::Missing];

/// If there are more outcomes, an evenly spaced subset of about this number is returned.
const MAX_OUTCOMES: usize = 432;

#[derive(Clone, Debug, Default)]
struct File {
    /// The file itself survives a loss of power.
    is_name_durable: bool,
    durable_content: Vec<u8>,
    pending: Vec<Change>,
}

/// The files of a folder.
#[derive(Clone, Debug, Default)]
pub struct Files(BTreeMap<String, File>);

impl Change {
    fn apply(&self, content: &mut Vec<u8>, outcome: WriteOutcome) {
        match (self, outcome) {
            (_, WriteOutcome::Missing) => {}
            (Change::SetLength(length), _) => content.resize(*length, 0),
            (Change::Write { offset, bytes }, WriteOutcome::Kept) => write(content, *offset, bytes),
            (Change::Write { offset, bytes }, WriteOutcome::Torn(from, to)) => {
                let (start, end) = (bytes.len() * from / 8, bytes.len() * to / 8);
                write(content, offset + start, &bytes[start..end]);
            }
        }
    }

    fn possible_outcomes(&self) -> &'static [WriteOutcome] {
        match self {
            Change::Write { .. } => &WRITE_OUTCOMES,
            Change::SetLength(_) => &SET_LENGTH_OUTCOMES,
        }
    }
}

fn write(content: &mut Vec<u8>, offset: usize, bytes: &[u8]) {
    let end = offset + bytes.len();
    if !bytes.is_empty() && content.len() < end {
        content.resize(end, 0);
    }
    content[offset.min(end - bytes.len())..][..bytes.len()].copy_from_slice(bytes);
}

impl File {
    fn content(&self) -> Vec<u8> {
        let mut content = self.durable_content.clone();
        for change in &self.pending {
            change.apply(&mut content, WriteOutcome::Kept);
        }
        content
    }
}

impl Files {
    /// The number of possible outcomes of a loss of power.
    pub fn outcome_count(&self) -> usize {
        self.choices().product()
    }

    /// The number of outcomes of each file name and each pending change.
    fn choices(&self) -> impl Iterator<Item = usize> {
        self.0.values().flat_map(|file| {
            let name_outcomes = if file.is_name_durable { 1 } else { 2 };
            std::iter::once(name_outcomes)
                .chain(file.pending.iter().map(|change| change.possible_outcomes().len()))
        })
    }

    /// The files after a loss of power with the outcome of this index.
    pub fn after_power_loss(&self, outcome: usize) -> Files {
        let mut rest = outcome;
        let mut choose = |choices: usize| {
            let choice = rest % choices;
            rest /= choices;
            choice
        };
        let mut files = BTreeMap::new();
        for (name, file) in &self.0 {
            let is_name_lost = !file.is_name_durable && choose(2) == 1;
            let mut content = file.durable_content.clone();
            for change in &file.pending {
                let possible_outcomes = change.possible_outcomes();
                change.apply(&mut content, possible_outcomes[choose(possible_outcomes.len())]);
            }
            if !is_name_lost {
                files.insert(
                    name.clone(),
                    File { is_name_durable: true, durable_content: content, pending: Vec::new() },
                );
            }
        }
        Files(files)
    }

    /// The files after each outcome of a loss of power, or after an evenly spaced subset of the outcomes if
    /// there are many.
    pub fn all_after_power_loss(&self) -> impl Iterator<Item = Files> {
        let outcomes = self.outcome_count();
        let step = outcomes.div_ceil(MAX_OUTCOMES);
        // A step that shares no factor with the numbers of choices covers every choice.
        let step = (step..).find(|step| step % 2 != 0 && (*step == 1 || step % 3 != 0)).unwrap_or(1);
        (0..outcomes).step_by(step).map(|outcome| self.after_power_loss(outcome))
    }

    pub fn total_bytes(&self) -> usize {
        self.0.values().map(|file| file.content().len()).sum()
    }

    /// Flips one bit of a file.
    pub fn damage(&mut self, name: &str, position: usize) {
        let file = self.0.get_mut(name).expect("the file exists");
        file.durable_content[position] ^= 1;
    }
}

/// A fault of operations that change files.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// The number of operations that succeed before the fault.
    pub after: usize,
    /// The number of operations that fail.
    pub operations: usize,
    pub is_full: bool,
    /// A failed operation takes effect nevertheless. Of a failed write, the first half takes effect.
    pub takes_effect: bool,
}

#[derive(Debug, Default)]
struct Disk {
    files: Files,
    fault: Option<Fault>,
    /// The files after each operation, while recording.
    history: Option<Vec<Files>>,
    sync_count: usize,
}

/// A handle to a simulated folder. Clones share the folder.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDirectory(Rc<RefCell<Disk>>);

impl SimulatedDirectory {
    pub fn with_files(files: Files) -> Self {
        let directory = SimulatedDirectory::default();
        directory.0.borrow_mut().files = files;
        directory
    }

    pub fn files(&self) -> Files {
        self.0.borrow().files.clone()
    }

    pub fn sync_count(&self) -> usize {
        self.0.borrow().sync_count
    }

    pub fn set_fault(&self, fault: Option<Fault>) {
        self.0.borrow_mut().fault = fault;
    }

    /// Simulates a loss of power with one of the possible outcomes.
    pub fn lose_power(&self, outcome: usize) {
        let mut disk = self.0.borrow_mut();
        disk.files = disk.files.after_power_loss(outcome % disk.files.outcome_count());
    }

    pub fn start_recording(&self) {
        self.0.borrow_mut().history = Some(Vec::new());
    }

    /// The files after each operation since the last call.
    pub fn take_recorded(&self) -> Vec<Files> {
        self.0.borrow_mut().history.as_mut().map(std::mem::take).unwrap_or_default()
    }
}

impl Disk {
    /// Counts an operation. Returns the fault if the operation must fail.
    fn next_fault(&mut self) -> Option<Fault> {
        let fault = self.fault.as_mut()?;
        if fault.after > 0 {
            fault.after -= 1;
            return None;
        }
        if fault.operations == 0 {
            self.fault = None;
            return None;
        }
        fault.operations -= 1;
        Some(*fault)
    }

    fn change(&mut self, name: &str, change: Change) -> Result<(), DirectoryError> {
        let fault = self.next_fault();
        let change = match (change, fault) {
            (change, None) => Some(change),
            (_, Some(Fault { takes_effect: false, .. })) => None,
            (Change::Write { offset, mut bytes }, Some(_)) => {
                bytes.truncate(bytes.len() / 2);
                Some(Change::Write { offset, bytes })
            }
            (change, Some(_)) => Some(change),
        };
        if let Some(change) = change {
            self.files.0.entry(name.to_owned()).or_default().pending.push(change);
        }
        self.record();
        fault.map_or(Ok(()), |fault| Err(fault_error(name, fault)))
    }

    fn sync(&mut self, name: &str) -> Result<(), DirectoryError> {
        let fault = self.next_fault();
        self.sync_count += 1;
        if fault.is_none_or(|fault| fault.takes_effect) {
            let file = self.files.0.get_mut(name).expect("the synced file exists");
            *file = File { is_name_durable: true, durable_content: file.content(), pending: Vec::new() };
        }
        self.record();
        fault.map_or(Ok(()), |fault| Err(fault_error(name, fault)))
    }

    fn record(&mut self) {
        if let Some(history) = &mut self.history {
            history.push(self.files.clone());
        }
    }
}

fn fault_error(name: &str, fault: Fault) -> DirectoryError {
    let name = name.to_owned();
    if fault.is_full {
        DirectoryError::Full { name }
    } else {
        DirectoryError::Io { name, source: io::Error::other("injected fault") }
    }
}

impl Directory for SimulatedDirectory {
    fn read(&mut self, name: &str) -> Result<Option<Vec<u8>>, DirectoryError> {
        Ok(self.0.borrow().files.0.get(name).map(File::content))
    }

    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> Result<(), DirectoryError> {
        let offset = usize::try_from(offset).expect("files are small");
        self.0.borrow_mut().change(name, Change::Write { offset, bytes: bytes.to_vec() })
    }

    fn set_length(&mut self, name: &str, length: u64) -> Result<(), DirectoryError> {
        let length = usize::try_from(length).expect("files are small");
        self.0.borrow_mut().change(name, Change::SetLength(length))
    }

    fn sync(&mut self, name: &str) -> Result<(), DirectoryError> {
        self.0.borrow_mut().sync(name)
    }

    fn sync_directory(&mut self) -> Result<(), DirectoryError> {
        let mut disk = self.0.borrow_mut();
        for file in disk.files.0.values_mut() {
            file.is_name_durable = true;
        }
        disk.record();
        Ok(())
    }
}
