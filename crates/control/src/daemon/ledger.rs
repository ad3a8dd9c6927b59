//! Ledger groups: claims in batches, and log time.

use std::sync::{Arc, OnceLock, PoisonError, RwLock};
use std::time::Duration;

use chestnutvalve_kernel::Service;
use chestnutvalve_ledger::{Claimed, Command, Ledger, group};
use chestnutvalve_model::error::{Fault, Kind};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

use super::batcher::{Batcher, Limits};
use super::{Instance, task};
use crate::codec;
use crate::replica::{Committed, Handle, Machine, Role};

/// Name of the service.
pub const NAME: &str = "ledger";
/// Claims gather only while earlier batches are under way, so that a lone claim does not wait.
const BATCH: Limits = Limits {
    delay: Duration::ZERO,
    size: 1_024,
    weight: 4 * 1024 * 1024,
};
/// Time for a batch to be committed. Entries ask again after 500 ms; a batch that waits longer for a leader would claim
/// for requests that were refused meanwhile.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(450);
/// Interval at which the leader moves log time; retention is at least 60 s.
const ADVANCE_PERIOD: Duration = Duration::from_secs(5);

/// One ledger group at this instance.
#[derive(Debug, Default)]
pub struct Group {
    ledger: Arc<RwLock<Ledger>>,
    handle: OnceLock<Handle>,
    batches: Batcher<Command, Option<Claimed>>,
}

impl Group {
    /// Returns the running replica.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::LedgerUnavailable`] before the replica has started.
    pub fn handle(&self) -> Result<&Handle, Fault> {
        let missing = || Fault::new(Kind::LedgerUnavailable, "the replica has not started yet");
        self.handle.get().ok_or_else(missing)
    }

    /// Sets the running replica.
    pub fn set_handle(&self, handle: Handle) {
        // The service that starts the replica runs once, so that the cell is empty.
        let _ = self.handle.set(handle);
    }

    /// Returns the number of claims and the log time in milliseconds, as far as this replica has applied them.
    #[must_use]
    pub fn size(&self) -> (usize, u64) {
        let ledger = self.ledger.read().unwrap_or_else(PoisonError::into_inner);
        (ledger.len(), ledger.now_ms())
    }

    /// Returns the state machine of the group.
    #[must_use]
    pub fn machine(&self) -> Machine {
        let applied = Arc::clone(&self.ledger);
        let (saved, restored) = (Arc::clone(&self.ledger), Arc::clone(&self.ledger));
        Machine {
            apply: Box::new(move |committed| {
                let mut ledger = applied.write().unwrap_or_else(PoisonError::into_inner);
                apply(&mut ledger, committed)
            }),
            save: Box::new(move || saved.read().unwrap_or_else(PoisonError::into_inner).save()),
            restore: Box::new(move |snapshot| {
                let ledger = Ledger::restore(snapshot);
                let ledger = ledger.map_err(|e| Fault::new(Kind::Internal, e.to_string()))?;
                *restored.write().unwrap_or_else(PoisonError::into_inner) = ledger;
                Ok(())
            }),
        }
    }

    async fn commit(&self, commands: Vec<Command>) -> Result<Vec<Option<Claimed>>, Fault> {
        let proposed = self.handle()?.propose(codec::encode(&commands));
        let late = |_| Fault::new(Kind::ChangeUnconfirmed, "not committed in time");
        codec::decode(&timeout(COMMIT_TIMEOUT, proposed).await.map_err(late)??)
    }
}

/// Applies a batch; a batch that does not decode has no effect and no answers.
fn apply(ledger: &mut Ledger, committed: Committed<'_>) -> Vec<u8> {
    let commands: Vec<Command> = codec::decode(committed.command).unwrap_or_default();
    let answers: Vec<Option<Claimed>> = commands.iter().map(|c| ledger.apply(c)).collect();
    codec::encode(&answers)
}

