//! How a settings struct declares its keys: type, unit, range, default and help in one place.

use serde::de::DeserializeOwned;

/// Settings that can be read from a file.
pub trait Schema: DeserializeOwned {
    /// The keys of the file's top level, those of flattened structs included.
    fn fields() -> Vec<Field>;

    /// What is wrong between settings that are each fine by themselves. It is asked once nothing else is found.
    ///
    /// A struct that flattens another one passes on what that one says.
    fn review(&self) -> Vec<Remark> {
        Vec::new()
    }
}

/// Something wrong between settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Remark {
    /// Path of the setting that the finding points at, such as `peer_keys[1].number`.
    pub path: String,
    /// What is wrong.
    pub what: String,
    /// What to do about it.
    pub help: String,
}

/// One key.
#[derive(Clone, Debug)]
pub struct Field {
    /// Its name in the file.
    pub key: &'static str,
    /// What values it takes.
    pub kind: Kind,
    /// Whether it has to be there.
    pub presence: Presence,
    /// What it is for, as a sentence for the operators' page.
    pub help: &'static str,
}

/// Whether a key has to be there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// A file without it is refused.
    Required,
    /// It may be left out, and then means that the feature is off.
    Optional,
    /// It may be left out; this JSON text is put in its place.
    Default(&'static str),
}

/// What values a key takes.
#[derive(Clone, Debug)]
pub enum Kind {
    /// `true` or `false`.
    Flag,
    /// A whole number.
    Integer {
        /// Smallest value allowed.
        min: u64,
        /// Largest value allowed.
        max: u64,
        /// What it counts, such as `ms` or `bytes`.
        unit: &'static str,
    },
    /// A number that may have a fraction.
    Number {
        /// Smallest value allowed.
        min: f64,
        /// Largest value allowed.
        max: f64,
        /// What it measures.
        unit: &'static str,
    },
    /// Any text that isn't empty.
    Text,
    /// One of a few words.
    Choice(&'static [&'static str]),
    /// An IP address with a port.
    Address(Use),
    /// Bytes as hexadecimal digits, not shown in findings.
    Secret {
        /// How many bytes.
        bytes: usize,
    },
    /// Path of a file that the process reads.
    File,
    /// A list.
    List {
        /// What it holds.
        of: Box<Kind>,
        /// Fewest entries allowed.
        min: usize,
        /// Most entries allowed.
        max: usize,
    },
    /// An object with keys of its own.
    Table(Vec<Field>),
}

/// What an address is for; decides whether a port is used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// The process listens there, so no other key may name it. Port 0 lets the system choose.
    Listen,
    /// Another process listens there.
    Connect,
    /// One of the system's own processes, maybe this one.
    Peer,
}

impl Field {
    /// A key that has to be there.
    pub fn required(key: &'static str, kind: Kind, help: &'static str) -> Self {
        Self {
            key,
            kind,
            presence: Presence::Required,
            help,
        }
    }

    /// A key that may be left out.
    pub fn optional(key: &'static str, kind: Kind, help: &'static str) -> Self {
        Self {
            presence: Presence::Optional,
            ..Self::required(key, kind, help)
        }
    }

    /// A key that may be left out for a default, given as JSON text.
    pub fn default(key: &'static str, kind: Kind, json: &'static str, help: &'static str) -> Self {
        Self {
            presence: Presence::Default(json),
            ..Self::required(key, kind, help)
        }
    }
}

impl Kind {
    /// A duration in whole milliseconds.
    pub fn millis(min: u64, max: u64) -> Self {
        Self::Integer {
            min,
            max,
            unit: "ms",
        }
    }

    /// A plain count.
    pub fn count(min: u64, max: u64) -> Self {
        Self::Integer { min, max, unit: "" }
    }
}
