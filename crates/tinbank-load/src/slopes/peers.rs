//! Frames between processes: time to sign and to check, as frames grow.

use tinbank_base::{
    frame::datagram::{Key, open as open_frame, seal as seal_frame},
    platform::log::Entry,
};

use super::{Point, Series, micros, point, processor_time};

const SIZES: [usize; 4] = [100, 200, 400, 800];
const FRAMES: usize = 2_000;

pub(super) fn seal() -> Series {
    let key = key();
    let points = points(|bytes| {
        let message = message(bytes);
        let work = |()| {
            for _ in 0..FRAMES {
                std::hint::black_box(seal_frame(&message, &key));
            }
        };
        micros(processor_time(|| (), work)) / FRAMES as f64
    });
    Series::new("peers seal", "byte of the frame", "µs", points)
}

pub(super) fn open() -> Series {
    let key = key();
    let points = points(|bytes| {
        let frame = seal_frame(&message(bytes), &key);
        let work = |()| {
            for _ in 0..FRAMES {
                let opened = open_frame::<Entry>(&frame, std::slice::from_ref(&key));
                assert!(opened.is_ok(), "it was signed with this key");
                std::hint::black_box(opened.ok());
            }
        };
        micros(processor_time(|| (), work)) / FRAMES as f64
    });
    Series::new("peers open", "byte of the frame", "µs", points)
}

fn points(measure: impl Fn(usize) -> f64) -> Vec<Point> {
    SIZES
        .iter()
        .map(|bytes| point(*bytes, measure(*bytes)))
        .collect()
}

fn message(bytes: usize) -> Entry {
    Entry {
        offset: 7,
        payload: vec![7; bytes].into(),
    }
}

fn key() -> Key {
    Key {
        number: 1,
        secret: [7; 32],
    }
}
