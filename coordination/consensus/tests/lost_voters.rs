//! Random schedules with voters that permanently lose their durable state. At most one value may be chosen
//! for each number while at most half of the voters are lost. Injected faults must be detected.

use std::collections::{BTreeMap, BTreeSet};

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use whinspindle_consensus::{
    AcceptorState, Ballot, ConsensusRules, RegisterValue, Round, StandardConsensusRules, Voter,
};

/// Number of schedules unless the environment variable sets another one.
const DEFAULT_SCHEDULES: u64 = 4_000;
const SCHEDULES_VARIABLE: &str = "WHINSPINDLE_SCHEDULES";
/// Injected faults must be detected within this number of schedules.
const MAX_SCHEDULES_WITH_FAULT: u64 = 400_000;
/// The seed of the schedules.
const SEED: u64 = 57;
/// Bounds the length of schedules.
const SIZE: usize = 90;
/// Voter numbers in a schedule are below this. They are taken modulo the number of voters.
const MAX_VOTERS: u8 = 4;
const PROPOSERS: u8 = 2;

/// A value with the ballot of its proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Value {
    number: u64,
    /// The ballot of the proposal.
    origin: Ballot,
    voter_sets: Vec<Vec<Voter>>,
}

impl RegisterValue for Value {
    fn voter_sets(&self) -> &[Vec<Voter>] {
        &self.voter_sets
    }

    fn is_bootstrapped(&self) -> bool {
        true
    }
}

/// A fault outside of the consensus rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedFault {
    None,
    /// A voter with an empty disk answers in place of the lost voter.
    EmptyAcceptorVotes,
    /// A voter is reported as lost while it is still running.
    OldIncarnationKeepsRunning,
}

/// Faulty rule: any number of voters is a quorum once all others are lost.
#[derive(Clone, Debug)]
struct MinorityDecides;
impl ConsensusRules for MinorityDecides {
    fn is_quorum(votes: usize, lost: usize, voters: usize) -> bool {
        Self::is_majority(votes, voters) || (votes > 0 && votes + lost == voters)
    }
}

/// Faulty rule: half of the voters is a quorum even if the others are not lost.
#[derive(Clone, Debug)]
struct HalfDecides;
impl ConsensusRules for HalfDecides {
    fn is_quorum(votes: usize, _lost: usize, voters: usize) -> bool {
        2 * votes >= voters
    }
}

/// One event of a schedule. The fields are the numbers of voters and proposers.
#[derive(Clone, Copy, Debug)]
enum Step {
    Begin(u8),
    /// The voter answers the proposer's request of the current phase.
    Answer(u8, u8),
    /// The proposer learns that the voter is lost, if it is.
    ReportLost(u8, u8),
    /// The proposer begins the second phase, if it has a prepared value.
    Propose(u8),
    /// The voter loses its durable state.
    Lose(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let (voter, proposer) = (u8::arbitrary(g) % MAX_VOTERS, u8::arbitrary(g) % PROPOSERS);
        match u8::arbitrary(g) % 16 {
            0 | 1 => Step::Begin(proposer),
            2..=4 => Step::Propose(proposer),
            5 => Step::Lose(voter),
            6 | 7 => Step::ReportLost(voter, proposer),
            _ => Step::Answer(voter, proposer),
        }
    }
}

struct Simulation<Rules> {
    voters: Vec<Voter>,
    acceptors: BTreeMap<Voter, AcceptorState<Value>>,
    lost: BTreeSet<Voter>,
    losses_left: usize,
    fault: InjectedFault,
    rounds: BTreeMap<u8, Round<Value>>,
    /// The newest value that each proposer knows to be chosen.
    known: BTreeMap<u8, Value>,
    ballots: u64,
    chosen: BTreeMap<u64, Value>,
    rules: std::marker::PhantomData<Rules>,
}

impl<Rules: ConsensusRules> Simulation<Rules> {
    fn new(voter_count: u16, max_losses: usize, fault: InjectedFault) -> Simulation<Rules> {
        let voters: Vec<Voter> = (0..voter_count).map(|member| Voter { member, incarnation: 1 }).collect();
        Simulation {
            acceptors: voters.iter().map(|voter| (*voter, AcceptorState::default())).collect(),
            lost: BTreeSet::new(),
            losses_left: max_losses,
            fault,
            rounds: BTreeMap::new(),
            known: BTreeMap::new(),
            ballots: 0,
            chosen: BTreeMap::new(),
            rules: std::marker::PhantomData,
            voters,
        }
    }

    fn voter(&self, number: u8) -> Voter {
        self.voters[usize::from(number) % self.voters.len()]
    }

