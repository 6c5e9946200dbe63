//! Whole members over a network that the search rules. A plain schedule founds a fleet and makes two changes;
//! the search departs from it at every delivery, in every way it knows, up to so many departures together
//! (delay-bounded scheduling: M. Emmi, S. Qadeer, Z. Rakamaric, "Delay-Bounded Scheduling", 2011). Clocks run
//! at the rates that the terms allow. The judge sees only by which number each member would decide at each
//! moment.

mod judge;
mod outcome;
mod schedule;
mod search;
mod world;

pub use schedule::{Departure, FAULTS, Fault, PLAIN, Plan, STEPS, release};
pub use search::{Searched, hunt, search};
pub use world::World;
