//! Sockets that measure what passes in both directions and notice when the peer has closed the connection; and the
//! closing of a listener.
//!
//! Wrap a socket with [`Metered::new`] and keep the [`Meter`] beside it: it tells how many bytes were written and when
//! bytes have arrived. [`Metered::ending`] returns a handle that completes when the peer closes.

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

pub use listener::drain;

/// What has passed; shared by the socket and its observer.
#[derive(Default)]
pub struct Meter {
    /// Bytes written.
    pub written: Cell<u64>,
    /// When the first bytes arrived since this was last cleared.
    pub heard: Cell<Option<Instant>>,
    /// When the last bytes arrived.
    pub heard_last: Cell<Option<Instant>>,
}

/// A socket that counts in a [`Meter`].
pub struct Metered<S = TcpStream> {
    /// The socket, shared with its [`Ending`].
    shared: Rc<RefCell<Shared<S>>>,
    /// What has passed.
    meter: Rc<Meter>,
}

/// The socket and what was read ahead of its reader.
struct Shared<S> {
    /// The socket.
    socket: S,
    /// Bytes that were read to see whether the peer has closed the connection, and not taken yet.
    ahead: Vec<u8>,
    /// The peer has closed the connection.
    ended: bool,
}

/// This many bytes are read ahead at most.
const MAX_AHEAD: usize = 32 * 1024;

/// Notices that the peer closes the connection, also behind bytes that are not read yet.
pub struct Ending<S = TcpStream>(Rc<RefCell<Shared<S>>>);

impl<S: AsyncRead + AsyncWrite + Unpin> Ending<S> {
    /// Ready once the peer has closed the connection. Must be polled by the task that polls the socket, after it.
    pub fn poll(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut shared = self.0.borrow_mut();
        let Shared { socket, ahead, ended } = &mut *shared;
        while !*ended && ahead.len() < MAX_AHEAD {
            let mut chunk = [0; 1024];
            let mut buf = ReadBuf::new(&mut chunk);
            match Pin::new(&mut *socket).poll_read(cx, &mut buf) {
                Poll::Pending => break,
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => {
                    ahead.extend_from_slice(buf.filled());
                    // The reader may have found nothing just before, and the space to read ahead is limited.
                    cx.waker().wake_by_ref();
                }
                Poll::Ready(_) => *ended = true,
            }
        }
        if *ended { Poll::Ready(()) } else { Poll::Pending }
    }

    /// A lingering close: shuts down the sending side, and reads on until the peer has closed the connection too.
    ///
    /// A close with unread bytes would reset the connection, and the peer would lose what it has not read yet.
    pub async fn part(self) {
        if poll_fn(|cx| Pin::new(&mut self.0.borrow_mut().socket).poll_shutdown(cx)).await.is_err() {
            return;
        }
        poll_fn(|cx| {
            self.0.borrow_mut().ahead.clear();
            self.poll(cx)
        })
        .await;
    }
}

impl<S> Metered<S> {
    /// Wraps a socket; what passes is counted in `meter`.
    pub fn new(socket: S, meter: Rc<Meter>) -> Self {
        let shared = Shared { socket, ahead: Vec::new(), ended: false };
        Metered { shared: Rc::new(RefCell::new(shared)), meter }
    }

    /// A handle that notices when the peer closes the connection.
    pub fn ending(&self) -> Ending<S> {
        Ending(Rc::clone(&self.shared))
    }

    /// Counts written bytes.
    fn count(&self, wrote: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = wrote {
            self.meter.written.set(self.meter.written.get() + bytes as u64);
        }
        wrote
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let mut shared = self.shared.borrow_mut();
        let Shared { socket, ahead, ended } = &mut *shared;
        let read = if !ahead.is_empty() {
            let taken = ahead.len().min(buf.remaining());
            buf.put_slice(&ahead[..taken]);
            ahead.drain(..taken);
            Poll::Ready(Ok(()))
        } else if *ended {
            Poll::Ready(Ok(()))
        } else {
            Pin::new(socket).poll_read(cx, buf)
        };
        if buf.filled().len() > before {
            let now = Some(Instant::now());
            self.meter.heard.set(self.meter.heard.get().or(now));
            self.meter.heard_last.set(now);
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Metered<S> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut self.shared.borrow_mut().socket).poll_write(cx, buf);
        self.count(wrote)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut self.shared.borrow_mut().socket).poll_write_vectored(cx, bufs);
        self.count(wrote)
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
