//! Tokenizer: splits a statement into words, quoted strings and commas.

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

/// A token of a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Token {
    /// Column of its first character, starting at 1.
    pub(crate) column: usize,
    pub(crate) kind: Kind,
    /// Text of the token. That of a quoted string is without quotes and escapes.
    pub(crate) text: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Word,
    Quoted,
    Comma,
}

type Input<'text> = LocatingSlice<&'text str>;

/// Splits a text into tokens. The second value is the column after the end of the text.
pub(crate) fn split(text: &str) -> Result<(Vec<Token>, usize), Error> {
    let column = |offset: usize| text[..offset].chars().count() + 1;
    let mut input = LocatingSlice::new(text);
    let mut tokens = Vec::new();
    loop {
        skip_whitespace(&mut input);
        let offset = input.current_token_start();
        if offset == text.len() {
            return Ok((tokens, column(offset)));
        }
        let (kind, token) = parse_token(&mut input).or(Err(Error {
            column: column(offset),
            found: Some(text[offset..].to_owned()),
            expected: vec!["a string that ends with a quote".to_owned()],
            suggestion: None,
        }))?;
        tokens.push(Token {
            column: column(offset),
            kind,
            text: token,
        });
    }
}

fn skip_whitespace(input: &mut Input<'_>) {
    let spaces: Result<&str, ContextError> = take_while(0.., char::is_whitespace).parse_next(input);
    debug_assert!(
        spaces.is_ok(),
        "matching zero or more white space characters cannot fail"
    );
}

fn parse_token(input: &mut Input<'_>) -> winnow::Result<(Kind, String)> {
    alt((
        ','.map(|_| (Kind::Comma, ",".to_owned())),
        quoted_string.map(|text| (Kind::Quoted, text)),
        take_while(1.., is_word_character).map(|text: &str| (Kind::Word, text.to_owned())),
    ))
    .parse_next(input)
}

fn quoted_string(input: &mut Input<'_>) -> winnow::Result<String> {
    let character = alt((preceded('\\', any), none_of(['"', '\\'])));
    delimited('"', repeat(0.., character), '"').parse_next(input)
}

fn is_word_character(character: char) -> bool {
    !character.is_whitespace() && character != ',' && character != '"'
}

/// Displays a text as a word if it parses to the same text, otherwise as a quoted string.
pub(crate) struct QuotedIfNeeded<'text>(pub(crate) &'text str);

impl fmt::Display for QuotedIfNeeded<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.0.is_empty() && self.0.chars().all(is_word_character) {
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
