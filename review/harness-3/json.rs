//! Finds fields of JSON objects without decoding them.

/// Position after the value that begins at `at`; `None` if it is malformed.
fn skip_value(text: &[u8], at: usize) -> Option<usize> {
    let mut at = skip_space(text, at);
    let mut depth = 0usize;
    loop {
        match *text.get(at)? {
            b'"' => at = skip_string(text, at)?,
            b'{' | b'[' => {
                depth += 1;
                at += 1;
            }
            b'}' | b']' => {
                depth = depth.checked_sub(1)?;
                at += 1;
            }
            b',' | b':' | b' ' | b'\n' | b'\r' | b'\t' if depth > 0 => at += 1,
            _ => {
                let start = at;
                while text.get(at).is_some_and(|b| !b",:]} \n\r\t".contains(b)) {
                    at += 1;
                }
                if at == start {
                    return None;
                }
            }
        }
        if depth == 0 {
            return Some(at);
        }
    }
}

fn skip_space(text: &[u8], mut at: usize) -> usize {
    while text.get(at).is_some_and(|b| b" \n\r\t".contains(b)) {
        at += 1;
    }
    at
}

fn skip_string(text: &[u8], at: usize) -> Option<usize> {
    let mut at = at + 1;
    loop {
        match *text.get(at)? {
            b'\\' => at += 2,
            b'"' => return Some(at + 1),
            _ => at += 1,
        }
    }
}

/// Text of the field `key` of the object `text`.
pub fn field<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = skip_space(bytes, 0);
    if *bytes.get(at)? != b'{' {
        return None;
    }
    at = skip_space(bytes, at + 1);
    while *bytes.get(at)? == b'"' {
        let end = skip_string(bytes, at)?;
        let name = &text[at + 1..end - 1];
        at = skip_space(bytes, end);
        if *bytes.get(at)? != b':' {
            return None;
        }
        let start = skip_space(bytes, at + 1);
        let stop = skip_value(bytes, start)?;
        if name == key {
            return Some(&text[start..stop]);
        }
        at = skip_space(bytes, stop);
        if *bytes.get(at)? != b',' {
            return None;
        }
        at = skip_space(bytes, at + 1);
    }
    None
}

/// Content of a JSON string without escapes.
pub fn text(value: &str) -> Option<&str> {
    value.strip_prefix('"')?.strip_suffix('"')
}
