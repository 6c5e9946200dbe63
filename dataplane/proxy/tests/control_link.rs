//! The control link to the agent: updates are applied and acknowledged.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use common::{CONFIGURATION, Harness, SETTLE_TIME, play};
use tokio::io::{AsyncWriteExt, DuplexStream, ReadHalf, WriteHalf, duplex, split};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};
use whinspindle_distribution::frame::{FrameBuffer, FrameKind, FrameReader};
use whinspindle_distribution::{
    Configured, Evacuations, Instances, Link, Report, Role, ToBalancer, Update, decode_hello, decode_report,
    encode_to_balancer,
};
use whinspindle_proxy::control_link::{Identity, LinkError, exchange_messages};

/// The agent's side of a link.
struct Agent {
    reader: FrameReader<ReadHalf<DuplexStream>>,
    writer: WriteHalf<DuplexStream>,
    link: JoinHandle<LinkError>,
}

impl Agent {
    fn connect(harness: &Harness) -> Agent {
        let (near, far) = duplex(1 << 20);
        let node = Rc::clone(&harness.node);
        let identity = Identity { front: SocketAddr::from(([10, 0, 0, 9], 8161)), incarnation: 77 };
        let link = spawn_local(async move {
            let (reader, writer) = split(far);
            let Err(fault) = exchange_messages(&node, identity, reader, writer).await;
            fault
        });
        let (reader, writer) = split(near);
        Agent { reader: FrameReader::new(reader), writer, link }
    }

    async fn report(&mut self) -> Report {
        let frame = self.reader.next().await.expect("a frame").expect("no end");
        assert_eq!(frame.kind, FrameKind::Report);
        decode_report(&frame.payload).expect("a report")
    }

    async fn hello(&mut self) {
        let frame = self.reader.next().await.expect("a frame").expect("no end");
        assert_eq!(frame.kind, FrameKind::Hello);
        assert_eq!(decode_hello(&frame.payload).expect("a greeting").role, Role::Balancer);
    }

    async fn tell(&mut self, message: ToBalancer) {
        let mut frames = FrameBuffer::default();
        frames.push(FrameKind::ToBalancer, &encode_to_balancer(&message)).expect("a short message");
        frames.write_to(&mut self.writer).await.expect("the proxy reads");
    }
}

fn configured(sequence: u64) -> Update {
    let body = Bytes::from_static(CONFIGURATION.as_bytes());
    Update { configured: Some(Configured { sequence, body }), ..Update::default() }
}

#[test]
fn updates_are_applied_and_acknowledged_at_once() {
    play(async {
        let harness = Harness::empty();
        let mut agent = Agent::connect(&harness);
        agent.hello().await;
        let first = agent.report().await;
        assert!(!first.ready && !first.shutting_down);
        assert_eq!((first.node.as_str(), first.incarnation, first.zone.as_str()), ("edge-1", 77, "z1"));
        let mut update = configured(5);
        update.instances = Some(Instances { version: 3, list: Vec::new() });
        update.evacuations = Some(Evacuations { sequence: 4, zones: vec!["z2".to_owned()] });
        agent.tell(ToBalancer::Update(update)).await;
        let report = timeout(SETTLE_TIME, agent.report()).await.expect("at once");
        assert!(report.ready);
        let applied = (report.applied.configured, report.applied.instances, report.applied.evacuations);
        assert_eq!(applied, (5, 3, 4));
        assert_eq!(harness.node.configuration().map(|held| held.generation), Some(7));
    });
}

#[test]
fn an_older_configuration_changes_nothing() {
    play(async {
        let harness = Harness::empty();
        let mut agent = Agent::connect(&harness);
        agent.hello().await;
        agent.report().await;
        agent.tell(ToBalancer::Update(configured(5))).await;
        let mut older = configured(4);
        older.configured.as_mut().expect("a section").body = Bytes::from_static(b"{}");
        agent.tell(ToBalancer::Update(older)).await;
        sleep(SETTLE_TIME).await;
        assert_eq!(harness.node.configuration().map(|held| held.generation), Some(7));
    });
}

#[test]
fn an_agent_that_has_just_started_withdraws_nothing() {
    play(async {
        let harness = Harness::empty();
        let mut before = Agent::connect(&harness);
        before.hello().await;
        before.report().await;
        before.tell(ToBalancer::Update(configured(5))).await;
        assert_eq!(before.report().await.applied.configured, 5);
        let mut frames = FrameBuffer::default();
        let unfinished = encode_to_balancer(&ToBalancer::Update(configured(9)));
        frames.push(FrameKind::ToBalancer, &unfinished).expect("a short message");
        let mut bytes = Vec::new();
        frames.write_to(&mut bytes).await.expect("room");
        before.writer.write_all(&bytes[..bytes.len() / 2]).await.expect("the proxy reads");
        sleep(SETTLE_TIME).await;
        drop((before.reader, before.writer));
        before.link.await.expect("the link has ended");
        let mut after = Agent::connect(&harness);
        after.hello().await;
        assert_eq!(after.report().await.applied.configured, 5, "told again to the next agent");
        after.tell(ToBalancer::Update(configured(3))).await;
        assert_eq!(after.report().await.applied.configured, 5, "neither the older nor half of a newer one");
    });
}

#[test]
fn reports_are_sent_regularly_and_at_once_on_shutdown() {
    play(async {
        let harness = Harness::empty();
        let mut agent = Agent::connect(&harness);
        agent.hello().await;
        agent.report().await;
        timeout(Duration::from_millis(600), agent.report()).await.expect("a regular report");
        harness.node.shutdown.request();
        harness.node.report_due.notify_one();
        let report = timeout(SETTLE_TIME, agent.report()).await.expect("at once");
        assert!(report.shutting_down && !report.ready);
    });
}

#[test]
fn a_silent_agent_is_disconnected() {
    play(async {
        let harness = Harness::empty();
        let mut agent = Agent::connect(&harness);
        for _ in 0..20 {
            sleep(Duration::from_millis(250)).await;
            agent.tell(ToBalancer::Link(Link::default())).await;
        }
        assert!(!agent.link.is_finished());
        sleep(Duration::from_secs(4)).await;
        assert!(matches!(agent.link.await, Ok(LinkError::Silent)));
    });
}

#[test]
fn an_invalid_message_ends_the_link() {
    play(async {
        let harness = Harness::empty();
        let mut agent = Agent::connect(&harness);
        agent.writer.write_all(&[0, 0, 0, 1, 99, 0]).await.expect("written");
        assert!(matches!(agent.link.await, Ok(LinkError::Frame { .. })));
    });
}
