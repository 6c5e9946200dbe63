//! Faults planted in the place of the laws.

use whinspindle_agreement::Agreed;
use whinspindle_replica::{AgreementLaws, AsPublished, Laws, ReplicaSettings, Voter};

/// A member acknowledges, passes on and commits what its disk does not have yet.
#[derive(Clone, Debug)]
pub struct Hasty;
impl Laws for Hasty {
    type Agreement = AsPublished;

    fn settled(_durable: u64, last: u64) -> u64 {
        last
    }
}

/// The head answers reads itself.
#[derive(Clone, Debug)]
pub struct Lonely;
impl Laws for Lonely {
    type Agreement = AsPublished;

    fn head_answers_reads() -> bool {
        true
    }
}

/// A founding member whose disk was lost takes the identity that it had.
#[derive(Clone, Debug)]
pub struct Forgetful;
impl Laws for Forgetful {
    type Agreement = AsPublished;

    fn birth(settings: &ReplicaSettings) -> u64 {
        if settings.seeds.contains(&settings.endpoint) { 0 } else { settings.birth }
    }
}

/// The tail answers reads that are submitted to it itself.
#[derive(Clone, Debug)]
pub struct Stale;
impl Laws for Stale {
    type Agreement = AsPublished;

    fn tail_answers_reads() -> bool {
        true
    }
}

/// A command that was sent again is carried out again.
#[derive(Clone, Debug)]
pub struct Gullible;
impl Laws for Gullible {
    type Agreement = AsPublished;

    fn is_repeat(_known: bool) -> bool {
        false
    }
}

/// The tickets of a process are taken for those of the process before it.
#[derive(Clone, Debug)]
pub struct Timeless;
impl Laws for Timeless {
    type Agreement = AsPublished;

    fn start(_settings: &ReplicaSettings) -> u64 {
        0
    }
}

/// A member that joins the chain counts as complete before it has all.
#[derive(Clone, Debug)]
pub struct Premature;
impl Laws for Premature {
    type Agreement = AsPublished;

    fn complete(recorded: u64, since: u64) -> u64 {
        recorded.max(since)
    }
}

/// A replica answers for the voter that had its endpoint before its disk was lost.
#[derive(Clone, Debug)]
pub struct Reborn;
impl Laws for Reborn {
    type Agreement = AsPublished;

    fn is_same_birth(_meant: u64, _own: u64) -> bool {
        true
    }
}

/// Records are transferred without the outcomes of the commands that made them.
#[derive(Clone, Debug)]
pub struct Oblivious;
impl Laws for Oblivious {
    type Agreement = AsPublished;

    fn transfers_outcomes() -> bool {
        false
    }
}

/// Contact with a peer counts from the arrival of an answer, not from the sending of what it answers.
#[derive(Clone, Debug)]
pub struct Credulous;
impl Laws for Credulous {
    type Agreement = AsPublished;

    fn contact(_sent_at: u64, arrived_at: u64) -> u64 {
        arrived_at
    }
}

/// A promise is given before it is on the disk, and gone after a restart.
#[derive(Clone, Debug)]
pub struct Volatile;
impl Laws for Volatile {
    type Agreement = AsPublished;

    fn records_promises() -> bool {
        false
    }
}

/// Voters are replaced in one step, by the votes of the new ones alone.
#[derive(Clone, Debug)]
pub struct Disjoint;
impl Laws for Disjoint {
    type Agreement = NewVotersAlone;

    fn replaces_voters_jointly() -> bool {
        false
    }
}

/// Only the voters that are written have to accept, not those that were found.
#[derive(Clone, Debug)]
pub struct NewVotersAlone;
impl AgreementLaws for NewVotersAlone {
    fn boards_to_write<V: Agreed>(_found: &V, written: &V) -> Vec<Vec<Voter>> {
        written.boards().to_vec()
    }
}

/// A member of a former chain leads though it has not all that was committed.
#[derive(Clone, Debug)]
pub struct Trusting;
impl Laws for Trusting {
    type Agreement = AsPublished;

    fn asks_for_complete_leaders() -> bool {
        false
    }
}

/// A member that is left out of the chain drops the entries that it does not know to be committed.
#[derive(Clone, Debug)]
pub struct Dropping;
impl Laws for Dropping {
    type Agreement = AsPublished;

    fn keeps_entries() -> bool {
        false
    }
}
