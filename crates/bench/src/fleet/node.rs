//! Control instances, entry instances and workers of a fleet, which can be restarted with the same settings.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde_json::Value;

use super::Process;
use crate::Error;
use crate::client::Http;
use crate::worker::{Counts, Fault};

const WORKER_TIMEOUT: Duration = Duration::from_secs(5);

/// State common to all kinds of processes: the program, its arguments and the process once it was started.
#[derive(Debug)]
struct Instance {
    program: PathBuf,
    arguments: Vec<String>,
    folder: PathBuf,
    name: String,
    process: Option<Process>,
}

impl Instance {
    fn start(&mut self) -> Result<(), Error> {
        self.process = None;
        let process = Process::start(&self.program, &self.arguments, &self.folder, &self.name)?;
        self.process = Some(process);
        Ok(())
    }

    fn process(&self) -> Result<&Process, Error> {
        let process = self.process.as_ref();
        process.ok_or_else(|| Error::Invalid(format!("{} was not started", self.name)))
    }
}

macro_rules! impl_instance {
    ($type:ident) => {
        impl $type {
            /// Starts the process. Kills an earlier one first.
            ///
            /// # Errors
            ///
            /// Returns the error of the operating system.
            pub fn start(&mut self) -> Result<(), Error> {
                self.instance.start()
            }

            /// Returns the last started process, which may have exited.
            ///
            /// # Errors
            ///
            /// Returns an error if the process was never started.
            pub fn process(&self) -> Result<&Process, Error> {
                self.instance.process()
            }

            /// Returns whether the process was started and has not exited.
            #[must_use]
            pub fn is_running(&self) -> bool {
                self.instance
                    .process
                    .as_ref()
                    .is_some_and(Process::is_running)
            }

            /// Kills the process with SIGKILL, if it runs.
            pub fn kill(&self) {
                if let Some(process) = &self.instance.process {
                    process.kill();
                }
            }
        }
    };
}

/// A control instance.
#[derive(Debug)]
pub struct Control {
    /// Name, which is also the control id in the settings.
    pub name: String,
    /// Address of the internal protocol.
    pub peers: SocketAddr,
    /// Address of the operators' interface.
    pub operators: SocketAddr,
    /// Data directory.
    pub data: PathBuf,
    instance: Instance,
}

/// An entry instance.
#[derive(Debug)]
pub struct Entry {
    /// Name, which is also the entry id in the settings.
    pub name: String,
    /// Address of the service interface for callers.
    pub callers: SocketAddr,
    /// Address for requests that are routed by host and path, if the layout has one.
    pub gateway: Option<SocketAddr>,
    /// Address for workers and operators.
    pub platform: SocketAddr,
    /// Address at which workers reach `platform`: that of a forwarder if the layout has links.
    pub advertised_platform: SocketAddr,
    instance: Instance,
}

/// A worker.
#[derive(Debug)]
pub struct Worker {
    /// Name, unique in the fleet.
    pub name: String,
    /// Name of the service that the worker serves.
    pub service: String,
    /// Address that the worker listens on.
    pub address: SocketAddr,
    instance: Instance,
}

impl_instance!(Control);
impl_instance!(Entry);
impl_instance!(Worker);

fn setting<T: serde::de::DeserializeOwned>(settings: &Value, name: &str) -> T {
    serde_json::from_value(settings[name].clone()).expect("settings are built with this field")
}

fn prepare_daemon(
    program: &Path,
    folder: &Path,
    name: &str,
    settings: &Value,
) -> Result<Instance, Error> {
    let path = folder.join(format!("{name}.json"));
    std::fs::write(&path, format!("{settings:#}"))
        .map_err(Error::io(format!("writing {}", path.display())))?;
    Ok(Instance {
        program: program.to_owned(),
        arguments: vec!["--settings".into(), path.display().to_string()],
        folder: folder.to_owned(),
        name: name.to_owned(),
        process: None,
    })
}

