//! The HTTP interface of operators, upstreams and clients: parsing of requests into calls, and the responses.

use std::fmt::{self, Display, Formatter, Write};
use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, StatusCode};
use snafu::{ResultExt, Snafu};
use whinspindle_configuration::{Configuration, ConfigurationError, Heartbeat, HeartbeatError};

/// The header that names the generation on which a configuration builds.
pub const BASE_VERSION_HEADER: &str = "whinspindle-base-version";

/// A longer reason is truncated: it may quote what the caller has sent.
const MAX_REASON_BYTES: usize = 1024;
/// The longest id of an instance that is accepted.
const MAX_INSTANCE_ID_BYTES: usize = 128;
/// The most voters that are declared lost at once.
const MAX_DECLARED: usize = 16;

/// A call that was parsed, and validated as far as that is possible without the state.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// An operator puts a configuration in place.
    Replace {
        /// The generation that it builds on.
        base: u64,
        /// Its own generation.
        generation: u64,
        /// The configuration as it was sent.
        body: Bytes,
    },
    /// An operator reads the newest configuration.
    Fetch,
    /// An operator begins or finishes the evacuation of a zone.
    Evacuate {
        /// The zone.
        zone: String,
        /// Whether the evacuation begins.
        evacuated: bool,
    },
    /// An upstream sends its heartbeat.
    Heartbeat {
        /// The id of the instance.
        instance: String,
        /// What it reports.
        heartbeat: Heartbeat,
    },
    /// An upstream ends.
    Deregister {
        /// The id of the instance.
        instance: String,
    },
    /// A client asks for the addresses of balancers.
    Resolve {
        /// The host that it sends requests to.
        host: String,
        /// The client's region.
        region: String,
        /// The client's zone.
        zone: String,
    },
    /// An operator reads the status of this controller.
    Status,
    /// An operator answers for it that voters never come back, where the others can't decide without them.
    DeclareLost {
        /// Their addresses among the controllers.
        lost: Vec<SocketAddr>,
        /// The view whose consequences the operator has read and confirms; none at the first time of asking.
        confirmed_view: Option<u64>,
    },
}

impl Call {
    /// The description of an operator command for the log; none for other calls.
    pub fn command_description(&self) -> Option<String> {
        match self {
            Call::Replace { base, generation, .. } => Some(format!("configuration {generation} on {base}")),
            Call::Evacuate { zone, evacuated: true } => Some(format!("evacuation of {zone}")),
            Call::Evacuate { zone, evacuated: false } => Some(format!("end of the evacuation of {zone}")),
            Call::DeclareLost { lost, confirmed_view } => {
                let confirmed = confirmed_view.map(|view| format!(", confirmed for view {view}"));
                Some(format!("declaration that {lost:?} are lost{}", confirmed.unwrap_or_default()))
            }
            _ => None,
        }
    }
}

/// The parts of an HTTP request that a call is parsed from.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// The method.
    pub method: &'a Method,
    /// The path of the URI.
    pub path: &'a str,
    /// The query of the URI, empty without one.
    pub query: &'a str,
    /// The value of the header [`BASE_VERSION_HEADER`].
    pub base_version: Option<&'a str>,
    /// The whole body; empty where [`has_body`] doesn't hold.
    pub body: Bytes,
}

