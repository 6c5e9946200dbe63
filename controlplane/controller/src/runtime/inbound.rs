//! Connections that other controllers and balancers' agents open to this controller.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use snafu::{OptionExt, ResultExt, Snafu};
use spdlog::info;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use whinspindle_distribution::frame::{Frame, FrameBuffer, FrameError, FrameKind, FrameReader};
use whinspindle_distribution::{DecodeError, Role, SubscriberId, decode_hello, decode_report};
use whinspindle_replica::Message;

use super::node::SharedNode;
use super::send_queue::SendQueue;
use crate::controller::Event;

/// A connection on which nothing is received for this long is closed.
const READ_TIMEOUT: Duration = Duration::from_millis(4_000);
/// The wait after a failed accept, such as with too many open files.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

#[derive(Debug, Snafu)]
enum LinkError {
    #[snafu(display("silent"))]
    Silent,
    #[snafu(display("closed"))]
    Closed,
    #[snafu(display("{source}"))]
    Frame { source: FrameError },
    #[snafu(display("{source}"))]
    Message { source: DecodeError },
    #[snafu(display("{source}"))]
    Replica { source: whinspindle_replica::DecodeError },
    #[snafu(display("the first frame is no hello"))]
    NoHello,
    #[snafu(display("it doesn't read what it is sent"))]
    Stalled,
}

/// Accepts connections for as long as the process runs.
pub async fn accept(listener: TcpListener, node: SharedNode) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve(stream, Rc::clone(&node)));
            }
            Err(_) => sleep(ACCEPT_BACKOFF).await,
        }
    }
}

async fn serve(stream: TcpStream, node: SharedNode) {
    // Without it the connection works, only slower.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let mut reader = FrameReader::new(reader);
    let hello = match next_frame(&mut reader).await {
        Ok(frame) if frame.kind == FrameKind::Hello => decode_hello(&frame.payload).ok(),
        _ => None,
    };
    match hello {
        Some(hello) if hello.role == Role::Peer => {
            if let Err(failure) = read_peer(hello.endpoint, &mut reader, &node).await {
                info!("connection of controller {} ended: {failure}", hello.endpoint);
            }
        }
        Some(hello) => {
            let failure = serve_balancer(reader, writer, &node).await;
            info!("connection of balancer {} ended: {failure}", hello.endpoint.ip());
        }
        None => info!("a connection was closed: {}", LinkError::NoHello),
    }
}

async fn read_peer(
    peer: SocketAddr,
    reader: &mut FrameReader<OwnedReadHalf>,
    node: &SharedNode,
) -> Result<(), LinkError> {
    loop {
        let mut next = Some(next_frame(reader).await?);
        node.borrow_mut().peer_frame_received(peer);
        while let Some(frame) = next {
            take_peer_frame(peer, frame, node)?;
            next = reader.next_buffered().context(FrameSnafu)?;
        }
    }
}

fn take_peer_frame(peer: SocketAddr, frame: Frame, node: &SharedNode) -> Result<(), LinkError> {
    let event = match frame.kind {
        FrameKind::Replica => {
            let message = Message::decode(&frame.payload).context(ReplicaSnafu)?;
            Event::ReplicaMessage { from: peer, message }
        }
        FrameKind::Gossip => Event::GossipReceived { from: peer, payload: frame.payload },
        FrameKind::Hello | FrameKind::Report | FrameKind::ToBalancer => return Ok(()),
    };
    node.borrow_mut().handle(event);
    Ok(())
}

async fn serve_balancer(
    mut reader: FrameReader<OwnedReadHalf>,
    mut writer: OwnedWriteHalf,
    node: &SharedNode,
) -> LinkError {
    let (subscriber, send_queue) = node.borrow_mut().subscribe();
    let ended = tokio::select! {
        ended = read_balancer(subscriber, &mut reader, node) => ended,
        ended = write_balancer(&send_queue, &mut writer) => ended,
    };
    node.borrow_mut().unsubscribe(subscriber);
    ended.err().unwrap_or(LinkError::Closed)
}

async fn read_balancer(
    subscriber: SubscriberId,
    reader: &mut FrameReader<OwnedReadHalf>,
    node: &SharedNode,
) -> Result<(), LinkError> {
    loop {
        let frame = next_frame(reader).await?;
        if frame.kind == FrameKind::Report {
            let report = decode_report(&frame.payload).context(MessageSnafu)?;
            node.borrow_mut().handle(Event::Report { subscriber, report });
        }
    }
}

async fn write_balancer(send_queue: &SendQueue, writer: &mut OwnedWriteHalf) -> Result<(), LinkError> {
    let mut buffer = FrameBuffer::default();
    loop {
        send_queue.wait_until_filled().await;
        // A dropped update is not sent again on this connection: a new one starts from what the balancer has applied.
        if send_queue.has_dropped() {
            return Err(LinkError::Stalled);
        }
        send_queue.drain_into(&mut buffer).context(FrameSnafu)?;
        buffer.write_to(writer).await.context(FrameSnafu)?;
    }
}

async fn next_frame(reader: &mut FrameReader<OwnedReadHalf>) -> Result<Frame, LinkError> {
    let frame = timeout(READ_TIMEOUT, reader.next()).await.ok().context(SilentSnafu)?;
    frame.context(FrameSnafu)?.context(ClosedSnafu)
}
