//! Connections, each with a task that reads and writes frames.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, spawn_local};
use whinspindle_distribution::connect::connect;
use whinspindle_distribution::frame::{Frame, FrameBuffer, FrameError, FrameReader};

use crate::connection::ConnectionId;

/// Capacity of the queue of outgoing frames. A peer whose queue is full is disconnected.
const FRAME_QUEUE_CAPACITY: usize = 256;
/// Timeout of a connection attempt. The state machine has a shorter timeout.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Event that a task sends to the runtime.
pub enum Event {
    /// A proxy has connected.
    Accepted(TcpStream),
    /// An event on a connection.
    Channel(ChannelSource, ChannelEvent),
}

/// Connection that an event belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChannelSource {
    /// A connection to a controller.
    Controller(ConnectionId),
    /// A connection from a proxy, by its number.
    Proxy(u64),
}

/// Event on a connection.
pub enum ChannelEvent {
    /// The connection is established.
    Connected,
    /// A frame was received.
    Received(Frame),
    /// The connection has ended or could not be established.
    Closed,
}

/// Handle of a connection. Dropping the handle closes the connection.
pub struct Channel {
    source: ChannelSource,
    outgoing: mpsc::Sender<Frame>,
    events: mpsc::Sender<Event>,
    task: Option<JoinHandle<()>>,
}

impl Channel {
    /// Opens a connection to a controller.
    pub fn connect(connection: ConnectionId, endpoint: SocketAddr, events: mpsc::Sender<Event>) -> Channel {
        let source = ChannelSource::Controller(connection);
        Channel::start(source, events, async move |outgoing, events| {
            let Ok(stream) = connect(endpoint, CONNECT_TIMEOUT).await else { return };
            if events.send(Event::Channel(source, ChannelEvent::Connected)).await.is_ok() {
                // The result is not needed: the runtime receives `Closed` in any case.
                let _ = serve(stream, source, outgoing, &events).await;
            }
        })
    }

    /// Serves a connection from a proxy.
    pub fn accept(number: u64, stream: TcpStream, events: mpsc::Sender<Event>) -> Channel {
        let source = ChannelSource::Proxy(number);
        Channel::start(source, events, async move |outgoing, events| {
            // Without this option, the connection works but is slower.
            let _ = stream.set_nodelay(true);
            let _ = serve(stream, source, outgoing, &events).await;
        })
    }

    fn start<F>(source: ChannelSource, events: mpsc::Sender<Event>, body: F) -> Channel
    where
        F: AsyncFnOnce(mpsc::Receiver<Frame>, mpsc::Sender<Event>) + 'static,
    {
        let (outgoing, outgoing_receiver) = mpsc::channel(FRAME_QUEUE_CAPACITY);
        let task_events = events.clone();
        let task = spawn_local(async move {
            body(outgoing_receiver, task_events.clone()).await;
            // The send fails if the runtime has already ended.
            let _ = task_events.send(Event::Channel(source, ChannelEvent::Closed)).await;
        });
        Channel { source, outgoing, events, task: Some(task) }
    }

    /// Queues a frame. Closes the connection if the queue is full.
    pub fn send(&mut self, frame: Frame) {
        let is_full = matches!(self.outgoing.try_send(frame), Err(mpsc::error::TrySendError::Full(_)));
        if is_full && let Some(task) = self.task.take() {
            task.abort();
            let (events, source) = (self.events.clone(), self.source);
            spawn_local(async move { events.send(Event::Channel(source, ChannelEvent::Closed)).await });
        }
    }

    /// Closes the queue. The returned task ends once the queued frames are written.
    pub fn close_queue(mut self) -> Option<JoinHandle<()>> {
        self.task.take()
    }
}

impl Drop for Channel {
    fn drop(&mut self) {
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}

async fn serve(
    stream: TcpStream,
    source: ChannelSource,
    mut outgoing: mpsc::Receiver<Frame>,
    events: &mpsc::Sender<Event>,
) -> Result<(), FrameError> {
    let (reader, mut writer) = stream.into_split();
    let mut reader = FrameReader::new(reader);
    let mut buffer = FrameBuffer::default();
    loop {
        tokio::select! {
            biased;
            next = outgoing.recv() => {
                let Some(frame) = next else { return close_gracefully(reader, writer).await };
                buffer.push(frame.kind, &frame.payload)?;
                while let Ok(frame) = outgoing.try_recv() {
                    buffer.push(frame.kind, &frame.payload)?;
                }
                buffer.write_to(&mut writer).await?;
            }
            next = reader.next() => {
                let Some(frame) = next? else { return Ok(()) };
                let event = Event::Channel(source, ChannelEvent::Received(frame));
                if events.send(event).await.is_err() {
                    return Ok(());
                }
            }
        }
    }
}

/// Closes a connection gracefully. Closing a socket with unread bytes would discard the last frames.
async fn close_gracefully(
    mut reader: FrameReader<OwnedReadHalf>,
    mut writer: OwnedWriteHalf,
) -> Result<(), FrameError> {
    if writer.shutdown().await.is_err() {
        return Ok(());
    }
    while reader.next().await?.is_some() {}
    Ok(())
}
