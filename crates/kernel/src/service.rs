//! Component of a process that starts and stops.

use std::any::Any;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use tokio::sync::Mutex;
use tokio::task::JoinHandle;

/// Future that a start or stop hook returns.
pub type HookFuture = Pin<Box<dyn Future<Output = Result<(), Failure>> + Send>>;

/// Error of a start or stop hook.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct Failure(pub String);

type Hook = Box<dyn FnOnce() -> HookFuture + Send>;

/// Named service with a handle for other services and with hooks that start and stop it.
pub struct Service {
    pub(crate) name: &'static str,
    pub(crate) handle: Arc<dyn Any + Send + Sync>,
    pub(crate) start: Option<Hook>,
    pub(crate) stop: Option<Hook>,
}

impl Service {
    /// Creates a service without hooks. Other services look up `handle` by `name`.
    pub fn new<H: Any + Send + Sync>(name: &'static str, handle: Arc<H>) -> Self {
        Self {
            name,
            handle,
            start: None,
            stop: None,
        }
    }

    /// Creates a service that spawns `run` as a task on start and aborts the task on stop.
    #[must_use]
    pub fn background(name: &'static str, run: impl Future<Output = ()> + Send + 'static) -> Self {
        let task: Arc<Mutex<Option<JoinHandle<()>>>> = Arc::default();
        let started = Arc::clone(&task);
        Self::new(name, Arc::new(()))
            .on_start(move || async move {
                *started.lock().await = Some(tokio::spawn(run));
                Ok(())
            })
            .on_stop(move || async move {
                if let Some(task) = task.lock().await.take() {
                    task.abort();
                }
                Ok(())
            })
    }

    /// Sets the start hook.
    #[must_use]
    pub fn on_start<F, Fut>(mut self, start: F) -> Self
    where
        F: FnOnce() -> Fut + Send + 'static,
        Fut: Future<Output = Result<(), Failure>> + Send + 'static,
    {
        self.start = Some(Box::new(move || Box::pin(start())));
        self
    }

    /// Sets the stop hook. It must complete only after the service has finished its work.
    #[must_use]
    pub fn on_stop<F, Fut>(mut self, stop: F) -> Self
    where
        F: FnOnce() -> Fut + Send + 'static,
        Fut: Future<Output = Result<(), Failure>> + Send + 'static,
    {
        self.stop = Some(Box::new(move || Box::pin(stop())));
        self
    }
}

impl fmt::Debug for Service {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Service")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}
