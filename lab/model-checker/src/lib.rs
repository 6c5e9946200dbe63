//! Searches over the agreement of a fleet, over the very code that ships. `register` walks every order of
//! deliveries of two rounds; `members` plays whole members and departs from the plain schedule at every place;
//! `sizes` plays whole fleets in virtual time; `plants` are the faults that the searches must find.

#![allow(missing_docs, reason = "not every public item is documented yet")]
#![allow(clippy::too_many_lines, reason = "functions from before the limit, to be split")]

pub mod members;
mod net;
pub mod plants;
pub mod register;
pub mod sizes;
pub mod verdicts;
