//! Text formats of durations and shares with units.

use std::fmt;

use winnow::Parser;
use winnow::ascii::dec_uint;
use winnow::ascii::digit1;
use winnow::combinator::alt;
use winnow::combinator::opt;
use winnow::combinator::preceded;
use winnow::combinator::terminated;

/// Units of durations with their lengths in microseconds, the longest first.
const DURATION_UNITS: [(&str, u64); 4] = [
    ("min", 60_000_000),
    ("s", 1_000_000),
    ("ms", 1_000),
    ("us", 1),
];

/// Number of millionths in one per cent.
const PPM_PER_PERCENT: u64 = 10_000;

/// A duration in microseconds. It is displayed in the longest unit of which it is a whole multiple.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Micros(pub u64);

/// A share in millionths. It is displayed in per cent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share(pub u32);

/// Parses a whole number with a unit, such as `250ms`. Returns `None` for any other text.
pub fn duration(text: &str) -> Option<Micros> {
    let (number, unit) = (whole_number, unit).parse(text).ok()?;
    number.checked_mul(unit).map(Micros)
}

fn whole_number(input: &mut &str) -> winnow::Result<u64> {
    dec_uint.parse_next(input)
}

fn unit(input: &mut &str) -> winnow::Result<u64> {
    let [min, s, ms, us] = DURATION_UNITS;
    alt((
        min.0.value(min.1),
        s.0.value(s.1),
        ms.0.value(ms.1),
        us.0.value(us.1),
    ))
    .parse_next(input)
}

/// Parses a share of at most 100 per cent with up to four decimals, such as `0.5%`. Returns `None` for any other text.
pub fn share(text: &str) -> Option<Share> {
    let (number, decimals) = percent.parse(text).ok()?;
    let decimals = decimals.unwrap_or_default();
    let padded = format!("{decimals:0<4}");
    if padded.len() > 4 {
        return None;
    }
    let ppm = number
        .checked_mul(PPM_PER_PERCENT)?
        .checked_add(padded.parse().ok()?)?;
    let ppm = u32::try_from(ppm).ok()?;
    (ppm <= 1_000_000).then_some(Share(ppm))
}

fn percent<'text>(input: &mut &'text str) -> winnow::Result<(u64, Option<&'text str>)> {
    terminated((whole_number, opt(preceded('.', digit1))), '%').parse_next(input)
}

impl fmt::Display for Micros {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let divides = |(_, length): &&(&str, u64)| self.0 > 0 && self.0.is_multiple_of(*length);
        let (unit, length) = DURATION_UNITS
            .iter()
            .find(divides)
            .unwrap_or(&DURATION_UNITS[2]);
        write!(f, "{}{unit}", self.0 / length)
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ppm = u64::from(self.0);
        let (number, decimals) = (ppm / PPM_PER_PERCENT, ppm % PPM_PER_PERCENT);
        if decimals == 0 {
            return write!(f, "{number}%");
        }
        let decimals = format!("{decimals:04}");
        write!(f, "{number}.{}%", decimals.trim_end_matches('0'))
    }
}
