//! Heartbeats between daemons: UDP datagrams with the status of the sender and of others.

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
use crate::usage;
use crate::usage::UsageMessage;
use tt_serve::ContentKey;
use tt_serve::DomainSummary;
use tt_serve::Gossip;
use tt_serve::Knowledge;
use tt_serve::Member;
use tt_serve::MemberState;
use tt_serve::MemberStatus;
use tt_serve::ProofReport;
use tt_serve::StoreRevision;
use tt_serve::SuspectStatus;
use tt_serve::Time;
use tt_serve::Vm;

/// Maximum size of a received datagram.
const MAX_DATAGRAM_BYTES: usize = 65_000;

/// Maximum number of records in one datagram; one takes about 100 bytes.
const MAX_DATAGRAM_RECORDS: usize = 400;

/// Minimum interval between requests for all records, whichever peer they go to.
const RECORDS_REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between checks whether the configuration or the evacuations have changed.
const VERSION_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The status of the daemon that sends it, and of others.
#[derive(Clone, PartialEq, Message)]
struct Heartbeat {
    /// The record of the sender comes first.
    #[prost(message, repeated, tag = "1")]
    records: Vec<Record>,
    /// Whether the receiver shall answer with all records that it has.
    #[prost(bool, tag = "2")]
    hello: bool,
    /// Summaries of daemons that have no record in this heartbeat.
    #[prost(message, repeated, tag = "3")]
    summaries: Vec<SummaryRecord>,
    /// Contents of requests under which searchers have ended lately.
    #[prost(message, repeated, tag = "4")]
    suspects: Vec<SuspectRecord>,
    /// As in [`ProofReport`]; this and the next two fields are absent if no API keys are required.
    #[prost(fixed64, tag = "5")]
    sent_at: u64,
    /// As in [`ProofReport`].
    #[prost(fixed64, tag = "6")]
    echo: u64,
    /// Age of the proof that the configuration of the sender is the newest one, in milliseconds.
    #[prost(uint32, optional, tag = "7")]
    config_age_ms: Option<u32>,
    /// Usage of organisations with allowances.
    #[prost(message, repeated, tag = "8")]
    usage: Vec<UsageMessage>,
}

/// A content of requests under which searchers have ended.
#[derive(Clone, Copy, PartialEq, Message)]
struct SuspectRecord {
    #[prost(fixed64, tag = "1")]
    key: u64,
    /// 0 harmless, 1 suspect, 2 deadly.
    #[prost(uint32, tag = "2")]
    knowledge: u32,
    /// How long requests with it are refused, in milliseconds.
    #[prost(uint32, tag = "3")]
    refused_ms: u32,
    /// Number of observations; 0 from entries that don't count them.
    #[prost(uint32, tag = "4")]
    round: u32,
    /// Time since the last observation, in milliseconds.
    #[prost(uint32, tag = "5")]
    age_ms: u32,
    /// Whether only one entry at a time may try it.
    #[prost(bool, tag = "6")]
    is_held: bool,
}

/// Stands for daemons of one failure domain that have no record in the heartbeat.
#[derive(Clone, PartialEq, Message)]
struct SummaryRecord {
    #[prost(string, tag = "1")]
    domain: String,
    #[prost(fixed64, tag = "2")]
    digest: u64,
    /// Time since the earliest of the times at which these daemons were last heard, in
    /// milliseconds.
    #[prost(uint64, tag = "3")]
    age: u64,
}

/// The VM and the status of one daemon.
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
    /// Age of its listing of searchers, in milliseconds; absent if it has none.
    #[prost(uint64, optional, tag = "9")]
    listing_age: Option<u64>,
    /// Time since it reported this status, in milliseconds.
    #[prost(uint64, tag = "10")]
    age: u64,
    /// Revision of the store at which its listing was read.
    #[prost(uint64, tag = "11")]
    revision: u64,
    /// Digest of the sets of shards in its configuration.
    #[prost(fixed64, tag = "12")]
    shards: u64,
    /// Store revision of the newest change of the evacuated failure domains that it knows.
    #[prost(uint64, tag = "13")]
    evacuation_revision: u64,
    /// Whether it refuses requests with API keys.
    #[prost(bool, tag = "14")]
    keys_expired: bool,
    /// Processor share of its VM, in thousandths of a core.
    #[prost(uint32, tag = "15")]
    millicores: u32,
    /// Era of the store in which its listing was read.
    #[prost(uint64, tag = "16")]
    era: u64,
    /// Era of the store of `evacuation_revision`.
    #[prost(uint64, tag = "17")]
    evacuation_era: u64,
}

