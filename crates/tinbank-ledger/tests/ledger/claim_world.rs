//! Simulation of concurrent claims of one key: online processes that use stale owners, retry and crash, and owners that
//! settle claims.

use std::time::Duration;

use bytes::Bytes;
use proptest::{prelude::*, sample::Index};
use tinbank_base::{
    frame::request::Claimed,
    id,
    outcome::{Code, Ran},
    record::{
        Envelope,
        claim::{Claim, Settled, Stored},
        work::Record,
    },
};
use tinbank_ledger::{placement, shard::Shard};
use tinbank_test_support::property;

use crate::fixture::{self, DAY, SHARDS, time, writer};

const CASES: u32 = 2_000;
const MAX_STEPS: usize = 80;
const OWNERS: usize = 2;
const CLAIMERS: usize = 2;

#[derive(Clone, Debug)]
enum Step {
    /// A caller sends or retries the request at an online process, which claims it at an owner.
    Submit {
        claimer: usize,
        owner: usize,
    },
    Read {
        owner: usize,
        count: usize,
    },
    /// An online process that won the claim sends the request; the upstream may report that it did not run.
    Send {
        claimer: usize,
        owner: usize,
        runs: bool,
    },
    /// An online process sends its result to an owner, or repeats its last one.
    Settle {
        claimer: usize,
        owner: usize,
        again: bool,
    },
    /// An online process crashes and restarts without state.
    Crash {
        claimer: usize,
    },
    /// An owner settles the claims of a process that it believes, rightly or not, to be gone.
    Expire {
        owner: usize,
        claimer: usize,
    },
    /// A duplicate of an earlier append is written.
    Copy {
        pick: Index,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let (claimer, owner) = (0..CLAIMERS, 0..OWNERS);
    prop_oneof![
        4 => (claimer.clone(), owner.clone()).prop_map(|(claimer, owner)| Step::Submit { claimer, owner }),
        6 => (owner.clone(), 1..6usize).prop_map(|(owner, count)| Step::Read { owner, count }),
        6 => (claimer.clone(), owner.clone(), any::<bool>())
            .prop_map(|(claimer, owner, runs)| Step::Send { claimer, owner, runs }),
        5 => (claimer.clone(), owner.clone(), any::<bool>()).prop_map(|(claimer, owner, again)| Step::Settle { claimer, owner, again }),
        1 => claimer.clone().prop_map(|claimer| Step::Crash { claimer }),
        1 => (owner, claimer).prop_map(|(owner, claimer)| Step::Expire { owner, claimer }),
        2 => any::<Index>().prop_map(|pick| Step::Copy { pick }),
    ]
}

#[derive(Default)]
struct World {
    log: Vec<Envelope<Record>>,
    owners: Vec<Shard>,
    claimers: Vec<Claimer>,
    requests: id::Request,
    /// Results of requests that ran.
    ran: Vec<Bytes>,
}

struct Claimer {
    incarnation: u64,
    claim: Option<Claim>,
    result: Option<Settled>,
    /// Last result sent, for which no response may have arrived.
    last_sent: Option<Settled>,
}

impl World {
    fn new() -> Self {
        let claimer = |_| Claimer {
            incarnation: 1,
            claim: None,
            result: None,
            last_sent: None,
        };
        Self {
            owners: vec![Shard::new(0, SHARDS); OWNERS],
            claimers: (0..CLAIMERS).map(claimer).collect(),
            ..Self::default()
        }
    }

    fn act(&mut self, step: Step) {
        match step {
            Step::Submit { claimer, owner } => self.submit(claimer, owner),
            Step::Read { owner, count } => self.read(owner, count),
            Step::Send {
                claimer,
                owner,
                runs,
            } => self.send(claimer, owner, runs),
            Step::Settle {
                claimer,
                owner,
                again,
            } => self.settle(claimer, owner, again),
            Step::Crash { claimer } => {
                self.claimers[claimer] = Claimer {
                    incarnation: self.claimers[claimer].incarnation + 1,
                    claim: None,
                    result: None,
                    last_sent: None,
                };
            }
            Step::Expire { owner, claimer } => {
                let process = writer(claimer as id::Host, 1).process;
                let gone = |writer: tinbank_base::record::Writer| writer.process == process;
                let overdue = self.owners[owner]
                    .claims()
                    .overdue(time(0), Duration::ZERO, gone);
                self.append(owner, overdue.into_iter().map(Record::Settled).collect());
            }
            Step::Copy { pick } => {
                if !self.log.is_empty() {
                    let copy = self.log[pick.index(self.log.len())].clone();
                    self.log.push(copy);
                }
            }
        }
    }

    fn submit(&mut self, claimer: usize, owner: usize) {
        self.requests += 1;
        let request = self.requests;
        let this = &mut self.claimers[claimer];
        let claim = this.claim.get_or_insert_with(|| Claim {
            key: placement::claim_key("water", "alarm"),
            body: [1; 32],
            claimer: writer(claimer as id::Host, this.incarnation),
            request,
            deadline: time(30),
            keep_until: time(DAY),
        });
        let claim = claim.clone();
        if self.owners[owner].claim_status(&claim).is_none() {
            self.append(owner, vec![Record::Claim(claim)]);
        }
    }

    fn send(&mut self, claimer: usize, owner: usize, runs: bool) {
        let this = &mut self.claimers[claimer];
        let Some(claim) = this.claim.as_ref().filter(|_| this.result.is_none()) else {
            return;
        };
        if self.owners[owner].claim_status(claim) != Some(Claimed::Won) {
            return;
        }
        let answer = Bytes::from(format!("answer to {}", claim.request));
        let refused = Stored {
            code: Code::NoUpstream,
            ran: Ran::No,
            message: String::new(),
        };
        this.result = Some(Settled {
            key: claim.key,
            claimer: claim.claimer,
            request: claim.request,
            answer: if runs {
                Ok(answer.clone())
            } else {
                Err(refused)
            },
        });
        if runs {
            self.ran.push(answer);
        }
    }

    fn settle(&mut self, claimer: usize, owner: usize, again: bool) {
        let this = &mut self.claimers[claimer];
        let settled = if again {
            this.last_sent.clone()
        } else {
            this.result.clone()
        };
        let Some(settled) = settled else {
            return;
        };
        this.last_sent = Some(settled.clone());
        // A caller that learned that its request did not run may retry it as a new request.
        if settled.answer.is_err() && !again {
            this.claim = None;
            this.result = None;
        }
        self.append(owner, vec![Record::Settled(settled)]);
    }

    fn read(&mut self, owner: usize, count: usize) {
        let fold = &mut self.owners[owner];
        for _ in 0..count {
            if let Some(envelope) = self.log.get(fold.next() as usize) {
                fold.apply(fold.next(), envelope);
            }
        }
    }

    fn append(&mut self, owner: usize, records: Vec<Record>) {
        let owner_writer = writer(100 + owner as id::Host, 1);
        let sequence = self.log.len() as u64 + 1;
        self.log
            .push(fixture::envelope(owner_writer, sequence, 1, records));
    }
}

proptest! {
    #![proptest_config(property::config(CASES))]

    #[test]
    fn a_claimed_request_runs_at_most_once(steps in prop::collection::vec(step(), 1..MAX_STEPS)) {
        let mut world = World::new();

        for step in steps {
            world.act(step);
        }

        prop_assert!(world.ran.len() <= 1, "ran: {:?}", world.ran);
        for owner in 0..OWNERS {
            world.read(owner, world.log.len());
        }
        prop_assert_eq!(&world.owners[0], &world.owners[1]);
    }
}
