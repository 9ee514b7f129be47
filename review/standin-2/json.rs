//! JSON values: as much as the stand-ins and the checks need.

use std::collections::BTreeMap;

/// JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a document; `None` if it is malformed.
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut parser = Parser { text, at: 0 };
        let value = parser.value()?;
        parser.space();
        (parser.at == text.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        if let Json::Object(fields) = self { fields.get(name) } else { None }
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        if let Some(Json::Text(text)) = self.get(name) { Some(text) } else { None }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        if let Some(Json::Number(number)) = self.get(name) { Some(*number as u64) } else { None }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        if let Some(Json::List(list)) = self.get(name) { list } else { &[] }
    }
}

/// Returns `text` as a JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => quoted.extend(['\\', c]),
            c if (c as u32) < 0x20 => quoted.push_str(&format!("\\u{:04x}", c as u32)),
            c => quoted.push(c),
        }
    }
    quoted + "\""
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> bool {
        self.space();
        let found = self.text.get(self.at) == Some(&byte);
        self.at += usize::from(found);
        found
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let found = self.text[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        found.then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.text.get(self.at)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                while !self.take(b']') {
                    if !list.is_empty() && !self.take(b',') {
                        return None;
                    }
                    list.push(self.value()?);
                }
                Some(Json::List(list))
            }
            b'{' => {
                self.at += 1;
                let mut fields = BTreeMap::new();
                while !self.take(b'}') {
                    if !fields.is_empty() && !self.take(b',') {
                        return None;
                    }
                    self.space();
                    let name = self.string()?;
                    if !self.take(b':') {
                        return None;
                    }
                    fields.insert(name, self.value()?);
                }
                Some(Json::Object(fields))
            }
            _ => {
                let start = self.at;
                while self.text.get(self.at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                    self.at += 1;
                }
                std::str::from_utf8(&self.text[start..self.at]).ok()?.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if !self.take(b'"') {
            return None;
        }
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escape = *self.text.get(self.at)?;
                    self.at += 1;
                    match escape {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'b' => bytes.push(8),
                        b'f' => bytes.push(12),
                        b'u' => {
                            let digits = std::str::from_utf8(self.text.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            let c = char::from_u32(u32::from_str_radix(digits, 16).ok()?)?;
                            bytes.extend_from_slice(c.encode_utf8(&mut [0; 4]).as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                byte => bytes.push(byte),
            }
        }
    }
}
