//! Places at workers that one entry gives out for all entries of its availability zone.
//!
//! Load pattern: a hundred entries with narrow links share workers with two slots, and each sees a few requests a second. An
//! entry that knows its own requests only spreads them at random, so that some workers have a queue while others are
//! idle, and learns of bad workers late. Few entries can't carry the traffic of all, but one can decide for a zone: the
//! decision is a short message. While it does not answer, each entry decides for itself.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use chestnutvalve_model::control::State;
use chestnutvalve_model::directory::Member;
use chestnutvalve_model::error::Fault;
use chestnutvalve_model::id::{Service, Worker, Zone};
use chestnutvalve_model::rank::Rank;
use chestnutvalve_routing::placement;
use chestnutvalve_routing::schedule::{Outcome, Reason, Refusal, Request};
use chestnutvalve_wire::Router;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

use super::dispatcher::{Dispatcher, Reservation};
use super::{Gateway, assignment};
use crate::clock;

mod reservations;

use reservations::Admission;
pub use reservations::Reservations;

/// Entries of a zone that may coordinate a service; the second one does while the first does not answer.
const CANDIDATES_PER_ZONE: usize = 2;
/// Time for which a coordinator keeps a first question before it says that the request waits. The entry then asks again.
const FIRST_POLL_WAIT: Duration = Duration::from_millis(40);
/// The same for further questions, whose entry knows that the coordinator is there. Fewer questions leave room on narrow
/// links.
const REPEATED_POLL_WAIT: Duration = Duration::from_millis(250);
/// Time for an answer of the coordinator beyond the hold: 100 ms each way on a narrow link that carries downloads. With 110 ms,
/// one answer in ten came too late on a calm fleet.
const ROUND_TRIP_TIMEOUT: Duration = Duration::from_millis(210);
/// Time after the deadline of a request for which an answer is still taken, so that the place in it is given back at once.
const LATE_ANSWER_GRACE: Duration = Duration::from_secs(2);
/// Time for which a coordinator that did not answer is not asked.
const UNRESPONSIVE_BACKOFF: Duration = Duration::from_secs(2);
/// Time after the deadline of a request after which its place is free again, if its entry has not said so. Its worker has
/// stopped by then.
const RESERVATION_GRACE: Duration = Duration::from_millis(500);
/// Time for which reports are gathered.
const BATCH_DELAY: Duration = Duration::from_millis(5);
/// Reports in one message.
const MAX_BATCH_REPORTS: usize = 64;
/// Reports that wait to be passed on, several seconds' worth at the worst rate.
pub const MAX_QUEUED_REPORTS: usize = 1_024;
/// Time for a coordinator to take reports.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

const QUERY_PATH: &str = "gateway/ask";
const REPORT_PATH: &str = "gateway/report";

/// Question of an entry for a place.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Query {
    service: Service,
    rank: Rank,
    download: bool,
    at_most_once: bool,
    /// Time to the target and to the deadline, in milliseconds.
    target_ms: u64,
    deadline_ms: u64,
    /// Workers that are not wanted.
    tried: Vec<Worker>,
    /// Workers to which the entry has a connection.
    connected: Vec<Worker>,
    mode: QueueMode,
}

/// What an entry wants if no worker has room.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
enum QueueMode {
    /// An answer at once.
    Skip,
    /// To join the queue.
    Join,
    /// To stay in the queue, where the request has this number.
    Resume(u64),
}

/// Answer of the coordinator.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Answer {
    /// The request goes to this worker.
    Reserved {
        /// The worker.
        worker: Worker,
        /// Number of the place at the coordinator.
        reservation: u64,
    },
    /// No worker has room at present.
    Busy,
    /// The request is in the queue under this number, and leaves it unless its entry asks again.
    Waiting(u64),
    /// No worker may take the request.
    NoWorker,
    /// The request could not be answered in time; a new attempt makes sense after this time, in milliseconds.
    Overload(u64),
}

