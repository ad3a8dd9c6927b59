//! Claims: which attempt may dispatch, what a resend gets, expiry in log time, size limits and snapshots.

use chestnutvalve_ledger::{
    ClaimReply, Command, Key, Ledger, MAX_BODY_BYTES, MAX_HEADER_BYTES, Outcome, group,
};
use chestnutvalve_model::id::{Customer, Service};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

fn key(customer: Option<&str>, key: &str) -> Key {
    Key {
        service: Service::new("kasa").unwrap(),
        customer: customer.map(|c| Customer::new(c).unwrap()),
        key: key.to_owned(),
    }
}

fn claim(attempt: &str, fingerprint: u64) -> Command {
    let attempt = attempt.to_owned();
    Command::Claim {
        key: key(None, "k"),
        fingerprint,
        attempt,
        retention_s: 100,
    }
}

fn record(attempt: &str, status: u16) -> Command {
    let outcome = Outcome {
        status,
        headers: Vec::new(),
        body: Some(Vec::new()),
    };
    Command::Record {
        key: key(None, "k"),
        attempt: attempt.to_owned(),
        outcome,
    }
}

fn release(attempt: &str) -> Command {
    Command::Release {
        key: key(None, "k"),
        attempt: attempt.to_owned(),
    }
}

fn advance(elapsed_ms: u64) -> Command {
    Command::Advance { elapsed_ms }
}

fn recorded(status: u16) -> ClaimReply {
    ClaimReply::Recorded(Outcome {
        status,
        headers: Vec::new(),
        body: Some(Vec::new()),
    })
}

/// Guards against a second execution under one key, and against replying with the outcome of another request.
#[rstest]
#[case::first(&[], claim("a", 1), ClaimReply::Granted)]
#[case::delivered_twice(&[claim("a", 1)], claim("a", 1), ClaimReply::Held)]
#[case::resend_while_running(&[claim("a", 1)], claim("b", 1), ClaimReply::Unknown)]
#[case::resend_after_the_outcome(&[claim("a", 1), record("a", 201)], claim("b", 1), recorded(201))]
#[case::other_request(&[claim("a", 1)], claim("b", 2), ClaimReply::Reused)]
#[case::other_request_after_the_outcome(&[claim("a", 1), record("a", 201)], claim("b", 2), ClaimReply::Reused)]
#[case::record_by_another(&[claim("a", 1), record("b", 201)], claim("c", 1), ClaimReply::Unknown)]
#[case::second_record(&[claim("a", 1), record("a", 201), record("a", 500)], claim("b", 1), recorded(201))]
#[case::released(&[claim("a", 1), release("a")], claim("b", 1), ClaimReply::Granted)]
#[case::released_for_another_request(&[claim("a", 1), release("a")], claim("b", 2), ClaimReply::Granted)]
#[case::release_by_another(&[claim("a", 1), release("b")], claim("c", 1), ClaimReply::Unknown)]
#[case::release_after_the_outcome(&[claim("a", 1), record("a", 201), release("a")], claim("b", 1), recorded(201))]
#[case::claim_after_its_release(&[claim("a", 1), release("a")], claim("a", 1), ClaimReply::Unknown)]
#[case::release_before_its_claim(&[release("a"), claim("a", 1)], claim("b", 1), ClaimReply::Granted)]
#[case::late_release(&[claim("a", 1), release("a"), claim("b", 1), release("a")], claim("c", 1), ClaimReply::Unknown)]
#[case::late_record(&[claim("a", 1), release("a"), claim("b", 1), record("a", 201)], claim("c", 1), ClaimReply::Unknown)]
#[case::long_attempt(&[], claim(&"a".repeat(257), 1), ClaimReply::Full)]
#[case::before_expiry(&[claim("a", 1), advance(99_999)], claim("b", 1), ClaimReply::Unknown)]
#[case::after_expiry(&[claim("a", 1), advance(100_000)], claim("b", 2), ClaimReply::Granted)]
#[case::retention_restarts_with_the_outcome(&[claim("a", 1), advance(99_000), record("a", 201), advance(99_000)], claim("b", 1), recorded(201))]
fn claim_gets_the_expected_reply(
    #[case] before: &[Command],
    #[case] command: Command,
    #[case] expected: ClaimReply,
) {
    let mut ledger = Ledger::new();
    for command in before {
        ledger.apply(command);
    }
    assert_eq!(ledger.apply(&command), Some(expected));
}

