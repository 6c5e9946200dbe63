//! The encoding of the consensus messages.

use whinspindle_consensus::{Ballot, Voter};

use super::DecodeError;
use super::parts::{
    read_ballot, read_decided, read_report, read_view, read_voter, write_ballot, write_decided, write_report,
    write_view, write_voter,
};
use crate::message::{Message, Report};
use crate::replica_capnp as wire;
use crate::view::View;

pub fn write_prepare(voter: Voter, ballot: Ballot, known_view: u64, mut to: wire::prepare::Builder) {
    write_voter(voter, to.reborrow().init_voter());
    write_ballot(ballot, to.reborrow().init_ballot());
    to.set_known(known_view);
}

pub fn read_prepare(from: wire::prepare::Reader) -> Result<Message, DecodeError> {
    let (voter, ballot) = (read_voter(from.get_voter()?), read_ballot(from.get_ballot()?));
    Ok(Message::Prepare { voter, ballot, known_view: from.get_known() })
}

pub fn write_promise(
    voter: Voter,
    ballot: Ballot,
    accepted: Option<&(Ballot, View)>,
    report: &Report,
    mut to: wire::promise::Builder,
) {
    write_voter(voter, to.reborrow().init_voter());
    write_ballot(ballot, to.reborrow().init_ballot());
    write_report(report, to.reborrow().init_report());
    if let Some((ballot, view)) = accepted {
        write_decided(*ballot, view, to.init_accepted());
    }
}

pub fn read_promise(from: wire::promise::Reader) -> Result<Message, DecodeError> {
    let accepted = if from.has_accepted() {
        let accepted = read_decided(from.get_accepted()?)?;
        Some(Box::new((accepted.ballot, accepted.view)))
    } else {
        None
    };
    let (voter, ballot) = (read_voter(from.get_voter()?), read_ballot(from.get_ballot()?));
    Ok(Message::Promise { voter, ballot, accepted, report: read_report(from.get_report()?) })
}

pub fn write_accept(voter: Voter, ballot: Ballot, view: &View, mut to: wire::accept::Builder) {
    write_voter(voter, to.reborrow().init_voter());
    write_ballot(ballot, to.reborrow().init_ballot());
    write_view(view, to.init_view());
}

pub fn read_accept(from: wire::accept::Reader) -> Result<Message, DecodeError> {
    let (voter, ballot) = (read_voter(from.get_voter()?), read_ballot(from.get_ballot()?));
    Ok(Message::Accept { voter, ballot, view: read_view(from.get_view()?)? })
}

pub fn write_accepted(voter: Voter, ballot: Ballot, mut to: wire::accepted::Builder) {
    write_voter(voter, to.reborrow().init_voter());
    write_ballot(ballot, to.init_ballot());
}

pub fn read_accepted(from: wire::accepted::Reader) -> Result<Message, DecodeError> {
    let (voter, ballot) = (read_voter(from.get_voter()?), read_ballot(from.get_ballot()?));
    Ok(Message::Accepted { voter, ballot })
}

pub fn write_rejected(ballot: Ballot, promised: Ballot, mut to: wire::rejected::Builder) {
    write_ballot(ballot, to.reborrow().init_ballot());
    write_ballot(promised, to.init_promised());
}

pub fn read_rejected(from: wire::rejected::Reader) -> Result<Message, DecodeError> {
    let (ballot, promised) = (read_ballot(from.get_ballot()?), read_ballot(from.get_promised()?));
    Ok(Message::Rejected { ballot, promised })
}

pub fn write_voter_lost(voter: Voter, ballot: Ballot, mut to: wire::voter_lost::Builder) {
    write_voter(voter, to.reborrow().init_voter());
    write_ballot(ballot, to.init_ballot());
}

pub fn read_voter_lost(from: wire::voter_lost::Reader) -> Result<Message, DecodeError> {
    let (voter, ballot) = (read_voter(from.get_voter()?), read_ballot(from.get_ballot()?));
    Ok(Message::VoterLost { voter, ballot })
}
