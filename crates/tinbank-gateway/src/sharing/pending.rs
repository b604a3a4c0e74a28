//! A slot request in progress.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use tinbank_allocator::frame::{Frame, SlotRequest, Verdict};
use tokio::{sync::mpsc, time};

use super::{Grantor, Sharing};

/// Time after which a request is sent again in case a datagram was lost, in percent of the response timeout. The
/// response has usually arrived by then, and the second request still has time for its own.
const RESEND_PERCENT: u32 = 40;
/// Time between two transmissions of a request that waits at the allocator, since the grant or the allocator may be lost.
const RESEND_INTERVAL: Duration = Duration::from_millis(70);

/// A slot request in progress. Dropping it withdraws the request at the allocator and releases a slot that was granted
/// meanwhile.
pub(super) struct Pending {
    sharing: Rc<Sharing>,
    allocator: Grantor,
    request: SlotRequest,
    verdicts: mpsc::UnboundedReceiver<Verdict>,
    last: Option<Verdict>,
}

impl Pending {
    /// Sends a request to an allocator.
    pub fn send(sharing: &Rc<Sharing>, allocator: Grantor, request: SlotRequest) -> Self {
        let (sender, verdicts) = mpsc::unbounded_channel();
        let lease = request.lease;
        sharing.state.borrow_mut().pending.insert(lease, sender);
        let pending = Self {
            sharing: Rc::clone(sharing),
            allocator,
            request,
            verdicts,
            last: None,
        };
        pending.resend();
        pending
    }

    /// Returns the first verdict, or `None` if the allocator does not answer in time.
    pub async fn first_verdict(&mut self, sent_at: Instant, timeout: Duration) -> Option<Verdict> {
        let resend_at = sent_at + timeout * RESEND_PERCENT / 100;
        if let Some(verdict) = self.next(resend_at).await {
            return Some(verdict);
        }
        self.resend();
        self.next(sent_at + timeout).await
    }

    /// Waits until the allocator decides on the request, or until the given time.
    pub async fn wait(&mut self, until: Instant) -> Option<Verdict> {
        loop {
            let now = Instant::now();
            if now >= until {
                return Some(Verdict::Waiting);
            }
            match self.next(until.min(now + RESEND_INTERVAL)).await {
                Some(Verdict::Waiting) => {}
                Some(verdict) => return Some(verdict),
                None => self.resend(),
            }
        }
    }

    /// Returns whether the request is queued at the allocator.
    pub fn is_queued(&self) -> bool {
        self.last == Some(Verdict::Waiting)
    }

    async fn next(&mut self, until: Instant) -> Option<Verdict> {
        let next = time::timeout_at(until.into(), self.verdicts.recv());
        let verdict = next.await.ok().flatten()?;
        self.last = Some(verdict.clone());
        Some(verdict)
    }

    fn resend(&self) {
        let frame = Frame::SlotRequest(self.request.clone());
        self.send_frame(frame);
    }

    fn send_frame(&self, frame: Frame) {
        let frame = self.allocator.address(frame);
        self.sharing.send(self.allocator.host, &frame);
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        let lease = self.request.lease;
        self.sharing.state.borrow_mut().pending.remove(&lease);
        if self.is_queued() {
            self.send_frame(Frame::Withdraw(lease));
        }
        self.verdicts.close();
        while let Ok(verdict) = self.verdicts.try_recv() {
            if let Verdict::Granted(grant) = verdict {
                self.sharing.release_unused(&self.allocator, lease, grant);
            }
        }
    }
}
