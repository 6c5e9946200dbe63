//! An upstream: calls one controller after the other until its call is acknowledged; departs when the test says so.

use std::net::SocketAddr;

use whinspindle_configuration::{Heartbeat, InstanceState};
use whinspindle_controller::CallId;
use whinspindle_controller::api::Call;

use super::HEARTBEAT_MS;

/// A controller that has not answered by then is given up.
const PATIENCE_MS: u64 = 1_000;
/// Between a failure and the call of the next controller.
const RETRY_BACKOFF_MS: u64 = 20;
/// How long one that leaves serves on.
pub const LINGER_MS: u64 = 3_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Serving,
    /// It says that it is draining.
    Draining,
    /// It says that it ends.
    Deregistering,
    Ended,
}

pub struct Upstream {
    pub id: String,
    pub address: SocketAddr,
    pub phase: Phase,
    /// When a controller acknowledged that it leaves.
    pub departure_acknowledged_at: Option<u64>,
    sequence: u64,
    /// Which controller it calls, counted among those there are.
    pub target: usize,
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

    /// Some say first that they drain, others end at once.
    pub fn leave(&mut self, now: u64, says_draining: bool) {
        if self.phase == Phase::Serving {
            self.phase = if says_draining { Phase::Draining } else { Phase::Deregistering };
            self.due_at = now;
            self.waiting = None;
        }
    }

    /// The call that is to be made now.
    pub fn due_call(&mut self, now: u64) -> Option<Call> {
        if let Some((.., since)) = self.waiting
            && now >= since + PATIENCE_MS
        {
            self.failed(now);
        }
        if self.waiting.is_some() || now < self.due_at || self.phase == Phase::Ended {
            return None;
        }
        if self.phase == Phase::Draining && self.has_lingered(now) {
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

    fn has_lingered(&self, now: u64) -> bool {
        self.departure_acknowledged_at.is_some_and(|at| now >= at + LINGER_MS)
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
