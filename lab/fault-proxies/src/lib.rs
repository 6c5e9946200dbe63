//! Several processes of the program as one fleet on loopback, with relays between them that lose, delay,
//! repeat and cut, and a referee that asks each process from outside by which policy it decides.

#![allow(missing_docs, reason = "not every public item is documented yet")]
#![allow(clippy::too_many_lines, reason = "functions from before the limit, to be split")]

mod fleet;
pub mod hunt;
mod referee;
mod relay;

pub use fleet::{Command, Stand, address, next_stand};
pub use referee::{Question, Referee, Seen, judged};
pub use relay::{Relays, Way};
