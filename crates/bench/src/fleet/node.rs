//! Instances of a fleet, which can be started again with the same settings.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde_json::Value;

use super::Process;
use crate::Error;
use crate::client::Http;
use crate::worker::{Counts, Fault};

/// Time for a worker to answer a question.
const WORKER_LIMIT: Duration = Duration::from_secs(5);

/// What every instance has: a program, its arguments and the process while it runs.
#[derive(Debug)]
struct Common {
    program: PathBuf,
    arguments: Vec<String>,
    folder: PathBuf,
    name: String,
    process: Option<Process>,
}

impl Common {
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

macro_rules! instance {
    ($type:ident) => {
        impl $type {
            /// Starts the process, after ending an earlier one.
            ///
            /// # Errors
            ///
            /// Returns the error of the operating system.
            pub fn start(&mut self) -> Result<(), Error> {
                self.common.start()
            }

            /// Returns the process.
            ///
            /// # Errors
            ///
            /// Returns an error when the instance was never started.
            pub fn process(&self) -> Result<&Process, Error> {
                self.common.process()
            }

            /// Returns whether the process runs.
            #[must_use]
            pub fn is_running(&self) -> bool {
                self.common
                    .process
                    .as_ref()
                    .is_some_and(Process::is_running)
            }

            /// Ends the process with SIGKILL.
            pub fn kill(&self) {
                if let Some(process) = &self.common.process {
                    process.kill();
                }
            }
        }
    };
}

/// A control instance.
#[derive(Debug)]
pub struct Control {
    /// Name of the instance.
    pub name: String,
    /// Address of the internal protocol.
    pub peers: SocketAddr,
    /// Address of the operators' interface.
    pub operators: SocketAddr,
    /// Data directory.
    pub data: PathBuf,
    common: Common,
}

/// An entry instance.
#[derive(Debug)]
pub struct Entry {
    /// Name of the instance.
    pub name: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for callers whose requests are routed by host and path.
    pub gateway: Option<SocketAddr>,
    /// Address for workers and operators.
    pub platform: SocketAddr,
    /// Address at which workers reach `platform`, perhaps through a forwarder.
    pub announce: SocketAddr,
    common: Common,
}

/// A worker.
#[derive(Debug)]
pub struct Worker {
    /// Name of the worker.
    pub name: String,
    /// Service of the worker.
    pub service: String,
    /// Address that the worker listens on.
    pub address: SocketAddr,
    common: Common,
}

instance!(Control);
instance!(Entry);
instance!(Worker);

fn field<T: serde::de::DeserializeOwned>(settings: &Value, name: &str) -> T {
    serde_json::from_value(settings[name].clone()).expect("settings are built with this field")
}

fn daemon(program: &Path, folder: &Path, name: &str, settings: &Value) -> Result<Common, Error> {
    let path = folder.join(format!("{name}.json"));
    std::fs::write(&path, format!("{settings:#}"))
        .map_err(Error::io(format!("writing {}", path.display())))?;
    Ok(Common {
        program: program.to_owned(),
        arguments: vec!["--settings".into(), path.display().to_string()],
        folder: folder.to_owned(),
        name: name.to_owned(),
        process: None,
    })
}

impl Control {
    /// Ends the process with SIGKILL and removes its data directory.
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
        let name: String = field(settings, "control");
        Ok(Self {
            peers: field(settings, "peers"),
            operators: field(settings, "operators"),
            data: field(settings, "data"),
            common: daemon(program, folder, &name, settings)?,
            name,
        })
    }
}

impl Entry {
    pub(super) fn new(
        program: &Path,
        folder: &Path,
        settings: &Value,
        announce: SocketAddr,
    ) -> Result<Self, Error> {
        let name: String = field(settings, "entry");
        Ok(Self {
            callers: field(settings, "callers"),
            gateway: serde_json::from_value(settings["gateway"].clone()).ok(),
            platform: field(settings, "platform"),
            announce,
            common: daemon(program, folder, &name, settings)?,
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
            common: Common {
                program: program.to_owned(),
                arguments,
                folder: folder.to_owned(),
                name: name.to_owned(),
                process: None,
            },
        }
    }

    /// Replaces the faults of the worker.
    ///
    /// # Errors
    ///
    /// Returns an error when the worker does not answer.
    pub async fn set_fault(&self, http: &Http, fault: &Fault) -> Result<(), Error> {
        let value = serde_json::to_value(fault).map_err(|e| Error::Invalid(e.to_string()))?;
        let answer = http.post(self.address, "/_worker/fault", &value, None, WORKER_LIMIT);
        let answer = answer.await?;
        if answer.status.is_success() {
            return Ok(());
        }
        let cause = format!("status {}", answer.status);
        let what = format!("setting a fault of {}", self.name);
        Err(Error::Http { what, cause })
    }

    /// Returns the counts: from the running worker, or from the output of one that has ended by itself.
    ///
    /// # Errors
    ///
    /// Returns an error when a running worker does not answer.
    pub async fn counts(&self, http: &Http) -> Result<Counts, Error> {
        if self.is_running() {
            let answer = http
                .get(self.address, "/_worker/counts", WORKER_LIMIT)
                .await?;
            return serde_json::from_slice(&answer.body).map_err(|e| Error::Invalid(e.to_string()));
        }
        let output = self.process().map(Process::output).unwrap_or_default();
        let last = output.lines().last().unwrap_or_default();
        Ok(serde_json::from_str(last).unwrap_or_default())
    }
}

fn in_state<'a>(status: &'a Value, service: &str, state: &str) -> impl Iterator<Item = &'a str> {
    let workers = status["workers"].as_array().map(Vec::as_slice);
    let found = workers.unwrap_or_default().iter();
    let found = found.filter(move |w| w["service"] == service && w["state"] == state);
    found.filter_map(|w| w["worker"].as_str())
}

/// Returns how many workers of a service an entry's status calls usable.
#[must_use]
pub fn usable_workers(status: &Value, service: &str) -> usize {
    in_state(status, service, "usable").count()
}

/// Returns the workers of a service that an entry's status calls ejected.
#[must_use]
pub fn ejected_workers(status: &Value, service: &str) -> BTreeSet<String> {
    let names = in_state(status, service, "ejected");
    names.map(str::to_owned).collect()
}
