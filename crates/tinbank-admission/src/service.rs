//! Admission control in a batch process: drives the state machines with messages, time and membership.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use tinbank_base::{
    frame::credit::{CreditRequest, Grant, Message},
    id,
    peer::{Directory, Members, Peers},
    record::Writer,
};
use tokio::{
    sync::{mpsc, watch},
    time::{MissedTickBehavior, interval},
};

use crate::{
    controller::{self, Controller, Engine, Rank, Settings},
    credit_requests::CreditRequests,
    gate::{Gate, Pass},
    holder::{self, Holder, PassId},
    rank,
};

/// Interval between ticks of both state machines.
const TICK: Duration = Duration::from_millis(100);

/// Admission control in a batch process: controller of the engines it is first or second for, and holder of its own
/// credits. Clones share one state.
#[derive(Clone, Debug)]
pub struct Service {
    events: mpsc::UnboundedSender<Event>,
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug)]
enum Event {
    Message(Writer, Message),
    Engines(Vec<Engine>),
    Shares(BTreeMap<id::Customer, u32>),
}

/// State shared by traffic threads and the control task.
#[derive(Debug)]
struct Shared {
    holder: Holder,
    credit_requests: CreditRequests,
    withdrawals: BTreeMap<PassId, watch::Sender<bool>>,
}

impl Shared {
    fn perform(&self, actions: Vec<holder::Action>) {
        for holder::Action::Cancel(pass) in actions {
            metrics::counter!("tinbank_admission_cancelled_total").increment(1);
            if let Some(withdrawal) = self.withdrawals.get(&pass) {
                withdrawal.send_replace(true);
            }
        }
    }
}

impl Service {
    /// Starts admission control on the current runtime. It stops when the last clone is dropped.
    pub fn start(
        settings: Settings,
        own: Writer,
        peers: Arc<dyn Peers>,
        directory: Arc<dyn Directory>,
    ) -> Self {
        let (events, receiver) = mpsc::unbounded_channel();
        let shared = Arc::new(Mutex::new(Shared {
            holder: Holder::new(Instant::now()),
            credit_requests: CreditRequests::default(),
            withdrawals: BTreeMap::new(),
        }));
        let task = Task {
            own,
            peers,
            directory,
            members: Arc::default(),
            ready: Vec::new(),
            controller: Controller::new(settings),
            controllers: BTreeMap::new(),
            engines: Vec::new(),
            shared: shared.clone(),
        };
        tokio::spawn(task.run(receiver));
        Self { events, shared }
    }

    /// Passes on a message from a peer. Call it from [`tinbank_base::peer::Answer::on_credit`].
    pub fn on_message(&self, from: Writer, message: Message) {
        self.send_event(Event::Message(from, message));
    }

    /// Sets the engines that batch may use.
    pub fn set_engines(&self, engines: Vec<Engine>) {
        self.send_event(Event::Engines(engines));
    }

    /// Sets the customers' weights in the sharing of batch capacity. The default is 1.
    pub fn set_shares(&self, shares: BTreeMap<id::Customer, u32>) {
        self.send_event(Event::Shares(shares));
    }

    fn send_event(&self, event: Event) {
        // The control task ends only after the last clone is dropped.
        let _ = self.events.send(event);
    }
}

impl Gate for Service {
    fn enter(&self, upstream: id::Upstream, customer: &str, now: Instant) -> Option<Pass> {
        let mut shared = lock(&self.shared);
        let pass = shared.holder.enter(upstream, now)?;
        shared.credit_requests.on_enter(upstream, customer, now);
        let (withdrawal, withdrawn) = watch::channel(false);
        shared.withdrawals.insert(pass, withdrawal);
        let guard = Guard {
            upstream,
            customer: customer.to_owned(),
            pass,
            shared: self.shared.clone(),
        };
        Some(Pass {
            upstream,
            withdrawn,
            guard: Box::new(guard),
        })
    }

    fn request_credits(
        &self,
        upstream: id::Upstream,
        customer: &str,
        wanted: u16,
        due: Instant,
        now: Instant,
    ) {
        let mut shared = lock(&self.shared);
        shared
            .credit_requests
            .set_wanted(upstream, customer, wanted, due, now);
    }
}

/// Releases a pass when dropped.
struct Guard {
    upstream: id::Upstream,
    customer: id::Customer,
    pass: PassId,
    shared: Arc<Mutex<Shared>>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut shared = lock(&self.shared);
        shared.holder.leave(self.upstream, self.pass);
        shared
            .credit_requests
            .on_leave(self.upstream, &self.customer);
        shared.withdrawals.remove(&self.pass);
    }
}

/// Controllers of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Controllers {
    first: Option<(id::Process, SocketAddr)>,
    second: Option<(id::Process, SocketAddr)>,
}

struct Task {
    own: Writer,
    peers: Arc<dyn Peers>,
    directory: Arc<dyn Directory>,
    members: Arc<Members>,
    ready: Vec<(id::Process, SocketAddr)>,
    controller: Controller,
    controllers: BTreeMap<id::Upstream, Controllers>,
    engines: Vec<Engine>,
    shared: Arc<Mutex<Shared>>,
}

