//! Body of a request that is being received, held in blocks of one size: the memory of many bodies follows what was received,
//! whatever the sizes and the order of their pieces.

/// Size of a block.
const BLOCK_BYTES: usize = 4 * 1024;

/// A body that is being received.
#[derive(Debug, Default)]
pub(super) struct ReceivedBody {
    /// Blocks, all full but the last one.
    blocks: Vec<Vec<u8>>,
}

impl ReceivedBody {
    /// Appends a piece. Returns how much more memory the body counts for.
    pub(super) fn extend(&mut self, mut piece: &[u8]) -> u64 {
        let before = self.counted_bytes();
        while !piece.is_empty() {
            let has_room = self.blocks.last().is_some_and(|block| block.len() < BLOCK_BYTES);
            if !has_room {
                self.blocks.push(Vec::with_capacity(BLOCK_BYTES));
            }
            let Some(block) = self.blocks.last_mut() else { break };
            let (now, later) = piece.split_at(piece.len().min(BLOCK_BYTES - block.len()));
            block.extend_from_slice(now);
            piece = later;
        }
        self.counted_bytes() - before
    }

    /// Memory that the body counts for: what it holds, and as much for the call into which it will be copied.
    pub(super) fn counted_bytes(&self) -> u64 {
        2 * (self.blocks.len() * BLOCK_BYTES) as u64
    }

    /// The bytes received.
    pub(super) fn into_bytes(self) -> Vec<u8> {
        self.blocks.concat()
    }
}

#[cfg(test)]
#[path = "received_body_test.rs"]
mod tests;