impl Query {
    /// Returns the request as the coordinator sees it.
    fn request(self, id: u64) -> Request {
        let now = clock::now();
        Request {
            id,
            rank: self.rank,
            download: self.download,
            once: self.at_most_once,
            target: now + Duration::from_millis(self.target_ms),
            deadline: now + Duration::from_millis(self.deadline_ms),
            tried: self.tried,
            connected: self.connected,
        }
    }
}

impl QueueMode {
    /// Returns the time for which the coordinator may keep the question.
    fn poll_wait(self) -> Duration {
        match self {
            Self::Skip => Duration::ZERO,
            Self::Join => FIRST_POLL_WAIT,
            Self::Resume(_) => REPEATED_POLL_WAIT,
        }
    }
}

/// How the use of a place ended.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Report {
    reservation: u64,
    outcome: ReportedOutcome,
    /// Requests at the worker, if it told.
    load: Option<u32>,
}

/// [`Outcome`], as far as it concerns other entries.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
enum ReportedOutcome {
    Success,
    Failure,
    Shed,
    Gone,
    /// The attempt says nothing about the worker.
    NoEvidence,
}

impl From<Outcome> for ReportedOutcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Success => Self::Success,
            Outcome::Failure => Self::Failure,
            Outcome::Shed => Self::Shed,
            Outcome::Gone => Self::Gone,
            // The path of this entry to the worker says nothing about that of others.
            Outcome::Unreachable | Outcome::Cancelled => Self::NoEvidence,
        }
    }
}

impl From<ReportedOutcome> for Outcome {
    fn from(outcome: ReportedOutcome) -> Self {
        match outcome {
            ReportedOutcome::Success => Self::Success,
            ReportedOutcome::Failure => Self::Failure,
            ReportedOutcome::Shed => Self::Shed,
            ReportedOutcome::Gone => Self::Gone,
            ReportedOutcome::NoEvidence => Self::Cancelled,
        }
    }
}

/// Reports on their way, with their coordinators.
pub type ReportSender = mpsc::Sender<(SocketAddr, Report)>;

/// Place that a coordinator gave out; reported when dropped.
#[derive(Debug)]
pub struct RemoteReservation {
    coordinator: SocketAddr,
    id: u64,
    reports: ReportSender,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Requests at the worker, if it told.
    pub load: Option<u32>,
}

impl Drop for RemoteReservation {
    fn drop(&mut self) {
        let report = Report {
            reservation: self.id,
            outcome: self.outcome.into(),
            load: self.load,
        };
        if self.reports.try_send((self.coordinator, report)).is_err() {
            spdlog::debug!("place {} is not reported: too many wait", self.id);
        }
    }
}

/// When coordinators answered last, and until when those that did not are not asked.
#[derive(Debug, Default)]
pub struct Contacts(Mutex<HashMap<SocketAddr, Contact>>);

#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    last_answer: Option<Instant>,
    skipped_until: Option<Instant>,
}

impl Contacts {
    fn is_unresponsive(&self, coordinator: SocketAddr) -> bool {
        let contacts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let until = contacts.get(&coordinator).and_then(|c| c.skipped_until);
        until.is_some_and(|until| Instant::now() < until)
    }

    fn record_answer(&self, coordinator: SocketAddr) {
        let mut contacts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        contacts.entry(coordinator).or_default().last_answer = Some(Instant::now());
    }

    /// Returns whether a coordinator has answered any question since an instant. Then it is there and the link is slow; another
    /// coordinator would give out the same places.
    fn has_answered_since(&self, coordinator: SocketAddr, since: Instant) -> bool {
        let contacts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let at = contacts.get(&coordinator).and_then(|c| c.last_answer);
        at.is_some_and(|at| at >= since)
    }

    fn record_timeout(&self, coordinator: SocketAddr) {
        let mut contacts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let contact = contacts.entry(coordinator).or_default();
        contact.skipped_until = Some(Instant::now() + UNRESPONSIVE_BACKOFF);
    }
}

