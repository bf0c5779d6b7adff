//! Texts that others have written, for log lines.

/// Bytes of such a text in a log line.
const MAX_LOGGED_BYTES: usize = 120;

/// The beginning of a text that others have written, of at most 120 bytes.
pub fn shortened(text: &str) -> &str {
    let mut end = MAX_LOGGED_BYTES.min(text.len());
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}
