//! The parts of a step of the simulation: searchers, message delivery, and the processes.

use std::net::SocketAddr;

use rand::RngExt;

use super::Body;
use super::CALL_TIMEOUT_MS;
use super::LIST_INTERVAL_MS;
use super::MAX_LIST_LAG_MS;
use super::MAX_SUB_QUERY_TIMEOUT_MS;
use super::Packet;
use super::Process;
use super::Request;
use super::Simulation;
use super::SubQuery;
use super::UNIX_MS;
use super::usage_of;
use crate::searcher::Reply;
use tt_membership::SearcherKey;
use tt_membership::assignment::Step;
use tt_membership::halves::Message;
use tt_membership::members::Action;
use tt_membership::members::Event;
use tt_membership::members::ListedDaemon;
use tt_membership::members::ListedState;
use tt_model::Epoch;
use tt_model::Revision;
use tt_model::StoreCall;
use tt_model::StoreReply;

impl Simulation {
    pub(super) fn run_searchers(&mut self) {
        let now = self.now_ms;
        let due: Vec<Request> = self.requests.extract_if(.., |r| r.at_ms <= now).collect();
        let mut replies: Vec<Reply> = Vec::new();
        for (_, searcher) in &mut self.searchers {
            replies.extend(searcher.advance(now));
        }
        for r in due {
            let searcher = &mut self.searchers[r.searcher].1;
            replies.extend(searcher.arrive(r.sub_query, r.deadline_ms, r.run_ms, r.from, now));
        }
        for reply in replies {
            self.send(reply.to, reply.to, &Body::Done(reply.sub_query));
        }
    }

    pub(super) fn deliver(&mut self) {
        let now = self.now_ms;
        let paused: Vec<bool> = self
            .vms
            .iter()
            .map(|vm| vm.process.as_ref().is_some_and(|p| p.paused.is_some()))
            .collect();
        let due: Vec<Packet> =
            self.packets.extract_if(.., |p| p.at_ms <= now && !paused[p.to]).collect();
        for packet in due {
            self.receive(packet);
        }
    }

    pub(super) fn send(&mut self, from: usize, to: usize, body: &Body) {
        let copies = match self.rng.random_range(0..100) {
            0..5 if self.loss > 0.0 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            if self.groups[from] != self.groups[to] || self.rng.random_bool(self.loss) {
                continue;
            }
            let delay = self.rng.random_range(0..=self.delay_ms);
            self.packets.push(Packet { at_ms: self.now_ms + delay, from, to, body: body.clone() });
        }
    }

    pub(super) fn vm_at(&self, address: SocketAddr) -> usize {
        self.vms.iter().position(|vm| vm.address == address).expect("a known address")
    }

