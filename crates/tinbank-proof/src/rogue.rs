//! An engine whose answers are not whole or not those that were asked for.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use tinbank_base::{
    id,
    platform::{
        hosts::{Kind, State, Upstream},
        upstream::Report,
    },
};
use tinbank_demo::example::Example;
use tinbank_platform::wire::{self, Choice, Chunk, Delta};
use tinbank_standin::engine::{self, answer::Prompt};
use tokio::{
    io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _, BufReader},
    net::{TcpListener, TcpStream},
};

/// Number on the host list.
const NUMBER: id::Upstream = 900;
/// Requests that it says to run at once.
const SLOTS: u32 = 16;

/// What is wrong with its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// The second half belongs to another request.
    OtherId,
    /// Each part comes twice.
    Doubled,
    /// A part is missing.
    Skipped,
    /// There is no end marker.
    NoEnd,
    /// The end comes early, and parts after it.
    AfterEnd,
}

/// The running engine; it ends with the test's runtime.
#[derive(Clone, Debug)]
pub struct Rogue {
    mode: Mode,
    address: SocketAddr,
    report: Report,
    pool: id::Pool,
    answered: Arc<AtomicUsize>,
}

impl Rogue {
    /// Starts it on a port of its own.
    pub async fn start(mode: Mode, example: &Example) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.expect("loopback has ports");
        let rogue = Self {
            mode,
            address: listener.local_addr().expect("it is bound"),
            report: Report {
                slots: SLOTS,
                loaded: example.artifact.iter().cloned().collect(),
                ..Report::default()
            },
            pool: example.deployment.engines.pool.clone(),
            answered: Arc::default(),
        };
        let serving = rogue.clone();
        tokio::spawn(async move {
            while let Ok((connection, _)) = listener.accept().await {
                let rogue = serving.clone();
                // A caller that goes away is no matter.
                tokio::spawn(async move { rogue.serve(connection).await.ok() });
            }
        });
        rogue
    }

    /// What the host list says of it.
    pub fn upstream(&self) -> Upstream {
        Upstream {
            upstream: NUMBER,
            name: "rogue".to_owned(),
            kind: Kind::Engine,
            pools: [self.pool.clone()].into_iter().collect(),
            address: self.address,
            failure_domain: "garmisch".to_owned(),
            checks_fence: true,
            slots: Some(SLOTS),
            state: State::Live,
        }
    }

    /// How many chat completions it has answered.
    pub fn answered(&self) -> usize {
        self.answered.load(Ordering::Relaxed)
    }

    /// Answers one request, and closes the connection.
    async fn serve(&self, connection: TcpStream) -> std::io::Result<()> {
        let mut connection = BufReader::new(connection);
        let mut line = String::new();
        connection.read_line(&mut line).await?;
        let path = line.split(' ').nth(1).unwrap_or_default().to_owned();
        let (mut length, mut request) = (0, String::new());
        loop {
            line.clear();
            connection.read_line(&mut line).await?;
            let Some((name, value)) = line.trim().split_once(": ") else {
                break;
            };
            match name.to_lowercase().as_str() {
                "content-length" => length = value.parse().unwrap_or(0),
                wire::REQUEST_ID => request = value.to_owned(),
                _ => {}
            }
        }
        let mut body = vec![0; length];
        connection.read_exact(&mut body).await?;
        let answer = match path.as_str() {
            "/load" => serde_json::to_string(&self.report)?,
            "/v1/chat/completions" => self.chat(&request, &body),
            _ => String::new(),
        };
        let head = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
        connection
            .write_all(format!("{head}{answer}").as_bytes())
            .await?;
        connection.shutdown().await
    }

    fn chat(&self, request: &str, body: &[u8]) -> String {
        self.answered.fetch_add(1, Ordering::Relaxed);
        let Ok(prompt) = Prompt::read(body) else {
            return String::new();
        };
        let text = prompt.answer(engine::Settings::default().max_tokens);
        let middle = (prompt.resume_from + text.tokens) / 2;
        let other = "0123456789abcdef0123456789abcdef";
        let mut events = String::new();
        for index in prompt.resume_from..text.tokens {
            let part = event(request, index, Some(text.token(index)), None);
            match self.mode {
                Mode::OtherId if index >= middle => {
                    events += &event(other, index, Some(" elsewhere".to_owned()), None);
                }
                Mode::Doubled => events += &part.repeat(2),
                Mode::Skipped if index == middle => {}
                Mode::AfterEnd if index == middle => {
                    events += &event(request, index, None, Some("stop"));
                    events += &part;
                }
                _ => events += &part,
            }
        }
        if self.mode != Mode::NoEnd {
            events += &event(request, text.tokens, None, Some("stop"));
            events += "data: [DONE]\n\n";
        }
        events
    }
}

fn event(request: &str, token_index: u32, content: Option<String>, end: Option<&str>) -> String {
    let chunk = Chunk {
        id: request.to_owned(),
        object: "chat.completion.chunk".to_owned(),
        token_index,
        choices: vec![Choice {
            index: 0,
            delta: Delta { content },
            finish_reason: end.map(str::to_owned),
        }],
    };
    let json = serde_json::to_string(&chunk).expect("a chunk is plain data");
    format!("data: {json}\n\n")
}
