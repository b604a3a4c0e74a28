//! What a fold needs to drop copies of envelopes.

use std::collections::BTreeMap;

use smallvec::SmallVec;
use tinbank_base::{id, record::Writer};

/// How many starts of a process are remembered. A copy comes within seconds of its original, and a process does not
/// start five times meanwhile.
const STARTS: usize = 4;

/// Remembers the last sequence of each writer, for one stream.
///
/// A writer sends one envelope of a stream at a time and numbers them upwards. So a number at or below the last one
/// is either a copy, or an envelope that its writer had given up before it wrote a later one: neither counts.
/// Of each process the last few starts are remembered, in the order in which they appeared in the stream. Their
/// numbers are not compared, since a host's clock may have gone back between two starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Dedupe {
    last: BTreeMap<id::Process, SmallVec<[Last; 1]>>,
}

/// The newest envelope seen of one start of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Last {
    incarnation: id::Incarnation,
    sequence: u64,
}

impl Dedupe {
    /// Takes note of an envelope in offset order and tells whether it counts.
    pub fn admit(&mut self, writer: Writer, sequence: u64) -> bool {
        let starts = self.last.entry(writer.process).or_default();
        let known = starts
            .iter_mut()
            .find(|last| last.incarnation == writer.incarnation);
        if let Some(last) = known {
            let newer = sequence > last.sequence;
            last.sequence = last.sequence.max(sequence);
            return newer;
        }
        if starts.len() == STARTS {
            starts.remove(0);
        }
        starts.push(Last {
            incarnation: writer.incarnation,
            sequence,
        });
        true
    }

    /// What is remembered, for a checkpoint; collecting it again gives an equal value.
    pub fn iter(&self) -> impl Iterator<Item = (Writer, u64)> + '_ {
        self.last.iter().flat_map(|(process, starts)| {
            starts.iter().map(|last| {
                let writer = Writer {
                    process: *process,
                    incarnation: last.incarnation,
                };
                (writer, last.sequence)
            })
        })
    }
}

impl FromIterator<(Writer, u64)> for Dedupe {
    fn from_iter<I: IntoIterator<Item = (Writer, u64)>>(remembered: I) -> Self {
        let mut dedupe = Self::default();
        for (writer, sequence) in remembered {
            dedupe.admit(writer, sequence);
        }
        dedupe
    }
}
