//! The judge: whether what clients saw can be put in one order that agrees with real time and with the meaning of
//! registers. It knows nothing of replicas.
//!
//! All values that are written are different, and every answer but that of a put tells the value that it found. So
//! each value has one operation that wrote it, followed by those that found it, and a swap follows those that found
//! its old value. A put and all that follows from it stand together; what is left to find is an order of these
//! blocks (P. Gibbons and E. Korach, "Testing Shared Memories", 1997).

use std::collections::BTreeMap;

/// What was asked of one register.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Asked {
    Put(String),
    Swap { old: String, new: String },
    Get,
}

/// What was answered.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Answered {
    Done,
    /// The swap found this value.
    Refused(String),
    Value(String),
}

impl Asked {
    /// The command as [`super::node::Registers`] takes it.
    pub fn command(&self, register: &str) -> String {
        match self {
            Asked::Put(new) => format!("put {register} {new}"),
            Asked::Swap { old, new } => format!("swap {register} {old} {new}"),
            Asked::Get => format!("get {register}"),
        }
    }

    /// What the bytes of an answer say.
    pub fn answered(&self, answer: &[u8]) -> Answered {
        let text = String::from_utf8_lossy(answer).to_string();
        match (self, text.as_str()) {
            (Asked::Get, _) => Answered::Value(text),
            (_, "done") => Answered::Done,
            _ => Answered::Refused(text),
        }
    }
}

/// One operation on one register.
#[derive(Clone, Debug)]
pub struct Operation {
    pub register: String,
    pub asked: Asked,
    pub begun: u64,
    /// When and what was answered; none if the outcome is unknown.
    pub ended: Option<(u64, Answered)>,
}

/// The value of a register that was never written.
const EMPTY: &str = "-";

impl Operation {
    pub fn ends_before(&self, other: &Operation) -> bool {
        self.ended.as_ref().is_some_and(|(at, _)| *at < other.begun)
    }

    /// The value that it found; none if it did not look, or nobody knows.
    fn observed(&self) -> Option<&str> {
        match (&self.asked, &self.ended) {
            (_, Some((_, Answered::Value(value) | Answered::Refused(value)))) => Some(value),
            (Asked::Swap { old, .. }, _) => Some(old),
            _ => None,
        }
    }

    /// The value that it wrote, if it had an effect.
    fn wrote(&self) -> Option<&str> {
        match (&self.asked, &self.ended) {
            (Asked::Put(new) | Asked::Swap { new, .. }, None | Some((_, Answered::Done))) => Some(new),
            _ => None,
        }
    }
}

/// Checks all registers.
pub fn check(operations: &[Operation]) -> Result<(), String> {
    let mut by_register: BTreeMap<&str, Vec<&Operation>> = BTreeMap::new();
    for operation in operations {
        by_register.entry(&operation.register).or_default().push(operation);
    }
    for (register, mut operations) in by_register {
        remove_unobserved(&mut operations);
        operations.sort_by_key(|operation| operation.begun);
        check_register(&operations).map_err(|fault| {
            let lines: Vec<String> = operations.iter().map(|operation| format!("{operation:?}")).collect();
            format!("{register} is not linearizable: {fault}\n{}", lines.join("\n"))
        })?;
    }
    Ok(())
}

/// Leaves out operations with an unknown outcome whose value nobody has found: they may as well have had no effect.
fn remove_unobserved(operations: &mut Vec<&Operation>) {
    loop {
        let observed: Vec<String> =
            operations.iter().filter_map(|operation| operation.observed().map(str::to_string)).collect();
        let count = operations.len();
        operations.retain(|operation| {
            let is_observed =
                operation.wrote().is_some_and(|value| observed.iter().any(|observed| observed == value));
            operation.ended.is_some() || is_observed
        });
        if operations.len() == count {
            return;
        }
    }
}

/// The operations on one value: the one that wrote it, and those that only found it.
#[derive(Default)]
struct Stage<'a> {
    writer: Option<&'a Operation>,
    readers: Vec<&'a Operation>,
}

fn check_register(operations: &[&Operation]) -> Result<(), String> {
    let mut stages: BTreeMap<&str, Stage> = BTreeMap::from([(EMPTY, Stage::default())]);
    for operation in operations {
        if let Some(value) = operation.wrote() {
            stages.entry(value).or_default().writer = Some(operation);
        }
    }
    let mut next: BTreeMap<&str, &str> = BTreeMap::new();
    for operation in operations {
        let Some(observed) = operation.observed() else { continue };
        let Some(stage) = stages.get_mut(observed) else { return Err(format!("nobody wrote {observed}")) };
        match operation.wrote() {
            None => stage.readers.push(operation),
            Some(new) => {
                if next.insert(observed, new).is_some() {
                    return Err(format!("{observed} was swapped twice"));
                }
            }
        }
    }
    let swapped: Vec<&str> = next.values().copied().collect();
    let first = stages.keys().filter(|value| !swapped.contains(*value));
    let blocks = first.map(|value| block(value, &stages, &next)).collect::<Result<Vec<_>, _>>()?;
    order(blocks)
}

/// The operations of a value and of all that follow from it by swaps, after a check of their order.
fn block<'a>(
    first: &'a str,
    stages: &BTreeMap<&'a str, Stage<'a>>,
    next: &BTreeMap<&'a str, &'a str>,
) -> Result<Block<'a>, String> {
    let mut members: Vec<&Operation> = Vec::new();
    let mut value = first;
    loop {
        let stage = &stages[value];
        for group in [stage.writer.as_slice(), stage.readers.as_slice()] {
            for later in group {
                if let Some(earlier) = members.iter().find(|earlier| later.ends_before(earlier)) {
                    return Err(format!("{later:?} ended before {earlier:?} began, yet it follows"));
                }
            }
            members.extend(group);
        }
        match next.get(value) {
            Some(following) => value = following,
            None => return Ok(Block { is_beginning: first == EMPTY, members }),
        }
    }
}

struct Block<'a> {
    /// Holds the empty value, which was there before all others.
    is_beginning: bool,
    members: Vec<&'a Operation>,
}

impl Block<'_> {
    fn must_precede(&self, other: &Block) -> bool {
        let ends = |one: &&Operation| other.members.iter().any(|later| one.ends_before(later));
        self.is_beginning || self.members.iter().any(ends)
    }
}

/// Looks for an order of the blocks.
fn order(mut blocks: Vec<Block>) -> Result<(), String> {
    while !blocks.is_empty() {
        let is_first = |candidate: &Block| {
            blocks.iter().all(|other| std::ptr::eq(other, candidate) || !other.must_precede(candidate))
        };
        let Some(first) = blocks.iter().position(is_first) else {
            return Err("values that were put stand in a circle".to_string());
        };
        blocks.remove(first);
    }
    Ok(())
}
