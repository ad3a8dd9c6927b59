//! Replicas on a simulated network, clock and disk, with the checks that hold in every schedule.

use std::collections::{BTreeMap, HashSet};
use std::time::{Duration, Instant};

use chestnutvalve_consensus::{
    Kind, Member, Membership, Message, Payload, PersistentState, Position, Replica, ReplicaId,
    Role, Settings, Snapshot, Write,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// One instance: its disk outlives crashes, its replica does not.
pub struct Node {
    pub id: ReplicaId,
    pub disk: PersistentState,
    pub replica: Option<Replica>,
    writing: Option<(Instant, Write)>,
    /// Snapshot that is being saved beside the writes, and how many entries to keep then.
    saving: Option<(Instant, Snapshot, u64)>,
    /// Hash over all applied commands, as the state of the machine.
    state: u64,
    pub applied: u64,
}

struct Flight {
    at: Instant,
    from: ReplicaId,
    to: ReplicaId,
    message: Message,
}

pub struct Sim {
    pub now: Instant,
    pub random: SmallRng,
    pub nodes: Vec<Node>,
    pub settings: Settings,
    flights: Vec<Flight>,
    /// Directed links, by node number, on which messages are lost.
    pub blocked: HashSet<(usize, usize)>,
    /// Share of messages that are lost, and that arrive twice.
    pub loss: f64,
    pub duplication: f64,
    pub max_delay_us: u64,
    pub max_write_us: u64,
    /// All commands that were ever applied anywhere, and the state after them.
    pub committed: BTreeMap<u64, (Payload, u64)>,
    leaders: BTreeMap<u64, ReplicaId>,
}

pub fn member(id: u64, kind: Kind) -> Member {
    Member {
        id: ReplicaId(id),
        name: format!("c{}", id % 100),
        address: "127.0.0.1:1".parse().unwrap(),
        kind,
    }
}

impl Sim {
    /// Starts a group of voters; node `n` has the identity `n + 1`.
    pub fn new(size: u64, seed: u64) -> Self {
        Self::with(size, seed, Settings::default())
    }

    pub fn with(size: u64, seed: u64, settings: Settings) -> Self {
        let mut sim = Self {
            now: Instant::now(),
            random: SmallRng::seed_from_u64(seed),
            nodes: Vec::new(),
            settings,
            flights: Vec::new(),
            blocked: HashSet::new(),
            loss: 0.0,
            duplication: 0.0,
            max_delay_us: 2_000,
            max_write_us: 2_000,
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
        };
        let members: Vec<_> = (1..=size).map(|id| member(id, Kind::Voter)).collect();
        for id in 1..=size {
            sim.add(id);
        }
        let now = sim.now;
        let first = sim.nodes[0].replica.as_mut().unwrap();
        first.bootstrap(now, Membership { members }).unwrap();
        sim
    }

    /// Adds an instance with an empty disk and starts it.
    pub fn add(&mut self, id: u64) {
        self.nodes.push(Node {
            id: ReplicaId(id),
            disk: PersistentState::default(),
            replica: None,
            writing: None,
            saving: None,
            state: 0,
            applied: 0,
        });
        self.start(self.nodes.len() - 1);
    }

    /// Does what a driver does for an empty replica: asks the others whether they know of promises.
    fn greet(&mut self, number: usize) {
        let id = self.nodes[number].id;
        let others = self.nodes.iter().filter(|node| node.id != id);
        let others = others.filter_map(|node| node.replica.as_ref());
        let known: Vec<Position> = others.map(|other| other.watermark(id)).collect();
        let quorum = known.len() >= self.nodes.len() / 2;
        let (now, led) = (self.now, self.leader().is_some());
        let replica = self.replica_mut(number);
        for known in known {
            replica.check_watermark(known);
        }
        if replica.fatal_error().is_none() && (quorum || led) {
            replica.finish_rollback_check(now);
        }
    }

    pub fn start(&mut self, number: usize) {
        let seed = self.random.random();
        let node = &mut self.nodes[number];
        let disk = node.disk.clone();
        node.applied = disk.snapshot.position.index;
        node.state = state_of(&disk.snapshot.data);
        node.replica = Some(Replica::new(self.now, node.id, self.settings, disk, seed));
    }

    /// Ends a replica. The write in progress may be lost.
    pub fn crash(&mut self, number: usize) {
        let kept = self.random.random_bool(0.5);
        let node = &mut self.nodes[number];
        node.replica = None;
        node.saving = None;
        if let Some((_, write)) = node.writing.take()
            && kept
        {
            store(&mut node.disk, &write);
        }
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |node: &Node| {
            let replica = node.replica.as_ref();
            replica.is_some_and(|r| r.role() == Role::Leader && r.lease_until(self.now).is_some())
        };
        self.nodes.iter().position(leads)
    }

    pub fn replica(&self, number: usize) -> &Replica {
        self.nodes[number].replica.as_ref().unwrap()
    }

    pub fn replica_mut(&mut self, number: usize) -> &mut Replica {
        self.nodes[number].replica.as_mut().unwrap()
    }

    pub fn propose(&mut self, number: usize, command: u64) -> Option<Position> {
        let replica = self.nodes[number].replica.as_mut()?;
        replica.propose(command.to_le_bytes().to_vec()).ok()
    }

    /// Takes a snapshot at a replica.
    pub fn compact(&mut self, number: usize, keep: u64) {
        let delay = self.random.random_range(0..=self.max_write_us);
        let node = &mut self.nodes[number];
        if let Some(replica) = &mut node.replica
            && node.saving.is_none()
            && let Some(snapshot) = replica.build_snapshot(node.state.to_le_bytes().to_vec())
        {
            node.saving = Some((self.now + Duration::from_micros(delay), snapshot, keep));
        }
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.event(end) {}
        self.now = end;
    }

    /// Runs until there is a leader that has committed in its term.
    pub fn elect(&mut self) -> usize {
        for _ in 0..1_000 {
            if let Some(leader) = self.leader() {
                return leader;
            }
            self.run(Duration::from_millis(10));
        }
        panic!("no leader within 10 s");
    }

    /// Handles the next event before `end`; returns whether there was one.
    fn event(&mut self, end: Instant) -> bool {
        for number in 0..self.nodes.len() {
            self.carry_out(number);
        }
        let ticks = self.nodes.iter().filter_map(|n| n.replica.as_ref());
        let ticks = ticks
            .filter(|r| r.fatal_error().is_none())
            .map(Replica::next_tick);
        let writes = self.nodes.iter().filter_map(|n| n.writing.as_ref());
        let writes = writes.map(|(at, _)| *at);
        let saves = self.nodes.iter().filter_map(|n| n.saving.as_ref());
        let saves = saves.map(|(at, _, _)| *at);
        let flights = self.flights.iter().map(|flight| flight.at);
        let Some(next) = ticks.chain(writes).chain(saves).chain(flights).min() else {
            return false;
        };
        if next > end {
            return false;
        }
        self.now = self.now.max(next);
        self.deliver();
        for number in 0..self.nodes.len() {
            self.finish_write(number);
            if let Some(replica) = &mut self.nodes[number].replica {
                replica.tick(self.now);
            }
        }
        true
    }

    fn finish_write(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        if let Some((_, snapshot, keep)) = node.saving.take_if(|(at, _, _)| *at <= now)
            && let Some(replica) = &mut node.replica
        {
            node.disk.snapshot = snapshot.clone();
            replica.compact(snapshot, keep);
        }
        if let Some((_, write)) = node.writing.take_if(|(at, _)| *at <= now) {
            store(&mut node.disk, &write);
            if let Some(replica) = &mut node.replica {
                replica.complete_write(now, write.id);
            }
            for (to, message) in write.messages {
                self.send(number, to, &message);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.flights)
            .into_iter()
            .partition(|flight| flight.at <= now);
        self.flights = later;
        let due: Vec<Flight> = due;
        for flight in due {
            let node = self.nodes.iter_mut().find(|node| node.id == flight.to);
            if let Some(replica) = node.and_then(|node| node.replica.as_mut()) {
                replica.step(now, flight.from, flight.message);
            }
        }
    }

    fn carry_out(&mut self, number: usize) {
        let now = self.now;
        self.apply(number);
        let replica = self.nodes[number].replica.as_ref();
        if replica.is_some_and(|r| r.is_checking_rollback() && r.log().last().index == 0) {
            self.greet(number);
        }
        let node = &mut self.nodes[number];
        let Some(replica) = &mut node.replica else {
            return;
        };
        if replica.role() == Role::Leader {
            let leader = self.leaders.entry(replica.term()).or_insert(node.id);
            assert_eq!(*leader, node.id, "two leaders in term {}", replica.term());
        }
        let messages = replica.take_messages(now);
        // A snapshot of the leader waits for one that is being saved to the same place.
        let waits = node.saving.is_some() && replica.is_installing_snapshot();
        if !waits && let Some(write) = replica.take_write() {
            let delay = self.random.random_range(0..=self.max_write_us);
            node.writing = Some((now + Duration::from_micros(delay), write));
        }
        for (to, message) in messages {
            self.send(number, to, &message);
        }
    }

    fn send(&mut self, from: usize, to: ReplicaId, message: &Message) {
        let Some(receiver) = self.nodes.iter().position(|node| node.id == to) else {
            return;
        };
        if self.blocked.contains(&(from, receiver)) || self.random.random_bool(self.loss) {
            return;
        }
        let copies = 1 + usize::from(self.random.random_bool(self.duplication));
        for _ in 0..copies {
            let mut delay = self.random.random_range(0..=self.max_delay_us);
            // A few messages arrive after the elections that follow them.
            if self.random.random_bool(self.duplication) {
                delay *= 10;
            }
            self.flights.push(Flight {
                at: self.now + Duration::from_micros(delay),
                from: self.nodes[from].id,
                to,
                message: message.clone(),
            });
        }
    }

    /// Applies committed entries and checks them against what others have applied.
    fn apply(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        let Some(replica) = &mut node.replica else {
            return;
        };
        if let Some(snapshot) = replica.take_snapshot_to_restore() {
            node.applied = snapshot.position.index;
            node.state = state_of(&snapshot.data);
            let (_, state) = &self.committed[&node.applied];
            assert_eq!(node.state, *state, "snapshot differs at {}", node.applied);
        }
        for entry in replica.take_committed_entries() {
            let index = entry.position.index;
            assert_eq!(index, node.applied + 1, "gap at {:?}", node.id);
            node.applied = index;
            if let Payload::Command(command) = &entry.payload {
                let hash = node.state.rotate_left(5) ^ state_of(command);
                node.state = hash.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            }
            let known = self
                .committed
                .entry(index)
                .or_insert_with(|| (entry.payload.clone(), node.state));
            assert_eq!(known.0, entry.payload, "diverged at {index}");
            assert_eq!(known.1, node.state, "state differs at {index}");
        }
    }
}

fn state_of(data: &[u8]) -> u64 {
    data.try_into().map_or(0, u64::from_le_bytes)
}

/// Does what a disk does with a write.
fn store(disk: &mut PersistentState, write: &Write) {
    if let Some(hard_state) = &write.hard_state {
        disk.hard_state = hard_state.clone();
    }
    if let Some(snapshot) = &write.snapshot {
        disk.snapshot = snapshot.clone();
    }
    if write.replaces_log {
        disk.entries.clear();
    }
    if let Some(first) = write.entries.first() {
        let index = first.position.index;
        disk.entries.retain(|entry| entry.position.index < index);
        disk.entries.extend(write.entries.iter().cloned());
    }
}
