//! The messages of a link. A section of an update replaces what the receiver held of that section before.

use std::net::SocketAddr;

use bytes::Bytes;

/// The first frame that the connecting side sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hello {
    pub role: Role,
    /// Where the connecting process takes connections of other machines.
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

/// From the control plane towards a balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum ToBalancer {
    Update(Update),
    Link(Link),
}

/// The state of the sender; the answer to the first report, then sent several times a second, so that a silent link
/// is known to be dead.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Link {
    /// The sender is in a chain of the newest view that it knows and hears a majority of the voters.
    pub in_quorum: bool,
    /// The sender is about to stop: the receiver moves to another controller.
    pub shutting_down: bool,
    /// Controllers that the sender knows of, itself included; empty where nothing has changed since the last one.
    pub controllers: Vec<ControllerAddress>,
}

/// Where a controller takes connections of other machines, and where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControllerAddress {
    pub endpoint: SocketAddr,
    pub zone: String,
    pub region: String,
}

/// The sections that have changed since the receiver's last acknowledgement.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Update {
    pub configured: Option<Configured>,
    pub evacuations: Option<Evacuations>,
    pub instances: Option<Instances>,
    pub fleet: Option<Fleet>,
    /// In place of the instances, for a receiver that was sent the list that they build on.
    pub changes: Option<InstanceChanges>,
}

/// A committed configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Configured {
    /// The position in the replicated history. The receiver drops one that is not above what it holds.
    pub sequence: u64,
    /// The operator's JSON, unchanged.
    pub body: Bytes,
}

/// All zones that are evacuated now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    pub sequence: u64,
    pub zones: Vec<String>,
}

/// All upstream instances that are known, and the ends of some. An agent passes no ends on to its proxy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Instances {
    pub version: u64,
    pub list: Vec<Instance>,
}

impl Instances {
    /// The same list as of a later moment: cold instances have that much less time to go.
    pub fn aged(&self, elapsed_ms: u64) -> Instances {
        let mut aged = self.clone();
        aged.list.iter_mut().for_each(|instance| instance.age(elapsed_ms));
        aged
    }
}

/// What differs between two lists of one sender.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InstanceChanges {
    /// The version of the list that the changes build on.
    pub base: u64,
    /// The version of the list that they lead to.
    pub version: u64,
    /// Instances that are new or look other, ends included.
    pub changed: Vec<Instance>,
    /// Ids that the newer list doesn't name.
    pub removed: Vec<String>,
}

/// One incarnation of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: u32,
    /// Takes no new requests, now or ever again.
    pub draining: bool,
    /// Remaining time for which the instance is cold, from the moment this was sent, in milliseconds.
    pub slow_start_ms: u64,
}

impl Instance {
    /// Counts the cold time down.
    pub fn age(&mut self, elapsed_ms: u64) {
        self.slow_start_ms = self.slow_start_ms.saturating_sub(elapsed_ms);
    }

    /// Says of an instance that it has ended, and nothing else.
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

    /// Whether it is told of this instance just that it has ended.
    pub fn is_ended(&self) -> bool {
        self.draining && self.service.is_empty() && self.address.ip().is_unspecified()
    }
}

/// What the fleet of balancers is and sends.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    pub version: u64,
    /// Balancers that may be serving: the live ones, and those lost a short while ago.
    pub balancers: u32,
    /// Requests a second that all balancers together send, by service and region.
    pub loads: Vec<RegionLoad>,
    /// Ids of instances whose failures several balancers have seen.
    pub failing: Vec<String>,
}

/// Failures of an instance that one balancer has seen a short while ago.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceFailures {
    pub id: String,
    pub failures: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceRegion {
    pub service: String,
    pub region: String,
}

#[derive(Clone, Debug, PartialEq)]
pub struct RegionLoad {
    pub target: ServiceRegion,
    pub requests_per_s: f64,
}

/// The newest version of each section that the receiver has applied; 0 before any.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Versions {
    pub configured: u64,
    pub evacuations: u64,
    pub instances: u64,
    pub fleet: u64,
}

/// From a balancer towards the control plane: renews the balancer's lease and acknowledges updates. Sent right after
/// the hello, then several times a second and at once when a section was applied.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    pub node: String,
    /// Differs for each start of the sending process.
    pub incarnation: u64,
    pub zone: String,
    pub region: String,
    /// Where clients connect.
    pub front: SocketAddr,
    /// The proxy has a configuration and takes clients.
    pub ready: bool,
    /// The machine is stopping: no new clients are to be sent to it.
    pub shutting_down: bool,
    pub applied: Versions,
    /// Requests a second that this balancer sends.
    pub sends: Vec<RegionLoad>,
    /// Instances that have failed requests of this balancer lately.
    pub failing: Vec<InstanceFailures>,
}
