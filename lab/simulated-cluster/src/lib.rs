//! A simulated network, clock and disk for tests of whole clusters in one process.
//!
//! A [`Cluster`] runs any state machine that takes inputs and returns effects ([`Process`]) on nodes with an address
//! and, if wanted, a disk. Everything that happens is drawn from one seed, so that a run can be played again.

#![allow(missing_docs, reason = "not every public item is documented yet")]

mod cluster;
mod disk;
mod network;
mod process;

pub use cluster::{Cluster, Occurrence};
pub use disk::{Disk, DiskTiming, DiskTraffic};
pub use network::{Network, NetworkTiming};
pub use process::{Effect, Event, Process, Recovered, Start};
pub use whinspindle::pcg::Pcg;
