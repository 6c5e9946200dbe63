//! Faults planted in the place of the rules: schedules that the rules bear must show each of them, else they prove
//! nothing.

mod common;

use common::faulty::{
    AcknowledgesTooEarly, AnswersForOldIncarnation, AppliesDuplicates, CompletesTooEarly,
    CountsContactFromArrival, HeadAnswersReads, KeepsIdentityWithoutDisk, ReplacesVotersAtOnce,
    ReusesTickets, TailAnswersReads, TransfersNoOutcomes,
};
use common::node::{Node, ProtocolEvent, cluster, endpoint};
use common::schedule::{Fault, Schedule, Step, Trigger, play};
use whinspindle_lab_simulated_cluster::{Cluster, NetworkTiming};
use whinspindle_replica::{ProtocolRules, StandardRules, View};

/// A schedule is played with so many seeds at most.
const SEEDS: u64 = 100;

/// What a fault is planted in: so many replicas, and how many of them may be lost.
#[derive(Clone, Copy)]
struct Setting {
    count: usize,
    tolerated_losses: usize,
    is_busy: bool,
}

const THREE: Setting = Setting { count: 3, tolerated_losses: 1, is_busy: false };
const WITH_LEARNERS: Setting = Setting { count: 5, tolerated_losses: 1, is_busy: true };

/// A step without a trigger.
fn step(wait: u64, fault: Fault) -> Step {
    Step { wait, trigger: None, fault }
}

/// A step that waits for this moment at some replica.
fn at(wait: u64, event: ProtocolEvent, fault: Fault) -> Step {
    Step { wait, trigger: Some(Trigger { event, hits_that_replica: false }), fault }
}

/// Whether the standard rules bear the schedule with each seed, and others show a history that is not linearizable
/// with one of them.
fn shows<L: ProtocolRules + 'static>(setting: Setting, steps: &[Step]) {
    let Setting { count, tolerated_losses, is_busy } = setting;
    let schedule = |seed| Schedule {
        seed,
        has_calm_losses: false,
        loss: 0,
        longest_delay: 10,
        is_busy,
        steps: steps.to_vec(),
    };
    for seed in 0..SEEDS {
        play::<StandardRules>(&schedule(seed), count, tolerated_losses).unwrap();
    }
    let is_shown = |seed: u64| {
        let played = play::<L>(&schedule(seed), count, tolerated_losses);
        played.is_err_and(|fault| fault.contains("not linearizable"))
    };
    assert!((0..SEEDS).any(is_shown));
}

/// All lose power while their disks are slow.
#[test]
fn members_that_acknowledge_before_the_entry_is_durable_are_detected() {
    shows::<AcknowledgesTooEarly>(
        THREE,
        &[
            step(500, Fault::Slow(0, 200)),
            step(0, Fault::Slow(1, 200)),
            step(0, Fault::Slow(2, 200)),
            step(1_500, Fault::StopAll),
            step(100, Fault::StartAll),
            step(2_000, Fault::Heal),
        ],
    );
}

/// The head is cut off, and those that go on without it write.
#[test]
fn a_head_that_answers_reads_itself_is_detected() {
    shows::<HeadAnswersReads>(THREE, &[step(500, Fault::Isolate(0)), step(3_000, Fault::Heal)]);
}

/// Two go on without the third. One of them loses its disk, and comes back together with the third only: as
/// another voter it makes no majority with it.
#[test]
fn a_member_that_votes_without_its_durable_state_is_detected() {
    shows::<KeepsIdentityWithoutDisk>(
        THREE,
        &[
            step(500, Fault::Stop(2)),
            step(3_000, Fault::StopAllAndWipe(1)),
            step(500, Fault::Start(1)),
            step(0, Fault::Start(2)),
            step(3_500, Fault::Heal),
        ],
    );
}

/// The tail is cut off, and those that go on without it write.
#[test]
fn a_tail_that_answers_reads_itself_is_detected() {
    shows::<TailAnswersReads>(THREE, &[step(500, Fault::Isolate(2)), step(3_000, Fault::Heal)]);
}

/// The tail is cut off when it answers, so that commands are sent again.
#[test]
fn a_duplicate_that_is_taken_for_a_new_command_is_detected() {
    shows::<AppliesDuplicates>(
        THREE,
        &[at(500, ProtocolEvent::Reply, Fault::Mute(2)), step(1_000, Fault::Heal)],
    );
}

/// Replicas start again: their tickets begin with 1 again.
#[test]
fn a_ticket_that_is_used_again_after_a_restart_is_detected() {
    shows::<ReusesTickets>(
        THREE,
        &[step(500, Fault::Stop(1)), step(100, Fault::Start(1)), step(1_000, Fault::Heal)],
    );
}

