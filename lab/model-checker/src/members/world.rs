//! The members, their disks and the messages between them, one delivery after the other.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use whinspindle_fleet_policy::{
    Direction, DurableState, Hash as Name, Member, MemberRules, Message, Objection, Record, RequestKind, Unit,
};

use super::judge::{Judge, hash_of};
use super::schedule::{Departure, Fault, MEMBERS, Plan, VOTERS, clock, terms};
use crate::net::Net;

/// A member's process, up or down, with its disk.
#[derive(Clone)]
pub(super) struct Place<L: MemberRules> {
    pub(super) member: Option<Member<Net, L>>,
    pub(super) disk: Option<DurableState>,
    /// Back from a crash at this step; standing still, cut off or deaf until then.
    pub(super) back: u64,
    pub(super) stopped: u64,
    pub(super) cut: u64,
    pub(super) deaf: u64,
    pub(super) starts: u64,
    pub(super) began: u64,
    /// Since when it is down, and whether its supervisor has had it out.
    pub(super) down_since: u64,
    pub(super) released: usize,
}

/// A message on its way.
#[derive(Clone, Hash, PartialEq, Eq)]
pub(super) struct Mail {
    pub(super) due: u64,
    pub(super) from: u16,
    pub(super) to: u16,
    pub(super) message: Message,
}

/// A fleet in the middle of a schedule.
#[derive(Clone)]
pub struct World<L: MemberRules> {
    pub(super) step: u64,
    /// The member that ticks next in this step.
    pub(super) turn: u16,
    pub(super) events: usize,
    pub(super) places: Vec<Place<L>>,
    pub(super) mail: Vec<Mail>,
    pub(super) judge: Judge,
    pub(super) plan: Plan,
    pub(super) forgets: bool,
}

impl<L: MemberRules> World<L> {
    /// `forgets`: a lost disk gives the incarnation back, and no votes.
    pub fn new(plan: Plan, forgets: bool) -> Self {
        let place = Place {
            member: None,
            disk: None,
            back: 0,
            stopped: 0,
            cut: 0,
            deaf: 0,
            starts: 0,
            began: 0,
            down_since: u64::MAX,
            released: 0,
        };
        World {
            step: 0,
            turn: 0,
            events: 0,
            places: vec![place; MEMBERS as usize],
            mail: Vec::new(),
            judge: Judge::default(),
            plan,
            forgets,
        }
    }

    /// A member's own clock, which begins with its process.
    pub(super) fn clock(&self, me: u16) -> u64 {
        clock(me, self.step - self.places[me as usize].began)
    }

    pub(super) fn begin(&mut self, me: u16) {
        let (step, terms) = (self.step, terms(me, self.plan.absent));
        let place = &mut self.places[me as usize];
        place.starts += 1;
        (place.down_since, place.began) = (u64::MAX, step);
        let start = 100 * u64::from(me + 1) + place.starts;
        place.member = Some(Member::new(Net::default(), terms, place.disk.clone(), start, clock(me, 0)));
        self.settle(me);
    }

    /// Carries out what a member has asked for: its disk, its proofs, its mail.
    pub(super) fn settle(&mut self, me: u16) {
        let now = self.clock(me);
        loop {
            let place = &mut self.places[me as usize];
            let Some(member) = &mut place.member else { return };
            let out = member.environment.take();
            if let Some(memory) = out.kept {
                if let Some((_, record)) = &memory.votes.accepted {
                    self.judge.written.entry(hash_of(record)).or_insert(self.step);
                }
                place.disk = Some(memory);
            }
            for (to, message) in out.sent {
                self.mail.push(Mail { due: self.step, from: me, to, message });
            }
            if out.to_prove.is_empty() {
                return;
            }
            for (policy, _) in out.to_prove {
                // The second text is the longer one.
                let second = policy.length > 1;
                let no = Objection { line: 1, reason: "no".to_string() };
                let verdict = if second && self.plan.objects == Some(me) { Err(no) } else { Ok(()) };
                if let Some(member) = &mut self.places[me as usize].member {
                    member.proved(now, policy.number, verdict);
                }
            }
        }
    }

    pub(super) fn tick(&mut self, me: u16) {
        let (step, plan) = (self.step, self.plan);
        if self.places[me as usize].member.is_none() && step >= self.places[me as usize].back {
            self.begin(me);
        }
        let place = &mut self.places[me as usize];
        let Some(member) = place.member.as_mut().filter(|_| step >= place.stopped) else { return };
        let now = clock(me, step - place.began);
        if me == 0 && member.record().bootstrap_id == 0 && step >= 1 {
            member.bootstrap(now, 77);
        }
        if me >= VOTERS && step == plan.proposed[(me - VOTERS) as usize] {
            let text: &[u8] = if me == VOTERS { b"a" } else { b"bb" };
            member.propose(now, text, 1000 + u64::from(me));
        }
        if let Some(halts) = plan.halts.filter(|halts| me >= VOTERS && halts[(me - VOTERS) as usize] == step)
        {
            let first = step == halts[0] && me == VOTERS;
            let request =
                if first { RequestKind::Halt { reason: "no".to_string() } } else { RequestKind::Resume };
            member.submit(now, request, 2000 + u64::from(me));
        }
        if me == VOTERS && plan.moves == Some(step) {
            member.submit(now, RequestKind::ReplaceVoter { old: 2, new: 4 }, 4000);
        }
        if let Some([begins, turns]) = plan.release {
            if me == VOTERS && step == begins {
                let text = b"plan";
                member.add_text(text);
                let request = RequestKind::BeginRelease { hash: Name::of(text), length: text.len() as u32 };
                member.submit(now, request, 5000);
            }
            if me == VOTERS + 1 && step == turns {
                member.submit(now, RequestKind::RollBack { number: 1 }, 6000);
            }
        }
        let is_back =
            member.record().release.as_ref().is_some_and(|release| release.direction == Direction::Rollback);
        let due = plan.outs.is_some_and(|outs| me >= VOTERS && step >= outs[(me - VOTERS) as usize]);
        if due && (place.released == 0 || is_back) {
            if member.is_taken_out() {
                // The supervisor ends the process; it starts again two steps later and says itself that it is
                // back.
                (place.member, place.back, place.released) = (None, step + 2, place.released + 1);
                return;
            }
            let serial = 3000 + 100 * u64::from(is_back) + u64::from(me);
            let release = plan.release.map(|_| 1);
            member.submit(now, RequestKind::TakeOut { unit: Unit::Balancer(me), release }, serial);
        }
        member.tick(now);
        self.settle(me);
    }

