//! The rules by which a member decides, one function each, so that a search can leave one out and see whether
//! its judge finds the fault.

use std::collections::BTreeSet;

use whinspindle_consensus::StandardConsensusRules;
use whinspindle_rollout::{Next, No, Progress};

use super::MemberSettings;
use crate::record::{Record, RequestId};

/// The rules of a member, beside those of counting; the lab plants faults in their place.
pub trait MemberRules: whinspindle_consensus::ConsensusRules {
    /// When a right that was asked for at `asked`, and granted by an answer that came at `now`, runs out.
    fn right_until(asked: u64, _now: u64, settings: &MemberSettings) -> u64 {
        asked + settings.right
    }

    /// Whether a voter may grant rights by what it knows to be agreed, when it has voted for `voted`. Guards
    /// against a voter that makes way for another and lives on: it may never learn of it.
    fn may_grant(agreed: &Record, voted: Option<&Record>) -> bool {
        voted.is_none_or(|voted| {
            voted.version <= agreed.version
                || (voted.policy.number == agreed.policy.number
                    && voted.voter_set_version == agreed.voter_set_version)
        })
    }

    /// Whether a right that was granted before may be used beside the record known now.
    fn is_for(granted: (u64, u64), voter_set_version: u64, number: u64) -> bool {
        granted == (voter_set_version, number)
    }

    /// When the next policy may come into force, if this one was learned then.
    fn next_after(learned: u64, settings: &MemberSettings) -> u64 {
        learned + settings.window()
    }

    /// Under which request a unit is let out: the one that was asked for, so that it is done once.
    fn wish_of(wanted: RequestId, _agreed: &Record) -> RequestId {
        wanted
    }

    /// Which balancers count as out without a grant: those that are away.
    fn out_without(away: BTreeSet<u16>) -> BTreeSet<u16> {
        away
    }

    /// Whether a unit may go by the release under way.
    fn may_go_by(progress: &Progress, place: usize) -> Result<(), No> {
        progress.may_go(place)
    }

    /// What the wave of now leads to, watched for so long since it was complete.
    fn next_of(progress: &Progress, watched: u64) -> Option<Next> {
        progress.next(watched)
    }
}

impl MemberRules for StandardConsensusRules {}
