//! Fleets of any size in virtual time: members as they ship, clocks that drift, links that delay and lose,
//! and drawn schedules of faults. It measures how long a change takes to reach the last member and what is
//! sent meanwhile, and its referee holds every member's decisions against the promises.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;
use std::time::Instant;

use whinspindle_fleet_policy::{
    ChangeOutcome, DurableState, LeaseState, Member, MemberSettings, Message, Objection,
    StandardConsensusRules,
};
use whinspindle_lab_model::random::{Concern, RandomGenerator};
use whinspindle_peer_transport::{MAX_DATAGRAM_BYTES, PeerTransport};

use crate::net::Net;

const SECOND: u64 = 1_000_000;
/// In millionths; clocks are drawn within it.
const DRIFT: u64 = 10_000;
const RIGHT: u64 = 10 * SECOND;

/// One fleet and what befalls it.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub members: u16,
    pub voters: u16,
    pub seed: u64,
    /// Part of the datagrams that is lost; one way takes up to so long.
    pub loss: f64,
    pub delay: u64,
    /// Bytes of the policy's text.
    pub text: usize,
    /// This part of the members, no voters, is down while the change is made, or cut off.
    pub down: f64,
    pub cut: f64,
    /// Can't prove any policy.
    pub objects: Option<u16>,
}

impl Fleet {
    pub fn plain(members: u16, seed: u64) -> Fleet {
        let voters = if members < 5 { members } else { 3 };
        Fleet {
            members,
            voters,
            seed,
            loss: 0.0,
            delay: 1_000,
            text: 2_048,
            down: 0.0,
            cut: 0.0,
            objects: None,
        }
    }

    fn terms(&self, me: u16) -> MemberSettings {
        let pace = (RIGHT / 5).max(u64::from(self.members) * SECOND / 200);
        MemberSettings {
            member: me,
            member_count: self.members,
            voters: (0..self.voters).collect(),
            lease_us: RIGHT,
            clock_drift_ppm: DRIFT,
            renewal_interval_us: pace,
            absence_timeout_us: RIGHT,
            change_timeout_us: 60 * SECOND,
            startup_timeout_us: 2 * SECOND,
        }
    }
}

/// What was sent by one kind of member, in a second of each.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sent {
    pub datagrams: f64,
    pub bytes: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Measured {
    /// From the proposal until the last member that is there decides by it, in microseconds of true time.
    pub to_last: Option<u64>,
    /// By a voter and by a follower, at rest and from the proposal to the last.
    pub rest: [Sent; 2],
    pub during: [Sent; 2],
    /// Time that the core took in all, for a member and a virtual second, in microseconds.
    pub cpu: f64,
}

struct Place {
    member: Option<Member<Net, StandardConsensusRules>>,
    disk: Option<DurableState>,
    texts: Vec<Rc<[u8]>>,
    peers: PeerTransport,
    /// Parts in a million by which the clock is fast, and where it began.
    rate: u64,
    offset: u64,
    starts: u64,
    /// Until when it is down, stands still, or is cut off; a side of 0 is cut off from nobody.
    down: u64,
    stopped: u64,
    side: u8,
    sent: (u64, u64),
    /// The highest number it has decided by.
    highest: u64,
}

enum What {
    Tick,
    Mail(u16, Box<Message>),
}

struct Event {
    what: What,
    to: u16,
}

pub struct World {
    fleet: Fleet,
    now: u64,
    places: Vec<Place>,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    serial: u64,
    random: RandomGenerator,
    core: std::time::Duration,
    /// When each number was first decided by.
    first: BTreeMap<u64, u64>,
    records: BTreeMap<(u64, u64), u64>,
    broken: Option<String>,
}

impl World {
    pub fn new(fleet: &Fleet) -> World {
        let mut random = RandomGenerator::new(fleet.seed, Concern::Network);
        let place = |me: u16, random: &mut RandomGenerator| Place {
            member: None,
            disk: None,
            texts: Vec::new(),
            peers: PeerTransport::new(me, fleet.members, "lab", "", 1, MAX_DATAGRAM_BYTES),
            rate: SECOND - DRIFT + random.below(2 * DRIFT as usize + 1) as u64,
            offset: random.below(1_000_000_000) as u64,
            starts: 0,
            down: 0,
            stopped: 0,
            side: 0,
            sent: (0, 0),
            highest: 0,
        };
        let places = (0..fleet.members).map(|me| place(me, &mut random)).collect();
        let mut world = World {
            fleet: fleet.clone(),
            now: 0,
            places,
            due: BinaryHeap::new(),
            events: BTreeMap::new(),
            serial: 0,
            random,
            core: std::time::Duration::ZERO,
            first: BTreeMap::new(),
            records: BTreeMap::new(),
            broken: None,
        };
        for me in 0..fleet.members {
            let at = world.random.below(SECOND as usize) as u64;
            world.at(at, me, What::Tick);
        }
        world
    }

