//! The control link to the agent on the same machine, which sends control-plane updates and receives reports.
//!
//! While the agent is unavailable, the proxy continues with the last applied state.

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

/// Time-out for connecting to the agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay between attempts to connect to the agent.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// The link is closed if nothing is received for this time. An agent sends several messages per second.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a link to the agent ended.
#[derive(Debug, Snafu)]
pub enum LinkError {
    /// The connection to the agent could not be opened.
    #[snafu(display("{source}"))]
    Connect {
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
    #[snafu(display("cannot decode a message: {source}"))]
    Message {
        /// Why.
        source: DecodeError,
    },
    /// The agent closed the connection.
    #[snafu(display("the agent closed the connection"))]
    Ended,
    /// Nothing was received or could be written within the silence time-out.
    #[snafu(display("the control link timed out"))]
    Silent,
}

/// Identifies this process to the control plane.
#[derive(Clone, Copy, Debug)]
pub struct Identity {
    /// The address that serves clients.
    pub front: SocketAddr,
    /// A random number that identifies this start of the process.
    pub incarnation: u64,
}

/// Keeps the link connected for the lifetime of the process.
pub async fn run(node: Rc<Node>, identity: Identity) -> Infallible {
    loop {
        let Err(error) = run_link(&node, identity).await;
        spdlog::debug!("control link: {error}");
        sleep(RECONNECT_BACKOFF).await;
    }
}

/// Connects to the agent and exchanges messages until the connection ends.
async fn run_link(node: &Node, identity: Identity) -> Result<Infallible, LinkError> {
    let agent = node.settings.agent_endpoint();
    let stream = connect(agent, CONNECT_TIMEOUT).await.context(ConnectSnafu)?;
    let (reader, writer) = stream.into_split();
    exchange_messages(node, identity, reader, writer).await
}

/// Receives updates and sends reports until the connection ends or exceeds the silence time-out.
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
                if !apply_buffered(node, frame, &mut reader)? {
                    continue;
                }
            }
            () = node.report_due.notified() => {}
            () = sleep_until(report_due) => {
                if received_at + SILENCE_TIMEOUT <= Instant::now() {
                    return SilentSnafu.fail();
                }
            }
        }
        report(node, identity, &mut frames, &mut writer).await?;
        report_due = Instant::now() + REPORT_INTERVAL;
    }
}

/// Applies a message and all messages buffered after it. Returns whether there is an update to acknowledge.
fn apply_buffered<R: AsyncRead + Unpin>(
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
            if let Err(error) = node.apply(update) {
                spdlog::error!("cannot apply the received configuration: {error}");
            }
            Ok(true)
        }
    }
}

/// Sends the current state of the proxy as a report.
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
    let written = timeout(SILENCE_TIMEOUT, frames.write_to(writer)).await;
    written.map_err(|_| LinkError::Silent)?.context(FrameSnafu)
}
