//! Compares the parsed file with the schema, collects findings and builds the value that serde reads.

use std::{collections::BTreeMap, fs, net::SocketAddr};

use jsonc_parser::{
    ast::{Array, Object, ObjectProp, Value as Ast},
    common::Ranged,
};
use serde_json::{Map, Number, Value};

use crate::{
    Finding, Findings,
    finding::Place,
    near,
    ports::Port,
    schema::{Field, Kind, Presence, Remark, Use},
};

/// The findings so far, and the addresses seen.
pub(crate) struct Check<'t> {
    text: &'t str,
    file: &'t str,
    findings: Vec<Finding>,
    pub(crate) ports: Vec<Port>,
    files: Vec<File>,
    offsets: BTreeMap<String, usize>,
}

/// A file that the settings name.
#[derive(Debug)]
struct File {
    path: String,
    name: String,
    offset: usize,
}

impl<'t> Check<'t> {
    pub(crate) fn new(text: &'t str, file: &'t str) -> Self {
        Self {
            text,
            file,
            findings: Vec::new(),
            ports: Vec::new(),
            files: Vec::new(),
            offsets: BTreeMap::new(),
        }
    }

    pub(crate) fn add(&mut self, offset: usize, what: impl Into<String>, help: impl Into<String>) {
        let place = Place::at(self.file, self.text, offset);
        self.findings.push(Finding {
            place,
            what: what.into(),
            help: help.into(),
        });
    }

    pub(crate) fn remark(&mut self, remark: Remark) {
        let offset = self.offsets.get(&remark.path).copied().unwrap_or(0);
        self.add(offset, remark.what, remark.help);
    }

    /// Opens each file that is named, so that a missing one is found before the process starts.
    pub(crate) fn open_files(&mut self) {
        for file in std::mem::take(&mut self.files) {
            if let Err(error) = fs::File::open(&file.name) {
                let File { path, name, offset } = file;
                let what = format!("`{path}` names {name:?}, which can't be read: {error}");
                self.add(offset, what, "name a file that this process may read");
            }
        }
    }

    pub(crate) fn clean(&self) -> bool {
        self.findings.is_empty()
    }

    pub(crate) fn line(&self, offset: usize) -> usize {
        Place::at(self.file, self.text, offset).line
    }

    pub(crate) fn finish(mut self) -> Findings {
        self.findings.sort();
        self.findings.dedup();
        Findings(self.findings)
    }

    pub(crate) fn top(&mut self, value: &Ast<'_>, fields: &[Field]) -> Value {
        let Ast::Object(object) = value else {
            let what = format!("the settings are {}", name(value));
            self.add(value.start(), what, "write a JSON object");
            return Value::Null;
        };
        self.table(object, fields, "")
    }

    fn table(&mut self, object: &Object<'_>, fields: &[Field], path: &str) -> Value {
        let mut map = Map::new();
        for property in &object.properties {
            self.property(property, fields, path, &mut map);
        }
        for field in fields {
            if object.get(field.key).is_some() {
                continue;
            }
            match field.presence {
                Presence::Optional => {}
                Presence::Default(json) => {
                    let value = serde_json::from_str(json).unwrap_or(Value::Null);
                    map.insert(field.key.to_owned(), value);
                }
                Presence::Required => self.add(
                    object.start(),
                    format!("the key `{}` is missing", join(path, field.key)),
                    format!("add it: {} ({})", field.help, field.kind),
                ),
            }
        }
        Value::Object(map)
    }

    fn property(
        &mut self,
        property: &ObjectProp<'_>,
        fields: &[Field],
        path: &str,
        map: &mut Map<String, Value>,
    ) {
        let key = property.name.as_str();
        let full = join(path, key);
        let Some(field) = fields.iter().find(|field| field.key == key) else {
            let near = near::nearest(key, fields.iter().map(|field| field.key));
            let help = match near {
                Some(near) => format!("did you mean `{near}`?"),
                None => "remove it, or look it up in docs/configuration.md".to_owned(),
            };
            self.add(property.start(), format!("unknown key `{full}`"), help);
            return;
        };
        if map.contains_key(key) {
            let what = format!("the key `{full}` stands twice");
            self.add(property.start(), what, "remove one of the two");
            return;
        }
        let value = self.value(&property.value, &field.kind, &full);
        map.insert(key.to_owned(), value);
    }

