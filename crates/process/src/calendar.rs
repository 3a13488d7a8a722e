//! Formatting of calendar time.

use shallotrill_model::time::Wall;

const DAY_MS: u64 = 86_400_000;

/// Formats `wall` as RFC 3339 in UTC with milliseconds.
pub fn format(wall: Wall) -> String {
    let (year, month, day) = date(wall.0 / DAY_MS);
    let ms = wall.0 % DAY_MS;
    let (hour, minute) = (ms / 3_600_000, ms / 60_000 % 60);
    let (second, milli) = (ms / 1_000 % 60, ms % 1_000);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{milli:03}Z")
}

/// Converts a number of days since 1970-01-01 to year, month and day in the Gregorian calendar.
///
/// Years are counted from March, so the leap day is the last day of a year and
/// month lengths follow one formula.
fn date(days: u64) -> (u64, u64, u64) {
    // 719,468 days lie between 0000-03-01 and 1970-01-01; 146,097 days are 400 years.
    let shifted = days + 719_468;
    let era = shifted / 146_097;
    let day_of_era = shifted % 146_097;
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 {
        month_from_march + 3
    } else {
        month_from_march - 9
    };
    let year = year_of_era + era * 400 + u64::from(month <= 2);
    (year, month, day)
}
