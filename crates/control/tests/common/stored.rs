//! Data files of lines `name hex`.

/// The bytes of one line.
pub fn stored(file: &str, name: &str) -> Vec<u8> {
    let line = file.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    let digits = line.unwrap_or_else(|| panic!("no line `{name}`"));
    let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).unwrap();
    (0..digits.len()).step_by(2).map(byte).collect()
}

/// How many lines there are.
pub fn lines(file: &str) -> usize {
    file.lines().count()
}

pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
