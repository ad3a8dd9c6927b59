//! Table of error kinds in the code and in the documentation.

use std::fmt::Write as _;

use chestnutvalve_model::error::{Executed, Kind};

fn table() -> String {
    let mut table =
        String::from("| code | status | executed | retry |\n| --- | --- | --- | --- |\n");
    for kind in Kind::ALL {
        let answer = kind.answer();
        let retry = if answer.retry { "yes" } else { "no" };
        let (code, status) = (answer.code, answer.status);
        writeln!(
            table,
            "| `{code}` | {status} | {} | {retry} |",
            answer.executed.name()
        )
        .unwrap();
    }
    table
}

/// Guards against documentation that states another answer than the code gives.
#[test]
fn documentation_contains_the_same_table() {
    let page = include_str!("../../../docs/errors.md");
    assert!(
        page.contains(&table()),
        "docs/errors.md must contain:\n{}",
        table()
    );
}

/// Guards against inviting callers to resend a request that may have been executed. Changes are exempt, because their
/// id makes a resend harmless.
#[test]
fn retry_is_offered_only_for_requests_that_were_not_executed() {
    let offered = Kind::ALL
        .iter()
        .filter(|k| k.answer().retry && **k != Kind::ChangeUnconfirmed);
    for kind in offered {
        assert_eq!(kind.answer().executed, Executed::No, "{kind:?}");
    }
}
