//! Datagrams from one process to another pass a relay of the pair's own. Each way of a pair has its own
//! faults.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

use whinspindle_lab_model::random::{Concern, RandomGenerator};

/// What happens to datagrams one way.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Way {
    pub cut: bool,
    /// Parts of the datagrams that are lost, and that come twice.
    pub loss: f64,
    pub repeats: f64,
    /// Each is late by this, and by a time drawn up to `delay`, so that they overtake one another.
    pub late: Duration,
    pub delay: Duration,
}

/// A datagram on its way, and the socket that hands it on.
type Late = Reverse<(Instant, u64, usize, Vec<u8>)>;

struct Shared {
    ways: Mutex<Vec<Way>>,
    ends: AtomicBool,
}

pub struct Relays {
    members: usize,
    shared: Arc<Shared>,
    /// What `from` has as the address of `to`, at `from * members + to`.
    addresses: Vec<SocketAddr>,
    thread: Option<JoinHandle<()>>,
}

impl Relays {
    /// Between processes that listen at these addresses.
    pub fn new(listens: &[SocketAddr], seed: u64) -> io::Result<Relays> {
        let members = listens.len();
        let mut sockets = Vec::with_capacity(members * members);
        for _ in 0..members * members {
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            socket.set_nonblocking(true)?;
            sockets.push(socket);
        }
        let addresses = sockets.iter().map(UdpSocket::local_addr).collect::<io::Result<Vec<_>>>()?;
        let shared = Arc::new(Shared {
            ways: Mutex::new(vec![Way::default(); members * members]),
            ends: AtomicBool::new(false),
        });
        let (theirs, listens) = (Arc::clone(&shared), listens.to_vec());
        let thread = spawn(move || carry(&theirs, &sockets, &listens, seed));
        Ok(Relays { members, shared, addresses, thread: Some(thread) })
    }

    /// The addresses of all as this one has them.
    pub fn peers_of(&self, member: usize) -> &[SocketAddr] {
        &self.addresses[member * self.members..(member + 1) * self.members]
    }

    /// Changes the ways from some to others.
    pub fn set(&self, from: &[usize], to: &[usize], way: Way) {
        let mut ways = self.shared.ways.lock().unwrap_or_else(PoisonError::into_inner);
        for from in from {
            to.iter().for_each(|to| ways[from * self.members + to] = way);
        }
    }

    /// Nothing passes between the two sides.
    pub fn cut(&self, side: &[usize], cut: bool) {
        let others: Vec<usize> = (0..self.members).filter(|member| !side.contains(member)).collect();
        self.set(side, &others, Way { cut, ..Way::default() });
        self.set(&others, side, Way { cut, ..Way::default() });
    }

    pub fn all(&self, way: Way) {
        let all: Vec<usize> = (0..self.members).collect();
        self.set(&all, &all, way);
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.shared.ends.store(true, Ordering::Relaxed);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

fn carry(shared: &Shared, sockets: &[UdpSocket], listens: &[SocketAddr], seed: u64) {
    let members = listens.len();
    let mut random = RandomGenerator::new(seed, Concern::Network);
    let mut late: BinaryHeap<Late> = BinaryHeap::new();
    let mut serial = 0;
    let mut buffer = [0; 2048];
    while !shared.ends.load(Ordering::Relaxed) {
        for (place, socket) in sockets.iter().enumerate() {
            while let Ok((length, _)) = socket.recv_from(&mut buffer) {
                let (from, to) = (place / members, place % members);
                let way = shared.ways.lock().unwrap_or_else(PoisonError::into_inner)[place];
                if way.cut || random.unit() < way.loss {
                    continue;
                }
                let times = 1 + usize::from(random.unit() < way.repeats);
                for _ in 0..times {
                    serial += 1;
                    let at = Instant::now() + way.late + way.delay.mul_f64(random.unit());
                    // It comes from where the receiver has its sender.
                    late.push(Reverse((at, serial, to * members + from, buffer[..length].to_vec())));
                }
            }
        }
        while late.peek().is_some_and(|Reverse((at, ..))| *at <= Instant::now()) {
            let Some(Reverse((_, _, place, datagram))) = late.pop() else { break };
            let _ = sockets[place].send_to(&datagram, listens[place / members]);
        }
        sleep(Duration::from_micros(500));
    }
}
