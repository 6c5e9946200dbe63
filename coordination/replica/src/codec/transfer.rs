//! The encoding of state transfers.

use std::sync::Arc;

use capnp::struct_list;
use whinspindle_digests::RangeDigest;

use super::DecodeError;
use super::chain::{read_entries, write_entries};
use super::parts::{
    length, read_answer, read_digest, read_origin, read_range, write_answer, write_digest, write_origin,
    write_range,
};
use crate::entry::Outcome;
use crate::message::{ChainState, Message};
use crate::records::Record;
use crate::replica_capnp as wire;
use crate::transfer::{RangeContents, Transfer};

pub fn write_resume(view: u64, state: &ChainState, mut to: wire::resume::Builder) {
    to.set_view(view);
    to.set_is_complete(state.is_complete);
    to.set_last(state.last);
    to.set_committed(state.committed);
    write_digests(&state.digests, to.init_digests(length(&state.digests)));
}

pub fn read_resume(from: wire::resume::Reader) -> Result<Message, DecodeError> {
    let state = ChainState {
        is_complete: from.get_is_complete(),
        last: from.get_last(),
        committed: from.get_committed(),
        digests: read_digests(from.get_digests()?)?,
    };
    Ok(Message::Resume { view: from.get_view(), state })
}

pub fn write_pull(committed: u64, digests: &[RangeDigest], mut to: wire::pull::Builder) {
    to.set_committed(committed);
    write_digests(digests, to.init_digests(length(digests)));
}

pub fn read_pull(from: wire::pull::Reader) -> Result<Message, DecodeError> {
    let digests = read_digests(from.get_digests()?)?;
    Ok(Message::Pull { committed: from.get_committed(), digests })
}

pub fn write_synchronize(view: u64, transfer: &Transfer, mut to: wire::synchronize::Builder) {
    to.set_view(view);
    write(transfer, to.init_transfer());
}

pub fn read_synchronize(from: wire::synchronize::Reader) -> Result<Message, DecodeError> {
    let transfer = read(from.get_transfer()?)?;
    Ok(Message::Synchronize { view: from.get_view(), transfer })
}

pub fn write_learn(view: u64, transfer: &Transfer, mut to: wire::learn::Builder) {
    to.set_view(view);
    write(transfer, to.init_transfer());
}

pub fn read_learn(from: wire::learn::Reader) -> Result<Message, DecodeError> {
    let transfer = read(from.get_transfer()?)?;
    Ok(Message::Learn { view: from.get_view(), transfer })
}

fn write_digests(digests: &[RangeDigest], mut to: struct_list::Builder<wire::range_digest::Owned>) {
    for (index, digest) in (0..).zip(digests) {
        write_digest(digest, to.reborrow().get(index));
    }
}

fn read_digests(
    from: struct_list::Reader<wire::range_digest::Owned>,
) -> Result<Vec<RangeDigest>, DecodeError> {
    from.iter().map(read_digest).collect()
}

fn write(transfer: &Transfer, mut to: wire::transfer::Builder) {
    to.set_base(transfer.base);
    to.set_position(transfer.position);
    to.set_committed(transfer.committed);
    write_entries(&transfer.entries, to.reborrow().init_entries(length(&transfer.entries)));
    let mut ranges = to.reborrow().init_ranges(length(&transfer.ranges));
    for (index, contents) in (0..).zip(&transfer.ranges) {
        write_contents(contents, ranges.reborrow().get(index));
    }
    let mut outcomes = to.init_outcomes(length(&transfer.outcomes));
    for (index, outcome) in (0..).zip(&transfer.outcomes) {
        let mut to = outcomes.reborrow().get(index);
        to.set_sequence(outcome.sequence);
        write_answer(&outcome.answer, to.reborrow().init_answer());
        write_origin(&outcome.origin, to.init_origin());
    }
}

fn read(from: wire::transfer::Reader) -> Result<Transfer, DecodeError> {
    Ok(Transfer {
        base: from.get_base(),
        ranges: from.get_ranges()?.iter().map(read_contents).collect::<Result<_, _>>()?,
        position: from.get_position(),
        outcomes: from.get_outcomes()?.iter().map(read_outcome).collect::<Result<_, _>>()?,
        entries: read_entries(from.get_entries()?)?,
        committed: from.get_committed(),
    })
}

fn write_contents(contents: &RangeContents, mut to: wire::range_contents::Builder) {
    write_range(&contents.range, to.reborrow().init_range());
    let mut records = to.init_records(length(&contents.records));
    for (index, (key, record)) in (0..).zip(&contents.records) {
        let mut to = records.reborrow().get(index);
        to.set_key(key);
        to.set_sequence(record.sequence);
        to.set_value(&record.value);
    }
}

fn read_contents(from: wire::range_contents::Reader) -> Result<RangeContents, DecodeError> {
    let mut records = Vec::new();
    for record in from.get_records()?.iter() {
        let value = Arc::new(record.get_value()?.to_vec());
        let key = record.get_key()?.to_string()?;
        records.push((key, Record { sequence: record.get_sequence(), value }));
    }
    Ok(RangeContents { range: read_range(from.get_range()?)?, records })
}

fn read_outcome(from: wire::outcome::Reader) -> Result<Outcome, DecodeError> {
    let (answer, origin) = (read_answer(from.get_answer()?)?, read_origin(from.get_origin()?)?);
    Ok(Outcome { sequence: from.get_sequence(), answer, origin })
}