    fn at(&mut self, at: u64, to: u16, what: What) {
        self.serial += 1;
        self.due.push(Reverse((at, self.serial)));
        self.events.insert(self.serial, Event { what, to });
    }

    /// A member's own clock.
    fn clock(&self, me: u16) -> u64 {
        let place = &self.places[me as usize];
        place.offset + (u128::from(self.now) * u128::from(place.rate) / u128::from(SECOND)) as u64
    }

    fn start(&mut self, me: u16) {
        let (now, terms) = (self.clock(me), self.fleet.terms(me));
        let place = &mut self.places[me as usize];
        place.starts += 1;
        let start = (u64::from(me) + 1) << 20 | place.starts;
        let mut member = Member::new(Net::default(), terms, place.disk.clone(), start, now);
        place.texts.clone().iter().for_each(|text| member.add_text(text));
        place.member = Some(member);
    }

    fn settle(&mut self, me: u16) {
        loop {
            let now = self.clock(me);
            let place = &mut self.places[me as usize];
            let Some(member) = &mut place.member else { return };
            let out = member.environment.take();
            if out.kept.is_some() {
                place.disk = out.kept;
            }
            for (policy, text) in &out.to_prove {
                // As the program keeps them: the last four.
                place.texts.push(Rc::clone(text));
                let over = place.texts.len().saturating_sub(4);
                place.texts.drain(..over);
                let no = Objection { line: 3, reason: "no".to_string() };
                let verdict = if self.fleet.objects == Some(me) { Err(no) } else { Ok(()) };
                member.proved(now, policy.number, verdict);
            }
            let proved = !out.to_prove.is_empty();
            for (to, message) in out.sent {
                let place = &mut self.places[me as usize];
                let datagrams = place.peers.encode(to, &message);
                place.sent.0 += datagrams.len() as u64;
                place.sent.1 += datagrams.iter().map(|datagram| datagram.len() as u64).sum::<u64>();
                // With one part the message is lost.
                let lost = datagrams.iter().any(|_| self.random.unit() < self.fleet.loss);
                let sides = (self.places[me as usize].side, self.places[to as usize].side);
                if !lost && sides.0 == sides.1 {
                    let way = self.fleet.delay / 4 + self.random.below(self.fleet.delay as usize) as u64;
                    self.at(self.now + way, to, What::Mail(me, Box::new(message)));
                }
            }
            if !proved {
                return;
            }
        }
    }

    /// Up to a time.
    fn run(&mut self, until: u64) {
        while self.due.peek().is_some_and(|Reverse((at, _))| *at <= until) {
            let Some(Reverse((at, serial))) = self.due.pop() else { break };
            self.now = at;
            let Some(Event { what, to }) = self.events.remove(&serial) else { continue };
            let place = &self.places[to as usize];
            if at < place.down || at < place.stopped {
                // What comes to one that is down is lost; one that stands still reads it when it goes on.
                let again = place.down.max(place.stopped);
                match what {
                    What::Tick => self.at(again, to, What::Tick),
                    What::Mail(..) if at < place.down => {}
                    mail @ What::Mail(..) => self.at(again, to, mail),
                }
                continue;
            }
            if place.member.is_none() {
                self.start(to);
            }
            let now = self.clock(to);
            if matches!(what, What::Tick) {
                let pace = self.fleet.terms(to).renewal_interval_us / 8;
                self.at(at + pace.min(100_000), to, What::Tick);
            }
            let began = Instant::now();
            if let Some(member) = &mut self.places[to as usize].member {
                match what {
                    What::Tick => member.tick(now),
                    What::Mail(from, message) => member.receive(now, from, *message),
                }
            }
            self.core += began.elapsed();
            self.settle(to);
            self.judge(to);
        }
        self.now = until;
    }

