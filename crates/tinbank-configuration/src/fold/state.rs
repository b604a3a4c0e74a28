//! The rule by which changes are judged.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use tinbank_base::{
    digest::Digest,
    id,
    platform::{hosts::State as Use, log::Entry},
    record::{
        Envelope,
        config::{Kept, Object, Put, Recent, Record},
    },
};

use super::{
    verdict::{Judged, Verdict},
    window::{WINDOW, Window},
};
use crate::{
    check::{self, Findings},
    customer::Customer,
    drain::Leaving,
    finding::Finding,
    snapshot::{self, Snapshot},
    template::Template,
};

/// How many customers a finding names.
const NAMED: usize = 10;

/// All objects at one offset of the stream.
///
/// It depends on nothing but the entries before that offset, so all hosts that have read as far hold equal states. A
/// change of one customer touches only that customer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    next: id::Offset,
    objects: BTreeMap<Object, Held>,
    templates: BTreeMap<String, Arc<Template>>,
    users: BTreeMap<String, BTreeSet<id::Customer>>,
    customers: BTreeMap<id::Customer, Arc<snapshot::Customer>>,
    keys: HashMap<Digest, Arc<snapshot::Customer>>,
    leaving: Leaving,
    deleted: BTreeSet<Deleted>,
    window: Window,
}

/// An object deleted a short while ago, by age.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Deleted {
    revision: id::Revision,
    object: Object,
}

/// An object's newest revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// Its revision.
    pub revision: id::Revision,
    /// Its text; `None` for one deleted a short while ago.
    pub body: Option<Arc<str>>,
    /// Who made the revision.
    pub author: String,
}

impl State {
    /// Offset of the entry that comes next.
    pub fn next(&self) -> id::Offset {
        self.next
    }

    /// The newest revision of an object that exists.
    pub fn get(&self, object: &Object) -> Option<&Held> {
        self.objects.get(object).filter(|held| held.body.is_some())
    }

    /// All objects that exist.
    pub fn objects(&self) -> impl Iterator<Item = (&Object, &Held)> {
        self.objects.iter().filter(|(_, held)| held.body.is_some())
    }

