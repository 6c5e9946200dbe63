//! Heartbeats on the wire.

use super::DecodeError;
use super::parts::{length, read_endpoint, read_report, write_endpoint, write_report};
use crate::message::Heartbeat;
use crate::replica_capnp::heartbeat as wire;

pub fn write(heartbeat: &Heartbeat, mut to: wire::Builder) {
    to.set_birth(heartbeat.birth);
    to.set_start(heartbeat.start);
    to.set_zone(&heartbeat.zone);
    to.set_region(&heartbeat.region);
    to.set_view(heartbeat.view);
    to.set_is_sealed(heartbeat.is_sealed);
    to.set_is_stalled(heartbeat.is_stalled);
    to.set_is_leaving(heartbeat.is_leaving);
    write_report(&heartbeat.report, to.reborrow().init_report());
    let mut heard = to.init_heard(length(&heartbeat.heard));
    for (index, endpoint) in (0..).zip(&heartbeat.heard) {
        write_endpoint(*endpoint, heard.reborrow().get(index));
    }
}

pub fn read(from: wire::Reader) -> Result<Heartbeat, DecodeError> {
    Ok(Heartbeat {
        birth: from.get_birth(),
        start: from.get_start(),
        zone: from.get_zone()?.to_string()?,
        region: from.get_region()?.to_string()?,
        view: from.get_view(),
        report: read_report(from.get_report()?),
        heard: from.get_heard()?.iter().map(read_endpoint).collect::<Result<_, _>>()?,
        is_sealed: from.get_is_sealed(),
        is_stalled: from.get_is_stalled(),
        is_leaving: from.get_is_leaving(),
    })
}
