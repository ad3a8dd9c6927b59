//! Customers' API keys in the replicated state: publication, withdrawal, restarts and message sizes.

use std::time::Duration;

use chestnutvalve_control::codec;
use chestnutvalve_control::daemon::operators::MAX_DOCUMENT_BYTES;
use chestnutvalve_control::replica::MAX_COMMAND_BYTES;
use chestnutvalve_control::state::{Command, Store, records};
use chestnutvalve_model::account::{Account, Key, Limit, MAX_ACCOUNTS};
use chestnutvalve_model::control::State;
use chestnutvalve_model::error::Kind;
use chestnutvalve_model::id::Customer;
use chestnutvalve_model::rank::Rank;
use chestnutvalve_model::routes::{MAX_ROUTES, Publication};
use chestnutvalve_model::version::Version;
use rstest::rstest;
use tokio::time::{Instant, sleep};

use crate::harness::{Cluster, Running, WAIT_TIMEOUT, follow};
use crate::publish::{publication, publish};

fn account(name: &str, keys: &[&str]) -> Account {
    Account {
        customer: Customer::new(name).unwrap(),
        keys: keys.iter().map(|k| Key::new(k)).collect(),
        rank: None,
        limit: None,
    }
}

fn with_accounts(label: u64, base: u64, accounts: &[Account]) -> Publication {
    let mut publication = publication(label, base, 100);
    publication.accounts = accounts.to_vec();
    publication.source = serde_json::to_vec(&publication.accounts).unwrap();
    publication
}

/// Returns the customers of the keys, in order.
fn owners(state: &State, keys: &[&str]) -> Vec<Option<String>> {
    let owner = |key: &&str| {
        let account = state.routes.accounts.of_key(key)?;
        Some(account.customer.to_string())
    };
    keys.iter().map(owner).collect()
}

fn named(customers: &[&str]) -> Vec<Option<String>> {
    let name = |c: &&str| (!c.is_empty()).then(|| (*c).to_owned());
    customers.iter().map(name).collect()
}

/// Guards against a withdrawn key that is in use again after a resend of the former document, in a snapshot, or at an entry
/// that followed the records.
#[test]
fn a_withdrawn_key_stays_withdrawn() {
    let mut store = Store::default();
    let first = with_accounts(1, 0, &[account("a", &["k1", "k2"]), account("b", &["k3"])]);
    let second = with_accounts(2, 1, &[account("a", &["k2"]), account("c", &["k3"])]);
    let keys = ["k1", "k2", "k3"];
    assert_eq!(publish(&mut store, &first), Ok(1));
    assert_eq!(owners(store.state(), &keys), named(&["a", "a", "b"]));
    assert_eq!(publish(&mut store, &second), Ok(2));
    assert_eq!(owners(store.state(), &keys), named(&["", "a", "c"]));
    assert_eq!(publish(&mut store, &first), Ok(2));
    let mut followed = State::default();
    for record in store.records().after(Version::ZERO).unwrap() {
        followed.apply(record).unwrap();
    }
    let mut restored = Store::default();
    restored.restore(&store.save()).unwrap();
    assert_eq!(publish(&mut restored, &first), Ok(2));
    for state in [store.state(), &followed, restored.state()] {
        assert_eq!(owners(state, &keys), named(&["", "a", "c"]));
    }
    assert_eq!(restored.published().source(), Some(&second.source[..]));
}

/// Guards against a contradictory document that takes effect, and against an error or a debug output with a key.
#[rstest]
#[case::key_of_two_customers(&[account("a", &["secret-1"]), account("b", &["secret-1"])])]
#[case::customer_twice(&[account("a", &["secret-1"]), account("a", &["secret-2"])])]
fn contradictory_accounts_are_refused(#[case] accounts: &[Account]) {
    let mut store = Store::default();
    let contradictory = with_accounts(1, 0, accounts);
    assert_eq!(
        publish(&mut store, &contradictory),
        Err(Kind::InvalidChange)
    );
    assert_eq!(store.state(), &State::default());
    let fault = store.check_publication(&contradictory).unwrap_err();
    publish(
        &mut store,
        &with_accounts(1, 0, &[account("a", &["secret-1"])]),
    )
    .unwrap();
    let texts = [
        fault.to_string(),
        format!("{store:?}"),
        format!("{:?}", Command::Publish(contradictory.clone())),
    ];
    // The documents are byte strings, whose debug output would be numbers.
    let document = format!("{:?}", contradictory.source);
    let bytes = document.trim_matches(['[', ']']);
    for text in &texts {
        assert!(!text.contains("secret") && !text.contains(bytes), "{text}");
    }
}