    /// The configuration in force, for traffic threads. Customers are shared with the state, not copied.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            next: self.next,
            customers: self.customers.clone(),
            keys: self.keys.clone(),
            leaving: self.leaving.clone(),
        }
    }

    /// Applies the next entry and judges the changes in it. An entry that can't be decoded changes nothing; one that
    /// is not the next is ignored.
    pub fn apply(&mut self, entry: &Entry) -> Vec<Judged> {
        if entry.offset != self.next {
            return Vec::new();
        }
        self.next = entry.offset.saturating_add(1);
        self.window.advance(entry.offset);
        self.forget_deleted(entry.offset);
        let Ok(envelope) = Envelope::<Record>::decode(&entry.payload) else {
            return Vec::new();
        };
        if self.window.is_copy(envelope.writer, envelope.sequence) {
            return copies(entry.offset, envelope);
        }
        self.window
            .open(entry.offset, envelope.writer, envelope.sequence);
        puts(envelope)
            .map(|put| self.judge(put, entry.offset))
            .collect()
    }

    /// The objects of a checkpoint, in order.
    pub(super) fn kept(&self) -> impl Iterator<Item = Kept> + '_ {
        self.objects.iter().map(|(object, held)| Kept {
            object: object.clone(),
            revision: held.revision,
            body: held.body.as_deref().map(str::to_owned),
            author: held.author.clone(),
        })
    }

    /// The recent envelopes of a checkpoint, in order.
    pub(super) fn recent(&self) -> impl Iterator<Item = &Recent> {
        self.window.iter()
    }

    /// The state that a checkpoint holds.
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
                log::error!(object:%, finding:%; "object of a checkpoint can't be read by this build");
            }
            let held = Held {
                revision: kept.revision,
                body: kept.body.map(Arc::from),
                author: kept.author,
            };
            state.hold(object, held);
        }
        state
    }

    fn judge(&mut self, put: Put, offset: id::Offset) -> Judged {
        let verdict = self.verdict(&put, offset);
        if verdict != Verdict::Copy {
            self.window.add(put.change);
        }
        if matches!(verdict, Verdict::Accepted { .. }) {
            let held = Held {
                revision: offset,
                body: put.body.map(Arc::from),
                author: put.author.clone(),
            };
            self.hold(put.object.clone(), held);
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
        if self.window.has(put.change) {
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

    /// Puts an object in force, or changes nothing.
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
            match self.refill(user, &template, revision) {
                Ok(customer) => resolved.push(customer),
                Err(findings) => failed.push((user, findings)),
            }
        }
        if !failed.is_empty() {
            return Err(failed.into_iter().take(NAMED).map(broken).collect());
        }
        for (customer, keys) in resolved {
            self.install(customer, &keys);
        }
        self.templates.insert(name.to_owned(), template);
        Ok(())
    }

    /// A customer as it would be with another version of its template.
    fn refill(
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
            // The owner is not named: one customer's operator need not learn of another's keys.
            return Err(vec![check::field_finding(
                body,
                "key_sha256",
                "a key's digest belongs to another customer",
                "give each customer keys of its own",
            )]);
        }
        let template_object = Object::Template(customer.template.clone());
        let of_template = self.objects.get(&template_object);
        let newest = of_template.map_or(revision, |held| held.revision.max(revision));
        let resolved = check::resolve(name, &customer, body, template, newest)?;
        self.uninstall(name);
        let users = self.users.entry(customer.template.clone()).or_default();
        users.insert(name.to_owned());
        self.install(resolved, &customer);
        Ok(())
    }

    fn delete(&mut self, object: &Object) -> Result<(), Findings> {
        if self.get(object).is_none() {
            return Err(vec![Finding::whole(
                format!("{object} does not exist"),
                "there is nothing to delete",
            )]);
        }
        match object {
            Object::Customer(name) => self.uninstall(name),
            Object::Template(name) => {
                if let Some(users) = self.users.get(name) {
                    return Err(vec![in_use(name, users)]);
                }
                self.templates.remove(name);
            }
            Object::Host(_) | Object::Upstream(_) => self.leaving.set(object, Use::Live),
        }
        Ok(())
    }

    fn install(&mut self, resolved: snapshot::Customer, customer: &Customer) {
        let resolved = Arc::new(resolved);
        for key in &customer.keys {
            self.keys.insert(*key, resolved.clone());
        }
        self.customers.insert(resolved.name.clone(), resolved);
    }

    /// Takes a customer out of force. Its text says which keys and template were its own.
    fn uninstall(&mut self, name: &str) {
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

    fn hold(&mut self, object: Object, held: Held) {
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

    /// Deleted objects are remembered only as long as changes are, to say who deleted them.
    fn forget_deleted(&mut self, offset: id::Offset) {
        while let Some(oldest) = self.deleted.first()
            && oldest.revision.saturating_add(WINDOW) <= offset
        {
            self.objects.remove(&oldest.object);
            self.deleted.pop_first();
        }
    }
}

fn copies(offset: id::Offset, envelope: Envelope<Record>) -> Vec<Judged> {
    puts(envelope)
        .map(|put| Judged {
            offset,
            change: put.change,
            object: put.object,
            author: put.author,
            verdict: Verdict::Copy,
        })
        .collect()
}

fn puts(envelope: Envelope<Record>) -> impl Iterator<Item = Put> {
    envelope
        .records
        .into_iter()
        .filter_map(|record| match record {
            Record::Put(put) => Some(put),
            Record::Checkpoint { .. } => None,
        })
}

fn broken((customer, findings): (&id::Customer, Findings)) -> Finding {
    let first = findings.first().map(|finding| finding.message.as_str());
    Finding::whole(
        format!(
            "customer {customer} would not be valid: {}",
            first.unwrap_or("its text can't be read")
        ),
        "keep what its customers use, or change the customers first",
    )
}

fn in_use(name: &str, users: &BTreeSet<id::Customer>) -> Finding {
    let named: Vec<&str> = users.iter().take(NAMED).map(String::as_str).collect();
    let customers = users.len();
    Finding::whole(
        format!(
            "template {name} is used by {customers} customers: {}",
            named.join(", ")
        ),
        "delete them or move them to another template first",
    )
}
