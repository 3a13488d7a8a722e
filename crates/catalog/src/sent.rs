//! Replies of the latest commands, for commands that are resent.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::reply::Reply;
use shallotrill_model::command::Id;

/// Commands whose replies are kept. The oldest are dropped first, a block at a time.
pub const RETAINED: usize = 100_000;

/// Commands in a block. An insertion moves at most one block.
const BLOCK: usize = 10_000;

/// Replies by command.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Sent {
    /// Blocks in the order of arrival, each sorted by command.
    blocks: VecDeque<Vec<(Id, Reply)>>,
}

impl Sent {
    /// The reply to a command.
    pub fn get(&self, id: Id) -> Option<&Reply> {
        self.blocks.iter().rev().find_map(|block| {
            let index = block.binary_search_by_key(&id, |(id, _)| *id).ok()?;
            block.get(index).map(|(_, reply)| reply)
        })
    }

    /// Keeps the reply to a command that has none.
    pub fn put(&mut self, id: Id, reply: Reply) {
        if self.blocks.back().is_none_or(|block| block.len() >= BLOCK) {
            self.blocks.push_back(Vec::new());
        }
        if self.blocks.len() > RETAINED / BLOCK + 1 {
            self.blocks.pop_front();
        }
        if let Some(block) = self.blocks.back_mut()
            && let Err(index) = block.binary_search_by_key(&id, |(id, _)| *id)
        {
            block.insert(index, (id, reply));
        }
    }

    /// Whether each block is in the order of commands.
    pub(crate) fn is_sorted(&self) -> bool {
        let sorted = |block: &Vec<(Id, Reply)>| block.is_sorted_by(|a, b| a.0 < b.0);
        self.blocks.iter().all(sorted)
    }

    /// Number of replies that are kept.
    pub fn len(&self) -> usize {
        self.blocks.iter().map(Vec::len).sum()
    }

    /// Whether no command has been applied.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Estimate of the memory that the replies take.
    pub fn bytes(&self) -> usize {
        let slots: usize = self.blocks.iter().map(Vec::capacity).sum();
        slots * size_of::<(Id, Reply)>()
    }
}
