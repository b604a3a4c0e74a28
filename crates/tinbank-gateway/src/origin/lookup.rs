//! Finds the origin of a stream that a caller resumes.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Instant, SystemTime},
};

use tinbank_allocator::frame::{Frame, OriginQuery};
use tinbank_base::id;
use tinbank_origin::{
    Answer, Choice, Evidence, Key, Refusal,
    choice::{Answers, Source},
};
use tokio::{sync::mpsc, time};

use crate::{border::store::List, measure, node::Node, sharing::Keepers};

/// Time after which hosts that have not answered are asked again, in percent of the response timeout.
const RESEND_PERCENT: u32 = 40;

/// Returns where a stream of some services goes on. Takes a round trip to other hosts unless this one knows.
pub(crate) async fn find(node: &Rc<Node>, key: Key, services: &[&str]) -> Choice {
    let started_at = Instant::now();
    let own = node.origins.table.borrow().get(key, started_at);
    let choice = match own {
        Answer::Known(origin) => Choice::At(origin, Source::Own),
        Answer::Conflicting => Choice::Refused(Refusal::Conflicting),
        Answer::Unknown => {
            let answers = ask(node, key).await;
            choose(node, key, services, &answers)
        }
    };
    measure::record_origin_lookup(choice.label(), started_at.elapsed());
    choice
}

fn choose(node: &Node, key: Key, services: &[&str], answers: &Answers) -> Choice {
    let now = Instant::now();
    let view = &node.view;
    let builds = node.origins.builds.history();
    let listed = view.builds(services);
    let listed: Vec<id::Build> = listed.into_iter().map(|it| it.build).collect();
    let is_fresh = view.is_config_fresh(now);
    let evidence = Evidence {
        services,
        listed: &listed,
        list_age: view.upstreams_age(now).filter(|_| is_fresh),
        history: view.position(List::Builds).map(|_| &*builds),
        now: SystemTime::now(),
    };
    let choice = evidence.choose(answers);
    log::info!(
        stream:% = format_args!("{key:016x}"),
        asked = answers.len(),
        unanswered = answers.iter().filter(|it| it.is_none()).count(),
        listed:?,
        list_age:? = evidence.list_age,
        builds_age:? = view.builds_age(now),
        origin = choice.label();
        "origin of a stream looked up at other hosts"
    );
    choice
}

/// Asks the hosts that keep the origin of a stream, until one knows it.
async fn ask(node: &Rc<Node>, key: Key) -> Answers {
    let mut waiting = node.sharing.origin_sources(key, Instant::now());
    let mut answers = Answers::new();
    if waiting.is_empty() {
        return answers;
    }
    let (query, mut replies) = Query::start(node, key);
    let started_at = Instant::now();
    let timeout = node.sharing.longest_response_timeout(&waiting);
    let attempts = [
        started_at + timeout * RESEND_PERCENT / 100,
        started_at + timeout,
    ];
    for until in attempts {
        query.send(&waiting);
        while let Ok(Some((from, answer))) = time::timeout_at(until.into(), replies.recv()).await {
            let is_known = answer != Answer::Unknown;
            if let Some(index) = waiting.iter().position(|it| *it == from) {
                waiting.remove(index);
                answers.push(Some(answer));
            }
            if is_known || waiting.is_empty() {
                return answers;
            }
        }
    }
    answers.extend(waiting.iter().map(|_| None));
    answers
}

/// A query in progress.
struct Query<'a> {
    node: &'a Node,
    frame: Frame,
    number: u64,
}

impl<'a> Query<'a> {
    fn start(node: &'a Node, key: Key) -> (Self, mpsc::UnboundedReceiver<(SocketAddr, Answer)>) {
        let (sender, replies) = mpsc::unbounded_channel();
        let number = node.origins.next_query.get();
        node.origins.next_query.set(number + 1);
        node.origins.queries.borrow_mut().insert(number, sender);
        let query = Self {
            node,
            frame: Frame::OriginQuery(OriginQuery { query: number, key }),
            number,
        };
        (query, replies)
    }

    fn send(&self, hosts: &Keepers) {
        for host in hosts {
            self.node.sharing.send_to(*host, &self.frame);
        }
    }
}

impl Drop for Query<'_> {
    fn drop(&mut self) {
        self.node.origins.queries.borrow_mut().remove(&self.number);
    }
}
