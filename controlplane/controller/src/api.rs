//! The HTTP API for operators, upstreams and clients. [`parse`] turns a request into a [`Call`], which is
//! answered with a [`Response`].

mod json;
mod request;
mod response;

use std::net::SocketAddr;

use bytes::Bytes;
use whinspindle_configuration::Heartbeat;

pub(crate) use json::push_json_string;
pub use request::{BASE_VERSION_HEADER, Request, RequestError, has_body, is_operator_command, parse};
pub use response::Response;

/// A parsed call. It has been validated as far as that is possible without the controller's state.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// An operator replaces the configuration.
    Replace {
        /// The generation on which the new configuration is based.
        base: u64,
        /// The generation of the new configuration.
        generation: u64,
        /// The configuration as received.
        body: Bytes,
    },
    /// An operator reads the newest configuration.
    Fetch,
    /// An operator begins or finishes the evacuation of a zone.
    Evacuate {
        /// The zone.
        zone: String,
        /// True to begin the evacuation, false to finish it.
        evacuated: bool,
        /// The sequence of the zone's record for which the caller has confirmed the command; none in the
        /// first request.
        confirmed_sequence: Option<u64>,
    },
    /// An upstream sends its heartbeat.
    Heartbeat {
        /// The id of the instance.
        instance: String,
        /// The reported state of the instance.
        heartbeat: Heartbeat,
    },
    /// An upstream deregisters because it terminates.
    Deregister {
        /// The id of the instance.
        instance: String,
    },
    /// A client asks for the addresses of balancers.
    Resolve {
        /// The host to which the client sends requests.
        host: String,
        /// The client's region.
        region: String,
        /// The client's zone.
        zone: String,
    },
    /// An operator reads the status of this controller.
    Status,
    /// An operator declares voters permanently lost, because the remaining ones cannot form a quorum without
    /// them.
    DeclareLost {
        /// The internal addresses of the lost voters.
        lost: Vec<SocketAddr>,
        /// The view for which the operator has confirmed the consequences; none in the first request.
        confirmed_view: Option<u64>,
    },
}

impl Call {
    /// The description of an operator command for the log; none for other calls.
    pub fn command_description(&self) -> Option<String> {
        match self {
            Call::Replace { base, generation, .. } => Some(format!("configuration {generation} on {base}")),
            Call::Evacuate { zone, evacuated: true, .. } => Some(format!("evacuation of {zone}")),
            Call::Evacuate { zone, evacuated: false, .. } => Some(format!("end of the evacuation of {zone}")),
            Call::DeclareLost { lost, confirmed_view } => {
                let confirmed = confirmed_view.map(|view| format!(", confirmed for view {view}"));
                Some(format!("declaration that {lost:?} are lost{}", confirmed.unwrap_or_default()))
            }
            _ => None,
        }
    }
}
