//! The proof of the newest configuration: single exchanges, and a whole tier on virtual time.

mod common;

use std::collections::VecDeque;
use std::time::Duration;

use common::ms;

use tt_serve::ConfigProof;
use tt_serve::ConfigProofSettings;
use tt_serve::ProofReport;
use tt_serve::Time;

const BOUND: Duration = Duration::from_secs(5);

fn proof(offset: u64, start: Time) -> ConfigProof {
    ConfigProof::new(ConfigProofSettings::default(), offset, start)
}

// Guards against keys that are served for longer than the bound after the last proof, and against
// keys that are refused while the proof holds.
#[test]
fn proof_from_the_store_holds_for_nine_tenths_of_the_bound() {
    let mut proof = proof(7, ms(0));
    assert!(!proof.is_fresh(Some(BOUND), ms(0)));
    assert!(proof.renew_from_store(ms(100)));
    assert!(proof.is_fresh(Some(BOUND), ms(4600)));
    assert!(!proof.is_fresh(Some(BOUND), ms(4601)));
    // An answer to an earlier call comes late.
    assert!(!proof.renew_from_store(ms(50)));
    assert_eq!(proof.proven_at(), Some(ms(100)));
}

// Guards against withdrawn keys at an entry that reads an older copy of the store, which lacks the
// withdrawal, and is cut off before it is written again; and against keys that are refused meanwhile
// at an entry which the store answers.
#[test]
fn proof_from_an_older_copy_holds_for_a_short_time() {
    let mut proof = proof(7, ms(0));
    proof.renew_from_store(ms(14_000));
    assert!(proof.renew_from_older_copy(ms(17_100), Some(BOUND)));
    assert!(proof.is_fresh(Some(BOUND), ms(18_600)));
    assert!(!proof.is_fresh(Some(BOUND), ms(18_601)));
    // It is no proof of the time of the call: a key that is not known may have been lost.
    assert!(proof.proven_at() < Some(ms(17_000)));
    proof.renew_from_older_copy(ms(18_100), Some(BOUND));
    assert!(proof.is_fresh(Some(BOUND), ms(19_500)));
    // A proof of before that holds for longer stays.
    proof.renew_from_store(ms(19_400));
    assert!(!proof.renew_from_older_copy(ms(19_500), Some(BOUND)));
}

// Guards against a proof that is dated by the arrival of a heartbeat: it may have been in transit or
// in a buffer for any time.
#[test]
fn proof_from_a_peer_is_dated_by_the_echo() {
    let (mut own, mut peer) = (proof(7, ms(1000)), proof(u64::MAX - 3, ms(500_000)));
    peer.renew_from_store(ms(600_000));
    // The clocks of the two machines differ by 599 s.
    let to_peer = own.report_for("peer", ms(2000));
    peer.observe_sent_at("own", to_peer.sent_at);
    let to_own = peer.report_for("own", ms(601_200));
    assert_eq!(to_own.config_age_ms, Some(1200));
    assert!(own.renew_from_peer(&to_own, 3, 3, ms(60_000)));
    assert_eq!(own.proven_at(), Some(ms(800)));
    // The same datagram again.
    assert!(!own.renew_from_peer(&to_own, 3, 3, ms(90_000)));
}

// Guards against a proof by a daemon that has another view of what is the newest configuration.
#[test]
fn proof_of_a_later_version_proves_nothing_for_an_earlier_one() {
    let mut own = proof(7, ms(0));
    let echo = own.report_for("peer", ms(2000)).sent_at;
    let report = ProofReport { sent_at: 1, echo, config_age_ms: Some(10) };
    assert!(!own.renew_from_peer(&report, 4, 3, ms(2100)));
    assert!(!own.renew_from_peer(&report, 0, 3, ms(2100)));
    let no_proof = ProofReport { config_age_ms: None, ..report };
    assert!(!own.renew_from_peer(&no_proof, 3, 3, ms(2100)));
    // Nothing later than version 2 was acknowledged before, so nothing later than version 3.
    assert!(own.renew_from_peer(&report, 2, 3, ms(2100)));
}

// Guards against echoes of times that this process never sent: of an earlier process on the VM, of
// the future, or absent ones.
#[test]
fn foreign_echoes_prove_nothing() {
    let mut own = proof(1 << 40, ms(10_000));
    let earlier = proof(1 << 50, ms(0)).report_for("peer", ms(9000)).sent_at;
    let before_start = proof(1 << 40, ms(0)).report_for("peer", ms(9000)).sent_at;
    let future = own.report_for("peer", ms(13_000)).sent_at;
    for echo in [0, 1, u64::MAX, earlier, before_start, future] {
        let report = ProofReport { sent_at: 1, echo, config_age_ms: Some(0) };
        assert!(!own.renew_from_peer(&report, 3, 3, ms(12_000)), "{echo}");
    }
    let aged = ProofReport {
        sent_at: 1,
        echo: own.report_for("peer", ms(11_000)).sent_at,
        config_age_ms: Some(u32::MAX),
    };
    assert!(!own.renew_from_peer(&aged, 3, 3, ms(12_000)));
}

