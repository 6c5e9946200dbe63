//! Where this balancer stands, as its configuration tells: addresses, limits, the list as it had it last, and
//! the deployment's settings. What is wrong there is named by its field.

use std::net::SocketAddr;
use std::path::Path;

use serde_json::Value;
use whinspindle_deployment_settings::Deployment;
use whinspindle_protocol::endpoints::EndpointUpdate;

pub struct Placement {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub limits: Limits,
    pub known: Option<EndpointUpdate>,
    pub deployment: Deployment,
    /// Where datagrams of other balancers arrive, and where each of them is; only a fleet needs them.
    pub peer_listen: Option<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    /// The fields that count from the start only, as they were read.
    pub lasting: Value,
}

/// What the process may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    pub memory_mb: u64,
    pub sockets: u64,
}

/// With less there would be nothing to share out.
const LEAST_MEMORY_MB: u64 = 8;
const LEAST_SOCKETS: u64 = 40;

/// Reads the file that `ROUTER_CONFIG` names.
pub fn read() -> Result<Placement, String> {
    let path = std::env::var("ROUTER_CONFIG").map_err(|_| "ROUTER_CONFIG: not set".to_string())?;
    read_file(Path::new(&path)).map_err(|fault| match fault {
        Fault::Unread(fault) => format!("ROUTER_CONFIG: {path}: {fault}"),
        Fault::Wrong(fault) => fault,
    })
}

/// Why a configuration can't be had.
pub enum Fault {
    Unread(std::io::Error),
    Wrong(String),
}

pub fn read_file(path: &Path) -> Result<Placement, Fault> {
    let text = std::fs::read(path).map_err(Fault::Unread)?;
    parse(&text).map_err(Fault::Wrong)
}

fn parse(text: &[u8]) -> Result<Placement, String> {
    let json: Value = serde_json::from_slice(text).map_err(|e| format!("not JSON: {e}"))?;
    let mut lasting = json.clone();
    for passing in ["discovery", "known", "seed"] {
        lasting.as_object_mut().map(|fields| fields.remove(passing));
    }
    let limits = &json["limits"];
    let known = match &json["known"] {
        Value::Null => None,
        known => {
            Some(EndpointUpdate::decode(known.to_string().as_bytes()).map_err(|e| format!("known: {e}"))?)
        }
    };
    let settings = json["settings"].to_string();
    // Without a fleet nobody asks for these, so that nothing is wrong about them.
    let peer = |value: &Value| value.as_str().and_then(|text| text.parse().ok());
    let peers: Option<Vec<SocketAddr>> =
        json["peers"].as_array().and_then(|peers| peers.iter().map(peer).collect());
    Ok(Placement {
        name: text_of(&json, "name")?.to_string(),
        listen: address(&json, "listen")?,
        discovery: address(&json, "discovery")?,
        seed: u64::from_str_radix(text_of(&json, "seed")?, 16).map_err(|e| format!("seed: {e}"))?,
        limits: Limits {
            memory_mb: at_least(limits, "memory_mb", LEAST_MEMORY_MB)?,
            sockets: at_least(limits, "sockets", LEAST_SOCKETS)?,
        },
        known,
        peer_listen: peer(&json["peer_listen"]),
        peers: peers.unwrap_or_default(),
        deployment: whinspindle_deployment_settings::parse(settings.as_bytes())
            .map_err(|e| format!("settings: {e}"))?,
        lasting,
    })
}

fn text_of<'a>(json: &'a Value, field: &str) -> Result<&'a str, String> {
    json[field].as_str().ok_or_else(|| format!("{field}: missing, or not a string"))
}

fn address(json: &Value, field: &str) -> Result<SocketAddr, String> {
    let text = text_of(json, field)?;
    text.parse().map_err(|_| format!("{field}: not an address and port: {text:?}"))
}

fn at_least(limits: &Value, field: &str, least: u64) -> Result<u64, String> {
    let value = limits[field].as_f64().ok_or_else(|| format!("limits.{field}: missing, or not a number"))?;
    if value < least as f64 {
        return Err(format!("limits.{field}: {value} is less than {least}"));
    }
    Ok(value as u64)
}
