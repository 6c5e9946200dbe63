//! The encoding of data types that several messages contain.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use snafu::OptionExt;
use whinspindle_consensus::{Ballot, Voter};
use whinspindle_digests::{Digest, KeyRange, RangeDigest};
use whinspindle_encoding::{DigestLengthSnafu, address_octets};

use super::DecodeError;
use crate::application::Answer;
use crate::durable::Decided;
use crate::entry::Origin;
use crate::message::Report;
use crate::replica_capnp as wire;
use crate::view::{ChainLink, Member, View};

/// The length of a list as a Cap'n Proto list length.
pub fn length<T>(items: &[T]) -> u32 {
    u32::try_from(items.len()).unwrap_or(u32::MAX)
}

pub fn write_endpoint(endpoint: SocketAddr, mut to: wire::endpoint::Builder) {
    match endpoint.ip() {
        IpAddr::V4(address) => to.set_v4(&address.octets()),
        IpAddr::V6(address) => to.set_v6(&address.octets()),
    }
    to.set_port(endpoint.port());
}

pub fn read_endpoint(from: wire::endpoint::Reader) -> Result<SocketAddr, DecodeError> {
    let address: IpAddr = match from.which()? {
        wire::endpoint::V4(octets) => Ipv4Addr::from(address_octets::<4>(octets?)?).into(),
        wire::endpoint::V6(octets) => Ipv6Addr::from(address_octets::<16>(octets?)?).into(),
    };
    Ok(SocketAddr::new(address, from.get_port()))
}

pub fn write_voter(voter: Voter, mut to: wire::voter::Builder) {
    to.set_member(voter.member);
    to.set_birth(voter.incarnation);
}

pub fn read_voter(from: wire::voter::Reader) -> Voter {
    Voter { member: from.get_member(), incarnation: from.get_birth() }
}

pub fn write_ballot(ballot: Ballot, mut to: wire::ballot::Builder) {
    to.set_epoch(ballot.epoch);
    to.set_round(ballot.round);
    to.set_member(ballot.member);
    to.set_start(ballot.start_id);
}

pub fn read_ballot(from: wire::ballot::Reader) -> Ballot {
    Ballot {
        epoch: from.get_epoch(),
        round: from.get_round(),
        member: from.get_member(),
        start_id: from.get_start(),
    }
}

pub fn write_report(report: &Report, mut to: wire::report::Builder) {
    to.set_complete(report.complete_view);
    to.set_committed(report.committed);
}

pub fn read_report(from: wire::report::Reader) -> Report {
    Report { complete_view: from.get_complete(), committed: from.get_committed() }
}

pub fn write_view(view: &View, mut to: wire::view::Builder) {
    to.set_number(view.number);
    to.set_next_member(view.next_member);
    let mut members = to.reborrow().init_members(length(&view.members));
    for (index, member) in (0..).zip(&view.members) {
        write_member(member, members.reborrow().get(index));
    }
    let mut voter_sets = to.reborrow().init_boards(length(&view.voter_sets));
    for (index, voter_set) in (0..).zip(&view.voter_sets) {
        let mut voters = voter_sets.reborrow().init(index, length(voter_set));
        for (index, voter) in (0..).zip(voter_set) {
            write_voter(*voter, voters.reborrow().get(index));
        }
    }
    write_chain(&view.chain, to.reborrow().init_chain(length(&view.chain)));
    let mut former_chains = to.init_former(length(&view.former_chains));
    for (index, chain) in (0..).zip(&view.former_chains) {
        write_chain(chain, former_chains.reborrow().init(index, length(chain)));
    }
}

fn write_chain(chain: &[ChainLink], mut to: capnp::struct_list::Builder<wire::chain_link::Owned>) {
    for (index, link) in (0..).zip(chain) {
        let mut to = to.reborrow().get(index);
        to.set_since(link.since_view);
        write_voter(link.voter, to.init_voter());
    }
}

