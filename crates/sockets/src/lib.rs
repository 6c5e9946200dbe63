//! A socket that notes what has really passed on it, both ways.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

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

pub struct Metered {
    socket: TcpStream,
    meter: Rc<Meter>,
}

impl Metered {
    pub fn new(socket: TcpStream, meter: Rc<Meter>) -> Self {
        Metered { socket, meter }
    }

    fn count(&self, wrote: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = wrote {
            self.meter.written.set(self.meter.written.get() + bytes as u64);
        }
        wrote
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.socket).poll_read(cx, buf);
        if buf.filled().len() > before {
            let now = Some(Instant::now());
            self.meter.heard.set(self.meter.heard.get().or(now));
            self.meter.heard_last.set(now);
        }
        read
    }
}

impl AsyncWrite for Metered {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut self.socket).poll_write(cx, buf);
        self.count(wrote)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut self.socket).poll_write_vectored(cx, bufs);
        self.count(wrote)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
