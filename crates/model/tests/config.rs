//! Configuration: matching, validation and the difference between documents.

use chestnutvalve_model::config::{Document, Edit, Exception, Match, Overrides, Target};
use chestnutvalve_model::id::{Customer, Service};
use chestnutvalve_model::rank::Rank;
use proptest::prelude::*;
use rstest::rstest;

fn service(name: &str) -> Service {
    Service::new(name).unwrap()
}

fn exception(id: &str, on: Match, set: Overrides) -> Exception {
    Exception {
        id: id.into(),
        reason: "test".into(),
        on,
        set,
    }
}

fn timeout(ms: u32) -> Overrides {
    Overrides {
        timeout_ms: Some(ms),
        ..Overrides::default()
    }
}

fn resolved(document: &Document, path: &str, customer: Option<&str>) -> u32 {
    let service = service("rationdesk");
    let customer = customer.map(|c| Customer::new(c).unwrap());
    let customer = customer.as_ref();
    let target = Target {
        service: &service,
        path: Some(path),
        method: Some("GET"),
        customer,
    };
    document.resolve(&target).timeout_ms
}

/// Guards against a general exception that overrides a more specific one.
#[rstest]
#[case::defaults("/other", None, 5_000)]
#[case::prefix("/rations/7", None, 200)]
#[case::longer_prefix("/rations/archive/7", None, 300)]
#[case::whole_segments_only("/rationsheet", None, 5_000)]
#[case::customer_wins("/rations/7", Some("acme"), 400)]
fn most_specific_exception_wins(
    #[case] path: &str,
    #[case] customer: Option<&str>,
    #[case] expected: u32,
) {
    let on_path = |p: &str| Match {
        path: Some(p.into()),
        ..Match::default()
    };
    let acme = Match {
        customer: Some(Customer::new("acme").unwrap()),
        ..Match::default()
    };
    let edits = [
        exception("z-short", on_path("/rations"), timeout(200)),
        exception("a-long", on_path("/rations/archive"), timeout(300)),
        exception("a-customer", acme, timeout(400)),
    ];
    let document = Document::default()
        .with_edits(&edits.map(Edit::PutException))
        .unwrap();
    assert_eq!(resolved(&document, path, customer), expected);
}

/// Guards against accepting an invalid document, and against errors that don't name the path of the field.
#[rstest]
#[case::no_reason(Exception { reason: " ".into(), ..exception("x", Match::default(), timeout(100)) }, "exceptions.x.reason")]
#[case::empty_set(
    exception("x", Match::default(), Overrides::default()),
    "exceptions.x.set"
)]
#[case::relative_path(
    exception("x", Match { path: Some("rations".into()), ..Match::default() }, timeout(100)),
    "exceptions.x.match.path"
)]
#[case::out_of_range(
    exception("x", Match::default(), timeout(1)),
    "exceptions.x.set.timeout_ms"
)]
#[case::claim_expires_before_the_timeout(
    exception(
        "x",
        Match::default(),
        Overrides { once_retention_s: Some(60), ..timeout(30_001) }
    ),
    "exceptions.x.set.timeout_ms"
)]
#[case::service_wide_setting_on_a_path(
    exception(
        "x",
        Match { path: Some("/a".into()), ..Match::default() },
        Overrides { floor_percent: Some(50), ..Overrides::default() }
    ),
    "exceptions.x.set.floor_percent"
)]
fn invalid_exception_is_refused(#[case] exception: Exception, #[case] path: &str) {
    let refused = Document::default()
        .with_edits(&[Edit::PutException(exception)])
        .unwrap_err();
    assert_eq!(refused.path, path);
}

/// Guards against applying only some edits of a list.
#[test]
fn failing_edit_leaves_the_document_unchanged() {
    let document = Document::default();
    let edits = [
        Edit::SetDefaults(timeout(100)),
        Edit::RemoveException("missing".into()),
    ];
    assert!(document.with_edits(&edits).is_err());
    assert_eq!(document, Document::default());
}

fn any_document() -> impl Strategy<Value = Document> {
    let exception =
        ("[a-e]", 10_u32..1_000).prop_map(|(id, ms)| exception(&id, Match::default(), timeout(ms)));
    let exceptions = prop::collection::vec(exception, 0..5);
    (
        10_u32..1_000,
        prop::sample::select(vec![Rank::Top, Rank::Bottom]),
        exceptions,
    )
        .prop_map(|(ms, rank, exceptions)| {
            let defaults = Overrides {
                rank: Some(rank),
                ..timeout(ms)
            };
            let edits = exceptions.into_iter().map(Edit::PutException);
            let edits: Vec<_> = std::iter::once(Edit::SetDefaults(defaults))
                .chain(edits)
                .collect();
            Document::default().with_edits(&edits).unwrap()
        })
}

proptest! {
    /// Guards against losing a difference in a conflict report or when a document is uploaded.
    #[test]
    fn difference_turns_one_document_into_the_other(from in any_document(), to in any_document()) {
        prop_assert_eq!(from.with_edits(&from.diff(&to)).unwrap(), to);
    }
}

/// Guards against edits in place that give another result than edits of a copy, or that apply a refused change in part.
#[test]
fn edits_in_place_equal_edits_of_a_copy() {
    let exception = |id: &str, timeout_ms: u32| Exception {
        id: id.to_owned(),
        reason: "test".to_owned(),
        on: Match::default(),
        set: Overrides {
            timeout_ms: Some(timeout_ms),
            ..Overrides::default()
        },
    };
    let defaults = |timeout_ms| {
        Edit::SetDefaults(Overrides {
            timeout_ms: Some(timeout_ms),
            ..Overrides::default()
        })
    };
    let put = |id, timeout_ms| Edit::PutException(exception(id, timeout_ms));
    let remove = |id: &str| Edit::RemoveException(id.to_owned());
    let mut document = Document::default();
    for edits in [
        vec![put("a", 900), put("b", 900)],
        vec![put("c", 900), put("a", 1)],
        vec![remove("b"), remove("b")],
        vec![remove("b"), put("b", 800), remove("a")],
        vec![put("d", 900), defaults(1)],
        vec![defaults(700), remove("b"), put("e", 600)],
        vec![remove("absent")],
    ] {
        let copy = document.with_edits(&edits);
        let before = document.clone();
        let edited = document.edit(&edits);
        assert_eq!(edited.is_ok(), copy.is_ok(), "{edits:?}");
        assert_eq!(document, copy.unwrap_or(before), "{edits:?}");
    }
}
