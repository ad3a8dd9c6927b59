//! Authentication of callers by their headers.

use chestnutvalve_entry::gateway::Dialect;
use chestnutvalve_entry::gateway::credentials::{Rejection, authenticate, replace};
use chestnutvalve_model::account::{Account, Key, Registry};
use chestnutvalve_model::id::Customer;
use http::{HeaderMap, HeaderName, HeaderValue};
use rstest::rstest;

fn account(name: &str, keys: &[&str]) -> Account {
    Account {
        customer: Customer::new(name).unwrap(),
        keys: keys.iter().map(|k| Key::new(k)).collect(),
        rank: None,
        limit: None,
    }
}

fn registry() -> Registry {
    let accounts = [account("a", &["k-1", "schlüssel"]), account("b", &["k 2"])];
    Registry::build(&accounts).unwrap()
}

fn headers(credentials: &[&str]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for text in credentials {
        let value = HeaderValue::from_bytes(text.as_bytes()).unwrap();
        headers.append(http::header::AUTHORIZATION, value);
    }
    headers
}

/// Guards against a valid key that is rejected because of its form.
#[rstest]
#[case::usual("Bearer k-1", "a")]
#[case::lower_case_scheme("bearer k-1", "a")]
#[case::upper_case_scheme("BEARER k-1", "a")]
#[case::more_spaces("Bearer   k-1  ", "a")]
#[case::beyond_ascii("Bearer schlüssel", "a")]
#[case::key_with_a_space("Bearer k 2", "b")]
fn a_valid_key_finds_its_customer(#[case] credentials: &str, #[case] customer: &str) {
    for is_public in [false, true] {
        let found = authenticate(
            &registry(),
            is_public,
            &Dialect::default(),
            &headers(&[credentials]),
        );
        let found = found.unwrap().map(|a| a.customer.clone());
        assert_eq!(found, Some(Customer::new(customer).unwrap()));
    }
}

/// Guards against a request without exactly one valid key that runs on a route which requires one, and against a public
/// route that requires a key.
#[rstest]
#[case::none(&[], Rejection::Missing)]
#[case::twice(&["Bearer k-1", "Bearer k-1"], Rejection::Duplicate)]
#[case::two_keys(&["Bearer k-1", "Bearer k 2"], Rejection::Duplicate)]
#[case::second_scheme(&["Basic x", "Bearer k-1"], Rejection::Duplicate)]
#[case::empty(&[""], Rejection::Malformed)]
#[case::no_key(&["Bearer"], Rejection::Malformed)]
#[case::empty_key(&["Bearer "], Rejection::Malformed)]
#[case::no_scheme(&["k-1"], Rejection::Malformed)]
#[case::other_scheme(&["Token k-1"], Rejection::Malformed)]
#[case::joined_scheme(&["Bearerk-1"], Rejection::Malformed)]
#[case::tab(&["Bearer\tk-1"], Rejection::Malformed)]
#[case::unknown(&["Bearer k-2"], Rejection::Unknown)]
#[case::prefix(&["Bearer k-"], Rejection::Unknown)]
#[case::longer(&["Bearer k-11"], Rejection::Unknown)]
#[case::other_case(&["Bearer K-1"], Rejection::Unknown)]
#[case::list(&["Bearer k-1, Bearer k-1"], Rejection::Unknown)]
#[case::customer(&["Bearer a"], Rejection::Unknown)]
fn requests_without_one_valid_key_are_rejected(
    #[case] credentials: &[&str],
    #[case] expected: Rejection,
) {
    let (headers, dialect) = (headers(credentials), Dialect::default());
    let found = authenticate(&registry(), false, &dialect, &headers);
    assert_eq!(found, Err(expected));
    let found = authenticate(&registry(), true, &dialect, &headers);
    assert_eq!(found, Ok(None));
    let found = authenticate(&Registry::default(), false, &dialect, &headers);
    assert_eq!(found, Ok(None));
}

/// Guards against a key in bytes that are no text, which must not end the process.
#[test]
fn credentials_that_are_no_text_are_malformed() {
    let mut headers = HeaderMap::new();
    let value = HeaderValue::from_bytes(b"Bearer \xff\xfe").unwrap();
    headers.insert(http::header::AUTHORIZATION, value);
    let found = authenticate(&registry(), false, &Dialect::default(), &headers);
    assert_eq!(found, Err(Rejection::Malformed));
}

/// Guards against credentials or a customer that a caller passes on to a worker.
#[rstest]
#[case::with_account(Some("a"))]
#[case::public(None)]
fn the_headers_of_the_caller_are_replaced(#[case] customer: Option<&str>) {
    let dialect = Dialect::default();
    let mut headers = headers(&["Bearer k-1", "Bearer k-1"]);
    for name in [
        "chestnutvalve-customer",
        "Chestnutvalve-Customer",
        "chestnutvalve_customer",
        "x-other",
    ] {
        let name = HeaderName::from_bytes(name.as_bytes()).unwrap();
        headers.append(name, HeaderValue::from_static("forged"));
    }
    let account = customer.map(|name| account(name, &[]));
    replace(&mut headers, &dialect, account.as_ref());
    let sent: Vec<_> = headers.get_all(&dialect.customer).iter().collect();
    assert_eq!(sent, customer.iter().collect::<Vec<_>>());
    assert!(!headers.contains_key(&dialect.credentials));
    assert!(!headers.contains_key("chestnutvalve_customer"));
    assert_eq!(headers["x-other"], "forged");
}
