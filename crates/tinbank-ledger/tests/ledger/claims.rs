//! Claims of online requests: one request runs, and a retry gets its outcome.

use std::time::Duration;

use bytes::Bytes;
use tinbank_base::{
    frame::request::Claimed,
    id,
    outcome::{Code, Ran},
    record::{
        claim::{Claim, Settled, Stored},
        work::Record,
    },
};
use tinbank_ledger::{placement, shard::Shard};

use crate::fixture::{self, DAY, SHARDS, time, writer};

const GRACE: Duration = Duration::from_secs(30);

#[test]
fn the_first_claim_wins_and_a_retry_gets_its_answer() {
    let (first, retry) = (claim(1, 10), claim(2, 20));
    let mut shard = Shard::new(0, SHARDS);
    let free = shard.claim_status(&first);
    append(
        &mut shard,
        vec![Record::Claim(first.clone()), Record::Claim(retry.clone())],
    );

    let (won, running) = (shard.claim_status(&first), shard.claim_status(&retry));
    append(&mut shard, vec![Record::Settled(answered(&first))]);
    let settled = shard.claim_status(&retry);

    assert_eq!(free, None);
    assert_eq!(won, Some(Claimed::Won));
    assert_eq!(running, Some(Claimed::Running));
    assert_eq!(settled, Some(Claimed::Settled(answered(&first).answer)));
}

#[test]
fn a_claim_of_the_same_key_with_another_body_is_detected() {
    let first = claim(1, 10);
    let other = Claim {
        body: [9; 32],
        ..claim(2, 20)
    };
    let mut shard = Shard::new(0, SHARDS);

    append(&mut shard, vec![Record::Claim(first.clone())]);

    let status = shard.claim_status(&other);
    assert_eq!(status, Some(Claimed::OtherBody { first: first.body }));
}

#[test]
fn only_the_claimer_can_settle_its_claim() {
    let (first, other) = (claim(1, 10), claim(2, 20));
    let mut shard = Shard::new(0, SHARDS);
    append(&mut shard, vec![Record::Claim(first.clone())]);

    append(&mut shard, vec![Record::Settled(answered(&other))]);

    assert_eq!(shard.claim_status(&first), Some(Claimed::Won));
    assert!(!shard.claims().settled(&answered(&other)));
}

#[test]
fn a_claim_that_did_not_run_frees_its_key() {
    let (first, next) = (claim(1, 10), claim(2, 20));
    let mut shard = Shard::new(0, SHARDS);
    append(&mut shard, vec![Record::Claim(first.clone())]);
    append(&mut shard, vec![Record::Settled(not_run(&first))]);

    let free = shard.claim_status(&next);
    append(&mut shard, vec![Record::Claim(next.clone())]);

    assert_eq!(free, None);
    assert_eq!(shard.claim_status(&next), Some(Claimed::Won));
}

#[test]
fn a_late_duplicate_of_a_claim_does_not_take_the_freed_key() {
    let (first, next) = (claim(1, 10), claim(2, 20));
    let mut shard = Shard::new(0, SHARDS);
    let claimed = fixture::envelope(writer(7, 1), 1, 1, vec![Record::Claim(first.clone())]);
    shard.apply(0, &claimed);
    append(&mut shard, vec![Record::Settled(not_run(&first))]);

    let next_offset = shard.next();
    shard.apply(next_offset, &claimed);

    assert_eq!(shard.claim_status(&next), None);
}

#[test]
fn a_late_duplicate_of_a_not_run_settlement_does_not_free_the_next_claim() {
    let first = claim(1, 10);
    let retry = claim(1, 11);
    let mut shard = Shard::new(0, SHARDS);
    append(
        &mut shard,
        vec![
            Record::Claim(first.clone()),
            Record::Settled(not_run(&first)),
        ],
    );
    append(&mut shard, vec![Record::Claim(retry.clone())]);

    append(&mut shard, vec![Record::Settled(not_run(&first))]);

    assert_eq!(shard.claim_status(&retry), Some(Claimed::Won));
}

#[test]
fn the_claim_of_a_lost_claimer_is_settled_as_unknown() {
    let (lost, running) = (claim(1, 10), other_key(claim(2, 20)));
    let mut shard = Shard::new(0, SHARDS);
    append(
        &mut shard,
        vec![Record::Claim(lost.clone()), Record::Claim(running.clone())],
    );

    let early = shard.claims().overdue(time(1), GRACE, |_| false);
    let overdue = shard
        .claims()
        .overdue(time(1), GRACE, |claimer| claimer == lost.claimer);
    append(
        &mut shard,
        overdue.into_iter().map(Record::Settled).collect(),
    );
    append(&mut shard, vec![Record::Settled(answered(&lost))]);

    assert_eq!(early, []);
    assert_eq!(shard.claim_status(&lost), Some(Claimed::Unknown));
    assert_eq!(shard.claim_status(&running), Some(Claimed::Won));
    assert!(
        !shard.claims().settled(&answered(&lost)),
        "the later answer has no effect"
    );
}

#[test]
fn a_claim_is_overdue_after_its_deadline_and_the_grace_period() {
    let open = claim(1, 10);
    let mut shard = Shard::new(0, SHARDS);
    append(&mut shard, vec![Record::Claim(open.clone())]);

    let within = shard
        .claims()
        .overdue(open.deadline + GRACE, GRACE, |_| false);
    let past = shard
        .claims()
        .overdue(open.deadline + GRACE + GRACE, GRACE, |_| false);

    assert_eq!(within.len(), 0);
    assert_eq!(past.len(), 1);
}

#[test]
fn settled_claims_expire_and_open_claims_do_not() {
    let (settled, open) = (claim(1, 10), other_key(claim(2, 20)));
    let mut shard = Shard::new(0, SHARDS);
    append(
        &mut shard,
        vec![Record::Claim(settled.clone()), Record::Claim(open.clone())],
    );
    append(&mut shard, vec![Record::Settled(answered(&settled))]);

    append_at(&mut shard, 2 * DAY, Vec::new());

    assert_eq!(shard.claim_status(&settled), None);
    assert_eq!(shard.claim_status(&open), Some(Claimed::Won));
    assert!(shard.live());
}

fn claim(host: id::Host, request: id::Request) -> Claim {
    Claim {
        key: placement::claim_key("water", "alarm 1"),
        body: [1; 32],
        claimer: writer(host, 1),
        request,
        deadline: time(30),
        keep_until: time(DAY),
    }
}

fn other_key(claim: Claim) -> Claim {
    Claim {
        key: placement::claim_key("water", "alarm 2"),
        ..claim
    }
}

fn answered(claim: &Claim) -> Settled {
    Settled {
        key: claim.key,
        claimer: claim.claimer,
        request: claim.request,
        answer: Ok(Bytes::from_static(b"{}")),
    }
}

fn not_run(claim: &Claim) -> Settled {
    let stored = Stored {
        code: Code::NoUpstream,
        ran: Ran::No,
        message: "no upstream".into(),
    };
    Settled {
        answer: Err(stored),
        ..answered(claim)
    }
}

fn append(shard: &mut Shard, records: Vec<Record>) {
    append_at(shard, 1, records);
}

fn append_at(shard: &mut Shard, seconds: u64, records: Vec<Record>) {
    let offset = shard.next();
    shard.apply(
        offset,
        &fixture::envelope(writer(7, 1), offset + 1, seconds, records),
    );
}
