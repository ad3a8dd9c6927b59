//! Ejection grants, decided by the leader of the config group.

use std::time::Duration;

use chestnutvalve_membership::grant::Grants;
use chestnutvalve_model::control::{Ask, Granted};
use chestnutvalve_model::error::{Fault, Kind};
use tokio::time::Instant;

use super::Instance;

/// Timeout of a call to the leader; entries abandon a request after 1 s.
const LEADER_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum number of workers in each list of a request.
const MAX_WORKERS: usize = 10_000;

/// Grants made in the current term of leadership; none while this instance does not lead.
#[derive(Debug, Default)]
pub struct TermGrants(Option<(u64, Grants)>);

impl TermGrants {
    /// Records the term in which this instance leads, if any. A new term starts without grants; for some time it only
    /// confirms ejections that entries report as held.
    pub fn observe_leadership(&mut self, now: std::time::Instant, leading_term: Option<u64>) {
        if self.0.as_ref().map(|(term, _)| *term) != leading_term {
            self.0 = leading_term.map(|term| (term, Grants::new(now)));
        }
        if let Some((_, grants)) = &mut self.0 {
            grants.expire(now);
        }
    }

    fn ask(&mut self, now: std::time::Instant, ask: &Ask) -> Option<Granted> {
        let (_, grants) = self.0.as_mut()?;
        Some(grants.ask(now, ask))
    }
}

/// Answers a grant request at any instance, which forwards it to the leader.
///
/// # Errors
///
/// Returns [`Kind::NoQuorum`] when no leader can be reached, and [`Kind::TooLarge`] for lists that are too long.
pub async fn request(instance: &Instance, ask: &Ask) -> Result<Granted, Fault> {
    if instance.leading_term().is_some() {
        return decide_as_leader(instance, ask);
    }
    instance
        .call_leader("leader/grant", ask, LEADER_TIMEOUT)
        .await
}

/// Answers a grant request at the leader.
///
/// # Errors
///
/// Returns [`Kind::NoQuorum`] when another instance may lead, and [`Kind::TooLarge`] for lists that are too long.
pub fn decide_as_leader(instance: &Instance, ask: &Ask) -> Result<Granted, Fault> {
    let lists = [&ask.registered, &ask.eligible, &ask.eject, &ask.held];
    if lists.iter().any(|list| list.len() > MAX_WORKERS) {
        let context = format!("expected at most {MAX_WORKERS} workers in each list");
        return Err(Fault::new(Kind::TooLarge, context));
    }
    let not_leader = || Fault::new(Kind::NoQuorum, "this instance does not lead with a lease");
    // Without the lease a later leader may already make grants.
    let term = instance.leading_term().filter(|_| instance.has_lease());
    let term = term.ok_or_else(not_leader)?;
    let now = Instant::now().into_std();
    let mut grants = instance.grants();
    grants.observe_leadership(now, Some(term));
    let granted = grants.ask(now, ask).ok_or_else(not_leader)?;
    let all = granted.workers.len() == ask.eject.len();
    instance
        .meters
        .count_grant(if all { "granted" } else { "limited" });
    Ok(granted)
}
