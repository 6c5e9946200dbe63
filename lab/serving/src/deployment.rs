//! Where everything of a cluster is: regions, zones, machines and their loopback addresses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use crate::random::Random;

/// Controllers of a cluster.
const CONTROLLERS: usize = 3;

const FRONT_PORT: u16 = 18_161;
const DIRECTORY_PORT: u16 = 18_164;
const CONTROL_PORT: u16 = 18_166;
const READY_PORT: u16 = 18_167;
const UPSTREAM_PORT: u16 = 18_080;
/// Ports that the programs use among themselves.
pub const PORT_RANGE: (u16, u16) = (17_720, 17_735);

/// Where the machines of a region begin in its addresses.
const FIRST_CONTROLLER: u8 = 10;
const FIRST_EDGE: u8 = 40;
const FIRST_UPSTREAM: u8 = 140;

/// How many regions and edges the address plan holds.
pub const MOST_REGIONS: usize = 200;
pub const MOST_EDGES: usize = 50;

/// A zone; each region has one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    pub zone: String,
    pub region: String,
}

/// A machine of the cluster: one address of the loopback network.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    pub name: String,
    pub ip: IpAddr,
    pub place: Place,
}

/// The plan of a cluster.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub places: Vec<Place>,
    pub controllers: Vec<Machine>,
    pub edges: Vec<Machine>,
    subnet: u8,
    upstreams_planned: Vec<u8>,
}

impl Deployment {
    /// A plan in a part of the loopback network that is drawn by chance, so that runs don't meet.
    pub fn new(regions: usize, edges: usize, random: &mut Random) -> Deployment {
        let places: Vec<Place> = (0..regions).map(place).collect();
        let subnet = 1 + random.index(250) as u8;
        let mut deployment = Deployment {
            controllers: Vec::new(),
            edges: Vec::new(),
            subnet,
            upstreams_planned: vec![0; places.len()],
            places,
        };
        for index in 0..CONTROLLERS {
            let machine = deployment.machine("controller", index, index % regions, FIRST_CONTROLLER);
            deployment.controllers.push(machine);
        }
        for index in 0..regions * edges {
            let machine = deployment.machine("edge", index / regions, index % regions, FIRST_EDGE);
            deployment.edges.push(machine);
        }
        deployment
    }

    /// The address for one more upstream in a region.
    pub fn plan_upstream(&mut self, region: usize) -> SocketAddr {
        let number = self.upstreams_planned[region];
        self.upstreams_planned[region] += 1;
        SocketAddr::new(self.ip(region, FIRST_UPSTREAM + number), UPSTREAM_PORT)
    }

    /// The control addresses of all controllers.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        self.controllers.iter().map(Machine::control).collect()
    }

    /// Names of the regions.
    pub fn regions(&self) -> Vec<String> {
        self.places.iter().map(|place| place.region.clone()).collect()
    }

    fn machine(&self, class: &str, index: usize, region: usize, first: u8) -> Machine {
        let place = self.places[region].clone();
        let name = format!("{class}-{}-{}", place.zone, index + 1);
        Machine { name, ip: self.ip(region, first + index as u8), place }
    }

    fn ip(&self, region: usize, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.subnet, region as u8 + 1, host))
    }
}

impl Machine {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT_PORT)
    }

    pub fn ready(&self) -> SocketAddr {
        SocketAddr::new(self.ip, READY_PORT)
    }

    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CONTROL_PORT)
    }

    pub fn directory(&self) -> SocketAddr {
        SocketAddr::new(self.ip, DIRECTORY_PORT)
    }
}

fn place(region: usize) -> Place {
    let letter = name_suffix(region);
    Place { zone: format!("zone-{letter}"), region: format!("region-{letter}") }
}

/// `a` to `z`, then numbers.
fn name_suffix(index: usize) -> String {
    u8::try_from(index)
        .ok()
        .filter(|&index| index < 26)
        .map_or_else(|| index.to_string(), |index| char::from(b'a' + index).to_string())
}
