//! The heartbeat of an upstream, as the body of its call.

// `DeJson`'s derive writes `return Err(..)` where `?` would do.
#![allow(clippy::question_mark, reason = "the parsers that nanoserde derives return early in their own way")]

use std::net::SocketAddr;

use nanoserde::DeJson;
use snafu::{ResultExt, Snafu};

use crate::json::JsonError;
use crate::number::{RoundedUp, WholeNumber};

/// Whether an upstream takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceState {
    /// It takes new requests.
    Ready,
    /// It finishes the requests that it has.
    Draining,
}

/// What an upstream reports of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The name of its service.
    pub backend: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The zone that it runs in.
    pub zone: String,
    /// The generation of its software; empty if it names none.
    pub generation: String,
    /// Requests that it handles at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: InstanceState,
    /// The remaining time of its slow start, in milliseconds.
    pub slow_start_ms: u64,
    /// The time left before it is stopped at short notice, in milliseconds.
    pub remaining_ms: Option<u64>,
    /// Rises with each heartbeat.
    pub sequence: u64,
}

/// Why the body of a heartbeat was refused.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum HeartbeatError {
    /// The body is no JSON object of a heartbeat.
    #[snafu(display("the heartbeat can't be read: {source}"))]
    Unreadable {
        /// What is wrong, and where.
        source: JsonError,
    },

    /// The address can't be parsed.
    #[snafu(display("`address` is `{address}`: {source}"))]
    InvalidAddress {
        /// The value.
        address: String,
        /// What is wrong with it.
        source: std::net::AddrParseError,
    },

    /// The state is none of [`InstanceState`].
    #[snafu(display("`state` is `{state}`, neither `ready` nor `draining`"))]
    UnknownState {
        /// The value.
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
            slots: raw.slots.unwrap_or(WholeNumber(1)).saturated(),
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
