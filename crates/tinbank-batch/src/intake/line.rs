//! Incremental NDJSON parser with bounded memory. Pure: bytes in, items or a finding out.

use std::{borrow::Cow, collections::HashSet};

use bytes::{Bytes, BytesMut};
use serde::Deserialize;
use serde_json::value::RawValue;
use tinbank_base::{digest, record::work::Item};

use super::{Finding, Limits, finding::Kind};

/// One line of the body.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Line<'a> {
    #[serde(borrow)]
    custom_id: Cow<'a, str>,
    #[serde(borrow)]
    body: &'a RawValue,
    #[serde(default)]
    repeatable: Option<bool>,
}

/// An incremental parser of a job's body. It must not be used again after it returned a finding.
#[derive(Debug)]
pub struct Parser {
    limits: Limits,
    /// Whether items that do not set `repeatable` may run more than once.
    repeatable: bool,
    /// The received part of the current line.
    partial_line: BytesMut,
    /// Number of the current line, starting at 1.
    line: u64,
    bytes: u64,
    items: u32,
    /// 128-bit digest prefixes of the `custom_id`s, to bound memory.
    seen_ids: HashSet<u128>,
}

impl Parser {
    /// Creates a parser at the start of a body.
    pub fn new(limits: Limits, repeatable: bool) -> Self {
        Self {
            limits,
            repeatable,
            partial_line: BytesMut::new(),
            line: 1,
            bytes: 0,
            items: 0,
            seen_ids: HashSet::new(),
        }
    }

    /// Parses the next part of the body and appends the items of all completed lines to `items`.
    ///
    /// # Errors
    /// Returns the first validation error, with its line.
    pub fn push(&mut self, part: &[u8], items: &mut Vec<Item>) -> Result<(), Finding> {
        self.bytes += part.len() as u64;
        if self.bytes > self.limits.body_bytes {
            let limit = self.limits.body_bytes;
            return Err(self.finding(Kind::Bytes { limit }));
        }
        let mut pieces = part.split(|byte| *byte == b'\n');
        let last = pieces.next_back().unwrap_or_default();
        for piece in pieces {
            self.extend(piece)?;
            self.end_line(items)?;
        }
        self.extend(last)
    }

    /// Ends the body; its last line may lack a line feed. Returns the total number of items.
    ///
    /// # Errors
    /// Returns a validation error if the last line is invalid or the body has no items.
    pub fn finish(&mut self, items: &mut Vec<Item>) -> Result<u32, Finding> {
        self.end_line(items)?;
        if self.items == 0 {
            self.line = 1;
            return Err(self.finding(Kind::Empty));
        }
        Ok(self.items)
    }

    fn extend(&mut self, piece: &[u8]) -> Result<(), Finding> {
        let limit = self.limits.line_bytes;
        if self.partial_line.len() + piece.len() > limit {
            return Err(self.finding(Kind::LongLine { limit }));
        }
        self.partial_line.extend_from_slice(piece);
        Ok(())
    }

    fn end_line(&mut self, items: &mut Vec<Item>) -> Result<(), Finding> {
        let text = self.partial_line.split();
        if !text.trim_ascii().is_empty() {
            items.push(self.item(&text)?);
        }
        self.line += 1;
        Ok(())
    }

    fn item(&mut self, text: &[u8]) -> Result<Item, Finding> {
        let line: Line<'_> = serde_json::from_slice(text)
            .map_err(|error| self.finding(Kind::Malformed(describe(&error))))?;
        if !line.body.get().starts_with('{') {
            return Err(self.finding(Kind::Body));
        }
        self.check_id(&line.custom_id)?;
        if self.items == self.limits.items {
            let limit = self.limits.items;
            return Err(self.finding(Kind::Items { limit }));
        }
        self.items += 1;
        Ok(Item {
            custom_id: line.custom_id.into_owned(),
            body: Bytes::copy_from_slice(line.body.get().as_bytes()),
            repeatable: line.repeatable.unwrap_or(self.repeatable),
        })
    }

    fn check_id(&mut self, id: &str) -> Result<(), Finding> {
        let limit = self.limits.custom_id_bytes;
        if id.is_empty() {
            return Err(self.finding(Kind::EmptyId));
        }
        if id.len() > limit {
            let size = id.len();
            return Err(self.finding(Kind::LongId { size, limit }));
        }
        let name = digest::prefix(&digest::of(id.as_bytes()));
        if !self.seen_ids.insert(name) {
            return Err(self.finding(Kind::Duplicate(id.to_owned())));
        }
        Ok(())
    }

    fn finding(&self, kind: Kind) -> Finding {
        Finding {
            line: self.line,
            kind,
        }
    }
}

/// Formats the error with its column only: serde_json sees one line at a time, so its line number is always 1.
fn describe(error: &serde_json::Error) -> String {
    let text = error.to_string();
    let cut = text.rfind(" at line ").unwrap_or(text.len());
    format!("{} (column {})", &text[..cut], error.column())
}
