//! Rollouts of a new build in waves: how many units (balancers and servers) may be out of service at once, in
//! what order they restart, and whether the new build does worse than the old one.
//!
//! A unit is out of service while it is granted a restart, draining, deregistered, warming up, or silent.
//! `RestartCheck` applies the limits of the policy, `Progress` the waves of a `Plan`, and `BuildTest` the
//! sequential test by which a release is halted. The crate does no I/O; `docs/fleet-design.md` has the
//! guarantees.
//!
//! ```
//! use std::collections::BTreeSet;
//! use whinspindle_rollout::{Limits, RestartCheck, Unit};
//!
//! let limits = Limits { balancers: Some(1), ..Limits::default() };
//! let absent = BTreeSet::from([2]);
//! let check =
//!     RestartCheck { limits: &limits, granted: &[], absent: &absent, balancer_count: 3, servers: &[] };
//! assert!(check.check(Unit::Balancer(2)).is_ok());
//! assert!(check.check(Unit::Balancer(0)).is_err());
//! ```

mod observed_outcomes;
mod plan;
mod slow;
mod verdict;

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};

pub use observed_outcomes::ObservedOutcomes;
pub use plan::{Direction, MAX_UNITS, NextPhase, Plan, Progress, UnitSet};
pub use slow::SlowThresholds;
pub use verdict::{BALANCER_STRATUM, BuildTest, ObservationRow, OutcomeCounts, SYMPTOMS, observation_rows};

/// A process that a rollout restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Unit {
    /// A balancer, by its number.
    Balancer(u16),
    /// A server, by the key of its id, which is the same at every balancer.
    Server(u64),
}

/// A server in the endpoint list of the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerStatus {
    /// The key of the server's id: see `Unit::Server`.
    pub key: u64,
    /// The name of the server's zone.
    pub zone: String,
    /// The number of the server's pod.
    pub pod: usize,
    /// Whether the server is listed as ready and has warmed up.
    pub is_in_service: bool,
}

/// The maximum numbers of units that the policy allows out of service at the same time. `None` stands for no
/// limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limits {
    /// The limit on balancers.
    pub balancers: Option<usize>,
    /// The limit on servers in all.
    pub servers: Option<usize>,
    /// The limit on servers of one zone.
    pub servers_per_zone: Option<usize>,
    /// The limit on servers of one pod.
    pub servers_per_pod: Option<usize>,
    /// The limit on servers as a fraction (0 to 1) of all listed servers.
    pub servers_fraction: Option<f64>,
}

/// The state of the fleet in which a unit's restart is checked.
#[derive(Clone, Copy, Debug)]
pub struct RestartCheck<'a> {
    /// The limits of the policy in force.
    pub limits: &'a Limits,
    /// Units that were granted a restart and have not returned.
    pub granted: &'a [Unit],
    /// The numbers of the balancers that are absent (silent or not serving), with or without a grant.
    pub absent: &'a BTreeSet<u16>,
    /// The number of balancers.
    pub balancer_count: usize,
    /// The listed servers.
    pub servers: &'a [ServerStatus],
}

/// Why a unit may not leave service now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RestartRefusal {
    /// The policy sets no limit for this kind of unit. Without a limit, no unit may leave service.
    NoLimit,
    /// The unit is unknown.
    UnknownUnit,
    /// The unit belongs to a wave of the release that has not begun.
    WaveNotBegun {
        /// The present wave, from 0.
        wave: usize,
    },
    /// The unit has the release's build already.
    AlreadyChanged,
    /// The release rolls back, and the unit has the old build.
    NotChanged,
    /// This member does not know the plan of the release under way yet.
    PlanUnknown,
    /// The release that the unit should restart for is not under way.
    ReleaseNotUnderWay,
    /// The unit is not in the plan of the release.
    NotInPlan,
    /// A limit is reached.
    LimitReached {
        /// The units that the limit counts, for operators.
        units: &'static str,
        /// How many of them are out of service.
        out: usize,
        /// The limit.
        limit: usize,
    },
}

