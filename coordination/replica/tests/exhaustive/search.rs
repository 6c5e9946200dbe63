//! Two searches: all interleavings from a state to a depth, and all schedules with a few departures from the
//! ordinary one (M. Emmi, S. Qadeer and Z. Rakamarić, "Delay-Bounded Scheduling", 2011).

use std::collections::{HashMap, HashSet};

use whinspindle_replica::ProtocolRules;

use crate::model::{Action, Model};
use crate::observer::hash_of;

/// The result of a search.
#[derive(Debug, Default)]
pub struct SearchResult {
    /// The number of different states.
    pub states: usize,
    /// The number of executed steps.
    pub steps: usize,
    /// The depth or the number of departures up to which the search is complete.
    pub depth: usize,
    /// The violated invariant and the actions that lead to it with their steps: all actions or only the
    /// departures.
    pub violation: Option<(String, Vec<(u64, Action)>)>,
}

/// A reached state and the index of its entry in the list of paths.
struct ReachedState<L> {
    model: Model<L>,
    path: usize,
}

/// Searches all interleavings of all possible actions breadth-first to a depth.
pub fn interleavings<L: ProtocolRules>(from: Model<L>, depth: usize) -> SearchResult {
    let mut result = SearchResult { states: 1, ..SearchResult::default() };
    let mut visited = HashSet::from([from.fingerprint()]);
    let mut paths: Vec<(usize, Option<Action>)> = vec![(0, None)];
    let mut level = vec![ReachedState { model: from, path: 0 }];
    while result.depth < depth && !level.is_empty() {
        let mut next = Vec::new();
        for ReachedState { model, path } in level {
            for action in model.actions() {
                let mut after = model.clone();
                result.steps += 1;
                if let Err(fault) = after.act(action) {
                    let mut actions = actions_to(&paths, path);
                    actions.push((model.steps, action));
                    result.states = visited.len();
                    result.violation = Some((fault, actions));
                    return result;
                }
                if visited.insert(after.fingerprint()) {
                    paths.push((path, Some(action)));
                    next.push(ReachedState { model: after, path: paths.len() - 1 });
                }
            }
        }
        level = next;
        result.depth += 1;
    }
    result.states = visited.len();
    result
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

/// Searches all schedules with up to `most` departures from the ordinary one until the clock has advanced
/// `passes` steps.
pub fn departures<L: ProtocolRules>(from: &Model<L>, most: usize, passes: u64) -> SearchResult {
    let mut search = DepartureSearch {
        visited: HashMap::new(),
        path: Vec::new(),
        passes,
        result: SearchResult::default(),
    };
    // Schedules with few departures come first, so that the search finds the shortest failing path.
    for left in 0..=most {
        search.visited.clear();
        search.explore(from.clone(), left);
        search.result.states = search.visited.len();
        if search.result.violation.is_some() {
            break;
        }
        search.result.depth = left;
    }
    search.result
}

struct DepartureSearch {
    /// Visited states and the number of departures that were left there.
    visited: HashMap<u64, usize>,
    path: Vec<(u64, Action)>,
    passes: u64,
    result: SearchResult,
}

impl DepartureSearch {
    fn explore<L: ProtocolRules>(&mut self, mut model: Model<L>, left: usize) {
        while model.passed < self.passes {
            let ordinary = model.ordinary();
            let fingerprint = hash_of((model.fingerprint(), model.order_of_links()));
            if self.visited.get(&fingerprint).is_some_and(|before| *before >= left) {
                return;
            }
            self.visited.insert(fingerprint, left);
            if left > 0 {
                for departure in model.departures(ordinary) {
                    self.depart(model.clone(), departure, left - 1);
                    if self.result.violation.is_some() {
                        return;
                    }
                }
            }
            if let Err(fault) = self.step(&mut model, ordinary) {
                self.result.violation = Some((fault, self.path.clone()));
                return;
            }
        }
    }

    fn depart<L: ProtocolRules>(&mut self, mut model: Model<L>, departure: Action, left: usize) {
        self.path.push((model.steps, departure));
        match self.step(&mut model, departure) {
            Ok(()) => self.explore(model, left),
            Err(fault) => self.result.violation = Some((fault, self.path.clone())),
        }
        if self.result.violation.is_none() {
            self.path.pop();
        }
    }

    fn step<L: ProtocolRules>(&mut self, model: &mut Model<L>, action: Action) -> Result<(), String> {
        self.result.steps += 1;
        model.act(action)?;
        if action == Action::Pass { model.heal() } else { Ok(()) }
    }
}

/// Runs the ordinary schedule with the given departures until the model satisfies a condition.
pub fn play<L: ProtocolRules>(
    mut model: Model<L>,
    departures: &[(u64, Action)],
    is_reached: impl Fn(&Model<L>) -> bool,
) -> Result<Model<L>, String> {
    while !is_reached(&model) {
        let departure = departures.iter().find(|(step, _)| *step == model.steps);
        let action = departure.map_or_else(|| model.ordinary(), |(_, action)| *action);
        model.act(action)?;
        if action == Action::Pass {
            model.heal()?;
        }
    }
    Ok(model)
}
