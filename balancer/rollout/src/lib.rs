//! How many units may be out at once, and whether one more may go. Out is whatever is not in full service:
//! let out by a grant, draining, gone, cold, unheard of. No I/O; `docs/fleet-design.md` has the promises.

#![allow(missing_docs, reason = "not every public item is documented yet")]

mod plan;
mod seen;
mod slow;
mod verdict;

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};

pub use plan::{MOST_UNITS, Next, Places, Plan, Progress, Way};
pub use seen::Seen;
pub use slow::Lines;
pub use verdict::{Count, Evidence, OF_BALANCERS, Row, SIGNS, rows};

/// What may be let out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Unit {
    /// By its number.
    Balancer(u16),
    /// By the key of its id, the same at every balancer.
    Server(u64),
}

/// Where a server stands, as the steward of the moment sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    pub key: u64,
    pub zone: String,
    pub cell: usize,
    /// Listed as ready, and warm.
    pub full: bool,
}

/// What the policy allows; nothing where it sets none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limits {
    pub balancers: Option<usize>,
    pub servers: Option<usize>,
    pub servers_by_zone: Option<usize>,
    pub servers_by_cell: Option<usize>,
    /// Of all servers listed.
    pub servers_part: Option<f64>,
}

/// What is known when one more is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Scene<'a> {
    pub limits: &'a Limits,
    /// Those let out and not back.
    pub granted: &'a [Unit],
    /// Balancers that are not in full service, and how many there are.
    pub away: &'a BTreeSet<u16>,
    pub balancers: usize,
    pub servers: &'a [Place],
}

/// Why a unit may not go now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum No {
    /// The policy sets no limit for its kind, so that nobody has said how many may go.
    NoLimit,
    Unknown,
    /// By a release: its wave has not come, or the unit is changed already, or there is nothing to take back.
    Later {
        wave: usize,
    },
    Changed,
    Unchanged,
    /// The plan of the release under way is not known here yet.
    NoPlan,
    /// That release is not under way, or does not name the unit.
    NoRelease,
    NotInPlan,
    /// So many are out of so many, where no more may.
    Full {
        what: &'static str,
        out: usize,
        most: usize,
    },
}

impl fmt::Display for No {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self {
            No::NoLimit => write!(to, "the policy in force sets no limit for this kind of unit"),
            No::Unknown => write!(to, "no such unit is known"),
            No::Later { wave } => {
                write!(to, "the release is at wave {}, to which it does not belong", wave + 1)
            }
            No::Changed => write!(to, "the release has changed it already"),
            No::Unchanged => write!(to, "the release has not changed it, or has taken it back already"),
            No::NoPlan => write!(to, "the plan of the release under way is not known here yet"),
            No::NoRelease => write!(to, "that release is not under way"),
            No::NotInPlan => write!(to, "the release does not name it"),
            No::Full { what, out, most } => write!(to, "{out} {what} are out, {most} may be"),
        }
    }
}

impl Scene<'_> {
    /// Whether the unit may go; one that is out of itself already adds nothing by it.
    pub fn may_go(&self, unit: Unit) -> Result<(), No> {
        match unit {
            Unit::Balancer(number) => self.balancer(number),
            Unit::Server(key) => self.server(key),
        }
    }

    fn balancer(&self, number: u16) -> Result<(), No> {
        let most = self.limits.balancers.ok_or(No::NoLimit)?;
        if number as usize >= self.balancers {
            return Err(No::Unknown);
        }
        let mut out = self.away.clone();
        out.extend(self.granted.iter().filter_map(|unit| match unit {
            Unit::Balancer(number) => Some(*number),
            Unit::Server(_) => None,
        }));
        out.remove(&number);
        within("balancers", out.len(), Some(most))
    }

    fn server(&self, key: u64) -> Result<(), No> {
        let Limits { servers, servers_by_zone, servers_by_cell, servers_part, .. } = *self.limits;
        if servers.is_none() && servers_part.is_none() {
            return Err(No::NoLimit);
        }
        let place = self.servers.iter().find(|place| place.key == key).ok_or(No::Unknown)?;
        let is_out = |other: &&Place| !other.full || self.granted.contains(&Unit::Server(other.key));
        let out = || self.servers.iter().filter(|other| other.key != key).filter(is_out);
        // One that was let out and is no longer listed is out all the same.
        let gone = self.granted.iter().filter(|unit| match unit {
            Unit::Server(granted) => {
                *granted != key && !self.servers.iter().any(|known| known.key == *granted)
            }
            Unit::Balancer(_) => false,
        });
        let all = out().count() + gone.count();
        let part = servers_part.map(|part| (part * self.servers.len() as f64) as usize);
        within("servers", all, servers)?;
        within("servers, by their part,", all, part)?;
        within(
            "servers of its zone",
            out().filter(|other| other.zone == place.zone).count(),
            servers_by_zone,
        )?;
        within("servers of its pod", out().filter(|other| other.cell == place.cell).count(), servers_by_cell)
    }
}

fn within(what: &'static str, out: usize, most: Option<usize>) -> Result<(), No> {
    match most {
        Some(most) if out >= most => Err(No::Full { what, out, most }),
        _ => Ok(()),
    }
}
