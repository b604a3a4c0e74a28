//! Reads an engine's stream of server-sent events and checks that it is whole and ours.
//!
//! The reader is a pure state machine: bytes in, parts out.

use std::collections::VecDeque;

use tinbank_base::{
    id,
    platform::upstream::{Kind, Part},
};

use crate::wire;

/// Longest line that an engine may send.
const MAX_LINE: usize = 1 << 20;

/// What the reader has seen of an answer.
#[derive(Debug)]
pub(crate) struct Reader {
    request: id::Request,
    next: u32,
    line: Vec<u8>,
    end: Option<Part>,
    done: bool,
    parts: VecDeque<Result<Part, Kind>>,
}

impl Reader {
    /// A reader for the answer to `request`, whose first token is number `resume_from`.
    pub fn new(request: id::Request, resume_from: u32) -> Self {
        Self {
            request,
            next: resume_from,
            line: Vec::new(),
            end: None,
            done: false,
            parts: VecDeque::new(),
        }
    }

    /// Takes in bytes; what they make up is had from [`Reader::pop`].
    pub fn feed(&mut self, bytes: &[u8]) {
        for piece in bytes.split_inclusive(|byte| *byte == b'\n') {
            if self.done {
                return;
            }
            self.line.extend_from_slice(piece);
            if self.line.len() > MAX_LINE {
                self.fail(Kind::Cut("a line of the answer is too long".to_owned()));
            } else if piece.ends_with(b"\n") {
                let line = std::mem::take(&mut self.line);
                self.take_line(&line);
            }
        }
    }

    /// Takes in the end of the connection, which is no end marker.
    pub fn close(&mut self, why: &str) {
        if !self.done {
            self.fail(Kind::Cut(why.to_owned()));
        }
    }

    /// The next part, if there is one.
    pub fn pop(&mut self) -> Option<Result<Part, Kind>> {
        self.parts.pop_front()
    }

    /// Whether the answer has ended, whole or not.
    pub fn done(&self) -> bool {
        self.done
    }

    fn take_line(&mut self, line: &[u8]) {
        let Some(data) = line.strip_prefix(b"data:") else {
            return;
        };
        let data = data.trim_ascii();
        if data == b"[DONE]" {
            return self.take_end_marker();
        }
        match serde_json::from_slice::<wire::Chunk>(data) {
            Ok(chunk) => self.take_chunk(chunk),
            Err(error) => self.fail(Kind::Cut(format!("a chunk can't be read: {error}"))),
        }
    }

    fn take_end_marker(&mut self) {
        match self.end.take() {
            Some(end) => {
                self.done = true;
                self.parts.push_back(Ok(end));
            }
            None => self.fail(Kind::Cut("end marker without a finish reason".to_owned())),
        }
    }

    fn take_chunk(&mut self, chunk: wire::Chunk) {
        if id::parse_wide(&chunk.id) != Some(self.request) {
            return self.fail(Kind::Crossed(format!("a chunk has id {}", chunk.id)));
        }
        if self.end.is_some() {
            return self.fail(Kind::Crossed("a chunk after the finish reason".to_owned()));
        }
        if chunk.token_index != self.next {
            let (seen, next) = (chunk.token_index, self.next);
            return self.fail(Kind::Crossed(format!("token {seen} in place of {next}")));
        }
        let Some(choice) = chunk.choices.into_iter().next() else {
            return self.fail(Kind::Cut("a chunk without a choice".to_owned()));
        };
        if let Some(text) = choice.delta.content {
            let index = self.next;
            let Some(next) = index.checked_add(1) else {
                return self.fail(Kind::Cut("an answer has too many tokens".to_owned()));
            };
            self.next = next;
            self.parts.push_back(Ok(Part::Token { index, text }));
        }
        match choice.finish_reason {
            Some(reason) if reason == wire::ABORTED => {
                self.fail(Kind::Cut("it was cancelled at the engine".to_owned()));
            }
            Some(reason) => {
                let tokens = self.next;
                self.end = Some(Part::End { reason, tokens });
            }
            None => {}
        }
    }

    /// Ends the answer with an error.
    pub fn fail(&mut self, kind: Kind) {
        self.done = true;
        self.parts.push_back(Err(kind));
    }
}

#[cfg(test)]
mod tests;
