//! The table that finds the route of a request, a tree over path segments. Of the routes that match, the most
//! specific wins. The path is compared first, segment by segment: a literal comes before a parameter, a
//! parameter before a star, and a complete path before one with a star. Among equal paths a route that names
//! the method comes first, then one that names the product, then one that names the tenant.

use std::collections::HashMap;

use crate::pattern::{self, Segment};
use crate::{Route, RouteMatch};

/// A node of the tree. Children are indices of nodes.
#[derive(Default)]
struct Node {
    literal_children: HashMap<String, usize>,
    parameter_child: Option<usize>,
    /// Routes for exactly this path, the most specific first.
    exact: Vec<usize>,
    /// Routes for this path and all below it, the most specific first.
    prefix: Vec<usize>,
}

/// Two routes that match the same requests and are equally specific: see `RouteTable::ties`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tie {
    /// The index of the earlier route in the file.
    pub first: usize,
    /// The index of the later route.
    pub second: usize,
}

/// The properties of a request that decide its route.
#[derive(Clone, Copy, Debug)]
pub struct Lookup<'a> {
    /// The method.
    pub method: &'a str,
    /// The request target, with path and query.
    pub target: &'a str,
    /// The index of the product in the settings.
    pub product: usize,
    /// The index of the tenant in the settings.
    pub tenant: usize,
}

/// The method, product and tenant that a route names.
type MatchKey<'a> = (Option<&'a str>, Option<usize>, Option<usize>);

/// The routes of a file, indexed by path.
pub struct RouteTable {
    routes: Vec<Route>,
    nodes: Vec<Node>,
}

/// The rank of a route among those with the same path; a more specific route has a larger rank.
fn specificity(matches: &RouteMatch) -> (bool, bool, bool) {
    (matches.method.is_some(), matches.product.is_some(), matches.tenant.is_some())
}

impl RouteTable {
    /// Builds the table of these routes.
    pub fn new(routes: Vec<Route>) -> Self {
        let mut table = RouteTable { nodes: vec![Node::default()], routes };
        for number in 0..table.routes.len() {
            let pattern = table.routes[number].matches.path.clone();
            let mut node_index = 0;
            for segment in &pattern.segments {
                node_index = table.child(node_index, segment);
            }
            let node = &mut table.nodes[node_index];
            if pattern.is_prefix { node.prefix.push(number) } else { node.exact.push(number) }
        }
        let routes = &table.routes;
        for node in &mut table.nodes {
            for list in [&mut node.exact, &mut node.prefix] {
                // The sort is stable, so that of tied routes the first in the file wins. The parser of the
                // operator's file refuses ties.
                list.sort_by_key(|&number| std::cmp::Reverse(specificity(&routes[number].matches)));
            }
        }
        table
    }

    /// The child of a node for a segment of a pattern, which is added if there is none.
    fn child(&mut self, node_index: usize, segment: &Segment) -> usize {
        let new_index = self.nodes.len();
        let node = &mut self.nodes[node_index];
        let child = match segment {
            Segment::Literal(literal) => *node.literal_children.entry(literal.clone()).or_insert(new_index),
            Segment::Parameter(_) => *node.parameter_child.get_or_insert(new_index),
        };
        if child == new_index {
            self.nodes.push(Node::default());
        }
        child
    }

    /// The routes, in the order of the file.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// The index of a request's route. None if no route matches, or if a server may resolve the request's
    /// path to another one (see `pattern::split_target`).
    pub fn find(&self, lookup: &Lookup) -> Option<usize> {
        let parts = pattern::split_target(lookup.target)?;
        self.search(0, &parts, lookup)
    }

    /// The most specific match below a node. Each node is visited at most once, since the tree has one path
    /// to each.
    fn search(&self, node_index: usize, parts: &[&str], lookup: &Lookup) -> Option<usize> {
        let node = &self.nodes[node_index];
        if let Some((part, rest)) = parts.split_first() {
            let literal =
                node.literal_children.get(*part).and_then(|&child| self.search(child, rest, lookup));
            let found =
                literal.or_else(|| node.parameter_child.and_then(|child| self.search(child, rest, lookup)));
            if found.is_some() {
                return found;
            }
        } else if let Some(found) = self.first_match(&node.exact, lookup) {
            return Some(found);
        }
        self.first_match(&node.prefix, lookup)
    }

    fn first_match(&self, routes: &[usize], lookup: &Lookup) -> Option<usize> {
        routes.iter().copied().find(|&route| {
            let matches = &self.routes[route].matches;
            matches.method.as_deref().is_none_or(|method| method == lookup.method)
                && matches.product.is_none_or(|product| product == lookup.product)
                && matches.tenant.is_none_or(|tenant| tenant == lookup.tenant)
        })
    }

    /// The ties between routes, each with the first of the tied routes.
    pub fn ties(&self) -> Vec<Tie> {
        let mut ties = Vec::new();
        for node in &self.nodes {
            for list in [&node.exact, &node.prefix] {
                let mut first_by_key: HashMap<MatchKey, usize> = HashMap::new();
                for &route in list {
                    let matches = &self.routes[route].matches;
                    let key = (matches.method.as_deref(), matches.product, matches.tenant);
                    match first_by_key.get(&key) {
                        Some(&first) => {
                            ties.push(Tie { first: first.min(route), second: first.max(route) });
                        }
                        None => {
                            first_by_key.insert(key, route);
                        }
                    }
                }
            }
        }
        ties.sort_by_key(|tie| (tie.first, tie.second));
        ties
    }
}
