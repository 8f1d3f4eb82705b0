//! Heartbeats between daemons.

use std::collections::BTreeMap;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::entry::Entry;
use crate::sync::lock;
use tt_serve::Member;
use tt_serve::MemberState;
use tt_serve::Standing;
use tt_serve::Summary;
use tt_serve::Time;
use tt_serve::Told;
use tt_serve::Vm;

/// Longest datagram.
const DATAGRAM_BYTES: usize = 65_000;

/// Records in one datagram at most; one takes about 100 bytes.
const RECORDS: usize = 400;

/// Time between two questions for all records.
const ASK_EVERY: Duration = Duration::from_secs(1);

/// Time between two looks at whether the configuration has changed.
const VERSION_POLL: Duration = Duration::from_millis(50);

/// What a daemon says of itself and others.
#[derive(Clone, PartialEq, Message)]
struct Heartbeat {
    /// The daemon that speaks comes first.
    #[prost(message, repeated, tag = "1")]
    records: Vec<Record>,
    /// Whether all that the other one knows is wanted at once.
    #[prost(bool, tag = "2")]
    hello: bool,
    /// Daemons that have no record here.
    #[prost(message, repeated, tag = "3")]
    summaries: Vec<SummaryRecord>,
}

/// What is said of the daemons of one failure domain without their records.
#[derive(Clone, PartialEq, Message)]
struct SummaryRecord {
    #[prost(string, tag = "1")]
    domain: String,
    #[prost(fixed64, tag = "2")]
    digest: u64,
    /// Time since all of them had been heard, in milliseconds.
    #[prost(uint64, tag = "3")]
    age: u64,
}

/// The standing of one daemon.
#[derive(Clone, PartialEq, Message)]
struct Record {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(string, tag = "2")]
    domain: String,
    #[prost(string, tag = "3")]
    ip: String,
    #[prost(uint32, tag = "4")]
    front_port: u32,
    #[prost(uint32, tag = "5")]
    peer_port: u32,
    /// 0 starting, 1 open, 2 stopping.
    #[prost(uint32, tag = "6")]
    state: u32,
    #[prost(uint64, tag = "7")]
    version: u64,
    #[prost(fixed64, tag = "8")]
    digest: u64,
    /// Age of its listing of searchers, in milliseconds.
    #[prost(uint64, optional, tag = "9")]
    listing_age: Option<u64>,
    /// Time since it said so, in milliseconds.
    #[prost(uint64, tag = "10")]
    age: u64,
    /// Revision of the store at which its searchers were read.
    #[prost(uint64, tag = "11")]
    revision: u64,
}

impl Record {
    fn new(vm: &Vm, standing: &Standing, heard: Time, now: Time) -> Record {
        let age = |at: Time| now.saturating_sub(at).as_millis() as u64;
        Record {
            name: vm.name.clone(),
            domain: vm.domain.clone(),
            ip: vm.front.ip().to_string(),
            front_port: u32::from(vm.front.port()),
            peer_port: u32::from(vm.peer.port()),
            state: match standing.state {
                MemberState::Starting => 0,
                MemberState::Open => 1,
                MemberState::Stopping => 2,
            },
            version: standing.version,
            digest: standing.digest,
            listing_age: standing.listed.map(age),
            age: age(heard),
            revision: standing.revision,
        }
    }

    /// The daemon, what it said, and when.
    fn decode(self, now: Time) -> Option<(Vm, Standing, Time)> {
        let ip: IpAddr = self.ip.parse().ok()?;
        let port = |port: u32| u16::try_from(port).ok().map(|port| SocketAddr::new(ip, port));
        let at = |age: u64| now.saturating_sub(Duration::from_millis(age));
        let vm = Vm {
            name: self.name,
            front: port(self.front_port)?,
            peer: port(self.peer_port)?,
            domain: self.domain,
        };
        let state = match self.state {
            0 => MemberState::Starting,
            1 => MemberState::Open,
            2 => MemberState::Stopping,
            _ => return None,
        };
        let listed = self.listing_age.map(at);
        let Record { version, digest, revision, .. } = self;
        let standing = Standing { state, version, digest, revision, listed };
        Some((vm, standing, at(self.age)))
    }
}

/// Opens the socket for heartbeats.
pub(crate) async fn bind(entry: &Entry) -> io::Result<UdpSocket> {
    UdpSocket::bind(entry.vm.peer).await
}

/// Sends heartbeats, and to the first daemons while none is heard.
pub(crate) async fn send_heartbeats(entry: Arc<Entry>, socket: Arc<UdpSocket>) {
    loop {
        let version = entry.config_version();
        beat(&entry, &socket).await;
        let hello = lock(&entry.members).is_alone(entry.now());
        if hello {
            for seed in entry.boot().seeds.into_iter().filter(|seed| *seed != entry.vm.peer) {
                ask(&entry, &socket, seed).await;
            }
        }
        let end = Instant::now() + entry.settings.heartbeat_interval;
        // A new version is told at once.
        while Instant::now() < end && entry.config_version() == version {
            sleep(VERSION_POLL).await;
        }
    }
}

