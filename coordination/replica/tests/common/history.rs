//! A linearizability checker for registers. It decides whether the operations of the clients have a total
//! order that agrees with real time and with the semantics of a register. It is independent of the replicas.
//!
//! All written values are different, and every answer except that of a put contains the value that the
//! operation read. Each value therefore has one operation that wrote it, followed by the operations that read
//! it, and a swap follows the operations that read its old value. A put and the chain of swaps that builds on
//! it form a block, and the checker only has to order the blocks (P. Gibbons and E. Korach, "Testing Shared
//! Memories", 1997).

use std::collections::BTreeMap;

/// A request to one register.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Request {
    Put(String),
    Swap { old: String, new: String },
    Get,
}

/// The response to a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Response {
    Done,
    /// A swap was rejected because the register had this value.
    Refused(String),
    Value(String),
}

impl Request {
    /// Formats the command for [`super::node::Registers`].
    pub fn command(&self, register: &str) -> String {
        match self {
            Request::Put(new) => format!("put {register} {new}"),
            Request::Swap { old, new } => format!("swap {register} {old} {new}"),
            Request::Get => format!("get {register}"),
        }
    }

    /// Parses the bytes of an answer.
    pub fn parse_response(&self, answer: &[u8]) -> Response {
        let text = String::from_utf8_lossy(answer).to_string();
        match (self, text.as_str()) {
            (Request::Get, _) => Response::Value(text),
            (_, "done") => Response::Done,
            _ => Response::Refused(text),
        }
    }
}

/// One operation on one register.
#[derive(Clone, Debug)]
pub struct Operation {
    pub register: String,
    pub request: Request,
    pub started_at: u64,
    /// The time and the content of the response; `None` if the outcome is unknown.
    pub completion: Option<(u64, Response)>,
}

/// The initial value of a register.
const EMPTY: &str = "-";

impl Operation {
    pub fn ends_before(&self, other: &Operation) -> bool {
        self.completion.as_ref().is_some_and(|(at, _)| *at < other.started_at)
    }

    /// The value that the operation read; `None` for a put and for a get without a response.
    fn read_value(&self) -> Option<&str> {
        match (&self.request, &self.completion) {
            (_, Some((_, Response::Value(value) | Response::Refused(value)))) => Some(value),
            (Request::Swap { old, .. }, _) => Some(old),
            _ => None,
        }
    }

    /// The value that the operation wrote, or may have written if its outcome is unknown.
    fn written_value(&self) -> Option<&str> {
        match (&self.request, &self.completion) {
            (Request::Put(new) | Request::Swap { new, .. }, None | Some((_, Response::Done))) => Some(new),
            _ => None,
        }
    }
}

/// Checks that the operations on each register are linearizable.
pub fn check(operations: &[Operation]) -> Result<(), String> {
    let mut by_register: BTreeMap<&str, Vec<&Operation>> = BTreeMap::new();
    for operation in operations {
        by_register.entry(&operation.register).or_default().push(operation);
    }
    for (register, mut operations) in by_register {
        remove_unobserved(&mut operations);
        operations.sort_by_key(|operation| operation.started_at);
        check_register(&operations).map_err(|fault| {
            let lines: Vec<String> = operations.iter().map(|operation| format!("{operation:?}")).collect();
            format!("{register} is not linearizable: {fault}\n{}", lines.join("\n"))
        })?;
    }
    Ok(())
}

/// Removes operations with an unknown outcome whose value was never read: they may have had no effect.
fn remove_unobserved(operations: &mut Vec<&Operation>) {
    loop {
        let observed: Vec<String> =
            operations.iter().filter_map(|operation| operation.read_value().map(str::to_string)).collect();
        let count = operations.len();
        operations.retain(|operation| {
            let is_observed = operation
                .written_value()
                .is_some_and(|value| observed.iter().any(|observed| observed == value));
            operation.completion.is_some() || is_observed
        });
        if operations.len() == count {
            return;
        }
    }
}

/// The operations on one value: the operation that wrote it and the operations that only read it.
#[derive(Default)]
struct ValueOperations<'a> {
    writer: Option<&'a Operation>,
    readers: Vec<&'a Operation>,
}

fn check_register(operations: &[&Operation]) -> Result<(), String> {
    let mut by_value: BTreeMap<&str, ValueOperations> = BTreeMap::from([(EMPTY, ValueOperations::default())]);
    for operation in operations {
        if let Some(value) = operation.written_value() {
            by_value.entry(value).or_default().writer = Some(operation);
        }
    }
    let mut successors: BTreeMap<&str, &str> = BTreeMap::new();
    for operation in operations {
        let Some(observed) = operation.read_value() else { continue };
        let Some(group) = by_value.get_mut(observed) else {
            return Err(format!("{observed} was read but never written"));
        };
        match operation.written_value() {
            None => group.readers.push(operation),
            Some(new) => {
                if successors.insert(observed, new).is_some() {
                    return Err(format!("{observed} was swapped twice"));
                }
            }
        }
    }
    let swapped: Vec<&str> = successors.values().copied().collect();
    let first_values = by_value.keys().filter(|value| !swapped.contains(*value));
    let blocks = first_values
        .map(|value| collect_block(value, &by_value, &successors))
        .collect::<Result<Vec<_>, _>>()?;
    check_block_order(blocks)
}

/// Collects the operations on a value and on all values swapped in after it. Checks their real-time order.
fn collect_block<'a>(
    first: &'a str,
    by_value: &BTreeMap<&'a str, ValueOperations<'a>>,
    successors: &BTreeMap<&'a str, &'a str>,
) -> Result<Block<'a>, String> {
    let mut members: Vec<&Operation> = Vec::new();
    let mut value = first;
    loop {
        let group = &by_value[value];
        for members_of_value in [group.writer.as_slice(), group.readers.as_slice()] {
            for later in members_of_value {
                if let Some(earlier) = members.iter().find(|earlier| later.ends_before(earlier)) {
                    return Err(format!("{later:?} ended before {earlier:?} began, but has to follow it"));
                }
            }
            members.extend(members_of_value);
        }
        match successors.get(value) {
            Some(following) => value = following,
            None => return Ok(Block { has_initial_value: first == EMPTY, members }),
        }
    }
}

/// A put, the swaps that build on its value, and the reads of these values.
struct Block<'a> {
    /// The block starts with the initial value of the register.
    has_initial_value: bool,
    members: Vec<&'a Operation>,
}

impl Block<'_> {
    fn must_precede(&self, other: &Block) -> bool {
        let ends = |one: &&Operation| other.members.iter().any(|later| one.ends_before(later));
        self.has_initial_value || self.members.iter().any(ends)
    }
}

/// Checks that the blocks have an order that agrees with real time.
fn check_block_order(mut blocks: Vec<Block>) -> Result<(), String> {
    while !blocks.is_empty() {
        let is_first = |candidate: &Block| {
            blocks.iter().all(|other| std::ptr::eq(other, candidate) || !other.must_precede(candidate))
        };
        let Some(first) = blocks.iter().position(is_first) else {
            return Err("the real-time order of the put values is cyclic".to_string());
        };
        blocks.remove(first);
    }
    Ok(())
}
