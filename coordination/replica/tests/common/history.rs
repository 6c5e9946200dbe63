//! The judge: whether what clients saw can be put in one order that agrees with real time and with the meaning of
//! registers. It knows nothing of replicas. The search is that of J. Wing and C. Gong, "Testing and Verifying
//! Concurrent Objects", 1993, with the memory of G. Lowe, "Testing for Linearizability", 2017.

use std::collections::{BTreeMap, HashSet};

/// What was asked of one register.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Asked {
    Put(String),
    Swap { old: String, new: String },
    Get,
}

/// What was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answered {
    Done,
    Refused,
    Value(String),
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

/// Checks all registers.
pub fn check(operations: &[Operation]) -> Result<(), String> {
    let mut by_register: BTreeMap<&str, Vec<&Operation>> = BTreeMap::new();
    for operation in operations {
        by_register.entry(&operation.register).or_default().push(operation);
    }
    for (register, mut operations) in by_register {
        operations.retain(|operation| operation.ended.is_some() || operation.asked != Asked::Get);
        operations.sort_by_key(|operation| operation.begun);
        if !Search::new(&operations).run() {
            let lines: Vec<String> = operations.iter().map(|operation| format!("{operation:?}")).collect();
            return Err(format!("register {register} is not linearizable:\n{}", lines.join("\n")));
        }
    }
    Ok(())
}

struct Search<'a> {
    operations: &'a [&'a Operation],
    seen: HashSet<(Vec<u64>, String)>,
}

impl<'a> Search<'a> {
    fn new(operations: &'a [&'a Operation]) -> Self {
        Search { operations, seen: HashSet::new() }
    }

    fn run(&mut self) -> bool {
        let mut done = vec![0; self.operations.len() / 64 + 1];
        self.extend(&mut done, "-".to_string())
    }

    /// Whether the operations that are not done yet can follow.
    fn extend(&mut self, done: &mut Vec<u64>, value: String) -> bool {
        let is_done = |done: &[u64], index: usize| done[index / 64] >> (index % 64) & 1 == 1;
        let open: Vec<usize> = (0..self.operations.len()).filter(|index| !is_done(done, *index)).collect();
        let ends = open.iter().filter_map(|index| self.operations[*index].ended.as_ref().map(|(at, _)| *at));
        let Some(first_end) = ends.min() else { return true };
        if !self.seen.insert((done.clone(), value.clone())) {
            return false;
        }
        for index in open {
            let operation = self.operations[index];
            if operation.begun > first_end {
                break;
            }
            if let Some(next) = after(operation, &value) {
                done[index / 64] |= 1 << (index % 64);
                if self.extend(done, next) {
                    return true;
                }
                done[index / 64] &= !(1 << (index % 64));
            }
        }
        false
    }
}

/// The register's value after an operation; none if it can't have been answered so.
fn after(operation: &Operation, value: &str) -> Option<String> {
    let answered = operation.ended.as_ref().map(|(_, answered)| answered);
    match (&operation.asked, answered) {
        (Asked::Put(new), None | Some(Answered::Done)) => Some(new.clone()),
        (Asked::Swap { old, new }, None) => Some(if value == old { new.clone() } else { value.to_string() }),
        (Asked::Swap { old, new }, Some(Answered::Done)) => (value == old).then(|| new.clone()),
        (Asked::Swap { old, .. }, Some(Answered::Refused)) => (value != old).then(|| value.to_string()),
        (Asked::Get, Some(Answered::Value(seen))) => (seen == value).then(|| value.to_string()),
        _ => None,
    }
}