impl Record {
    fn new(vm: &Vm, status: &MemberStatus, heard_at: Time, now: Time) -> Record {
        let age = |at: Time| now.saturating_sub(at).as_millis() as u64;
        Record {
            name: vm.name.clone(),
            domain: vm.domain.clone(),
            ip: vm.front.ip().to_string(),
            front_port: u32::from(vm.front.port()),
            peer_port: u32::from(vm.peer.port()),
            state: match status.state {
                MemberState::Starting => 0,
                MemberState::Open => 1,
                MemberState::Stopping => 2,
            },
            version: status.version,
            digest: status.digest,
            listing_age: status.listing_read_at.map(age),
            age: age(heard_at),
            revision: status.revision.number,
            shards: status.shards,
            evacuation_revision: status.evacuation_revision.number,
            keys_expired: status.keys_expired,
            millicores: status.millicores,
            era: status.revision.era,
            evacuation_era: status.evacuation_revision.era,
        }
    }

    /// Returns the VM, the status, and when the daemon reported it. `None` if a field is invalid.
    fn decode(self, now: Time) -> Option<(Vm, MemberStatus, Time)> {
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
        let status = MemberStatus {
            state,
            version: self.version,
            shards: self.shards,
            digest: self.digest,
            revision: StoreRevision { era: self.era, number: self.revision },
            listing_read_at: self.listing_age.map(at),
            evacuation_revision: StoreRevision {
                era: self.evacuation_era,
                number: self.evacuation_revision,
            },
            keys_expired: self.keys_expired,
            millicores: self.millicores,
        };
        Some((vm, status, at(self.age)))
    }
}

/// Binds the UDP socket for heartbeats.
pub(crate) async fn bind(entry: &Entry) -> io::Result<UdpSocket> {
    UdpSocket::bind(entry.vm.peer).await
}

/// Sends heartbeats periodically. While no other daemon is live, also asks the seeds for their
/// records.
pub(crate) async fn send_heartbeats(entry: Arc<Entry>, socket: Arc<UdpSocket>) {
    loop {
        let announced = (entry.config_version(), entry.evacuation_revision());
        entry.update_tier();
        usage::update(&entry);
        let earliest = Instant::now() + usage::MIN_ROUND_INTERVAL;
        send_round(&entry, &socket).await;
        let is_alone = lock(&entry.members).is_alone(entry.now());
        if is_alone {
            for seed in entry.boot().seeds.into_iter().filter(|seed| *seed != entry.vm.peer) {
                request_records(&entry, &socket, seed).await;
            }
        }
        let end = Instant::now() + entry.settings.heartbeat_interval;
        // A new version of the configuration, or an evacuation, is announced without delay.
        while Instant::now() < end
            && (entry.config_version(), entry.evacuation_revision()) == announced
        {
            entry.observe_life();
            entry.observe_keys();
            entry.observe_evacuations();
            // So is a flood, which other daemons would admit until they hear of it.
            if Instant::now() >= earliest && usage::is_urgent(&entry) {
                break;
            }
            tokio::select! {
                () = sleep(VERSION_POLL_INTERVAL) => {}
                // So is a content that ends searchers.
                () = entry.suspects_changed.notified() => break,
            }
        }
    }
}

/// Sends one heartbeat to each daemon that this one exchanges heartbeats with.
pub(crate) async fn send_round(entry: &Entry, socket: &UdpSocket) {
    let now = entry.now();
    let targets: Vec<Vm> = lock(&entry.members)
        .heartbeat_targets(now)
        .iter()
        .map(|member| member.vm.clone())
        .collect();
    let mut by_domain: BTreeMap<String, Heartbeat> = BTreeMap::new();
    for Vm { name, peer, domain, .. } in targets {
        let heartbeat =
            by_domain.entry(domain).or_insert_with_key(|domain| heartbeat_for(entry, domain, now));
        let ProofReport { sent_at, echo, config_age_ms } = entry.proof_report(&name);
        let heartbeat = Heartbeat { sent_at, echo, config_age_ms, ..heartbeat.clone() };
        send(entry, socket, peer, heartbeat).await;
    }
    entry.forget_proofs();
    lock(&entry.members).end_round(now);
}

/// Builds the heartbeat for daemons in `domain`, without the own record.
fn heartbeat_for(entry: &Entry, domain: &str, now: Time) -> Heartbeat {
    let Gossip { records, summaries } = lock(&entry.members).gossip_for(domain, now);
    let summaries = summaries.into_iter().map(|summary| SummaryRecord {
        domain: summary.domain,
        digest: summary.digest,
        age: now.saturating_sub(summary.heard_at).as_millis() as u64,
    });
    Heartbeat {
        records: records.iter().map(|member| record(member, now)).collect(),
        hello: false,
        summaries: summaries.collect(),
        suspects: entry.told_suspects().into_iter().map(suspect_record).collect(),
        usage: usage::messages_for(entry, domain),
        ..Heartbeat::default()
    }
}

