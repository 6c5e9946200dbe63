//! One process of the fleet: as a follower it holds a right that runs out, as a voter it grants rights and
//! agrees on each step.

mod releases;

use std::collections::{BTreeMap, BTreeSet};
use std::marker::PhantomData;
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use whinspindle_agreement::{AsPublished, Ballot, Round, Voter, Votes};
use whinspindle_release::{Evidence, Next, No, Plan, Progress, Row, Unit, Way};

use crate::message::{Message, Objection, Readiness, Right, Want};
use crate::record::{Change, Fate, Halt, Hash, Out, Part, Policy, Record, Step, Wish};
use crate::texts::Texts;

/// What an installation sets. Times are microseconds of a monotonic clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    pub me: u16,
    pub members: u16,
    /// Who votes from the founding on.
    pub voters: Vec<u16>,
    /// How long a granted right lasts, from when it was asked for.
    pub right: u64,
    /// By how many millionths the rate of a clock may differ from true time, either way.
    pub drift: u64,
    /// Between two questions for the right; rounds of the voters are repeated at this pace too.
    pub pace: u64,
    /// One unheard for so long is taken to be away, and a change does not wait for it.
    pub absent: u64,
    /// A change that is not proved everywhere by then is given up.
    pub give_up: u64,
    /// A process that starts learns for so long what holds before it does as one that is cut off.
    pub learn: u64,
}

impl Terms {
    /// After this time of any member's clock no right is left of those granted before it began: the longest
    /// that a right lasts by the slowest clock, counted by the fastest.
    pub fn window(&self) -> u64 {
        let drift = self.drift as u128;
        let right = self.right as u128;
        (right * (1_000_000 + drift)).div_ceil(1_000_000 - drift) as u64
    }
}

/// The rules of a member, beside those of counting; the lab plants faults in their place.
pub trait Laws: whinspindle_agreement::Laws {
    /// When a right that was asked for at `asked`, and granted by an answer that came at `now`, runs out.
    fn right_until(asked: u64, _now: u64, terms: &Terms) -> u64 {
        asked + terms.right
    }

    /// Whether a voter may grant rights by what it knows to be agreed, when it has voted for `voted`. Guards
    /// against a voter that makes way for another and lives on: it may never learn of it.
    fn may_grant(agreed: &Record, voted: Option<&Record>) -> bool {
        voted.is_none_or(|voted| {
            voted.version <= agreed.version
                || (voted.policy.number == agreed.policy.number && voted.board == agreed.board)
        })
    }

    /// Whether a right that was granted before may be used beside the record known now.
    fn is_for(granted: (u64, u64), board: u64, number: u64) -> bool {
        granted == (board, number)
    }

    /// When the next policy may come into force, if this one was learned then.
    fn next_after(learned: u64, terms: &Terms) -> u64 {
        learned + terms.window()
    }

    /// Under which wish a unit is let out: the one that was asked for, so that it is done once.
    fn wish_of(wanted: Wish, _agreed: &Record) -> Wish {
        wanted
    }

    /// Which balancers count as out without a grant: those that are away.
    fn out_without(away: BTreeSet<u16>) -> BTreeSet<u16> {
        away
    }

    /// Whether a unit may go by the release under way.
    fn may_go_by(progress: &Progress, place: usize) -> Result<(), No> {
        progress.may_go(place)
    }

    /// What the wave of now leads to, watched for so long since it was complete.
    fn next_of(progress: &Progress, watched: u64) -> Option<Next> {
        progress.next(watched)
    }
}

impl Laws for AsPublished {}

impl Record {
    /// What is known later is larger.
    pub fn order(&self) -> (u64, u64) {
        (self.founding, self.version)
    }
}

/// Wishes that a member holds at once.
const MOST_WANTS: usize = 64;

/// How often in a pace voters that have not answered are asked again.
const AGAIN: u64 = 2;

/// What a member must not forget over a restart.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Memory {
    pub birth: u64,
    pub votes: Votes<Record>,
    /// What is known to be agreed.
    pub record: Record,
}

/// What a member does to the world.
pub trait Outside {
    fn send(&mut self, to: u16, message: Message);
    /// Makes it durable. What follows from it is sent only after this returns; where it fails, the member
    /// votes and grants nothing until it succeeds.
    fn keep(&mut self, memory: &Memory) -> bool;
    /// Proves a policy against the process's own settings; `Member::proved` tells what came of it.
    fn prove(&mut self, policy: Policy, text: Rc<[u8]>);
    /// The plan with this hash, once it has been read.
    fn plan(&self, _: Hash) -> Option<Rc<Plan>> {
        None
    }
    /// The text of a plan is whole.
    fn plan_came(&mut self, _: Hash, _: Rc<[u8]>) {}
    /// What this process has seen of the units of the release under way since it was asked last.
    fn figures(&mut self, _: &Record) -> Vec<Row> {
        Vec::new()
    }
    /// A word for another part of the process.
    fn aside(&mut self, _: u16, _: Vec<u8>) {}
    /// Whether a server is listed as ready, and warm.
    fn is_full(&self, _: u64) -> bool {
        true
    }
    /// The build of this process, as plans name it.
    fn build(&self) -> String {
        String::new()
    }
    /// Whether the policy in force lets one more unit out, with these balancers away.
    fn may_go(&self, record: &Record, unit: Unit, away: &BTreeSet<u16>) -> Result<(), No>;
    /// One line for the log.
    fn tell(&mut self, words: String);
}

/// What a voter last heard of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Heard {
    pub at: u64,
    pub birth: u64,
    pub start: u64,
    pub founding: u64,
    pub version: u64,
    pub right: Right,
    pub readiness: Readiness,
}