// Guards against a start after which requests are served on the word of the process before it.
#[test]
fn restarted_process_echoes_only_what_it_has_received() {
    let (mut first, mut second) = (proof(5, ms(0)), proof(5, ms(0)));
    first.observe_sent_at("peer", 1234);
    assert_eq!(first.report_for("peer", ms(1)).echo, 1234);
    assert_eq!(second.report_for("peer", ms(1)).echo, 0);
    // The peer has been restarted with a smaller offset.
    second.observe_sent_at("peer", 99);
    second.observe_sent_at("peer", 12);
    assert_eq!(second.report_for("peer", ms(1)).echo, 12);
    second.retain_peers(|name| name != "peer");
    assert_eq!(second.report_for("peer", ms(1)).echo, 0);
}

// Guards against all daemons of a domain that read the store at once, and against one that begins
// only when its proof has ended.
#[test]
fn own_reads_are_staggered_and_in_time() {
    let mut proof = proof(7, ms(0));
    proof.renew_from_store(ms(0));
    let first_read = |rank| (0..).map(ms).find(|&now| proof.needs_read(BOUND, rank, now));
    let starts: Vec<Time> = (0..7).filter_map(first_read).collect();
    assert_eq!(starts[0], BOUND / 2);
    assert!(starts[..4].windows(2).all(|pair| pair[0] + ms(400) <= pair[1]), "{starts:?}");
    assert!(starts.iter().all(|&start| start <= ms(4000)), "{starts:?}");
    // A watch that is answered late enough leaves time for the next one.
    assert!(proof.max_watch(BOUND) <= ms(1000));
    assert!(proof.max_watch(ms(2000)) <= ms(400));
}

// Guards against 401 for a key that a version holds which this daemon can't know of, and against a
// storm of calls for unknown keys.
#[test]
fn unknown_keys_are_confirmed_by_bounded_calls() {
    let mut proof = proof(7, ms(0));
    assert!(!proof.excludes_key(ms(10), None, ms(400)));
    proof.renew_from_store(ms(0));
    assert!(proof.excludes_key(ms(2000), Some(BOUND), ms(2400)));
    assert!(!proof.excludes_key(ms(2000), Some(ms(2000)), ms(2400)));
    assert!(!proof.excludes_key(ms(6000), Some(BOUND), ms(6300)));
    let mut calls = 0;
    for now in (6300..9300).map(ms) {
        if proof.ask(now) {
            proof.record_call(now);
            calls += 1;
        }
    }
    assert_eq!(calls, 3);
    proof.renew_from_store(ms(9300));
    assert!(!proof.is_asked(ms(9300)));
    assert!(proof.excludes_key(ms(9300), Some(BOUND), ms(15_000)));
}

/// Interval of heartbeats.
const HEARTBEAT_MS: u64 = 400;

/// Step of the simulation.
const STEP_MS: u64 = 10;

/// A fault of one entry of the simulated tier, while it lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// Its calls to the store fail.
    NoStore,
    /// It doesn't run; datagrams wait in its buffer.
    Frozen,
    /// It hears no other entry.
    Deaf,
}

#[derive(Debug, Clone, Copy)]
struct Datagram {
    from: usize,
    version: u64,
    report: ProofReport,
}

/// A call to the store that waits for its answer.
#[derive(Debug, Clone, Copy)]
struct Call {
    called_at: Time,
    answered_at: Time,
}

#[derive(Debug)]
struct SimulatedEntry {
    /// Its clock is ahead by this.
    skew: Time,
    proof: ConfigProof,
    version: u64,
    /// Versions that peers have announced and that are fetched at this time.
    fetch: Option<(u64, Time)>,
    buffer: VecDeque<Datagram>,
    call: Option<Call>,
    faults: Vec<(Fault, Time, Time)>,
    reads: usize,
}

impl SimulatedEntry {
    fn new(index: usize, start: Time) -> SimulatedEntry {
        let skew = Duration::from_secs(1000 * index as u64 + 7);
        SimulatedEntry {
            skew,
            proof: proof((index as u64 + 1) << 60, start + skew),
            version: 0,
            fetch: None,
            buffer: VecDeque::new(),
            call: None,
            faults: Vec::new(),
            reads: 0,
        }
    }

    fn has(&self, fault: Fault, now: Time) -> bool {
        self.faults.iter().any(|&(it, from, until)| it == fault && from <= now && now < until)
    }