impl Control {
    /// Kills the process with SIGKILL and removes its data directory.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn wipe_data(&self) -> Result<(), Error> {
        self.kill();
        let removed = std::fs::remove_dir_all(&self.data);
        removed.map_err(Error::io(format!("removing {}", self.data.display())))
    }

    pub(super) fn new(program: &Path, folder: &Path, settings: &Value) -> Result<Self, Error> {
        let name: String = setting(settings, "control");
        Ok(Self {
            peers: setting(settings, "peers"),
            operators: setting(settings, "operators"),
            data: setting(settings, "data"),
            instance: prepare_daemon(program, folder, &name, settings)?,
            name,
        })
    }
}

impl Entry {
    pub(super) fn new(
        program: &Path,
        folder: &Path,
        settings: &Value,
        advertised_platform: SocketAddr,
    ) -> Result<Self, Error> {
        let name: String = setting(settings, "entry");
        Ok(Self {
            callers: setting(settings, "callers"),
            gateway: serde_json::from_value(settings["gateway"].clone()).ok(),
            platform: setting(settings, "platform"),
            advertised_platform,
            instance: prepare_daemon(program, folder, &name, settings)?,
            name,
        })
    }
}

impl Worker {
    pub(super) fn new(
        program: &Path,
        folder: &Path,
        service: &str,
        name: &str,
        address: SocketAddr,
        arguments: Vec<String>,
    ) -> Self {
        Self {
            name: name.to_owned(),
            service: service.to_owned(),
            address,
            instance: Instance {
                program: program.to_owned(),
                arguments,
                folder: folder.to_owned(),
                name: name.to_owned(),
                process: None,
            },
        }
    }

    /// Replaces the faults that the worker shows.
    ///
    /// # Errors
    ///
    /// Returns an error if the worker does not respond with success.
    pub async fn set_fault(&self, http: &Http, fault: &Fault) -> Result<(), Error> {
        let value = serde_json::to_value(fault).map_err(|e| Error::Invalid(e.to_string()))?;
        let response = http.post(self.address, "/_worker/fault", &value, None, WORKER_TIMEOUT);
        let response = response.await?;
        if response.status.is_success() {
            return Ok(());
        }
        let cause = format!("expected a success status, found {}", response.status);
        let what = format!("setting the faults of worker {}", self.name);
        Err(Error::Http { what, cause })
    }

    /// Returns the counts of the running worker. Those of a worker that exited by itself are read from its output; a killed
    /// worker has none.
    ///
    /// # Errors
    ///
    /// Returns an error if a running worker does not respond.
    pub async fn counts(&self, http: &Http) -> Result<Counts, Error> {
        if self.is_running() {
            let response = http
                .get(self.address, "/_worker/counts", WORKER_TIMEOUT)
                .await?;
            return serde_json::from_slice(&response.body)
                .map_err(|e| Error::Invalid(e.to_string()));
        }
        let output = self.process().map(Process::output).unwrap_or_default();
        let last = output.lines().last().unwrap_or_default();
        Ok(serde_json::from_str(last).unwrap_or_default())
    }
}

fn workers_in_state<'a>(
    status: &'a Value,
    service: &str,
    state: &str,
) -> impl Iterator<Item = &'a str> {
    let workers = status["workers"].as_array().map(Vec::as_slice);
    let found = workers.unwrap_or_default().iter();
    let found = found.filter(move |w| w["service"] == service && w["state"] == state);
    found.filter_map(|w| w["worker"].as_str())
}

/// Returns the number of workers of a service that are usable according to an entry's status.
#[must_use]
pub fn usable_workers(status: &Value, service: &str) -> usize {
    workers_in_state(status, service, "usable").count()
}

/// Returns the names of the workers of a service that are ejected according to an entry's status.
#[must_use]
pub fn ejected_workers(status: &Value, service: &str) -> BTreeSet<String> {
    let names = workers_in_state(status, service, "ejected");
    names.map(str::to_owned).collect()
}