/// Rights granted for one number by one board.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Holding {
    number: u64,
    board: u64,
    boards: Vec<Vec<Voter>>,
    /// Until when, and for which board and number.
    grants: BTreeMap<Voter, (u64, (u64, u64))>,
}

impl Holding {
    fn of(record: &Record) -> Holding {
        Holding {
            number: record.policy.number,
            board: record.board,
            boards: record.boards.clone(),
            grants: BTreeMap::new(),
        }
    }

    /// Until when there is a right: as long as a majority of each board grants it.
    fn until<L: Laws>(&self) -> u64 {
        let grant = |voter: &Voter| {
            let (until, granted) = self.grants.get(voter)?;
            L::is_for(*granted, self.board, self.number).then_some(*until)
        };
        let of_board = |board: &Vec<Voter>| {
            let mut ends: Vec<u64> = board.iter().filter_map(grant).collect();
            ends.sort_unstable();
            let needed = (0..=board.len()).find(|votes| L::is_majority(*votes, board.len()));
            needed.and_then(|needed| ends.len().checked_sub(needed)).map_or(0, |place| ends[place])
        };
        self.boards.iter().map(of_board).min().unwrap_or(0)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Wanted {
    want: Want,
    wish: Wish,
    since: u64,
}

/// What a voter knows against the build of a release.
#[derive(Clone, Debug)]
struct Case {
    release: u64,
    evidence: Evidence,
    /// When the window of now began, and how long it lasts at least.
    opened: u64,
    window: u64,
    /// Of each member's start, the last figures that were taken: those that come twice count once.
    taken: BTreeMap<u16, (u64, u32)>,
    /// Why the release has to be halted, and the serial number of that wish.
    against: Option<(String, u64)>,
}

/// A round that this member has begun.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct UnderWay {
    round: Round<Record>,
    step: Step,
    began: u64,
    /// The record for which the step was thought of.
    thought_of: (u64, u64),
}

#[derive(Clone)]
pub struct Member<O: Outside, L: Laws = AsPublished> {
    pub outside: O,
    terms: Terms,
    start: u64,
    began: u64,
    memory: Memory,
    /// Whether the memory is durable as it stands.
    kept: bool,
    record: Record,
    /// When the policy in force, and the change under way, were learned of.
    learned: u64,
    next_since: u64,
    /// The rights for what is known, and those for what was before, until the new ones are there.
    now_held: Holding,
    before_held: Option<Holding>,
    had_right: bool,
    told: Right,
    verdicts: BTreeMap<u64, Result<(), Objection>>,
    proving: BTreeSet<u64>,
    texts: Texts,
    heard: Vec<Option<Heard>>,
    wants: Vec<Wanted>,
    found: Option<u64>,
    case: Option<Case>,
    /// Since when the wave of now is complete, as this member knows it: release, wave and way.
    complete: Option<(u64, u16, Way, u64)>,
    serial: u32,
    round: Option<UnderWay>,
    quiet_until: u64,
    highest_round: u64,
    next_ask: u64,
    /// When it asked last, and how often those that had not answered since.
    asked: u64,
    again: u64,
    next_fetch: u64,
    /// What was asked for last.
    fetching: Option<(Hash, u16, u64)>,
    fetches: usize,
    /// Who has given pieces since the last question for some.
    source: Option<u16>,
    laws: PhantomData<L>,
}

impl<O: Outside, L: Laws> Member<O, L> {
    /// `start` is drawn anew at each start of the process.
    pub fn new(outside: O, terms: Terms, memory: Option<Memory>, start: u64, now: u64) -> Self {
        let memory = memory.unwrap_or_else(|| Memory {
            birth: start,
            votes: Votes::default(),
            record: Record::default(),
        });
        let record = memory.record.clone();
        let mut member = Member {
            outside,
            start,
            began: now,
            kept: false,
            now_held: Holding::of(&record),
            before_held: None,
            had_right: false,
            told: Right::Learning,
            learned: now,
            next_since: now,
            verdicts: BTreeMap::new(),
            proving: BTreeSet::new(),
            texts: Texts::default(),
            heard: vec![None; terms.members as usize],
            wants: Vec::new(),
            found: None,
            case: None,
            complete: None,
            serial: 0,
            round: None,
            quiet_until: 0,
            highest_round: 0,
            next_ask: now,
            asked: now,
            again: 0,
            next_fetch: now,
            fetching: None,
            fetches: terms.me as usize,
            source: None,
            laws: PhantomData,
            memory,
            record,
            terms,
        };
        member.keep();
        member
    }

    fn keep(&mut self) -> bool {
        self.kept = self.outside.keep(&self.memory);
        if !self.kept {
            self.outside
                .tell("what it has voted for can't be kept: it votes no more until it can".to_string());
        }
        self.kept
    }

    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    pub fn record(&self) -> &Record {
        &self.record
    }

    pub fn memory(&self) -> &Memory {
        &self.memory
    }

    pub fn voter(&self) -> Voter {
        Voter { member: self.terms.me, birth: self.memory.birth }
    }

    /// What this member last heard of each; only voters are told.
    pub fn heard_of(&self) -> &[Option<Heard>] {
        &self.heard
    }

    pub fn is_voter(&self) -> bool {
        self.record.is_voter(self.voter())
    }

    pub fn text(&self, hash: Hash) -> Option<Rc<[u8]>> {
        self.texts.get(hash)
    }

    pub fn verdict(&self, number: u64) -> Option<&Result<(), Objection>> {
        self.verdicts.get(&number)
    }

