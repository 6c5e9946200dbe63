//! Clients that ask replicas and write down what they see.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use whinspindle_lab_simulated_cluster::{Cluster, Occurrence, Pcg};
use whinspindle_replica::{ProtocolRules, SubmitError};

use super::history::{Answered, Asked, Operation};
use super::node::{ClientAnswer, Command, Node};

/// A command that a replica was asked for.
struct Attempt {
    operation: usize,
    begun: u64,
}

/// All clients of a cluster.
#[derive(Default)]
pub struct Clients {
    pub operations: Vec<Operation>,
    /// Attempts without an answer, by where they were made and their tickets.
    waiting: BTreeMap<(SocketAddr, u64), Attempt>,
    /// Operations that were asked for more than once.
    repeated: BTreeSet<usize>,
    /// Operations that certainly had no effect.
    void: Vec<usize>,
    /// The last ticket of each process, which begins with 1 after each start.
    tickets: BTreeMap<(SocketAddr, u64), u64>,
    done_twice: bool,
    /// Values that were seen or written, by register.
    guesses: BTreeMap<String, String>,
}

impl Clients {
    /// Begins an operation at a replica, if one runs there.
    pub fn begin<L: ProtocolRules>(
        &mut self,
        cluster: &mut Cluster<Node<L>>,
        at: SocketAddr,
        register: &str,
        asked: Asked,
    ) {
        let begun = cluster.now();
        let operation = self.operations.len();
        if self.attempt(cluster, at, operation, &asked.command(register)) {
            self.operations.push(Operation { register: register.to_string(), asked, begun, ended: None });
        }
    }

    fn attempt<L: ProtocolRules>(
        &mut self,
        cluster: &mut Cluster<Node<L>>,
        at: SocketAddr,
        operation: usize,
        command: &str,
    ) -> bool {
        let Some(start) = cluster.process(at).map(|node| node.start) else { return false };
        let ticket = self.tickets.get(&(at, start)).copied().unwrap_or(0) + 1;
        let submit = Command::Submit { ticket, command: command.to_string() };
        let begun = cluster.now();
        if !cluster.command(at, submit) {
            return false;
        }
        self.tickets.insert((at, start), ticket);
        // A ticket of an earlier process there will not be answered any more.
        self.waiting.insert((at, ticket), Attempt { operation, begun });
        true
    }

    /// Asks another replica for each swap and read that has no answer after so long: a swap finds its own value if it
    /// took effect before.
    pub fn ask_again<L: ProtocolRules>(
        &mut self,
        cluster: &mut Cluster<Node<L>>,
        at: SocketAddr,
        after: u64,
    ) {
        let now = cluster.now();
        let is_late = |(key, attempt): (&(SocketAddr, u64), &Attempt)| {
            let operation = &self.operations[attempt.operation];
            let may_repeat = operation.ended.is_none() && !matches!(operation.asked, Asked::Put(_));
            let is_due = now >= attempt.begun + after && key.0 != at;
            (is_due && may_repeat && !self.repeated.contains(&attempt.operation)).then_some(attempt.operation)
        };
        let late: Vec<usize> = self.waiting.iter().filter_map(is_late).collect();
        for operation in late {
            let Operation { register, asked, .. } = &self.operations[operation];
            let command = asked.command(register);
            if self.attempt(cluster, at, operation, &command) {
                self.repeated.insert(operation);
            }
        }
    }

    /// Begins an operation drawn at random, also one that guesses the present value.
    pub fn begin_any<L: ProtocolRules>(
        &mut self,
        cluster: &mut Cluster<Node<L>>,
        random: &mut Pcg,
        at: SocketAddr,
        registers: usize,
    ) {
        let register = format!("register-{}", random.next_below(registers));
        let new = format!("v{}", self.operations.len() + 1);
        let old = self.guesses.get(&register).cloned().unwrap_or("-".to_string());
        let asked = match random.next_below(4) {
            0 => Asked::Put(new),
            1 | 2 => Asked::Swap { old, new },
            _ => Asked::Get,
        };
        self.begin(cluster, at, &register, asked);
    }

    /// Lets time pass and writes down the answers.
    pub fn run_until<L: ProtocolRules>(&mut self, cluster: &mut Cluster<Node<L>>, until: u64) {
        for occurrence in cluster.run_until(until) {
            self.note(occurrence);
        }
    }

    fn note(&mut self, occurrence: Occurrence<ClientAnswer>) {
        let Occurrence { at, endpoint, answer: ClientAnswer { ticket, result } } = occurrence;
        let Some(attempt) = self.waiting.remove(&(endpoint, ticket)) else { return };
        match result {
            Ok(reply) => self.note_answer(at, &attempt, &reply.answer),
            Err(SubmitError::NoQuorum) if !self.repeated.contains(&attempt.operation) => {
                self.void.push(attempt.operation);
            }
            Err(_) => {}
        }
    }

    fn note_answer(&mut self, at: u64, attempt: &Attempt, answer: &[u8]) {
        let operation = &mut self.operations[attempt.operation];
        let answered = operation.asked.answered(answer);
        let guess = match (&operation.asked, &answered) {
            (_, Answered::Value(value) | Answered::Refused(value)) => Some(value.clone()),
            (Asked::Put(new) | Asked::Swap { new, .. }, Answered::Done) => Some(new.clone()),
            _ => None,
        };
        if let Some(guess) = guess {
            self.guesses.insert(operation.register.clone(), guess);
        }
        let is_first = operation.ended.is_none();
        let is_repeated = self.repeated.contains(&attempt.operation);
        if is_first && (!is_repeated || answered == Answered::Done) {
            operation.ended = Some((at, answered));
        } else if answered != Answered::Done {
            // The other attempt may have taken effect: this one is an operation of its own that has found a value.
            let (register, asked) = (operation.register.clone(), operation.asked.clone());
            self.operations.push(Operation {
                register,
                asked,
                begun: attempt.begun,
                ended: Some((at, answered)),
            });
        } else {
            self.done_twice = true;
        }
    }

    /// Whether a swap was done by both of its attempts.
    pub fn is_done_twice(&self) -> bool {
        self.done_twice
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
    pub fn write_within<L: ProtocolRules>(
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
