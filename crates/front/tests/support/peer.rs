//! A stand-in of another entry that sends heartbeats by hand. Each test uses a part of this.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use prost::Message;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::support::Entry;

/// A heartbeat, as far as tests need it.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<Record>,
    #[prost(fixed64, tag = "5")]
    pub sent_at: u64,
    #[prost(fixed64, tag = "6")]
    pub echo: u64,
    #[prost(uint32, optional, tag = "7")]
    pub config_age_ms: Option<u32>,
}

/// What a heartbeat says of one entry.
#[derive(Clone, PartialEq, Message)]
pub struct Record {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub domain: String,
    #[prost(string, tag = "3")]
    pub ip: String,
    #[prost(uint32, tag = "4")]
    pub front_port: u32,
    #[prost(uint32, tag = "5")]
    pub peer_port: u32,
    #[prost(uint32, tag = "6")]
    pub state: u32,
    #[prost(uint64, tag = "7")]
    pub version: u64,
    #[prost(fixed64, tag = "8")]
    pub digest: u64,
    #[prost(uint64, optional, tag = "9")]
    pub listing_age: Option<u64>,
    #[prost(uint64, tag = "11")]
    pub revision: u64,
    #[prost(bool, tag = "14")]
    pub keys_expired: bool,
    #[prost(uint64, tag = "16")]
    pub era: u64,
}

impl Record {
    /// The record of an entry that accepts callers and is at version 1 of the configuration.
    pub fn new(name: &str, domain: &str, peer: SocketAddr) -> Record {
        Record {
            name: name.to_owned(),
            domain: domain.to_owned(),
            ip: "127.0.0.1".to_owned(),
            front_port: 9,
            peer_port: u32::from(peer.port()),
            state: 1,
            version: 1,
            ..Record::default()
        }
    }
}

/// Interval between the heartbeats of a [`SilentPeer`].
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// How far the listing of a [`SilentPeer`] seems to be ahead, in revisions of the store. Unlike
/// times, revisions always count as later.
const REVISIONS_AHEAD: u64 = 1000;

/// A peer whose heartbeats arrive, but which never answers a request. It claims to have the
/// searchers that the entry has, read just now.
#[derive(Debug)]
pub struct SilentPeer {
    record: Arc<Mutex<Record>>,
    task: JoinHandle<()>,
}

impl SilentPeer {
    pub async fn start(name: &str, domain: &str, entry: &Entry) -> SilentPeer {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let socket = UdpSocket::bind(address).await.expect("the same port");
        let record = Arc::new(Mutex::new(Record::new(name, domain, address)));
        let (told, target) = (record.clone(), entry.boot.peer);
        let task = tokio::spawn(async move {
            let mut held = Vec::new();
            let mut buffer = vec![0; 65_000];
            loop {
                let heartbeat =
                    Heartbeat { records: vec![lock(&told).clone()], ..Heartbeat::default() };
                socket.send_to(&heartbeat.encode_to_vec(), target).await.expect("sent");
                let wait = sleep(HEARTBEAT_INTERVAL);
                tokio::pin!(wait);
                loop {
                    tokio::select! {
                        () = &mut wait => break,
                        accepted = listener.accept() => held.push(accepted),
                        length = socket.recv(&mut buffer) => {
                            let length = length.expect("a datagram");
                            let heard = Heartbeat::decode(&buffer[..length]).expect("a heartbeat");
                            copy_listing(&mut lock(&told), &heard);
                        }
                    }
                }
            }
        });
        SilentPeer { record, task }
    }

    /// Claims to have this version of the configuration.
    pub fn set_version(&self, version: u64) {
        lock(&self.record).version = version;
    }
}

impl Drop for SilentPeer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Takes over what the sender of a heartbeat says of its searchers.
fn copy_listing(record: &mut Record, heard: &Heartbeat) {
    let Some(sender) = heard.records.first() else { return };
    if sender.listing_age.is_some() {
        record.digest = sender.digest;
        record.revision = sender.revision + REVISIONS_AHEAD;
        record.era = sender.era;
        record.listing_age = Some(0);
    }
}

fn lock(record: &Mutex<Record>) -> std::sync::MutexGuard<'_, Record> {
    record.lock().expect("no holder panics")
}
