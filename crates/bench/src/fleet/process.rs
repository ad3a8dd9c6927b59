//! A child process with its output files and resource usage.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use super::until;
use crate::Error;

/// A child process that is killed when dropped. Its standard output and error go to files.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Mutex<Child>,
    output: PathBuf,
}

impl Process {
    /// Starts a program. Its standard output and error are appended to `NAME.out` and `NAME.err` in `folder`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn start(
        program: &Path,
        arguments: &[String],
        folder: &Path,
        name: &str,
    ) -> Result<Self, Error> {
        let mut command = Command::new(program);
        command.args(arguments);
        Self::spawn(command, folder, name)
    }

    /// Starts a prepared command. Its output goes to the same files as with [`Process::start`].
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn spawn(mut command: Command, folder: &Path, name: &str) -> Result<Self, Error> {
        let open = |suffix: &str| -> Result<File, Error> {
            let path = folder.join(format!("{name}.{suffix}"));
            let file = File::options().append(true).create(true).open(&path);
            file.map_err(Error::io(format!("opening {}", path.display())))
        };
        let child = command
            .stdin(Stdio::null())
            .stdout(open("out")?)
            .stderr(open("err")?)
            .spawn();
        let program = command.get_program().to_string_lossy();
        let child = child.map_err(Error::io(format!("starting {program}")))?;
        Ok(Self {
            name: name.to_owned(),
            child: Mutex::new(child),
            output: folder.join(format!("{name}.out")),
        })
    }

    fn child(&self) -> std::sync::MutexGuard<'_, Child> {
        self.child.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child().id()
    }

    /// Returns whether the process has not exited.
    #[must_use]
    pub fn is_running(&self) -> bool {
        matches!(self.child().try_wait(), Ok(None))
    }

    /// Returns the exit status, or `None` while the process runs.
    #[must_use]
    pub fn status(&self) -> Option<ExitStatus> {
        self.child().try_wait().ok().flatten()
    }

    fn signal(&self, signal: Signal) -> Result<(), Error> {
        let mut child = self.child();
        // The id of an exited child is not reused before the child is waited for, which requires this lock.
        if !matches!(child.try_wait(), Ok(None)) {
            return Ok(());
        }
        let id = i32::try_from(child.id()).expect("process ids are positive i32");
        kill(Pid::from_raw(id), signal).map_err(|error| Error::Io {
            what: format!("sending a signal to {}", self.name),
            cause: error.into(),
        })
    }

    /// Suspends the process with SIGSTOP.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn freeze(&self) -> Result<(), Error> {
        self.signal(Signal::SIGSTOP)
    }

    /// Resumes a suspended process with SIGCONT.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn resume(&self) -> Result<(), Error> {
        self.signal(Signal::SIGCONT)
    }

    /// Requests a graceful stop with SIGTERM. Does not wait for the exit.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn terminate(&self) -> Result<(), Error> {
        self.signal(Signal::SIGTERM)
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub fn kill(&self) {
        let mut child = self.child();
        // An error means that the process has already exited.
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Waits until the process has exited.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Timeout`] if the process still runs after `limit`.
    pub async fn wait_for_exit(&self, limit: Duration) -> Result<ExitStatus, Error> {
        let what = format!("exit of {}", self.name);
        until(&what, limit, async || {
            self.child().try_wait().ok().flatten()
        })
        .await
    }

    /// Returns the standard output so far, or an empty text if its file can't be read.
    #[must_use]
    pub fn output(&self) -> String {
        std::fs::read_to_string(&self.output).unwrap_or_default()
    }

    /// Returns CPU time and resident memory, or `None` if `/proc` has no entry for the process.
    #[must_use]
    pub fn usage(&self) -> Option<Usage> {
        Usage::read(self.id())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Resources used by a process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Sum of user and system CPU time since the start.
    pub cpu_time: Duration,
    /// Resident set size, in bytes.
    pub resident_bytes: u64,
}

/// Clock ticks per second in `/proc/PID/stat`. Linux fixes the value for user space.
const TICKS_PER_S: u64 = 100;
/// Positions of `utime` and `stime` among the fields of `/proc/PID/stat` that follow the parenthesized name.
const CPU_TIME_FIELDS: [usize; 2] = [11, 12];

impl Usage {
    fn read(id: u32) -> Option<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let fields: Vec<_> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let mut ticks = 0;
        for field in CPU_TIME_FIELDS {
            ticks += fields.get(field)?.parse::<u64>().ok()?;
        }
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let resident = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        let resident: u64 = resident
            .trim()
            .trim_end_matches(" kB")
            .trim()
            .parse()
            .ok()?;
        Some(Self {
            cpu_time: Duration::from_millis(ticks * 1_000 / TICKS_PER_S),
            resident_bytes: resident * 1_024,
        })
    }
}
