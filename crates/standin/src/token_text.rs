//! The text that engine stand-ins generate. It depends on the prompt alone, so that a client can
//! check every token of an answer.

/// 64-bit FNV-1a offset basis.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// 64-bit FNV-1a prime.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Generates the tokens of the answer to one prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenText {
    hash: u64,
}

impl TokenText {
    /// Creates the generator for a prompt.
    pub fn new(prompt: &str) -> Self {
        let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        Self {
            hash: prompt.bytes().fold(FNV_BASIS, step),
        }
    }

    /// The token at an index, followed by a space.
    pub fn token(&self, index: u32) -> String {
        format!("{:08x}.{index} ", self.hash as u32)
    }

    /// The text of the first `tokens` tokens.
    pub fn first_tokens(&self, tokens: u32) -> String {
        (0..tokens).map(|index| self.token(index)).collect()
    }
}

/// The token at an index of the answer to a prompt, followed by a space.
pub fn token_at(prompt: &str, index: u32) -> String {
    TokenText::new(prompt).token(index)
}

/// The answer to a prompt with this many tokens.
pub fn complete_answer(prompt: &str, tokens: u32) -> String {
    TokenText::new(prompt).first_tokens(tokens)
}
