//! The time line: time to note events, and the bytes that they take.

use tinbank_base::{
    event::{Kind, Subject},
    id::{Process, Role},
};
use tinbank_timeline::Recorder;

use super::{Allocated, Series, micros, point, processor_time, weight};

const SIZES: [usize; 4] = [2_000, 4_000, 8_000, 16_000];

pub(super) fn note() -> Series {
    let points = SIZES
        .iter()
        .map(|events| {
            point(
                *events,
                micros(processor_time(recorder, |recorder| {
                    note_some(&recorder, *events)
                })),
            )
        })
        .collect();
    Series::new("timeline note", "event", "µs", points)
}

pub(super) fn bytes(allocated: Allocated) -> Series {
    let points = SIZES
        .iter()
        .map(|events| {
            let bytes = weight(allocated, || {
                let recorder = Recorder::new(PROCESS, *events);
                note_some(&recorder, *events);
                recorder
            });
            point(*events, bytes)
        })
        .collect();
    Series::new("timeline bytes", "event kept", "bytes", points)
}

fn recorder() -> Recorder {
    Recorder::new(PROCESS, *SIZES.last().unwrap_or(&1))
}

/// Three kinds in turn: one with a text of its own, one with a number, one without.
fn note_some(recorder: &Recorder, events: usize) {
    for request in 0..events {
        let subject = Subject {
            request: Some(request as u128),
            ..Subject::default()
        };
        let kind = match request % 3 {
            0 => Kind::Accepted {
                customer: "moreton-basin".into(),
                service: "logger-notes".into(),
            },
            1 => Kind::FirstToken,
            _ => Kind::Answered { tokens: 427 },
        };
        recorder.note(subject, kind);
    }
}

const PROCESS: Process = Process {
    host: 1,
    role: Role::Online,
};
