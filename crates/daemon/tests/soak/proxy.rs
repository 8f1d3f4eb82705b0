//! A proxy on loopback that can delay, reset or block connections, also in one direction only.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// What the proxy does with the bytes that it receives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Forwards them.
    Pass,
    /// Forwards them after a delay.
    Delay(Duration),
    /// Closes the connections.
    Reset,
    /// Forwards nothing, and closes nothing.
    Silent,
    /// Forwards requests, but no answers.
    OneWay,
}

/// Time between two checks of the mode while nothing is forwarded.
const MODE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A proxy in front of one server.
#[derive(Debug, Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    mode: Arc<Mutex<Mode>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

impl Proxy {
    /// Starts a proxy in front of `target`.
    pub async fn start(target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let proxy = Proxy { address, mode: Arc::new(Mutex::new(Mode::Pass)) };
        let serving = proxy.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let proxy = serving.clone();
                tokio::spawn(async move {
                    let Ok(server) = TcpStream::connect(target).await else { return };
                    let (client_read, client_write) = client.into_split();
                    let (server_read, server_write) = server.into_split();
                    tokio::select! {
                        () = proxy.forward(client_read, server_write, Direction::ToServer) => {}
                        () = proxy.forward(server_read, client_write, Direction::ToClient) => {}
                    }
                });
            }
        });
        proxy
    }

    pub fn set(&self, mode: Mode) {
        *self.mode.lock().expect("no holder panics") = mode;
    }

    fn mode(&self) -> Mode {
        *self.mode.lock().expect("no holder panics")
    }

    async fn forward<R, W>(&self, mut read: R, mut write: W, direction: Direction)
    where
        R: AsyncReadExt + Unpin,
        W: AsyncWriteExt + Unpin,
    {
        let mut buffer = vec![0; 16 * 1024];
        loop {
            let received = tokio::select! {
                received = read.read(&mut buffer) => received,
                () = self.until_reset() => return,
            };
            let Ok(length @ 1..) = received else { return };
            loop {
                match self.mode() {
                    Mode::Pass => break,
                    Mode::Delay(delay) => {
                        sleep(delay).await;
                        break;
                    }
                    Mode::Reset => return,
                    Mode::OneWay if direction == Direction::ToServer => break,
                    Mode::OneWay | Mode::Silent => sleep(MODE_POLL_INTERVAL).await,
                }
            }
            if write.write_all(&buffer[..length]).await.is_err() {
                return;
            }
        }
    }

    async fn until_reset(&self) {
        while self.mode() != Mode::Reset {
            sleep(MODE_POLL_INTERVAL).await;
        }
    }
}
