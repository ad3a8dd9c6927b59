//! Worker reservations that one entry, the coordinator, makes for all entries of its availability zone.
//!
//! In the expected load, a hundred entries with narrow links share workers with two slots, and each entry sees a few
//! requests per second. An entry that only knows its own requests spreads them at random: some workers queue requests
//! while others are idle, and faulty workers are detected late. A few entries cannot carry the traffic of all, but one
//! can make the decisions for a zone, because a decision is a short message. While the coordinator does not answer,
//! each entry decides for itself.

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

/// Entries of a zone that may coordinate a service. The second one takes over while the first does not answer.
const CANDIDATES_PER_ZONE: usize = 2;
/// How long a coordinator keeps the first query for a request open before it answers that the request is queued. The
/// entry then polls again.
const FIRST_POLL_WAIT: Duration = Duration::from_millis(40);
/// The same for later polls, whose entry knows that the coordinator is reachable. Fewer polls save bandwidth on narrow
/// links.
const REPEATED_POLL_WAIT: Duration = Duration::from_millis(250);
/// Time for the coordinator's answer beyond the poll wait: 100 ms each way on a narrow link that carries downloads.
/// With 110 ms, one answer in ten came too late on a fleet without faults.
const ROUND_TRIP_TIMEOUT: Duration = Duration::from_millis(210);
/// How long after a request's deadline an answer is still accepted, so that the reservation in it is released at once.
const LATE_ANSWER_GRACE: Duration = Duration::from_secs(2);
/// How long a coordinator that did not answer is not queried.
const UNRESPONSIVE_BACKOFF: Duration = Duration::from_secs(2);
/// How long after a request's deadline its reservation expires if its entry has not reported an outcome. The worker has
/// stopped processing the request by then.
const RESERVATION_GRACE: Duration = Duration::from_millis(500);
/// How long reports are collected before they are sent in one message.
const BATCH_DELAY: Duration = Duration::from_millis(5);
/// Maximum number of reports in one message.
const MAX_BATCH_REPORTS: usize = 64;
/// Maximum number of reports that wait to be sent: several seconds' worth at the highest rate.
pub const MAX_QUEUED_REPORTS: usize = 1_024;
/// Timeout of a call that delivers reports to a coordinator.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

const QUERY_PATH: &str = "gateway/ask";
const REPORT_PATH: &str = "gateway/report";

/// Query of an entry for a reservation.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Query {
    service: Service,
    rank: Rank,
    /// Hashes of the route and of the customer.
    class: u64,
    customer: Option<u64>,
    download: bool,
    at_most_once: bool,
    /// Time left until the target and until the deadline, in milliseconds.
    target_ms: u64,
    deadline_ms: u64,
    /// Workers to exclude.
    tried: Vec<Worker>,
    /// Workers to which the entry has an open connection.
    connected: Vec<Worker>,
    mode: QueueMode,
}

/// What the coordinator does with the request if no worker has a free slot.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
enum QueueMode {
    /// Answers at once.
    Skip,
    /// Adds the request to the queue.
    Join,
    /// Continues to wait for a request that is queued under this id.
    Resume(u64),
}

/// The coordinator's answer to a query.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Answer {
    /// A slot of this worker is reserved for the request.
    Reserved {
        /// The worker.
        worker: Worker,
        /// Id of the reservation at the coordinator.
        id: u64,
    },
    /// No worker has a free slot at present.
    Busy,
    /// The request is queued under this id and is removed unless its entry polls again.
    Waiting(u64),
    /// No worker is eligible for the request.
    NoWorker,
    /// The request cannot be answered in time. The caller may retry after this time, in milliseconds.
    Overload(u64),
}

impl Query {
    /// Returns the request in the form that the coordinator's scheduler takes.
    fn request(self, id: u64) -> Request {
        let now = clock::now();
        Request {
            id,
            rank: self.rank,
            class: self.class,
            customer: self.customer,
            download: self.download,
            at_most_once: self.at_most_once,
            target: now + Duration::from_millis(self.target_ms),
            deadline: now + Duration::from_millis(self.deadline_ms),
            tried: self.tried,
            connected: self.connected,
            remote: true,
        }
    }
}

impl QueueMode {
    /// Returns how long the coordinator keeps the query open.
    fn poll_wait(self) -> Duration {
        match self {
            Self::Skip => Duration::ZERO,
            Self::Join => FIRST_POLL_WAIT,
            Self::Resume(_) => REPEATED_POLL_WAIT,
        }
    }
}

/// Outcome of a reservation, sent to the coordinator.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Report {
    reservation: u64,
    outcome: ReportedOutcome,
    /// Number of requests at the worker, if the worker reported it.
    load: Option<u32>,
}

