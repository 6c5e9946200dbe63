//! A connection with a task of its own that reads and writes frames.

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

/// Length of the queue of frames to write; a slower peer is disconnected.
const FRAME_QUEUE: usize = 256;
/// Time-out of connecting; the state machine gives up earlier.
const CONNECT_LIMIT: Duration = Duration::from_millis(2_000);

/// Events that tasks send to the runtime.
pub enum Event {
    /// A proxy has connected.
    Accepted(TcpStream),
    /// Something has happened on a connection.
    Channel(Source, ChannelEvent),
}

/// The connection on which an event has happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A connection to a controller.
    Controller(ConnectionId),
    /// The number of the proxy's connection.
    Proxy(u64),
}

/// What happens on a connection.
pub enum ChannelEvent {
    /// The connection is established.
    Connected,
    /// A frame was received.
    Received(Frame),
    /// The connection has ended, or could not be made.
    Closed,
}

/// The handle of a connection; dropping it closes the connection.
pub struct Channel {
    source: Source,
    outgoing: mpsc::Sender<Frame>,
    events: mpsc::Sender<Event>,
    task: Option<JoinHandle<()>>,
}

impl Channel {
    /// Opens a connection to a controller.
    pub fn connect(connection: ConnectionId, endpoint: SocketAddr, events: mpsc::Sender<Event>) -> Channel {
        let source = Source::Controller(connection);
        Channel::start(source, events, async move |outgoing, events| {
            let Ok(stream) = connect(endpoint, CONNECT_LIMIT).await else { return };
            if events.send(Event::Channel(source, ChannelEvent::Connected)).await.is_ok() {
                // `Closed` is sent however it ends.
                let _ = serve(stream, source, outgoing, &events).await;
            }
        })
    }

    /// Serves a connection that a proxy has opened.
    pub fn accepted(number: u64, stream: TcpStream, events: mpsc::Sender<Event>) -> Channel {
        let source = Source::Proxy(number);
        Channel::start(source, events, async move |outgoing, events| {
            // The connection works without this option too, only slower.
            let _ = stream.set_nodelay(true);
            let _ = serve(stream, source, outgoing, &events).await;
        })
    }

    fn start<F>(source: Source, events: mpsc::Sender<Event>, body: F) -> Channel
    where
        F: AsyncFnOnce(mpsc::Receiver<Frame>, mpsc::Sender<Event>) + 'static,
    {
        let (outgoing, waiting) = mpsc::channel(FRAME_QUEUE);
        let told = events.clone();
        let task = spawn_local(async move {
            body(waiting, told.clone()).await;
            // The runtime may have ended already.
            let _ = told.send(Event::Channel(source, ChannelEvent::Closed)).await;
        });
        Channel { source, outgoing, events, task: Some(task) }
    }

    /// Queues a frame. A peer whose queue is full is disconnected.
    pub fn send(&mut self, frame: Frame) {
        let full = matches!(self.outgoing.try_send(frame), Err(mpsc::error::TrySendError::Full(_)));
        if full && let Some(task) = self.task.take() {
            task.abort();
            let (events, source) = (self.events.clone(), self.source);
            spawn_local(async move { events.send(Event::Channel(source, ChannelEvent::Closed)).await });
        }
    }

    /// Closes the queue; the returned task ends once the rest is written.
    pub fn finish(mut self) -> Option<JoinHandle<()>> {
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
    source: Source,
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
                let Some(frame) = next else { return end(reader, writer).await };
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

/// Closes a connection gracefully: a close with unread bytes would discard the last frames.
async fn end(mut reader: FrameReader<OwnedReadHalf>, mut writer: OwnedWriteHalf) -> Result<(), FrameError> {
    if writer.shutdown().await.is_err() {
        return Ok(());
    }
    while reader.next().await?.is_some() {}
    Ok(())
}
