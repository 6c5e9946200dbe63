//! Inbound connections from other controllers and from the agents of balancers.

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

/// The time without a received frame after which a connection is closed.
const READ_TIMEOUT: Duration = Duration::from_millis(4_000);
/// The delay after a failed accept, for example because of too many open files.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

#[derive(Debug, Snafu)]
enum LinkError {
    #[snafu(display("nothing was received within the timeout"))]
    ReadTimeout,
    #[snafu(display("the peer has closed the connection"))]
    Closed,
    #[snafu(display("{source}"))]
    Frame { source: FrameError },
    #[snafu(display("{source}"))]
    Message { source: DecodeError },
    #[snafu(display("{source}"))]
    Replica { source: whinspindle_replica::DecodeError },
    #[snafu(display("the first frame is not a hello"))]
    MissingHello,
    #[snafu(display("the balancer reads too slowly"))]
    SlowReader,
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
    // The connection also works without TCP_NODELAY, but with a higher latency.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let mut reader = FrameReader::new(reader);
    let hello = match read_frame(&mut reader).await {
        Ok(frame) if frame.kind == FrameKind::Hello => decode_hello(&frame.payload).ok(),
        _ => None,
    };
    match hello {
        Some(hello) if hello.role == Role::Peer => {
            if let Err(error) = read_peer(hello.endpoint, &mut reader, &node).await {
                info!("inbound connection of controller {} closed: {error}", hello.endpoint);
            }
        }
        Some(hello) => {
            let error = serve_balancer(reader, writer, &node).await;
            info!("connection of balancer {} closed: {error}", hello.endpoint.ip());
        }
        None => info!("an inbound connection was rejected: {}", LinkError::MissingHello),
    }
}

async fn read_peer(
    peer: SocketAddr,
    reader: &mut FrameReader<OwnedReadHalf>,
    node: &SharedNode,
) -> Result<(), LinkError> {
    loop {
        let mut current_frame = Some(read_frame(reader).await?);
        node.borrow_mut().record_peer_frame(peer);
        while let Some(frame) = current_frame {
            handle_peer_frame(peer, frame, node)?;
            current_frame = reader.next_buffered().context(FrameSnafu)?;
        }
    }
}

fn handle_peer_frame(peer: SocketAddr, frame: Frame, node: &SharedNode) -> Result<(), LinkError> {
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
    let result = tokio::select! {
        result = read_balancer(subscriber, &mut reader, node) => result,
        result = write_balancer(&send_queue, &mut writer) => result,
    };
    node.borrow_mut().unsubscribe(subscriber);
    result.err().unwrap_or(LinkError::Closed)
}

async fn read_balancer(
    subscriber: SubscriberId,
    reader: &mut FrameReader<OwnedReadHalf>,
    node: &SharedNode,
) -> Result<(), LinkError> {
    loop {
        let frame = read_frame(reader).await?;
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
        // A dropped update is not sent again on this connection. A new connection starts from the versions
        // that the balancer has applied.
        if send_queue.has_dropped() {
            return Err(LinkError::SlowReader);
        }
        send_queue.drain_into(&mut buffer).context(FrameSnafu)?;
        buffer.write_to(writer).await.context(FrameSnafu)?;
    }
}

async fn read_frame(reader: &mut FrameReader<OwnedReadHalf>) -> Result<Frame, LinkError> {
    let frame = timeout(READ_TIMEOUT, reader.next()).await.ok().context(ReadTimeoutSnafu)?;
    frame.context(FrameSnafu)?.context(ClosedSnafu)
}
