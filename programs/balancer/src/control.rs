//! The control socket: a Unix socket for the owner alone, one request in JSON a connection, one line each
//! way.

use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use whinspindle_fleet_policy::Unit;
use whinspindle_rate_limited_log::log_line;

use crate::fleet::Asks;

/// Longest line that is read: a policy's text, with room for what JSON adds.
const LONGEST: u64 = 512 * 1024;
/// Who is connected and says nothing is parted with.
const PATIENCE: Duration = Duration::from_secs(5);

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", tag = "do")]
pub enum Request {
    Status,
    /// Anew where most voters have lost their memories; not `sure`, it is only told what is known.
    Found {
        anew: bool,
        sure: bool,
    },
    /// The length in bytes and the hash tell whether the text came whole.
    Propose {
        text: String,
        length: usize,
        hash: String,
    },
    Withdraw {
        number: u64,
    },
    /// The serial number is the supervisor's own word: asked again it is the same wish.
    Out {
        unit: Unit,
        serial: u64,
        release: Option<u64>,
    },
    /// It came back as what it went out for, or as what it was before.
    Back {
        unit: Unit,
        done: bool,
    },
    /// The plan's text, with its length in bytes and its hash.
    Release {
        text: String,
        length: usize,
        hash: String,
    },
    /// The release under way turns back, or is left as it stands.
    Turn,
    Leave,
    Halt {
        why: String,
    },
    Resume,
    /// One voter makes way for another member.
    Voters {
        old: u16,
        new: u16,
    },
}

/// What was done, or why not.
pub type Answer = Result<Value, String>;

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Line {
    done: Option<Value>,
    fault: Option<String>,
}

/// Listens in a thread of its own. Guards against what a process before it has left at the path: only a
/// socket that nobody listens on any more is removed.
pub fn listen(path: &Path, asks: Asks) -> Result<(), String> {
    let told = |fault: std::io::Error| format!("fleet.socket: {}: {fault}", path.display());
    if UnixStream::connect(path).is_ok() {
        return Err(format!("fleet.socket: {}: another process listens on it", path.display()));
    }
    let is_socket = std::fs::symlink_metadata(path).is_ok_and(|file| {
        use std::os::unix::fs::FileTypeExt;
        file.file_type().is_socket()
    });
    if is_socket {
        std::fs::remove_file(path).map_err(told)?;
    }
    let listener = UnixListener::bind(path).map_err(told)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600)).map_err(told)?;
    let serve = move || {
        for stream in listener.incoming().flatten() {
            if let Err(fault) = answer(&stream, &asks) {
                log_line!("control", "{fault}");
            }
        }
    };
    thread::Builder::new().name("control".to_string()).spawn(serve).map_err(told)?;
    Ok(())
}

fn answer(mut stream: &UnixStream, asks: &Asks) -> Result<(), String> {
    let told = |fault: std::io::Error| fault.to_string();
    stream.set_read_timeout(Some(PATIENCE)).map_err(told)?;
    stream.set_write_timeout(Some(PATIENCE)).map_err(told)?;
    let mut line = String::new();
    BufReader::new(stream.take(LONGEST)).read_line(&mut line).map_err(told)?;
    let answer = match serde_json::from_str::<Request>(&line) {
        Err(fault) => Err(format!("not a request: {fault}")),
        Ok(request) => {
            let (reply, replied) = sync_channel(1);
            asks.send((request, reply)).map_err(|_| "the fleet's thread has ended".to_string())?;
            replied.recv_timeout(PATIENCE).unwrap_or_else(|_| Err("no answer in time".to_string()))
        }
    };
    let line = match answer {
        Ok(done) => Line { done: Some(done), fault: None },
        Err(fault) => Line { done: None, fault: Some(fault) },
    };
    let text = serde_json::to_string(&line).map_err(|fault| fault.to_string())?;
    stream.write_all((text + "\n").as_bytes()).map_err(told)
}

/// Asks the process that listens at the path.
pub fn ask(path: &Path, request: &Request) -> Result<Answer, String> {
    let told = |fault: std::io::Error| format!("{}: {fault}", path.display());
    let mut stream = UnixStream::connect(path).map_err(told)?;
    stream.set_read_timeout(Some(2 * PATIENCE)).map_err(told)?;
    let text = serde_json::to_string(request).map_err(|fault| fault.to_string())?;
    stream.write_all((text + "\n").as_bytes()).map_err(told)?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).map_err(told)?;
    let line: Line = serde_json::from_str(&line).map_err(|fault| format!("{}: {fault}", path.display()))?;
    Ok(line.done.ok_or(line.fault.unwrap_or_default()))
}