/// Sends one heartbeat to all that this daemon speaks to.
pub(crate) async fn beat(entry: &Entry, socket: &UdpSocket) {
    let now = entry.now();
    let targets: Vec<(SocketAddr, String)> = lock(&entry.members)
        .targets(now)
        .iter()
        .map(|member| (member.vm.peer, member.vm.domain.clone()))
        .collect();
    let mut told: BTreeMap<String, Heartbeat> = BTreeMap::new();
    for (target, domain) in targets {
        let heartbeat = told.entry(domain).or_insert_with_key(|domain| tell(entry, domain, now));
        transmit(entry, socket, target, heartbeat.clone()).await;
    }
    lock(&entry.members).end_round(now);
}

/// What a daemon in `domain` is told of others.
fn tell(entry: &Entry, domain: &str, now: Time) -> Heartbeat {
    let Told { named, summaries } = lock(&entry.members).told(domain, now);
    let summaries = summaries.into_iter().map(|it| SummaryRecord {
        domain: it.domain,
        digest: it.digest,
        age: now.saturating_sub(it.heard).as_millis() as u64,
    });
    Heartbeat {
        records: named.iter().map(|it| record(it, now)).collect(),
        hello: false,
        summaries: summaries.collect(),
    }
}

/// Asks a daemon for all that it knows.
async fn ask(entry: &Entry, socket: &UdpSocket, target: SocketAddr) {
    let heartbeat = Heartbeat { hello: true, ..tell(entry, "", entry.now()) };
    transmit(entry, socket, target, heartbeat).await;
}

/// Sends all that is known to a daemon that asks: it has just started, or a summary showed that it
/// knows something else.
async fn welcome(entry: &Entry, socket: &UdpSocket, target: SocketAddr) {
    let now = entry.now();
    let others: Vec<Record> = lock(&entry.members).heard(now).map(|it| record(it, now)).collect();
    // Without others, too: the daemon that asks learns of this one.
    for records in others.chunks(RECORDS).chain(others.is_empty().then_some(&[][..])) {
        let heartbeat = Heartbeat { records: records.to_vec(), ..Heartbeat::default() };
        transmit(entry, socket, target, heartbeat).await;
    }
}

fn record(member: &Member, now: Time) -> Record {
    Record::new(&member.vm, &member.standing, member.heard.unwrap_or_default(), now)
}

/// Sends a heartbeat with the own record first.
async fn transmit(entry: &Entry, socket: &UdpSocket, target: SocketAddr, mut heartbeat: Heartbeat) {
    let now = entry.now();
    heartbeat.records.insert(0, Record::new(&entry.vm, &entry.standing(), now, now));
    let bytes = heartbeat.encode_to_vec();
    if let Err(error) = socket.send_to(&bytes, target).await {
        log::debug!("peer: target={target} heartbeat=\"{error}\"");
    }
}

/// Takes heartbeats.
pub(crate) async fn hear(entry: Arc<Entry>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    let mut asked = None;
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("peer: receive=\"{error}\"");
                sleep(entry.settings.heartbeat_interval).await;
                continue;
            }
        };
        let heartbeat = match Heartbeat::decode(&buffer[..length]) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                log::warn!("peer: from={from} malformed=\"{error}\"");
                continue;
            }
        };
        let hello = heartbeat.hello;
        let complete = take(&entry, heartbeat, from);
        if hello {
            welcome(&entry, &socket, from).await;
        }
        let now = entry.now();
        if !complete && asked.is_none_or(|at| at + ASK_EVERY <= now) {
            asked = Some(now);
            ask(&entry, &socket, from).await;
        }
    }
}

/// Takes what a heartbeat says. Returns whether all daemons that it stands for are known.
fn take(entry: &Entry, heartbeat: Heartbeat, from: SocketAddr) -> bool {
    let now = entry.now();
    let named = heartbeat.records.iter().map(|record| record.name.clone()).collect();
    for record in heartbeat.records {
        match record.decode(now) {
            Some((vm, standing, heard)) => entry.record_standing(vm, standing, heard),
            None => log::warn!("peer: from={from} malformed=record"),
        }
    }
    let mut complete = true;
    let mut members = lock(&entry.members);
    for SummaryRecord { domain, digest, age } in heartbeat.summaries {
        let heard = now.saturating_sub(Duration::from_millis(age));
        complete &= members.confirm(&Summary { domain, digest, heard }, &named, now);
    }
    complete
}
