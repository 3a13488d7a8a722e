//! Properties of the parser, checked with generated statements and texts.

use std::sync::Arc;

use proptest::collection::vec;
use proptest::option;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::proptest;

use shallotrill_language::Settlement;
use shallotrill_language::Show;
use shallotrill_language::Statement;
use shallotrill_language::key::IdempotencyKey;
use shallotrill_language::parse;
use shallotrill_language::setting::Setting;
use shallotrill_model::class::Class;
use shallotrill_model::command;
use shallotrill_model::digest::Digest;
use shallotrill_model::instance;
use shallotrill_model::partner;
use shallotrill_model::region;
use shallotrill_model::request;
use shallotrill_model::revision::Revision;
use shallotrill_model::service;

/// Generates names. Names that look like keywords or numbers are frequent.
fn name() -> impl Strategy<Value = String> {
    prop_oneof![
        "[a-z0-9-]{1,63}",
        "all|of|as|at|set|with|join|priority|7|1s|ms"
    ]
}

fn service() -> impl Strategy<Value = service::Name> {
    name().prop_map(|text| service::Name::new(&text).expect("the name must be valid"))
}

fn region() -> impl Strategy<Value = region::Name> {
    name().prop_map(|text| region::Name::new(&text).expect("the name must be valid"))
}

fn setting() -> impl Strategy<Value = Setting> {
    prop_oneof![
        any::<u32>().prop_map(Setting::Slots),
        any::<u32>().prop_map(Setting::DeadlineMs),
        any::<u32>().prop_map(Setting::ProbeCostUs),
        (0..=1_000_000_u32).prop_map(Setting::ProbeBudgetPpm),
        (0..=1_000_u32).prop_map(Setting::RetryBudgetPermille),
        region().prop_map(Setting::ClaimRegion),
        vec(region(), 0..4).prop_map(Setting::Regions),
    ]
}

fn classify() -> impl Strategy<Value = Statement> {
    let path = "/[ -~ø\\n]{0,12}";
    (
        service(),
        any::<u64>(),
        "[A-Z]{1,7}|\\*",
        path,
        any::<u8>(),
        0..3_u8,
    )
        .prop_map(
            |(service, base, method, path, priority, kind)| Statement::Classify {
                service,
                base: Revision(base),
                method: Arc::from(method),
                path: Arc::from(path),
                class: if kind == 0 {
                    Class::NonIdempotent
                } else {
                    Class::Idempotent
                },
                priority,
                join: kind == 2,
            },
        )
}

fn settle() -> impl Strategy<Value = Statement> {
    (name(), service(), any::<u128>(), any::<bool>()).prop_map(|(partner, service, key, done)| {
        Statement::Settle {
            partner: partner::Name::new(&partner).expect("the name must be valid"),
            service,
            key: IdempotencyKey(key),
            settlement: if done {
                Settlement::Done
            } else {
                Settlement::NotRun
            },
        }
    })
}

fn statement() -> impl Strategy<Value = Statement> {
    let instance =
        name().prop_map(|text| instance::Name::new(&text).expect("the name must be valid"));
    prop_oneof![
        option::of(service()).prop_map(|of| Statement::Show(Show::Targets(of))),
        option::of(any::<u32>()).prop_map(|last| Statement::Show(Show::History(last))),
        any::<u128>().prop_map(|id| Statement::Show(Show::Command(command::Id(id)))),
        any::<u128>().prop_map(|id| Statement::Explain(request::Id(id))),
        (service(), setting()).prop_map(|(service, setting)| Statement::Create {
            service,
            settings: vec![setting],
        }),
        (service(), any::<u64>(), setting()).prop_map(|(service, base, setting)| {
            Statement::Change {
                service,
                base: Revision(base),
                settings: vec![setting],
            }
        }),
        classify(),
        settle(),
        instance.prop_map(Statement::Drain),
        (any::<u64>(), any::<u64>()).prop_map(|(old, new)| Statement::Replace { old, new }),
        (service(), any::<[u8; 32]>()).prop_map(|(service, digest)| Statement::Release {
            service,
            digest: Digest(digest),
        }),
    ]
}

proptest! {
    /// Guards against a canonical form that parses to another statement: a resent command would then differ from
    /// the original one.
    #[test]
    fn canonical_form_parses_to_the_same_statement(statement in statement()) {
        let text = statement.to_string();
        assert_eq!(parse(&text).as_ref(), Ok(&statement), "{text}");
    }

    /// Guards against a text that makes the control process panic.
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in vec(any::<u8>(), 0..200)) {
        let _ = parse(&String::from_utf8_lossy(&bytes));
    }

    /// Guards against a panic after the first keywords, which random bytes rarely contain.
    #[test]
    fn arbitrary_arguments_do_not_panic(
        keywords in "(show|in|create service|change service a at 1 set|classify a at 1|settle)",
        arguments in "[a-z0-9ø\"\\\\, %.*/-]{0,60}",
    ) {
        let _ = parse(&format!("{keywords} {arguments}"));
    }
}
