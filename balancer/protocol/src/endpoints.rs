//! Updates of the endpoint list, complete or incremental.

use std::net::SocketAddr;

use serde::Deserialize;
use whinspindle::host::EndpointState;

/// An update of the endpoint list: the complete list, or its changes.
#[derive(Debug)]
pub struct EndpointUpdate {
    /// Generation of the list after this update.
    pub generation: u64,
    /// Whether this is the complete list; servers that it does not contain are gone.
    pub is_complete: bool,
    /// The servers in the update.
    pub servers: Vec<ListedServer>,
    /// Errors of the entries that were skipped.
    pub errors: Vec<String>,
}

/// A server in the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// Id of the server.
    pub name: String,
    /// Zone of the server.
    pub zone: String,
    /// Machine kind.
    pub kind: String,
    /// Cell of the server.
    pub cell: usize,
    /// Capacity relative to other servers.
    pub relative_capacity: f64,
    /// Unix time of the last start in microseconds; 0: long ago.
    pub started_at: u64,
    /// State in the endpoint list.
    pub state: EndpointState,
    /// The address that the server listens on; optional for gone servers.
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
    /// Decodes a JSON object. Invalid entries are skipped and reported in `errors`.
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
                Err(error) => update.errors.push(error),
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
