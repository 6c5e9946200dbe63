//! Orders that were given to the chain and wait for their outcome.

use std::collections::BTreeMap;

use bytes::Bytes;
use http::StatusCode;

use crate::orders::{Departure, Order};

/// A caller's connection and call, numbered by the owner of the connections; a number is not used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// An order as its caller gave it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    Replace { base: u64, generation: u64, body: Bytes },
    Fetch,
    Evacuate { zone: String, evacuated: bool },
    Drain { instance: String, departure: Departure },
}

/// An order whose caller still waits.
#[derive(Clone, Debug)]
pub struct PendingOrder {
    pub call: CallId,
    pub request: Request,
    /// For an evacuation, the sequence of the zone's record when it was submitted.
    pub seen: u64,
    /// When the caller's request was read.
    pub taken_at: u64,
    /// The caller gets an answer by then.
    pub deadline: u64,
}

impl PendingOrder {
    /// The order for the chain.
    pub fn order(&self) -> Order {
        match &self.request {
            Request::Replace { base, generation, body } => {
                Order::Replace { base: *base, generation: *generation, body: body.to_vec() }
            }
            Request::Fetch => Order::Fetch,
            Request::Evacuate { zone, evacuated } => {
                Order::Evacuate { zone: zone.clone(), evacuated: *evacuated, seen: self.seen }
            }
            Request::Drain { instance, departure } => {
                Order::Drain { instance: instance.clone(), departure: *departure }
            }
        }
    }
}

/// How orders were answered since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrderCounts {
    pub confirmed: u64,
    pub refused: u64,
    /// Without a clear answer: the caller goes on to another controller.
    pub unclear: u64,
}

/// The orders under way, by ticket.
#[derive(Debug, Default)]
pub struct PendingOrders {
    counts: OrderCounts,
    last_ticket: u64,
    submitted: BTreeMap<u64, PendingOrder>,
    /// Orders that wait for a submission, with its time. None of them has a submission whose outcome is unknown.
    resting: Vec<(u64, PendingOrder)>,
}

impl PendingOrders {
    /// Notes an order as submitted and gives its ticket.
    pub fn submitted(&mut self, pending: PendingOrder) -> u64 {
        self.last_ticket += 1;
        self.submitted.insert(self.last_ticket, pending);
        self.last_ticket
    }

    /// Takes the order of a ticket that has its outcome; none if its caller was answered before.
    pub fn take(&mut self, ticket: u64) -> Option<PendingOrder> {
        self.submitted.remove(&ticket)
    }

    /// Puts an order by until it is submitted, for the first time or again.
    pub fn rest(&mut self, until: u64, pending: PendingOrder) {
        self.resting.push((until, pending));
    }

    /// Takes the orders that are to be submitted now.
    pub fn take_rested(&mut self, now: u64) -> Vec<PendingOrder> {
        let rested = self.resting.extract_if(.., |(until, _)| *until <= now);
        rested.map(|(_, pending)| pending).collect()
    }

    /// Counts how an order is answered.
    pub fn answered(&mut self, status: StatusCode) {
        let count = match status {
            success if success.is_success() => &mut self.counts.confirmed,
            refusal if refusal.is_client_error() => &mut self.counts.refused,
            _ => &mut self.counts.unclear,
        };
        *count += 1;
    }

    pub fn counts(&self) -> OrderCounts {
        self.counts
    }

    /// Takes the calls whose time has run out.
    pub fn take_overdue(&mut self, now: u64) -> Vec<CallId> {
        let submitted = self.submitted.extract_if(.., |_, pending| pending.deadline <= now);
        let mut calls: Vec<CallId> = submitted.map(|(_, pending)| pending.call).collect();
        let resting = self.resting.extract_if(.., |(_, pending)| pending.deadline <= now);
        calls.extend(resting.map(|(_, pending)| pending.call));
        calls
    }

    /// Forgets a call whose caller has gone.
    pub fn forget(&mut self, call: CallId) {
        self.submitted.retain(|_, pending| pending.call != call);
        self.resting.retain(|(_, pending)| pending.call != call);
    }

    /// Orders whose callers wait.
    pub fn len(&self) -> usize {
        self.submitted.len() + self.resting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
