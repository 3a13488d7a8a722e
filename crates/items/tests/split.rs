//! Shares of the requests of a route.

mod scene;

use shallotrill_items::route::Share;
use shallotrill_items::split::Split;

struct Case {
    name: &'static str,
    weights: &'static [u32],
    requests: usize,
    expected: &'static [usize],
}

/// Guards against a service that gets another share of the requests than its weight says.
const CASES: &[Case] = &[
    Case {
        name: "one service",
        weights: &[1],
        requests: 7,
        expected: &[7],
    },
    Case {
        name: "nine to one",
        weights: &[90, 10],
        requests: 100,
        expected: &[90, 10],
    },
    Case {
        name: "a part of a cycle",
        weights: &[90, 10],
        requests: 50,
        expected: &[45, 5],
    },
    Case {
        name: "three services",
        weights: &[5, 3, 2],
        requests: 1_000,
        expected: &[500, 300, 200],
    },
    Case {
        name: "a service without weight gets nothing",
        weights: &[0, 4],
        requests: 10,
        expected: &[0, 10],
    },
    Case {
        name: "no weight at all",
        weights: &[0, 0],
        requests: 10,
        expected: &[0, 0],
    },
];

#[test]
fn shares_are_kept() {
    for case in CASES {
        let names: Vec<String> = (0..case.weights.len()).map(|n| format!("s{n}")).collect();
        let shares: Vec<Share> = case
            .weights
            .iter()
            .zip(&names)
            .map(|(&weight, name)| Share {
                service: scene::service_name(name),
                weight,
            })
            .collect();
        for random in [0, 1, 7, 12_345] {
            let mut split = Split::new(&shares, random);
            let mut counts = vec![0_usize; shares.len()];
            for _ in 0..case.requests {
                let share = split.next(&shares);
                let at = share.and_then(|s| shares.iter().position(|o| o == s));
                if let Some(at) = at {
                    counts[at] += 1;
                }
            }
            for (count, expected) in counts.iter().zip(case.expected) {
                let off = count.abs_diff(*expected);
                assert!(off <= 1, "{}, {random}: {counts:?}", case.name);
            }
        }
    }
}
