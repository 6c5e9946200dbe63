//! The messages of a connection. A section of an update replaces the receiver's former one.

use std::net::SocketAddr;

use bytes::Bytes;

/// The first frame that the connecting side sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hello {
    /// What the connecting process is.
    pub role: Role,
    /// Where the connecting process accepts connections of other machines.
    pub endpoint: SocketAddr,
}

/// What the connecting process is to the accepting one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Another controller.
    Peer,
    /// A balancer: an agent at a controller, a proxy at its agent.
    Balancer,
}

/// A message from the control plane towards a balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum ToBalancer {
    /// Newer sections.
    Update(Update),
    /// A heartbeat with the state of the sender.
    Link(Link),
}

/// The state of the sender: the answer to the first report, then the heartbeat of the connection, several times a second.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Link {
    /// The sender is in the chain of the newest view that it knows, and in contact with a majority of the voters.
    pub in_quorum: bool,
    /// The sender is in graceful shutdown: the receiver moves to another controller.
    pub shutting_down: bool,
    /// The controllers that the sender knows, itself included; empty if unchanged since the last heartbeat.
    pub controllers: Vec<ControllerAddress>,
}

/// The address of a controller, and its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControllerAddress {
    /// Where it accepts connections of other machines.
    pub endpoint: SocketAddr,
    /// The zone that it runs in.
    pub zone: String,
    /// The region of that zone.
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
    /// Changes of the instances in place of the list, for a receiver that was sent the list that they build on.
    pub changes: Option<InstanceChanges>,
}

/// A committed configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Configured {
    /// The position in the replicated history. The receiver ignores one that is not newer than its own.
    pub sequence: u64,
    /// The operator's JSON, unchanged.
    pub body: Bytes,
}

/// All zones that are evacuated now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// The position in the replicated history.
    pub sequence: u64,
    /// The evacuated zones.
    pub zones: Vec<String>,
}

/// All known upstream instances, and entries for some that have ended ([`Instance::ended`]). An agent doesn't forward the
/// latter to its proxy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Instances {
    /// The sender's own version of the list.
    pub version: u64,
    /// The instances.
    pub list: Vec<Instance>,
}

impl Instances {
    /// The same list as of a later time: slow starts have that much less time left.
    pub fn aged(&self, elapsed_ms: u64) -> Instances {
        let mut aged = self.clone();
        aged.list.iter_mut().for_each(|instance| instance.age(elapsed_ms));
        aged
    }
}

/// The differences between two lists of one sender.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InstanceChanges {
    /// The version of the list that the changes build on.
    pub base: u64,
    /// The version of the list that they lead to.
    pub version: u64,
    /// Instances that are new or have changed, ended ones included.
    pub changed: Vec<Instance>,
    /// Ids that are not in the newer list.
    pub removed: Vec<String>,
}

/// One upstream instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Its id; each start of an upstream has a new one.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The zone that it runs in.
    pub zone: String,
    /// Requests that it handles at once.
    pub slots: u32,
    /// It takes no new requests, now or ever again.
    pub draining: bool,
    /// The remaining time of its slow start when this was sent, in milliseconds.
    pub slow_start_ms: u64,
}

impl Instance {
    /// Counts the remaining slow start down.
    pub fn age(&mut self, elapsed_ms: u64) {
        self.slow_start_ms = self.slow_start_ms.saturating_sub(elapsed_ms);
    }

    /// An entry that says of an instance only that it has ended.
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

    /// Whether this is an entry of [`Instance::ended`].
    pub fn is_ended(&self) -> bool {
        self.draining && self.service.is_empty() && self.address.ip().is_unspecified()
    }
}

/// The state of the fleet of balancers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    /// The sender's own version of the section.
    pub version: u64,
    /// The number of balancers that may be serving: those with a lease, and those that lost theirs a short while ago.
    pub balancers: u32,
    /// Requests a second that all balancers together send, by service and region.
    pub loads: Vec<RegionLoad>,
    /// Ids of instances whose failures several balancers have seen.
    pub failing: Vec<String>,
}

/// Failures of an instance that one balancer has seen a short while ago.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceFailures {
    /// The id of the instance.
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
    /// Where the requests go.
    pub target: ServiceRegion,
    /// Requests a second.
    pub requests_per_s: f64,
}

/// The newest version of each section that the receiver has applied; 0 before any.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Versions {
    /// The sequence of the configuration.
    pub configured: u64,
    /// The sequence of the evacuations.
    pub evacuations: u64,
    /// The version of the instances.
    pub instances: u64,
    /// The version of the fleet's state.
    pub fleet: u64,
}

/// A balancer's message towards the control plane: renews its lease and acknowledges updates. Sent right after the hello,
/// then several times a second, and at once when a section was applied.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The name of the balancer's node.
    pub node: String,
    /// Differs for each start of the sending process.
    pub incarnation: u64,
    /// The zone that it runs in.
    pub zone: String,
    /// The region of that zone.
    pub region: String,
    /// Where clients connect.
    pub front: SocketAddr,
    /// The proxy has a configuration and takes clients.
    pub ready: bool,
    /// The machine is in graceful shutdown: no new clients are to be sent to it.
    pub shutting_down: bool,
    /// The newest version of each section that it has applied.
    pub applied: Versions,
    /// The rates of requests that it sends.
    pub sends: Vec<RegionLoad>,
    /// Instances that have failed requests of it lately.
    pub failing: Vec<InstanceFailures>,
}
