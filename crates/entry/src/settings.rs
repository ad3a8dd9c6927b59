//! Settings file of an entry instance.

use std::net::SocketAddr;

use chestnutvalve_model::id::{Entry, Zone};
use chestnutvalve_telemetry::log::Threshold;
use serde::Deserialize;

/// Bandwidth of a link without a setting, in megabits a second.
pub const DEFAULT_LINK_MBPS: u32 = 1_000;

fn default_link_mbps() -> u32 {
    DEFAULT_LINK_MBPS
}

/// Addresses under which others reach the instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Advertise {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for callers whose requests are routed by host and path.
    #[serde(default)]
    pub gateway: Option<SocketAddr>,
    /// Address for workers and operators.
    pub platform: SocketAddr,
    /// Address of the internal protocol.
    pub peers: SocketAddr,
}

/// Settings of one entry instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance.
    pub entry: Entry,
    /// Availability zone of the instance.
    pub zone: Zone,
    /// Listening address for callers.
    pub callers: SocketAddr,
    /// Listening address for callers whose requests are routed by host and path.
    #[serde(default)]
    pub gateway: Option<SocketAddr>,
    /// Listening address for workers and operators.
    pub platform: SocketAddr,
    /// Listening address of the internal protocol.
    pub peers: SocketAddr,
    /// Addresses that others use, when they differ from the listening addresses.
    #[serde(default)]
    pub advertise: Option<Advertise>,
    /// Internal addresses of control instances.
    pub control: Vec<SocketAddr>,
    /// Internal addresses of entry instances from which the state is fetched while no control instance is reachable.
    #[serde(default)]
    pub peers_hint: Vec<SocketAddr>,
    /// Bandwidth of the instance's link, in megabits a second.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: u32,
    /// Level below which log messages are dropped.
    #[serde(default)]
    pub log: Threshold,
}

/// A combination of settings that can't work.
#[derive(Debug, thiserror::Error)]
#[error("field {field}: {cause}")]
pub struct Invalid {
    field: &'static str,
    cause: &'static str,
}

impl Settings {
    /// Checks what the types of the fields don't.
    ///
    /// # Errors
    ///
    /// Returns the first wrong field.
    pub fn check(&self) -> Result<(), Invalid> {
        if self.control.is_empty() {
            return Err(Invalid {
                field: "control",
                cause: "at least one control address is needed",
            });
        }
        let unreachable = |a: &SocketAddr| a.ip().is_unspecified();
        let listening = [self.callers, self.platform, self.peers];
        if self.advertise.is_none() && listening.iter().any(unreachable) {
            return Err(Invalid {
                field: "advertise",
                cause: "needed when a listening address is a wildcard",
            });
        }
        Ok(())
    }
}
