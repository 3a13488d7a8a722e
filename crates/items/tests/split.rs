//! Shares of a route's requests that its services get.

mod fixtures;

use shallotrill_items::route::Share;
use shallotrill_items::split::WeightedSplit;

struct Case {
    name: &'static str,
    weights: &'static [u32],
    requests: usize,
    expected: &'static [usize],
}

/// Guards against a service whose share of the requests differs from its weight.
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
        name: "half a cycle",
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
        name: "a service with weight zero gets no requests",
        weights: &[0, 4],
        requests: 10,
        expected: &[0, 10],
    },
    Case {
        name: "all weights are zero",
        weights: &[0, 0],
        requests: 10,
        expected: &[0, 0],
    },
];

#[test]
fn requests_follow_the_weights() {
    for case in CASES {
        let names: Vec<String> = (0..case.weights.len()).map(|n| format!("s{n}")).collect();
        let shares: Vec<Share> = case
            .weights
            .iter()
            .zip(&names)
            .map(|(&weight, name)| Share {
                service: fixtures::service_name(name),
                weight,
            })
            .collect();
        for random in [0, 1, 7, 12_345] {
            let mut split = WeightedSplit::new(&shares, random);
            let mut counts = vec![0_usize; shares.len()];
            for _ in 0..case.requests {
                let share = split.next(&shares);
                let index = share.and_then(|s| shares.iter().position(|o| o == s));
                if let Some(index) = index {
                    counts[index] += 1;
                }
            }
            for (count, expected) in counts.iter().zip(case.expected) {
                let deviation = count.abs_diff(*expected);
                assert!(
                    deviation <= 1,
                    "{}: start {random}: requests by service {counts:?}",
                    case.name
                );
            }
        }
    }
}
