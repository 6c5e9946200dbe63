//! The design's ordinary path and its exceptions.

mod common;

use common::*;
use whinspindle::balancer::Balancer;
use whinspindle::host::*;

use Outcome::{ClientError, Completed, Error, StaleConnection};

/// Sends `count` queries one after the other from `now` on, 10 ms apart; each is served in the time that
/// `took` gives for its server, with the report it gives. Returns how many each of the servers got.
fn serve(
    b: &mut Balancer<Notes>,
    now: u64,
    count: u64,
    servers: usize,
    took: impl Fn(usize) -> (u64, LoadReport),
) -> Vec<usize> {
    let mut got = vec![0; servers];
    for at in (0..count).map(|i| now + i * 10 * MS) {
        if let Some(server) = sent_to(&ask(b, at, 0)) {
            let (spent, report) = took(server);
            got[server] += 1;
            end(b, at + MS, 0, 0, ExecutionEnd { report, ..ending(Completed, spent) });
        }
    }
    got
}

fn steady(_: usize) -> (u64, LoadReport) {
    (100 * MS, LoadReport::default())
}

#[test]
fn starts_by_ready_counts_and_spreads_evenly() {
    for zones in [vec![0, 0, 0, 1], vec![0, 0, 1, 1], vec![2, 2, 2, 2]] {
        let entries: Vec<Endpoint> = zones.iter().enumerate().map(|(i, &zone)| entry(i, zone)).collect();
        let mut b = start(terms(Effect::Idempotent), &entries);
        let got = serve(&mut b, NOON, 400, 4, steady);
        assert!(got.iter().all(|&n| (65..135).contains(&n)), "{zones:?}: {got:?}");
    }
}

#[test]
fn a_server_above_twice_the_mean_is_passed_over() {
    let entries: Vec<Endpoint> = (0..4).map(|server| entry(server, 0)).collect();
    let mut b = start(BalancerSettings { tier: 1, ..terms(Effect::Idempotent) }, &entries);
    // Queries stay out: no server may come to hold more than twice the mean, counting the new one.
    let mut held = [0usize; 4];
    for query in 0..200 {
        let server = sent_to(&ask(&mut b, NOON, query)).expect("sent");
        let least = held.iter().min().copied();
        let fits = 2 * held.iter().sum::<usize>() >= 4 * (held[server] + 1);
        assert!(fits || Some(held[server]) == least, "{held:?} then {server}");
        held[server] += 1;
    }
}

#[test]
fn weights_move_from_the_slow_zone_by_a_tenth_at_most() {
    let entries: Vec<Endpoint> = (0..6).map(|server| entry(server, server / 3)).collect();
    for (first, second, least, most) in [(100, 100, 0.40, 0.60), (100, 400, 0.25, 0.47)] {
        let mut b = start(terms(Effect::Idempotent), &entries);
        let took = |server: usize| {
            let report = LoadReport { throughput: Some(5.0), ..LoadReport::default() };
            (if server < 3 { first * MS } else { second * MS }, report)
        };
        serve(&mut b, NOON, 450, 6, took);
        b.timer_fired(NOON + 5000 * MS, 0);
        let got = serve(&mut b, NOON + 5000 * MS, 1000, 6, took);
        let share = got[3..].iter().sum::<usize>() as f64 / 1000.0;
        assert!((least..most).contains(&share), "{second}: {share}");
    }
}

#[test]
fn a_steady_day_is_not_solved_again() {
    let mut b = start(terms(Effect::Idempotent), &[entry(0, 0), entry(1, 1)]);
    let mut shares = Vec::new();
    for period in 0..4 {
        let now = NOON + period * 5000 * MS;
        let got =
            serve(&mut b, now, 499, 2, |server| (100 * MS * (server as u64 + 1), LoadReport::default()));
        shares.push(got[1]);
        b.timer_fired(now + 5000 * MS, 0);
    }
    // One step after the first check, since nothing was known before; none after it.
    assert!(shares[0] > 215 && shares[1] < 245 && shares[3] > 150, "{shares:?}");
}

