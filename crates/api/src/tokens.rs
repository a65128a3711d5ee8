//! How many tokens a text has, before any engine has read it.
//!
//! Measure: a token for each begun four bytes of a run of ASCII letters or digits, one for each other
//! visible ASCII character, and one for each character beyond ASCII. Published tokenizers for English
//! text come to about four bytes a token; the error against the engines' own `usage` is logged with
//! every finished request (`prompt_tokens` beside `estimated_tokens`).

/// Bytes of ASCII letters and digits in a token.
const BYTES_A_TOKEN: u64 = 4;

/// What a byte counts: nothing (white space, or it continues a character), one, or as part of a run.
const NOTHING: u8 = 0;
const ONE: u8 = 1;
const RUN: u8 = 2;

/// By a table, since every byte of every prompt passes here. Made by the compiler, which checks the places.
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

/// Tokens of a text by the module's measure.
pub fn estimate(text: &str) -> u64 {
    let (mut tokens, mut run) = (0_u64, 0_u64);
    for b in text.bytes() {
        // Without branches: which class comes next can't be guessed by a processor either.
        let class = CLASS.get(usize::from(b)).copied().unwrap_or(ONE);
        let in_run = u64::from(class == RUN);
        tokens += in_run & u64::from(run % BYTES_A_TOKEN == 0);
        tokens += u64::from(class == ONE);
        run = (run + 1) * in_run;
    }
    tokens
}

#[cfg(test)]
#[path = "tokens_test.rs"]
mod tests;
