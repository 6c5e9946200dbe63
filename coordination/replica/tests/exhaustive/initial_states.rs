//! States from which the searches depart.

use whinspindle_replica::{Message, ProtocolRules};

use crate::common::history::Asked;
use crate::model::{Action, Budget, FOUR, Model, Order, THREE, TWO};
use crate::search::play;

/// Faults without end, but for losses of what is durable.
pub const AMPLE: Budget =
    Budget { losses: 9, duplicates: 9, crashes: 9, cuts: 9, lost_disks: 1, replacements: 1, passes: u8::MAX };

/// Like it, where all disks that may be lost are.
pub const NO_MORE_LOST: Budget = Budget { lost_disks: 0, replacements: 0, ..AMPLE };

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InitialState {
    /// Empty disks.
    Empty,
    /// Three voters in the chain, and nothing was asked for yet.
    Steady,
    /// The last member is down, and the others have gone on without it.
    OneDown,
    /// The first two members don't hear each other; both are heard by the third.
    Apart,
    /// The head is down, and the view without it is voted for.
    HeadLost,
    /// The last member is gone for good, and an empty machine has come in its place.
    Replaced,
    /// The joint voters of before and after the replacement of the head are voted for.
    Joint,
    /// The last member is cut off, and a replica that did not vote may take its place.
    CutOff,
    /// The first member was cut off and is to join the second, which alone is complete: the last one is cut off. What
    /// those two have committed has not been told to the first.
    Alone,
    /// Two voters, and nothing was asked for yet.
    Two,
    /// One of two voters has lost its disk, and the other asks about it.
    HalfOfTwoLost,
    /// The same, while both voters of after it are voted for.
    HalfOfTwoReplaced,
    /// Two of four voters have lost their disks, and the others ask about them.
    HalfOfFourLost,
}

impl InitialState {
    pub fn model<L: ProtocolRules>(self) -> Model<L> {
        let empty = Model::<L>::new(THREE, orders(THREE.members), AMPLE);
        let two = || Model::<L>::new(TWO, orders(TWO.members), NO_MORE_LOST);
        let crash = |machine| Action::Crash { machine, writes: true };
        match self {
            InitialState::Empty => empty,
            InitialState::Steady => pass(empty, 2),
            InitialState::OneDown => pass(suffer(pass(empty, 2), &[crash(2)]), 4),
            InitialState::Apart => {
                let cut = [Action::Cut((0, 1)), Action::Cut((1, 0))];
                pass(suffer(pass(empty, 2), &cut), 1)
            }
            InitialState::HeadLost => {
                let model = suffer(pass(empty, 3), &[crash(0)]);
                go_on(model, |model| model.carries(|message| matches!(message, Message::Accept { .. })))
            }
            InitialState::Replaced => pass(suffer(pass(empty, 2), &[Action::Replace(2)]), 3),
            InitialState::Joint => {
                let model = suffer(pass(empty, 4), &[Action::Replace(0)]);
                go_on(model, |model| model.carries(is_joint))
            }
            InitialState::CutOff => {
                let mut model = empty;
                model.add().expect("a start breaks nothing");
                pass(suffer(pass(model, 4), &[Action::Isolate(2)]), 3)
            }
            InitialState::Alone => {
                let model = pass(suffer(pass(empty, 2), &[Action::Isolate(0)]), 5);
                go_on_untaught(suffer(model, &[Action::Heal, Action::Isolate(2)]))
            }
            InitialState::Two => pass(two(), 2),
            InitialState::HalfOfTwoLost => go_on(lose_half(two(), &[1]), |model| model.carries(asks_of_lost)),
            InitialState::HalfOfTwoReplaced => go_on(lose_half(two(), &[1]), |model| model.carries(is_joint)),
            InitialState::HalfOfFourLost => {
                let four = Model::<L>::new(FOUR, orders(FOUR.members), NO_MORE_LOST);
                go_on(lose_half(four, &[1, 3]), |model| model.carries(asks_of_lost))
            }
        }
    }
}

/// Goes on until a view of two is voted for; nobody is told of what was committed.
fn go_on_untaught<L: ProtocolRules>(mut model: Model<L>) -> Model<L> {
    let is_voted_for = |message: &Message| matches!(message, Message::Accept { view, .. } if view.chain.iter().any(|link| link.since_view == view.number));
    while !model.carries(is_voted_for) {
        let next = match model.ordinary() {
            Action::Deliver(link)
                if model.brings(link, |message| matches!(message, Message::Learn { .. })) =>
            {
                Action::Lose(link)
            }
            next => next,
        };
        model = suffer(model, &[next]);
        if next == Action::Pass {
            model.heal().expect("a start breaks nothing");
        }
    }
    model.budget = AMPLE;
    model
}

/// After an order these lose their disks, and start again with empty ones.
fn lose_half<L: ProtocolRules>(model: Model<L>, lost: &[usize]) -> Model<L> {
    let mut model = pass(model, 4);
    model.budget.lost_disks = AMPLE.lost_disks * 2;
    let lose = lost.iter().map(|machine| Action::LoseDisk(*machine));
    let start = lost.iter().map(|machine| Action::Start(*machine));
    let actions: Vec<Action> = lose.chain(start).collect();
    let mut model = suffer(model, &actions);
    model.budget = NO_MORE_LOST;
    model
}

fn asks_of_lost(message: &Message) -> bool {
    matches!(message, Message::VoterLost { .. })
}

fn is_joint(message: &Message) -> bool {
    matches!(message, Message::Accept { view, .. } if view.voter_sets.len() == 2)
}

/// Two orders on one base, and reads in between and at the end.
fn orders(machines: usize) -> Vec<Order> {
    let swap = |after, machine, new: &str| {
        let asked = Asked::Swap { old: "-".to_string(), new: new.to_string() };
        Order { after, machine: machine % machines, asked }
    };
    let get = |after, machine| Order { after, machine: machine % machines, asked: Asked::Get };
    vec![swap(3, 0, "one"), swap(6, 1, "two"), get(9, 2), get(16, 1), get(16, 2), get(16, 0)]
}

fn suffer<L: ProtocolRules>(mut model: Model<L>, actions: &[Action]) -> Model<L> {
    for action in actions {
        model.act(*action).expect("one fault breaks nothing");
    }
    model
}

fn pass<L: ProtocolRules>(model: Model<L>, passes: u64) -> Model<L> {
    let until = model.passed + passes;
    go_on(model, |model| model.passed >= until)
}

fn go_on<L: ProtocolRules>(model: Model<L>, is_wanted: impl Fn(&Model<L>) -> bool) -> Model<L> {
    play(model, &[], is_wanted).expect("the ordinary schedule breaks nothing")
}
