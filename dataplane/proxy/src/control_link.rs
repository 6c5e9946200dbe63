//! The link to the agent of the machine: takes what the control plane knows, and reports back. The proxy serves on
//! with what it has while there is no agent.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::{Instant, sleep, sleep_until, timeout};
use whinspindle_distribution::connect::{ConnectError, connect};
use whinspindle_distribution::frame::{Frame, FrameBuffer, FrameError, FrameKind, FrameReader};
use whinspindle_distribution::{
    DecodeError, Hello, Report, Role, ToBalancer, decode_to_balancer, encode_hello, encode_report,
};

use crate::node::Node;

const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Between two tries to reach the agent.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(100);
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// An agent that is there is heard several times a second.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);

/// Why a link to the agent ended.
#[derive(Debug, Snafu)]
pub enum LinkError {
    #[snafu(display("{source}"))]
    NoConnection { source: ConnectError },
    #[snafu(display("{source}"))]
    Frame { source: FrameError },
    #[snafu(display("a message can't be read: {source}"))]
    Message { source: DecodeError },
    #[snafu(display("the agent ended the connection"))]
    Ended,
    #[snafu(display("the agent has been silent"))]
    Silent,
}

/// Who this process is for the control plane.
#[derive(Clone, Copy, Debug)]
pub struct Identity {
    pub front: SocketAddr,
    /// Differs for each start.
    pub incarnation: u64,
}

/// Keeps up the link for as long as the process lives.
pub async fn run(node: Rc<Node>, identity: Identity) -> Infallible {
    loop {
        let Err(fault) = link(&node, identity).await;
        spdlog::debug!("feed: {fault}");
        sleep(RECONNECT_BACKOFF).await;
    }
}

async fn link(node: &Node, identity: Identity) -> Result<Infallible, LinkError> {
    let agent = node.settings.agent_endpoint();
    let stream = connect(agent, CONNECT_LIMIT).await.context(NoConnectionSnafu)?;
    let (reader, writer) = stream.into_split();
    converse(node, identity, reader, writer).await
}

/// Follows the agent at the other side of a connection until the connection ends or falls silent.
pub async fn converse<R, W>(
    node: &Node,
    identity: Identity,
    reader: R,
    mut writer: W,
) -> Result<Infallible, LinkError>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut reader = FrameReader::new(reader);
    let mut frames = FrameBuffer::default();
    let hello = Hello { role: Role::Balancer, endpoint: identity.front };
    frames.push(FrameKind::Hello, &encode_hello(&hello)).context(FrameSnafu)?;
    report(node, identity, &mut frames, &mut writer).await?;
    let mut report_due = Instant::now() + REPORT_INTERVAL;
    let mut heard = Instant::now();
    loop {
        tokio::select! {
            frame = reader.next() => {
                heard = Instant::now();
                let frame = frame.context(FrameSnafu)?.ok_or(LinkError::Ended)?;
                if !take_all(node, frame, &mut reader)? {
                    continue;
                }
            }
            () = node.report_due.notified() => {}
            () = sleep_until(report_due) => {
                if heard + SILENCE_LIMIT <= Instant::now() {
                    return SilentSnafu.fail();
                }
            }
        }
        report(node, identity, &mut frames, &mut writer).await?;
        report_due = Instant::now() + REPORT_INTERVAL;
    }
}

/// Puts a message and those that have come with it in force; tells whether there was news to acknowledge.
fn take_all<R: AsyncRead + Unpin>(
    node: &Node,
    frame: Frame,
    reader: &mut FrameReader<R>,
) -> Result<bool, LinkError> {
    let mut news = take(node, frame)?;
    while let Some(frame) = reader.buffered().context(FrameSnafu)? {
        news |= take(node, frame)?;
    }
    Ok(news)
}

/// Puts a message in force; tells whether it holds news to acknowledge.
fn take(node: &Node, frame: Frame) -> Result<bool, LinkError> {
    if frame.kind != FrameKind::ToBalancer {
        return Ok(false);
    }
    match decode_to_balancer(&frame.payload).context(MessageSnafu)? {
        ToBalancer::Link(_) => Ok(false),
        ToBalancer::Update(update) => {
            if let Err(fault) = node.apply(update) {
                spdlog::error!("a configuration that was taken can't be used: {fault}");
            }
            Ok(true)
        }
    }
}

async fn report<W: AsyncWrite + Unpin>(
    node: &Node,
    identity: Identity,
    frames: &mut FrameBuffer,
    writer: &mut W,
) -> Result<(), LinkError> {
    let report = Report {
        node: node.settings.node.clone(),
        incarnation: identity.incarnation,
        zone: node.settings.zone.clone(),
        region: node.settings.region.clone(),
        front: identity.front,
        ready: node.is_ready(),
        shutting_down: node.shutdown.is_requested(),
        applied: node.applied_state.borrow().versions(),
        sends: node.router.borrow().attempt_rates(node.clock.now_ms()),
        failing: node.router.borrow().failing(node.clock.now_ms()),
    };
    frames.push(FrameKind::Report, &encode_report(&report)).context(FrameSnafu)?;
    let written = timeout(SILENCE_LIMIT, frames.write_to(writer)).await;
    written.map_err(|_| LinkError::Silent)?.context(FrameSnafu)
}
