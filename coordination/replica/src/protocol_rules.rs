//! The rules that keep what was acknowledged.

use std::fmt::Debug;

use whinspindle_consensus::StandardConsensusRules;

use crate::settings::ReplicaSettings;

/// What must hold. The defaults are what the program runs; tests plant faults in their place.
pub trait ProtocolRules: Clone + Debug {
    /// How the votes for a view are counted.
    type Consensus: whinspindle_consensus::ConsensusRules;

    /// Up to which entry a member may acknowledge, pass on and commit.
    fn durable_position(durable: u64, _last: u64) -> u64 {
        durable
    }

    /// Whether the head answers reads itself, without asking the members after it.
    fn head_answers_reads() -> bool {
        false
    }

    /// Whether the tail answers reads that are submitted to it by itself, without a pass of the chain.
    fn tail_answers_reads() -> bool {
        false
    }

    /// Whether a command is a repeat, which is not carried out again, if it is `known`: it waits in the log, or its
    /// outcome is kept.
    fn is_duplicate(known: bool) -> bool {
        known
    }

    /// Whether the outcomes of the commands that made the records are sent with the records.
    fn transfers_outcomes() -> bool {
        true
    }

    /// The last view in which a member's log counts as complete, by the one that is `recorded` on its disk and the
    /// view since which it is in the chain.
    fn complete(recorded: u64, _since: u64) -> u64 {
        recorded
    }

    /// The identity taken with an empty disk: a bootstrap member's only where the whole system begins.
    fn incarnation(settings: &ReplicaSettings) -> u64 {
        let founds = settings.bootstrap && settings.seeds.contains(&settings.endpoint);
        if founds { 0 } else { settings.incarnation }
    }

    /// Whether a replica is the voter that is meant, by the incarnations of both.
    fn is_same_incarnation(meant: u64, own: u64) -> bool {
        meant == own
    }

    /// Whether a promise is written to the disk before it is given.
    fn records_promises() -> bool {
        true
    }

    /// Whether the old and the new voters both have to agree while voters are replaced.
    fn replaces_voters_jointly() -> bool {
        true
    }

    /// Whether a member of a former chain leads the next one only if its log holds all that was committed.
    fn requires_complete_leader() -> bool {
        true
    }

    /// Whether entries that are not known to be committed stay in the log of a member that is left out of the chain,
    /// until those that were committed are known to it.
    fn keeps_entries() -> bool {
        true
    }

    /// From when contact with a peer counts, by the times at which a heartbeat to it was sent and its answer arrived.
    fn contact(sent_at: u64, _arrived_at: u64) -> u64 {
        sent_at
    }

    /// The start of the process, which tells its tickets from those of the process before it.
    fn start(settings: &ReplicaSettings) -> u64 {
        settings.start
    }
}

/// The rules as the program keeps them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StandardRules;

impl ProtocolRules for StandardRules {
    type Consensus = StandardConsensusRules;
}
