//! Arbitrary settings and control requests never cause a panic, and each settings error has a position.

use proptest::prelude::*;

use crate::control::Call;

const EXAMPLES: [&str; 2] =
    [include_str!("../../../deploy/example.xml"), include_str!("../../../deploy/budgets.xml")];

/// Replacement values, both close to valid ones and far from them.
const WORDS: [&str; 16] = [
    "",
    "0",
    "-1",
    "1e400",
    "99999999999999999999",
    "\u{0}",
    "é",
    "&amp;",
    "<x/>",
    "\"",
    "hour",
    "2026-02-29",
    "0.9999",
    "s",
    "18446744073709551615",
    "nord",
];

fn check(text: &str) -> Result<(), TestCaseError> {
    if let Err(errors) = chalkyard_settings::read(text) {
        prop_assert!(!errors.is_empty());
        let lines = text.matches('\n').count() as u32 + 1;
        for error in errors {
            prop_assert!(
                (1..=lines).contains(&error.line) && error.column >= 1 && !error.message.is_empty(),
                "{error:?}"
            );
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Replaces a value of an example, cuts out a range, or swaps two lines.
    #[test]
    fn altered_settings_are_read_or_refused_with_a_position(example in 0..2_usize, value in 0..200_usize, word in 0..16_usize, cut in any::<(u16, u16)>(), how in 0..3) {
        let xml = EXAMPLES[example];
        let changed = match how {
            0 => {
                let parts: Vec<&str> = xml.split('"').collect();
                // Every second part is a value.
                let at = value % (parts.len() / 2) * 2 + 1;
                let parts: Vec<&str> =
                    parts.iter().enumerate().map(|(i, p)| if i == at { WORDS[word] } else { p }).collect();
                parts.join("\"")
            }
            1 => {
                let bounds: Vec<usize> = xml.char_indices().map(|(i, _)| i).collect();
                let (a, b) = (bounds[cut.0 as usize % bounds.len()], bounds[cut.1 as usize % bounds.len()]);
                format!("{}{}", &xml[..a.min(b)], &xml[a.max(b)..])
            }
            _ => {
                let mut lines: Vec<&str> = xml.lines().collect();
                let n = lines.len();
                lines.swap(cut.0 as usize % n, cut.1 as usize % n);
                lines.join("\n")
            }
        };
        check(&changed)?;
    }

    #[test]
    fn arbitrary_text_as_settings_is_refused_with_a_position(text in ".{0,400}") {
        check(&text)?;
    }

    #[test]
    fn arbitrary_control_lines_are_parsed_without_a_panic(text in ".{0,200}", id in ".{0,40}") {
        let _ = serde_json::from_str::<Call>(&text);
        // A request is read back as it was written.
        let line = serde_json::to_string(&Call::Trace { id: id.clone() }).unwrap();
        let same = matches!(serde_json::from_str(&line), Ok(Call::Trace { id: read }) if read == id);
        prop_assert!(same, "{}", line);
    }
}
