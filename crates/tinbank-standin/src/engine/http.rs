//! The engine's HTTP interface.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering};

use dropshot::{ApiDescription, Body, HttpError, Path, RequestContext, UntypedBody, endpoint};
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use http_body_util::StreamBody;
use schemars::JsonSchema;
use serde::Deserialize;
use tinbank_base::{
    id,
    platform::{
        upstream::{Order, Report, Verdict},
        weights::Artifact,
    },
};
use tinbank_platform::wire;
use tokio::sync::mpsc::{self, UnboundedSender};
use tokio_util::sync::CancellationToken;

use super::{
    Settings,
    answer::{Marker, Prompt},
    batch::{Batch, Sequence},
    orders::{Decision, Orders},
    run::{self, Command, Gauge},
    stream,
};
use crate::{
    account::{Account, End, Run},
    fault::Faults,
    service::{
        answer::{self, Answer},
        under,
    },
};

/// What the engine's handlers share.
#[derive(Clone, Debug)]
pub(crate) struct Context {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    settings: Settings,
    faults: Faults,
    account: Account,
    commands: UnboundedSender<Command>,
    gauge: Arc<Gauge>,
    orders: Mutex<Orders>,
    published: Mutex<Report>,
    stop: CancellationToken,
}

impl Context {
    /// Starts the engine's tasks.
    pub fn start(
        settings: Settings,
        faults: Faults,
        account: Account,
        stop: CancellationToken,
    ) -> Self {
        let gauge = Arc::new(Gauge::default());
        let batch = Batch::new(&settings, account.clone());
        let commands = run::start(batch, faults.clone(), gauge.clone(), stop.clone());
        let orders = Orders::new(settings.checks_fence, settings.loaded.clone());
        let context = Self {
            inner: Arc::new(Inner {
                settings,
                faults,
                account,
                commands,
                gauge,
                orders: Mutex::new(orders),
                published: Mutex::default(),
                stop: stop.clone(),
            }),
        };
        *lock(&context.inner.published) = context.report();
        tokio::spawn(stop.run_until_cancelled_owned(context.clone().publish()));
        context
    }

    /// Publishes reports with their lag.
    async fn publish(self) {
        let lag = self.inner.settings.report_lag;
        let mut taken = self.report();
        loop {
            tokio::time::sleep(lag.max(std::time::Duration::from_millis(1))).await;
            *lock(&self.inner.published) = std::mem::replace(&mut taken, self.report());
        }
    }

    fn report(&self) -> Report {
        let orders = lock(&self.inner.orders);
        Report {
            running: self.inner.gauge.running.load(Ordering::Relaxed),
            waiting: self.inner.gauge.waiting.load(Ordering::Relaxed),
            slots: self.inner.settings.slots,
            loaded: orders.loaded().clone(),
            leaving: self.inner.faults.now().leaving,
            fence: orders.seen(),
        }
    }

    async fn chat(&self, headers: &HeaderMap, body: &[u8]) -> Answer {
        if self.inner.faults.now().leaving {
            return answer::no_work(wire::LEAVING);
        }
        let waiting = self.inner.gauge.waiting.load(Ordering::Relaxed) as usize;
        if waiting >= self.inner.settings.queue {
            return answer::no_work(wire::FULL);
        }
        let Some((name, request)) = request_id(headers) else {
            return answer::bytes(
                StatusCode::BAD_REQUEST,
                "X-Request-Id has to be 32 hex digits",
            );
        };
        let prompt = match Prompt::read(body) {
            Ok(prompt) => prompt,
            Err(message) => return answer::bytes(StatusCode::BAD_REQUEST, message),
        };
        if prompt.standin == Some(Marker::Reject) {
            return answer::bytes(
                StatusCode::BAD_REQUEST,
                "the body says that it can't be done",
            );
        }
        self.begin(name, request, prompt)
    }

    fn begin(&self, name: String, request: id::Request, prompt: Prompt) -> Answer {
        let text = prompt.answer(self.inner.settings.max_tokens);
        let run = self.inner.account.begin(Run {
            request: Some(name),
            reference: prompt.reference.clone(),
            prompt: text.prompt,
            resumed_from: prompt.resume_from,
            tokens: 0,
            end: End::Running,
        });
        if prompt.standin == Some(Marker::Fail) {
            self.inner.account.end(run, End::Failed);
            return answer::bytes(StatusCode::INTERNAL_SERVER_ERROR, "the body says: fail");
        }
        let (events, received) = mpsc::unbounded_channel();
        let sequence = Sequence {
            request,
            run,
            words: prompt.words(),
            answer: text,
            next: prompt.resume_from.min(text.tokens),
            kills: prompt.standin == Some(Marker::Kill),
            events,
        };
        // An engine that has stopped drops the sequence, which breaks the stream.
        let _ = self.inner.commands.send(Command::Start(sequence));
        let loses_end = self.inner.faults.loses_answer();
        let events = stream::body(request, received, loses_end);
        let mut answer = Response::new(Body::wrap(StreamBody::new(Box::pin(events))));
        let kind = HeaderValue::from_static("text/event-stream");
        answer.headers_mut().insert(header::CONTENT_TYPE, kind);
        answer
    }

