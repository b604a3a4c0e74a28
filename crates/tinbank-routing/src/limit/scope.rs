//! What a limit is about, and the ids of limits on the wire. Pure.

use std::hash::Hasher as _;

use siphasher::sip::SipHasher13;
use tinbank_base::id;
use tinbank_configuration::limit::Online;

/// Which limit of a scope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LimitKind {
    /// Requests a second.
    Requests,
    /// Tokens a second.
    Tokens,
    /// Requests at once.
    Concurrency,
}

impl LimitKind {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::Requests, Self::Tokens, Self::Concurrency];

    /// The limit of this kind.
    pub fn of(self, limits: &Online) -> Option<u32> {
        match self {
            Self::Requests => limits.requests_per_second,
            Self::Tokens => limits.tokens_per_second,
            Self::Concurrency => limits.online_at_once,
        }
    }
}

/// What of a customer is limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Subject<'a> {
    /// All its online requests.
    Customer,
    /// Those to one of its services.
    Service(&'a str),
    /// Those of one of its streams.
    Stream(&'a str),
}

/// What kind of thing a scope is, for the refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The customer.
    Customer,
    /// A service.
    Service,
    /// A stream.
    Stream,
}

/// A customer, or one of its services or streams, with its limits. A request is in several.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scope {
    /// Its key, the same on all hosts.
    pub key: id::Limit,
    /// What it is.
    pub kind: Kind,
    /// Its limits.
    pub limits: Online,
}

/// Low bits of an id that tell the limits of one scope apart, which share a keeper and so a frame.
const WHICH_BITS: u32 = 2;

impl Scope {
    /// A scope of a customer.
    pub fn new(customer: &str, subject: Subject<'_>, limits: Online) -> Self {
        let (kind, name) = match subject {
            Subject::Customer => (Kind::Customer, ""),
            Subject::Service(name) => (Kind::Service, name),
            Subject::Stream(name) => (Kind::Stream, name),
        };
        let mut hasher = SipHasher13::new();
        hasher.write(customer.as_bytes());
        hasher.write_u8(0xff);
        hasher.write_u8(kind as u8);
        hasher.write(name.as_bytes());
        Self {
            key: hasher.finish() >> WHICH_BITS << WHICH_BITS,
            kind,
            limits,
        }
    }

    /// Whether it limits nothing.
    pub fn is_empty(&self) -> bool {
        self.limits == Online::default()
    }
}

/// The id of a limit of a scope.
pub fn limit(key: id::Limit, limit_kind: LimitKind) -> id::Limit {
    key | limit_kind as u64
}

/// The scope's key and the limit that an id names; `None` if it names none.
pub fn parts(limit: id::Limit) -> Option<(id::Limit, LimitKind)> {
    let limit_kind = LimitKind::ALL
        .into_iter()
        .find(|limit_kind| *limit_kind as u64 == limit - key(limit));
    Some((key(limit), limit_kind?))
}

/// The key of the scope that a limit belongs to.
pub fn key(limit: id::Limit) -> id::Limit {
    limit >> WHICH_BITS << WHICH_BITS
}
