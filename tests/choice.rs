//! Server selection, load shedding and probing.

mod common;

use common::*;
use whinspindle::balancer::Balancer;
use whinspindle::host::*;

use Outcome::{ClientError, Completed, Error, StaleConnection};

/// Sends `count` queries 10 ms apart, starting at `now`. `latency_of` gives the latency and the load report
/// for each server. Returns the number of queries per server.
fn serve(
    balancer: &mut Balancer<RecordingHost>,
    now: u64,
    count: u64,
    servers: usize,
    latency_of: impl Fn(usize) -> (u64, LoadReport),
) -> Vec<usize> {
    let mut counts = vec![0; servers];
    for at in (0..count).map(|i| now + i * 10 * MS) {
        if let Some(server) = sent_server(&submit(balancer, at, 0)) {
            let (elapsed_us, report) = latency_of(server);
            counts[server] += 1;
            end_execution(
                balancer,
                at + MS,
                0,
                0,
                ExecutionEnd { report, ..execution_end(Completed, elapsed_us) },
            );
        }
    }
    counts
}

fn steady(_: usize) -> (u64, LoadReport) {
    (100 * MS, LoadReport::default())
}

#[test]
fn initial_weights_follow_ready_servers() {
    for zones in [vec![0, 0, 0, 1], vec![0, 0, 1, 1], vec![2, 2, 2, 2]] {
        let entries: Vec<Endpoint> = zones.iter().enumerate().map(|(i, &zone)| endpoint(i, zone)).collect();
        let mut balancer = start_balancer(settings(Effect::Idempotent), &entries);
        let counts = serve(&mut balancer, START, 400, 4, steady);
        assert!(counts.iter().all(|&n| (65..135).contains(&n)), "{zones:?}: {counts:?}");
    }
}

#[test]
fn crowded_servers_are_avoided() {
    let entries: Vec<Endpoint> = (0..4).map(|server| endpoint(server, 0)).collect();
    let mut balancer = start_balancer(BalancerSettings { tier: 1, ..settings(Effect::Idempotent) }, &entries);
    // The executions do not end. No server may exceed twice the mean in flight, including the new query.
    let mut loads = [0usize; 4];
    for query in 0..200 {
        let server = sent_server(&submit(&mut balancer, START, query)).expect("sent");
        let min = loads.iter().min().copied();
        let fits = 2 * loads.iter().sum::<usize>() >= 4 * (loads[server] + 1);
        assert!(fits || Some(loads[server]) == min, "{loads:?} then {server}");
        loads[server] += 1;
    }
}

#[test]
fn weights_shift_from_the_slow_zone_by_at_most_a_tenth() {
    let entries: Vec<Endpoint> = (0..6).map(|server| endpoint(server, server / 3)).collect();
    for (first, second, min, max) in [(100, 100, 0.40, 0.60), (100, 400, 0.25, 0.47)] {
        let mut balancer = start_balancer(settings(Effect::Idempotent), &entries);
        let latency_of = |server: usize| {
            let report = LoadReport { throughput: Some(5.0), ..LoadReport::default() };
            (if server < 3 { first * MS } else { second * MS }, report)
        };
        serve(&mut balancer, START, 450, 6, latency_of);
        balancer.timer_fired(START + 5000 * MS, 0);
        let counts = serve(&mut balancer, START + 5000 * MS, 1000, 6, latency_of);
        let share = counts[3..].iter().sum::<usize>() as f64 / 1000.0;
        assert!((min..max).contains(&share), "{second}: {share}");
    }
}

#[test]
fn weights_are_not_solved_again_without_changes() {
    let mut balancer = start_balancer(settings(Effect::Idempotent), &[endpoint(0, 0), endpoint(1, 1)]);
    let mut shares = Vec::new();
    for period in 0..4 {
        let now = START + period * 5000 * MS;
        let counts = serve(&mut balancer, now, 499, 2, |server| {
            (100 * MS * (server as u64 + 1), LoadReport::default())
        });
        shares.push(counts[1]);
        balancer.timer_fired(now + 5000 * MS, 0);
    }
    // The weights change only at the first check, when the first latencies are known.
    assert!(shares[0] > 215 && shares[1] < 245 && shares[3] > 150, "{shares:?}");
}

