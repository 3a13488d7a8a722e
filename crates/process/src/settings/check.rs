//! Validation of single values. Invalid values are collected, so that one run reports all of them.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::ops::Range;

use toml::Spanned;

use super::error::InvalidValue;
use super::error::Kind;
use super::node::Policy;
use shallotrill_model::Invalid;

/// Default and inclusive range of a number.
#[derive(Clone, Copy, Debug)]
pub(super) struct NumberRange {
    default: u64,
    lowest: u64,
    highest: u64,
}

impl NumberRange {
    pub(super) const fn new(default: u64, lowest: u64, highest: u64) -> Self {
        Self {
            default,
            lowest,
            highest,
        }
    }
}

pub(super) struct Check<'text> {
    text: &'text str,
    listen: Vec<(&'static str, SocketAddr)>,
    invalid_values: Vec<InvalidValue>,
}

impl<'text> Check<'text> {
    pub(super) const fn new(text: &'text str) -> Self {
        Self {
            text,
            listen: Vec::new(),
            invalid_values: Vec::new(),
        }
    }

    pub(super) const fn failed(&self) -> bool {
        !self.invalid_values.is_empty()
    }

    /// The invalid values in the order of the file.
    pub(super) fn finish(mut self) -> Vec<InvalidValue> {
        self.invalid_values
            .sort_by_key(|invalid| (invalid.line, invalid.column));
        self.invalid_values
    }

    pub(super) fn report(&mut self, key: &str, span: Range<usize>, kind: Kind) {
        self.invalid_values
            .push(invalid_value(self.text, key, span.start, kind));
    }

    pub(super) fn report_role_error(&mut self, both: bool) {
        self.report("node", 0..0, Kind::Role { both });
    }

    pub(super) fn name<N>(
        &mut self,
        key: &str,
        value: &Spanned<String>,
        parse: fn(&str) -> Result<N, Invalid>,
    ) -> Option<N> {
        match parse(value.get_ref()) {
            Ok(name) => Some(name),
            Err(invalid) => {
                self.report(key, value.span(), Kind::Name(invalid));
                None
            }
        }
    }

    pub(super) fn policy(&mut self, key: &str, value: Option<&Spanned<String>>) -> Option<Policy> {
        let Some(value) = value else {
            return Some(Policy::Scored);
        };
        let policy = Policy::parse(value.get_ref());
        if policy.is_none() {
            let found = value.get_ref().clone();
            self.report(key, value.span(), Kind::Policy { found });
        }
        policy
    }

    pub(super) fn level(&mut self, key: &str, value: &Spanned<String>) -> Option<log::LevelFilter> {
        let level = value.get_ref().parse().ok();
        if level.is_none() {
            let found = value.get_ref().clone();
            self.report(key, value.span(), Kind::Level { found });
        }
        level
    }

    /// Validates an address that another process listens on.
    pub(super) fn connect(&mut self, key: &str, value: &Spanned<String>) -> Option<SocketAddr> {
        let address = self.address(key, value)?;
        if address.port() == 0 || address.ip().is_unspecified() {
            self.report(key, value.span(), Kind::NotReachable { found: address });
            return None;
        }
        Some(address)
    }

    /// Validates an address that this process listens on. With port 0 the operating system chooses the port.
    pub(super) fn listen(
        &mut self,
        key: &'static str,
        value: &Spanned<String>,
    ) -> Option<SocketAddr> {
        let address = self.address(key, value)?;
        let used = self.listen.iter().find(|(_, used)| overlap(*used, address));
        if let Some((other, _)) = used {
            let kind = Kind::PortInUse {
                port: address.port(),
                other,
            };
            self.report(key, value.span(), kind);
        }
        self.listen.push((key, address));
        Some(address)
    }

    fn address(&mut self, key: &str, value: &Spanned<String>) -> Option<SocketAddr> {
        let address = value.get_ref().parse().ok();
        if address.is_none() {
            let found = value.get_ref().clone();
            self.report(key, value.span(), Kind::Address { found });
        }
        address
    }

    pub(super) fn number(
        &mut self,
        key: &str,
        value: Option<&Spanned<u64>>,
        range: NumberRange,
    ) -> u64 {
        let Some(value) = value else {
            return range.default;
        };
        let found = *value.get_ref();
        if !(range.lowest..=range.highest).contains(&found) {
            let kind = Kind::Range {
                found,
                lowest: range.lowest,
                highest: range.highest,
            };
            self.report(key, value.span(), kind);
        }
        found
    }

    pub(super) fn not_empty<T>(&mut self, key: &str, list: &Spanned<Vec<T>>) {
        if list.get_ref().is_empty() {
            self.report(key, list.span(), Kind::Empty);
        }
    }
}

/// Whether two listeners conflict: same port, and the same or an unspecified IP address.
fn overlap(first: SocketAddr, other: SocketAddr) -> bool {
    let any = |ip: IpAddr| ip.is_unspecified();
    let same_ip = first.ip() == other.ip() || any(first.ip()) || any(other.ip());
    first.port() != 0 && first.port() == other.port() && same_ip
}

/// Converts a parser error to an [`InvalidValue`].
pub(super) fn syntax(text: &str, error: &toml::de::Error) -> InvalidValue {
    let offset = error.span().map_or(0, |span| span.start);
    let key = key_at_offset(text, offset);
    let message = error.message().to_owned();
    invalid_value(text, &key, offset, Kind::Syntax { message })
}

fn invalid_value(text: &str, key: &str, offset: usize, kind: Kind) -> InvalidValue {
    let (line, column) = position(text, offset);
    InvalidValue {
        line,
        column,
        key: key.to_owned(),
        kind,
    }
}

/// Converts a byte offset to line and column, both from 1; the column counts characters.
fn position(text: &str, offset: usize) -> (usize, usize) {
    let before = text.get(..offset).unwrap_or(text);
    let start = before.rfind('\n').map_or(0, |index| index + 1);
    let line = before.matches('\n').count() + 1;
    (line, before[start..].chars().count() + 1)
}

/// Returns the key on the line of a byte offset, prefixed with its table.
fn key_at_offset(text: &str, offset: usize) -> String {
    let before = text.get(..offset).unwrap_or(text);
    let start = before.rfind('\n').map_or(0, |index| index + 1);
    let line = text[start..].lines().next().unwrap_or_default();
    let table = before[..start].lines().rev().find_map(|line| {
        let line = line.trim();
        line.strip_prefix('[')?.strip_suffix(']')
    });
    match (table, line.split_once('=')) {
        (Some(table), Some((key, _))) => format!("{table}.{}", key.trim()),
        (None, Some((key, _))) => key.trim().to_owned(),
        (_, None) => line.trim().trim_matches(['[', ']']).to_owned(),
    }
}
