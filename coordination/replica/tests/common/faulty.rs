//! Faulty protocol rules. Tests replace the standard rules with these to show that the checks detect each
//! fault.

use whinspindle_consensus::RegisterValue;
use whinspindle_replica::{ConsensusRules, ProtocolRules, ReplicaSettings, StandardConsensusRules, Voter};

/// A member acknowledges, forwards and commits entries before they are durable on its disk.
#[derive(Clone, Debug)]
pub struct AcknowledgesTooEarly;
impl ProtocolRules for AcknowledgesTooEarly {
    type Consensus = StandardConsensusRules;

    fn durable_position(_durable: u64, last: u64) -> u64 {
        last
    }
}

/// The head answers reads itself instead of the tail.
#[derive(Clone, Debug)]
pub struct HeadAnswersReads;
impl ProtocolRules for HeadAnswersReads {
    type Consensus = StandardConsensusRules;

    fn head_answers_reads() -> bool {
        true
    }
}

/// A bootstrap member that lost its disk takes its old identity again.
#[derive(Clone, Debug)]
pub struct KeepsIdentityWithoutDisk;
impl ProtocolRules for KeepsIdentityWithoutDisk {
    type Consensus = StandardConsensusRules;

    fn incarnation(settings: &ReplicaSettings) -> u64 {
        if settings.seeds.contains(&settings.endpoint) { 0 } else { settings.incarnation }
    }
}

/// The tail answers reads submitted to it without involving the rest of the chain.
#[derive(Clone, Debug)]
pub struct TailAnswersReads;
impl ProtocolRules for TailAnswersReads {
    type Consensus = StandardConsensusRules;

    fn tail_answers_reads() -> bool {
        true
    }
}

/// A command that is sent twice is executed twice.
#[derive(Clone, Debug)]
pub struct AppliesDuplicates;
impl ProtocolRules for AppliesDuplicates {
    type Consensus = StandardConsensusRules;

    fn is_duplicate(_known: bool) -> bool {
        false
    }
}

/// The tickets of a restarted process are confused with the tickets of its predecessor.
#[derive(Clone, Debug)]
pub struct ReusesTickets;
impl ProtocolRules for ReusesTickets {
    type Consensus = StandardConsensusRules;

    fn start_id(_settings: &ReplicaSettings) -> u64 {
        0
    }
}

/// A member that joins the chain counts as complete before it has received all records.
#[derive(Clone, Debug)]
pub struct CompletesTooEarly;
impl ProtocolRules for CompletesTooEarly {
    type Consensus = StandardConsensusRules;

    fn complete_view(recorded: u64, since: u64) -> u64 {
        recorded.max(since)
    }
}

/// A replica answers messages for the voter that used its endpoint before the disk was lost.
#[derive(Clone, Debug)]
pub struct AnswersForOldIncarnation;
impl ProtocolRules for AnswersForOldIncarnation {
    type Consensus = StandardConsensusRules;

    fn is_same_incarnation(_meant: u64, _own: u64) -> bool {
        true
    }
}

/// Records are transferred without the outcomes of the commands that wrote them.
#[derive(Clone, Debug)]
pub struct TransfersNoOutcomes;
impl ProtocolRules for TransfersNoOutcomes {
    type Consensus = StandardConsensusRules;

    fn transfers_outcomes() -> bool {
        false
    }
}

/// Contact with a peer counts from the arrival of an answer, not from the sending of the request.
#[derive(Clone, Debug)]
pub struct CountsContactFromArrival;
impl ProtocolRules for CountsContactFromArrival {
    type Consensus = StandardConsensusRules;

    fn contact_time(_sent_at: u64, arrived_at: u64) -> u64 {
        arrived_at
    }
}

/// A promise is given without being written to the disk and is lost in a restart.
#[derive(Clone, Debug)]
pub struct ForgetsPromises;
impl ProtocolRules for ForgetsPromises {
    type Consensus = StandardConsensusRules;

    fn records_promises() -> bool {
        false
    }
}

/// Voters are replaced in one step, by the votes of the new voters alone.
#[derive(Clone, Debug)]
pub struct ReplacesVotersAtOnce;
impl ProtocolRules for ReplacesVotersAtOnce {
    type Consensus = NewVotersAlone;

    fn replaces_voters_jointly() -> bool {
        false
    }
}

/// Only the voter sets of the proposed value have to accept it, not those of the prepared value.
#[derive(Clone, Debug)]
pub struct NewVotersAlone;
impl ConsensusRules for NewVotersAlone {
    fn voter_sets_to_write<V: RegisterValue>(_prepared: &V, proposed: &V) -> Vec<Vec<Voter>> {
        proposed.voter_sets().to_vec()
    }
}

/// Any number of voters, even fewer than half, can decide once all other voters are lost.
#[derive(Clone, Debug)]
pub struct FewDecide;
impl ProtocolRules for FewDecide {
    type Consensus = AnyNumberDecides;
}

/// The quorums of [`FewDecide`].
#[derive(Clone, Debug)]
pub struct AnyNumberDecides;
impl ConsensusRules for AnyNumberDecides {
    fn is_quorum(votes: usize, lost: usize, voters: usize) -> bool {
        Self::is_majority(votes, voters) || (votes > 0 && votes + lost == voters)
    }
}

/// A replica reports a voter at its endpoint as lost, even if that voter is its own successor.
#[derive(Clone, Debug)]
pub struct ReportsSuccessorAsLost;
impl ProtocolRules for ReportsSuccessorAsLost {
    type Consensus = StandardConsensusRules;

    fn is_successor(_own: u16, _other: u16) -> bool {
        true
    }
}

/// A replica that answers reads alone does so even if an entry of its log may have been committed without its
/// knowledge.
#[derive(Clone, Debug)]
pub struct AnswersAloneTooEarly;
impl ProtocolRules for AnswersAloneTooEarly {
    type Consensus = StandardConsensusRules;

    fn may_answer_alone(_knows_all_committed: bool) -> bool {
        true
    }
}

/// A member of a former chain becomes leader although it lacks committed entries.
#[derive(Clone, Debug)]
pub struct TakesIncompleteLeaders;
impl ProtocolRules for TakesIncompleteLeaders {
    type Consensus = StandardConsensusRules;

    fn requires_complete_leader() -> bool {
        false
    }
}

/// A member that is removed from the chain drops the entries that it does not know to be committed.
#[derive(Clone, Debug)]
pub struct DropsEntriesWhenLeftOut;
impl ProtocolRules for DropsEntriesWhenLeftOut {
    type Consensus = StandardConsensusRules;

    fn keeps_uncertain_entries() -> bool {
        false
    }
}