#[test]
fn a_floor_share_stays() {
    let mut b = start(terms(Effect::Idempotent), &[entry(0, 0), entry(1, 1)]);
    let took = |server: usize| (if server == 0 { 100 * MS } else { 250 * MS }, LoadReport::default());
    for period in 0..40 {
        // The arrivals change by more than a fifth each time, so each check solves again.
        let count = if period % 2 == 0 { 200 } else { 499 };
        serve(&mut b, NOON + period * 5000 * MS, count, 2, took);
        b.timer_fired(NOON + (period + 1) * 5000 * MS, 0);
    }
    let got = serve(&mut b, NOON + 200_000 * MS, 1000, 2, took);
    assert!((5..300).contains(&got[1]), "{got:?}");
}

#[test]
fn checks_of_a_tier_follow_those_of_its_parents() {
    for (tier, now, wait) in [(0, 0, 5000), (0, 1000, 4000), (1, 0, 3000), (1, 4000, 4000), (2, 0, 1000)] {
        let b = Balancer::new(
            Notes::default(),
            BalancerSettings { tier, ..terms(Effect::Idempotent) },
            1,
            now * MS,
        );
        assert_eq!(b.host.wakes, [(wait * MS, 0)], "{tier} {now}");
    }
}

#[test]
fn failing_servers_are_set_aside_and_tried_again() {
    // What the first server makes of its queries; two failures in a row, or half of the last ones, are too
    // many.
    for (pattern, aside) in
        [("bb", true), ("gb", false), ("gbgb", true), ("gggggb", false), ("uuu", false), ("sss", false)]
    {
        let entries: Vec<Endpoint> = (0..4).map(|server| entry(server, 0)).collect();
        let mut b = start(terms(Effect::NonIdempotent), &entries);
        let mut signs = pattern.chars();
        while !signs.as_str().is_empty() {
            let server = sent_to(&ask(&mut b, NOON, 0)).expect("sent");
            let outcome = match (server == 0).then(|| signs.next()).flatten() {
                Some('b') => Error,
                // What no server could use says nothing of this one, nor does a connection that was gone.
                Some('u') => ClientError,
                Some('s') => StaleConnection,
                _ => Completed,
            };
            end(&mut b, NOON, 0, 0, ending(outcome, 100 * MS));
        }
        let got = serve(&mut b, NOON + MS, 90, 4, steady);
        assert_eq!(got[0] == 0, aside, "{pattern}: {got:?}");
        let got = serve(&mut b, NOON + 1100 * MS, 90, 4, steady);
        assert!(got[0] > 0, "{pattern}: {got:?}");
    }
    // Where half of the fleet is aside already, the fault is not theirs.
    let mut b = start(terms(Effect::NonIdempotent), &[entry(0, 0), entry(1, 0), entry(2, 0), entry(3, 0)]);
    for _ in 0..40 {
        assert!(sent_to(&ask(&mut b, NOON, 0)).is_some());
        end(&mut b, NOON, 0, 0, ending(Error, 100 * MS));
    }
}

#[test]
fn a_server_at_the_index_of_one_that_is_gone_starts_with_no_history() {
    let mut b = start(terms(Effect::NonIdempotent), &[0, 1, 2, 3].map(|server| entry(server, 0)));
    let mut failed = 0;
    while failed < 2 {
        let server = sent_to(&ask(&mut b, NOON, 0)).expect("sent");
        failed += usize::from(server == 0);
        end(&mut b, NOON, 0, 0, ending(if server == 0 { Error } else { Completed }, 100 * MS));
    }
    assert_eq!(serve(&mut b, NOON + MS, 90, 4, steady)[0], 0);
    let now = NOON + 900 * MS;
    b.endpoints_changed(now, &[Endpoint { state: EndpointState::Gone, ..entry(0, 0) }]);
    b.endpoint_removed(0);
    b.endpoint_removed(9);
    b.endpoints_changed(now, &[entry(0, 0)]);
    assert!(serve(&mut b, now, 90, 4, steady)[0] > 0);
}

