//! Fake upstreams that answer according to the prompt and record the calls.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::Instant,
};

use async_trait::async_trait;
use bytes::Bytes;
use futures::{StreamExt as _, stream};
use tinbank_base::{
    id,
    outcome::{Code, Failure, Ran},
    platform::upstream::{
        Call, Error, Kind, Order, Part, Parts, Report, Target, Upstreams, Verdict,
    },
    platform::weights::Artifact,
};
use tinbank_routing::choice::{Choice, RouteRequest, Router, Ticket};
use tokio::sync::watch;

/// A prompt with this word loses the connection in every attempt.
pub const POISON: &str = "poison";
/// A prompt with this word is rejected as malformed.
pub const MALFORMED: &str = "malformed";
/// A prompt with this word loses the connection in the first attempt.
pub const CUT_ONCE: &str = "cut once";
/// A prompt with this word gets an answer with [`LARGE_BYTES`] of padding.
pub const LARGE: &str = "large";
/// Large enough that the answers of a few dozen items exceed one append.
pub const LARGE_BYTES: usize = 32 << 10;

#[derive(Clone, Debug)]
pub struct Engines {
    count: id::Upstream,
    open: watch::Sender<bool>,
    call_log: Arc<Mutex<CallLog>>,
}

/// The calls received by all upstreams.
#[derive(Debug, Default)]
pub struct CallLog {
    /// Number of attempts for each prompt.
    pub started: HashMap<String, usize>,
    /// Number of tokens that the last resumed attempt of each prompt started from.
    pub resumed: HashMap<String, u32>,
    /// Cancelled requests.
    pub cancelled: Vec<id::Request>,
}

impl Engines {
    pub fn new(count: id::Upstream) -> Self {
        Self {
            count,
            open: watch::channel(true).0,
            call_log: Arc::default(),
        }
    }

    /// Blocks all answers before their end until [`Engines::resume`].
    pub fn hold(&self) {
        self.open.send_replace(false);
    }

    pub fn resume(&self) {
        self.open.send_replace(true);
    }

    /// Returns the total number of attempts.
    pub fn starts(&self) -> usize {
        self.read(|call_log| call_log.started.values().sum())
    }

    pub fn read<T>(&self, read: impl FnOnce(&CallLog) -> T) -> T {
        read(&self.call_log.lock().unwrap())
    }

    fn start(&self, call: &Call) -> (String, usize) {
        let body: serde_json::Value = serde_json::from_slice(&call.body).unwrap();
        let prompt = body["messages"][0]["content"].as_str().unwrap().to_owned();
        let mut call_log = self.call_log.lock().unwrap();
        if call.resume_from > 0 {
            call_log.resumed.insert(prompt.clone(), call.resume_from);
        }
        let count = call_log.started.entry(prompt.clone()).or_default();
        *count += 1;
        (prompt, *count)
    }
}

#[async_trait]
impl Upstreams for Engines {
    async fn chat(&self, target: Target, call: Call) -> Result<Parts, Error> {
        let (prompt, run) = self.start(&call);
        let error = |ran, kind| Error {
            upstream: target.upstream,
            ran,
            kind,
        };
        if prompt.contains(MALFORMED) {
            let status = 400;
            let message = "no such prompt".to_owned();
            return Err(error(Ran::No, Kind::Rejected { status, message }));
        }
        let more = if prompt.contains(LARGE) {
            LARGE_BYTES
        } else {
            0
        };
        let noted = format!("{prompt}{}", ".".repeat(more));
        let tokens = ["noted: ", noted.as_str()];
        let cut = prompt.contains(POISON) || (prompt.contains(CUT_ONCE) && run == 1);
        let all = tokens.iter().zip(0..).map(|(text, index)| Part::Token {
            index,
            text: (*text).to_owned(),
        });
        let mut parts: Vec<Result<Part, Error>> = all.map(Ok).collect();
        parts.drain(..call.resume_from as usize);
        parts.truncate(if cut { 1 } else { 2 });
        let end = match cut {
            true => Err(error(Ran::Unknown, Kind::Cut("connection lost".to_owned()))),
            false => Ok(Part::End {
                reason: "stop".to_owned(),
                tokens: 2,
            }),
        };
        let mut open = self.open.subscribe();
        let end = stream::once(async move {
            // The sender is never dropped before the world.
            let _ = open.wait_for(|open| *open).await;
            end
        });
        Ok(stream::iter(parts).chain(end).boxed())
    }

    async fn call(&self, _target: Target, call: Call) -> Result<Bytes, Error> {
        let (prompt, run) = self.start(&call);
        let mut open = self.open.subscribe();
        // The sender is never dropped before the world.
        let _ = open.wait_for(|open| *open).await;
        let answer = serde_json::json!({"order": prompt, "run": run});
        Ok(answer.to_string().into())
    }

    async fn cancel(&self, _target: Target, request: id::Request) -> Result<(), Error> {
        self.call_log.lock().unwrap().cancelled.push(request);
        Ok(())
    }

    async fn report(&self, _target: Target) -> Result<Report, Error> {
        let artifact = Artifact {
            model: "notes".to_owned(),
            version: "1".to_owned(),
            adapter: None,
        };
        Ok(Report {
            slots: 8,
            loaded: [artifact].into_iter().collect(),
            ..Report::default()
        })
    }

    async fn order(&self, target: Target, _order: Order) -> Result<Verdict, Error> {
        Err(unused(target))
    }
}

fn unused(target: Target) -> Error {
    Error {
        upstream: target.upstream,
        ran: Ran::No,
        kind: Kind::Connect("batch does not ask this".to_owned()),
    }
}

/// Chooses the first engine that was not tried.
#[derive(Debug)]
pub struct FirstUntried(pub Engines);

struct NoopTicket;

impl Ticket for NoopTicket {
    fn record_result(&self, _result: Result<(), &Error>, _now: Instant) {}
}

impl Router for FirstUntried {
    fn choose(&self, ask: &RouteRequest<'_>, _now: Instant) -> Result<Choice, Failure> {
        let mut untried = (0..self.0.count).filter(|upstream| !ask.tried.contains(upstream));
        let upstream = untried
            .next()
            .ok_or_else(|| Failure::not_run(Code::NoUpstream, "all were tried"))?;
        Ok(Choice {
            target: Target {
                upstream,
                address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            },
            reason: "first",
            ticket: Box::new(NoopTicket),
        })
    }
}
