//! The codecs of [`Hello`] and [`Report`].

use capnp::serialize::write_message_to_words;

use whinspindle_encoding::{new_message, read_message};

use super::DecodeError;
use super::parts::{
    read_endpoint, read_failures, read_loads, read_versions, write_endpoint, write_failures, write_loads,
    write_versions,
};
use crate::distribution_capnp::{hello, report};
use crate::{Hello, Report, Role};

/// Encodes a message of the type [`Hello`].
pub fn encode_hello(hello: &Hello) -> Vec<u8> {
    let mut message = new_message();
    let mut builder = message.init_root::<hello::Builder<'_>>();
    builder.set_role(match hello.role {
        Role::Peer => hello::Role::Peer,
        Role::Balancer => hello::Role::Balancer,
    });
    write_endpoint(builder.init_endpoint(), hello.endpoint);
    write_message_to_words(&message)
}

/// Decodes a message of the type [`Hello`].
pub fn decode_hello(bytes: &[u8]) -> Result<Hello, DecodeError> {
    let message = read_message(bytes)?;
    let reader = message.get_root::<hello::Reader<'_>>()?;
    let role = match reader.get_role()? {
        hello::Role::Peer => Role::Peer,
        hello::Role::Balancer => Role::Balancer,
    };
    Ok(Hello { role, endpoint: read_endpoint(reader.get_endpoint()?)? })
}

/// Encodes a message of the type [`Report`].
pub fn encode_report(report: &Report) -> Vec<u8> {
    let mut message = new_message();
    let mut builder = message.init_root::<report::Builder<'_>>();
    builder.set_node(&report.node);
    builder.set_incarnation(report.incarnation);
    builder.set_zone(&report.zone);
    builder.set_region(&report.region);
    builder.set_ready(report.ready);
    builder.set_leaving(report.shutting_down);
    write_endpoint(builder.reborrow().init_front(), report.front);
    write_versions(builder.reborrow().init_applied(), report.applied);
    write_loads(builder.reborrow().init_sends(report.sends.len() as u32), &report.sends);
    write_failures(builder.init_failing(report.failing.len() as u32), &report.failing);
    write_message_to_words(&message)
}

/// Decodes a message of the type [`Report`].
pub fn decode_report(bytes: &[u8]) -> Result<Report, DecodeError> {
    let message = read_message(bytes)?;
    let reader = message.get_root::<report::Reader<'_>>()?;
    Ok(Report {
        node: reader.get_node()?.to_string()?,
        incarnation: reader.get_incarnation(),
        zone: reader.get_zone()?.to_string()?,
        region: reader.get_region()?.to_string()?,
        front: read_endpoint(reader.get_front()?)?,
        ready: reader.get_ready(),
        shutting_down: reader.get_leaving(),
        applied: read_versions(reader.get_applied()?),
        sends: read_loads(reader.get_sends()?)?,
        failing: read_failures(reader.get_failing()?)?,
    })
}
