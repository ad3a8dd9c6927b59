//! Fleets and requests shared by the tests.

use std::path::Path;
use std::time::Duration;

use chestnutvalve_bench::fleet::{Fleet, Layout, Programs, Service, layout::route};
use chestnutvalve_bench::load::{Call, Caller, Class, Outcome, Verdict};
use chestnutvalve_model::config::Edit;
use chestnutvalve_model::rank::Rank;
use tokio::sync::{Semaphore, SemaphorePermit};

/// Limits the fleets that run concurrently; each has about ten processes.
static FLEET_PERMITS: Semaphore = Semaphore::const_new(3);

/// Service that most tests send requests to.
pub const SERVICE: &str = "desk";
/// Deadline that no request to a healthy fleet misses, even on a busy machine.
pub const DEADLINE_MS: u32 = 20_000;
/// Timeout for a state that the system reaches within seconds on an idle machine.
pub const STATE_TIMEOUT: Duration = Duration::from_secs(30);

/// Fleet with its permit to run.
pub struct Running {
    pub fleet: Fleet,
    _permit: SemaphorePermit<'static>,
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
    /// Copies the logs of a failed test out of the temporary folder, because they show what the processes did.
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

/// Returns the default layout: three control and three entry instances, one service with four workers and a route per rank.
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

/// Waits for a permit to run a fleet.
pub async fn acquire_permit() -> SemaphorePermit<'static> {
    let permit = FLEET_PERMITS.acquire().await;
    permit.expect("the semaphore is never closed")
}

pub async fn start(layout: Layout) -> Running {
    let permit = acquire_permit().await;
    let fleet = Fleet::prepare(&programs(), layout)
        .await
        .expect("settings written");
    let mut running = Running {
        fleet,
        _permit: permit,
    };
    running.fleet.launch().await.expect("fleet ready");
    running
}

/// Idempotent request of the top rank.
pub fn lookup() -> Class {
    Class {
        service: SERVICE.into(),
        rank: Rank::Top,
        path: "/ration".into(),
        deadline_ms: DEADLINE_MS,
        ..Class::default()
    }
}

/// Keyed request of the middle rank that is executed at most once.
pub fn order() -> Class {
    Class {
        rank: Rank::Middle,
        method: "POST".into(),
        path: "/visit".into(),
        key: true,
        ..lookup()
    }
}

/// Idempotent request of the bottom rank with a large response.
pub fn archive() -> Class {
    Class {
        rank: Rank::Bottom,
        path: "/archive".into(),
        size: 20_000,
        ..lookup()
    }
}

/// Returns a seeded generator and prints the seed, so that a failing run can be reproduced.
pub fn random(seed: u64) -> rand::rngs::StdRng {
    use rand::SeedableRng;
    println!("seed {seed}");
    rand::rngs::StdRng::seed_from_u64(seed)
}

/// Resends a request with its key until it succeeds, at most `attempts` times; returns all outcomes.
pub async fn resend_until_good(
    caller: &Caller,
    call: &Call,
    attempts: usize,
    delay: Duration,
) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    for _ in 0..attempts {
        let outcome = caller.call(call).await;
        let done = outcome.verdict == Verdict::Good;
        outcomes.push(outcome);
        if done {
            break;
        }
        tokio::time::sleep(delay).await;
    }
    outcomes
}
