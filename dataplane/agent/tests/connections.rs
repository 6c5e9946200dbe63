//! Late messages on closed connections, and reports of a proxy that was replaced.

mod common;

use std::net::SocketAddr;

use common::{configured, endpoint, proxy_report};
use whinspindle_agent::{Agent, AgentSettings, ConnectionId, Input, Output};
use whinspindle_distribution::{Link, Report, ToBalancer, Update, Versions};

fn agent() -> Agent {
    let seeds: Vec<SocketAddr> = [1, 2].map(endpoint).to_vec();
    let settings = AgentSettings {
        node: "edge-1".to_owned(),
        machine_ip: "10.0.0.99".parse().unwrap(),
        zone: "a".to_owned(),
        region: "north".to_owned(),
        seeds,
        grace_ms: 8_000,
        incarnation: 1,
    };
    Agent::new(0, settings)
}

fn connect(outputs: &[Output]) -> ConnectionId {
    let connects = outputs.iter().filter_map(|output| match output {
        Output::Connect { connection, .. } => Some(*connection),
        _ => None,
    });
    connects.last().expect("the agent looks for a controller")
}

fn updates(outputs: &[Output]) -> Vec<&Update> {
    let updates = outputs.iter().filter_map(|output| match output {
        Output::SendToProxy(ToBalancer::Update(update)) => Some(update),
        _ => None,
    });
    updates.collect()
}

fn reports(outputs: &[Output]) -> Vec<&Report> {
    let reports = outputs.iter().filter_map(|output| match output {
        Output::SendReport(_, report) => Some(report),
        _ => None,
    });
    reports.collect()
}

/// Makes the connection the link.
fn adopt(agent: &mut Agent, now: u64, connection: ConnectionId) {
    agent.handle(now, Input::Connected(connection));
    let link = Link { in_quorum: true, shutting_down: false, controllers: Vec::new() };
    agent.handle(now, Input::FromController(connection, ToBalancer::Link(link)));
}

fn update(connection: ConnectionId, update: Update) -> Input {
    Input::FromController(connection, ToBalancer::Update(update))
}

#[test]
fn late_messages_on_a_closed_connection_are_not_applied() {
    let mut agent = agent();
    let first = connect(&agent.handle(0, Input::Tick));
    adopt(&mut agent, 10, first);
    agent.handle(20, Input::ProxyConnected);
    assert_eq!(updates(&agent.handle(30, update(first, configured(5)))).len(), 1);
    let second = connect(&agent.handle(40, Input::Closed(first)));
    assert_ne!(first, second, "a number is not used twice");
    assert_eq!(updates(&agent.handle(50, update(first, configured(6)))), Vec::<&Update>::new());
    adopt(&mut agent, 60, second);
    assert_eq!(updates(&agent.handle(70, update(first, configured(7)))), Vec::<&Update>::new());
    assert_eq!(updates(&agent.handle(80, update(second, configured(8)))).len(), 1);
}

#[test]
fn what_a_proxy_has_applied_is_not_acknowledged_for_the_next() {
    let mut agent = agent();
    let link = connect(&agent.handle(0, Input::Tick));
    adopt(&mut agent, 10, link);
    agent.handle(20, Input::ProxyConnected);
    agent.handle(30, update(link, configured(5)));
    let applied = Versions { configured: 5, ..Versions::default() };
    let outputs = agent.handle(40, Input::FromProxy(proxy_report(applied)));
    assert_eq!(reports(&outputs).last().map(|report| report.applied.configured), Some(5));
    // The next proxy connects before the end of the old connection is detected.
    let outputs = agent.handle(50, Input::ProxyConnected);
    assert_eq!(updates(&outputs).len(), 1, "it gets all that is held");
    let outputs = agent.handle(60, update(link, configured(6)));
    let last = reports(&outputs).last().map(|report| (report.applied.configured, report.ready));
    assert_eq!(last, Some((0, false)));
}
