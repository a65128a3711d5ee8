//! How many tokens a text has, before any engine has read it.
//!
//! Measure: a token for each begun four bytes of a run of ASCII letters or digits, one for each other
//! visible ASCII character, and one for each character beyond ASCII. Published tokenizers for English
//! text come to about four bytes a token; the error against the engines' own `usage` is logged with
//! every finished request (`prompt_tokens` beside `estimated_tokens`).

/// Bytes of ASCII letters and digits in a token.
const BYTES_A_TOKEN: u64 = 4;

/// Tokens of a text by the module's measure.
pub fn estimate(text: &str) -> u64 {
    let (mut tokens, mut run) = (0_u64, 0_u64);
    // By bytes, since every prompt passes here: what continues a character beyond ASCII counts nothing.
    for b in text.bytes() {
        if b.is_ascii_alphanumeric() {
            tokens += u64::from(run % BYTES_A_TOKEN == 0);
            run += 1;
        } else {
            run = 0;
            tokens += u64::from(!b.is_ascii_whitespace() && !(0x80..0xc0).contains(&b));
        }
    }
    tokens
}

#[cfg(test)]
mod tests {
    use super::estimate;

    #[test]
    fn counts_by_the_documented_measure() {
        assert_eq!(estimate(""), 0);
        assert_eq!(estimate("four"), 1);
        assert_eq!(estimate("fives"), 2);
        assert_eq!(estimate("a b, c."), 5);
        assert_eq!(estimate("Grüezi"), 1 + 1 + 1);
    }
}
