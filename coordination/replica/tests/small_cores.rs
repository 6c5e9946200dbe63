//! Cores of 2f machines for f losses: half of the voters go on without the other half once all of these have lost their
//! disks and come back empty, and only then.

mod common;

use std::net::SocketAddr;

use common::clients::Clients;
use common::faulty::{AnswersAloneTooEarly, FewDecide, KeepsIdentityWithoutDisk, ReportsSuccessorAsLost};
use common::history::{Request, check};
use common::node::{Node, Registers, cluster, endpoint};
use whinspindle_consensus::Ballot;
use whinspindle_lab_simulated_cluster::{Cluster, NetworkTiming};
use whinspindle_replica::{
    Input, Message, Output, ProtocolRules, Replica, ReplicaSettings, StandardRules, Timing, Tolerance, Voter,
};

const SEEDS: u64 = 12;
/// All replicas that are to vote do so by then, in milliseconds.
const GROWN: u64 = 8_000;
/// Once all machines are there again, a write is acknowledged within this.
const ACKNOWLEDGED_WITHIN: u64 = 4_000;
/// Nothing is answered for this long where too little is left.
const SILENT_FOR: u64 = 10_000;

/// A core of so many machines, of which some may be lost.
#[derive(Clone, Copy, Debug)]
struct Core {
    machines: usize,
    losses: usize,
}

const TWO: Core = Core { machines: 2, losses: 1 };
const FOUR: Core = Core { machines: 4, losses: 2 };

struct Play<L: ProtocolRules> {
    cluster: Cluster<Node<L>>,
    clients: Clients,
    core: Core,
}

impl<L: ProtocolRules + 'static> Play<L> {
    fn begin(seed: u64, core: Core) -> Play<L> {
        let network = NetworkTiming { min_delay_ms: 1, max_delay_ms: 20, ..NetworkTiming::default() };
        let cluster = cluster::<L>(seed, core.machines, core.losses, network);
        let mut play = Play { cluster, clients: Clients::default(), core };
        play.pass(GROWN);
        for number in 0..core.machines {
            assert!(play.writes(number, 1_000), "seed {seed}, {core:?}: {}", play.describe());
        }
        play
    }

    fn pass(&mut self, span: u64) {
        let until = self.cluster.now() + span;
        self.clients.run_until(&mut self.cluster, until);
    }

    fn writes(&mut self, number: usize, within: u64) -> bool {
        self.clients.write_within(&mut self.cluster, endpoint(number), within).is_some()
    }

    fn wipe(&mut self, number: usize) {
        self.cluster.stop(endpoint(number));
        self.cluster.wipe(endpoint(number));
    }

    fn start(&mut self, number: usize) {
        self.cluster.start(endpoint(number));
    }

    /// Whether all of the others take writes, and all that was acknowledged is there.
    fn serves(&mut self) -> Result<(), String> {
        for number in 0..self.core.machines {
            if !self.writes(number, ACKNOWLEDGED_WITHIN) {
                return Err(format!("no write at {number}\n{}", self.describe()));
            }
        }
        self.agrees()
    }

    /// Whether no answer contradicts another.
    fn agrees(&mut self) -> Result<(), String> {
        for number in 0..self.core.machines {
            self.clients.begin(&mut self.cluster, endpoint(number), "register-0", Request::Get);
        }
        self.pass(1_000);
        check(&self.clients.history())
    }

    /// Whether a read is answered, and agrees with all that was acknowledged.
    fn reads(&mut self, number: usize) -> bool {
        self.reads_of(number, "register-0")
    }

    fn reads_of(&mut self, number: usize, register: &str) -> bool {
        let answered = self.clients.answered();
        self.clients.begin(&mut self.cluster, endpoint(number), register, Request::Get);
        self.pass(200);
        check(&self.clients.history()).unwrap_or_else(|fault| panic!("{fault}"));
        self.clients.answered() > answered
    }

    /// Whether no write is answered at any of these replicas.
    fn rests(&mut self, numbers: &[usize]) -> bool {
        self.answers_nothing(numbers, || Request::Put("late".to_string()))
    }

    /// Whether neither a read nor a write is answered at any of these replicas.
    fn answers_nobody(&mut self, numbers: &[usize]) -> bool {
        self.answers_nothing(numbers, || Request::Get) && self.rests(numbers)
    }

    fn answers_nothing(&mut self, numbers: &[usize], asked: impl Fn() -> Request) -> bool {
        for number in numbers {
            self.clients.begin(&mut self.cluster, endpoint(*number), "register-0", asked());
        }
        let answered = self.clients.answered();
        self.pass(SILENT_FOR);
        self.clients.answered() == answered
    }

    fn describe(&self) -> String {
        let line = |at: SocketAddr| match self.cluster.process(at) {
            Some(node) => format!("{at}: {}", node.describe(self.cluster.now())),
            None => format!("{at}: down"),
        };
        self.cluster.endpoints().into_iter().map(line).collect::<Vec<_>>().join("\n")
    }
}

