//! The rules by which changes are judged.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use tinbank_base::{
    digest::Digest,
    id,
    platform::{hosts::State as DrainState, log::Entry},
    record::{
        Envelope,
        config::{Kept, Object, Put, Recent, Record},
    },
};

use super::{
    verdict::{Judged, Verdict},
    window::{WINDOW_OFFSETS, Window},
};
use crate::{
    check::{self, Findings},
    customer::Customer,
    drain::Leaving,
    finding::Finding,
    snapshot::{self, Snapshot},
    template::Template,
};

/// Maximum number of customers that a finding names.
const MAX_NAMED_CUSTOMERS: usize = 10;

/// All objects at one offset of the stream.
///
/// The state depends only on the entries before that offset, so it is equal on all hosts that have read up to there.
/// Changing a customer does not affect the other customers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    next: id::Offset,
    objects: BTreeMap<Object, StoredObject>,
    templates: BTreeMap<String, Arc<Template>>,
    users: BTreeMap<String, BTreeSet<id::Customer>>,
    customers: BTreeMap<id::Customer, Arc<snapshot::Customer>>,
    keys: HashMap<Digest, Arc<snapshot::Customer>>,
    leaving: Leaving,
    deleted: BTreeSet<Deleted>,
    window: Window,
}

/// A recently deleted object, ordered by age.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Deleted {
    revision: id::Revision,
    object: Object,
}

/// The newest revision of an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredObject {
    /// Number of the revision.
    pub revision: id::Revision,
    /// Text of the object; `None` if it was recently deleted.
    pub body: Option<Arc<str>>,
    /// Author of the revision.
    pub author: String,
}

impl State {
    /// Returns the offset of the next entry.
    pub fn next(&self) -> id::Offset {
        self.next
    }

    /// Returns the newest revision of an object; `None` if it does not exist.
    pub fn get(&self, object: &Object) -> Option<&StoredObject> {
        self.objects.get(object).filter(|held| held.body.is_some())
    }

    /// Returns all objects that exist.
    pub fn objects(&self) -> impl Iterator<Item = (&Object, &StoredObject)> {
        self.objects.iter().filter(|(_, held)| held.body.is_some())
    }

