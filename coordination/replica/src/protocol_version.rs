//! Versions of the protocol between replicas.
//!
//! Each heartbeat contains the protocol version of its sender. A message that earlier versions cannot
//! decode is sent only to replicas with a version that supports it, so that different releases can run
//! together during a rollout.

/// The version of this release. Releases that send no version have version 0.
pub const PROTOCOL_VERSION: u16 = 1;

/// The first version that supports [`crate::Message::VoterLost`].
pub const MIN_VERSION_FOR_VOTER_LOST: u16 = 1;
