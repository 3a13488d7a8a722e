//! Prints the cost of changes to a membership table for bursts of joins, updates and expiries.
//!
//! The arguments are the numbers of targets in the table.

use std::env;
use std::fs;
use std::hint;
use std::time::Instant as Clock;

use shallotrill_membership::announcement::Announcement;
use shallotrill_membership::announcement::AnnouncementVersion;
use shallotrill_membership::config::Config;
use shallotrill_membership::owner::Owner;
use shallotrill_membership::reachability::Reachability;
use shallotrill_membership::row::Row;
use shallotrill_membership::table::Table;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::region;
use shallotrill_model::service;
use shallotrill_model::target::State;
use shallotrill_model::target::Target;
use shallotrill_model::time::Instant;
use shallotrill_model::zone;

/// Number of targets of one availability zone at the intended scale.
const BURST_TARGETS: usize = 1_222;

/// Mean number of targets of a service: 22,000 targets in 1,700 services.
const TARGETS_PER_SERVICE: usize = 13;

fn announcement(number: usize, incarnation: u64) -> Announcement {
    // A multiplicative hash spreads a burst over the sorted names.
    let hashed = (number as u32).wrapping_mul(2_654_435_761);
    let name = format!("{hashed:08x}-{number}");
    let service = format!("service-{}", number / TARGETS_PER_SERVICE);
    let target = Target {
        service: service::Name::new(&service).expect("the name is valid"),
        instance: instance::Name::new(&name).expect("the name is valid"),
        incarnation: Incarnation(incarnation),
        zone: zone::Name::new("hamilton").expect("the name is valid"),
        region: region::Name::new("waikato").expect("the name is valid"),
        address: ([127, 0, 0, 1], 8_000).into(),
        state: State::Ready,
        slots: 10,
    };
    let session = AnnouncementVersion::default();
    Announcement { target, session }
}

fn owner(name: &str) -> Owner {
    let name = instance::Name::new(name).expect("the name is valid");
    Owner { name, start: 1 }
}

fn mean_us(start: Clock, count: usize) -> f64 {
    start.elapsed().as_secs_f64() * 1e6 / count as f64
}

fn resident_bytes() -> usize {
    let status = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = status
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * 4_096
}

fn announce(
    table: &mut Table,
    numbers: impl Iterator<Item = usize>,
    incarnation: u64,
    now: Instant,
) {
    for number in numbers {
        let change = table.announce(announcement(number, incarnation), now);
        change.expect("the announcement is newer");
    }
}

fn measure(size: usize) {
    let burst = BURST_TARGETS.min(size / 2);
    let before = resident_bytes();
    let mut table = Table::new(owner("a"), Config::default());
    announce(&mut table, 0..size, 1, Instant(0));
    let bytes = (resident_bytes() - before) / size;
    let base_version = table.version();

    let start = Clock::now();
    announce(&mut table, size..size + burst, 1, Instant(0));
    let join_us = mean_us(start, burst);

    let start = Clock::now();
    announce(&mut table, 0..burst, 2, Instant(0));
    let update_us = mean_us(start, burst);

    let start = Clock::now();
    let exported = table.export(Some(&base_version), Instant(0));
    let export_us = mean_us(start, 2 * burst);

    let mut other = Table::new(owner("b"), Config::default());
    announce(&mut other, burst..size, 1, Instant(0));
    let start = Clock::now();
    hint::black_box(other.merge_difference(&exported, Instant(0)));
    let merge_us = mean_us(start, 2 * burst);

    let interest = [service::Name::new("service-1").expect("the name is valid")];
    let current = table.version();
    let start = Clock::now();
    hint::black_box(table.difference(Some(&current), &interest));
    let idle_us = mean_us(start, 1);

    let later = Instant(2_500_000);
    for number in burst..size + burst {
        let target = announcement(number, 1).target;
        let renewed = table.renew(&target.instance, target.incarnation, later);
        renewed.expect("the lease is held");
    }
    let contact = Reachability {
        others: 2,
        reachable: 2,
    };
    let start = Clock::now();
    let expired = table.expire(Instant(3_500_000), &contact).len();
    let expire_us = mean_us(start, expired.max(1));
    assert_eq!(expired, burst);
    println!(
        "{size:>6} {bytes:>6} {join_us:>6.2} {update_us:>6.2} {expire_us:>6.2} {merge_us:>6.2} {export_us:>6.2} {idle_us:>6.2}"
    );
}

fn main() {
    println!(
        "row of {} bytes without names; burst of up to {BURST_TARGETS}",
        size_of::<Row>()
    );
    println!(
        "  size bytes/row; us for each: join update expire merge export; us for an empty difference"
    );
    // Run the program once for each size: the allocator reuses memory of an earlier size, which
    // distorts the bytes of a row.
    let sizes = env::args().skip(1).filter_map(|size| size.parse().ok());
    sizes.for_each(measure);
}
