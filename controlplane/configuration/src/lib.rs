//! The operator's configuration and the settings of a process: read from JSON, checked, and looked up.

#![allow(missing_docs, reason = "not every public item is documented yet")]

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
