//! Just enough of HTTP/1.1 for stand-ins that must see single bytes come and go.

use std::io;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

/// Heads and bodies are small here.
const MOST: usize = 256 * 1024;

pub struct Message {
    /// Of a request; empty in an answer.
    pub target: String,
    /// Of an answer.
    pub status: u16,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

/// Reads from a socket that others look at too.
pub struct Reader {
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new() -> Self {
        Reader { buffer: Vec::new() }
    }

    /// Waits for the first byte of the next message; false if the other side ended instead.
    pub async fn first_byte(&mut self, socket: &TcpStream) -> io::Result<bool> {
        while self.buffer.is_empty() {
            if !self.more(socket).await? {
                return Ok(false);
            }
        }
        Ok(true)
    }

    async fn more(&mut self, socket: &TcpStream) -> io::Result<bool> {
        let mut piece = [0u8; 16 * 1024];
        loop {
            socket.readable().await?;
            match socket.try_read(&mut piece) {
                Ok(0) => return Ok(false),
                Ok(count) => {
                    self.buffer.extend_from_slice(&piece[..count]);
                    return if self.buffer.len() > MOST {
                        Err(io::Error::new(io::ErrorKind::InvalidData, "too long"))
                    } else {
                        Ok(true)
                    };
                }
                Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => {}
                Err(fault) => return Err(fault),
            }
        }
    }

    /// The next whole message; none if the other side ended before its first byte.
    pub async fn message(&mut self, socket: &TcpStream, answer: bool) -> io::Result<Option<Message>> {
        let invalid = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what.to_string());
        loop {
            if let Some((message, used)) = parse(&self.buffer, answer).map_err(|fault| invalid(&fault))? {
                self.buffer.drain(..used);
                return Ok(Some(message));
            }
            if !self.more(socket).await? {
                let clean = self.buffer.is_empty();
                return if clean { Ok(None) } else { Err(invalid("ended within a message")) };
            }
        }
    }
}

fn parse(bytes: &[u8], answer: bool) -> Result<Option<(Message, usize)>, String> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let (mut target, mut status) = (String::new(), 0);
    let (parsed, fields) = if answer {
        let mut head = httparse::Response::new(&mut headers);
        let parsed = head.parse(bytes).map_err(|fault| fault.to_string())?;
        status = head.code.unwrap_or(0);
        (parsed, head.headers)
    } else {
        let mut head = httparse::Request::new(&mut headers);
        let parsed = head.parse(bytes).map_err(|fault| fault.to_string())?;
        target = head.path.unwrap_or_default().to_string();
        (parsed, head.headers)
    };
    let httparse::Status::Complete(head) = parsed else { return Ok(None) };
    let text = |value: &[u8]| String::from_utf8_lossy(value).trim().to_string();
    let headers: Vec<(String, String)> =
        fields.iter().map(|field| (field.name.to_ascii_lowercase(), text(field.value))).collect();
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length: usize =
        length.map_or(Ok(0), |(_, value)| value.parse()).map_err(|_| "no length".to_string())?;
    if bytes.len() < head + length {
        return Ok(None);
    }
    let body = bytes[head..head + length].to_vec();
    Ok(Some((Message { target, status, headers, body }, head + length)))
}

/// Writes all of it; how far it came is of no use to a stand-in.
pub async fn write(socket: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        socket.writable().await?;
        match socket.try_write(bytes) {
            Ok(count) => bytes = &bytes[count..],
            Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => {}
            Err(fault) => return Err(fault),
        }
    }
    Ok(())
}

/// Waits until the other side has ended the connection; bytes that come meanwhile stay unread.
pub async fn ended(socket: &TcpStream) {
    // A readable socket with unread bytes stays readable, so that it is looked at in steps.
    while !has_ended(socket) {
        let _ = timeout(Duration::from_millis(20), socket.readable()).await;
        if !has_ended(socket) {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
}

/// Whether the other side has ended the connection, by a look that takes nothing from it.
pub fn has_ended(socket: &TcpStream) -> bool {
    let mut byte = [std::mem::MaybeUninit::<u8>::uninit(); 1];
    match socket2::SockRef::from(socket).peek(&mut byte) {
        Ok(0) => true,
        Ok(_) => false,
        Err(fault) => fault.kind() != io::ErrorKind::WouldBlock,
    }
}
