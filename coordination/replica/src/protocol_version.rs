//! Versions of the protocol between replicas.
//!
//! Each heartbeat carries the version that its sender speaks. A message that earlier versions cannot read is sent only to
//! a replica whose heartbeats carry a version that can, so that releases stand beside each other during a rollout.

/// The version that this release speaks. Releases that send none speak version 0.
pub const PROTOCOL_VERSION: u16 = 1;

/// The first version that reads [`crate::Message::VoterLost`].
pub const MIN_VERSION_FOR_VOTER_LOST: u16 = 1;
