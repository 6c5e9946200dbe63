//! Operator commands, and what they do to the replicated records.
//!
//! A [`Command`] is encoded, submitted to the chain and evaluated at its head by [`CommandApplication`]; its answer is an
//! [`Outcome`]. [`records`] names the records and reads them.
//!
//! Every command may be sent more than once. A repeated configuration is recognized by the digest that the history keeps
//! for its generation. A departure only ever moves forward. An evacuation names the sequence of the zone's record that its
//! controller observed, and raises that sequence, which voids all copies that are still on their way.

mod application;
pub mod records;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

pub use application::CommandApplication;

/// A command on its way to the head of the chain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Put a configuration in place; it has been validated.
    Replace {
        /// The generation that it builds on.
        base: u64,
        /// Its own generation.
        generation: u64,
        /// The configuration as its operator sent it.
        body: Vec<u8>,
    },
    /// Read the newest configuration.
    Fetch,
    /// Begin or finish the evacuation of a zone.
    Evacuate {
        /// The zone.
        zone: String,
        /// Whether the evacuation begins.
        evacuated: bool,
        /// The sequence of the zone's record when the command was submitted, 0 without one: a delayed command doesn't undo
        /// a newer one.
        observed_sequence: u64,
    },
    /// Record the departure of an instance.
    Drain {
        /// The id of the instance.
        instance: String,
        /// How far it has departed.
        departure: Departure,
    },
}

/// The departure of an instance; it only ever moves forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Departure {
    /// The instance takes no new requests.
    Draining,
    /// The instance has ended.
    Deregistered,
}

/// The result of a command's evaluation at the head.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It has been applied, by this command or by an equal one before; a newer one may have replaced it since.
    Applied,
    /// A later configuration is in place than the one that the command builds on. Since generations rise, the command can
    /// never be applied.
    BaseMismatch {
        /// The generation in place.
        current: u64,
    },
    /// The generation is not above the one that the command builds on, so the command can never be applied.
    GenerationTooLow {
        /// The generation in place.
        current: u64,
    },
    /// The zone's record has changed since the command was submitted.
    Superseded {
        /// The present sequence of the record.
        sequence: u64,
    },
    /// The command could not be read.
    Unreadable,
    /// The configuration that the command builds on is not in place yet. A later copy of the command may be applied.
    BaseNotInPlace {
        /// The generation in place.
        current: u64,
    },
    /// The generation is older than the history: it is not known any more whether this configuration was applied.
    HistoryExpired {
        /// The generation in place.
        current: u64,
    },
}

/// A command or an outcome that can't be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum CommandError {
    /// The encoding failed, or the bytes are not one.
    #[snafu(display("malformed command: {source}"))]
    Malformed {
        /// What the codec reports.
        source: postcard::Error,
    },
}

/// The fixed part of an encoded command; the body of a configuration follows it as it is.
#[derive(Serialize, Deserialize)]
enum CommandHeader {
    Replace { base: u64, generation: u64 },
    Fetch,
    Evacuate { zone: String, evacuated: bool, observed_sequence: u64 },
    Drain { instance: String, departure: Departure },
}

impl Command {
    /// Encodes the command for the chain.
    pub fn encode(self) -> Result<Vec<u8>, CommandError> {
        let (head, body) = match self {
            Command::Replace { base, generation, body } => {
                (CommandHeader::Replace { base, generation }, body)
            }
            Command::Fetch => (CommandHeader::Fetch, Vec::new()),
            Command::Evacuate { zone, evacuated, observed_sequence } => {
                (CommandHeader::Evacuate { zone, evacuated, observed_sequence }, Vec::new())
            }
            Command::Drain { instance, departure } => {
                (CommandHeader::Drain { instance, departure }, Vec::new())
            }
        };
        let mut command = postcard::to_stdvec(&head).context(MalformedSnafu)?;
        command.extend_from_slice(&body);
        Ok(command)
    }

    /// Decodes a command.
    pub fn decode(command: &[u8]) -> Result<Command, CommandError> {
        let (head, body) = postcard::take_from_bytes(command).context(MalformedSnafu)?;
        Ok(match head {
            CommandHeader::Replace { base, generation } => {
                Command::Replace { base, generation, body: body.to_vec() }
            }
            CommandHeader::Fetch => Command::Fetch,
            CommandHeader::Evacuate { zone, evacuated, observed_sequence } => {
                Command::Evacuate { zone, evacuated, observed_sequence }
            }
            CommandHeader::Drain { instance, departure } => Command::Drain { instance, departure },
        })
    }
}

impl Outcome {
    fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes the answer to a command.
    pub fn decode(answer: &[u8]) -> Result<Outcome, CommandError> {
        postcard::from_bytes(answer).context(MalformedSnafu)
    }
}