fn suspect_record(status: SuspectStatus) -> SuspectRecord {
    SuspectRecord {
        key: status.key.0,
        knowledge: match status.knowledge {
            Knowledge::Harmless => 0,
            Knowledge::Suspect => 1,
            Knowledge::Deadly => 2,
        },
        refused_ms: millis(status.refused_for),
        round: status.round,
        age_ms: millis(status.age),
        is_held: status.is_held,
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Asks a daemon for all records that it has.
async fn request_records(entry: &Entry, socket: &UdpSocket, target: SocketAddr) {
    // No domain has an empty name, so the heartbeat describes the daemons of the own domain.
    let heartbeat = Heartbeat { hello: true, ..heartbeat_for(entry, "", entry.now()) };
    send(entry, socket, target, heartbeat).await;
}

/// Sends all records, and the contents under which searchers end, to a daemon that asks for them: it
/// has just started, or a summary did not match its records.
async fn send_all_records(entry: &Entry, socket: &UdpSocket, target: SocketAddr) {
    let now = entry.now();
    let others: Vec<Record> =
        lock(&entry.members).live(now).map(|member| record(member, now)).collect();
    // A daemon that starts may get requests with such contents at once.
    let mut suspects: Vec<SuspectRecord> =
        entry.suspects_for_joining().into_iter().map(suspect_record).collect();
    // Sends a heartbeat even without other records: it carries the own one.
    for records in others.chunks(MAX_DATAGRAM_RECORDS).chain(others.is_empty().then_some(&[][..])) {
        let suspects = std::mem::take(&mut suspects);
        let heartbeat = Heartbeat { records: records.to_vec(), suspects, ..Heartbeat::default() };
        send(entry, socket, target, heartbeat).await;
    }
}

fn record(member: &Member, now: Time) -> Record {
    Record::new(&member.vm, &member.status, member.heard_at.unwrap_or_default(), now)
}

/// Sends a heartbeat after putting the own record first.
async fn send(entry: &Entry, socket: &UdpSocket, target: SocketAddr, mut heartbeat: Heartbeat) {
    let now = entry.now();
    heartbeat.records.insert(0, Record::new(&entry.vm, &entry.status(), now, now));
    let bytes = heartbeat.encode_to_vec();
    if let Err(error) = socket.send_to(&bytes, target).await {
        log::debug!("peer: target={target} heartbeat=\"{error}\"");
    }
}

/// Receives heartbeats and answers requests for records.
pub(crate) async fn receive_heartbeats(entry: Arc<Entry>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut requested_at = None;
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
        let is_complete = apply(&entry, heartbeat, from);
        if hello {
            send_all_records(&entry, &socket, from).await;
        }
        let now = entry.now();
        if !is_complete && requested_at.is_none_or(|at| at + RECORDS_REQUEST_INTERVAL <= now) {
            requested_at = Some(now);
            request_records(&entry, &socket, from).await;
        }
    }
}

/// Records what a heartbeat reports. Returns whether the summaries match the known records.
fn apply(entry: &Entry, heartbeat: Heartbeat, from: SocketAddr) -> bool {
    let now = entry.now();
    if let Some(Record { name, domain, version, .. }) = heartbeat.records.first() {
        if !usage::merge(entry, &heartbeat.usage, domain) {
            log::warn!("peer: from={from} malformed=usage");
        }
        let Heartbeat { sent_at, echo, config_age_ms, .. } = heartbeat;
        entry.prove_from_peer(name, *version, &ProofReport { sent_at, echo, config_age_ms });
    }
    let described = heartbeat.records.iter().map(|record| record.name.clone()).collect();
    for record in heartbeat.records {
        match record.decode(now) {
            Some((vm, status, heard_at)) => entry.update_member_status(vm, status, heard_at),
            None => log::warn!("peer: from={from} malformed=record"),
        }
    }
    for SuspectRecord { key, knowledge, refused_ms, round, age_ms, is_held } in heartbeat.suspects {
        let knowledge = match knowledge {
            0 => Knowledge::Harmless,
            1 => Knowledge::Suspect,
            2 => Knowledge::Deadly,
            _ => {
                log::warn!("peer: from={from} malformed=suspect");
                continue;
            }
        };
        entry.learn_suspect(SuspectStatus {
            key: ContentKey(key),
            knowledge,
            refused_for: Duration::from_millis(u64::from(refused_ms)),
            round,
            is_held,
            age: Duration::from_millis(u64::from(age_ms)),
        });
    }
    let mut is_complete = true;
    let mut members = lock(&entry.members);
    for SummaryRecord { domain, digest, age } in heartbeat.summaries {
        let heard_at = now.saturating_sub(Duration::from_millis(age));
        is_complete &=
            members.confirm_summary(&DomainSummary { domain, digest, heard_at }, &described, now);
    }
    is_complete
}
