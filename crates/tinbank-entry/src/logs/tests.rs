//! Lines, their rate, and a reader that stands still.

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
    rate::{Pass, Rates},
};

/// A writer that gives what it gets to the test.
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

/// A writer whose reader stands still until the test ends.
struct Stuck(Receiver<()>);

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // The sender is dropped at the end of the test.
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn with_record(event: &str, then: impl FnOnce(&Record<'_>)) {
    let pairs = [("request", "a b"), ("reply", "line\nbreak")];
    let pairs: Vec<_> = pairs
        .iter()
        .map(|(key, value)| (logforth::kv::Key::new(key), logforth::kv::Value::str(value)))
        .collect();
    then(
        &Record::builder()
            .level(Level::Info)
            .payload(format_args!("{event}"))
            .key_values(pairs.as_slice())
            .build(),
    );
}

#[test]
fn an_event_is_one_line_of_pairs() {
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
fn a_kind_of_line_is_bounded_in_each_second_and_what_is_left_out_is_counted() {
    let now = Instant::now();
    let mut rates = Rates::default();

    let passed = (0..100)
        .filter(|_| rates.pass("busy", now) != Pass::LeaveOut)
        .count();
    let other = rates.pass("other", now);
    let later = rates.pass("busy", now + Duration::from_secs(1));

    assert_eq!(passed, 40);
    assert_eq!(other, Pass::Write { left_out: 0 });
    assert_eq!(later, Pass::Write { left_out: 60 });
}

#[test]
fn lines_are_written_before_the_process_ends() {
    let shared = Shared::default();
    let (output, flush) = open(shared.clone());

    with_record("first", |record| output.append(record, &[]).unwrap());
    drop(flush);

    let written = shared.0.lock().unwrap().clone();
    assert!(String::from_utf8(written).unwrap().contains("event=first"));
}

#[test]
fn a_reader_that_stands_still_stops_nobody() {
    let (_reader, stands_still) = mpsc::channel();
    let (output, flush) = open(Stuck(stands_still));
    let many = 20_000;

    // Each line is of a kind of its own, so that the rate leaves none out.
    for number in 0..many {
        let event = format!("event {number}");
        with_record(&event, |record| output.append(record, &[]).unwrap());
    }

    // That this is reached at all is the point: the lines beyond what may wait were left out.
    drop(flush);
}
