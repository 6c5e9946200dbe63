//! Limits on file descriptors, memory for bodies, and the size of requests.

use std::cell::Cell;
use std::rc::Rc;

use whinspindle_configuration::{Limits, MachineLimits};

/// File descriptors reserved for uses other than sockets of clients and upstreams.
const SPARE_DESCRIPTORS: u64 = 264;
/// Number of file descriptors if the settings give none.
const DEFAULT_DESCRIPTORS: u64 = 1024;
/// Memory if the settings give none, in megabytes.
const DEFAULT_MEMORY_MB: u64 = 256;
/// Divisor of the memory that gives the share for bodies.
const BODY_DIVISOR: u64 = 3;
/// Memory per client connection with its buffers, in bytes.
const CLIENT_BYTES: u64 = 32 * 1024;
/// Divisor of the memory that gives the share for client connections.
const CLIENT_DIVISOR: u64 = 3;

/// Shares of file descriptors and memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacities {
    /// Maximum number of client connections.
    pub clients: usize,
    /// Maximum number of connections to upstreams.
    pub upstreams: usize,
    /// Memory for bodies of requests and answers, in bytes.
    pub body_bytes: usize,
}

impl Capacities {
    /// Divides the limits of the machine, in which 0 means unknown.
    pub fn from_limits(limits: &MachineLimits) -> Self {
        let descriptors = if limits.max_fds == 0 { DEFAULT_DESCRIPTORS } else { limits.max_fds };
        let memory_mb = if limits.memory_mb == 0 { DEFAULT_MEMORY_MB } else { limits.memory_mb };
        let memory = memory_mb * 1024 * 1024;
        let sockets = descriptors.saturating_sub(SPARE_DESCRIPTORS).max(64);
        let max_clients_by_memory = memory / CLIENT_DIVISOR / CLIENT_BYTES;
        let clients = (sockets / 2).min(max_clients_by_memory).max(16);
        Capacities {
            clients: clients as usize,
            upstreams: (sockets / 2) as usize,
            body_bytes: (memory / BODY_DIVISOR) as usize,
        }
    }
}

/// A memory budget from which reservations are made.
#[derive(Clone)]
pub struct MemoryBudget {
    available: Rc<Cell<usize>>,
}

impl MemoryBudget {
    /// Creates a budget without reservations.
    pub fn new(bytes: usize) -> Self {
        MemoryBudget { available: Rc::new(Cell::new(bytes)) }
    }

    /// Creates an empty reservation.
    pub fn reserve(&self) -> Reservation {
        Reservation { available: Rc::clone(&self.available), reserved: 0 }
    }
}

/// Reserved bytes of a budget, which are released when the reservation is dropped.
pub struct Reservation {
    available: Rc<Cell<usize>>,
    reserved: usize,
}

impl Reservation {
    /// Grows the reservation to at least `bytes`. Returns false if the budget does not have enough bytes
    /// available.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let additional_bytes = bytes.saturating_sub(self.reserved);
        let available = self.available.get();
        if additional_bytes > available {
            return false;
        }
        self.available.set(available - additional_bytes);
        self.reserved += additional_bytes;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.available.set(self.available.get() + self.reserved);
    }
}

/// The request limits in effect: for each limit the larger value of the two newest configurations, since
/// clients may not know the newest one yet.
#[derive(Clone, Debug, Default)]
pub struct EffectiveLimits {
    newest: Option<Limits>,
    previous: Option<Limits>,
}

impl EffectiveLimits {
    /// Sets the limits of a newer configuration.
    pub fn replace(&mut self, limits: &Limits) {
        if self.newest.as_ref() != Some(limits) {
            self.previous = self.newest.replace(limits.clone());
        }
    }

    /// Returns the maximum size of a request head by configuration or default, in bytes.
    pub fn max_header_bytes(&self) -> usize {
        self.widest(|limits| limits.max_header_bytes)
    }

    /// Returns the maximum size of an accepted request head, in bytes; unlimited while no configuration is
    /// known.
    pub fn max_accepted_head_bytes(&self) -> usize {
        if self.newest.is_none() { usize::MAX } else { self.max_header_bytes() }
    }

    /// Returns the maximum size of an accepted request body, in bytes; unlimited while no configuration is
    /// known.
    pub fn max_accepted_body_bytes(&self) -> usize {
        if self.newest.is_none() { usize::MAX } else { self.widest(|limits| limits.max_body_bytes) }
    }

    /// Returns the time-out for receiving the head of a request, in milliseconds.
    pub fn header_timeout_ms(&self) -> u64 {
        self.widest(|limits| limits.header_timeout_ms)
    }

    /// Returns the idle time-out of a connection, in milliseconds.
    pub fn idle_timeout_ms(&self) -> u64 {
        self.widest(|limits| limits.idle_timeout_ms)
    }

    fn widest<T: Ord>(&self, limit: impl Fn(&Limits) -> T) -> T {
        let default = Limits::default();
        let newest = limit(self.newest.as_ref().unwrap_or(&default));
        match &self.previous {
            Some(previous) => newest.max(limit(previous)),
            None => newest,
        }
    }
}
