//! Heartbeats that upstream instances send to a controller as JSON.

// The code that `DeJson` derives uses `return Err(..)` in place of `?`.
#![allow(clippy::question_mark, reason = "code derived by nanoserde")]

use std::net::SocketAddr;

use nanoserde::DeJson;
use snafu::{ResultExt, Snafu};

use crate::json::JsonError;
use crate::number::{RoundedUp, WholeNumber};

/// Whether an upstream instance accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceState {
    /// The instance accepts new requests.
    Ready,
    /// The instance only completes the requests that it has already accepted.
    Draining,
}

/// The state that an upstream instance reports about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The name of the service to which the instance belongs.
    pub backend: String,
    /// The address on which the instance accepts requests.
    pub address: SocketAddr,
    /// The zone in which the instance runs.
    pub zone: String,
    /// The generation of the instance's software; empty if the heartbeat doesn't contain one.
    pub generation: String,
    /// The number of requests that the instance handles concurrently.
    pub slots: u32,
    /// Whether the instance accepts new requests.
    pub state: InstanceState,
    /// The remaining duration of the instance's slow start, in milliseconds.
    pub slow_start_ms: u64,
    /// The time until the instance is stopped at short notice, in milliseconds.
    pub remaining_ms: Option<u64>,
    /// A sequence number that increases with each heartbeat.
    pub sequence: u64,
}

/// The reason why a heartbeat was rejected.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum HeartbeatError {
    /// The body is not a JSON object with the keys of a heartbeat.
    #[snafu(display("the heartbeat can't be read: {source}"))]
    Unreadable {
        /// The error of the JSON parser.
        source: JsonError,
    },

    /// The address can't be parsed.
    #[snafu(display("`address` is `{address}`: {source}"))]
    InvalidAddress {
        /// The value of `address`.
        address: String,
        /// The error of the address parser.
        source: std::net::AddrParseError,
    },

    /// The state is neither `ready` nor `draining`.
    #[snafu(display("`state` is `{state}`, neither `ready` nor `draining`"))]
    UnknownState {
        /// The value of `state`.
        state: String,
    },
}

#[derive(DeJson)]
struct RawHeartbeat {
    backend: String,
    address: String,
    zone: String,
    generation: Option<String>,
    slots: Option<WholeNumber>,
    state: String,
    cold_ms: Option<RoundedUp>,
    remaining_ms: Option<RoundedUp>,
    seq: WholeNumber,
}

impl Heartbeat {
    /// Parses the body of a heartbeat.
    pub fn parse(bytes: &[u8]) -> Result<Heartbeat, HeartbeatError> {
        let raw: RawHeartbeat = crate::json::parse(bytes).context(UnreadableSnafu)?;
        let address = raw.address.parse().context(InvalidAddressSnafu { address: &raw.address })?;
        Ok(Heartbeat {
            backend: raw.backend,
            address,
            zone: raw.zone,
            generation: raw.generation.unwrap_or_default(),
            slots: raw.slots.unwrap_or(WholeNumber(1)).saturating_convert(),
            state: parse_state(&raw.state)?,
            slow_start_ms: raw.cold_ms.unwrap_or_default().0,
            remaining_ms: raw.remaining_ms.map(|remaining| remaining.0),
            sequence: raw.seq.0,
        })
    }
}

fn parse_state(state: &str) -> Result<InstanceState, HeartbeatError> {
    match state {
        "ready" => Ok(InstanceState::Ready),
        "draining" => Ok(InstanceState::Draining),
        _ => UnknownStateSnafu { state }.fail(),
    }
}
