//! Fleets and requests that the tests share.

use std::path::Path;
use std::time::Duration;

use chestnutvalve_bench::fleet::{Fleet, Layout, Programs, Service, layout::route};
use chestnutvalve_bench::load::{Call, Caller, Class, Outcome, Verdict};
use chestnutvalve_model::config::Edit;
use chestnutvalve_model::rank::Rank;
use tokio::sync::{Semaphore, SemaphorePermit};

/// Fleets that run at the same time; each has about ten processes.
static PLACES: Semaphore = Semaphore::const_new(3);

/// Service of most tests.
pub const SERVICE: &str = "desk";
/// Deadline that no healthy request misses, however busy the machine is.
pub const DEADLINE_MS: u32 = 20_000;
/// Time for a state to come about that the system reaches within seconds on an idle machine.
pub const SOON: Duration = Duration::from_secs(30);

/// A fleet with its place among those that run at the same time.
pub struct Running {
    pub fleet: Fleet,
    _place: SemaphorePermit<'static>,
}

impl std::ops::Deref for Running {
    type Target = Fleet;

    fn deref(&self) -> &Fleet {
        &self.fleet
    }
}

impl std::ops::DerefMut for Running {
    fn deref_mut(&mut self) -> &mut Fleet {
        &mut self.fleet
    }
}

impl Drop for Running {
    /// Keeps the logs of a failed test, because they show what the processes did.
    fn drop(&mut self) {
        if std::thread::panicking()
            && let Some(target) = option_env!("CARGO_TARGET_TMPDIR")
        {
            let name = self.fleet.folder().file_name().unwrap_or_default();
            let kept = Path::new(target).join(name);
            let _ = std::fs::create_dir_all(&kept);
            for file in std::fs::read_dir(self.fleet.folder())
                .into_iter()
                .flatten()
                .flatten()
            {
                let _ = std::fs::copy(file.path(), kept.join(file.file_name()));
            }
            eprintln!("logs of the fleet: {}", kept.display());
        }
    }
}

pub fn programs() -> Programs {
    Programs::beside(Path::new(env!("CARGO_BIN_EXE_chestnutvalve-bench")))
}

/// Three control and three entry instances, one service with four workers and a route for each rank.
pub fn layout() -> Layout {
    Layout {
        services: vec![Service::new(SERVICE, 4)],
        edits: routes(),
        ..Layout::default()
    }
}

pub fn routes() -> Vec<Edit> {
    vec![
        route(SERVICE, "/ration", Rank::Top, true),
        route(SERVICE, "/visit", Rank::Middle, false),
        route(SERVICE, "/archive", Rank::Bottom, true),
    ]
}

/// Waits for a place among the fleets that run at the same time.
pub async fn place() -> SemaphorePermit<'static> {
    let place = PLACES.acquire().await;
    place.expect("the semaphore is never closed")
}

pub async fn start(layout: Layout) -> Running {
    let place = place().await;
    let fleet = Fleet::prepare(&programs(), layout)
        .await
        .expect("settings written");
    let mut running = Running {
        fleet,
        _place: place,
    };
    running.fleet.launch().await.expect("fleet ready");
    running
}

/// Idempotent lookup of the top rank.
pub fn lookup() -> Class {
    Class {
        service: SERVICE.into(),
        rank: Rank::Top,
        path: "/ration".into(),
        deadline_ms: DEADLINE_MS,
        ..Class::default()
    }
}

/// Order of the middle rank that may run only once.
pub fn order() -> Class {
    Class {
        rank: Rank::Middle,
        method: "POST".into(),
        path: "/visit".into(),
        key: true,
        ..lookup()
    }
}

/// Archive pull of the bottom rank.
pub fn archive() -> Class {
    Class {
        rank: Rank::Bottom,
        path: "/archive".into(),
        size: 20_000,
        ..lookup()
    }
}

/// Numbers from a fixed seed, so that a failing run can be repeated.
pub fn random(seed: u64) -> rand::rngs::StdRng {
    use rand::SeedableRng;
    println!("seed {seed}");
    rand::rngs::StdRng::seed_from_u64(seed)
}

/// Sends a request again under its key until an answer is final; returns all outcomes.
pub async fn insist(caller: &Caller, call: &Call, tries: usize, pause: Duration) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    for _ in 0..tries {
        let outcome = caller.call(call).await;
        let done = outcome.verdict == Verdict::Good;
        outcomes.push(outcome);
        if done {
            break;
        }
        tokio::time::sleep(pause).await;
    }
    outcomes
}
