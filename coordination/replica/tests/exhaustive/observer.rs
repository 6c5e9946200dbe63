//! An observer of all replicas, which checks the invariants that hold in every state.

use std::collections::BTreeMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use whinspindle_replica::{RecordWrite, Records, Reply, View};

use crate::common::history::{Operation, Request, check};

/// The register of all client requests.
pub const REGISTER: &str = "register";

pub fn hash_of(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// The committed entries, the views and the client operations seen so far.
#[derive(Clone, Debug, Default)]
pub struct Observer {
    /// The committed writes by sequence.
    entries: BTreeMap<u64, Vec<RecordWrite>>,
    /// Digests of the records by sequence.
    records: BTreeMap<u64, u64>,
    /// Digests of the views by number.
    views: BTreeMap<u64, u64>,
    operations: Vec<Operation>,
}

impl Observer {
    /// Records a request of a client; returns the ticket.
    pub fn record_request(&mut self, step: u64, request: Request) -> u64 {
        let register = REGISTER.to_string();
        self.operations.push(Operation { register, request, started_at: step, completion: None });
        self.operations.len() as u64 - 1
    }

    /// Records an answer and checks that the history of all operations is linearizable.
    pub fn record_answer(&mut self, step: u64, ticket: u64, reply: &Reply) -> Result<(), String> {
        let operation = &mut self.operations[ticket as usize];
        operation.completion = Some((step, operation.request.parse_response(&reply.answer)));
        check(&self.operations)
    }

    /// Records a committed entry and checks that each sequence has one entry and each entry one sequence.
    pub fn record_commit(&mut self, sequence: u64, writes: Vec<RecordWrite>) -> Result<(), String> {
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

    /// Checks that all replicas at the same committed sequence have the same records.
    pub fn check_records(&mut self, sequence: u64, records: &Records) -> Result<(), String> {
        let digest = hash_of(records.iter().collect::<Vec<_>>());
        if *self.records.entry(sequence).or_insert(digest) != digest {
            return Err(format!("two replicas differ as of {sequence}"));
        }
        Ok(())
    }

    /// Records a view and checks that each view number has one view.
    pub fn record_view(&mut self, view: &View) -> Result<(), String> {
        let digest = hash_of(view);
        if view.is_known() && *self.views.entry(view.number).or_insert(digest) != digest {
            return Err(format!("two views have the number {}", view.number));
        }
        Ok(())
    }

    /// The tickets of unanswered requests.
    pub fn unanswered(&self) -> Vec<usize> {
        let tickets = 0..self.operations.len();
        tickets.filter(|ticket| self.operations[*ticket].completion.is_none()).collect()
    }

    /// A hash of the observed state. It depends on the order of the operations, but not on their times.
    pub fn fingerprint(&self) -> u64 {
        let requests: Vec<_> = self
            .operations
            .iter()
            .map(|operation| {
                (&operation.request, operation.completion.as_ref().map(|(_, response)| response))
            })
            .collect();
        let order: Vec<bool> = self
            .operations
            .iter()
            .flat_map(|one| self.operations.iter().map(|other| one.ends_before(other)))
            .collect();
        hash_of((&self.entries, &self.views, requests, order))
    }
}