/// Returns the internal addresses of the entries that may coordinate a service in a zone, best first: those with a wide link
/// where others have a narrow one.
#[must_use]
pub fn coordinators(state: &State, service: &Service, zone: &Zone) -> Vec<SocketAddr> {
    let mut near = assignment::in_zone(&state.directory, zone);
    let wide = |member: &Member| member.link_mbps >= assignment::NARROW_LINK_MBPS;
    if near.members.values().all(wide) {
        return Vec::new();
    }
    near.members.retain(|_, member| wide(member));
    let owners = placement::owners(service, CANDIDATES_PER_ZONE, &near);
    let members = owners.iter().filter_map(|o| near.members.get(o));
    members.map(|m| m.peers).collect()
}

/// Returns the internal addresses of the entries that may coordinate a service in any zone.
#[must_use]
pub fn coordinators_of_all_zones(state: &State, service: &Service) -> BTreeSet<SocketAddr> {
    let members = state.directory.members.values();
    let zones: BTreeSet<&Zone> = members.map(|m| &m.zone).collect();
    let of = |zone| coordinators(state, service, zone);
    zones.into_iter().flat_map(of).collect()
}

/// Takes a place at a worker, from the coordinator if there is one that answers.
///
/// # Errors
///
/// Returns the refusal of the coordinator or of this entry.
pub async fn admit(
    gateway: &Arc<Gateway>,
    dispatcher: &Arc<Dispatcher>,
    request: Request,
) -> Result<Reservation, Refusal> {
    let mut queued = None;
    while let Some(coordinator) = remote_coordinator(gateway, dispatcher, &request) {
        let mode = match queued {
            Some((at, id)) if at == coordinator => QueueMode::Resume(id),
            _ => QueueMode::Join,
        };
        match query(gateway, dispatcher, coordinator, &request, mode).await {
            QueryOutcome::Reservation(reservation) => return Ok(reservation),
            QueryOutcome::Refused(refusal) => return Err(refusal),
            // One of the two has not heard of a change; this entry is sure of the workers that it knows.
            QueryOutcome::UnknownWorker => break,
            QueryOutcome::Waiting(id) => queued = Some((coordinator, id)),
            QueryOutcome::Busy | QueryOutcome::DeadlineExceeded | QueryOutcome::NoAnswer => {
                queued = None
            }
        }
    }
    dispatcher.admit(request).await
}

/// Takes a place at another worker at once, if one has room.
pub async fn try_reserve(
    gateway: &Arc<Gateway>,
    dispatcher: &Arc<Dispatcher>,
    request: &Request,
) -> Option<Reservation> {
    if let Some(coordinator) = remote_coordinator(gateway, dispatcher, request) {
        match query(gateway, dispatcher, coordinator, request, QueueMode::Skip).await {
            QueryOutcome::Reservation(reservation) => return Some(reservation),
            QueryOutcome::Refused(_) | QueryOutcome::Waiting(_) | QueryOutcome::Busy => {
                return None;
            }
            QueryOutcome::UnknownWorker
            | QueryOutcome::DeadlineExceeded
            | QueryOutcome::NoAnswer => {}
        }
    }
    dispatcher.try_reserve(request)
}

/// Returns the coordinator of a service, unless it is this entry, none answers, or the request has no time left.
fn remote_coordinator(
    gateway: &Gateway,
    dispatcher: &Dispatcher,
    request: &Request,
) -> Option<SocketAddr> {
    if clock::now() >= request.deadline {
        return None;
    }
    let own = gateway.instance.member().peers;
    let candidates = gateway.coordinators(&dispatcher.service);
    let mut responsive = candidates
        .iter()
        .filter(|c| !gateway.contacts.is_unresponsive(**c));
    responsive.next().copied().filter(|first| *first != own)
}

