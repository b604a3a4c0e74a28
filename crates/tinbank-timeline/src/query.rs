//! Which events of a time line are wanted.

use std::{fmt, time::SystemTime};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tinbank_base::{
    clock::{self, Stamp},
    event::Event,
    id,
};

/// Counts the events of one start of a process, from 0.
pub type Cursor = u64;

/// Most events in one page, so that an answer stays small beside the traffic.
pub const MAX_EVENTS: usize = 10_000;

/// What is wanted; the default wants everything.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Query {
    /// Only events from this cursor on.
    pub from: Cursor,
    /// Only events at or after this time.
    pub since: Option<SystemTime>,
    /// Only events of this request.
    pub request: Option<id::Request>,
    /// Only events of this job.
    pub job: Option<id::Job>,
    /// Only events of this item of the job, and those of the job as a whole.
    pub item: Option<id::Item>,
    /// Only events at this host's processes or about them.
    pub host: Option<id::Host>,
    /// At most so many events; [`MAX_EVENTS`] when absent or larger.
    pub limit: Option<usize>,
}

impl Query {
    /// Whether an event is wanted, apart from its cursor.
    pub fn matches(&self, event: &Event) -> bool {
        self.matches_time(event.stamp) && self.matches_work(event) && self.matches_host(event)
    }

    /// How many events a page may hold.
    pub fn limit(&self) -> usize {
        self.limit.unwrap_or(MAX_EVENTS).clamp(1, MAX_EVENTS)
    }

    fn matches_time(&self, stamp: Stamp) -> bool {
        self.since
            .is_none_or(|since| stamp.micros >= clock::micros(since))
    }

    fn matches_work(&self, event: &Event) -> bool {
        let subject = &event.subject;
        let request = self.request.is_none() || subject.request == self.request;
        let job = self.job.is_none() || subject.job == self.job;
        let item = self.item.is_none() || subject.item.is_none() || subject.item == self.item;
        request && job && item
    }

    fn matches_host(&self, event: &Event) -> bool {
        let Some(host) = self.host else {
            return true;
        };
        let peer = event.subject.peer.is_some_and(|peer| peer.host == host);
        peer || event.process.host == host
    }
}

/// A query the way it stands in a URL.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Parameters {
    /// Cursor to read from, as `next` of an earlier page gave it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub from: Option<Cursor>,
    /// Microseconds since 1970; only events at or after it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub since_us: Option<u64>,
    /// Id of a request: 32 hexadecimal digits.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// Id of a job: 32 hexadecimal digits.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub job: Option<String>,
    /// Index of an item within the job, from 0.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub item: Option<id::Item>,
    /// Number of a host.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub host: Option<id::Host>,
    /// Most events wanted.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<usize>,
}

/// A parameter that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An id is malformed.
    #[error("`{name}` is `{value}`: expected 32 hexadecimal digits")]
    Id {
        /// Name of the parameter.
        name: &'static str,
        /// What was given.
        value: String,
    },
    /// An item without its job means nothing.
    #[error("`item` needs `job` beside it")]
    ItemWithoutJob,
}

impl TryFrom<Parameters> for Query {
    type Error = Error;

    fn try_from(parameters: Parameters) -> Result<Self, Error> {
        if parameters.item.is_some() && parameters.job.is_none() {
            return Err(Error::ItemWithoutJob);
        }
        Ok(Self {
            from: parameters.from.unwrap_or_default(),
            since: parameters.since_us.map(|micros| {
                let stamp = Stamp { micros, counter: 0 };
                stamp.time()
            }),
            request: wide("request", parameters.request)?,
            job: wide("job", parameters.job)?,
            item: parameters.item,
            host: parameters.host,
            limit: parameters.limit,
        })
    }
}

impl From<&Query> for Parameters {
    fn from(query: &Query) -> Self {
        Self {
            from: (query.from > 0).then_some(query.from),
            since_us: query.since.map(clock::micros),
            request: query.request.map(id::format_wide),
            job: query.job.map(id::format_wide),
            item: query.item,
            host: query.host,
            limit: query.limit,
        }
    }
}

/// Writes the part of a URL after the question mark.
impl fmt::Display for Parameters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let numbers = [
            ("from", self.from),
            ("since_us", self.since_us),
            ("item", self.item.map(u64::from)),
            ("host", self.host.map(u64::from)),
            ("limit", self.limit.map(|limit| limit as u64)),
        ];
        let texts = [("request", &self.request), ("job", &self.job)];
        let mut separator = "";
        for (name, value) in numbers {
            if let Some(value) = value {
                write!(f, "{separator}{name}={value}")?;
                separator = "&";
            }
        }
        for (name, value) in texts {
            if let Some(value) = value {
                write!(f, "{separator}{name}={value}")?;
                separator = "&";
            }
        }
        Ok(())
    }
}

fn wide(name: &'static str, text: Option<String>) -> Result<Option<u128>, Error> {
    let Some(value) = text else {
        return Ok(None);
    };
    match id::parse_wide(&value) {
        Some(id) => Ok(Some(id)),
        None => Err(Error::Id { name, value }),
    }
}
