//! Several processes of the program as one fleet, with faults between them. What is judged rests on safety
//! and on generous bounds, never on how fast the machine is.

use std::path::Path;
use std::time::{Duration, Instant};

use serde_json::Value;
use whinspindle_lab_fault_proxies::{Referee, Stand, Way};

const FLEET: &str = "name = \"try\"\nsecret = \"s\"\nvoters = [0, 1, 2]\nright = \"2s\"\nlearn = \"1s\"\n\
    give-up = \"40s\"\n";
/// A right of 2 s by a clock that is slow by a hundredth.
const WINDOW: Duration = Duration::from_micros(2_020_203);

fn stand(name: &str, members: usize) -> Stand {
    Stand::new(Path::new(env!("CARGO_BIN_EXE_whinspindle")), name, members, FLEET)
}

fn running(name: &str, members: usize) -> (Stand, Referee) {
    let mut stand = stand(name, members);
    stand.start_all();
    let referee = Referee::new(&stand.listens);
    stand.found();
    (stand, referee)
}

/// These members decide by this policy from now on.
fn decide_by(stand: &Stand, referee: &Referee, members: &[usize], limit: u64) {
    let since = Instant::now();
    stand.until(&format!("{members:?} by {limit}"), || {
        let last = referee.last(since);
        members.iter().all(|member| last[*member].is_some_and(|seen| seen.limit == Some(limit)))
    });
}

fn proposed(stand: &Stand, at: usize, limit: u64, code: i32) -> String {
    let told = stand.ask(at, &["propose", &stand.policy(limit)]);
    assert_eq!(told.code, code, "{}\n{}", told.said, stand.logs());
    told.said
}

#[test]
fn changes_apply_everywhere_over_links_that_lose_delay_duplicate_and_reorder() {
    let (stand, referee) = running("links", 5);
    stand.relays.all(Way {
        cut: false,
        loss: 0.1,
        repeats: 0.1,
        delay: Duration::from_millis(60),
        ..Way::default()
    });
    for (number, at) in [(11, 3), (12, 0), (13, 4)] {
        proposed(&stand, at, number, 0);
        decide_by(&stand, &referee, &[0, 1, 2, 3, 4], number);
    }
    assert_eq!(referee.judge(WINDOW), Ok(()), "{}", stand.logs());
    let history = stand.ask(4, &["history"]).said;
    assert_eq!(history.lines().filter(|line| line.ends_with("in force")).count(), 3, "{history}");
    // Each has told once how long its return took.
    stand
        .until("whole", || (0..5).all(|member| stand.log(member).matches("start: whole after").count() == 1));
}

#[test]
fn a_member_refuses_changes_until_it_knows_of_the_bootstrap() {
    let mut stand = stand("unheard", 4);
    (0..3).for_each(|member| stand.start(member));
    let referee = Referee::new(&stand.listens);
    stand.found();
    stand.relays.cut(&[3], true);
    stand.start(3);
    stand.until("a control socket", || stand.ask(3, &["status"]).code == 0);
    assert_eq!(stand.status(3)["founded"], false);
    assert!(proposed(&stand, 3, 11, 2).contains("the fleet is not founded"));
    stand.relays.cut(&[3], false);
    stand.until("the founding known", || stand.status(3)["founded"] == true);
    proposed(&stand, 3, 11, 0);
    decide_by(&stand, &referee, &[0, 1, 2, 3], 11);
    assert_eq!(referee.judge(WINDOW), Ok(()), "{}", stand.logs());
}

#[test]
fn restarted_members_never_decide_by_an_old_policy_on_disk() {
    let (mut stand, referee) = running("down", 5);
    proposed(&stand, 0, 11, 0);
    decide_by(&stand, &referee, &[0, 1, 2, 3, 4], 11);
    // A voter and a follower.
    stand.kill(2);
    stand.kill(4);
    proposed(&stand, 3, 12, 0);
    decide_by(&stand, &referee, &[0, 1, 3], 12);
    let back = Instant::now();
    stand.start(2);
    stand.start(4);
    decide_by(&stand, &referee, &[0, 1, 2, 3, 4], 12);
    let since = referee.seen();
    for member in [2, 4] {
        let old = since[member].iter().find(|seen| seen.sent > back && seen.limit == Some(11));
        assert_eq!(old, None, "{}", stand.logs());
    }
    assert_eq!(referee.judge(WINDOW), Ok(()), "{}", stand.logs());
}

