//! An ask at an allocator that is under way.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use tinbank_allocator::frame::{Frame, SlotRequest, Verdict};
use tokio::{sync::mpsc, time};

use super::Sharing;

/// Part of the time for an answer after which an ask is sent a second time, in percent: datagrams are lost now and then.
/// Source: the answer has come by then as a rule, and the second one has time for its own.
const RESEND_PERCENT: u32 = 40;
/// How often a request that waits at an allocator asks again: its answer, or the allocator, may be lost. Source: a small part
/// of the time for which requests wait.
const RENEW: Duration = Duration::from_millis(70);

/// An ask under way. When it is dropped, because the caller left or its time is up, the allocator is told that nobody waits
/// for it any more, and a slot that was granted meanwhile goes back.
pub(super) struct Pending {
    sharing: Rc<Sharing>,
    allocator: SocketAddr,
    ask: SlotRequest,
    verdicts: mpsc::UnboundedReceiver<Verdict>,
    last: Option<Verdict>,
}

impl Pending {
    /// Sends an ask to an allocator.
    pub fn send(sharing: &Rc<Sharing>, allocator: SocketAddr, ask: SlotRequest) -> Self {
        let (sender, verdicts) = mpsc::unbounded_channel();
        let lease = ask.lease;
        sharing.state.borrow_mut().asks.insert(lease, sender);
        let pending = Self {
            sharing: Rc::clone(sharing),
            allocator,
            ask,
            verdicts,
            last: None,
        };
        pending.resend();
        pending
    }

    /// The first verdict, or nothing if the allocator did not answer in time.
    pub async fn first(&mut self, sent_at: Instant, patience: Duration) -> Option<Verdict> {
        let resend_at = sent_at + patience * RESEND_PERCENT / 100;
        if let Some(verdict) = self.next(resend_at).await {
            return Some(verdict);
        }
        self.resend();
        self.next(sent_at + patience).await
    }

    /// Waits until the allocator has a slot for the request, or until it has waited for long enough.
    pub async fn wait(&mut self, until: Instant) -> Option<Verdict> {
        loop {
            let now = Instant::now();
            if now >= until {
                return Some(Verdict::Waiting);
            }
            match self.next(until.min(now + RENEW)).await {
                Some(Verdict::Waiting) => {}
                Some(verdict) => return Some(verdict),
                None => self.resend(),
            }
        }
    }

    /// True if the allocator has the request among those that wait.
    pub fn is_waiting(&self) -> bool {
        self.last == Some(Verdict::Waiting)
    }

    async fn next(&mut self, until: Instant) -> Option<Verdict> {
        let next = time::timeout_at(until.into(), self.verdicts.recv());
        let verdict = next.await.ok().flatten()?;
        self.last = Some(verdict.clone());
        Some(verdict)
    }

    fn resend(&self) {
        let frame = Frame::SlotRequest(self.ask.clone());
        self.sharing.send(self.allocator, &frame);
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        let lease = self.ask.lease;
        self.sharing.state.borrow_mut().asks.remove(&lease);
        if self.is_waiting() {
            let frame = Frame::Withdraw(lease);
            self.sharing.send(self.allocator, &frame);
        }
        self.verdicts.close();
        while let Ok(verdict) = self.verdicts.try_recv() {
            if let Verdict::Granted(grant) = verdict {
                self.sharing.give_back(self.allocator, lease, grant);
            }
        }
    }
}
