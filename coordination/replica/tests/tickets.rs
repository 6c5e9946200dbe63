//! Answers and commands that outlive the process that they belong to: a ticket counts together with the start of the
//! process that gave it out.

mod common;

use std::net::SocketAddr;

use common::node::{Registers, endpoint};
use whinspindle_replica::{
    DurableWrite, Input, Message, Origin, Output, Replica, ReplicaSettings, Reply, SubmitError, Timing,
    Tolerance,
};

const CALLER: usize = 7;
const EARLIER_START: u64 = 10;
const PRESENT_START: u64 = 11;

/// A replica whose disk is as quick as the caller of `give`.
struct Driven {
    replica: Replica<Registers>,
    now: u64,
    checkpoint: Option<Vec<u8>>,
    log: Vec<Vec<u8>>,
}

impl Driven {
    /// The replica at endpoint 0, whose chain has these members.
    fn start(members: usize, start_id: u64) -> Driven {
        Driven::recover(members, start_id, (None, Vec::new()))
    }

    fn recover(members: usize, start_id: u64, recovered: (Option<Vec<u8>>, Vec<Vec<u8>>)) -> Driven {
        let settings = ReplicaSettings {
            endpoint: endpoint(0),
            zone: "zone-0".to_owned(),
            region: "region-0".to_owned(),
            seeds: (0..members).map(endpoint).collect(),
            bootstrap: true,
            incarnation: 1,
            start_id,
            tolerance: Tolerance::machines_only(0),
            timing: Timing::default(),
        };
        let (checkpoint, log) = recovered.clone();
        let (replica, outputs) = Replica::new(settings, Registers, recovered, 0).expect("a readable disk");
        let mut driven = Driven { replica, now: 0, checkpoint, log };
        driven.persist(outputs);
        driven
    }

    /// The process ends, and another begins with the same disk.
    fn restart(self, members: usize, start_id: u64) -> Driven {
        Driven::recover(members, start_id, (self.checkpoint, self.log))
    }

    /// Gives an input and returns what it brings, with what follows from its writes.
    fn give(&mut self, input: Input) -> Vec<Output> {
        let outputs = self.replica.handle(self.now, input);
        self.persist(outputs)
    }

    fn persist(&mut self, outputs: Vec<Output>) -> Vec<Output> {
        let mut told = Vec::new();
        for output in outputs {
            let Output::Persist { token, write } = output else {
                told.push(output);
                continue;
            };
            match write {
                DurableWrite::Append(records) => self.log.extend(records),
                DurableWrite::Checkpoint(state) => {
                    self.checkpoint = Some(state);
                    self.log.clear();
                }
            }
            let outputs = self.replica.handle(self.now, Input::Persisted { token });
            told.extend(self.persist(outputs));
        }
        told
    }

    fn pass(&mut self, span: u64) -> Vec<Output> {
        let end = self.now + span;
        let mut told = Vec::new();
        while self.now < end {
            self.now += 50;
            told.extend(self.give(Input::Tick));
        }
        told
    }

    fn submit(&mut self, ticket: u64, command: &str) -> Vec<Output> {
        self.give(Input::Submit { ticket, command: command.as_bytes().to_vec() })
    }

    fn deliver(&mut self, from: SocketAddr, message: Message) -> Vec<Output> {
        self.give(Input::Message { from, message })
    }

    /// A command of a caller elsewhere; returns the sequence that it is answered with, at which start.
    fn command(&mut self, start_id: u64, ticket: u64, command: &str) -> Vec<(u64, u64)> {
        let origin = Origin { endpoint: endpoint(CALLER), start_id, ticket };
        let command = command.as_bytes().to_vec();
        let told = self.deliver(endpoint(CALLER), Message::Submit { origin, command });
        let answers = told.into_iter().filter_map(|output| match output {
            Output::Send { to, message: Message::Replied { start_id, ticket: answered, sequence, .. } } => {
                assert_eq!((to, answered), (endpoint(CALLER), ticket));
                Some((start_id, sequence))
            }
            _ => None,
        });
        answers.collect()
    }

    fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.replica.committed_records().get(key).map(|record| record.value.to_vec())
    }
}

