//! Fleet of control, entry and worker processes on the loopback network, for tests and measurements.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde_json::{Value, json};
use tempfile::TempDir;

use crate::Error;
use crate::client::Http;
use crate::forward::Forwarder;

pub mod layout;
pub mod node;
pub mod operator;
pub mod port;
pub mod process;
pub mod wait;

pub use layout::{Layout, Service};
pub use node::{Control, Entry, Worker};
pub use process::Process;
pub use wait::until;

/// Timeout for the start of a whole fleet on a busy machine.
pub const READY_TIMEOUT: Duration = Duration::from_mins(1);
/// Lets the operating system choose the port of a forwarder. The forwarder stays bound to it, so the port can't be taken in
/// between.
const EPHEMERAL_LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// Bearer token of the operators' interface in every fleet that this module starts.
pub const TOKEN: &str = "token-of-the-measured-fleet";

/// Paths of the programs.
#[derive(Clone, Debug)]
pub struct Programs {
    /// `chestnutvalve-control`.
    pub control: PathBuf,
    /// `chestnutvalve-entry`.
    pub entry: PathBuf,
    /// `chestnutvalve-bench`, whose `worker` subcommand runs the workers.
    pub bench: PathBuf,
}

impl Programs {
    /// Returns the programs in the folder of the running executable.
    ///
    /// # Errors
    ///
    /// Returns an error if the path of the running executable can't be determined.
    pub fn beside_current_exe() -> Result<Self, Error> {
        let this =
            std::env::current_exe().map_err(Error::io("reading the path of this executable"))?;
        Ok(Self::beside(&this))
    }

    /// Returns the programs in the folder of `program`.
    #[must_use]
    pub fn beside(program: &Path) -> Self {
        let folder = program.parent().unwrap_or(Path::new("."));
        Self {
            control: folder.join("chestnutvalve-control"),
            entry: folder.join("chestnutvalve-entry"),
            bench: folder.join("chestnutvalve-bench"),
        }
    }
}

/// Processes with their addresses. Dropping the fleet kills the processes and removes its folder, unless
/// [`Fleet::keep_folder`] was called.
#[derive(Debug)]
pub struct Fleet {
    /// Control instances, in the order of their names.
    pub controls: Vec<Control>,
    /// Entry instances, in the order of their names.
    pub entries: Vec<Entry>,
    /// Workers of all services, in the order of the layout.
    pub workers: Vec<Worker>,
    /// Forwarders by link name. Empty if the layout has no links.
    pub links: BTreeMap<String, Forwarder>,
    /// Client for requests to the processes.
    pub http: Http,
    pub(crate) layout: Layout,
    folder: TempDir,
}

impl Fleet {
    /// Writes the settings, starts all processes and waits until every entry serves every service.
    ///
    /// # Errors
    ///
    /// Returns an error when a process can't be started or the fleet is not ready in time.
    pub async fn start(programs: &Programs, layout: Layout) -> Result<Self, Error> {
        let mut fleet = Self::prepare(programs, layout).await?;
        fleet.launch().await?;
        Ok(fleet)
    }

    /// Starts all control and entry instances. Kills their earlier processes first.
    ///
    /// # Errors
    ///
    /// Returns an error when a process can't be started.
    pub fn start_all(&mut self) -> Result<(), Error> {
        for control in &mut self.controls {
            control.start()?;
        }
        for entry in &mut self.entries {
            entry.start()?;
        }
        Ok(())
    }

    /// Kills all control and entry instances with SIGKILL.
    pub fn kill_all(&self) {
        for control in &self.controls {
            control.kill();
        }
        for entry in &self.entries {
            entry.kill();
        }
    }

    /// Starts all processes and waits until every entry serves every service.
    ///
    /// # Errors
    ///
    /// Returns an error when a process can't be started or the fleet is not ready in time.
    pub async fn launch(&mut self) -> Result<(), Error> {
        self.start_all()?;
        self.apply_initial_edits().await?;
        for worker in &mut self.workers {
            worker.start()?;
        }
        self.wait_ready().await
    }

    /// Reserves the addresses, starts the forwarders and writes the settings, without starting a process.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be written, no port is free or a forwarder can't be started.
    pub async fn prepare(programs: &Programs, layout: Layout) -> Result<Self, Error> {
        let folder = tempfile::Builder::new().prefix("chestnutvalve-").tempdir();
        let folder = folder.map_err(Error::io("creating the fleet's folder"))?;
        let mut fleet = Self {
            controls: Vec::new(),
            entries: Vec::new(),
            workers: Vec::new(),
            links: BTreeMap::new(),
            http: Http::new(),
            layout,
            folder,
        };
        let token = fleet.folder.path().join("token");
        std::fs::write(&token, TOKEN).map_err(Error::io("writing the token"))?;
        fleet.add_controls(programs, &token).await?;
        fleet.add_entries(programs).await?;
        fleet.add_workers(programs).await?;
        Ok(fleet)
    }

