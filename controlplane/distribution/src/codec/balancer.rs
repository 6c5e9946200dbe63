//! The codec of [`ToBalancer`]: updates and heartbeats.

use bytes::Bytes;
use capnp::serialize::write_message_to_words;
use capnp::{struct_list, text_list};

use whinspindle_encoding::{new_message, read_message};

use super::DecodeError;
use super::parts::{read_endpoint, read_loads, write_endpoint, write_loads};
use crate::distribution_capnp::{
    configured, controller_address, evacuations, fleet, instance, instance_changes, instances, link,
    to_balancer, update,
};
use crate::{
    Configured, ControllerAddress, Evacuations, Fleet, Instance, InstanceChanges, Instances, Link,
    ToBalancer, Update,
};

/// Encodes a message of the type [`ToBalancer`].
pub fn encode_to_balancer(to_balancer: &ToBalancer) -> Vec<u8> {
    let mut message = new_message();
    let builder = message.init_root::<to_balancer::Builder<'_>>();
    match to_balancer {
        ToBalancer::Update(update) => write_update(builder.init_update(), update),
        ToBalancer::Link(link) => write_link(builder.init_link(), link),
    }
    write_message_to_words(&message)
}

/// Decodes a message of the type [`ToBalancer`].
pub fn decode_to_balancer(bytes: &[u8]) -> Result<ToBalancer, DecodeError> {
    let message = read_message(bytes)?;
    match message.get_root::<to_balancer::Reader<'_>>()?.which()? {
        to_balancer::Update(update) => Ok(ToBalancer::Update(read_update(update?)?)),
        to_balancer::Link(link) => Ok(ToBalancer::Link(read_link(link?)?)),
    }
}

fn write_link(mut builder: link::Builder<'_>, link: &Link) {
    builder.set_in_quorum(link.in_quorum);
    builder.set_leaving(link.shutting_down);
    let mut controllers = builder.init_controllers(link.controllers.len() as u32);
    for (index, controller) in (0..).zip(&link.controllers) {
        write_controller(controllers.reborrow().get(index), controller);
    }
}

fn read_link(reader: link::Reader<'_>) -> Result<Link, DecodeError> {
    let controllers = reader.get_controllers()?.iter().map(read_controller).collect::<Result<_, _>>()?;
    Ok(Link { in_quorum: reader.get_in_quorum(), shutting_down: reader.get_leaving(), controllers })
}

fn write_controller(mut builder: controller_address::Builder<'_>, controller: &ControllerAddress) {
    builder.set_zone(&controller.zone);
    builder.set_region(&controller.region);
    write_endpoint(builder.init_endpoint(), controller.endpoint);
}

fn read_controller(reader: controller_address::Reader<'_>) -> Result<ControllerAddress, DecodeError> {
    Ok(ControllerAddress {
        endpoint: read_endpoint(reader.get_endpoint()?)?,
        zone: reader.get_zone()?.to_string()?,
        region: reader.get_region()?.to_string()?,
    })
}

fn write_update(mut builder: update::Builder<'_>, update: &Update) {
    if let Some(section) = &update.configured {
        write_configured(builder.reborrow().init_configured(), section);
    }
    if let Some(section) = &update.evacuations {
        write_evacuations(builder.reborrow().init_evacuations(), section);
    }
    if let Some(section) = &update.instances {
        write_instances(builder.reborrow().init_instances(), section);
    }
    if let Some(section) = &update.changes {
        write_changes(builder.reborrow().init_changes(), section);
    }
    if let Some(section) = &update.fleet {
        write_fleet(builder.reborrow().init_fleet(), section);
    }
}

fn read_update(reader: update::Reader<'_>) -> Result<Update, DecodeError> {
    let mut update = Update::default();
    if reader.has_configured() {
        update.configured = Some(read_configured(reader.get_configured()?)?);
    }
    if reader.has_evacuations() {
        update.evacuations = Some(read_evacuations(reader.get_evacuations()?)?);
    }
    if reader.has_instances() {
        update.instances = Some(read_instances(reader.get_instances()?)?);
    }
    if reader.has_changes() {
        update.changes = Some(read_changes(reader.get_changes()?)?);
    }
    if reader.has_fleet() {
        update.fleet = Some(read_fleet(reader.get_fleet()?)?);
    }
    Ok(update)
}