fn replied(start_id: u64, ticket: u64) -> Message {
    Message::Replied { start_id, ticket, sequence: 3, answer: b"done".to_vec() }
}

fn replies(outputs: Vec<Output>) -> Vec<(u64, Result<Reply, SubmitError>)> {
    let reply = |output| match output {
        Output::Reply { ticket, result } => Some((ticket, result)),
        _ => None,
    };
    outputs.into_iter().filter_map(reply).collect()
}

#[test]
fn an_answer_to_an_earlier_start_meets_no_ticket() {
    let mut driven = Driven::start(3, EARLIER_START);
    driven.submit(1, "put a old");
    let mut driven = driven.restart(3, PRESENT_START);
    driven.submit(1, "put a new");
    assert_eq!(replies(driven.deliver(endpoint(1), replied(EARLIER_START, 1))), []);
    let answer = Ok(Reply { sequence: 3, answer: b"done".to_vec() });
    assert_eq!(replies(driven.deliver(endpoint(1), replied(PRESENT_START, 1))), [(1, answer)]);
}

#[test]
fn a_ticket_is_answered_once() {
    let mut driven = Driven::start(3, PRESENT_START);
    driven.submit(1, "put a 1");
    assert_eq!(replies(driven.deliver(endpoint(1), replied(PRESENT_START, 1))).len(), 1);
    assert_eq!(replies(driven.deliver(endpoint(2), replied(PRESENT_START, 1))), []);
    assert_eq!(replies(driven.deliver(endpoint(1), replied(PRESENT_START, 2))), [], "never given out");
    driven.submit(2, "put a 2");
    assert_eq!(replies(driven.pass(Timing::default().submit_timeout_ms + 50)).len(), 1, "its time is over");
    assert_eq!(replies(driven.deliver(endpoint(1), replied(PRESENT_START, 2))), []);
}

#[test]
fn a_command_sent_again_is_answered_as_before_and_done_once() {
    let mut driven = Driven::start(1, 1);
    driven.pass(1_000);
    let first = driven.command(EARLIER_START, 1, "put a 1");
    let second = driven.command(EARLIER_START, 2, "put a 2");
    assert_eq!((first.len(), second.len()), (1, 1));
    assert_eq!(driven.command(EARLIER_START, 1, "put a 1"), first);
    assert_eq!(driven.value("a").as_deref(), Some(&b"2"[..]), "the repeat has no effect");
    let mut driven = driven.restart(1, 2);
    driven.pass(1_000);
    assert_eq!(driven.command(EARLIER_START, 1, "put a 1"), first, "nor after a restart of the head");
    assert_eq!(driven.value("a").as_deref(), Some(&b"2"[..]));
}

#[test]
fn a_ticket_of_another_start_is_another_command() {
    let mut driven = Driven::start(1, 1);
    driven.pass(1_000);
    let before = driven.command(EARLIER_START, 1, "put a 1");
    let after = driven.command(PRESENT_START, 1, "put a 2");
    assert_eq!(before.iter().map(|answer| answer.0).collect::<Vec<_>>(), [EARLIER_START]);
    assert_eq!(after.iter().map(|answer| answer.0).collect::<Vec<_>>(), [PRESENT_START]);
    assert!(after[0].1 > before[0].1, "{before:?} {after:?}");
    assert_eq!(driven.value("a").as_deref(), Some(&b"2"[..]));
}

#[test]
fn a_write_of_another_number_is_not_taken_for_durable() {
    let mut driven = Driven::start(1, 1);
    driven.pass(1_000);
    let command = b"put a 1".to_vec();
    let told = driven.replica.handle(driven.now, Input::Submit { ticket: 1, command });
    let tokens = told.iter().filter_map(|output| match output {
        Output::Persist { token, .. } => Some(*token),
        _ => None,
    });
    let token = tokens.max().expect("the entry is written");
    for other in (0..token).chain(token + 1..token + 3) {
        let told = driven.replica.handle(driven.now, Input::Persisted { token: other });
        assert_eq!(replies(told), [], "write {other} is not write {token}");
    }
    let told = driven.replica.handle(driven.now, Input::Persisted { token });
    assert_eq!(replies(told).len(), 1);
}