    /// Whether it serves requests with the key that version 2 has withdrawn.
    fn serves_withdrawn_key(&self, now: Time) -> bool {
        self.version == 1 && self.proof.is_fresh(Some(BOUND), now + self.skew)
    }

    fn serves_keys(&self, now: Time) -> bool {
        self.version > 0 && self.proof.is_fresh(Some(BOUND), now + self.skew)
    }
}

/// One failure domain of entries on virtual time, each with a clock of its own.
struct SimulatedTier {
    now: Time,
    entries: Vec<SimulatedEntry>,
    /// When version 2, which withdraws the key, is acknowledged.
    withdrawn_at: Time,
    /// While the store answers no one.
    store_down: (Time, Time),
    /// The first time at which each entry served a withdrawn key after the bound.
    breaches: Vec<(usize, Time)>,
    /// Steps in which each running entry refused keys.
    refused: Vec<usize>,
}

impl SimulatedTier {
    fn new(count: usize) -> SimulatedTier {
        SimulatedTier {
            now: Time::ZERO,
            entries: (0..count).map(|index| SimulatedEntry::new(index, Time::ZERO)).collect(),
            withdrawn_at: Time::MAX,
            store_down: (Time::MAX, Time::MAX),
            breaches: Vec::new(),
            refused: vec![0; count],
        }
    }

    fn run_until(&mut self, end: Time) {
        while self.now < end {
            self.now += ms(STEP_MS);
            for index in 0..self.entries.len() {
                if !self.entries[index].has(Fault::Frozen, self.now) {
                    self.step(index);
                }
            }
        }
    }

    fn newest_version(&self) -> u64 {
        if self.now >= self.withdrawn_at { 2 } else { 1 }
    }

    fn step(&mut self, index: usize) {
        let now = self.now;
        let newest = self.newest_version();
        // A woken entry serves before it has read anything: the hardest order.
        let entry = &mut self.entries[index];
        if now.saturating_sub(self.withdrawn_at) > BOUND && entry.serves_withdrawn_key(now) {
            self.breaches.push((index, now));
        }
        if now > ms(3000) && !entry.serves_keys(now) {
            self.refused[index] += 1;
        }
        let local = now + entry.skew;
        while let Some(datagram) = entry.buffer.pop_front() {
            entry.proof.observe_sent_at(&name(datagram.from), datagram.report.sent_at);
            let version = entry.version;
            entry.proof.renew_from_peer(&datagram.report, datagram.version, version, local);
            if datagram.version > entry.version && entry.fetch.is_none() {
                entry.fetch = Some((datagram.version, now + ms(200)));
            }
        }
        if let Some((version, _)) = entry.fetch.filter(|&(_, at)| at <= now) {
            entry.version = entry.version.max(version);
            entry.fetch = None;
        }
        self.call_store(index, newest);
        if now.as_millis() as u64 % HEARTBEAT_MS == index as u64 * STEP_MS {
            self.send_heartbeats(index);
        }
    }

    fn call_store(&mut self, index: usize, newest: u64) {
        let now = self.now;
        let (down, up) = self.store_down;
        let entry = &mut self.entries[index];
        let fails = entry.has(Fault::NoStore, now) || (down <= now && now < up);
        match entry.call {
            Some(call) if call.answered_at <= now || entry.version < newest => {
                if !fails {
                    entry.version = entry.version.max(newest);
                    entry.proof.renew_from_store(call.called_at);
                }
                entry.call = None;
            }
            Some(_) => {}
            None => {
                let local = now + entry.skew;
                let needs_read = entry.proof.needs_read(BOUND, index, local);
                if index == 0 || entry.version == 0 || needs_read {
                    entry.reads += 1;
                    let watch = if index == 0 && entry.version > 0 && !needs_read {
                        entry.proof.max_watch(BOUND)
                    } else {
                        Duration::ZERO
                    };
                    let answered_at = now + watch + ms(20);
                    entry.call = Some(Call { called_at: local, answered_at });
                }
            }
        }
    }

    fn send_heartbeats(&mut self, from: usize) {
        let now = self.now;
        for target in (0..self.entries.len()).filter(|&target| target != from) {
            let sender = &self.entries[from];
            let report = sender.proof.report_for(&name(target), now + sender.skew);
            let datagram = Datagram { from, version: sender.version, report };
            if !self.entries[target].has(Fault::Deaf, now) {
                self.entries[target].buffer.push_back(datagram);
            }
        }
    }
}

fn name(index: usize) -> String {
    format!("vm-{index}")
}

const ENTRIES: usize = 6;