/// What an entry makes of the coordinator's answer.
enum QueryOutcome {
    Reservation(Reservation),
    Refused(Refusal),
    Busy,
    /// The request waits at the coordinator under this number.
    Waiting(u64),
    /// The worker is unknown here or leaving, and is not used.
    UnknownWorker,
    /// There was no answer before the request's deadline.
    DeadlineExceeded,
    /// There was no answer.
    NoAnswer,
}

async fn query(
    gateway: &Arc<Gateway>,
    dispatcher: &Arc<Dispatcher>,
    coordinator: SocketAddr,
    request: &Request,
    mode: QueueMode,
) -> QueryOutcome {
    let now = clock::now();
    let left = request.deadline.saturating_duration_since(now);
    let wait = mode.poll_wait() + ROUND_TRIP_TIMEOUT;
    // The coordinator keeps the first question for a request in its queue; narrow links carry no more than needed.
    let (tried, connected) = match mode {
        QueueMode::Resume(_) => Default::default(),
        QueueMode::Join | QueueMode::Skip => {
            let tried = request
                .tried
                .iter()
                .cloned()
                .chain(dispatcher.unreachable_workers());
            (tried.collect(), request.connected.clone())
        }
    };
    let query = Query {
        service: dispatcher.service.clone(),
        rank: request.rank,
        download: request.download,
        at_most_once: request.once,
        target_ms: millis(request.target.saturating_duration_since(now)),
        deadline_ms: millis(left),
        tried,
        connected,
        mode,
    };
    let client = gateway.instance.peers.client(coordinator);
    let reports = gateway.reports.clone();
    let shared = Arc::clone(gateway);
    // The answer is taken also when it is late or the caller leaves meanwhile, so that the place is given back.
    let mut call = tokio::spawn(async move {
        let answer: Answer = client
            .call(QUERY_PATH, &query, left + LATE_ANSWER_GRACE)
            .await?;
        shared.contacts.record_answer(coordinator);
        let remote = match &answer {
            Answer::Reserved { reservation, .. } => Some(RemoteReservation {
                coordinator,
                id: *reservation,
                reports,
                outcome: Outcome::Cancelled,
                load: None,
            }),
            _ => None,
        };
        Ok::<_, chestnutvalve_wire::Error>((answer, remote))
    });
    let deadline = Instant::now() + left;
    let mut since = Instant::now();
    let cause = loop {
        let limit = deadline.saturating_duration_since(since).min(wait);
        match timeout(limit, &mut call).await {
            Ok(Ok(Ok((answer, remote)))) => return interpret(dispatcher, answer, remote),
            Ok(Ok(Err(error))) => break error.to_string(),
            Ok(Err(error)) => break error.to_string(),
            // With little time left the coordinator may well answer others.
            Err(_) if Instant::now() >= deadline => return QueryOutcome::DeadlineExceeded,
            Err(_) if gateway.contacts.has_answered_since(coordinator, since) => {
                since = Instant::now()
            }
            Err(_) => break "no answer in time".to_owned(),
        }
    };
    gateway.contacts.record_timeout(coordinator);
    let service = &dispatcher.service;
    spdlog::info!("coordinator lost", kv: {service:, coordinator:, cause:});
    QueryOutcome::NoAnswer
}

