//! Decides at which build a stream goes on.

use std::time::{Duration, SystemTime};

use smallvec::SmallVec;
use tinbank_base::id;

use crate::{Answer, History, Origin};

/// Age of the list of upstreams up to which it rules out builds that it does not have. A build that appears later has to become known
/// to another host, begin a stream and lose its caller to this host.
pub const MAX_LIST_AGE: Duration = Duration::from_millis(1_500);

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
    /// No host remembers the stream, and this host's list of upstreams is too old to rule out other builds.
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
#[derive(Clone, Copy, Debug)]
pub struct Evidence<'a> {
    /// Services of the route.
    pub services: &'a [&'a str],
    /// Builds of these services in this host's list of upstreams.
    pub listed: &'a [id::Build],
    /// Age of that list.
    pub list_age: Option<Duration>,
    /// Builds that have served; `None` if they were not read yet.
    pub history: Option<&'a History>,
    /// The time of day.
    pub now: SystemTime,
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
        let Some(history) = self.history else {
            return Choice::Refused(Refusal::ListOutdated);
        };
        let Some(build) = history.sole_build(self.services, self.now) else {
            let may_be_known = answers.iter().any(Option::is_none);
            return Choice::Refused(match may_be_known {
                true => Refusal::NoAnswer,
                false => Refusal::Forgotten,
            });
        };
        if self.list_age.is_none_or(|age| age > MAX_LIST_AGE) {
            return Choice::Refused(Refusal::ListOutdated);
        }
        match self.listed.iter().all(|it| it == build) {
            true => Choice::Build(build.clone()),
            false => Choice::Refused(Refusal::Forgotten),
        }
    }
}
