//! Ledger groups: batched claims, and the advance of log time.

use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use chestnutvalve_kernel::Service;
use chestnutvalve_ledger::{ClaimReply, Command, Ledger, group};
use chestnutvalve_model::error::{Fault, Kind};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

use super::batcher::{Batcher, Limits};
use super::{Instance, background_service};
use crate::codec;
use crate::replica::{CommittedCommand, Handle, Role, StateMachine, Stored};

/// Service name in the registry.
pub const NAME: &str = "ledger";
/// Claims are collected only while earlier batches are in progress, so that a single claim does not wait.
const BATCH_LIMITS: Limits = Limits {
    max_delay: Duration::ZERO,
    max_calls: 1_024,
    max_weight: 4 * 1024 * 1024,
    max_age: COMMIT_TIMEOUT,
};
/// Timeout of the commit of a batch. Entries retry after 500 ms; a batch that waits longer for a leader would make
/// claims for requests that were refused in the meantime.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(450);
/// Interval at which the leader advances log time; small against the minimum retention of 60 s.
const ADVANCE_INTERVAL: Duration = Duration::from_secs(5);

/// Command that is replicated through the log of a ledger group.
#[derive(Clone, Debug, Deserialize, Serialize)]
enum LogCommand {
    /// Sets the number of ledger groups of the fleet unless it is already set; the result is the number that is set.
    Groups(u32),
    /// Ledger commands; the result is the list of their answers.
    Batch(Vec<Command>),
}

/// Replicated state of one ledger group.
#[derive(Debug, Default)]
struct State {
    groups: Option<u32>,
    ledger: Ledger,
}

impl State {
    /// Applies a command. A command that does not decode has no effect and an empty list of answers.
    fn apply(&mut self, committed: CommittedCommand<'_>) -> Vec<u8> {
        match codec::decode(committed.command) {
            Ok(LogCommand::Groups(groups)) => codec::encode(self.groups.get_or_insert(groups)),
            Ok(LogCommand::Batch(commands)) => {
                let answers = commands.iter().map(|c| self.ledger.apply(c));
                codec::encode(&answers.collect::<Vec<Option<ClaimReply>>>())
            }
            Err(_) => codec::encode::<Vec<Option<ClaimReply>>>(&Vec::new()),
        }
    }

    /// Returns a snapshot: the number of groups, 0 while it is not set, followed by the ledger.
    fn save(&self) -> Vec<u8> {
        let mut snapshot = self.groups.unwrap_or(0).to_le_bytes().to_vec();
        snapshot.extend(self.ledger.save());
        snapshot
    }

    /// Checks that stored bytes decode.
    fn check(stored: Stored<'_>) -> Result<(), Fault> {
        match stored {
            Stored::Command(bytes) => codec::decode::<LogCommand>(bytes).map(drop),
            Stored::Snapshot(bytes) => Self::restore(bytes).map(drop),
        }
    }

    fn restore(snapshot: &[u8]) -> Result<Self, Fault> {
        let short = || Fault::new(Kind::Internal, "ledger snapshot is too short");
        let (groups, ledger) = snapshot.split_first_chunk().ok_or_else(short)?;
        let groups = Some(u32::from_le_bytes(*groups)).filter(|groups| *groups > 0);
        let ledger = Ledger::restore(ledger);
        let ledger = ledger.map_err(|e| Fault::new(Kind::Internal, e.to_string()))?;
        Ok(Self { groups, ledger })
    }
}

/// State, replica and call queue of one ledger group at this instance.
#[derive(Debug, Default)]
pub struct Group {
    state: Arc<RwLock<State>>,
    handle: RwLock<Option<Handle>>,
    batcher: Batcher<Command, Option<ClaimReply>>,
}

impl Group {
    /// Returns the replica of the group.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::LedgerUnavailable`] before the replica has started.
    pub fn handle(&self) -> Result<Handle, Fault> {
        let missing = || Fault::new(Kind::LedgerUnavailable, "the replica has not started yet");
        let handle = self.handle.read().unwrap_or_else(PoisonError::into_inner);
        handle.clone().ok_or_else(missing)
    }

    /// Sets the replica once it is running.
    pub fn set_handle(&self, handle: Handle) {
        *self.handle.write().unwrap_or_else(PoisonError::into_inner) = Some(handle);
    }

    /// Discards the replicated state, of which a replica that joins anew knows nothing.
    pub fn clear_state(&self) {
        *self.state.write().unwrap_or_else(PoisonError::into_inner) = State::default();
    }

    /// Returns the number of claims and the log time in milliseconds, as applied by this replica.
    #[must_use]
    pub fn stats(&self) -> (usize, u64) {
        let state = self.state.read().unwrap_or_else(PoisonError::into_inner);
        (state.ledger.len(), state.ledger.now_ms())
    }

    /// Returns the state machine of the group.
    #[must_use]
    pub fn state_machine(&self) -> StateMachine {
        let applied = Arc::clone(&self.state);
        let (saved, restored) = (Arc::clone(&self.state), Arc::clone(&self.state));
        StateMachine {
            check: Box::new(State::check),
            apply: Box::new(move |committed| {
                let mut state = applied.write().unwrap_or_else(PoisonError::into_inner);
                state.apply(committed)
            }),
            save: Box::new(move || saved.read().unwrap_or_else(PoisonError::into_inner).save()),
            restore: Box::new(move |snapshot| {
                let state = State::restore(snapshot)?;
                *restored.write().unwrap_or_else(PoisonError::into_inner) = state;
                Ok(())
            }),
        }
    }

