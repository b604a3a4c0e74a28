//! Tests of log lines, their rate limit, and a blocked reader.

use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex,
        mpsc::{self, Receiver},
    },
    time::{Duration, Instant},
};

use logforth::{
    Append,
    record::{Level, Record},
};

use super::{
    line,
    output::open,
    rate::{Decision, RateLimiter},
};

/// Writer that keeps the written bytes for the test.
#[derive(Clone, Default)]
struct Shared(Arc<Mutex<Vec<u8>>>);

impl Write for Shared {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writer that blocks until the test ends.
struct Blocked(Receiver<()>);

impl Write for Blocked {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // The sender is dropped at the end of the test.
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn with_record(event: &str, test: impl FnOnce(&Record<'_>)) {
    let pairs = [("request", "a b"), ("reply", "line\nbreak")];
    let pairs: Vec<_> = pairs
        .iter()
        .map(|(key, value)| (logforth::kv::Key::new(key), logforth::kv::Value::str(value)))
        .collect();
    test(
        &Record::builder()
            .level(Level::Info)
            .payload(format_args!("{event}"))
            .key_values(pairs.as_slice())
            .build(),
    );
}

#[test]
fn a_record_is_formatted_as_one_line_of_pairs() {
    with_record("no answer", |record| {
        let line = line::format(record);

        assert!(line.starts_with("t="));
        assert!(
            line.ends_with(
                "level=INFO event=\"no answer\" request=\"a b\" reply=\"line\\nbreak\"\n"
            ),
            "{line}"
        );
        assert_eq!(line.lines().count(), 1);
    });
}

#[test]
fn lines_of_an_event_are_limited_per_second_and_dropped_ones_are_counted() {
    let now = Instant::now();
    let mut limiter = RateLimiter::default();

    let written = (0..100)
        .filter(|_| limiter.check("busy", now) != Decision::Drop)
        .count();
    let other = limiter.check("other", now);
    let later = limiter.check("busy", now + Duration::from_secs(1));

    assert_eq!(written, 40);
    assert_eq!(other, Decision::Write { dropped: 0 });
    assert_eq!(later, Decision::Write { dropped: 60 });
}

#[test]
fn dropping_the_guard_flushes_pending_lines() {
    let shared = Shared::default();
    let (output, flush) = open(shared.clone());

    with_record("first", |record| output.append(record, &[]).unwrap());
    drop(flush);

    let written = shared.0.lock().unwrap().clone();
    assert!(String::from_utf8(written).unwrap().contains("event=first"));
}

#[test]
fn a_blocked_reader_blocks_neither_logging_nor_exit() {
    let (_unblock, blocked) = mpsc::channel();
    let (output, flush) = open(Blocked(blocked));
    let lines = 20_000;

    // Each event has a text of its own, so that the rate limit drops none.
    for number in 0..lines {
        let event = format!("event {number}");
        with_record(&event, |record| output.append(record, &[]).unwrap());
    }

    // The test passes if this is reached: lines beyond the buffer limit were dropped.
    drop(flush);
}