/// Builds the service that batches claims and moves log time.
#[must_use]
pub fn service(instance: &Arc<Instance>) -> Service {
    task(NAME, instance, |instance, shutdown| async move {
        let mut running = JoinSet::new();
        for group in &instance.ledgers {
            running.spawn(batches(Arc::clone(group)));
            running.spawn(advance(Arc::clone(group)));
        }
        Ok(async move {
            shutdown.requested().await;
            running.shutdown().await;
        })
    })
}

async fn batches(group: Arc<Group>) {
    let handle = |commands| {
        let group = Arc::clone(&group);
        async move { group.commit(commands).await }
    };
    group.batches.run(BATCH, weight, handle).await;
}

fn weight(command: &Command) -> usize {
    match command {
        Command::Record { outcome, .. } => outcome.body.as_ref().map_or(0, Vec::len),
        Command::Claim { .. } | Command::Release { .. } | Command::Advance { .. } => 0,
    }
}

/// Moves log time while this instance leads the group.
///
/// Time without a leader does not count, and an unconfirmed step is not repeated, so that claims are kept rather too
/// long than too short.
async fn advance(group: Arc<Group>) {
    let mut ticks = interval(ADVANCE_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut counted: Option<(u64, Instant)> = None;
    loop {
        ticks.tick().await;
        let status = group.handle().ok().map(Handle::status);
        let term = status.filter(|s| s.role == Role::Leader && s.quorum);
        let term = term.map(|s| s.term);
        let now = Instant::now();
        let since = counted.filter(|(counted, _)| Some(*counted) == term);
        counted = term.map(|term| (term, now));
        let Some((_, since)) = since else { continue };
        let elapsed_ms = u64::try_from((now - since).as_millis()).unwrap_or(0);
        if let Err(fault) = group.commit(vec![Command::Advance { elapsed_ms }]).await {
            spdlog::warn!("log time of a ledger group: {fault}");
        }
    }
}

/// Answers a claim at any instance.
///
/// # Errors
///
/// Returns [`Kind::BadRequest`] for another command, and the error of the group's log.
pub async fn claim(instance: &Instance, command: Command) -> Result<Claimed, Fault> {
    let Command::Claim { key, .. } = &command else {
        return Err(Fault::new(Kind::BadRequest, "expected a claim"));
    };
    let group = find(instance, key)?;
    let missing = || Fault::new(Kind::Internal, "the ledger gave no answer");
    let answer = group.batches.call(command).await;
    let claimed = answer.and_then(|answer| answer.ok_or_else(missing));
    instance.meters.claim(match &claimed {
        Ok(Claimed::Granted) => "granted",
        Ok(Claimed::Held) => "held",
        Ok(Claimed::Recorded(_)) => "recorded",
        Ok(Claimed::Unknown) => "unknown",
        Ok(Claimed::Reused) => "reused",
        Ok(Claimed::Full) => "full",
        Err(_) => "unavailable",
    });
    claimed
}

/// Records an outcome or releases a claim at any instance.
///
/// # Errors
///
/// Returns [`Kind::BadRequest`] for another command, and the error of the group's log.
pub async fn settle(instance: &Instance, command: Command) -> Result<(), Fault> {
    let group = match &command {
        Command::Record { key, .. } | Command::Release { key, .. } => find(instance, key)?,
        Command::Claim { .. } | Command::Advance { .. } => {
            return Err(Fault::new(Kind::BadRequest, "expected a record or release"));
        }
    };
    group.batches.call(command).await?;
    Ok(())
}

fn find<'a>(
    instance: &'a Instance,
    key: &chestnutvalve_ledger::Key,
) -> Result<&'a Arc<Group>, Fault> {
    let number = group(key, instance.settings.ledger_groups);
    let number = usize::try_from(number).unwrap_or(usize::MAX);
    let missing = || Fault::new(Kind::LedgerUnavailable, "no such ledger group");
    instance.ledgers.get(number).ok_or_else(missing)
}