/// Why a request is refused before it reaches the state.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RequestError {
    /// There is no call of this path.
    #[snafu(display("no such path"))]
    UnknownPath,
    /// The path is called with another method.
    #[snafu(display("this path takes another method"))]
    MethodNotAllowed,
    /// The header with the base generation is missing, repeated or no number.
    #[snafu(display("the header Whinspindle-Base-Version must stand once and hold a whole number"))]
    InvalidBaseVersion,
    /// The configuration can't be parsed or is inconsistent.
    #[snafu(display("invalid configuration: {source}"))]
    InvalidConfiguration {
        /// What is wrong with it.
        source: ConfigurationError,
    },
    /// The heartbeat can't be parsed or is out of bounds.
    #[snafu(display("invalid heartbeat: {source}"))]
    InvalidHeartbeat {
        /// What is wrong with it.
        source: HeartbeatError,
    },
    /// The id of the instance is empty, too long or has a slash.
    #[snafu(display("an instance id has 1 to {MAX_INSTANCE_ID_BYTES} bytes and no slash"))]
    InvalidInstanceId,
    /// An address is none, or there are none or too many.
    #[snafu(display("1 to {MAX_DECLARED} addresses like 10.1.0.2:7400, with commas between them"))]
    InvalidAddresses,
    /// The settings name no such zone.
    #[snafu(display("no such zone"))]
    UnknownZone,
    /// The body is larger than the server accepts.
    #[snafu(display("the body is too large"))]
    BodyTooLarge,
    /// The body was broken off or came too slowly.
    #[snafu(display("the body could not be read"))]
    UnreadableBody,
    /// The server has too many bytes buffered.
    #[snafu(display("too many requests are under way"))]
    Overloaded,
    /// The controller is in graceful shutdown.
    #[snafu(display("the controller is stopping"))]
    ShuttingDown,
}