#[test]
fn isolated_and_suspended_processes_keep_their_rules_and_a_change_waits_for_a_majority() {
    let (stand, referee) = running("cut", 5);
    proposed(&stand, 0, 11, 0);
    decide_by(&stand, &referee, &[0, 1, 2, 3, 4], 11);
    // Member 4 stands still, member 3 is heard but does not hear.
    stand.signal(4, "STOP");
    stand.relays.set(&[0, 1, 2], &[3], Way { cut: true, ..Way::default() });
    stand.until("member 3 cut off", || referee.last(Instant::now() - WINDOW)[3].is_some_and(|s| s.rejected));
    // It is heard, so a change that it can't know of does not pass it by.
    let told = stand.ask(0, &["propose", &stand.policy(12), "--wait", "4"]);
    assert_eq!(told.code, 3, "{}", told.said);
    stand.relays.all(Way::default());
    decide_by(&stand, &referee, &[0, 1, 2, 3], 12);
    stand.signal(4, "CONT");
    decide_by(&stand, &referee, &[0, 1, 2, 3, 4], 12);
    assert_eq!(referee.judge(WINDOW), Ok(()), "{}", stand.logs());
    // A minority of the voters, with a follower, and the others: only these can change anything.
    stand.relays.cut(&[2, 4], true);
    let waits = stand.begin(4, &["propose", &stand.policy(13), "--wait", "30"]);
    stand.until("the minority cut off", || {
        let last = referee.last(Instant::now() - WINDOW);
        [2, 4].iter().all(|member| last[*member].is_some_and(|seen| seen.rejected))
    });
    decide_by(&stand, &referee, &[0, 1, 3], 12);
    stand.relays.cut(&[2, 4], false);
    assert_eq!(Stand::finish(waits).code, 0, "{}", stand.logs());
    decide_by(&stand, &referee, &[0, 1, 2, 3, 4], 13);
    assert_eq!(referee.judge(WINDOW), Ok(()), "{}", stand.logs());
}

#[test]
fn one_objection_prevents_a_change_everywhere_and_an_operator_may_withdraw() {
    let mut stand = stand("no", 3);
    // Less time than the policy's route gives.
    stand.statement_timeout_ms[2] = 3_000;
    stand.start_all();
    let referee = Referee::new(&stand.listens);
    stand.found();
    let told = proposed(&stand, 0, 11, 1);
    assert!(told.contains("refused by member 2"), "{told}");
    assert!(stand.log(2).contains("can't be proved: line 3"), "{}", stand.log(2));
    // Nor can it be proposed where it can't be proved.
    assert!(proposed(&stand, 2, 12, 2).contains("rule 1"));
    // One that never becomes whole anywhere else: its proposer is cut off from all but one voter's questions.
    stand.kill(2);
    stand.statement_timeout_ms[2] = 60_000;
    stand.start(2);
    proposed(&stand, 0, 13, 0);
    decide_by(&stand, &referee, &[0, 1, 2], 13);
    stand.relays.set(&[0, 1], &[2], Way { cut: true, ..Way::default() });
    let number = stand.begin(0, &["propose", &stand.policy(14)]);
    stand.until("a change under way", || {
        [0, 1].iter().all(|member| stand.status(*member)["next"]["number"].is_u64())
    });
    let next = stand.status(0)["next"]["number"].to_string();
    assert_eq!(stand.ask(1, &["withdraw", &next]).code, 0, "{}", stand.logs());
    assert_eq!(Stand::finish(number).code, 1);
    stand.relays.all(Way::default());
    decide_by(&stand, &referee, &[0, 1, 2], 13);
    assert_eq!(referee.judge(WINDOW), Ok(()), "{}", stand.logs());
}