#[test]
fn a_slow_server_rests() {
    let entries: Vec<Endpoint> = (0..6).map(|server| entry(server, 0)).collect();
    for (slow, rests) in [(250, false), (900, true)] {
        let mut b = start(BalancerSettings { tier: 1, ..terms(Effect::Idempotent) }, &entries);
        let took = |server: usize| (if server == 0 { slow * MS } else { 100 * MS }, LoadReport::default());
        serve(&mut b, NOON, 90, 6, took);
        let got = serve(&mut b, NOON + 900 * MS, 60, 6, took);
        assert_eq!(got[0] == 0, rests, "{slow}: {got:?}");
    }
}

#[test]
fn weak_servers_get_less() {
    let told =
        |rate: f64| LoadReport { throughput: Some(rate), utilization: Some(0.5), ..LoadReport::default() };
    for (size, rate, least, most) in [(1.0, 10.0, 80, 125), (0.25, 10.0, 80, 125), (1.0, 2.0, 15, 60)] {
        let mut entries: Vec<Endpoint> = (0..4).map(|server| entry(server, 0)).collect();
        (entries[0].relative_capacity, entries[0].kind) = (size, 1);
        let mut b = start(BalancerSettings { tier: 1, ..terms(Effect::Idempotent) }, &entries);
        let took = |server: usize| (100 * MS, told(if server == 0 { rate } else { 10.0 }));
        serve(&mut b, NOON, 100, 4, took);
        let got = serve(&mut b, NOON + 1000 * MS, 400, 4, took);
        assert!((least..most).contains(&got[0]), "{size} {rate}: {got:?}");
    }
}

#[test]
fn a_crossing_counts_at_its_price() {
    let entries: Vec<Endpoint> = (0..6).map(|server| entry(server, server / 3)).collect();
    // The copies, what servers tell of their rate (this copy lets in 100 a second), and which part of its
    // queries cross.
    for (cross_zone, balancers, told, least, most) in [
        (0.0, 4, 20.0, 0.40, 0.60),
        // As far as it knows it has its even part, and so has its home zone.
        (0.5, 4, 0.0, 0.0, 0.001),
        // It has two fifths of the traffic, and then all of it: the rest is drawn by weight.
        (0.5, 4, 40.0, 0.04, 0.15),
        (0.5, 4, 16.0, 0.18, 0.30),
        // With one copy a zone the weights alone decide, by the price.
        (0.5, 2, 0.0, 0.35, 0.48),
    ] {
        let mut b = start(
            BalancerSettings { cross_zone_cost: cross_zone, balancers, ..terms(Effect::Idempotent) },
            &entries,
        );
        let throughput = Some(told).filter(|&told| told > 0.0);
        let took = |_| (100 * MS, LoadReport { throughput, ..LoadReport::default() });
        serve(&mut b, NOON, 450, 6, took);
        b.timer_fired(NOON + 5000 * MS, 0);
        let got = serve(&mut b, NOON + 5000 * MS, 1000, 6, took);
        let share = got[3..].iter().sum::<usize>() as f64 / 1000.0;
        assert!((least..most).contains(&share), "{cross_zone} {balancers} {told}: {share}");
    }
}

#[test]
fn a_home_zone_that_lost_servers_sends_the_rest_away() {
    let entries: Vec<Endpoint> = (0..6).map(|server| entry(server, server / 3)).collect();
    for (lost, least, most) in [(0, 0, 1), (1, 20, 140), (2, 130, 270), (3, 400, 401)] {
        let mut b = start(
            BalancerSettings { cross_zone_cost: 0.5, balancers: 4, ..terms(Effect::Idempotent) },
            &entries,
        );
        let gone = |server: usize| Endpoint { state: EndpointState::Gone, ..entry(server, 0) };
        b.endpoints_changed(NOON, &(0..lost).map(gone).collect::<Vec<_>>());
        let got = serve(&mut b, NOON, 400, 6, steady);
        let crossed = got[3..].iter().sum::<usize>();
        assert!((least..most).contains(&crossed), "{lost}: {got:?}");
    }
}

