//! Tests of the shares of a fleet's retry limit.

use std::time::Duration;

use shallotrill_model::time::Instant;
use shallotrill_retry::budget::Budget;
use shallotrill_retry::budget::Config;
use shallotrill_retry::budget::Limit;

const WINDOW: Duration = Duration::from_secs(10);

/// Interval between two steps of a test.
const STEP: Duration = Duration::from_millis(100);

struct FleetCase {
    name: &'static str,
    members: usize,
    /// Extra attempts allowed in each window beyond the share of first attempts.
    slack: u32,
    /// First attempts of each member between two steps, in thousandths.
    first_permille: u32,
    /// Steps without a failure before all members retry as much as they can.
    calm_steps: u32,
    /// Lowest number of extra attempts that the fleet must be able to make in a window.
    spent_min: u32,
}

/// Guards against a fleet whose members together exceed the limit in some window because each of them
/// takes too large a part or saves up too much, and against a slack that nobody may use. The sizes and
/// slacks are those of the users' deployments.
const FLEET_CASES: &[FleetCase] = &[
    FleetCase {
        name: "a small fleet after a calm time",
        members: 12,
        slack: 60,
        first_permille: 100,
        calm_steps: 300,
        spent_min: 40,
    },
    FleetCase {
        name: "84 routers without traffic before",
        members: 84,
        slack: 208,
        first_permille: 0,
        calm_steps: 300,
        spent_min: 150,
    },
    FleetCase {
        name: "84 routers with traffic",
        members: 84,
        slack: 208,
        first_permille: 300,
        calm_steps: 300,
        spent_min: 350,
    },
    FleetCase {
        name: "295 routers after a long calm time",
        members: 295,
        slack: 630,
        first_permille: 300,
        calm_steps: 3_000,
        spent_min: 1_000,
    },
];

#[test]
fn a_fleet_stays_within_its_limit() {
    for case in FLEET_CASES {
        let limit = Limit {
            permille: 100,
            slack: case.slack,
            window: WINDOW,
        };
        let mut now = Instant(0);
        let config = Config::share(limit, case.members);
        let mut budgets = vec![Budget::new(config, now); case.members];
        let window_steps = (WINDOW.as_millis() / STEP.as_millis()) as usize;
        let mut spent = Vec::new();
        let mut first_units = 0;
        for step in 0..case.calm_steps + 3 * window_steps as u32 {
            now = now + STEP;
            first_units += case.first_permille;
            let first = first_units / 1_000;
            first_units %= 1_000;
            let mut spent_now = 0;
            for budget in &mut budgets {
                (0..first).for_each(|_| budget.earn());
                while step >= case.calm_steps && budget.spend(now).is_ok() {
                    spent_now += 1;
                }
            }
            spent.push(spent_now);
        }
        let first = case.members as u32 * case.first_permille * window_steps as u32 / 1_000;
        let allowed = first / 10 + case.slack;
        let windows = spent.windows(window_steps);
        let most: u32 = windows.map(|w| w.iter().sum()).max().expect("a window");
        assert!(most <= allowed, "{}: {most} of {allowed}", case.name);
        assert!(most >= case.spent_min, "{}: {most}", case.name);
    }
}
