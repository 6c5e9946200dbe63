//! Voters that lose their durable state for good: whatever the order of events, at most one value is chosen for each
//! number as long as no more than half of the voters are lost, and planted faults are found.

use std::collections::{BTreeMap, BTreeSet};

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use whinspindle_consensus::{
    AcceptorState, Ballot, ConsensusRules, RegisterValue, Round, StandardConsensusRules, Voter,
};

/// Schedules in an ordinary run; more are drawn if this variable says so.
const ORDINARY_SCHEDULES: u64 = 4_000;
const SCHEDULES_VARIABLE: &str = "WHINSPINDLE_SCHEDULES";
/// Planted faults are to be found among so many.
const SCHEDULES_WITH_FAULT: u64 = 400_000;
/// The schedules that are drawn.
const SEED: u64 = 57;
/// Bounds the length of schedules.
const SIZE: usize = 90;
/// Voters that a schedule names; they are counted modulo the size of the core.
const MOST_VOTERS: u8 = 4;
const PROPOSERS: u8 = 2;

/// A value that names the one it was made from.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Value {
    number: u64,
    /// The ballot that it was proposed with.
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

/// What goes wrong beside the rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Planted {
    Nothing,
    /// A voter with an empty disk answers as if it were the one that was lost.
    EmptyAcceptorVotes,
    /// A voter is reported as lost while it runs on.
    OldIncarnationRunsOn,
}

/// Any number of voters decides once all others are lost.
#[derive(Clone, Debug)]
struct FewDecide;
impl ConsensusRules for FewDecide {
    fn is_quorum(votes: usize, lost: usize, of: usize) -> bool {
        Self::is_majority(votes, of) || (votes > 0 && votes + lost == of)
    }
}

/// Half of the voters decides, whatever became of the others.
#[derive(Clone, Debug)]
struct HalfDecides;
impl ConsensusRules for HalfDecides {
    fn is_quorum(votes: usize, _lost: usize, of: usize) -> bool {
        2 * votes >= of
    }
}

/// Something that happens. Voters and proposers are counted modulo their numbers.
#[derive(Clone, Copy, Debug)]
enum Step {
    Begin(u8),
    /// The voter answers the proposer's request of the present phase.
    Answer(u8, u8),
    /// The proposer learns that the voter is lost, if it is.
    Report(u8, u8),
    /// The proposer begins the second phase, if it can.
    Propose(u8),
    /// The voter loses its durable state.
    Lose(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let (voter, proposer) = (u8::arbitrary(g) % MOST_VOTERS, u8::arbitrary(g) % PROPOSERS);
        match u8::arbitrary(g) % 16 {
            0 | 1 => Step::Begin(proposer),
            2..=4 => Step::Propose(proposer),
            5 => Step::Lose(voter),
            6 | 7 => Step::Report(voter, proposer),
            _ => Step::Answer(voter, proposer),
        }
    }
}

struct Play<Rules> {
    voters: Vec<Voter>,
    acceptors: BTreeMap<Voter, AcceptorState<Value>>,
    lost: BTreeSet<Voter>,
    losses_left: usize,
    planted: Planted,
    rounds: BTreeMap<u8, Round<Value>>,
    /// The newest value that each proposer knows to be chosen.
    known: BTreeMap<u8, Value>,
    ballots: u64,
    chosen: BTreeMap<u64, Value>,
    rules: std::marker::PhantomData<Rules>,
}

