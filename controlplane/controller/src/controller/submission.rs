//! Orders on their way through the chain, from the caller's request to the answer.

use bytes::Bytes;
use http::StatusCode;
use whinspindle_replica::{Input, Reply, SubmitError};

use super::Controller;
use crate::api::Response;
use crate::orders::{self, Outcome};
use crate::pending::{CallId, PendingOrder, Request};
use crate::protocol_rules::ProtocolRules;

/// An order gets its answer within this time, since its caller gives up after a second of silence.
const ORDER_MS: u64 = 900;
/// While there is no quorum the caller soon goes on to another controller.
const ORDER_WITHOUT_QUORUM_MS: u64 = 250;
/// A large body may take longer: a millisecond for so many bytes.
const ORDER_BYTES_PER_MS: u64 = 4096;
/// A configuration whose base is not in place yet is submitted again after this time.
const BASE_AHEAD_MS: u64 = 200;
/// An evacuation order waits for so long before it is submitted. One that was held up on its way, in a cut link or at a
/// process that stood still, is followed by the end of its connection, since its caller has gone on to another
/// controller; it must not be given then, after newer orders.
const EVACUATION_WAIT_MS: u64 = 100;
/// For so long after its arrival an evacuation order that was overtaken is given anew on the zone's newest record. Its
/// caller has not gone on to another controller by then.
const EVACUATION_RENEWAL_MS: u64 = 400;

impl<L: ProtocolRules> Controller<L> {
    pub(super) fn order(&mut self, now: u64, call: CallId, request: Request) {
        let deadline = now + self.time_for(now, &request);
        let is_evacuation = matches!(request, Request::Evacuate { .. });
        let pending = PendingOrder { call, request, seen: 0, taken_at: now, deadline };
        if is_evacuation {
            self.pending.rest(now + EVACUATION_WAIT_MS, pending);
        } else {
            self.submit(now, pending);
        }
    }

    fn time_for(&self, now: u64, request: &Request) -> u64 {
        if self.contact.is_lost_for(now, ORDER_MS) {
            return ORDER_WITHOUT_QUORUM_MS;
        }
        match request {
            Request::Replace { body, .. } => ORDER_MS + body.len() as u64 / ORDER_BYTES_PER_MS,
            _ => ORDER_MS,
        }
    }

    pub(super) fn submit(&mut self, now: u64, mut pending: PendingOrder) {
        if let Request::Evacuate { zone, .. } = &pending.request {
            pending.seen = pending.seen.max(orders::evacuation_sequence(self.replica.committed(), zone));
        }
        let call = pending.call;
        let Ok(command) = pending.order().encode() else {
            self.conclude(call, Response::unavailable("the order could not be written"));
            return;
        };
        let ticket = self.pending.submitted(pending);
        self.step(now, Input::Submit { ticket, command });
    }

    pub(super) fn replied(&mut self, now: u64, ticket: u64, result: Result<Reply, SubmitError>) {
        let Some(pending) = self.pending.take(ticket) else { return };
        match result {
            Ok(reply) if pending.request == Request::Fetch => {
                self.answer(pending.call, fetched(reply.answer));
            }
            Ok(reply) => self.decided(now, pending, &reply.answer),
            Err(error) => self.conclude(pending.call, Response::unavailable(&error.to_string())),
        }
    }

    /// Answers orders whose time has run out.
    pub(super) fn give_up_overdue(&mut self, now: u64) {
        for call in self.pending.take_overdue(now) {
            self.conclude(call, Response::unavailable("no outcome is known yet"));
        }
    }

    fn conclude(&mut self, call: CallId, response: Response) {
        self.pending.answered(response.status);
        self.answer(call, response);
    }

    fn decided(&mut self, now: u64, pending: PendingOrder, answer: &[u8]) {
        match Outcome::decode(answer) {
            Ok(Outcome::BaseAhead { .. }) if now + BASE_AHEAD_MS < pending.deadline => {
                self.pending.rest(now + BASE_AHEAD_MS, pending);
            }
            Ok(Outcome::Overtaken { sequence }) if now < pending.taken_at + EVACUATION_RENEWAL_MS => {
                self.submit(now, PendingOrder { seen: sequence, ..pending });
            }
            Ok(outcome) => self.conclude(pending.call, response(&outcome)),
            Err(_) => self.conclude(pending.call, Response::unavailable("the outcome could not be read")),
        }
    }
}

/// What the caller is told. An order that was taken, or that may yet be, is never refused.
fn response(outcome: &Outcome) -> Response {
    match outcome {
        Outcome::Done => Response::accepted(),
        Outcome::OtherBase { current } => Response::failure(
            StatusCode::PRECONDITION_FAILED,
            &format!("the configuration in place is of generation {current}"),
        ),
        Outcome::NotAbove { current } => Response::failure(
            StatusCode::CONFLICT,
            &format!("the generation is not above the one that it builds on; in place is {current}"),
        ),
        Outcome::BaseAhead { current } => Response::unavailable(&format!(
            "the configuration that this one builds on is not in place yet, but {current}"
        )),
        Outcome::Forgotten { current } => Response::unavailable(&format!(
            "it is not known any more whether this configuration was taken; in place is {current}"
        )),
        Outcome::Overtaken { .. } => {
            Response::unavailable("another order for this zone came first; this one has no effect")
        }
        Outcome::Unreadable => Response::unavailable("the order could not be read; it has no effect"),
    }
}

/// The answer to a read of the configuration.
pub(super) fn fetched(body: Vec<u8>) -> Response {
    if body.is_empty() {
        return Response::failure(StatusCode::NOT_FOUND, "there is no configuration yet");
    }
    Response::ok(Bytes::from(body))
}
