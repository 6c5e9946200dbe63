//! The encoding of messages. Names in this module follow the code, and differ in part from the schema in
//! `schema/replica.capnp`.

mod agreement;
mod chain;
mod heartbeat;
mod parts;
mod transfer;

use capnp::serialize;
use whinspindle_encoding::{new_message, read_message};

use whinspindle_encoding::DecodeError;

use crate::message::Message;
use crate::replica_capnp::message as wire;

impl Message {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        let mut builder = new_message();
        write(self, builder.init_root());
        serialize::write_message_to_words(&builder)
    }

    /// Decodes a received message.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a message of the schema.
    pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
        let reader = read_message(bytes)?;
        read(reader.get_root()?)
    }
}

fn write(message: &Message, to: wire::Builder) {
    match message {
        Message::Heartbeat(heartbeat) => heartbeat::write(heartbeat, to.init_heartbeat()),
        Message::Prepare { voter, ballot, known_view } => {
            agreement::write_prepare(*voter, *ballot, *known_view, to.init_prepare());
        }
        Message::Promise { voter, ballot, accepted, report } => {
            agreement::write_promise(*voter, *ballot, accepted.as_deref(), report, to.init_promise());
        }
        Message::Accept { voter, ballot, view } => {
            agreement::write_accept(*voter, *ballot, view, to.init_accept());
        }
        Message::Accepted { voter, ballot } => agreement::write_accepted(*voter, *ballot, to.init_accepted()),
        Message::Rejected { ballot, promised } => {
            agreement::write_rejected(*ballot, *promised, to.init_rejected());
        }
        Message::VoterLost { voter, ballot } => {
            agreement::write_voter_lost(*voter, *ballot, to.init_voter_lost());
        }
        Message::Decided(decided) => parts::write_decided(decided.ballot, &decided.view, to.init_decided()),
        Message::Submit { origin, command } => chain::write_submit(origin, command, to.init_submit()),
        Message::Replied { start_id, ticket, sequence, answer } => {
            chain::write_replied(*start_id, *ticket, *sequence, answer, to.init_replied());
        }
        Message::Append { view, entries, reads } => {
            chain::write_append(*view, entries, reads, to.init_append());
        }
        Message::Acknowledge { view, last, committed } => {
            chain::write_acknowledge(*view, *last, *committed, to.init_acknowledge());
        }
        Message::Resume { view, state } => transfer::write_resume(*view, state, to.init_resume()),
        Message::Synchronize { view, transfer } => {
            transfer::write_synchronize(*view, transfer, to.init_synchronize());
        }
        Message::Pull { committed, digests } => transfer::write_pull(*committed, digests, to.init_pull()),
        Message::Learn { view, transfer } => transfer::write_learn(*view, transfer, to.init_learn()),
    }
}

fn read(from: wire::Reader) -> Result<Message, DecodeError> {
    Ok(match from.which()? {
        wire::Heartbeat(from) => Message::Heartbeat(heartbeat::read(from?)?),
        wire::Prepare(from) => agreement::read_prepare(from?)?,
        wire::Promise(from) => agreement::read_promise(from?)?,
        wire::Accept(from) => agreement::read_accept(from?)?,
        wire::Accepted(from) => agreement::read_accepted(from?)?,
        wire::Rejected(from) => agreement::read_rejected(from?)?,
        wire::VoterLost(from) => agreement::read_voter_lost(from?)?,
        wire::Decided(from) => Message::Decided(parts::read_decided(from?)?),
        wire::Submit(from) => chain::read_submit(from?)?,
        wire::Replied(from) => chain::read_replied(from?)?,
        wire::Append(from) => chain::read_append(from?)?,
        wire::Acknowledge(from) => chain::read_acknowledge(from?),
        wire::Resume(from) => transfer::read_resume(from?)?,
        wire::Synchronize(from) => transfer::read_synchronize(from?)?,
        wire::Pull(from) => transfer::read_pull(from?)?,
        wire::Learn(from) => transfer::read_learn(from?)?,
    })
}
