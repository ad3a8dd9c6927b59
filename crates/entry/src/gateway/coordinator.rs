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
const CANDIDATES: usize = 2;
/// Time for which a coordinator keeps a first question before it says that the request waits. The entry then asks again.
const HOLD: Duration = Duration::from_millis(40);
/// The same for further questions, whose entry knows that the coordinator is there. Fewer questions leave room on narrow
/// links.
const HOLD_AGAIN: Duration = Duration::from_millis(250);
/// Time for an answer of the coordinator beyond the hold: 100 ms each way on a narrow link that carries downloads. With 110 ms,
/// one answer in ten came too late on a calm fleet.
const ASK_TIMEOUT: Duration = Duration::from_millis(210);
/// Time after the deadline of a request for which an answer is still taken, so that the place in it is given back at once.
const LATE_ANSWER: Duration = Duration::from_secs(2);
/// Time for which a coordinator that did not answer is not asked.
const SILENT: Duration = Duration::from_secs(2);
/// Time after the deadline of a request after which its place is free again, if its entry has not said so. Its worker has
/// stopped by then.
const EXPIRY: Duration = Duration::from_millis(500);
/// Time for which reports are gathered.
const GATHER: Duration = Duration::from_millis(5);
/// Reports in one message.
const MAX_BATCH: usize = 64;
/// Reports that wait to be passed on, several seconds' worth at the worst rate.
pub const MAX_QUEUED_REPORTS: usize = 1_024;
/// Time for a coordinator to take reports.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

const ASK_PATH: &str = "gateway/ask";
const REPORT_PATH: &str = "gateway/report";

/// Question of an entry for a place.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Ask {
    service: Service,
    rank: Rank,
    download: bool,
    once: bool,
    /// Time to the target and to the deadline, in milliseconds.
    target_ms: u64,
    deadline_ms: u64,
    /// Workers that are not wanted.
    tried: Vec<Worker>,
    /// Workers to which the entry has a connection.
    connected: Vec<Worker>,
    turn: Turn,
}

/// What an entry wants if no worker has room.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
enum Turn {
    /// An answer at once.
    Never,
    /// To join the queue.
    New,
    /// To stay in the queue, where the request has this number.
    Kept(u64),
}

/// Answer of the coordinator.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Answer {
    /// The request goes to this worker.
    Placed {
        /// The worker.
        worker: Worker,
        /// Number of the place at the coordinator.
        place: u64,
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

impl Ask {
    /// Returns the request as the coordinator sees it.
    fn request(self, id: u64) -> Request {
        let now = clock::now();
        Request {
            id,
            rank: self.rank,
            download: self.download,
            at_most_once: self.once,
            target: now + Duration::from_millis(self.target_ms),
            deadline: now + Duration::from_millis(self.deadline_ms),
            tried: self.tried,
            connected: self.connected,
        }
    }
}

impl Turn {
    /// Returns the time for which the coordinator may keep the question.
    fn hold(self) -> Duration {
        match self {
            Self::Never => Duration::ZERO,
            Self::New => HOLD,
            Self::Kept(_) => HOLD_AGAIN,
        }
    }
}

/// How the use of a place ended.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Report {
    place: u64,
    end: End,
    /// Requests at the worker, if it told.
    load: Option<u32>,
}

/// [`Outcome`], as far as it concerns other entries.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
enum End {
    Success,
    Failure,
    Shed,
    Gone,
    /// The attempt says nothing about the worker.
    Nothing,
}

impl From<Outcome> for End {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Success => Self::Success,
            Outcome::Failure => Self::Failure,
            Outcome::Shed => Self::Shed,
            Outcome::Gone => Self::Gone,
            // The path of this entry to the worker says nothing about that of others.
            Outcome::Unreachable | Outcome::Cancelled => Self::Nothing,
        }
    }
}

impl From<End> for Outcome {
    fn from(end: End) -> Self {
        match end {
            End::Success => Self::Success,
            End::Failure => Self::Failure,
            End::Shed => Self::Shed,
            End::Gone => Self::Gone,
            End::Nothing => Self::Cancelled,
        }
    }
}

/// Reports on their way, with their coordinators.
pub type Reports = mpsc::Sender<(SocketAddr, Report)>;

/// Place that a coordinator gave out; reported when dropped.
#[derive(Debug)]
pub struct Place {
    coordinator: SocketAddr,
    number: u64,
    reports: Reports,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Requests at the worker, if it told.
    pub load: Option<u32>,
}

impl Drop for Place {
    fn drop(&mut self) {
        let report = Report {
            place: self.number,
            end: self.outcome.into(),
            load: self.load,
        };
        if self.reports.try_send((self.coordinator, report)).is_err() {
            spdlog::debug!("place {} is not reported: too many wait", self.number);
        }
    }
}

/// When coordinators answered last, and until when those that did not are not asked.
#[derive(Debug, Default)]
pub struct Answering(Mutex<HashMap<SocketAddr, Contact>>);

#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    answered: Option<Instant>,
    silent_until: Option<Instant>,
}

