//! Limits of customers' requests at all entries together.
//!
//! Before a request of a customer with a limit is dispatched, its entry takes a permit from an accountant of its zone.
//! [`accountant`] is the side that grants, [`line`] the one that asks. The decisions are those of
//! [`chestnutvalve_routing::quota`].

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use chestnutvalve_model::account::Account;
use chestnutvalve_model::error::{Fault, Kind};
use chestnutvalve_model::id::Customer;
use chestnutvalve_model::version::Version;
use chestnutvalve_routing::quota::{Bounds, Wait};
use chestnutvalve_wire::Router;

use crate::instance::Instance;
use crate::local_reply::Refusal;

pub mod accountant;
pub mod accountants;
pub mod line;
pub mod message;
mod silence;

use accountant::Accountant;
use accountants::Accountants;
use line::{Answer, Line};
use message::{BORROW_PATH, Borrow, TAKE_PATH, Take};
use silence::Silence;

/// Accountants that a request asks in vain before it is refused.
const MAX_UNANSWERED: usize = 2;
/// Time after which a caller may come back if no accountant answers.
const UNANSWERED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Permits of one entry: those that its requests need, and those that it grants as an accountant.
#[derive(Debug)]
pub struct Quota {
    instance: Arc<Instance>,
    accountant: Arc<Accountant>,
    lines: Mutex<HashMap<SocketAddr, Arc<Line>>>,
    /// The accountants, with the version of the state that they are derived from and whether the entry was draining.
    accountants: Mutex<Option<(Version, Arc<Accountants>)>>,
    silence: Silence,
}

/// Permit for one request. Unless it is used, it is given back when it is dropped.
#[derive(Debug)]
pub struct Permit {
    quota: Arc<Quota>,
    accountant: SocketAddr,
    customer: Customer,
    stamp: u64,
    used: bool,
}

impl Permit {
    /// Uses the permit up.
    pub fn spend(mut self) {
        self.used = true;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let Self {
            quota,
            customer,
            stamp,
            ..
        } = self;
        if self.used {
            return;
        }
        if self.accountant == quota.own() {
            let accountants = quota.accountants();
            quota.accountant.give_back(&accountants, customer, *stamp);
        } else {
            quota.line(self.accountant).give_back(customer, *stamp);
        }
    }
}

impl Quota {
    /// Creates the permits of an entry. `bounds` say what the deployment tolerates beyond a limit.
    #[must_use]
    pub fn new(instance: &Arc<Instance>, bounds: Bounds) -> Self {
        Self {
            instance: Arc::clone(instance),
            accountant: Arc::new(Accountant::new(instance, bounds)),
            lines: Mutex::default(),
            accountants: Mutex::default(),
            silence: Silence::default(),
        }
    }

    /// Takes a permit for a request of a customer. Returns `None` if the customer has no limit.
    ///
    /// # Errors
    ///
    /// Refuses the request if the customer is at its limit, or if no accountant answers.
    pub async fn take(
        self: &Arc<Self>,
        account: Option<&Account>,
    ) -> Result<Option<Permit>, Refusal> {
        let Some(account) = account.filter(|account| account.limit.is_some()) else {
            return Ok(None);
        };
        let (customer, own) = (&account.customer, self.own());
        let accountants = self.accountants();
        let asked = accountants.preferred.iter().copied();
        let asked = asked.filter(|a| *a == own || !self.silence.is_silent(*a));
        let mut unanswered = 0;
        for accountant in asked {
            let answer = if accountant == own {
                self.take_locally(&accountants, customer).await
            } else {
                self.line(accountant).ask(customer).await
            };
            match answer {
                Some(Answer::Granted(stamp)) => {
                    return Ok(Some(Permit {
                        quota: Arc::clone(self),
                        accountant,
                        customer: customer.clone(),
                        stamp,
                        used: false,
                    }));
                }
                Some(Answer::Refused(wait)) => {
                    let cause = format!("customer {customer} is at its limit");
                    let mut refusal = Refusal::new(Kind::LimitExceeded, cause);
                    refusal.retry_after = Some(wait);
                    return Err(refusal);
                }
                Some(Answer::Inactive) if accountant == own => {}
                Some(Answer::Inactive) => self.silence.record(accountant),
                None => {
                    spdlog::info!("accountant does not answer", kv: {accountant:});
                    self.instance.meters.count_accountant_timeout();
                    self.silence.record(accountant);
                    unanswered += 1;
                    if unanswered == MAX_UNANSWERED {
                        break;
                    }
                }
            }
        }
        let cause = "no accountant of the customer's limit answers";
        let mut refusal = Refusal::new(Kind::NoEligibleWorker, cause);
        refusal.retry_after = Some(UNANSWERED_RETRY_AFTER);
        Err(refusal)
    }

    async fn take_locally(
        &self,
        accountants: &Arc<Accountants>,
        customer: &Customer,
    ) -> Option<Answer> {
        let grant = match self.accountant.take(accountants, customer, 1) {
            Some(grant) if grant.more => self.accountant.wait(accountants, customer, 1).await,
            taken => taken,
        };
        Some(match grant {
            Some(grant) if grant.granted > 0 => Answer::Granted(grant.stamp),
            Some(grant) => {
                let wait = Wait {
                    first: Duration::from_millis(grant.first_ms.into()),
                    step: Duration::from_millis(grant.step_ms.into()),
                };
                Answer::Refused(wait.of(0))
            }
            None => Answer::Inactive,
        })
    }

    /// Follows the state as an accountant. Must be called several times a second.
    pub fn tick(&self) {
        self.accountant.tick(&self.accountants());
    }

    fn own(&self) -> SocketAddr {
        self.instance.member().peers
    }

    fn line(&self, accountant: SocketAddr) -> Arc<Line> {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let new = || Arc::new(Line::new(self.instance.peers.client(accountant)));
        Arc::clone(lines.entry(accountant).or_insert_with(new))
    }

    /// Returns the accountants of the state in force.
    fn accountants(&self) -> Arc<Accountants> {
        let state = self.instance.control_state.current();
        let cached = self.accountants.lock();
        let mut cached = cached.unwrap_or_else(PoisonError::into_inner);
        if let Some((version, accountants)) = &*cached
            && *version == state.version
        {
            return Arc::clone(accountants);
        }
        let accountants = Arc::new(Accountants::new(&state, &self.instance.member()));
        *cached = Some((state.version, Arc::clone(&accountants)));
        let live = &accountants.preferred;
        let lines = self.lines.lock();
        let mut lines = lines.unwrap_or_else(PoisonError::into_inner);
        lines.retain(|address, _| live.contains(address));
        accountants
    }
}

/// Adds the handlers of requests for permits and tokens.
#[must_use]
pub fn add_routes(router: Router, quota: &Arc<Quota>) -> Router {
    let (asked, lender) = (Arc::clone(quota), Arc::clone(quota));
    router
        .route(TAKE_PATH, move |message: Take| {
            let quota = Arc::clone(&asked);
            async move {
                let accountants = quota.accountants();
                Ok::<_, Fault>(quota.accountant.serve(&accountants, message).await)
            }
        })
        .route(BORROW_PATH, move |message: Borrow| {
            let lent = lender.accountant.lend(&lender.accountants(), &message);
            async move { Ok::<_, Fault>(lent) }
        })
}
