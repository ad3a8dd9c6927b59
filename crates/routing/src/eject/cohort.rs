//! Workers that are compared with each other: those of a service, or of one route of it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use chestnutvalve_model::id::Worker;

use super::score::{Score, Test};

/// Time after its last attempt for which a worker counts as a peer.
const ACTIVE: Duration = Duration::from_mins(1);
/// Fewest active workers that can be compared.
const MIN_PEERS: usize = 2;

/// What an attempt says: `None` if nothing.
#[derive(Clone, Copy, Debug)]
pub(super) struct Signal {
    /// Whether it was an error.
    pub(super) error: Option<bool>,
    /// Whether it was slow or shed.
    pub(super) slow: Option<bool>,
}

/// Tests of both kinds of evidence.
#[derive(Clone, Copy, Debug)]
pub(super) struct Tests {
    pub(super) error: Test,
    pub(super) slow: Test,
}

/// Evidence of both kinds against a worker.
#[derive(Clone, Debug, Default)]
pub(super) struct Track {
    error: Score,
    slow: Score,
}

impl Track {
    fn last(&self) -> Option<Instant> {
        self.error.last().max(self.slow.last())
    }
}

/// Evidence against workers that do the same work.
#[derive(Clone, Debug)]
pub(super) struct Cohort {
    tests: Tests,
    tracks: BTreeMap<Worker, Track>,
    /// Lower quartiles of the rates of the active workers.
    error: Option<f64>,
    slow: Option<f64>,
    /// Attempts since the quartiles were computed.
    stale: usize,
}

impl Cohort {
    pub(super) fn new(tests: Tests) -> Self {
        Self {
            tests,
            tracks: BTreeMap::new(),
            error: None,
            slow: None,
            stale: 0,
        }
    }

    pub(super) fn observe(&mut self, now: Instant, worker: &Worker, signal: Signal) {
        if !self.tracks.contains_key(worker) {
            self.tracks.insert(worker.clone(), Track::default());
        }
        // The quartiles follow within half an attempt per worker, so that they keep up with a fault of the whole service.
        self.stale += 1;
        if 2 * self.stale >= self.tracks.len() {
            self.compare(now);
        }
        if let Some(track) = self.tracks.get_mut(worker) {
            if let Some(bad) = signal.error {
                track.error.observe(now, bad, self.error, &self.tests.error);
            }
            if let Some(bad) = signal.slow {
                track.slow.observe(now, bad, self.slow, &self.tests.slow);
            }
        }
    }

    fn compare(&mut self, now: Instant) {
        let quartile = |score: fn(&Track) -> &Score| {
            let active = |s: &&Score| {
                s.last()
                    .is_some_and(|l| now.saturating_duration_since(l) < ACTIVE)
            };
            let mut rates: Vec<f64> = self
                .tracks
                .values()
                .map(score)
                .filter(active)
                .map(Score::rate)
                .collect();
            if rates.len() < MIN_PEERS {
                return None;
            }
            // Of two workers the better one is the reference, and so is a good one while three in four are bad.
            let lower = (rates.len() - 1) / 4;
            Some(*rates.select_nth_unstable_by(lower, f64::total_cmp).1)
        };
        (self.error, self.slow) = (quartile(|t| &t.error), quartile(|t| &t.slow));
        self.stale = 0;
    }

    /// Returns the evidence against a worker; 1 is sufficient.
    pub(super) fn level(&self, now: Instant, worker: &Worker) -> f64 {
        self.tracks.get(worker).map_or(0.0, |t| {
            let error = t.error.level(now, &self.tests.error);
            error.max(t.slow.level(now, &self.tests.slow))
        })
    }

    /// Returns the evidence against a worker beyond what `part` has collected from some of the attempts.
    pub(super) fn level_beyond(&self, now: Instant, worker: &Worker, part: &Track) -> f64 {
        self.tracks.get(worker).map_or(0.0, |t| {
            let error = t.error.level_beyond(now, &part.error, &self.tests.error);
            error.max(t.slow.level_beyond(now, &part.slow, &self.tests.slow))
        })
    }

    /// Returns whether there is more evidence against a worker than `track` holds.
    pub(super) fn is_worse(&self, now: Instant, worker: &Worker, track: &Track) -> bool {
        let error = track.error.level(now, &self.tests.error);
        let level = error.max(track.slow.level(now, &self.tests.slow));
        self.level(now, worker) > level
    }

    /// Returns the evidence against a worker in detail.
    pub(super) fn track(&self, worker: &Worker) -> Option<&Track> {
        self.tracks.get(worker)
    }

    /// Returns the recent rate of bad attempts of a worker.
    pub(super) fn rate(&self, worker: &Worker) -> f64 {
        let track = self.tracks.get(worker);
        track.map_or(0.0, |t| t.error.rate().max(t.slow.rate()))
    }

    /// Returns whether a worker was active here lately.
    pub(super) fn is_active(&self, now: Instant, worker: &Worker) -> bool {
        let last = self.tracks.get(worker).and_then(Track::last);
        last.is_some_and(|l| now.saturating_duration_since(l) < ACTIVE)
    }

    /// Returns whether no worker was active here lately.
    pub(super) fn is_idle(&self, now: Instant) -> bool {
        let mut lasts = self.tracks.values().filter_map(Track::last);
        lasts.all(|l| now.saturating_duration_since(l) >= ACTIVE)
    }

    /// Takes away the evidence against a worker that `part`, which saw some of the attempts, has collected.
    pub(super) fn subtract(&mut self, now: Instant, worker: &Worker, part: &Self) {
        if let (Some(track), Some(part)) = (self.tracks.get_mut(worker), part.tracks.get(worker)) {
            track.error.subtract(now, &part.error);
            track.slow.subtract(now, &part.slow);
        }
    }

    /// Sets the evidence against a worker.
    pub(super) fn reset(&mut self, now: Instant, worker: &Worker, level: f64) {
        if let Some(track) = self.tracks.get_mut(worker) {
            track.error.reset(now, level, &self.tests.error);
            track.slow.reset(now, 0.0, &self.tests.slow);
        }
    }

    pub(super) fn remove(&mut self, worker: &Worker) {
        self.tracks.remove(worker);
    }
}