/// A home zone whose servers are nearly all out of room must not get all that stays at home.
#[test]
fn a_home_zone_with_little_room_sends_some_away() {
    let entries: Vec<Endpoint> = (0..6).map(|server| entry(server, server / 3)).collect();
    let mut b =
        start(BalancerSettings { cross_zone_cost: 0.5, balancers: 4, ..terms(Effect::Idempotent) }, &entries);
    // Four a second told: a server that holds one call has no room.
    let told = LoadReport { throughput: Some(4.0), ..LoadReport::default() };
    serve(&mut b, NOON, 450, 6, |_| (100 * MS, told));
    let mut crossed = 0;
    for trial in 0..100 {
        let now = NOON + (5000 + trial * 500) * MS;
        let sent: Vec<usize> = (0..3).filter_map(|query| sent_to(&ask(&mut b, now, query))).collect();
        assert_eq!(sent.len(), 3);
        crossed += sent.iter().filter(|&&server| server >= 3).count();
        (0..3).for_each(|query| {
            end(
                &mut b,
                now + 100 * MS,
                query,
                0,
                ExecutionEnd { report: told, ..ending(Completed, 100 * MS) },
            );
        });
    }
    assert!((15..120).contains(&crossed), "{crossed}");
}

/// The clients of all copies at home may be too many for it while others idle: answers tell, where no report
/// does.
#[test]
fn a_home_zone_whose_answers_take_long_sends_some_away() {
    let entries: Vec<Endpoint> = (0..6).map(|server| entry(server, server / 3)).collect();
    for (home, least, most) in [(100, 0, 1), (140, 0, 1), (300, 300, 900)] {
        let mut b = start(
            BalancerSettings { cross_zone_cost: 0.5, balancers: 4, ..terms(Effect::Idempotent) },
            &entries,
        );
        serve(&mut b, NOON, 450, 6, steady);
        let took = |server| (if server < 3 { home * MS } else { 100 * MS }, LoadReport::default());
        let got = serve(&mut b, NOON + 5000 * MS, 1000, 6, took);
        let crossed = got[3..].iter().sum::<usize>();
        assert!((least..most).contains(&crossed), "{home}: {got:?}");
    }
}

#[test]
fn where_no_server_tells_its_rate_the_part_of_the_traffic_is_that_of_all_shares() {
    let entries: Vec<Endpoint> = (0..6).map(|server| entry(server, server / 3)).collect();
    // It lets in 100 a second: all tenants' shares, how many of 1,000 queries cross.
    for (quotas, least, most) in [
        (vec![], 0, 1),
        (vec![500.0, 500.0], 0, 1),
        (vec![100.0, 100.0], 60, 300),
        (vec![60.0, 50.0], 130, 400),
    ] {
        let rules = BalancerSettings {
            cross_zone_cost: 0.5,
            balancers: 10,
            tenant_quotas: quotas,
            ..terms(Effect::Idempotent)
        };
        let mut b = start(rules, &entries);
        serve(&mut b, NOON, 500, 6, steady);
        let got = serve(&mut b, NOON + 5000 * MS, 1000, 6, steady);
        let crossed = got[3..].iter().sum::<usize>();
        assert!((least..most).contains(&crossed), "{got:?}");
    }
}