#[test]
fn slow_zone_keeps_a_minimum_share() {
    let mut balancer = start_balancer(settings(Effect::Idempotent), &[endpoint(0, 0), endpoint(1, 1)]);
    let latency_of = |server: usize| (if server == 0 { 100 * MS } else { 250 * MS }, LoadReport::default());
    for period in 0..40 {
        // The arrivals change by more than a fifth each time, so that each check solves the weights again.
        let count = if period % 2 == 0 { 200 } else { 499 };
        serve(&mut balancer, START + period * 5000 * MS, count, 2, latency_of);
        balancer.timer_fired(START + (period + 1) * 5000 * MS, 0);
    }
    let counts = serve(&mut balancer, START + 200_000 * MS, 1000, 2, latency_of);
    assert!((5..300).contains(&counts[1]), "{counts:?}");
}

#[test]
fn weight_checks_of_lower_tiers_are_delayed() {
    for (tier, now, wait) in [(0, 0, 5000), (0, 1000, 4000), (1, 0, 3000), (1, 4000, 4000), (2, 0, 1000)] {
        let balancer = Balancer::new(
            RecordingHost::default(),
            BalancerSettings { tier, ..settings(Effect::Idempotent) },
            1,
            now * MS,
        );
        assert_eq!(balancer.host.timers, [(wait * MS, 0)], "{tier} {now}");
    }
}

#[test]
fn failing_servers_are_ejected_and_tried_again() {
    // Outcomes of the first server's queries (b: error, g: completed, u: client error, s: stale connection).
    // Two consecutive failures, or failures of half of the recent queries, eject it.
    for (pattern, is_ejected) in
        [("bb", true), ("gb", false), ("gbgb", true), ("gggggb", false), ("uuu", false), ("sss", false)]
    {
        let entries: Vec<Endpoint> = (0..4).map(|server| endpoint(server, 0)).collect();
        let mut balancer = start_balancer(settings(Effect::NonIdempotent), &entries);
        let mut outcomes = pattern.chars();
        while !outcomes.as_str().is_empty() {
            let server = sent_server(&submit(&mut balancer, START, 0)).expect("sent");
            let outcome = match (server == 0).then(|| outcomes.next()).flatten() {
                Some('b') => Error,
                // Client errors and stale connections do not affect the server's health.
                Some('u') => ClientError,
                Some('s') => StaleConnection,
                _ => Completed,
            };
            end_execution(&mut balancer, START, 0, 0, execution_end(outcome, 100 * MS));
        }
        let counts = serve(&mut balancer, START + MS, 90, 4, steady);
        assert_eq!(counts[0] == 0, is_ejected, "{pattern}: {counts:?}");
        let counts = serve(&mut balancer, START + 1100 * MS, 90, 4, steady);
        assert!(counts[0] > 0, "{pattern}: {counts:?}");
    }
    // No more servers are ejected once half of them are.
    let mut balancer = start_balancer(
        settings(Effect::NonIdempotent),
        &[endpoint(0, 0), endpoint(1, 0), endpoint(2, 0), endpoint(3, 0)],
    );
    for _ in 0..40 {
        assert!(sent_server(&submit(&mut balancer, START, 0)).is_some());
        end_execution(&mut balancer, START, 0, 0, execution_end(Error, 100 * MS));
    }
}

#[test]
fn reused_server_index_starts_without_history() {
    let mut balancer =
        start_balancer(settings(Effect::NonIdempotent), &[0, 1, 2, 3].map(|server| endpoint(server, 0)));
    let mut failed = 0;
    while failed < 2 {
        let server = sent_server(&submit(&mut balancer, START, 0)).expect("sent");
        failed += usize::from(server == 0);
        end_execution(
            &mut balancer,
            START,
            0,
            0,
            execution_end(if server == 0 { Error } else { Completed }, 100 * MS),
        );
    }
    assert_eq!(serve(&mut balancer, START + MS, 90, 4, steady)[0], 0);
    let now = START + 900 * MS;
    balancer.endpoints_changed(now, &[Endpoint { state: EndpointState::Gone, ..endpoint(0, 0) }]);
    balancer.endpoint_removed(0);
    balancer.endpoint_removed(9);
    balancer.endpoints_changed(now, &[endpoint(0, 0)]);
    assert!(serve(&mut balancer, now, 90, 4, steady)[0] > 0);
}

