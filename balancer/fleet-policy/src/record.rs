//! The replicated record of a fleet: its policies, units out of service, releases and voters. The module
//! `step` implements the transitions of the record.

mod step;

use std::fmt;

use serde::{Deserialize, Serialize};
use whinspindle_consensus::{RegisterValue, Voter};
use whinspindle_rollout::{Direction, Unit, UnitSet};

pub use step::Step;

/// The maximum number of units with a grant at the same time. It applies in addition to the limits of the
/// policy, and keeps the record small.
const MAX_GRANTS: usize = 256;
/// The number of random lower bits of a bootstrap id. The bits above count the bootstraps.
const RANDOM_BITS: u32 = 48;
/// The maximum length of the text of a policy or plan, in bytes.
pub const MAX_TEXT_BYTES: usize = 64 * 1024;

/// The first half of a text's BLAKE3 hash.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Hash(pub [u8; 16]);

impl Hash {
    /// Hashes a text.
    pub fn of(text: &[u8]) -> Hash {
        let mut first_half = [0; 16];
        first_half.copy_from_slice(&blake3::hash(text).as_bytes()[..16]);
        Hash(first_half)
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

/// A policy, identified by its number and by the hash and length of its text. Number 0 stands for no policy,
/// which has no routes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Policy {
    /// The number, which grows with each proposed policy, from 1.
    pub number: u64,
    /// The hash of the text.
    pub hash: Hash,
    /// The length of the text in bytes.
    pub length: u32,
}

/// Identifies an operator's request, so that a repeated request is carried out once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// The member that the operator asked.
    pub member: u16,
    /// A random number.
    pub serial: u64,
}

/// A change of policy under way. Every process that is not absent has to prove the proposed policy before it
/// comes into force.
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
    /// The proposed policy came into force.
    InForce,
    /// An operator withdrew the change.
    Withdrawn,
    /// The member with this number could not prove the policy.
    Refused(u16),
    /// The proposed policy did not come into force before the time-out of the change.
    GivenUp,
}

/// A change that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PastChange {
    /// The change.
    pub change: Change,
    /// How the change ended.
    pub outcome: ChangeOutcome,
}

/// The grant of a restart to a unit that has not returned to service yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RestartGrant {
    /// The balancer or server.
    pub unit: Unit,
    /// The request. The supervisor chooses its serial number, so that repeating the request is harmless.
    pub request_id: RequestId,
    /// The start number of a balancer's process at the time of the grant. A different number later shows that
    /// the process has restarted. 0 for a server.
    pub process_start: u64,
    /// The unit's part in the release that it restarts for; `None` for a restart outside a release.
    pub release_part: Option<ReleasePart>,
}

/// One unit's part in a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReleasePart {
    /// The number of the release.
    pub release: u64,
    /// The unit's index in the plan.
    pub unit_index: u16,
    /// Whether the unit gets the new build or returns to the old one.
    pub direction: Direction,
}

/// A release under way. Members fetch the text of its plan in chunks, like that of a policy.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Release {
    /// The number, which grows with each release, from 1.
    pub number: u64,
    /// The hash of the plan's text.
    pub hash: Hash,
    /// The length of the plan's text in bytes.
    pub length: u32,
    /// The request that began the release.
    pub request_id: RequestId,
    /// Whether units get the new build or return to the old one.
    pub direction: Direction,
    /// The wave whose units may restart now, from 0.
    pub wave: u16,
    /// The units that run the new build, by their indices in the plan.
    pub changed: UnitSet,
}

/// How a release ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ReleaseOutcome {
    /// All units run the new build.
    Done,
    /// The units that had changed run the old build again.
    TakenBack,
    /// An operator ended the release as it stood.
    Left,
}

/// A release that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PastRelease {
    /// The number of the release.
    pub number: u64,
    /// The hash of the plan's text.
    pub hash: Hash,
    /// The request that began the release.
    pub request_id: RequestId,
    /// How the release ended.
    pub outcome: ReleaseOutcome,
    /// The number of units that ran the new build at the end.
    pub changed: u16,
}

/// A stop of all grants until an operator resumes them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Halt {
    /// The request of an operator, or of a member whose release test found the new build worse.
    pub request_id: RequestId,
    /// The cause, for operators.
    pub reason: String,
}

/// The value of the fleet's consensus register, on which all members agree.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// The id of the last bootstrap: the count of bootstraps in the upper bits, and a random number. 0 before
    /// the first bootstrap.
    pub bootstrap_id: u64,
    /// The version, which grows by one with each step.
    pub version: u64,
    /// The version of the voter sets, which grows with each change of the voters.
    pub voter_set_version: u64,
    /// The set of voters, or the old and the new set while a voter is replaced. An agreement needs a majority
    /// of each set.
    pub voter_sets: Vec<Vec<Voter>>,
    /// The policy in force.
    pub policy: Policy,
    /// The change under way.
    pub pending_change: Option<Change>,
    /// The last changes that ended, the newest at the end.
    pub past_changes: Vec<PastChange>,
    /// The grants of units that are out of service.
    pub grants: Vec<RestartGrant>,
    /// The halt in effect, during which no restart is granted.
    pub halt: Option<Halt>,
    /// The release under way.
    pub release: Option<Release>,
    /// The number of the last release.
    pub last_release_number: u64,
    /// The last releases that ended, the newest at the end.
    pub past_releases: Vec<PastRelease>,
    /// The last requests about units, releases and voters that were carried out. A copy of such a request may
    /// still be in flight or kept by a voter. The list prevents that it is carried out again after another
    /// request has undone it.
    pub completed_requests: Vec<RequestId>,
    /// The highest number of any policy proposed so far.
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
    /// The sort key of the record. A record that was agreed later has a larger key.
    pub fn order(&self) -> (u64, u64) {
        (self.bootstrap_id, self.version)
    }

    /// The record before a bootstrap with these voters.
    pub fn before_bootstrap(mut voters: Vec<Voter>) -> Record {
        voters.sort_unstable();
        Record { voter_sets: vec![voters], ..Record::default() }
    }

    /// The number of bootstraps of the fleet.
    pub fn epoch(&self) -> u64 {
        self.bootstrap_id >> RANDOM_BITS
    }

    /// The id of the next bootstrap. Its random bits are taken from `nonce`.
    pub fn next_bootstrap_id(&self, nonce: u64) -> u64 {
        (self.epoch() + 1) << RANDOM_BITS | nonce & ((1 << RANDOM_BITS) - 1)
    }

    /// Whether the voter is in one of the voter sets.
    pub fn is_voter(&self, voter: Voter) -> bool {
        self.voter_sets.iter().flatten().any(|known| *known == voter)
    }

    /// Whether the record allows a grant for the unit. The limits of the policy are checked elsewhere.
    pub fn can_grant(&self, unit: Unit) -> bool {
        self.halt.is_none() && self.grant_of(unit).is_none() && self.grants.len() < MAX_GRANTS
    }

    /// The grant of a unit, or `None` if the unit has no grant.
    pub fn grant_of(&self, unit: Unit) -> Option<&RestartGrant> {
        self.grants.iter().find(|grant| grant.unit == unit)
    }

    /// Whether this request has changed the record already.
    pub fn has_applied(&self, request_id: RequestId) -> bool {
        let changes = self.past_changes.iter().map(|past| past.change);
        self.completed_requests.contains(&request_id)
            || changes.chain(self.pending_change).any(|change| change.request_id == request_id)
    }
}
