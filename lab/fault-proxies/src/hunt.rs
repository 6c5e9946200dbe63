//! Schedules of faults, drawn by seed, over several real processes: kills, lost disks, stops, cuts, bad
//! links, changes, turns, halts and moved voters, all at once. What is broken is shrunk to the fewest events
//! that still break it.

use std::fmt;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use whinspindle_lab_model::random::{Concern, RandomGenerator};

use crate::{Referee, Stand, Way};

/// A right of 1 s; the window by a clock that is slow by a hundredth.
const FLEET: &str = "name = \"hunt\"\nsecret = \"s\"\nvoters = [0, 1, 2]\nright = \"1s\"\nlearn = \"1s\"\n\
    give-up = \"20s\"\n";
const WINDOW: Duration = Duration::from_micros(1_010_102);
const VOTERS: usize = 3;
/// Events fall within this time.
const LASTS: u64 = 14_000;
/// All faults over, the fleet has to agree and decide again within this time of a machine that is busy.
const MENDS: Duration = Duration::from_secs(90);
const LIMITS: &str = "[limits.out]\nbalancers = 1\n";

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Deed {
    /// The limit by which the policy is known.
    Propose(u64),
    Withdraw,
    /// For so many milliseconds.
    Kill(u64),
    LoseDisk(u64),
    Stop(u64),
    Cut(u64),
    Deaf(u64),
    Mute(u64),
    /// All links lose, delay and repeat.
    Links(u64),
    /// The member before it wants it out, and says later that it is back.
    Turn(u64),
    Halt(u64),
    /// A voter makes way for it.
    Move,
}

#[derive(Clone, Copy, PartialEq)]
pub struct Event {
    pub at: u64,
    pub member: usize,
    pub deed: Deed,
}

impl fmt::Debug for Event {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "({}, {}, {:?})", self.at, self.member, self.deed)
    }
}

/// The schedule of a seed.
pub fn draw(seed: u64, members: usize) -> Vec<Event> {
    let mut random = RandomGenerator::new(seed, Concern::Clients);
    let mut events = Vec::new();
    let mut limit = 20;
    let mut lost = 0;
    for _ in 0..4 + random.below(9) {
        let (at, member) = (random.below(LASTS as usize) as u64, random.below(members));
        let lasts = 100 + random.below(4_000) as u64;
        let deed = match random.below(14) {
            0..=2 if limit < 26 => {
                limit += 1;
                Deed::Propose(limit)
            }
            3 => Deed::Withdraw,
            4 | 5 => Deed::Kill(lasts),
            // A majority of voters that forget is beyond what is promised.
            6 if member >= VOTERS || lost == 0 => {
                lost += usize::from(member < VOTERS);
                Deed::LoseDisk(lasts)
            }
            7 => Deed::Stop(lasts),
            8 => Deed::Cut(lasts),
            9 => Deed::Deaf(lasts),
            10 => Deed::Mute(lasts),
            11 => Deed::Links(lasts),
            12 => Deed::Turn(lasts),
            13 if random.below(2) == 0 => Deed::Halt(lasts),
            13 if lost == 0 => {
                lost = 1;
                Deed::Move
            }
            _ => Deed::Kill(lasts),
        };
        events.push(Event { at, member, deed });
    }
    events.sort_by_key(|event| event.at);
    events
}

/// What is done at a time; the second half of an event undoes it.
#[derive(Clone, Copy)]
struct Half {
    at: u64,
    event: Event,
    ends: bool,
}

fn halves(events: &[Event]) -> Vec<Half> {
    let mut all = Vec::new();
    for &event in events {
        all.push(Half { at: event.at, event, ends: false });
        let lasts = match event.deed {
            Deed::Kill(lasts)
            | Deed::LoseDisk(lasts)
            | Deed::Stop(lasts)
            | Deed::Cut(lasts)
            | Deed::Deaf(lasts)
            | Deed::Mute(lasts)
            | Deed::Links(lasts)
            | Deed::Turn(lasts)
            | Deed::Halt(lasts) => lasts,
            Deed::Propose(_) | Deed::Withdraw | Deed::Move => continue,
        };
        all.push(Half { at: event.at + lasts, event, ends: true });
    }
    all.sort_by_key(|half| half.at);
    all
}

/// Each member's faults that are under way, so that the end of one does not end another.
#[derive(Clone, Copy, Default)]
struct Ills {
    down: usize,
    stopped: usize,
    cut: usize,
    deaf: usize,
    mute: usize,
}

fn ways(stand: &Stand, ills: &[Ills], links: usize) {
    let members = stand.members();
    let bad = Way { loss: 0.2, repeats: 0.2, delay: Duration::from_millis(150), ..Way::default() };
    for from in 0..members {
        for to in (0..members).filter(|to| *to != from) {
            let way = if links > 0 { bad } else { Way::default() };
            let cut = ills[from].cut > 0 || ills[to].cut > 0 || ills[from].mute > 0 || ills[to].deaf > 0;
            stand.relays.set(&[from], &[to], Way { cut, ..way });
        }
    }
}

