//! Scenario files: a fleet, its network, the load on it and a timetable of troubles. Everything is checked
//! when the file is read, and all faults are told at once.

#![allow(missing_docs, reason = "not every public item is documented yet")]
#![allow(clippy::too_many_lines, reason = "functions from before the limit, to be split")]

use whinspindle_toml_config::ConfigError;

pub mod change;
mod read;

pub use whinspindle::host::{Effect, ServerScope};

/// Servers of a zone that make up a pod.
const CELL: usize = 4;

/// A whole scenario. Times are microseconds, rates events a second.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: String,
    /// What the scenario shows, in a sentence.
    pub shows: String,
    pub seed: u64,
    pub lasts: u64,
    /// What happens before this time does not count for the figures; the rules count from the start.
    pub warm_up: u64,
    pub zones: Vec<String>,
    pub network: Network,
    pub kinds: Vec<Kind>,
    pub tiers: Vec<Tier>,
    pub products: Vec<Product>,
    pub tenants: Vec<Tenant>,
    pub allowed: Allowed,
    /// One route for all queries, by which the module decides in virtual time.
    pub route: Option<Route>,
    pub discovery: Discovery,
    pub clients: Clients,
    /// On sockets the balancers of the first tier are a fleet that agrees on its policy.
    pub fleet: Option<Fleet>,
    pub loads: Vec<Load>,
    pub troubles: Vec<Trouble>,
    /// What a hunt may change, and within which bounds.
    pub ranges: Vec<Range>,
}

/// The way between two machines.
#[derive(Clone, Debug)]
pub struct Network {
    /// One way, inside a zone and between two.
    pub near: u64,
    pub far: u64,
    /// Part of the delay that is drawn anew for each message.
    pub spread: f64,
    /// Part of the messages that must be sent again, and how long that takes.
    pub loss: f64,
    pub resend: u64,
    /// Part of the exchanges on kept connections that end in a reset.
    pub resets: f64,
}

/// A kind of machine.
#[derive(Clone, Debug)]
pub struct Kind {
    pub name: String,
    pub cores: f64,
    pub speed: f64,
    /// Queries that it works on at the same time, and that wait for their turn.
    pub slots: usize,
    pub room: usize,
    /// What its listing tells of its strength.
    pub listed: f64,
    pub choke: Option<Choke>,
}

/// With too many queries a machine turns slow, until it has been nearly idle for a while.
#[derive(Clone, Debug)]
pub struct Choke {
    /// Queries held, as a multiple of the slots.
    pub at: f64,
    pub slows: f64,
    /// Nearly idle: held at most this part of the slots.
    pub idle: f64,
    pub rests: u64,
}

#[derive(Clone, Debug)]
pub struct Tier {
    pub name: String,
    /// Copies of the balancer before the first tier; each server of a tier before has one of its own.
    pub balancers: usize,
    /// The first so many of these have moved: they hear of load by probes alone, and keep to their part of
    /// the list.
    pub moved: usize,
    pub servers: Vec<Servers>,
    pub connections: Connections,
    pub cold: Cold,
    pub reports: Reports,
}

/// Some servers that are alike.
#[derive(Clone, Debug)]
pub struct Servers {
    /// Index into the kinds.
    pub kind: usize,
    pub count: usize,
    /// Indices of the zones over which they are dealt out.
    pub zones: Vec<usize>,
}

#[derive(Clone, Debug)]
pub struct Connections {
    /// Work that a new one costs the server.
    pub cost: u64,
    /// What a server holds at most.
    pub cap: usize,
    pub idle: u64,
    pub time_out: u64,
}

#[derive(Clone, Debug)]
pub struct Cold {
    pub from: f64,
    pub lasts: u64,
    pub multiple: f64,
    pub tip_after: u64,
}

#[derive(Clone, Debug)]
pub struct Reports {
    pub utilization: bool,
    pub throughput: bool,
    /// They are made anew this often.
    pub every: u64,
    /// Relative error, and part of the answers that carry none.
    pub noise: f64,
    pub absent: f64,
}

#[derive(Clone, Debug)]
pub struct Product {
    pub name: String,
    pub effect: Effect,
    pub memory: u64,
    pub importance: f64,
    pub slo_time: u64,
    pub statement_timeout: u64,
    pub tardy_importance: f64,
    /// Index of the tier that answers it.
    pub tier: usize,
    /// Mean work at speed 1, and its standard deviation over its mean.
    pub work: u64,
    pub varies: f64,
    /// Queries of another product that it makes to the next tier, one after the other.
    pub calls: usize,
    pub calls_product: usize,
}

#[derive(Clone, Debug)]
pub struct Tenant {
    pub name: String,
    pub share: f64,
    /// Queries a second within its share; 0: no bound.
    pub quota: f64,
}

