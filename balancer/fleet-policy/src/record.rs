//! The replicated record of a fleet: policies, units out of service, releases and voters. `step` has the
//! transitions by which it changes.

mod step;

use std::fmt;

use serde::{Deserialize, Serialize};
use whinspindle_consensus::{RegisterValue, Voter};
use whinspindle_rollout::{Direction, Unit, UnitSet};

pub use step::Step;

/// Units that grants may take out of service at once, whatever the limits say, so that the record stays small.
const MAX_UNITS_OUT: usize = 256;
/// The lower bits of a bootstrap id, which are random; those above count the bootstraps.
const RANDOM_BITS: u32 = 48;
/// Longest text of a policy, in bytes.
pub const MAX_TEXT_BYTES: usize = 64 * 1024;

/// The first half of a text's BLAKE3 hash.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Hash(pub [u8; 16]);

impl Hash {
    /// Hashes a text.
    pub fn of(text: &[u8]) -> Hash {
        let mut half = [0; 16];
        half.copy_from_slice(&blake3::hash(text).as_bytes()[..16]);
        Hash(half)
    }
}

impl fmt::Display for Hash {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        self.0.iter().take(6).try_for_each(|byte| write!(to, "{byte:02x}"))
    }
}

impl fmt::Debug for Hash {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "{self}")
    }
}

/// A policy by its number and the hash and length of its text; number 0 stands for no policy: no routes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Policy {
    /// Grows with each proposed policy, from 1.
    pub number: u64,
    /// Of its text.
    pub hash: Hash,
    /// Of its text, in bytes.
    pub length: u32,
}

/// Identifies an operator's request, so that one that is repeated is carried out once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// The member that the operator asked.
    pub member: u16,
    /// A random number.
    pub serial: u64,
}

/// A change of policy under way: every process that is not absent has to prove it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// The proposed policy.
    pub policy: Policy,
    /// The request that proposed it.
    pub request_id: RequestId,
}

/// How a change ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// Its policy came into force.
    InForce,
    /// An operator withdrew it.
    Withdrawn,
    /// This member could not prove it.
    Refused(u16),
    /// It was not proved everywhere in time.
    GivenUp,
}

/// A change that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PastChange {
    /// The change.
    pub change: Change,
    /// How it ended.
    pub outcome: ChangeOutcome,
}

/// A unit that was granted leave to restart and has not returned to service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RestartGrant {
    /// The balancer or server.
    pub unit: Unit,
    /// The request; its serial number is chosen by the supervisor, so that asking again is harmless.
    pub request_id: RequestId,
    /// Of a balancer: the start number of its process at the grant. A process with another one has restarted.
    pub process_start: u64,
    /// The part of a release that it restarts for; none if it restarts for another cause.
    pub release_part: Option<ReleasePart>,
}

/// One unit's part in a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReleasePart {
    /// The number of the release.
    pub release: u64,
    /// The unit's index in the plan.
    pub unit_index: u16,
    /// Whether the unit gets the new build or the old one back.
    pub direction: Direction,
}

/// A release under way; its plan is a text that members fetch in chunks as they do a policy's.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Release {
    /// Grows with each release, from 1.
    pub number: u64,
    /// Of the plan's text.
    pub hash: Hash,
    /// Of the plan's text, in bytes.
    pub length: u32,
    /// The request that began it.
    pub request_id: RequestId,
    /// Whether units get the new build or the old one back.
    pub direction: Direction,
    /// The wave whose units may restart now, from 0.
    pub wave: u16,
    /// Units that run the new build, by their indices in the plan.
    pub changed: UnitSet,
}

/// How a release ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ReleaseOutcome {
    /// All its units run the new build.
    Done,
    /// Units that had changed run the old build again.
    TakenBack,
    /// An operator ended it as it stood.
    Left,
}

/// A release that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PastRelease {
    /// Its number.
    pub number: u64,
    /// Of the plan's text.
    pub hash: Hash,
    /// The request that began it.
    pub request_id: RequestId,
    /// How it ended.
    pub outcome: ReleaseOutcome,
    /// How many units ran the new build at its end.
    pub changed: u16,
}

/// A stop of all grants until an operator resumes them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Halt {
    /// The request: an operator's, or of a member whose release test found the new build worse.
    pub request_id: RequestId,
    /// The cause, for operators.
    pub reason: String,
}

/// What the fleet agrees on: the value of its consensus register.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// The count of bootstraps in the upper bits, and a random number; 0 before the first.
    pub bootstrap_id: u64,
    /// Grows by one with each step.
    pub version: u64,
    /// Grows with each change of the voters.
    pub voter_set_version: u64,
    /// One set of voters, or two while a voter is replaced: then a majority of each is needed.
    pub voter_sets: Vec<Vec<Voter>>,
    /// The policy in force.
    pub policy: Policy,
    /// The change under way.
    pub pending_change: Option<Change>,
    /// The last changes that ended, the newest at the end.
    pub past_changes: Vec<PastChange>,
    /// Units that are out of service by grants.
    pub grants: Vec<RestartGrant>,
    /// The halt of grants that stands.
    pub halt: Option<Halt>,
    /// The release under way.
    pub release: Option<Release>,
    /// The number of the last release.
    pub last_release_number: u64,
    /// The last releases that ended, the newest at the end.
    pub past_releases: Vec<PastRelease>,
    /// The last requests about units, releases and voters that were carried out. Guards against one that is
    /// still on its way, or kept by a voter, when another has undone it: it must not be carried out again.
    pub completed_requests: Vec<RequestId>,
    /// The highest number that a change ever had.
    pub highest_policy_number: u64,
}

impl RegisterValue for Record {
    fn voter_sets(&self) -> &[Vec<Voter>] {
        &self.voter_sets
    }

    fn is_bootstrapped(&self) -> bool {
        self.bootstrap_id != 0
    }
}

impl Record {
    /// The order in which records were agreed: the larger is the later.
    pub fn order(&self) -> (u64, u64) {
        (self.bootstrap_id, self.version)
    }

    /// The record before the bootstrap of these voters.
    pub fn before_bootstrap(mut voters: Vec<Voter>) -> Record {
        voters.sort_unstable();
        Record { voter_sets: vec![voters], ..Record::default() }
    }

    /// How often the fleet was bootstrapped.
    pub fn epoch(&self) -> u64 {
        self.bootstrap_id >> RANDOM_BITS
    }

    /// The id of the next bootstrap; `nonce` has its random bits.
    pub fn next_bootstrap_id(&self, nonce: u64) -> u64 {
        (self.epoch() + 1) << RANDOM_BITS | nonce & ((1 << RANDOM_BITS) - 1)
    }

    /// Whether it is in one of the voter sets.
    pub fn is_voter(&self, voter: Voter) -> bool {
        self.voter_sets.iter().flatten().any(|known| *known == voter)
    }

    /// Whether the record has room for a grant of the unit; the limits are another matter.
    pub fn can_grant(&self, unit: Unit) -> bool {
        self.halt.is_none() && self.grant_of(unit).is_none() && self.grants.len() < MAX_UNITS_OUT
    }

    /// The grant by which a unit is out of service.
    pub fn grant_of(&self, unit: Unit) -> Option<&RestartGrant> {
        self.grants.iter().find(|out| out.unit == unit)
    }

    /// Whether this request has led to a change already.
    pub fn has_applied(&self, request_id: RequestId) -> bool {
        let past = self.past_changes.iter().map(|past| past.change);
        self.completed_requests.contains(&request_id)
            || past.chain(self.pending_change).any(|change| change.request_id == request_id)
    }
}