/// The head is cut off, and the next one stops right when it is voted for a view without it: the cut ends, and the old
/// head joins the third.
#[test]
fn a_joiner_that_counts_before_it_is_complete_is_detected() {
    shows::<CompletesTooEarly>(
        THREE,
        &[
            step(500, Fault::Isolate(0)),
            at(89, ProtocolEvent::Accepted, Fault::Stop(1)),
            step(300, Fault::Heal),
            step(3_000, Fault::Heal),
        ],
    );
}

/// One of two that go on without the third loses its disk, and is asked for a promise as if it had it still.
#[test]
fn a_voter_that_answers_for_its_old_incarnation_is_detected() {
    shows::<AnswersForOldIncarnation>(
        THREE,
        &[
            step(500, Fault::Stop(2)),
            step(3_000, Fault::StopAllAndWipe(1)),
            step(500, Fault::Start(1)),
            step(0, Fault::Start(2)),
            step(3_500, Fault::Heal),
        ],
    );
}

/// The answers to one replica are lost. Another one joins by a transfer of records, as its predecessor has started anew
/// and has kept no entries, and becomes the head; then the first replica sends its commands again.
#[test]
fn a_transfer_without_outcomes_is_detected() {
    shows::<TransfersNoOutcomes>(
        WITH_LEARNERS,
        &[
            step(500, Fault::Stop(0)),
            step(1_500, Fault::Stop(2)),
            step(50, Fault::Start(2)),
            step(200, Fault::Deafen(3)),
            step(100, Fault::Start(0)),
            at(0, ProtocolEvent::Synchronize, Fault::Checkpoint(0)),
            step(100, Fault::Leave(1)),
            step(0, Fault::Start(1)),
            step(0, Fault::Stop(2)),
            step(1_300, Fault::Heal),
        ],
    );
}

/// How long a replica is cut off before what waited in the links to it arrives, in milliseconds.
const CUT_OFF: u64 = 20_000;

/// Whether a replica takes itself for one of the quorum though nothing that it sent has arrived for long: only old
/// heartbeats of the others, which waited in the links to it, have come through.
fn claims_old_contact<L: ProtocolRules + 'static>(seed: u64) -> bool {
    let mut cluster = cluster::<L>(seed, 3, 1, NetworkTiming::default());
    cluster.run_until(cluster.now() + 3_000);
    let (alone, others) = (endpoint(0), [endpoint(1), endpoint(2)]);
    for other in others {
        cluster.cut(alone, other);
        cluster.cut(other, alone);
    }
    cluster.run_until(cluster.now() + CUT_OFF);
    for other in others {
        cluster.heal(other, alone);
        cluster.cut(other, alone);
    }
    (0..100).any(|_| {
        cluster.run_until(cluster.now() + 10);
        cluster.process(alone).is_some_and(|node| node.replica.is_in_quorum(cluster.now()))
    })
}

#[test]
fn contact_that_counts_from_the_arrival_of_an_answer_is_detected() {
    assert!(!(0..SEEDS).any(claims_old_contact::<StandardRules>));
    assert!((0..SEEDS).any(claims_old_contact::<CountsContactFromArrival>));
}

/// Whether two replicas know different views by one number after this: a voter is down, and a learner takes its place by
/// a round that the head has no part in but its promise. Then the head hears no more of the others, but of the old voter
/// again; together they are a majority of the old voters.
fn agrees_on_two_views<L: ProtocolRules + 'static>(seed: u64) -> bool {
    let mut cluster = cluster::<L>(seed, 4, 1, NetworkTiming::default());
    let [head, tail, lost, learner] = [0, 1, 2, 3].map(endpoint);
    cluster.run_until(cluster.now() + 1_500);
    cluster.stop(lost);
    cluster.run_until(cluster.now() + 300);
    // The head does not know of the learner, so that the other one begins the round.
    cluster.cut(learner, head);
    cluster.run_until(cluster.now() + 1_300);
    let promises =
        |cluster: &Cluster<Node<L>>| cluster.process(head).map(|node| node.count(ProtocolEvent::Prepare));
    let before = promises(&cluster);
    let is_asked = (0..3_000).any(|_| {
        cluster.run_until(cluster.now() + 1);
        promises(&cluster) != before
    });
    assert!(is_asked, "no round begins");
    for (from, to) in [(tail, head), (tail, lost), (lost, tail), (lost, learner), (learner, lost)] {
        cluster.cut(from, to);
    }
    cluster.start(lost);
    (0..150).any(|_| {
        cluster.run_until(cluster.now() + 10);
        let nodes = cluster.endpoints().into_iter().filter_map(|at| cluster.process(at));
        let views: Vec<&View> = nodes.map(|node| node.replica.view()).collect();
        views.iter().any(|one| views.iter().any(|other| one.number == other.number && one != other))
    })
}

#[test]
fn voters_replaced_without_joint_majorities_are_detected() {
    assert!(!(0..SEEDS).any(agrees_on_two_views::<StandardRules>));
    assert!((0..SEEDS).any(agrees_on_two_views::<ReplacesVotersAtOnce>));
}
