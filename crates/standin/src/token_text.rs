//! The text that engine stand-ins generate: a function of the prompt alone, so that whoever knows
//! the prompt can check a whole answer.

/// 64-bit FNV-1a offset basis.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// 64-bit FNV-1a prime.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

fn prompt_hash(prompt: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    prompt.bytes().fold(FNV_BASIS, step)
}

/// The token at a position of the answer to a prompt, with a space behind it.
pub fn token_at(prompt: &str, index: u32) -> String {
    format!("{:08x}.{index} ", prompt_hash(prompt) as u32)
}

/// The whole answer to a prompt.
pub fn whole_answer(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| token_at(prompt, index)).collect()
}