impl<Rules: ConsensusRules> Play<Rules> {
    fn new(count: u16, losses: usize, planted: Planted) -> Play<Rules> {
        let voters: Vec<Voter> = (0..count).map(|member| Voter { member, incarnation: 1 }).collect();
        Play {
            acceptors: voters.iter().map(|voter| (*voter, AcceptorState::default())).collect(),
            lost: BTreeSet::new(),
            losses_left: losses,
            planted,
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

    fn take(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Begin(proposer) => self.begin(proposer),
            Step::Answer(number, proposer) => return self.answer(self.voter(number), proposer),
            Step::Report(number, proposer) => self.report(self.voter(number), proposer),
            Step::Propose(proposer) => self.propose(proposer),
            Step::Lose(number) => self.lose(self.voter(number)),
        }
        Ok(())
    }

    fn begin(&mut self, proposer: u8) {
        self.ballots += 1;
        let ballot = Ballot { epoch: 1, round: self.ballots, member: proposer.into(), start_id: 1 };
        let first = Value { number: 0, origin: Ballot::default(), voter_sets: vec![self.voters.clone()] };
        let known = self.known.get(&proposer).cloned().unwrap_or(first);
        self.rounds.insert(proposer, Round::new(ballot, known));
    }

    fn report(&mut self, voter: Voter, proposer: u8) {
        let Some(round) = self.rounds.get_mut(&proposer) else { return };
        if self.lost.contains(&voter) && !round.is_proposing() {
            round.record_lost(voter);
        }
    }

    /// A voter that has lost its state answers no more, unless a fault is planted.
    fn answer(&mut self, voter: Voter, proposer: u8) -> Result<(), String> {
        let Some(round) = self.rounds.get_mut(&proposer) else { return Ok(()) };
        if self.planted == Planted::Nothing && self.lost.contains(&voter) {
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
        self.choose(proposer, chosen)
    }

    fn choose(&mut self, proposer: u8, value: Value) -> Result<(), String> {
        self.known.insert(proposer, value.clone());
        let first = self.chosen.entry(value.number).or_insert_with(|| value.clone());
        if *first == value { Ok(()) } else { Err(format!("two values: {first:?} and {value:?}")) }
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
        if self.planted != Planted::OldIncarnationRunsOn {
            self.acceptors.insert(voter, AcceptorState::default());
        }
    }
}

/// Plays the steps in a core of so many voters, of which so many lose their state.
fn play<Rules: ConsensusRules>(
    steps: &[Step],
    count: u16,
    losses: usize,
    planted: Planted,
) -> Result<(), String> {
    let mut play = Play::<Rules>::new(count, losses, planted);
    steps.iter().try_for_each(|step| play.take(*step))
}

fn holds(steps: Vec<Step>, count: u16) -> TestResult {
    let losses = usize::from(count) / 2;
    match play::<StandardConsensusRules>(&steps, count, losses, Planted::Nothing) {
        Ok(()) => TestResult::passed(),
        Err(fault) => TestResult::error(fault),
    }
}

fn search(property: fn(Vec<Step>) -> TestResult) {
    let count = std::env::var(SCHEDULES_VARIABLE).ok().and_then(|text| text.parse().ok());
    let random = Gen::from_size_and_seed(SIZE, SEED);
    QuickCheck::new().tests(count.unwrap_or(ORDINARY_SCHEDULES)).rng(random).quickcheck(property);
}

#[test]
fn one_value_is_chosen_for_each_number_by_two_voters() {
    search(|steps| holds(steps, 2));
}

#[test]
fn one_value_is_chosen_for_each_number_by_three_voters() {
    search(|steps| holds(steps, 3));
}

#[test]
fn one_value_is_chosen_for_each_number_by_four_voters() {
    search(|steps| holds(steps, 4));
}

/// The number of the first schedule in which two values are chosen for one number.
fn found<Rules: ConsensusRules>(count: u16, losses: usize, planted: Planted) -> Option<u64> {
    let mut random = Gen::from_size_and_seed(SIZE, SEED);
    (0..SCHEDULES_WITH_FAULT).find(|_| {
        let steps = Vec::<Step>::arbitrary(&mut random);
        play::<Rules>(&steps, count, losses, planted).is_err()
    })
}

#[test]
fn an_empty_acceptor_that_votes_at_once_is_detected() {
    assert!(found::<StandardConsensusRules>(3, 1, Planted::EmptyAcceptorVotes).is_some());
    assert!(found::<StandardConsensusRules>(4, 2, Planted::EmptyAcceptorVotes).is_some());
}

/// A proposer asks these voters in both phases, after it has learned that those are lost.
fn round(proposer: u8, asked: &[u8], lost: &[u8]) -> Vec<Step> {
    let answers = || asked.iter().map(move |voter| Step::Answer(*voter, proposer));
    let reports = lost.iter().map(|voter| Step::Report(*voter, proposer));
    let mut steps = vec![Step::Begin(proposer)];
    steps.extend(reports.chain(answers()));
    steps.push(Step::Propose(proposer));
    steps.extend(answers());
    steps
}

fn all_lose(voters: &[u8]) -> Vec<Step> {
    voters.iter().map(|voter| Step::Lose(*voter)).collect()
}

/// Both halves take each other for lost.
#[test]
fn old_incarnations_that_run_on_are_detected() {
    let two = [all_lose(&[0, 1]), round(0, &[0], &[1]), round(1, &[1], &[0])].concat();
    assert!(play::<StandardConsensusRules>(&two, 2, 2, Planted::OldIncarnationRunsOn).is_err());
    assert!(play::<StandardConsensusRules>(&two, 2, 2, Planted::Nothing).is_ok());
    let four = [all_lose(&[0, 1, 2, 3]), round(0, &[0, 1], &[2, 3]), round(1, &[2, 3], &[0, 1])].concat();
    assert!(play::<StandardConsensusRules>(&four, 4, 4, Planted::OldIncarnationRunsOn).is_err());
    assert!(play::<StandardConsensusRules>(&four, 4, 4, Planted::Nothing).is_ok());
}

/// Half of the voters that are said to be lost while they run on do no harm: the other half takes part in whatever is
/// decided.
#[test]
fn half_of_the_voters_may_run_on_although_they_are_said_to_be_lost() {
    assert_eq!(found::<StandardConsensusRules>(2, 1, Planted::OldIncarnationRunsOn), None);
    assert_eq!(found::<StandardConsensusRules>(4, 2, Planted::OldIncarnationRunsOn), None);
}

#[test]
fn a_half_that_does_not_ask_for_the_other_is_detected() {
    assert!(found::<HalfDecides>(2, 0, Planted::Nothing).is_some());
    assert!(found::<HalfDecides>(4, 0, Planted::Nothing).is_some());
}

/// More are lost than half: one that was left out of all that was chosen goes on alone.
#[test]
fn fewer_than_half_that_go_on_are_detected() {
    let three = [round(0, &[0, 1], &[]), all_lose(&[0, 1]), round(1, &[2], &[0, 1])].concat();
    assert!(play::<FewDecide>(&three, 3, 2, Planted::Nothing).is_err());
    assert!(play::<StandardConsensusRules>(&three, 3, 2, Planted::Nothing).is_ok());
    let four = [round(0, &[0, 1, 2], &[]), all_lose(&[0, 1, 2]), round(1, &[3], &[0, 1, 2])].concat();
    assert!(play::<FewDecide>(&four, 4, 3, Planted::Nothing).is_err());
    assert!(play::<StandardConsensusRules>(&four, 4, 3, Planted::Nothing).is_ok());
}

/// Whatever is lost, no other value is chosen.
#[test]
fn more_losses_than_half_choose_nothing_else() {
    assert_eq!(found::<StandardConsensusRules>(4, 3, Planted::Nothing), None);
    assert_eq!(found::<StandardConsensusRules>(3, 2, Planted::Nothing), None);
}
