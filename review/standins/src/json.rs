//! As much JSON as the calls of the store need.

use std::collections::BTreeMap;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let text: Vec<char> = std::str::from_utf8(bytes).ok()?.chars().collect();
        Parser { text, place: 0 }.value()
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(table) => table.get(name),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }
}

struct Parser {
    text: Vec<char>,
    place: usize,
}

impl Parser {
    fn peek(&mut self) -> Option<char> {
        while self.text.get(self.place).is_some_and(|it| it.is_whitespace()) {
            self.place += 1;
        }
        self.text.get(self.place).copied()
    }

    fn take(&mut self, expected: char) -> Option<()> {
        (self.peek()? == expected).then(|| self.place += 1)
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            '{' => {
                self.place += 1;
                let mut table = BTreeMap::new();
                while self.peek()? != '}' {
                    let key = self.string()?;
                    self.take(':')?;
                    table.insert(key, self.value()?);
                    if self.peek()? == ',' {
                        self.place += 1;
                    }
                }
                self.place += 1;
                Some(Json::Table(table))
            }
            '[' => {
                self.place += 1;
                let mut list = Vec::new();
                while self.peek()? != ']' {
                    list.push(self.value()?);
                    if self.peek()? == ',' {
                        self.place += 1;
                    }
                }
                self.place += 1;
                Some(Json::List(list))
            }
            '"' => self.string().map(Json::Text),
            _ => {
                let start = self.place;
                while self
                    .text
                    .get(self.place)
                    .is_some_and(|it| !matches!(it, ',' | '}' | ']') && !it.is_whitespace())
                {
                    self.place += 1;
                }
                let word: String = self.text[start..self.place].iter().collect();
                match word.as_str() {
                    "null" => Some(Json::Null),
                    "true" => Some(Json::Bool(true)),
                    "false" => Some(Json::Bool(false)),
                    number => number.parse().ok().map(Json::Number),
                }
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take('"')?;
        let mut string = String::new();
        loop {
            let next = *self.text.get(self.place)?;
            self.place += 1;
            match next {
                '"' => return Some(string),
                '\\' => {
                    let escaped = *self.text.get(self.place)?;
                    self.place += 1;
                    match escaped {
                        'n' => string.push('\n'),
                        't' => string.push('\t'),
                        'r' => string.push('\r'),
                        'u' => {
                            let hex: String =
                                self.text.get(self.place..self.place + 4)?.iter().collect();
                            self.place += 4;
                            string.push(char::from_u32(u32::from_str_radix(&hex, 16).ok()?)?);
                        }
                        other => string.push(other),
                    }
                }
                other => string.push(other),
            }
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |place: usize| u32::from(*group.get(place).unwrap_or(&0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for place in 0..4 {
            if place <= group.len() {
                text.push(ALPHABET[(bits >> (18 - 6 * place)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn decode_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut bits = 0_u32;
    let mut count = 0;
    for letter in text.bytes().filter(|it| *it != b'=') {
        let Some(value) = ALPHABET.iter().position(|it| *it == letter) else { continue };
        bits = bits << 6 | value as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
        }
    }
    bytes
}
