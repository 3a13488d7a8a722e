//! Prints the time of a choice and of a load report for routing tables of growing size.
//!
//! `cargo run --release -p shallotrill-routing --example cost`

use std::hint;
use std::net::SocketAddr;
use std::time;

use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::load::Report;
use shallotrill_model::region;
use shallotrill_model::service;
use shallotrill_model::target::State;
use shallotrill_model::target::Target;
use shallotrill_model::time::Instant;
use shallotrill_model::zone;
use shallotrill_routing::Table;
use shallotrill_routing::choice::Query;
use shallotrill_routing::config::Config;

const CALLS: u64 = 1_000_000;

fn target(number: usize, services: usize) -> Target {
    Target {
        service: service::Name::new(&format!("s{:04}", number % services)).unwrap(),
        instance: instance::Name::new(&format!("i{number:05}")).unwrap(),
        incarnation: Incarnation(1),
        zone: zone::Name::new(&format!("z{}", number / services % 3)).unwrap(),
        region: region::Name::new("r0").unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        state: State::Ready,
        slots: 6,
    }
}

/// Mean time of one call of `body`, in nanoseconds.
fn mean_ns(mut body: impl FnMut(u64)) -> u64 {
    let start = time::Instant::now();
    for call in 0..CALLS {
        body(call);
    }
    start.elapsed().as_nanos() as u64 / CALLS
}

fn main() {
    println!("services targets choose ns observe ns");
    for (services, count) in [(1, 12), (100, 1_200), (1_700, 22_000), (1, 22_000)] {
        let targets: Vec<_> = (0..count).map(|n| target(n, services)).collect();
        let region = region::Name::new("r0").unwrap();
        let mut table = Table::new(Config::new(region, zone::Name::new("z0").unwrap()));
        table.apply(&targets, Instant(0));
        let mut state = 1_u64;
        let mut random = || {
            state = state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            state ^ state.rotate_left(29)
        };
        let observe_ns = mean_ns(|call| {
            let report = Report {
                incarnation: Incarnation(1),
                sequence: call + 1,
                in_flight: (call % 6) as u32,
                limit: 6,
                latency_us: 6_000,
                ..Report::default()
            };
            let target = &targets[call as usize * 7_919 % count];
            table.apply_report(&target.instance, report, Instant(call));
        });
        let choose_ns = mean_ns(|call| {
            let query = Query {
                service: &targets[call as usize * 7_919 % count].service,
                exclude: &[],
                priority: 0,
            };
            let choice = table.choose(&query, Instant(CALLS + call), &mut random);
            assert!(hint::black_box(choice).is_ok());
        });
        println!("{services:8} {count:7} {choose_ns:9} {observe_ns:10}");
    }
}
