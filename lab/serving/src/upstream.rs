//! Stand-in upstreams: model upstreams with a batch engine, and lookup upstreams with a few places.

mod announcer;
mod answer;
mod engine_host;
mod instance;
mod lookups;
mod model;
mod server;

pub use instance::{Upstream, UpstreamSpec};
pub use server::{ListenError, RunningUpstream};
