use std::time::Duration;

use tokio::sync::mpsc::{self, UnboundedReceiver};

use super::{Batch, Event, Sequence, Step};
use crate::{
    account::{Account, End, Run},
    engine::{Settings, answer::Text},
};

fn batch(slots: u32, account: &Account) -> Batch {
    let settings = Settings {
        slots,
        prefill_tokens_per_ms: 1.0,
        ..Settings::default()
    };
    Batch::new(&settings, account.clone())
}

fn sequence(request: u128, tokens: u32, account: &Account) -> (Sequence, UnboundedReceiver<Event>) {
    let run = account.begin(Run {
        request: None,
        reference: None,
        prompt: 0,
        resumed_from: 0,
        tokens: 0,
        end: End::Running,
    });
    let (events, received) = mpsc::unbounded_channel();
    let answer = Text {
        prompt: request as u64,
        tokens,
        cut: false,
    };
    let sequence = Sequence {
        request,
        run,
        words: vec!["word".to_owned(); 5],
        answer,
        next: 0,
        kills: false,
        events,
    };
    (sequence, received)
}

fn ends(account: &Account) -> Vec<End> {
    account.runs().iter().map(|run| run.end).collect()
}

#[test]
fn a_step_grows_with_the_batch_and_with_what_is_prefilled() {
    let account = Account::default();
    let mut batch = batch(8, &account);
    let (first, _first) = sequence(1, 10, &account);
    let (second, _second) = sequence(2, 10, &account);

    batch.push(first);
    let alone = batch.begin_step();
    batch.end_step();
    batch.push(second);
    let joined = batch.begin_step();
    batch.end_step();
    let both = batch.begin_step();

    let steps = [alone, joined, both].map(|step| step.map(|step| step.as_millis()));
    assert_eq!(steps, [Some(10 + 1 + 5), Some(10 + 2 + 5), Some(10 + 2)]);
}

#[test]
fn requests_beyond_the_slots_wait_their_turn() {
    let account = Account::default();
    let mut batch = batch(1, &account);
    let (first, mut first_events) = sequence(1, 1, &account);
    let (second, mut second_events) = sequence(2, 1, &account);
    batch.push(first);
    batch.push(second);

    batch.begin_step();
    batch.end_step();

    assert!(matches!(
        first_events.try_recv(),
        Ok(Event::Token { index: 0, .. })
    ));
    assert!(matches!(
        first_events.try_recv(),
        Ok(Event::End { tokens: 1, .. })
    ));
    assert!(second_events.try_recv().is_err());
    assert_eq!(ends(&account), [End::Completed, End::Running]);
}

#[test]
fn a_cancelled_request_and_a_deserted_one_stop() {
    let account = Account::default();
    let mut batch = batch(8, &account);
    let (first, mut events) = sequence(1, 10, &account);
    let (second, deserted) = sequence(2, 10, &account);
    batch.push(first);
    batch.push(second);
    batch.begin_step();

    batch.cancel(1);
    drop(deserted);

    assert_eq!(batch.begin_step(), None);
    assert_eq!(events.try_recv(), Ok(Event::Cancelled { tokens: 0 }));
    assert_eq!(ends(&account), [End::Cancelled, End::Cancelled]);
}

#[test]
fn a_killer_takes_its_neighbours_with_it() {
    let account = Account::default();
    let mut batch = batch(8, &account);
    let (first, _events) = sequence(1, 10, &account);
    let (mut killer, _killer) = sequence(2, 10, &account);
    killer.kills = true;
    batch.push(first);
    batch.push(killer);

    let step = batch.begin_step();
    let ended = batch.end_step();
    batch.clear();

    assert_eq!(step, Some(Duration::from_millis(22)));
    assert_eq!(ended, Step::Killed);
    assert_eq!(ends(&account), [End::Failed, End::Failed]);
}
