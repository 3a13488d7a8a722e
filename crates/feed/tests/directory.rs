//! Tests of the addresses of registry processes that a process keeps during a cut.

use std::net::SocketAddr;
use std::time::Duration;

use shallotrill_feed::directory::Directory;
use shallotrill_model::time::Instant;

/// Interval of the calls to each registry process.
const CALL_INTERVAL: Duration = Duration::from_secs(1);

/// A cut shorter than the time after which a silent process may be removed, one slightly longer, and one of an hour.
const CUTS: [Duration; 3] = [
    Duration::from_secs(10),
    Duration::from_secs(32),
    Duration::from_hours(1),
];

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

fn addresses(numbers: &[u16]) -> Vec<SocketAddr> {
    numbers.iter().copied().map(address).collect()
}

struct Case {
    name: &'static str,
    /// Seeds of the settings in force.
    seeds: &'static [u16],
    /// Processes that reply during the cut; each names these.
    reachable: &'static [u16],
    /// Further processes that they name.
    named: &'static [u16],
    /// The ones of processes 1 to 5 that are known after the cut, for each of [`CUTS`].
    known: [&'static [u16]; 3],
}

const ALL: &[u16] = &[1, 2, 3, 4, 5];

/// Guards against a process that never finds the registry processes again after a cut, because it has removed all
/// addresses that would answer.
const CASES: &[Case] = &[
    Case {
        name: "no process replies, and no seed is left of those at the start",
        seeds: &[],
        reachable: &[],
        named: &[],
        known: [ALL, ALL, ALL],
    },
    Case {
        name: "the smaller side of a cut",
        seeds: &[],
        reachable: &[1, 2],
        named: &[],
        known: [ALL, ALL, ALL],
    },
    Case {
        name: "the larger side of a cut, whose processes name the others",
        seeds: &[],
        reachable: &[1, 2, 3],
        named: &[4, 5],
        known: [ALL, ALL, ALL],
    },
    Case {
        name: "two processes were replaced",
        seeds: &[],
        reachable: &[1, 2, 3],
        named: &[],
        known: [ALL, &[1, 2, 3], &[1, 2, 3]],
    },
    Case {
        name: "a replaced process is a seed of the settings in force",
        seeds: &[5],
        reachable: &[1, 2, 3],
        named: &[],
        known: [ALL, &[1, 2, 3, 5], &[1, 2, 3, 5]],
    },
];

#[test]
fn silence_alone_removes_no_address() {
    for case in CASES {
        for (cut, known) in CUTS.iter().zip(case.known) {
            let mut directory = Directory::default();
            let mut now = Instant(0);
            // The seeds at the start were other processes, and the settings were changed since.
            directory.set_seeds(&addresses(&[9]));
            for &number in ALL {
                directory.add(address(number), now);
                directory.record_contact(address(number), &addresses(ALL), now);
            }
            directory.set_seeds(&addresses(case.seeds));
            let named = addresses(&[case.reachable, case.named].concat());
            let end = now + *cut;
            while now < end {
                now = now + CALL_INTERVAL;
                for &number in ALL {
                    if case.reachable.contains(&number) {
                        directory.record_contact(address(number), &named, now);
                    } else {
                        directory.record_failure(address(number));
                        directory.remove_replaced(address(number), now);
                    }
                }
            }
            let kept: Vec<u16> = ALL
                .iter()
                .copied()
                .filter(|&number| directory.contains(address(number)))
                .collect();
            assert_eq!(kept, known, "{}, cut of {cut:?}", case.name);
        }
    }
}
