//! Clients that send commands to replicas and record the history of their operations.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use whinspindle_lab_simulated_cluster::{Cluster, Pcg, TimedAnswer};
use whinspindle_replica::{ProtocolRules, SubmitError};

use super::history::{Operation, Request, Response};
use super::node::{ClientAnswer, Command, Node};

/// One submission of an operation's command to a replica.
struct Attempt {
    operation: usize,
    started_at: u64,
}

/// All clients of a cluster.
#[derive(Default)]
pub struct Clients {
    pub operations: Vec<Operation>,
    /// Unanswered attempts, by the endpoint of the replica and the ticket.
    pending: BTreeMap<(SocketAddr, u64), Attempt>,
    /// Operations that were submitted more than once.
    repeated: BTreeSet<usize>,
    /// Operations that are known to have had no effect.
    ineffective: Vec<usize>,
    /// The last ticket of each process, by endpoint and start; the first ticket is 1.
    tickets: BTreeMap<(SocketAddr, u64), u64>,
    duplicate_swap_seen: bool,
    /// The last known value of each register, the basis of the next swap.
    known_values: BTreeMap<String, String>,
}

impl Clients {
    /// Begins an operation at a replica, if the replica is running.
    pub fn begin<L: ProtocolRules>(
        &mut self,
        cluster: &mut Cluster<Node<L>>,
        at: SocketAddr,
        register: &str,
        request: Request,
    ) {
        let started_at = cluster.now();
        let operation = self.operations.len();
        if self.attempt(cluster, at, operation, &request.command(register)) {
            self.operations.push(Operation {
                register: register.to_string(),
                request,
                started_at,
                completion: None,
            });
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
        let started_at = cluster.now();
        if !cluster.command(at, submit) {
            return false;
        }
        self.tickets.insert((at, start), ticket);
        // This may overwrite a ticket of an earlier process, which is never answered.
        self.pending.insert((at, ticket), Attempt { operation, started_at });
        true
    }

    /// Submits each swap and read that is unanswered after `after` milliseconds to another replica. A
    /// repeated swap reads its own value if the first attempt took effect.
    pub fn retry_unanswered<L: ProtocolRules>(
        &mut self,
        cluster: &mut Cluster<Node<L>>,
        at: SocketAddr,
        after: u64,
    ) {
        let now = cluster.now();
        let operation_to_retry = |(key, attempt): (&(SocketAddr, u64), &Attempt)| {
            let operation = &self.operations[attempt.operation];
            let may_repeat = operation.completion.is_none() && !matches!(operation.request, Request::Put(_));
            let is_due = now >= attempt.started_at + after && key.0 != at;
            (is_due && may_repeat && !self.repeated.contains(&attempt.operation)).then_some(attempt.operation)
        };
        let operations_to_retry: Vec<usize> = self.pending.iter().filter_map(operation_to_retry).collect();
        for operation in operations_to_retry {
            let Operation { register, request, .. } = &self.operations[operation];
            let command = request.command(register);
            if self.attempt(cluster, at, operation, &command) {
                self.repeated.insert(operation);
            }
        }
    }

    /// Begins a random operation: a put, a swap of the last known value or a get.
    pub fn begin_any<L: ProtocolRules>(
        &mut self,
        cluster: &mut Cluster<Node<L>>,
        random: &mut Pcg,
        at: SocketAddr,
        registers: usize,
    ) {
        let register = format!("register-{}", random.next_below(registers));
        let new = format!("v{}", self.operations.len() + 1);
        let old = self.known_values.get(&register).cloned().unwrap_or("-".to_string());
        let request = match random.next_below(4) {
            0 => Request::Put(new),
            1 | 2 => Request::Swap { old, new },
            _ => Request::Get,
        };
        self.begin(cluster, at, &register, request);
    }

    /// Runs the cluster until this time and records the answers.
    pub fn run_until<L: ProtocolRules>(&mut self, cluster: &mut Cluster<Node<L>>, until: u64) {
        for occurrence in cluster.run_until(until) {
            self.record_occurrence(occurrence);
        }
    }

    fn record_occurrence(&mut self, occurrence: TimedAnswer<ClientAnswer>) {
        let TimedAnswer { at, endpoint, answer: ClientAnswer { ticket, result } } = occurrence;
        let Some(attempt) = self.pending.remove(&(endpoint, ticket)) else { return };
        match result {
            Ok(reply) => self.record_answer(at, &attempt, &reply.answer),
            Err(SubmitError::NoQuorum) if !self.repeated.contains(&attempt.operation) => {
                self.ineffective.push(attempt.operation);
            }
            Err(_) => {}
        }
    }

    fn record_answer(&mut self, at: u64, attempt: &Attempt, answer: &[u8]) {
        let operation = &mut self.operations[attempt.operation];
        let answered = operation.request.parse_response(answer);
        let known_value = match (&operation.request, &answered) {
            (_, Response::Value(value) | Response::Refused(value)) => Some(value.clone()),
            (Request::Put(new) | Request::Swap { new, .. }, Response::Done) => Some(new.clone()),
            _ => None,
        };
        if let Some(known_value) = known_value {
            self.known_values.insert(operation.register.clone(), known_value);
        }
        let is_first = operation.completion.is_none();
        let is_repeated = self.repeated.contains(&attempt.operation);
        if is_first && (!is_repeated || answered == Response::Done) {
            operation.completion = Some((at, answered));
        } else if answered != Response::Done {
            // The other attempt may have taken effect, so this one is a separate operation that read a value.
            let (register, request) = (operation.register.clone(), operation.request.clone());
            self.operations.push(Operation {
                register,
                request,
                started_at: attempt.started_at,
                completion: Some((at, answered)),
            });
        } else {
            self.duplicate_swap_seen = true;
        }
    }

    /// Whether both attempts of a swap took effect.
    pub fn has_duplicate_swap(&self) -> bool {
        self.duplicate_swap_seen
    }

    /// The operations to check: all except those known to have had no effect.
    pub fn history(&self) -> Vec<Operation> {
        let indexed = self.operations.iter().enumerate();
        indexed
            .filter(|(index, _)| !self.ineffective.contains(index))
            .map(|(_, operation)| operation.clone())
            .collect()
    }

    /// The number of answered operations.
    pub fn answered(&self) -> usize {
        self.operations.iter().filter(|operation| operation.completion.is_some()).count()
    }

    /// Submits a write to one replica and waits up to `longest` milliseconds for the answer. Returns the time
    /// until the answer.
    pub fn write_within<L: ProtocolRules>(
        &mut self,
        cluster: &mut Cluster<Node<L>>,
        at: SocketAddr,
        longest: u64,
    ) -> Option<u64> {
        let started_at = cluster.now();
        let new = format!("v{}", self.operations.len() + 1);
        let index = self.operations.len();
        self.begin(cluster, at, "register-0", Request::Put(new));
        if self.operations.len() == index {
            return None;
        }
        while cluster.now() < started_at + longest {
            let until = cluster.now() + 10;
            self.run_until(cluster, until);
            if let Some((completion, _)) = self.operations[index].completion {
                return Some(completion - started_at);
            }
        }
        None
    }
}
