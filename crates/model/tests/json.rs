//! Errors of JSON texts.

use chestnutvalve_model::account::Account;
use chestnutvalve_model::json;
use chestnutvalve_model::rank::Rank;
use rstest::rstest;
use serde::Deserialize;

#[derive(Debug, Deserialize)]
#[allow(dead_code, reason = "only errors are looked at")]
struct Document {
    number: u32,
    rank: Option<Rank>,
    accounts: Vec<Account>,
}

/// Guards against an error that quotes a key which stands at the wrong place, and against one that names no position.
#[rstest]
#[case::text_in_place_of_a_list(
    r#"{"number":1,"accounts":[{"customer":"a","keys":"secret"}]}"#,
    "accounts[0].keys"
)]
#[case::number(
    r#"{"number":1,"accounts":[{"customer":"a","keys":[5ecre7]}]}"#,
    "line 1"
)]
#[case::number_in_place_of_a_text(
    r#"{"number":1,"accounts":[{"customer":"a","keys":[111777]}]}"#,
    "accounts[0].keys[0]"
)]
#[case::text_in_place_of_an_object(r#"{"number":1,"accounts":["secret"]}"#, "accounts[0]")]
#[case::customer(
    r#"{"number":1,"accounts":[{"customer":"secret /, expected secret"}]}"#,
    "accounts[0]"
)]
#[case::rank(
    r#"{"number":1,"rank":"secret, expected secret","accounts":[]}"#,
    "rank"
)]
#[case::number_as_text(r#"{"number":"secret, expected secret","accounts":[]}"#, "number")]
#[case::encoded_twice(r#""{\"accounts\":[{\"keys\":[\"secret\"]}]}""#, "struct Document")]
#[case::field_with_a_fault(r#"{"number":1,"secret":[1,}"#, "line 1")]
#[case::truncated(r#"{"number":1,"accounts":[{"customer":"a","keys":["secret"#, "line 1")]
#[case::missing(r#"{"accounts":[{"customer":"a","keys":["secret"]}]}"#, "`number`")]
#[case::field_twice(
    r#"{"number":1,"number":2,"accounts":[{"customer":"secret"}]}"#,
    "`number`"
)]
#[case::trailing(r#"{"number":1,"accounts":[]} "secret""#, "trailing")]
fn errors_of_a_confidential_text_do_not_quote_it(#[case] text: &str, #[case] named: &str) {
    let error = json::parse_confidential::<Document>(text.as_bytes()).unwrap_err();
    assert!(error.contains(named), "{error}");
    for quoted in ["secret", "5ecre7", "111777"] {
        assert!(!error.contains(quoted), "{error}");
    }
}

/// Guards against an error that does not say which values are allowed.
#[test]
fn errors_name_the_allowed_values() {
    let text = br#"{"number":-1,"accounts":[]}"#;
    let [open, confidential] = [
        json::parse::<Document>(text).unwrap_err(),
        json::parse_confidential::<Document>(text).unwrap_err(),
    ];
    insta::assert_snapshot!(format!("{open}\n{confidential}"));
}