    pub(super) fn receive(&mut self, packet: Packet) {
        let Packet { from, to, body, .. } = packet;
        let Some(process) = &mut self.vms[to].process else { return };
        let clock = process.clock(self.base, self.now_ms);
        let now = clock.now;
        let sub_queries = &process.sub_queries;
        let connections = &process.connections;
        let index = &self.index;
        let usage = |key: SearcherKey| usage_of(sub_queries, connections, index[&key]);
        let mut replies = Vec::new();
        let mut peer_epoch = Epoch(0);
        match body {
            Body::Heartbeat(message) => {
                peer_epoch = message.epoch;
                let answer = process.members.on_heartbeat(*message, &mut self.rng, now);
                replies.push(Body::HeartbeatAnswer(Box::new(answer)));
            }
            Body::HeartbeatAnswer(message) => {
                peer_epoch = message.epoch;
                let address = message.from.member.id.address;
                process.heartbeat_timeouts.retain(|(_, a)| *a != address);
                process.members.on_answer(*message, now);
            }
            Body::Renew(renew) => {
                peer_epoch = renew.epoch;
                let answer = process.halves.on_renew(&renew, usage, now);
                replies.extend(answer.map(Body::RenewAnswer));
            }
            Body::RenewAnswer(answer) => {
                peer_epoch = answer.epoch;
                process.halves.on_renew_answer(&answer);
            }
            Body::Release(release) => {
                peer_epoch = release.epoch;
                let answer = process.halves.on_release(&release, usage, now);
                replies.push(Body::ReleaseAnswer(answer));
            }
            Body::ReleaseAnswer(answer) => {
                peer_epoch = answer.epoch;
                process.halves.on_release_answer(&answer, now);
            }
            Body::Pull(epoch) => {
                if let Some(current) = process.assignments.current().filter(|a| a.epoch > epoch) {
                    replies.push(match current.delta(epoch) {
                        Some(delta) => Body::Delta(Box::new(delta)),
                        None => Body::Full(Box::new(current.clone())),
                    });
                }
            }
            Body::Full(value) => {
                if process.assignments.adopt(*value) {
                    process.adopt(now);
                }
            }
            Body::Delta(delta) => {
                let value = process.assignments.current().and_then(|a| a.apply(*delta));
                if value.is_some_and(|value| process.assignments.adopt(value)) {
                    process.adopt(now);
                }
            }
            Body::StoreReply(incarnation, id, reply) => {
                if incarnation == process.id.incarnation {
                    let target = std::mem::take(&mut process.target);
                    let nonce = self.rng.random();
                    let steps = process.assignments.on_reply(id, reply, &target, nonce, now);
                    process.target = target;
                    self.run_steps(to, steps);
                    return;
                }
            }
            Body::Done(id) => {
                for list in process.sub_queries.values_mut() {
                    list.retain(|sub_query| sub_query.id != id);
                }
            }
        }
        let own = process.halves.epoch();
        if peer_epoch > own {
            replies.push(Body::Pull(own));
        }
        for body in replies {
            self.send(to, from, &body);
        }
    }

    pub(super) fn run_steps(&mut self, vm: usize, steps: Vec<Step>) {
        for step in steps {
            let now_ms = self.now_ms;
            let base = self.base;
            let Some(process) = &mut self.vms[vm].process else { return };
            match step {
                Step::Adopted(_) => process.adopt(process.now(base, now_ms)),
                Step::Call(id, call) => self.call_store(vm, id, &call),
            }
        }
    }

    pub(super) fn call_store(
        &mut self,
        vm: usize,
        id: tt_membership::assignment::CallId,
        call: &StoreCall,
    ) {
        let reachable = self.store_group.is_none_or(|group| group == self.groups[vm]);
        let reply = if reachable {
            self.store.call(call, self.now_ms, &mut self.rng)
        } else {
            StoreReply::Unavailable
        };
        let Some(process) = &self.vms[vm].process else { return };
        let body = Body::StoreReply(process.id.incarnation, id, reply);
        let at_ms = self.now_ms + self.rng.random_range(1..=5);
        self.packets.push(Packet { at_ms, from: vm, to: vm, body });
    }

