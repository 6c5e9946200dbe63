//! The process around the state machine: sockets, disk, clock and signals on a single-threaded tokio runtime.
//!
//! [`run`] is the controller process. [`run_directory`] is a relay that forwards clients to a controller.
//! [`node`] owns the state machine and performs its actions. Each other module owns one resource.

mod clock;
mod directory_relay;
mod disk;
mod http_server;
mod inbound;
mod listen;
mod node;
mod peer_links;
mod prefixed_directory;
mod process;
mod send_queue;
mod stable_value;

pub use directory_relay::run_directory;
pub use disk::DiskError;
pub use listen::ListenError;
pub use process::{ControllerError, run};
