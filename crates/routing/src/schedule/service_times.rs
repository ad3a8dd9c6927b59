//! Response times of a service's workers at this entry, and the share of the throughput that is left to each rank.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use chestnutvalve_model::id::Worker;
use chestnutvalve_model::rank::Rank;

/// Weight of a new response time in the mean.
const NEWEST_WEIGHT: f64 = 0.05;
/// Response time assumed before the first response.
const INITIAL_RESPONSE_TIME: Duration = Duration::from_millis(100);
/// Number of recent starts from which the shares of the ranks are computed.
const START_WINDOW: usize = 24;
/// Minimum share of the slots that a rank is assumed to get.
const MIN_SHARE: f64 = 0.05;
/// Mean deviations above the mean response time from which a response is late. Service times are log-normal with a
/// standard deviation of 0.5 to 0.8, so about one in fifty responses is later.
const LATE_DEVIATIONS: f64 = 4.0;
/// Minimum time after which a response counts as late.
const MIN_LATE_THRESHOLD: Duration = Duration::from_millis(100);

/// Mean deviations above the mean work that must be left before the target to count as in time. A request that is nearly
/// late takes the slot of one that still has time.
const LIKELY_DEVIATIONS: f64 = 0.5;
/// Maximum number of classes whose work is known. The class that was used least recently makes room for a new one.
const MAX_CLASSES: usize = 256;
/// Number of responses that the mean of the service counts for in the estimate of a class.
const PRIOR_RESPONSES: f64 = 4.0;
/// Weight of a new response time in the work of a class at the usual pace.
const CLASS_WEIGHT: f64 = 0.02;
/// Number of responses from which the work of a class is known well enough to measure the pace.
const KNOWN_RESPONSES: f64 = 20.0;
/// Part of the pace that becomes usual work with each response, as an exponent: after some hundreds of responses, the
/// usual work is that of workers which stay slow.
const PACE_ABSORBED: f64 = 0.002;
/// Bounds of the pace.
const PACE_BOUNDS: (f64, f64) = (0.05, 20.0);
/// Time after which an attempt whose end was not reported is dropped.
const MAX_ATTEMPT_TIME: Duration = Duration::from_mins(2);
/// Number of attempts from which those that are too old are searched for.
const MAX_ATTEMPTS: usize = 4_096;

/// Expected slot time of a request, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Work {
    pub(super) mean: f64,
    pub(super) deviation: f64,
    /// Share of the requests of the class that got a slot lately.
    pub(super) served: f64,
}

impl Work {
    pub(super) fn time(self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Returns the time after the start within which the response is likely to come, in seconds.
    pub(super) fn likely(self) -> f64 {
        self.mean + LIKELY_DEVIATIONS * self.deviation
    }

    /// Returns the slot time that is gained by refusing the request, which counts less for a class that is refused
    /// often: otherwise a class that needs more work than the others would get no slot.
    pub(super) fn refusal_gain(self) -> f64 {
        self.mean * self.served
    }

    fn scaled(self, factor: f64) -> Self {
        Self {
            mean: self.mean * factor,
            deviation: self.deviation * factor,
            ..self
        }
    }

    /// Moves the estimate toward a response time.
    fn update(&mut self, time: f64, weight: f64) {
        let distance = (time - self.mean).abs();
        self.mean += weight * (time - self.mean);
        self.deviation += weight * (distance - self.deviation);
    }
}

/// Observed work of a class of requests.
#[derive(Clone, Copy, Debug)]
struct Class {
    /// Work at the usual pace.
    work: Work,
    responses: f64,
    used: Instant,
}

/// Response times, and recent starts by rank.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceTimes {
    /// Response time over all classes.
    mean: Option<Work>,
    /// Recent work of all classes relative to their usual work. Slow workers slow all classes: short requests show it
    /// first, and classes that are refused have no responses.
    pace: Option<f64>,
    classes: HashMap<u64, Class>,
    /// Workers and classes of the attempts in progress, by start.
    attempts: HashMap<Instant, Vec<(Worker, u64)>>,
    /// Ranks of the last requests that got a slot.
    starts: VecDeque<Rank>,
}

impl ServiceTimes {
    /// Records that an attempt of a class started at a worker.
    pub(super) fn record_attempt(&mut self, now: Instant, worker: &Worker, class: u64) {
        if self.attempts.len() >= MAX_ATTEMPTS {
            let is_recent = |started: &Instant| now.duration_since(*started) < MAX_ATTEMPT_TIME;
            self.attempts.retain(|started, _| is_recent(started));
        }
        let attempts = self.attempts.entry(now).or_default();
        attempts.push((worker.clone(), class));
        self.record_served(class, true);
    }

