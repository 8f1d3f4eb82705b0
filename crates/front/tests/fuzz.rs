//! Corrupted messages from other daemons.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use support::Entry;
use support::config::config;
use support::searcher::Behavior;
use support::searcher::Searcher;
use support::start_entry;
use support::start_store;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::time::timeout;

/// Timeout of each wait in a test.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts an entry, and a UDP socket that it regards as another daemon: its only seed.
async fn start() -> (Entry, UdpSocket) {
    let store = start_store().await;
    store.put("op/config", &config(1, &["p0", "p1"], 0.5));
    for pool in ["p0", "p1"] {
        Searcher::start(&store, pool, pool, "d", Behavior::Answer(vec![7; 16])).await;
    }
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    let seed = socket.local_addr().expect("an address");
    let entry = start_entry("vm", "d", store.address(), vec![seed]).await;
    entry.wait_ready().await;
    (entry, socket)
}

async fn receive(socket: &UdpSocket) -> Vec<u8> {
    let mut buffer = vec![0; 65_000];
    let received = timeout(TEST_TIMEOUT, socket.recv_from(&mut buffer)).await.expect("a datagram");
    buffer.truncate(received.expect("it is read").0);
    buffer
}

/// Truncates, extends or replaces a message, and changes some of its bytes.
fn corrupt(valid: &[u8], rng: &mut StdRng) -> Vec<u8> {
    let mut bytes = valid.to_vec();
    match rng.random_range(0..4) {
        0 => bytes.truncate(rng.random_range(0..bytes.len().max(1))),
        1 => bytes.extend((0..rng.random_range(1..40)).map(|_| rng.random::<u8>())),
        2 => bytes = (0..rng.random_range(0..200)).map(|_| rng.random()).collect(),
        _ => {}
    }
    for _ in 0..rng.random_range(0..8) {
        if !bytes.is_empty() {
            let index = rng.random_range(0..bytes.len());
            bytes[index] = rng.random();
        }
    }
    bytes
}

// Guards against a corrupted datagram that stops the receiver of heartbeats, or the whole entry, by
// a panic or an error. Afterwards the entry must still answer a valid heartbeat and a caller.
#[tokio::test]
async fn corrupted_heartbeats_do_not_disturb_an_entry() {
    let (entry, socket) = start().await;
    let mut rng = StdRng::seed_from_u64(1);
    let valid = receive(&socket).await;
    for count in 0..3000 {
        let bytes = corrupt(&valid, &mut rng);
        socket.send_to(&bytes, entry.boot.peer).await.expect("it is sent");
        if count % 50 == 0 {
            // Lets the entry read the datagrams before its receive buffer is full.
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
    let mut buffer = vec![0; 65_000];
    while socket.try_recv(&mut buffer).is_ok() {}
    // The first datagram asks for all records (`hello`), which the entry must answer.
    socket.send_to(&valid, entry.boot.peer).await.expect("it is sent");
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
    timeout(TEST_TIMEOUT, stream.read_to_end(&mut answer)).await.expect("it ends").ok()?;
    String::from_utf8_lossy(&answer).split(' ').nth(1)?.parse().ok()
}

// Guards against a corrupted request for shards that hangs, crashes the entry or is answered as if
// it were valid.
#[tokio::test]
async fn corrupted_gather_requests_are_rejected() {
    let (entry, _socket) = start().await;
    let mut rng = StdRng::seed_from_u64(2);
    // Field 2, the version of the configuration, is one that the entry does not have: the valid
    // message is answered with 409.
    let valid =
        [b"\x0a\x02r1\x10\x63\x1a\x09a.example\x22\x03GET\x2a\x05/all/".as_slice()].concat();
    for _ in 0..300 {
        let body = corrupt(&valid, &mut rng);
        let status = post(entry.boot.peer, "/v1/gather", &body).await;
        assert!(matches!(status, Some(400 | 409)), "{status:?} for {body:?}");
    }
    assert_eq!(entry.ask("/all/", "r1").await.status, 200);
}
