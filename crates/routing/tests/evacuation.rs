//! Targets of evacuated zones.

use std::net::SocketAddr;
use std::time::Duration;

use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::region;
use shallotrill_model::service;
use shallotrill_model::target::State;
use shallotrill_model::target::Target;
use shallotrill_model::time::Instant;
use shallotrill_model::zone;
use shallotrill_routing::Table;
use shallotrill_routing::choice::Query;
use shallotrill_routing::choice::Refusal;
use shallotrill_routing::config::Config;

const CHOICES: u64 = 400;

fn service() -> service::Name {
    service::Name::new("archive").expect("a valid name")
}

fn zone(name: &str) -> zone::Name {
    zone::Name::new(name).expect("a valid name")
}

/// A target whose zone is the first letter of its name.
fn target(name: &str, state: State) -> Target {
    Target {
        service: service(),
        instance: instance::Name::new(name).expect("a valid name"),
        incarnation: Incarnation(1),
        zone: zone(&name[..1]),
        region: region::Name::new("r").expect("a valid name"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        state,
        slots: 6,
    }
}

fn table() -> Table {
    let config = Config::new(region::Name::new("r").expect("a valid name"), zone("a"));
    let config = config.warm_up_period(Duration::from_secs(3));
    let mut table = Table::new(config.cross_zone_share(1.0).last_resort(true));
    let ready = ["a1", "a2", "b1", "b2"].map(|name| target(name, State::Ready));
    table.apply(&ready, Instant(0));
    table
}

/// Share of the choices that fall on targets of zone `a`, or why there is none.
fn share_of_a(table: &mut Table, now: Instant) -> Result<f64, Refusal> {
    let mut chosen = 0;
    for seed in 0..CHOICES {
        let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mut random = || {
            state = state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            state ^ state.rotate_left(29)
        };
        let query = Query {
            service: &service(),
            exclude: &[],
            priority: 1,
        };
        let choice = table.choose(&query, now, &mut random)?;
        chosen += u32::from(choice.instance.as_str().starts_with('a'));
    }
    Ok(f64::from(chosen) / CHOICES as f64)
}

struct Case {
    name: &'static str,
    /// What happens after zone `a` is evacuated.
    then: fn(&mut Table),
    expected: fn() -> Result<f64, Refusal>,
}

/// Guards against a target that is chosen although its zone is evacuated, because it was announced again, is the only
/// one left or serves callers of the same zone.
const CASES: &[Case] = &[
    Case {
        name: "nothing",
        then: |_| {},
        expected: || Ok(0.0),
    },
    Case {
        name: "its targets are announced again and another one starts",
        then: |table| {
            let targets = ["a1", "a3"].map(|name| target(name, State::Ready));
            table.apply(&targets, Instant(1));
        },
        expected: || Ok(0.0),
    },
    Case {
        name: "the other zone is evacuated too",
        then: |table| table.set_evacuated_zones(&[zone("a"), zone("b")], Instant(1)),
        expected: || {
            Err(Refusal::AllEvacuated {
                evacuated: 4,
                draining: 0,
            })
        },
    },
    Case {
        name: "the targets of the other zone drain",
        then: |table| {
            let targets = ["b1", "b2"].map(|name| target(name, State::Draining));
            table.apply(&targets, Instant(1));
        },
        expected: || {
            Err(Refusal::AllEvacuated {
                evacuated: 2,
                draining: 2,
            })
        },
    },
];

#[test]
fn targets_of_an_evacuated_zone_are_not_chosen() {
    for case in CASES {
        let mut table = table();
        assert!(share_of_a(&mut table, Instant(0)).expect("a target") > 0.4);
        table.set_evacuated_zones(&[zone("a")], Instant(1));
        (case.then)(&mut table);
        let share = share_of_a(&mut table, Instant(2));
        assert_eq!(share, (case.expected)(), "{}", case.name);
    }
}

/// Guards against the targets of a zone being filled at once when its evacuation ends, and against a zone that stays
/// without requests.
#[test]
fn the_share_of_a_zone_grows_after_its_evacuation() {
    let mut table = table();
    table.set_evacuated_zones(&[zone("a")], Instant(1));
    let end = Instant(10_000_000);
    table.set_evacuated_zones(&[], end);
    let shares = [0, 1_500, 4_000].map(|after_ms| {
        let now = end + Duration::from_millis(after_ms);
        share_of_a(&mut table, now).expect("a target")
    });
    assert!(shares[0] < 0.1, "{shares:?}");
    assert!(shares.is_sorted(), "{shares:?}");
    assert!(shares[2] > 0.4, "{shares:?}");
}
