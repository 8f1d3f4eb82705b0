//! Messages of other daemons that are not sound.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use support::Entry;
use support::config::config;
use support::entry;
use support::platform;
use support::searcher::Act;
use support::searcher::Searcher;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::time::timeout;

const PATIENCE: Duration = Duration::from_secs(20);

/// An entry that serves, and a socket that it takes for another daemon.
async fn start() -> (Entry, UdpSocket) {
    let store = platform().await;
    store.put("op/config", &config(1, &["p0", "p1"], 0.5));
    for pool in ["p0", "p1"] {
        Searcher::start(&store, pool, pool, "d", Act::Answer(vec![7; 16])).await;
    }
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    let seed = socket.local_addr().expect("an address");
    let entry = entry("vm", "d", store.address(), vec![seed]).await;
    entry.wait_ready().await;
    (entry, socket)
}

async fn receive(socket: &UdpSocket) -> Vec<u8> {
    let mut buffer = vec![0; 65_000];
    let received = timeout(PATIENCE, socket.recv_from(&mut buffer)).await.expect("a datagram");
    buffer.truncate(received.expect("it is read").0);
    buffer
}

/// Changes, cuts or extends a message.
fn spoil(sound: &[u8], rng: &mut StdRng) -> Vec<u8> {
    let mut bytes = sound.to_vec();
    match rng.random_range(0..4) {
        0 => bytes.truncate(rng.random_range(0..bytes.len().max(1))),
        1 => bytes.extend((0..rng.random_range(1..40)).map(|_| rng.random::<u8>())),
        2 => bytes = (0..rng.random_range(0..200)).map(|_| rng.random()).collect(),
        _ => {}
    }
    for _ in 0..rng.random_range(0..8) {
        if !bytes.is_empty() {
            let place = rng.random_range(0..bytes.len());
            bytes[place] = rng.random();
        }
    }
    bytes
}

// Guards against a heartbeat that ends the exchange with other daemons or the service of callers.
#[tokio::test]
async fn spoiled_heartbeats_change_nothing() {
    let (entry, socket) = start().await;
    let mut rng = StdRng::seed_from_u64(1);
    let sound = receive(&socket).await;
    for count in 0..3000 {
        let bytes = spoil(&sound, &mut rng);
        socket.send_to(&bytes, entry.boot.peer).await.expect("it is sent");
        if count % 50 == 0 {
            // Lets the entry read before its buffer is full.
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
    let mut buffer = vec![0; 65_000];
    while socket.try_recv(&mut buffer).is_ok() {}
    // The first datagram was a greeting, which is answered.
    socket.send_to(&sound, entry.boot.peer).await.expect("it is sent");
    assert!(!receive(&socket).await.is_empty());
    assert_eq!(entry.ask("/all/", "r1").await.status, 200);
}

async fn post(address: SocketAddr, path: &str, body: &[u8]) -> Option<u16> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: d\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    stream.write_all(body).await.ok()?;
    let mut answer = Vec::new();
    timeout(PATIENCE, stream.read_to_end(&mut answer)).await.expect("it ends").ok()?;
    String::from_utf8_lossy(&answer).split(' ').nth(1)?.parse().ok()
}

// Guards against a question for shards that hangs or is answered as if it were sound.
#[tokio::test]
async fn spoiled_questions_for_shards_are_refused() {
    let (entry, _socket) = start().await;
    let mut rng = StdRng::seed_from_u64(2);
    // The version (field 2) is one that the entry does not have.
    let sound =
        [b"\x0a\x02r1\x10\x63\x1a\x09a.example\x22\x03GET\x2a\x05/all/".as_slice()].concat();
    for _ in 0..300 {
        let body = spoil(&sound, &mut rng);
        let status = post(entry.boot.peer, "/v1/gather", &body).await;
        assert!(matches!(status, Some(400 | 409)), "{status:?} for {body:?}");
    }
    assert_eq!(entry.ask("/all/", "r1").await.status, 200);
}
