//! The path of a command through the chain, from the caller's request to the answer.

use bytes::Bytes;
use http::StatusCode;
use whinspindle_replica::{Input, Reply, SubmitError};

use super::Controller;
use crate::api::Response;
use crate::commands::{Outcome, records};
use crate::pending_commands::{CallId, CommandRequest, PendingCommand};
use crate::protocol_rules::ProtocolRules;

/// A command is answered within this time, in milliseconds: its caller gives up after a second.
const COMMAND_TIMEOUT_MS: u64 = 900;
/// The same without a quorum: the caller is to retry at another controller soon.
const COMMAND_TIMEOUT_WITHOUT_QUORUM_MS: u64 = 250;
/// A large body extends the time-out by a millisecond for this number of bytes.
const COMMAND_BYTES_PER_MS: u64 = 4096;
/// A configuration whose base is not in place yet is submitted again after this time, in milliseconds.
const BASE_RETRY_MS: u64 = 200;
/// How long an evacuation command waits before it is submitted, in milliseconds. One that was delayed, by a partition or
/// a paused process, is followed by the end of its connection, since its caller has retried at another controller: it
/// must not be submitted then, after newer commands.
const EVACUATION_WAIT_MS: u64 = 100;
/// How long after its arrival a superseded evacuation command is submitted again on the zone's newest record, in
/// milliseconds. Its caller has not retried at another controller by then.
const EVACUATION_RETRY_WINDOW_MS: u64 = 400;

impl<R: ProtocolRules> Controller<R> {
    /// Takes a command of a caller; it is answered by its deadline.
    pub(super) fn accept_command(&mut self, now: u64, call: CallId, request: CommandRequest) {
        let deadline = now + self.command_timeout(now, &request);
        let is_evacuation = matches!(request, CommandRequest::Evacuate { .. });
        let pending = PendingCommand { call, request, observed_sequence: 0, received_at: now, deadline };
        if is_evacuation {
            self.pending.defer(now + EVACUATION_WAIT_MS, pending);
        } else {
            self.submit(now, pending);
        }
    }

    fn command_timeout(&self, now: u64, request: &CommandRequest) -> u64 {
        if self.contact.has_lacked_quorum_for(now, COMMAND_TIMEOUT_MS) {
            return COMMAND_TIMEOUT_WITHOUT_QUORUM_MS;
        }
        match request {
            CommandRequest::Replace { body, .. } => {
                COMMAND_TIMEOUT_MS + body.len() as u64 / COMMAND_BYTES_PER_MS
            }
            _ => COMMAND_TIMEOUT_MS,
        }
    }

    /// Submits a command to the chain.
    pub(super) fn submit(&mut self, now: u64, mut pending: PendingCommand) {
        if let CommandRequest::Evacuate { zone, .. } = &pending.request {
            pending.observed_sequence = pending
                .observed_sequence
                .max(records::evacuation_sequence(self.replica.committed_records(), zone));
        }
        let call = pending.call;
        let Ok(command) = pending.command().encode() else {
            self.finish(call, Response::unavailable("the order could not be written"));
            return;
        };
        let ticket = self.pending.add_submitted(pending);
        self.step(now, Input::Submit { ticket, command });
    }

    /// Handles the chain's reply to a command.
    pub(super) fn handle_reply(&mut self, now: u64, ticket: u64, result: Result<Reply, SubmitError>) {
        let Some(pending) = self.pending.take(ticket) else { return };
        match result {
            Ok(reply) if pending.request == CommandRequest::Fetch => {
                self.answer(pending.call, configuration_response(reply.answer));
            }
            Ok(reply) => self.handle_outcome(now, pending, &reply.answer),
            Err(error) => self.finish(pending.call, Response::unavailable(&error.to_string())),
        }
    }

    /// Answers commands whose deadline has passed: their outcome is unknown.
    pub(super) fn answer_overdue(&mut self, now: u64) {
        for call in self.pending.take_overdue(now) {
            self.finish(call, Response::unavailable("no outcome is known yet"));
        }
    }

    fn finish(&mut self, call: CallId, response: Response) {
        self.pending.count_answer(response.status);
        self.answer(call, response);
    }

    fn handle_outcome(&mut self, now: u64, pending: PendingCommand, answer: &[u8]) {
        match Outcome::decode(answer) {
            Ok(Outcome::BaseNotInPlace { .. }) if now + BASE_RETRY_MS < pending.deadline => {
                self.pending.defer(now + BASE_RETRY_MS, pending);
            }
            Ok(Outcome::Superseded { sequence })
                if now < pending.received_at + EVACUATION_RETRY_WINDOW_MS =>
            {
                self.submit(now, PendingCommand { observed_sequence: sequence, ..pending });
            }
            Ok(outcome) => self.finish(pending.call, response(&outcome)),
            Err(_) => self.finish(pending.call, Response::unavailable("the outcome could not be read")),
        }
    }
}

/// The response for an outcome. A command that was applied, or that may still be, is never refused.
fn response(outcome: &Outcome) -> Response {
    match outcome {
        Outcome::Applied => Response::accepted(),
        Outcome::BaseMismatch { current } => Response::failure(
            StatusCode::PRECONDITION_FAILED,
            &format!("the configuration in place is of generation {current}"),
        ),
        Outcome::GenerationTooLow { current } => Response::failure(
            StatusCode::CONFLICT,
            &format!("the generation is not above the one that it builds on; in place is {current}"),
        ),
        Outcome::BaseNotInPlace { current } => Response::unavailable(&format!(
            "the configuration that this one builds on is not in place yet, but {current}"
        )),
        Outcome::HistoryExpired { current } => Response::unavailable(&format!(
            "it is not known any more whether this configuration was taken; in place is {current}"
        )),
        Outcome::Superseded { .. } => {
            Response::unavailable("another order for this zone came first; this one has no effect")
        }
        Outcome::Unreadable => Response::unavailable("the order could not be read; it has no effect"),
    }
}

/// The answer to a read of the configuration.
pub(super) fn configuration_response(body: Vec<u8>) -> Response {
    if body.is_empty() {
        return Response::failure(StatusCode::NOT_FOUND, "there is no configuration yet");
    }
    Response::ok(Bytes::from(body))
}
