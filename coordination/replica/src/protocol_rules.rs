//! The safety rules of the protocol as a type parameter, so that tests can inject a faulty rule.

use std::fmt::Debug;

use whinspindle_consensus::StandardConsensusRules;

use crate::settings::ReplicaSettings;

/// The safety rules. The default methods are correct; tests override one at a time with a faulty rule.
pub trait ProtocolRules: Clone + Debug {
    /// The rules by which views are decided.
    type Consensus: whinspindle_consensus::ConsensusRules;

    /// The last entry that a member may acknowledge, forward and commit, given its last durable entry and
    /// its last entry.
    fn durable_position(last_durable: u64, _last: u64) -> u64 {
        last_durable
    }

    /// Whether the head answers reads itself instead of forwarding them through the chain.
    fn head_answers_reads() -> bool {
        false
    }

    /// Whether the tail answers reads submitted to it without sending them through the chain.
    fn tail_answers_reads() -> bool {
        false
    }

    /// Whether a command is a duplicate, which must not be executed again. `is_known` says whether the
    /// command is in the log or its outcome is kept.
    fn is_duplicate(is_known: bool) -> bool {
        is_known
    }

    /// Whether a state transfer includes the outcomes of the commands that wrote the records.
    fn transfers_outcomes() -> bool {
        true
    }

    /// The last view in which the log of a member counts as complete, given the view recorded on its disk
    /// and the view since which it has been in the chain.
    fn complete_view(recorded_view: u64, _since_view: u64) -> u64 {
        recorded_view
    }

    /// The incarnation of a replica with an empty disk. It is 0 for a bootstrap member while the whole
    /// system is bootstrapped, and random otherwise.
    fn incarnation(settings: &ReplicaSettings) -> u64 {
        let is_bootstrap_member = settings.bootstrap && settings.seeds.contains(&settings.endpoint);
        if is_bootstrap_member { 0 } else { settings.incarnation }
    }

    /// Whether a replica is the addressed voter, given the incarnations of both.
    fn is_same_incarnation(addressed: u64, own: u64) -> bool {
        addressed == own
    }

    /// Whether the voter with member number `own` has replaced the voter with member number `other` at the
    /// same endpoint. Later members have higher numbers.
    fn is_successor(own: u16, other: u16) -> bool {
        own > other
    }

    /// Whether a promise is made durable before it is sent.
    fn records_promises() -> bool {
        true
    }

    /// Whether old and new voters decide jointly while voters are replaced (joint consensus, Raft, section
    /// 6).
    fn replaces_voters_jointly() -> bool {
        true
    }

    /// Whether a member of a former chain leads the next chain only if its log contains all committed
    /// entries.
    fn requires_complete_leader() -> bool {
        true
    }

    /// Whether a member removed from the chain keeps possibly committed entries until it knows which are
    /// committed.
    fn keeps_uncertain_entries() -> bool {
        true
    }

    /// Whether one of two voters may answer a read alone while its log has entries that may be committed.
    /// `is_same_answer` says whether the answer stays the same with more of these entries applied.
    fn may_answer_alone(is_same_answer: bool) -> bool {
        is_same_answer
    }

    /// The time of confirmed contact with a peer, given when a heartbeat was sent to it and when the echo
    /// arrived.
    fn contact_time(sent_at: u64, _arrived_at: u64) -> u64 {
        sent_at
    }

    /// The start ID of the process, which distinguishes its tickets from those of earlier starts.
    fn start_id(settings: &ReplicaSettings) -> u64 {
        settings.start_id
    }
}

/// The correct rules, used in production.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StandardRules;

impl ProtocolRules for StandardRules {
    type Consensus = StandardConsensusRules;
}
