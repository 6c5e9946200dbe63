//! The process around the state machine: sockets, disk, clock and signals of a tokio runtime with one thread.

mod clock;
mod disk;
mod http_server;
mod links;
mod listen;
mod node;
mod outbox;
mod peers;
mod program;
mod relay;
mod reported;
mod shared_folder;

pub use disk::DiskError;
pub use listen::ListenError;
pub use program::{ControllerError, run};
pub use relay::run_directory;
