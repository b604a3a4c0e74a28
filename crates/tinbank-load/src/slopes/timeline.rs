//! The time line: time to note events.

use tinbank_base::{
    event::{Kind, Subject},
    id::{Process, Role},
};
use tinbank_timeline::Recorder;

use super::{Series, micros, point, processor_time};

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

fn recorder() -> Recorder {
    let process = Process {
        host: 1,
        role: Role::Online,
    };
    Recorder::new(process, *SIZES.last().unwrap_or(&1))
}

fn note_some(recorder: &Recorder, events: usize) {
    for request in 0..events {
        let subject = Subject {
            request: Some(request as u128),
            ..Subject::default()
        };
        recorder.note(subject, Kind::FirstToken);
    }
}
