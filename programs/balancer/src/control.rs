//! The control socket: a Unix socket that only its owner may use. Each connection carries one request and one
//! answer, each a line of JSON.

use std::fmt::{self, Display, Formatter};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use whinspindle_fleet_policy::Unit;
use whinspindle_rate_limited_log::log_line;

use crate::fleet::RequestSender;

/// Longest request in bytes: the text of a policy, and what JSON adds.
const MAX_REQUEST_BYTES: u64 = 512 * 1024;
/// Time-out for reading and writing on a connection.
const IO_TIME_OUT: Duration = Duration::from_secs(5);

/// A request on the control socket.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", tag = "do")]
pub enum Request {
    /// Returns the state of the fleet as this member knows it.
    Status,
    /// Bootstraps the fleet. With `anew` it is done again after most voters lost their stores, and unless `sure`
    /// only the known state is returned.
    Found { anew: bool, sure: bool },
    /// Proposes a policy; length in bytes and hash verify that the text is complete.
    Propose { text: String, length: usize, hash: String },
    /// Withdraws a proposed policy by its number.
    Withdraw { number: u64 },
    /// Asks to take a unit out. A request repeated with the same serial number is the same intent.
    Out { unit: Unit, serial: u64, release: Option<u64> },
    /// A unit is back: changed as intended (`done`), or as it was before.
    Back { unit: Unit, done: bool },
    /// Begins a release with a plan; length in bytes and hash verify the text.
    Release { text: String, length: usize, hash: String },
    /// Rolls the present release back.
    Turn,
    /// Ends the present release as it stands.
    Leave,
    /// Grants nothing more until it is resumed.
    Halt { why: String },
    /// Lifts a halt.
    Resume,
    /// Replaces one voter by another member.
    Voters { old: u16, new: u16 },
}

/// The result of a request, or the reason for its refusal.
pub type Answer = Result<Value, String>;

/// Why the control socket could not be used.
#[derive(Debug)]
pub enum ControlError {
    /// The process cannot listen at the path.
    Listen(PathBuf, io::Error),
    /// Another process listens at the path.
    InUse(PathBuf),
    /// The connection to a client failed.
    Client(io::Error),
    /// A message could not be encoded.
    Encode(serde_json::Error),
    /// The thread of the fleet has ended.
    FleetEnded,
    /// The process that listens at the path could not be reached.
    Unreachable(PathBuf, io::Error),
    /// The process that listens at the path sent an invalid answer.
    InvalidAnswer(PathBuf, serde_json::Error),
}

impl Display for ControlError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            ControlError::Listen(path, fault) => write!(f, "fleet.socket: {}: {fault}", path.display()),
            ControlError::InUse(path) => {
                write!(f, "fleet.socket: {}: another process listens on it", path.display())
            }
            ControlError::Client(fault) => write!(f, "{fault}"),
            ControlError::Encode(fault) => write!(f, "{fault}"),
            ControlError::FleetEnded => write!(f, "the fleet's thread has ended"),
            ControlError::Unreachable(path, fault) => write!(f, "{}: {fault}", path.display()),
            ControlError::InvalidAnswer(path, fault) => write!(f, "{}: {fault}", path.display()),
        }
    }
}

impl std::error::Error for ControlError {}

/// An answer on the socket: exactly one of the fields is set.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
struct AnswerLine {
    done: Option<Value>,
    fault: Option<String>,
}

/// Listens in a thread of its own. A socket left at the path by an earlier process is removed only if nobody
/// listens on it.
pub fn listen(path: &Path, requests: RequestSender) -> Result<(), ControlError> {
    let io_fault = |fault: io::Error| ControlError::Listen(path.to_path_buf(), fault);
    if UnixStream::connect(path).is_ok() {
        return Err(ControlError::InUse(path.to_path_buf()));
    }
    let is_socket = std::fs::symlink_metadata(path).is_ok_and(|file| {
        use std::os::unix::fs::FileTypeExt;
        file.file_type().is_socket()
    });
    if is_socket {
        std::fs::remove_file(path).map_err(io_fault)?;
    }
    let listener = UnixListener::bind(path).map_err(io_fault)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600)).map_err(io_fault)?;
    let serve = move || {
        for stream in listener.incoming().flatten() {
            if let Err(fault) = answer(&stream, &requests) {
                log_line!("control", "{fault}");
            }
        }
    };
    thread::Builder::new().name("control".to_string()).spawn(serve).map_err(io_fault)?;
    Ok(())
}

/// Reads one request, passes it to the fleet's thread and writes its answer.
fn answer(mut stream: &UnixStream, requests: &RequestSender) -> Result<(), ControlError> {
    stream.set_read_timeout(Some(IO_TIME_OUT)).map_err(ControlError::Client)?;
    stream.set_write_timeout(Some(IO_TIME_OUT)).map_err(ControlError::Client)?;
    let mut line = String::new();
    BufReader::new(stream.take(MAX_REQUEST_BYTES)).read_line(&mut line).map_err(ControlError::Client)?;
    let answer = match serde_json::from_str::<Request>(&line) {
        Err(fault) => Err(format!("not a request: {fault}")),
        Ok(request) => {
            let (reply, replied) = sync_channel(1);
            requests.send((request, reply)).map_err(|_| ControlError::FleetEnded)?;
            replied.recv_timeout(IO_TIME_OUT).unwrap_or_else(|_| Err("no answer in time".to_string()))
        }
    };
    let line = match answer {
        Ok(done) => AnswerLine { done: Some(done), fault: None },
        Err(fault) => AnswerLine { done: None, fault: Some(fault) },
    };
    let text = serde_json::to_string(&line).map_err(ControlError::Encode)?;
    stream.write_all((text + "\n").as_bytes()).map_err(ControlError::Client)
}

/// Sends a request to the process that listens at the path.
pub fn ask(path: &Path, request: &Request) -> Result<Answer, ControlError> {
    let io_fault = |fault: io::Error| ControlError::Unreachable(path.to_path_buf(), fault);
    let mut stream = UnixStream::connect(path).map_err(io_fault)?;
    stream.set_read_timeout(Some(2 * IO_TIME_OUT)).map_err(io_fault)?;
    let text = serde_json::to_string(request).map_err(ControlError::Encode)?;
    stream.write_all((text + "\n").as_bytes()).map_err(io_fault)?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).map_err(io_fault)?;
    let line: AnswerLine = serde_json::from_str(&line)
        .map_err(|fault| ControlError::InvalidAnswer(path.to_path_buf(), fault))?;
    Ok(line.done.ok_or(line.fault.unwrap_or_default()))
}
