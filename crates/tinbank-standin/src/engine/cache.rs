//! Prefix cache: blocks of prompt tokens, the least recently used of which goes first.

use std::{
    collections::{BTreeMap, HashMap, hash_map::DefaultHasher},
    hash::{Hash, Hasher},
};

/// Tokens in a block; only whole blocks are cached.
pub(crate) const BLOCK: usize = 16;

#[derive(Debug)]
pub(crate) struct Cache {
    blocks: usize,
    used: HashMap<u64, u64>,
    oldest: BTreeMap<u64, u64>,
    clock: u64,
}

impl Cache {
    /// A cache of so many tokens.
    pub fn new(tokens: usize) -> Self {
        Self {
            blocks: tokens / BLOCK,
            used: HashMap::new(),
            oldest: BTreeMap::new(),
            clock: 0,
        }
    }

    /// Takes in a prompt and returns how many of its tokens were not cached.
    pub fn admit(&mut self, words: &[String]) -> usize {
        let mut prefix = DefaultHasher::new();
        let mut cached = 0;
        let mut whole = true;
        for block in words.chunks_exact(BLOCK) {
            block.hash(&mut prefix);
            // A block counts only if all before it are there.
            whole &= self.touch(prefix.finish());
            cached += if whole { BLOCK } else { 0 };
        }
        words.len() - cached
    }

    fn touch(&mut self, block: u64) -> bool {
        self.clock += 1;
        let before = self.used.insert(block, self.clock);
        if let Some(before) = before {
            self.oldest.remove(&before);
        }
        self.oldest.insert(self.clock, block);
        while self.used.len() > self.blocks {
            let Some((_, oldest)) = self.oldest.pop_first() else {
                break;
            };
            self.used.remove(&oldest);
        }
        before.is_some()
    }
}

#[cfg(test)]
mod tests;
