//! Commands whose callers wait for the outcome: submitted to the chain, or deferred until they are.

use std::collections::BTreeMap;

use bytes::Bytes;
use http::StatusCode;

use crate::commands::{Command, Departure};

/// The number of a call, assigned by the owner of the connections; a number is not used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// A command as its caller requested it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandRequest {
    /// Put a configuration in place.
    Replace {
        /// The generation that it builds on.
        base: u64,
        /// Its own generation.
        generation: u64,
        /// The configuration as its operator sent it.
        body: Bytes,
    },
    /// Read the newest configuration.
    Fetch,
    /// Begin or finish the evacuation of a zone.
    Evacuate {
        /// The zone.
        zone: String,
        /// Whether the evacuation begins.
        evacuated: bool,
    },
    /// Record the departure of an instance.
    Drain {
        /// The id of the instance.
        instance: String,
        /// How far it has departed.
        departure: Departure,
    },
}

/// A command whose caller waits for the outcome.
#[derive(Clone, Debug)]
pub struct PendingCommand {
    /// The call that is to be answered.
    pub call: CallId,
    /// What the caller requested.
    pub request: CommandRequest,
    /// For an evacuation, the sequence of the zone's record at the submission.
    pub observed_sequence: u64,
    /// When the request was received.
    pub received_at: u64,
    /// When the caller is answered at the latest.
    pub deadline: u64,
}

impl PendingCommand {
    /// The command for the chain.
    pub fn command(&self) -> Command {
        match &self.request {
            CommandRequest::Replace { base, generation, body } => {
                Command::Replace { base: *base, generation: *generation, body: body.to_vec() }
            }
            CommandRequest::Fetch => Command::Fetch,
            CommandRequest::Evacuate { zone, evacuated } => Command::Evacuate {
                zone: zone.clone(),
                evacuated: *evacuated,
                observed_sequence: self.observed_sequence,
            },
            CommandRequest::Drain { instance, departure } => {
                Command::Drain { instance: instance.clone(), departure: *departure }
            }
        }
    }
}

/// How commands were answered since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CommandCounts {
    /// Answered with a success.
    pub confirmed: u64,
    /// Refused for good.
    pub refused: u64,
    /// Answered without an outcome: the caller retries at another controller.
    pub unclear: u64,
}

/// The commands in flight, by ticket.
#[derive(Debug, Default)]
pub struct PendingCommands {
    counts: CommandCounts,
    last_ticket: u64,
    submitted: BTreeMap<u64, PendingCommand>,
    /// Commands that are to be submitted, with the time. None of them has a submission whose outcome is unknown.
    deferred: Vec<(u64, PendingCommand)>,
}

impl PendingCommands {
    /// Adds a command that is being submitted; returns its ticket.
    pub fn add_submitted(&mut self, pending: PendingCommand) -> u64 {
        self.last_ticket += 1;
        self.submitted.insert(self.last_ticket, pending);
        self.last_ticket
    }

    /// Removes the command of a ticket whose outcome is known; none if its caller was answered before.
    pub fn take(&mut self, ticket: u64) -> Option<PendingCommand> {
        self.submitted.remove(&ticket)
    }

    /// Adds a command that is to be submitted at a later time, for the first time or again.
    pub fn defer(&mut self, until: u64, pending: PendingCommand) {
        self.deferred.push((until, pending));
    }

    /// Removes the deferred commands whose time has come.
    pub fn take_due(&mut self, now: u64) -> Vec<PendingCommand> {
        let due = self.deferred.extract_if(.., |(until, _)| *until <= now);
        due.map(|(_, pending)| pending).collect()
    }

    /// Counts the answer to a command.
    pub fn count_answer(&mut self, status: StatusCode) {
        let count = match status {
            success if success.is_success() => &mut self.counts.confirmed,
            refusal if refusal.is_client_error() => &mut self.counts.refused,
            _ => &mut self.counts.unclear,
        };
        *count += 1;
    }

    /// How commands were answered so far.
    pub fn counts(&self) -> CommandCounts {
        self.counts
    }

    /// Removes the commands whose deadline has passed; returns their calls.
    pub fn take_overdue(&mut self, now: u64) -> Vec<CallId> {
        let submitted = self.submitted.extract_if(.., |_, pending| pending.deadline <= now);
        let mut calls: Vec<CallId> = submitted.map(|(_, pending)| pending.call).collect();
        let deferred = self.deferred.extract_if(.., |(_, pending)| pending.deadline <= now);
        calls.extend(deferred.map(|(_, pending)| pending.call));
        calls
    }

    /// Removes the command of a call that is not waited for any more.
    pub fn remove_call(&mut self, call: CallId) {
        self.submitted.retain(|_, pending| pending.call != call);
        self.deferred.retain(|(_, pending)| pending.call != call);
    }

    /// The number of commands in flight.
    pub fn len(&self) -> usize {
        self.submitted.len() + self.deferred.len()
    }

    /// Whether no command is in flight.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
