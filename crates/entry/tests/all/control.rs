//! Fake control instance that keeps its state in memory, without replication.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use chestnutvalve_ledger::{ClaimReply, Command, Ledger};
use chestnutvalve_membership::grant::Grants;
use chestnutvalve_model::config::Edit;
use chestnutvalve_model::control::{
    Content, EjectionGrant, EjectionRequest, Heartbeat, HeartbeatReply, State, Update, Watch,
};
use chestnutvalve_model::error::{Fault, Kind};
use chestnutvalve_wire::{Router, Server};
use tokio::time::sleep;

pub struct Control {
    pub address: SocketAddr,
    pub state: Arc<Mutex<State>>,
    /// Number of outcomes that entries have recorded in the ledger.
    pub records: Arc<AtomicUsize>,
    /// Whether the instance reports that it has lost its quorum.
    pub quorum_lost: Arc<AtomicBool>,
    /// Number of polls and of heartbeats received.
    pub calls: Arc<AtomicUsize>,
    /// Whether calls to the ledger fail.
    pub ledger_down: Arc<AtomicBool>,
    task: tokio::task::JoinHandle<()>,
}

impl Control {
    pub async fn start() -> Self {
        let server = Server::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let address = server.address().unwrap();
        let state: Arc<Mutex<State>> = Arc::default();
        state.lock().unwrap().version.term = 1;
        let ledger = Arc::new(Mutex::new(Ledger::new()));
        let ledger_down = Arc::new(AtomicBool::new(false));
        let records: Arc<AtomicUsize> = Arc::default();
        let quorum_lost: Arc<AtomicBool> = Arc::default();
        let calls: Arc<AtomicUsize> = Arc::default();
        let router = router(
            &state,
            &quorum_lost,
            &calls,
            (&ledger, &ledger_down, &records),
        );
        let task = tokio::spawn(server.serve(router));
        Self {
            address,
            state,
            records,
            quorum_lost,
            calls,
            ledger_down,
            task,
        }
    }

    /// Edits the configuration and increments its revision.
    pub fn edit(&self, edit: Edit) {
        let mut state = self.state.lock().unwrap();
        state.document = state.document.with_edits(&[edit]).unwrap();
        state.version.revision += 1;
    }

    pub fn stop(&self) {
        self.task.abort();
    }
}

fn router(
    state: &Arc<Mutex<State>>,
    quorum_lost: &Arc<AtomicBool>,
    calls: &Arc<AtomicUsize>,
    (ledger, ledger_down, records): (&Arc<Mutex<Ledger>>, &Arc<AtomicBool>, &Arc<AtomicUsize>),
) -> Router {
    let (watched, quorum_lost) = (Arc::clone(state), Arc::clone(quorum_lost));
    let (polled, beaten) = (Arc::clone(calls), Arc::clone(calls));
    let beats_fail = Arc::clone(&quorum_lost);
    let joined = Arc::clone(state);
    let grants = Arc::new(Mutex::new(Grants::new(Instant::now())));
    let mut router = Router::default()
        .route("config/watch", move |request: Watch| {
            polled.fetch_add(1, Ordering::SeqCst);
            let (state, lost) = (Arc::clone(&watched), quorum_lost.load(Ordering::SeqCst));
            async move { Ok::<_, Fault>(watch(&state, lost, &request).await) }
        })
        .route("directory/heartbeat", move |request: Heartbeat| {
            beaten.fetch_add(1, Ordering::SeqCst);
            let mut state = joined.lock().unwrap();
            let answer = if beats_fail.load(Ordering::SeqCst) {
                Err(Fault::new(Kind::NoQuorum, "no quorum"))
            } else {
                Ok(HeartbeatReply::Accepted)
            };
            if answer.is_ok()
                && state.directory.members.get(&request.member.entry) != Some(&request.member)
            {
                state.directory.join(&request.member);
                state.version.revision += 1;
            }
            async { answer }
        })
        .route("eject/grant", move |request: EjectionRequest| {
            let granted = grants.lock().unwrap().decide(Instant::now(), &request);
            async { Ok::<EjectionGrant, Fault>(granted) }
        });
    let (claims, down) = (Arc::clone(ledger), Arc::clone(ledger_down));
    router = router.route("ledger/claim", move |command: Command| {
        let answer = apply(&claims, &down, &command);
        async { answer.map(|claimed| claimed.unwrap()) }
    });
    for path in ["ledger/record", "ledger/release"] {
        let (claims, down) = (Arc::clone(ledger), Arc::clone(ledger_down));
        let records = Arc::clone(records);
        router = router.route(path, move |command: Command| {
            let answer = apply(&claims, &down, &command);
            if answer.is_ok() && matches!(command, Command::Record { .. }) {
                records.fetch_add(1, Ordering::SeqCst);
            }
            async { answer.map(|_| ()) }
        });
    }
    router
}

fn apply(
    ledger: &Mutex<Ledger>,
    down: &AtomicBool,
    command: &Command,
) -> Result<Option<ClaimReply>, Fault> {
    if down.load(Ordering::SeqCst) {
        return Err(Fault::new(Kind::LedgerUnavailable, "no quorum"));
    }
    Ok(ledger.lock().unwrap().apply(command))
}

async fn watch(state: &Mutex<State>, quorum_lost: bool, request: &Watch) -> Update {
    let until = Instant::now() + Duration::from_millis(request.wait_ms.into());
    loop {
        let current = state.lock().unwrap().clone();
        let newer = current.version > request.have;
        if newer || quorum_lost || Instant::now() >= until {
            return Update {
                stale: quorum_lost,
                controls: Vec::new(),
                version: current.version,
                content: if newer {
                    Content::Snapshot(current)
                } else {
                    Content::Unchanged
                },
            };
        }
        sleep(Duration::from_millis(5)).await;
    }
}