#[test]
fn slow_server_is_avoided() {
    let entries: Vec<Endpoint> = (0..6).map(|server| endpoint(server, 0)).collect();
    for (slow_ms, is_avoided) in [(250, false), (900, true)] {
        let mut balancer =
            start_balancer(BalancerSettings { tier: 1, ..settings(Effect::Idempotent) }, &entries);
        let latency_of =
            |server: usize| (if server == 0 { slow_ms * MS } else { 100 * MS }, LoadReport::default());
        serve(&mut balancer, START, 90, 6, latency_of);
        let counts = serve(&mut balancer, START + 900 * MS, 60, 6, latency_of);
        assert_eq!(counts[0] == 0, is_avoided, "{slow_ms}: {counts:?}");
    }
}

#[test]
fn weak_servers_get_fewer_queries() {
    let report =
        |rate: f64| LoadReport { throughput: Some(rate), utilization: Some(0.5), ..LoadReport::default() };
    for (capacity, rate, min, max) in [(1.0, 10.0, 80, 125), (0.25, 10.0, 80, 125), (1.0, 2.0, 15, 60)] {
        let mut entries: Vec<Endpoint> = (0..4).map(|server| endpoint(server, 0)).collect();
        (entries[0].relative_capacity, entries[0].kind) = (capacity, 1);
        let mut balancer =
            start_balancer(BalancerSettings { tier: 1, ..settings(Effect::Idempotent) }, &entries);
        let latency_of = |server: usize| (100 * MS, report(if server == 0 { rate } else { 10.0 }));
        serve(&mut balancer, START, 100, 4, latency_of);
        let counts = serve(&mut balancer, START + 1000 * MS, 400, 4, latency_of);
        assert!((min..max).contains(&counts[0]), "{capacity} {rate}: {counts:?}");
    }
}

#[test]
fn crossing_zones_follows_the_crossing_cost() {
    let entries: Vec<Endpoint> = (0..6).map(|server| endpoint(server, server / 3)).collect();
    // Number of balancers, rate reported by servers (this balancer admits 100/s), and bounds of the share of
    // its queries that cross zones.
    for (cross_zone_cost, balancers, rate, min, max) in [
        (0.0, 4, 20.0, 0.40, 0.60),
        // Without reports, the balancer assumes an even share of the traffic, which its home zone can serve.
        (0.5, 4, 0.0, 0.0, 0.001),
        // The balancer has two fifths of the traffic, then all of it. Queries beyond the home zone's share
        // are drawn by weight.
        (0.5, 4, 40.0, 0.04, 0.15),
        (0.5, 4, 16.0, 0.18, 0.30),
        // With one balancer per zone only the weights decide, with the crossing cost.
        (0.5, 2, 0.0, 0.35, 0.48),
    ] {
        let mut balancer = start_balancer(
            BalancerSettings { cross_zone_cost, balancers, ..settings(Effect::Idempotent) },
            &entries,
        );
        let throughput = Some(rate).filter(|&rate| rate > 0.0);
        let latency_of = |_| (100 * MS, LoadReport { throughput, ..LoadReport::default() });
        serve(&mut balancer, START, 450, 6, latency_of);
        balancer.timer_fired(START + 5000 * MS, 0);
        let counts = serve(&mut balancer, START + 5000 * MS, 1000, 6, latency_of);
        let share = counts[3..].iter().sum::<usize>() as f64 / 1000.0;
        assert!((min..max).contains(&share), "{cross_zone_cost} {balancers} {rate}: {share}");
    }
}

#[test]
fn home_zone_without_some_servers_sends_queries_to_other_zones() {
    let entries: Vec<Endpoint> = (0..6).map(|server| endpoint(server, server / 3)).collect();
    for (lost_servers, min, max) in [(0, 0, 1), (1, 20, 140), (2, 130, 270), (3, 400, 401)] {
        let mut balancer = start_balancer(
            BalancerSettings { cross_zone_cost: 0.5, balancers: 4, ..settings(Effect::Idempotent) },
            &entries,
        );
        let gone = |server: usize| Endpoint { state: EndpointState::Gone, ..endpoint(server, 0) };
        balancer.endpoints_changed(START, &(0..lost_servers).map(gone).collect::<Vec<_>>());
        let counts = serve(&mut balancer, START, 400, 6, steady);
        let crossed = counts[3..].iter().sum::<usize>();
        assert!((min..max).contains(&crossed), "{lost_servers}: {counts:?}");
    }
}