/// All sets of `losses` machines of a core.
fn losses_of(core: Core) -> Vec<Vec<usize>> {
    let set = |bits: u32| -> Vec<usize> { (0..core.machines).filter(|at| bits >> at & 1 == 1).collect() };
    (0..1_u32 << core.machines).map(set).filter(|set| set.len() == core.losses).collect()
}

fn all_plays() -> impl Iterator<Item = (u64, Core, Vec<usize>)> {
    [TWO, FOUR].into_iter().flat_map(|core| {
        losses_of(core)
            .into_iter()
            .flat_map(move |lost| (0..SEEDS).map(move |seed| (seed, core, lost.clone())))
    })
}

/// As many voters as machines, so that what is acknowledged is on one disk more than may be lost.
#[test]
fn an_even_core_of_twice_the_losses_votes_as_a_whole() {
    for core in [TWO, FOUR] {
        let play = Play::<StandardRules>::begin(1, core);
        let view = play.cluster.process(endpoint(0)).unwrap().replica.view().clone();
        assert_eq!(view.voters().len(), core.machines, "{}", play.describe());
        assert!(view.required_chain_length(core.losses) > core.losses);
    }
}

/// The tolerated number of disks is lost at once; the machines come back empty.
#[test]
fn commands_go_on_after_the_tolerated_number_of_disks_is_lost_at_once() {
    for (seed, core, lost) in all_plays() {
        let mut play = Play::<StandardRules>::begin(seed, core);
        lost.iter().for_each(|number| play.wipe(*number));
        play.pass(500);
        lost.iter().for_each(|number| play.start(*number));
        play.serves().unwrap_or_else(|fault| panic!("seed {seed}, {core:?}, {lost:?}: {fault}"));
    }
}

/// All machines lose power a few milliseconds after an acknowledgement, and some of them their disks.
#[test]
fn nothing_is_lost_with_the_disks_while_all_machines_lose_power() {
    for (seed, core, lost) in all_plays() {
        let mut play = Play::<StandardRules>::begin(seed, core);
        assert!(play.writes(0, 1_000));
        play.pass(seed % 20);
        for number in 0..core.machines {
            play.cluster.stop(endpoint(number));
        }
        lost.iter().for_each(|number| play.wipe(*number));
        play.pass(300);
        (0..core.machines).for_each(|number| play.start(number));
        play.serves().unwrap_or_else(|fault| panic!("seed {seed}, {core:?}, {lost:?}: {fault}"));
    }
}

