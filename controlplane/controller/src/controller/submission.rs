//! Orders on their way through the chain, from the caller's request to the answer.

use bytes::Bytes;
use http::StatusCode;
use whinspindle_replica::{Input, Reply, SubmitError};

use super::Controller;
use crate::api::Response;
use crate::orders::{self, Outcome};
use crate::pending::{CallId, PendingOrder, Request};

/// An order gets its answer within this time, since its caller gives up after a second of silence.
const ORDER_MS: u64 = 900;
/// While there is no quorum the caller soon goes on to another controller.
const ORDER_WITHOUT_QUORUM_MS: u64 = 250;
/// A large body may take longer: a millisecond for so many bytes.
const ORDER_BYTES_PER_MS: u64 = 4096;
/// An order that failed without a known outcome is submitted again after this time.
const RESUBMIT_MS: u64 = 100;

impl Controller {
    pub(super) fn order(&mut self, now: u64, call: CallId, request: Request) {
        let deadline = now + self.time_for(now, &request);
        self.submit(now, PendingOrder { call, request, seen: 0, deadline });
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
            self.answer(call, Response::unavailable("the order could not be written"));
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
            Err(_) => self.pending.rest(now + RESUBMIT_MS, pending),
        }
    }

    fn decided(&mut self, now: u64, mut pending: PendingOrder, answer: &[u8]) {
        let response = match Outcome::decode(answer) {
            Ok(Outcome::Done) => Response::accepted(),
            Ok(Outcome::OtherBase { current }) => Response::failure(
                StatusCode::PRECONDITION_FAILED,
                &format!("the configuration in place is of generation {current}"),
            ),
            Ok(Outcome::NotAbove { current }) => Response::failure(
                StatusCode::CONFLICT,
                &format!("the generation is not above the current one, {current}"),
            ),
            Ok(Outcome::Overtaken { sequence }) if pending.deadline > now => {
                pending.seen = sequence;
                self.submit(now, pending);
                return;
            }
            Ok(Outcome::Overtaken { .. } | Outcome::Unreadable) | Err(_) => {
                Response::unavailable("the order was not carried out")
            }
        };
        self.answer(pending.call, response);
    }
}

fn fetched(body: Vec<u8>) -> Response {
    if body.is_empty() {
        return Response::failure(StatusCode::NOT_FOUND, "there is no configuration yet");
    }
    Response::ok(Bytes::from(body))
}
