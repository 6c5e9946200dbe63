//! A small serving cluster on loopback: the real programs as child processes, and around them stand-in upstreams,
//! clients and an operator that speak the public protocol. A referee watches what these have seen.

#![allow(missing_docs, reason = "not every public item is documented yet")]

pub mod cluster;
pub mod command_line;
pub mod engine;
pub mod prompt_ledger;
pub mod random;
pub mod referee;
pub mod schedule;
pub mod tally;
pub mod traffic;

mod control_client;
mod deployment;
mod headers;
mod operator;
mod processes;
mod settings_file;
mod stage;
mod table;
mod upstream;
mod usage;
