//! Ejection grants, decided at the leader of the config group.

use std::time::Duration;

use chestnutvalve_membership::grant::Grants;
use chestnutvalve_model::control::{EjectionGrant, EjectionRequest};
use chestnutvalve_model::error::{Fault, Kind};
use tokio::time::Instant;

use super::Instance;

/// Time for the leader to answer; entries give up a question after 1 s.
const LEADER_TIMEOUT: Duration = Duration::from_millis(700);
/// Most workers in one list of a question.
const MAX_WORKERS: usize = 10_000;

/// Grants of one term of leadership.
#[derive(Debug, Default)]
pub struct Term(Option<(u64, Grants)>);

impl Term {
    /// Notes whether this instance leads, and in which term; a new term starts without grants and with the time for
    /// reports of held ones.
    pub fn observe(&mut self, now: std::time::Instant, leads: Option<u64>) {
        if self.0.as_ref().map(|(term, _)| *term) != leads {
            self.0 = leads.map(|term| (term, Grants::new(now)));
        }
        if let Some((_, grants)) = &mut self.0 {
            grants.expire(now);
        }
    }

    fn ask(&mut self, now: std::time::Instant, ask: &EjectionRequest) -> Option<EjectionGrant> {
        let (_, grants) = self.0.as_mut()?;
        Some(grants.decide(now, ask))
    }
}

/// Answers a question at any instance; it is passed on to the leader.
///
/// # Errors
///
/// Returns [`Kind::NoQuorum`] when no leader can be reached, and [`Kind::TooLarge`] for lists that are too long.
pub async fn ask(instance: &Instance, ask: &EjectionRequest) -> Result<EjectionGrant, Fault> {
    if instance.leads().is_some() {
        return decide(instance, ask);
    }
    instance
        .call_leader("leader/grant", ask, LEADER_TIMEOUT)
        .await
}

/// Answers a question at the leader.
///
/// # Errors
///
/// Returns [`Kind::NoQuorum`] when another instance may lead, and [`Kind::TooLarge`] for lists that are too long.
pub fn decide(instance: &Instance, ask: &EjectionRequest) -> Result<EjectionGrant, Fault> {
    let lists = [&ask.registered, &ask.eligible, &ask.eject, &ask.held];
    if lists.iter().any(|list| list.len() > MAX_WORKERS) {
        let context = format!("more than {MAX_WORKERS} workers");
        return Err(Fault::new(Kind::TooLarge, context));
    }
    let other = || Fault::new(Kind::NoQuorum, "this instance does not lead with a lease");
    // Without the lease a later leader may have begun to grant.
    let term = instance.leads().filter(|_| instance.has_lease());
    let term = term.ok_or_else(other)?;
    let now = Instant::now().into_std();
    let mut grants = instance.grants();
    grants.observe(now, Some(term));
    let granted = grants.ask(now, ask).ok_or_else(other)?;
    let all = granted.workers.len() == ask.eject.len();
    instance
        .meters
        .grant(if all { "granted" } else { "limited" });
    Ok(granted)
}
