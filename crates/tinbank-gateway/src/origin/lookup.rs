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

use super::barrier;
use crate::{border::store::List, measure, node::Node, sharing::Keepers};

/// Time after which hosts that have not answered are asked again, in percent of the response timeout.
const RESEND_PERCENT: u32 = 40;

/// A stream that a caller resumes.
struct Wanted<'a> {
    key: Key,
    /// Services of the route.
    services: &'a [&'a str],
    arrived_at: Instant,
    arrived_at_wall: SystemTime,
}

/// Returns where a stream of some services goes on. Takes a round trip to other hosts unless this one knows, and one to the store
/// unless they do.
pub(crate) async fn find(
    node: &Rc<Node>,
    key: Key,
    services: &[&str],
    deadline: Instant,
) -> Choice {
    let started_at = Instant::now();
    let wanted = Wanted {
        key,
        services,
        arrived_at: started_at,
        arrived_at_wall: SystemTime::now(),
    };
    let own = node.origins.table.borrow().get(key, started_at);
    let choice = match own {
        Answer::Known(origin) => Choice::At(origin, Source::Own),
        Answer::Conflicting => Choice::Refused(Refusal::Conflicting),
        Answer::Unknown => find_at_others(node, &wanted, deadline).await,
    };
    measure::record_origin_lookup(choice.label(), started_at.elapsed());
    choice
}

async fn find_at_others(node: &Rc<Node>, wanted: &Wanted<'_>, deadline: Instant) -> Choice {
    let answers = ask(node, wanted.key).await;
    let view = &node.view;
    let asked_at = Instant::now();
    let mut choice = choose(node, wanted, &answers);
    let mut read = "not_needed";
    if choice == Choice::Refused(Refusal::ListOutdated) && view.is_config_fresh(asked_at) {
        let until = deadline.min(asked_at + barrier::MAX_WAIT);
        read = barrier::pass(node, wanted.arrived_at, until).await.label();
        choice = choose(node, wanted, &answers);
    }
    let now = Instant::now();
    log::info!(
        stream:% = format_args!("{:016x}", wanted.key),
        asked = answers.len(),
        unanswered = answers.iter().filter(|it| it.is_none()).count(),
        listed:? = listed(node, wanted.services),
        list_age:? = view.upstreams_age(now),
        is_config_fresh = view.is_config_fresh(now),
        builds_age:? = view.builds_age(now),
        builds_position:? = view.position(List::Builds),
        read,
        read_ms = (now - asked_at).as_millis() as u64,
        origin = choice.label();
        "origin of a stream looked up at other hosts"
    );
    choice
}

fn choose(node: &Node, wanted: &Wanted<'_>, answers: &Answers) -> Choice {
    let view = &node.view;
    let builds = &node.origins.builds;
    let listed = listed(node, wanted.services);
    let history = builds.history();
    let is_fresh = view.is_config_fresh(Instant::now());
    let evidence = Evidence {
        services: Some(wanted.services).filter(|_| is_fresh),
        listed: &listed,
        history: view.position(List::Builds).map(|_| &*history),
        read_requested_at: builds.barrier.requested_at(view),
        arrived_at: wanted.arrived_at,
        arrived_at_wall: wanted.arrived_at_wall,
    };
    evidence.choose(answers)
}

fn listed(node: &Node, services: &[&str]) -> Vec<id::Build> {
    let listed = node.view.builds(services);
    listed.into_iter().map(|it| it.build).collect()
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
