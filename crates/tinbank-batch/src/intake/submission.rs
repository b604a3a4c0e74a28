//! Parameters of a submitted job, besides its items.

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

/// Time until a job is due if neither the caller nor the stream sets one.
const DEFAULT_DUE: std::time::Duration = std::time::Duration::from_secs(24 * 3_600);

/// The validated parameters of a submitted job.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The customer that owns the job.
    pub customer: Arc<Customer>,
    /// The service that runs the items.
    pub service: id::Service,
    /// Whether items that do not set `repeatable` may run more than once.
    pub repeatable: bool,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// When the job is due.
    pub due: SystemTime,
    /// The due time as sent by the caller; a resend has to repeat it.
    pub requested_due: Option<String>,
    /// When the request was received.
    pub received: SystemTime,
    /// Size of the body in bytes, if the caller sent it.
    pub length: Option<u64>,
}

/// The parameters of a job as the caller sent them, before validation.
#[derive(Clone, Debug, Default)]
pub struct SubmitOptions<'a> {
    /// Name of the service that runs the items.
    pub service: &'a str,
    /// When the job is due, as an RFC 3339 timestamp.
    pub due: Option<&'a str>,
    /// Name of the customer's stream.
    pub stream: Option<&'a str>,
    /// Whether items that do not set `repeatable` may run more than once.
    pub repeatable: Option<bool>,
    /// The idempotency key.
    pub key: Option<&'a str>,
    /// Size of the body in bytes.
    pub length: Option<u64>,
}

impl Submission {
    /// Validates the options against the customer's configuration.
    ///
    /// # Errors
    /// Returns a failure for an unknown service or stream, or an invalid due time.
    pub fn check(
        customer: Arc<Customer>,
        options: &SubmitOptions<'_>,
        now: SystemTime,
    ) -> Result<Self, Failure> {
        let service = customer.services.get(options.service).cloned();
        let Some(service) = service else {
            let message = format!("there is no service {:?}", options.service);
            let known: Vec<&str> = customer.services.keys().map(String::as_str).collect();
            let help = format!("the services are: {}", known.join(", "));
            return Err(Failure::not_run(Code::NotFound, message).help(help));
        };
        let stream = options
            .stream
            .map(|name| stream(&customer, name, options.service))
            .transpose()?;
        let allowed = stream.and_then(|stream| stream.timeout);
        let due = match options.due {
            Some(text) => parse_due(text)?,
            None => now + allowed.unwrap_or(DEFAULT_DUE),
        };
        Ok(Self {
            service: options.service.to_owned(),
            repeatable: options.repeatable.unwrap_or(service.repeatable),
            key: options.key.map(str::to_owned),
            due,
            requested_due: options.due.map(str::to_owned),
            received: now,
            length: options.length,
            customer,
        })
    }

    /// Returns the digest of everything that a resend has to repeat.
    pub fn digest(&self, body: &Digest) -> Digest {
        let due = self.requested_due.as_deref().unwrap_or_default();
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
