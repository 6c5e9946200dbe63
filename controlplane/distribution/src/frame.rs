//! Frames messages on a byte stream. A frame has a length of four bytes, a kind of one byte, and the payload.
//! The length is the size of the payload alone. It is bounded, so a faulty peer can't make the reader
//! allocate without limit.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use snafu::{ResultExt, Snafu, ensure};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The maximum size of a frame's payload, in bytes.
pub const MAXIMUM_PAYLOAD_BYTES: usize = 16 * 1024 * 1024;

/// The size of the length and the kind, in bytes.
const HEADER_BYTES: usize = 5;
/// The buffer space that is reserved for each read, in bytes.
const READ_RESERVE_BYTES: usize = 8 * 1024;
/// The maximum capacity of an empty write buffer, in bytes; a larger buffer is freed after the write.
const MAX_RETAINED_BUFFER_BYTES: usize = 64 * 1024;

/// The type of a frame's payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum FrameKind {
    /// [`Hello`](crate::Hello), the first frame of the connecting side.
    Hello = 1,
    /// A message of the replication between controllers.
    Replica = 2,
    /// [`Gossip`](crate::Gossip) between controllers.
    Gossip = 3,
    /// [`Report`](crate::Report) from a balancer.
    Report = 4,
    /// [`ToBalancer`](crate::ToBalancer), a message of the control plane.
    ToBalancer = 5,
}

impl FrameKind {
    fn from_byte(byte: u8) -> Result<FrameKind, FrameError> {
        match byte {
            1 => Ok(FrameKind::Hello),
            2 => Ok(FrameKind::Replica),
            3 => Ok(FrameKind::Gossip),
            4 => Ok(FrameKind::Report),
            5 => Ok(FrameKind::ToBalancer),
            kind => UnknownKindSnafu { kind }.fail(),
        }
    }
}

/// One message on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The type of the payload.
    pub kind: FrameKind,
    /// The encoded message.
    pub payload: Bytes,
}

/// An error that ends a connection.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The kind byte is not the value of a [`FrameKind`].
    #[snafu(display("a frame of unknown kind {kind}"))]
    UnknownKind {
        /// The byte that was received.
        kind: u8,
    },
    /// The payload exceeds [`MAXIMUM_PAYLOAD_BYTES`].
    #[snafu(display("a frame of {length} bytes, above the bound of {MAXIMUM_PAYLOAD_BYTES}"))]
    TooLong {
        /// The length of the payload, in bytes.
        length: usize,
    },
    /// The connection ended before a frame was complete.
    #[snafu(display("the connection ended inside a frame"))]
    Truncated,
    /// Reading failed.
    #[snafu(display("reading from the connection"))]
    Read {
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// Writing failed.
    #[snafu(display("writing to the connection"))]
    Write {
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// Decodes frames from received bytes.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: BytesMut,
}

impl FrameDecoder {
    /// Returns the next frame, if all of its bytes have been received.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        if self.buffer.len() < HEADER_BYTES {
            return Ok(None);
        }
        let length = (&self.buffer[..4]).get_u32() as usize;
        ensure!(length <= MAXIMUM_PAYLOAD_BYTES, TooLongSnafu { length });
        let kind = FrameKind::from_byte(self.buffer[4])?;
        if self.buffer.len() < HEADER_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(HEADER_BYTES);
        let payload = self.buffer.split_to(length).freeze();
        Ok(Some(Frame { kind, payload }))
    }

    /// Appends received bytes.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    fn reserve_read_space(&mut self) -> &mut BytesMut {
        self.buffer.reserve(READ_RESERVE_BYTES);
        &mut self.buffer
    }
}

/// Reads frames from a connection.
#[derive(Debug)]
pub struct FrameReader<R> {
    reader: R,
    decoder: FrameDecoder,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Creates a reader for a connection from which nothing has been read yet.
    pub fn new(reader: R) -> Self {
        FrameReader { reader, decoder: FrameDecoder::default() }
    }

    /// Waits for the next frame. Returns `None` if the connection ended after a complete frame. Cancel safe:
    /// no data is lost if the future is dropped.
    pub async fn next(&mut self) -> Result<Option<Frame>, FrameError> {
        loop {
            if let Some(frame) = self.decoder.next_frame()? {
                return Ok(Some(frame));
            }
            let count = self.reader.read_buf(self.decoder.reserve_read_space()).await.context(ReadSnafu)?;
            if count == 0 {
                ensure!(self.decoder.is_empty(), TruncatedSnafu);
                return Ok(None);
            }
        }
    }

    /// Returns the next frame if it has already been received completely. Does not wait.
    pub fn next_buffered(&mut self) -> Result<Option<Frame>, FrameError> {
        self.decoder.next_frame()
    }
}

/// A buffer of encoded frames that are written together.
#[derive(Debug, Default)]
pub struct FrameBuffer {
    bytes: BytesMut,
}

impl FrameBuffer {
    /// Appends a frame.
    pub fn push(&mut self, kind: FrameKind, payload: &[u8]) -> Result<(), FrameError> {
        ensure!(payload.len() <= MAXIMUM_PAYLOAD_BYTES, TooLongSnafu { length: payload.len() });
        self.bytes.reserve(HEADER_BYTES + payload.len());
        self.bytes.put_u32(payload.len() as u32);
        self.bytes.put_u8(kind as u8);
        self.bytes.put_slice(payload);
        Ok(())
    }

    /// Whether all frames have been written.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the number of bytes that have not been written yet.
    pub fn pending_bytes(&self) -> usize {
        self.bytes.len()
    }

    /// Discards all unwritten bytes, for a connection that has ended.
    pub fn clear(&mut self) {
        self.bytes = BytesMut::new();
    }

    /// Returns the bytes that have not been written yet.
    pub fn as_slice(&self) -> &[u8] {
        &self.bytes
    }

    /// Writes all buffered bytes, with a single write if the connection accepts them at once. Cancel safe: if
    /// the future is dropped, the unwritten bytes stay in the buffer.
    pub async fn write_to<W: AsyncWrite + Unpin>(&mut self, writer: &mut W) -> Result<(), FrameError> {
        while !self.bytes.is_empty() {
            let count = writer.write(&self.bytes).await.context(WriteSnafu)?;
            ensure!(count > 0, TruncatedSnafu);
            self.bytes.advance(count);
        }
        if self.bytes.capacity() > MAX_RETAINED_BUFFER_BYTES {
            self.clear();
        }
        Ok(())
    }
}
