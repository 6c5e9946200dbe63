//! Commands that were submitted here and have no answer yet.

use std::collections::BTreeMap;

use crate::output::SubmitError;
use crate::settings::Timing;

/// A command without an answer.
#[derive(Clone, Debug)]
struct Waiting {
    /// What the application evaluates.
    command: Vec<u8>,
    /// When it was submitted, in milliseconds of the caller's clock.
    submitted_at: u64,
    /// When it was last sent to the head.
    sent: Option<Sent>,
}

/// The last sending of a command.
#[derive(Clone, Copy, Debug)]
struct Sent {
    /// When it was sent, in milliseconds of the caller's clock.
    at: u64,
    /// The view whose head it was sent to.
    view: u64,
}

/// The commands by their tickets.
#[derive(Clone, Debug, Default)]
pub struct Submissions {
    /// The commands by their tickets.
    by_ticket: BTreeMap<u64, Waiting>,
}

impl Submissions {
    /// Adds a command.
    pub fn add(&mut self, now: u64, ticket: u64, command: Vec<u8>) {
        self.by_ticket.insert(ticket, Waiting { command, submitted_at: now, sent: None });
    }

    /// The commands that were never sent to a head, by their tickets.
    pub fn unsent(&self) -> impl Iterator<Item = (u64, &[u8])> {
        let unsent = self.by_ticket.iter().filter(|(_, waiting)| waiting.sent.is_none());
        unsent.map(|(ticket, waiting)| (*ticket, waiting.command.as_slice()))
    }

    /// Removes a command that was answered; returns whether it was there.
    pub fn answered(&mut self, ticket: u64) -> bool {
        self.by_ticket.remove(&ticket).is_some()
    }

    /// Removes the commands that were not answered in time, and returns why.
    pub fn expired(&mut self, now: u64, timing: &Timing) -> Vec<(u64, SubmitError)> {
        let is_over = |waiting: &Waiting| now >= waiting.submitted_at + timing.submit_timeout_ms;
        let over: Vec<u64> =
            self.by_ticket.iter().filter(|(_, w)| is_over(w)).map(|(ticket, _)| *ticket).collect();
        let take = |ticket: u64| {
            let waiting = self.by_ticket.remove(&ticket)?;
            let error =
                if waiting.sent.is_some() { SubmitError::OutcomeUnknown } else { SubmitError::NoQuorum };
            Some((ticket, error))
        };
        over.into_iter().filter_map(take).collect()
    }

    /// The commands to send to the head of this view, for the first time or again.
    pub fn due(&mut self, now: u64, view: u64, timing: &Timing) -> Vec<(u64, Vec<u8>)> {
        let mut due = Vec::new();
        for (ticket, waiting) in &mut self.by_ticket {
            let is_sent = waiting
                .sent
                .is_some_and(|sent| sent.view == view && now < sent.at + timing.resend_interval_ms);
            if !is_sent {
                waiting.sent = Some(Sent { at: now, view });
                due.push((*ticket, waiting.command.clone()));
            }
        }
        due
    }
}
