//! Long polls for configuration and directory records.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use chestnutvalve_model::control::{Content, State, Update, Watch};
use chestnutvalve_model::version::Version;
use tokio::time::{Instant, sleep, timeout_at};

use super::Instance;
use crate::state::Store;

/// Maximum time that a poll is kept open.
pub const MAX_WAIT: Duration = Duration::from_secs(30);
/// Answers with changes that one instance sends in a second. A quarter of a core builds several times as many, and the
/// instance also has to serve heartbeats and to replicate.
const MAX_ANSWERS_PER_SECOND: u32 = 1_000;
/// Maximum time for which a change waits for further ones, far below the time within which a change must be in force.
const MAX_BATCH_DELAY: Duration = Duration::from_millis(500);
/// Interval at which an open poll checks that this instance still has contact with a quorum.
const QUORUM_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Answers a poll when there is a version after the entry's one, when this instance is stale, or when the wait has expired.
pub async fn answer_watch(instance: &Instance, watch: &Watch) -> Update {
    let wait = Duration::from_millis(watch.wait_ms.into()).min(MAX_WAIT);
    let deadline = Instant::now() + wait;
    let mut versions = instance.versions();
    let _open = instance.open_polls.enter();
    loop {
        versions.borrow_and_update();
        let (stale, confirmed) = (instance.is_stale(), instance.is_confirmed());
        let mut update = build_update(&instance.store(), watch, stale);
        if !confirmed {
            // The disk may lack the latest commits, and an entry that just started would get an older state than before.
            update.content = Content::Unchanged;
        }
        update.controls = instance.addresses();
        if stale || update.content != Content::Unchanged || Instant::now() >= deadline {
            instance
                .meters
                .count_watch(content_label(&update.content), stale);
            return update;
        }
        let check = deadline.min(Instant::now() + QUORUM_CHECK_INTERVAL);
        // A timeout without a change is the usual case; the sender lives as long as the instance.
        if matches!(timeout_at(check, versions.changed()).await, Ok(Ok(()))) {
            sleep(batch_delay(instance.open_polls.count())).await;
        }
    }
}

/// Returns how long a change waits for further ones before it is sent to `open_polls` watchers.
///
/// Load pattern: after a start of the whole fleet, a thousand workers and several hundred entries register within a second,
/// each with a version of its own. An answer to each watcher for each version takes all the processor time of the instance,
/// and the group loses its leader.
#[must_use]
pub fn batch_delay(open_polls: u32) -> Duration {
    let delay = Duration::from_secs(1) * open_polls / MAX_ANSWERS_PER_SECOND;
    delay.min(MAX_BATCH_DELAY)
}

/// Number of open polls.
#[derive(Debug, Default)]
pub struct OpenPolls(AtomicU32);

impl OpenPolls {
    fn count(&self) -> u32 {
        self.0.load(Ordering::Relaxed)
    }

    /// Counts a poll until the returned guard is dropped.
    fn enter(&self) -> OpenPoll<'_> {
        self.0.fetch_add(1, Ordering::Relaxed);
        OpenPoll(self)
    }
}

struct OpenPoll<'a>(&'a OpenPolls);

impl Drop for OpenPoll<'_> {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn content_label(content: &Content) -> &'static str {
    match content {
        Content::Unchanged => "unchanged",
        Content::Records(_) => "records",
        Content::Snapshot(_) => "snapshot",
    }
}

/// Returns the update that brings a watcher to the version of the store.
#[must_use]
pub fn build_update(store: &Store, watch: &Watch, stale: bool) -> Update {
    Update {
        stale,
        version: store.state().version,
        controls: Vec::new(),
        content: build_content(store, watch),
    }
}

fn build_content(store: &Store, watch: &Watch) -> Content {
    let state = store.state();
    // An instance that lags or was restored must not move its watchers back to an older version.
    if watch.have >= state.version {
        return Content::Unchanged;
    }
    let services = watch.services.as_deref();
    let records = match watch.have {
        // A watcher without any state needs a snapshot, because the records contain no defaults.
        Version::ZERO => None,
        have => store.records().for_services(have, services),
    };
    records.map_or_else(
        || {
            Content::Snapshot(State {
                version: state.version,
                document: services.map_or_else(
                    || state.document.clone(),
                    |services| state.document.restricted_to(services),
                ),
                directory: state.directory.clone(),
                owners: state.owners.clone(),
                routes: Arc::clone(&state.routes),
                roster: Arc::clone(&state.roster),
            })
        },
        Content::Records,
    )
}
