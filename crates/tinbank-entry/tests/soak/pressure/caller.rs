//! Callers that resume their streams at other hosts, and what they received.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant as StdInstant},
};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tinbank_gateway::exchange::{self, Deadlines};
use tokio::{
    sync::watch,
    task::{self, JoinHandle},
    time::{self, Instant},
};

use super::{EVENTS, fleet::Fleet};
use crate::standin::client;

/// Number of callers, of which each sends one stream at a time.
const CALLERS: usize = 56;
/// How long a stream may be silent before its caller gives it up.
const SILENCE: Duration = Duration::from_secs(2);
/// Most attempts of a caller to resume a stream.
const MAX_RESUMES: usize = 5;

/// A stream and its attempts.
pub struct Stream {
    pub is_resumable: bool,
    pub attempts: Vec<Attempt>,
}

/// One request of a caller.
pub struct Attempt {
    pub id: String,
    /// Event after which the stream was to be resumed; 0 for its start.
    pub after: u64,
    pub status: Option<u16>,
    pub text: String,
    /// Whether the answer was received to its end.
    pub is_complete: bool,
}

/// An event of an answer.
#[derive(Debug, PartialEq, Eq)]
pub struct Event<'a> {
    pub number: u64,
    pub engine: &'a str,
}

impl Stream {
    /// Returns how often its caller resumed it and received a further event.
    pub fn resumed(&self) -> usize {
        let later = self.attempts.iter().skip(1);
        later.filter(|it| !it.events().is_empty()).count()
    }

    pub fn is_whole(&self) -> bool {
        self.last_event() == EVENTS
    }

    fn last_event(&self) -> u64 {
        let attempts = self.attempts.iter();
        let mut last = attempts.filter_map(|it| it.events().last().map(|event| event.number));
        last.next_back().unwrap_or(0)
    }
}

impl Attempt {
    /// Returns the whole events of a successful answer.
    pub fn events(&self) -> Vec<Event<'_>> {
        if self.status != Some(200) {
            return Vec::new();
        }
        let whole = self.text.rfind("\n\n").map_or("", |end| &self.text[..end]);
        let lines = whole.lines().filter_map(|it| it.strip_prefix("data: "));
        let events = lines.map(|line| {
            let (engine, number) = line.split_once('.').unwrap_or((line, ""));
            Event {
                number: number.parse().unwrap_or(0),
                engine,
            }
        });
        events.collect()
    }

    /// Returns whether the text ends within an event.
    pub fn is_torn(&self) -> bool {
        !self.text.is_empty() && !self.text.ends_with("\n\n")
    }
}

/// Starts callers that begin streams until `until`.
pub fn start(fleet: &Fleet, mut random: StdRng, until: Instant) -> Vec<JoinHandle<Vec<Stream>>> {
    let numbers = Rc::new(Cell::new(0));
    let callers = (0..CALLERS).map(|_| Caller {
        hosts: fleet.hosts.iter().map(|it| it.callers).collect(),
        disconnects: fleet.disconnects.subscribe(),
        numbers: Rc::clone(&numbers),
        random: StdRng::seed_from_u64(random.random()),
    });
    callers
        .map(|it| task::spawn_local(it.send(until)))
        .collect()
}

struct Caller {
    hosts: Vec<SocketAddr>,
    disconnects: watch::Receiver<u64>,
    numbers: Rc<Cell<u64>>,
    random: StdRng,
}

impl Caller {
    async fn send(mut self, until: Instant) -> Vec<Stream> {
        let mut streams = Vec::new();
        while Instant::now() < until {
            streams.push(self.send_stream().await);
            self.pause(120).await;
        }
        streams
    }

    async fn send_stream(&mut self) -> Stream {
        self.numbers.set(self.numbers.get() + 1);
        let first = format!("p{}", self.numbers.get());
        let mut stream = Stream {
            is_resumable: self.random.random_bool(0.7),
            attempts: Vec::new(),
        };
        let attempt = self.attempt(&stream, first.clone(), &first, 0).await;
        stream.attempts.push(attempt);
        for retry in 0..MAX_RESUMES {
            let last = stream.last_event();
            let is_complete = stream.attempts.last().is_some_and(|it| it.is_complete);
            let has_ended = is_complete && stream.attempts.last().unwrap().status == Some(200);
            if !stream.is_resumable || has_ended || last == 0 || last >= EVENTS {
                break;
            }
            self.pause(40).await;
            let id = format!("{first}-{retry}");
            let attempt = self.attempt(&stream, id, &first, last).await;
            stream.attempts.push(attempt);
        }
        stream
    }

    /// Sends one request, and reads its answer until it ends, is silent or the connection is lost on the caller's side.
    async fn attempt(&mut self, stream: &Stream, id: String, first: &str, after: u64) -> Attempt {
        let host = self.hosts[self.random.random_range(0..self.hosts.len())];
        let path = match stream.is_resumable {
            true => "/resumable/x",
            false => "/plain/x",
        };
        let resumed = (after > 0).then_some((first, after));
        let request = client::stream_request(path, &id, resumed);
        // Requests with the same body would be quarantined together when engines crash.
        let body = Full::new(Bytes::from(format!("prompt {first}")));
        let mut attempt = Attempt {
            id,
            after,
            status: None,
            text: String::new(),
            is_complete: false,
        };
        let mut disconnects = self.disconnects.clone();
        disconnects.mark_unchanged();
        let is_lost =
            async { while disconnects.changed().await.is_ok() && !self.random.random_bool(0.6) {} };
        tokio::select! {
            () = read(host, request.body(body).unwrap(), &mut attempt) => {}
            () = is_lost => {}
        }
        attempt
    }

    async fn pause(&mut self, max_ms: u64) {
        let pause = self.random.random_range(2..max_ms);
        time::sleep(Duration::from_millis(pause)).await;
    }
}

async fn read(host: SocketAddr, request: Request<Full<Bytes>>, attempt: &mut Attempt) {
    let until = StdInstant::now() + SILENCE;
    let times = Deadlines {
        connect: until,
        response: until,
    };
    let Ok((answer, _guard)) = exchange::send(host, request, times).await else {
        return;
    };
    let (head, mut body) = answer.into_parts();
    attempt.status = Some(head.status.as_u16());
    while let Ok(frame) = time::timeout(SILENCE, body.frame()).await {
        match frame {
            None => {
                attempt.is_complete = true;
                return;
            }
            Some(Err(_)) => return,
            Some(Ok(frame)) => {
                let data = frame.into_data().unwrap_or_default();
                attempt.text.push_str(&String::from_utf8_lossy(&data));
            }
        }
    }
}