    fn judge(&mut self, me: u16) {
        let Some(member) = &self.places[me as usize].member else { return };
        let record = member.record();
        let print = {
            use std::hash::{DefaultHasher, Hash, Hasher};
            let mut hasher = DefaultHasher::new();
            record.hash(&mut hasher);
            hasher.finish()
        };
        if *self.records.entry(record.order()).or_insert(print) != print {
            self.broken = Some(format!("member {me} knows another record of version {}", record.version));
        }
        let LeaseState::Policy(number) = member.lease_state(self.clock(me)) else { return };
        self.first.entry(number).or_insert(self.now);
        let highest = self.places[me as usize].highest;
        if number < highest {
            self.broken = Some(format!("member {me} goes back from policy {highest} to {number}"));
        }
        self.places[me as usize].highest = highest.max(number);
        // What is left of a right by a clock as slow as the terms allow.
        let window = RIGHT * SECOND / (SECOND - DRIFT) + 1;
        let newer = self.first.iter().find(|(newer, at)| **newer > number && **at + window < self.now);
        if let Some((newer, at)) = newer {
            let after = self.now - at;
            self.broken =
                Some(format!("member {me} decides by {number}, {after} us after the first by {newer}"));
        }
    }
}

impl World {
    fn found(&mut self) {
        for me in 0..self.fleet.members {
            if self.places[me as usize].member.is_none() {
                self.start(me);
            }
        }
        let now = self.clock(0);
        if let Some(member) = &mut self.places[0].member {
            member.bootstrap(now, 77);
        }
        self.settle(0);
    }

    fn propose(&mut self, at: u16, text: &[u8], serial: u64) {
        let now = self.clock(at);
        if let Some(member) = &mut self.places[at as usize].member {
            member.propose(now, text, serial);
        }
        self.settle(at);
    }

    /// Whether this one decides by the number, or is not there to decide anything.
    fn is_there(&self, place: &Place) -> bool {
        self.now >= place.down && self.now >= place.stopped && place.side == 0
    }

    fn all_decide_by(&self, number: u64) -> bool {
        (0..self.fleet.members).all(|me| {
            let place = &self.places[me as usize];
            let by = |member: &Member<Net, StandardConsensusRules>| {
                member.lease_state(self.clock(me)) == LeaseState::Policy(number)
            };
            !self.is_there(place) || place.member.as_ref().is_some_and(by)
        })
    }

    /// Whether a majority of each voter set that the first member knows still has the incarnations that it counts.
    fn can_decide(&self) -> bool {
        let members = || self.places.iter().filter_map(|place| place.member.as_ref());
        let incarnations: Vec<_> = members().map(Member::voter).collect();
        let counts = |voter_set: &Vec<_>| {
            2 * voter_set.iter().filter(|voter| incarnations.contains(voter)).count() > voter_set.len()
        };
        members().next().is_some_and(|member| member.record().voter_sets.iter().all(counts))
    }

    fn sent(&self) -> [(u64, u64); 2] {
        let (voters, others) = self.places.split_at(self.fleet.voters as usize);
        [voters, others].map(|of| of.iter().fold((0, 0), |sum, p| (sum.0 + p.sent.0, sum.1 + p.sent.1)))
    }

    fn sent_since(&self, before: [(u64, u64); 2], time: u64) -> [Sent; 2] {
        let members = [self.fleet.voters, self.fleet.members - self.fleet.voters];
        let after = self.sent();
        [0, 1].map(|kind| {
            let each = members[kind].max(1) as f64 * (time.max(1) as f64 / 1e6);
            Sent {
                datagrams: (after[kind].0 - before[kind].0) as f64 / each,
                bytes: (after[kind].1 - before[kind].1) as f64 / each,
            }
        })
    }
}

/// What became of a policy that one member can't prove, as the first voter knows it; an error if anybody ever
/// decides by it.
pub fn refused(fleet: &Fleet) -> Result<Option<ChangeOutcome>, String> {
    let mut world = World::new(fleet);
    world.found();
    world.run(20 * SECOND);
    world.propose(fleet.members - 1, &vec![b'x'; fleet.text], 5);
    world.run(100 * SECOND);
    if let Some(broken) = world.broken {
        return Err(broken);
    }
    if !world.all_decide_by(0) || world.first.contains_key(&1) {
        return Err("somebody decides by what was refused".to_string());
    }
    let record = world.places[0].member.as_ref().map(|member| member.record().clone());
    Ok(record.and_then(|record| record.past_changes.last().map(|past| past.outcome)))
}

