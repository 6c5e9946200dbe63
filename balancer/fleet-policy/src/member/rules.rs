//! The protocol rules of a member, one function each, so that the model checker can replace one by a fault and
//! see whether its invariants find it.

use std::collections::BTreeSet;

use whinspindle_consensus::StandardConsensusRules;
use whinspindle_rollout::{NextPhase, Progress, RestartRefusal};

use super::MemberSettings;
use crate::record::{Record, RequestId};

/// The protocol rules of a member, beside those of counting votes; tests replace one by a fault.
pub trait MemberRules: whinspindle_consensus::ConsensusRules {
    /// When a lease expires that was asked for at `asked` and whose grant arrived at `now`.
    fn lease_expiry(asked: u64, _now: u64, settings: &MemberSettings) -> u64 {
        asked + settings.lease_us
    }

    /// Whether a voter may grant leases by the record it knows as agreed, when it has accepted `voted`. Guards
    /// against a voter that was replaced and still runs: it may never learn of its replacement.
    fn may_grant(agreed: &Record, voted: Option<&Record>) -> bool {
        voted.is_none_or(|voted| {
            voted.version <= agreed.version
                || (voted.policy.number == agreed.policy.number
                    && voted.voter_set_version == agreed.voter_set_version)
        })
    }

    /// Whether a grant, by its voter set version and policy number, counts for the record known now.
    fn is_grant_current(granted: (u64, u64), voter_set_version: u64, number: u64) -> bool {
        granted == (voter_set_version, number)
    }

    /// When the next policy may come into force, if the present one was learned of at `learned`.
    fn earliest_activation(learned: u64, settings: &MemberSettings) -> u64 {
        learned + settings.expiry_window_us()
    }

    /// The request id that a grant is recorded under: that of the request, so that it is carried out once.
    fn recorded_request_id(wanted: RequestId, _agreed: &Record) -> RequestId {
        wanted
    }

    /// The balancers that count as out of service without a grant: those that are away.
    fn out_without_grant(away: BTreeSet<u16>) -> BTreeSet<u16> {
        away
    }

    /// Whether the unit at this index of the plan may restart by the release under way.
    fn check_release_order(progress: &Progress, place: usize) -> Result<(), RestartRefusal> {
        progress.check_restart(place)
    }

    /// What follows the present wave, which has been complete and watched for `watched` microseconds.
    fn next_phase(progress: &Progress, watched: u64) -> Option<NextPhase> {
        progress.next_phase(watched)
    }
}

impl MemberRules for StandardConsensusRules {}