    /// By what a query that is taken now is decided. Asked for each query: a process that was stopped finds
    /// its right over before it does anything by it.
    pub fn right(&self, now: u64) -> Right {
        self.right_until(now).0
    }

    /// The same, and until when it holds if nothing more is heard.
    pub fn right_until(&self, now: u64) -> (Right, u64) {
        let proved = |number: u64| number == 0 || matches!(self.verdicts.get(&number), Some(Ok(())));
        let held = [Some(&self.now_held), self.before_held.as_ref()];
        let usable = held.into_iter().flatten().find(|h| proved(h.number) && now < h.until::<L>());
        let learned = self.began + self.terms.learn;
        match usable {
            Some(holding) => (Right::Policy(holding.number), holding.until::<L>()),
            None if !self.had_right && now < learned => (Right::Learning, learned),
            None => (Right::CutOff, u64::MAX),
        }
    }

    pub fn readiness(&self) -> Readiness {
        let Some(change) = self.record.next else { return Readiness::Nothing };
        let number = change.policy.number;
        match self.verdicts.get(&number) {
            Some(Ok(())) => Readiness::Ready(number),
            Some(Err(objection)) => Readiness::Objects(number, objection.clone()),
            None => Readiness::Lacks(self.texts.lacks(change.policy.hash)),
        }
    }

    /// A text that the process has from its own disk.
    pub fn hold(&mut self, text: &[u8]) {
        self.texts.put(text);
        self.prove();
    }

    /// An operator proposes a policy here. The wish is known by its serial number, drawn by the caller.
    pub fn propose(&mut self, now: u64, text: &[u8], serial: u64) -> Wish {
        let hash = self.texts.put(text);
        self.want(now, Want::Propose { hash, length: text.len() as u32 }, serial)
    }

    pub fn withdraw(&mut self, now: u64, number: u64, serial: u64) -> Wish {
        self.want(now, Want::Withdraw { number }, serial)
    }

    /// What an operator or a supervisor wants. Asking again with the same serial number is harmless.
    pub fn want(&mut self, now: u64, want: Want, serial: u64) -> Wish {
        let wish = Wish { by: self.terms.me, serial };
        match self.wants.iter_mut().find(|wanted| wanted.wish == wish) {
            Some(wanted) => wanted.since = now,
            None => self.wants.push(Wanted { want, wish, since: now }),
        }
        self.pass_on(now);
        self.steward(now);
        wish
    }

    /// An operator founds the fleet: the voters of the file begin to agree, each of them, with whatever birth
    /// it has now. Goes on until it is done. Anew it is for a fleet whose voters have lost their memories: as
    /// each voter of the file has to promise, those with the births of before can't be a majority of their
    /// own any more. What is known here of the founding before is taken over.
    pub fn found(&mut self, now: u64, nonce: u64) {
        self.found = Some(self.record.next_founding(nonce));
        self.steward(now);
    }

    /// Called a few times in each pace.
    pub fn tick(&mut self, now: u64) {
        if !self.kept {
            self.keep();
        }
        if now >= self.next_ask {
            self.ask(now);
            self.pass_on(now);
            self.tell_figures(now);
        }
        self.note_wave(now);
        self.ask_again(now);
        self.come_back(now);
        self.fetch(now);
        self.steward(now);
        self.note_right(now);
    }

    pub fn proved(&mut self, now: u64, number: u64, verdict: Result<(), Objection>) {
        self.proving.remove(&number);
        match &verdict {
            Ok(()) => self.outside.tell(format!("policy {number} is proved")),
            Err(no) => {
                self.outside.tell(format!("policy {number} can't be proved: line {}: {}", no.line, no.words));
            }
        }
        self.verdicts.insert(number, verdict);
        while self.verdicts.len() > 8 {
            self.verdicts.pop_first();
        }
        self.ask(now);
        self.steward(now);
    }

    pub fn heard(&mut self, now: u64, from: u16, message: Message) {
        if from >= self.terms.members {
            return;
        }
        match message {
            Message::Ask { at, birth, start, founding, version, right, readiness } => {
                let heard = Heard { at: now, birth, start, founding, version, right, readiness };
                self.answer(now, from, at, heard);
            }
            Message::Grant { at, start, voter, board, number } => {
                // Guards against an answer to a question of an earlier start, which was long under way: that
                // start's clock began at another moment, and the right would count from a time after its
                // grant.
                if start == self.start {
                    self.granted(now, at, voter, (board, number));
                }
            }
            Message::News { record } => self.learn(now, record),
            Message::Fetch { hash, piece, wanting } => self.give(from, hash, piece, wanting),
            Message::Piece { hash, piece, bytes, .. } => {
                self.source = Some(from);
                if self.texts.take(hash, piece, bytes) {
                    self.prove();
                } else if let Some((asked, piece, wanting)) = self.fetching
                    && !self.texts.is_wanting(asked, piece, wanting)
                {
                    // All that was asked for is here: the next ones are asked for without a pause.
                    self.next_fetch = now;
                    self.fetch(now);
                }
            }
            Message::Wanted { want, wish } => {
                let known = self.wants.iter_mut().find(|wanted| wanted.wish == wish);
                let asked_again = known.map(|wanted| wanted.since = now).is_some();
                if !asked_again && !self.record.knows(wish) && self.wants.len() < MOST_WANTS {
                    self.wants.push(Wanted { want, wish, since: now });
                    self.steward(now);
                }
            }
            Message::Figures { release, start, serial, rows } => {
                self.take_figures(now, from, release, start, serial, rows);
            }
            Message::Aside { bytes } => self.outside.aside(from, bytes),
            Message::Prepare { ballot } => self.prepare(from, ballot),
            Message::Accept { ballot, record } => self.accept(from, ballot, record),
            Message::Promise { ballot, voter, accepted } => {
                if let Some(under_way) = self.round.as_mut().filter(|on| on.round.ballot == ballot) {
                    under_way.round.promised(voter, accepted);
                    self.write(now);
                }
            }
            Message::Accepted { ballot, voter } => {
                if self.round.as_ref().is_some_and(|on| on.round.ballot == ballot) {
                    self.voted(now, voter);
                }
            }
            Message::Refuse { ballot, promised } => {
                self.highest_round = self.highest_round.max(promised.round);
                if self.round.take_if(|on| on.round.ballot == ballot).is_some() {
                    // Members that push one another out wait for different times.
                    self.quiet_until = now + self.terms.pace * (1 + u64::from(self.terms.me)) / 4;
                }
            }
        }
    }