    /// Returns the active configuration for traffic threads. Customers are shared with the state, not copied.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            next: self.next,
            customers: self.customers.clone(),
            keys: self.keys.clone(),
            leaving: self.leaving.clone(),
        }
    }

    /// Applies the next entry and judges the changes in it. Ignores an entry that is not the next one. An entry that
    /// cannot be decoded only advances the offset.
    pub fn apply(&mut self, entry: &Entry) -> Vec<Judged> {
        if entry.offset != self.next {
            return Vec::new();
        }
        self.next = entry.offset.saturating_add(1);
        self.window.advance(entry.offset);
        self.remove_old_deletions(entry.offset);
        let Ok(envelope) = Envelope::<Record>::decode(&entry.payload) else {
            return Vec::new();
        };
        if self.window.is_duplicate(envelope.writer, envelope.sequence) {
            return duplicate_verdicts(entry.offset, envelope);
        }
        self.window
            .record_envelope(entry.offset, envelope.writer, envelope.sequence);
        into_puts(envelope)
            .map(|put| self.judge(put, entry.offset))
            .collect()
    }

    /// Returns the objects for a checkpoint, in order.
    pub(super) fn kept(&self) -> impl Iterator<Item = Kept> + '_ {
        self.objects.iter().map(|(object, held)| Kept {
            object: object.clone(),
            revision: held.revision,
            body: held.body.as_deref().map(str::to_owned),
            author: held.author.clone(),
        })
    }

    /// Returns the recent envelopes for a checkpoint, in order.
    pub(super) fn recent(&self) -> impl Iterator<Item = &Recent> {
        self.window.iter()
    }

    /// Restores the state from the contents of a checkpoint.
    pub(super) fn restore(through: id::Offset, kept: Vec<Kept>, recent: Vec<Recent>) -> Self {
        let mut state = Self {
            next: through.saturating_add(1),
            window: recent.into_iter().collect(),
            ..Self::default()
        };
        // Templates sort before customers, so each customer finds its template.
        let sorted: BTreeMap<Object, Kept> = kept
            .into_iter()
            .map(|kept| (kept.object.clone(), kept))
            .collect();
        for (object, kept) in sorted {
            if let Some(body) = &kept.body
                && let Err(findings) = state.put(&object, body, kept.revision)
            {
                let finding = findings.first().map(ToString::to_string);
                let finding = finding.unwrap_or_default();
                log::error!(object:%, finding:%; "checkpoint contains an object that this build cannot read");
            }
            let held = StoredObject {
                revision: kept.revision,
                body: kept.body.map(Arc::from),
                author: kept.author,
            };
            state.store_revision(object, held);
        }
        state
    }

    fn judge(&mut self, put: Put, offset: id::Offset) -> Judged {
        let verdict = self.verdict(&put, offset);
        if verdict != Verdict::Copy {
            self.window.record_change(put.change);
        }
        if matches!(verdict, Verdict::Accepted { .. }) {
            let held = StoredObject {
                revision: offset,
                body: put.body.map(Arc::from),
                author: put.author.clone(),
            };
            self.store_revision(put.object.clone(), held);
        }
        Judged {
            offset,
            change: put.change,
            object: put.object,
            author: put.author,
            verdict,
        }
    }

    fn verdict(&mut self, put: &Put, offset: id::Offset) -> Verdict {
        if self.window.contains_change(put.change) {
            return Verdict::Copy;
        }
        let current = self.get(&put.object).map(|held| held.revision);
        if current != put.base {
            let held = self.objects.get(&put.object);
            let by = held.map(|held| held.author.clone());
            return Verdict::Overtaken { current, by };
        }
        let result = match &put.body {
            Some(body) => self.put(&put.object, body, offset),
            None => self.delete(&put.object),
        };
        match result {
            Ok(()) => Verdict::Accepted { revision: offset },
            Err(findings) => Verdict::Invalid { findings },
        }
    }

    /// Activates a new version of an object. Changes nothing if the text is invalid.
    fn put(&mut self, object: &Object, body: &str, revision: id::Revision) -> Result<(), Findings> {
        check::name(object)?;
        match object {
            Object::Template(name) => self.put_template(name, body, revision),
            Object::Customer(name) => self.put_customer(name, body, revision),
            Object::Host(_) | Object::Upstream(_) => {
                let drain = check::drain(body)?;
                self.leaving.set(object, drain.state);
                Ok(())
            }
        }
    }

    fn put_template(
        &mut self,
        name: &str,
        body: &str,
        revision: id::Revision,
    ) -> Result<(), Findings> {
        let template = Arc::new(check::template(body)?);
        let users = self.users.get(name).cloned().unwrap_or_default();
        let mut resolved = Vec::with_capacity(users.len());
        let mut failed = Vec::new();
        for user in &users {
            match self.merge_with_template(user, &template, revision) {
                Ok(customer) => resolved.push(customer),
                Err(findings) => failed.push((user, findings)),
            }
        }
        if !failed.is_empty() {
            return Err(failed
                .into_iter()
                .take(MAX_NAMED_CUSTOMERS)
                .map(invalid_customer_finding)
                .collect());
        }
        for (customer, keys) in resolved {
            self.activate_customer(customer, &keys);
        }
        self.templates.insert(name.to_owned(), template);
        Ok(())
    }

    /// Merges an existing customer with a new version of its template.
    fn merge_with_template(
        &self,
        name: &str,
        template: &Template,
        revision: id::Revision,
    ) -> Result<(snapshot::Customer, Customer), Findings> {
        let held = self.get(&Object::Customer(name.to_owned()));
        let body = held
            .and_then(|held| held.body.as_deref())
            .unwrap_or_default();
        let customer = check::customer(body)?;
        let revision = held.map_or(revision, |held| held.revision.max(revision));
        let resolved = check::resolve(name, &customer, body, template, revision)?;
        Ok((resolved, customer))
    }

    fn put_customer(
        &mut self,
        name: &str,
        body: &str,
        revision: id::Revision,
    ) -> Result<(), Findings> {
        let customer = check::customer(body)?;
        let Some(template) = self.templates.get(&customer.template) else {
            let message = format!("there is no template {:?}", customer.template);
            return Err(vec![check::field_finding(
                body,
                "template",
                &message,
                "publish the template first",
            )]);
        };
        let taken = customer.keys.iter().find_map(|key| {
            let owner = self.keys.get(key)?;
            (owner.name != name).then_some(owner)
        });
        if taken.is_some() {
            // The message does not name the owner, as an operator of one customer should not learn about another's keys.
            return Err(vec![check::field_finding(
                body,
                "key_sha256",
                "a key's digest belongs to another customer",
                "give each customer keys of its own",
            )]);
        }
        let template_object = Object::Template(customer.template.clone());
        let stored_template = self.objects.get(&template_object);
        let newest = stored_template.map_or(revision, |held| held.revision.max(revision));
        let resolved = check::resolve(name, &customer, body, template, newest)?;
        self.deactivate_customer(name);
        let users = self.users.entry(customer.template.clone()).or_default();
        users.insert(name.to_owned());
        self.activate_customer(resolved, &customer);
        Ok(())
    }

    fn delete(&mut self, object: &Object) -> Result<(), Findings> {
        if self.get(object).is_none() {
            return Err(vec![Finding::whole_text(
                format!("{object} does not exist"),
                "there is nothing to delete",
            )]);
        }
        match object {
            Object::Customer(name) => self.deactivate_customer(name),
            Object::Template(name) => {
                if let Some(users) = self.users.get(name) {
                    return Err(vec![template_in_use_finding(name, users)]);
                }
                self.templates.remove(name);
            }
            Object::Host(_) | Object::Upstream(_) => self.leaving.set(object, DrainState::Live),
        }
        Ok(())
    }

    fn activate_customer(&mut self, resolved: snapshot::Customer, customer: &Customer) {
        let resolved = Arc::new(resolved);
        for key in &customer.keys {
            self.keys.insert(*key, resolved.clone());
        }
        self.customers.insert(resolved.name.clone(), resolved);
    }

    /// Deactivates a customer. Its stored text names the keys and the template to remove it from.
    fn deactivate_customer(&mut self, name: &str) {
        self.customers.remove(name);
        let held = self.get(&Object::Customer(name.to_owned()));
        let body = held.and_then(|held| held.body.as_deref());
        let Some(Ok(customer)) = body.map(check::customer) else {
            return;
        };
        for key in &customer.keys {
            self.keys.remove(key);
        }
        if let Some(users) = self.users.get_mut(&customer.template) {
            users.remove(name);
            if users.is_empty() {
                self.users.remove(&customer.template);
            }
        }
    }

    fn store_revision(&mut self, object: Object, held: StoredObject) {
        let deleted = held.body.is_none();
        let revision = held.revision;
        if let Some(before) = self.objects.insert(object.clone(), held) {
            self.deleted.remove(&Deleted {
                revision: before.revision,
                object: object.clone(),
            });
        }
        if deleted {
            self.deleted.insert(Deleted { revision, object });
        }
    }

    /// Removes deleted objects that are older than the deduplication window. They are kept to name who deleted them.
    fn remove_old_deletions(&mut self, offset: id::Offset) {
        while let Some(oldest) = self.deleted.first()
            && oldest.revision.saturating_add(WINDOW_OFFSETS) <= offset
        {
            self.objects.remove(&oldest.object);
            self.deleted.pop_first();
        }
    }
}