impl Answering {
    fn is_silent(&self, coordinator: SocketAddr) -> bool {
        let contacts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let until = contacts.get(&coordinator).and_then(|c| c.silent_until);
        until.is_some_and(|until| Instant::now() < until)
    }

    fn answered(&self, coordinator: SocketAddr) {
        let mut contacts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        contacts.entry(coordinator).or_default().answered = Some(Instant::now());
    }

    /// Returns whether a coordinator has answered any question since an instant. Then it is there and the link is slow; another
    /// coordinator would give out the same places.
    fn has_since(&self, coordinator: SocketAddr, since: Instant) -> bool {
        let contacts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let at = contacts.get(&coordinator).and_then(|c| c.answered);
        at.is_some_and(|at| at >= since)
    }

    fn missed(&self, coordinator: SocketAddr) {
        let mut contacts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let contact = contacts.entry(coordinator).or_default();
        contact.silent_until = Some(Instant::now() + SILENT);
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
    let owners = placement::owners(service, CANDIDATES, &near);
    let members = owners.iter().filter_map(|o| near.members.get(o));
    members.map(|m| m.peers).collect()
}

/// Returns the internal addresses of the entries that may coordinate a service in any zone.
#[must_use]
pub fn of_all_zones(state: &State, service: &Service) -> BTreeSet<SocketAddr> {
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
    let mut kept = None;
    while let Some(coordinator) = asked(gateway, dispatcher, &request) {
        let turn = match kept {
            Some((at, number)) if at == coordinator => Turn::Kept(number),
            _ => Turn::New,
        };
        match ask(gateway, dispatcher, coordinator, &request, turn).await {
            Answered::Reservation(reservation) => return Ok(reservation),
            Answered::Refused(refusal) => return Err(refusal),
            // One of the two has not heard of a change; this entry is sure of the workers that it knows.
            Answered::Unknown => break,
            Answered::Waiting(number) => kept = Some((coordinator, number)),
            Answered::Busy | Answered::TooLate | Answered::Nothing => kept = None,
        }
    }
    dispatcher.admit(request).await
}

/// Takes a place at another worker at once, if one has room.
pub async fn another(
    gateway: &Arc<Gateway>,
    dispatcher: &Arc<Dispatcher>,
    request: &Request,
) -> Option<Reservation> {
    if let Some(coordinator) = asked(gateway, dispatcher, request) {
        match ask(gateway, dispatcher, coordinator, request, Turn::Never).await {
            Answered::Reservation(reservation) => return Some(reservation),
            Answered::Refused(_) | Answered::Waiting(_) | Answered::Busy => return None,
            Answered::Unknown | Answered::TooLate | Answered::Nothing => {}
        }
    }
    dispatcher.another(request)
}

/// Returns the coordinator of a service, unless it is this entry, none answers, or the request has no time left.
fn asked(gateway: &Gateway, dispatcher: &Dispatcher, request: &Request) -> Option<SocketAddr> {
    if clock::now() >= request.deadline {
        return None;
    }
    let own = gateway.instance.member().peers;
    let candidates = gateway.coordinators(&dispatcher.service);
    let mut answering = candidates
        .iter()
        .filter(|c| !gateway.answering.is_silent(**c));
    answering.next().copied().filter(|first| *first != own)
}

/// What an entry makes of the coordinator's answer.
enum Answered {
    Reservation(Reservation),
    Refused(Refusal),
    Busy,
    /// The request waits at the coordinator under this number.
    Waiting(u64),
    /// The worker is unknown here or leaving, and is not used.
    Unknown,
    /// There was no answer before the request's deadline.
    TooLate,
    /// There was no answer.
    Nothing,
}

async fn ask(
    gateway: &Arc<Gateway>,
    dispatcher: &Arc<Dispatcher>,
    coordinator: SocketAddr,
    request: &Request,
    turn: Turn,
) -> Answered {
    let now = clock::now();
    let left = request.deadline.saturating_duration_since(now);
    let wait = turn.hold() + ASK_TIMEOUT;
    // The coordinator keeps the first question for a request in its queue; narrow links carry no more than needed.
    let (tried, connected) = match turn {
        Turn::Kept(_) => Default::default(),
        Turn::New | Turn::Never => {
            let tried = request
                .tried
                .iter()
                .cloned()
                .chain(dispatcher.unreachable());
            (tried.collect(), request.connected.clone())
        }
    };
    let ask = Ask {
        service: dispatcher.service.clone(),
        rank: request.rank,
        download: request.download,
        once: request.at_most_once,
        target_ms: millis(request.target.saturating_duration_since(now)),
        deadline_ms: millis(left),
        tried,
        connected,
        turn,
    };
    let client = gateway.instance.peers.client(coordinator);
    let reports = gateway.reports.clone();
    let shared = Arc::clone(gateway);
    // The answer is taken also when it is late or the caller leaves meanwhile, so that the place is given back.
    let mut call = tokio::spawn(async move {
        let answer: Answer = client.call(ASK_PATH, &ask, left + LATE_ANSWER).await?;
        shared.answering.answered(coordinator);
        let place = match &answer {
            Answer::Placed { place, .. } => Some(Place {
                coordinator,
                number: *place,
                reports,
                outcome: Outcome::Cancelled,
                load: None,
            }),
            _ => None,
        };
        Ok::<_, chestnutvalve_wire::Error>((answer, place))
    });
    let end = Instant::now() + left;
    let mut since = Instant::now();
    let cause = loop {
        let limit = end.saturating_duration_since(since).min(wait);
        match timeout(limit, &mut call).await {
            Ok(Ok(Ok((answer, place)))) => return understood(dispatcher, answer, place),
            Ok(Ok(Err(error))) => break error.to_string(),
            Ok(Err(error)) => break error.to_string(),
            // With little time left the coordinator may well answer others.
            Err(_) if Instant::now() >= end => return Answered::TooLate,
            Err(_) if gateway.answering.has_since(coordinator, since) => since = Instant::now(),
            Err(_) => break "no answer in time".to_owned(),
        }
    };
    gateway.answering.missed(coordinator);
    let service = &dispatcher.service;
    spdlog::info!("coordinator lost", kv: {service:, coordinator:, cause:});
    Answered::Nothing
}

fn understood(dispatcher: &Arc<Dispatcher>, answer: Answer, place: Option<Place>) -> Answered {
    match (answer, place) {
        (Answer::Placed { worker, .. }, Some(place)) => {
            match dispatcher.reserve_granted(&worker, place) {
                Some(reservation) => Answered::Reservation(reservation),
                None => Answered::Unknown,
            }
        }
        (Answer::NoWorker, _) => Answered::Refused(Refusal {
            reason: Reason::NoWorker,
            retry_after: Duration::ZERO,
        }),
        (Answer::Overload(retry_after_ms), _) => Answered::Refused(Refusal {
            reason: Reason::Overload,
            retry_after: Duration::from_millis(retry_after_ms),
        }),
        (Answer::Waiting(number), _) => Answered::Waiting(number),
        (Answer::Busy | Answer::Placed { .. }, _) => Answered::Busy,
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Answers an entry of the zone.
async fn answer(gateway: &Arc<Gateway>, ask: Ask) -> Answer {
    let (turn, deadline) = (ask.turn, Duration::from_millis(ask.deadline_ms));
    let (number, mut admission) = match turn {
        // An entry whose question came too late asks as for a new request.
        Turn::Kept(number) => match gateway.reservations.resume(number) {
            Some(admission) => (number, admission),
            None => return Answer::Busy,
        },
        Turn::New | Turn::Never => {
            let (dispatcher, number) = (gateway.dispatcher(&ask.service), gateway.ticket());
            let request = ask.request(number);
            if turn == Turn::Never {
                let reservation = dispatcher.another(&request);
                return reservation.map_or(Answer::Busy, |s| given(gateway, number, s, deadline));
            }
            let admission: Admission = Box::pin(async move { dispatcher.admit(request).await });
            (number, admission)
        }
    };
    match timeout(turn.hold(), admission.as_mut()).await {
        Ok(Ok(reservation)) => given(gateway, number, reservation, deadline),
        Ok(Err(refusal)) => match refusal.reason {
            Reason::NoWorker => Answer::NoWorker,
            Reason::Overload => Answer::Overload(millis(refusal.retry_after)),
        },
        Err(_) => {
            gateway.reservations.wait(number, admission);
            Answer::Waiting(number)
        }
    }
}

/// Keeps a seat for the entry that asked.
fn given(gateway: &Gateway, place: u64, reservation: Reservation, deadline: Duration) -> Answer {
    let worker = reservation.worker.clone();
    let until = Instant::now() + deadline + EXPIRY;
    gateway.reservations.keep(place, reservation, until);
    Answer::Placed { worker, place }
}

/// Passes reports on until dropped.
pub async fn forward_reports(
    gateway: Arc<Gateway>,
    mut reports: mpsc::Receiver<(SocketAddr, Report)>,
) {
    let mut batch = Vec::new();
    while reports.recv_many(&mut batch, MAX_BATCH).await > 0 {
        sleep(GATHER).await;
        while batch.len() < MAX_BATCH
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
                let told = client
                    .call::<_, ()>(REPORT_PATH, &message, REPORT_TIMEOUT)
                    .await;
                if let Err(error) = told {
                    spdlog::debug!("reports for {coordinator}: {error}");
                }
            });
        }
    }
}

/// Adds the handlers of other entries' questions and reports.
#[must_use]
pub fn add_routes(router: Router, gateway: &Arc<Gateway>) -> Router {
    let asked = Arc::clone(gateway);
    let told = Arc::clone(gateway);
    router
        .route(ASK_PATH, move |ask: Ask| {
            let gateway = Arc::clone(&asked);
            async move { Ok::<_, Fault>(answer(&gateway, ask).await) }
        })
        .route(REPORT_PATH, move |reports: Vec<Report>| {
            for report in reports {
                if let Some(reservation) = told.reservations.take(report.place) {
                    if let Some(load) = report.load {
                        reservation.report(load);
                    }
                    reservation.finish(report.end.into());
                }
            }
            async { Ok::<(), Fault>(()) }
        })
}