// Guards against refusals in a sound tier, and against a proof for which each entry reads the store.
#[test]
fn sound_tier_serves_keys_and_leaves_reads_to_the_first_entry() {
    let mut tier = SimulatedTier::new(ENTRIES);
    tier.run_until(ms(60_000));
    assert_eq!(tier.refused, vec![0; ENTRIES]);
    let reads: Vec<usize> = tier.entries.iter().map(|it| it.reads).collect();
    assert!(reads[1..].iter().all(|&reads| reads <= 1), "{reads:?}");
    assert!((45..70).contains(&reads[0]), "{reads:?}");
}

// Guards against an entry that refuses keys because the store is out of its reach alone, and against
// one that misses a withdrawal then. The first entry is the one that reads for all.
#[test]
fn entry_without_the_store_is_vouched_for_by_others() {
    for faulty in [0, 3] {
        let mut tier = SimulatedTier::new(ENTRIES);
        tier.entries[faulty].faults.push((Fault::NoStore, ms(10_000), ms(50_000)));
        tier.withdrawn_at = ms(20_000);
        tier.run_until(ms(60_000));
        assert_eq!(tier.breaches, []);
        assert_eq!(tier.refused, vec![0; ENTRIES], "{faulty}");
        assert!(tier.entries.iter().all(|it| it.version == 2));
    }
}

// Guards against withdrawn keys that are served while no entry can reach the store, against keys
// that are refused before the proof ends, and against keys that stay refused afterwards.
#[test]
fn keys_expire_with_the_store_and_return_with_it() {
    let mut tier = SimulatedTier::new(ENTRIES);
    tier.store_down = (ms(10_000), ms(30_000));
    // The store takes the version and is lost before any entry hears of it.
    tier.withdrawn_at = ms(10_000);
    tier.run_until(ms(11_500));
    assert!(tier.entries.iter().all(|it| it.serves_keys(tier.now)));
    tier.run_until(ms(14_600));
    assert!(tier.entries.iter().all(|it| !it.serves_keys(tier.now)));
    tier.run_until(ms(30_600));
    assert!(tier.entries.iter().all(|it| it.serves_keys(tier.now)));
    assert_eq!(tier.breaches, []);
}

// Guards against a frozen entry that takes the heartbeats in its buffer, or its own clock before the
// pause, for a proof.
#[test]
fn frozen_entry_refuses_keys_until_it_has_a_new_proof() {
    for pause in [1000, 3000, 6000, 30_000] {
        for faulty in 0..ENTRIES {
            let mut tier = SimulatedTier::new(ENTRIES);
            let wakes_at = ms(10_000 + pause);
            tier.entries[faulty].faults.extend([
                (Fault::Frozen, ms(10_000), wakes_at),
                // Nothing but its buffer tells it of the tier.
                (Fault::NoStore, wakes_at, wakes_at + ms(3000)),
                (Fault::Deaf, wakes_at, wakes_at + ms(3000)),
            ]);
            tier.withdrawn_at = ms(10_300);
            tier.run_until(wakes_at + ms(2900));
            assert_eq!(tier.breaches, [], "{pause} {faulty}");
            tier.run_until(wakes_at + ms(5000));
            assert!(tier.entries[faulty].serves_keys(tier.now));
        }
    }
}

// Guards against an entry that is cut off from all others and from the store but not from callers.
#[test]
fn entry_that_is_cut_off_stops_in_time() {
    let mut tier = SimulatedTier::new(ENTRIES);
    for fault in [Fault::NoStore, Fault::Deaf] {
        tier.entries[2].faults.push((fault, ms(10_000), ms(40_000)));
    }
    tier.withdrawn_at = ms(10_000);
    tier.run_until(ms(11_500));
    assert!(tier.entries[2].serves_withdrawn_key(tier.now));
    tier.run_until(ms(60_000));
    assert_eq!(tier.breaches, []);
    assert!(tier.entries[2].serves_keys(tier.now));
}

// Guards against a restarted entry that serves keys on what others told the process before it.
#[test]
fn restarted_entry_refuses_keys_until_it_has_both() {
    let mut tier = SimulatedTier::new(ENTRIES);
    // What the others send shortly before is read by the new process.
    tier.entries[3].faults.push((Fault::Frozen, ms(9000), ms(10_001)));
    tier.run_until(ms(10_000));
    let stale = tier.entries[3].buffer.clone();
    assert!(!stale.is_empty());
    tier.entries[3] = SimulatedEntry::new(3, tier.now);
    tier.entries[3].buffer = stale;
    // A configuration from a peer, without a proof.
    tier.entries[3].version = 1;
    tier.entries[3].faults.push((Fault::NoStore, ms(0), ms(60_000)));
    assert!(!tier.entries[3].serves_keys(tier.now));
    tier.withdrawn_at = ms(10_020);
    tier.run_until(ms(11_000));
    assert!(tier.entries[3].serves_keys(tier.now));
    assert_eq!(tier.entries[3].version, 2);
    tier.run_until(ms(30_000));
    assert_eq!(tier.breaches, []);
}
