//! Accounts: validation, differences between registries, and what their texts disclose.

use chestnutvalve_model::account::{Account, Key, Limit, MAX_ACCOUNTS, MAX_KEY_BYTES, Registry};
use chestnutvalve_model::id::Customer;
use chestnutvalve_model::rank::Rank;
use chestnutvalve_model::routes::{Limits, Publication, Table};
use rstest::rstest;

fn customer(name: &str) -> Customer {
    Customer::new(name).unwrap()
}

fn account(name: &str, keys: &[&str]) -> Account {
    Account {
        customer: customer(name),
        keys: keys.iter().map(|k| Key::new(k)).collect(),
        rank: None,
        limit: None,
    }
}

fn limited(name: &str, key: &str, per_second: f64, burst: f64) -> Account {
    Account {
        limit: Some(Limit { per_second, burst }),
        ..account(name, &[key])
    }
}

fn table(accounts: &[Account]) -> Table {
    Table {
        accounts: Registry::build(accounts).unwrap(),
        ..Table::default()
    }
}

fn owner<'a>(registry: &'a Registry, key: &str) -> Option<&'a str> {
    registry.of_key(key).map(|a| a.customer.as_str())
}

/// Guards against accounts that are refused although they are valid, and against keys that find another customer.
#[test]
fn valid_accounts_are_found_by_customer_and_key() {
    let mut large = limited("large", "k1", 0.5, 0.0);
    large.keys.extend([Key::new("k2"), Key::new("k2")]);
    large.rank = Some(Rank::Top);
    let longest = "x".repeat(MAX_KEY_BYTES);
    let accounts = [
        account("without-key", &[]),
        large.clone(),
        account("b", &[&longest]),
    ];
    let registry = Registry::build(&accounts).unwrap();
    assert!(!registry.is_empty());
    assert_eq!(owner(&registry, "k1"), Some("large"));
    assert_eq!(owner(&registry, "k2"), Some("large"));
    assert_eq!(owner(&registry, &longest), Some("b"));
    assert_eq!(owner(&registry, "k"), None);
    assert_eq!(owner(&registry, ""), None);
    let found = registry.of_customer(&customer("large")).unwrap();
    assert_eq!(**found, large);
    assert_eq!(registry.iter().count(), 3);
}

/// Guards against a contradictory account that is accepted, and against an error that contains a key.
#[rstest]
#[case::customer_twice(&[account("a", &["secret-1"]), account("a", &["secret-2"])])]
#[case::key_of_two_customers(&[account("a", &["secret-1"]), account("b", &["secret-2", "secret-1"])])]
#[case::empty_key(&[account("a", &["secret-1", ""])])]
#[case::long_key(&[account("a", &[&"secret-".repeat(MAX_KEY_BYTES)])])]
#[case::rate_of_zero(&[limited("a", "secret-1", 0.0, 1.0)])]
#[case::negative_rate(&[limited("a", "secret-1", -1.0, 1.0)])]
#[case::rate_not_a_number(&[limited("a", "secret-1", f64::NAN, 1.0)])]
#[case::infinite_rate(&[limited("a", "secret-1", f64::INFINITY, 1.0)])]
#[case::negative_burst(&[limited("a", "secret-1", 1.0, -1.0)])]
#[case::infinite_burst(&[limited("a", "secret-1", 1.0, f64::INFINITY)])]
fn contradictory_accounts_are_refused_without_their_keys(#[case] accounts: &[Account]) {
    let publication = Publication {
        label: 1,
        base: 0,
        routes: Vec::new(),
        services: std::collections::BTreeMap::new(),
        limits: Limits::default(),
        accounts: accounts.to_vec(),
        source: b"secret-1".to_vec(),
    };
    let error = publication.table().unwrap_err();
    let texts = [
        error.to_string(),
        format!("{error:?}"),
        format!("{publication:?}"),
    ];
    assert!(error.path.starts_with("accounts["), "{error}");
    assert!(!texts.concat().contains("secret"), "{texts:?}");
}

/// Guards against a table that is larger than entries are sized for.
#[test]
fn the_number_of_accounts_is_limited() {
    let mut accounts: Vec<Account> = (0..MAX_ACCOUNTS)
        .map(|n| account(&format!("c{n}"), &[]))
        .collect();
    assert!(Registry::build(&accounts).is_ok());
    accounts.push(account("one-more", &[]));
    assert_eq!(Registry::build(&accounts).unwrap_err().path, "accounts");
}

