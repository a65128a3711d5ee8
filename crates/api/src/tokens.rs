//! Estimates how many tokens a text has before any engine has tokenized it.
//!
//! A run of ASCII letters or digits counts one token for each four bytes or part of them; every other visible ASCII
//! character and every character beyond ASCII counts one. Published tokenizers average about four bytes a token on English
//! text. The error against the engines' own `usage` is logged with every finished request (`prompt_tokens` beside
//! `estimated_tokens`).

/// ASCII letters and digits of one token.
const BYTES_PER_TOKEN: u64 = 4;

/// White space, or a byte that continues a character: counts nothing.
const NOTHING: u8 = 0;
/// Counts one token.
const ONE: u8 = 1;
/// Counts as part of a run.
const RUN: u8 = 2;

/// The class of each byte: a table, since every byte of every prompt is looked up. Computed and index-checked at compile
/// time.
#[allow(clippy::indexing_slicing)]
static CLASS: [u8; 256] = {
    let mut class = [ONE; 256];
    let mut b = 0_u8;
    loop {
        if b.is_ascii_alphanumeric() {
            class[b as usize] = RUN;
        } else if b.is_ascii_whitespace() || (b >= 0x80 && b < 0xc0) {
            class[b as usize] = NOTHING;
        }
        if b == u8::MAX {
            break;
        }
        b += 1;
    }
    class
};

/// The estimated tokens of a text.
pub fn estimate(text: &str) -> u64 {
    let (mut tokens, mut run) = (0_u64, 0_u64);
    for b in text.bytes() {
        // Without branches, which a processor could not predict.
        let class = CLASS.get(usize::from(b)).copied().unwrap_or(ONE);
        let in_run = u64::from(class == RUN);
        tokens += in_run & u64::from(run % BYTES_PER_TOKEN == 0);
        tokens += u64::from(class == ONE);
        run = (run + 1) * in_run;
    }
    tokens
}

#[cfg(test)]
#[path = "tokens_test.rs"]
mod tests;
