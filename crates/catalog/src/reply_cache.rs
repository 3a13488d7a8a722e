//! Cache of the replies to the latest commands, from which resent commands are answered.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::reply::Reply;
use shallotrill_model::command::Id;

/// Number of latest replies that are always retained. Older ones are dropped in blocks, the oldest first.
pub const REPLIES_MIN: usize = 100_000;

/// Replies in a block. The limit bounds the cost of an insertion, which moves entries of one block only.
const BLOCK_REPLIES_MAX: usize = 10_000;

/// Replies by command identifier.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReplyCache {
    /// Blocks in the order of arrival, each sorted by command identifier.
    blocks: VecDeque<Vec<(Id, Reply)>>,
}

impl ReplyCache {
    /// The reply to a command; `None` if it was not applied or is no longer retained.
    pub fn get(&self, id: Id) -> Option<&Reply> {
        self.blocks.iter().rev().find_map(|block| {
            let index = block.binary_search_by_key(&id, |(id, _)| *id).ok()?;
            block.get(index).map(|(_, reply)| reply)
        })
    }

    /// Stores the reply to a command that has none yet.
    pub fn put(&mut self, id: Id, reply: Reply) {
        if self
            .blocks
            .back()
            .is_none_or(|block| block.len() >= BLOCK_REPLIES_MAX)
        {
            self.blocks.push_back(Vec::new());
        }
        if self.blocks.len() > REPLIES_MIN / BLOCK_REPLIES_MAX + 1 {
            self.blocks.pop_front();
        }
        if let Some(block) = self.blocks.back_mut()
            && let Err(index) = block.binary_search_by_key(&id, |(id, _)| *id)
        {
            block.insert(index, (id, reply));
        }
    }

    /// Whether each block is sorted by command identifier.
    pub(crate) fn is_sorted(&self) -> bool {
        let is_sorted_block = |block: &Vec<(Id, Reply)>| block.is_sorted_by(|a, b| a.0 < b.0);
        self.blocks.iter().all(is_sorted_block)
    }

    /// Number of replies that are retained.
    pub fn len(&self) -> usize {
        self.blocks.iter().map(Vec::len).sum()
    }

    /// Whether no command was applied yet.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Estimate of the memory that the replies take, in bytes.
    pub fn bytes(&self) -> usize {
        let capacity: usize = self.blocks.iter().map(Vec::capacity).sum();
        capacity * size_of::<(Id, Reply)>()
    }
}