    /// The next delivery of this step, if any.
    pub(super) fn next_mail(&mut self) -> Option<Mail> {
        let step = self.step;
        let ready = |mail: &Mail| mail.due <= step && step >= self.places[mail.to as usize].stopped;
        let at = self.mail.iter().position(ready)?;
        Some(self.mail.remove(at))
    }

    pub(super) fn deliver(&mut self, mail: Mail) {
        let step = self.step;
        let (from, to) = (&self.places[mail.from as usize], &self.places[mail.to as usize]);
        if step < from.cut || step < to.cut || step < to.deaf {
            return;
        }
        let now = self.clock(mail.to);
        if let Some(member) = &mut self.places[mail.to as usize].member {
            member.receive(now, mail.from, mail.message);
            self.settle(mail.to);
        }
    }

    pub(super) fn inject(&mut self, fault: Fault, mail: Mail) {
        let (step, to) = (self.step, mail.to as usize);
        match fault {
            Fault::Lose => {}
            Fault::Late(by) => self.mail.push(Mail { due: step + by, ..mail }),
            Fault::Twice(by) => {
                self.mail.push(Mail { due: step + by, ..mail.clone() });
                self.deliver(mail);
            }
            Fault::Crash(by) | Fault::LostDisk(by) => {
                let place = &mut self.places[to];
                (place.member, place.back, place.down_since) = (None, step + by, step);
                if matches!(fault, Fault::LostDisk(_)) {
                    let incarnation = place.disk.take().map(|disk| disk.incarnation);
                    let memory = |incarnation| DurableState {
                        incarnation,
                        votes: Default::default(),
                        record: Record::default(),
                    };
                    place.disk = incarnation.filter(|_| self.forgets).map(memory);
                }
            }
            Fault::Stop(by) => {
                self.places[to].stopped = step + by;
                self.mail.push(mail);
            }
            Fault::Cut(by) => self.places[to].cut = step + by,
            Fault::Deaf(by) => self.places[to].deaf = step + by,
        }
    }

    /// Up to the next delivery; none once the schedule is over.
    pub(super) fn advance(&mut self) -> Result<Option<Mail>, String> {
        loop {
            if let Some(mail) = self.next_mail() {
                self.events += 1;
                return Ok(Some(mail));
            }
            if self.turn < MEMBERS {
                self.tick(self.turn);
                self.turn += 1;
                self.judge()?;
                continue;
            }
            if self.step == self.plan.steps {
                return Ok(None);
            }
            self.step += 1;
            self.turn = 0;
            self.judge()?;
        }
    }

    /// A number by which two states are told apart.
    pub(super) fn print(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.step, self.turn, &self.mail, &self.judge).hash(&mut hasher);
        for place in &self.places {
            (&place.disk, place.back, place.stopped, place.cut, place.deaf).hash(&mut hasher);
            place.member.as_ref().map(|member| member.state()).hash(&mut hasher);
        }
        hasher.finish()
    }

    /// Plays with these departures to the end.
    pub fn play(mut self, departures: &[Departure]) -> Result<World<L>, String> {
        while let Some(mail) = self.advance()? {
            match departures.iter().find(|(at, _)| *at == self.events) {
                Some((_, fault)) => self.inject(*fault, mail),
                None => self.deliver(mail),
            }
            self.judge()?;
        }
        Ok(self)
    }

    /// The same, told line by line for a person to read.
    pub fn tell(mut self, departures: &[Departure]) -> Vec<String> {
        let mut lines = Vec::new();
        loop {
            let mail = match self.advance() {
                Ok(Some(mail)) => mail,
                Ok(None) => break,
                Err(broken) => {
                    lines.push(broken);
                    break;
                }
            };
            let what = format!("{:?}", mail.message);
            let what = what.split([' ', '{']).next().unwrap_or_default().to_string();
            let (step, from, to) = (self.step, mail.from, mail.to);
            let fault = departures.iter().find(|(at, _)| *at == self.events);
            match fault {
                Some((at, fault)) => {
                    lines.push(format!("step {step}, event {at}: {what} from {from} to {to}: {fault:?}"));
                    self.inject(*fault, mail);
                }
                None => self.deliver(mail),
            }
            if let Err(broken) = self.judge() {
                lines.push(format!("step {step}: {broken}"));
                break;
            }
        }
        lines
    }
}

impl<L: MemberRules> World<L> {
    /// A copy whose members write to places of their own.
    pub(super) fn clone_apart(&self) -> Self {
        let mut copy = self.clone();
        for member in copy.places.iter_mut().filter_map(|place| place.member.as_mut()) {
            member.environment = member.environment.apart();
        }
        copy
    }
}