/// The machine that came back empty loses its disk once more, at any moment of its way back.
#[test]
fn a_disk_that_is_lost_again_on_its_way_back_stops_nothing() {
    for moment in (0..3_000).step_by(100) {
        let mut play = Play::<StandardRules>::begin(moment, TWO);
        let lost = usize::from(moment % 200 == 0);
        play.wipe(lost);
        play.pass(300);
        play.start(lost);
        play.pass(moment);
        play.wipe(lost);
        play.pass(300);
        play.start(lost);
        play.serves().unwrap_or_else(|fault| panic!("lost again after {moment} ms: {fault}"));
    }
}

/// One after the other, each time after the repair of the one before.
#[test]
fn disks_are_lost_in_turn_without_end() {
    for seed in 0..SEEDS {
        let mut play = Play::<StandardRules>::begin(seed, TWO);
        for round in 0..4 {
            let lost = (seed as usize + round) % 2;
            play.wipe(lost);
            play.pass(300);
            play.start(lost);
            play.serves().unwrap_or_else(|fault| panic!("seed {seed}, round {round}: {fault}"));
        }
    }
}

/// A machine that is down or cut off still has its vote: the other half waits for it.
#[test]
fn half_of_the_voters_wait_for_those_that_keep_their_disks() {
    for seed in 0..SEEDS {
        for (core, absent) in [(TWO, vec![1]), (TWO, vec![0]), (FOUR, vec![0, 1]), (FOUR, vec![1, 3])] {
            let rest: Vec<usize> = (0..core.machines).filter(|number| !absent.contains(number)).collect();
            let mut play = Play::<StandardRules>::begin(seed, core);
            absent.iter().for_each(|number| play.cluster.stop(endpoint(*number)));
            play.pass(100);
            assert!(play.rests(&rest), "seed {seed}, {core:?}: {}", play.describe());
            // Only one of two that are absent has lost its disk: the other may have gone on.
            if let [first, _] = absent.as_slice() {
                play.wipe(*first);
                play.start(*first);
                assert!(play.rests(&rest), "seed {seed}, {core:?}: {}", play.describe());
            }
            absent.iter().for_each(|number| play.start(*number));
            play.serves().unwrap_or_else(|fault| panic!("seed {seed}, {core:?}, {absent:?}: {fault}"));
        }
    }
}

/// Both halves of a core are apart: neither goes on, and all is as before once they meet.
#[test]
fn neither_half_of_a_divided_core_goes_on() {
    for seed in 0..SEEDS {
        for core in [TWO, FOUR] {
            let mut play = Play::<StandardRules>::begin(seed, core);
            for one in 0..core.machines / 2 {
                for other in core.machines / 2..core.machines {
                    play.cluster.cut(endpoint(one), endpoint(other));
                    play.cluster.cut(endpoint(other), endpoint(one));
                }
            }
            play.pass(100);
            let all: Vec<usize> = (0..core.machines).collect();
            assert!(play.rests(&all), "seed {seed}, {core:?}: {}", play.describe());
            play.cluster.heal_all();
            play.serves().unwrap_or_else(|fault| panic!("seed {seed}, {core:?}: {fault}"));
        }
    }
}

/// More disks than tolerated: nothing is answered, so that nothing older is shown.
#[test]
fn more_lost_disks_than_tolerated_stop_the_core() {
    for seed in 0..SEEDS {
        for core in [TWO, FOUR] {
            let mut play = Play::<StandardRules>::begin(seed, core);
            let lost: Vec<usize> = (0..=core.losses).map(|at| (at + seed as usize) % core.machines).collect();
            lost.iter().for_each(|number| play.wipe(*number));
            play.pass(300);
            lost.iter().for_each(|number| play.start(*number));
            let all: Vec<usize> = (0..core.machines).collect();
            assert!(play.answers_nobody(&all), "seed {seed}, {core:?}, {lost:?}: {}", play.describe());
            check(&play.clients.history()).unwrap();
        }
    }
}

