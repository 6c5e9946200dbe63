//! Routes: what an operator sets for some of the queries, which route a query takes, and the proof that no
//! schedule that a route allows can break a rule. Free of I/O and clock; times are microseconds.

#![allow(missing_docs, reason = "not every public item is documented yet")]
#![allow(clippy::too_many_lines, reason = "functions from before the limit, to be split")]

pub mod pattern;
pub mod proof;
mod table;

use whinspindle::host::Effect;
pub use whinspindle::host::{HedgePolicy, RetryOn};

use pattern::Pattern;
pub use table::{Lookup, RouteTable, Tie};

/// The servers that may take a route's queries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Servers {
    /// Names of zones and kinds; none means any.
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// Repeats stay in the zone, or in the pod, of the first execution.
    pub repeats_in_zone: bool,
    pub repeats_in_pod: bool,
}

/// What a route sets for its queries.
#[derive(Clone, Debug, PartialEq)]
pub struct Conditions {
    /// For the whole query, from when it was taken to its final answer.
    pub time: u64,
    /// For one execution, from its send to its end.
    pub execution_time: u64,
    pub executions: usize,
    pub retry_on: RetryOn,
    /// Before a repeat; the spread is the part of it that may come on top.
    pub wait: u64,
    pub spread: f64,
    pub hedge: HedgePolicy,
    /// Repeats as a part of the route's queries.
    pub budget: f64,
    pub largest_body: u64,
    pub servers: Servers,
}

/// Whom a route is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Matches {
    /// None: any method.
    pub method: Option<String>,
    pub path: Pattern,
    /// Indices in the settings; none: any.
    pub product: Option<usize>,
    pub tenant: Option<usize>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: String,
    pub matches: Matches,
    /// A row for each product of the settings; they differ only in what the product decides by itself.
    pub conditions: Vec<Conditions>,
}

impl Route {
    /// Whether queries of a product can take this route.
    pub fn is_for(&self, product: usize) -> bool {
        self.matches.product.is_none_or(|only| only == product)
    }
}

/// What the settings say of a product, as far as the proof needs it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProductRow {
    pub effect: Effect,
    pub memory_span: u64,
    pub statement_timeout: u64,
}

/// What the deployment allows and demands, as far as the proof needs it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    pub executions: usize,
    pub allow_hedging: bool,
    pub cancel: bool,
    pub connect_time_out: u64,
    /// Timers fire up to so much late.
    pub tick: u64,
    /// What the way to a server may take beside the connect time-out.
    pub network: u64,
    pub largest_body: u64,
}