/// A home zone whose servers have little capacity left must not get all queries.
#[test]
fn home_zone_with_little_capacity_sends_queries_to_other_zones() {
    let entries: Vec<Endpoint> = (0..6).map(|server| endpoint(server, server / 3)).collect();
    let mut balancer = start_balancer(
        BalancerSettings { cross_zone_cost: 0.5, balancers: 4, ..settings(Effect::Idempotent) },
        &entries,
    );
    // At a reported rate of 4/s, a server with one query in flight has no capacity left.
    let load_report = LoadReport { throughput: Some(4.0), ..LoadReport::default() };
    serve(&mut balancer, START, 450, 6, |_| (100 * MS, load_report));
    let mut crossed = 0;
    for trial in 0..100 {
        let now = START + (5000 + trial * 500) * MS;
        let sent: Vec<usize> =
            (0..3).filter_map(|query| sent_server(&submit(&mut balancer, now, query))).collect();
        assert_eq!(sent.len(), 3);
        crossed += sent.iter().filter(|&&server| server >= 3).count();
        (0..3).for_each(|query| {
            end_execution(
                &mut balancer,
                now + 100 * MS,
                query,
                0,
                ExecutionEnd { report: load_report, ..execution_end(Completed, 100 * MS) },
            );
        });
    }
    assert!((15..120).contains(&crossed), "{crossed}");
}

/// The home zone may be overloaded while others are idle. Without load reports, latencies show it.
#[test]
fn home_zone_with_high_latency_sends_queries_to_other_zones() {
    let entries: Vec<Endpoint> = (0..6).map(|server| endpoint(server, server / 3)).collect();
    for (home_ms, min, max) in [(100, 0, 1), (140, 0, 1), (300, 300, 900)] {
        let mut balancer = start_balancer(
            BalancerSettings { cross_zone_cost: 0.5, balancers: 4, ..settings(Effect::Idempotent) },
            &entries,
        );
        serve(&mut balancer, START, 450, 6, steady);
        let latency_of = |server| (if server < 3 { home_ms * MS } else { 100 * MS }, LoadReport::default());
        let counts = serve(&mut balancer, START + 5000 * MS, 1000, 6, latency_of);
        let crossed = counts[3..].iter().sum::<usize>();
        assert!((min..max).contains(&crossed), "{home_ms}: {counts:?}");
    }
}

#[test]
fn traffic_share_without_reports_follows_the_quotas() {
    let entries: Vec<Endpoint> = (0..6).map(|server| endpoint(server, server / 3)).collect();
    // The balancer admits 100/s. Quotas of all tenants, and bounds of the number of 1,000 queries that cross
    // zones.
    for (quotas, min, max) in [
        (vec![], 0, 1),
        (vec![500.0, 500.0], 0, 1),
        (vec![100.0, 100.0], 60, 300),
        (vec![60.0, 50.0], 130, 400),
    ] {
        let rules = BalancerSettings {
            cross_zone_cost: 0.5,
            balancers: 10,
            tenant_quotas: quotas,
            ..settings(Effect::Idempotent)
        };
        let mut balancer = start_balancer(rules, &entries);
        serve(&mut balancer, START, 500, 6, steady);
        let counts = serve(&mut balancer, START + 5000 * MS, 1000, 6, steady);
        let crossed = counts[3..].iter().sum::<usize>();
        assert!((min..max).contains(&crossed), "{counts:?}");
    }
}

#[test]
fn balancers_with_few_answers_probe_before_sending() {
    let entries: Vec<Endpoint> = (0..40).map(|server| endpoint(server, server % 2)).collect();
    // Whether probes are allowed, queries per second, and whether servers are probed.
    for (allow_probes, rate, expects_probes) in [(true, 2, true), (true, 50, false), (false, 2, false)] {
        let mut balancer =
            start_balancer(BalancerSettings { allow_probes, ..settings(Effect::Idempotent) }, &entries);
        let probed = |calls: &[String]| -> Vec<usize> {
            calls.iter().filter_map(|line| line.strip_prefix("probe ")?.parse().ok()).collect()
        };
        for at in (0..5 * rate).map(|n| START + n * 1000 * MS / rate) {
            for server in probed(&submit(&mut balancer, at, 0)) {
                balancer.probe_ended(at, server, true, LoadReport::default());
            }
            end_execution(&mut balancer, at, 0, 0, execution_end(Completed, 100 * MS));
        }
        let now = START + 5000 * MS;
        let calls = submit(&mut balancer, now, 1);
        let probed = probed(&calls);
        assert_eq!(
            (probed.len(), sent_server(&calls).is_some()),
            (if expects_probes { 3 } else { 0 }, !expects_probes),
            "{rate}"
        );
        let Some(&first) = probed.first() else { continue };
        assert!(probed.iter().all(|server| server % 2 == first % 2), "one zone: {probed:?}");
        // A failed probe is ignored. The first server to answer gets the query; later answers are ignored.
        for (server, answered, sent) in
            [(probed[2], false, None), (probed[1], true, Some(probed[1])), (first, true, None)]
        {
            balancer.probe_ended(now + MS, server, answered, LoadReport::default());
            assert_eq!(sent_server(&std::mem::take(&mut balancer.host.calls)), sent);
        }
        // The query is sent even if no probe is answered.
        submit(&mut balancer, now, 2);
        let &(wait, label) = balancer.host.timers.last().expect("a query that waits has a timer");
        balancer.timer_fired(now + wait, label);
        assert!(wait <= 125 * MS && sent_server(&balancer.host.calls).is_some(), "{wait}");
    }
}

