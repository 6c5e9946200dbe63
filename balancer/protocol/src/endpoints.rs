//! The list of servers: a whole one, or what has changed in it.

use std::net::SocketAddr;

use serde::Deserialize;
use whinspindle::host::EndpointState;

/// One update of the endpoint list: all of it, or what has changed.
#[derive(Debug)]
pub struct EndpointUpdate {
    /// Discovery's count of changes, up to this one.
    pub generation: u64,
    /// The complete list: whatever it lacks is gone.
    pub is_complete: bool,
    /// The servers that it names.
    pub servers: Vec<ListedServer>,
    /// Why entries were passed over.
    pub errors: Vec<String>,
}

/// A server as discovery lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// Its id.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its kind of machine.
    pub kind: String,
    /// Its cell.
    pub cell: usize,
    /// Its capacity against others.
    pub relative_capacity: f64,
    /// Unix time of the last start in microseconds; 0: long ago.
    pub started_at: u64,
    /// Whether it may be sent to.
    pub state: EndpointState,
    /// Where it listens; one that is gone need not tell.
    pub address: Option<SocketAddr>,
}

#[derive(Deserialize)]
struct WireUpdate {
    generation: u64,
    #[serde(default)]
    reset: bool,
    instances: Vec<serde_json::Value>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance {
    instance_id: String,
    #[serde(default)]
    host_port: Option<String>,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    machine_type: String,
    #[serde(default)]
    cell: usize,
    lifecycle: String,
    #[serde(default)]
    weight: Option<f64>,
    #[serde(default)]
    started_at_ms: u64,
}

impl EndpointUpdate {
    /// One JSON object; an entry that can't be read is passed over, the others count.
    pub fn decode(json: &[u8]) -> Result<EndpointUpdate, String> {
        let wire: WireUpdate = serde_json::from_slice(json).map_err(|e| e.to_string())?;
        let mut update = EndpointUpdate {
            generation: wire.generation,
            is_complete: wire.reset,
            servers: Vec::with_capacity(wire.instances.len()),
            errors: Vec::new(),
        };
        for instance in wire.instances {
            match listed_server(instance) {
                Ok(server) => update.servers.push(server),
                Err(fault) => update.errors.push(fault),
            }
        }
        Ok(update)
    }
}

fn listed_server(json: serde_json::Value) -> Result<ListedServer, String> {
    let instance = Instance::deserialize(json).map_err(|e| e.to_string())?;
    let name = instance.instance_id;
    let state = match instance.lifecycle.as_str() {
        "ready" => EndpointState::Ready,
        "draining" => EndpointState::Draining,
        "gone" => EndpointState::Gone,
        other => return Err(format!("{name}: lifecycle: unknown: {other:?}")),
    };
    let address = instance.host_port.as_deref().and_then(|address| address.parse().ok());
    if address.is_none() && state != EndpointState::Gone {
        return Err(format!("{name}: hostPort: no address and port"));
    }
    Ok(ListedServer {
        name,
        zone: instance.zone,
        kind: instance.machine_type,
        cell: instance.cell,
        relative_capacity: instance.weight.filter(|size| size.is_finite() && *size > 0.0).unwrap_or(1.0),
        started_at: instance.started_at_ms.saturating_mul(1000),
        state,
        address,
    })
}
