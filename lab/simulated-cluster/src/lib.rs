//! A simulated network, clock and disk for tests of whole clusters in one process.
//!
//! A [`Cluster`] runs a state machine that takes events and returns effects ([`Process`]) on nodes, each with an
//! address and a disk. All random numbers are drawn from one seed, so that a run can be repeated.

mod cluster;
mod disk;
mod network;
mod process;

pub use cluster::{Cluster, TimedAnswer};
pub use disk::{Disk, DiskTiming, DiskTraffic};
pub use network::{Network, NetworkTiming};
pub use process::{Effect, Event, Process, Recovered, Start};
pub use whinspindle::pcg::Pcg;