#[test]
fn a_voter_that_lost_its_disk_votes_again_as_a_new_incarnation() {
    let (mut stand, referee) = running("disk", 3);
    proposed(&stand, 0, 11, 0);
    stand.kill(1);
    std::fs::remove_dir_all(stand.store(1)).expect("removed");
    stand.start(1);
    // Two of the three take the reborn one in, and then stand it in for another that dies.
    stand.until("the reborn voter taken in", || stand.status(1)["isVoter"] == true);
    stand.until("settled", || stand.status(0)["voters"].as_array().is_some_and(|voters| voters.len() == 3));
    stand.kill(2);
    proposed(&stand, 1, 12, 0);
    decide_by(&stand, &referee, &[0, 1], 12);
    // All votes are lost but one: the fleet serves by the terms for being cut off and decides nothing.
    stand.kill(0);
    std::fs::remove_dir_all(stand.store(0)).expect("removed");
    stand.start(0);
    stand.until("cut off", || referee.last(Instant::now() - WINDOW)[1].is_some_and(|seen| seen.rejected));
    let waits = stand.begin(1, &["propose", &stand.policy(13), "--wait", "0"]);
    let told = Stand::finish(waits);
    assert_eq!(told.code, 3, "{}", told.said);
    // Founded anew by an operator's explicit word, once all voters are up, from what the one that remembers
    // knows.
    std::fs::remove_dir_all(stand.store(2)).expect("removed");
    stand.start(2);
    assert_eq!(stand.ask(1, &["found"]).code, 2);
    let laid_open = stand.ask(1, &["found", "--anew"]);
    assert!(laid_open.code == 1 && laid_open.said.contains("in force: policy 2"), "{}", laid_open.said);
    let told = stand.ask(1, &["found", "--anew", "--sure", "--wait", "60"]);
    assert_eq!(told.code, 0, "{}\n{}", told.said, stand.logs());
    // The change that waited goes on, with a number that the lost can't have given out.
    decide_by(&stand, &referee, &[0, 1, 2], 13);
    assert_eq!(stand.status(2)["policy"]["number"], 1001);
    proposed(&stand, 0, 14, 0);
    decide_by(&stand, &referee, &[0, 1, 2], 14);
    assert_eq!(stand.ask(0, &["found", "--anew"]).code, 2, "there is a majority");
    assert_eq!(referee.judge(WINDOW), Ok(()), "{}", stand.logs());
}

#[test]
fn voters_are_replaced_one_by_one_and_the_old_ones_may_go() {
    let (mut stand, referee) = running("voters", 5);
    proposed(&stand, 0, 11, 0);
    decide_by(&stand, &referee, &[0, 1, 2, 3, 4], 11);
    assert_eq!(stand.ask(1, &["voter", "0", "2"]).code, 2, "it votes already");
    assert_eq!(stand.ask(1, &["voter", "4", "3"]).code, 2, "it does not vote");
    // Over links that lose, with a change right behind the first.
    stand.relays.all(Way { loss: 0.1, ..Way::default() });
    let told = stand.ask(2, &["voter", "0", "3"]);
    assert_eq!(told.code, 0, "{}\n{}", told.said, stand.logs());
    proposed(&stand, 4, 12, 0);
    stand.known("its end", |status| status["next"].is_null() && status["policy"]["number"] == 2);
    stand.kill(0);
    let told = stand.ask(4, &["voter", "1", "4"]);
    assert_eq!(told.code, 0, "{}\n{}", told.said, stand.logs());
    stand.kill(1);
    // The old majority is gone for good; the new one goes on.
    proposed(&stand, 2, 13, 0);
    decide_by(&stand, &referee, &[2, 3, 4], 13);
    // One that starts without memory asks those of its file, and hears from them who votes now.
    std::fs::remove_dir_all(stand.store(0)).expect("removed");
    stand.start(0);
    stand.start(1);
    decide_by(&stand, &referee, &[0, 1, 2, 3, 4], 13);
    let voters: Vec<String> = (0..5).map(|member| stand.status(member)["voters"].to_string()).collect();
    assert!(voters.iter().all(|voters| voters == "[2,3,4]"), "{voters:?}");
    assert_eq!(referee.judge(WINDOW), Ok(()), "{}", stand.logs());
}