/// What the deployment allows the balancers.
#[derive(Clone, Debug)]
pub struct Allowed {
    pub executions: usize,
    pub allow_hedging: bool,
    pub cancel: bool,
    pub probes: bool,
    /// 0: no advice is passed on.
    pub retry_after: u64,
    /// A final answer may come so long after the client's time.
    pub slack: u64,
    /// Nothing is sent to a server later than this after it is told to drain or gone.
    pub grace: u64,
    /// What an execution in another zone costs, as a part of a query's importance; the decisions are told.
    pub crossing: f64,
}

/// What is not set is as without a route.
#[derive(Clone, Debug)]
pub struct Route {
    pub time: Option<u64>,
    pub execution_time: Option<u64>,
    pub executions: Option<usize>,
    pub wait: u64,
    pub spread: f64,
    pub hedge: Option<u64>,
    pub budget: f64,
}

#[derive(Clone, Debug)]
pub struct Discovery {
    /// From a change until a balancer hears of it, and the part of it that is drawn for each.
    pub delay: u64,
    pub spread: f64,
    /// Whether a balancer that starts again on sockets is told the list by the platform.
    pub known: bool,
}

/// The balancers of the first tier as one fleet: the first so many vote, and what operators do.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub voters: usize,
    pub right: u64,
    /// Whether each keeps its list on disk, and takes few queries at a time when it starts.
    pub keep: bool,
    pub begin_slowly: bool,
    pub acts: Vec<Act>,
}

/// What an operator does at a balancer.
#[derive(Clone, Debug)]
pub struct Act {
    pub at: u64,
    pub balancer: usize,
    pub done: Deed,
}

#[derive(Clone, Debug)]
pub enum Deed {
    /// The text of a policy.
    Propose(String),
    /// The words of a command of `whinspindle fleet`.
    Run(Vec<String>),
}

#[derive(Clone, Debug)]
pub struct Clients {
    /// Further tries of a query after it was rejected or has failed.
    pub retries: usize,
    pub wait: u64,
    pub spread: f64,
    pub follow_retry_after: bool,
    /// Whether they mark further tries as such.
    pub marks: bool,
    /// Part of the queries whose client leaves before its SLO time is over.
    pub leaves: f64,
    /// The first balancer of a zone is used so many times as often as each of the others there.
    pub favour: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Shape {
    /// Equal gaps.
    Steady,
    Poisson,
    /// Poisson, at the peak for a fifth of each period.
    Bursts,
    /// Poisson, rising from the rate to the peak over the whole time.
    Ramp,
    /// Poisson, going up and down between the rate and the peak like a sine.
    Swing,
}

#[derive(Clone, Debug)]
pub struct Load {
    /// Indices of product and tenant; none: drawn by share.
    pub product: usize,
    pub tenant: Option<usize>,
    pub rate: f64,
    pub peak: f64,
    pub period: u64,
    pub shape: Shape,
    pub from: u64,
    pub until: u64,
}

/// Which servers a trouble falls on.
#[derive(Clone, Debug)]
pub struct Whom {
    pub tier: usize,
    /// Numbers within the tier; empty: those of the zone, else all, of which a part.
    pub servers: Vec<usize>,
    pub zone: Option<usize>,
    pub part: f64,
}

#[derive(Clone, Debug)]
pub enum Ill {
    /// The process ends and resets its connections; it starts again, cold, when the trouble is over.
    Kill,
    /// The machine says nothing any more, until the trouble is over.
    Vanish,
    /// Queries are taken and not answered.
    Hang,
    /// This part of the queries fails at once.
    Fail(f64),
    Slow(f64),
    /// Nothing is worked on for the time given, then as long again it is well, and so on.
    Pause(u64),
    /// Another program takes this part of the cores.
    Neighbour(f64),
    Drain,
    /// Drained, ended after the time given, and followed by a new one at the same address.
    Replace(u64),
    /// So many new servers of the tier's first group join.
    Join(usize),
    /// Nothing passes between two zones.
    Cut(usize, usize),
    Loss(f64),
    Resets(f64),
    DiscoverySilent,
    /// Discovery tells each change later.
    DiscoveryLate(u64),
    /// A part of the servers is missing in the lists.
    DiscoveryForgets(f64),
    /// The list as it was so long ago is told again.
    DiscoveryRepeats(u64),
    /// Numbers of balancers of the first tier. Killed outright, and back when the trouble is over.
    BalancerKill(Vec<usize>),
    /// Stopped for the time of the trouble, holding what it has.
    BalancerStop(Vec<usize>),
    /// Told to end, and started again when it has.
    BalancerRestart(Vec<usize>),
    BalancerReload(Vec<usize>),
    /// Nothing passes between these balancers of a fleet and the others: both ways, or only what they send,
    /// or only what they are sent. What clients and servers say is not touched.
    PeerCut(Vec<usize>, Ways),
    /// Parts of the datagrams between balancers that are lost, and that come twice.
    PeerLoss(f64),
    PeerRepeat(f64),
    /// Each datagram comes later by this, or by a time drawn up to it, so that they overtake one another.
    PeerDelay(u64),
    PeerReorder(u64),
    /// Killed, and back without what it kept when the trouble is over.
    DiskLost(Vec<usize>),
    /// Killed when the trouble is over, and back with what it kept when that began.
    DiskBack(Vec<usize>),
    /// Units are changed to a new build, by the servers that the trouble names and these balancers.
    Release(Release),
    /// All load times this.
    Surge(f64),
}

/// How a release lets its units go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    /// As the fleet agrees: waves, limits, the verdict, the way back.
    Agreed,
    AtOnce,
    /// `most` at a time, whatever has become of those before.
    Batches,
    /// The next when the one before is in full service.
    OneByOne,
}

