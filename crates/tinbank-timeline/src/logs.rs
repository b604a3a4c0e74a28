//! Log lines of several hosts as one time line, to explain a failure afterwards from nothing but logs.
//!
//! A lost host has no ring to ask any more, but its lines were collected. See `docs/OPERATIONS.md`.

use std::time::{Duration, SystemTime};

use serde::Serialize;
use serde_with::{TimestampMilliSeconds, serde_as};

/// A key and its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Pair {
    /// The key.
    pub key: String,
    /// The value, without quotes.
    pub value: String,
}

/// One line of a host's log.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Line {
    /// When it was written, by the clock of its host.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    #[serde(rename = "at_ms")]
    pub at: SystemTime,
    /// The host.
    pub host: String,
    /// Its level.
    pub level: String,
    /// What happened.
    pub event: String,
    /// What it happened to, and what decided it.
    pub pairs: Vec<Pair>,
}

/// A line that is none of ours.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// A pair has no `=`, or a quote is not closed.
    #[error("not made of key=value pairs")]
    Pairs,
    /// There is no time in milliseconds since 1970.
    #[error("has no time `t`")]
    Time,
    /// There is no event.
    #[error("has no `event`")]
    Event,
}

/// Keys that name a request, a job or an item. A line without any tells what its host believes.
const SUBJECTS: [&str; 3] = ["request", "job", "item"];

impl Line {
    /// Reads a line of a host.
    pub fn parse(host: &str, text: &str) -> Result<Self, Malformed> {
        let mut line = Self {
            at: SystemTime::UNIX_EPOCH,
            host: host.to_owned(),
            level: String::new(),
            event: String::new(),
            pairs: pairs(text)?,
        };
        let time = line.take("t").ok_or(Malformed::Time)?;
        let time: u64 = time.parse().map_err(|_| Malformed::Time)?;
        line.at += Duration::from_millis(time);
        line.level = line.take("level").unwrap_or_default();
        line.event = line.take("event").ok_or(Malformed::Event)?;
        Ok(line)
    }

    /// The value of a key.
    pub fn value(&self, key: &str) -> Option<&str> {
        let pair = self.pairs.iter().find(|pair| pair.key == key)?;
        Some(&pair.value)
    }

    /// True if it tells what the host believes, and of no request, job or item.
    pub fn is_belief(&self) -> bool {
        SUBJECTS.iter().all(|key| self.value(key).is_none())
    }

    fn take(&mut self, key: &str) -> Option<String> {
        let index = self.pairs.iter().position(|pair| pair.key == key)?;
        Some(self.pairs.remove(index).value)
    }
}

/// What a time line is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Subject {
    /// Name of a request, job, upstream or host.
    pub id: String,
    /// Only this item of the job.
    pub item: Option<String>,
    /// Besides, what the hosts concerned came to believe this long before and after.
    pub around: Duration,
}

impl Subject {
    fn is_in(&self, line: &Line) -> bool {
        let named = line.host == self.id || line.pairs.iter().any(|pair| pair.value == self.id);
        let item = self.item.as_deref();
        named && item.is_none_or(|item| line.value("item") == Some(item))
    }
}

/// The lines of all hosts in the order of their times; those of one host stay in theirs.
pub fn merge(mut lines: Vec<Line>) -> Vec<Line> {
    lines.sort_by_key(|line| line.at);
    lines
}

/// The lines about a subject, and what their hosts came to believe around them.
pub fn select(lines: Vec<Line>, subject: &Subject) -> Vec<Line> {
    let found: Vec<(String, SystemTime)> = lines
        .iter()
        .filter(|line| subject.is_in(line))
        .map(|line| (line.host.clone(), line.at))
        .collect();
    let is_near = |line: &Line| {
        let mut same_host = found.iter().filter(|(host, _)| *host == line.host);
        same_host.any(|(_, at)| apart(*at, line.at) <= subject.around)
    };
    let wanted = |line: &Line| {
        subject.is_in(line) || (!subject.around.is_zero() && line.is_belief() && is_near(line))
    };
    lines.into_iter().filter(|line| wanted(line)).collect()
}

fn apart(a: SystemTime, b: SystemTime) -> Duration {
    a.duration_since(b).unwrap_or_else(|error| error.duration())
}

/// The pairs of a line. Values with blanks are quoted and escaped, as Rust writes text.
fn pairs(text: &str) -> Result<Vec<Pair>, Malformed> {
    let mut rest = text.trim();
    let mut pairs = Vec::new();
    while !rest.is_empty() {
        let (key, after) = rest.split_once('=').ok_or(Malformed::Pairs)?;
        if key.is_empty() || key.contains(char::is_whitespace) {
            return Err(Malformed::Pairs);
        }
        let (value, after) = value(after)?;
        pairs.push(Pair {
            key: key.to_owned(),
            value,
        });
        rest = after.trim_start();
    }
    Ok(pairs)
}

/// A value and what follows it.
fn value(text: &str) -> Result<(String, &str), Malformed> {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(char::is_whitespace).unwrap_or(text.len());
        return Ok((text[..end].to_owned(), &text[end..]));
    };
    let mut value = String::new();
    let mut signs = quoted.char_indices();
    while let Some((at, sign)) = signs.next() {
        match sign {
            '"' => return Ok((value, &quoted[at + 1..])),
            '\\' => match signs.next() {
                Some((_, 'n')) => value.push('\n'),
                Some((_, 't')) => value.push('\t'),
                Some((_, 'r')) => value.push('\r'),
                Some((_, escaped)) => value.push(escaped),
                None => return Err(Malformed::Pairs),
            },
            plain => value.push(plain),
        }
    }
    Err(Malformed::Pairs)
}