    // As a follower.

    fn voters(&self) -> BTreeSet<u16> {
        let agreed = self.record.boards.iter().flatten().map(|voter| voter.member);
        if self.record.founding == 0 { self.terms.voters.iter().copied().collect() } else { agreed.collect() }
    }

    fn ask(&mut self, now: u64) {
        self.next_ask = now + self.terms.pace;
        (self.asked, self.again) = (now, 0);
        self.ask_those(now, self.voters());
    }

    /// Guards against lost datagrams in large fleets, where the pace is long against the right: a voter that
    /// has not answered is asked again, so often at most, if those that have are no majority.
    fn ask_again(&mut self, now: u64) {
        let due = self.asked + self.terms.pace / 4 * (self.again + 1);
        if self.again == AGAIN || now < due || self.now_held.until::<L>() >= self.asked + self.terms.right {
            return;
        }
        self.again += 1;
        let answered = |voter: &u16| {
            let grants = self.now_held.grants.iter().filter(|(of, _)| of.member == *voter);
            grants.into_iter().any(|(_, (until, _))| *until >= self.asked + self.terms.right)
        };
        let silent = self.voters().into_iter().filter(|voter| !answered(voter)).collect();
        self.ask_those(now, silent);
    }

    fn ask_those(&mut self, now: u64, voters: BTreeSet<u16>) {
        for voter in voters {
            let question = self.question(now);
            if voter == self.terms.me {
                self.heard(now, voter, question);
            } else {
                self.outside.send(voter, question);
            }
        }
    }

    fn question(&self, now: u64) -> Message {
        Message::Ask {
            at: now,
            birth: self.memory.birth,
            start: self.start,
            founding: self.record.founding,
            version: self.record.version,
            right: self.right(now),
            readiness: self.readiness(),
        }
    }

    /// The wishes made here go to all voters until the record knows them.
    fn pass_on(&mut self, now: u64) {
        let (record, give_up, pace) = (&self.record, self.terms.give_up, self.terms.pace);
        self.wants.retain(|wanted| {
            let open = match &wanted.want {
                Want::Propose { .. } => true,
                Want::Withdraw { number } => {
                    record.next.is_some_and(|change| change.policy.number == *number)
                }
                Want::Out { unit, .. } => record.out_as(*unit).is_none(),
                Want::Back { unit, .. } => record.out_as(*unit).is_some(),
                Want::Halt { .. } => record.halted.is_none(),
                Want::Resume => record.halted.is_some(),
                Want::Release { .. } => record.release.is_none(),
                Want::Turn { number } | Want::Leave { number } => {
                    record.release.as_ref().is_some_and(|release| release.number == *number)
                }
                Want::Voters { old, .. } => record.boards.iter().flatten().any(|voter| voter.member == *old),
            };
            // Guards against a unit let out when its supervisor has long given up: it has to go on asking.
            let lasts = if matches!(wanted.want, Want::Out { .. }) { 3 * pace } else { give_up };
            open && !record.knows(wanted.wish) && now < wanted.since + lasts
        });
        // Of those that have to be asked for again and again only the ones that just were: what is passed on
        // lasts anew.
        let fresh =
            |wanted: &&Wanted| !matches!(wanted.want, Want::Out { .. }) || now < wanted.since + 2 * pace;
        let mine = self.wants.iter().filter(|wanted| wanted.wish.by == self.terms.me).filter(fresh);
        let mine: Vec<Wanted> = mine.cloned().collect();
        for voter in self.voters().into_iter().filter(|voter| *voter != self.terms.me) {
            for Wanted { want, wish, .. } in &mine {
                self.outside.send(voter, Message::Wanted { want: want.clone(), wish: *wish });
            }
        }
    }

    fn granted(&mut self, now: u64, at: u64, voter: Voter, granted: (u64, u64)) {
        let until = L::right_until(at, now, &self.terms);
        for held in [Some(&mut self.now_held), self.before_held.as_mut()].into_iter().flatten() {
            let known = held.grants.entry(voter).or_insert((until, granted));
            if until > known.0 {
                *known = (until, granted);
            }
        }
        self.note_right(now);
    }

    /// Once there is a right for what is known, what was before is never gone back to.
    fn note_right(&mut self, now: u64) {
        let right = self.right(now);
        if right == Right::Policy(self.now_held.number) {
            self.before_held = None;
        }
        self.had_right |= matches!(right, Right::Policy(_));
        if right != self.told {
            let words = match right {
                Right::Learning => "learns what holds".to_string(),
                Right::Policy(number) => format!("decides by policy {number}"),
                Right::CutOff => format!("is cut off: {}", self.why_cut_off(now)),
            };
            self.outside.tell(words);
            self.told = right;
        }
    }

