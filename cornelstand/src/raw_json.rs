//! Parts of a JSON document, told apart by its brackets and strings alone.
//!
//! A value that a parser rejects (a number out of range, a lone surrogate, bytes that are not UTF-8,
//! too many levels) then makes only its own part unreadable, not the document around it.

/// Returns the members of an object in order, or `None` if `json` is no object. Members whose key is
/// unreadable are left out.
pub(crate) fn members(json: &[u8]) -> Option<Vec<(String, &[u8])>> {
    let mut scan = Scan { rest: json };
    scan.open(b'{')?;
    let mut members = Vec::new();
    while !scan.take(b'}') {
        let key = scan.value()?;
        if !scan.take(b':') {
            return None;
        }
        let value = scan.value()?;
        if let Ok(key) = serde_json::from_slice(key) {
            members.push((key, value));
        }
        scan.separator(b'}')?;
    }
    Some(members)
}

/// Returns the elements of an array in order, or `None` if `json` is no array.
pub(crate) fn elements(json: &[u8]) -> Option<Vec<&[u8]>> {
    let mut scan = Scan { rest: json };
    scan.open(b'[')?;
    let mut elements = Vec::new();
    while !scan.take(b']') {
        elements.push(scan.value()?);
        scan.separator(b']')?;
    }
    Some(elements)
}

/// Returns the last member with the name `key`.
pub(crate) fn member<'a>(members: &[(String, &'a [u8])], key: &str) -> Option<&'a [u8]> {
    let found = members.iter().rev().find(|(name, _)| name == key);
    found.map(|(_, value)| *value)
}

/// The part of a document that has not been passed yet.
struct Scan<'a> {
    rest: &'a [u8],
}

impl<'a> Scan<'a> {
    /// Passes `byte` if it comes next.
    fn take(&mut self, byte: u8) -> bool {
        self.rest = self.rest.trim_ascii_start();
        let next = self.rest.strip_prefix(&[byte]);
        self.rest = next.unwrap_or(self.rest);
        next.is_some()
    }

    fn open(&mut self, bracket: u8) -> Option<()> {
        self.take(bracket).then_some(())
    }

    /// Passes a comma, unless `bracket` follows.
    fn separator(&mut self, bracket: u8) -> Option<()> {
        (self.take(b',') || self.rest.first() == Some(&bracket)).then_some(())
    }

    /// Passes the next value and returns its bytes.
    fn value(&mut self) -> Option<&'a [u8]> {
        self.rest = self.rest.trim_ascii_start();
        let length = value_length(self.rest)?;
        let (value, rest) = self.rest.split_at(length);
        self.rest = rest;
        Some(value)
    }
}

fn value_length(bytes: &[u8]) -> Option<usize> {
    match bytes.first()? {
        b'"' => string_length(bytes),
        b'{' | b'[' => nested_length(bytes),
        _ => {
            let is_end = |b: &u8| b",]}".contains(b) || b.is_ascii_whitespace();
            bytes.iter().position(is_end).filter(|length| *length > 0)
        }
    }
}

/// Length of a string with its quotes.
fn string_length(bytes: &[u8]) -> Option<usize> {
    let mut at = 1;
    loop {
        at += memchr::memchr2(b'"', b'\\', bytes.get(at..)?)?;
        if bytes[at] == b'"' {
            return Some(at + 1);
        }
        at += 2;
    }
}

/// Length of an object or array with all of its levels.
fn nested_length(bytes: &[u8]) -> Option<usize> {
    let (mut at, mut depth) = (0, 0_usize);
    loop {
        match bytes.get(at)? {
            b'"' => at += string_length(&bytes[at..])?,
            b'{' | b'[' => {
                depth += 1;
                at += 1;
            }
            b'}' | b']' => {
                depth -= 1;
                at += 1;
                if depth == 0 {
                    return Some(at);
                }
            }
            _ => at += 1,
        }
    }
}