#[test]
fn copies_that_hear_little_ask_before_they_send() {
    let entries: Vec<Endpoint> = (0..40).map(|server| entry(server, server % 2)).collect();
    // Whether probes pay, queries a second, and whether servers are asked.
    for (probes_pay, pace, asks) in [(true, 2, true), (true, 50, false), (false, 2, false)] {
        let mut b =
            start(BalancerSettings { allow_probes: probes_pay, ..terms(Effect::Idempotent) }, &entries);
        let asked = |said: &[String]| -> Vec<usize> {
            said.iter().filter_map(|line| line.strip_prefix("probe ")?.parse().ok()).collect()
        };
        for at in (0..5 * pace).map(|n| NOON + n * 1000 * MS / pace) {
            for server in asked(&ask(&mut b, at, 0)) {
                b.probe_ended(at, server, true, LoadReport::default());
            }
            end(&mut b, at, 0, 0, ending(Completed, 100 * MS));
        }
        let now = NOON + 5000 * MS;
        let said = ask(&mut b, now, 1);
        let asked = asked(&said);
        assert_eq!((asked.len(), sent_to(&said).is_some()), (if asks { 3 } else { 0 }, !asks), "{pace}");
        let Some(&first) = asked.first() else { continue };
        assert!(asked.iter().all(|server| server % 2 == first % 2), "one zone: {asked:?}");
        // A probe that failed says nothing; the first answer gets the query, the next one nothing.
        for (server, answered, sent) in
            [(asked[2], false, None), (asked[1], true, Some(asked[1])), (first, true, None)]
        {
            b.probe_ended(now + MS, server, answered, LoadReport::default());
            assert_eq!(sent_to(&std::mem::take(&mut b.host.said)), sent);
        }
        // Where none answers the query goes out all the same.
        ask(&mut b, now, 2);
        let &(wait, label) = b.host.wakes.last().expect("a query that waits has a timer");
        b.timer_fired(now + wait, label);
        assert!(wait <= 125 * MS && sent_to(&b.host.said).is_some(), "{wait}");
    }
}

#[test]
fn a_copy_with_few_calls_in_flight_is_full_too() {
    // Hundreds of copies with two queries a second each: some calls get in, far fewer than servers listed.
    for (balancers, least, most) in [(1, 100, 112), (1000, 2, 8)] {
        let entries: Vec<Endpoint> = (0..100).map(|server| entry(server, 0)).collect();
        let mut b = start(BalancerSettings { balancers, ..terms(Effect::Idempotent) }, &entries);
        for at in 0..20 {
            ask(&mut b, NOON + at * 500 * MS, 0);
            end(&mut b, NOON + at * 500 * MS + 300 * MS, 0, 0, ending(Completed, 300 * MS));
        }
        let sent =
            (1..150).filter(|&query| sent_to(&ask(&mut b, NOON + 10_000 * MS, query)).is_some()).count();
        assert!((least..=most).contains(&sent), "{balancers}: {sent}");
    }
}

#[test]
fn the_first_tier_is_full_when_the_time_grows() {
    // (tier, tenant's quota, rate that servers tell, how many are let in at once: fewest, most)
    for (tier, quota, told, least, most) in [
        (0, 0.0, None, 5, 70),
        (0, 1.0, None, 2, 35),
        (1, 0.0, None, 500, 501),
        // It lets in 100 a second, and one of two copies is due 60; but where all is its own it is due 120.
        (0, 120.0, None, 2, 20),
        (0, 120.0, Some(50.0), 2, 20),
        (0, 120.0, Some(25.0), 25, 40),
    ] {
        let entries: Vec<Endpoint> = (0..4).map(|server| entry(server, 0)).collect();
        let rules = BalancerSettings { tier, tenant_quotas: vec![quota], ..terms(Effect::Idempotent) };
        let mut b = start(rules, &entries);
        serve(&mut b, NOON, 500, 4, |_| (100 * MS, LoadReport { throughput: told, ..LoadReport::default() }));
        let sent = (1..501).filter(|&query| sent_to(&ask(&mut b, NOON + 5000 * MS, query)).is_some()).count();
        assert!((least..most).contains(&sent), "{tier} {quota} {told:?}: {sent}");
    }
}

#[test]
fn a_first_tier_server_takes_what_it_can_serve_in_time() {
    // Half as much again as the rate of twenty that it tells: three in 100 ms, one of each copy and one more.
    // Where the other has no more room, what they could do is only guessed: all go out, and only a full tier
    // rejects.
    for (tier, other, held) in [(0, 900.0, 1..=2), (1, 900.0, 5..=15), (0, 20.0, 5..=15)] {
        let rules = BalancerSettings { tier, ..terms(Effect::Idempotent) };
        let mut b = start(rules, &[entry(0, 0), entry(1, 0)]);
        let told = |server| LoadReport { throughput: Some([20.0, other][server]), ..LoadReport::default() };
        serve(&mut b, NOON, 64, 2, |server| (100 * MS, told(server)));
        let sent = (1..21).filter_map(|query| sent_to(&ask(&mut b, NOON + 640 * MS, query)));
        let sent: Vec<usize> = sent.collect();
        assert_eq!(sent.len(), 20, "{tier} {other}");
        let first = sent.iter().filter(|&&server| server == 0).count();
        assert!(held.contains(&first), "{tier} {other}: {first}");
    }
}

