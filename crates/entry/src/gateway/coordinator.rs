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
use chestnutvalve_routing::retry::Usage;
use chestnutvalve_routing::schedule::{Reason, Refusal, Request};
use chestnutvalve_wire::Router;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, timeout};

use super::charge::Charge;
use super::dispatcher::{Denied, Dispatcher, Reservation, Unplaced};
use super::report::{self, RemoteReservation, Report};
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

const QUERY_PATH: &str = "gateway/ask";

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
    charge: Charge,
    /// What others counted for the entry in the last window, if anything.
    elsewhere: Option<Elsewhere>,
}

/// Requests and extra attempts of an entry in the last window that other parts of the retry budget counted.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct Elsewhere {
    /// Id of the entry.
    entry: u64,
    requests: u32,
    extra_attempts: u32,
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
    /// The retry budget allows no extra attempt.
    Denied,
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

/// Reserves a slot of a worker and waits until one is free. The coordinator decides if there is one that answers, also
/// on the budget of `charge`.
///
/// # Errors
///
/// Returns why the coordinator or this entry's dispatcher reserved none.
pub async fn admit(
    gateway: &Arc<Gateway>,
    dispatcher: &Arc<Dispatcher>,
    request: Request,
    mut charge: Charge,
) -> Result<Reservation, Unplaced> {
    // The coordinator does not know the pauses that workers want from this entry.
    if dispatcher.is_paused(&request) {
        return admit_here(gateway, dispatcher, request, charge).await;
    }
    let mut queued = None;
    while let Some(coordinator) = remote_coordinator(gateway, dispatcher, &request) {
        let mode = match queued {
            Some((at, id)) if at == coordinator => QueueMode::Resume(id),
            _ => QueueMode::Join,
        };
        let asked = query(gateway, dispatcher, coordinator, &request, mode, charge).await;
        record_usage(gateway, dispatcher, coordinator, charge, &asked);
        charge = charge.repeated();
        match asked {
            Resolved::Reservation(reservation) => return Ok(reservation),
            Resolved::Refused(refusal) => return Err(Unplaced::Refused(refusal)),
            Resolved::Denied => return Err(Unplaced::Denied),
            // The coordinator and this entry know different versions of the state. The local scheduler only uses
            // workers that this entry knows.
            Resolved::Unknown => break,
            Resolved::Unusable => {
                charge = Charge::Nothing;
                break;
            }
            Resolved::Waiting(id) => queued = Some((coordinator, id)),
            Resolved::Busy | Resolved::Expired | Resolved::NoAnswer => queued = None,
        }
    }
    admit_here(gateway, dispatcher, request, charge).await
}

/// Waits for a slot that this entry's scheduler reserves.
async fn admit_here(
    gateway: &Gateway,
    dispatcher: &Arc<Dispatcher>,
    request: Request,
    charge: Charge,
) -> Result<Reservation, Unplaced> {
    let part = charge_here(gateway, dispatcher);
    let admitted = dispatcher.admit(request, charge).await;
    if let Some(part) = part {
        dispatcher.record_usage(part, charge.usage(admitted.is_ok()));
    }
    admitted
}

/// Tells this entry's part of the retry budget what others counted for the entry, and returns the part's id. Without
/// coordinators there are no others.
fn charge_here(gateway: &Gateway, dispatcher: &Dispatcher) -> Option<u64> {
    if gateway.coordinators(&dispatcher.service).is_empty() {
        return None;
    }
    let own = gateway.budget_part(&dispatcher.service, gateway.instance.member().peers);
    dispatcher.record_elsewhere(own, dispatcher.usage_elsewhere(own));
    Some(own)
}

/// Records what a coordinator counted for a request.
fn record_usage(
    gateway: &Gateway,
    dispatcher: &Dispatcher,
    coordinator: SocketAddr,
    charge: Charge,
    asked: &Resolved,
) {
    let is_granted = match asked {
        Resolved::NoAnswer | Resolved::Expired => return,
        Resolved::Reservation(_) | Resolved::Unusable => true,
        _ => false,
    };
    let part = gateway.budget_part(&dispatcher.service, coordinator);
    dispatcher.record_usage(part, charge.usage(is_granted));
}