    async fn commit<A: DeserializeOwned>(&self, command: &LogCommand) -> Result<A, Fault> {
        let handle = self.handle()?;
        let proposed = handle.propose(codec::encode(command));
        let late = |_| Fault::new(Kind::ChangeUnconfirmed, "not committed in time");
        codec::decode(&timeout(COMMIT_TIMEOUT, proposed).await.map_err(late)??)
    }
}

/// Builds the service that batches claims and advances log time.
#[must_use]
pub fn service(instance: &Arc<Instance>) -> Service {
    background_service(NAME, instance, |instance, shutdown| async move {
        let mut running = JoinSet::new();
        for group in &instance.ledgers {
            running.spawn(run_batches(Arc::clone(group)));
            running.spawn(advance_log_time(Arc::clone(group)));
        }
        Ok(async move {
            shutdown.requested().await;
            running.shutdown().await;
        })
    })
}

async fn run_batches(group: Arc<Group>) {
    let handle = |commands| {
        let group = Arc::clone(&group);
        async move { group.commit(&LogCommand::Batch(commands)).await }
    };
    group.batcher.run(BATCH_LIMITS, body_bytes, handle).await;
}

fn body_bytes(command: &Command) -> usize {
    match command {
        Command::Record { outcome, .. } => outcome.body.as_ref().map_or(0, Vec::len),
        Command::Claim { .. } | Command::Release { .. } | Command::Advance { .. } => 0,
    }
}

/// Advances log time while this instance leads the group.
///
/// Time without a leader does not count, and an unconfirmed advance is not retried: claims may be retained too long,
/// but never too short.
async fn advance_log_time(group: Arc<Group>) {
    let mut ticks = interval(ADVANCE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_advance: Option<(u64, Instant)> = None;
    loop {
        ticks.tick().await;
        let status = group.handle().ok().as_ref().map(Handle::status);
        let term = status.filter(|s| s.role == Role::Leader && s.quorum);
        let term = term.map(|s| s.term);
        let now = Instant::now();
        let since = last_advance.filter(|(last_term, _)| Some(*last_term) == term);
        last_advance = term.map(|term| (term, now));
        let Some((_, since)) = since else { continue };
        let elapsed_ms = u64::try_from((now - since).as_millis()).unwrap_or(0);
        let step = LogCommand::Batch(vec![Command::Advance { elapsed_ms }]);
        if let Err(fault) = group.commit::<Vec<Option<ClaimReply>>>(&step).await {
            spdlog::warn!("could not advance the log time of a ledger group: {fault}");
        }
    }
}

/// Makes a claim; works at any instance.
///
/// # Errors
///
/// Returns [`Kind::BadRequest`] for any other command, otherwise the fault of the commit.
pub async fn claim(instance: &Instance, command: Command) -> Result<ClaimReply, Fault> {
    let Command::Claim { key, .. } = &command else {
        return Err(Fault::new(Kind::BadRequest, "expected a claim"));
    };
    confirm_group_count(instance).await?;
    let group = find_group(instance, key)?;
    let missing = || Fault::new(Kind::Internal, "the ledger returned no answer to the claim");
    let answer = group.batcher.call(command).await;
    let claimed = answer.and_then(|answer| answer.ok_or_else(missing));
    instance.meters.count_claim(match &claimed {
        Ok(ClaimReply::Granted) => "granted",
        Ok(ClaimReply::Held) => "held",
        Ok(ClaimReply::Recorded(_)) => "recorded",
        Ok(ClaimReply::Unknown) => "unknown",
        Ok(ClaimReply::Reused) => "reused",
        Ok(ClaimReply::Full) => "full",
        Err(_) => "unavailable",
    });
    claimed
}

/// Records an outcome or releases a claim; works at any instance.
///
/// # Errors
///
/// Returns [`Kind::BadRequest`] for any other command, otherwise the fault of the commit.
pub async fn settle(instance: &Instance, command: Command) -> Result<(), Fault> {
    let group = match &command {
        Command::Record { key, .. } | Command::Release { key, .. } => find_group(instance, key)?,
        Command::Claim { .. } | Command::Advance { .. } => {
            return Err(Fault::new(Kind::BadRequest, "expected a record or release"));
        }
    };
    confirm_group_count(instance).await?;
    group.batcher.call(command).await?;
    Ok(())
}

/// Confirms, once per process, that this instance maps keys to the same groups as all others.
///
/// An instance with a different number in its settings would look up a claim in the wrong group and grant it again.
async fn confirm_group_count(instance: &Instance) -> Result<(), Fault> {
    let own = instance.settings.ledger_groups;
    let check = || async move {
        let missing = || Fault::new(Kind::LedgerUnavailable, "no ledger groups are configured");
        let first = instance.ledgers.first().ok_or_else(missing)?;
        let fixed: u32 = first.commit(&LogCommand::Groups(own)).await?;
        if fixed == own {
            return Ok(());
        }
        let context = format!("ledger_groups is {own} in the settings, but {fixed} in the fleet");
        spdlog::error!("{context}");
        Err(Fault::new(Kind::LedgerUnavailable, context))
    };
    let checked = instance.group_count_confirmed.get_or_try_init(check);
    // Without a quorum, each caller would otherwise wait for the attempts of all callers before it.
    let late = |_| {
        Fault::new(
            Kind::LedgerUnavailable,
            "the number of ledger groups was not confirmed in time",
        )
    };
    timeout(COMMIT_TIMEOUT, checked).await.map_err(late)??;
    Ok(())
}

fn find_group<'a>(
    instance: &'a Instance,
    key: &chestnutvalve_ledger::Key,
) -> Result<&'a Arc<Group>, Fault> {
    let number = group(key, instance.settings.ledger_groups);
    let number = usize::try_from(number).unwrap_or(usize::MAX);
    let missing = || Fault::new(Kind::LedgerUnavailable, "no such ledger group");
    instance.ledgers.get(number).ok_or_else(missing)
}
