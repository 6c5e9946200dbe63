//! Rollouts of a new build in waves: how many units (balancers and servers) may be out of service at once, in what
//! order they restart, and whether the new build does worse than the old one.
//!
//! A unit is out while it is not in full service: granted leave, draining, deregistered, warming up, or not
//! received from. `RestartCheck` applies the limits of the policy, `Progress` the waves of a `Plan`, and `BuildTest`
//! the sequential test by which a release is halted. No I/O; `docs/fleet-design.md` has the guarantees.
//!
//! ```
//! use std::collections::BTreeSet;
//! use whinspindle_rollout::{Limits, RestartCheck, Unit};
//!
//! let limits = Limits { balancers: Some(1), ..Limits::default() };
//! let absent = BTreeSet::from([2]);
//! let check = RestartCheck { limits: &limits, granted: &[], absent: &absent, balancer_count: 3, servers: &[] };
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
    /// By its number.
    Balancer(u16),
    /// By the key of its id, the same at every balancer.
    Server(u64),
}

/// A server in the endpoint list of the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerStatus {
    /// The key of its id: see `Unit::Server`.
    pub key: u64,
    /// The name of its zone.
    pub zone: String,
    /// The number of its pod.
    pub pod: usize,
    /// Whether it is listed as ready, and warm.
    pub is_in_service: bool,
}

/// How many units the policy allows out of service at once; none where it sets no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limits {
    /// Balancers.
    pub balancers: Option<usize>,
    /// Servers in all.
    pub servers: Option<usize>,
    /// Servers of one zone.
    pub servers_per_zone: Option<usize>,
    /// Servers of one pod.
    pub servers_per_pod: Option<usize>,
    /// Servers as a part (0 to 1) of all that are listed.
    pub servers_fraction: Option<f64>,
}

/// What is known when a unit asks for leave.
#[derive(Clone, Copy, Debug)]
pub struct RestartCheck<'a> {
    /// The limits of the policy in force.
    pub limits: &'a Limits,
    /// Units that were granted leave and have not returned.
    pub granted: &'a [Unit],
    /// The numbers of balancers that are not in full service.
    pub absent: &'a BTreeSet<u16>,
    /// How many balancers there are.
    pub balancer_count: usize,
    /// The servers listed.
    pub servers: &'a [ServerStatus],
}

/// Why a unit may not leave service now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RestartRefusal {
    /// The policy sets no limit for this kind of unit: without one none may leave.
    NoLimit,
    /// No such unit is known.
    UnknownUnit,
    /// The unit belongs to a wave of the release that has not begun.
    WaveNotBegun {
        /// The present wave, from 0.
        wave: usize,
    },
    /// The unit has the release's build already.
    AlreadyChanged,
    /// In a rollback: the unit has the old build.
    NotChanged,
    /// The plan of the release under way is not known here yet.
    PlanUnknown,
    /// That release is not under way.
    ReleaseNotUnderWay,
    /// The plan of the release does not name the unit.
    NotInPlan,
    /// A limit is reached.
    LimitReached {
        /// The units that the limit counts, for operators.
        units: &'static str,
        /// How many are out.
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
                write!(to, "the release is at wave {}, to which it does not belong", wave + 1)
            }
            RestartRefusal::AlreadyChanged => write!(to, "the release has changed it already"),
            RestartRefusal::NotChanged => {
                write!(to, "the release has not changed it, or has taken it back already")
            }
            RestartRefusal::PlanUnknown => {
                write!(to, "the plan of the release under way is not known here yet")
            }
            RestartRefusal::ReleaseNotUnderWay => write!(to, "that release is not under way"),
            RestartRefusal::NotInPlan => write!(to, "the release does not name it"),
            RestartRefusal::LimitReached { units: what, out, limit: most } => {
                write!(to, "{out} {what} are out, {most} may be")
            }
        }
    }
}

impl RestartCheck<'_> {
    /// Whether the unit may leave service. It doesn't count itself, in case it is out already.
    pub fn check(&self, unit: Unit) -> Result<(), RestartRefusal> {
        match unit {
            Unit::Balancer(number) => self.balancer(number),
            Unit::Server(key) => self.server(key),
        }
    }

    fn balancer(&self, number: u16) -> Result<(), RestartRefusal> {
        let most = self.limits.balancers.ok_or(RestartRefusal::NoLimit)?;
        if number as usize >= self.balancer_count {
            return Err(RestartRefusal::UnknownUnit);
        }
        let mut out = self.absent.clone();
        out.extend(self.granted.iter().filter_map(|unit| match unit {
            Unit::Balancer(number) => Some(*number),
            Unit::Server(_) => None,
        }));
        out.remove(&number);
        check_limit("balancers", out.len(), Some(most))
    }

    fn server(&self, key: u64) -> Result<(), RestartRefusal> {
        let Limits {
            servers,
            servers_per_zone: servers_by_zone,
            servers_per_pod: servers_by_cell,
            servers_fraction: servers_part,
            ..
        } = *self.limits;
        if servers.is_none() && servers_part.is_none() {
            return Err(RestartRefusal::NoLimit);
        }
        let server =
            self.servers.iter().find(|server| server.key == key).ok_or(RestartRefusal::UnknownUnit)?;
        let is_out =
            |other: &&ServerStatus| !other.is_in_service || self.granted.contains(&Unit::Server(other.key));
        let out = || self.servers.iter().filter(|other| other.key != key).filter(is_out);
        // A server that was granted leave and is no longer listed is out all the same.
        let unlisted = self.granted.iter().filter(|unit| match unit {
            Unit::Server(granted) => {
                *granted != key && !self.servers.iter().any(|known| known.key == *granted)
            }
            Unit::Balancer(_) => false,
        });
        let all = out().count() + unlisted.count();
        let part = servers_part.map(|part| (part * self.servers.len() as f64) as usize);
        check_limit("servers", all, servers)?;
        check_limit("servers, by their part,", all, part)?;
        check_limit(
            "servers of its zone",
            out().filter(|other| other.zone == server.zone).count(),
            servers_by_zone,
        )?;
        check_limit(
            "servers of its pod",
            out().filter(|other| other.pod == server.pod).count(),
            servers_by_cell,
        )
    }
}

fn check_limit(what: &'static str, out: usize, most: Option<usize>) -> Result<(), RestartRefusal> {
    match most {
        Some(most) if out >= most => Err(RestartRefusal::LimitReached { units: what, out, limit: most }),
        _ => Ok(()),
    }
}
