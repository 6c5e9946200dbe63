//! Several processes of the program as one fleet on loopback, with relays between them that lose, delay,
//! repeat and cut, and a referee that asks each process from outside by which policy it decides.

mod fleet;
pub mod hunt;
mod referee;
mod relay;

pub use fleet::{Command, Stand, address, next_stand};
pub use referee::{Question, Referee, Seen, judged};
pub use relay::{Relays, Way};
