//! Task that carries out the output of one replica's state machine.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_consensus::{
    self as consensus, Change, Entry, Kind as MemberKind, Member, Payload, Position, Receipt,
    Replica, ReplicaId, Restored,
};
use chestnutvalve_model::error::{Fault, Kind};
use chestnutvalve_storage::{Directory, Error, Store};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until};

use super::handle::{Handle, View, no_quorum};
use super::join::{self, Finding};
use super::link::Links;
use super::network::{Envelope, Greeting, Hello, Input, Network, Outcome, Proposal, unconfirmed};
use super::options::Options;
use super::{Committed, Machine, Role};

/// Inputs that wait for the driver.
const INPUTS: usize = 4_096;
/// Proposals of this process that wait for the driver.
const PROPOSALS: usize = 1_024;
/// Proposals that wait for their commit; further ones wait in the channel.
const OPEN_PROPOSALS: usize = 8_192;
/// Most inputs handled before their output is carried out.
const BATCH: usize = 1_024;
/// Longest time for a hand-over at a planned stop.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(1);
/// Most voters of a group; further joining replicas stay learners.
const MAX_VOTERS: usize = 5;

type Messages = Vec<(ReplicaId, consensus::Message)>;
type Writing = JoinHandle<(Store, Result<(), Error>)>;
type End = watch::Sender<Option<Result<(), Fault>>>;

struct Driver {
    replica: Replica,
    machine: Machine,
    options: Options,
    links: Links,
    store: Option<Store>,
    writing: Option<(Writing, Receipt, Messages)>,
    waiting: BTreeMap<u64, (u64, oneshot::Sender<Outcome>)>,
    applied: u64,
    /// Entries and bytes applied since the last snapshot, and the size of that snapshot.
    since_snapshot: (u64, usize, usize),
    view: watch::Sender<View>,
    /// Index of the membership that the links were made for.
    linked: Option<u64>,
    /// Dropped to end the search for a group.
    seeking: Option<oneshot::Receiver<()>>,
    stop: Option<Instant>,
    /// Releases the data directory when the driver ends.
    _directory: Arc<Directory>,
}

pub(super) fn spawn(
    network: &Network,
    directory: Arc<Directory>,
    store: Store,
    restored: Restored,
    options: Options,
    mut machine: Machine,
) -> Result<Handle, Error> {
    let now = Instant::now();
    let id = directory.identity();
    let applied = restored.snapshot.position.index;
    let size = restored.snapshot.data.len();
    if applied > 0
        && let Err(fault) = (machine.restore)(&restored.snapshot.data)
    {
        return Err(Error::Unusable(fault.to_string()));
    }
    let (inputs, received) = mpsc::channel(INPUTS);
    let (proposals, proposed) = mpsc::channel(PROPOSALS);
    let replica = Replica::new(
        now.into_std(),
        id,
        options.settings,
        restored,
        rand::random(),
    );
    let view = watch::Sender::new(View {
        role: Role::Follower,
        term: replica.term(),
        leader: None,
        commit: replica.commit(),
        applied,
        quorum_until: None,
        lease_until: None,
        members: replica.membership().0.clone(),
    });
    let end = End::new(None);
    let handle = Handle {
        group: options.group.clone(),
        network: network.clone(),
        proposals,
        inputs: inputs.clone(),
        view: view.subscribe(),
        end: end.subscribe(),
    };
    let seeking = replica.membership().0.members.is_empty().then(|| {
        let (alive, ended) = oneshot::channel();
        let hello = Hello {
            group: options.group.clone(),
            id,
            name: options.name.clone(),
            address: options.address,
            voter: options.voter,
        };
        let members = options.members.clone();
        tokio::spawn(join::seek(
            network.clone(),
            hello,
            members,
            inputs.clone(),
            alive,
        ));
        ended
    });
    let driver = Driver {
        links: Links::new(network.clone(), options.group.clone(), id, options.address),
        replica,
        machine,
        options,
        store: Some(store),
        writing: None,
        waiting: BTreeMap::new(),
        applied,
        since_snapshot: (0, 0, size),
        view,
        linked: None,
        seeking,
        stop: None,
        _directory: directory,
    };
    network.register(&handle.group, inputs.clone());
    let (network, group) = (network.clone(), handle.group.clone());
    tokio::spawn(async move {
        let outcome = driver.run(received, proposed).await;
        if let Err(fault) = &outcome {
            spdlog::error!("group {group}: replica {id} has stopped: {fault}");
        }
        network.unregister(&group, &inputs);
        end.send_replace(Some(outcome));
    });
    Ok(handle)
}

