//! Events of the timeline. See `docs/design/timeline.md`.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

use crate::{clock::Stamp, id, outcome};

/// An event at a process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Time and causal order.
    pub stamp: Stamp,
    /// The process at which it happened.
    pub process: id::Process,
    #[serde(flatten)]
    pub subject: Subject,
    #[serde(flatten)]
    pub kind: Kind,
}

/// The subject of an event. Ids are written as they appear in URLs and headers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Subject {
    /// The online request or the attempt at an item.
    #[serde(with = "wide", skip_serializing_if = "Option::is_none")]
    pub request: Option<id::Request>,
    #[serde(with = "wide", skip_serializing_if = "Option::is_none")]
    pub job: Option<id::Job>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub item: Option<id::Item>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub upstream: Option<id::Upstream>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub shard: Option<id::Shard>,
    /// Another process involved.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub peer: Option<id::Process>,
}

/// Kind of an event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Kind {
    /// The process started.
    Started,
    /// The process is ready to serve.
    Ready,
    /// The process is leaving.
    Leaving,
    /// The process has finished its remaining work.
    Drained,
    /// A request or job was accepted.
    Accepted {
        customer: id::Customer,
        service: id::Service,
    },
    /// A request or job was refused or failed.
    Refused {
        code: outcome::Code,
        ran: outcome::Ran,
    },
    /// An upstream was chosen.
    Routed {
        /// Reason for the choice.
        reason: Cow<'static, str>,
    },
    /// The first token was forwarded to the caller.
    FirstToken,
    /// The work is sent again.
    Retried {
        /// Number of attempts so far.
        attempt: u16,
        reason: String,
    },
    /// A stream is resumed at another upstream.
    Resumed {
        /// Number of tokens that the caller already has.
        from: u32,
    },
    /// The complete answer was forwarded to the caller.
    Answered {
        /// Number of its tokens; 0 for plain services.
        tokens: u32,
    },
    /// The caller disconnected or cancelled.
    Cancelled,
    /// A job was committed: its head is durable and valid.
    Committed {
        /// Number of items.
        items: id::Item,
    },
    /// An item has ended.
    Completed {
        /// Whether it was answered.
        answered: bool,
        /// Number of times it was sent.
        attempts: u16,
    },
    /// A batch item was removed from an engine in favor of online requests.
    Preempted,
    /// Batch credits for an engine changed.
    Credits { credits: u16 },
    /// A lease was taken.
    LeaseTaken { epoch: id::Epoch },
    /// A lease was released.
    LeaseReleased { epoch: id::Epoch },
    /// A lease was lost to another process.
    LeaseLost {
        /// Term of the other process.
        epoch: id::Epoch,
    },
    /// The configuration was applied.
    Configured {
        /// End offset (exclusive) of the applied configuration stream.
        config: id::Offset,
    },
    /// A peer is suspected to have failed.
    Suspected,
    /// A peer is considered dead.
    Died,
    /// A peer joined or responds again.
    Joined,
    /// A peer announced that it is leaving.
    PeerLeaving,
    /// An upstream gets no more work because it is leaving.
    UpstreamLeaving,
    /// An upstream temporarily gets no work because it failed.
    Ejected,
    /// An ejected upstream gets work again.
    Returned,
    /// An order was sent to an engine.
    Ordered { fence: id::Fence },
    /// The platform's log is unreachable.
    LogLost,
    /// The platform's log is reachable again.
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
