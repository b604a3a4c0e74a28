//! Typed events of the time line. See `docs/design/timeline.md`.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

use crate::{clock::Stamp, id, outcome};

/// One event at one process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// When, in causal order.
    pub stamp: Stamp,
    /// Where.
    pub process: id::Process,
    /// What it is about.
    #[serde(flatten)]
    pub subject: Subject,
    /// What happened.
    #[serde(flatten)]
    pub kind: Kind,
}

/// What an event is about. Ids are written the way they appear in URLs and headers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Subject {
    /// The online request or the attempt of an item.
    #[serde(with = "wide", skip_serializing_if = "Option::is_none")]
    pub request: Option<id::Request>,
    /// The batch job.
    #[serde(with = "wide", skip_serializing_if = "Option::is_none")]
    pub job: Option<id::Job>,
    /// The item of the job.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub item: Option<id::Item>,
    /// The upstream.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub upstream: Option<id::Upstream>,
    /// The work shard.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub shard: Option<id::Shard>,
    /// Another process.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub peer: Option<id::Process>,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Kind {
    /// The process started.
    Started,
    /// The process is ready to serve.
    Ready,
    /// The process is leaving.
    Leaving,
    /// The process has finished what it had.
    Drained,
    /// A request or job was accepted.
    Accepted {
        /// Whose.
        customer: id::Customer,
        /// For which service.
        service: id::Service,
    },
    /// A request or job was refused or failed.
    Refused {
        /// Why.
        code: outcome::Code,
        /// Whether it ran.
        ran: outcome::Ran,
    },
    /// An upstream was chosen.
    Routed {
        /// Why this one.
        reason: Cow<'static, str>,
    },
    /// The first token was passed on.
    FirstToken,
    /// The work is sent again.
    Retried {
        /// How often it has been sent by now.
        attempt: u16,
        /// Why.
        reason: String,
    },
    /// A stream goes on at another upstream.
    Resumed {
        /// Tokens that the caller has.
        from: u32,
    },
    /// The whole answer was passed on.
    Answered {
        /// Tokens in it; 0 for plain services.
        tokens: u32,
    },
    /// The caller went away or cancelled.
    Cancelled,
    /// A job's head is durable and counts.
    Committed {
        /// How many items it has.
        items: id::Item,
    },
    /// An item has ended.
    Completed {
        /// Whether it has an answer.
        answered: bool,
        /// How many times it was sent.
        attempts: u16,
    },
    /// A batch item was taken off an engine for the sake of online requests.
    Preempted,
    /// Batch credits for an engine changed.
    Credits {
        /// How many there are now.
        credits: u16,
    },
    /// A lease was taken.
    LeaseTaken {
        /// Its term.
        epoch: id::Epoch,
    },
    /// A lease was given back.
    LeaseReleased {
        /// Its term.
        epoch: id::Epoch,
    },
    /// A lease was lost to another process.
    LeaseLost {
        /// The other's term.
        epoch: id::Epoch,
    },
    /// The configuration up to before an offset is in force.
    Configured {
        /// The offset.
        config: id::Offset,
    },
    /// A peer is suspected.
    Suspected,
    /// A peer is held for dead.
    Died,
    /// A peer was heard of (again).
    Joined,
    /// A peer said that it leaves.
    PeerLeaving,
    /// An upstream is no longer given work.
    UpstreamLeaving,
    /// An upstream is not given work for a while, for it failed.
    Ejected,
    /// An ejected upstream is given work again.
    Returned,
    /// An order was given to an engine.
    Ordered {
        /// Its fencing number.
        fence: id::Fence,
    },
    /// The platform's log can't be reached.
    LogLost,
    /// The platform's log can be reached again.
    LogBack,
}

mod wide {
    use serde::{Deserialize as _, Deserializer, Serializer, de::Error as _};

    use crate::id;

    pub(super) fn serialize<S: Serializer>(id: &Option<u128>, to: S) -> Result<S::Ok, S::Error> {
        match id {
            Some(id) => to.serialize_str(&id::format_wide(*id)),
            None => to.serialize_none(),
        }
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        from: D,
    ) -> Result<Option<u128>, D::Error> {
        let text = Option::<String>::deserialize(from)?;
        text.map(|text| {
            id::parse_wide(&text).ok_or_else(|| D::Error::custom("expected 32 hexadecimal digits"))
        })
        .transpose()
    }
}