/// Three of four go on without the last one, and some of them lose their disks while the rest is down. Says what is wrong
/// once the last one and the empty ones are back.
fn wake_the_one_left_behind<L: ProtocolRules + 'static>(seed: u64, lost: &[usize]) -> Result<(), String> {
    let mut play = Play::<L>::begin(seed, FOUR);
    play.cluster.stop(endpoint(3));
    play.pass(3_000);
    assert!(play.writes(0, ACKNOWLEDGED_WITHIN), "three of four: {}", play.describe());
    (0..3).for_each(|number| play.cluster.stop(endpoint(number)));
    for number in lost {
        play.cluster.wipe(endpoint(*number));
        play.start(*number);
    }
    play.start(3);
    play.answers_nobody(&[3]);
    play.agrees()
}

/// An empty acceptor that votes at once: two of them and the one left behind are a majority.
#[test]
fn empty_replicas_that_vote_at_once_are_detected() {
    for seed in 0..SEEDS {
        wake_the_one_left_behind::<StandardRules>(seed, &[0, 1]).unwrap();
    }
    let is_shown =
        |seed| wake_the_one_left_behind::<KeepsIdentityWithoutDisk>(seed, &[0, 1]).is_err_and(is_older);
    assert!((0..SEEDS).any(is_shown));
}

/// One more than may be lost: the one left behind goes on with the empty ones.
#[test]
fn one_that_goes_on_with_more_empty_replicas_than_tolerated_is_detected() {
    for seed in 0..SEEDS {
        wake_the_one_left_behind::<StandardRules>(seed, &[0, 1, 2]).unwrap();
    }
    let is_shown = |seed| wake_the_one_left_behind::<FewDecide>(seed, &[0, 1, 2]).is_err_and(is_older);
    assert!((0..SEEDS).any(is_shown));
}

fn is_older(fault: String) -> bool {
    fault.contains("not linearizable")
}

fn settings(number: usize, bootstrap: bool) -> ReplicaSettings {
    ReplicaSettings {
        endpoint: endpoint(number),
        zone: format!("zone-{number}"),
        region: String::new(),
        seeds: vec![endpoint(0), endpoint(1)],
        bootstrap,
        incarnation: 71 + number as u64,
        start_id: 81 + number as u64,
        tolerance: Tolerance::machines_only(1),
        timing: Timing::default(),
    }
}

/// A replica whose disk has this state, after the first heartbeat of the other.
fn started<L: ProtocolRules>(number: usize, disk: Option<Vec<u8>>) -> Replica<Registers, L> {
    let bootstraps = disk.is_none();
    let recovered = (disk, Vec::new());
    let (mut replica, outputs) =
        Replica::with_rules(settings(number, bootstraps), Registers, recovered, 0).expect("it can be read");
    for output in outputs {
        if let Output::Persist { token, .. } = output {
            replica.handle(1, Input::Persisted { token });
        }
    }
    let (_, mut sent) =
        Replica::new(settings(1 - number, true), Registers, (None, Vec::new()), 0).map(first_sent).unwrap();
    replica.handle(2, Input::Message { from: endpoint(1 - number), message: sent.remove(0) });
    replica
}

/// What a replica sends once its identity is durable.
fn first_sent(
    (mut replica, outputs): (Replica<Registers>, Vec<Output>),
) -> (Replica<Registers>, Vec<Message>) {
    let persisted = outputs.into_iter().find_map(|output| match output {
        Output::Persist { token, .. } => Some(token),
        _ => None,
    });
    let outputs = replica.handle(1, Input::Persisted { token: persisted.expect("an identity is written") });
    let sent = outputs.into_iter().filter_map(|output| match output {
        Output::Send { message, .. } => Some(message),
        _ => None,
    });
    (replica, sent.collect())
}

