//! Publishes the example's template and customer through the log, as an operator does.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Instant, SystemTime},
};

use serde_json::Value;
use tinbank_base::{
    clock::{self, Hybrid},
    id,
    record::{
        self,
        config::{Object, Put},
    },
};
use tinbank_configuration::{
    fold::Verdict,
    publish::{self, Publisher},
};
use tinbank_log::{
    reader,
    writer::{self, Writer},
};
use tinbank_platform::log::Http;
use tokio::sync::watch;

use crate::example::Example;

/// Why the configuration is not in force.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The log does not do its part.
    #[error(transparent)]
    Publish(#[from] publish::Error),
    /// The change was refused.
    #[error("{object} was refused: {verdict:?}")]
    Refused {
        /// What was published.
        object: Object,
        /// Why not.
        verdict: Verdict,
    },
}

/// Publishes template and customer and returns the customer's revision.
///
/// # Errors
/// They are not both in force.
pub async fn publish(log: SocketAddr, example: &Example) -> Result<id::Revision, Error> {
    let log = Arc::new(Http::new(log));
    // The sender has to live as long as the writer looks at it.
    let (_writers, writers) = watch::channel(1);
    let writer = Writer::start(
        log.clone(),
        identity(),
        stamper(),
        writer::Settings::default(),
        writers,
    );
    let mut publisher = Publisher::new(log, writer, reader::Settings::default());
    let deployment = &example.deployment;
    let template = Object::Template(deployment.template.clone());
    put(&mut publisher, template, &example.template).await?;
    let customer = Object::Customer(deployment.customer.clone());
    put(&mut publisher, customer, &example.customer).await
}

async fn put(
    publisher: &mut Publisher,
    object: Object,
    body: &Value,
) -> Result<id::Revision, Error> {
    let change = Put {
        change: rand::random(),
        object: object.clone(),
        base: None,
        body: Some(body.to_string()),
        author: "tinbank-demo".to_owned(),
    };
    let judged = publisher
        .put(change, Instant::now() + publish::TIMEOUT)
        .await?;
    match judged.verdict {
        Verdict::Accepted { revision } => Ok(revision),
        verdict => Err(Error::Refused { object, verdict }),
    }
}

fn identity() -> record::Writer {
    record::Writer {
        process: id::Process {
            host: 0,
            role: id::Role::Tool,
        },
        incarnation: clock::incarnation(SystemTime::now()),
    }
}

fn stamper() -> writer::Stamper {
    let clock = Mutex::new(Hybrid::default());
    Arc::new(move || {
        let mut clock = clock.lock().unwrap_or_else(PoisonError::into_inner);
        clock.tick(SystemTime::now())
    })
}