    fn run_step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Begin(proposer) => self.begin(proposer),
            Step::Answer(number, proposer) => return self.answer(self.voter(number), proposer),
            Step::ReportLost(number, proposer) => self.report_lost(self.voter(number), proposer),
            Step::Propose(proposer) => self.propose(proposer),
            Step::Lose(number) => self.lose(self.voter(number)),
        }
        Ok(())
    }

    fn begin(&mut self, proposer: u8) {
        self.ballots += 1;
        let ballot = Ballot { epoch: 1, round: self.ballots, member: proposer.into(), start_id: 1 };
        let initial = Value { number: 0, origin: Ballot::default(), voter_sets: vec![self.voters.clone()] };
        let known = self.known.get(&proposer).cloned().unwrap_or(initial);
        self.rounds.insert(proposer, Round::new(ballot, known));
    }

    fn report_lost(&mut self, voter: Voter, proposer: u8) {
        let Some(round) = self.rounds.get_mut(&proposer) else { return };
        if self.lost.contains(&voter) && !round.is_proposing() {
            round.record_lost(voter);
        }
    }

    /// A voter that has lost its state does not answer, unless a fault is injected.
    fn answer(&mut self, voter: Voter, proposer: u8) -> Result<(), String> {
        let Some(round) = self.rounds.get_mut(&proposer) else { return Ok(()) };
        if self.fault == InjectedFault::None && self.lost.contains(&voter) {
            return Ok(());
        }
        let ballot = round.ballot;
        let Some(acceptor) = self.acceptors.get_mut(&voter) else { return Ok(()) };
        if !round.is_proposing() {
            if acceptor.prepare(ballot).is_ok() {
                round.record_promise(voter, acceptor.accepted.clone());
            }
            return Ok(());
        }
        let Some((value, _)) = round.awaiting_vote() else { return Ok(()) };
        if acceptor.accept::<Rules>(ballot, value.clone()).is_err() {
            return Ok(());
        }
        let Some(chosen) = round.record_vote::<Rules>(voter).cloned() else { return Ok(()) };
        self.record_chosen(proposer, chosen)
    }

    fn record_chosen(&mut self, proposer: u8, value: Value) -> Result<(), String> {
        self.known.insert(proposer, value.clone());
        let chosen = self.chosen.entry(value.number).or_insert_with(|| value.clone());
        if *chosen == value { Ok(()) } else { Err(format!("two values: {chosen:?} and {value:?}")) }
    }

    fn propose(&mut self, proposer: u8) {
        let Some(round) = self.rounds.get_mut(&proposer).filter(|round| !round.is_proposing()) else {
            return;
        };
        let Some(prepared) = round.prepared_value::<Rules>().cloned() else { return };
        let next = Value { number: prepared.number + 1, origin: round.ballot, ..prepared };
        round.propose::<Rules>(next);
    }

    fn lose(&mut self, voter: Voter) {
        if self.losses_left == 0 || !self.lost.insert(voter) {
            return;
        }
        self.losses_left -= 1;
        if self.fault != InjectedFault::OldIncarnationKeepsRunning {
            self.acceptors.insert(voter, AcceptorState::default());
        }
    }
}

/// Runs the steps with `voter_count` voters, of which at most `max_losses` lose their state.
fn simulate<Rules: ConsensusRules>(
    steps: &[Step],
    voter_count: u16,
    max_losses: usize,
    fault: InjectedFault,
) -> Result<(), String> {
    let mut simulation = Simulation::<Rules>::new(voter_count, max_losses, fault);
    steps.iter().try_for_each(|step| simulation.run_step(*step))
}

fn chooses_one_value_per_number(steps: Vec<Step>, voter_count: u16) -> TestResult {
    let max_losses = usize::from(voter_count) / 2;
    match simulate::<StandardConsensusRules>(&steps, voter_count, max_losses, InjectedFault::None) {
        Ok(()) => TestResult::passed(),
        Err(violation) => TestResult::error(violation),
    }
}

fn check_schedules(property: fn(Vec<Step>) -> TestResult) {
    let count = std::env::var(SCHEDULES_VARIABLE).ok().and_then(|text| text.parse().ok());
    let random = Gen::from_size_and_seed(SIZE, SEED);
    QuickCheck::new().tests(count.unwrap_or(DEFAULT_SCHEDULES)).rng(random).quickcheck(property);
}

#[test]
fn one_value_is_chosen_for_each_number_by_two_voters() {
    check_schedules(|steps| chooses_one_value_per_number(steps, 2));
}

#[test]
fn one_value_is_chosen_for_each_number_by_three_voters() {
    check_schedules(|steps| chooses_one_value_per_number(steps, 3));
}

