//! Encoding of JSON strings.

use std::fmt::Write;

/// Appends a JSON string with its quotes.
pub(crate) fn push_json_string(json: &mut String, text: &str) {
    json.push('"');
    for character in text.chars() {
        match character {
            '"' => json.push_str("\\\""),
            '\\' => json.push_str("\\\\"),
            control_character if control_character < ' ' => {
                let _ = write!(json, "\\u{:04x}", u32::from(control_character));
            }
            other => json.push(other),
        }
    }
    json.push('"');
}
