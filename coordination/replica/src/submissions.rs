//! Commands that were submitted here and have no answer yet.

use std::collections::BTreeMap;

use crate::output::SubmitError;
use crate::settings::Timing;

#[derive(Clone, Debug)]
struct Waiting {
    command: Vec<u8>,
    submitted_at: u64,
    /// When and in which view it was sent to the head last.
    sent: Option<Sent>,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    at: u64,
    view: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Submissions {
    by_ticket: BTreeMap<u64, Waiting>,
}

impl Submissions {
    pub fn add(&mut self, now: u64, ticket: u64, command: Vec<u8>) {
        self.by_ticket.insert(ticket, Waiting { command, submitted_at: now, sent: None });
    }

    /// Returns whether the command had been waiting.
    pub fn answered(&mut self, ticket: u64) -> bool {
        self.by_ticket.remove(&ticket).is_some()
    }

    /// Takes out the commands whose time is over.
    pub fn expired(&mut self, now: u64, timing: &Timing) -> Vec<(u64, SubmitError)> {
        let is_over = |waiting: &Waiting| now >= waiting.submitted_at + timing.submit;
        let over: Vec<u64> =
            self.by_ticket.iter().filter(|(_, w)| is_over(w)).map(|(ticket, _)| *ticket).collect();
        let take = |ticket: u64| {
            let waiting = self.by_ticket.remove(&ticket)?;
            let error = if waiting.sent.is_some() { SubmitError::Unknown } else { SubmitError::NoQuorum };
            Some((ticket, error))
        };
        over.into_iter().filter_map(take).collect()
    }

    /// The commands that the head of this view has to be sent, for the first time or again.
    pub fn due(&mut self, now: u64, view: u64, timing: &Timing) -> Vec<(u64, Vec<u8>)> {
        let mut due = Vec::new();
        for (ticket, waiting) in &mut self.by_ticket {
            let is_sent = waiting.sent.is_some_and(|sent| sent.view == view && now < sent.at + timing.resend);
            if !is_sent {
                waiting.sent = Some(Sent { at: now, view });
                due.push((*ticket, waiting.command.clone()));
            }
        }
        due
    }
}