#[test]
fn one_value_is_chosen_for_each_number_by_four_voters() {
    check_schedules(|steps| chooses_one_value_per_number(steps, 4));
}

/// The index of the first schedule in which two values are chosen for one number.
fn find_violation<Rules: ConsensusRules>(
    voter_count: u16,
    max_losses: usize,
    fault: InjectedFault,
) -> Option<u64> {
    let mut random = Gen::from_size_and_seed(SIZE, SEED);
    (0..MAX_SCHEDULES_WITH_FAULT).find(|_| {
        let steps = Vec::<Step>::arbitrary(&mut random);
        simulate::<Rules>(&steps, voter_count, max_losses, fault).is_err()
    })
}

#[test]
fn an_empty_acceptor_that_votes_at_once_is_detected() {
    assert!(find_violation::<StandardConsensusRules>(3, 1, InjectedFault::EmptyAcceptorVotes).is_some());
    assert!(find_violation::<StandardConsensusRules>(4, 2, InjectedFault::EmptyAcceptorVotes).is_some());
}

/// The steps of a proposer that learns of the lost voters, and then gets answers of `answering` in both
/// phases.
fn round(proposer: u8, answering: &[u8], lost: &[u8]) -> Vec<Step> {
    let answers = || answering.iter().map(move |voter| Step::Answer(*voter, proposer));
    let reports = lost.iter().map(|voter| Step::ReportLost(*voter, proposer));
    let mut steps = vec![Step::Begin(proposer)];
    steps.extend(reports.chain(answers()));
    steps.push(Step::Propose(proposer));
    steps.extend(answers());
    steps
}

fn lose_all(voters: &[u8]) -> Vec<Step> {
    voters.iter().map(|voter| Step::Lose(*voter)).collect()
}

/// Each half of the voters assumes that the other half is lost.
#[test]
fn old_incarnations_that_keep_running_are_detected() {
    let two = [lose_all(&[0, 1]), round(0, &[0], &[1]), round(1, &[1], &[0])].concat();
    assert!(
        simulate::<StandardConsensusRules>(&two, 2, 2, InjectedFault::OldIncarnationKeepsRunning).is_err()
    );
    assert!(simulate::<StandardConsensusRules>(&two, 2, 2, InjectedFault::None).is_ok());
    let four = [lose_all(&[0, 1, 2, 3]), round(0, &[0, 1], &[2, 3]), round(1, &[2, 3], &[0, 1])].concat();
    assert!(
        simulate::<StandardConsensusRules>(&four, 4, 4, InjectedFault::OldIncarnationKeepsRunning).is_err()
    );
    assert!(simulate::<StandardConsensusRules>(&four, 4, 4, InjectedFault::None).is_ok());
}

/// A half of the voters that is wrongly reported as lost is harmless, because every decision includes the
/// other half.
#[test]
fn half_of_the_voters_may_keep_running_although_reported_as_lost() {
    assert_eq!(
        find_violation::<StandardConsensusRules>(2, 1, InjectedFault::OldIncarnationKeepsRunning),
        None
    );
    assert_eq!(
        find_violation::<StandardConsensusRules>(4, 2, InjectedFault::OldIncarnationKeepsRunning),
        None
    );
}

#[test]
fn a_half_that_decides_without_the_other_is_detected() {
    assert!(find_violation::<HalfDecides>(2, 0, InjectedFault::None).is_some());
    assert!(find_violation::<HalfDecides>(4, 0, InjectedFault::None).is_some());
}

/// More than half of the voters are lost. The remaining voter took no part in the earlier decision and
/// decides alone.
#[test]
fn a_minority_that_decides_is_detected() {
    let three = [round(0, &[0, 1], &[]), lose_all(&[0, 1]), round(1, &[2], &[0, 1])].concat();
    assert!(simulate::<MinorityDecides>(&three, 3, 2, InjectedFault::None).is_err());
    assert!(simulate::<StandardConsensusRules>(&three, 3, 2, InjectedFault::None).is_ok());
    let four = [round(0, &[0, 1, 2], &[]), lose_all(&[0, 1, 2]), round(1, &[3], &[0, 1, 2])].concat();
    assert!(simulate::<MinorityDecides>(&four, 4, 3, InjectedFault::None).is_err());
    assert!(simulate::<StandardConsensusRules>(&four, 4, 3, InjectedFault::None).is_ok());
}

/// Even with more losses, no second value is chosen for a number.
#[test]
fn losing_more_than_half_chooses_no_second_value() {
    assert_eq!(find_violation::<StandardConsensusRules>(4, 3, InjectedFault::None), None);
    assert_eq!(find_violation::<StandardConsensusRules>(3, 2, InjectedFault::None), None);
}
