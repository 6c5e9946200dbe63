//! The table that finds the route of a request, as a tree over path segments. Of the routes that match, the most
//! specific wins: first by the path, segment by segment (a literal before a parameter, a parameter before a star, a
//! complete path before one with a star), then one that names the method, then the product, then the tenant.

use std::collections::HashMap;

use crate::pattern::{self, Segment};
use crate::{Route, RouteMatch};

/// A node of the tree of segments; children are indices of nodes.
#[derive(Default)]
struct Node {
    literals: HashMap<String, usize>,
    any: Option<usize>,
    /// Routes for this very path, the most specific first.
    here: Vec<usize>,
    /// Routes for this path and all below it, the most specific first.
    below: Vec<usize>,
}

/// Two routes that match the same requests, of which neither is more specific: see `RouteTable::ties`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tie {
    /// The index of the one that stands first in the file.
    pub first: usize,
    /// The index of the other.
    pub second: usize,
}

/// What decides the route of a request.
#[derive(Clone, Copy, Debug)]
pub struct Lookup<'a> {
    /// Its method.
    pub method: &'a str,
    /// Its request target: path and query.
    pub target: &'a str,
    /// The index of its product in the settings.
    pub product: usize,
    /// The index of its tenant in the settings.
    pub tenant: usize,
}

/// The method, product and tenant that a route names.
type MatchKey<'a> = (Option<&'a str>, Option<usize>, Option<usize>);

/// The routes of a file, with an index by path.
pub struct RouteTable {
    routes: Vec<Route>,
    nodes: Vec<Node>,
}

/// How specific a route is among those of one path; the larger is the more specific.
fn rank(matches: &RouteMatch) -> (bool, bool, bool) {
    (matches.method.is_some(), matches.product.is_some(), matches.tenant.is_some())
}

impl RouteTable {
    /// Indexes routes.
    pub fn new(routes: Vec<Route>) -> Self {
        let mut table = RouteTable { nodes: vec![Node::default()], routes };
        for number in 0..table.routes.len() {
            let pattern = table.routes[number].matches.path.clone();
            let mut at = 0;
            for segment in &pattern.segments {
                at = table.child(at, segment);
            }
            let node = &mut table.nodes[at];
            if pattern.is_prefix { node.below.push(number) } else { node.here.push(number) }
        }
        let routes = &table.routes;
        for node in &mut table.nodes {
            for list in [&mut node.here, &mut node.below] {
                // A stable sort: of ties the first in the file wins (the reader refuses files with ties).
                list.sort_by_key(|&number| std::cmp::Reverse(rank(&routes[number].matches)));
            }
        }
        table
    }

    /// The child of a node for a segment of a pattern; a new one if there is none.
    fn child(&mut self, at: usize, segment: &Segment) -> usize {
        let new = self.nodes.len();
        let node = &mut self.nodes[at];
        let next = match segment {
            Segment::Literal(literal) => *node.literals.entry(literal.clone()).or_insert(new),
            Segment::Parameter(_) => *node.any.get_or_insert(new),
        };
        if next == new {
            self.nodes.push(Node::default());
        }
        next
    }

    /// The routes, in the order of the file.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// The index of a request's route; none if no route matches, or if others may resolve its path to another one
    /// (see `pattern::split_target`).
    pub fn find(&self, query: &Lookup) -> Option<usize> {
        let parts = pattern::split_target(query.target)?;
        self.search(0, &parts, query)
    }

    /// The most specific match below a node. It visits each node once at most, since the tree has one path to each.
    fn search(&self, at: usize, parts: &[&str], query: &Lookup) -> Option<usize> {
        let node = &self.nodes[at];
        if let Some((part, rest)) = parts.split_first() {
            let literal = node.literals.get(*part).and_then(|&next| self.search(next, rest, query));
            let found = literal.or_else(|| node.any.and_then(|next| self.search(next, rest, query)));
            if found.is_some() {
                return found;
            }
        } else if let Some(found) = self.first_of(&node.here, query) {
            return Some(found);
        }
        self.first_of(&node.below, query)
    }

    fn first_of(&self, numbers: &[usize], query: &Lookup) -> Option<usize> {
        numbers.iter().copied().find(|&number| {
            let matches = &self.routes[number].matches;
            matches.method.as_deref().is_none_or(|method| method == query.method)
                && matches.product.is_none_or(|product| product == query.product)
                && matches.tenant.is_none_or(|tenant| tenant == query.tenant)
        })
    }

    /// The routes that tie, each with the first one of its kind.
    pub fn ties(&self) -> Vec<Tie> {
        let mut ties = Vec::new();
        for node in &self.nodes {
            for list in [&node.here, &node.below] {
                let mut seen: HashMap<MatchKey, usize> = HashMap::new();
                for &number in list {
                    let m = &self.routes[number].matches;
                    let key = (m.method.as_deref(), m.product, m.tenant);
                    match seen.get(&key) {
                        Some(&first) => {
                            ties.push(Tie { first: first.min(number), second: first.max(number) });
                        }
                        None => {
                            seen.insert(key, number);
                        }
                    }
                }
            }
        }
        ties.sort_by_key(|tie| (tie.first, tie.second));
        ties
    }
}
