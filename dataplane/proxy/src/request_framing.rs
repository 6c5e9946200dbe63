//! Looks at the heads of requests as they are read, for what the HTTP library does not pass on: it keeps only one of
//! two kinds of length. A request that names both may hide another one behind its end.
//!
//! Bytes are followed through bodies too: a client may send its next request before it has the answer to the last, and
//! that head is read while the request before it is still in hand.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

const LENGTH: &[u8] = b"content-length";
const CODING: &[u8] = b"transfer-encoding";
/// What is kept of a line: more than the names and numbers that are looked for.
const LINE_BYTES: usize = 256;

/// Where in a request the next byte stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Part {
    #[default]
    Head,
    Body {
        left: u64,
    },
    ChunkSize,
    /// With the line end behind it.
    Chunk {
        left: u64,
    },
    Trailers,
    /// The end of the request can't be told. Nothing after it is served.
    Unknown,
}

/// What the lines of a head have said so far.
#[derive(Clone, Copy, Debug, Default)]
struct Lengths {
    /// The request line has come.
    has_begun: bool,
    has_length: bool,
    has_coding: bool,
    /// Nothing if it can't be read.
    length: Option<u64>,
}

impl Lengths {
    fn take(&mut self, line: &[u8], is_truncated: bool) {
        if !std::mem::replace(&mut self.has_begun, true) {
            return;
        }
        let (name, value) = split_at_colon(line);
        if name.eq_ignore_ascii_case(LENGTH) {
            self.has_length = true;
            self.length = if is_truncated { None } else { number(value, 10) };
        }
        self.has_coding |= name.eq_ignore_ascii_case(CODING);
    }

    fn is_ambiguous(self) -> bool {
        self.has_length && self.has_coding
    }

    fn body(self) -> Part {
        match self {
            _ if self.is_ambiguous() => Part::Unknown,
            Lengths { has_coding: true, .. } => Part::ChunkSize,
            Lengths { has_length: true, length: None, .. } => Part::Unknown,
            Lengths { length: None | Some(0), .. } => Part::Head,
            Lengths { length: Some(left), .. } => Part::Body { left },
        }
    }
}

/// Follows the bytes of requests, and remembers of each head whether it names two kinds of length.
#[derive(Debug, Default)]
pub struct RequestFraming {
    part: Part,
    /// The beginning of the line that has not ended yet.
    line: Vec<u8>,
    /// The line goes on beyond what is kept of it.
    is_truncated: bool,
    lengths: Lengths,
    /// Whole heads of requests that are not done, the oldest first: whether they are ambiguous.
    heads: VecDeque<bool>,
}

impl RequestFraming {
    /// Takes bytes as they are read.
    pub fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            bytes = match self.part {
                Part::Unknown => return,
                Part::Body { left } => self.skip(bytes, left, Part::Head, |left| Part::Body { left }),
                Part::Chunk { left } => self.skip(bytes, left, Part::ChunkSize, |left| Part::Chunk { left }),
                Part::Head | Part::ChunkSize | Part::Trailers => self.read_line(bytes),
            };
        }
    }

    /// Whether the head of the request in hand names two kinds of length.
    pub fn is_ambiguous(&self) -> bool {
        self.heads.front().copied().unwrap_or_default()
    }

    /// Whether the end of the request in hand can't be told, so that none may be served after it.
    pub fn is_lost(&self) -> bool {
        self.part == Part::Unknown && self.heads.len() <= 1
    }

    /// The request in hand is done.
    pub fn restart(&mut self) {
        self.heads.pop_front();
    }

    /// Passes over bytes of which so many are left; returns what follows.
    fn skip<'a>(&mut self, bytes: &'a [u8], left: u64, then: Part, more: fn(u64) -> Part) -> &'a [u8] {
        let skipped = usize::try_from(left).map_or(bytes.len(), |left| left.min(bytes.len()));
        let left = left - skipped as u64;
        self.part = if left == 0 { then } else { more(left) };
        &bytes[skipped..]
    }

    /// Takes bytes up to the end of a line; returns what follows.
    fn read_line<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let end = bytes.iter().position(|&byte| byte == b'\n');
        let piece = &bytes[..end.unwrap_or(bytes.len())];
        let memory = LINE_BYTES.saturating_sub(self.line.len());
        self.line.extend_from_slice(&piece[..piece.len().min(memory)]);
        self.is_truncated |= piece.len() > memory;
        let Some(end) = end else { return &[] };
        let line = std::mem::take(&mut self.line);
        let is_truncated = std::mem::take(&mut self.is_truncated);
        self.take_line(line.strip_suffix(b"\r").unwrap_or(&line), is_truncated);
        &bytes[end + 1..]
    }

    /// Takes a line, or its beginning.
    fn take_line(&mut self, line: &[u8], is_truncated: bool) {
        match self.part {
            // Empty lines before a request are passed over.
            Part::Head if line.is_empty() && self.lengths.has_begun => self.end_head(),
            Part::Head if line.is_empty() => {}
            Part::Head => self.lengths.take(line, is_truncated),
            Part::ChunkSize => self.part = chunk(line, is_truncated),
            Part::Trailers if line.is_empty() => self.part = Part::Head,
            _ => {}
        }
    }

    fn end_head(&mut self) {
        let lengths = std::mem::take(&mut self.lengths);
        self.heads.push_back(lengths.is_ambiguous());
        self.part = lengths.body();
    }
}

/// What follows the line of a chunk's size.
fn chunk(line: &[u8], is_truncated: bool) -> Part {
    const LINE_END: u64 = 2;
    let size = line.split(|&byte| byte == b';').next().unwrap_or_default();
    let is_whole = !is_truncated || size.len() < line.len();
    match number(size, 16).filter(|_| is_whole) {
        Some(0) => Part::Trailers,
        Some(size) => Part::Chunk { left: size.saturating_add(LINE_END) },
        None => Part::Unknown,
    }
}

fn split_at_colon(line: &[u8]) -> (&[u8], &[u8]) {
    match line.iter().position(|&byte| byte == b':') {
        Some(colon) => (line[..colon].trim_ascii(), &line[colon + 1..]),
        None => (line.trim_ascii(), &[]),
    }
}

fn number(text: &[u8], radix: u32) -> Option<u64> {
    let text = std::str::from_utf8(text.trim_ascii()).ok()?;
    u64::from_str_radix(text, radix).ok()
}

/// A socket whose requests are watched.
pub struct ObservedSocket<S> {
    socket: S,
    watch: Rc<RefCell<RequestFraming>>,
}

impl<S> ObservedSocket<S> {
    pub fn new(socket: S, watch: Rc<RefCell<RequestFraming>>) -> Self {
        ObservedSocket { socket, watch }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ObservedSocket<S> {
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

impl<S: AsyncWrite + Unpin> AsyncWrite for ObservedSocket<S> {
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
