//! Error messages for invalid settings.

use std::path::Path;

use chestnutvalve_telemetry::settings;
use rstest::rstest;

#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct Limits {
    connections: u8,
}

#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct Example {
    limits: Limits,
}

/// Guards against messages that don't name the invalid field and the values allowed.
#[rstest]
#[case::wrong_type("wrong_type", r#"{"limits": {"connections": "many"}}"#)]
#[case::out_of_range("out_of_range", r#"{"limits": {"connections": 300}}"#)]
#[case::unknown_field("unknown_field", r#"{"limits": {"connections": 3, "conections": 4}}"#)]
#[case::missing_field("missing_field", r#"{"limits": {}}"#)]
#[case::syntax("syntax", r#"{"limits": }"#)]
fn error_names_the_field(#[case] name: &str, #[case] text: &str) {
    let error = settings::parse::<Example>(text, Path::new("entry.jsonc")).unwrap_err();
    insta::assert_snapshot!(name, error.to_string());
}

/// Guards against a parser that rejects the comments and trailing commas that operators write.
#[test]
fn comments_are_allowed() {
    let text = "// limits of this instance\n{\"limits\": {\"connections\": 3 /* small */,},}";
    let parsed: Example = settings::parse(text, Path::new("entry.jsonc")).unwrap();
    assert_eq!(parsed.limits.connections, 3);
}
