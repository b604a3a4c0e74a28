//! Tells other hosts what this one has seen of requests that end upstreams.

use std::{rc::Rc, time::Duration};

use tinbank_allocator::frame::Frame;
use tinbank_quarantine::Update;
use tokio::{task, time};

use crate::node::Node;

/// Time until news is told a second time, because datagrams are lost now and then, two in a row hardly ever. Source: longer than
/// a link is full for a moment, shorter than the time after which a caller comes again.
const AGAIN: Duration = Duration::from_millis(150);

/// Tells for as long as the process runs.
pub(crate) async fn broadcast(node: Rc<Node>) {
    loop {
        node.quarantine.posted.notified().await;
        let news = node.quarantine.outbox.take();
        for news in news {
            task::spawn_local(tell_twice(Rc::clone(&node), news));
        }
    }
}

async fn tell_twice(node: Rc<Node>, news: Update) {
    node.sharing.broadcast(&Frame::Quarantine(news.clone()));
    time::sleep(AGAIN).await;
    if let Some(news) = still_true(&node, news) {
        node.sharing.broadcast(&Frame::Quarantine(news));
    }
}

/// What is left of news after a while: requests that were cleared since are not blamed again.
fn still_true(node: &Node, news: Update) -> Option<Update> {
    let Update::Ended(mut report) = news else {
        return Some(news);
    };
    report
        .requests
        .retain(|it| node.quarantine.suspects(it.request));
    (!report.requests.is_empty()).then_some(Update::Ended(report))
}
