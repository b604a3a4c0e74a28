//! What a caller wants done, besides the items.

use std::{sync::Arc, time::SystemTime};

use tinbank_base::{
    digest::{self, Digest},
    id,
    outcome::{Code, Failure},
};
use tinbank_configuration::{
    snapshot::Customer,
    template::{Stream, Traffic},
};

/// Time until a job is due when neither the caller nor the stream says so.
const DEFAULT_DUE: std::time::Duration = std::time::Duration::from_secs(24 * 3_600);

/// A job as the caller ordered it.
#[derive(Clone, Debug)]
pub struct Order {
    /// Whose job it is.
    pub customer: Arc<Customer>,
    /// Which service runs it.
    pub service: id::Service,
    /// Whether items that don't say so may be repeated.
    pub repeatable: bool,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// When it is due.
    pub due: SystemTime,
    /// The due time as the caller gave it; a resend has to give the same.
    pub due_given: Option<String>,
    /// When it came.
    pub received: SystemTime,
    /// Size of the body in bytes, if the caller gave it.
    pub length: Option<u64>,
}

/// What a caller asks for, before it is checked.
#[derive(Clone, Debug, Default)]
pub struct Wish<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// When it is due, in the form of RFC 3339.
    pub due: Option<&'a str>,
    /// Name of the customer's stream.
    pub stream: Option<&'a str>,
    /// Whether items that don't say so may be repeated.
    pub repeatable: Option<bool>,
    /// The idempotency key.
    pub key: Option<&'a str>,
    /// Size of the body in bytes.
    pub length: Option<u64>,
}

impl Order {
    /// Checks a wish against the customer's configuration.
    ///
    /// # Errors
    /// An unknown service or stream, or a due time that can't be read.
    pub fn check(
        customer: Arc<Customer>,
        wish: &Wish<'_>,
        now: SystemTime,
    ) -> Result<Self, Failure> {
        let service = customer.services.get(wish.service).cloned();
        let Some(service) = service else {
            let message = format!("there is no service {:?}", wish.service);
            let known: Vec<&str> = customer.services.keys().map(String::as_str).collect();
            let help = format!("the services are: {}", known.join(", "));
            return Err(Failure::not_run(Code::NotFound, message).help(help));
        };
        let stream = wish
            .stream
            .map(|name| stream(&customer, name, wish.service))
            .transpose()?;
        let allowed = stream.and_then(|stream| stream.timeout);
        let due = match wish.due {
            Some(text) => parse_due(text)?,
            None => now + allowed.unwrap_or(DEFAULT_DUE),
        };
        Ok(Self {
            service: wish.service.to_owned(),
            repeatable: wish.repeatable.unwrap_or(service.repeatable),
            key: wish.key.map(str::to_owned),
            due,
            due_given: wish.due.map(str::to_owned),
            received: now,
            length: wish.length,
            customer,
        })
    }

    /// Digest of all that a resend has to repeat.
    pub fn digest(&self, body: &Digest) -> Digest {
        let due = self.due_given.as_deref().unwrap_or_default();
        let repeatable = [u8::from(self.repeatable)];
        digest::of_fields(&[
            self.service.as_bytes(),
            due.as_bytes(),
            &repeatable,
            body.as_slice(),
        ])
    }
}

fn stream<'a>(customer: &'a Customer, name: &str, service: &str) -> Result<&'a Stream, Failure> {
    let found = customer.streams.get(name);
    found
        .filter(|stream| stream.traffic == Traffic::Batch && stream.service == service)
        .ok_or_else(|| {
            let message = format!("there is no batch stream {name:?} of service {service:?}");
            Failure::not_run(Code::NotFound, message)
        })
}

fn parse_due(text: &str) -> Result<SystemTime, Failure> {
    let time = text.parse::<jiff::Timestamp>();
    time.map(SystemTime::from).map_err(|error| {
        Failure::not_run(Code::BadRequest, format!("`due` can't be read: {error}"))
            .help("give a time such as 2026-12-02T06:00:00Z")
    })
}
