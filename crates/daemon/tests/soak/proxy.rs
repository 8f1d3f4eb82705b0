//! A proxy on loopback that delays, resets, silences or cuts connections one way.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// What happens to bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// They pass.
    Pass,
    /// They pass late.
    Delay(Duration),
    /// Connections are closed.
    Reset,
    /// Nothing passes, and nothing is closed.
    Silent,
    /// Requests pass and answers don't.
    OneWay,
}

/// Time between two looks at the mode while nothing may pass.
const POLL: Duration = Duration::from_millis(20);

/// A proxy before one server.
#[derive(Debug, Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    mode: Arc<Mutex<Mode>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    There,
    Back,
}

impl Proxy {
    /// Starts a proxy before `target`.
    pub async fn start(target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let proxy = Proxy { address, mode: Arc::new(Mutex::new(Mode::Pass)) };
        let serving = proxy.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let proxy = serving.clone();
                tokio::spawn(async move {
                    let Ok(far) = TcpStream::connect(target).await else { return };
                    let (near_read, near_write) = near.into_split();
                    let (far_read, far_write) = far.into_split();
                    tokio::select! {
                        () = proxy.pump(near_read, far_write, Way::There) => {}
                        () = proxy.pump(far_read, near_write, Way::Back) => {}
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

    async fn pump<R, W>(&self, mut read: R, mut write: W, way: Way)
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
                    Mode::Delay(time) => {
                        sleep(time).await;
                        break;
                    }
                    Mode::Reset => return,
                    Mode::OneWay if way == Way::There => break,
                    Mode::OneWay | Mode::Silent => sleep(POLL).await,
                }
            }
            if write.write_all(&buffer[..length]).await.is_err() {
                return;
            }
        }
    }

    async fn until_reset(&self) {
        while self.mode() != Mode::Reset {
            sleep(POLL).await;
        }
    }
}
