//! Reads data files in which each line has a name and bytes in hexadecimal.

/// Returns the bytes of the line with this name.
pub fn stored_bytes(file: &str, name: &str) -> Vec<u8> {
    let line = file.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    let digits = line.unwrap_or_else(|| panic!("no line `{name}`"));
    let byte = |start: usize| u8::from_str_radix(&digits[start..start + 2], 16).unwrap();
    (0..digits.len()).step_by(2).map(byte).collect()
}

/// Returns the number of lines.
pub fn line_count(file: &str) -> usize {
    file.lines().count()
}

pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