/// Reserves a slot of another worker without waiting, if one has a free slot, together with the budget of `charge`.
///
/// # Errors
///
/// Returns an error if the retry budget allows no extra attempt.
pub async fn try_reserve(
    gateway: &Arc<Gateway>,
    dispatcher: &Arc<Dispatcher>,
    request: &Request,
    mut charge: Charge,
) -> Result<Option<Reservation>, Denied> {
    if let Some(coordinator) = remote_coordinator(gateway, dispatcher, request) {
        let mode = QueueMode::Skip;
        let asked = query(gateway, dispatcher, coordinator, request, mode, charge).await;
        record_usage(gateway, dispatcher, coordinator, charge, &asked);
        charge = charge.repeated();
        match asked {
            Resolved::Reservation(reservation) => return Ok(Some(reservation)),
            Resolved::Refused(_) | Resolved::Waiting(_) | Resolved::Busy => return Ok(None),
            Resolved::Denied => return Err(Denied),
            Resolved::Unusable => charge = Charge::Nothing,
            Resolved::Unknown | Resolved::Expired | Resolved::NoAnswer => {}
        }
    }
    let part = charge_here(gateway, dispatcher);
    let reserved = dispatcher.try_reserve(request, charge);
    if let Some(part) = part {
        let is_granted = matches!(reserved, Ok(Some(_)));
        dispatcher.record_usage(part, charge.usage(is_granted));
    }
    reserved
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
    /// The retry budget allows no extra attempt.
    Denied,
    /// The coordinator knows no worker for the request. The local scheduler decides.
    Unknown,
    /// The selected worker is unknown to this entry, is leaving or wants a pause, so that it cannot be used. The budget of
    /// the attempt stays used.
    Unusable,
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
    charge: Charge,
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
        charge,
        elsewhere: elsewhere(gateway, dispatcher, coordinator),
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
            Answer::Reserved { id, .. } => Some(RemoteReservation::new(coordinator, *id, reports)),
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

/// Returns what others than a coordinator counted for this entry in the last window.
fn elsewhere(
    gateway: &Gateway,
    dispatcher: &Dispatcher,
    coordinator: SocketAddr,
) -> Option<Elsewhere> {
    let part = |entry| gateway.budget_part(&dispatcher.service, entry);
    let Usage {
        requests,
        extra_attempts,
    } = dispatcher.usage_elsewhere(part(coordinator));
    (requests + extra_attempts > 0).then(|| Elsewhere {
        entry: part(gateway.instance.member().peers),
        requests,
        extra_attempts,
    })
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
            None => Resolved::Unusable,
        },
        // The coordinator may not know the workers yet after a start, and the query excluded workers that only this entry
        // can't use.
        (Answer::NoWorker, _) => Resolved::Unknown,
        (Answer::Overload(retry_after_ms), _) => Resolved::Refused(Refusal {
            reason: Reason::Overload,
            retry_after: Duration::from_millis(retry_after_ms),
        }),
        (Answer::Waiting(id), _) => Resolved::Waiting(id),
        (Answer::Denied, _) => Resolved::Denied,
        (Answer::Busy | Answer::Reserved { .. }, _) => Resolved::Busy,
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Answers a query of another entry in the zone.
async fn handle_query(gateway: &Arc<Gateway>, query: Query) -> Answer {
    let (mode, mut charge) = (query.mode, query.charge);
    if let Some(elsewhere) = query.elsewhere {
        let usage = Usage {
            requests: elsewhere.requests,
            extra_attempts: elsewhere.extra_attempts,
        };
        let dispatcher = gateway.dispatcher(&query.service);
        dispatcher.record_elsewhere(elsewhere.entry, usage);
        if charge == Charge::Deposit && preferred_answers(gateway, &query.service) {
            charge = Charge::Nothing;
        }
    }
    let deadline = Duration::from_millis(query.deadline_ms);
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
                return match dispatcher.try_reserve(&request, charge) {
                    Ok(Some(reservation)) => grant(gateway, id, reservation, deadline),
                    Ok(None) => Answer::Busy,
                    Err(Denied) => Answer::Denied,
                };
            }
            let admission: Admission =
                Box::pin(async move { dispatcher.admit(request, charge).await });
            (id, admission)
        }
    };
    match timeout(mode.poll_wait(), admission.as_mut()).await {
        Ok(Ok(reservation)) => grant(gateway, id, reservation, deadline),
        Ok(Err(Unplaced::Denied)) => Answer::Denied,
        Ok(Err(Unplaced::Refused(refusal))) => match refusal.reason {
            Reason::NoWorker => Answer::NoWorker,
            Reason::Overload | Reason::Paused => Answer::Overload(millis(refusal.retry_after)),
        },
        Err(_) => {
            gateway.reservations.suspend(id, admission);
            Answer::Waiting(id)
        }
    }
}

/// Returns whether another entry is the preferred coordinator and answers. It may still grant extra attempts for what it
/// counted, so that the requests of an entry that has just turned here must not permit as many again.
fn preferred_answers(gateway: &Gateway, service: &Service) -> bool {
    let own = gateway.instance.member().peers;
    let candidates = gateway.coordinators(service);
    let preferred = candidates.first().filter(|first| **first != own);
    preferred.is_some_and(|first| {
        let since = Instant::now().checked_sub(UNRESPONSIVE_BACKOFF);
        let answered = since.is_some_and(|since| gateway.contacts.answered_since(*first, since));
        answered && !gateway.contacts.is_unresponsive(*first)
    })
}

/// Stores a reservation for the entry that sent the query.
fn grant(gateway: &Gateway, id: u64, reservation: Reservation, deadline: Duration) -> Answer {
    let worker = reservation.worker.clone();
    let until = Instant::now() + deadline + RESERVATION_GRACE;
    gateway.reservations.insert(id, reservation, until);
    Answer::Reserved { worker, id }
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
        .route(report::PATH, move |reports: Vec<Report>| {
            for report in reports {
                if let Some(mut reservation) = reported.reservations.remove(report.reservation) {
                    if report.is_used {
                        reservation.mark_used();
                    }
                    if let Some(load) = report.load {
                        reservation.record_load(load);
                    }
                    reservation.finish(report.outcome());
                }
            }
            async { Ok::<(), Fault>(()) }
        })
}