/// Guards against an entry that accepts a withdrawn key, or finds the former customer of a key, after it applied a
/// difference: the accounts of a difference are ordered by customer, so that the former customer of a moved key comes
/// before or after the new one.
#[rstest]
#[case::moved_to_a_later_customer(&[account("a", &["k"]), account("b", &[])], &[account("a", &[]), account("b", &["k"])])]
#[case::moved_to_an_earlier_customer(&[account("a", &[]), account("b", &["k"])], &[account("a", &["k"]), account("b", &[])])]
#[case::exchanged(&[account("a", &["k"]), account("b", &["l"])], &[account("a", &["l"]), account("b", &["k"])])]
#[case::moved_around(
    &[account("a", &["k"]), account("b", &["l"]), account("c", &["m"])],
    &[account("a", &["m"]), account("b", &["k"]), account("c", &["l"])]
)]
#[case::moved_from_a_removed_customer(&[account("a", &["k"]), account("b", &["l"])], &[account("b", &["l", "k"])])]
#[case::moved_to_an_added_customer(&[account("b", &["k", "l"])], &[account("a", &["k"]), account("b", &["l"])])]
#[case::withdrawn(&[account("a", &["k", "l"])], &[account("a", &["l"])])]
#[case::all_withdrawn(&[account("a", &["k"])], &[account("a", &[])])]
#[case::customer_removed(&[account("a", &["k"]), account("b", &["l"])], &[account("b", &["l"])])]
#[case::first_account(&[], &[account("a", &["k"])])]
#[case::last_account(&[account("a", &["k"])], &[])]
#[case::rank_and_limit(
    &[account("a", &["k"])],
    &[Account { rank: Some(Rank::Bottom), ..limited("a", "k", 1.0, 2.0) }]
)]
fn a_difference_moves_adds_and_withdraws_keys(
    #[case] before: &[Account],
    #[case] next: &[Account],
) {
    let (mut applied, next) = (table(before), table(next));
    applied.apply(&applied.delta(&next));
    assert_eq!(applied, next);
    for key in ["k", "l", "m"] {
        assert_eq!(applied.accounts.of_key(key), next.accounts.of_key(key));
    }
}

/// Guards against a difference that carries all accounts for a change of one.
#[test]
fn a_difference_names_only_changed_accounts() {
    let before = table(&[
        account("a", &["k"]),
        account("b", &["l"]),
        account("c", &[]),
    ]);
    let next = table(&[account("a", &["k"]), account("b", &["m"])]);
    let delta = before.delta(&next);
    assert_eq!(delta.accounts, [account("b", &["m"])]);
    assert_eq!(delta.removed_accounts, [customer("c")]);
}

/// Guards against keys, ranks or limits that are lost in a snapshot or on their way to an entry.
#[test]
fn a_registry_survives_serialization() {
    let mut full = limited("a", "k", 2.5, 10.0);
    full.keys.push(Key::new("l"));
    full.rank = Some(Rank::Top);
    let registry = Registry::build(&[full, account("b", &[])]).unwrap();
    let text = serde_json::to_string(&registry).unwrap();
    let read: Registry = serde_json::from_str(&text).unwrap();
    assert_eq!(read, registry);
    assert_eq!(owner(&read, "l"), Some("a"));
    insta::assert_snapshot!(text);
}

/// Guards against a document without keys, ranks and limits that is refused.
#[test]
fn the_fields_of_an_account_may_be_absent() {
    let read: Account = serde_json::from_str(r#"{"customer":"a"}"#).unwrap();
    assert_eq!(read, account("a", &[]));
}

/// Guards against a log line or a panic that discloses a key by the debug output of a table.
#[test]
fn debug_output_contains_no_key() {
    let before = table(&[]);
    let next = table(&[account("a", &["secret"])]);
    let texts = [format!("{next:?}"), format!("{:?}", before.delta(&next))];
    assert!(!texts.concat().contains("secret"), "{texts:?}");
    assert!(texts.iter().all(|t| t.contains("Key(..)")), "{texts:?}");
}