    /// Records the end of an attempt, and its response time if it succeeded.
    pub(super) fn record_end(
        &mut self,
        now: Instant,
        worker: &Worker,
        started: Instant,
        success: bool,
    ) {
        let class = self.take_attempt(worker, started);
        if success {
            let time = now.saturating_duration_since(started).as_secs_f64();
            let mut service = self.mean.unwrap_or(Work {
                mean: time,
                deviation: time / (2.0 * (1.0 - NEWEST_WEIGHT)),
                served: 1.0,
            });
            service.update(time, NEWEST_WEIGHT);
            self.mean = Some(service);
            if let Some(class) = class {
                self.record_class(now, class, service, time);
            }
        }
    }

    /// Removes an attempt in progress; returns its class if it was made by this scheduler.
    fn take_attempt(&mut self, worker: &Worker, started: Instant) -> Option<u64> {
        let attempts = self.attempts.get_mut(&started)?;
        let at = attempts.iter().position(|(known, _)| known == worker)?;
        let (_, class) = attempts.swap_remove(at);
        if attempts.is_empty() {
            self.attempts.remove(&started);
        }
        Some(class)
    }

    /// Updates the estimate of a class and the pace with a response time.
    fn record_class(&mut self, now: Instant, class: u64, service: Work, time: f64) {
        let before = self.pace();
        let mut pace = before;
        let class = self.class(now, class, service.scaled(1.0 / before));
        if class.responses >= KNOWN_RESPONSES {
            let relative = time / class.work.mean.max(f64::MIN_POSITIVE);
            pace += NEWEST_WEIGHT * (relative - pace);
            pace = pace.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
        }
        class.responses += 1.0;
        let weight = (1.0 / class.responses).max(CLASS_WEIGHT);
        // The pace before this response: a pace that contains the sample would bias the usual work.
        class.work.update(time / before, weight);
        // The pace and the usual work share one scale, which would drift.
        let absorbed = pace.powf(PACE_ABSORBED);
        for class in self.classes.values_mut() {
            class.work = class.work.scaled(absorbed);
        }
        self.pace = Some(pace / absorbed);
    }

    /// Records whether a request of a class got a slot or was refused.
    pub(super) fn record_served(&mut self, class: u64, served: bool) {
        if let Some(class) = self.classes.get_mut(&class) {
            let served = f64::from(u8::from(served));
            class.work.served += CLASS_WEIGHT * (served - class.work.served);
        }
    }

    fn pace(&self) -> f64 {
        self.pace.unwrap_or(1.0)
    }

    fn class(&mut self, now: Instant, class: u64, service: Work) -> &mut Class {
        if self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(&class) {
            let oldest = self.classes.iter().min_by_key(|(_, c)| c.used);
            if let Some(oldest) = oldest.map(|(class, _)| *class) {
                self.classes.remove(&oldest);
            }
        }
        let class = self.classes.entry(class).or_insert(Class {
            work: service,
            responses: PRIOR_RESPONSES,
            used: now,
        });
        class.used = now;
        class
    }

    /// Returns the expected work of a request of a class, which is that of the service if the class is unknown.
    pub(super) fn work(&self, class: u64) -> Work {
        let service = self.mean.unwrap_or(Work {
            mean: INITIAL_RESPONSE_TIME.as_secs_f64(),
            deviation: INITIAL_RESPONSE_TIME.as_secs_f64() / 2.0,
            served: 1.0,
        });
        let class = self.classes.get(&class);
        class.map_or(service, |c| c.work.scaled(self.pace()))
    }

    /// Records that a request of a rank got a slot.
    pub(super) fn record_start(&mut self, rank: Rank) {
        self.starts.push_back(rank);
        if self.starts.len() > START_WINDOW {
            self.starts.pop_front();
        }
    }

    /// Returns the share of the slots that more urgent requests leave to a rank.
    fn share_left_to(&self, rank: Rank) -> f64 {
        let count = |n: usize| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
        let left = self.starts.iter().filter(|r| **r >= rank).count();
        let share = (count(left) + 1.0) / (count(self.starts.len()) + 1.0);
        share.max(MIN_SHARE)
    }

    /// Returns the mean response time.
    pub(super) fn typical(&self) -> Duration {
        self.mean.map_or(INITIAL_RESPONSE_TIME, Work::time)
    }

    /// Returns the time after which a response is late.
    pub(super) fn late_threshold(&self) -> Duration {
        let threshold = self
            .mean
            .map_or(4.0 * INITIAL_RESPONSE_TIME.as_secs_f64(), |work| {
                work.mean + LATE_DEVIATIONS * work.deviation
            });
        Duration::from_secs_f64(threshold).max(MIN_LATE_THRESHOLD)
    }

    /// Returns the number of slots that serve requests of `rank` while `running` requests are in progress.
    ///
    /// `running` is the capacity of this entry; slots that other entries use don't count. More urgent requests that are
    /// yet to arrive take their share.
    pub(super) fn slots_left_to(&self, rank: Rank, running: u32) -> f64 {
        f64::from(running.max(1)) * self.share_left_to(rank)
    }
}