fn interpret(
    dispatcher: &Arc<Dispatcher>,
    answer: Answer,
    remote: Option<RemoteReservation>,
) -> QueryOutcome {
    match (answer, remote) {
        (Answer::Reserved { worker, .. }, Some(remote)) => {
            match dispatcher.reserve_granted(&worker, remote) {
                Some(reservation) => QueryOutcome::Reservation(reservation),
                None => QueryOutcome::UnknownWorker,
            }
        }
        (Answer::NoWorker, _) => QueryOutcome::Refused(Refusal {
            reason: Reason::NoWorker,
            retry_after: Duration::ZERO,
        }),
        (Answer::Overload(retry_after_ms), _) => QueryOutcome::Refused(Refusal {
            reason: Reason::Overload,
            retry_after: Duration::from_millis(retry_after_ms),
        }),
        (Answer::Waiting(id), _) => QueryOutcome::Waiting(id),
        (Answer::Busy | Answer::Reserved { .. }, _) => QueryOutcome::Busy,
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Answers an entry of the zone.
async fn handle_query(gateway: &Arc<Gateway>, query: Query) -> Answer {
    let (mode, deadline) = (query.mode, Duration::from_millis(query.deadline_ms));
    let (id, mut admission) = match mode {
        // An entry whose question came too late asks as for a new request.
        QueueMode::Resume(id) => match gateway.reservations.resume(id) {
            Some(admission) => (id, admission),
            None => return Answer::Busy,
        },
        QueueMode::Join | QueueMode::Skip => {
            let (dispatcher, id) = (
                gateway.dispatcher(&query.service),
                gateway.next_request_id(),
            );
            let request = query.request(id);
            if mode == QueueMode::Skip {
                let reservation = dispatcher.try_reserve(&request);
                return reservation.map_or(Answer::Busy, |s| grant(gateway, id, s, deadline));
            }
            let admission: Admission = Box::pin(async move { dispatcher.admit(request).await });
            (id, admission)
        }
    };
    match timeout(mode.poll_wait(), admission.as_mut()).await {
        Ok(Ok(reservation)) => grant(gateway, id, reservation, deadline),
        Ok(Err(refusal)) => match refusal.reason {
            Reason::NoWorker => Answer::NoWorker,
            Reason::Overload => Answer::Overload(millis(refusal.retry_after)),
        },
        Err(_) => {
            gateway.reservations.suspend(id, admission);
            Answer::Waiting(id)
        }
    }
}

/// Keeps a seat for the entry that asked.
fn grant(gateway: &Gateway, id: u64, reservation: Reservation, deadline: Duration) -> Answer {
    let worker = reservation.worker.clone();
    let until = Instant::now() + deadline + RESERVATION_GRACE;
    gateway.reservations.insert(id, reservation, until);
    Answer::Reserved {
        worker,
        reservation: id,
    }
}

/// Passes reports on until dropped.
pub async fn forward_reports(
    gateway: Arc<Gateway>,
    mut reports: mpsc::Receiver<(SocketAddr, Report)>,
) {
    let mut batch = Vec::new();
    while reports.recv_many(&mut batch, MAX_BATCH_REPORTS).await > 0 {
        sleep(BATCH_DELAY).await;
        while batch.len() < MAX_BATCH_REPORTS
            && let Ok(more) = reports.try_recv()
        {
            batch.push(more);
        }
        let mut messages: HashMap<SocketAddr, Vec<Report>> = HashMap::new();
        for (coordinator, report) in batch.drain(..) {
            messages.entry(coordinator).or_default().push(report);
        }
        for (coordinator, message) in messages {
            let client = gateway.instance.peers.client(coordinator);
            tokio::spawn(async move {
                let sent = client
                    .call::<_, ()>(REPORT_PATH, &message, REPORT_TIMEOUT)
                    .await;
                if let Err(error) = sent {
                    spdlog::debug!("reports for {coordinator}: {error}");
                }
            });
        }
    }
}

/// Adds the handlers of other entries' questions and reports.
#[must_use]
pub fn add_routes(router: Router, gateway: &Arc<Gateway>) -> Router {
    let queried = Arc::clone(gateway);
    let reported = Arc::clone(gateway);
    router
        .route(QUERY_PATH, move |query: Query| {
            let gateway = Arc::clone(&queried);
            async move { Ok::<_, Fault>(handle_query(&gateway, query).await) }
        })
        .route(REPORT_PATH, move |reports: Vec<Report>| {
            for report in reports {
                if let Some(reservation) = reported.reservations.remove(report.reservation) {
                    if let Some(load) = report.load {
                        reservation.record_load(load);
                    }
                    reservation.finish(report.outcome.into());
                }
            }
            async { Ok::<(), Fault>(()) }
        })
}
