//! Frames on a byte stream: four bytes of length, one byte of kind, then the payload. The length counts the payload
//! alone and is bounded, so that a broken peer cannot make the reader allocate at will.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use snafu::{ResultExt, Snafu, ensure};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The longest payload of a frame.
pub const MAXIMUM_PAYLOAD_BYTES: usize = 16 * 1024 * 1024;

const HEADER_BYTES: usize = 5;
const READ_BYTES: usize = 8 * 1024;
/// A buffer that has grown beyond this is given back once it is empty.
const KEPT_BUFFER_BYTES: usize = 64 * 1024;

/// What a frame's payload holds.
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

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    pub kind: FrameKind,
    pub payload: Bytes,
}

#[derive(Debug, Snafu)]
pub enum FrameError {
    #[snafu(display("a frame of unknown kind {kind}"))]
    UnknownKind { kind: u8 },
    #[snafu(display("a frame of {length} bytes, above the bound of {MAXIMUM_PAYLOAD_BYTES}"))]
    TooLong { length: usize },
    #[snafu(display("the connection ended inside a frame"))]
    Truncated,
    #[snafu(display("reading from the connection"))]
    Read { source: std::io::Error },
    #[snafu(display("writing to the connection"))]
    Write { source: std::io::Error },
}

/// Takes frames out of received bytes.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: BytesMut,
}

impl FrameDecoder {
    /// The next whole frame, if its bytes have arrived.
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
    pub fn new(reader: R) -> Self {
        FrameReader { reader, decoder: FrameDecoder::default() }
    }

    /// The next frame, or none at an orderly end. Nothing is lost if the future is dropped before it is ready.
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

    /// A further frame that has already been read, without waiting.
    pub fn buffered(&mut self) -> Result<Option<Frame>, FrameError> {
        self.decoder.next_frame()
    }
}

/// Frames that wait to be written together.
#[derive(Debug, Default)]
pub struct FrameBuffer {
    bytes: BytesMut,
}

impl FrameBuffer {
    pub fn push(&mut self, kind: FrameKind, payload: &[u8]) -> Result<(), FrameError> {
        ensure!(payload.len() <= MAXIMUM_PAYLOAD_BYTES, TooLongSnafu { length: payload.len() });
        self.bytes.reserve(HEADER_BYTES + payload.len());
        self.bytes.put_u32(payload.len() as u32);
        self.bytes.put_u8(kind as u8);
        self.bytes.put_slice(payload);
        Ok(())
    }

    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Bytes that have not been written yet.
    pub fn pending_bytes(&self) -> usize {
        self.bytes.len()
    }

    /// Forgets what has not been written; for a connection that has ended.
    pub fn clear(&mut self) {
        self.bytes = BytesMut::new();
    }

    pub fn as_slice(&self) -> &[u8] {
        &self.bytes
    }

    /// Writes everything, in one call where the connection takes it. If the future is dropped before it is ready, the
    /// rest stays for the next call.
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
