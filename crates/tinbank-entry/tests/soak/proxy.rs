//! A loopback proxy that injects connection faults.

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

/// What happens to new and open connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Data is forwarded.
    #[default]
    Pass,
    /// Data is forwarded with a delay.
    Delay,
    /// Connections are reset.
    Reset,
    /// Connections are reset, and new ones are refused, as by a server that has crashed.
    Refuse,
    /// Connections are closed in an orderly way, and new ones are refused, as by a process that was killed.
    Close,
    /// Connections stay open, but no data is forwarded.
    Unresponsive,
    /// Requests are forwarded, responses are not.
    OneWay,
}

/// Delay of forwarded data.
const DELAY: Duration = Duration::from_millis(120);
/// How often blocked data is checked for whether it may be forwarded.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A proxy in front of one server.
pub struct Proxy {
    mode: Cell<Mode>,
    reset: Rc<Notify>,
    /// Notified when the mode has changed.
    changed: Notify,
    target: RefCell<SocketAddr>,
}

impl Proxy {
    /// Starts a proxy, and returns it with the address it listens at.
    pub async fn start(target: SocketAddr) -> (Rc<Self>, SocketAddr) {
        let proxy = Rc::new(Self {
            mode: Cell::default(),
            reset: Rc::default(),
            changed: Notify::new(),
            target: RefCell::new(target),
        });
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let accepting = Rc::clone(&proxy);
        task::spawn_local(accepting.accept(listener, address));
        (proxy, address)
    }

    async fn accept(self: Rc<Self>, mut listener: TcpListener, address: SocketAddr) {
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => drop(task::spawn_local(Rc::clone(&self).forward(stream))),
                    Err(_) => return,
                },
                () = self.changed.notified() => {}
            }
            if self.refuses() {
                drop(listener);
                while self.refuses() {
                    self.changed.notified().await;
                }
                listener = TcpListener::bind(address).await.unwrap();
            }
        }
    }

    pub fn set(&self, mode: Mode) {
        self.mode.set(mode);
        self.changed.notify_one();
        if matches!(mode, Mode::Reset | Mode::Refuse | Mode::Close) {
            self.reset.notify_waiters();
        }
    }

    async fn forward(self: Rc<Self>, client: TcpStream) {
        let target = *self.target.borrow();
        if self.mode.get() == Mode::Close {
            return;
        }
        if matches!(self.mode.get(), Mode::Reset | Mode::Refuse) {
            return reset_on_drop(&client);
        }
        let Ok(server) = TcpStream::connect(target).await else {
            return;
        };
        let (mut client_read, mut client_write) = client.into_split();
        let (mut server_read, mut server_write) = server.into_split();
        let is_reset = tokio::select! {
            () = self.copy(&mut client_read, &mut server_write, false) => false,
            () = self.copy(&mut server_read, &mut client_write, true) => false,
            () = self.reset.notified() => self.mode.get() != Mode::Close,
        };
        if is_reset {
            reset_on_drop(client_write.as_ref());
            // Dropping this half would close the connection in an orderly way first.
            client_write.forget();
        }
    }

    async fn copy(
        &self,
        from: &mut tcp::OwnedReadHalf,
        to: &mut tcp::OwnedWriteHalf,
        is_response: bool,
    ) {
        let mut buffer = vec![0; 16 << 10];
        while let Ok(length) = from.read(&mut buffer).await {
            while self.blocks(is_response) {
                time::sleep(POLL_INTERVAL).await;
            }
            if self.mode.get() == Mode::Delay {
                time::sleep(DELAY).await;
            }
            if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
                return;
            }
        }
    }

    fn refuses(&self) -> bool {
        matches!(self.mode.get(), Mode::Refuse | Mode::Close)
    }

    fn blocks(&self, is_response: bool) -> bool {
        match self.mode.get() {
            Mode::Unresponsive => true,
            Mode::OneWay => is_response,
            Mode::Pass | Mode::Delay | Mode::Reset | Mode::Refuse | Mode::Close => false,
        }
    }
}

/// Makes a connection be reset instead of closed when it is dropped.
fn reset_on_drop(stream: &TcpStream) {
    // This fails only for a connection that is closed already.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
