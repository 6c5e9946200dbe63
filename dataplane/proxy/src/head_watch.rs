//! Looks at the heads of requests as they are read, for what the HTTP library does not pass on: it keeps only one of
//! two kinds of length. A request that names both may hide another one behind its end.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

const HEAD_END: &[u8] = b"\r\n\r\n";
const LENGTH: &[u8] = b"content-length";
const CODING: &[u8] = b"transfer-encoding";

/// Follows the bytes of one request up to the end of its head.
#[derive(Debug, Default)]
pub struct HeadWatch {
    head: Vec<u8>,
    ended: bool,
    has_length: bool,
    has_coding: bool,
}

impl HeadWatch {
    /// Takes bytes as they are read.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.ended {
            return;
        }
        let from = self.head.len().saturating_sub(HEAD_END.len() - 1);
        self.head.extend_from_slice(bytes);
        let end = self.head[from..].windows(HEAD_END.len()).position(|window| window == HEAD_END);
        let Some(end) = end else { return };
        self.ended = true;
        let head = std::mem::take(&mut self.head);
        for line in head[..from + end].split(|&byte| byte == b'\n') {
            let name = line.split(|&byte| byte == b':').next().unwrap_or_default().trim_ascii();
            self.has_length |= name.eq_ignore_ascii_case(LENGTH);
            self.has_coding |= name.eq_ignore_ascii_case(CODING);
        }
    }

    /// Whether the head names two kinds of length.
    pub fn is_ambiguous(&self) -> bool {
        self.has_length && self.has_coding
    }

    /// The next bytes begin another request.
    pub fn restart(&mut self) {
        *self = HeadWatch::default();
    }
}

/// A socket whose requests are watched.
pub struct Watched<S> {
    socket: S,
    watch: Rc<RefCell<HeadWatch>>,
}

impl<S> Watched<S> {
    pub fn new(socket: S, watch: Rc<RefCell<HeadWatch>>) -> Self {
        Watched { socket, watch }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Watched<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.socket).poll_read(cx, buf);
        let news = &buf.filled()[before..];
        if !news.is_empty() {
            self.watch.borrow_mut().push(news);
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Watched<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
