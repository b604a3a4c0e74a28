//! Decides at which build a stream goes on.

use std::time::{Instant, SystemTime};

use smallvec::SmallVec;
use tinbank_base::id;

use crate::{Answer, History, Origin};

/// Where a stream goes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// At upstreams of this origin.
    At(Origin, Source),
    /// At upstreams of this build of any of the services, the only build that can have begun it.
    Build(id::Build),
    /// Nowhere: the request is refused and does not run.
    Refused(Refusal),
}

impl Choice {
    /// Returns the label for logs and metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::At(_, Source::Own) => "own",
            Self::At(_, Source::Peer) => "peer",
            Self::Build(_) => "sole_build",
            Self::Refused(why) => why.label(),
        }
    }
}

/// Who knew the origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// This host.
    Own,
    /// Another host.
    Peer,
}

/// Why it is not known at which build a stream goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Hosts know two different origins.
    Conflicting,
    /// No host remembers the stream, and several builds may have begun it.
    Forgotten,
    /// No host remembers the stream, and what this host has read is too old to rule out other builds.
    ListOutdated,
    /// Hosts that may remember the stream did not answer.
    NoAnswer,
}

impl Refusal {
    /// Returns whether the origin may be known a moment later.
    pub fn is_temporary(self) -> bool {
        matches!(self, Self::ListOutdated | Self::NoAnswer)
    }

    fn label(self) -> &'static str {
        match self {
            Self::Conflicting => "conflicting",
            Self::Forgotten => "forgotten",
            Self::ListOutdated => "list_outdated",
            Self::NoAnswer => "no_answer",
        }
    }
}

/// What the other hosts answered that may remember a stream; `None` for each that did not.
pub type Answers = SmallVec<[Option<Answer>; 8]>;

/// What this host knows of the builds that serve.
///
/// That a list lacks a build says something of a stream only if the list was read after the stream began. Streams begin at builds
/// that the store names, and their callers come back after that, so a read that is requested after a caller has come shows each build
/// that may have begun its stream, however slow or cut off this host was before.
#[derive(Clone, Copy, Debug)]
pub struct Evidence<'a> {
    /// Services of the route; `None` if the configuration may be outdated.
    pub services: Option<&'a [&'a str]>,
    /// Builds of these services in this host's list of upstreams.
    pub listed: &'a [id::Build],
    /// Builds that have served; `None` if they were not read yet.
    pub history: Option<&'a History>,
    /// When the latest read of the store was requested whose answer `history` holds in full.
    pub read_requested_at: Option<Instant>,
    /// When the caller came.
    pub arrived_at: Instant,
    /// The time of day at which the caller came.
    pub arrived_at_wall: SystemTime,
}

impl Evidence<'_> {
    /// Decides where a stream goes on that this host does not know, by the answers of other hosts.
    pub fn choose(&self, answers: &Answers) -> Choice {
        let known = answers.iter().flatten().find(|it| **it != Answer::Unknown);
        match known {
            Some(Answer::Known(origin)) => Choice::At(origin.clone(), Source::Peer),
            Some(_) => Choice::Refused(Refusal::Conflicting),
            None => self.choose_sole(answers),
        }
    }

    /// Decides where a stream goes on that no host knows.
    fn choose_sole(&self, answers: &Answers) -> Choice {
        let (Some(services), Some(history)) = (self.services, self.history) else {
            return Choice::Refused(Refusal::ListOutdated);
        };
        let Some(build) = history.sole_build(services, self.arrived_at_wall) else {
            let may_be_known = answers.iter().any(Option::is_none);
            return Choice::Refused(match may_be_known {
                true => Refusal::NoAnswer,
                false => Refusal::Forgotten,
            });
        };
        if self.listed.iter().any(|it| it != build) {
            return Choice::Refused(Refusal::Forgotten);
        }
        match self
            .read_requested_at
            .is_some_and(|at| at >= self.arrived_at)
        {
            true => Choice::Build(build.clone()),
            false => Choice::Refused(Refusal::ListOutdated),
        }
    }
}