    /// Does what is due at a process, and lets the process use as much of the searchers as allowed.
    pub(super) fn run(&mut self, vm: usize) {
        let (base, now_ms) = (self.base, self.now_ms);
        let Some(mut process) = self.vms[vm].process.take() else { return };
        let clock = process.clock(base, now_ms);
        let now = clock.now;
        let mut out = Vec::new();
        for request in process.outbox.drain(..) {
            let at_ms = now_ms + self.rng.random_range(0..=self.delay_ms);
            self.requests.push(Request { at_ms, ..request });
        }
        let late: Vec<SocketAddr> = process
            .heartbeat_timeouts
            .extract_if(.., |(at, _)| now_ms >= *at)
            .map(|(_, a)| a)
            .collect();
        for address in late {
            process.members.on_call_failed(address, now);
        }
        let epoch = process.halves.epoch();
        process.members.set_report(epoch, Revision(0), process.halves.oldest_held_epoch());
        for action in process.members.tick(&mut self.rng, now) {
            if let Action::Send(to, message) = action {
                process.heartbeat_timeouts.push((now_ms + CALL_TIMEOUT_MS, to));
                out.push((self.vm_at(to), Body::Heartbeat(Box::new(message))));
            }
        }
        if now_ms >= process.next_list_ms {
            process.next_list_ms = now_ms + LIST_INTERVAL_MS;
            let list = self.read_list();
            process.members.on_list_read(&list, now);
        }
        for event in process.members.take_events() {
            match event {
                Event::Ended(id) => process.halves.member_ended(id, now),
                Event::Stopped(id) => process.halves.member_stopped(id, now),
                Event::Joined(_) | Event::Changed(..) | Event::Superseded => {}
            }
        }
        process.drop_expired_sub_queries(now_ms);
        let sub_queries = &process.sub_queries;
        let connections = &process.connections;
        let index = &self.index;
        let usage = |key: SearcherKey| usage_of(sub_queries, connections, index[&key]);
        for message in process.halves.tick(usage, clock) {
            out.push(match message {
                Message::Renew(renew) => (self.vm_at(renew.to.address), Body::Renew(renew)),
                Message::Release(release) => {
                    (self.vm_at(release.to.address), Body::Release(release))
                }
            });
        }
        self.use_searchers(vm, &mut process);
        let mut steps = Vec::new();
        if now_ms.is_multiple_of(100) {
            let hold_off = self.settings.hold_off();
            process.target = process.members.target(process.assignments.current(), hold_off, now);
            let target = std::mem::take(&mut process.target);
            steps = process.assignments.tick(&target, now);
            process.target = target;
        }
        self.vms[vm].process = Some(process);
        for (to, body) in out {
            self.send(vm, to, &body);
        }
        self.run_steps(vm, steps);
    }

    /// Opens as many connections and starts as many sub-queries as the allowance permits.
    pub(super) fn use_searchers(&mut self, vm: usize, process: &mut Process) {
        let clock = process.clock(self.base, self.now_ms);
        for (i, (spec, _)) in self.searchers.iter().enumerate() {
            let allowance = process.halves.allowance(spec.key, clock.now);
            let open = process.connections.entry(i).or_default();
            let list = process.sub_queries.entry(i).or_default();
            *open = allowance.connections.max((list.len() as u32).min(*open));
            for _ in 0..spec.slots {
                let leased = list.iter().filter(|sub_query| sub_query.leased).count() as u32;
                let has_slot = list.len() as u32 - leased < allowance.slots;
                let until = allowance.until_unix_ms.filter(|_| leased < allowance.leased);
                if list.len() as u32 >= *open || (!has_slot && until.is_none()) {
                    break;
                }
                let wanted = clock.unix_ms + self.rng.random_range(50..MAX_SUB_QUERY_TIMEOUT_MS);
                let deadline = if has_slot { wanted } else { wanted.min(until.unwrap_or(0)) };
                self.last_sub_query += 1;
                list.push(SubQuery {
                    id: self.last_sub_query,
                    deadline_ms: deadline,
                    leased: !has_slot,
                });
                process.outbox.push(Request {
                    at_ms: 0,
                    searcher: i,
                    from: vm,
                    sub_query: self.last_sub_query,
                    deadline_ms: deadline - UNIX_MS,
                    run_ms: match self.rng.random_range(0..10) {
                        0 => 4_000,
                        _ => self.rng.random_range(5..300),
                    },
                });
            }
        }
    }

    /// Reads the list of daemons from a replica of random age.
    pub(super) fn read_list(&mut self) -> Vec<ListedDaemon> {
        let listed: Vec<SocketAddr> =
            self.vms.iter().filter(|vm| vm.exists).map(|vm| vm.address).collect();
        self.vm_lists.push((self.now_ms, listed));
        let oldest = self.now_ms.saturating_sub(MAX_LIST_LAG_MS);
        self.vm_lists.retain(|(at, _)| *at >= oldest);
        let read = self.rng.random_range(0..self.vm_lists.len());
        let list = &self.vm_lists[read].1;
        list.iter().map(|&address| ListedDaemon { address, state: ListedState::Live }).collect()
    }
}