pub fn read_view(from: wire::view::Reader) -> Result<View, DecodeError> {
    let members = from.get_members()?.iter().map(read_member).collect::<Result<_, _>>()?;
    let mut voter_sets = Vec::new();
    for voter_set in from.get_boards()?.iter() {
        voter_sets.push(voter_set?.iter().map(read_voter).collect());
    }
    let chain = read_chain(from.get_chain()?)?;
    let mut former_chains = Vec::new();
    for chain in from.get_former()?.iter() {
        former_chains.push(read_chain(chain?)?);
    }
    let (number, next_member) = (from.get_number(), from.get_next_member());
    Ok(View { number, members, voter_sets, chain, former_chains, next_member })
}

fn read_chain(
    from: capnp::struct_list::Reader<wire::chain_link::Owned>,
) -> Result<Vec<ChainLink>, DecodeError> {
    let mut chain = Vec::new();
    for link in from.iter() {
        chain.push(ChainLink { voter: read_voter(link.get_voter()?), since_view: link.get_since() });
    }
    Ok(chain)
}

fn write_member(member: &Member, mut to: wire::member::Builder) {
    write_voter(member.voter, to.reborrow().init_voter());
    write_endpoint(member.endpoint, to.reborrow().init_endpoint());
    to.set_zone(&member.zone);
    to.set_region(&member.region);
}

fn read_member(from: wire::member::Reader) -> Result<Member, DecodeError> {
    Ok(Member {
        voter: read_voter(from.get_voter()?),
        endpoint: read_endpoint(from.get_endpoint()?)?,
        zone: from.get_zone()?.to_string()?,
        region: from.get_region()?.to_string()?,
    })
}

pub fn write_decided(ballot: Ballot, view: &View, mut to: wire::decided::Builder) {
    write_ballot(ballot, to.reborrow().init_ballot());
    write_view(view, to.init_view());
}

pub fn read_decided(from: wire::decided::Reader) -> Result<Decided, DecodeError> {
    Ok(Decided { ballot: read_ballot(from.get_ballot()?), view: read_view(from.get_view()?)? })
}

pub fn write_origin(origin: &Origin, mut to: wire::origin::Builder) {
    write_endpoint(origin.endpoint, to.reborrow().init_endpoint());
    to.set_start(origin.start_id);
    to.set_ticket(origin.ticket);
}

pub fn read_origin(from: wire::origin::Reader) -> Result<Origin, DecodeError> {
    let endpoint = read_endpoint(from.get_endpoint()?)?;
    Ok(Origin { endpoint, start_id: from.get_start(), ticket: from.get_ticket() })
}

pub fn write_answer(answer: &Answer, mut to: wire::answer::Builder) {
    match answer {
        Answer::Value(value) => to.set_value(value),
        Answer::Record(key) => to.set_record(key),
    }
}

pub fn read_answer(from: wire::answer::Reader) -> Result<Answer, DecodeError> {
    Ok(match from.which()? {
        wire::answer::Value(value) => Answer::Value(value?.to_vec()),
        wire::answer::Record(key) => Answer::Record(key?.to_string()?),
    })
}

pub fn write_range(range: &KeyRange, mut to: wire::key_range::Builder) {
    to.set_from(&range.start);
    match &range.end {
        Some(end) => to.set_to(end),
        None => to.set_open(()),
    }
}

pub fn read_range(from: wire::key_range::Reader) -> Result<KeyRange, DecodeError> {
    let end = match from.which()? {
        wire::key_range::Open(()) => None,
        wire::key_range::To(end) => Some(end?.to_string()?),
    };
    Ok(KeyRange { start: from.get_from()?.to_string()?, end })
}

pub fn write_digest(digest: &RangeDigest, mut to: wire::range_digest::Builder) {
    write_range(&digest.range, to.reborrow().init_range());
    to.set_digest(digest.digest.as_bytes());
}

pub fn read_digest(from: wire::range_digest::Reader) -> Result<RangeDigest, DecodeError> {
    let bytes = from.get_digest()?;
    let digest = Digest::from_bytes(bytes).context(DigestLengthSnafu { length: bytes.len() })?;
    Ok(RangeDigest { range: read_range(from.get_range()?)?, digest })
}
