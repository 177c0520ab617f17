//! A whole answer in blocks, whose memory is given back block by block as the caller takes it.

use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use crate::answer::BrokenBody;
use crate::memory_account::{MemoryGuard, Result};

/// Size of a block, in bytes. Freed blocks of one size are used again; with contiguous answers of several MB,
/// gaps in the heap took three times the memory that was held.
const BLOCK_BYTES: usize = 64 << 10;

/// Collects an answer.
#[derive(Debug)]
pub struct WholeBuffer {
    guard: MemoryGuard,
    blocks: Vec<Vec<u8>>,
}

impl WholeBuffer {
    /// Creates an empty buffer.
    pub fn new(guard: MemoryGuard) -> Self {
        Self {
            guard,
            blocks: Vec::new(),
        }
    }

    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.guard.bytes()
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends a piece.
    pub fn push(&mut self, mut piece: &[u8]) -> Result<()> {
        self.guard.grow(piece.len())?;
        while !piece.is_empty() {
            match self.blocks.last_mut() {
                Some(block) if block.len() < BLOCK_BYTES => {
                    let room = piece.len().min(BLOCK_BYTES - block.len());
                    block.extend_from_slice(&piece[..room]);
                    piece = &piece[room..];
                }
                _ => self.blocks.push(Vec::new()),
            }
        }
        Ok(())
    }

    /// Turns the answer into a body.
    pub fn into_body(self) -> WholeBody {
        let Self { mut guard, blocks } = self;
        let held = |block: Vec<u8>| guard.split(block.len()).into_bytes(block);
        WholeBody {
            blocks: blocks.into_iter().map(held).collect(),
        }
    }
}

/// Body of a whole answer.
#[derive(Debug)]
pub struct WholeBody {
    blocks: VecDeque<Bytes>,
}

impl Body for WholeBody {
    type Data = Bytes;
    type Error = BrokenBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, BrokenBody>>> {
        Poll::Ready(self.blocks.pop_front().map(|block| Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.blocks.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        let lengths = self.blocks.iter().map(|block| block.len() as u64);
        SizeHint::with_exact(lengths.sum())
    }
}
