//! When an accountant may grant permits, and into how many shares limits are divided.
//!
//! Entries learn of changes of the set of accountants at different times. An accountant that may have been replaced
//! unnoticed stops before its successor starts, and a share is only enlarged after all have seen the smaller set.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use chestnutvalve_model::version::Version;

/// Time without a state that a quorum confirmed after which an accountant stops: less than [`START_DELAY`] by the time for
/// which a control instance without a quorum may still answer as if it had one.
pub const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(8);
/// Time for which a new accountant waits before it grants permits, and for which shares stay as small as they were.
pub const START_DELAY: Duration = Duration::from_secs(10);
/// Age of a confirmed state without limits up to which an accountant concludes that nobody has granted permits before. A
/// watch lasts 1.5 s, and the one that brings the first limits begins after the one that confirmed that there are none.
const RECENT: Duration = Duration::from_secs(5);
/// Number of accountants that may have left just before this one restarted: those of an availability zone.
const UNSEEN_SHARES: usize = 4;

/// What the directory tells about processes before this one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Origin {
    /// Others may have been accountants in place of this entry.
    #[default]
    Unknown,
    /// The directory lists an earlier process of this entry.
    Restarted,
    /// All entries of the directory were started at about the same time as this one.
    NewFleet,
}

/// What an entry knows at one time. All instants are those of a clock that also counts while the machine sleeps.
#[derive(Clone, Copy, Debug)]
pub struct View {
    /// Version of the state that the rest, except for the confirmation, is derived from.
    pub version: Version,
    /// Number of accountants in the directory.
    pub accountants: usize,
    /// Whether this entry is one of them.
    pub listed: bool,
    /// What the directory tells about earlier processes.
    pub origin: Origin,
    /// Whether any customer has a limit.
    pub limits: bool,
    /// When the state that a quorum confirmed last was asked for, and its version; `None` before the first one.
    pub confirmed: Option<(Instant, Version)>,
}

/// How an accountant starts to grant permits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Start {
    /// Nobody has granted permits before, so that its buckets are full.
    Full,
    /// Others may have granted permits of its share until now, so that its buckets are empty.
    Empty,
    /// The former process of the entry granted its share, so that its buckets were empty when this process started.
    Restarted,
    /// Its share was not granted by anyone meanwhile, so that its buckets are as they were.
    Resumed,
}

/// Change in whether an accountant grants permits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// It starts.
    Started(Start),
    /// It stops.
    Stopped,
}

#[derive(Clone, Copy, Debug)]
enum Status {
    /// It is no accountant, or no customer has a limit.
    Outside,
    Waiting {
        until: Instant,
    },
    Active,
    /// It has had no confirmed state for too long since this version.
    Unconfirmed(Version),
}

/// Membership of one entry in the set of accountants.
#[derive(Debug)]
pub struct Membership {
    status: Status,
    /// When the first confirmed state was seen.
    first_at: Option<Instant>,
    /// The confirmation that the last observation had.
    confirmed: Option<(Instant, Version)>,
    /// Newest version that was observed.
    version: Version,
    /// When the last confirmed state without limits was seen.
    unlimited_at: Option<Instant>,
    /// Numbers of accountants, each with the time until which it was seen.
    counts: VecDeque<(usize, Instant)>,
    /// Until when accountants may have left of which this process doesn't know.
    unseen_until: Option<Instant>,
}

impl Default for Membership {
    fn default() -> Self {
        Self {
            status: Status::Outside,
            first_at: None,
            confirmed: None,
            version: Version::ZERO,
            unlimited_at: None,
            counts: VecDeque::new(),
            unseen_until: None,
        }
    }
}

impl Membership {
    /// Returns whether the accountant may grant permits, as of the last observation.
    #[must_use]
    pub fn is_active(&self) -> bool {
        matches!(self.status, Status::Active)
    }

    /// Returns the number of shares into which limits are divided: the largest number of accountants of the last 10 s.
    #[must_use]
    pub fn shares(&self, now: Instant) -> usize {
        let largest = self.counts.iter().map(|(count, _)| *count).max();
        let unseen = self.unseen_until.is_some_and(|until| now < until);
        largest.unwrap_or(1).max(1) + if unseen { UNSEEN_SHARES } else { 0 }
    }

