//! Limits of the process: descriptors, memory for bodies, and the size of requests.

use std::cell::Cell;
use std::rc::Rc;

use whinspindle_configuration::{Limits, MachineLimits};

/// Descriptors reserved for other uses than sockets of clients and upstreams.
const SPARE_DESCRIPTORS: u64 = 264;
/// Descriptors where the settings give no number.
const DEFAULT_DESCRIPTORS: u64 = 1024;
/// Memory where the settings give no number, in megabytes.
const DEFAULT_MEMORY_MB: u64 = 256;
/// Bodies get one part in so many of the memory.
const BODY_DIVISOR: u64 = 3;
/// Memory of a client connection with its buffers, in bytes.
const CLIENT_BYTES: u64 = 32 * 1024;
/// Client connections get one part in so many of the memory.
const CLIENT_DIVISOR: u64 = 3;

/// The division of descriptors and memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacities {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to upstreams.
    pub upstreams: usize,
    /// Memory for bodies of requests and answers, in bytes.
    pub body_bytes: usize,
}

impl Capacities {
    /// Divides the limits of the machine; 0 stands for an unknown limit.
    pub fn of(limits: &MachineLimits) -> Self {
        let descriptors = if limits.max_fds == 0 { DEFAULT_DESCRIPTORS } else { limits.max_fds };
        let memory_mb = if limits.memory_mb == 0 { DEFAULT_MEMORY_MB } else { limits.memory_mb };
        let memory = memory_mb * 1024 * 1024;
        let sockets = descriptors.saturating_sub(SPARE_DESCRIPTORS).max(64);
        let by_memory = memory / CLIENT_DIVISOR / CLIENT_BYTES;
        let clients = (sockets / 2).min(by_memory).max(16);
        Capacities {
            clients: clients as usize,
            upstreams: (sockets / 2) as usize,
            body_bytes: (memory / BODY_DIVISOR) as usize,
        }
    }
}

/// A budget of bytes, of which reservations take parts.
#[derive(Clone)]
pub struct MemoryBudget {
    available: Rc<Cell<usize>>,
}

impl MemoryBudget {
    /// A budget of which nothing is reserved.
    pub fn new(bytes: usize) -> Self {
        MemoryBudget { available: Rc::new(Cell::new(bytes)) }
    }

    /// An empty reservation.
    pub fn reserve(&self) -> Reservation {
        Reservation { available: Rc::clone(&self.available), reserved: 0 }
    }
}

/// A reserved part of a budget, which returns to it when this is dropped.
pub struct Reservation {
    available: Rc<Cell<usize>>,
    reserved: usize,
}

impl Reservation {
    /// Grows the reservation to at least `bytes`; false if the budget does not have the difference.
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

/// The request limits in force: the wider of the newest two configurations, since clients may not know the newest one yet.
#[derive(Clone, Debug, Default)]
pub struct LimitsInForce {
    newest: Option<Limits>,
    before: Option<Limits>,
}

impl LimitsInForce {
    /// Takes the limits of a newer configuration.
    pub fn replace(&mut self, limits: &Limits) {
        if self.newest.as_ref() != Some(limits) {
            self.before = self.newest.replace(limits.clone());
        }
    }

    /// The longest head that clients may send, in bytes.
    pub fn header_bytes(&self) -> usize {
        self.widest(|limits| limits.max_header_bytes)
    }

    /// The longest head that is accepted, in bytes; unlimited while no configuration is known.
    pub fn longest_head(&self) -> usize {
        if self.newest.is_none() { usize::MAX } else { self.header_bytes() }
    }

    /// The longest body that is accepted, in bytes; unlimited while no configuration is known.
    pub fn longest_body(&self) -> usize {
        if self.newest.is_none() { usize::MAX } else { self.widest(|limits| limits.max_body_bytes) }
    }

    /// Time for the head of a request, in milliseconds.
    pub fn header_timeout_ms(&self) -> u64 {
        self.widest(|limits| limits.header_timeout_ms)
    }

    /// Time that a connection may be idle, in milliseconds.
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
