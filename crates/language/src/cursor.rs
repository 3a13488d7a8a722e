//! A position in the tokens of a statement, with what was allowed there.

use crate::error::Error;
use crate::token::Kind;
use crate::token::Token;

/// Most single-character edits between a word and the keyword that is suggested for it.
const EDITS_MAX: usize = 2;

/// Reads tokens from left to right.
#[derive(Debug)]
pub(crate) struct Cursor<'tokens> {
    tokens: &'tokens [Token],
    end: usize,
    /// Optional keywords that were looked for at this position.
    tried: Vec<&'static str>,
}

impl<'tokens> Cursor<'tokens> {
    pub(crate) const fn new(tokens: &'tokens [Token], end: usize) -> Self {
        Self {
            tokens,
            end,
            tried: Vec::new(),
        }
    }

    fn advance(&mut self) {
        self.tokens = &self.tokens[1..];
        self.tried.clear();
    }

    /// Takes one of these keywords.
    pub(crate) fn keyword(&mut self, words: &[&'static str]) -> Result<&'static str, Error> {
        let found = words.iter().find(|word| self.is_word(word));
        if let Some(word) = found {
            self.advance();
            return Ok(word);
        }
        Err(self.error(words))
    }

    /// Takes this keyword if it is next.
    pub(crate) fn optional(&mut self, word: &'static str) -> bool {
        if self.is_word(word) {
            self.advance();
            return true;
        }
        self.tried.push(word);
        false
    }

    /// Takes a comma if it is next.
    pub(crate) fn comma(&mut self) -> bool {
        let next = self.tokens.first();
        if next.is_some_and(|token| token.kind == Kind::Comma) {
            self.advance();
            return true;
        }
        self.tried.push(",");
        false
    }

    /// Takes a value that `read` accepts; `what` describes such values.
    pub(crate) fn value<T>(
        &mut self,
        what: &'static str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Result<T, Error> {
        let next = self.tokens.first();
        let text = next.filter(|token| token.kind != Kind::Comma);
        if let Some(value) = text.and_then(|token| read(&token.text)) {
            self.advance();
            return Ok(value);
        }
        self.tried.clear();
        Err(self.error(&[what]))
    }

    /// Whether a value could be next.
    pub(crate) fn more(&self) -> bool {
        let next = self.tokens.first();
        next.is_some_and(|token| token.kind != Kind::Comma)
    }

    /// Checks that nothing is left.
    pub(crate) fn finish(&self) -> Result<(), Error> {
        if self.tokens.is_empty() {
            return Ok(());
        }
        Err(self.error(&["the end of the statement"]))
    }

    fn is_word(&self, word: &str) -> bool {
        let next = self.tokens.first();
        next.is_some_and(|token| token.kind == Kind::Word && token.text.eq_ignore_ascii_case(word))
    }

    /// The error at this position, where `expected` or a keyword that was tried is allowed.
    pub(crate) fn error(&self, expected: &[&'static str]) -> Error {
        let token = self.tokens.first();
        let allowed: Vec<&str> = self.tried.iter().chain(expected).copied().collect();
        let word = token.filter(|token| token.kind == Kind::Word);
        Error {
            column: token.map_or(self.end, |token| token.column),
            found: token.map(|token| token.text.clone()),
            meant: word.and_then(|word| closest(&word.text, &allowed)),
            expected: allowed.into_iter().map(str::to_owned).collect(),
        }
    }
}

/// The keyword that is closest to a word, if it is close enough to be a typing error.
fn closest(word: &str, keywords: &[&str]) -> Option<String> {
    let word = word.to_ascii_lowercase();
    keywords
        .iter()
        .filter(|keyword| keyword.chars().all(|c| c.is_ascii_lowercase() || c == '-'))
        .map(|keyword| (edits(&word, keyword), keyword))
        .filter(|(edits, keyword)| *edits <= EDITS_MAX && *edits * 2 < keyword.len())
        .min()
        .map(|(_, keyword)| (*keyword).to_owned())
}

/// Number of inserted, deleted, replaced and swapped characters between two words.
fn edits(word: &str, keyword: &str) -> usize {
    if word.len().abs_diff(keyword.len()) > EDITS_MAX {
        return usize::MAX / 4;
    }
    let (from, to) = (word.as_bytes(), keyword.as_bytes());
    let mut table = vec![vec![0; to.len() + 1]; from.len() + 1];
    for line in 0..=from.len() {
        for column in 0..=to.len() {
            table[line][column] = if line == 0 || column == 0 {
                line + column
            } else {
                cell(&table, from, to, line, column)
            };
        }
    }
    table[from.len()][to.len()]
}

fn cell(table: &[Vec<usize>], from: &[u8], to: &[u8], line: usize, column: usize) -> usize {
    let same = from[line - 1] == to[column - 1];
    let replaced = table[line - 1][column - 1] + usize::from(!same);
    let one_more = 1 + table[line - 1][column].min(table[line][column - 1]);
    let swap = line > 1
        && column > 1
        && from[line - 1] == to[column - 2]
        && from[line - 2] == to[column - 1];
    let swapped = if swap {
        table[line - 2][column - 2] + 1
    } else {
        usize::MAX
    };
    replaced.min(one_more).min(swapped)
}
