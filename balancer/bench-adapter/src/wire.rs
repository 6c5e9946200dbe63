//! The wire format of the bench: record codes, and a reader of little-endian fields whose errors name the
//! record and field.

use crate::error::AdapterError;

/// Codes of the records in a batch.
pub mod event_code {
    /// An instance starts.
    pub const ATTACH: u8 = 16;
    /// The endpoints of an instance change.
    pub const ENDPOINTS: u8 = 17;
    /// A query arrives.
    pub const QUERY: u8 = 18;
    /// An execution has started.
    pub const UNDER_WAY: u8 = 19;
    /// An execution has ended.
    pub const COMPLETED: u8 = 20;
    /// A client withdraws its query.
    pub const WITHDRAWN: u8 = 21;
    /// A timer fires.
    pub const FIRED: u8 = 22;
    /// A probe has ended.
    pub const PROBE_RESULT: u8 = 23;
    /// A message from another balancer.
    pub const HEARD: u8 = 24;
    /// An instance crashes.
    pub const CRASH_NOW: u8 = 25;
    /// An endpoint list, for later events.
    pub const LIST: u8 = 26;

    /// The name of a code in error messages; none if the code is unknown.
    pub fn name(code: u8) -> Option<&'static str> {
        Some(match code {
            ATTACH => "attach",
            ENDPOINTS => "endpoints",
            QUERY => "query",
            UNDER_WAY => "under_way",
            COMPLETED => "completed",
            WITHDRAWN => "withdrawn",
            FIRED => "fired",
            PROBE_RESULT => "probe_result",
            HEARD => "heard",
            CRASH_NOW => "crash_now",
            LIST => "list",
            _ => return None,
        })
    }
}

/// Codes of the records in a reply.
pub mod reply_code {
    /// Send an execution.
    pub const EXECUTE: u8 = 16;
    /// Start a timer.
    pub const WAKE: u8 = 18;
    /// Abort a query.
    pub const ABORT: u8 = 19;
    /// Reject a query.
    pub const REJECT: u8 = 22;
    /// Watch the endpoints.
    pub const FOLLOW_ENDPOINTS: u8 = 23;
    /// Send a probe.
    pub const PROBE: u8 = 24;
    /// Cancel an execution.
    pub const CANCEL: u8 = 25;
}

/// Forms of the event `endpoints`.
pub mod endpoints_form {
    /// The watch has failed; there is no list.
    pub const WATCH_FAILED: u8 = 1;
    /// Only the changed entries.
    pub const CHANGED: u8 = 3;
    /// A complete list; both forms mean the same to the decisions.
    pub const COMPLETE: [u8; 2] = [0, 4];
}

/// Reads the fields of one record in their order.
pub struct Reader<'a> {
    record: &'static str,
    remaining: &'a [u8],
}

macro_rules! number {
    ($name:ident) => {
        #[doc = concat!("Reads a little-endian `", stringify!($name), "`.")]
        pub fn $name(&mut self, field: &str) -> Result<$name, AdapterError> {
            let bytes = self.bytes(field, size_of::<$name>())?;
            Ok($name::from_le_bytes(bytes.try_into().map_err(|_| self.truncated(field))?))
        }
    };
}

impl<'a> Reader<'a> {
    /// Creates a reader for the bytes of a record. The record name appears in errors.
    pub fn new(record: &'static str, remaining: &'a [u8]) -> Self {
        Reader { record, remaining }
    }

    number!(u8);
    number!(u16);
    number!(u32);
    number!(u64);
    number!(f32);

    /// Reads `size` bytes.
    pub fn bytes(&mut self, field: &str, size: usize) -> Result<&'a [u8], AdapterError> {
        let (bytes, remaining) =
            self.remaining.split_at_checked(size).ok_or_else(|| self.truncated(field))?;
        self.remaining = remaining;
        Ok(bytes)
    }

    /// Reads the address and port of an upstream, in the bytes of the wire.
    pub fn upstream(&mut self) -> Result<[u8; 6], AdapterError> {
        self.bytes("upstream", 6)?.try_into().map_err(|_| self.truncated("upstream"))
    }

    /// Fails if bytes are left after the last field.
    pub fn expect_end(&self) -> Result<(), AdapterError> {
        if self.remaining.is_empty() {
            return Ok(());
        }
        Err(AdapterError::TrailingBytes { record: self.record, count: self.remaining.len() })
    }

    fn truncated(&self, field: &str) -> AdapterError {
        AdapterError::Truncated { record: self.record, field: field.to_string() }
    }
}