    /// Sets whether the folder with settings, data and logs is kept when the fleet is dropped.
    pub fn keep_folder(&mut self, keep: bool) {
        self.folder.disable_cleanup(keep);
    }

    /// Returns the folder with settings, data and logs.
    #[must_use]
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    async fn add_controls(&mut self, programs: &Programs, token: &Path) -> Result<(), Error> {
        let count = self.layout.controls;
        let peers: Vec<_> = (0..count).map(|_| port::free()).collect::<Result<_, _>>()?;
        for number in 0..count {
            let name = format!("c{}", number + 1);
            let mut members = Vec::new();
            for (peer, address) in peers.iter().enumerate() {
                let peer_name = format!("c{}", peer + 1);
                let reachable = if self.layout.links && peer_name != name {
                    self.add_link(&format!("{name}-{peer_name}"), *address)
                        .await?
                } else {
                    *address
                };
                members.push(json!({"control": peer_name, "peers": reachable}));
            }
            let listen = peers[number];
            let settings = json!({
                "control": name, "zone": self.layout.zone(number), "peers": listen,
                "operators": port::free()?, "data": self.folder.path().join(&name),
                "token_file": token, "members": members, "log": self.layout.log,
            });
            let node = Control::new(&programs.control, self.folder.path(), &settings)?;
            self.controls.push(node);
        }
        Ok(())
    }

    async fn add_entries(&mut self, programs: &Programs) -> Result<(), Error> {
        let (mut listen_addresses, mut reachable) = (Vec::new(), Vec::new());
        for number in 0..self.layout.entries {
            let address = port::free()?;
            listen_addresses.push(address);
            reachable.push(if self.layout.links {
                self.add_link(&format!("e{}-peers", number + 1), address)
                    .await?
            } else {
                address
            });
        }
        for (number, peers) in listen_addresses.into_iter().enumerate() {
            self.add_entry(programs, number, peers, &reachable).await?;
        }
        Ok(())
    }

    /// Adds the entry that listens on `peers`. `reachable` lists the addresses at which entries reach each other, which are
    /// those of forwarders if the layout has links.
    async fn add_entry(
        &mut self,
        programs: &Programs,
        number: usize,
        peers: SocketAddr,
        reachable: &[SocketAddr],
    ) -> Result<(), Error> {
        let name = format!("e{}", number + 1);
        let mut control = Vec::new();
        for node in 0..self.controls.len() {
            let (address, peer) = (self.controls[node].peers, self.controls[node].name.clone());
            let reachable = if self.layout.links {
                self.add_link(&format!("{name}-{peer}"), address).await?
            } else {
                address
            };
            control.push(reachable);
        }
        // Each entry prefers another control instance, as in a fleet where each zone lists its own first.
        let first = number % control.len().max(1);
        control.rotate_left(first);
        let (callers, platform) = (port::free()?, port::free()?);
        let mut settings = json!({
            "entry": name, "zone": self.layout.zone(number), "callers": callers,
            "platform": platform, "peers": peers, "control": control, "log": self.layout.log,
            "peers_hint": reachable.iter().enumerate().filter(|(n, _)| *n != number)
                .map(|(_, a)| a).take(8).collect::<Vec<_>>(),
        });
        if self.layout.gateway {
            settings["gateway"] = json!(port::free()?);
        }
        let mut reachable_platform = platform;
        if self.layout.links {
            reachable_platform = self.add_link(&format!("{name}-platform"), platform).await?;
            settings["advertise"] = json!({
                "callers": callers, "platform": reachable_platform, "peers": reachable[number],
                "gateway": settings["gateway"],
            });
        }
        let node = Entry::new(
            &programs.entry,
            self.folder.path(),
            &settings,
            reachable_platform,
        )?;
        self.entries.push(node);
        Ok(())
    }

