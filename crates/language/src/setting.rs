//! Keys and values of a service's configuration.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::cursor::Cursor;
use crate::error::Error;
use crate::unit;
use shallotrill_model::region;
use shallotrill_model::service::Spec;

/// One key of a service with its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Setting {
    /// Requests that one target runs at once.
    Slots(u32),
    /// Most connections to one target.
    Connections(u32),
    /// Time limit of a request, in milliseconds.
    DeadlineMs(u32),
    /// Most requests that wait at one target.
    Queue(u32),
    /// Slot time that one probe costs, in microseconds.
    ProbeCostUs(u32),
    /// Share of slot time that probes may use, in millionths.
    ProbeBudgetPpm(u32),
    /// Copies allowed for each thousand first attempts.
    RetryBudgetPermille(u32),
    /// Crashes after which a request is quarantined.
    CrashLimit(u32),
    /// Length of a quarantine, in milliseconds.
    QuarantineMs(u32),
    /// Region whose claim group keeps the records.
    ClaimRegion(region::Name),
    /// Regions that serve the service; empty means all.
    Regions(Vec<region::Name>),
}

/// A key that `create service` and `change service` take.
#[derive(Debug)]
pub struct Key {
    /// The keyword.
    pub word: &'static str,
    /// What its value looks like.
    pub value: &'static str,
    /// What it sets.
    pub help: &'static str,
    read: fn(&mut Cursor<'_>) -> Result<Setting, Error>,
}

const COUNT: &str = "a number from 0 to 4294967295";
const MILLIS: &str = "a duration of whole milliseconds such as 250ms, 2s or 10min";
const MICROS: &str = "a duration such as 6ms or 800us";
const PPM: &str = "a share such as 1% or 0.25%";
const PERMILLE: &str = "a share with at most one decimal such as 10% or 0.5%";
const REGION: &str = "the name of a region";

/// All keys, in the order of help texts.
pub const KEYS: &[Key] = &[
    Key {
        word: "slots",
        value: COUNT,
        help: "requests that one target runs at once unless it announces fewer",
        read: |cursor| count(cursor).map(Setting::Slots),
    },
    Key {
        word: "connections",
        value: COUNT,
        help: "most connections to one target",
        read: |cursor| count(cursor).map(Setting::Connections),
    },
    Key {
        word: "deadline",
        value: MILLIS,
        help: "time limit of a request when the caller states none",
        read: |cursor| millis(cursor).map(Setting::DeadlineMs),
    },
    Key {
        word: "queue",
        value: COUNT,
        help: "most requests that wait at one target",
        read: |cursor| count(cursor).map(Setting::Queue),
    },
    Key {
        word: "probe-cost",
        value: MICROS,
        help: "slot time that one probe costs",
        read: |cursor| cursor.value(MICROS, micros).map(Setting::ProbeCostUs),
    },
    Key {
        word: "probe-budget",
        value: PPM,
        help: "share of slot time that probes may use",
        read: |cursor| cursor.value(PPM, ppm).map(Setting::ProbeBudgetPpm),
    },
    Key {
        word: "retry-budget",
        value: PERMILLE,
        help: "copies allowed as a share of first attempts",
        read: |cursor| {
            cursor
                .value(PERMILLE, permille)
                .map(Setting::RetryBudgetPermille)
        },
    },
    Key {
        word: "crash-limit",
        value: COUNT,
        help: "crashes of backend servers after which a request is quarantined",
        read: |cursor| count(cursor).map(Setting::CrashLimit),
    },
    Key {
        word: "quarantine",
        value: MILLIS,
        help: "length of a quarantine",
        read: |cursor| millis(cursor).map(Setting::QuarantineMs),
    },
    Key {
        word: "claim-region",
        value: REGION,
        help: "region whose claim group keeps the records of non-idempotent requests",
        read: |cursor| region(cursor).map(Setting::ClaimRegion),
    },
    Key {
        word: "regions",
        value: "names of regions separated by spaces, or all",
        help: "regions that serve the service",
        read: regions,
    },
];

/// Reads `KEY VALUE, ...`; each key at most once.
pub(crate) fn list(cursor: &mut Cursor<'_>) -> Result<Vec<Setting>, Error> {
    let mut free: Vec<&'static Key> = KEYS.iter().collect();
    let mut settings = Vec::new();
    loop {
        let words: Vec<&str> = free.iter().map(|key| key.word).collect();
        let word = cursor.keyword(&words)?;
        let index = words.iter().position(|free| *free == word);
        let key = free.remove(index.expect("the keyword is one of the free ones"));
        settings.push((key.read)(cursor)?);
        if !cursor.comma() {
            return Ok(settings);
        }
    }
}

fn count(cursor: &mut Cursor<'_>) -> Result<u32, Error> {
    cursor.value(COUNT, |text| text.parse().ok())
}

fn millis(cursor: &mut Cursor<'_>) -> Result<u32, Error> {
    cursor.value(MILLIS, |text| {
        let micros = unit::duration(text)?.0;
        let whole = micros.is_multiple_of(1_000);
        u32::try_from(micros / 1_000).ok().filter(|_| whole)
    })
}

fn micros(text: &str) -> Option<u32> {
    u32::try_from(unit::duration(text)?.0).ok()
}

fn ppm(text: &str) -> Option<u32> {
    unit::share(text).map(|share| share.0)
}

fn permille(text: &str) -> Option<u32> {
    let ppm = unit::share(text)?.0;
    ppm.is_multiple_of(1_000).then_some(ppm / 1_000)
}

fn region(cursor: &mut Cursor<'_>) -> Result<region::Name, Error> {
    cursor.value(REGION, |text| region::Name::new(text).ok())
}

fn regions(cursor: &mut Cursor<'_>) -> Result<Setting, Error> {
    let mut names = Vec::new();
    if cursor.optional("all") {
        return Ok(Setting::Regions(names));
    }
    while names.is_empty() || cursor.more() {
        names.push(region(cursor)?);
    }
    Ok(Setting::Regions(names))
}

impl Setting {
    /// Sets the value in a configuration.
    pub fn apply(&self, spec: &mut Spec) {
        match self {
            Self::Slots(value) => spec.slots = *value,
            Self::Connections(value) => spec.connections = *value,
            Self::DeadlineMs(value) => spec.deadline_ms = *value,
            Self::Queue(value) => spec.queue = *value,
            Self::ProbeCostUs(value) => spec.probe_cost_us = *value,
            Self::ProbeBudgetPpm(value) => spec.probe_budget_ppm = *value,
            Self::RetryBudgetPermille(value) => spec.retry_budget_permille = *value,
            Self::CrashLimit(value) => spec.crash_limit = *value,
            Self::QuarantineMs(value) => spec.quarantine_ms = *value,
            Self::ClaimRegion(value) => spec.claim_region = value.clone(),
            Self::Regions(value) => spec.regions.clone_from(value),
        }
    }
}

impl fmt::Display for Setting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = |value: u32| unit::Micros(u64::from(value) * 1_000);
        match self {
            Self::Slots(value) => write!(f, "slots {value}"),
            Self::Connections(value) => write!(f, "connections {value}"),
            Self::DeadlineMs(value) => write!(f, "deadline {}", millis(*value)),
            Self::Queue(value) => write!(f, "queue {value}"),
            Self::ProbeCostUs(value) => {
                write!(f, "probe-cost {}", unit::Micros(u64::from(*value)))
            }
            Self::ProbeBudgetPpm(value) => write!(f, "probe-budget {}", unit::Share(*value)),
            Self::RetryBudgetPermille(value) => {
                write!(
                    f,
                    "retry-budget {}",
                    unit::Share(value.saturating_mul(1_000))
                )
            }
            Self::CrashLimit(value) => write!(f, "crash-limit {value}"),
            Self::QuarantineMs(value) => write!(f, "quarantine {}", millis(*value)),
            Self::ClaimRegion(value) => write!(f, "claim-region {value}"),
            Self::Regions(names) if names.is_empty() => write!(f, "regions all"),
            Self::Regions(names) => {
                write!(f, "regions")?;
                names.iter().try_for_each(|name| match name.as_str() {
                    // A quoted word is never the keyword.
                    "all" => write!(f, " \"all\""),
                    other => write!(f, " {other}"),
                })
            }
        }
    }
}
