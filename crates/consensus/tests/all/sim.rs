//! Simulated network, clock and disk for a group of replicas, with invariant checks that hold in every schedule.

use std::collections::{BTreeMap, HashSet};
use std::time::{Duration, Instant};

use chestnutvalve_consensus::{
    Kind, Member, Membership, Message, Payload, PersistentState, Position, Replica, ReplicaId,
    Role, Settings, Snapshot, Write,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// One instance. Its disk survives a crash, its replica does not.
pub struct Node {
    pub id: ReplicaId,
    pub disk: PersistentState,
    pub replica: Option<Replica>,
    /// Whether no write completes.
    pub disk_hangs: bool,
    pending_write: Option<(Instant, Write)>,
    /// Completion time of the snapshot write in progress, the snapshot, and the number of entries to keep on compaction.
    pending_snapshot: Option<(Instant, Snapshot, u64)>,
    /// State of the state machine: a hash over all applied commands.
    state: u64,
    pub applied: u64,
}

struct InFlight {
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
    in_flight: Vec<InFlight>,
    /// Directed links, as pairs of node indexes, that drop all messages.
    pub blocked: HashSet<(usize, usize)>,
    /// Fraction of messages that are lost.
    pub loss: f64,
    pub duplication: f64,
    pub max_delay_us: u64,
    pub max_write_us: u64,
    /// Every entry that any node has applied, by index, and the state after it.
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
    /// Starts a group of voters. The node at index `n` has the identity `n + 1`.
    pub fn new(size: u64, seed: u64) -> Self {
        Self::with_settings(size, seed, Settings::default())
    }

    pub fn with_settings(size: u64, seed: u64, settings: Settings) -> Self {
        let mut sim = Self {
            now: Instant::now(),
            random: SmallRng::seed_from_u64(seed),
            nodes: Vec::new(),
            settings,
            in_flight: Vec::new(),
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

    /// Adds a node with an empty disk and starts it.
    pub fn add(&mut self, id: u64) {
        self.nodes.push(Node {
            id: ReplicaId(id),
            disk: PersistentState::default(),
            replica: None,
            disk_hangs: false,
            pending_write: None,
            pending_snapshot: None,
            state: 0,
            applied: 0,
        });
        self.start(self.nodes.len() - 1);
    }

    /// Ends the rollback check of an empty replica like a driver does: collects the watermarks that the others have recorded.
    fn check_watermarks(&mut self, node_index: usize) {
        let id = self.nodes[node_index].id;
        let others = self.nodes.iter().filter(|node| node.id != id);
        let others = others.filter_map(|node| node.replica.as_ref());
        let watermarks: Vec<Position> = others.map(|other| other.watermark(id)).collect();
        let quorum = watermarks.len() >= self.nodes.len() / 2;
        let (now, has_leader) = (self.now, self.leader().is_some());
        let replica = self.replica_mut(node_index);
        for watermark in watermarks {
            replica.check_watermark(watermark);
        }
        if replica.fatal_error().is_none() && (quorum || has_leader) {
            replica.finish_rollback_check(now);
        }
    }

    pub fn start(&mut self, node_index: usize) {
        let seed = self.random.random();
        let node = &mut self.nodes[node_index];
        let disk = node.disk.clone();
        node.applied = disk.snapshot.position.index;
        node.state = decode_state(&disk.snapshot.data);
        node.replica = Some(Replica::new(self.now, node.id, self.settings, disk, seed));
    }

    /// Ends a replica. A write in progress is lost with a probability of one half.
    pub fn crash(&mut self, node_index: usize) {
        let write_survives = self.random.random_bool(0.5);
        let node = &mut self.nodes[node_index];
        node.replica = None;
        node.pending_snapshot = None;
        if let Some((_, write)) = node.pending_write.take()
            && write_survives
        {
            apply_write(&mut node.disk, &write);
        }
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |node: &Node| {
            let replica = node.replica.as_ref();
            replica.is_some_and(|r| r.role() == Role::Leader && r.lease_until(self.now).is_some())
        };
        self.nodes.iter().position(leads)
    }

    pub fn replica(&self, node_index: usize) -> &Replica {
        self.nodes[node_index].replica.as_ref().unwrap()
    }

    pub fn replica_mut(&mut self, node_index: usize) -> &mut Replica {
        self.nodes[node_index].replica.as_mut().unwrap()
    }

    pub fn propose(&mut self, node_index: usize, command: u64) -> Option<Position> {
        let replica = self.nodes[node_index].replica.as_mut()?;
        replica.propose(command.to_le_bytes().to_vec()).ok()
    }

    /// Starts to write a snapshot of a node.
    pub fn compact(&mut self, node_index: usize, keep: u64) {
        let delay = self.random.random_range(0..=self.max_write_us);
        let node = &mut self.nodes[node_index];
        if let Some(replica) = &mut node.replica
            && node.pending_snapshot.is_none()
            && let Some(snapshot) = replica.build_snapshot(node.state.to_le_bytes().to_vec())
        {
            node.pending_snapshot = Some((self.now + Duration::from_micros(delay), snapshot, keep));
        }
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.run_next_event(end) {}
        self.now = end;
    }

    /// Runs until a leader holds a lease, and returns its index.
    pub fn elect(&mut self) -> usize {
        for _ in 0..1_000 {
            if let Some(leader) = self.leader() {
                return leader;
            }
            self.run(Duration::from_millis(10));
        }
        panic!("no leader within 10 s");
    }

    /// Handles the next event if it is due by `end`. Returns whether there was one.
    fn run_next_event(&mut self, end: Instant) -> bool {
        for node_index in 0..self.nodes.len() {
            self.carry_out_output(node_index);
        }
        let ticks = self.nodes.iter().filter_map(|n| n.replica.as_ref());
        let ticks = ticks
            .filter(|r| r.fatal_error().is_none())
            .map(Replica::next_tick);
        let writes = self.nodes.iter().filter(|n| !n.disk_hangs);
        let writes = writes.filter_map(|n| n.pending_write.as_ref());
        let writes = writes.map(|(at, _)| *at);
        let snapshot_writes = self
            .nodes
            .iter()
            .filter_map(|n| n.pending_snapshot.as_ref());
        let snapshot_writes = snapshot_writes.map(|(at, _, _)| *at);
        let in_flight = self.in_flight.iter().map(|transit| transit.at);
        let Some(next) = ticks
            .chain(writes)
            .chain(snapshot_writes)
            .chain(in_flight)
            .min()
        else {
            return false;
        };
        if next > end {
            return false;
        }
        self.now = self.now.max(next);
        self.deliver();
        for node_index in 0..self.nodes.len() {
            self.complete_writes(node_index);
            if let Some(replica) = &mut self.nodes[node_index].replica {
                replica.tick(self.now);
            }
        }
        true
    }

    fn complete_writes(&mut self, node_index: usize) {
        let now = self.now;
        let node = &mut self.nodes[node_index];
        if let Some((_, snapshot, keep)) = node.pending_snapshot.take_if(|(at, _, _)| *at <= now)
            && let Some(replica) = &mut node.replica
        {
            node.disk.snapshot = snapshot.clone();
            replica.compact(snapshot, keep);
        }
        let hangs = node.disk_hangs;
        if let Some((_, write)) = node.pending_write.take_if(|(at, _)| *at <= now && !hangs) {
            apply_write(&mut node.disk, &write);
            if let Some(replica) = &mut node.replica {
                replica.complete_write(now, write.id);
            }
            for (to, message) in write.messages {
                self.send(node_index, to, &message);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|transit| transit.at <= now);
        self.in_flight = later;
        let due: Vec<InFlight> = due;
        for transit in due {
            let node = self.nodes.iter_mut().find(|node| node.id == transit.to);
            if let Some(replica) = node.and_then(|node| node.replica.as_mut()) {
                replica.step(now, transit.from, transit.message);
            }
        }
    }

    fn carry_out_output(&mut self, node_index: usize) {
        let now = self.now;
        self.apply(node_index);
        let replica = self.nodes[node_index].replica.as_ref();
        if replica.is_some_and(|r| r.is_checking_rollback() && r.log().last().index == 0) {
            self.check_watermarks(node_index);
        }
        let node = &mut self.nodes[node_index];
        let Some(replica) = &mut node.replica else {
            return;
        };
        if replica.role() == Role::Leader {
            let leader = self.leaders.entry(replica.term()).or_insert(node.id);
            assert_eq!(*leader, node.id, "two leaders in term {}", replica.term());
        }
        let messages = replica.take_messages(now);
        // Installing a snapshot of the leader waits for the snapshot write in progress, which has the same file.
        let blocked_by_snapshot =
            node.pending_snapshot.is_some() && replica.is_installing_snapshot();
        if !blocked_by_snapshot && let Some(write) = replica.take_write() {
            let delay = self.random.random_range(0..=self.max_write_us);
            node.pending_write = Some((now + Duration::from_micros(delay), write));
        }
        for (to, message) in messages {
            self.send(node_index, to, &message);
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
            // Some messages are delayed beyond the next election.
            if self.random.random_bool(self.duplication) {
                delay *= 10;
            }
            self.in_flight.push(InFlight {
                at: self.now + Duration::from_micros(delay),
                from: self.nodes[from].id,
                to,
                message: message.clone(),
            });
        }
    }

    /// Applies committed entries and checks them against those that other nodes have applied.
    fn apply(&mut self, node_index: usize) {
        let node = &mut self.nodes[node_index];
        let Some(replica) = &mut node.replica else {
            return;
        };
        if let Some(snapshot) = replica.take_snapshot_to_restore() {
            node.applied = snapshot.position.index;
            node.state = decode_state(&snapshot.data);
            let (_, state) = &self.committed[&node.applied];
            assert_eq!(node.state, *state, "snapshot differs at {}", node.applied);
        }
        for entry in replica.take_committed_entries() {
            let index = entry.position.index;
            assert_eq!(index, node.applied + 1, "{:?} skipped an entry", node.id);
            node.applied = index;
            if let Payload::Command(command) = &entry.payload {
                let hash = node.state.rotate_left(5) ^ decode_state(command);
                node.state = hash.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            }
            let expected = self
                .committed
                .entry(index)
                .or_insert_with(|| (entry.payload.clone(), node.state));
            assert_eq!(expected.0, entry.payload, "entries differ at {index}");
            assert_eq!(expected.1, node.state, "state differs at {index}");
        }
    }
}

fn decode_state(data: &[u8]) -> u64 {
    data.try_into().map_or(0, u64::from_le_bytes)
}

/// Applies a write to a disk.
fn apply_write(disk: &mut PersistentState, write: &Write) {
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
