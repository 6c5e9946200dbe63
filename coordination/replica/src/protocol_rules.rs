//! The safety rules of the protocol as a type parameter, so that tests can replace one by a fault.

use std::fmt::Debug;

use whinspindle_consensus::StandardConsensusRules;

use crate::settings::ReplicaSettings;

/// The safety rules. The defaults are the correct ones; tests override one at a time by a fault.
pub trait ProtocolRules: Clone + Debug {
    /// The rules by which views are decided.
    type Consensus: whinspindle_consensus::ConsensusRules;

    /// Up to which entry a member may acknowledge, forward and commit.
    fn durable_position(durable: u64, _last: u64) -> u64 {
        durable
    }

    /// Whether the head answers reads without the members after it.
    fn head_answers_reads() -> bool {
        false
    }

    /// Whether the tail answers reads that are submitted to it without a pass of the chain.
    fn tail_answers_reads() -> bool {
        false
    }

    /// Whether a command is a duplicate, which is not executed again, if it is `known`: it is in the log, or its outcome is
    /// kept.
    fn is_duplicate(known: bool) -> bool {
        known
    }

    /// Whether a state transfer includes the outcomes of the commands that made the records.
    fn transfers_outcomes() -> bool {
        true
    }

    /// The last view in which the log of a member counts as complete, by the one `recorded` on its disk and the view since
    /// which it is in the chain.
    fn complete_view(recorded: u64, _since: u64) -> u64 {
        recorded
    }

    /// The identity taken with an empty disk: that of a bootstrap member only where the whole system is bootstrapped.
    fn incarnation(settings: &ReplicaSettings) -> u64 {
        let is_bootstrap_member = settings.bootstrap && settings.seeds.contains(&settings.endpoint);
        if is_bootstrap_member { 0 } else { settings.incarnation }
    }

    /// Whether a replica is the voter that is meant, by the incarnations of both.
    fn is_same_incarnation(meant: u64, own: u64) -> bool {
        meant == own
    }

    /// Whether the voter with the first of two member numbers at one endpoint took the place of the second. Numbers rise.
    fn is_successor(own: u16, other: u16) -> bool {
        own > other
    }

    /// Whether a promise is durable before it is sent.
    fn records_promises() -> bool {
        true
    }

    /// Whether old and new voters decide together while voters are replaced (joint consensus, Raft, section 6).
    fn replaces_voters_jointly() -> bool {
        true
    }

    /// Whether a member of a former chain leads the next one only if its log holds all that was committed.
    fn requires_complete_leader() -> bool {
        true
    }

    /// Whether a member that is left out of the chain keeps entries of which it is unknown whether they are committed, until
    /// it knows those that are.
    fn keeps_uncertain_entries() -> bool {
        true
    }

    /// Whether one of two voters answers a read alone although its log goes on after the committed entries, given whether
    /// the answer is the same with more of them.
    fn may_answer_alone(is_certain: bool) -> bool {
        is_certain
    }

    /// From when contact with a peer counts, by the times at which a heartbeat to it was sent and its answer arrived.
    fn contact_time(sent_at: u64, _arrived_at: u64) -> u64 {
        sent_at
    }

    /// The start of the process, which separates its tickets from those of earlier starts.
    fn start_id(settings: &ReplicaSettings) -> u64 {
        settings.start_id
    }
}

/// The correct rules, which the program runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StandardRules;

impl ProtocolRules for StandardRules {
    type Consensus = StandardConsensusRules;
}
