//! Shutdown request that any number of tasks can wait for.

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Handle that requests or awaits the shutdown of a service or of the process. Clones share one request.
#[derive(Clone, Debug)]
pub struct Shutdown {
    requested: watch::Sender<bool>,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self {
            requested: watch::Sender::new(false),
        }
    }
}

impl Shutdown {
    /// Requests the shutdown. Further requests have no effect.
    pub fn request(&self) {
        self.requested.send_replace(true);
    }

    /// Returns whether the shutdown has been requested.
    #[must_use]
    pub fn is_requested(&self) -> bool {
        *self.requested.borrow()
    }

    /// Waits until the shutdown is requested.
    pub async fn requested(&self) {
        let mut receiver = self.requested.subscribe();
        // `self` keeps the sender alive, so waiting can't fail.
        let _ = receiver.wait_for(|requested| *requested).await;
    }
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error when the signal handlers can't be installed.
pub async fn signal_received() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
