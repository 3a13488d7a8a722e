//! Cursor of the parser: a position in the tokens of a statement and the keywords that are allowed there.

use crate::error::Error;
use crate::token::Kind;
use crate::token::Token;

/// Maximum edit distance between a word and the keyword that is suggested for it.
const EDIT_DISTANCE_MAX: usize = 2;

/// Reads the tokens of a statement in order.
#[derive(Debug)]
pub(crate) struct Cursor<'tokens> {
    tokens: &'tokens [Token],
    end: usize,
    /// Optional keywords that are allowed at this position but were not found.
    alternatives: Vec<&'static str>,
}

impl<'tokens> Cursor<'tokens> {
    pub(crate) const fn new(tokens: &'tokens [Token], end: usize) -> Self {
        Self {
            tokens,
            end,
            alternatives: Vec::new(),
        }
    }

    fn advance(&mut self) {
        self.tokens = &self.tokens[1..];
        self.alternatives.clear();
    }

    /// Consumes the next token, which must be one of these keywords.
    pub(crate) fn keyword(&mut self, words: &[&'static str]) -> Result<&'static str, Error> {
        let found = words.iter().find(|word| self.is_word(word));
        if let Some(word) = found {
            self.advance();
            return Ok(word);
        }
        Err(self.error(words))
    }

    /// Consumes the next token if it is this keyword. Returns whether it was.
    pub(crate) fn optional(&mut self, word: &'static str) -> bool {
        if self.is_word(word) {
            self.advance();
            return true;
        }
        self.alternatives.push(word);
        false
    }

    /// Consumes the next token if it is a comma. Returns whether it was.
    pub(crate) fn comma(&mut self) -> bool {
        let next = self.tokens.first();
        if next.is_some_and(|token| token.kind == Kind::Comma) {
            self.advance();
            return true;
        }
        self.alternatives.push(",");
        false
    }

    /// Consumes a value that `parse` accepts; `description` names such values in errors.
    pub(crate) fn value<T>(
        &mut self,
        description: &'static str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Result<T, Error> {
        let next = self.tokens.first();
        let text = next.filter(|token| token.kind != Kind::Comma);
        if let Some(value) = text.and_then(|token| parse(&token.text)) {
            self.advance();
            return Ok(value);
        }
        self.alternatives.clear();
        Err(self.error(&[description]))
    }

    /// Whether another token follows that is not a comma.
    pub(crate) fn has_value(&self) -> bool {
        let next = self.tokens.first();
        next.is_some_and(|token| token.kind != Kind::Comma)
    }

    /// Checks that no token remains.
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

    /// The error at this position, where one of `expected` or of the optional keywords is allowed.
    pub(crate) fn error(&self, expected: &[&'static str]) -> Error {
        let token = self.tokens.first();
        let allowed: Vec<&str> = self.alternatives.iter().chain(expected).copied().collect();
        let word = token.filter(|token| token.kind == Kind::Word);
        Error {
            column: token.map_or(self.end, |token| token.column),
            found: token.map(|token| token.text.clone()),
            suggestion: word.and_then(|word| similar_keyword(&word.text, &allowed)),
            expected: allowed.into_iter().map(str::to_owned).collect(),
        }
    }
}

/// The keyword with the smallest edit distance to a word; `None` if no keyword is similar enough for a typing error.
fn similar_keyword(word: &str, keywords: &[&str]) -> Option<String> {
    let word = word.to_ascii_lowercase();
    keywords
        .iter()
        .filter(|keyword| keyword.chars().all(|c| c.is_ascii_lowercase() || c == '-'))
        .map(|keyword| (edit_distance(&word, keyword), keyword))
        .filter(|(edit_distance, keyword)| {
            *edit_distance <= EDIT_DISTANCE_MAX && *edit_distance * 2 < keyword.len()
        })
        .min()
        .map(|(_, keyword)| (*keyword).to_owned())
}

/// Edit distance of two words: inserted, deleted and replaced bytes and swapped neighbours (optimal string alignment).
fn edit_distance(word: &str, keyword: &str) -> usize {
    if word.len().abs_diff(keyword.len()) > EDIT_DISTANCE_MAX {
        return usize::MAX / 4;
    }
    let (from, to) = (word.as_bytes(), keyword.as_bytes());
    let mut table = vec![vec![0; to.len() + 1]; from.len() + 1];
    for row in 0..=from.len() {
        for column in 0..=to.len() {
            table[row][column] = if row == 0 || column == 0 {
                row + column
            } else {
                distance_at(&table, from, to, row, column)
            };
        }
    }
    table[from.len()][to.len()]
}

fn distance_at(table: &[Vec<usize>], from: &[u8], to: &[u8], row: usize, column: usize) -> usize {
    let is_equal = from[row - 1] == to[column - 1];
    let replaced = table[row - 1][column - 1] + usize::from(!is_equal);
    let inserted_or_deleted = 1 + table[row - 1][column].min(table[row][column - 1]);
    let is_swap =
        row > 1 && column > 1 && from[row - 1] == to[column - 2] && from[row - 2] == to[column - 1];
    let swapped = if is_swap {
        table[row - 2][column - 2] + 1
    } else {
        usize::MAX
    };
    replaced.min(inserted_or_deleted).min(swapped)
}
