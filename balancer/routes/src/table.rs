//! Which route a query takes. Of the routes that match, the most particular wins: first by the path, segment
//! by segment (a literal before a name, a name before a star, a whole path before one that goes on), then one
//! that names the method, then the product, then the tenant.

use std::collections::HashMap;

use crate::pattern::{self, Segment};
use crate::{Matches, Route};

/// A place in the tree of segments.
#[derive(Default)]
struct Place {
    literals: HashMap<String, usize>,
    any: Option<usize>,
    /// Routes for this very path, and for it and all below it, the most particular first.
    here: Vec<usize>,
    below: Vec<usize>,
}

/// Two routes of which neither is more particular, and that some query matches both.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tie {
    pub first: usize,
    pub second: usize,
}

/// What of a query decides its route.
#[derive(Clone, Copy, Debug)]
pub struct Lookup<'a> {
    pub method: &'a str,
    pub target: &'a str,
    pub product: usize,
    pub tenant: usize,
}

/// Method, product and tenant that a route names.
type Whom<'a> = (Option<&'a str>, Option<usize>, Option<usize>);

pub struct RouteTable {
    routes: Vec<Route>,
    places: Vec<Place>,
}

/// The more of these a route names, in this order, the more particular it is.
fn rank(matches: &Matches) -> (bool, bool, bool) {
    (matches.method.is_some(), matches.product.is_some(), matches.tenant.is_some())
}

impl RouteTable {
    pub fn new(routes: Vec<Route>) -> Self {
        let mut table = RouteTable { places: vec![Place::default()], routes };
        for number in 0..table.routes.len() {
            let pattern = table.routes[number].matches.path.clone();
            let mut at = 0;
            for segment in &pattern.segments {
                at = table.next(at, segment);
            }
            let place = &mut table.places[at];
            if pattern.below { place.below.push(number) } else { place.here.push(number) }
        }
        let routes = &table.routes;
        for place in &mut table.places {
            for list in [&mut place.here, &mut place.below] {
                // Stable: of ties the first in the file stands first, but ties are refused anyway.
                list.sort_by_key(|&number| std::cmp::Reverse(rank(&routes[number].matches)));
            }
        }
        table
    }

    fn next(&mut self, at: usize, segment: &Segment) -> usize {
        let new = self.places.len();
        let place = &mut self.places[at];
        let next = match segment {
            Segment::Literal(literal) => *place.literals.entry(literal.clone()).or_insert(new),
            Segment::Any(_) => *place.any.get_or_insert(new),
        };
        if next == new {
            self.places.push(Place::default());
        }
        next
    }

    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// The route of a query; none if no route is for it. A path that could mean another one elsewhere has
    /// none.
    pub fn find(&self, query: &Lookup) -> Option<usize> {
        let parts = pattern::split(query.target)?;
        self.search(0, &parts, query)
    }

    /// Every place of the tree is looked at once at most, since one path of segments leads to each.
    fn search(&self, at: usize, parts: &[&str], query: &Lookup) -> Option<usize> {
        let place = &self.places[at];
        if let Some((part, rest)) = parts.split_first() {
            let literal = place.literals.get(*part).and_then(|&next| self.search(next, rest, query));
            let found = literal.or_else(|| place.any.and_then(|next| self.search(next, rest, query)));
            if found.is_some() {
                return found;
            }
        } else if let Some(found) = self.first_of(&place.here, query) {
            return Some(found);
        }
        self.first_of(&place.below, query)
    }

    fn first_of(&self, numbers: &[usize], query: &Lookup) -> Option<usize> {
        numbers.iter().copied().find(|&number| {
            let matches = &self.routes[number].matches;
            matches.method.as_deref().is_none_or(|method| method == query.method)
                && matches.product.is_none_or(|product| product == query.product)
                && matches.tenant.is_none_or(|tenant| tenant == query.tenant)
        })
    }

    /// Routes that tie, each pair once.
    pub fn ties(&self) -> Vec<Tie> {
        let mut ties = Vec::new();
        for place in &self.places {
            for list in [&place.here, &place.below] {
                let mut seen: HashMap<Whom, usize> = HashMap::new();
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