#[derive(Clone, Debug)]
pub struct Release {
    pub how: How,
    pub most: usize,
    /// Between two batches, for which a server drains before it ends, and a wave is watched.
    pub every: u64,
    pub drains: u64,
    pub watch: u64,
    /// What is wrong with the new build: this part fails, so many times slower.
    pub fails: f64,
    pub slow: f64,
    pub balancers: Vec<usize>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ways {
    Both,
    Out,
    In,
}

#[derive(Clone, Debug)]
pub struct Trouble {
    pub at: u64,
    pub lasts: u64,
    pub ill: Ill,
    pub whom: Whom,
}

/// A value of the file by its path, and what a hunt may set it to.
#[derive(Clone, Debug)]
pub struct Range {
    pub path: String,
    /// As written in the file, with the unit.
    pub low: String,
    pub high: String,
}

impl Scenario {
    /// Reads and checks a scenario file.
    pub fn read(text: &str) -> Result<Scenario, Vec<ConfigError>> {
        whinspindle_toml_config::parse(text, read::scenario)
    }

    /// Servers of a tier, by kind and zone, in the order of their numbers.
    pub fn servers(&self, tier: usize) -> Vec<(usize, usize)> {
        let mut listed = Vec::new();
        for group in &self.tiers[tier].servers {
            listed.extend((0..group.count).map(|n| (group.kind, group.zones[n % group.zones.len()])));
        }
        listed
    }

    /// The pod of each server of a tier: four of a zone make one.
    pub fn cells(&self, tier: usize) -> Vec<usize> {
        let mut seen = vec![0; self.zones.len()];
        let cell = |(_, zone): (usize, usize)| {
            seen[zone] += 1;
            zone + self.zones.len() * ((seen[zone] - 1) / CELL)
        };
        self.servers(tier).into_iter().map(cell).collect()
    }

    /// Which of these balancers a client uses: all alike but for the first, by a number from 0 to 1.
    pub fn favoured(&self, balancers: usize, chance: f64) -> usize {
        let at = chance * (self.clients.favour + balancers as f64 - 1.0) - (self.clients.favour - 1.0);
        (at.max(0.0) as usize).min(balancers.saturating_sub(1))
    }

    /// Balancers before a tier.
    pub fn balancers(&self, tier: usize) -> usize {
        if tier == 0 { self.tiers[0].balancers } else { self.servers(tier - 1).len() }
    }

    /// The part of a troubled tier's servers that a trouble falls on. A part is dealt out evenly over the
    /// tier, so that it does not depend on chance.
    pub fn troubled(&self, whom: &Whom) -> Vec<usize> {
        if !whom.servers.is_empty() {
            return whom.servers.clone();
        }
        let servers = self.servers(whom.tier);
        let zone = |n: &usize| whom.zone.is_none_or(|zone| servers[*n].1 == zone);
        let of: Vec<usize> = (0..servers.len()).filter(zone).collect();
        let passes = |k: usize| (k as f64 * whom.part).floor();
        (0..of.len()).filter(|&k| passes(k + 1) > passes(k)).map(|k| of[k]).collect()
    }

    /// Work a second that the servers of a tier can do, cold starts and troubles aside.
    pub fn capacity(&self, tier: usize) -> f64 {
        let strength = |kind: usize| {
            let kind = &self.kinds[kind];
            kind.cores.min(kind.slots as f64) * kind.speed
        };
        self.servers(tier).iter().map(|(kind, _)| strength(*kind)).sum()
    }

    /// Work a second that the load brings to a tier at its mean, as a part of what the tier can do.
    pub fn utilization(&self, tier: usize) -> f64 {
        let mut work = 0.0;
        for load in &self.loads {
            let mean = match load.shape {
                Shape::Steady | Shape::Poisson => load.rate,
                Shape::Bursts => load.rate * 0.8 + load.peak * 0.2,
                Shape::Ramp | Shape::Swing => (load.rate + load.peak) / 2.0,
            };
            let (mut product, mut count) = (load.product, 1.0);
            loop {
                let row = &self.products[product];
                if row.tier == tier {
                    work += mean * count * row.work as f64 / 1e6;
                }
                if row.calls == 0 {
                    break;
                }
                (product, count) = (row.calls_product, count * row.calls as f64);
            }
        }
        work / self.capacity(tier)
    }
}