/// Plays a schedule; what was broken, if anything, and how many changes came into force.
pub fn play(program: &Path, name: &str, members: usize, events: &[Event]) -> Result<usize, String> {
    let mut stand = Stand::new(program, name, members, FLEET);
    stand.start_all();
    let ready = Instant::now() + MENDS;
    while stand.ask(0, &["found", "--wait", "60"]).code != 0 {
        if Instant::now() > ready {
            return Err(format!("not founded\n{}", stand.logs()));
        }
        sleep(Duration::from_millis(50));
    }
    let first = stand.policy_with(20, LIMITS);
    if stand.ask(0, &["propose", &first]).code != 0 {
        return Err(format!("no first policy\n{}", stand.logs()));
    }
    let referee = Referee::new(&stand.listens);
    let begun = Instant::now();
    let mut ills = vec![Ills::default(); members];
    let mut links = 0;
    let mut commands = Vec::new();
    for Half { at, event: Event { member, deed, .. }, ends } in halves(events) {
        sleep((begun + Duration::from_millis(at)).saturating_duration_since(Instant::now()));
        let count = |ill: &mut usize| if ends { *ill = ill.saturating_sub(1) } else { *ill += 1 };
        match deed {
            Deed::Propose(limit) => {
                let file = stand.policy_with(limit, LIMITS);
                commands.push(stand.begin(member, &["propose", &file, "--wait", "0"]));
            }
            Deed::Withdraw => {
                let next = stand.status(member)["next"]["number"].to_string();
                commands.push(stand.begin(member, &["withdraw", &next, "--wait", "0"]));
            }
            Deed::Kill(_) | Deed::LoseDisk(_) => {
                count(&mut ills[member].down);
                if !ends {
                    stand.kill(member);
                    if matches!(deed, Deed::LoseDisk(_)) {
                        let _ = std::fs::remove_dir_all(stand.store(member));
                    }
                } else if ills[member].down == 0 {
                    stand.start(member);
                    if ills[member].stopped > 0 {
                        stand.signal(member, "STOP");
                    }
                }
            }
            Deed::Stop(_) => {
                count(&mut ills[member].stopped);
                stand.signal(member, if ills[member].stopped > 0 { "STOP" } else { "CONT" });
            }
            Deed::Cut(_) => count(&mut ills[member].cut),
            Deed::Deaf(_) => count(&mut ills[member].deaf),
            Deed::Mute(_) => count(&mut ills[member].mute),
            Deed::Links(_) => count(&mut links),
            Deed::Turn(_) if !ends => {
                let (at, unit) = ((member + 1) % members, format!("balancer:{member}"));
                commands.push(stand.begin(at, &["out", &unit, "--as", "hunt", "--wait", "3"]));
            }
            Deed::Turn(_) => commands.push(stand.begin(member, &["back", &format!("balancer:{member}")])),
            Deed::Halt(_) if !ends => commands.push(stand.begin(member, &["halt", "--wait", "0"])),
            Deed::Halt(_) => commands.push(stand.begin(member, &["resume", "--wait", "0"])),
            Deed::Move => {
                let voters = stand.status(member)["voters"].clone();
                let old = voters.as_array().and_then(|voters| voters.first()).map(ToString::to_string);
                let old = old.unwrap_or_else(|| "0".to_string());
                commands.push(stand.begin(member, &["voter", &old, &member.to_string(), "--wait", "0"]));
            }
        }
        ways(&stand, &ills, links);
    }
    commands.into_iter().for_each(|command| {
        let _ = Stand::finish(command);
    });
    mended(&stand, &referee, members).map_err(|words| format!("{words}\n{}", stand.logs()))?;
    let limits: Vec<u64> = (20..=30).collect();
    let numbers = stand.numbers(0, &limits);
    let number = |limit: u64| numbers.iter().find(|(known, _)| *known == limit).map(|(_, number)| *number);
    referee.judge_by(WINDOW, number).map_err(|words| format!("{words}\n{}", stand.logs()))?;
    Ok(numbers.len())
}

/// With all faults over the fleet agrees on one more change, and nobody is left out.
fn mended(stand: &Stand, referee: &Referee, members: usize) -> Result<(), String> {
    let until = Instant::now() + MENDS;
    loop {
        if Instant::now() > until {
            return Err("the last change does not come into force".to_string());
        }
        let file = stand.policy_with(30, LIMITS);
        let told = stand.ask(0, &["propose", &file, "--wait", "20"]);
        if told.code == 0 {
            break;
        }
        // Another change is still under way, or this one was given up.
        sleep(Duration::from_millis(200));
    }
    loop {
        let since = Instant::now() - Duration::from_millis(500);
        let last = referee.last(since);
        if (0..members).all(|member| last[member].is_some_and(|seen| seen.limit == Some(30))) {
            return Ok(());
        }
        if Instant::now() > until {
            let by: Vec<Option<u64>> = last.iter().map(|seen| seen.and_then(|seen| seen.limit)).collect();
            return Err(format!("all faults are over, and the members decide by {by:?}"));
        }
        sleep(Duration::from_millis(50));
    }
}

/// The fewest events that still break something, each tried once without.
pub fn shrink(program: &Path, name: &str, members: usize, events: &[Event]) -> Vec<Event> {
    let mut events = events.to_vec();
    let mut at = 0;
    while at < events.len() {
        let mut fewer = events.clone();
        fewer.remove(at);
        if play(program, name, members, &fewer).is_err() { events = fewer } else { at += 1 }
    }
    events
}
