//! The control link to the agent of the machine: receives updates of the control plane, and sends reports. While there is
//! no agent, the proxy goes on with the last applied state.

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

/// Time-out of connecting to the agent.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Backoff between two attempts to connect to the agent.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(100);
/// The longest time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// The link ends if nothing is received for this time; an agent sends several messages a second.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);

/// Why a link to the agent ended.
#[derive(Debug, Snafu)]
pub enum LinkError {
    /// Connecting failed.
    #[snafu(display("{source}"))]
    NoConnection {
        /// Why.
        source: ConnectError,
    },
    /// A frame could not be read or written.
    #[snafu(display("{source}"))]
    Frame {
        /// Why.
        source: FrameError,
    },
    /// A message could not be decoded.
    #[snafu(display("a message can't be read: {source}"))]
    Message {
        /// Why.
        source: DecodeError,
    },
    /// The agent closed the connection.
    #[snafu(display("the agent ended the connection"))]
    Ended,
    /// Nothing was received, or could be written, within the silence limit.
    #[snafu(display("the agent has been silent"))]
    Silent,
}

/// The identity of this process for the control plane.
#[derive(Clone, Copy, Debug)]
pub struct Identity {
    /// The address on which clients are served.
    pub front: SocketAddr,
    /// A number that differs for each start.
    pub incarnation: u64,
}

/// Keeps the link up as long as the process lives.
pub async fn run(node: Rc<Node>, identity: Identity) -> Infallible {
    loop {
        let Err(fault) = link(&node, identity).await;
        spdlog::debug!("feed: {fault}");
        sleep(RECONNECT_BACKOFF).await;
    }
}

/// Connects to the agent and follows it until the connection ends.
async fn link(node: &Node, identity: Identity) -> Result<Infallible, LinkError> {
    let agent = node.settings.agent_endpoint();
    let stream = connect(agent, CONNECT_LIMIT).await.context(NoConnectionSnafu)?;
    let (reader, writer) = stream.into_split();
    exchange_messages(node, identity, reader, writer).await
}

/// Exchanges updates and reports over a connection until it ends or exceeds the silence limit.
pub async fn exchange_messages<R, W>(
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
    let mut received_at = Instant::now();
    loop {
        tokio::select! {
            frame = reader.next() => {
                received_at = Instant::now();
                let frame = frame.context(FrameSnafu)?.ok_or(LinkError::Ended)?;
                if !apply_all(node, frame, &mut reader)? {
                    continue;
                }
            }
            () = node.report_due.notified() => {}
            () = sleep_until(report_due) => {
                if received_at + SILENCE_LIMIT <= Instant::now() {
                    return SilentSnafu.fail();
                }
            }
        }
        report(node, identity, &mut frames, &mut writer).await?;
        report_due = Instant::now() + REPORT_INTERVAL;
    }
}

/// Applies a message and those that are buffered behind it. Returns whether there is an update to acknowledge.
fn apply_all<R: AsyncRead + Unpin>(
    node: &Node,
    frame: Frame,
    reader: &mut FrameReader<R>,
) -> Result<bool, LinkError> {
    let mut has_update = apply(node, frame)?;
    while let Some(frame) = reader.next_buffered().context(FrameSnafu)? {
        has_update |= apply(node, frame)?;
    }
    Ok(has_update)
}

/// Applies a message. Returns whether it is an update to acknowledge.
fn apply(node: &Node, frame: Frame) -> Result<bool, LinkError> {
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

/// Writes the present state of the proxy as a report.
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
        failing: node.router.borrow().failing_instances(node.clock.now_ms()),
    };
    frames.push(FrameKind::Report, &encode_report(&report)).context(FrameSnafu)?;
    let written = timeout(SILENCE_LIMIT, frames.write_to(writer)).await;
    written.map_err(|_| LinkError::Silent)?.context(FrameSnafu)
}