impl RequestError {
    fn status(&self) -> StatusCode {
        match self {
            RequestError::UnknownPath | RequestError::UnknownZone => StatusCode::NOT_FOUND,
            RequestError::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            RequestError::InvalidBaseVersion
            | RequestError::InvalidConfiguration { .. }
            | RequestError::InvalidHeartbeat { .. }
            | RequestError::InvalidAddresses
            | RequestError::InvalidInstanceId => StatusCode::BAD_REQUEST,
            // The command was not received: the caller is to send it again.
            RequestError::UnreadableBody => StatusCode::REQUEST_TIMEOUT,
            RequestError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::Overloaded | RequestError::ShuttingDown => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// The response to a call; its body is JSON.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status of the HTTP response.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
}

impl Response {
    /// 200 with a body.
    pub fn ok(body: Bytes) -> Response {
        Response { status: StatusCode::OK, body }
    }

    /// 200 with an empty object.
    pub fn accepted() -> Response {
        Response::ok(Bytes::from_static(b"{}"))
    }

    /// A failure with its reason.
    pub fn failure(status: StatusCode, reason: &str) -> Response {
        let mut body = String::from("{\"error\":");
        push_json_string(&mut body, &reason[..reason.floor_char_boundary(MAX_REASON_BYTES)]);
        body.push('}');
        Response { status, body: Bytes::from(body) }
    }

    /// 503: the outcome is unknown, or there is no quorum now. The caller retries at another controller.
    pub fn unavailable(reason: &str) -> Response {
        Response::failure(StatusCode::SERVICE_UNAVAILABLE, reason)
    }
}

/// For the log: the status, and the reason of a failure.
impl Display for Response {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        if self.status.is_success() {
            return write!(formatter, "{}", self.status);
        }
        write!(formatter, "{} {}", self.status, String::from_utf8_lossy(&self.body))
    }
}

impl From<RequestError> for Response {
    fn from(refusal: RequestError) -> Response {
        Response::failure(refusal.status(), &refusal.to_string())
    }
}

/// Whether requests of this path carry a body that has to be read.
pub fn has_body(path: &str) -> bool {
    path == "/Config.Replace" || path.starts_with("/Instances.Heartbeat/")
}

/// Whether this is the path of an operator command.
pub fn is_operator_command(path: &str) -> bool {
    path == "/Config.Replace" || path.starts_with("/Evacuate.") || path.starts_with("/Members.")
}

/// Parses a call and validates its arguments.
pub fn parse(request: &Request<'_>) -> Result<Call, RequestError> {
    let (operation, argument) = split_path(request.path)?;
    check_method(operation, request.method)?;
    match operation {
        Operation::Replace => parse_replace(request),
        Operation::Fetch => Ok(Call::Fetch),
        Operation::BeginEvacuation => Ok(Call::Evacuate { zone: argument.to_owned(), evacuated: true }),
        Operation::FinishEvacuation => Ok(Call::Evacuate { zone: argument.to_owned(), evacuated: false }),
        Operation::Heartbeat => parse_heartbeat(argument, &request.body),
        Operation::Deregister => Ok(Call::Deregister { instance: instance_id(argument)? }),
        Operation::Resolve => Ok(parse_resolve(request.query)),
        Operation::Status => Ok(Call::Status),
        Operation::DeclareLost => parse_declaration(argument, request.query),
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Operation {
    Replace,
    Fetch,
    BeginEvacuation,
    FinishEvacuation,
    Heartbeat,
    Deregister,
    Resolve,
    Status,
    DeclareLost,
}

fn split_path(path: &str) -> Result<(Operation, &str), RequestError> {
    let exact = match path {
        "/Config.Replace" => Some(Operation::Replace),
        "/Config.Fetch" => Some(Operation::Fetch),
        "/resolve" => Some(Operation::Resolve),
        "/status" => Some(Operation::Status),
        _ => None,
    };
    if let Some(operation) = exact {
        return Ok((operation, ""));
    }
    let prefixed = [
        ("/Instances.Heartbeat/", Operation::Heartbeat),
        ("/Instances.Deregister/", Operation::Deregister),
        ("/Evacuate.Begin/", Operation::BeginEvacuation),
        ("/Evacuate.Finish/", Operation::FinishEvacuation),
        ("/Members.DeclareLost/", Operation::DeclareLost),
    ];
    prefixed
        .into_iter()
        .find_map(|(prefix, operation)| Some((operation, path.strip_prefix(prefix)?)))
        .ok_or(RequestError::UnknownPath)
}

fn check_method(operation: Operation, method: &Method) -> Result<(), RequestError> {
    let reads = matches!(operation, Operation::Fetch | Operation::Resolve | Operation::Status);
    let expected = if reads { Method::GET } else { Method::POST };
    if *method == expected { Ok(()) } else { Err(RequestError::MethodNotAllowed) }
}

fn parse_replace(request: &Request<'_>) -> Result<Call, RequestError> {
    let base = request.base_version.and_then(|value| value.trim().parse().ok());
    let base = base.ok_or(RequestError::InvalidBaseVersion)?;
    let configuration = Configuration::parse(&request.body).context(InvalidConfigurationSnafu)?;
    Ok(Call::Replace { base, generation: configuration.generation, body: request.body.clone() })
}

fn parse_heartbeat(argument: &str, body: &[u8]) -> Result<Call, RequestError> {
    let instance = instance_id(argument)?;
    let heartbeat = Heartbeat::parse(body).context(InvalidHeartbeatSnafu)?;
    Ok(Call::Heartbeat { instance, heartbeat })
}

fn instance_id(argument: &str) -> Result<String, RequestError> {
    let proper = !argument.is_empty() && argument.len() <= MAX_INSTANCE_ID_BYTES && !argument.contains('/');
    if proper { Ok(argument.to_owned()) } else { Err(RequestError::InvalidInstanceId) }
}

fn parse_resolve(query: &str) -> Call {
    Call::Resolve {
        host: query_value(query, "name"),
        region: query_value(query, "region"),
        zone: query_value(query, "zone"),
    }
}

fn parse_declaration(argument: &str, query: &str) -> Result<Call, RequestError> {
    let lost: Result<Vec<SocketAddr>, _> = argument.split(',').map(str::parse).collect();
    let lost = lost.ok().filter(|lost| lost.len() <= MAX_DECLARED).ok_or(RequestError::InvalidAddresses)?;
    Ok(Call::DeclareLost { lost, confirmed_view: query_value(query, "confirm").parse().ok() })
}

fn query_value(query: &str, name: &str) -> String {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map_or_else(String::new, |(_, value)| value.to_owned())
}

/// Appends a JSON string with its quotes.
pub(crate) fn push_json_string(json: &mut String, text: &str) {
    json.push('"');
    for character in text.chars() {
        match character {
            '"' => json.push_str("\\\""),
            '\\' => json.push_str("\\\\"),
            control if control < ' ' => {
                let _ = write!(json, "\\u{:04x}", u32::from(control));
            }
            other => json.push(other),
        }
    }
    json.push('"');
}
