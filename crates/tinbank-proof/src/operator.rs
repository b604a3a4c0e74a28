//! An operator who publishes changes of the customer through the log.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Instant, SystemTime},
};

use serde_json::Value;
use tinbank_base::{
    clock::{self, Hybrid},
    digest, id,
    record::{
        self,
        config::{Object, Put},
    },
};
use tinbank_configuration::{
    fold::Verdict,
    publish::{self, Publisher},
};
use tinbank_demo::example::Example;
use tinbank_log::{
    reader,
    writer::{self, Writer},
};
use tinbank_platform::log::Http;
use tokio::sync::watch;

/// An operator at a command line of their own.
pub struct Operator {
    publisher: Publisher,
    customer: Object,
    body: Value,
    author: String,
    _writers: watch::Sender<usize>,
}

impl Operator {
    /// An operator, by number, who knows the customer as the example has it.
    pub fn new(log: SocketAddr, number: id::Host, example: &Example) -> Self {
        let log = Arc::new(Http::new(log));
        // The sender has to live as long as the writer looks at it.
        let (writers, seen) = watch::channel(1);
        let identity = record::Writer {
            process: id::Process {
                host: number,
                role: id::Role::Tool,
            },
            incarnation: clock::incarnation(SystemTime::now()),
        };
        let settings = writer::Settings::default();
        let writer = Writer::start(log.clone(), identity, stamper(), settings, seen);
        Self {
            publisher: Publisher::new(log, writer, reader::Settings::default()),
            customer: Object::Customer(example.deployment.customer.clone()),
            body: example.customer.clone(),
            author: format!("operator-{number}"),
            _writers: writers,
        }
    }

    /// Gives the customer another key in place of the one it has.
    ///
    /// # Errors
    /// It is not known whether the change was accepted.
    pub async fn change_key(
        &mut self,
        base: id::Revision,
        key: &str,
    ) -> Result<Verdict, publish::Error> {
        let digest = digest::of(key.as_bytes());
        let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        self.body["key_sha256"] = vec![hex].into();
        let change = Put {
            change: rand::random(),
            object: self.customer.clone(),
            base: Some(base),
            body: Some(self.body.to_string()),
            author: self.author.clone(),
        };
        let until = Instant::now() + publish::TIMEOUT;
        let judged = self.publisher.put(change, until).await?;
        Ok(judged.verdict)
    }
}

fn stamper() -> writer::Stamper {
    let clock = Mutex::new(Hybrid::default());
    Arc::new(move || {
        let mut clock = clock.lock().unwrap_or_else(PoisonError::into_inner);
        clock.tick(SystemTime::now())
    })
}
