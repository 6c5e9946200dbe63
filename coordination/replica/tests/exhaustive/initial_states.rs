//! The initial states of the searches.

use whinspindle_replica::{Message, ProtocolRules};

use crate::common::history::Request;
use crate::model::{Action, Budget, FOUR, Model, ScheduledRequest, THREE, TWO};
use crate::search::play;

/// Practically unlimited faults, except for one lost disk and one replacement.
pub const FULL_BUDGET: Budget =
    Budget { losses: 9, duplicates: 9, crashes: 9, cuts: 9, lost_disks: 1, replacements: 1, passes: u8::MAX };

/// Like [`FULL_BUDGET`], after all tolerated disks have been lost.
pub const NO_LOST_DISKS: Budget = Budget { lost_disks: 0, replacements: 0, ..FULL_BUDGET };

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InitialState {
    /// Empty disks.
    Empty,
    /// Three voters in the chain, before the first request.
    Steady,
    /// The last member is down, and the others have continued without it.
    OneDown,
    /// The first two members are disconnected from each other; the third is connected to both.
    Disconnected,
    /// The head is down, and the vote for a view without it is in progress.
    HeadLost,
    /// The last member was replaced by an empty machine.
    Replaced,
    /// The head was replaced, and the vote for the joint voter sets is in progress.
    JointVoters,
    /// The last member is partitioned, and a replica that was not a voter can replace it.
    Partitioned,
    /// The second member is the only complete one. The last member is partitioned, and the first was
    /// partitioned and now joins the second without knowing which entries the other two have committed.
    OneComplete,
    /// Two voters, before the first request.
    Two,
    /// One of two voters has lost its disk, and a question about the lost voter is in flight.
    HalfOfTwoLost,
    /// One of two voters has lost its disk, and the vote for the joint voter sets is in progress.
    HalfOfTwoReplaced,
    /// Two of four voters have lost their disks, and a question about a lost voter is in flight.
    HalfOfFourLost,
}

impl InitialState {
    pub fn model<L: ProtocolRules>(self) -> Model<L> {
        let empty = Model::<L>::new(THREE, scheduled_requests(THREE.members), FULL_BUDGET);
        let two = || Model::<L>::new(TWO, scheduled_requests(TWO.members), NO_LOST_DISKS);
        let crash = |machine| Action::Crash { machine, writes: true };
        match self {
            InitialState::Empty => empty,
            InitialState::Steady => pass(empty, 2),
            InitialState::OneDown => pass(apply_actions(pass(empty, 2), &[crash(2)]), 4),
            InitialState::Disconnected => {
                let cut = [Action::Cut((0, 1)), Action::Cut((1, 0))];
                pass(apply_actions(pass(empty, 2), &cut), 1)
            }
            InitialState::HeadLost => {
                let model = apply_actions(pass(empty, 3), &[crash(0)]);
                run_until(model, |model| {
                    model.has_in_flight(|message| matches!(message, Message::Accept { .. }))
                })
            }
            InitialState::Replaced => pass(apply_actions(pass(empty, 2), &[Action::Replace(2)]), 3),
            InitialState::JointVoters => {
                let model = apply_actions(pass(empty, 4), &[Action::Replace(0)]);
                run_until(model, |model| model.has_in_flight(is_joint))
            }
            InitialState::Partitioned => {
                let mut model = empty;
                model.add().expect("a start breaks nothing");
                pass(apply_actions(pass(model, 4), &[Action::Isolate(2)]), 3)
            }
            InitialState::OneComplete => {
                let model = pass(apply_actions(pass(empty, 2), &[Action::Isolate(0)]), 5);
                run_until_join_without_records(apply_actions(model, &[Action::Heal, Action::Isolate(2)]))
            }
            InitialState::Two => pass(two(), 2),
            InitialState::HalfOfTwoLost => {
                run_until(lose_disks(two(), &[1]), |model| model.has_in_flight(is_about_lost_voter))
            }
            InitialState::HalfOfTwoReplaced => {
                run_until(lose_disks(two(), &[1]), |model| model.has_in_flight(is_joint))
            }
            InitialState::HalfOfFourLost => {
                let four = Model::<L>::new(FOUR, scheduled_requests(FOUR.members), NO_LOST_DISKS);
                run_until(lose_disks(four, &[1, 3]), |model| model.has_in_flight(is_about_lost_voter))
            }
        }
    }
}

/// Runs until the vote for a view with a joining member is in progress, and loses all messages that transfer
/// committed records.
fn run_until_join_without_records<L: ProtocolRules>(mut model: Model<L>) -> Model<L> {
    let is_voted_for = |message: &Message| matches!(message, Message::Accept { view, .. } if view.chain.iter().any(|link| link.since_view == view.number));
    while !model.has_in_flight(is_voted_for) {
        let next = match model.ordinary() {
            Action::Deliver(link)
                if model.oldest_matches(link, |message| matches!(message, Message::Learn { .. })) =>
            {
                Action::Lose(link)
            }
            next => next,
        };
        model = apply_actions(model, &[next]);
        if next == Action::Pass {
            model.heal().expect("a start breaks nothing");
        }
    }
    model.budget = FULL_BUDGET;
    model
}

/// Runs past the first request, then restarts the given machines with empty disks.
fn lose_disks<L: ProtocolRules>(model: Model<L>, lost: &[usize]) -> Model<L> {
    let mut model = pass(model, 4);
    model.budget.lost_disks = FULL_BUDGET.lost_disks * 2;
    let lose = lost.iter().map(|machine| Action::LoseDisk(*machine));
    let start = lost.iter().map(|machine| Action::Start(*machine));
    let actions: Vec<Action> = lose.chain(start).collect();
    let mut model = apply_actions(model, &actions);
    model.budget = NO_LOST_DISKS;
    model
}

fn is_about_lost_voter(message: &Message) -> bool {
    matches!(message, Message::VoterLost { .. })
}

fn is_joint(message: &Message) -> bool {
    matches!(message, Message::Accept { view, .. } if view.voter_sets.len() == 2)
}

/// Two swaps of the same old value, with reads between them and at the end.
fn scheduled_requests(machines: usize) -> Vec<ScheduledRequest> {
    let swap = |after, machine, new: &str| {
        let request = Request::Swap { old: "-".to_string(), new: new.to_string() };
        ScheduledRequest { after, machine: machine % machines, request }
    };
    let get = |after, machine| ScheduledRequest { after, machine: machine % machines, request: Request::Get };
    vec![swap(3, 0, "one"), swap(6, 1, "two"), get(9, 2), get(16, 1), get(16, 2), get(16, 0)]
}

fn apply_actions<L: ProtocolRules>(mut model: Model<L>, actions: &[Action]) -> Model<L> {
    for action in actions {
        model.act(*action).expect("one fault breaks nothing");
    }
    model
}

fn pass<L: ProtocolRules>(model: Model<L>, passes: u64) -> Model<L> {
    let until = model.passed + passes;
    run_until(model, |model| model.passed >= until)
}

fn run_until<L: ProtocolRules>(model: Model<L>, is_reached: impl Fn(&Model<L>) -> bool) -> Model<L> {
    play(model, &[], is_reached).expect("the ordinary schedule breaks nothing")
}