fn write_configured(mut builder: configured::Builder<'_>, section: &Configured) {
    builder.set_sequence(section.sequence);
    builder.set_body(&section.body);
}

fn read_configured(reader: configured::Reader<'_>) -> Result<Configured, DecodeError> {
    let body = Bytes::copy_from_slice(reader.get_body()?);
    Ok(Configured { sequence: reader.get_sequence(), body })
}

fn write_evacuations(mut builder: evacuations::Builder<'_>, section: &Evacuations) {
    builder.set_sequence(section.sequence);
    let mut zones = builder.init_zones(section.zones.len() as u32);
    for (index, zone) in (0..).zip(&section.zones) {
        zones.set(index, zone);
    }
}

fn read_evacuations(reader: evacuations::Reader<'_>) -> Result<Evacuations, DecodeError> {
    let zones = read_strings(reader.get_zones()?)?;
    Ok(Evacuations { sequence: reader.get_sequence(), zones })
}

fn write_instances(mut builder: instances::Builder<'_>, section: &Instances) {
    builder.set_version(section.version);
    write_instance_list(builder.init_list(section.list.len() as u32), &section.list);
}

fn read_instances(reader: instances::Reader<'_>) -> Result<Instances, DecodeError> {
    Ok(Instances { version: reader.get_version(), list: read_instance_list(reader.get_list()?)? })
}

fn write_changes(mut builder: instance_changes::Builder<'_>, section: &InstanceChanges) {
    builder.set_base(section.base);
    builder.set_version(section.version);
    write_instance_list(builder.reborrow().init_changed(section.changed.len() as u32), &section.changed);
    let mut removed = builder.init_removed(section.removed.len() as u32);
    for (index, id) in (0..).zip(&section.removed) {
        removed.set(index, id);
    }
}

fn read_changes(reader: instance_changes::Reader<'_>) -> Result<InstanceChanges, DecodeError> {
    let removed = read_strings(reader.get_removed()?)?;
    let changed = read_instance_list(reader.get_changed()?)?;
    Ok(InstanceChanges { base: reader.get_base(), version: reader.get_version(), changed, removed })
}

fn read_strings(reader: text_list::Reader<'_>) -> Result<Vec<String>, DecodeError> {
    let mut strings = Vec::new();
    for text in reader {
        strings.push(text?.to_string()?);
    }
    Ok(strings)
}

fn write_instance_list(mut builder: struct_list::Builder<'_, instance::Owned>, list: &[Instance]) {
    for (index, instance) in (0..).zip(list) {
        write_instance(builder.reborrow().get(index), instance);
    }
}

fn read_instance_list(
    reader: struct_list::Reader<'_, instance::Owned>,
) -> Result<Vec<Instance>, DecodeError> {
    reader.iter().map(read_instance).collect()
}

fn write_instance(mut builder: instance::Builder<'_>, instance: &Instance) {
    builder.set_id(&instance.id);
    builder.set_service(&instance.service);
    builder.set_zone(&instance.zone);
    builder.set_slots(instance.slots);
    builder.set_draining(instance.draining);
    builder.set_cold_ms(instance.slow_start_ms);
    write_endpoint(builder.init_address(), instance.address);
}

fn read_instance(reader: instance::Reader<'_>) -> Result<Instance, DecodeError> {
    Ok(Instance {
        id: reader.get_id()?.to_string()?,
        service: reader.get_service()?.to_string()?,
        address: read_endpoint(reader.get_address()?)?,
        zone: reader.get_zone()?.to_string()?,
        slots: reader.get_slots(),
        draining: reader.get_draining(),
        slow_start_ms: reader.get_cold_ms(),
    })
}

fn write_fleet(mut builder: fleet::Builder<'_>, section: &Fleet) {
    builder.set_version(section.version);
    builder.set_balancers(section.balancers);
    write_loads(builder.reborrow().init_loads(section.loads.len() as u32), &section.loads);
    let mut failing = builder.init_failing(section.failing.len() as u32);
    for (index, id) in (0..).zip(&section.failing) {
        failing.set(index, id);
    }
}

fn read_fleet(reader: fleet::Reader<'_>) -> Result<Fleet, DecodeError> {
    let loads = read_loads(reader.get_loads()?)?;
    let failing = read_strings(reader.get_failing()?)?;
    Ok(Fleet { version: reader.get_version(), balancers: reader.get_balancers(), loads, failing })
}
