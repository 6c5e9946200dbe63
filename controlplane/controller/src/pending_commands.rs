//! Commands whose callers wait for the outcome. They have been submitted to the chain, or are deferred.

use std::collections::BTreeMap;

use bytes::Bytes;
use http::StatusCode;

use crate::commands::{Command, Departure};

/// The unique id of a call, assigned by the owner of the connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// A command as requested by its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandRequest {
    /// Replace the configuration by a new one.
    Replace {
        /// The generation on which the new configuration is based.
        base: u64,
        /// The generation of the new configuration.
        generation: u64,
        /// The configuration as received from the operator.
        body: Bytes,
    },
    /// Read the newest configuration.
    Fetch,
    /// Begin or finish the evacuation of a zone.
    Evacuate {
        /// The zone.
        zone: String,
        /// True to begin the evacuation, false to finish it.
        evacuated: bool,
        /// The sequence of the zone's record on which the command is based.
        observed_sequence: u64,
    },
    /// Record the departure of an instance.
    Drain {
        /// The id of the instance.
        instance: String,
        /// The new stage of the departure.
        departure: Departure,
    },
}

/// A command whose caller waits for the outcome.
#[derive(Clone, Debug)]
pub struct PendingCommand {
    /// The call to answer.
    pub call: CallId,
    /// The request of the caller.
    pub request: CommandRequest,
    /// The time by which the caller is answered.
    pub deadline: u64,
}

impl PendingCommand {
    /// Creates the command that is submitted to the chain.
    pub fn command(&self) -> Command {
        match &self.request {
            CommandRequest::Replace { base, generation, body } => {
                Command::Replace { base: *base, generation: *generation, body: body.to_vec() }
            }
            CommandRequest::Fetch => Command::Fetch,
            CommandRequest::Evacuate { zone, evacuated, observed_sequence } => Command::Evacuate {
                zone: zone.clone(),
                evacuated: *evacuated,
                observed_sequence: *observed_sequence,
            },
            CommandRequest::Drain { instance, departure } => {
                Command::Drain { instance: instance.clone(), departure: *departure }
            }
        }
    }
}

/// The numbers of answered commands since the start of the process, by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CommandCounts {
    /// Commands answered with success.
    pub confirmed: u64,
    /// Commands that were refused permanently.
    pub refused: u64,
    /// Commands answered without a known outcome. Their callers retry at another controller.
    pub unclear: u64,
}

/// The commands in flight.
#[derive(Debug, Default)]
pub struct PendingCommands {
    counts: CommandCounts,
    last_ticket: u64,
    /// The submitted commands, by ticket.
    submitted: BTreeMap<u64, PendingCommand>,
    /// Commands that will be submitted again, with the time. All their earlier submissions have a known outcome.
    deferred: Vec<(u64, PendingCommand)>,
}

impl PendingCommands {
    /// Adds a command that is being submitted. Returns its ticket.
    pub fn add_submitted(&mut self, pending: PendingCommand) -> u64 {
        self.last_ticket += 1;
        self.submitted.insert(self.last_ticket, pending);
        self.last_ticket
    }

    /// Removes and returns the command of a ticket; none if its caller has already been answered.
    pub fn take(&mut self, ticket: u64) -> Option<PendingCommand> {
        self.submitted.remove(&ticket)
    }

    /// Adds a command that will be submitted again at the time `until`.
    pub fn defer(&mut self, until: u64, pending: PendingCommand) {
        self.deferred.push((until, pending));
    }

    /// Removes and returns the deferred commands that are due.
    pub fn take_due(&mut self, now: u64) -> Vec<PendingCommand> {
        let due = self.deferred.extract_if(.., |(until, _)| *until <= now);
        due.map(|(_, pending)| pending).collect()
    }

    /// Counts the answer to a command.
    pub fn count_answer(&mut self, status: StatusCode) {
        let count = match status {
            status if status.is_success() => &mut self.counts.confirmed,
            status if status.is_client_error() => &mut self.counts.refused,
            _ => &mut self.counts.unclear,
        };
        *count += 1;
    }

    /// The numbers of answered commands, by result.
    pub fn counts(&self) -> CommandCounts {
        self.counts
    }

    /// Removes the commands whose deadline has passed. Returns their calls.
    pub fn take_overdue(&mut self, now: u64) -> Vec<CallId> {
        let submitted = self.submitted.extract_if(.., |_, pending| pending.deadline <= now);
        let mut calls: Vec<CallId> = submitted.map(|(_, pending)| pending.call).collect();
        let deferred = self.deferred.extract_if(.., |(_, pending)| pending.deadline <= now);
        calls.extend(deferred.map(|(_, pending)| pending.call));
        calls
    }

    /// Removes the command of a call whose caller no longer waits.
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
