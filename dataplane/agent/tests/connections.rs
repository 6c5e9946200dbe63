//! Late messages on closed connections, and reports of a replaced proxy.

mod common;

use std::net::SocketAddr;

use common::{configured, endpoint, proxy_report};
use whinspindle_agent::{Agent, AgentSettings, ConnectionId, Input, Output};
use whinspindle_distribution::{Link, Report, ToBalancer, Update, Versions};

fn new_agent() -> Agent {
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

fn last_attempt(outputs: &[Output]) -> ConnectionId {
    let connects = outputs.iter().filter_map(|output| match output {
        Output::Connect { connection, .. } => Some(*connection),
        _ => None,
    });
    connects.last().expect("a connection attempt")
}

fn proxy_updates(outputs: &[Output]) -> Vec<&Update> {
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

/// Makes a connection the link.
fn establish_link(agent: &mut Agent, now: u64, connection: ConnectionId) {
    agent.handle(now, Input::Connected(connection));
    let link = Link { in_quorum: true, shutting_down: false, controllers: Vec::new() };
    agent.handle(now, Input::FromController(connection, ToBalancer::Link(link)));
}

fn update_input(connection: ConnectionId, update: Update) -> Input {
    Input::FromController(connection, ToBalancer::Update(update))
}

#[test]
fn late_messages_on_a_closed_connection_are_not_applied() {
    let mut agent = new_agent();
    let first = last_attempt(&agent.handle(0, Input::Tick));
    establish_link(&mut agent, 10, first);
    agent.handle(20, Input::ProxyConnected);
    assert_eq!(proxy_updates(&agent.handle(30, update_input(first, configured(5)))).len(), 1);
    let second = last_attempt(&agent.handle(40, Input::Closed(first)));
    assert_ne!(first, second, "connection ids are not reused");
    assert_eq!(proxy_updates(&agent.handle(50, update_input(first, configured(6)))), Vec::<&Update>::new());
    establish_link(&mut agent, 60, second);
    assert_eq!(proxy_updates(&agent.handle(70, update_input(first, configured(7)))), Vec::<&Update>::new());
    assert_eq!(proxy_updates(&agent.handle(80, update_input(second, configured(8)))).len(), 1);
}

#[test]
fn versions_applied_by_a_replaced_proxy_are_not_acknowledged() {
    let mut agent = new_agent();
    let link = last_attempt(&agent.handle(0, Input::Tick));
    establish_link(&mut agent, 10, link);
    agent.handle(20, Input::ProxyConnected);
    agent.handle(30, update_input(link, configured(5)));
    let applied = Versions { configured: 5, ..Versions::default() };
    let outputs = agent.handle(40, Input::FromProxy(proxy_report(applied)));
    assert_eq!(reports(&outputs).last().map(|report| report.applied.configured), Some(5));
    // The next proxy connects before the agent detects the end of the old connection.
    let outputs = agent.handle(50, Input::ProxyConnected);
    assert_eq!(proxy_updates(&outputs).len(), 1, "the new proxy gets all sections");
    let outputs = agent.handle(60, update_input(link, configured(6)));
    let last = reports(&outputs).last().map(|report| (report.applied.configured, report.ready));
    assert_eq!(last, Some((0, false)));
}