/// Guards against large responses that fill the ledger, and against replaying a truncated response as if it were
/// complete.
#[rstest]
#[case::at_the_limits(MAX_HEADER_BYTES - 1, MAX_BODY_BYTES, 1, Some(MAX_BODY_BYTES))]
#[case::large_body(10, MAX_BODY_BYTES + 1, 1, None)]
#[case::large_headers(MAX_HEADER_BYTES, 10, 0, None)]
fn outcomes_are_bounded(
    #[case] header: usize,
    #[case] body: usize,
    #[case] headers: usize,
    #[case] recorded_body: Option<usize>,
) {
    let headers_in = vec![("n".to_owned(), vec![0; header])];
    let outcome = Outcome {
        status: 200,
        headers: headers_in,
        body: Some(vec![0; body]),
    };
    let mut ledger = Ledger::new();
    ledger.apply(&claim("a", 1));
    ledger.apply(&Command::Record {
        key: key(None, "k"),
        attempt: "a".to_owned(),
        outcome,
    });
    let Some(ClaimReply::Recorded(outcome)) = ledger.apply(&claim("b", 1)) else {
        panic!("expected a recorded outcome");
    };
    assert_eq!(
        (outcome.headers.len(), outcome.body.map(|b| b.len())),
        (headers, recorded_body)
    );
}

/// Guards against a change of the mapping, which would send resends to a group that doesn't have their claim.
#[test]
fn groups_are_stable_and_balanced() {
    let fixed = [
        group(&key(None, "k"), 8),
        group(&key(Some("c"), "k"), 8),
        group(&key(None, "ck"), 8),
    ];
    assert_eq!(fixed, [5, 5, 7]);
    let mut counts = [0; 8];
    for n in 0..8_000 {
        counts[group(&key(Some("c"), &n.to_string()), 8) as usize] += 1;
    }
    assert!(
        counts.iter().all(|c| (850..1_150).contains(c)),
        "{counts:?}"
    );
}

fn random_command(random: &mut StdRng) -> Command {
    let key = key(None, &random.random_range(0..6).to_string());
    let attempt = random.random_range(0..5).to_string();
    match random.random_range(0..10) {
        0..5 => {
            let fingerprint = random.random_range(0..2);
            Command::Claim {
                key,
                fingerprint,
                attempt,
                retention_s: random.random_range(60..90),
            }
        }
        5..7 => Command::Release { key, attempt },
        7..9 => {
            let body = Some(attempt.clone().into_bytes());
            Command::Record {
                key,
                attempt,
                outcome: Outcome {
                    status: 200,
                    headers: Vec::new(),
                    body,
                },
            }
        }
        _ => advance(random.random_range(0..30_000)),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    /// Guards against replicas that diverge after a snapshot, and against two attempts that may both dispatch one key.
    #[test]
    fn replicas_agree_and_one_attempt_holds_each_key(seed: u64, cut in 0..300_usize) {
        let mut random = StdRng::seed_from_u64(seed);
        let (mut first, mut second) = (Ledger::new(), Ledger::new());
        let mut holders = std::collections::BTreeMap::new();
        for index in 0..300 {
            if index == cut {
                second = Ledger::restore(&first.save()).unwrap();
            }
            let command = random_command(&mut random);
            let answer = first.apply(&command);
            prop_assert_eq!(&answer, &second.apply(&command));
            match command {
                Command::Claim { key, attempt, retention_s, .. } if answer == Some(ClaimReply::Granted) => {
                    let until = first.now_ms() + u64::from(retention_s) * 1_000;
                    let before = holders.insert(key, (attempt, until));
                    prop_assert!(before.is_none_or(|(_, until)| first.now_ms() >= until));
                }
                // A release frees the key only if it comes from the holder before its outcome is recorded.
                Command::Release { key, attempt } => {
                    holders.retain(|k, (holder, _)| *k != key || *holder != attempt);
                }
                Command::Record { key, attempt, .. } => {
                    if let Some((holder, until)) = holders.get_mut(&key)
                        && *holder == attempt
                        && first.now_ms() < *until
                    {
                        *until = (*until).max(first.now_ms() + 60_000);
                        holder.push_str(" ended");
                    }
                }
                _ => {}
            }
        }
        prop_assert_eq!(first.save(), second.save());
        prop_assert_eq!(first, second);
    }
}

/// Guards against restoring a state from a damaged snapshot or one of another format.
#[test]
fn damaged_snapshots_are_refused() {
    let mut ledger = Ledger::new();
    ledger.apply(&claim("a", 1));
    let saved = ledger.save();
    assert!(saved.len() < 32, "{} bytes for one claim", saved.len());
    let other = [&[9], &saved[1..]].concat();
    let longer = [&saved[..], &[0]].concat();
    for bytes in [&[], &saved[..saved.len() - 1], &other, &longer] {
        assert!(Ledger::restore(bytes).is_err());
    }
}
