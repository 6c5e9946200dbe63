//! Submission of commands to the chain, from the caller's request to the answer.

use bytes::Bytes;
use http::StatusCode;
use whinspindle_replica::{Input, Reply, SubmitError};

use super::Controller;
use crate::api::Response;
use crate::commands::{Outcome, records};
use crate::evacuation_admission::Admission;
use crate::pending_commands::{CallId, CommandRequest, PendingCommand};
use crate::protocol_rules::ProtocolRules;

/// The time within which a command is answered, in milliseconds. Its caller gives up after a second.
const COMMAND_TIMEOUT_MS: u64 = 900;
/// The time within which a command is answered without a quorum, in milliseconds. The caller should retry at
/// another controller soon.
const COMMAND_TIMEOUT_WITHOUT_QUORUM_MS: u64 = 250;
/// The number of bytes of a configuration's body that extends its timeout by one millisecond.
const COMMAND_BYTES_PER_MS: u64 = 4096;
/// The delay before a configuration whose base is not in place yet is submitted again, in milliseconds.
const BASE_RETRY_MS: u64 = 200;
/// The reason for which a command is rejected that may be older than commands acknowledged elsewhere.
const MAY_PRECEDE_PAUSE: &str =
    "this controller was paused; this order may be older than another one for its zone and has no effect";

impl<R: ProtocolRules> Controller<R> {
    /// Accepts the command of a call, which is answered by its deadline.
    pub(super) fn accept_command(&mut self, now: u64, call: CallId, request: CommandRequest) {
        let deadline = now + self.command_timeout_ms(now, &request);
        self.submit(now, PendingCommand { call, request, deadline });
    }

    /// Accepts an evacuation command of a call, unless its caller has to confirm it first.
    pub(super) fn accept_evacuation(
        &mut self,
        now: u64,
        call: CallId,
        zone: String,
        evacuated: bool,
        confirmed_sequence: Option<u64>,
    ) {
        let admission = match confirmed_sequence {
            Some(observed_sequence) => Admission::Submit { observed_sequence },
            None => {
                let current = records::zone_evacuation(self.replica.committed_records(), &zone);
                self.evacuation_admission.admit(now, &zone, evacuated, current)
            }
        };
        self.apply_admission(now, call, zone, evacuated, admission);
    }

    fn apply_admission(
        &mut self,
        now: u64,
        call: CallId,
        zone: String,
        evacuated: bool,
        admission: Admission,
    ) {
        match admission {
            Admission::Submit { observed_sequence } => {
                self.accept_command(
                    now,
                    call,
                    CommandRequest::Evacuate { zone, evacuated, observed_sequence },
                );
            }
            Admission::Confirm { sequence } => {
                self.answer(call, Response::evacuation_confirmation(&zone, evacuated, sequence));
            }
            Admission::Reject => self.finish_command(call, Response::unavailable(MAY_PRECEDE_PAUSE)),
        }
    }

    fn command_timeout_ms(&self, now: u64, request: &CommandRequest) -> u64 {
        if self.quorum_contact.has_lacked_quorum_for(now, COMMAND_TIMEOUT_MS) {
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
    pub(super) fn submit(&mut self, now: u64, pending: PendingCommand) {
        let call = pending.call;
        let Ok(command) = pending.command().encode() else {
            self.finish_command(call, Response::unavailable("the order could not be written"));
            return;
        };
        let ticket = self.pending.add_submitted(pending);
        self.step_replica(now, Input::Submit { ticket, command });
    }

    /// Handles the chain's reply to a command.
    pub(super) fn handle_reply(&mut self, now: u64, ticket: u64, result: Result<Reply, SubmitError>) {
        let Some(pending) = self.pending.take(ticket) else { return };
        match result {
            Ok(reply) if pending.request == CommandRequest::Fetch => {
                self.answer(pending.call, configuration_response(reply.answer));
            }
            Ok(reply) => self.handle_outcome(now, pending, &reply.answer),
            Err(error) => self.finish_command(pending.call, Response::unavailable(&error.to_string())),
        }
    }

    /// Answers commands whose deadline has passed. Their outcome is unknown.
    pub(super) fn answer_overdue_commands(&mut self, now: u64) {
        for call in self.pending.take_overdue(now) {
            self.finish_command(call, Response::unavailable("no outcome is known yet"));
        }
    }

    fn finish_command(&mut self, call: CallId, response: Response) {
        self.pending.count_answer(response.status);
        self.answer(call, response);
    }

    fn handle_outcome(&mut self, now: u64, pending: PendingCommand, answer: &[u8]) {
        match Outcome::decode(answer) {
            Ok(Outcome::BaseNotInPlace { .. }) if now + BASE_RETRY_MS < pending.deadline => {
                self.pending.defer(now + BASE_RETRY_MS, pending);
            }
            Ok(Outcome::Superseded { sequence }) => self.handle_superseded(now, pending, sequence),
            Ok(outcome) => self.finish_command(pending.call, outcome_response(&outcome)),
            Err(_) => {
                self.finish_command(pending.call, Response::unavailable("the outcome could not be read"))
            }
        }
    }

    /// Handles an evacuation command whose zone has a newer record than the command was based on.
    fn handle_superseded(&mut self, now: u64, pending: PendingCommand, sequence: u64) {
        let PendingCommand { call, request, .. } = pending;
        let CommandRequest::Evacuate { zone, evacuated, .. } = request else {
            self.finish_command(call, outcome_response(&Outcome::Superseded { sequence }));
            return;
        };
        let admission = self.evacuation_admission.require_confirmation(now, sequence);
        self.apply_admission(now, call, zone, evacuated, admission);
    }
}

/// The response for an outcome. A command that was applied, or that may still be applied, is never refused.
fn outcome_response(outcome: &Outcome) -> Response {
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

/// The response to a read of the configuration.
pub(super) fn configuration_response(body: Vec<u8>) -> Response {
    if body.is_empty() {
        return Response::failure(StatusCode::NOT_FOUND, "there is no configuration yet");
    }
    Response::ok(Bytes::from(body))
}
