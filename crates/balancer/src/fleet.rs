//! The process as a member of its fleet: a thread of its own with the socket for datagrams, the store and the
//! member's core. Queries only look at what it has published last, so that none waits for the network or the
//! disk.

use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::mpsc::{Receiver, Sender, SyncSender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use whinspindle_logline::log_line;
use whinspindle_messages::list::{ListNews, ListedServer};
use whinspindle_operator::{CutOff, FleetTerms, Operator};
use whinspindle_peers::Peers;
use whinspindle_policy::{
    Fate, Hash, LONGEST_TEXT, Member, Memory, Message, No, Objection, Outside, Policy, Readiness, Record,
    Right, Terms, Unit, Want,
};
use whinspindle_recall::{Ages, Neighbours, Trust};
use whinspindle_release::{Count, Limits, OF_BALANCERS, Place, Plan, Row, Scene, Way};
use whinspindle_store::Store;
use whinspindle_terms::Deployment;

use crate::control::{Answer, Request};
use crate::placement::Placement;

/// The thread looks after its clock at least so often.
const BEAT: Duration = Duration::from_millis(20);
/// Datagrams taken before the clock is looked at again.
const AT_ONCE: usize = 256;
/// Texts kept on disk, by their number.
const TEXTS: u64 = 4;
/// Longest words of an objection that are told to others, in bytes.
const WORDS: usize = 120;

/// By what queries are decided now.
pub enum By {
    /// The operator's file to go by, and a number that is another one for each: what was taken over need not
    /// be taken over again.
    Terms(u64, Arc<Operator>),
    /// The process may not know what holds, and the policy says that it rejects then.
    Nothing,
}

/// What the thread has published.
struct Published {
    right: Right,
    until: u64,
    policy: Option<(u64, Arc<Operator>)>,
    cut_off: Arc<Operator>,
    /// The servers that are let out, and a number that grows when they change; whether this balancer is.
    let_out: (u64, BTreeSet<u64>),
    is_let_out: bool,
    /// The list as discovery has told it, to be given to neighbours, and for how many microseconds that has been
    /// silent; what neighbours have given.
    told_list: Option<(Vec<ListedServer>, u64)>,
    given_list: Option<(ListNews, Trust)>,
    /// The servers as this balancer has them listed, for the thread.
    places: Vec<Place>,
    /// What was counted since the thread looked last: of servers, by key and stratum, and of the process
    /// itself; nothing while no release is watched, so that it does not grow with the servers that come and go.
    counts: BTreeMap<(u64, u16), Count>,
    own: Count,
}

pub struct Fleet {
    clock: FleetClock,
    published: Arc<Mutex<Published>>,
}

/// Microseconds since the start, by the monotonic clock; the first moment is 1, so that 0 is before all.
#[derive(Clone, Copy)]
struct FleetClock(Instant);

impl FleetClock {
    fn now(self) -> u64 {
        1 + self.0.elapsed().as_micros() as u64
    }
}

/// A panic in one holder of the lock must not end the other: what is published is replaced as a whole.
fn held(published: &Mutex<Published>) -> MutexGuard<'_, Published> {
    published.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Numbers of terms for being cut off lie apart from those of policies.
const CUT_OFF: u64 = 1 << 63;

impl Fleet {
    /// Asked for each query. Guards against a process that was stopped: its right is held against the clock
    /// of now.
    pub fn by(&self) -> By {
        let published = held(&self.published);
        if let (Some((number, operator)), Right::Policy(right)) = (&published.policy, published.right)
            && *number == right
            && self.clock.now() < published.until
        {
            return By::Terms(*number, Arc::clone(operator));
        }
        match published.cut_off.cut_off {
            CutOff::Rejects => By::Nothing,
            CutOff::Routes(_) => {
                let number = published.policy.as_ref().map_or(0, |(number, _)| *number);
                By::Terms(CUT_OFF + number, Arc::clone(&published.cut_off))
            }
        }
    }

    /// The servers that are let out, if they are others than at `known`, and the number of what is told.
    pub fn let_out(&self, known: u64) -> Option<(u64, BTreeSet<u64>)> {
        let published = held(&self.published);
        (published.let_out.0 != known).then(|| published.let_out.clone())
    }

    /// Whether this balancer is let out, and has to take itself out.
    pub fn is_let_out(&self) -> bool {
        held(&self.published).is_let_out
    }

    /// The servers as they are listed here, for the decision on who may be let out; what was counted of each
    /// since the last time, with its stratum, and of the process itself.
    pub fn tell(&self, places: Vec<Place>, counts: Vec<(u64, u16, Count)>, own: Count) {
        let mut published = held(&self.published);
        published.places = places;
        published.own.add(own);
        for (key, stratum, count) in counts {
            published.counts.entry((key, stratum)).or_default().add(count);
        }
    }

    /// Whether the process has learned what holds, or has given up learning it.
    pub fn is_settled(&self) -> bool {
        let published = held(&self.published);
        published.right != Right::Learning || self.clock.now() >= published.until
    }

    /// Whether it holds a right to a policy now, be it to none.
    pub fn decides_by_a_policy(&self) -> bool {
        let published = held(&self.published);
        matches!(published.right, Right::Policy(_)) && self.clock.now() < published.until
    }

    /// The list as discovery has told it here, and for how many microseconds it has been silent since.
    pub fn tell_list(&self, servers: Vec<ListedServer>, silent: u64) {
        held(&self.published).told_list = Some((servers, silent));
    }

    /// A list that neighbours have given, each once.
    pub fn given_list(&self) -> Option<(ListNews, Trust)> {
        held(&self.published).given_list.take()
    }

    /// Starts the thread, and the one that listens on the control socket.
    pub fn start(placement: &Placement, operator: Operator) -> Result<Fleet, String> {
        let Some(terms) = operator.fleet.clone() else { return Err("fleet: no table".to_string()) };
        let (listen, peers) = addresses(placement, &terms)?;
        let store = Store::open(&terms.store).map_err(|fault| format!("fleet.store: {fault}"))?;
        let socket = UdpSocket::bind(listen).map_err(|fault| format!("peer_listen: {listen}: {fault}"))?;
        socket.set_read_timeout(Some(BEAT)).map_err(|fault| format!("peer_listen: {listen}: {fault}"))?;
        let (asks, asked) = channel();
        crate::control::listen(&terms.socket, asks)?;
        let clock = FleetClock(Instant::now());
        let cut_off = Arc::new(operator);
        let published = Arc::new(Mutex::new(Published {
            right: Right::Learning,
            until: terms.learn,
            policy: None,
            cut_off: Arc::clone(&cut_off),
            let_out: (0, BTreeSet::new()),
            is_let_out: false,
            told_list: None,
            given_list: None,
            places: Vec::new(),
            counts: BTreeMap::new(),
            own: Count::default(),
        }));
        let deployment = placement.deployment.clone();
        let build = build_of_this_program();
        let told = Arc::clone(&published);
        let run = move || {
            // Made in the thread: what the core holds never leaves it.
            let mut thread =
                Thread::new(terms, socket, peers, store, deployment, clock, told, cut_off, build);
            thread.run(&asked);
        };
        let spawned = thread::Builder::new().name("fleet".to_string()).spawn(run);
        spawned.map_err(|fault| format!("fleet: {fault}"))?;
        Ok(Fleet { clock, published })
    }
}

fn addresses(placement: &Placement, terms: &FleetTerms) -> Result<(SocketAddr, Vec<SocketAddr>), String> {
    let peers = placement.peers.clone();
    let Some(listen) = placement.peer_listen else {
        return Err("peer_listen: missing, or not an address and port; a fleet needs it".to_string());
    };
    if peers.len() != terms.members as usize {
        return Err(format!("peers: {} addresses, settings.balancers says {}", peers.len(), terms.members));
    }
    Ok((listen, peers))
}

/// The core's outside.
struct Wires {
    me: u16,
    socket: UdpSocket,
    peers: Peers,
    addresses: Vec<SocketAddr>,
    store: Rc<Store>,
    to_prove: Vec<(Policy, Rc<[u8]>)>,
    sent: u64,
    /// The limits of each policy that is known, by its number, and the servers as they were told last.
    limits: Vec<(u64, Limits)>,
    places: Vec<Place>,
    /// The plan of the release under way, and what was counted since figures were told last.
    plan: Option<(Hash, Rc<Plan>)>,
    build: String,
    counts: BTreeMap<(u64, u16), Count>,
    own: Count,
    /// Words for the list's part of the process.
    asides: Vec<(u16, Vec<u8>)>,
}

/// By what plans know a build: the first twelve digits of the BLAKE3 hash of the program's file.
pub fn build_of_this_program() -> String {
    let program = std::env::current_exe().and_then(std::fs::read);
    program.map_or(String::new(), |bytes| blake3::hash(&bytes).to_hex()[..12].to_string())
}

impl Outside for Wires {
    fn send(&mut self, to: u16, message: Message) {
        let Some(address) = self.addresses.get(to as usize) else { return };
        for datagram in self.peers.datagrams(to, &message) {
            self.sent += 1;
            // What can't be sent is lost like any datagram.
            let _ = self.socket.send_to(&datagram, address);
        }
    }

    fn keep(&mut self, memory: &Memory) -> bool {
        let written = postcard::to_stdvec(memory).map_err(|fault| fault.to_string());
        let written = written.and_then(|bytes| self.store.write("votes", &bytes).map_err(|f| f.to_string()));
        if let Err(fault) = &written {
            log_line!("store", "{fault}");
        }
        written.is_ok()
    }

    fn prove(&mut self, policy: Policy, text: Rc<[u8]>) {
        self.to_prove.push((policy, text));
    }

    fn may_go(&self, record: &Record, unit: Unit, away: &BTreeSet<u16>) -> Result<(), No> {
        let of = self.limits.iter().rev().find(|(number, _)| *number == record.policy.number);
        let limits = of.map(|(_, limits)| *limits).unwrap_or_default();
        let granted: Vec<Unit> = record.out.iter().map(|out| out.unit).collect();
        let (balancers, servers) = (self.addresses.len(), self.places.as_slice());
        Scene { limits: &limits, granted: &granted, away, balancers, servers }.may_go(unit)
    }

    fn plan(&self, hash: Hash) -> Option<Rc<Plan>> {
        self.plan.as_ref().filter(|(known, _)| *known == hash).map(|(_, plan)| Rc::clone(plan))
    }

    fn plan_came(&mut self, hash: Hash, text: Rc<[u8]>) {
        let read = std::str::from_utf8(&text).ok().map(|text| whinspindle_operator::read_plan(text, None));
        match read {
            Some(Ok(plan)) => {
                // It has to outlive a restart of all: nothing can go on without it.
                if let Err(fault) = self.store.write("plan", &text) {
                    log_line!("store", "{fault}");
                }
                self.plan = Some((hash, Rc::new(plan)));
                (self.counts, self.own) = (BTreeMap::new(), Count::default());
            }
            _ => log_line!("fleet", "the plan {hash} of the release can't be read here"),
        }
    }

    fn aside(&mut self, from: u16, bytes: Vec<u8>) {
        self.asides.push((from, bytes));
    }

    fn is_full(&self, key: u64) -> bool {
        self.places.iter().any(|place| place.key == key && place.full)
    }

    fn build(&self) -> String {
        self.build.clone()
    }

    fn figures(&mut self, record: &Record) -> Vec<Row> {
        let counts = std::mem::take(&mut self.counts);
        let own = std::mem::take(&mut self.own);
        let Some(release) = &record.release else { return Vec::new() };
        let Some(plan) = self.plan(release.hash) else { return Vec::new() };
        let is_changed = |unit: Unit| plan.place_of(unit).is_some_and(|place| release.changed.has(place));
        // What a server does while it is out, or cold, says nothing of its build.
        let servers = counts
            .into_iter()
            .filter(|((key, _), _)| record.out_as(Unit::Server(*key)).is_none() && self.is_full(*key));
        let me = Unit::Balancer(self.me);
        let has_balancers = plan.units.iter().any(|unit| matches!(unit, Unit::Balancer(_)));
        let own =
            (has_balancers && record.out_as(me).is_none()).then_some((OF_BALANCERS, is_changed(me), own));
        let servers = servers.map(|((key, stratum), count)| (stratum, is_changed(Unit::Server(key)), count));
        whinspindle_release::rows(servers.chain(own))
    }

    fn tell(&mut self, words: String) {
        // Each is a step of the fleet or a change of the right, which are few: none is kept back.
        whinspindle_logline::write(format_args!("whinspindle fleet: member {}: {words}", self.me));
    }
}

struct Thread {
    member: Member<Wires>,
    deployment: Deployment,
    clock: FleetClock,
    published: Arc<Mutex<Published>>,
    operators: Vec<(u64, Arc<Operator>)>,
    /// What holds where no policy is known: the file's own word.
    own: Arc<Operator>,
    received: u64,
    /// The list of servers, from those that stayed up and for those that come back; none where the file says
    /// no.
    neighbours: Option<Neighbours>,
}

/// How far a list is believed by its age where `[keep]` says nothing.
const AGES: Ages = Ages { fresh: 10_000_000, old: 3_600_000_000 };

impl Thread {
    #[expect(clippy::too_many_arguments, reason = "each is a part of the process that is handed over once")]
    fn new(
        terms: FleetTerms,
        socket: UdpSocket,
        addresses: Vec<SocketAddr>,
        store: Store,
        deployment: Deployment,
        clock: FleetClock,
        published: Arc<Mutex<Published>>,
        own: Arc<Operator>,
        build: String,
    ) -> Thread {
        let FleetTerms { me, members, ref name, ref secret, datagram, .. } = terms;
        let peers = Peers::new(me, members, name, secret, rand::random(), datagram);
        let store = Rc::new(store);
        let memory = store.read("votes").and_then(|bytes| postcard::from_bytes::<Memory>(&bytes).ok());
        let texts = (0..TEXTS).filter_map(|number| store.read(&format!("text-{number}")));
        let texts = texts.chain(store.read("plan"));
        let texts: Vec<Vec<u8>> = texts.collect();
        match &memory {
            Some(memory) => {
                log_line!("fleet", "member {me}: remembers policy {}", memory.record.policy.number)
            }
            None => log_line!("fleet", "member {me}: remembers nothing"),
        }
        let wires = Wires {
            me,
            socket,
            peers,
            addresses,
            store,
            to_prove: Vec::new(),
            sent: 0,
            limits: Vec::new(),
            places: Vec::new(),
            plan: None,
            build,
            counts: BTreeMap::new(),
            own: Count::default(),
            asides: Vec::new(),
        };
        let asks = terms.neighbours;
        let ages = own.keep.as_ref().map_or(AGES, |keep| Ages { fresh: keep.fresh, old: keep.old });
        let terms = Terms {
            me,
            members,
            voters: terms.voters,
            right: terms.right,
            drift: terms.drift,
            pace: terms.pace,
            absent: terms.absent,
            give_up: terms.give_up,
            learn: terms.learn,
        };
        // A birth of 0 would pass for none.
        let start = rand::random::<u64>() | 1;
        let mut member = Member::new(wires, terms, memory, start, clock.now());
        texts.iter().for_each(|text| member.hold(text));
        let neighbours = asks.then(|| Neighbours::new(me, members, ages, start, clock.now()));
        Thread { member, deployment, clock, published, operators: Vec::new(), own, received: 0, neighbours }
    }

    fn run(&mut self, asked: &Receiver<(Request, SyncSender<Answer>)>) {
        let mut buffer = [0; 2048];
        let mut next_tick = 0;
        loop {
            for _ in 0..AT_ONCE {
                match self.member.outside.socket.recv_from(&mut buffer) {
                    Ok((length, from)) => self.take(&buffer[..length], from),
                    // A peer that is down is told of here; there is nothing to read.
                    Err(fault) if fault.kind() == ErrorKind::ConnectionRefused => {}
                    Err(_) => break,
                }
                if self.clock.now() >= next_tick {
                    break;
                }
            }
            while let Ok((request, answer)) = asked.try_recv() {
                let _ = answer.try_send(self.serve(request));
            }
            let now = self.clock.now();
            if now >= next_tick {
                self.member.tick(now);
                self.ask_neighbours(now);
                next_tick = now + (self.member.terms().pace / 8).min(100_000);
            }
            self.prove();
            self.hear_neighbours();
            self.publish();
        }
    }

    fn ask_neighbours(&mut self, now: u64) {
        let Some(neighbours) = &mut self.neighbours else { return };
        let told = held(&self.published).told_list.take();
        if let Some((servers, silent)) = told {
            neighbours.told(now.saturating_sub(silent), &servers);
        }
        let unix = crate::clock::Clock::start().now();
        if let Some((news, trust)) = neighbours.take(now, unix) {
            log_line!("fleet", "neighbours tell {} servers, {trust}", news.servers.len());
            held(&self.published).given_list = Some((news, trust));
        }
        for (to, word) in neighbours.tick(now) {
            self.member.outside.send(to, Message::Aside { bytes: word.to_bytes() });
        }
    }

    fn hear_neighbours(&mut self) {
        let asides = std::mem::take(&mut self.member.outside.asides);
        let Some(neighbours) = &mut self.neighbours else { return };
        let now = self.clock.now();
        for (from, bytes) in asides {
            for word in neighbours.heard(now, from, &bytes) {
                self.member.outside.send(from, Message::Aside { bytes: word.to_bytes() });
            }
        }
    }

    fn take(&mut self, datagram: &[u8], from: SocketAddr) {
        let now = self.clock.now();
        self.received += 1;
        let wires = &mut self.member.outside;
        let said = Peers::sender(datagram);
        let known = said.filter(|said| wires.addresses.get(*said as usize) == Some(&from));
        let before = wires.peers.passed_over;
        match wires.peers.take::<Message>(now / 1_000_000, known, datagram) {
            Some((from, message)) => self.member.heard(now, from, message),
            None if wires.peers.passed_over != before => {
                log_line!("peers", "a datagram from {from} is passed over: {:?}", wires.peers.passed_over);
            }
            None => {}
        }
    }

    fn prove(&mut self) {
        for (policy, text) in std::mem::take(&mut self.member.outside.to_prove) {
            let verdict = match std::str::from_utf8(&text) {
                Err(_) => Err(Objection { line: 0, words: "is not UTF-8 text".to_string() }),
                Ok(text) => whinspindle_operator::read_policy(text, &self.deployment).map_err(|faults| {
                    let first = faults.first();
                    let mut words = first.map_or(String::new(), |fault| {
                        format!("{}: {} ({} faults)", fault.field, fault.fault, faults.len())
                    });
                    while words.len() > WORDS {
                        words.pop();
                    }
                    Objection { line: first.map_or(0, |fault| fault.line as u32), words }
                }),
            };
            if let Err(fault) =
                self.member.outside.store.write(&format!("text-{}", policy.number % TEXTS), &text)
            {
                log_line!("store", "{fault}");
            }
            let verdict = verdict.map(|operator| {
                self.member.outside.limits.push((policy.number, operator.limits));
                let over = self.member.outside.limits.len().saturating_sub(TEXTS as usize);
                self.member.outside.limits.drain(..over);
                self.operators.push((policy.number, Arc::new(operator)));
                let over = self.operators.len().saturating_sub(TEXTS as usize);
                self.operators.drain(..over);
            });
            self.member.proved(self.clock.now(), policy.number, verdict);
        }
    }

    fn publish(&mut self) {
        let (right, until) = self.member.right_until(self.clock.now());
        let of = |number: u64| match number {
            0 => Some(Arc::new(Operator::none())),
            _ => {
                self.operators.iter().find(|(known, _)| *known == number).map(|(_, known)| Arc::clone(known))
            }
        };
        let mut published = held(&self.published);
        if let Right::Policy(number) = right
            && published.policy.as_ref().is_none_or(|(known, _)| *known != number)
            && let Some(operator) = of(number)
        {
            // Number 0 says nothing of being cut off; the file's own word holds until a policy says
            // something.
            published.cut_off = Arc::clone(if number == 0 { &self.own } else { &operator });
            published.policy = Some((number, operator));
        }
        (published.right, published.until) = (right, until);
        let servers = self.member.record().out.iter().filter_map(|out| match out.unit {
            Unit::Server(key) => Some(key),
            Unit::Balancer(_) => None,
        });
        let servers: BTreeSet<u64> = servers.collect();
        if servers != published.let_out.1 {
            published.let_out = (published.let_out.0 + 1, servers);
        }
        published.is_let_out = self.member.is_let_out();
        let watches = self.member.watched().is_some();
        let wires = &mut self.member.outside;
        wires.places.clone_from(&published.places);
        let (counts, own) = (std::mem::take(&mut published.counts), std::mem::take(&mut published.own));
        if watches {
            counts.into_iter().for_each(|(of, count)| wires.counts.entry(of).or_default().add(count));
            wires.own.add(own);
        } else {
            wires.counts.clear();
        }
    }

    fn serve(&mut self, request: Request) -> Answer {
        let now = self.clock.now();
        let serial = || rand::random::<u64>();
        let record = self.member.record();
        match request {
            Request::Status => Ok(self.status(now)),
            Request::Found { anew: false, .. } if record.founding != 0 => {
                Err("the fleet is founded already".to_string())
            }
            Request::Found { anew: true, .. } if record.founding == 0 => {
                Err("nothing is known here of a founding before; ask at a member that remembers".to_string())
            }
            Request::Found { anew: true, .. } if matches!(self.member.right(now), Right::Policy(_)) => {
                Err("a majority of the voters answers: nothing is to be founded anew".to_string())
            }
            Request::Found { anew: true, sure: false } => {
                Ok(json!({"begun": false, "known": self.status(now)}))
            }
            Request::Found { .. } => {
                let epoch = record.epoch();
                self.member.found(now, serial());
                Ok(json!({"begun": true, "epoch": epoch}))
            }
            Request::Propose { .. } | Request::Withdraw { .. } if record.founding == 0 => {
                Err("the fleet is not founded: whinspindle fleet found".to_string())
            }
            Request::Propose { text, length, hash } => {
                if text.len() != length || Hash::of(text.as_bytes()).to_string() != hash {
                    return Err("the text did not come whole".to_string());
                }
                if text.len() > LONGEST_TEXT {
                    return Err(format!("{} bytes; a policy has {LONGEST_TEXT} at most", text.len()));
                }
                // What can't be proved here is not proposed to others.
                if let Err(faults) = whinspindle_operator::read_policy(&text, &self.deployment) {
                    let drawn = whinspindle_operator::draw("the policy", &text, &faults);
                    return Err(format!("{} faults\n{drawn}", faults.len()));
                }
                if let Some(change) = record.next {
                    return Err(format!("policy {} is under way; withdraw it or wait", change.policy.number));
                }
                let wish = self.member.propose(now, text.as_bytes(), serial());
                Ok(json!({"by": wish.by, "serial": wish.serial}))
            }
            Request::Out { unit, serial, release } => self.ask_out(now, unit, serial, release),
            Request::Back { unit, .. } if record.out_as(unit).is_none() => {
                Err("it is not let out".to_string())
            }
            Request::Back { unit, done } => {
                self.member.want(now, Want::Back { unit, done }, serial());
                Ok(json!({"begun": true}))
            }
            Request::Release { text, length, hash } => self.begin_release(now, &text, length, &hash),
            Request::Turn | Request::Leave => {
                let Some(release) = &record.release else {
                    return Err("no release is under way".to_string());
                };
                let number = release.number;
                let turn = matches!(request, Request::Turn);
                if turn && release.way == Way::Back {
                    return Err(format!("release {number} is on its way back already"));
                }
                let want = if turn { Want::Turn { number } } else { Want::Leave { number } };
                self.member.want(now, want, serial());
                Ok(json!({"number": number}))
            }
            Request::Halt { mut why } => {
                while why.len() > WORDS {
                    why.pop();
                }
                self.member.want(now, Want::Halt { why }, serial());
                Ok(json!({"begun": true}))
            }
            Request::Resume => {
                self.member.want(now, Want::Resume, serial());
                Ok(json!({"begun": true}))
            }
            Request::Voters { old, new } => {
                let votes = |member: u16| record.boards.iter().flatten().any(|voter| voter.member == member);
                if !votes(old) {
                    return Err(format!("member {old} does not vote"));
                }
                if votes(new) || new >= self.member.terms().members {
                    return Err(format!("member {new} votes already, or there is no such member"));
                }
                self.member.want(now, Want::Voters { old, new }, serial());
                Ok(json!({"begun": true}))
            }
            Request::Withdraw { number } => {
                if record.next.is_none_or(|change| change.policy.number != number) {
                    return Err(format!("policy {number} is not under way"));
                }
                let wish = self.member.withdraw(now, number, serial());
                Ok(json!({"by": wish.by, "serial": wish.serial}))
            }
        }
    }

    /// A supervisor asks whether it may take a unit out; the answer may have been lost, so it may ask again.
    fn ask_out(&mut self, now: u64, unit: Unit, serial: u64, release: Option<u64>) -> Answer {
        let record = self.member.record();
        if let Some(out) = record.out_as(unit) {
            let way = out.part.map(|part| if part.way == Way::Forth { "forth" } else { "back" });
            return match out.wish.serial == serial {
                true => Ok(json!({"granted": true, "way": way})),
                false => Err("it is let out already, by another's wish".to_string()),
            };
        }
        // By whichever member it was asked.
        if record.done.iter().any(|wish| wish.serial == serial) {
            return Err("this wish was granted, and its unit is back: ask with another word".to_string());
        }
        if let Some(halt) = &record.halted {
            return Ok(json!({"granted": false, "halted": halt.why}));
        }
        if let Err(no) = self.member.part_of(now, unit, release) {
            return match no {
                No::Later { .. } | No::NoPlan => {
                    self.member.want(now, Want::Out { unit, release }, serial);
                    Ok(json!({"granted": false, "waits": no.to_string()}))
                }
                _ => Err(no.to_string()),
            };
        }
        // The steward decides; what this balancer sees is told as the likely reason.
        let waits = match self.member.outside.may_go(record, unit, &BTreeSet::new()) {
            Err(no @ (No::NoLimit | No::Unknown)) => return Err(no.to_string()),
            Err(no) => no.to_string(),
            Ok(()) => "the voters have not said so yet".to_string(),
        };
        self.member.want(now, Want::Out { unit, release }, serial);
        Ok(json!({"granted": false, "waits": waits}))
    }

    fn begin_release(&mut self, now: u64, text: &str, length: usize, hash: &str) -> Answer {
        let record = self.member.record();
        if record.founding == 0 {
            return Err("the fleet is not founded: whinspindle fleet found".to_string());
        }
        if text.len() != length || Hash::of(text.as_bytes()).to_string() != hash || length > LONGEST_TEXT {
            return Err(format!("the text did not come whole, or is longer than {LONGEST_TEXT} bytes"));
        }
        if let Some(release) = &record.release {
            return Err(format!("release {} is under way; leave it, or wait", release.number));
        }
        let members = self.member.terms().members as usize;
        let plan = whinspindle_operator::read_plan(text, Some(members)).map_err(|faults| {
            format!("{} faults\n{}", faults.len(), whinspindle_operator::draw("the plan", text, &faults))
        })?;
        // A release that could never begin is refused now, not found out later.
        for unit in &plan.units {
            if let Err(no @ (No::NoLimit | No::Unknown)) =
                self.member.outside.may_go(record, *unit, &BTreeSet::new())
            {
                let name = plan.place_of(*unit).map_or("", |place| plan.names[place].as_str());
                return Err(format!("{name}: {no}"));
            }
        }
        self.member.hold(text.as_bytes());
        let want = Want::Release { hash: Hash::of(text.as_bytes()), length: length as u32 };
        let wish = self.member.want(now, want, rand::random());
        Ok(json!({"serial": wish.serial}))
    }

    fn release_status(&self, now: u64) -> Value {
        let record = self.member.record();
        let side = |count: Count| json!({"executions": count.executions, "bad": count.bad});
        let release = record.release.as_ref().map(|release| {
            let plan = self.member.outside.plan(release.hash);
            let places = plan.iter().flat_map(|plan| plan.names.iter().enumerate());
            let units: Vec<Value> = places
                .map(|(place, name)| {
                    let unit = plan.as_ref().and_then(|plan| plan.units.get(place)).copied();
                    let out = unit.is_some_and(|unit| record.out_as(unit).is_some());
                    json!({"unit": name, "changed": release.changed.has(place), "out": out})
                })
                .collect();
            json!({"number": release.number, "by": release.wish.by, "serial": release.wish.serial,
                "way": if release.way == Way::Forth { "forth" } else { "back" }, "wave": release.wave + 1,
                "name": plan.as_ref().map(|plan| plan.name.clone()),
                "waves": plan.map(|plan| plan.waves.clone()),
                "changed": release.changed.count(), "units": units, "watchedMs": self.member.watched_for(now),
                "seen": self.member.evidence().map(|seen| json!([side(seen.unchanged), side(seen.changed)]))})
        });
        let past: Vec<Value> = record
            .past_releases
            .iter()
            .map(|past| {
                json!({"number": past.number, "serial": past.wish.serial, "changed": past.changed,
                    "end": format!("{:?}", past.close)})
            })
            .collect();
        json!({"now": release, "past": past})
    }

    fn status(&self, now: u64) -> Value {
        let member = &self.member;
        let record = member.record();
        let change = |policy: Policy, by: u16, serial: u64| {
            json!({"number": policy.number, "hash": policy.hash.to_string(), "bytes": policy.length, "by": by,
                "serial": serial})
        };
        let past: Vec<Value> = record
            .past
            .iter()
            .map(|past| {
                let mut told = change(past.change.policy, past.change.wish.by, past.change.wish.serial);
                told["fate"] = match past.fate {
                    Fate::InForce => json!("in force"),
                    Fate::Withdrawn => json!("withdrawn"),
                    Fate::Refused(member) => json!(format!("refused by member {member}")),
                    Fate::GivenUp => json!("given up"),
                };
                told
            })
            .collect();
        let members: Vec<Value> = member
            .heard_of()
            .iter()
            .enumerate()
            .map(|(number, heard)| {
                let Some(heard) = heard else { return json!({"member": number, "heard": null}) };
                let mut told = json!({"member": number, "heardMsAgo": now.saturating_sub(heard.at) / 1000,
                "version": heard.version, "right": right_words(heard.right)});
                if let Readiness::Objects(number, no) = &heard.readiness {
                    told["objects"] = json!({"number": number, "line": no.line, "words": no.words});
                }
                told["ready"] = match heard.readiness {
                    Readiness::Ready(number) => json!(number),
                    _ => Value::Null,
                };
                if let Readiness::Lacks(pieces) = heard.readiness {
                    told["lacks"] = json!(pieces);
                }
                told
            })
            .collect();
        let out: Vec<Value> = record
            .out
            .iter()
            .map(|out| match out.unit {
                Unit::Balancer(number) => json!({"balancer": number, "by": out.wish.by}),
                Unit::Server(key) => json!({"server": format!("{key:016x}"), "by": out.wish.by}),
            })
            .collect();
        let voters: Vec<u16> = record.boards.iter().flatten().map(|voter| voter.member).collect();
        json!({"me": member.terms().me, "founded": record.founding != 0, "epoch": record.epoch(), "version": record.version,
            "voters": voters, "isVoter": member.is_voter(), "right": right_words(member.right(now)),
            "why": if member.right(now) == Right::CutOff { member.why_cut_off(now) } else { String::new() },
            "policy": {"number": record.policy.number, "hash": record.policy.hash.to_string()},
            "next": record.next.map(|next| change(next.policy, next.wish.by, next.wish.serial)),
            "past": past, "members": members, "out": out, "release": self.release_status(now),
            "build": member.outside.build,
            "halted": record.halted.as_ref().map(|halt| json!({"by": halt.wish.by, "why": halt.why})),
            "datagrams": {"sent": member.outside.sent, "received": self.received,
                "passedOver": member.outside.peers.passed_over}})
    }
}

fn right_words(right: Right) -> String {
    match right {
        Right::Learning => "learning".to_string(),
        Right::Policy(number) => format!("policy {number}"),
        Right::CutOff => "cut off".to_string(),
    }
}

/// So that senders of requests need not know of channels.
pub type Asks = Sender<(Request, SyncSender<Answer>)>;
