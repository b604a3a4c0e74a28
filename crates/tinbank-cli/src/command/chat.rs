//! `tinbank chat`.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use argh::FromArgs;
use http::{Response, header};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tinbank_base::{cause, outcome::Failure};
use tinbank_server::{caller, client};
use tokio::time;

use crate::{
    context::Context,
    error::Error,
    exit::Exit,
    object,
    output::Output,
    server::{Ask, Broken, Server, good, unreachable},
    sse, when,
};

/// Time that a completion has if none is given.
const TIMEOUT: Duration = Duration::from_secs(60);
/// End marker of a stream.
const DONE: &str = "[DONE]";

/// Asks for a chat completion and writes its tokens as they come.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "chat",
    example = "{command_name} --service logger-notes \"What does a drop of 2 bar at 03:10 mean?\"\n\
               {command_name} --service logger-notes --once --key call-17 -",
    note = "The request's id goes to stderr; `tinbank timeline --request` takes it. An answer that is cut short ends \
            with 7, never as if it were whole."
)]
pub struct Chat {
    /// what to say, or - for stdin
    #[argh(positional)]
    message: String,
    /// name of the service
    #[argh(option)]
    service: String,
    /// the customer's online stream that the request belongs to
    #[argh(option)]
    stream: Option<String>,
    /// what to tell the model first
    #[argh(option)]
    system: Option<String>,
    /// longest answer in tokens
    #[argh(option)]
    max_tokens: Option<u32>,
    /// how long to wait for the whole answer, such as 20s
    #[argh(option, from_str_fn(when::span), default = "TIMEOUT")]
    timeout: Duration,
    /// the request must not run more than once
    #[argh(switch)]
    once: bool,
    /// idempotency key
    #[argh(option)]
    key: Option<String>,
}

#[derive(Serialize)]
struct Body<'a> {
    model: &'a str,
    stream: bool,
    messages: Vec<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    max_tokens: Option<u32>,
}

#[derive(Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}

/// An event of the stream: a chunk, or an error that ends it.
#[derive(Deserialize)]
#[serde(untagged)]
enum Event {
    Error { error: Failure },
    Chunk { choices: Vec<Choice> },
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

/// A whole answer, as JSON.
#[derive(Default, Serialize)]
struct Answer {
    request: Option<String>,
    text: String,
    finish_reason: Option<String>,
}

impl Chat {
    pub(crate) async fn run(
        self,
        context: &mut Context,
        output: &mut Output,
    ) -> Result<Exit, Error> {
        let until = Instant::now() + self.timeout;
        let message = match self.message.as_str() {
            "-" => object::read("-")?,
            message => message.to_owned(),
        };
        let body = self.body(&message)?;
        let ask = self.ask(&context.key()?)?;
        let response = send(&context.server(), &context.online()?, &ask, &body, until).await?;
        let request = request_id(&response);
        if let Some(request) = &request {
            output.note(format!("request {request}"));
        }
        let mut answer = Answer {
            request,
            ..Answer::default()
        };
        answer.take(response, output, until).await?;
        if output.json {
            output.value(&answer)?;
        } else {
            output.line("")?;
        }
        Ok(Exit::Done)
    }

    fn body(&self, message: &str) -> Result<Vec<u8>, Error> {
        let system = self.system.as_deref().map(|content| Message {
            role: "system",
            content,
        });
        let user = Message {
            role: "user",
            content: message,
        };
        let body = Body {
            model: &self.service,
            stream: true,
            messages: system.into_iter().chain([user]).collect(),
            max_tokens: self.max_tokens,
        };
        serde_json::to_vec(&body).map_err(|error| Error::new(Exit::Failed, error.to_string()))
    }

    fn ask(&self, key: &str) -> Result<Ask, Error> {
        let timeout = self.timeout.as_millis().to_string();
        let mut ask = Ask::post("/v1/chat/completions")
            .key(key)?
            .header(header::CONTENT_TYPE.as_str(), "application/json")?
            .header(caller::TIMEOUT_MS, &timeout)?;
        if let Some(stream) = &self.stream {
            ask = ask.header(caller::STREAM, stream)?;
        }
        if self.once {
            ask = ask.header(caller::REPEATABLE, "false")?;
        }
        if let Some(key) = &self.key {
            ask = ask.header(caller::IDEMPOTENCY_KEY, key)?;
        }
        Ok(ask)
    }
}

/// Sends to the first entry that can be reached; once something was written, there is no second try.
async fn send(
    server: &Server,
    entries: &[SocketAddr],
    ask: &Ask,
    body: &[u8],
    until: Instant,
) -> Result<Response<Incoming>, Error> {
    let mut tried = Vec::new();
    for entry in entries {
        let body = client::whole(body.to_vec());
        match server.send(*entry, ask, body, until).await {
            Ok(response) => return good(response).await,
            Err(broken @ Broken::Connect(_)) => tried.push(format!("{entry}: {broken}")),
            Err(broken) => return Err(cut(&format!("{entry}: {broken}"))),
        }
    }
    Err(unreachable(&tried))
}

impl Answer {
    async fn take(
        &mut self,
        response: Response<Incoming>,
        output: &mut Output,
        until: Instant,
    ) -> Result<(), Error> {
        let mut body = response.into_body();
        let mut events = sse::Events::default();
        loop {
            let frame = time::timeout_at(until.into(), body.frame()).await;
            let frame = match frame {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return Err(cut(&cause::chain(&error))),
                Ok(None) => return Err(cut("the stream ended without its end marker")),
                Err(_) => return Err(cut("the time is up")),
            };
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            let data = events
                .push(&bytes)
                .map_err(|error| cut(&error.to_string()))?;
            for data in data {
                if data == DONE {
                    return Ok(());
                }
                self.event(&data, output)?;
            }
        }
    }

    fn event(&mut self, data: &str, output: &mut Output) -> Result<(), Error> {
        let event = serde_json::from_str(data);
        match event.map_err(|error| cut(&format!("an event can't be read: {error}")))? {
            Event::Error { error } => Err(Error::refused(&error)),
            Event::Chunk { choices } => choices.into_iter().try_for_each(|choice| {
                self.finish_reason = choice.finish_reason.or(self.finish_reason.take());
                let text = choice.delta.content.unwrap_or_default();
                self.text.push_str(&text);
                if output.json {
                    return Ok(());
                }
                output.raw(text.as_bytes())
            }),
        }
    }
}

fn request_id(response: &Response<Incoming>) -> Option<String> {
    let value = response.headers().get(caller::REQUEST_ID)?;
    Some(value.to_str().ok()?.replace('-', ""))
}

fn cut(reason: &str) -> Error {
    Error::new(Exit::Unknown, format!("the answer is not whole: {reason}"))
        .help("what stands above is a part of it; ask again if the request may run more than once")
}