#[test]
fn balancer_with_few_queries_in_flight_rejects_during_overload() {
    // With 1,000 balancers at two queries per second each, far fewer queries are admitted than there are
    // servers.
    for (balancers, min, max) in [(1, 100, 112), (1000, 2, 8)] {
        let entries: Vec<Endpoint> = (0..100).map(|server| endpoint(server, 0)).collect();
        let mut balancer =
            start_balancer(BalancerSettings { balancers, ..settings(Effect::Idempotent) }, &entries);
        for at in 0..20 {
            submit(&mut balancer, START + at * 500 * MS, 0);
            end_execution(
                &mut balancer,
                START + at * 500 * MS + 300 * MS,
                0,
                0,
                execution_end(Completed, 300 * MS),
            );
        }
        let sent = (1..150)
            .filter(|&query| sent_server(&submit(&mut balancer, START + 10_000 * MS, query)).is_some())
            .count();
        assert!((min..=max).contains(&sent), "{balancers}: {sent}");
    }
}

#[test]
fn first_tier_rejects_when_latency_grows() {
    // (tier, tenant's quota, rate reported by servers, bounds of the number admitted at once)
    for (tier, quota, rate, min, max) in [
        (0, 0.0, None, 5, 70),
        (0, 1.0, None, 2, 35),
        (1, 0.0, None, 500, 501),
        // The balancer admits 100/s. Its even share of the quota is 60/s, but 120/s if it has all of the
        // traffic.
        (0, 120.0, None, 2, 20),
        (0, 120.0, Some(50.0), 2, 20),
        (0, 120.0, Some(25.0), 25, 40),
    ] {
        let entries: Vec<Endpoint> = (0..4).map(|server| endpoint(server, 0)).collect();
        let rules = BalancerSettings { tier, tenant_quotas: vec![quota], ..settings(Effect::Idempotent) };
        let mut balancer = start_balancer(rules, &entries);
        serve(&mut balancer, START, 500, 4, |_| {
            (100 * MS, LoadReport { throughput: rate, ..LoadReport::default() })
        });
        let sent = (1..501)
            .filter(|&query| sent_server(&submit(&mut balancer, START + 5000 * MS, query)).is_some())
            .count();
        assert!((min..max).contains(&sent), "{tier} {quota} {rate:?}: {sent}");
    }
}

#[test]
fn first_tier_server_gets_queries_up_to_its_peak_rate() {
    // The peak rate is 1.5 times the reported 20/s: three queries in 100 ms, one per balancer and one more.
    // If the other server has no capacity either, all queries are sent: only an overloaded tier rejects.
    for (tier, other_rate, expected) in [(0, 900.0, 1..=2), (1, 900.0, 5..=15), (0, 20.0, 5..=15)] {
        let rules = BalancerSettings { tier, ..settings(Effect::Idempotent) };
        let mut balancer = start_balancer(rules, &[endpoint(0, 0), endpoint(1, 0)]);
        let report =
            |server| LoadReport { throughput: Some([20.0, other_rate][server]), ..LoadReport::default() };
        serve(&mut balancer, START, 64, 2, |server| (100 * MS, report(server)));
        let sent = (1..21).filter_map(|query| sent_server(&submit(&mut balancer, START + 640 * MS, query)));
        let sent: Vec<usize> = sent.collect();
        assert_eq!(sent.len(), 20, "{tier} {other_rate}");
        let to_first = sent.iter().filter(|&&server| server == 0).count();
        assert!(expected.contains(&to_first), "{tier} {other_rate}: {to_first}");
    }
}

