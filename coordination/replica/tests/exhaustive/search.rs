//! Two searches: all interleavings from a state to a depth, and all schedules with a few departures from the ordinary
//! one (M. Emmi, S. Qadeer and Z. Rakamarić, "Delay-Bounded Scheduling", 2011).

use std::collections::{HashMap, HashSet};

use whinspindle_replica::ProtocolRules;

use crate::model::{Action, Model};
use crate::observer::hash_of;

/// What a search has come to.
#[derive(Debug, Default)]
pub struct Searched {
    /// States that differ.
    pub states: usize,
    /// Steps from one state to another.
    pub steps: usize,
    /// The depth, or the number of departures, up to which all was searched.
    pub depth: usize,
    /// What is wrong, and the actions that lead there: all of them, or the departures with the step of each.
    pub broken: Option<(String, Vec<(u64, Action)>)>,
}

/// A state that was reached, and how: the index of the state before it, and the action that led from there.
struct Reached<L> {
    model: Model<L>,
    path: usize,
}

/// All interleavings of everything that may happen, level by level, to this depth.
pub fn interleavings<L: ProtocolRules>(from: Model<L>, depth: usize) -> Searched {
    let mut searched = Searched { states: 1, ..Searched::default() };
    let mut met = HashSet::from([from.fingerprint()]);
    let mut paths: Vec<(usize, Option<Action>)> = vec![(0, None)];
    let mut level = vec![Reached { model: from, path: 0 }];
    while searched.depth < depth && !level.is_empty() {
        let mut next = Vec::new();
        for Reached { model, path } in level {
            for action in model.actions() {
                let mut after = model.clone();
                searched.steps += 1;
                if let Err(fault) = after.act(action) {
                    let mut actions = actions_to(&paths, path);
                    actions.push((model.steps, action));
                    searched.states = met.len();
                    searched.broken = Some((fault, actions));
                    return searched;
                }
                if met.insert(after.fingerprint()) {
                    paths.push((path, Some(action)));
                    next.push(Reached { model: after, path: paths.len() - 1 });
                }
            }
        }
        level = next;
        searched.depth += 1;
    }
    searched.states = met.len();
    searched
}

fn actions_to(paths: &[(usize, Option<Action>)], mut at: usize) -> Vec<(u64, Action)> {
    let mut actions = Vec::new();
    while let (before, Some(action)) = paths[at] {
        actions.push(action);
        at = before;
    }
    actions.reverse();
    actions.into_iter().enumerate().map(|(step, action)| (step as u64, action)).collect()
}

/// All schedules with up to `most` departures from the ordinary one, until the clock has gone `passes` steps.
pub fn departures<L: ProtocolRules>(from: &Model<L>, most: usize, passes: u64) -> Searched {
    let mut walk = Walk { met: HashMap::new(), path: Vec::new(), passes, searched: Searched::default() };
    // Few departures first, so that what is found is the shortest.
    for left in 0..=most {
        walk.met.clear();
        walk.go(from.clone(), left);
        walk.searched.states = walk.met.len();
        if walk.searched.broken.is_some() {
            break;
        }
        walk.searched.depth = left;
    }
    walk.searched
}

struct Walk {
    /// States that were met, and how many departures were left there.
    met: HashMap<u64, usize>,
    path: Vec<(u64, Action)>,
    passes: u64,
    searched: Searched,
}

impl Walk {
    fn go<L: ProtocolRules>(&mut self, mut model: Model<L>, left: usize) {
        while model.passed < self.passes {
            let ordinary = model.ordinary();
            let fingerprint = hash_of((model.fingerprint(), model.order_of_links()));
            if self.met.get(&fingerprint).is_some_and(|before| *before >= left) {
                return;
            }
            self.met.insert(fingerprint, left);
            if left > 0 {
                for departure in model.departures(ordinary) {
                    self.depart(model.clone(), departure, left - 1);
                    if self.searched.broken.is_some() {
                        return;
                    }
                }
            }
            if let Err(fault) = self.step(&mut model, ordinary) {
                self.searched.broken = Some((fault, self.path.clone()));
                return;
            }
        }
    }

    fn depart<L: ProtocolRules>(&mut self, mut model: Model<L>, departure: Action, left: usize) {
        self.path.push((model.steps, departure));
        match self.step(&mut model, departure) {
            Ok(()) => self.go(model, left),
            Err(fault) => self.searched.broken = Some((fault, self.path.clone())),
        }
        if self.searched.broken.is_none() {
            self.path.pop();
        }
    }

    fn step<L: ProtocolRules>(&mut self, model: &mut Model<L>, action: Action) -> Result<(), String> {
        self.searched.steps += 1;
        model.act(action)?;
        if action == Action::Pass { model.heal() } else { Ok(()) }
    }
}

/// Plays the ordinary schedule with these departures until the world is as wanted.
pub fn play<L: ProtocolRules>(
    mut model: Model<L>,
    departures: &[(u64, Action)],
    is_wanted: impl Fn(&Model<L>) -> bool,
) -> Result<Model<L>, String> {
    while !is_wanted(&model) {
        let departure = departures.iter().find(|(step, _)| *step == model.steps);
        let action = departure.map_or_else(|| model.ordinary(), |(_, action)| *action);
        model.act(action)?;
        if action == Action::Pass {
            model.heal()?;
        }
    }
    Ok(model)
}