/// As at a deployment with a balancer in each client: connections of many queries, load told to probes alone.
fn spread_out(rank: usize) -> BalancerSettings {
    let (streams, load_by_probe, probes_pay) = (100, true, true);
    BalancerSettings {
        balancers: 20,
        rank,
        streams_per_connection: streams,
        load_only_from_probes: load_by_probe,
        allow_probes: probes_pay,
        ..terms(Effect::Idempotent)
    }
}

fn told(held: f64) -> LoadReport {
    LoadReport { queries_at_server: Some(held), throughput: Some(40.0), utilization: Some(0.8) }
}

/// Hands a query over and answers its probes; a server that holds `None` is silent. Where it went, and how
/// many were asked.
fn ask_about(
    b: &mut Balancer<Notes>,
    now: u64,
    query: usize,
    held: &[Option<f64>],
) -> (Option<usize>, usize) {
    let said = ask(b, now, query);
    let asked: Vec<usize> =
        said.iter().filter_map(|line| line.strip_prefix("probe ")?.parse().ok()).collect();
    for &server in &asked {
        if let Some(held) = held[server] {
            b.probe_ended(now, server, true, told(held));
        }
    }
    b.timer_fired(now + 125 * MS, 2 + query as u32);
    let sent = sent_to(&std::mem::take(&mut b.host.said));
    for &server in asked.iter().filter(|&&server| held[server].is_none()) {
        b.probe_ended(now + 250 * MS, server, false, LoadReport::default());
    }
    (sent.or(sent_to(&said)), asked.len())
}

#[test]
fn copies_keep_to_their_own_parts_and_cover_the_list_evenly() {
    for servers in [3, 15, 40] {
        let mut entries: Vec<Endpoint> = (0..servers).map(|server| entry(server, 0)).collect();
        let parts = |entries: &[Endpoint]| -> Vec<Vec<usize>> {
            let part = |rank| {
                let mut b = start(spread_out(rank), entries);
                let mut part: Vec<usize> = Vec::new();
                for n in 0..60 {
                    let now = NOON + n * 300 * MS;
                    let sent = ask_about(&mut b, now, 0, &vec![Some(0.0); servers]).0.expect("sent");
                    end(&mut b, now + 250 * MS, 0, 0, ending(Outcome::Completed, 100 * MS));
                    part.push(sent);
                }
                part.sort_unstable();
                part.dedup();
                part
            };
            (0..20).map(part).collect()
        };
        let before = parts(&entries);
        let held: Vec<usize> =
            (0..servers).map(|server| before.iter().filter(|part| part.contains(&server)).count()).collect();
        assert!(before.iter().all(|part| part.len() == 3), "{servers}: {before:?}");
        let even = 60.0 / servers as f64;
        assert!(held.iter().all(|&held| (held as f64 - even).abs() < 2.0), "{servers}: {held:?}");
        // A server that drains is made up for by the next, and the others stay.
        let gone = before[0][1];
        entries[gone].state = EndpointState::Draining;
        let after = parts(&entries);
        let lost = |(before, after): (&Vec<usize>, &Vec<usize>)| {
            before.iter().filter(|server| **server != gone && !after.contains(server)).count()
        };
        assert_eq!(before.iter().zip(&after).map(lost).sum::<usize>(), 0, "{servers}");
        assert!(after.iter().all(|part| !part.contains(&gone)), "{servers}");
    }
}

#[test]
fn the_least_loaded_of_the_servers_asked_gets_the_query() {
    // What three servers hold, and who may get the query; a third of a second at 50 a second is room for 16.
    for (held, gets) in [
        ([Some(3.0), Some(1.0), Some(2.0)], Some(1)),
        ([Some(3.0), None, Some(2.0)], Some(2)),
        ([Some(16.0), Some(40.0), Some(17.0)], Some(0)),
        // Nobody has room, or nobody answers: rejected.
        ([Some(17.0), Some(40.0), Some(18.0)], None),
        ([None, None, None], None),
    ] {
        let entries: Vec<Endpoint> = (0..3).map(|server| entry(server, 0)).collect();
        let mut b = start(spread_out(0), &entries);
        assert_eq!(ask_about(&mut b, NOON, 0, &held), (gets, 3), "{held:?}");
    }
}

