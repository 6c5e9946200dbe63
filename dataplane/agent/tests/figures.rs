//! What the agent tells whoever scrapes its figures.

mod common;

use common::{Mode, World, configured, controller, proxy_report};
use whinspindle_agent::Input;
use whinspindle_agent::figures::text;
use whinspindle_distribution::Versions;

fn told(world: &World) -> String {
    text(&world.agent, world.now)
}

fn assert_lines(told: &str, lines: &[&str]) {
    for line in lines {
        assert!(told.contains(&format!("whinspindle_agent_{line}\n")), "{line} in {told}");
    }
}

#[test]
fn before_anything_is_heard_there_is_no_age() {
    let world = World::new(&[(1, controller("a", "north"))], &[1], 5);
    let told = told(&world);
    assert_lines(&told, &["linked{} 0.0", "in_quorum{} 0.0", "proxy_connected{} 0.0"]);
    assert!(!told.contains("whinspindle_agent_heard_seconds{"), "{told}");
}

#[test]
fn the_link_the_proxy_and_the_versions_are_told() {
    let mut world = World::new(&[(1, controller("a", "north"))], &[1], 5);
    world.run_until(1_000);
    world.give(Input::ProxyConnected);
    world.update(1, configured(7));
    world.run_until(1_200);
    assert_lines(
        &told(&world),
        &[
            "linked{} 1.0",
            "in_quorum{} 1.0",
            "proxy_connected{} 1.0",
            "held{section=\"configuration\"} 7.0",
            "applied{section=\"configuration\"} 0.0",
        ],
    );
    world.give(Input::FromProxy(proxy_report(Versions { configured: 7, ..Versions::default() })));
    assert_lines(&told(&world), &["applied{section=\"configuration\"} 7.0"]);
}

#[test]
fn the_age_of_what_is_known_grows_while_no_controller_is_heard() {
    let mut world = World::new(&[(1, controller("a", "north"))], &[1], 5);
    world.run_until(2_000);
    let heard = world.agent.figures(world.now).heard_ms_ago.expect("it was heard");
    assert!(heard <= 310, "{heard}");
    world.set_mode(1, Mode::Silent);
    world.run_until(12_000);
    let figures = world.agent.figures(world.now);
    assert!((9_600..=10_400).contains(&figures.heard_ms_ago.unwrap()), "{figures:?}");
    assert!(!figures.linked && !figures.in_quorum);
}
