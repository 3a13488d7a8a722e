//! Settings: the keys and values that statements set in the configuration of a service.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::cursor::Cursor;
use crate::error::Error;
use crate::unit;
use shallotrill_model::region;
use shallotrill_model::service::Spec;

/// A key of the configuration of a service, with its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Setting {
    /// Maximum number of requests that one target runs concurrently.
    Slots(u32),
    /// Maximum number of connections to one target.
    Connections(u32),
    /// Deadline of a request when the caller states none, in milliseconds.
    DeadlineMs(u32),
    /// Maximum number of requests that wait for one target.
    Queue(u32),
    /// Slot time that one probe costs, in microseconds.
    ProbeCostUs(u32),
    /// Share of slot time that probes may use, in millionths.
    ProbeBudgetPpm(u32),
    /// Additional attempts allowed for each thousand first attempts.
    RetryBudgetPermille(u32),
    /// Crashes after which a request is quarantined.
    CrashLimit(u32),
    /// Length of a quarantine, in milliseconds.
    QuarantineMs(u32),
    /// Region whose claim group stores the records of non-idempotent requests.
    ClaimRegion(region::Name),
    /// Regions that serve the service; empty means all.
    Regions(Vec<region::Name>),
}

/// A key that `create service` and `change service` accept.
#[derive(Debug)]
pub struct SettingKey {
    /// Keyword of the key.
    pub keyword: &'static str,
    /// Description of the values that the key accepts.
    pub value_format: &'static str,
    /// Help text that describes what the key sets.
    pub help: &'static str,
    parse: fn(&mut Cursor<'_>) -> Result<Setting, Error>,
}

const COUNT: &str = "a number from 0 to 4294967295";
const MILLIS: &str = "a duration of whole milliseconds such as 250ms, 2s or 10min";
const MICROS: &str = "a duration such as 6ms or 800us";
const PPM: &str = "a share such as 1% or 0.25%";
const PERMILLE: &str = "a share with at most one decimal such as 10% or 0.5%";
const REGION: &str = "the name of a region";

/// All keys, in the order of help texts.
pub const KEYS: &[SettingKey] = &[
    SettingKey {
        keyword: "slots",
        value_format: COUNT,
        help: "maximum number of concurrent requests of one target, unless it announces fewer",
        parse: |cursor| count(cursor).map(Setting::Slots),
    },
    SettingKey {
        keyword: "connections",
        value_format: COUNT,
        help: "maximum number of connections to one target",
        parse: |cursor| count(cursor).map(Setting::Connections),
    },
    SettingKey {
        keyword: "deadline",
        value_format: MILLIS,
        help: "time limit of a request when the caller states none",
        parse: |cursor| millis(cursor).map(Setting::DeadlineMs),
    },
    SettingKey {
        keyword: "queue",
        value_format: COUNT,
        help: "maximum number of requests that wait for one target",
        parse: |cursor| count(cursor).map(Setting::Queue),
    },
    SettingKey {
        keyword: "probe-cost",
        value_format: MICROS,
        help: "slot time that one probe costs",
        parse: |cursor| cursor.value(MICROS, micros).map(Setting::ProbeCostUs),
    },
    SettingKey {
        keyword: "probe-budget",
        value_format: PPM,
        help: "share of slot time that probes may use",
        parse: |cursor| cursor.value(PPM, ppm).map(Setting::ProbeBudgetPpm),
    },
    SettingKey {
        keyword: "retry-budget",
        value_format: PERMILLE,
        help: "additional attempts allowed as a share of first attempts",
        parse: |cursor| {
            cursor
                .value(PERMILLE, permille)
                .map(Setting::RetryBudgetPermille)
        },
    },
    SettingKey {
        keyword: "crash-limit",
        value_format: COUNT,
        help: "crashes of backend servers after which a request is quarantined",
        parse: |cursor| count(cursor).map(Setting::CrashLimit),
    },
    SettingKey {
        keyword: "quarantine",
        value_format: MILLIS,
        help: "length of a quarantine",
        parse: |cursor| millis(cursor).map(Setting::QuarantineMs),
    },
    SettingKey {
        keyword: "claim-region",
        value_format: REGION,
        help: "region whose claim group stores the records of non-idempotent requests",
        parse: |cursor| region(cursor).map(Setting::ClaimRegion),
    },
    SettingKey {
        keyword: "regions",
        value_format: "names of regions separated by spaces, or all",
        help: "regions that serve the service",
        parse: regions,
    },
];

/// Parses `KEY VALUE, ...`, where each key occurs at most once.
pub(crate) fn parse_list(cursor: &mut Cursor<'_>) -> Result<Vec<Setting>, Error> {
    let mut unused: Vec<&'static SettingKey> = KEYS.iter().collect();
    let mut settings = Vec::new();
    loop {
        let words: Vec<&str> = unused.iter().map(|key| key.keyword).collect();
        let keyword = cursor.keyword(&words)?;
        let index = words.iter().position(|unused| *unused == keyword);
        let key = unused.remove(index.expect("the keyword must be that of an unused key"));
        settings.push((key.parse)(cursor)?);
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
        let is_exact = micros.is_multiple_of(1_000);
        u32::try_from(micros / 1_000).ok().filter(|_| is_exact)
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
    while names.is_empty() || cursor.has_value() {
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
                    // The quotes distinguish a region named `all` from the keyword.
                    "all" => write!(f, " \"all\""),
                    other => write!(f, " {other}"),
                })
            }
        }
    }
}