    fn value(&mut self, value: &Ast<'_>, kind: &Kind, path: &str) -> Value {
        self.offsets.insert(path.to_owned(), value.start());
        match (kind, value) {
            (Kind::Flag, Ast::BooleanLit(flag)) => Value::Bool(flag.value),
            (Kind::Integer { min, max, .. }, Ast::NumberLit(number)) => {
                match number.value.parse::<u64>() {
                    Ok(count) if (*min..=*max).contains(&count) => Value::from(count),
                    _ => self.refuse(value, kind, path, number.value),
                }
            }
            (Kind::Number { min, max, .. }, Ast::NumberLit(number)) => {
                let parsed = number.value.parse::<f64>().ok();
                let allowed = parsed.filter(|float| (*min..=*max).contains(float));
                match allowed.and_then(Number::from_f64) {
                    Some(float) => Value::Number(float),
                    None => self.refuse(value, kind, path, number.value),
                }
            }
            (Kind::List { of, min, max }, Ast::Array(array)) => {
                self.list(array, of, *min..=*max, path)
            }
            (Kind::Table(fields), Ast::Object(object)) => self.table(object, fields, path),
            (_, Ast::StringLit(text)) => self.text(value, &text.value, kind, path),
            _ => self.wrong_type(value, kind, path),
        }
    }

    fn text(&mut self, value: &Ast<'_>, text: &str, kind: &Kind, path: &str) -> Value {
        let allowed = match kind {
            Kind::File => {
                self.files.push(File {
                    path: path.to_owned(),
                    name: text.to_owned(),
                    offset: value.start(),
                });
                !text.trim().is_empty()
            }
            Kind::Text => !text.trim().is_empty(),
            Kind::Choice(words) => words.contains(&text),
            Kind::Address(used) => {
                return self.address(value, text, *used, kind, path);
            }
            Kind::Secret { bytes } => {
                let fits =
                    text.len() == 2 * bytes && text.bytes().all(|byte| byte.is_ascii_hexdigit());
                if !fits {
                    let shown = format!("a text of {} characters", text.chars().count());
                    return self.refuse(value, kind, path, &shown);
                }
                true
            }
            _ => return self.wrong_type(value, kind, path),
        };
        if !allowed {
            return self.refuse(value, kind, path, &format!("{text:?}"));
        }
        Value::from(text)
    }

    fn address(
        &mut self,
        value: &Ast<'_>,
        text: &str,
        used: Use,
        kind: &Kind,
        path: &str,
    ) -> Value {
        let Ok(address) = text.parse::<SocketAddr>() else {
            return self.refuse(value, kind, path, &format!("{text:?}"));
        };
        if used != Use::Listen && address.port() == 0 {
            return self.refuse(value, kind, path, "an address without a port");
        }
        self.ports.push(Port {
            path: path.to_owned(),
            address,
            used,
            offset: value.start(),
        });
        Value::from(text)
    }

    fn list(
        &mut self,
        array: &Array<'_>,
        of: &Kind,
        allowed: std::ops::RangeInclusive<usize>,
        path: &str,
    ) -> Value {
        let count = array.elements.len();
        if !allowed.contains(&count) {
            let (min, max) = allowed.into_inner();
            self.add(
                array.range.start,
                format!("`{path}` has {count} entries"),
                format!("give {min} to {max} entries"),
            );
        }
        let entries = array.elements.iter().enumerate();
        entries
            .map(|(index, entry)| self.value(entry, of, &format!("{path}[{index}]")))
            .collect()
    }

    fn wrong_type(&mut self, value: &Ast<'_>, kind: &Kind, path: &str) -> Value {
        self.refuse(value, kind, path, name(value))
    }

    fn refuse(&mut self, value: &Ast<'_>, kind: &Kind, path: &str, given: &str) -> Value {
        self.add(
            value.start(),
            format!("`{path}` is {given}"),
            format!("give {kind}"),
        );
        Value::Null
    }
}

fn join(path: &str, key: &str) -> String {
    match path {
        "" => key.to_owned(),
        _ => format!("{path}.{key}"),
    }
}

fn name(value: &Ast<'_>) -> &'static str {
    match value {
        Ast::StringLit(_) => "a text",
        Ast::NumberLit(_) => "a number",
        Ast::BooleanLit(_) => "true or false",
        Ast::Object(_) => "an object",
        Ast::Array(_) => "a list",
        Ast::NullKeyword(_) => "null",
    }
}
