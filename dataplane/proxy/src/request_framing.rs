//! Observes the framing of requests as they are read, to prevent request smuggling.
//!
//! The HTTP library passes on only one of `Content-Length` and `Transfer-Encoding`. A request with both may hide another
//! one behind its end. Bodies are tracked too: a client may pipeline its next request, whose head is then read while the
//! request before it is in progress.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

const LENGTH: &[u8] = b"content-length";
const CODING: &[u8] = b"transfer-encoding";
/// Bytes kept of a line: more than the names and numbers that are parsed.
const LINE_BYTES: usize = 256;

/// The part of a request to which the next byte belongs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Part {
    #[default]
    Head,
    Body {
        left: u64,
    },
    ChunkSize,
    /// Includes the line end behind the chunk.
    Chunk {
        left: u64,
    },
    Trailers,
    /// The end of the request is unknown. Nothing after it is served.
    Unknown,
}

/// The headers of a head that give the length of the body.
#[derive(Clone, Copy, Debug, Default)]
struct Lengths {
    /// The request line has been read.
    has_begun: bool,
    has_length: bool,
    has_coding: bool,
    /// None if it can't be parsed.
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

/// Tracks the bytes of requests, and which heads have an ambiguous length.
#[derive(Debug, Default)]
pub struct RequestFraming {
    part: Part,
    /// The beginning of the present line.
    line: Vec<u8>,
    /// The present line is longer than what is kept of it.
    is_truncated: bool,
    lengths: Lengths,
    /// For each complete head of a request that is not finished, oldest first: whether its length is ambiguous.
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

    /// Whether the head of the request in progress has both kinds of length.
    pub fn is_ambiguous(&self) -> bool {
        self.heads.front().copied().unwrap_or_default()
    }

    /// Whether the end of the request in progress is unknown, so that none may be served after it.
    pub fn is_lost(&self) -> bool {
        self.part == Part::Unknown && self.heads.len() <= 1
    }

    /// The request in progress is finished.
    pub fn restart(&mut self) {
        self.heads.pop_front();
    }

    /// Skips bytes of a body or chunk with `left` bytes to come; returns what follows.
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
    let is_complete = !is_truncated || size.len() < line.len();
    match number(size, 16).filter(|_| is_complete) {
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

/// A socket whose input is observed.
pub struct ObservedSocket<S> {
    socket: S,
    watch: Rc<RefCell<RequestFraming>>,
}

impl<S> ObservedSocket<S> {
    /// Observes what is read from a socket.
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
