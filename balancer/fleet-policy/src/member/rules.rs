//! The protocol rules of a member, one function each. The model checker replaces one of them by a faulty
//! version to see whether its invariants detect the fault.

use std::collections::BTreeSet;

use whinspindle_consensus::StandardConsensusRules;
use whinspindle_rollout::{NextPhase, Progress, RestartRefusal};

use super::MemberSettings;
use crate::record::{Record, RequestId};

/// The protocol rules of a member, in addition to the rules for counting votes.
pub trait MemberRules: whinspindle_consensus::ConsensusRules {
    /// When a lease expires that was asked for at `asked_at` and whose grant arrived at `now`.
    fn lease_expiry(asked_at: u64, _now: u64, settings: &MemberSettings) -> u64 {
        asked_at + settings.lease_us
    }

    /// Whether a voter may grant leases by the record `agreed`, the latest that it knows to be agreed, when
    /// it has accepted `voted`. Guards against a voter that was replaced and still runs, as it may never
    /// learn of its replacement.
    fn may_grant(agreed: &Record, voted: Option<&Record>) -> bool {
        voted.is_none_or(|voted| {
            voted.version <= agreed.version
                || (voted.policy.number == agreed.policy.number
                    && voted.voter_set_version == agreed.voter_set_version)
        })
    }

    /// Whether a grant, made for a voter set version and policy number, counts for those of the present
    /// record.
    fn is_grant_current(granted: (u64, u64), voter_set_version: u64, policy_number: u64) -> bool {
        granted == (voter_set_version, policy_number)
    }

    /// When the next policy may come into force, if this member learned of the present one at `learned_at`.
    fn earliest_activation(learned_at: u64, settings: &MemberSettings) -> u64 {
        learned_at + settings.expiry_window_us()
    }

    /// The id that a granted request is recorded under: its own, so that it is carried out only once.
    fn recorded_request_id(request_id: RequestId, _agreed: &Record) -> RequestId {
        request_id
    }

    /// The balancers that count as out of service without a grant: all that are absent.
    fn out_without_grant(absent: BTreeSet<u16>) -> BTreeSet<u16> {
        absent
    }

    /// Checks that the waves of the release allow the unit at this index of the plan to restart.
    fn check_release_order(progress: &Progress, unit_index: usize) -> Result<(), RestartRefusal> {
        progress.check_restart(unit_index)
    }

    /// The phase after the present wave, which has been complete and observed for `watched` microseconds.
    fn next_phase(progress: &Progress, watched: u64) -> Option<NextPhase> {
        progress.next_phase(watched)
    }
}

impl MemberRules for StandardConsensusRules {}
