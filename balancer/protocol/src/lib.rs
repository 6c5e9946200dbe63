//! Messages of the wire protocol, decoded into and encoded from typed values. Header and field names of the
//! wire are not used outside of this package.

pub mod answer;
pub mod endpoints;
pub mod execution;
mod headers;
pub mod query;
mod report;