/// Long before the list tells of it.
#[test]
fn a_part_lost_at_once_is_drawn_anew() {
    let entries: Vec<Endpoint> = (0..20).map(|server| entry(server, 0)).collect();
    for dear in [false, true] {
        let mut b = start(BalancerSettings { single_probe: dear, ..spread_out(0) }, &entries);
        let mut held = vec![Some(0.0); 20];
        for n in 0..20 {
            if let Some(server) = ask_about(&mut b, NOON + n * 300 * MS, 0, &vec![Some(0.0); 20]).0 {
                held[server] = None;
                end(&mut b, NOON + (n * 300 + 100) * MS, 0, 0, ending(Outcome::Completed, 100 * MS));
            }
        }
        assert_eq!(held.iter().filter(|held| held.is_none()).count(), 3);
        let mut again = |n: u64| ask_about(&mut b, NOON + (6000 + n * 400) * MS, 0, &held).0;
        let served = (0..30).filter(|&n| again(n).is_some()).count();
        assert!(served >= 15, "{dear}: {served} of 30");
    }
}

#[test]
fn where_probes_are_dear_one_server_is_asked() {
    let entries: Vec<Endpoint> = (0..3).map(|server| entry(server, 0)).collect();
    let mut b = start(BalancerSettings { single_probe: true, ..spread_out(0) }, &entries);
    let (sent, asked) = ask_about(&mut b, NOON, 0, &[Some(1.0); 3]);
    assert!(sent.is_some() && asked == 1);
}

#[test]
fn the_share_let_in_falls_while_servers_hold_too_much_and_rises_after() {
    let entries: Vec<Endpoint> = (0..3).map(|server| entry(server, 0)).collect();
    let mut b = start(spread_out(0), &entries);
    // What servers hold in the phase, and how many of its 400 queries are let in, so that a server is asked.
    for (phase, (held, least, most)) in
        [(2.0, 400, 400), (40.0, 4, 120), (2.0, 180, 395), (2.0, 400, 400)].into_iter().enumerate()
    {
        let mut let_in = 0;
        for n in 0..400 {
            let now = NOON + (phase as u64 * 400 + n) * 300 * MS;
            let (sent, asked) = ask_about(&mut b, now, 0, &[Some(held); 3]);
            let_in += usize::from(asked > 0);
            if sent.is_some() {
                end(&mut b, now + 250 * MS, 0, 0, ending(Outcome::Completed, 100 * MS));
            }
        }
        assert!((least..=most).contains(&let_in), "{phase}: {let_in}");
    }
}

#[test]
fn probes_that_wait_are_taken_off_the_rate_told() {
    // Servers tell forty a second, one of two a probe's answer where these wait: room for six, not thirteen.
    for (took, held, gets) in [(0, 12.0, true), (100, 5.0, true), (100, 12.0, false)] {
        let entries: Vec<Endpoint> = (0..1).map(|server| entry(server, 0)).collect();
        let mut b = start(BalancerSettings { clock_resolution_us: 0, ..spread_out(0) }, &entries);
        let told =
            |held| LoadReport { queries_at_server: Some(held), throughput: Some(40.0), utilization: None };
        let mut sent = None;
        for n in 0..20 {
            let now = NOON + n * 400 * MS;
            ask(&mut b, now, 0);
            b.probe_ended(now + took * MS, 0, true, told(if n < 19 { 0.0 } else { held }));
            sent = sent_to(&std::mem::take(&mut b.host.said));
            if n < 19 {
                end(&mut b, now + took * MS + 50 * MS, 0, 0, ending(Outcome::Completed, 300 * MS));
            }
        }
        assert_eq!(sent.is_some(), gets, "{took} {held}");
    }
}
