//! Exit codes, which scripts rely on. They are explained in `docs/exit-codes.md`.

use std::fmt;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Exit {
    /// It did what was asked.
    Done,
    /// It failed; see the message.
    Failed,
    /// The arguments, the settings or a file are wrong; nothing was done.
    Input,
    /// A change was overtaken by another operator's; nothing was changed.
    Overtaken,
    /// What was named does not exist.
    Missing,
    /// Nobody could be reached, so nothing was done; repeat it later.
    Unreachable,
    /// The system refused it and did nothing; the message says whether and when to repeat it.
    Refused,
    /// It may have been done; the message says how to find out or repeat it safely.
    Unknown,
    /// It was done in part: some processes did not answer, or some items have failed.
    Partial,
}

impl Exit {
    /// All of them.
    pub const ALL: [Self; 9] = [
        Self::Done,
        Self::Failed,
        Self::Input,
        Self::Overtaken,
        Self::Missing,
        Self::Unreachable,
        Self::Refused,
        Self::Unknown,
        Self::Partial,
    ];

    /// The number that the process ends with.
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Input => 2,
            Self::Overtaken => 3,
            Self::Missing => 4,
            Self::Unreachable => 5,
            Self::Refused => 6,
            Self::Unknown => 7,
            Self::Partial => 8,
        }
    }
}

impl fmt::Display for Exit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Input => "input",
            Self::Overtaken => "overtaken",
            Self::Missing => "missing",
            Self::Unreachable => "unreachable",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
            Self::Partial => "partial",
        })
    }
}
