//! Paces of upstreams: what hosts measure, what an allocator estimates from it, and the streams that are late.

mod estimate;
mod meter;
mod uneven;

use std::{net::SocketAddr, time::Duration};

use tinbank_allocator::{
    frame::{Queue, SlotRequest},
    lease::Class,
    size::Size,
};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn host(index: u64) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8], 7000))
}

fn request(lease: u64, class: Class, prompt_tokens: u32, max_gap_ms: Option<u32>) -> SlotRequest {
    SlotRequest {
        lease,
        class,
        service: "notes".to_owned(),
        exclude: Default::default(),
        queue: Queue::Within(200),
        rank: 0,
        meter: None,
        share: None,
        size: Size {
            prompt_tokens,
            ..Size::default()
        },
        build: None,
        max_gap_ms,
    }
}
