//! What an observer of all replicas knows, and what must hold in every state.

use std::collections::BTreeMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use whinspindle_replica::{RecordWrite, Records, Reply, View};

use crate::common::history::{Asked, Operation, check};

/// The register that all orders are on.
pub const REGISTER: &str = "register";

pub fn hash_of(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

#[derive(Clone, Debug, Default)]
pub struct Observer {
    /// What was committed at each position.
    entries: BTreeMap<u64, Vec<RecordWrite>>,
    /// Digests of the records as of each position.
    records: BTreeMap<u64, u64>,
    /// Digests of the views by their numbers.
    views: BTreeMap<u64, u64>,
    operations: Vec<Operation>,
}

impl Observer {
    /// A caller asks; returns the ticket.
    pub fn ask(&mut self, step: u64, asked: Asked) -> u64 {
        let register = REGISTER.to_string();
        self.operations.push(Operation { register, asked, begun: step, ended: None });
        self.operations.len() as u64 - 1
    }

    /// A caller is answered: all that callers saw must have one order.
    pub fn answered(&mut self, step: u64, ticket: u64, reply: &Reply) -> Result<(), String> {
        let operation = &mut self.operations[ticket as usize];
        operation.ended = Some((step, operation.asked.answered(&reply.answer)));
        check(&self.operations)
    }

    /// One position holds one entry, and one entry has one position.
    pub fn committed(&mut self, sequence: u64, writes: Vec<RecordWrite>) -> Result<(), String> {
        let elsewhere = self.entries.iter().find(|(other, known)| **other != sequence && **known == writes);
        if let Some((other, _)) = elsewhere {
            return Err(format!("{writes:?} is committed at {other} and at {sequence}"));
        }
        let known = self.entries.entry(sequence).or_insert_with(|| writes.clone());
        if *known != writes {
            return Err(format!("{known:?} and {writes:?} are committed at {sequence}"));
        }
        Ok(())
    }

    /// Two replicas at one position have the same records.
    pub fn stands_at(&mut self, sequence: u64, records: &Records) -> Result<(), String> {
        let digest = hash_of(records.iter().collect::<Vec<_>>());
        if *self.records.entry(sequence).or_insert(digest) != digest {
            return Err(format!("two replicas differ as of {sequence}"));
        }
        Ok(())
    }

    /// The views are one sequence.
    pub fn adopted(&mut self, view: &View) -> Result<(), String> {
        let digest = hash_of(view);
        if view.is_known() && *self.views.entry(view.number).or_insert(digest) != digest {
            return Err(format!("two views have the number {}", view.number));
        }
        Ok(())
    }

    /// Tickets of what was asked for and not answered.
    pub fn unanswered(&self) -> Vec<usize> {
        let tickets = 0..self.operations.len();
        tickets.filter(|ticket| self.operations[*ticket].ended.is_none()).collect()
    }

    /// What tells two states apart: of the times of operations just their order.
    pub fn fingerprint(&self) -> u64 {
        let asked: Vec<_> =
            self.operations.iter().map(|one| (&one.asked, one.ended.as_ref().map(|(_, how)| how))).collect();
        let order: Vec<bool> = self
            .operations
            .iter()
            .flat_map(|one| self.operations.iter().map(|other| one.ends_before(other)))
            .collect();
        hash_of((&self.entries, &self.views, asked, order))
    }
}
