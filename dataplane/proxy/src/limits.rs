//! What the process may hold: descriptors, memory, and what clients may send.

use std::cell::Cell;
use std::rc::Rc;

use whinspindle_configuration::{Limits, MachineLimits};

/// Descriptors that are for other things than sockets of clients and upstreams.
const SPARE_DESCRIPTORS: u64 = 264;
const DEFAULT_DESCRIPTORS: u64 = 1024;
const DEFAULT_MEMORY_MB: u64 = 256;
/// Memory for the bodies that are held, as a part of all memory.
const BODY_PART: u64 = 3;
/// What a client's connection may take with its buffers.
const CLIENT_BYTES: u64 = 32 * 1024;
/// Memory for the connections of clients, as a part of all memory.
const CLIENT_PART: u64 = 3;

/// How the descriptors and the memory are shared out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacities {
    pub clients: usize,
    pub upstreams: usize,
    pub body_bytes: usize,
}

impl Capacities {
    pub fn of(limits: &MachineLimits) -> Self {
        let descriptors = if limits.max_fds == 0 { DEFAULT_DESCRIPTORS } else { limits.max_fds };
        let memory_mb = if limits.memory_mb == 0 { DEFAULT_MEMORY_MB } else { limits.memory_mb };
        let memory = memory_mb * 1024 * 1024;
        let sockets = descriptors.saturating_sub(SPARE_DESCRIPTORS).max(64);
        let by_memory = memory / CLIENT_PART / CLIENT_BYTES;
        let clients = (sockets / 2).min(by_memory).max(16);
        Capacities {
            clients: clients as usize,
            upstreams: (sockets / 2) as usize,
            body_bytes: (memory / BODY_PART) as usize,
        }
    }
}

/// Bytes that may be held; what is taken goes back when the share is dropped.
#[derive(Clone)]
pub struct MemoryBudget {
    available: Rc<Cell<usize>>,
}

impl MemoryBudget {
    pub fn new(bytes: usize) -> Self {
        MemoryBudget { available: Rc::new(Cell::new(bytes)) }
    }

    /// A share that holds nothing yet.
    pub fn reserve(&self) -> Reservation {
        Reservation { available: Rc::clone(&self.available), reserved: 0 }
    }
}

/// A part of a budget.
pub struct Reservation {
    available: Rc<Cell<usize>>,
    reserved: usize,
}

impl Reservation {
    /// Takes as much as is missing to hold so many bytes; false if there is no room.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.reserved);
        let available = self.available.get();
        if more > available {
            return false;
        }
        self.available.set(available - more);
        self.reserved += more;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.available.set(self.available.get() + self.reserved);
    }
}

/// The limits that clients may count on: the wider of the newest two configurations, since a client may not know of
/// the newest one yet.
#[derive(Clone, Debug, Default)]
pub struct LimitsInForce {
    newest: Option<Limits>,
    before: Option<Limits>,
}

impl LimitsInForce {
    /// Puts the limits of a newer configuration in force.
    pub fn replace(&mut self, limits: &Limits) {
        if self.newest.as_ref() != Some(limits) {
            self.before = self.newest.replace(limits.clone());
        }
    }

    pub fn header_bytes(&self) -> usize {
        self.widest(|limits| limits.max_header_bytes)
    }

    /// The longest head that is not turned down: of any length while no configuration is known.
    pub fn longest_head(&self) -> usize {
        if self.newest.is_none() { usize::MAX } else { self.header_bytes() }
    }

    /// The longest body that is not turned down: of any length while no configuration is known.
    pub fn longest_body(&self) -> usize {
        if self.newest.is_none() { usize::MAX } else { self.widest(|limits| limits.max_body_bytes) }
    }

    pub fn header_timeout_ms(&self) -> u64 {
        self.widest(|limits| limits.header_timeout_ms)
    }

    pub fn idle_timeout_ms(&self) -> u64 {
        self.widest(|limits| limits.idle_timeout_ms)
    }

    fn widest<T: Ord>(&self, limit: impl Fn(&Limits) -> T) -> T {
        let default = Limits::default();
        let newest = limit(self.newest.as_ref().unwrap_or(&default));
        match &self.before {
            Some(before) => newest.max(limit(before)),
            None => newest,
        }
    }
}
