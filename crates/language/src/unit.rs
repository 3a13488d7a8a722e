//! Durations and shares with their units.

use std::fmt;

use winnow::Parser;
use winnow::ascii::dec_uint;
use winnow::ascii::digit1;
use winnow::combinator::alt;
use winnow::combinator::opt;
use winnow::combinator::preceded;
use winnow::combinator::terminated;

/// Units of durations with their length in microseconds, longest first.
const UNITS: [(&str, u64); 4] = [
    ("min", 60_000_000),
    ("s", 1_000_000),
    ("ms", 1_000),
    ("us", 1),
];

/// Millionths in one per cent.
const PPM_IN_PERCENT: u64 = 10_000;

/// A duration in microseconds; prints with the longest unit that divides it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Micros(pub u64);

/// A share in millionths; prints in per cent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share(pub u32);

/// Reads a whole number with a unit, such as `250ms`.
pub fn duration(text: &str) -> Option<Micros> {
    let (number, unit) = (whole, unit).parse(text).ok()?;
    number.checked_mul(unit).map(Micros)
}

fn whole(input: &mut &str) -> winnow::Result<u64> {
    dec_uint.parse_next(input)
}

fn unit(input: &mut &str) -> winnow::Result<u64> {
    let [min, s, ms, us] = UNITS;
    alt((
        min.0.value(min.1),
        s.0.value(s.1),
        ms.0.value(ms.1),
        us.0.value(us.1),
    ))
    .parse_next(input)
}

/// Reads a share of at most 100 per cent with up to four decimals, such as `0.5%`.
pub fn share(text: &str) -> Option<Share> {
    let (number, decimals) = percent.parse(text).ok()?;
    let decimals = decimals.unwrap_or_default();
    let padded = format!("{decimals:0<4}");
    if padded.len() > 4 {
        return None;
    }
    let ppm = number
        .checked_mul(PPM_IN_PERCENT)?
        .checked_add(padded.parse().ok()?)?;
    let ppm = u32::try_from(ppm).ok()?;
    (ppm <= 1_000_000).then_some(Share(ppm))
}

fn percent<'text>(input: &mut &'text str) -> winnow::Result<(u64, Option<&'text str>)> {
    terminated((whole, opt(preceded('.', digit1))), '%').parse_next(input)
}

impl fmt::Display for Micros {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fits = |(_, length): &&(&str, u64)| self.0 > 0 && self.0.is_multiple_of(*length);
        let (unit, length) = UNITS.iter().find(fits).unwrap_or(&UNITS[2]);
        write!(f, "{}{unit}", self.0 / length)
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ppm = u64::from(self.0);
        let (number, decimals) = (ppm / PPM_IN_PERCENT, ppm % PPM_IN_PERCENT);
        if decimals == 0 {
            return write!(f, "{number}%");
        }
        let decimals = format!("{decimals:04}");
        write!(f, "{number}.{}%", decimals.trim_end_matches('0'))
    }
}