impl Driver {
    async fn run(
        mut self,
        mut inputs: mpsc::Receiver<Input>,
        mut proposals: mpsc::Receiver<Proposal>,
    ) -> Result<(), Fault> {
        loop {
            self.carry_out()?;
            if self.stop.is_some_and(|at| Instant::now() >= at) {
                return self.finish().await;
            }
            let wake = Instant::from_std(self.replica.next_tick());
            let wake = self.stop.map_or(wake, |at| wake.min(at));
            tokio::select! {
                Some(input) = inputs.recv() => {
                    self.input(input);
                    for _ in 0..BATCH {
                        let Ok(input) = inputs.try_recv() else { break };
                        self.input(input);
                    }
                }
                proposal = proposals.recv(), if self.waiting.len() < OPEN_PROPOSALS => {
                    // All handles are dropped.
                    let Some(proposal) = proposal else { return self.finish().await };
                    self.propose(proposal);
                    for _ in 0..BATCH {
                        let Ok(proposal) = proposals.try_recv() else { break };
                        self.propose(proposal);
                    }
                }
                written = written(&mut self.writing) => self.written(written)?,
                () = sleep_until(wake) => {}
            }
            self.replica.tick(Instant::now().into_std());
        }
    }

    /// Waits for a write in progress, so that the data directory is free afterwards.
    async fn finish(mut self) -> Result<(), Fault> {
        if let Some((writing, _, _)) = self.writing.take() {
            let _ = writing.await;
        }
        Ok(())
    }

    fn carry_out(&mut self) -> Result<(), Fault> {
        let now = Instant::now().into_std();
        self.apply()?;
        self.link();
        for (to, message) in self.replica.take_messages(now) {
            self.links.send(to, message);
        }
        if let Some(fault) = self.replica.fault() {
            return Err(Fault::new(Kind::Internal, fault.to_string()));
        }
        self.start_write(now);
        self.publish(now);
        Ok(())
    }

    fn start_write(&mut self, now: std::time::Instant) {
        while let Some(mut write) = self.replica.take_write() {
            let messages = std::mem::take(&mut write.messages);
            let receipt = write.receipt;
            if write.is_empty() {
                self.replica.written(now, receipt);
                self.send(messages);
                continue;
            }
            let Some(mut store) = self.store.take() else {
                return;
            };
            let writing = tokio::task::spawn_blocking(move || {
                let outcome = store.write(write);
                (store, outcome)
            });
            self.writing = Some((writing, receipt, messages));
        }
    }

    fn send(&mut self, messages: Messages) {
        for (to, message) in messages {
            self.links.send(to, message);
        }
    }

    fn written(&mut self, written: Written) -> Result<(), Fault> {
        let (store, outcome) = written.result;
        if let Err(error) = outcome {
            // It is unknown what the disk holds, so that the replica can't promise anything any more.
            return Err(Fault::new(Kind::Internal, error.to_string()));
        }
        self.store = Some(store);
        self.send(written.messages);
        self.replica
            .written(Instant::now().into_std(), written.receipt);
        Ok(())
    }

    fn apply(&mut self) -> Result<(), Fault> {
        if let Some(snapshot) = self.replica.take_restore() {
            (self.machine.restore)(&snapshot.data)?;
            self.applied = snapshot.position.index;
            self.since_snapshot = (0, 0, snapshot.data.len());
            let later = self.waiting.split_off(&(self.applied + 1));
            for (_, (_, done)) in std::mem::replace(&mut self.waiting, later) {
                let _ = done.send(Err(unconfirmed("the result is only in a snapshot")));
            }
        }
        for entry in self.replica.take_committed() {
            self.apply_entry(&entry);
        }
        self.compact();
        Ok(())
    }

    fn apply_entry(&mut self, entry: &Entry) {
        let Position { term, index } = entry.position;
        let result = match &entry.payload {
            Payload::Command(command) => (self.machine.apply)(Committed {
                index,
                term,
                command,
            }),
            Payload::Recovery { reason, .. } => {
                spdlog::warn!(
                    "group {}: forced recovery at index {index} in term {term}: {reason}",
                    self.options.group
                );
                Vec::new()
            }
            Payload::Empty | Payload::Members(_) => Vec::new(),
        };
        self.applied = index;
        self.since_snapshot.0 += 1;
        self.since_snapshot.1 += entry.payload.size();
        if let Some((proposed, done)) = self.waiting.remove(&index) {
            let kept = proposed == term;
            // A proposer that has gone away needs no result.
            let _ = done.send(if kept {
                Ok(result)
            } else {
                Err(unconfirmed("the leader lost its leadership"))
            });
        }
    }

    /// Takes a snapshot when it is due. A large state is saved less often, so that writing snapshots costs no more than writing
    /// entries does.
    fn compact(&mut self) {
        let (entries, bytes, size) = self.since_snapshot;
        let limit = self.options.compact_entries;
        if entries >= 16 * limit || (entries >= limit && bytes >= size) {
            let data = (self.machine.save)();
            self.since_snapshot = (0, 0, data.len());
            self.replica.compact(data, self.options.keep_entries);
        }
    }

