//! Several processes of the program as one fleet on loopback, with relays between them that lose, delay, repeat and
//! cut, and a referee that asks each process from outside by which policy it decides.

mod fleet;
mod referee;
mod relay;

pub use fleet::{Command, Stand};
pub use referee::{Referee, Seen};
pub use relay::{Relays, Way};
