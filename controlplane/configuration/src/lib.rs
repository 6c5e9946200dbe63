//! Parses and validates the JSON documents of the system: the operator's configuration, the settings of a
//! process, and the heartbeats of upstreams.
//!
//! ```
//! use whinspindle_configuration::Configuration;
//!
//! let json = br#"{
//!     "generation": 7,
//!     "services": [{"name": "search"}],
//!     "routes": [{"host": "example.com", "path_prefix": "/", "kind": "safe", "timeout_ms": 500, "backend": "search"}]
//! }"#;
//! let configuration = Configuration::parse(json).expect("it is valid");
//! assert_eq!(configuration.find_route("example.com:8080", "/query"), Some(0));
//! ```

mod configuration;
mod heartbeat;
mod host_regions;
mod json;
mod mechanism;
mod number;
mod raw_configuration;
mod raw_settings;
mod settings;

pub use configuration::{
    Backend, Configuration, ConfigurationError, Engine, Limits, Route, RouteKind, Service,
};
pub use heartbeat::{Heartbeat, HeartbeatError, InstanceState};
pub use host_regions::{HostRegions, ServingRegions};
pub use json::JsonError;
pub use mechanism::{Mechanism, Mechanisms, UnknownMechanism};
pub use settings::{Bounds, Listen, MachineLimits, Settings, SettingsError, SettingsFault, Tolerance};