    pub fn why_cut_off(&self, now: u64) -> String {
        let number = self.now_held.number;
        if self.record.founding == 0 {
            return "the fleet is not founded, or no voter answers".to_string();
        }
        if now >= self.now_held.until::<L>() {
            return format!("no majority of the voters grants policy {number}");
        }
        match self.verdicts.get(&number) {
            Some(Err(no)) => format!("policy {number} can't be proved here: line {}: {}", no.line, no.words),
            _ => format!("the text of policy {number} is not whole yet"),
        }
    }

    /// What is agreed on, as another tells it or as this member's own round has brought it about.
    fn learn(&mut self, now: u64, record: Record) {
        if record.order() <= self.record.order() {
            return;
        }
        let (old, new) = (&self.record, &record);
        let mut words = Vec::new();
        if old.founding != new.founding {
            words.push(format!("the fleet is founded, {} voters", new.boards.iter().flatten().count()));
        }
        for past in new.past.iter().filter(|past| !old.past.contains(past)) {
            let number = past.change.policy.number;
            words.push(match past.fate {
                Fate::InForce => format!("policy {number} is in force"),
                Fate::Withdrawn => format!("policy {number} is withdrawn"),
                Fate::Refused(by) => format!("policy {number} is refused by member {by}"),
                Fate::GivenUp => format!("policy {number} is given up: not proved everywhere in time"),
            });
        }
        if let Some(change) = new.next.filter(|change| old.next != Some(*change)) {
            let Change { policy, wish } = change;
            words.push(format!(
                "policy {} ({}) is proposed by member {}",
                policy.number, policy.hash, wish.by
            ));
            self.next_since = now;
        }
        for out in new.out.iter().filter(|out| !old.out.contains(out)) {
            words.push(format!("{:?} is let out, asked for at member {}", out.unit, out.wish.by));
        }
        for out in old.out.iter().filter(|out| !new.out.contains(out)) {
            words.push(format!("{:?} is back", out.unit));
        }
        match (&old.release, &new.release) {
            (None, Some(release)) => {
                let by = release.wish.by;
                words.push(format!("release {} begins, by member {by}", release.number));
            }
            (Some(old), Some(new)) if (old.wave, old.way) != (new.wave, new.way) => {
                let way = if new.way == Way::Forth { "goes on" } else { "goes back" };
                words.push(format!("release {} {way}, wave {}", new.number, new.wave + 1));
            }
            _ => {}
        }
        for past in new.past_releases.iter().filter(|past| !old.past_releases.contains(past)) {
            words.push(format!(
                "release {} is over: {:?}, {} units changed",
                past.number, past.close, past.changed
            ));
        }
        match (&old.halted, &new.halted) {
            (None, Some(halt)) => {
                words.push(format!("nothing is let out any more, by member {}: {}", halt.wish.by, halt.why));
            }
            (Some(_), None) => words.push("units may be let out again".to_string()),
            _ => {}
        }
        if old.founding == new.founding && old.board != new.board {
            words.push(format!("the voters change, board {}", new.board));
        }
        words.into_iter().for_each(|words| self.outside.tell(words));
        if old.policy.number != new.policy.number || old.founding != new.founding {
            self.learned = now;
        }
        let of = |record: &Record| (record.founding, record.policy.number, record.board);
        if of(old) != of(new) {
            let held = std::mem::replace(&mut self.now_held, Holding::of(&record));
            // Of two that were both outrun only one with a right is of use.
            if now < held.until::<L>() || self.before_held.is_none() {
                self.before_held = Some(held);
            }
        }
        self.record = record;
        self.memory.record = self.record.clone();
        self.keep();
        let plan = self.record.release.as_ref().map(|release| release.hash);
        let used = [Some(self.record.policy.hash), self.record.next.map(|change| change.policy.hash), plan];
        if self
            .case
            .as_ref()
            .is_some_and(|case| Some(case.release) != self.watched() || self.record.halted.is_some())
        {
            self.case = None;
        }
        self.texts.let_go(&used.into_iter().flatten().collect::<Vec<_>>());
        self.prove();
        self.next_fetch = now;
        self.ask(now);
    }

    /// The policies of which a verdict is wanted.
    fn wanted(&self) -> impl Iterator<Item = Policy> + use<O, L> {
        let next = self.record.next.map(|change| change.policy);
        let wanted = [Some(self.record.policy), next].into_iter().flatten();
        wanted.filter(|policy| policy.number > 0).collect::<Vec<_>>().into_iter()
    }

    fn prove(&mut self) {
        for policy in self.wanted() {
            let Some(text) = self.texts.get(policy.hash) else { continue };
            if !self.verdicts.contains_key(&policy.number) && self.proving.insert(policy.number) {
                self.outside.prove(policy, text);
            }
        }
        let Some(hash) = self.record.release.as_ref().map(|release| release.hash) else { return };
        if let Some(text) = self.texts.get(hash).filter(|_| self.outside.plan(hash).is_none()) {
            self.outside.plan_came(hash, text);
        }
    }