/// Settings of a deployment with a balancer in each client: many queries per connection, load reported only
/// to probes.
fn subset_settings(rank: usize) -> BalancerSettings {
    let (streams_per_connection, load_only_from_probes, allow_probes) = (100, true, true);
    BalancerSettings {
        balancers: 20,
        rank,
        streams_per_connection,
        load_only_from_probes,
        allow_probes,
        ..settings(Effect::Idempotent)
    }
}

fn load_report(load: f64) -> LoadReport {
    LoadReport { queries_at_server: Some(load), throughput: Some(40.0), utilization: Some(0.8) }
}

/// Submits a query and answers its probes with the loads of the servers; servers with `None` are silent.
/// Returns the chosen server and the number of probes.
fn submit_with_loads(
    balancer: &mut Balancer<RecordingHost>,
    now: u64,
    query: usize,
    loads: &[Option<f64>],
) -> (Option<usize>, usize) {
    let calls = submit(balancer, now, query);
    let probed: Vec<usize> =
        calls.iter().filter_map(|line| line.strip_prefix("probe ")?.parse().ok()).collect();
    for &server in &probed {
        if let Some(load) = loads[server] {
            balancer.probe_ended(now, server, true, load_report(load));
        }
    }
    balancer.timer_fired(now + 125 * MS, 2 + query as u32);
    let sent = sent_server(&std::mem::take(&mut balancer.host.calls));
    for &server in probed.iter().filter(|&&server| loads[server].is_none()) {
        balancer.probe_ended(now + 250 * MS, server, false, LoadReport::default());
    }
    (sent.or(sent_server(&calls)), probed.len())
}

#[test]
fn subsets_are_stable_and_cover_the_list_evenly() {
    for servers in [3, 15, 40] {
        let mut entries: Vec<Endpoint> = (0..servers).map(|server| endpoint(server, 0)).collect();
        let subsets = |entries: &[Endpoint]| -> Vec<Vec<usize>> {
            let subset = |rank| {
                let mut balancer = start_balancer(subset_settings(rank), entries);
                let mut subset: Vec<usize> = Vec::new();
                for n in 0..60 {
                    let now = START + n * 300 * MS;
                    let sent =
                        submit_with_loads(&mut balancer, now, 0, &vec![Some(0.0); servers]).0.expect("sent");
                    end_execution(
                        &mut balancer,
                        now + 250 * MS,
                        0,
                        0,
                        execution_end(Outcome::Completed, 100 * MS),
                    );
                    subset.push(sent);
                }
                subset.sort_unstable();
                subset.dedup();
                subset
            };
            (0..20).map(subset).collect()
        };
        let before = subsets(&entries);
        let loads: Vec<usize> = (0..servers)
            .map(|server| before.iter().filter(|subset| subset.contains(&server)).count())
            .collect();
        assert!(before.iter().all(|subset| subset.len() == 3), "{servers}: {before:?}");
        let even_share = 60.0 / servers as f64;
        assert!(loads.iter().all(|&load| (load as f64 - even_share).abs() < 2.0), "{servers}: {loads:?}");
        // A draining server is replaced by the next one; the rest of each subset stays.
        let gone = before[0][1];
        entries[gone].state = EndpointState::Draining;
        let after = subsets(&entries);
        let lost = |(before, after): (&Vec<usize>, &Vec<usize>)| {
            before.iter().filter(|server| **server != gone && !after.contains(server)).count()
        };
        assert_eq!(before.iter().zip(&after).map(lost).sum::<usize>(), 0, "{servers}");
        assert!(after.iter().all(|subset| !subset.contains(&gone)), "{servers}");
    }
}

#[test]
fn least_loaded_probed_server_gets_the_query() {
    // Loads of three servers, and the server that gets the query. The limit is 16: a third of a second at
    // 50/s.
    for (loads, chosen) in [
        ([Some(3.0), Some(1.0), Some(2.0)], Some(1)),
        ([Some(3.0), None, Some(2.0)], Some(2)),
        ([Some(16.0), Some(40.0), Some(17.0)], Some(0)),
        // No server has capacity, or none answers: the query is rejected.
        ([Some(17.0), Some(40.0), Some(18.0)], None),
        ([None, None, None], None),
    ] {
        let entries: Vec<Endpoint> = (0..3).map(|server| endpoint(server, 0)).collect();
        let mut balancer = start_balancer(subset_settings(0), &entries);
        assert_eq!(submit_with_loads(&mut balancer, START, 0, &loads), (chosen, 3), "{loads:?}");
    }
}

