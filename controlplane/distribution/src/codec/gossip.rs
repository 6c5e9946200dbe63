//! The codec of [`Gossip`].

use capnp::serialize::write_message_to_words;

use whinspindle_encoding::{new_message, read_message};

use super::DecodeError;
use super::parts::{read_endpoint, read_failures, read_loads, write_endpoint, write_failures, write_loads};
use crate::distribution_capnp::{self, gossip, gossip_instance, gossip_lease};
use crate::{Gossip, GossipInstance, GossipLease, GossipScope};

/// Encodes a message of the type [`Gossip`].
pub fn encode_gossip(gossip: &Gossip) -> Vec<u8> {
    let mut message = new_message();
    let mut builder = message.init_root::<gossip::Builder<'_>>();
    builder.set_scope(scope_to_wire(gossip.scope));
    let mut instances = builder.reborrow().init_instances(gossip.instances.len() as u32);
    for (index, instance) in (0..).zip(&gossip.instances) {
        write_instance(instances.reborrow().get(index), instance);
    }
    let mut leases = builder.init_leases(gossip.leases.len() as u32);
    for (index, lease) in (0..).zip(&gossip.leases) {
        write_lease(leases.reborrow().get(index), lease);
    }
    write_message_to_words(&message)
}

/// Decodes a message of the type [`Gossip`].
pub fn decode_gossip(bytes: &[u8]) -> Result<Gossip, DecodeError> {
    let message = read_message(bytes)?;
    let reader = message.get_root::<gossip::Reader<'_>>()?;
    let instances = reader.get_instances()?.iter().map(read_instance).collect::<Result<_, _>>()?;
    let leases = reader.get_leases()?.iter().map(read_lease).collect::<Result<_, _>>()?;
    Ok(Gossip { scope: scope_from_wire(reader.get_scope()?), instances, leases })
}

fn scope_to_wire(scope: GossipScope) -> distribution_capnp::GossipScope {
    match scope {
        GossipScope::Changes => distribution_capnp::GossipScope::Changes,
        GossipScope::Observed => distribution_capnp::GossipScope::Heard,
        GossipScope::Complete => distribution_capnp::GossipScope::Complete,
        GossipScope::Restored => distribution_capnp::GossipScope::Recalled,
    }
}

fn scope_from_wire(scope: distribution_capnp::GossipScope) -> GossipScope {
    match scope {
        distribution_capnp::GossipScope::Changes => GossipScope::Changes,
        distribution_capnp::GossipScope::Heard => GossipScope::Observed,
        distribution_capnp::GossipScope::Complete => GossipScope::Complete,
        distribution_capnp::GossipScope::Recalled => GossipScope::Restored,
    }
}

fn write_instance(mut builder: gossip_instance::Builder<'_>, instance: &GossipInstance) {
    builder.set_id(&instance.id);
    builder.set_service(&instance.service);
    builder.set_zone(&instance.zone);
    builder.set_slots(instance.slots);
    builder.set_sequence(instance.sequence);
    builder.set_draining(instance.draining);
    builder.set_gone(instance.deregistered);
    builder.set_cold_ms(instance.slow_start_ms);
    builder.set_age_ms(instance.age_ms);
    write_endpoint(builder.init_address(), instance.address);
}

fn read_instance(reader: gossip_instance::Reader<'_>) -> Result<GossipInstance, DecodeError> {
    Ok(GossipInstance {
        id: reader.get_id()?.to_string()?,
        service: reader.get_service()?.to_string()?,
        address: read_endpoint(reader.get_address()?)?,
        zone: reader.get_zone()?.to_string()?,
        slots: reader.get_slots(),
        sequence: reader.get_sequence(),
        draining: reader.get_draining(),
        deregistered: reader.get_gone(),
        slow_start_ms: reader.get_cold_ms(),
        age_ms: reader.get_age_ms(),
    })
}

fn write_lease(mut builder: gossip_lease::Builder<'_>, lease: &GossipLease) {
    builder.set_node(&lease.node);
    builder.set_incarnation(lease.incarnation);
    builder.set_zone(&lease.zone);
    builder.set_region(&lease.region);
    builder.set_ready(lease.ready);
    builder.set_leaving(lease.shutting_down);
    builder.set_age_ms(lease.age_ms);
    write_endpoint(builder.reborrow().init_front(), lease.front);
    write_loads(builder.reborrow().init_sends(lease.sends.len() as u32), &lease.sends);
    write_failures(builder.init_failing(lease.failing.len() as u32), &lease.failing);
}

fn read_lease(reader: gossip_lease::Reader<'_>) -> Result<GossipLease, DecodeError> {
    Ok(GossipLease {
        node: reader.get_node()?.to_string()?,
        incarnation: reader.get_incarnation(),
        zone: reader.get_zone()?.to_string()?,
        region: reader.get_region()?.to_string()?,
        front: read_endpoint(reader.get_front()?)?,
        ready: reader.get_ready(),
        shutting_down: reader.get_leaving(),
        age_ms: reader.get_age_ms(),
        sends: read_loads(reader.get_sends()?)?,
        failing: read_failures(reader.get_failing()?)?,
    })
}
