//! Example values of frames and records.

#![allow(dead_code, reason = "each test file uses a part of the examples")]

use std::{
    net::SocketAddr,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use smallvec::smallvec;
use tinbank_base::{
    clock::Stamp,
    frame::{
        Body, Datagram, credit,
        datagram::Key,
        heartbeat::{Health, Heartbeat, Leaving, MemberUpdate, Phase},
        request::{Count, Outcome, Request, Response},
    },
    id::{Process, Role},
    outcome::{Code, Ran},
    record::{
        Envelope, Writer,
        claim::{Claim, Settled, Stored},
        config,
        lease::Lease,
        work::{self, Record},
    },
};

pub fn key() -> Key {
    Key {
        number: 3,
        secret: [5; 32],
    }
}

pub fn writer() -> Writer {
    Writer {
        process: Process {
            host: 300,
            role: Role::Batch,
        },
        incarnation: 1_000_000,
    }
}

pub fn stamp() -> Stamp {
    Stamp {
        micros: 1_700_000_000_000_000,
        counter: 2,
    }
}

fn time(seconds: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_700_000_000 + seconds)
}

fn envelope<R>(records: Vec<R>) -> Envelope<R> {
    Envelope {
        writer: writer(),
        sequence: 129,
        stamp: stamp(),
        records,
    }
}

pub fn work() -> Envelope<Record> {
    let completions = vec![
        work::Completion {
            item: 7,
            attempts: 1,
            outcome: work::Outcome::Answer(Bytes::from_static(b"{}")),
        },
        work::Completion {
            item: 8,
            attempts: 2,
            outcome: work::Outcome::Failed {
                code: Code::UpstreamRejected,
                ran: Ran::No,
                message: "no".into(),
            },
        },
    ];
    let chunk = work::Chunk {
        job: 1,
        intake: 2,
        chunk: 3,
        first: 7,
        items: vec![work::Item {
            custom_id: "a".into(),
            body: Bytes::from_static(b"{}"),
            repeatable: true,
        }],
    };
    let claim = Claim {
        key: 4,
        body: [6; 32],
        claimer: writer(),
        request: 5,
        deadline: time(1),
        keep_until: time(2),
    };
    envelope(vec![
        Record::Lease(Lease::Renew { epoch: 9 }),
        Record::Chunk(chunk.clone()),
        Record::Head(head()),
        Record::Release(release()),
        Record::Cancel { job: 1 },
        Record::Dispatch(work::Dispatch {
            job: 1,
            chunk: 3,
            epoch: 9,
            items: vec![7, 300],
        }),
        Record::Completed(work::Completed {
            job: 1,
            chunk: 3,
            completions: completions.clone(),
        }),
        Record::Part(work::Part {
            job: 1,
            intake: 2,
            shard: 10,
            answered: 11,
            failed: 12,
            cancelled: 13,
        }),
        Record::Claim(claim),
        Record::Settled(Settled {
            key: 4,
            claimer: writer(),
            request: 5,
            answer: Err(Stored {
                code: Code::OutcomeUnknown,
                ran: Ran::Unknown,
                message: "gone".into(),
            }),
        }),
        Record::Checkpoint(work::Checkpoint {
            through: 20,
            part: 0,
            parts: 1,
            version: 1,
            state: Bytes::from_static(&[1, 2, 3]),
        }),
        Record::Carried(work::Carried {
            through: 20,
            chunk,
            completions,
        }),
    ])
}

fn head() -> work::Head {
    work::Head {
        job: 1,
        intake: 2,
        customer: "water".into(),
        service: "notes".into(),
        body: [7; 32],
        items: 1,
        chunks: 1,
        shards: smallvec![10, 500],
        received: time(0),
        due: time(10),
        keep_until: time(20),
    }
}

fn release() -> work::Release {
    work::Release {
        job: 1,
        intake: 2,
        customer: "water".into(),
        service: "notes".into(),
        chunks: 1,
        due: time(10),
        keep_until: time(20),
    }
}

pub fn configuration() -> Envelope<config::Record> {
    let put = |change, object, body: Option<&str>| {
        config::Record::Put(config::Put {
            change,
            object,
            base: Some(4),
            body: body.map(str::to_owned),
            author: "ann".into(),
        })
    };
    envelope(vec![
        put(1, config::Object::Template("t".into()), Some("{}")),
        put(2, config::Object::Customer("c".into()), None),
        put(3, config::Object::Host(1), None),
        put(4, config::Object::Upstream(2), None),
        config::Record::Checkpoint {
            through: 9,
            part: 0,
            parts: 1,
            objects: vec![config::Kept {
                object: config::Object::Customer("c".into()),
                revision: 4,
                body: Some("{}".into()),
                author: "ann".into(),
            }],
            recent: vec![config::Recent {
                offset: 8,
                writer: writer(),
                sequence: 1,
                changes: smallvec![1],
            }],
        },
    ])
}

pub fn lease() -> Envelope<Lease> {
    envelope(vec![
        Lease::Take {
            epoch: 1,
            expected: Some(300),
        },
        Lease::Renew { epoch: 1 },
        Lease::Release { epoch: 1 },
    ])
}

fn datagram(body: Body) -> Datagram {
    Datagram {
        sender: writer(),
        sequence: 77,
        stamp: stamp(),
        body,
    }
}

pub fn datagram_heartbeat() -> Datagram {
    let address: SocketAddr = "127.0.0.1:80".parse().expect("an address");
    let other: SocketAddr = "[::1]:81".parse().expect("an address");
    datagram(Body::Heartbeat(Box::new(Heartbeat {
        phase: Phase::Ready,
        refutation: 1,
        peer: address,
        http: other,
        failure_domain: "east".into(),
        config: 300,
        load: 12,
        news: smallvec![MemberUpdate {
            member: writer(),
            refutation: 2,
            health: Health::Dead,
            phase: Phase::Leaving,
            peer: address,
            http: other,
            failure_domain: "west".into(),
        }],
        leaving: smallvec![Leaving {
            upstream: 5,
            list: 6,
        }],
        answer: true,
    })))
}

pub fn datagram_credit() -> Datagram {
    datagram(Body::Credit(credit::Message::Withdraw(smallvec![
        credit::Grant {
            upstream: 1,
            round: 2,
            credits: 3,
            ttl_ms: 400,
        }
    ])))
}

pub fn peer_request() -> Request {
    Request::Results {
        job: 1,
        shard: 2,
        from: 3,
        custom_id: Some("a".into()),
    }
}

pub fn peer_response() -> Vec<Response> {
    vec![
        Response::Results(vec![Outcome {
            custom_id: "a".into(),
            completion: None,
        }]),
        Response::Counted(Count {
            pending: 1,
            answered: 2,
            failed: 3,
            cancelled: 4,
        }),
        Response::NotOwner(Some(writer().process)),
        Response::Failed {
            code: Code::LogUnavailable,
            ran: Ran::No,
            message: "no".into(),
        },
    ]
}
