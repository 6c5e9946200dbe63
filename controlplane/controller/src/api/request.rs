//! Parsing of HTTP requests into calls.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, StatusCode};
use snafu::{ResultExt, Snafu};
use whinspindle_configuration::{Configuration, ConfigurationError, Heartbeat, HeartbeatError};

use super::Call;

/// The request header that holds the generation on which a new configuration is based.
pub const BASE_VERSION_HEADER: &str = "whinspindle-base-version";

const BEGIN_EVACUATION_PREFIX: &str = "/Evacuate.Begin/";
const FINISH_EVACUATION_PREFIX: &str = "/Evacuate.Finish/";
/// The query parameter that names the state for which the caller has confirmed a command.
const CONFIRM_PARAMETER: &str = "confirm";

/// The maximum length of an instance id.
const MAX_INSTANCE_ID_BYTES: usize = 128;
/// The maximum number of voters in one declaration of lost voters.
const MAX_DECLARED_VOTERS: usize = 16;

/// The parts of an HTTP request that a call is parsed from.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// The method.
    pub method: &'a Method,
    /// The path of the URI.
    pub path: &'a str,
    /// The query of the URI, empty without one.
    pub query: &'a str,
    /// The value of the header [`BASE_VERSION_HEADER`], if present.
    pub base_version: Option<&'a str>,
    /// The complete body; empty for paths without a body ([`has_body`]).
    pub body: Bytes,
}

/// An error for which a request is refused before its call is handled.
#[derive(Debug, Snafu)]
pub enum RequestError {
    /// The path does not exist.
    #[snafu(display("no such path"))]
    UnknownPath,
    /// The path does not support the method.
    #[snafu(display("this path takes another method"))]
    MethodNotAllowed,
    /// The header with the base generation is missing, repeated or not a number.
    #[snafu(display("the header Whinspindle-Base-Version must stand once and hold a whole number"))]
    InvalidBaseVersion,
    /// The configuration can't be parsed or is inconsistent.
    #[snafu(display("invalid configuration: {source}"))]
    InvalidConfiguration {
        /// The parse or validation error.
        source: ConfigurationError,
    },
    /// The heartbeat can't be parsed or is out of bounds.
    #[snafu(display("invalid heartbeat: {source}"))]
    InvalidHeartbeat {
        /// The parse or validation error.
        source: HeartbeatError,
    },
    /// The id of the instance is empty, too long or contains a slash.
    #[snafu(display("an instance id has 1 to {MAX_INSTANCE_ID_BYTES} bytes and no slash"))]
    InvalidInstanceId,
    /// An address is malformed, or the number of addresses is zero or too large.
    #[snafu(display("1 to {MAX_DECLARED_VOTERS} addresses like 10.1.0.2:7400, with commas between them"))]
    InvalidAddresses,
    /// The zone is not in the settings.
    #[snafu(display("no such zone"))]
    UnknownZone,
    /// The body is larger than the server accepts.
    #[snafu(display("the body is too large"))]
    BodyTooLarge,
    /// The body was incomplete or was received too slowly.
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
    /// The status of the response to the request.
    pub(super) fn status(&self) -> StatusCode {
        match self {
            RequestError::UnknownPath | RequestError::UnknownZone => StatusCode::NOT_FOUND,
            RequestError::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            RequestError::InvalidBaseVersion
            | RequestError::InvalidConfiguration { .. }
            | RequestError::InvalidHeartbeat { .. }
            | RequestError::InvalidAddresses
            | RequestError::InvalidInstanceId => StatusCode::BAD_REQUEST,
            // The command was not received. The status asks the caller to send it again.
            RequestError::UnreadableBody => StatusCode::REQUEST_TIMEOUT,
            RequestError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::Overloaded | RequestError::ShuttingDown => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Whether requests to this path have a body.
pub fn has_body(path: &str) -> bool {
    path == "/Config.Replace" || path.starts_with("/Instances.Heartbeat/")
}

/// Whether this path is the path of an operator command.
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
        Operation::BeginEvacuation => Ok(parse_evacuation(argument, true, request.query)),
        Operation::FinishEvacuation => Ok(parse_evacuation(argument, false, request.query)),
        Operation::Heartbeat => parse_heartbeat(argument, &request.body),
        Operation::Deregister => Ok(Call::Deregister { instance: parse_instance_id(argument)? }),
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
        (BEGIN_EVACUATION_PREFIX, Operation::BeginEvacuation),
        (FINISH_EVACUATION_PREFIX, Operation::FinishEvacuation),
        ("/Members.DeclareLost/", Operation::DeclareLost),
    ];
    prefixed
        .into_iter()
        .find_map(|(prefix, operation)| Some((operation, path.strip_prefix(prefix)?)))
        .ok_or(RequestError::UnknownPath)
}

fn check_method(operation: Operation, method: &Method) -> Result<(), RequestError> {
    let is_read = matches!(operation, Operation::Fetch | Operation::Resolve | Operation::Status);
    let expected = if is_read { Method::GET } else { Method::POST };
    if *method == expected { Ok(()) } else { Err(RequestError::MethodNotAllowed) }
}

fn parse_replace(request: &Request<'_>) -> Result<Call, RequestError> {
    let base = request.base_version.and_then(|value| value.trim().parse().ok());
    let base = base.ok_or(RequestError::InvalidBaseVersion)?;
    let configuration = Configuration::parse(&request.body).context(InvalidConfigurationSnafu)?;
    Ok(Call::Replace { base, generation: configuration.generation, body: request.body.clone() })
}

fn parse_evacuation(zone: &str, evacuated: bool, query: &str) -> Call {
    let confirmed_sequence = query_value(query, CONFIRM_PARAMETER).parse().ok();
    Call::Evacuate { zone: zone.to_owned(), evacuated, confirmed_sequence }
}

/// The path and query with which the caller of an evacuation command confirms it.
pub(super) fn evacuation_confirmation(zone: &str, evacuated: bool, sequence: u64) -> String {
    let prefix = if evacuated { BEGIN_EVACUATION_PREFIX } else { FINISH_EVACUATION_PREFIX };
    format!("{prefix}{zone}?{CONFIRM_PARAMETER}={sequence}")
}

fn parse_heartbeat(argument: &str, body: &[u8]) -> Result<Call, RequestError> {
    let instance = parse_instance_id(argument)?;
    let heartbeat = Heartbeat::parse(body).context(InvalidHeartbeatSnafu)?;
    Ok(Call::Heartbeat { instance, heartbeat })
}

fn parse_instance_id(argument: &str) -> Result<String, RequestError> {
    let is_valid = !argument.is_empty() && argument.len() <= MAX_INSTANCE_ID_BYTES && !argument.contains('/');
    if is_valid { Ok(argument.to_owned()) } else { Err(RequestError::InvalidInstanceId) }
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
    let lost =
        lost.ok().filter(|lost| lost.len() <= MAX_DECLARED_VOTERS).ok_or(RequestError::InvalidAddresses)?;
    Ok(Call::DeclareLost { lost, confirmed_view: query_value(query, CONFIRM_PARAMETER).parse().ok() })
}

fn query_value(query: &str, name: &str) -> String {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map_or_else(String::new, |(_, value)| value.to_owned())
}
