//! Replies of one replica to appended entries.

use std::time::Instant;

use chestnutvalve_consensus::{
    Entry, Message, Payload, PersistentState, Position, Replica, ReplicaId, Settings,
};

const LEADER: ReplicaId = ReplicaId(2);

fn append(term: u64, previous: (u64, u64), indexes: std::ops::Range<u64>, commit: u64) -> Message {
    let entry = |index| Entry {
        position: Position { term, index },
        payload: Payload::Noop,
    };
    Message::Append {
        term,
        previous: Position {
            term: previous.0,
            index: previous.1,
        },
        entries: indexes.map(entry).collect(),
        commit,
        timestamp_us: 0,
    }
}

/// Guards against acknowledging replacement entries when only the write of the replaced ones has completed.
#[test]
fn replacement_entries_are_acknowledged_after_their_own_write() {
    let now = Instant::now();
    let (id, settings) = (ReplicaId(1), Settings::default());
    let mut replica = Replica::new(now, id, settings, PersistentState::default(), 1);
    replica.finish_rollback_check(now);
    replica.step(now, LEADER, append(1, (0, 0), 1..11, 0));
    // The first write contains the new term, so that afterwards only the entries are not durable.
    replica.step(now, ReplicaId(3), append(2, (1, 7), 8..8, 0));
    let first = replica.take_write().unwrap();
    replica.step(now, ReplicaId(3), append(2, (1, 7), 8..10, 0));
    replica.complete_write(now, first.id);
    let second = replica.take_write().unwrap();
    replica.step(now, ReplicaId(3), append(2, (2, 9), 10..10, 0));
    let early = replica.take_messages(now);
    assert!(early.is_empty(), "{early:?}");
    assert_eq!(first.messages.len(), 1);
    assert_eq!(second.entries.len(), 2);
    replica.complete_write(now, second.id);
    let third = replica.take_write().unwrap();
    assert!(third.is_empty());
    assert_eq!(third.messages.len(), 1);
}

/// Guards against a commit index that covers entries beyond the ones that match the log of the leader.
#[test]
fn entries_beyond_the_match_index_are_not_committed() {
    let now = Instant::now();
    let (id, settings) = (ReplicaId(1), Settings::default());
    let mut replica = Replica::new(now, id, settings, PersistentState::default(), 1);
    replica.finish_rollback_check(now);
    replica.step(now, LEADER, append(1, (0, 0), 1..11, 0));
    replica.step(now, ReplicaId(3), append(2, (1, 5), 6..6, 9));
    assert_eq!(replica.commit(), 5);
}
