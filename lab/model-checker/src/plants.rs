//! Faults planted in the rules of the core: each is one rule left out, and each must be found.

use std::collections::BTreeSet;

use whinspindle_consensus::{Ballot, ConsensusRules as Counting, RegisterValue, Voter};
use whinspindle_fleet_policy::{MemberRules, MemberSettings, Record, RequestId, RestartRefusal};
use whinspindle_rollout::{NextPhase, Progress};

macro_rules! plant {
    ($(#[$what:meta])* $name:ident, counting { $($counting:item)* }, member { $($member:item)* }) => {
        $(#[$what])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub struct $name;
        impl Counting for $name { $($counting)* }
        impl MemberRules for $name { $($member)* }
    };
}

plant! {
    /// Half of the voters pass for a majority.
    HalfIsEnough, counting {
        fn is_majority(votes: usize, of: usize) -> bool {
            2 * votes + 1 >= of
        }
    }, member {}
}
plant! {
    /// A voter votes for a ballot older than the one that it has promised.
    PromiseBroken, counting {
        fn may_vote(_: Ballot, _: Ballot) -> bool {
            true
        }
    }, member {}
}
plant! {
    /// A round starts from the oldest that voters have accepted.
    OldestAdopted, counting {
        fn newest_accepted<'a, V>(accepted: impl Iterator<Item = &'a (Ballot, V)>) -> Option<&'a V> {
            accepted.min_by_key(|(ballot, _)| *ballot).map(|(_, value)| value)
        }
    }, member {}
}
plant! {
    /// A round takes no heed of what voters have accepted.
    NothingAdopted, counting {
        fn newest_accepted<'a, V>(_: impl Iterator<Item = &'a (Ballot, V)>) -> Option<&'a V> {
            None
        }
    }, member {}
}
plant! {
    /// Voters are replaced by a majority of the new voter set alone.
    NewBoardAlone, counting {
        fn voter_sets_to_write<V: RegisterValue>(_: &V, written: &V) -> Vec<Vec<Voter>> {
            written.voter_sets().last().cloned().into_iter().collect()
        }
    }, member {}
}
plant! {
    /// A right counts from when its grant came, not from when it was asked for.
    RightFromItsComing, counting {}, member {
        fn lease_expiry(_: u64, now: u64, terms: &MemberSettings) -> u64 {
            now + terms.lease_us
        }
    }
}
plant! {
    /// A right is held for twice its time.
    RightHeldTooLong, counting {}, member {
        fn lease_expiry(asked: u64, _: u64, terms: &MemberSettings) -> u64 {
            asked + 2 * terms.lease_us
        }
    }
}
plant! {
    /// A right that was granted for one number is used for another.
    AnyRightWillDo, counting {}, member {
        fn is_grant_current(_: (u64, u64), _: u64, _: u64) -> bool {
            true
        }
    }
}
plant! {
    /// The next policy comes into force while rights to the one before the last may still be held.
    NoWindow, counting {}, member {
        fn earliest_activation(learned: u64, _: &MemberSettings) -> u64 {
            learned
        }
    }
}
plant! {
    /// A request that was done is not known again.
    WishesForgotten, counting {}, member {
        fn recorded_request_id(wanted: RequestId, agreed: &Record) -> RequestId {
            RequestId { serial: wanted.serial + 100_000 * agreed.version, ..wanted }
        }
    }
}
plant! {
    /// Only balancers that were let out count as out.
    AwayNotCounted, counting {}, member {
        fn out_without_grant(_: BTreeSet<u16>) -> BTreeSet<u16> {
            BTreeSet::new()
        }
    }
}
plant! {
    /// A unit goes by a release that has changed it, or has not come to it.
    AnyUnitMayGo, counting {}, member {
        fn check_release_order(_: &Progress, _: usize) -> Result<(), RestartRefusal> {
            Ok(())
        }
    }
}
plant! {
    /// The next wave begins as soon as the last unit is back.
    WaveUnwatched, counting {}, member {
        fn next_phase(progress: &Progress, _: u64) -> Option<NextPhase> {
            progress.next_phase(u64::MAX)
        }
    }
}
