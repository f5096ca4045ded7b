//! A small JSON reader and writer. Numbers keep their text.

#[derive(Clone, Debug, PartialEq)]
pub enum J {
    Null,
    Bool(bool),
    Num(String),
    Str(String),
    Arr(Vec<J>),
    Obj(Vec<(String, J)>),
}

static NULL: J = J::Null;

impl J {
    pub fn parse(text: &[u8]) -> Option<J> {
        let mut p = Parser { b: text, at: 0 };
        let v = p.value()?;
        p.space();
        (p.at == text.len()).then_some(v)
    }
    pub fn get(&self, key: &str) -> &J {
        match self {
            J::Obj(o) => o.iter().find(|(k, _)| k == key).map_or(&NULL, |(_, v)| v),
            _ => &NULL,
        }
    }
    pub fn str(&self) -> Option<&str> {
        match self {
            J::Str(s) => Some(s),
            _ => None,
        }
    }
    pub fn text(&self) -> String {
        self.str().unwrap_or("").to_string()
    }
    pub fn u64(&self) -> Option<u64> {
        match self {
            J::Num(n) => n.parse().ok(),
            _ => None,
        }
    }
    pub fn arr(&self) -> &[J] {
        match self {
            J::Arr(a) => a,
            _ => &[],
        }
    }
    pub fn write(&self, out: &mut String) {
        match self {
            J::Null => out.push_str("null"),
            J::Bool(b) => out.push_str(if *b { "true" } else { "false" }),
            J::Num(n) => out.push_str(n),
            J::Str(s) => quote(s, out),
            J::Arr(a) => {
                out.push('[');
                for (i, v) in a.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    v.write(out);
                }
                out.push(']');
            }
            J::Obj(o) => {
                out.push('{');
                for (i, (k, v)) in o.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    quote(k, out);
                    out.push(':');
                    v.write(out);
                }
                out.push('}');
            }
        }
    }
}

impl std::fmt::Display for J {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut s = String::new();
        self.write(&mut s);
        f.write_str(&s)
    }
}

fn quote(s: &str, out: &mut String) {
    out.push('"');
    for c in s.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            '\r' => out.push_str("\\r"),
            '\t' => out.push_str("\\t"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
}

struct Parser<'a> {
    b: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.b.get(self.at).is_some_and(|c| c.is_ascii_whitespace()) {
            self.at += 1;
        }
    }
    fn eat(&mut self, c: u8) -> Option<()> {
        self.space();
        (self.b.get(self.at) == Some(&c)).then(|| self.at += 1)
    }
    fn word(&mut self, w: &str, v: J) -> Option<J> {
        self.b[self.at..].starts_with(w.as_bytes()).then(|| {
            self.at += w.len();
            v
        })
    }
    fn value(&mut self) -> Option<J> {
        self.space();
        match *self.b.get(self.at)? {
            b'n' => self.word("null", J::Null),
            b't' => self.word("true", J::Bool(true)),
            b'f' => self.word("false", J::Bool(false)),
            b'"' => self.string().map(J::Str),
            b'[' => {
                self.at += 1;
                let mut a = vec![];
                if self.eat(b']').is_some() {
                    return Some(J::Arr(a));
                }
                loop {
                    a.push(self.value()?);
                    if self.eat(b',').is_none() {
                        self.eat(b']')?;
                        return Some(J::Arr(a));
                    }
                }
            }
            b'{' => {
                self.at += 1;
                let mut o = vec![];
                if self.eat(b'}').is_some() {
                    return Some(J::Obj(o));
                }
                loop {
                    self.space();
                    let k = self.string()?;
                    self.eat(b':')?;
                    o.push((k, self.value()?));
                    if self.eat(b',').is_none() {
                        self.eat(b'}')?;
                        return Some(J::Obj(o));
                    }
                }
            }
            _ => {
                let from = self.at;
                while self
                    .b
                    .get(self.at)
                    .is_some_and(|c| c.is_ascii_digit() || b"+-.eE".contains(c))
                {
                    self.at += 1;
                }
                let n = std::str::from_utf8(&self.b[from..self.at]).ok()?;
                n.parse::<f64>().ok()?;
                Some(J::Num(n.to_string()))
            }
        }
    }
    fn string(&mut self) -> Option<String> {
        if self.b.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut out: Vec<u8> = vec![];
        loop {
            let c = *self.b.get(self.at)?;
            self.at += 1;
            match c {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let e = *self.b.get(self.at)?;
                    self.at += 1;
                    match e {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let mut code = self.hex()?;
                            if (0xd800..0xdc00).contains(&code) {
                                self.at += 2;
                                let low = self.hex()?;
                                code =
                                    0x10000 + ((code - 0xd800) << 10) + (low.wrapping_sub(0xdc00));
                            }
                            let ch = char::from_u32(code)?;
                            out.extend_from_slice(ch.to_string().as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                c => out.push(c),
            }
        }
    }
    fn hex(&mut self) -> Option<u32> {
        let h = std::str::from_utf8(self.b.get(self.at..self.at + 4)?).ok()?;
        self.at += 4;
        u32::from_str_radix(h, 16).ok()
    }
}

pub fn n(v: impl ToString) -> J {
    J::Num(v.to_string())
}
pub fn s(v: impl ToString) -> J {
    J::Str(v.to_string())
}
/// An amount: written as a decimal number.
pub fn amount(v: f64) -> J {
    J::Num(format!("{v:?}"))
}
pub fn obj(fields: Vec<(&str, J)>) -> J {
    J::Obj(
        fields
            .into_iter()
            .map(|(k, v)| (k.to_string(), v))
            .collect(),
    )
}