    /// Applies what the entry knows now, and returns whether the accountant starts or stops. Must be called several
    /// times a second and before each grant.
    pub fn observe(&mut self, now: Instant, view: &View) -> Option<Change> {
        let was_active = self.is_active();
        let confirmed = view.confirmed.map_or(Version::ZERO, |(_, version)| version);
        // A request that waited may still hold a view from before a change, which must not undo what the change led to.
        let start = if view.version < self.version.max(confirmed) {
            self.expire(now);
            None
        } else {
            self.version = view.version;
            self.record_count(now, view.accountants);
            self.advance(now, view)
        };
        match (was_active, self.is_active()) {
            (false, true) => Some(Change::Started(start.unwrap_or(Start::Empty))),
            (true, false) => Some(Change::Stopped),
            _ => None,
        }
    }

    /// Stops without a recent confirmation.
    fn expire(&mut self, now: Instant) {
        if let Some((at, version)) = self.confirmed
            && is_older(now, at, CONFIRMATION_TIMEOUT)
        {
            self.stop(version);
        }
    }

    /// Stops an accountant whose last confirmed version was `version`, or ends its wait.
    fn stop(&mut self, version: Version) {
        self.status = match self.status {
            Status::Active => Status::Unconfirmed(version),
            Status::Waiting { .. } => Status::Outside,
            other => other,
        };
    }

    fn advance(&mut self, now: Instant, view: &View) -> Option<Start> {
        let Some((at, version)) = view.confirmed else {
            self.status = Status::Outside;
            return None;
        };
        let previous = self.confirmed.replace((at, version));
        let first_at = *self.first_at.get_or_insert(now);
        // A process that was frozen may see the next confirmation before it notices that the last one was too old.
        let had_gap = previous
            .is_some_and(|(before, _)| at.saturating_duration_since(before) > CONFIRMATION_TIMEOUT);
        if let Some((_, before)) = previous
            && (had_gap || is_older(now, at, CONFIRMATION_TIMEOUT))
        {
            self.stop(before);
        }
        if !view.limits {
            self.unlimited_at = Some(at);
        }
        if !view.limits || !view.listed {
            self.status = Status::Outside;
            return None;
        }
        if is_older(now, at, CONFIRMATION_TIMEOUT) {
            return None;
        }
        let is_first_table = self
            .unlimited_at
            .take()
            .is_some_and(|at| !is_older(now, at, RECENT));
        let (status, start) = match self.status {
            Status::Outside if is_first_table => (Status::Active, Some(Start::Full)),
            // Either the directory shows who else may grant, or the whole fleet has just started.
            Status::Outside
                if (previous.is_none() && view.origin == Origin::Restarted)
                    || (view.origin == Origin::NewFleet
                        && !is_older(now, first_at, START_DELAY)) =>
            {
                self.unseen_until = Some(now + START_DELAY);
                let start = match view.origin {
                    Origin::Restarted => Start::Restarted,
                    _ => Start::Empty,
                };
                (Status::Active, Some(start))
            }
            Status::Unconfirmed(before) if before == version => {
                (Status::Active, Some(Start::Resumed))
            }
            Status::Outside | Status::Unconfirmed(_) => {
                let until = now + START_DELAY;
                (Status::Waiting { until }, None)
            }
            Status::Waiting { until } if now >= until => (Status::Active, Some(Start::Empty)),
            unchanged => (unchanged, None),
        };
        self.status = status;
        start
    }

    fn record_count(&mut self, now: Instant, count: usize) {
        match self.counts.back_mut() {
            Some((last, seen)) if *last == count => *seen = now,
            _ => self.counts.push_back((count, now)),
        }
        let expired = |(_, seen): &(usize, Instant)| is_older(now, *seen, START_DELAY);
        while self.counts.front().is_some_and(expired) {
            self.counts.pop_front();
        }
    }
}

fn is_older(now: Instant, at: Instant, age: Duration) -> bool {
    now.saturating_duration_since(at) > age
}
