//! Long polls for configuration and directory records.

use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_model::control::{Content, State, Update, Watch};
use chestnutvalve_model::version::Version;
use tokio::time::{Instant, timeout_at};

use super::Instance;
use crate::state::Store;

/// Maximum time that a poll is kept open.
pub const MAX_WAIT: Duration = Duration::from_secs(30);
/// Interval at which an open poll checks that this instance still has contact with a quorum.
const QUORUM_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Answers a poll when there is a version after the entry's one, when this instance is stale, or when the wait has expired.
pub async fn answer_watch(instance: &Instance, watch: &Watch) -> Update {
    let wait = Duration::from_millis(watch.wait_ms.into()).min(MAX_WAIT);
    let deadline = Instant::now() + wait;
    let mut versions = instance.versions();
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
        let _ = timeout_at(check, versions.changed()).await;
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
                    |services| state.document.part(services),
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
