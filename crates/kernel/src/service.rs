//! A running part of a process.

use std::any::Any;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use tokio::sync::Mutex;
use tokio::task::JoinHandle;

/// Future of a start or stop step.
pub type Step = Pin<Box<dyn Future<Output = Result<(), Failure>> + Send>>;

/// A start or stop step that failed, with its cause.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct Failure(pub String);

type Run = Box<dyn FnOnce() -> Step + Send>;

/// A service: a name, a handle that others look up, and closures that start and stop it.
pub struct Service {
    pub(crate) name: &'static str,
    pub(crate) handle: Arc<dyn Any + Send + Sync>,
    pub(crate) start: Option<Run>,
    pub(crate) stop: Option<Run>,
}

impl Service {
    /// Creates a service whose `handle` others find under `name`.
    pub fn new<H: Any + Send + Sync>(name: &'static str, handle: Arc<H>) -> Self {
        Self {
            name,
            handle,
            start: None,
            stop: None,
        }
    }

    /// Creates a service that runs a future from its start until it is stopped.
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

    /// Sets what starts the service.
    #[must_use]
    pub fn on_start<F, Fut>(mut self, start: F) -> Self
    where
        F: FnOnce() -> Fut + Send + 'static,
        Fut: Future<Output = Result<(), Failure>> + Send + 'static,
    {
        self.start = Some(Box::new(move || Box::pin(start())));
        self
    }

    /// Sets what stops the service; it returns when the service has finished its work.
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