    async fn add_workers(&mut self, programs: &Programs) -> Result<(), Error> {
        let seeds: Vec<_> = self.entries.iter().map(|e| e.advertised_platform).collect();
        for service in self.layout.services.clone() {
            for number in 0..service.workers {
                let name = format!("{}-{}", service.name, number + 1);
                let listen = port::free()?;
                let advertise = if self.layout.links {
                    Some(self.add_link(&name, listen).await?)
                } else {
                    None
                };
                let zone = self.layout.zone(number);
                let seed = number as u64 + 1;
                let mut arguments = service.arguments(&name, &zone, listen, seed);
                if let Some(advertise) = advertise {
                    arguments.extend(["--advertise".into(), advertise.to_string()]);
                }
                // Workers start at different entries, so that no single entry serves all announcements.
                for offset in 0..seeds.len().min(4) {
                    let seed = seeds[(number + offset) % seeds.len()];
                    arguments.extend(["--entry".into(), seed.to_string()]);
                }
                let node = Worker::new(
                    &programs.bench,
                    self.folder.path(),
                    &service.name,
                    &name,
                    listen,
                    arguments,
                );
                self.workers.push(node);
            }
        }
        Ok(())
    }

    async fn add_link(&mut self, name: &str, target: SocketAddr) -> Result<SocketAddr, Error> {
        let forwarder = Forwarder::start(EPHEMERAL_LOOPBACK, target).await?;
        let address = forwarder.address();
        self.links.insert(name.to_owned(), forwarder);
        Ok(address)
    }

    /// Returns the forwarder of a link.
    ///
    /// # Errors
    ///
    /// Returns an error if the layout has no such link.
    pub fn forwarder(&self, link: &str) -> Result<&Forwarder, Error> {
        let forwarder = self.links.get(link);
        forwarder.ok_or_else(|| Error::Invalid(format!("layout has no link {link:?}")))
    }

    /// Waits until every entry returns addresses for every service and its owners list all workers as usable.
    ///
    /// # Errors
    ///
    /// Returns an error when that takes too long.
    pub async fn wait_ready(&self) -> Result<(), Error> {
        for service in self.layout.services.clone() {
            self.wait_service_ready(&service.name, service.workers)
                .await?;
        }
        Ok(())
    }

    /// Waits until all running entries name owners of a service that list at least `workers` of its workers as usable.
    ///
    /// # Errors
    ///
    /// Returns an error when that takes too long.
    pub async fn wait_service_ready(&self, service: &str, workers: usize) -> Result<(), Error> {
        let condition = format!("service {service} ready with {workers} workers");
        until(&condition, READY_TIMEOUT, async || {
            for entry in self.entries.iter().filter(|e| e.is_running()) {
                let addresses = self.addresses(entry.callers, service).await?;
                let all_known = addresses
                    .iter()
                    .all(|a| self.entries.iter().any(|e| e.callers == *a));
                if addresses.is_empty() || !all_known {
                    return None;
                }
                for owner in self
                    .entries
                    .iter()
                    .filter(|e| addresses.contains(&e.callers))
                {
                    let status = self.entry_status(owner).await?;
                    if node::usable_workers(&status, service) < workers {
                        return None;
                    }
                }
            }
            Some(())
        })
        .await
    }

    /// Requests the addresses of a service from an entry. Returns `None` if it does not respond with addresses.
    pub async fn addresses(&self, entry: SocketAddr, service: &str) -> Option<Vec<SocketAddr>> {
        let path = format!("/_chestnutvalve/addresses?service={service}");
        let response = self.http.get(entry, &path, STATUS_TIMEOUT).await.ok()?;
        serde_json::from_value(response.json().get("addresses")?.clone()).ok()
    }

    /// Returns the addresses for callers of the service interface, of all entries.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|e| e.callers).collect()
    }

    /// Returns the addresses for requests that are routed by host and path, of the entries that have one.
    #[must_use]
    pub fn gateways(&self) -> Vec<SocketAddr> {
        self.entries.iter().filter_map(|e| e.gateway).collect()
    }

    /// Requests the status of an entry. Returns `None` if it does not respond with success.
    pub async fn entry_status(&self, entry: &Entry) -> Option<Value> {
        let response = self
            .http
            .get(entry.platform, "/v1/status", STATUS_TIMEOUT)
            .await;
        response
            .ok()
            .filter(|a| a.status.is_success())
            .map(|a| a.json())
    }

    /// Requests the status of a control instance. Returns `None` if it does not respond with success.
    pub async fn control_status(&self, control: &Control) -> Option<Value> {
        let response = self
            .http
            .get(control.operators, "/v1/status", STATUS_TIMEOUT)
            .await;
        response
            .ok()
            .filter(|a| a.status.is_success())
            .map(|a| a.json())
    }

    /// Sums the counts of all workers. Running workers are queried; the counts of exited ones are read from their output.
    ///
    /// # Errors
    ///
    /// Returns an error if a running worker does not respond.
    pub async fn counts(&self) -> Result<crate::worker::Counts, Error> {
        let mut total = crate::worker::Counts::default();
        for worker in &self.workers {
            total.merge(&worker.counts(&self.http).await?);
        }
        Ok(total)
    }
}
