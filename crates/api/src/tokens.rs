//! Estimates the number of tokens of a text before an engine has tokenized it.
//!
//! A run of ASCII letters or digits counts as one token per four bytes, rounded up. Every other visible ASCII character and
//! every non-ASCII character counts as one token. Published tokenizers average about four bytes per token on English text.
//! The log entry of each finished request has both the estimate (`estimated_tokens`) and the engines' own count
//! (`prompt_tokens`).

/// Number of ASCII letters or digits per token.
const BYTES_PER_TOKEN: u64 = 4;

/// Class of whitespace and of UTF-8 continuation bytes, which count no token.
const NO_TOKEN: u8 = 0;
/// Class of bytes that count as one token each.
const ONE_TOKEN: u8 = 1;
/// Class of ASCII letters and digits, which count as part of a run.
const RUN: u8 = 2;

/// Lookup table for the class of each byte, since every byte of every prompt is classified. It is computed, and its indices
/// are checked, at compile time.
#[allow(clippy::indexing_slicing)]
static CLASS: [u8; 256] = {
    let mut class = [ONE_TOKEN; 256];
    let mut b = 0_u8;
    loop {
        if b.is_ascii_alphanumeric() {
            class[b as usize] = RUN;
        } else if b.is_ascii_whitespace() || (b >= 0x80 && b < 0xc0) {
            class[b as usize] = NO_TOKEN;
        }
        if b == u8::MAX {
            break;
        }
        b += 1;
    }
    class
};

/// Estimates the tokens of a text.
pub fn estimate(text: &str) -> u64 {
    let (mut tokens, mut run) = (0_u64, 0_u64);
    for b in text.bytes() {
        // The loop has no branches, since the processor could not predict them.
        let class = CLASS.get(usize::from(b)).copied().unwrap_or(ONE_TOKEN);
        let in_run = u64::from(class == RUN);
        tokens += in_run & u64::from(run % BYTES_PER_TOKEN == 0);
        tokens += u64::from(class == ONE_TOKEN);
        run = (run + 1) * in_run;
    }
    tokens
}

#[cfg(test)]
#[path = "tokens_test.rs"]
mod tests;
