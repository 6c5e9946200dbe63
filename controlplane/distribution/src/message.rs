//! The messages of a connection. Each section of an update replaces the receiver's previous version of that
//! section.

use std::net::SocketAddr;

use bytes::Bytes;

/// The first frame that the connecting side sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hello {
    /// The role of the connecting process.
    pub role: Role,
    /// The address on which the connecting process accepts connections of other machines.
    pub endpoint: SocketAddr,
}

/// The role of the connecting process towards the accepting one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Another controller.
    Peer,
    /// A balancer: an agent that connects to a controller, or a proxy that connects to its agent.
    Balancer,
}

/// A message from the control plane to a balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum ToBalancer {
    /// Sections that are newer than those of the receiver.
    Update(Update),
    /// A heartbeat with the state of the sender.
    Link(Link),
}

/// The state of the sender. It is the answer to the first report, and then the heartbeat of the connection,
/// sent several times a second.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Link {
    /// Whether the sender is in the replication chain of the newest view known to it and in contact with a
    /// majority of the voters.
    pub in_quorum: bool,
    /// Whether the sender is in graceful shutdown. If so, the receiver connects to another controller.
    pub shutting_down: bool,
    /// The controllers known to the sender, including itself; empty if unchanged since the last heartbeat.
    pub controllers: Vec<ControllerAddress>,
}

/// The address and location of a controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControllerAddress {
    /// The address on which the controller accepts connections of other machines.
    pub endpoint: SocketAddr,
    /// The zone in which the controller runs.
    pub zone: String,
    /// The region of the zone.
    pub region: String,
}

/// The sections that have changed since the receiver's last acknowledgement.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Update {
    /// The configuration.
    pub configured: Option<Configured>,
    /// The evacuated zones.
    pub evacuations: Option<Evacuations>,
    /// The complete list of upstream instances.
    pub instances: Option<Instances>,
    /// The state of the fleet of balancers.
    pub fleet: Option<Fleet>,
    /// Changes to the list of instances, sent in place of the complete list to a receiver that has the base
    /// version.
    pub changes: Option<InstanceChanges>,
}

/// A committed configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Configured {
    /// The position in the replicated history. The receiver ignores a configuration that is not newer than
    /// its own.
    pub sequence: u64,
    /// The JSON document as the operator submitted it.
    pub body: Bytes,
}

/// The zones that are currently evacuated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// The position in the replicated history.
    pub sequence: u64,
    /// The evacuated zones.
    pub zones: Vec<String>,
}

/// All known upstream instances, and entries for some instances that have ended ([`Instance::ended`]). An
/// agent does not forward entries of ended instances to its proxy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Instances {
    /// The version of the list; each sender numbers its versions independently.
    pub version: u64,
    /// The instances.
    pub list: Vec<Instance>,
}

impl Instances {
    /// Returns the list as of a later time, with the remaining slow starts reduced by the elapsed time.
    pub fn aged(&self, elapsed_ms: u64) -> Instances {
        let mut aged = self.clone();
        aged.list.iter_mut().for_each(|instance| instance.age(elapsed_ms));
        aged
    }
}

/// The changes between two versions of the list of instances from the same sender.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InstanceChanges {
    /// The version of the list to which the changes apply.
    pub base: u64,
    /// The version of the list after the changes.
    pub version: u64,
    /// New and changed instances, including ended ones.
    pub changed: Vec<Instance>,
    /// The IDs of instances that the newer list does not contain.
    pub removed: Vec<String>,
}

/// An upstream instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// The ID of the instance. Each start of an upstream gets a new ID.
    pub id: String,
    /// The service to which the instance belongs.
    pub service: String,
    /// The address on which the instance accepts requests.
    pub address: SocketAddr,
    /// The zone in which the instance runs.
    pub zone: String,
    /// The number of requests that the instance handles concurrently.
    pub slots: u32,
    /// Whether the instance has permanently stopped accepting new requests.
    pub draining: bool,
    /// The remaining duration of the slow start when the message was sent, in milliseconds.
    pub slow_start_ms: u64,
}

impl Instance {
    /// Reduces the remaining slow start by the elapsed time.
    pub fn age(&mut self, elapsed_ms: u64) {
        self.slow_start_ms = self.slow_start_ms.saturating_sub(elapsed_ms);
    }

    /// Creates an entry which states only that the instance with this ID has ended.
    pub fn ended(id: String) -> Instance {
        Instance {
            id,
            service: String::new(),
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            zone: String::new(),
            slots: 0,
            draining: true,
            slow_start_ms: 0,
        }
    }

    /// Whether this entry was created by [`Instance::ended`].
    pub fn is_ended(&self) -> bool {
        self.draining && self.service.is_empty() && self.address.ip().is_unspecified()
    }
}

/// The state of the fleet of balancers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    /// The version of the section; each sender numbers its versions independently.
    pub version: u64,
    /// The number of balancers that may be serving requests: balancers with a lease, and balancers whose
    /// lease expired recently.
    pub balancers: u32,
    /// The total request rate of all balancers, by service and region.
    pub loads: Vec<RegionLoad>,
    /// The IDs of instances at which several balancers observed failures.
    pub failing: Vec<String>,
}

/// The recent failures of an instance that one balancer observed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceFailures {
    /// The ID of the instance.
    pub id: String,
    /// The number of failed requests.
    pub failures: u32,
}

/// The instances of a service in a region.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceRegion {
    /// The service.
    pub service: String,
    /// The region.
    pub region: String,
}

/// The rate of requests to the instances of a service in a region.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionLoad {
    /// The service and region to which the requests are sent.
    pub target: ServiceRegion,
    /// The number of requests per second.
    pub requests_per_s: f64,
}

/// The newest version of each section that a receiver has applied; 0 if it has not applied any.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Versions {
    /// The sequence number of the configuration.
    pub configured: u64,
    /// The sequence number of the evacuations.
    pub evacuations: u64,
    /// The version of the instances.
    pub instances: u64,
    /// The version of the fleet state.
    pub fleet: u64,
}

/// A message from a balancer to the control plane that renews its lease and acknowledges updates. It is sent
/// right after the hello, then several times a second, and immediately after a section was applied.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The name of the node on which the balancer runs.
    pub node: String,
    /// A number that is different for each start of the sending process.
    pub incarnation: u64,
    /// The zone in which the balancer runs.
    pub zone: String,
    /// The region of the zone.
    pub region: String,
    /// The address to which clients connect.
    pub front: SocketAddr,
    /// Whether the proxy has a configuration and accepts client connections.
    pub ready: bool,
    /// Whether the machine is in graceful shutdown. If so, no new clients should be directed to it.
    pub shutting_down: bool,
    /// The newest version of each section that the balancer has applied.
    pub applied: Versions,
    /// The rates at which the balancer sends requests, by service and region.
    pub sends: Vec<RegionLoad>,
    /// The instances at which requests of the balancer failed recently.
    pub failing: Vec<InstanceFailures>,
}
