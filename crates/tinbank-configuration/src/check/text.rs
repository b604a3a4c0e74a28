//! An operator's text with the positions of its fields.

use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::Value,
    common::{Range, Ranged},
    parse_to_ast,
};
use serde::de::DeserializeOwned;
use serde_path_to_error::Segment;

use super::Findings;
use crate::finding::Finding;

/// Sections that are checked separately from the rest of the text.
const SECTIONS: [&str; 3] = ["services", "streams", "limits"];

/// A parsed text.
#[derive(Debug)]
pub(super) struct Text<'a> {
    body: &'a str,
    value: Value<'a>,
}

impl<'a> Text<'a> {
    pub(super) fn parse(body: &'a str) -> Result<Self, Findings> {
        if body.len() > super::MAX_BODY {
            let message = format!("{} bytes are over the limit", body.len());
            let help = format!("keep it under {} bytes", super::MAX_BODY);
            return Err(vec![Finding::whole_text(message, help)]);
        }
        let parsed = parse_to_ast(body, &CollectOptions::default(), &parse_options());
        let value = parsed.map_err(|error| {
            let (line, column) = position(body, error.range().start);
            vec![Finding {
                line,
                column,
                ..Finding::whole_text(error.kind().to_string(), "correct the JSON here")
            }]
        })?;
        let object = value.value.filter(|value| value.as_object().is_some());
        let Some(value) = object else {
            let message = "the text is not a JSON object";
            return Err(vec![Finding::whole_text(message, "begin with '{'")]);
        };
        Ok(Self { body, value })
    }

    /// Creates a finding at a field, or at the innermost part of its path that exists in the text.
    pub(super) fn finding(&self, path: &[&str], message: &str, help: &str) -> Finding {
        let path: Vec<&str> = path
            .iter()
            .copied()
            .filter(|name| !name.is_empty())
            .collect();
        let mut range = self.value.range();
        let mut value = Some(&self.value);
        for name in &path {
            let object = value.and_then(Value::as_object);
            let Some(property) = object.and_then(|object| object.get(name)) else {
                break;
            };
            range = property.range;
            value = Some(&property.value);
        }
        self.finding_at(range, path.join("."), message, help)
    }

    /// Returns a finding for each field that is given twice. Deserialization would silently keep one of the two.
    pub(super) fn duplicates(&self) -> Findings {
        let mut findings = Vec::new();
        self.find_duplicates(&self.value, &mut Vec::new(), &mut findings);
        findings
    }

    /// Deserializes the whole text.
    pub(super) fn deserialize<T: DeserializeOwned>(&self) -> Result<T, Finding> {
        self.deserialize_value(&self.value, &[])
    }

    /// Deserializes each entry of a section separately, to find the mistakes in all of them.
    pub(super) fn check_section_entries<T: DeserializeOwned>(
        &self,
        section: &str,
        findings: &mut Findings,
    ) {
        let object = self.value.as_object();
        let entries = object.and_then(|object| object.get_object(section));
        for entry in entries.iter().flat_map(|entries| &entries.properties) {
            let path = [section, entry.name.as_str()];
            self.check_value::<T>(&entry.value, &path, findings);
        }
    }

    /// Deserializes a section separately.
    pub(super) fn check_section<T: DeserializeOwned>(
        &self,
        section: &str,
        findings: &mut Findings,
    ) {
        let object = self.value.as_object();
        if let Some(entry) = object.and_then(|object| object.get(section)) {
            self.check_value::<T>(&entry.value, &[section], findings);
        }
    }

    /// Returns whether a finding lies in a section that is checked separately.
    pub(super) fn is_in_section(&self, finding: &Finding) -> bool {
        let first = finding.field.split('.').next().unwrap_or_default();
        SECTIONS.contains(&first)
    }

    fn check_value<T: DeserializeOwned>(
        &self,
        value: &Value<'_>,
        path: &[&str],
        findings: &mut Findings,
    ) {
        if let Err(finding) = self.deserialize_value::<T>(value, path) {
            findings.push(finding);
        }
    }

    /// Deserializes the value at `path`.
    fn deserialize_value<T: DeserializeOwned>(
        &self,
        value: &Value<'_>,
        path: &[&str],
    ) -> Result<T, Finding> {
        let json = serde_json::Value::from(value.clone());
        serde_path_to_error::deserialize(json).map_err(|error| {
            let message = error.inner().to_string();
            let inside = error.path().iter().filter_map(|segment| match segment {
                Segment::Map { key } => Some(key.as_str()),
                _ => None,
            });
            let path: Vec<&str> = path.iter().copied().chain(inside).collect();
            self.finding(&path, &message, "see docs/configuration.md")
        })
    }

    fn find_duplicates(
        &self,
        value: &'a Value<'a>,
        path: &mut Vec<&'a str>,
        findings: &mut Findings,
    ) {
        let Some(object) = value.as_object() else {
            return;
        };
        for (index, property) in object.properties.iter().enumerate() {
            let name = property.name.as_str();
            path.push(name);
            let before = &object.properties[..index];
            if before.iter().any(|other| other.name.as_str() == name) {
                let field = path.join(".");
                let message = "the field is given twice";
                findings.push(self.finding_at(
                    property.range,
                    field,
                    message,
                    "remove one of them",
                ));
            }
            self.find_duplicates(&property.value, path, findings);
            path.pop();
        }
    }

    fn finding_at(&self, range: Range, field: String, message: &str, help: &str) -> Finding {
        let (line, column) = position(self.body, range.start);
        Finding {
            line,
            column,
            field,
            message: message.to_owned(),
            help: help.to_owned(),
        }
    }
}

/// Allows comments and trailing commas in JSON, but no other extension.
fn parse_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_loose_object_property_names: false,
        allow_trailing_commas: true,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

/// Returns the line and column of a byte offset, both from 1.
fn position(body: &str, byte: usize) -> (usize, usize) {
    let before = body.get(..byte).unwrap_or(body);
    let line = before.matches('\n').count() + 1;
    let start = before.rfind('\n').map_or(0, |newline| newline + 1);
    (line, before[start..].chars().count() + 1)
}
