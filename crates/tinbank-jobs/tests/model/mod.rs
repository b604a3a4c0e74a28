//! Reference model of one job, which keeps every event with its run.

use tinbank_jobs::record::{Outcome, Piece, Record};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Event {
    run: u64,
    /// Event after which its run was asked to resume.
    started_after: u64,
    number: u64,
}

#[derive(Clone, Debug, Default)]
struct Text {
    events: Vec<Event>,
    finished: bool,
}

/// One job whose items are named `item-0` and so on.
#[derive(Debug)]
pub struct Model {
    items: Vec<Text>,
    /// Finished items in order, and whether each was completed.
    results: Vec<(u32, bool)>,
    cancelled: bool,
}

impl Model {
    pub fn new(items: usize) -> Self {
        Self {
            items: vec![Text::default(); items],
            results: Vec::new(),
            cancelled: false,
        }
    }

    pub fn apply(&mut self, record: &Record) {
        if self.cancelled {
            return;
        }
        match record {
            Record::Submitted(_)
            | Record::SubmittedBy(..)
            | Record::Failed(_)
            | Record::RunStarted(_)
            | Record::TakenOver(_) => {}
            Record::Cancelled(_) => self.cancelled = true,
            Record::Checkpointed(checkpoint) => {
                self.append(checkpoint.index, &checkpoint.piece);
            }
            Record::Finished(finish) => {
                let done = match &finish.result {
                    Outcome::Abandoned(_) => true,
                    Outcome::Completed(piece) => self.append(finish.index, piece),
                };
                let text = &mut self.items[finish.index as usize];
                if done && !text.finished {
                    text.finished = true;
                    let completed = matches!(finish.result, Outcome::Completed(_));
                    self.results.push((finish.index, completed));
                }
            }
        }
    }

    /// Appends a piece if the text stays consistent. Returns whether the text includes the piece.
    fn append(&mut self, index: u32, piece: &Piece) -> bool {
        let text = &mut self.items[index as usize];
        if text.finished {
            return false;
        }
        let mut events = text.events.clone();
        events.extend((piece.after + 1..=piece.last).map(|number| Event {
            run: piece.run,
            started_after: piece.started_after,
            number,
        }));
        if is_consistent(&events) {
            text.events = events;
            return true;
        }
        // A duplicate is already part of the text.
        text.events
            .last()
            .is_some_and(|last| last.run == piece.run && last.number >= piece.last)
    }

    pub fn texts(&self) -> Vec<(String, Option<String>)> {
        let texts = self.results.iter().map(|(index, completed)| {
            let events = &self.items[*index as usize].events;
            let lines: Vec<String> = events
                .iter()
                .map(|event| format!("{}.{}", event.run, event.number))
                .collect();
            (format!("item-{index}"), completed.then(|| lines.join("\n")))
        });
        texts.collect()
    }
}

/// Returns whether the events are numbered without gaps, and each is from the run of the previous one, or from a run that was
/// asked to resume after the previous one.
fn is_consistent(events: &[Event]) -> bool {
    let is_gapless = (1..)
        .zip(events)
        .all(|(number, event)| event.number == number);
    let is_joined = events
        .windows(2)
        .all(|pair| pair[0].run == pair[1].run || pair[1].started_after == pair[0].number);
    let is_from_start = events.first().is_none_or(|first| first.started_after == 0);
    is_gapless && is_joined && is_from_start
}
