//! A socket that notes what has really passed on it, both ways, and when its other side has ended it; and the
//! end of a listener.

#![allow(missing_docs, reason = "not every public item is documented yet")]

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

/// What has passed; shared by the socket and by who watches it.
#[derive(Default)]
pub struct Meter {
    /// Bytes written.
    pub written: Cell<u64>,
    /// When the first bytes came since this was last cleared.
    pub heard: Cell<Option<Instant>>,
    /// When the last bytes came.
    pub heard_last: Cell<Option<Instant>>,
}

pub struct Metered<S = TcpStream> {
    wire: Rc<RefCell<Wire<S>>>,
    meter: Rc<Meter>,
}

struct Wire<S> {
    socket: S,
    /// What was read to see whether the other side has ended the connection, and nobody has taken yet.
    ahead: Vec<u8>,
    ended: bool,
}

/// So much is read ahead at most.
const MOST_AHEAD: usize = 32 * 1024;

/// Sees the end that the other side makes, also behind bytes that nobody reads yet.
pub struct Ending<S = TcpStream>(Rc<RefCell<Wire<S>>>);

impl<S: AsyncRead + AsyncWrite + Unpin> Ending<S> {
    /// Ready once the other side has ended the connection. The task that polls the socket polls this, after
    /// it.
    pub fn poll(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut wire = self.0.borrow_mut();
        let Wire { socket, ahead, ended } = &mut *wire;
        while !*ended && ahead.len() < MOST_AHEAD {
            let mut piece = [0; 1024];
            let mut buf = ReadBuf::new(&mut piece);
            match Pin::new(&mut *socket).poll_read(cx, &mut buf) {
                Poll::Pending => break,
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => {
                    ahead.extend_from_slice(buf.filled());
                    // Who reads may have found nothing a moment ago; and the room for more is soon used up.
                    cx.waker().wake_by_ref();
                }
                Poll::Ready(_) => *ended = true,
            }
        }
        if *ended { Poll::Ready(()) } else { Poll::Pending }
    }

    /// Says that nothing more comes from here, and reads on until the other side has ended the connection
    /// too. Guards against a close over unread bytes, which resets the connection and takes with it what the
    /// other side has not read yet.
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
    pub fn new(socket: S, meter: Rc<Meter>) -> Self {
        let wire = Wire { socket, ahead: Vec::new(), ended: false };
        Metered { wire: Rc::new(RefCell::new(wire)), meter }
    }

    pub fn ending(&self) -> Ending<S> {
        Ending(Rc::clone(&self.wire))
    }

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
        let mut wire = self.wire.borrow_mut();
        let Wire { socket, ahead, ended } = &mut *wire;
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
        let wrote = Pin::new(&mut self.wire.borrow_mut().socket).poll_write(cx, buf);
        self.count(wrote)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut self.wire.borrow_mut().socket).poll_write_vectored(cx, bufs);
        self.count(wrote)
    }

    fn is_write_vectored(&self) -> bool {
        self.wire.borrow().socket.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.wire.borrow_mut().socket).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.wire.borrow_mut().socket).poll_shutdown(cx)
    }
}
