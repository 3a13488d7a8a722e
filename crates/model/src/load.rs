//! Load reports: exact at the target's node, received by other nodes with a delay.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::incarnation::Incarnation;
use crate::rate::Rate;

/// The load of a target at the time its node created the report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// Incarnation of the backend server that the report describes.
    pub incarnation: Incarnation,
    /// Increases with each report of one node process; a lower number means that the report arrived out of order.
    pub sequence: u64,
    /// Requests in flight at the backend server.
    pub in_flight: u32,
    /// Requests queued at its node.
    pub queued: u32,
    /// Concurrency limit that its node enforces.
    pub limit: u32,
    /// Recent latency of successful requests, in microseconds; zero when unknown.
    pub latency_us: u32,
    /// Recent failures per thousand requests.
    pub failure_permille: u16,
    /// Whether the backend server is shedding load.
    pub shedding: bool,
    /// Time between the creation and the sending of the report, in microseconds.
    pub age_us: u32,
}

/// The pace of a target whose backend server accepts a limited rate of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pace {
    /// Requests that it accepts from all nodes together.
    pub rate: Rate,
    /// Time from the creation of the report until a request that arrives then may start, in microseconds.
    pub wait_us: u32,
}

/// Highest number of steps in an [`Outlook`], which bounds its encoding to about 100 bytes.
pub const OUTLOOK_STEPS_MAX: usize = 8;

/// When a new request of each priority would start at a target, in the order of falling priority.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outlook {
    steps: Vec<Step>,
}

/// Wait of the requests of one class of priorities.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// The highest priority of the class; the next step begins below it.
    pub priority_max: u8,
    /// Time from the creation of the outlook until a request that arrives then may start, in microseconds.
    pub wait_us: u32,
}

impl Outlook {
    /// Creates an outlook from steps of falling priority. The wait of a lower priority is raised to that of a higher
    /// one. Steps beyond [`OUTLOOK_STEPS_MAX`] are left out, so that the lowest priorities state too short a wait
    /// rather than too long a one.
    pub fn new(steps: impl IntoIterator<Item = Step>) -> Self {
        let mut known: Vec<Step> = Vec::new();
        for step in steps {
            let last = known.last().copied();
            if last.is_some_and(|last| step.priority_max >= last.priority_max) {
                continue;
            }
            let longest_us = last.map_or(0, |last| last.wait_us);
            if last.is_none() || step.wait_us > longest_us {
                known.push(step);
            }
            if known.len() == OUTLOOK_STEPS_MAX {
                break;
            }
        }
        Self { steps: known }
    }

    /// The steps in the order of falling priority.
    pub fn steps(&self) -> &[Step] {
        &self.steps
    }

    /// Wait of a request of `priority`; zero above the first step.
    pub fn wait(&self, priority: u8) -> Duration {
        let steps = self.steps.iter();
        let steps = steps.take_while(|step| step.priority_max >= priority);
        Duration::from_micros(steps.last().map_or(0, |step| u64::from(step.wait_us)))
    }
}