#[test]
fn crashes_of_proposers_and_leaders_apply_a_change_everywhere_or_nowhere() {
    let (mut stand, referee) = running("dies", 9);
    let mut last = 10;
    for (round, pause) in [0, 40, 120, 300, 700].into_iter().enumerate() {
        let (proposer, limit) = ([5, 0, 7, 1, 0][round], 11 + round as u64);
        let command = stand.begin(proposer, &["propose", &stand.policy(limit), "--wait", "0"]);
        std::thread::sleep(Duration::from_millis(pause));
        stand.kill(proposer);
        let _ = Stand::finish(command);
        std::thread::sleep(Duration::from_millis(300));
        stand.start(proposer);
        let all: Vec<usize> = (0..9).collect();
        let since = Instant::now();
        // Whatever became of it, nothing is under way in the end, and all decide by the same.
        stand.until("an end", || {
            let answers = referee.last(since);
            let by = |member: &usize| answers[*member].map(|seen| seen.limit);
            let rights = |member: &usize| stand.status(*member)["right"].clone();
            let first = rights(&0);
            stand.status(0)["next"].is_null()
                && first.as_str().is_some_and(|right| right.starts_with("policy"))
                && all
                    .iter()
                    .all(|member| by(member).is_some() && by(member) == by(&0) && rights(member) == first)
        });
        let limit = referee.last(since)[0].and_then(|seen| seen.limit).unwrap_or(10);
        assert!(limit >= last);
        last = limit;
    }
    assert_eq!(referee.judge(WINDOW), Ok(()), "{}", stand.logs());
}

/// What one member was told the others hear of late, and out of order.
const LATE: Way = Way {
    cut: false,
    loss: 0.0,
    repeats: 0.0,
    late: Duration::from_millis(100),
    delay: Duration::from_millis(100),
};

fn is_resumed(status: &Value) -> bool {
    status["halted"].is_null()
}

fn is_halted(status: &Value, why: &str) -> bool {
    status["halted"]["why"] == why
}

fn is_out(status: &Value, balancer: u64) -> bool {
    status["out"].as_array().is_some_and(|out| out.iter().any(|out| out["balancer"] == balancer))
}

/// A policy under which one balancer and one server may be out.
const ONE_OUT: &str = "[limits.out]\nbalancers = 1\nservers = 1\n";

fn with_limits(name: &str, members: usize) -> (Stand, Referee) {
    let (stand, referee) = running(name, members);
    let told = stand.ask(0, &["propose", &stand.policy_with(11, ONE_OUT)]);
    assert_eq!(told.code, 0, "{}\n{}", told.said, stand.logs());
    let all: Vec<usize> = (0..members).collect();
    decide_by(&stand, &referee, &all, 11);
    // Guards against an expectation that a member knows at once what another was told.
    stand.relays.all(LATE);
    (stand, referee)
}

fn out(stand: &Stand, at: usize, unit: usize, word: &str, wait: &str) -> i32 {
    stand.ask(at, &["out", &format!("balancer:{unit}"), "--as", word, "--wait", wait]).code
}