/// Whether a replica says that this voter, which had its endpoint, is lost.
fn reports_as_lost<L: ProtocolRules>(replica: &mut Replica<Registers, L>, voter: Voter) -> bool {
    let ballot = Ballot { epoch: 1, round: 9, member: 0, start_id: 9 };
    let known_view = replica.view().number;
    let message = Message::Prepare { voter, ballot, known_view };
    let outputs = replica.handle(3, Input::Message { from: endpoint(0), message });
    let is_report = |output: &Output| matches!(output, Output::Send { message: Message::VoterLost { voter: lost, .. }, .. } if *lost == voter);
    outputs.iter().any(is_report)
}

/// A disk that is back after another one took its place says nothing of its successor, which may run on elsewhere.
#[test]
fn an_old_disk_that_is_back_does_not_report_its_successor_as_lost() {
    let disk = started::<StandardRules>(1, None).due_checkpoint(usize::MAX).expect("nothing is under way");
    let successor = Voter { member: 2, incarnation: 999 };
    assert!(!reports_as_lost(&mut started::<StandardRules>(1, Some(disk.clone())), successor));
    assert!(reports_as_lost(&mut started::<ReportsSuccessorAsLost>(1, Some(disk)), successor));
}

/// An empty replica says of the voter before it that it is lost, and votes for nobody.
#[test]
fn an_empty_replica_reports_the_voter_before_it_as_lost() {
    let (empty, outputs) =
        Replica::new(settings(1, false), Registers, (None, Vec::new()), 0).expect("there is nothing to read");
    let (mut empty, _) = first_sent((empty, outputs));
    let before = Voter { member: 1, incarnation: 0 };
    assert!(!reports_as_lost(&mut empty, before), "the other may speak an earlier version of the protocol");
    let other = Replica::new(settings(0, true), Registers, (None, Vec::new()), 0).map(first_sent).unwrap();
    empty.handle(2, Input::Message { from: endpoint(0), message: other.1[0].clone() });
    assert!(reports_as_lost(&mut empty, before));
}

/// Neither of two goes on without the other, but what was acknowledged is read at either, also after a restart.
#[test]
fn one_of_two_answers_reads_alone() {
    for seed in 0..SEEDS {
        for alone in 0..2 {
            let mut play = Play::<StandardRules>::begin(seed, TWO);
            play.cluster.stop(endpoint(1 - alone));
            play.pass(2_000);
            assert!(play.reads(alone), "seed {seed}, {alone}: {}", play.describe());
            play.cluster.stop(endpoint(alone));
            play.pass(300);
            play.start(alone);
            play.pass(300);
            assert!(play.reads(alone), "seed {seed}, {alone} after a restart: {}", play.describe());
            assert!(play.rests(&[alone]), "no write is taken by one of two");
            assert!(play.reads(alone), "seed {seed}, {alone} after a write: {}", play.describe());
            play.start(1 - alone);
            play.serves().unwrap_or_else(|fault| panic!("seed {seed}, {alone}: {fault}"));
        }
    }
}

/// The tail acknowledges a write, and is lost before the head learns of it.
fn acknowledge_behind_the_head<L: ProtocolRules + 'static>(seed: u64) -> Result<(), String> {
    let mut play = Play::<L>::begin(seed, TWO);
    play.cluster.network().set_drop_filter(move |_, to, message| {
        let tells = matches!(message, Message::Acknowledge { .. } | Message::Heartbeat(_));
        to == endpoint(0) && tells
    });
    assert!(play.writes(1, 400), "seed {seed}: {}", play.describe());
    play.cluster.stop(endpoint(1));
    play.pass(3_000);
    assert!(play.reads_of(0, "another-register"), "its answer is the same either way: {}", play.describe());
    play.agrees()
}

#[test]
fn a_head_that_may_lack_a_commit_answers_nothing_alone() {
    for seed in 0..SEEDS {
        acknowledge_behind_the_head::<StandardRules>(seed).unwrap();
    }
    let is_shown = |seed| acknowledge_behind_the_head::<AnswersAloneTooEarly>(seed).is_err_and(is_older);
    assert!((0..SEEDS).any(is_shown));
}