    fn input(&mut self, input: Input) {
        let now = Instant::now().into_std();
        match input {
            Input::Step(envelope) => self.step(now, envelope),
            Input::Propose(proposal) => self.propose(proposal),
            Input::Hello(hello, done) => {
                let _ = done.send(self.greet(&hello));
            }
            Input::Joined(Finding::Form(members)) => {
                // The replica may have heard of the group meanwhile.
                if self.replica.bootstrap(now, members).is_ok() {
                    spdlog::info!("group {}: formed", self.options.group);
                }
            }
            Input::Joined(Finding::Emptied(known)) => self.replica.compare(known),
            Input::Change(change, done) => {
                let appended = self.replica.change(change);
                self.wait(appended, done);
            }
            Input::Recover(reason, done) => {
                let appended = self.replica.force_recovery(now, reason);
                self.wait(appended, done);
            }
            Input::Stop { hand_over } => {
                let begun = hand_over && self.replica.hand_over(now).is_ok();
                let limit = if begun {
                    HAND_OVER_TIMEOUT
                } else {
                    Duration::ZERO
                };
                self.stop = Some(Instant::now() + limit);
            }
        }
    }

    fn step(&mut self, now: std::time::Instant, envelope: Envelope) {
        if envelope.to != self.replica.id() {
            return;
        }
        self.links.set(envelope.from, envelope.address);
        for message in envelope.messages {
            self.replica.step(now, envelope.from, message);
        }
    }

    fn propose(&mut self, proposal: Proposal) {
        let appended = self.replica.propose(proposal.command);
        self.wait(appended, proposal.done);
    }

    fn wait(
        &mut self,
        appended: Result<Position, consensus::Error>,
        done: oneshot::Sender<Outcome>,
    ) {
        match appended {
            Ok(position) => {
                self.waiting.insert(position.index, (position.term, done));
            }
            Err(error) => {
                let _ = done.send(Err(no_quorum(&error.to_string())));
            }
        }
    }

    /// Answers an empty replica; the leader adds it to the group.
    fn greet(&mut self, hello: &Hello) -> Greeting {
        let (members, _) = self.replica.membership();
        let formed = !members.members.is_empty();
        let known = self.replica.known(hello.id);
        let leader = self.replica.leader().filter(|id| *id != self.replica.id());
        let leader = leader.and_then(|id| members.get(id)).map(|m| m.address);
        let replaces = members.members.iter().any(|m| m.name == hello.name);
        let voter = hello.voter && (replaces || members.voters().count() < MAX_VOTERS);
        if formed && members.get(hello.id).is_none() {
            let member = Member {
                id: hello.id,
                name: hello.name.clone(),
                address: hello.address,
                kind: if voter {
                    MemberKind::Joining
                } else {
                    MemberKind::Learner
                },
            };
            // A refused change is repeated with the next question.
            let _ = self.replica.change(Change::Add(member));
        }
        Greeting {
            id: self.replica.id(),
            name: self.options.name.clone(),
            formed,
            leader,
            known,
        }
    }

    fn link(&mut self) {
        let (from, members) = self.replica.log().membership();
        if self.linked == Some(from) || members.members.is_empty() {
            return;
        }
        self.linked = Some(from);
        self.seeking = None;
        self.links.retain(|id| members.get(id).is_some());
        for member in &members.members {
            self.links.set(member.id, member.address);
        }
    }

    fn publish(&mut self, now: std::time::Instant) {
        let (members, _) = self.replica.membership();
        let leader = self.replica.leader().and_then(|id| members.get(id));
        let own = self.replica.id();
        let role = match self.replica.role() {
            consensus::Role::Leader => Role::Leader,
            _ if !members.is_voter(own) => Role::Learner,
            consensus::Role::Follower => Role::Follower,
            consensus::Role::PreCandidate | consensus::Role::Candidate => Role::Candidate,
        };
        let view = View {
            role,
            term: self.replica.term(),
            leader: leader.map(|m| (m.name.clone(), m.address)),
            commit: self.replica.commit(),
            applied: self.applied,
            quorum_until: self.replica.quorum_until(now).map(Instant::from_std),
            lease_until: self.replica.lease(now).map(Instant::from_std),
            members: members.clone(),
        };
        if role != Role::Leader && self.stop.is_some() {
            self.stop = Some(Instant::now());
        }
        self.view.send_if_modified(|current| {
            let modified = *current != view;
            *current = view;
            modified
        });
    }
}

struct Written {
    result: (Store, Result<(), Error>),
    receipt: Receipt,
    messages: Messages,
}

/// Waits for the write in progress; without one it waits forever.
async fn written(writing: &mut Option<(Writing, Receipt, Messages)>) -> Written {
    let Some((task, _, _)) = writing else {
        return std::future::pending().await;
    };
    let result = task.await.expect("a write does not panic");
    let (_, receipt, messages) = writing.take().expect("checked above");
    Written {
        result,
        receipt,
        messages,
    }
}