/// A fleet is founded, rests, and one policy is proposed by its last member that is there.
pub fn measure(fleet: &Fleet) -> Result<Measured, String> {
    let mut world = World::new(fleet);
    world.run(SECOND);
    // The voters know of one another's incarnations by then, and the bootstrap goes on until it is done.
    world.found();
    // A steward must have been up for as long as one that is away is unheard.
    world.run(40 * SECOND);
    let before = world.sent();
    world.run(60 * SECOND);
    let rest = world.sent_since(before, 20 * SECOND);
    let down = (f64::from(fleet.members - fleet.voters) * fleet.down) as usize;
    let cut = (f64::from(fleet.members - fleet.voters) * fleet.cut) as usize;
    let first = fleet.voters as usize;
    for place in world.places.iter_mut().skip(first).take(down) {
        (place.down, place.member) = (u64::MAX, None);
    }
    world.places.iter_mut().skip(first).take(cut).for_each(|place| place.side = 1);
    let (before, began) = (world.sent(), world.now);
    world.propose(fleet.members - 1, &vec![b'#'; fleet.text], 9);
    let mut measured = Measured { rest, ..Measured::default() };
    while world.now < began + 90 * SECOND && measured.to_last.is_none() {
        world.run(world.now + 20_000);
        measured.to_last = world.all_decide_by(1).then_some(world.now - began);
    }
    measured.during = world.sent_since(before, world.now - began);
    measured.cpu = world.core.as_secs_f64() * 1e6 / f64::from(fleet.members) / (world.now as f64 / 1e6);
    world.broken.map_or(Ok(measured), Err)
}

/// A drawn schedule: changes every few seconds while members die, stand still, lose disks and are cut off.
/// Returns how many changes came into force.
pub fn schedule(seed: u64) -> Result<u64, String> {
    let mut random = RandomGenerator::new(seed, Concern::Hunt);
    let members = 5 + random.below(7) as u16;
    let voters = if random.below(2) == 0 { 3 } else { 5 };
    let loss = [0.0, 0.05, 0.2][random.below(3)];
    let delay = [1_000, 20_000, 400_000][random.below(3)];
    let fleet = Fleet { members, voters, loss, delay, text: 300, ..Fleet::plain(members, seed) };
    let mut world = World::new(&fleet);
    world.run(SECOND);
    world.found();
    for step in 0..40 {
        world.run(world.now + 500_000 + random.below(4_000_000) as u64);
        let who = random.below(members as usize);
        let until = world.now + random.below(20_000_000) as u64;
        let place = &mut world.places[who];
        match random.below(7) {
            0 => {
                (place.down, place.member) = (until, None);
                // Of the voters one disk at a time may be lost, and is made good before the next.
                if who >= voters as usize || step % 8 == 0 {
                    place.disk = None;
                    place.texts.clear();
                }
            }
            1 => (place.down, place.member) = (until, None),
            2 => place.stopped = until,
            3 => place.side = 1,
            4 => world.places.iter_mut().for_each(|place| place.side = 0),
            _ => world.propose(who as u16, format!("policy {step}").as_bytes(), 1000 + step),
        }
        if let Some(broken) = &world.broken {
            return Err(format!("seed {seed}: {broken}"));
        }
    }
    world.places.iter_mut().for_each(|place| place.side = 0);
    world.run(world.now + 120 * SECOND);
    // All faults are over: the fleet agrees on one more, and everybody decides by it. Where it was never
    // founded, since the member that was asked to died first, its operator asks again.
    if world
        .places
        .iter()
        .all(|place| place.member.as_ref().is_none_or(|member| member.record().bootstrap_id == 0))
    {
        world.found();
        world.run(world.now + 60 * SECOND);
    }
    world.propose(members - 1, b"the last", 9_999);
    world.run(world.now + 120 * SECOND);
    let last = world.places[0].member.as_ref().map_or(0, |member| member.record().policy.number);
    // Voters that lost their disks one soon after the other are a majority without a memory: for an operator
    // to found anew.
    if world.broken.is_none() && world.can_decide() && !world.all_decide_by(last) {
        let by = |me: u16| {
            let member = world.places[me as usize].member.as_ref();
            member.map(|member| (member.lease_state(world.clock(me)), member.record().policy.number))
        };
        let by: Vec<_> = (0..members).map(by).collect();
        world.broken = Some(format!("all faults are over, and the members decide by {by:?}"));
    }
    match &world.broken {
        Some(broken) => Err(format!("seed {seed}: {broken}")),
        None => Ok(world.first.keys().max().copied().unwrap_or(0)),
    }
}