    /// Asks for the pieces that are wanting: whoever gave some, else in turn whoever proposed it and the
    /// voters.
    fn fetch(&mut self, now: u64) {
        if now < self.next_fetch {
            return;
        }
        let next = self.record.next;
        let release = self.record.release.as_ref();
        let by = next.map(|change| change.wish.by).into_iter().chain(release.map(|release| release.wish.by));
        let sources: BTreeSet<u16> = self.voters().into_iter().chain(by).collect();
        let mut sources: Vec<u16> = sources.into_iter().filter(|source| *source != self.terms.me).collect();
        // Guards against a text that no voter has any more: now and then another member is asked for it.
        if self.fetches % 4 == 3 && self.source.is_none() {
            let all = usize::from(self.terms.members);
            sources = vec![(self.fetches / 4 % all) as u16];
            sources.retain(|source| *source != self.terms.me);
        }
        let plan = release.map(|release| (release.hash, release.length));
        let texts: Vec<(Hash, u32)> =
            self.wanted().map(|policy| (policy.hash, policy.length)).chain(plan).collect();
        for (hash, length) in texts {
            let Some((piece, wanting)) = self.texts.wanting(hash, length) else { continue };
            self.fetches += 1;
            if sources.is_empty() {
                return;
            }
            let source = self.source.take().unwrap_or(sources[self.fetches % sources.len()]);
            self.next_fetch = now + self.terms.pace / 4;
            self.fetching = Some((hash, piece, wanting));
            self.outside.send(source, Message::Fetch { hash, piece, wanting });
            return;
        }
        self.fetching = None;
    }

    fn give(&mut self, to: u16, hash: Hash, piece: u16, wanting: u64) {
        for at in (0..64).filter(|at| wanting >> at & 1 == 1) {
            let piece = piece.saturating_add(at);
            let Some((length, bytes)) = self.texts.piece(hash, piece) else { return };
            self.outside.send(to, Message::Piece { hash, piece, length, bytes });
        }
    }

    // As a voter.

    fn answer(&mut self, now: u64, from: u16, at: u64, heard: Heard) {
        let (order, start) = ((heard.founding, heard.version), heard.start);
        self.heard[from as usize] = Some(heard);
        // One that knows more tells it when it is asked; it may be that no voter does.
        if order > self.record.order() && from != self.terms.me {
            let ask = self.question(now);
            self.outside.send(from, ask);
        }
        if order < self.record.order() {
            if from != self.terms.me {
                self.outside.send(from, Message::News { record: self.record.clone() });
            }
            return;
        }
        let voted = self.memory.votes.accepted.as_ref().map(|(_, record)| record);
        if order > self.record.order() || !self.kept || !self.is_voter() || !L::may_grant(&self.record, voted)
        {
            return;
        }
        let (voter, board, number) = (self.voter(), self.record.board, self.record.policy.number);
        if from == self.terms.me {
            self.granted(now, at, voter, (board, number));
        } else {
            self.outside.send(from, Message::Grant { at, start, voter, board, number });
        }
    }

    fn prepare(&mut self, from: u16, ballot: Ballot) {
        let before = self.memory.votes.promised;
        let answer = match self.memory.votes.prepare(ballot) {
            Ok(()) => {
                if (before != ballot || !self.kept) && !self.keep() {
                    return;
                }
                Message::Promise { ballot, voter: self.voter(), accepted: self.memory.votes.accepted.clone() }
            }
            Err(promised) => Message::Refuse { ballot, promised },
        };
        self.outside.send(from, answer);
    }

    fn accept(&mut self, from: u16, ballot: Ballot, record: Record) {
        let answer = match self.memory.votes.accept::<L>(ballot, record) {
            Ok(()) if !self.keep() => return,
            Ok(()) => Message::Accepted { ballot, voter: self.voter() },
            Err(promised) => Message::Refuse { ballot, promised },
        };
        self.outside.send(from, answer);
    }

    fn is_here(&self, now: u64, member: u16) -> bool {
        let heard = self.heard.get(member as usize).and_then(Option::as_ref);
        heard.is_some_and(|heard| now < heard.at + self.terms.absent)
    }

    /// The first of the voters that are heard carries changes on. Two that both take themselves for it do no
    /// harm: their rounds are told apart. Guards against a voter that lost its memory: it is heard and does
    /// not count until the others have taken it in, which one of them has to do.
    fn is_steward(&self, now: u64) -> bool {
        let me = self.voter();
        let counts = |voter: &&Voter| {
            let heard = self.heard.get(voter.member as usize).and_then(Option::as_ref);
            let birth = heard.filter(|_| self.is_here(now, voter.member)).map(|heard| heard.birth);
            **voter == me || (voter.member != me.member && birth == Some(voter.birth))
        };
        let boards = self.record.boards.iter().flatten();
        boards.filter(counts).min_by_key(|voter| voter.member) == Some(&me)
    }

    fn steward(&mut self, now: u64) {
        let founding = self.record.founding;
        self.found.take_if(|wanted| founding >= *wanted || self.record.epoch() + 1 != *wanted >> 48);
        if let Some(UnderWay { round, began, .. }) = &self.round {
            if now < began + 4 * self.terms.pace {
                // Prepared or written again for those that may not have heard.
                let (ballot, me) = (round.ballot, self.terms.me);
                let again: Vec<(u16, Message)> = match round.unvoted() {
                    Some((record, voters)) => {
                        let accept =
                            |voter: Voter| (voter.member, Message::Accept { ballot, record: record.clone() });
                        voters.into_iter().map(accept).collect()
                    }
                    None => {
                        let prepare = |voter: Voter| (voter.member, Message::Prepare { ballot });
                        round.unheard::<L>().into_iter().map(prepare).collect()
                    }
                };
                if now > *began {
                    for (to, message) in again.into_iter().filter(|(to, _)| *to != me) {
                        self.outside.send(to, message);
                    }
                }
                return;
            }
            self.round = None;
        }
        if now >= self.quiet_until
            && let Some(step) = self.duty(now)
        {
            self.begin(now, step);
        }
    }

