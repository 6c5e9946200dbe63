//! Commands that were submitted to this replica and are not answered yet.

use std::collections::BTreeMap;

use crate::output::SubmitError;
use crate::settings::Timing;

/// A command that is not answered yet. Times are in milliseconds of the caller's clock.
#[derive(Clone, Debug)]
struct Submission {
    /// The command, which the application evaluates.
    command: Vec<u8>,
    /// When the command was submitted.
    submitted_at: u64,
    /// The last transmission to a head; `None` if the command was never sent.
    last_transmission: Option<Transmission>,
}

/// A transmission of a command to a head.
#[derive(Clone, Copy, Debug)]
struct Transmission {
    /// When the command was sent.
    sent_at: u64,
    /// The view whose head the command was sent to.
    view: u64,
}

/// The unanswered commands.
#[derive(Clone, Debug, Default)]
pub struct Submissions {
    /// The commands, by ticket.
    by_ticket: BTreeMap<u64, Submission>,
}

impl Submissions {
    /// Adds a command.
    pub fn add(&mut self, now: u64, ticket: u64, command: Vec<u8>) {
        self.by_ticket.insert(ticket, Submission { command, submitted_at: now, last_transmission: None });
    }

    /// The tickets and commands that were never sent to a head.
    pub fn unsent(&self) -> impl Iterator<Item = (u64, &[u8])> {
        let unsent = self.by_ticket.iter().filter(|(_, submission)| submission.last_transmission.is_none());
        unsent.map(|(ticket, submission)| (*ticket, submission.command.as_slice()))
    }

    /// Removes an answered command. Returns whether it was unanswered.
    pub fn remove_answered(&mut self, ticket: u64) -> bool {
        self.by_ticket.remove(&ticket).is_some()
    }

    /// Removes the commands that were not answered in time. Returns their tickets and errors.
    pub fn take_expired(&mut self, now: u64, timing: &Timing) -> Vec<(u64, SubmitError)> {
        let is_expired = |submission: &Submission| now >= submission.submitted_at + timing.submit_timeout_ms;
        let expired: Vec<u64> = self
            .by_ticket
            .iter()
            .filter(|(_, submission)| is_expired(submission))
            .map(|(ticket, _)| *ticket)
            .collect();
        let take = |ticket: u64| {
            let submission = self.by_ticket.remove(&ticket)?;
            let error = if submission.last_transmission.is_some() {
                SubmitError::OutcomeUnknown
            } else {
                SubmitError::NoQuorum
            };
            Some((ticket, error))
        };
        expired.into_iter().filter_map(take).collect()
    }

    /// Returns the tickets and commands to send to the head of this view now, and records their transmission.
    pub fn take_due(&mut self, now: u64, view: u64, timing: &Timing) -> Vec<(u64, Vec<u8>)> {
        let mut due = Vec::new();
        for (ticket, submission) in &mut self.by_ticket {
            let is_recently_sent = submission.last_transmission.is_some_and(|transmission| {
                transmission.view == view && now < transmission.sent_at + timing.resend_interval_ms
            });
            if !is_recently_sent {
                submission.last_transmission = Some(Transmission { sent_at: now, view });
                due.push((*ticket, submission.command.clone()));
            }
        }
        due
    }
}
