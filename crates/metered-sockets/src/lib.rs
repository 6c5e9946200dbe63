//! Sockets that meter their traffic and detect when the peer closes the connection, and a graceful listener close.
//!
//! Wrap a socket with [`MeteredSocket::new`] and keep a clone of its [`Meter`], which counts written bytes and records
//! when bytes were received. [`MeteredSocket::close_watcher`] returns a handle that detects the close of the peer.

mod listener;

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

pub use listener::close_listener;

/// Traffic of one socket, shared between the socket and its observer.
#[derive(Default)]
pub struct Meter {
    /// Bytes written.
    pub bytes_written: Cell<u64>,
    /// When bytes were first received since the observer last reset this field.
    pub first_received_at: Cell<Option<Instant>>,
    /// When bytes were last received.
    pub last_received_at: Cell<Option<Instant>>,
}

/// A socket that records its traffic in a [`Meter`].
pub struct MeteredSocket<S = TcpStream> {
    shared: Rc<RefCell<Shared<S>>>,
    meter: Rc<Meter>,
}

/// Socket state shared between a [`MeteredSocket`] and its [`CloseWatcher`].
struct Shared<S> {
    socket: S,
    /// Bytes that the watcher read while checking for a close, not yet consumed by the reader.
    read_ahead: Vec<u8>,
    closed_by_peer: bool,
}

/// Limit of `Shared::read_ahead`.
const MAX_READ_AHEAD_BYTES: usize = 32 * 1024;

/// Detects that the peer has closed the connection, even behind bytes that were not read yet.
pub struct CloseWatcher<S = TcpStream>(Rc<RefCell<Shared<S>>>);

impl<S: AsyncRead + AsyncWrite + Unpin> CloseWatcher<S> {
    /// Completes once the peer has closed the connection. Must be polled by the task that polls the socket, after it.
    pub fn poll(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut shared = self.0.borrow_mut();
        let Shared { socket, read_ahead, closed_by_peer } = &mut *shared;
        while !*closed_by_peer && read_ahead.len() < MAX_READ_AHEAD_BYTES {
            let mut chunk = [0; 1024];
            let mut buf = ReadBuf::new(&mut chunk);
            match Pin::new(&mut *socket).poll_read(cx, &mut buf) {
                Poll::Pending => break,
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => {
                    read_ahead.extend_from_slice(buf.filled());
                    // Wakes the task because the reader may have found no data just before.
                    cx.waker().wake_by_ref();
                }
                Poll::Ready(_) => *closed_by_peer = true,
            }
        }
        if *closed_by_peer { Poll::Ready(()) } else { Poll::Pending }
    }

    /// Shuts down the write side, then discards received bytes until the peer closes the connection too.
    ///
    /// Closing a socket with unread bytes would reset the connection, and the peer could lose data it has not read.
    pub async fn lingering_close(self) {
        if poll_fn(|cx| Pin::new(&mut self.0.borrow_mut().socket).poll_shutdown(cx)).await.is_err() {
            return;
        }
        poll_fn(|cx| {
            self.0.borrow_mut().read_ahead.clear();
            self.poll(cx)
        })
        .await;
    }
}

impl<S> MeteredSocket<S> {
    /// Wraps a socket and records its traffic in `meter`.
    pub fn new(socket: S, meter: Rc<Meter>) -> Self {
        let shared = Shared { socket, read_ahead: Vec::new(), closed_by_peer: false };
        MeteredSocket { shared: Rc::new(RefCell::new(shared)), meter }
    }

    /// Returns a handle that detects the close of the peer.
    pub fn close_watcher(&self) -> CloseWatcher<S> {
        CloseWatcher(Rc::clone(&self.shared))
    }

    fn count_written(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = result {
            self.meter.bytes_written.set(self.meter.bytes_written.get() + bytes as u64);
        }
        result
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredSocket<S> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let mut shared = self.shared.borrow_mut();
        let Shared { socket, read_ahead, closed_by_peer } = &mut *shared;
        let result = if !read_ahead.is_empty() {
            let copied = read_ahead.len().min(buf.remaining());
            buf.put_slice(&read_ahead[..copied]);
            read_ahead.drain(..copied);
            Poll::Ready(Ok(()))
        } else if *closed_by_peer {
            Poll::Ready(Ok(()))
        } else {
            Pin::new(socket).poll_read(cx, buf)
        };
        if buf.filled().len() > filled_before {
            let now = Some(Instant::now());
            self.meter.first_received_at.set(self.meter.first_received_at.get().or(now));
            self.meter.last_received_at.set(now);
        }
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredSocket<S> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.shared.borrow_mut().socket).poll_write(cx, buf);
        self.count_written(result)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.shared.borrow_mut().socket).poll_write_vectored(cx, bufs);
        self.count_written(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.shared.borrow().socket.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.shared.borrow_mut().socket).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.shared.borrow_mut().socket).poll_shutdown(cx)
    }
}