/// All servers of a subset fail at once, long before the endpoint list shows it.
#[test]
fn subset_that_fails_at_once_is_replaced() {
    let entries: Vec<Endpoint> = (0..20).map(|server| endpoint(server, 0)).collect();
    for is_single in [false, true] {
        let mut balancer =
            start_balancer(BalancerSettings { single_probe: is_single, ..subset_settings(0) }, &entries);
        let mut loads = vec![Some(0.0); 20];
        for n in 0..20 {
            if let Some(server) =
                submit_with_loads(&mut balancer, START + n * 300 * MS, 0, &vec![Some(0.0); 20]).0
            {
                loads[server] = None;
                end_execution(
                    &mut balancer,
                    START + (n * 300 + 100) * MS,
                    0,
                    0,
                    execution_end(Outcome::Completed, 100 * MS),
                );
            }
        }
        assert_eq!(loads.iter().filter(|load| load.is_none()).count(), 3);
        let mut is_served =
            |n: u64| submit_with_loads(&mut balancer, START + (6000 + n * 400) * MS, 0, &loads).0;
        let served = (0..30).filter(|&n| is_served(n).is_some()).count();
        assert!(served >= 15, "{is_single}: {served} of 30");
    }
}

#[test]
fn expensive_probes_go_to_one_server() {
    let entries: Vec<Endpoint> = (0..3).map(|server| endpoint(server, 0)).collect();
    let mut balancer =
        start_balancer(BalancerSettings { single_probe: true, ..subset_settings(0) }, &entries);
    let (sent, probed) = submit_with_loads(&mut balancer, START, 0, &[Some(1.0); 3]);
    assert!(sent.is_some() && probed == 1);
}

#[test]
fn admitted_share_falls_during_overload_and_recovers() {
    let entries: Vec<Endpoint> = (0..3).map(|server| endpoint(server, 0)).collect();
    let mut balancer = start_balancer(subset_settings(0), &entries);
    // Load of the servers in each phase, and bounds of the number of its 400 queries that are admitted.
    for (phase, (load, min, max)) in
        [(2.0, 400, 400), (40.0, 4, 120), (2.0, 180, 395), (2.0, 400, 400)].into_iter().enumerate()
    {
        let mut admitted = 0;
        for n in 0..400 {
            let now = START + (phase as u64 * 400 + n) * 300 * MS;
            let (sent, probed) = submit_with_loads(&mut balancer, now, 0, &[Some(load); 3]);
            admitted += usize::from(probed > 0);
            if sent.is_some() {
                end_execution(
                    &mut balancer,
                    now + 250 * MS,
                    0,
                    0,
                    execution_end(Outcome::Completed, 100 * MS),
                );
            }
        }
        assert!((min..=max).contains(&admitted), "{phase}: {admitted}");
    }
}

#[test]
fn queued_probes_are_subtracted_from_the_reported_rate() {
    // Servers report 40/s. If probes are queued, half of these are probes, and the limit is 6 queries instead
    // of 13.
    for (probe_latency_ms, load, is_sent) in [(0, 12.0, true), (100, 5.0, true), (100, 12.0, false)] {
        let entries: Vec<Endpoint> = (0..1).map(|server| endpoint(server, 0)).collect();
        let mut balancer =
            start_balancer(BalancerSettings { clock_resolution_us: 0, ..subset_settings(0) }, &entries);
        let report =
            |load| LoadReport { queries_at_server: Some(load), throughput: Some(40.0), utilization: None };
        let mut sent = None;
        for n in 0..20 {
            let now = START + n * 400 * MS;
            submit(&mut balancer, now, 0);
            balancer.probe_ended(
                now + probe_latency_ms * MS,
                0,
                true,
                report(if n < 19 { 0.0 } else { load }),
            );
            sent = sent_server(&std::mem::take(&mut balancer.host.calls));
            if n < 19 {
                end_execution(
                    &mut balancer,
                    now + probe_latency_ms * MS + 50 * MS,
                    0,
                    0,
                    execution_end(Outcome::Completed, 300 * MS),
                );
            }
        }
        assert_eq!(sent.is_some(), is_sent, "{probe_latency_ms} {load}");
    }
}
