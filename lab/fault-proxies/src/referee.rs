//! The referee asks each process again and again by which policy it decides, by a query whose body is longer
//! than any route takes: the answer names the limit of the route, and each policy has another one. It knows
//! nothing of how the processes agree.

use std::collections::BTreeMap;
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
    /// The limit that the answer named; none where no route held, or the query was rejected, or the limit is
    /// a single byte, by which terms for being cut off are known.
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

/// How a process is asked.
#[derive(Clone, Debug)]
pub struct Question {
    pub path: String,
    pub product: String,
    pub keyed: bool,
    pub pause: Duration,
}

impl Default for Question {
    fn default() -> Self {
        Question { path: "/asked".to_string(), product: "order".to_string(), keyed: true, pause: PAUSE }
    }
}

fn ask(address: SocketAddr, question: &Question, serial: u64) -> Option<(Option<u64>, bool)> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(20))).ok()?;
    let mut stream = BufReader::new(stream);
    let key = if question.keyed { format!("idempotency-key: k{serial}\r\n") } else { String::new() };
    let head = format!(
        "POST {} HTTP/1.1\r\nhost: n\r\nx-trace-id: r{serial}\r\nx-qos: {}\r\n{key}x-expires-in-ms: 300\r\n\
         connection: close\r\ncontent-length: {BODY}\r\n\r\n",
        question.path, question.product
    );
    stream.get_mut().write_all((head + &"x".repeat(BODY)).as_bytes()).ok()?;
    let mut line = String::new();
    stream.read_line(&mut line).ok()?;
    let status = line.split(' ').nth(1)?.to_string();
    let mut rest = String::new();
    // The connection may be reset behind an answer that was given before the body was read.
    let _ = stream.read_to_string(&mut rest);
    let limit = rest.split("over the ").nth(1).and_then(|words| words.split(' ').next()?.parse::<u64>().ok());
    if status == "413" && limit.is_none() {
        return None;
    }
    Some((limit.filter(|limit| *limit > 1), status == "503" || limit == Some(1)))
}

impl Referee {
    pub fn new(listens: &[SocketAddr]) -> Referee {
        Referee::asking(listens, Question::default())
    }

    pub fn asking(listens: &[SocketAddr], question: Question) -> Referee {
        let referee = Referee {
            seen: Arc::new(Mutex::new(vec![Vec::new(); listens.len()])),
            ends: Arc::default(),
            threads: Arc::default(),
        };
        for (member, address) in listens.iter().copied().enumerate() {
            let (seen, ends) = (Arc::clone(&referee.seen), Arc::clone(&referee.ends));
            let question = question.clone();
            let thread = spawn(move || {
                for serial in 0.. {
                    if ends.load(Ordering::Relaxed) {
                        break;
                    }
                    let sent = Instant::now();
                    if let Some((limit, rejected)) = ask(address, &question, serial * 1000 + member as u64) {
                        let answered = Instant::now();
                        seen.lock().unwrap_or_else(PoisonError::into_inner)[member].push(Seen {
                            sent,
                            answered,
                            limit,
                            rejected,
                        });
                    }
                    sleep(question.pause);
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

    /// The same as `judge_by`, where policies have limits in the order of their numbers and all may be in
    /// force.
    pub fn judge(&self, window: Duration) -> Result<(), String> {
        self.judge_by(window, Some)
    }

    /// Whether an older policy was decided by when the time was over, whether a process went back, whether
    /// more than two were decided by at once, and whether any was that never came into force. `number` tells
    /// the number of the policy with a limit, none if it did not come into force. A query's decision falls
    /// between its sending and its answer, so that what is called broken is broken whatever the machine was
    /// doing.
    pub fn judge_by(&self, window: Duration, number: impl Fn(u64) -> Option<u64>) -> Result<(), String> {
        judged(&self.seen(), window, number)
    }
}

/// See `Referee::judge_by`.
pub fn judged(
    seen: &[Vec<Seen>],
    window: Duration,
    number: impl Fn(u64) -> Option<u64>,
) -> Result<(), String> {
    let mut numbers: Vec<Vec<(u64, Seen)>> = Vec::new();
    for (member, answers) in seen.iter().enumerate() {
        let mut highest = 0;
        let mut of = Vec::new();
        for answer in answers {
            let Some(limit) = answer.limit else { continue };
            let Some(number) = number(limit) else {
                return Err(format!("member {member} decides by {limit}, which never came into force"));
            };
            if number < highest {
                return Err(format!("member {member} goes back from {highest} to {number}"));
            }
            highest = number;
            of.push((number, *answer));
        }
        numbers.push(of);
    }
    let mut first: BTreeMap<u64, Instant> = BTreeMap::new();
    for (number, answer) in numbers.iter().flatten() {
        let known = first.entry(*number).or_insert(answer.answered);
        *known = (*known).min(answer.answered);
    }
    let all: Vec<u64> = first.keys().copied().collect();
    for (member, answers) in numbers.iter().enumerate() {
        for (old, answer) in answers {
            let after = all.partition_point(|number| number <= old);
            // The next one forbids it from the window on, the one after that from its first moment on.
            let next = all.get(after).map(|next| first[next] + window);
            let second = all.get(after + 1).map(|second| first[second]);
            if let Some(end) = next.into_iter().chain(second).min().filter(|end| answer.sent > *end) {
                let by = answer.sent.duration_since(end);
                return Err(format!("member {member} decides by {old}, {by:?} after its end"));
            }
        }
    }
    Ok(())
}

impl Drop for Referee {
    fn drop(&mut self) {
        if Arc::strong_count(&self.ends) == 1 + self.threads.lock().map_or(0, |threads| threads.len()) {
            self.ends.store(true, Ordering::Relaxed);
        }
    }
}
