//! The body of an upstream's heartbeat.

// `DeJson`'s derive writes `return Err(..)` where `?` would do.
#![allow(clippy::question_mark, reason = "the parsers that nanoserde derives return early in their own way")]

use std::net::SocketAddr;

use nanoserde::DeJson;
use snafu::{ResultExt, Snafu};

use crate::json::JsonError;
use crate::number::{RoundedUp, Whole};

/// Whether an upstream takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceState {
    Ready,
    Draining,
}

/// What an upstream says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    pub backend: String,
    pub address: SocketAddr,
    pub zone: String,
    pub generation: String,
    pub slots: u32,
    pub state: InstanceState,
    /// How much longer the upstream is slow from its start, in milliseconds.
    pub slow_start_ms: u64,
    /// Time left before a short-notice end, in milliseconds.
    pub remaining_ms: Option<u64>,
    /// Rises with each call.
    pub sequence: u64,
}

/// Why the body of a heartbeat was refused.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum HeartbeatError {
    #[snafu(display("the heartbeat can't be read: {source}"))]
    Unreadable { source: JsonError },

    #[snafu(display("`address` is `{address}`: {source}"))]
    InvalidAddress { address: String, source: std::net::AddrParseError },

    #[snafu(display("`state` is `{state}`, neither `ready` nor `draining`"))]
    UnknownState { state: String },
}

#[derive(DeJson)]
struct RawHeartbeat {
    backend: String,
    address: String,
    zone: String,
    generation: Option<String>,
    slots: Option<Whole>,
    state: String,
    cold_ms: Option<RoundedUp>,
    remaining_ms: Option<RoundedUp>,
    seq: Whole,
}

impl Heartbeat {
    /// Reads the body of a heartbeat.
    pub fn parse(bytes: &[u8]) -> Result<Heartbeat, HeartbeatError> {
        let raw: RawHeartbeat = crate::json::parse(bytes).context(UnreadableSnafu)?;
        let address = raw.address.parse().context(InvalidAddressSnafu { address: &raw.address })?;
        Ok(Heartbeat {
            backend: raw.backend,
            address,
            zone: raw.zone,
            generation: raw.generation.unwrap_or_default(),
            slots: raw.slots.unwrap_or(Whole(1)).saturated(),
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
