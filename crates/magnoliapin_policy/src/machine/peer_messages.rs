//! What the entries tell each other.

use std::net::SocketAddr;
use std::time::Duration;

use magnoliapin_model::EntryId;
use magnoliapin_model::TeamId;
use magnoliapin_wire::EntryFacts;
use magnoliapin_wire::EntryState;
use magnoliapin_wire::PeerMessage;
use magnoliapin_wire::TeamUsage;

use crate::EntryMachine;
use crate::TimelineEvent;
use crate::TimelineName;

/// Entries of other availability zones are probed this many times less often.
const FAR_PROBE_RATIO: u32 = 4;
/// Most teams whose use goes into one datagram.
const MAX_TEAMS_TOLD: usize = 40;

impl EntryMachine {
    /// Probes the other entries: those of the same availability zone more often.
    pub(crate) fn probe_peers(&mut self) {
        let now = self.out.now;
        if self.membership.next_probe > now {
            return;
        }
        self.membership.next_probe = now + self.times.probe_interval;
        self.membership.probes += 1;
        let probe_far = self.membership.probes.is_multiple_of(FAR_PROBE_RATIO);
        let facts = self.facts(true);
        for (id, record) in &self.peers.records {
            if record.zone == self.identity.zone || probe_far || record.replied_as_of.is_none() {
                let message = PeerMessage::Probe { stamp: now, facts: facts.clone() };
                self.out.send(record.address, Some(*id), message);
            }
        }
        self.note_quiet();
    }

    /// Uses the silence of every member: if none of them can have got anything newer accepted, the
    /// configuration is current although the platform does not answer.
    fn note_quiet(&mut self) {
        if self.has_apply_in_flight() {
            return;
        }
        let version = self.config.version;
        let quiet = match self.peers.records.is_empty() {
            true => self.peers.listed_at.map(|_| self.out.now),
            false => self.peers.quiet_as_of(version),
        };
        if let Some(as_of) = quiet {
            self.config.note_evidence(version, as_of);
        }
    }

    /// Returns what this entry says of itself. The teams' use goes out with the probes alone, as
    /// both sides of each pair probe the other.
    pub(crate) fn facts(&mut self, with_usage: bool) -> EntryFacts {
        let state = match (self.membership.is_stopping(), self.has_started()) {
            (true, _) => EntryState::Stopping,
            (false, true) => EntryState::Ready,
            (false, false) => EntryState::Starting,
        };
        EntryFacts {
            zone: self.identity.zone,
            peer_address: self.identity.peer_address,
            caller_address: self.identity.caller_address,
            state,
            config: self.config.version,
            head_age_us: self.config.head_age_us(self.out.now),
            apply_in_flight: self.has_apply_in_flight(),
            member_count: u32::try_from(self.peers.records.len()).unwrap_or(u32::MAX),
            usage: if with_usage { self.told_usage() } else { Vec::new() },
        }
    }

    fn told_usage(&mut self) -> Vec<TeamUsage> {
        let own = self.identity.entry;
        let usage = |(team, part): (&TeamId, &crate::allotment::TeamPart)| {
            let waiting = self.request_lines.waiting(*team) + self.job_lines.waiting(*team);
            TeamUsage { team: *team, running: part.running, waiting, part: part.part(own) }
        };
        let all = self.allotments.parts.iter().map(usage).collect::<Vec<_>>();
        if all.len() <= MAX_TEAMS_TOLD {
            return all;
        }
        let first = self.membership.next_usage % all.len();
        self.membership.next_usage = first + MAX_TEAMS_TOLD;
        all.into_iter().cycle().skip(first).take(MAX_TEAMS_TOLD).collect()
    }

    /// Takes a message of another entry.
    pub(crate) fn take_peer(&mut self, from: EntryId, address: SocketAddr, message: PeerMessage) {
        match message {
            PeerMessage::Probe { stamp, facts } => {
                let reply = PeerMessage::Reply { stamp, facts: self.facts(false) };
                self.take_facts(from, facts);
                self.out.send(address, Some(from), reply);
            }
            PeerMessage::Reply { stamp, facts } => {
                if let Some(age) = facts.head_age_us {
                    let as_of = stamp.before(Duration::from_micros(age));
                    self.config.note_evidence(facts.config, as_of);
                }
                self.take_facts(from, facts.clone());
                self.peers.note_reply(from, stamp, &facts);
            }
            PeerMessage::TargetLeaving(instance) => {
                self.targets.note_leaving(instance);
            }
            PeerMessage::PartMoved(team) => self.check_part(team),
            PeerMessage::AskConfig { known } => {
                if let Some(news) = self.config.news_since(known) {
                    self.out.send(address, Some(from), PeerMessage::TellConfig(news));
                }
            }
            PeerMessage::TellConfig(news) => self.config.take_news(news, &mut self.out),
        }
    }

    /// Asks an entry with a newer configuration for it, as the platform may not answer.
    fn ask_config(&mut self, from: EntryId, facts: &EntryFacts) {
        let now = self.out.now;
        if facts.config <= self.config.version || self.membership.next_config_ask > now {
            return;
        }
        self.membership.next_config_ask = now + self.times.probe_interval;
        let message = PeerMessage::AskConfig { known: self.config.version };
        self.out.send(facts.peer_address, Some(from), message);
    }

    fn take_facts(&mut self, from: EntryId, facts: EntryFacts) {
        self.config.want(facts.config);
        self.ask_config(from, &facts);
        if self.peers.take_facts(from, facts, self.out.now) {
            self.out.record(TimelineEvent::new(TimelineName::PeerJoined).with_number(from.0));
        }
    }
}
