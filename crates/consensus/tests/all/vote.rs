//! Replies of one replica to vote and pre-vote requests.

use std::time::{Duration, Instant};

use chestnutvalve_consensus::{
    Commit, Entry, HardState, Kind, Membership, Message, Payload, PersistentState, Position,
    Replica, ReplicaId, Settings,
};
use rstest::rstest;

use crate::sim::member;

const SELF: ReplicaId = ReplicaId(1);
const PEER: ReplicaId = ReplicaId(2);

fn at(term: u64, index: u64) -> Position {
    Position { term, index }
}

/// Builds a replica in term 5 that voted for replica 3, whose log ends at (4, 2) and whose rollback check has passed.
fn voter() -> (Replica, Instant) {
    let members = (1..=3).map(|id| member(id, Kind::Voter)).collect();
    let entry = |position, payload| Entry { position, payload };
    let restored = PersistentState {
        hard_state: HardState {
            term: 5,
            vote: Some(ReplicaId(3)),
            ..HardState::default()
        },
        entries: vec![
            entry(at(1, 1), Payload::Membership(Membership { members })),
            entry(at(4, 2), Payload::Noop),
        ],
        ..PersistentState::default()
    };
    let start = Instant::now();
    let mut replica = Replica::new(start, SELF, Settings::default(), restored, 1);
    let watermark = Position::default();
    replica.step(start, PEER, Message::WatermarkReply { watermark });
    (replica, start)
}

fn granted(replica: &mut Replica, now: Instant) -> Option<bool> {
    let mut messages = replica.take_messages(now);
    if let Some(write) = replica.take_write() {
        replica.complete_write(now, write.id);
        messages.extend(write.messages);
    }
    messages.into_iter().find_map(|(_, message)| match message {
        Message::VoteReply { granted, .. } | Message::PreVoteReply { granted, .. } => Some(granted),
        _ => None,
    })
}

/// Guards against a vote for a log that is less up to date, a second vote in a term, and a vote in an old term.
#[rstest]
#[case::longer_log(6, at(4, 3), Some(true))]
#[case::equal_log(6, at(4, 2), Some(true))]
#[case::later_term(6, at(5, 1), Some(true))]
#[case::shorter_log(6, at(4, 1), Some(false))]
#[case::earlier_term(6, at(3, 9), Some(false))]
#[case::voted_for_another(5, at(4, 9), Some(false))]
#[case::old_term(4, at(4, 9), Some(false))]
fn vote_is_granted_only_to_an_up_to_date_log_once_per_term(
    #[case] term: u64,
    #[case] last: Position,
    #[case] expected: Option<bool>,
) {
    let (mut replica, start) = voter();
    let now = start + Settings::default().election_timeout_min;
    let transfer = false;
    let vote = Message::Vote {
        term,
        last,
        transfer,
    };
    replica.step(now, PEER, vote);
    assert_eq!(granted(&mut replica, now), expected);
    let (mut replica, start) = voter();
    let now = start + Settings::default().election_timeout_min;
    replica.step(now, PEER, Message::PreVote { term, last });
    assert_eq!(granted(&mut replica, now), expected);
    assert_eq!(replica.term(), 5, "a pre-vote raises no term");
}

/// Guards against a vote while a leader lease may be valid: after a heartbeat, and after a restart, because a heartbeat may
/// have arrived before it.
#[rstest]
#[case::after_a_restart(false, 299, None)]
#[case::after_a_restart(false, 300, Some(true))]
#[case::after_a_heartbeat(true, 599, None)]
#[case::after_a_heartbeat(true, 600, Some(true))]
fn no_vote_while_a_lease_may_be_valid(
    #[case] heartbeat: bool,
    #[case] after_ms: u64,
    #[case] expected: Option<bool>,
) {
    let (mut replica, start) = voter();
    if heartbeat {
        let message = Message::Heartbeat {
            term: 5,
            commit: Commit {
                index: 0,
                match_index: 0,
            },
            has_quorum: true,
            watermarks: Vec::new(),
            timestamp_us: 0,
        };
        let heartbeat_at = start + Settings::default().election_timeout_min;
        replica.step(heartbeat_at, ReplicaId(3), message);
    }
    let now = start + Duration::from_millis(after_ms);
    let (last, term) = (at(4, 9), 6);
    let transfer = false;
    let vote = |term| Message::Vote {
        term,
        last,
        transfer,
    };
    replica.step(now, PEER, vote(term));
    assert_eq!(granted(&mut replica, now), expected);
    // Adopting a later term from a message that is no vote request must not permit a vote.
    let reply = Message::VoteReply {
        term: 7,
        granted: false,
    };
    replica.step(now, PEER, reply);
    replica.step(now, PEER, vote(7));
    assert_eq!(granted(&mut replica, now), Some(expected.is_some()));
}

/// Guards against committing an entry of an earlier term by counting replicas. A later leader may replace such an entry.
#[test]
fn entries_of_earlier_terms_are_committed_only_with_one_of_the_current_term() {
    let (mut replica, mut now) = voter();
    while replica.role() != chestnutvalve_consensus::Role::Candidate {
        now = replica.next_tick();
        replica.tick(now);
        let reply = Message::PreVoteReply {
            term: 5,
            requested_term: 6,
            granted: true,
        };
        replica.step(now, PEER, reply);
    }
    let write = replica.take_write().unwrap();
    replica.complete_write(now, write.id);
    let reply = Message::VoteReply {
        term: 6,
        granted: true,
    };
    replica.step(now, PEER, reply);
    let write = replica.take_write().unwrap();
    replica.complete_write(now, write.id);
    for (match_index, commit) in [(2, 0), (3, 3)] {
        let reply = Message::AppendReply {
            term: 6,
            result: Ok(match_index),
            timestamp_us: 0,
        };
        replica.step(now, PEER, reply);
        assert_eq!(replica.commit(), commit);
    }
}