impl Task {
    async fn run(mut self, mut events: mpsc::UnboundedReceiver<Event>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.on_event(event),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn on_event(&mut self, event: Event) {
        let now = Instant::now();
        match event {
            Event::Message(from, message) => self.on_message(from, message, now),
            Event::Engines(engines) => self.set_engines(engines, now),
            Event::Shares(shares) => self.control_engines(controller::Event::Shares(shares), now),
        }
    }

    fn on_message(&mut self, from: Writer, message: Message, now: Instant) {
        match message {
            Message::Load(loads) => {
                for load in loads {
                    let from = from.process;
                    self.control_engines(controller::Event::Load { from, load }, now);
                }
            }
            Message::CreditRequest(credit_requests) => {
                for request in credit_requests {
                    let from = from.process;
                    self.control_engines(controller::Event::CreditRequest { from, request }, now);
                }
            }
            Message::Grant(grants) => {
                for grant in grants {
                    self.on_grant(from, grant, now);
                }
            }
            Message::Withdraw(grants) => {
                for grant in grants {
                    self.on_withdrawal(from, grant, now);
                }
            }
        }
    }

    fn on_grant(&self, from: Writer, grant: Grant, now: Instant) {
        let mut shared = lock(&self.shared);
        let actions = shared.holder.on_grant(from, grant, now);
        shared.perform(actions);
    }

    fn on_withdrawal(&self, from: Writer, grant: Grant, now: Instant) {
        let mut shared = lock(&self.shared);
        let actions = shared.holder.on_withdrawal(from, grant, now);
        shared.perform(actions);
    }

    fn set_engines(&mut self, engines: Vec<Engine>, now: Instant) {
        let event = controller::Event::Engines(engines.clone());
        self.engines = engines;
        self.control_engines(event, now);
        self.controllers.clear();
        self.update_ranks(now);
        let known = |upstream| {
            self.engines
                .iter()
                .any(|engine| engine.upstream == upstream)
        };
        let mut shared = lock(&self.shared);
        let actions = shared.holder.retain(known, now);
        shared.perform(actions);
    }

    fn tick(&mut self) {
        let now = Instant::now();
        self.update_members(now);
        self.control_engines(controller::Event::Tick, now);
        let credit_requests = {
            let mut shared = lock(&self.shared);
            let actions = shared.holder.tick(now);
            shared.perform(actions);
            shared
                .credit_requests
                .take_due(self.engines.len(), self.ready.len(), now)
        };
        self.send_credit_requests(credit_requests, now);
    }

    fn update_members(&mut self, now: Instant) {
        let members = self.directory.members();
        if Arc::ptr_eq(&members, &self.members) {
            return;
        }
        self.members = members;
        let ready: Vec<_> = self
            .members
            .ready(id::Role::Batch)
            .map(|member| (member.writer.process, member.peer))
            .collect();
        if ready != self.ready {
            self.ready = ready;
            self.update_ranks(now);
        }
    }

    fn update_ranks(&mut self, now: Instant) {
        let members = self.members.clone();
        let mut moved = false;
        for Engine { upstream, .. } in self.engines.clone() {
            let [first, second] = rank::controllers(&members, upstream)
                .map(|member| member.map(|member| (member.writer.process, member.peer)));
            let controllers = Controllers { first, second };
            if self.controllers.get(&upstream) == Some(&controllers) {
                continue;
            }
            moved = true;
            self.controllers.insert(upstream, controllers);
            let own = self.own.process;
            let rank = match (first, second) {
                (Some((process, _)), _) if process == own => Rank::First,
                (_, Some((process, _))) if process == own => Rank::Second,
                _ => Rank::Other,
            };
            self.control_engines(controller::Event::Rank { upstream, rank }, now);
            let mut shared = lock(&self.shared);
            let first = first.map(|(process, _)| process);
            shared.holder.set_controller(upstream, first);
        }
        if moved {
            lock(&self.shared).credit_requests.resend_all();
        }
    }

    fn control_engines(&mut self, event: controller::Event, now: Instant) {
        for action in self.controller.handle(event, now) {
            match action {
                controller::Action::Grant { to, grant } if to == self.own.process => {
                    self.on_grant(self.own, grant, now);
                }
                controller::Action::Withdraw { to, grant } if to == self.own.process => {
                    self.on_withdrawal(self.own, grant, now);
                }
                controller::Action::Grant { to, grant } => {
                    self.send(to, Message::Grant([grant].into_iter().collect()));
                }
                controller::Action::Withdraw { to, grant } => {
                    self.send(to, Message::Withdraw([grant].into_iter().collect()));
                }
            }
        }
    }

    fn send(&self, to: id::Process, message: Message) {
        if let Some(member) = self.members.get(to) {
            self.peers.send_credit(member.peer, message);
        }
    }

    fn send_credit_requests(&mut self, credit_requests: Vec<CreditRequest>, now: Instant) {
        for request in credit_requests {
            let Some(controllers) = self.controllers.get(&request.upstream).copied() else {
                continue;
            };
            for (process, address) in [controllers.first, controllers.second]
                .into_iter()
                .flatten()
            {
                let request = request.clone();
                if process == self.own.process {
                    let from = process;
                    self.control_engines(controller::Event::CreditRequest { from, request }, now);
                } else {
                    self.peers.send_credit(
                        address,
                        Message::CreditRequest([request].into_iter().collect()),
                    );
                }
            }
        }
    }
}

fn lock(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