/// The part of [`Outcome`] that applies to other entries as well.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
enum ReportedOutcome {
    Success,
    Failure,
    Shed,
    Gone,
    /// The attempt provides no evidence about the worker.
    NoEvidence,
}

impl From<Outcome> for ReportedOutcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Success => Self::Success,
            Outcome::Failure => Self::Failure,
            Outcome::Shed => Self::Shed,
            Outcome::Gone => Self::Gone,
            // This entry's network path to the worker says nothing about the paths of others.
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

/// Queue of reports, each with the address of its coordinator.
pub type ReportSender = mpsc::Sender<(SocketAddr, Report)>;

/// A reservation that a coordinator made for this entry. Dropping it reports the outcome.
#[derive(Debug)]
pub struct RemoteReservation {
    coordinator: SocketAddr,
    id: u64,
    reports: ReportSender,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Number of requests at the worker, if the worker reported it.
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
            spdlog::debug!(
                "dropped the outcome report of reservation {}: the queue is full",
                self.id
            );
        }
    }
}

/// When each coordinator last answered, and until when an unresponsive one is not queried.
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

    /// Returns whether a coordinator has answered any query since `since`. If it has, it is running and the link is
    /// slow; another coordinator would reserve the same slots again.
    fn answered_since(&self, coordinator: SocketAddr, since: Instant) -> bool {
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

/// Returns the peer addresses of the entries that may coordinate a service in a zone, in order of preference: those
/// with a wide link. The list is empty if no entry of the zone has a narrow link.
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

/// Returns the peer addresses of the entries that may coordinate a service in any zone.
#[must_use]
pub fn coordinators_of_all_zones(state: &State, service: &Service) -> BTreeSet<SocketAddr> {
    let members = state.directory.members.values();
    let zones: BTreeSet<&Zone> = members.map(|m| &m.zone).collect();
    let of = |zone| coordinators(state, service, zone);
    zones.into_iter().flat_map(of).collect()
}

/// Returns the peer addresses of the entries that coordinate a service in each zone.
#[must_use]
pub fn first_coordinators(state: &State, service: &Service) -> BTreeSet<SocketAddr> {
    let members = state.directory.members.values();
    let zones: BTreeSet<&Zone> = members.map(|m| &m.zone).collect();
    let first = |zone| coordinators(state, service, zone).first().copied();
    zones.into_iter().filter_map(first).collect()
}

/// Reserves a slot of a worker and waits until one is free. The coordinator decides if there is one that answers.
///
/// # Errors
///
/// Returns the refusal of the coordinator or of the local scheduler.
pub async fn admit(
    gateway: &Arc<Gateway>,
    dispatcher: &Arc<Dispatcher>,
    request: Request,
) -> Result<Reservation, Refusal> {
    // The coordinator does not know the pauses that workers want from this entry.
    if dispatcher.is_paused(&request) {
        return dispatcher.admit(request).await;
    }
    let mut queued = None;
    while let Some(coordinator) = remote_coordinator(gateway, dispatcher, &request) {
        let mode = match queued {
            Some((at, id)) if at == coordinator => QueueMode::Resume(id),
            _ => QueueMode::Join,
        };
        match query(gateway, dispatcher, coordinator, &request, mode).await {
            Resolved::Reservation(reservation) => return Ok(reservation),
            Resolved::Refused(refusal) => return Err(refusal),
            // The coordinator and this entry know different versions of the state. The local scheduler only uses
            // workers that this entry knows.
            Resolved::Unknown => break,
            Resolved::Waiting(id) => queued = Some((coordinator, id)),
            Resolved::Busy | Resolved::Expired | Resolved::NoAnswer => queued = None,
        }
    }
    dispatcher.admit(request).await
}

/// Reserves a slot of another worker without waiting, if one has a free slot.
pub async fn try_reserve(
    gateway: &Arc<Gateway>,
    dispatcher: &Arc<Dispatcher>,
    request: &Request,
) -> Option<Reservation> {
    if let Some(coordinator) = remote_coordinator(gateway, dispatcher, request) {
        match query(gateway, dispatcher, coordinator, request, QueueMode::Skip).await {
            Resolved::Reservation(reservation) => return Some(reservation),
            Resolved::Refused(_) | Resolved::Waiting(_) | Resolved::Busy => return None,
            Resolved::Unknown | Resolved::Expired | Resolved::NoAnswer => {}
        }
    }
    dispatcher.try_reserve(request)
}

/// Returns the coordinator of a service. Returns `None` if this entry is the coordinator, none responds, or the
/// request's deadline has passed.
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

/// A query's result for the entry that sent it.
enum Resolved {
    Reservation(Reservation),
    Refused(Refusal),
    Busy,
    /// The request is queued at the coordinator under this id.
    Waiting(u64),
    /// The selected worker is unknown to this entry, is leaving or wants a pause, so that it cannot be used, or the
    /// coordinator knows no worker. The local scheduler decides.
    Unknown,
    /// The request's deadline passed before an answer arrived.
    Expired,
    /// The coordinator did not answer.
    NoAnswer,
}

async fn query(
    gateway: &Arc<Gateway>,
    dispatcher: &Arc<Dispatcher>,
    coordinator: SocketAddr,
    request: &Request,
    mode: QueueMode,
) -> Resolved {
    let now = clock::now();
    let left = request.deadline.saturating_duration_since(now);
    let wait = mode.poll_wait() + ROUND_TRIP_TIMEOUT;
    // The coordinator has the full first query of a queued request. Repeating it would use up bandwidth on narrow
    // links.
    let (tried, connected) = match mode {
        QueueMode::Resume(_) => Default::default(),
        QueueMode::Join | QueueMode::Skip => {
            let unusable = dispatcher.unusable_workers();
            let tried = request.tried.iter().cloned().chain(unusable);
            (tried.collect(), request.connected.clone())
        }
    };
    let query = Query {
        service: dispatcher.service.clone(),
        rank: request.rank,
        class: request.class,
        customer: request.customer,
        download: request.download,
        at_most_once: request.at_most_once,
        target_ms: millis(request.target.saturating_duration_since(now)),
        deadline_ms: millis(left),
        tried,
        connected,
        mode,
    };
    let client = gateway.instance.peers.client(coordinator);
    let reports = gateway.reports.clone();
    let shared = Arc::clone(gateway);
    // The task also receives an answer that comes late or after the caller has disconnected, so that the reservation in
    // it is released.
    let mut call = tokio::spawn(async move {
        let answer: Answer = client
            .call(QUERY_PATH, &query, left + LATE_ANSWER_GRACE)
            .await?;
        shared.contacts.record_answer(coordinator);
        let remote = match &answer {
            Answer::Reserved { id, .. } => Some(RemoteReservation {
                coordinator,
                id: *id,
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
            // The query was short of time because of the request's deadline, so that the coordinator may well answer
            // others.
            Err(_) if Instant::now() >= deadline => return Resolved::Expired,
            Err(_) if gateway.contacts.answered_since(coordinator, since) => since = Instant::now(),
            Err(_) => break "no answer before the timeout".to_owned(),
        }
    };
    gateway.contacts.record_timeout(coordinator);
    let service = &dispatcher.service;
    spdlog::info!("coordinator unavailable", kv: {service:, coordinator:, cause:});
    Resolved::NoAnswer
}

fn interpret(
    dispatcher: &Arc<Dispatcher>,
    answer: Answer,
    remote: Option<RemoteReservation>,
) -> Resolved {
    match (answer, remote) {
        (Answer::Reserved { worker, .. }, Some(remote)) => match dispatcher.accept(&worker, remote)
        {
            Some(reservation) => Resolved::Reservation(reservation),
            None => Resolved::Unknown,
        },
        // The coordinator may not know the workers yet after a start, and the query excluded workers that only this entry
        // can't use.
        (Answer::NoWorker, _) => Resolved::Unknown,
        (Answer::Overload(retry_after_ms), _) => Resolved::Refused(Refusal {
            reason: Reason::Overload,
            retry_after: Duration::from_millis(retry_after_ms),
        }),
        (Answer::Waiting(id), _) => Resolved::Waiting(id),
        (Answer::Busy | Answer::Reserved { .. }, _) => Resolved::Busy,
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Answers a query of another entry in the zone.
async fn handle_query(gateway: &Arc<Gateway>, query: Query) -> Answer {
    let (mode, deadline) = (query.mode, Duration::from_millis(query.deadline_ms));
    let (id, mut admission) = match mode {
        // A poll that came too late finds no queued request; the entry then sends a full query.
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
            Reason::Overload | Reason::Paused => Answer::Overload(millis(refusal.retry_after)),
        },
        Err(_) => {
            gateway.reservations.suspend(id, admission);
            Answer::Waiting(id)
        }
    }
}

/// Stores a reservation for the entry that sent the query.
fn grant(gateway: &Gateway, id: u64, reservation: Reservation, deadline: Duration) -> Answer {
    let worker = reservation.worker.clone();
    let until = Instant::now() + deadline + RESERVATION_GRACE;
    gateway.reservations.insert(id, reservation, until);
    Answer::Reserved { worker, id }
}

/// Sends queued reports to their coordinators until dropped.
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
                    spdlog::debug!("sending reports to coordinator {coordinator} failed: {error}");
                }
            });
        }
    }
}

/// Adds the handlers of queries and reports from other entries.
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
