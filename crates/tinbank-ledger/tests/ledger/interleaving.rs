//! Random interleavings of intake, runs, cancels, takeovers, restarts, duplicate appends, checkpoints and retention,
//! checked against the reference model.

use std::collections::{BTreeMap, BTreeSet};

use proptest::{prelude::*, sample::Index};
use tinbank_base::{id, record::work};
use tinbank_ledger::placement;
use tinbank_test_support::property;

use crate::{
    fixture::{self, SHARDS},
    model::Model,
    world::{HOSTS, ITEMS, World},
};

const CASES: u32 = 1_500;
const MAX_STEPS: usize = 90;

#[derive(Clone, Debug)]
enum Step {
    Intake {
        host: usize,
        job: usize,
        records: usize,
    },
    Read {
        host: usize,
        shard: id::Shard,
        count: usize,
    },
    TakeLease {
        host: usize,
        shard: id::Shard,
    },
    ReleaseLease {
        host: usize,
        shard: id::Shard,
    },
    Duties {
        host: usize,
        shard: id::Shard,
        limit: usize,
    },
    Run {
        host: usize,
        shard: id::Shard,
        limit: usize,
    },
    Finish {
        host: usize,
        limit: usize,
    },
    FullRound {
        host: usize,
        phases: usize,
    },
    Cancel {
        host: usize,
        job: usize,
    },
    Restart {
        host: usize,
    },
    Duplicate {
        shard: id::Shard,
        pick: Index,
    },
    Checkpoint {
        host: usize,
        shard: id::Shard,
        parts: usize,
    },
    Trim {
        shard: id::Shard,
    },
    AdvanceTime {
        seconds: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS;
    let shard = 0..SHARDS;
    let job = 0..2usize;
    prop_oneof![
        3 => (host.clone(), job.clone(), prop_oneof![Just(4usize), 1..4usize])
            .prop_map(|(host, job, records)| Step::Intake { host, job, records }),
        12 => (host.clone(), shard.clone(), 1..20usize)
            .prop_map(|(host, shard, count)| Step::Read { host, shard, count }),
        5 => (host.clone(), shard.clone()).prop_map(|(host, shard)| Step::TakeLease { host, shard }),
        1 => (host.clone(), shard.clone()).prop_map(|(host, shard)| Step::ReleaseLease { host, shard }),
        6 => (host.clone(), shard.clone(), 1..4usize)
            .prop_map(|(host, shard, limit)| Step::Duties { host, shard, limit }),
        8 => (host.clone(), shard.clone(), 1..6usize)
            .prop_map(|(host, shard, limit)| Step::Run { host, shard, limit }),
        6 => (host.clone(), 1..4usize).prop_map(|(host, limit)| Step::Finish { host, limit }),
        6 => (host.clone(), 1..=10usize).prop_map(|(host, phases)| Step::FullRound { host, phases }),
        1 => (host.clone(), job).prop_map(|(host, job)| Step::Cancel { host, job }),
        1 => host.clone().prop_map(|host| Step::Restart { host }),
        2 => (shard.clone(), any::<Index>()).prop_map(|(shard, pick)| Step::Duplicate { shard, pick }),
        2 => (host, shard.clone(), 1..9usize)
            .prop_map(|(host, shard, parts)| Step::Checkpoint { host, shard, parts }),
        1 => shard.prop_map(|shard| Step::Trim { shard }),
        2 => (1..3u64).prop_map(|seconds| Step::AdvanceTime { seconds }),
    ]
}

fn act(world: &mut World, step: Step) {
    match step {
        Step::Intake { host, job, records } => world.intake(host, world.jobs[job], records),
        Step::Read { host, shard, count } => world.read(host, shard, count),
        Step::TakeLease { host, shard } => world.take_lease(host, shard),
        Step::ReleaseLease { host, shard } => world.release_lease(host, shard),
        Step::Duties { host, shard, limit } => world.duties(host, shard, limit),
        Step::Run { host, shard, limit } => world.run(host, shard, limit),
        Step::Finish { host, limit } => world.finish(host, limit),
        Step::FullRound { host, phases } => world.full_round(host, phases),
        Step::Cancel { host, job } => world.cancel(host, world.jobs[job]),
        Step::Restart { host } => world.restart(host),
        Step::Duplicate { shard, pick } => world.duplicate(shard, pick.index(usize::MAX)),
        Step::Checkpoint { host, shard, parts } => world.checkpoint(host, shard, parts),
        Step::Trim { shard } => world.trim(shard),
        Step::AdvanceTime { seconds } => world.advance_time(seconds),
    }
}

proptest! {
    #![proptest_config(property::config(CASES))]

    #[test]
    fn every_item_ends_once_as_in_the_reference_model(steps in prop::collection::vec(step(), 1..MAX_STEPS)) {
        let mut world = World::new();

        for step in steps {
            act(&mut world, step);
        }
        world.settle(0);
        late_completions(&mut world);

        assert_sent_at_most_once(&world);
        for shard in 0..SHARDS {
            assert_readers_agree(&world, shard);
        }
        for job in world.jobs {
            assert_outcomes_match(&world, job);
            assert_accepted_job_is_complete(&world, job);
        }
    }
}

/// Paused owners append completions after all items have ended.
fn late_completions(world: &mut World) {
    for host in 0..HOSTS {
        world.finish(host, usize::MAX);
    }
}

fn assert_sent_at_most_once(world: &World) {
    let mut sent = BTreeSet::new();
    for (job, item) in &world.sends {
        let again = !sent.insert((*job, *item));
        let repeatable = fixture::item(*item).repeatable;
        assert!(!again || repeatable, "item {item} was sent twice");
    }
}

/// A fold from a checkpoint and a fold from the first record must yield the same state.
fn assert_readers_agree(world: &World, shard: id::Shard) {
    let full = world.full_fold(shard);
    assert_eq!(world.fold(shard), full);
    assert!(!full.live(), "shard {shard} has unfinished work");
}

fn assert_outcomes_match(world: &World, job: id::Job) {
    for shard in 0..SHARDS {
        let model = Model::from_log(&world.logs[usize::from(shard)].envelopes);
        let fold = world.fold(shard);
        let results = world.results(&fold, job);
        let names: Vec<_> = results.iter().map(|(_, name, _)| name.clone()).collect();
        let expected: Vec<_> = model
            .items(job)
            .into_iter()
            .map(|item| item.custom_id)
            .collect();
        assert_eq!(names, expected);
        let ended: BTreeMap<_, _> = results
            .into_iter()
            .filter_map(|(item, _, outcome)| outcome.map(|outcome| ((job, item), outcome)))
            .collect();
        let expected: BTreeMap<_, _> = model
            .ended
            .into_iter()
            .filter(|((of, _), _)| *of == job)
            .collect();
        assert_eq!(ended, expected);
    }
}

fn assert_accepted_job_is_complete(world: &World, job: id::Job) {
    let head_shard = placement::shard_of_job(job, SHARDS);
    let model = Model::from_log(&world.logs[usize::from(head_shard)].envelopes);
    let fold = world.fold(head_shard);
    let Some(head) = model.heads.get(&job) else {
        assert_eq!(fold.job(job), None);
        return;
    };
    let known = fold.job(job).expect("an accepted job is known");
    assert_eq!(&known.head, head);
    assert!(known.finished());
    let total =
        |count: fn(&work::Part) -> id::Item| known.parts.iter().map(count).sum::<id::Item>();
    let answered = total(|part| part.answered);
    let failed = total(|part| part.failed);
    let cancelled = total(|part| part.cancelled);
    assert_eq!(answered + failed + cancelled, ITEMS);
    if !known.cancelled {
        assert_eq!(cancelled, 0);
    }
}