#[test]
fn concurrent_restarts_take_turns_whatever_else_is_down() {
    let (stand, _referee) = with_limits("turns", 5);
    let stand = std::sync::Mutex::new(stand);
    // Whose answer of yes was out, from when to when; the end is before the process starts again.
    let turns = std::sync::Mutex::new(Vec::<(usize, Instant, Instant)>::new());
    std::thread::scope(|scope| {
        for member in 0..5 {
            let (stand, turns) = (&stand, &turns);
            scope.spawn(move || {
                let lock = || stand.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                // The command runs without the lock, so that all wait at the same time.
                loop {
                    let at = (member + 1) % 5;
                    let unit = format!("balancer:{member}");
                    let child = lock().begin(at, &["out", &unit, "--as", "roll", "--wait", "20"]);
                    match Stand::finish(child).code {
                        0 => break,
                        // Whom it asked is being restarted, or it is not its turn yet.
                        2 | 3 => std::thread::sleep(Duration::from_millis(100)),
                        code => panic!("exit {code}\n{}", lock().logs()),
                    }
                }
                let from = Instant::now();
                lock().kill(member);
                std::thread::sleep(Duration::from_millis(500));
                let to = Instant::now();
                lock().start(member);
                turns.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push((member, from, to));
            });
        }
    });
    let stand = stand.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    let mut turns = turns.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    turns.sort_by_key(|(_, from, _)| *from);
    assert_eq!(turns.len(), 5);
    for pair in turns.windows(2) {
        assert!(pair[0].2 <= pair[1].1, "two are out at once: {pair:?}\n{}", stand.logs());
    }
    stand.until("all back", || (0..5).all(|member| stand.health(member) == Some(200)));
    stand.until("none out", || stand.status(0)["out"].as_array().is_some_and(Vec::is_empty));
    // One that is down without a grant is out too.
    let mut stand = stand;
    stand.kill(4);
    stand.until("member 4 unheard", || {
        stand.status(0)["members"][4]["heardMsAgo"].as_u64().is_none_or(|ago| ago > 2_500)
    });
    assert_eq!(out(&stand, 0, 3, "more", "2"), 3, "{}", stand.logs());
    stand.start(4);
    assert_eq!(out(&stand, 0, 3, "more", "60"), 0, "{}", stand.logs());
}

#[test]
fn halts_minorities_and_lost_answers() {
    let (stand, _referee) = with_limits("halts", 5);
    assert_eq!(out(&stand, 0, 3, "one", "60"), 0, "{}", stand.logs());
    // It takes itself out, and its answer may be asked for again, but not by another.
    stand.until("out by its health", || stand.health(3) == Some(503));
    stand.known("that it is out", |status| is_out(status, 3));
    assert_eq!([out(&stand, 1, 3, "one", "0"), out(&stand, 1, 3, "two", "0")], [0, 2]);
    assert_eq!(out(&stand, 1, 2, "two", "2"), 3);
    assert_eq!(stand.ask(4, &["back", "balancer:3"]).code, 0);
    stand.until("back", || stand.health(3) == Some(200));
    assert_eq!(out(&stand, 1, 2, "two", "60"), 0, "{}", stand.logs());
    stand.known("that it is out", |status| is_out(status, 2));
    assert_eq!(stand.ask(2, &["back", "balancer:2"]).code, 0);
    stand.until("none out", || stand.status(0)["out"].as_array().is_some_and(Vec::is_empty));
    // After a halt nothing goes, whoever asks, until it is resumed.
    assert_eq!(stand.ask(4, &["halt", "--why", "errors"]).code, 0, "{}", stand.logs());
    stand.known("the halt", |status| is_halted(status, "errors"));
    assert!((0..5).all(|member| out(&stand, member, 2, "three", "0") == 1));
    assert_eq!(stand.ask(1, &["resume"]).code, 0);
    stand.known("that it goes on", is_resumed);
    // A minority grants nothing.
    stand.relays.cut(&[2, 4], true);
    assert_eq!(out(&stand, 4, 4, "cut", "4"), 3);
    stand.relays.all(LATE);
    assert_eq!(out(&stand, 4, 4, "cut", "60"), 0, "{}", stand.logs());
    // What no limit is set for, and what nobody knows.
    assert_eq!(stand.ask(0, &["out", "server:nobody", "--as", "x", "--wait", "0"]).code, 2);
    assert_eq!(stand.ask(0, &["out", "server:s-1", "--as", "x", "--wait", "60"]).code, 0, "{}", stand.logs());
}

/// Writes a plan of all balancers.
fn plan(stand: &Stand, name: &str, waves: &str, more: &str) -> String {
    let file = stand.folder.join(format!("{name}.toml"));
    let last = stand.members() - 1;
    let text = format!("name = \"{name}\"\nunits = [\"balancer:0-{last}\"]\nwaves = {waves}\n{more}");
    std::fs::write(&file, text).expect("written");
    file.display().to_string()
}