/// Reads the document in force; without a leader that holds the lease, it is refused for a moment.
async fn read_published(running: &Running) -> Vec<u8> {
    let limit = Instant::now() + WAIT_TIMEOUT;
    loop {
        match running.instance.read_published().await {
            Ok(document) => return document,
            Err(fault) => assert!(Instant::now() < limit, "{fault}"),
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Returns a publication with the maximum number of routes and of accounts, each with two keys of 64 characters.
fn largest() -> Publication {
    let account = |n: usize| Account {
        customer: Customer::new(&format!("customer-{n:05}")).unwrap(),
        keys: ["x", "y"]
            .map(|key| Key::new(&format!("{key}{n:063}")))
            .to_vec(),
        rank: Some(Rank::Middle),
        limit: Some(Limit {
            per_second: 12.5,
            burst: 30.5,
        }),
    };
    let mut publication = publication(1, 0, 100);
    let route = publication.routes.remove(0);
    publication.routes = (0..MAX_ROUTES)
        .map(|n| chestnutvalve_model::routes::Route {
            name: format!("route-{n:05}"),
            prefix: format!("/prefix-{n:05}/"),
            ..route.clone()
        })
        .collect();
    publication.accounts = (0..MAX_ACCOUNTS).map(account).collect();
    publication.source = Vec::new();
    publication.source = serde_json::to_vec(&publication).unwrap();
    publication
}

/// Guards against a document of the maximum size that can't be sent, replicated or delivered, and against records that
/// entries never get because they exceed what is retained.
#[test]
fn the_largest_document_fits_into_every_message() {
    let publication = largest();
    let body = publication.source.len();
    assert!(body <= MAX_DOCUMENT_BYTES, "{body} bytes");
    let mut store = Store::default();
    let command = codec::encode(&Command::Publish(publication.clone())).len();
    assert!(command <= MAX_COMMAND_BYTES, "{command} bytes");
    assert_eq!(publish(&mut store, &publication), Ok(1));
    assert!(store.records().after(Version::ZERO).is_some());
    let state = codec::encode(store.state()).len();
    assert!(state <= records::MAX_BYTES, "{state} bytes");
    let mut next = publication;
    (next.label, next.base) = (2, 1);
    next.accounts[7].keys.pop();
    next.source.push(b' ');
    assert_eq!(publish(&mut store, &next), Ok(2));
    let before = store.records().after(Version {
        term: 1,
        revision: 1,
    });
    let last: Vec<_> = before.expect("the record is retained").collect();
    let bytes = codec::encode(&last[0]).len();
    assert!(bytes <= 1_000, "{bytes} bytes for one key");
}

/// Guards against an instance that has a withdrawn key in use again after all instances restarted from their disks, and
/// against a document that is read back changed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_stays_withdrawn_after_restarts() {
    let mut cluster = Cluster::start(3).await;
    let keys = ["k1", "k2", "k3"];
    let first = with_accounts(1, 0, &[account("a", &["k1", "k2"]), account("b", &["k3"])]);
    let second = with_accounts(2, 1, &[account("a", &["k2"]), account("b", &["k3"])]);
    let follower = cluster.follower().await;
    assert_eq!(follower.instance.publish(first.clone()).await, Ok(1));
    let state = follow(&follower.client, |s| s.routes.label == 1).await;
    assert_eq!(owners(&state, &keys), named(&["a", "a", "b"]));
    assert_eq!(follower.instance.publish(second.clone()).await, Ok(2));
    assert_eq!(follower.instance.publish(first.clone()).await, Ok(2));
    for (_, running) in cluster.alive() {
        follow(&running.client, |s| s.routes.label == 2).await;
    }
    for n in 0..3 {
        cluster.stop(n).await;
    }
    for n in 0..3 {
        cluster.running[n] = Some(cluster.launch(n).await);
    }
    cluster.leader().await;
    for (_, running) in cluster.alive() {
        let state = follow(&running.client, |s| s.routes.label == 2).await;
        assert_eq!(owners(&state, &keys), named(&["", "a", "b"]));
        assert_eq!(read_published(running).await, second.source);
        assert_eq!(running.instance.publish(first.clone()).await, Ok(2));
    }
    let state = follow(&cluster.follower().await.client, |s| s.routes.label == 2).await;
    assert_eq!(owners(&state, &keys), named(&["", "a", "b"]));
}

/// Guards against a document of the maximum size that a follower can't pass on, commit, read back or deliver.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_largest_document_is_published_through_a_follower() {
    let cluster = Cluster::start(3).await;
    let publication = largest();
    let follower = cluster.follower().await;
    assert_eq!(follower.instance.publish(publication.clone()).await, Ok(1));
    for (_, running) in cluster.alive() {
        let state = follow(&running.client, |s| s.routes.label == 1).await;
        assert_eq!(state.routes.accounts.iter().count(), MAX_ACCOUNTS);
        assert!(read_published(running).await == publication.source);
    }
}
