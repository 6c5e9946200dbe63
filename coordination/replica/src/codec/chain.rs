//! The encoding of commands, entries and reads.

use capnp::struct_list;

use super::DecodeError;
use super::parts::{length, read_answer, read_origin, write_answer, write_origin};
use crate::entry::{Entry, Origin, Read};
use crate::message::Message;
use crate::records::RecordWrite;
use crate::replica_capnp as wire;

pub fn write_submit(origin: &Origin, command: &[u8], mut to: wire::submit::Builder) {
    write_origin(origin, to.reborrow().init_origin());
    to.set_command(command);
}

pub fn read_submit(from: wire::submit::Reader) -> Result<Message, DecodeError> {
    let origin = read_origin(from.get_origin()?)?;
    Ok(Message::Submit { origin, command: from.get_command()?.to_vec() })
}

pub fn write_replied(
    start_id: u64,
    ticket: u64,
    sequence: u64,
    answer: &[u8],
    mut to: wire::replied::Builder,
) {
    to.set_start(start_id);
    to.set_ticket(ticket);
    to.set_sequence(sequence);
    to.set_answer(answer);
}

pub fn read_replied(from: wire::replied::Reader) -> Result<Message, DecodeError> {
    let (start_id, ticket, sequence) = (from.get_start(), from.get_ticket(), from.get_sequence());
    Ok(Message::Replied { start_id, ticket, sequence, answer: from.get_answer()?.to_vec() })
}

pub fn write_acknowledge(view: u64, last: u64, committed: u64, mut to: wire::acknowledge::Builder) {
    to.set_view(view);
    to.set_last(last);
    to.set_committed(committed);
}

pub fn read_acknowledge(from: wire::acknowledge::Reader) -> Message {
    let (view, last, committed) = (from.get_view(), from.get_last(), from.get_committed());
    Message::Acknowledge { view, last, committed }
}

pub fn write_append(view: u64, entries: &[Entry], reads: &[Read], mut to: wire::append::Builder) {
    to.set_view(view);
    write_entries(entries, to.reborrow().init_entries(length(entries)));
    let mut list = to.init_reads(length(reads));
    for (index, read) in (0..).zip(reads) {
        let mut to = list.reborrow().get(index);
        to.set_after(read.after);
        write_answer(&read.answer, to.reborrow().init_answer());
        write_origin(&read.origin, to.init_origin());
    }
}

pub fn read_append(from: wire::append::Reader) -> Result<Message, DecodeError> {
    let entries = read_entries(from.get_entries()?)?;
    let reads = from.get_reads()?.iter().map(read_read).collect::<Result<_, _>>()?;
    Ok(Message::Append { view: from.get_view(), entries, reads })
}

fn read_read(from: wire::read::Reader) -> Result<Read, DecodeError> {
    let (answer, origin) = (read_answer(from.get_answer()?)?, read_origin(from.get_origin()?)?);
    Ok(Read { after: from.get_after(), answer, origin })
}

pub fn write_entries(entries: &[Entry], mut to: struct_list::Builder<wire::entry::Owned>) {
    for (index, entry) in (0..).zip(entries) {
        write_entry(entry, to.reborrow().get(index));
    }
}

pub fn read_entries(from: struct_list::Reader<wire::entry::Owned>) -> Result<Vec<Entry>, DecodeError> {
    from.iter().map(read_entry).collect()
}

fn write_entry(entry: &Entry, mut to: wire::entry::Builder) {
    to.set_sequence(entry.sequence);
    to.set_view(entry.view);
    write_answer(&entry.answer, to.reborrow().init_answer());
    write_origin(&entry.origin, to.reborrow().init_origin());
    let mut writes = to.init_writes(length(&entry.writes));
    for (index, write) in (0..).zip(&entry.writes) {
        let mut to = writes.reborrow().get(index);
        to.set_key(&write.key);
        match &write.value {
            Some(value) => to.set_value(value),
            None => to.set_removed(()),
        }
    }
}

fn read_entry(from: wire::entry::Reader) -> Result<Entry, DecodeError> {
    Ok(Entry {
        sequence: from.get_sequence(),
        view: from.get_view(),
        writes: from.get_writes()?.iter().map(read_write).collect::<Result<_, _>>()?,
        answer: read_answer(from.get_answer()?)?,
        origin: read_origin(from.get_origin()?)?,
    })
}

fn read_write(from: wire::record_write::Reader) -> Result<RecordWrite, DecodeError> {
    let value = match from.which()? {
        wire::record_write::Removed(()) => None,
        wire::record_write::Value(value) => Some(value?.to_vec()),
    };
    Ok(RecordWrite { key: from.get_key()?.to_string()?, value })
}