/// A supervisor: asks for its balancer as a part of the release and starts it anew; whether it got it.
fn restart(stand: &mut Stand, member: usize, release: &str, word: &str, wait: &str) -> i32 {
    let (at, unit) = ((member + 1) % stand.members(), format!("balancer:{member}"));
    let told = stand.ask(at, &["out", &unit, "--as", word, "--release", release, "--wait", wait]);
    if told.code == 0 {
        stand.kill(member);
        stand.start(member);
        let back = |stand: &Stand| {
            let out = stand.status(at)["out"].clone();
            stand.health(member) == Some(200) && out.as_array().is_some_and(Vec::is_empty)
        };
        stand.until("back", || back(stand));
    }
    told.code
}

/// A release is under way, forth or back.
fn is_release(status: &Value, number: u64, way: &str) -> bool {
    let now = &status["release"]["now"];
    now["number"] == number && now["way"] == way
}

fn changed(stand: &Stand, at: usize) -> u64 {
    stand.status(at)["release"]["now"]["changed"].as_u64().unwrap_or(99)
}

#[test]
fn a_release_proceeds_in_waves_survives_its_leader_halts_and_rolls_back() {
    let (mut stand, referee) = with_limits("release", 5);
    let file = plan(&stand, "first", "[\"1\", \"60%\", \"100%\"]", "watch = \"1s\"\n");
    let told = stand.ask(2, &["release", "plan", &file]);
    assert!(told.code == 0 && told.said.contains("wave 2: balancer:1 balancer:2, then"), "{}", told.said);
    let told = stand.ask(2, &["release", "start", &file]);
    assert!(told.code == 0 && told.said.starts_with("release 1"), "{}\n{}", told.said, stand.logs());
    stand.known("the release", |status| is_release(status, 1, "forth"));
    // Two releases over the same units, and a unit whose wave has not come.
    assert_eq!(stand.ask(4, &["release", "start", &file]).code, 2);
    assert_eq!(restart(&mut stand, 4, "1", "a", "2"), 3);
    // The steward itself is restarted in the first wave; the answer is asked for again.
    assert_eq!(restart(&mut stand, 0, "1", "a", "60"), 0, "{}", stand.logs());
    stand.until("changed", || changed(&stand, 1) == 1);
    assert_eq!(restart(&mut stand, 0, "1", "b", "1"), 2, "it is changed");
    assert_eq!(restart(&mut stand, 2, "1", "a", "60"), 0, "{}", stand.logs());
    // Halted: the second of the wave waits, and the wave with it; resumed, it goes on.
    assert_eq!(stand.ask(3, &["halt", "--why", "a look"]).code, 0);
    stand.known("the halt", |status| is_halted(status, "a look"));
    assert_eq!(restart(&mut stand, 1, "1", "a", "2"), 1);
    assert_eq!(stand.ask(1, &["release", "status"]).code, 1);
    assert_eq!(stand.ask(3, &["resume"]).code, 0);
    // One that has not heard of it yet would say that nothing is let out.
    stand.known("that it goes on", is_resumed);
    assert_eq!(restart(&mut stand, 1, "1", "a", "60"), 0, "{}", stand.logs());
    assert_eq!(restart(&mut stand, 4, "1", "c", "60"), 0, "{}", stand.logs());
    // Halted for good, and back: those that were changed, the last wave first.
    assert_eq!(stand.ask(3, &["halt", "--why", "bad"]).code, 0);
    stand.known("the halt", |status| is_halted(status, "bad"));
    assert_eq!(stand.ask(4, &["release", "back"]).code, 0, "{}", stand.logs());
    stand.known("the way back", |status| is_release(status, 1, "back") && is_resumed(status));
    assert_eq!(restart(&mut stand, 3, "1", "d", "1"), 2, "it was never changed");
    assert_eq!(restart(&mut stand, 0, "1", "d", "2"), 3, "the last wave goes first");
    // What a supervisor has asked for lasts for some paces more; this one has given up, and is not there to
    // restart it.
    std::thread::sleep(Duration::from_secs(4));
    for member in [4, 1, 2, 0] {
        assert_eq!(restart(&mut stand, member, "1", "d", "60"), 0, "{member}\n{}", stand.logs());
    }
    stand.until("over", || stand.ask(1, &["release", "status"]).code == 0);
    let told = stand.ask(1, &["release", "status"]).said;
    assert!(told.contains("release 1: TakenBack, 0 changed"), "{told}");
    assert_eq!(referee.judge(WINDOW), Ok(()), "{}", stand.logs());
}

