//! Framing of messages on a byte stream: four bytes of length, one byte of kind, then the payload. The length counts the
//! payload only and is bounded, so that a faulty peer can't make the reader allocate without limit.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use snafu::{ResultExt, Snafu, ensure};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The longest payload of a frame, in bytes.
pub const MAXIMUM_PAYLOAD_BYTES: usize = 16 * 1024 * 1024;

/// Length and kind.
const HEADER_BYTES: usize = 5;
/// The space that is reserved for a read.
const READ_BYTES: usize = 8 * 1024;
/// A write buffer that has grown beyond this is freed once it is empty.
const KEPT_BUFFER_BYTES: usize = 64 * 1024;

/// The type of a frame's payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum FrameKind {
    /// `Hello`, the first frame of the connecting side.
    Hello = 1,
    /// A message of the replication between controllers.
    Replica = 2,
    /// `Gossip` between controllers.
    Gossip = 3,
    /// `Report` from a balancer.
    Report = 4,
    /// `ToBalancer`.
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

/// Why a connection can't go on.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The kind is none of [`FrameKind`].
    #[snafu(display("a frame of unknown kind {kind}"))]
    UnknownKind {
        /// The byte that was received.
        kind: u8,
    },
    /// The payload exceeds [`MAXIMUM_PAYLOAD_BYTES`].
    #[snafu(display("a frame of {length} bytes, above the bound of {MAXIMUM_PAYLOAD_BYTES}"))]
    TooLong {
        /// The length of the payload.
        length: usize,
    },
    /// The connection ended inside a frame.
    #[snafu(display("the connection ended inside a frame"))]
    Truncated,
    /// Reading failed.
    #[snafu(display("reading from the connection"))]
    Read {
        /// What the system reports.
        source: std::io::Error,
    },
    /// Writing failed.
    #[snafu(display("writing to the connection"))]
    Write {
        /// What the system reports.
        source: std::io::Error,
    },
}

/// Decodes frames from received bytes.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: BytesMut,
}

impl FrameDecoder {
    /// The next frame, if all of its bytes have been received.
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

    /// Adds received bytes.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    fn space(&mut self) -> &mut BytesMut {
        self.buffer.reserve(READ_BYTES);
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
    /// A reader of a connection's frames, from its first byte.
    pub fn new(reader: R) -> Self {
        FrameReader { reader, decoder: FrameDecoder::default() }
    }

    /// The next frame, or none at an orderly end. Cancel safe: nothing is lost if the future is dropped.
    pub async fn next(&mut self) -> Result<Option<Frame>, FrameError> {
        loop {
            if let Some(frame) = self.decoder.next_frame()? {
                return Ok(Some(frame));
            }
            let count = self.reader.read_buf(self.decoder.space()).await.context(ReadSnafu)?;
            if count == 0 {
                ensure!(self.decoder.is_empty(), TruncatedSnafu);
                return Ok(None);
            }
        }
    }

    /// A further frame that has been received already, without waiting.
    pub fn next_buffered(&mut self) -> Result<Option<Frame>, FrameError> {
        self.decoder.next_frame()
    }
}

/// Frames that are to be written together.
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

    /// Whether everything has been written.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The number of bytes that have not been written yet.
    pub fn pending_bytes(&self) -> usize {
        self.bytes.len()
    }

    /// Drops what has not been written; for a connection that has ended.
    pub fn clear(&mut self) {
        self.bytes = BytesMut::new();
    }

    /// The bytes that have not been written yet.
    pub fn as_slice(&self) -> &[u8] {
        &self.bytes
    }

    /// Writes everything, in one call if the connection accepts that much. Cancel safe: if the future is dropped, the rest
    /// stays for the next call.
    pub async fn write_to<W: AsyncWrite + Unpin>(&mut self, writer: &mut W) -> Result<(), FrameError> {
        while !self.bytes.is_empty() {
            let count = writer.write(&self.bytes).await.context(WriteSnafu)?;
            ensure!(count > 0, TruncatedSnafu);
            self.bytes.advance(count);
        }
        if self.bytes.capacity() > KEPT_BUFFER_BYTES {
            self.clear();
        }
        Ok(())
    }
}
