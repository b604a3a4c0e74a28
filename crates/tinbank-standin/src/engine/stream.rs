//! Server-sent events of an answer.

use std::io;

use bytes::Bytes;
use futures::{Stream, stream};
use hyper::body::Frame;
use tinbank_base::id;
use tinbank_platform::wire::{self, Choice, Chunk, Delta};
use tokio::sync::mpsc::UnboundedReceiver;

use super::batch::Event;

/// Events as the body of an answer. It breaks off when the engine dies, and in place of its end
/// when `loses_end` is set. Dropping it tells the engine that nobody waits.
pub(crate) fn body(
    request: id::Request,
    events: UnboundedReceiver<Event>,
    loses_end: bool,
) -> impl Stream<Item = io::Result<Frame<Bytes>>> + Send {
    let state = Some(events);
    stream::unfold(state, move |state| async move {
        let mut events = state?;
        let event = events.recv().await;
        let ends = !matches!(event, Some(Event::Token { .. }));
        let frame = match event {
            None => Err(io::Error::other("the engine died")),
            Some(_) if ends && loses_end => Err(io::Error::other("the answer is lost")),
            Some(event) => Ok(Frame::data(render(request, event))),
        };
        Some((frame, (!ends).then_some(events)))
    })
}

fn render(request: id::Request, event: Event) -> Bytes {
    match event {
        Event::Token { index, text } => line(&chunk(request, index, Some(text), None)).into(),
        Event::End { reason, tokens } => last(request, reason, tokens),
        Event::Cancelled { tokens } => last(request, wire::ABORTED, tokens),
    }
}

fn last(request: id::Request, reason: &str, tokens: u32) -> Bytes {
    let reason = Some(reason.to_owned());
    let mut text = line(&chunk(request, tokens, None, reason));
    text.push_str("data: [DONE]\n\n");
    text.into()
}

fn line(chunk: &Chunk) -> String {
    let json = serde_json::to_string(chunk).expect("a chunk is plain data");
    format!("data: {json}\n\n")
}

fn chunk(
    request: id::Request,
    token_index: u32,
    content: Option<String>,
    finish_reason: Option<String>,
) -> Chunk {
    Chunk {
        id: id::format_wide(request),
        object: "chat.completion.chunk".to_owned(),
        token_index,
        choices: vec![Choice {
            index: 0,
            delta: Delta { content },
            finish_reason,
        }],
    }
}