#[test]
fn an_unchanged_unit_goes_out_again_and_a_release_survives_a_restart_of_all() {
    let (mut stand, _referee) = with_limits("again", 3);
    // None of these processes is of that build.
    let file = plan(&stand, "other", "[\"1\", \"100%\"]", "watch = \"1s\"\nbuild = \"0123456789ab\"\n");
    assert_eq!(stand.ask(1, &["release", "start", &file]).code, 0, "{}", stand.logs());
    assert_eq!(restart(&mut stand, 0, "1", "a", "60"), 0, "{}", stand.logs());
    assert_eq!(changed(&stand, 1), 0, "it came back as what it was");
    assert_eq!(restart(&mut stand, 0, "1", "b", "60"), 0, "so it may go again\n{}", stand.logs());
    assert_eq!(stand.ask(1, &["release", "leave"]).code, 0);
    // The build that they are, and all die while one is out.
    let build = stand.status(0)["build"].as_str().unwrap_or_default().to_string();
    let file = plan(&stand, "own", "[\"100%\"]", &format!("watch = \"1s\"\nbuild = \"{build}\"\n"));
    assert_eq!(stand.ask(1, &["release", "start", &file]).code, 0, "{}", stand.logs());
    stand.known("the release", |status| is_release(status, 2, "forth"));
    let told = stand.ask(0, &["out", "balancer:2", "--as", "c", "--release", "2", "--wait", "60"]);
    assert_eq!(told.code, 0, "{}", told.said);
    (0..3).for_each(|member| stand.kill(member));
    stand.start_all();
    // The first answer of one that has just started goes by the policy that it remembers.
    stand.until("an answer", || {
        let told = stand.ask(1, &["out", "balancer:0", "--as", "c", "--release", "2", "--wait", "0"]);
        assert!(!told.said.contains("sets no limit"), "{}\n{}", told.said, stand.logs());
        told.code != 2
    });
    // It is back, once, and the release goes on from what was agreed.
    stand.until("one changed", || changed(&stand, 0) == 1);
    for member in [0, 1] {
        assert_eq!(restart(&mut stand, member, "2", "c", "60"), 0, "{}", stand.logs());
    }
    stand.until("done", || stand.ask(1, &["release", "status"]).said.contains("release 2: Done, 3 changed"));
}

#[test]
fn a_restarted_member_gets_the_list_from_other_balancers() {
    let (mut stand, _referee) = running("neighbours", 3);
    stand.until("all serve", || (0..3).all(|member| stand.health(member) == Some(200)));
    // Discovery is down all the while, and this one's disk is lost.
    stand.known = vec![false; 3];
    let again = |stand: &mut Stand, member: usize| {
        stand.kill(member);
        std::fs::remove_dir_all(stand.store(member)).expect("removed");
        stand.start(member);
    };
    stand.relays.all(Way { loss: 0.2, ..Way::default() });
    again(&mut stand, 2);
    stand.until("back", || stand.health(2) == Some(200));
    stand.until("as told", || stand.log(2).contains("neighbours tell 1 servers, taken as told"));
    // Only one is left that discovery has told: its word alone is doubted, and that of those who had it from
    // others is none.
    again(&mut stand, 1);
    stand.until("back", || stand.health(1) == Some(200));
    assert!(
        stand.log(1).contains("neighbours tell 1 servers, its servers count as cold"),
        "{}",
        stand.log(1)
    );
    // All at once, and nobody knows any: none serves, and none makes one up.
    (0..3).for_each(|member| stand.kill(member));
    stand.start_all();
    std::thread::sleep(Duration::from_secs(3));
    assert!((0..3).all(|member| stand.health(member) == Some(503)), "{}", stand.logs());
}
