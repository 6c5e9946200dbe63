//! Observes the framing of requests as they are read, to prevent request smuggling.
//!
//! The HTTP library passes on only one of `Content-Length` and `Transfer-Encoding`. A request with both
//! headers may hide a second request after its end. Bodies are tracked as well, since a client may pipeline
//! requests, so that the head of the next request is read while the previous request is in progress.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

const CONTENT_LENGTH: &[u8] = b"content-length";
const TRANSFER_ENCODING: &[u8] = b"transfer-encoding";
/// Maximum number of bytes stored of a line, longer than the names and numbers that are parsed.
const MAX_LINE_BYTES: usize = 256;

/// The part of a request to which the next byte belongs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum RequestPart {
    #[default]
    Head,
    Body {
        remaining_bytes: u64,
    },
    ChunkSize,
    /// The chunk's data and the line end after it.
    Chunk {
        remaining_bytes: u64,
    },
    Trailers,
    /// The end of the request is unknown, so that no later request is served.
    Unknown,
}

/// The headers that determine the length of a request's body.
#[derive(Clone, Copy, Debug, Default)]
struct LengthHeaders {
    /// Whether the request line has been read.
    has_begun: bool,
    has_length: bool,
    has_coding: bool,
    /// The value of `Content-Length`, or `None` if it cannot be parsed.
    length: Option<u64>,
}

impl LengthHeaders {
    fn take(&mut self, line: &[u8], is_truncated: bool) {
        if !std::mem::replace(&mut self.has_begun, true) {
            return;
        }
        let (name, value) = split_at_colon(line);
        if name.eq_ignore_ascii_case(CONTENT_LENGTH) {
            self.has_length = true;
            self.length = if is_truncated { None } else { number(value, 10) };
        }
        self.has_coding |= name.eq_ignore_ascii_case(TRANSFER_ENCODING);
    }

    fn is_ambiguous(self) -> bool {
        self.has_length && self.has_coding
    }

    fn body_part(self) -> RequestPart {
        match self {
            _ if self.is_ambiguous() => RequestPart::Unknown,
            LengthHeaders { has_coding: true, .. } => RequestPart::ChunkSize,
            LengthHeaders { has_length: true, length: None, .. } => RequestPart::Unknown,
            LengthHeaders { length: None | Some(0), .. } => RequestPart::Head,
            LengthHeaders { length: Some(remaining_bytes), .. } => RequestPart::Body { remaining_bytes },
        }
    }
}

/// Tracks the framing of requests on a connection, and which heads have an ambiguous length.
#[derive(Debug, Default)]
pub struct RequestFraming {
    part: RequestPart,
    /// The beginning of the current line.
    line: Vec<u8>,
    /// Whether the current line is longer than its stored beginning.
    is_truncated: bool,
    lengths: LengthHeaders,
    /// Whether the length is ambiguous, for each unfinished request with a complete head, oldest first.
    heads: VecDeque<bool>,
}

impl RequestFraming {
    /// Processes bytes in the order in which they are read.
    pub fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            bytes = match self.part {
                RequestPart::Unknown => return,
                RequestPart::Body { remaining_bytes } => {
                    self.skip_body(bytes, remaining_bytes, RequestPart::Head, |remaining_bytes| {
                        RequestPart::Body { remaining_bytes }
                    })
                }
                RequestPart::Chunk { remaining_bytes } => {
                    self.skip_body(bytes, remaining_bytes, RequestPart::ChunkSize, |remaining_bytes| {
                        RequestPart::Chunk { remaining_bytes }
                    })
                }
                RequestPart::Head | RequestPart::ChunkSize | RequestPart::Trailers => self.read_line(bytes),
            };
        }
    }

    /// Whether the request in progress has both `Content-Length` and `Transfer-Encoding`.
    pub fn is_ambiguous(&self) -> bool {
        self.heads.front().copied().unwrap_or_default()
    }

    /// Whether the end of the request in progress is unknown, so that no later request may be served.
    pub fn is_end_unknown(&self) -> bool {
        self.part == RequestPart::Unknown && self.heads.len() <= 1
    }

    /// Removes the finished request in progress.
    pub fn finish_request(&mut self) {
        self.heads.pop_front();
    }

    /// Skips up to `remaining_bytes` of a body or chunk and returns the bytes after them.
    fn skip_body<'a>(
        &mut self,
        bytes: &'a [u8],
        remaining_bytes: u64,
        next_part: RequestPart,
        same_part: fn(u64) -> RequestPart,
    ) -> &'a [u8] {
        let skipped = usize::try_from(remaining_bytes)
            .map_or(bytes.len(), |remaining_bytes| remaining_bytes.min(bytes.len()));
        let remaining_bytes = remaining_bytes - skipped as u64;
        self.part = if remaining_bytes == 0 { next_part } else { same_part(remaining_bytes) };
        &bytes[skipped..]
    }

    /// Reads up to the end of a line and returns the bytes after it.
    fn read_line<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let end = bytes.iter().position(|&byte| byte == b'\n');
        let line_part = &bytes[..end.unwrap_or(bytes.len())];
        let free_bytes = MAX_LINE_BYTES.saturating_sub(self.line.len());
        self.line.extend_from_slice(&line_part[..line_part.len().min(free_bytes)]);
        self.is_truncated |= line_part.len() > free_bytes;
        let Some(end) = end else { return &[] };
        let line = std::mem::take(&mut self.line);
        let is_truncated = std::mem::take(&mut self.is_truncated);
        self.take_line(line.strip_suffix(b"\r").unwrap_or(&line), is_truncated);
        &bytes[end + 1..]
    }

    /// Processes a line, which may be truncated.
    fn take_line(&mut self, line: &[u8], is_truncated: bool) {
        match self.part {
            // Empty lines before a request line are ignored.
            RequestPart::Head if line.is_empty() && self.lengths.has_begun => self.end_head(),
            RequestPart::Head if line.is_empty() => {}
            RequestPart::Head => self.lengths.take(line, is_truncated),
            RequestPart::ChunkSize => self.part = part_after_chunk_size(line, is_truncated),
            RequestPart::Trailers if line.is_empty() => self.part = RequestPart::Head,
            _ => {}
        }
    }

    fn end_head(&mut self) {
        let lengths = std::mem::take(&mut self.lengths);
        self.heads.push_back(lengths.is_ambiguous());
        self.part = lengths.body_part();
    }
}

/// Returns the part of the request after a line with a chunk size.
fn part_after_chunk_size(line: &[u8], is_truncated: bool) -> RequestPart {
    const LINE_END: u64 = 2;
    let size = line.split(|&byte| byte == b';').next().unwrap_or_default();
    let is_complete = !is_truncated || size.len() < line.len();
    match number(size, 16).filter(|_| is_complete) {
        Some(0) => RequestPart::Trailers,
        Some(size) => RequestPart::Chunk { remaining_bytes: size.saturating_add(LINE_END) },
        None => RequestPart::Unknown,
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

/// A socket whose input is passed to [`RequestFraming`].
pub struct ObservedSocket<S> {
    socket: S,
    framing: Rc<RefCell<RequestFraming>>,
}

impl<S> ObservedSocket<S> {
    /// Wraps a socket, whose input `framing` processes.
    pub fn new(socket: S, framing: Rc<RefCell<RequestFraming>>) -> Self {
        ObservedSocket { socket, framing }
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
        let new_bytes = &buf.filled()[before..];
        if !new_bytes.is_empty() {
            self.framing.borrow_mut().push(new_bytes);
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
