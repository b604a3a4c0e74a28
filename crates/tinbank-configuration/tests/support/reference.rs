//! A reference implementation of the fold: it validates all objects again for each change.

use std::collections::{BTreeMap, BTreeSet};

use tinbank_base::{
    id,
    platform::log::Entry,
    record::{
        Envelope, Writer,
        config::{Object, Put, Record},
    },
};
use tinbank_configuration::{check, fold::Verdict};

/// A verdict without messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Accepted(id::Revision),
    Overtaken(Option<id::Revision>),
    Invalid,
    Copy,
}

impl From<&Verdict> for Kind {
    fn from(verdict: &Verdict) -> Self {
        match verdict {
            Verdict::Accepted { revision } => Self::Accepted(*revision),
            Verdict::Overtaken { current, .. } => Self::Overtaken(*current),
            Verdict::Invalid { .. } => Self::Invalid,
            Verdict::Copy => Self::Copy,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredObject {
    pub revision: id::Revision,
    pub body: String,
}

/// State of the reference implementation. It never forgets changes or sequence numbers.
#[derive(Clone, Debug, Default)]
pub struct Reference {
    pub objects: BTreeMap<Object, StoredObject>,
    changes: BTreeSet<u128>,
    sequences: BTreeMap<Writer, u64>,
}

impl Reference {
    pub fn apply(&mut self, entry: &Entry) -> Vec<Kind> {
        let Ok(envelope) = Envelope::<Record>::decode(&entry.payload) else {
            return Vec::new();
        };
        let last = self.sequences.entry(envelope.writer).or_default();
        let copy = envelope.sequence <= *last;
        *last = envelope.sequence.max(*last);
        let mut kinds = Vec::new();
        for record in &envelope.records {
            let Record::Put(put) = record else {
                continue;
            };
            let kind = if copy {
                Kind::Copy
            } else {
                self.judge(put, entry.offset)
            };
            kinds.push(kind);
        }
        kinds
    }

    fn judge(&mut self, put: &Put, offset: id::Offset) -> Kind {
        if !self.changes.insert(put.change) {
            return Kind::Copy;
        }
        let current = self.objects.get(&put.object).map(|kept| kept.revision);
        if current != put.base {
            return Kind::Overtaken(current);
        }
        let mut after = self.objects.clone();
        match &put.body {
            None if current.is_none() => return Kind::Invalid,
            None => {
                after.remove(&put.object);
            }
            Some(body) => {
                let kept = StoredObject {
                    revision: offset,
                    body: body.clone(),
                };
                after.insert(put.object.clone(), kept);
            }
        }
        if !valid(&after) {
            return Kind::Invalid;
        }
        self.objects = after;
        Kind::Accepted(offset)
    }
}

/// Returns whether all objects are valid together.
fn valid(objects: &BTreeMap<Object, StoredObject>) -> bool {
    let mut templates = BTreeMap::new();
    let mut keys = BTreeSet::new();
    for (object, kept) in objects {
        match object {
            Object::Template(name) => {
                let Ok(template) = check::template(&kept.body) else {
                    return false;
                };
                templates.insert(name.clone(), template);
            }
            Object::Customer(name) => {
                let Ok(customer) = check::customer(&kept.body) else {
                    return false;
                };
                let Some(template) = templates.get(&customer.template) else {
                    return false;
                };
                let fresh = customer.keys.iter().all(|key| keys.insert(*key));
                let resolved = check::resolve(name, &customer, &kept.body, template, 0);
                if !fresh || resolved.is_err() {
                    return false;
                }
            }
            Object::Host(_) | Object::Upstream(_) => {
                if check::drain(&kept.body).is_err() {
                    return false;
                }
            }
        }
    }
    true
}
