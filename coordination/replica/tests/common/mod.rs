//! Clusters of replicas in a simulated network, their clients and a linearizability checker.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod changes;
pub mod clients;
pub mod faulty;
pub mod history;
pub mod node;
pub mod schedule;
