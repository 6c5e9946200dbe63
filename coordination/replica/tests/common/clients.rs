//! Clients that ask replicas and write down what they see.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use whinspindle_lab_cluster::{Cluster, Occurrence, Pcg};
use whinspindle_replica::{Laws, SubmitError};

use super::history::{Answered, Asked, Operation};
use super::node::{Command, Node, Told};

/// All clients of a cluster.
#[derive(Default)]
pub struct Clients {
    pub operations: Vec<Operation>,
    waiting: BTreeMap<u64, usize>,
    /// Operations that certainly had no effect.
    void: Vec<usize>,
    next_ticket: u64,
    /// Values that were seen or written, by register.
    guesses: BTreeMap<String, String>,
}

impl Clients {
    /// Begins an operation at a replica; returns its ticket.
    pub fn begin<L: Laws>(
        &mut self,
        cluster: &mut Cluster<Node<L>>,
        at: SocketAddr,
        register: &str,
        asked: Asked,
    ) -> u64 {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let command = match &asked {
            Asked::Put(new) => format!("put {register} {new}"),
            Asked::Swap { old, new } => format!("swap {register} {old} {new}"),
            Asked::Get => format!("get {register}"),
        };
        let begun = cluster.now();
        if cluster.command(at, Command::Submit { ticket, command }) {
            self.waiting.insert(ticket, self.operations.len());
            self.operations.push(Operation { register: register.to_string(), asked, begun, ended: None });
        }
        ticket
    }

    /// Begins an operation drawn at random, also one that guesses the present value.
    pub fn begin_any<L: Laws>(
        &mut self,
        cluster: &mut Cluster<Node<L>>,
        chance: &mut Pcg,
        at: SocketAddr,
        registers: usize,
    ) {
        let register = format!("register-{}", chance.below(registers));
        let new = format!("v{}", self.operations.len() + 1);
        let old = self.guesses.get(&register).cloned().unwrap_or("-".to_string());
        let asked = match chance.below(4) {
            0 => Asked::Put(new),
            1 | 2 => Asked::Swap { old, new },
            _ => Asked::Get,
        };
        self.begin(cluster, at, &register, asked);
    }

    /// Lets time pass and writes down the answers.
    pub fn run_until<L: Laws>(&mut self, cluster: &mut Cluster<Node<L>>, until: u64) {
        for occurrence in cluster.run_until(until) {
            self.note(occurrence);
        }
    }

    fn note(&mut self, occurrence: Occurrence<Told>) {
        let Occurrence { at, answer: Told { ticket, result }, .. } = occurrence;
        let Some(index) = self.waiting.remove(&ticket) else { return };
        let operation = &mut self.operations[index];
        match result {
            Ok(reply) => {
                let text = String::from_utf8(reply.answer).expect("text");
                let answered = match (&operation.asked, text.as_str()) {
                    (Asked::Get, _) => Answered::Value(text),
                    (_, "done") => Answered::Done,
                    _ => Answered::Refused(text),
                };
                let guess = match (&operation.asked, &answered) {
                    (_, Answered::Value(value) | Answered::Refused(value)) => Some(value.clone()),
                    (Asked::Put(new) | Asked::Swap { new, .. }, Answered::Done) => Some(new.clone()),
                    _ => None,
                };
                if let Some(guess) = guess {
                    self.guesses.insert(operation.register.clone(), guess);
                }
                operation.ended = Some((at, answered));
            }
            Err(SubmitError::NoQuorum) => self.void.push(index),
            Err(SubmitError::Unknown) => {}
        }
    }

    /// What there is to judge: all but operations without effect.
    pub fn history(&self) -> Vec<Operation> {
        let indexed = self.operations.iter().enumerate();
        indexed
            .filter(|(index, _)| !self.void.contains(index))
            .map(|(_, operation)| operation.clone())
            .collect()
    }

    pub fn answered(&self) -> usize {
        self.operations.iter().filter(|operation| operation.ended.is_some()).count()
    }

    /// Asks one replica until it answers a write; returns how long that took, at most `longest`.
    pub fn write_within<L: Laws>(
        &mut self,
        cluster: &mut Cluster<Node<L>>,
        at: SocketAddr,
        longest: u64,
    ) -> Option<u64> {
        let begun = cluster.now();
        let new = format!("v{}", self.operations.len() + 1);
        let index = self.operations.len();
        self.begin(cluster, at, "register-0", Asked::Put(new));
        if self.operations.len() == index {
            return None;
        }
        while cluster.now() < begun + longest {
            let until = cluster.now() + 10;
            self.run_until(cluster, until);
            if let Some((ended, _)) = self.operations[index].ended {
                return Some(ended - begun);
            }
        }
        None
    }
}
