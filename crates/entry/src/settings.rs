//! Settings file of an entry instance.

use std::net::SocketAddr;

use chestnutvalve_model::id::{Entry, Zone};
use chestnutvalve_telemetry::log::Threshold;
use serde::Deserialize;

/// Default of `link_mbps`, in megabits per second.
pub const DEFAULT_LINK_MBPS: u32 = 1_000;

fn default_link_mbps() -> u32 {
    DEFAULT_LINK_MBPS
}

/// Default of `apply_limit_ms`.
pub const DEFAULT_APPLY_LIMIT_MS: u32 = 5_000;
/// Minimum of `apply_limit_ms`. A connection counts as silent after half of it without an answer to a ping, which must be
/// more than the round trip on a slow link.
pub const MIN_APPLY_LIMIT_MS: u32 = 1_000;

/// Minimum of `memory_mb`. An entry without load takes 5 to 8 MB.
pub const MIN_MEMORY_MB: u32 = 16;

fn default_apply_limit_ms() -> u32 {
    DEFAULT_APPLY_LIMIT_MS
}

/// Addresses at which other processes reach the instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Advertise {
    /// Address of the callers' interface.
    pub callers: SocketAddr,
    /// Address of the gateway, which routes requests by host and path.
    #[serde(default)]
    pub gateway: Option<SocketAddr>,
    /// Address of the interface for workers and operators.
    pub platform: SocketAddr,
    /// Address of the protocol between instances.
    pub peers: SocketAddr,
}

/// Settings of one entry instance, read from its settings file.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, unique in the fleet.
    pub entry: Entry,
    /// Availability zone in which the instance runs.
    pub zone: Zone,
    /// Listening address of the callers' interface.
    pub callers: SocketAddr,
    /// Listening address of the gateway, which routes requests by host and path; without it there is no gateway.
    #[serde(default)]
    pub gateway: Option<SocketAddr>,
    /// Listening address of the interface for workers and operators.
    pub platform: SocketAddr,
    /// Listening address of the protocol between instances.
    pub peers: SocketAddr,
    /// Addresses to advertise, if they differ from the listening addresses.
    #[serde(default)]
    pub advertise: Option<Advertise>,
    /// Internal addresses of the control instances; at least one.
    pub control: Vec<SocketAddr>,
    /// Internal addresses of entries from which the state is fetched at startup while no control instance is reachable.
    #[serde(default)]
    pub peers_hint: Vec<SocketAddr>,
    /// Bandwidth of the instance's network link, in megabits per second.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: u32,
    /// Memory limit of the process, in megabytes; a quarter of it may be held for the callers of the gateway. No limit if
    /// absent.
    #[serde(default)]
    pub memory_mb: Option<u32>,
    /// Time within which an accepted change must be in force, in milliseconds; at least 1,000. Connections to control
    /// instances that go silent are replaced within three quarters of it.
    #[serde(default = "default_apply_limit_ms")]
    pub apply_limit_ms: u32,
    /// Minimum level of messages that are logged.
    #[serde(default)]
    pub log: Threshold,
}

/// An invalid setting.
#[derive(Debug, thiserror::Error)]
#[error("field {field}: {cause}")]
pub struct Invalid {
    field: &'static str,
    cause: &'static str,
}

impl Settings {
    /// Validates the constraints that the types of the fields don't enforce.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field.
    pub fn check(&self) -> Result<(), Invalid> {
        if self.control.is_empty() {
            return Err(Invalid {
                field: "control",
                cause: "expected at least one control address, found none",
            });
        }
        if self.apply_limit_ms < MIN_APPLY_LIMIT_MS {
            return Err(Invalid {
                field: "apply_limit_ms",
                cause: "expected at least 1000",
            });
        }
        if self.memory_mb.is_some_and(|limit| limit < MIN_MEMORY_MB) {
            return Err(Invalid {
                field: "memory_mb",
                cause: "expected at least 16",
            });
        }
        let unreachable = |a: &SocketAddr| a.ip().is_unspecified();
        let listening = [self.callers, self.platform, self.peers];
        if self.advertise.is_none() && listening.iter().any(unreachable) {
            return Err(Invalid {
                field: "advertise",
                cause: "expected addresses to advertise, because a listening address is a wildcard",
            });
        }
        Ok(())
    }
}
