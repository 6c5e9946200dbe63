//! The batch engine of a model upstream: requests share steps and memory, prompts are read in pieces between the
//! tokens of others, and parts of prompts that were read stay cached. A state machine on virtual time.

mod batch;
mod prefix_cache;
mod settings;
mod work;

pub use batch::{Engine, EngineLoad, Progress, Rejected};
pub use prefix_cache::{CachedPart, PartKey, PrefixCache, chain_of};
pub use settings::EngineSettings;
pub use work::{PromptPart, Work, WorkId};