    fn cancel(&self, request: &str) -> Answer {
        let Some(request) = id::parse_wide(request) else {
            return answer::bytes(StatusCode::BAD_REQUEST, "the id has to be 32 hex digits");
        };
        // An engine that has stopped runs nothing that could be cancelled.
        let _ = self.inner.commands.send(Command::Cancel(request));
        answer::bytes(StatusCode::NO_CONTENT, "")
    }

    fn order(&self, body: &[u8]) -> Answer {
        let order: Order = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(error) => return answer::bytes(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let decision = lock(&self.inner.orders).take(order);
        match &decision {
            Decision::Taken { fetch } => {
                for artifact in fetch {
                    let loading = self.clone().load(artifact.clone());
                    let stop = self.inner.stop.clone();
                    tokio::spawn(stop.run_until_cancelled_owned(loading));
                }
            }
            Decision::Tickets { needed } => {
                let message = format!("{needed} tickets are needed");
                return answer::bytes(StatusCode::CONFLICT, message);
            }
            Decision::Stale { .. } => {}
        }
        answer::json(StatusCode::OK, &Option::<Verdict>::from(&decision))
    }

    async fn load(self, artifact: Artifact) {
        tokio::time::sleep(self.inner.settings.load).await;
        lock(&self.inner.orders).fetched(artifact);
    }
}

fn request_id(headers: &HeaderMap) -> Option<(String, id::Request)> {
    let name = headers.get(wire::REQUEST_ID)?.to_str().ok()?;
    Some((name.to_owned(), id::parse_wide(name)?))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub(crate) fn api() -> ApiDescription<Context> {
    let mut api = ApiDescription::new();
    api.register(post_chat).expect("paths of an engine differ");
    api.register(post_cancel)
        .expect("paths of an engine differ");
    api.register(get_load).expect("paths of an engine differ");
    api.register(post_order).expect("paths of an engine differ");
    api.register(get_account)
        .expect("paths of an engine differ");
    api
}

#[derive(Deserialize, JsonSchema)]
struct Numbered {
    id: String,
}

/// Runs a chat completion and streams its tokens.
#[endpoint { method = POST, path = "/v1/chat/completions" }]
async fn post_chat(
    request: RequestContext<Context>,
    body: UntypedBody,
) -> Result<Answer, HttpError> {
    let context = request.context();
    let effect = context.chat(request.request.headers(), body.as_bytes());
    Ok(crate::service::under_streaming(&context.inner.faults, effect).await)
}

/// Stops the work of a request.
#[endpoint { method = POST, path = "/v1/requests/{id}/cancel" }]
async fn post_cancel(
    request: RequestContext<Context>,
    path: Path<Numbered>,
) -> Result<Answer, HttpError> {
    let context = request.context();
    let id = path.into_inner().id;
    let effect = async { context.cancel(&id) };
    Ok(under(&context.inner.faults, effect).await)
}

/// Tells the load, some time ago.
#[endpoint { method = GET, path = "/load" }]
async fn get_load(request: RequestContext<Context>) -> Result<Answer, HttpError> {
    let context = request.context();
    let effect = async {
        let report = lock(&context.inner.published).clone();
        answer::json(StatusCode::OK, &report)
    };
    Ok(under(&context.inner.faults, effect).await)
}

/// Takes an order.
#[endpoint { method = POST, path = "/orders" }]
async fn post_order(
    request: RequestContext<Context>,
    body: UntypedBody,
) -> Result<Answer, HttpError> {
    let context = request.context();
    let effect = async { context.order(body.as_bytes()) };
    Ok(under(&context.inner.faults, effect).await)
}

/// Tells what the engine ran; no fault hides it.
#[endpoint { method = GET, path = "/account" }]
async fn get_account(request: RequestContext<Context>) -> Result<Answer, HttpError> {
    let runs = request.context().inner.account.runs();
    Ok(answer::json(StatusCode::OK, &runs))
}