impl fmt::Display for RestartRefusal {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RestartRefusal::NoLimit => write!(to, "the policy in force sets no limit for this kind of unit"),
            RestartRefusal::UnknownUnit => write!(to, "no such unit is known"),
            RestartRefusal::WaveNotBegun { wave } => {
                write!(to, "the release is at wave {}, to which the unit does not belong", wave + 1)
            }
            RestartRefusal::AlreadyChanged => write!(to, "the release has changed the unit already"),
            RestartRefusal::NotChanged => {
                write!(to, "the release has not changed the unit, or has rolled it back already")
            }
            RestartRefusal::PlanUnknown => {
                write!(to, "the plan of the release under way is not known here yet")
            }
            RestartRefusal::ReleaseNotUnderWay => write!(to, "that release is not under way"),
            RestartRefusal::NotInPlan => write!(to, "the unit is not in the plan of the release"),
            RestartRefusal::LimitReached { units, out, limit } => {
                write!(to, "{out} {units} are out of service, at most {limit} may be")
            }
        }
    }
}

impl RestartCheck<'_> {
    /// Checks whether the unit may leave service. The unit itself is not counted, since it may be out of
    /// service already.
    pub fn check(&self, unit: Unit) -> Result<(), RestartRefusal> {
        match unit {
            Unit::Balancer(number) => self.check_balancer(number),
            Unit::Server(key) => self.check_server(key),
        }
    }

    fn check_balancer(&self, number: u16) -> Result<(), RestartRefusal> {
        let limit = self.limits.balancers.ok_or(RestartRefusal::NoLimit)?;
        if number as usize >= self.balancer_count {
            return Err(RestartRefusal::UnknownUnit);
        }
        let mut out = self.absent.clone();
        out.extend(self.granted.iter().filter_map(|unit| match unit {
            Unit::Balancer(number) => Some(*number),
            Unit::Server(_) => None,
        }));
        out.remove(&number);
        check_limit("balancers", out.len(), Some(limit))
    }

    fn check_server(&self, key: u64) -> Result<(), RestartRefusal> {
        let Limits { servers, servers_per_zone, servers_per_pod, servers_fraction, .. } = *self.limits;
        if servers.is_none() && servers_fraction.is_none() {
            return Err(RestartRefusal::NoLimit);
        }
        let server =
            self.servers.iter().find(|server| server.key == key).ok_or(RestartRefusal::UnknownUnit)?;
        let is_out_of_service =
            |other: &&ServerStatus| !other.is_in_service || self.granted.contains(&Unit::Server(other.key));
        let out = || self.servers.iter().filter(|other| other.key != key).filter(is_out_of_service);
        // A server that was granted a restart and is no longer listed is out of service too.
        let unlisted_grants = self.granted.iter().filter(|unit| match unit {
            Unit::Server(granted) => {
                *granted != key && !self.servers.iter().any(|known| known.key == *granted)
            }
            Unit::Balancer(_) => false,
        });
        let all = out().count() + unlisted_grants.count();
        let limit_by_fraction =
            servers_fraction.map(|fraction| (fraction * self.servers.len() as f64) as usize);
        check_limit("servers", all, servers)?;
        check_limit("servers, by their fraction,", all, limit_by_fraction)?;
        check_limit(
            "servers of its zone",
            out().filter(|other| other.zone == server.zone).count(),
            servers_per_zone,
        )?;
        check_limit(
            "servers of its pod",
            out().filter(|other| other.pod == server.pod).count(),
            servers_per_pod,
        )
    }
}

fn check_limit(units: &'static str, out: usize, limit: Option<usize>) -> Result<(), RestartRefusal> {
    match limit {
        Some(limit) if out >= limit => Err(RestartRefusal::LimitReached { units, out, limit }),
        _ => Ok(()),
    }
}