    /// What has to be done for the fleet.
    fn duty(&self, now: u64) -> Option<Step> {
        if let Some(founding) = self.found {
            return Some(Step::Found { founding, base: Box::new(self.record.clone()) });
        }
        if !self.is_voter() || !self.is_steward(now) {
            return None;
        }
        let voted = self.memory.votes.accepted.as_ref().map_or((0, 0), |(_, record)| record.order());
        if voted > self.record.order() {
            return Some(Step::Finish);
        }
        if self.record.boards.len() > 1 {
            return Some(Step::Settle);
        }
        let reborn = |voter: &&Voter| {
            let heard =
                self.heard[voter.member as usize].as_ref().filter(|_| self.is_here(now, voter.member));
            heard.is_some_and(|heard| heard.birth != voter.birth)
        };
        if let Some(old) = self.record.boards.iter().flatten().find(reborn) {
            let birth = self.heard[old.member as usize].as_ref().map_or(0, |heard| heard.birth);
            return Some(Step::Replace { old: *old, new: Voter { member: old.member, birth }, wish: None });
        }
        let step = || self.exchange(now).or_else(|| self.halt_for_cause()).or_else(|| self.units(now));
        if let Some(step) = step().or_else(|| self.release(now)) {
            return Some(step);
        }
        let Some(change) = self.record.next else {
            return self.wants.iter().find_map(|wanted| match wanted.want {
                Want::Propose { hash, length } if !self.record.knows(wanted.wish) => {
                    Some(Step::Propose { hash, length, wish: wanted.wish })
                }
                _ => None,
            });
        };
        let number = change.policy.number;
        let withdrawn = |wanted: &Wanted| wanted.want == Want::Withdraw { number };
        let end = |fate| Some(Step::End { number, fate });
        if self.wants.iter().any(withdrawn) {
            return end(Fate::Withdrawn);
        }
        let here = |member: &u16| *member == self.terms.me || self.is_here(now, *member);
        let mut all_ready = true;
        for member in (0..self.terms.members).filter(here) {
            let readiness = match &self.heard[member as usize] {
                _ if member == self.terms.me => &self.readiness(),
                Some(heard) => &heard.readiness,
                None => continue,
            };
            match readiness {
                Readiness::Objects(of, _) if *of == number => return end(Fate::Refused(member)),
                Readiness::Ready(of) if *of == number => {}
                _ => all_ready = false,
            }
        }
        // Whoever is away has been unheard for that long; a steward that has just started can't know it.
        let knows = now >= self.began + self.terms.absent;
        if all_ready && knows && now >= L::next_after(self.learned, &self.terms) {
            return end(Fate::InForce);
        }
        (now >= self.next_since + self.terms.give_up).then_some(Step::End { number, fate: Fate::GivenUp })
    }

    /// One voter makes way for another, if an operator wants it and the new one is heard. It votes from then
    /// on with the birth that it has now.
    fn exchange(&self, now: u64) -> Option<Step> {
        let voter_of = |member: u16| self.record.boards[0].iter().find(|voter| voter.member == member);
        self.wants.iter().filter(|wanted| !self.record.knows(wanted.wish)).find_map(|wanted| {
            let Want::Voters { old, new } = wanted.want else { return None };
            let birth = match new == self.terms.me {
                true => self.memory.birth,
                false => self.heard.get(new as usize)?.as_ref().filter(|_| self.is_here(now, new))?.birth,
            };
            let new = Voter { member: new, birth };
            voter_of(new.member).is_none().then_some(())?;
            Some(Step::Replace { old: *voter_of(old)?, new, wish: Some(wanted.wish) })
        })
    }

    /// Balancers that are not in full service, as this steward hears them.
    fn away(&self, now: u64) -> BTreeSet<u16> {
        let serves = |member: &u16| match &self.heard[*member as usize] {
            _ if *member == self.terms.me => matches!(self.right(now), Right::Policy(_)),
            Some(heard) => self.is_here(now, *member) && matches!(heard.right, Right::Policy(_)),
            None => false,
        };
        (0..self.terms.members).filter(|member| !serves(member)).collect()
    }

    /// What has to be done about units: a halt goes before all, what is back before what goes.
    fn units(&self, now: u64) -> Option<Step> {
        let record = &self.record;
        let new = || self.wants.iter().filter(|wanted| !record.knows(wanted.wish));
        let halt = new().find_map(|wanted| match &wanted.want {
            Want::Halt { why } if record.halted.is_none() => {
                Some(Step::Halt { halt: Halt { wish: wanted.wish, why: why.clone() } })
            }
            Want::Back { unit, done } if record.out_as(*unit).is_some() => {
                Some(Step::Back { unit: *unit, wish: wanted.wish, done: *done })
            }
            Want::Resume if record.halted.is_some() => Some(Step::Resume { wish: wanted.wish }),
            _ => None,
        });
        let knows = now >= self.began + self.terms.absent;
        halt.or_else(|| {
            let away = L::out_without(self.away(now));
            new().filter(|_| knows).find_map(|wanted| {
                let Want::Out { unit, release } = wanted.want else { return None };
                let start = match unit {
                    Unit::Balancer(number) if number == self.terms.me => self.start,
                    Unit::Balancer(number) => self.heard.get(number as usize)?.as_ref()?.start,
                    Unit::Server(_) => 0,
                };
                let may = record.may_let_out(unit) && self.outside.may_go(record, unit, &away).is_ok();
                let part = self.part_of(now, unit, release).ok().filter(|_| may)?;
                let wish = L::wish_of(wanted.wish, record);
                Some(Step::Grant { out: Out { unit, wish, start, part } })
            })
        })
    }

