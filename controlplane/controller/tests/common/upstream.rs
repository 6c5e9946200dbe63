//! A simulated upstream. It tries one controller after the other until its call is acknowledged.

use std::net::SocketAddr;

use whinspindle_configuration::{Heartbeat, InstanceState};
use whinspindle_controller::CallId;
use whinspindle_controller::api::Call;

use super::HEARTBEAT_MS;

/// A call without an answer fails after this time.
const CALL_TIMEOUT_MS: u64 = 1_000;
/// Delay between a failed call and the call of the next controller.
const RETRY_BACKOFF_MS: u64 = 20;
/// An upstream with an acknowledged departure serves for this long before it deregisters.
pub const DRAINING_MS: u64 = 3_000;

/// The phases of an upstream from its start to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Serving,
    /// Its heartbeats announce that it is draining.
    Draining,
    /// It sends its deregistration.
    Deregistering,
    Ended,
}

pub struct Upstream {
    pub id: String,
    pub address: SocketAddr,
    pub phase: Phase,
    /// The time at which a controller acknowledged the departure.
    pub departure_acknowledged_at: Option<u64>,
    sequence: u64,
    /// The index of the controller to call, modulo the number of controllers.
    pub target: usize,
    /// The pending call, with its controller and the time at which it was sent.
    pub waiting: Option<(CallId, SocketAddr, u64)>,
    due_at: u64,
}

impl Upstream {
    pub fn new(number: u8) -> Upstream {
        Upstream {
            id: format!("u-{number}"),
            address: SocketAddr::from(([10, 2, 0, number], 8080)),
            phase: Phase::Serving,
            departure_acknowledged_at: None,
            sequence: 0,
            target: usize::from(number),
            waiting: None,
            due_at: 0,
        }
    }

    /// Begins the departure, either with draining or with an immediate deregistration.
    pub fn leave(&mut self, now: u64, announces_draining: bool) {
        if self.phase == Phase::Serving {
            self.phase = if announces_draining { Phase::Draining } else { Phase::Deregistering };
            self.due_at = now;
            self.waiting = None;
        }
    }

    /// The call that is due now, if any.
    pub fn due_call(&mut self, now: u64) -> Option<Call> {
        if let Some((.., since)) = self.waiting
            && now >= since + CALL_TIMEOUT_MS
        {
            self.failed(now);
        }
        if self.waiting.is_some() || now < self.due_at || self.phase == Phase::Ended {
            return None;
        }
        if self.phase == Phase::Draining && self.has_drained(now) {
            self.phase = Phase::Deregistering;
        }
        self.sequence += 1;
        Some(match self.phase {
            Phase::Serving => self.heartbeat(InstanceState::Ready),
            Phase::Draining => self.heartbeat(InstanceState::Draining),
            Phase::Deregistering | Phase::Ended => Call::Deregister { instance: self.id.clone() },
        })
    }

    pub fn acknowledged(&mut self, now: u64) {
        self.waiting = None;
        self.due_at = now + HEARTBEAT_MS;
        if self.phase != Phase::Serving {
            self.departure_acknowledged_at.get_or_insert(now);
        }
        if self.phase == Phase::Deregistering {
            self.phase = Phase::Ended;
        }
    }

    pub fn failed(&mut self, now: u64) {
        self.waiting = None;
        self.target += 1;
        self.due_at = now + RETRY_BACKOFF_MS;
    }

    fn has_drained(&self, now: u64) -> bool {
        self.departure_acknowledged_at.is_some_and(|at| now >= at + DRAINING_MS)
    }

    fn heartbeat(&self, state: InstanceState) -> Call {
        let heartbeat = Heartbeat {
            backend: "desk".to_owned(),
            address: self.address,
            zone: "zone-a".to_owned(),
            generation: "v1".to_owned(),
            slots: 6,
            state,
            slow_start_ms: 0,
            remaining_ms: None,
            sequence: self.sequence,
        };
        Call::Heartbeat { instance: self.id.clone(), heartbeat }
    }
}
