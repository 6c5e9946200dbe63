//! Commands on the replicated records, and their outcomes.
//!
//! A [`Command`] is encoded, submitted to the chain and evaluated at its head by [`CommandApplication`],
//! which answers with an [`Outcome`]. [`records`] defines the keys of the records and reads their values.
//!
//! Every command may be submitted more than once. A repeated configuration is recognized by the digest that
//! the history keeps for its generation. A departure only advances. An evacuation carries the sequence of the
//! zone's record on which its caller has based it. Applying it raises that sequence, so that delayed copies
//! of the command have no effect.

mod application;
pub mod records;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

pub use application::CommandApplication;

/// A command that is evaluated at the head of the chain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Replace the configuration by a new one, which has been validated.
    Replace {
        /// The generation on which the new configuration is based.
        base: u64,
        /// The generation of the new configuration.
        generation: u64,
        /// The configuration as received from the operator.
        body: Vec<u8>,
    },
    /// Read the newest configuration.
    Fetch,
    /// Begin or finish the evacuation of a zone.
    Evacuate {
        /// The zone.
        zone: String,
        /// True to begin the evacuation, false to finish it.
        evacuated: bool,
        /// The sequence of the zone's record on which the command is based, or 0 without a record. It
        /// prevents a delayed command from reverting a newer one.
        observed_sequence: u64,
    },
    /// Record the departure of an instance.
    Drain {
        /// The id of the instance.
        instance: String,
        /// The new stage of the departure.
        departure: Departure,
    },
}

/// The stage of an instance's departure. Stages only advance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Departure {
    /// The instance accepts no new requests.
    Draining,
    /// The instance has terminated.
    Deregistered,
}

/// The result of a command's evaluation at the head.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The command was applied, now or as an earlier copy. A newer command may have replaced its effect
    /// since.
    Applied,
    /// The current configuration is newer than the one on which the command is based. Since generations only
    /// increase, the command can never be applied.
    BaseMismatch {
        /// The generation of the current configuration.
        current: u64,
    },
    /// The generation is not greater than the base generation, so the command can never be applied.
    GenerationTooLow {
        /// The generation of the current configuration.
        current: u64,
    },
    /// The zone's record has changed since the command was submitted.
    Superseded {
        /// The current sequence of the record.
        sequence: u64,
    },
    /// The command could not be decoded.
    Unreadable,
    /// The configuration on which the command is based has not been applied yet. A later copy of the command
    /// may be applied.
    BaseNotInPlace {
        /// The generation of the current configuration.
        current: u64,
    },
    /// The generation is older than the history, so it is unknown whether this configuration was applied.
    HistoryExpired {
        /// The generation of the current configuration.
        current: u64,
    },
}

/// An error while encoding or decoding a command or an outcome.
#[derive(Debug, Snafu)]
pub enum CommandError {
    /// The encoding failed, or the bytes are not a valid encoding.
    #[snafu(display("malformed command: {source}"))]
    Malformed {
        /// The error of the codec.
        source: postcard::Error,
    },
}

/// The header of an encoded command. The body of a configuration follows it unencoded.
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
        let (header, body) = match self {
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
        let mut command = postcard::to_stdvec(&header).context(MalformedSnafu)?;
        command.extend_from_slice(&body);
        Ok(command)
    }

    /// Decodes a command.
    pub fn decode(command: &[u8]) -> Result<Command, CommandError> {
        let (header, body) = postcard::take_from_bytes(command).context(MalformedSnafu)?;
        Ok(match header {
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