    /// Whether this balancer has to go out: it was let out in this start of its process.
    pub fn is_let_out(&self) -> bool {
        self.record.out_as(Unit::Balancer(self.terms.me)).is_some_and(|out| out.start == self.start)
    }

    /// A balancer that was let out and has started since says that it is back, once it serves.
    fn come_back(&mut self, now: u64) {
        let unit = Unit::Balancer(self.terms.me);
        let Some(out) = self.record.out_as(unit).filter(|out| out.start != self.start) else { return };
        let wants = |wanted: &Wanted| matches!(wanted.want, Want::Back { unit: back, .. } if back == unit);
        if !matches!(self.right(now), Right::Policy(_)) || self.wants.iter().any(wants) {
            return;
        }
        let Some(done) = self.carries(out.part) else { return };
        self.want(now, Want::Back { unit, done }, self.start);
    }

    /// Whether this process carries the build that it went out for; none while the plan that names it is not
    /// here. Guards against one that comes back as what it was before: it has to go out again.
    fn carries(&self, part: Option<Part>) -> Option<bool> {
        let release = self.record.release.as_ref();
        let Some((part, release)) =
            part.zip(release).filter(|(part, release)| part.release == release.number)
        else {
            return Some(true);
        };
        let plan = self.outside.plan(release.hash)?;
        let is_new = plan.build.as_ref().map(|build| *build == self.outside.build());
        Some(is_new.is_none_or(|is_new| is_new == (part.way == Way::Forth)))
    }

    fn begin(&mut self, now: u64, step: Step) {
        let founds = matches!(step, Step::Found { .. });
        let known = if founds {
            let birth = |member: &u16| {
                let heard = self.heard.get(*member as usize)?.as_ref();
                let own = (*member == self.terms.me).then_some(self.memory.birth);
                Some(Voter { member: *member, birth: own.or(heard.map(|heard| heard.birth))? })
            };
            // Founding needs every voter of the file.
            let voters: Option<Vec<Voter>> = self.terms.voters.iter().map(birth).collect();
            let Some(voters) = voters else { return };
            Record::unfounded(voters)
        } else {
            self.record.clone()
        };
        self.highest_round = self.highest_round.max(self.memory.votes.promised.round) + 1;
        let epoch = self.record.epoch() + u64::from(founds);
        let ballot = Ballot { epoch, round: self.highest_round, member: self.terms.me, start: self.start };
        let mut round = Round::new(ballot, known);
        if self.memory.votes.prepare(ballot).is_err() || !self.keep() {
            return;
        }
        round.promised(self.voter(), self.memory.votes.accepted.clone());
        for voter in round.unheard::<L>() {
            self.outside.send(voter.member, Message::Prepare { ballot });
        }
        self.round = Some(UnderWay { round, step, began: now, thought_of: self.record.order() });
        self.write(now);
    }

    /// Once enough have promised, the step is done to what was found, or what was found is brought to its
    /// end.
    fn write(&mut self, now: u64) {
        // Guards against a step whose time is over: between the beginning and the promises the process may
        // have stood still, and balancers may have gone or objected.
        let due = self.duty(now);
        let Some(UnderWay { round, step, thought_of, .. }) = &mut self.round else { return };
        if round.is_writing() {
            return;
        }
        let Some(found) = round.found::<L>().cloned() else { return };
        // Guards against a step that was thought of for another record: limits and times were looked at in
        // that one. What has been agreed on or begun since is only brought to its end.
        let is_known = found.order() == *thought_of || found.founding == 0;
        let next = found.after(step).filter(|_| is_known && due.as_ref() == Some(step));
        let Some(record) = next.or((found.order() > self.record.order()).then_some(found)) else {
            self.round = None;
            return;
        };
        let ballot = round.ballot;
        let voters = round.write::<L>(record.clone());
        let me = self.voter();
        if self.memory.votes.accept::<L>(ballot, record.clone()).is_err() || !self.keep() {
            self.round = None;
            return;
        }
        for voter in voters.into_iter().filter(|voter| *voter != me) {
            self.outside.send(voter.member, Message::Accept { ballot, record: record.clone() });
        }
        self.voted(now, me);
    }

    fn voted(&mut self, now: u64, voter: Voter) {
        let Some(UnderWay { round, .. }) = &mut self.round else { return };
        let Some(record) = round.voted::<L>(voter).cloned() else { return };
        self.round = None;
        self.learn(now, record);
        // The others would learn it by their next question.
        let members = self.heard.iter().enumerate().filter(|(_, heard)| heard.is_some());
        let members: BTreeSet<u16> = members.map(|(member, _)| member as u16).collect();
        for member in members.into_iter().chain(self.voters()).collect::<BTreeSet<u16>>() {
            if member != self.terms.me {
                self.outside.send(member, Message::News { record: self.record.clone() });
            }
        }
        self.steward(now);
    }
}

impl<O: Outside, L: Laws> Member<O, L> {
    /// What two members must have in common to be alike for a search: all that decides what they do next.
    pub fn state(&self) -> impl std::hash::Hash + '_ {
        let held = (&self.now_held, &self.before_held, self.had_right);
        let known = (&self.memory, self.kept, &self.record, self.learned, self.next_since);
        let times =
            (self.quiet_until, self.highest_round, self.next_ask, self.next_fetch, self.began, self.again);
        let round = (&self.round, &self.wants, self.found, self.start);
        let texts = (&self.verdicts, &self.proving, &self.texts, &self.heard, &self.complete);
        (held, known, times, round, texts)
    }
}
