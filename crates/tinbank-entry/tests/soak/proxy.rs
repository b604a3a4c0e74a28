//! A loopback proxy that harms the connections through it.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp},
    sync::Notify,
    task, time,
};

/// What happens to connections, open ones too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Bytes pass.
    #[default]
    Pass,
    /// Bytes pass late.
    Delay,
    /// Connections are reset.
    Reset,
    /// Connections stay, and no bytes pass.
    Silent,
    /// Requests pass, answers do not.
    OneWay,
}

/// How late bytes pass.
const DELAY: Duration = Duration::from_millis(120);
/// How often held bytes look whether they may pass.
const LOOK: Duration = Duration::from_millis(20);

/// The proxy of one server for one side.
pub struct Proxy {
    mode: Cell<Mode>,
    reset: Rc<Notify>,
    target: RefCell<SocketAddr>,
}

impl Proxy {
    /// A proxy and where it listens.
    pub async fn start(target: SocketAddr) -> (Rc<Self>, SocketAddr) {
        let proxy = Rc::new(Self {
            mode: Cell::default(),
            reset: Rc::default(),
            target: RefCell::new(target),
        });
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let accepting = Rc::clone(&proxy);
        task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                task::spawn_local(Rc::clone(&accepting).carry(stream));
            }
        });
        (proxy, address)
    }

    pub fn set(&self, mode: Mode) {
        self.mode.set(mode);
        if mode == Mode::Reset {
            self.reset.notify_waiters();
        }
    }

    async fn carry(self: Rc<Self>, near: TcpStream) {
        let target = *self.target.borrow();
        if self.mode.get() == Mode::Reset {
            return reset(&near);
        }
        let Ok(far) = TcpStream::connect(target).await else {
            return;
        };
        let (mut near_read, mut near_write) = near.into_split();
        let (mut far_read, mut far_write) = far.into_split();
        tokio::select! {
            () = self.copy(&mut near_read, &mut far_write, false) => {}
            () = self.copy(&mut far_read, &mut near_write, true) => {}
            () = self.reset.notified() => reset(near_write.as_ref()),
        }
    }

    async fn copy(
        &self,
        from: &mut tcp::OwnedReadHalf,
        to: &mut tcp::OwnedWriteHalf,
        is_answer: bool,
    ) {
        let mut buffer = vec![0; 16 << 10];
        while let Ok(length) = from.read(&mut buffer).await {
            while self.holds(is_answer) {
                time::sleep(LOOK).await;
            }
            if self.mode.get() == Mode::Delay {
                time::sleep(DELAY).await;
            }
            if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
                return;
            }
        }
    }

    fn holds(&self, is_answer: bool) -> bool {
        match self.mode.get() {
            Mode::Silent => true,
            Mode::OneWay => is_answer,
            Mode::Pass | Mode::Delay | Mode::Reset => false,
        }
    }
}

/// Has a connection reset when it is dropped.
fn reset(stream: &TcpStream) {
    // A connection that is gone already needs no reset.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
