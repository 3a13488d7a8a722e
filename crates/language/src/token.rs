//! Words, quoted strings and commas of a statement.

use std::fmt;

use winnow::LocatingSlice;
use winnow::Parser;
use winnow::combinator::alt;
use winnow::combinator::delimited;
use winnow::combinator::preceded;
use winnow::combinator::repeat;
use winnow::error::ContextError;
use winnow::stream::Location;
use winnow::token::any;
use winnow::token::none_of;
use winnow::token::take_while;

use crate::error::Error;

/// One part of a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Token {
    /// Column of its first character, from 1.
    pub(crate) column: usize,
    pub(crate) kind: Kind,
    /// The text, for a quoted string without its quotes.
    pub(crate) text: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Word,
    Quoted,
    Comma,
}

type Input<'text> = LocatingSlice<&'text str>;

/// Splits a text. The second value is the column after its end.
pub(crate) fn split(text: &str) -> Result<(Vec<Token>, usize), Error> {
    let column = |offset: usize| text[..offset].chars().count() + 1;
    let mut input = LocatingSlice::new(text);
    let mut tokens = Vec::new();
    loop {
        blank(&mut input);
        let offset = input.current_token_start();
        if offset == text.len() {
            return Ok((tokens, column(offset)));
        }
        let (kind, token) = part(&mut input).or(Err(Error {
            column: column(offset),
            found: Some(text[offset..].to_owned()),
            expected: vec!["a string that ends with a quote".to_owned()],
            meant: None,
        }))?;
        tokens.push(Token {
            column: column(offset),
            kind,
            text: token,
        });
    }
}

fn blank(input: &mut Input<'_>) {
    let spaces: Result<&str, ContextError> = take_while(0.., char::is_whitespace).parse_next(input);
    debug_assert!(spaces.is_ok(), "taking no character is allowed");
}

fn part(input: &mut Input<'_>) -> winnow::Result<(Kind, String)> {
    alt((
        ','.map(|_| (Kind::Comma, ",".to_owned())),
        quoted.map(|text| (Kind::Quoted, text)),
        take_while(1.., in_word).map(|text: &str| (Kind::Word, text.to_owned())),
    ))
    .parse_next(input)
}

fn quoted(input: &mut Input<'_>) -> winnow::Result<String> {
    let character = alt((preceded('\\', any), none_of(['"', '\\'])));
    delimited('"', repeat(0.., character), '"').parse_next(input)
}

fn in_word(character: char) -> bool {
    !character.is_whitespace() && character != ',' && character != '"'
}

/// Prints a text as a word where that reads back the same, else as a quoted string.
pub(crate) struct Quote<'text>(pub(crate) &'text str);

impl fmt::Display for Quote<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.0.is_empty() && self.0.chars().all(in_word) {
            return f.write_str(self.0);
        }
        f.write_str("\"")?;
        for character in self.0.chars() {
            if character == '"' || character == '\\' {
                f.write_str("\\")?;
            }
            write!(f, "{character}")?;
        }
        f.write_str("\"")
    }
}
