//! Messages to and from bytes. The schema is in schema/replica.capnp.

mod agreement;
mod chain;
mod heartbeat;
mod parts;
mod transfer;

use capnp::serialize;
use snafu::Snafu;
use whinspindle_encoding::{new_message, read_message};

use crate::message::Message;
use crate::replica_capnp::message as wire;

/// Received bytes are no message of the schema.
#[derive(Debug, Snafu)]
pub enum DecodeError {
    #[snafu(display("the message is broken"), context(false))]
    Broken { source: capnp::Error },
    #[snafu(display("a text of the message is not UTF-8"), context(false))]
    Text { source: std::str::Utf8Error },
    #[snafu(display("the message holds a variant that this release does not know"), context(false))]
    UnknownVariant { source: capnp::NotInSchema },
    #[snafu(display("an address of the message has {length} bytes"))]
    AddressLength { length: usize },
    #[snafu(display("a digest of the message has {length} bytes"))]
    DigestLength { length: usize },
}

impl Message {
    /// The bytes to send.
    pub fn encode(&self) -> Vec<u8> {
        let mut builder = new_message();
        write(self, builder.init_root());
        serialize::write_message_to_words(&builder)
    }

    /// The message that was received.
    pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
        let reader = read_message(bytes)?;
        read(reader.get_root()?)
    }
}

fn write(message: &Message, to: wire::Builder) {
    match message {
        Message::Heartbeat(heartbeat) => heartbeat::write(heartbeat, to.init_heartbeat()),
        Message::Prepare { voter, ballot, known } => {
            agreement::write_prepare(*voter, *ballot, *known, to.init_prepare());
        }
        Message::Promise { voter, ballot, accepted, report } => {
            agreement::write_promise(*voter, *ballot, accepted.as_deref(), report, to.init_promise());
        }
        Message::Accept { voter, ballot, view } => {
            agreement::write_accept(*voter, *ballot, view, to.init_accept());
        }
        Message::Accepted { voter, ballot } => agreement::write_accepted(*voter, *ballot, to.init_accepted()),
        Message::Rejected { ballot, promised } => {
            let mut to = to.init_rejected();
            parts::write_ballot(*ballot, to.reborrow().init_ballot());
            parts::write_ballot(*promised, to.init_promised());
        }
        Message::Decided(decided) => parts::write_decided(decided.ballot, &decided.view, to.init_decided()),
        Message::Submit { origin, command } => {
            let mut to = to.init_submit();
            parts::write_origin(origin, to.reborrow().init_origin());
            to.set_command(command);
        }
        Message::Replied { start, ticket, sequence, answer } => {
            let mut to = to.init_replied();
            to.set_start(*start);
            to.set_ticket(*ticket);
            to.set_sequence(*sequence);
            to.set_answer(answer);
        }
        Message::Append { view, entries, reads } => {
            chain::write_append(*view, entries, reads, to.init_append())
        }
        Message::Acknowledge { view, last, committed } => {
            let mut to = to.init_acknowledge();
            to.set_view(*view);
            to.set_last(*last);
            to.set_committed(*committed);
        }
        Message::Resume { view, standing } => transfer::write_resume(*view, standing, to.init_resume()),
        Message::Synchronize { view, transfer } => {
            let mut to = to.init_synchronize();
            to.set_view(*view);
            transfer::write(transfer, to.init_transfer());
        }
        Message::Pull { committed, digests } => transfer::write_pull(*committed, digests, to.init_pull()),
        Message::Learn { view, transfer } => {
            let mut to = to.init_learn();
            to.set_view(*view);
            transfer::write(transfer, to.init_transfer());
        }
    }
}

fn read(from: wire::Reader) -> Result<Message, DecodeError> {
    Ok(match from.which()? {
        wire::Heartbeat(from) => Message::Heartbeat(heartbeat::read(from?)?),
        wire::Prepare(from) => agreement::read_prepare(from?)?,
        wire::Promise(from) => agreement::read_promise(from?)?,
        wire::Accept(from) => agreement::read_accept(from?)?,
        wire::Accepted(from) => agreement::read_accepted(from?)?,
        wire::Rejected(from) => {
            let from = from?;
            let ballot = parts::read_ballot(from.get_ballot()?);
            Message::Rejected { ballot, promised: parts::read_ballot(from.get_promised()?) }
        }
        wire::Decided(from) => Message::Decided(parts::read_decided(from?)?),
        wire::Submit(from) => {
            let from = from?;
            let origin = parts::read_origin(from.get_origin()?)?;
            Message::Submit { origin, command: from.get_command()?.to_vec() }
        }
        wire::Replied(from) => {
            let from = from?;
            let (start, ticket, sequence) = (from.get_start(), from.get_ticket(), from.get_sequence());
            Message::Replied { start, ticket, sequence, answer: from.get_answer()?.to_vec() }
        }
        wire::Append(from) => chain::read_append(from?)?,
        wire::Acknowledge(from) => {
            let from = from?;
            let (view, last, committed) = (from.get_view(), from.get_last(), from.get_committed());
            Message::Acknowledge { view, last, committed }
        }
        wire::Resume(from) => transfer::read_resume(from?)?,
        wire::Synchronize(from) => {
            let from = from?;
            let transfer = transfer::read(from.get_transfer()?)?;
            Message::Synchronize { view: from.get_view(), transfer }
        }
        wire::Pull(from) => transfer::read_pull(from?)?,
        wire::Learn(from) => {
            let from = from?;
            let transfer = transfer::read(from.get_transfer()?)?;
            Message::Learn { view: from.get_view(), transfer }
        }
    })
}
