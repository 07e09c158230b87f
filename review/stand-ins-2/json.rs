//! A small reader of JSON values, enough for the lines of the protocol.

use std::collections::BTreeMap;

/// A JSON value; a number keeps its text.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        let value = reader.value()?;
        reader.space();
        (reader.at == reader.bytes.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Object(object) => object.get(key),
            _ => None,
        }
    }

    /// The text of a string or of a number: the protocol allows either for a field.
    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) | Json::Number(text) => Some(text),
            _ => None,
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, text: &str) -> Option<()> {
        self.bytes[self.at..].starts_with(text.as_bytes()).then(|| self.at += text.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.bytes.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => Some(Json::Text(self.string()?)),
            b't' => self.take("true").map(|()| Json::Bool(true)),
            b'f' => self.take("false").map(|()| Json::Bool(false)),
            b'n' => self.take("null").map(|()| Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        while self.bytes.get(self.at).is_some_and(|b| b.is_ascii_digit() || b"+-.eE".contains(b)) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse::<f64>().ok()?;
        Some(Json::Number(text.to_owned()))
    }

    fn list(&mut self) -> Option<Json> {
        self.at += 1;
        let mut items = Vec::new();
        loop {
            self.space();
            if self.bytes.get(self.at)? == &b']' {
                self.at += 1;
                return Some(Json::List(items));
            }
            if !items.is_empty() {
                self.take(",")?;
            }
            items.push(self.value()?);
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.at += 1;
        let mut object = BTreeMap::new();
        loop {
            self.space();
            if self.bytes.get(self.at)? == &b'}' {
                self.at += 1;
                return Some(Json::Object(object));
            }
            if !object.is_empty() {
                self.take(",")?;
                self.space();
            }
            let key = self.string()?;
            self.space();
            self.take(":")?;
            object.insert(key, self.value()?);
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut units: Vec<u8> = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(units).ok(),
                b'\\' => {
                    let escape = *self.bytes.get(self.at)?;
                    self.at += 1;
                    let plain = match escape {
                        b'n' => '\n',
                        b'r' => '\r',
                        b't' => '\t',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let digits = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            // The stand-ins send no character that needs a surrogate pair.
                            char::from_u32(u32::from_str_radix(digits, 16).ok()?)?
                        }
                        other => other as char,
                    };
                    units.extend(plain.to_string().as_bytes());
                }
                other => units.push(other),
            }
        }
    }
}

/// A line of the protocol.
#[derive(Clone, Debug)]
pub struct Message {
    pub kind: String,
    pub uid: String,
    pub cause: Option<u32>,
    pub body: Option<String>,
}

impl Message {
    pub fn parse(line: &str) -> Option<Message> {
        let json = Json::parse(line)?;
        let text = |key: &str| json.get(key)?.text().map(str::to_owned);
        Some(Message {
            kind: text("kind")?,
            uid: text("uid")?,
            cause: text("reason").and_then(|cause| cause.parse().ok()),
            body: text("body"),
        })
    }

    /// A short form for the record.
    pub fn short(&self) -> String {
        let cause = self.cause.map_or(String::new(), |cause| format!(" {cause}"));
        format!("{}{cause} {}", self.kind, self.uid)
    }
}
