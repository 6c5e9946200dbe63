//! Faults planted in the place of the laws.

use whinspindle_consensus::Agreed;
use whinspindle_replica::{AgreementLaws, AsPublished, Laws, ReplicaSettings, Voter};

/// A member acknowledges, passes on and commits what its disk does not have yet.
#[derive(Clone, Debug)]
pub struct AcknowledgesTooEarly;
impl Laws for AcknowledgesTooEarly {
    type Agreement = AsPublished;

    fn settled(_durable: u64, last: u64) -> u64 {
        last
    }
}

/// The head answers reads itself.
#[derive(Clone, Debug)]
pub struct HeadAnswersReads;
impl Laws for HeadAnswersReads {
    type Agreement = AsPublished;

    fn head_answers_reads() -> bool {
        true
    }
}

/// A founding member whose disk was lost takes the identity that it had.
#[derive(Clone, Debug)]
pub struct KeepsIdentityWithoutDisk;
impl Laws for KeepsIdentityWithoutDisk {
    type Agreement = AsPublished;

    fn birth(settings: &ReplicaSettings) -> u64 {
        if settings.seeds.contains(&settings.endpoint) { 0 } else { settings.birth }
    }
}

/// The tail answers reads that are submitted to it itself.
#[derive(Clone, Debug)]
pub struct TailAnswersReads;
impl Laws for TailAnswersReads {
    type Agreement = AsPublished;

    fn tail_answers_reads() -> bool {
        true
    }
}

/// A command that was sent again is carried out again.
#[derive(Clone, Debug)]
pub struct RepeatsCommands;
impl Laws for RepeatsCommands {
    type Agreement = AsPublished;

    fn is_repeat(_known: bool) -> bool {
        false
    }
}

/// The tickets of a process are taken for those of the process before it.
#[derive(Clone, Debug)]
pub struct ReusesTickets;
impl Laws for ReusesTickets {
    type Agreement = AsPublished;

    fn start(_settings: &ReplicaSettings) -> u64 {
        0
    }
}

/// A member that joins the chain counts as complete before it has all.
#[derive(Clone, Debug)]
pub struct CompletesTooEarly;
impl Laws for CompletesTooEarly {
    type Agreement = AsPublished;

    fn complete(recorded: u64, since: u64) -> u64 {
        recorded.max(since)
    }
}

/// A replica answers for the voter that had its endpoint before its disk was lost.
#[derive(Clone, Debug)]
pub struct AnswersForOldBirth;
impl Laws for AnswersForOldBirth {
    type Agreement = AsPublished;

    fn is_same_birth(_meant: u64, _own: u64) -> bool {
        true
    }
}

/// Records are transferred without the outcomes of the commands that made them.
#[derive(Clone, Debug)]
pub struct TransfersNoOutcomes;
impl Laws for TransfersNoOutcomes {
    type Agreement = AsPublished;

    fn transfers_outcomes() -> bool {
        false
    }
}

/// Contact with a peer counts from the arrival of an answer, not from the sending of what it answers.
#[derive(Clone, Debug)]
pub struct CountsContactFromArrival;
impl Laws for CountsContactFromArrival {
    type Agreement = AsPublished;

    fn contact(_sent_at: u64, arrived_at: u64) -> u64 {
        arrived_at
    }
}

/// A promise is given before it is on the disk, and gone after a restart.
#[derive(Clone, Debug)]
pub struct ForgetsPromises;
impl Laws for ForgetsPromises {
    type Agreement = AsPublished;

    fn records_promises() -> bool {
        false
    }
}

/// Voters are replaced in one step, by the votes of the new ones alone.
#[derive(Clone, Debug)]
pub struct ReplacesVotersAtOnce;
impl Laws for ReplacesVotersAtOnce {
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
pub struct TakesIncompleteLeaders;
impl Laws for TakesIncompleteLeaders {
    type Agreement = AsPublished;

    fn asks_for_complete_leaders() -> bool {
        false
    }
}

/// A member that is left out of the chain drops the entries that it does not know to be committed.
#[derive(Clone, Debug)]
pub struct DropsEntriesWhenLeftOut;
impl Laws for DropsEntriesWhenLeftOut {
    type Agreement = AsPublished;

    fn keeps_entries() -> bool {
        false
    }
}
