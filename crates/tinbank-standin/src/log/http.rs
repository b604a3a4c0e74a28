//! The log's HTTP interface.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use dropshot::{ApiDescription, HttpError, Path, Query, RequestContext, UntypedBody, endpoint};
use http::StatusCode;
use schemars::JsonSchema;
use serde::Deserialize;
use tinbank_base::platform::log::Page;
use tinbank_platform::wire;
use tokio::{sync::Notify, time::Instant};

use super::{
    Settings,
    store::{Refused, Store, Trimmed},
};
use crate::{
    fault::Faults,
    service::{
        answer::{self, Answer},
        under,
    },
};

/// What the log's handlers share.
#[derive(Clone, Debug)]
pub(crate) struct Context {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    settings: Settings,
    faults: Faults,
    store: Mutex<Store>,
    appended: Notify,
}

impl Context {
    pub fn new(settings: Settings, faults: Faults) -> Self {
        let store = Mutex::new(Store::new(settings.clone(), Instant::now()));
        Self {
            inner: Arc::new(Inner {
                settings,
                faults,
                store,
                appended: Notify::new(),
            }),
        }
    }

    fn store(&self) -> MutexGuard<'_, Store> {
        self.inner
            .store
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    async fn append(&self, stream: &str, body: UntypedBody) -> Answer {
        tokio::time::sleep(self.inner.settings.append).await;
        let size = body.as_bytes().len();
        let payload = body.as_bytes().to_vec().into();
        let appended = self.store().append(stream, payload, Instant::now());
        match appended {
            Ok(offset) => {
                self.inner.appended.notify_waiters();
                answer::json(StatusCode::OK, &wire::Appended { offset })
            }
            Err(Refused::Limited { wait }) => answer::limited(wait),
            Err(Refused::TooLarge) => {
                let limit = self.inner.settings.max_record_bytes;
                let refusal = wire::TooLarge { size, limit };
                answer::json(StatusCode::PAYLOAD_TOO_LARGE, &refusal)
            }
        }
    }

    async fn read(&self, stream: &str, query: Read) -> Answer {
        let wait = Duration::from_millis(query.wait_ms).min(self.inner.settings.max_wait);
        match self.poll(stream, &query, Instant::now() + wait).await {
            Ok(page) => {
                let body = postcard::to_stdvec(&page).expect("a page is plain data");
                answer::bytes(StatusCode::OK, body)
            }
            Err(Trimmed { first }) => answer::json(StatusCode::GONE, &wire::Trimmed { first }),
        }
    }

    async fn poll(&self, stream: &str, query: &Read, until: Instant) -> Result<Page, Trimmed> {
        loop {
            // Registered before the read, so that an append in between wakes it.
            let appended = self.inner.appended.notified();
            tokio::pin!(appended);
            appended.as_mut().enable();
            let page = self
                .store()
                .read(stream, query.from, query.limit, Instant::now())?;
            if !page.entries.is_empty() || Instant::now() >= until {
                return Ok(page);
            }
            // The page at the deadline is read again, for its tail.
            let _ = tokio::time::timeout_at(until, appended).await;
        }
    }
}

pub(crate) fn api() -> ApiDescription<Context> {
    let mut api = ApiDescription::new();
    api.register(post_record).expect("paths of the log differ");
    api.register(get_records).expect("paths of the log differ");
    api.register(get_bounds).expect("paths of the log differ");
    api
}

#[derive(Deserialize, JsonSchema)]
struct Named {
    stream: String,
}

#[derive(Deserialize, JsonSchema)]
struct Read {
    from: u64,
    #[serde(default = "default_limit")]
    limit: usize,
    #[serde(default)]
    wait_ms: u64,
}

fn default_limit() -> usize {
    1 << 20
}

/// Appends one record: the body, as it is.
#[endpoint { method = POST, path = "/v1/streams/{stream}/records" }]
async fn post_record(
    request: RequestContext<Context>,
    path: Path<Named>,
    body: UntypedBody,
) -> Result<Answer, HttpError> {
    let context = request.context();
    let stream = path.into_inner().stream;
    Ok(under(&context.inner.faults, context.append(&stream, body)).await)
}

/// Reads records from an offset, waiting at the tail.
#[endpoint { method = GET, path = "/v1/streams/{stream}/records" }]
async fn get_records(
    request: RequestContext<Context>,
    path: Path<Named>,
    query: Query<Read>,
) -> Result<Answer, HttpError> {
    let context = request.context();
    let stream = path.into_inner().stream;
    let read = context.read(&stream, query.into_inner());
    Ok(under(&context.inner.faults, read).await)
}

/// Tells the first and the next offset.
#[endpoint { method = GET, path = "/v1/streams/{stream}" }]
async fn get_bounds(
    request: RequestContext<Context>,
    path: Path<Named>,
) -> Result<Answer, HttpError> {
    let context = request.context();
    let stream = path.into_inner().stream;
    let effect = async {
        let bounds = context.store().bounds(&stream, Instant::now());
        answer::json(StatusCode::OK, &bounds)
    };
    Ok(under(&context.inner.faults, effect).await)
}
