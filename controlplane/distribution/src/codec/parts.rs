//! The codecs of structures that several messages contain.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use capnp::struct_list;
use whinspindle_encoding::address_octets;

use super::DecodeError;
use crate::distribution_capnp::{endpoint, instance_failures, region_load, versions};
use crate::{InstanceFailures, RegionLoad, ServiceRegion, Versions};

pub(super) fn write_endpoint(mut builder: endpoint::Builder<'_>, address: SocketAddr) {
    match address.ip() {
        IpAddr::V4(ip) => builder.set_v4(ip.to_bits()),
        IpAddr::V6(ip) => builder.set_v6(&ip.octets()),
    }
    builder.set_port(address.port());
}

pub(super) fn read_endpoint(reader: endpoint::Reader<'_>) -> Result<SocketAddr, DecodeError> {
    let ip = match reader.which()? {
        endpoint::V4(bits) => IpAddr::V4(Ipv4Addr::from_bits(bits)),
        endpoint::V6(octets) => IpAddr::V6(Ipv6Addr::from(address_octets::<16>(octets?)?)),
    };
    Ok(SocketAddr::new(ip, reader.get_port()))
}

pub(super) fn write_loads(mut builder: struct_list::Builder<'_, region_load::Owned>, loads: &[RegionLoad]) {
    for (index, load) in (0..).zip(loads) {
        let mut item = builder.reborrow().get(index);
        item.set_service(&load.target.service);
        item.set_region(&load.target.region);
        item.set_requests_per_second(load.requests_per_s);
    }
}

pub(super) fn read_loads(
    reader: struct_list::Reader<'_, region_load::Owned>,
) -> Result<Vec<RegionLoad>, DecodeError> {
    reader.iter().map(read_load).collect()
}

fn read_load(reader: region_load::Reader<'_>) -> Result<RegionLoad, DecodeError> {
    let service = reader.get_service()?.to_string()?;
    let region = reader.get_region()?.to_string()?;
    let requests_per_s = reader.get_requests_per_second();
    Ok(RegionLoad { target: ServiceRegion { service, region }, requests_per_s })
}

pub(super) fn write_failures(
    mut builder: struct_list::Builder<'_, instance_failures::Owned>,
    failing: &[InstanceFailures],
) {
    for (index, instance) in (0..).zip(failing) {
        let mut item = builder.reborrow().get(index);
        item.set_id(&instance.id);
        item.set_failures(instance.failures);
    }
}

pub(super) fn read_failures(
    reader: struct_list::Reader<'_, instance_failures::Owned>,
) -> Result<Vec<InstanceFailures>, DecodeError> {
    let read_item = |item: instance_failures::Reader<'_>| {
        Ok(InstanceFailures { id: item.get_id()?.to_string()?, failures: item.get_failures() })
    };
    reader.iter().map(read_item).collect()
}

pub(super) fn write_versions(mut builder: versions::Builder<'_>, versions: Versions) {
    builder.set_configured(versions.configured);
    builder.set_evacuations(versions.evacuations);
    builder.set_instances(versions.instances);
    builder.set_fleet(versions.fleet);
}

pub(super) fn read_versions(reader: versions::Reader<'_>) -> Versions {
    Versions {
        configured: reader.get_configured(),
        evacuations: reader.get_evacuations(),
        instances: reader.get_instances(),
        fleet: reader.get_fleet(),
    }
}
