//! The encoding of heartbeats.

use super::DecodeError;
use super::parts::{length, read_endpoint, read_report, write_endpoint, write_report};
use crate::message::{Heartbeat, ReceivedHeartbeat};
use crate::replica_capnp::{heard, heartbeat as wire};

pub fn write(heartbeat: &Heartbeat, mut to: wire::Builder) {
    to.set_birth(heartbeat.incarnation);
    to.set_start(heartbeat.start_id);
    to.set_zone(&heartbeat.zone);
    to.set_region(&heartbeat.region);
    to.set_view(heartbeat.view);
    to.set_sent_at(heartbeat.sent_at);
    to.set_is_sealed(heartbeat.is_fenced);
    to.set_is_stalled(heartbeat.is_stalled);
    to.set_is_leaving(heartbeat.is_shutting_down);
    to.set_protocol(heartbeat.protocol);
    write_report(&heartbeat.report, to.reborrow().init_report());
    let mut list = to.init_heard(length(&heartbeat.received));
    for (index, received) in (0..).zip(&heartbeat.received) {
        write_received(received, list.reborrow().get(index));
    }
}

pub fn read(from: wire::Reader) -> Result<Heartbeat, DecodeError> {
    Ok(Heartbeat {
        incarnation: from.get_birth(),
        start_id: from.get_start(),
        zone: from.get_zone()?.to_string()?,
        region: from.get_region()?.to_string()?,
        view: from.get_view(),
        sent_at: from.get_sent_at(),
        report: read_report(from.get_report()?),
        received: from.get_heard()?.iter().map(read_received).collect::<Result<_, _>>()?,
        is_fenced: from.get_is_sealed(),
        is_stalled: from.get_is_stalled(),
        is_shutting_down: from.get_is_leaving(),
        protocol: from.get_protocol(),
    })
}

fn write_received(received: &ReceivedHeartbeat, mut to: heard::Builder) {
    to.set_start(received.start_id);
    to.set_sent_at(received.sent_at);
    write_endpoint(received.endpoint, to.init_endpoint());
}

fn read_received(from: heard::Reader) -> Result<ReceivedHeartbeat, DecodeError> {
    Ok(ReceivedHeartbeat {
        endpoint: read_endpoint(from.get_endpoint()?)?,
        start_id: from.get_start(),
        sent_at: from.get_sent_at(),
    })
}
