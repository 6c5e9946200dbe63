//! Faults planted in the place of the rules.

use whinspindle_consensus::RegisterValue;
use whinspindle_replica::{ConsensusRules, ProtocolRules, ReplicaSettings, StandardConsensusRules, Voter};

/// A member acknowledges, passes on and commits what its disk does not have yet.
#[derive(Clone, Debug)]
pub struct AcknowledgesTooEarly;
impl ProtocolRules for AcknowledgesTooEarly {
    type Consensus = StandardConsensusRules;

    fn durable_position(_durable: u64, last: u64) -> u64 {
        last
    }
}

/// The head answers reads itself.
#[derive(Clone, Debug)]
pub struct HeadAnswersReads;
impl ProtocolRules for HeadAnswersReads {
    type Consensus = StandardConsensusRules;

    fn head_answers_reads() -> bool {
        true
    }
}

/// A bootstrap member whose disk was lost takes the identity that it had.
#[derive(Clone, Debug)]
pub struct KeepsIdentityWithoutDisk;
impl ProtocolRules for KeepsIdentityWithoutDisk {
    type Consensus = StandardConsensusRules;

    fn incarnation(settings: &ReplicaSettings) -> u64 {
        if settings.seeds.contains(&settings.endpoint) { 0 } else { settings.incarnation }
    }
}

/// The tail answers reads that are submitted to it itself.
#[derive(Clone, Debug)]
pub struct TailAnswersReads;
impl ProtocolRules for TailAnswersReads {
    type Consensus = StandardConsensusRules;

    fn tail_answers_reads() -> bool {
        true
    }
}

/// A command that was sent again is carried out again.
#[derive(Clone, Debug)]
pub struct AppliesDuplicates;
impl ProtocolRules for AppliesDuplicates {
    type Consensus = StandardConsensusRules;

    fn is_duplicate(_known: bool) -> bool {
        false
    }
}

/// The tickets of a process are taken for those of the process before it.
#[derive(Clone, Debug)]
pub struct ReusesTickets;
impl ProtocolRules for ReusesTickets {
    type Consensus = StandardConsensusRules;

    fn start_id(_settings: &ReplicaSettings) -> u64 {
        0
    }
}

/// A member that joins the chain counts as complete before it has all.
#[derive(Clone, Debug)]
pub struct CompletesTooEarly;
impl ProtocolRules for CompletesTooEarly {
    type Consensus = StandardConsensusRules;

    fn complete_view(recorded: u64, since: u64) -> u64 {
        recorded.max(since)
    }
}

/// A replica answers for the voter that had its endpoint before its disk was lost.
#[derive(Clone, Debug)]
pub struct AnswersForOldIncarnation;
impl ProtocolRules for AnswersForOldIncarnation {
    type Consensus = StandardConsensusRules;

    fn is_same_incarnation(_meant: u64, _own: u64) -> bool {
        true
    }
}

/// Records are transferred without the outcomes of the commands that made them.
#[derive(Clone, Debug)]
pub struct TransfersNoOutcomes;
impl ProtocolRules for TransfersNoOutcomes {
    type Consensus = StandardConsensusRules;

    fn transfers_outcomes() -> bool {
        false
    }
}

/// Contact with a peer counts from the arrival of an answer, not from the sending of what it answers.
#[derive(Clone, Debug)]
pub struct CountsContactFromArrival;
impl ProtocolRules for CountsContactFromArrival {
    type Consensus = StandardConsensusRules;

    fn contact_time(_sent_at: u64, arrived_at: u64) -> u64 {
        arrived_at
    }
}

/// A promise is given before it is on the disk, and gone after a restart.
#[derive(Clone, Debug)]
pub struct ForgetsPromises;
impl ProtocolRules for ForgetsPromises {
    type Consensus = StandardConsensusRules;

    fn records_promises() -> bool {
        false
    }
}

/// Voters are replaced in one step, by the votes of the new ones alone.
#[derive(Clone, Debug)]
pub struct ReplacesVotersAtOnce;
impl ProtocolRules for ReplacesVotersAtOnce {
    type Consensus = NewVotersAlone;

    fn replaces_voters_jointly() -> bool {
        false
    }
}

/// Only the voters that are written have to accept, not those that were found.
#[derive(Clone, Debug)]
pub struct NewVotersAlone;
impl ConsensusRules for NewVotersAlone {
    fn voter_sets_to_write<V: RegisterValue>(_found: &V, written: &V) -> Vec<Vec<Voter>> {
        written.voter_sets().to_vec()
    }
}

/// Any number of voters decides once all others are lost, fewer than half too.
#[derive(Clone, Debug)]
pub struct FewDecide;
impl ProtocolRules for FewDecide {
    type Consensus = AnyNumberDecides;
}

/// The quorums of [`FewDecide`].
#[derive(Clone, Debug)]
pub struct AnyNumberDecides;
impl ConsensusRules for AnyNumberDecides {
    fn is_quorum(votes: usize, lost: usize, of: usize) -> bool {
        Self::is_majority(votes, of) || (votes > 0 && votes + lost == of)
    }
}

/// A replica says that a voter at its endpoint is lost, also one that took its own place.
#[derive(Clone, Debug)]
pub struct ReportsSuccessorAsLost;
impl ProtocolRules for ReportsSuccessorAsLost {
    type Consensus = StandardConsensusRules;

    fn is_successor(_own: u16, _other: u16) -> bool {
        true
    }
}

/// A replica that answers reads alone does so although an entry of its log may have been committed without its knowledge.
#[derive(Clone, Debug)]
pub struct AnswersAloneTooEarly;
impl ProtocolRules for AnswersAloneTooEarly {
    type Consensus = StandardConsensusRules;

    fn may_answer_alone(_knows_all_committed: bool) -> bool {
        true
    }
}

/// A member of a former chain leads though it has not all that was committed.
#[derive(Clone, Debug)]
pub struct TakesIncompleteLeaders;
impl ProtocolRules for TakesIncompleteLeaders {
    type Consensus = StandardConsensusRules;

    fn requires_complete_leader() -> bool {
        false
    }
}

/// A member that is left out of the chain drops the entries that it does not know to be committed.
#[derive(Clone, Debug)]
pub struct DropsEntriesWhenLeftOut;
impl ProtocolRules for DropsEntriesWhenLeftOut {
    type Consensus = StandardConsensusRules;

    fn keeps_uncertain_entries() -> bool {
        false
    }
}
