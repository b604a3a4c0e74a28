//! Writes the reference of the settings from their schema, so that the page can't differ from the code.

use std::fmt;

use crate::schema::{Field, Kind, Presence, Use};

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Flag => f.write_str("true or false"),
            Self::Integer { min, max, unit } => {
                write!(f, "a whole number from {min} to {max}{}", suffix(unit))
            }
            Self::Number { min, max, unit } => {
                write!(f, "a number from {min} to {max}{}", suffix(unit))
            }
            Self::Text => f.write_str("a text that isn't empty"),
            Self::Choice(words) => write!(f, "one of {}", words.join(", ")),
            Self::Address(Use::Listen) => f.write_str("an IP address with a port to listen on"),
            Self::Address(_) => f.write_str("an IP address with a port, such as 10.0.0.1:7000"),
            Self::Secret { bytes } => write!(f, "{} hexadecimal digits", 2 * bytes),
            Self::File => f.write_str("the path of a file"),
            Self::List { of, min, max } => write!(f, "a list of {min} to {max}: {of}"),
            Self::Table(_) => f.write_str("an object"),
        }
    }
}

fn suffix(unit: &str) -> String {
    match unit {
        "" => String::new(),
        _ => format!(" {unit}"),
    }
}

/// A Markdown table of the keys, nested ones with their path.
pub fn table(fields: &[Field]) -> String {
    if fields.is_empty() {
        return "None.\n".to_owned();
    }
    let mut lines = vec![
        "| key | value | default | meaning |".to_owned(),
        "| --- | --- | --- | --- |".to_owned(),
    ];
    rows(fields, "", &mut lines);
    lines.push(String::new());
    lines.join("\n")
}

fn rows(fields: &[Field], prefix: &str, lines: &mut Vec<String>) {
    for field in fields {
        let presence = match field.presence {
            Presence::Required => "required".to_owned(),
            Presence::Optional => "none".to_owned(),
            Presence::Default(json) => format!("`{json}`"),
        };
        let Field {
            key, kind, help, ..
        } = field;
        lines.push(format!(
            "| `{prefix}{key}` | {kind} | {presence} | {help} |"
        ));
        match kind {
            Kind::Table(inner) => rows(inner, &format!("{prefix}{key}."), lines),
            Kind::List { of, .. } => {
                if let Kind::Table(inner) = of.as_ref() {
                    rows(inner, &format!("{prefix}{key}[]."), lines);
                }
            }
            _ => {}
        }
    }
}

/// The fields that a process has besides the common ones.
pub fn own(fields: Vec<Field>, common: &[Field]) -> Vec<Field> {
    let is_common = |field: &Field| common.iter().any(|common| common.key == field.key);
    let own = fields.into_iter().filter(|field| !is_common(field));
    own.collect()
}

/// Replaces the part of a page between `<!-- NAME -->` and `<!-- end -->` by freshly generated text.
///
/// Returns `None` when the page has no such part.
pub fn splice(page: &str, name: &str, generated: &str) -> Option<String> {
    let marker = format!("<!-- {name} -->\n");
    let start = page.find(&marker)? + marker.len();
    let end = start + page[start..].find("<!-- end -->")?;
    Some(format!("{}{generated}{}", &page[..start], &page[end..]))
}
