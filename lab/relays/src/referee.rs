//! The referee asks each process again and again by which policy it decides, by a query whose body is longer than
//! any route takes: the answer names the limit of the route, and each policy has another one. It knows nothing of
//! how the processes agree.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

/// One answer of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seen {
    pub sent: Instant,
    pub answered: Instant,
    /// The limit that the answer named; none where no route held, or the query was rejected.
    pub limit: Option<u64>,
    pub rejected: bool,
}

#[derive(Clone)]
pub struct Referee {
    seen: Arc<Mutex<Vec<Vec<Seen>>>>,
    ends: Arc<AtomicBool>,
    threads: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

const PAUSE: Duration = Duration::from_millis(15);
const BODY: usize = 1000;

fn ask(address: SocketAddr, serial: u64) -> Option<(Option<u64>, bool)> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(20))).ok()?;
    let mut stream = BufReader::new(stream);
    let head = format!(
        "POST /asked HTTP/1.1\r\nhost: n\r\nx-trace-id: r{serial}\r\nx-qos: order\r\nidempotency-key: k{serial}\r\n\
         x-expires-in-ms: 300\r\nconnection: close\r\ncontent-length: {BODY}\r\n\r\n"
    );
    stream.get_mut().write_all((head + &"x".repeat(BODY)).as_bytes()).ok()?;
    let mut line = String::new();
    stream.read_line(&mut line).ok()?;
    let status = line.split(' ').nth(1)?.to_string();
    let mut rest = String::new();
    // The connection may be reset behind an answer that was given before the body was read.
    let _ = stream.read_to_string(&mut rest);
    let limit = rest.split("over the ").nth(1).and_then(|words| words.split(' ').next()?.parse().ok());
    if status == "413" && limit.is_none() {
        return None;
    }
    Some((limit, status == "503"))
}

impl Referee {
    pub fn new(listens: &[SocketAddr]) -> Referee {
        let referee = Referee {
            seen: Arc::new(Mutex::new(vec![Vec::new(); listens.len()])),
            ends: Arc::default(),
            threads: Arc::default(),
        };
        for (member, address) in listens.iter().copied().enumerate() {
            let (seen, ends) = (Arc::clone(&referee.seen), Arc::clone(&referee.ends));
            let thread = spawn(move || {
                for serial in 0.. {
                    if ends.load(Ordering::Relaxed) {
                        break;
                    }
                    let sent = Instant::now();
                    if let Some((limit, rejected)) = ask(address, serial * 1000 + member as u64) {
                        let answered = Instant::now();
                        seen.lock().unwrap_or_else(PoisonError::into_inner)[member].push(Seen {
                            sent,
                            answered,
                            limit,
                            rejected,
                        });
                    }
                    sleep(PAUSE);
                }
            });
            referee.threads.lock().unwrap_or_else(PoisonError::into_inner).push(thread);
        }
        referee
    }

    /// What each process has answered so far.
    pub fn seen(&self) -> Vec<Vec<Seen>> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The last answer of each that was asked after `since`.
    pub fn last(&self, since: Instant) -> Vec<Option<Seen>> {
        self.seen().iter().map(|seen| seen.last().copied().filter(|seen| seen.sent > since)).collect()
    }

    /// Whether an older policy was decided by when the time was over, and whether a process went back. A query's
    /// decision falls between its sending and its answer, so that what is called broken is broken whatever the
    /// machine was doing.
    pub fn judge(&self, window: Duration) -> Result<(), String> {
        let seen = self.seen();
        for (member, answers) in seen.iter().enumerate() {
            let mut highest = 0;
            for answer in answers {
                let Some(limit) = answer.limit else { continue };
                if limit < highest {
                    return Err(format!("member {member} goes back from {highest} to {limit}"));
                }
                highest = limit;
            }
        }
        let all = || seen.iter().flatten();
        let mut limits: Vec<u64> = all().filter_map(|answer| answer.limit).collect();
        limits.sort_unstable();
        limits.dedup();
        for limit in limits {
            let of = all().filter(|answer| answer.limit == Some(limit));
            let Some(first) = of.map(|answer| answer.answered).min() else { continue };
            for (member, answers) in seen.iter().enumerate() {
                let late = answers.iter().find(|answer| {
                    answer.limit.is_some_and(|old| old < limit) && answer.sent > first + window
                });
                if let Some(late) = late {
                    let after = late.sent.duration_since(first);
                    return Err(format!(
                        "member {member} decides by {:?}, {after:?} after {limit}",
                        late.limit
                    ));
                }
            }
        }
        Ok(())
    }
}

impl Drop for Referee {
    fn drop(&mut self) {
        if Arc::strong_count(&self.ends) == 1 + self.threads.lock().map_or(0, |threads| threads.len()) {
            self.ends.store(true, Ordering::Relaxed);
        }
    }
}