fn duplicate_verdicts(offset: id::Offset, envelope: Envelope<Record>) -> Vec<Judged> {
    into_puts(envelope)
        .map(|put| Judged {
            offset,
            change: put.change,
            object: put.object,
            author: put.author,
            verdict: Verdict::Copy,
        })
        .collect()
}

fn into_puts(envelope: Envelope<Record>) -> impl Iterator<Item = Put> {
    envelope
        .records
        .into_iter()
        .filter_map(|record| match record {
            Record::Put(put) => Some(put),
            Record::Checkpoint { .. } => None,
        })
}

fn invalid_customer_finding((customer, findings): (&id::Customer, Findings)) -> Finding {
    let first = findings.first().map(|finding| finding.message.as_str());
    Finding::whole_text(
        format!(
            "customer {customer} would not be valid: {}",
            first.unwrap_or("its text can't be read")
        ),
        "keep what its customers use, or change the customers first",
    )
}

fn template_in_use_finding(name: &str, users: &BTreeSet<id::Customer>) -> Finding {
    let named: Vec<&str> = users
        .iter()
        .take(MAX_NAMED_CUSTOMERS)
        .map(String::as_str)
        .collect();
    let customers = users.len();
    Finding::whole_text(
        format!(
            "template {name} is used by {customers} customers: {}",
            named.join(", ")
        ),
        "delete them or move them to another template first",
    )
}
