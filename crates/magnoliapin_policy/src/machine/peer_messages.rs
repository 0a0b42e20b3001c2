//! Messages between entries: heartbeats, status, and the exchange of configurations.

use std::net::SocketAddr;
use std::time::Duration;

use magnoliapin_model::EntryId;
use magnoliapin_model::TeamId;
use magnoliapin_wire::EntryState;
use magnoliapin_wire::EntryStatus;
use magnoliapin_wire::PeerMessage;
use magnoliapin_wire::TeamUsage;

use crate::EntryMachine;
use crate::TimelineEvent;
use crate::TimelineName;

/// Entries of other availability zones get only every n-th heartbeat once they have replied.
const REMOTE_HEARTBEAT_RATIO: u32 = 4;
/// Maximum number of teams whose usage is reported in one datagram.
const MAX_REPORTED_TEAMS: usize = 40;

impl EntryMachine {
    /// Sends heartbeats to the other entries, more often within the availability zone.
    pub(crate) fn send_heartbeats(&mut self) {
        let now = self.out.now;
        if self.membership.next_heartbeat > now {
            return;
        }
        self.membership.next_heartbeat = now + self.times.heartbeat_interval;
        self.membership.heartbeats_sent += 1;
        let includes_remote =
            self.membership.heartbeats_sent.is_multiple_of(REMOTE_HEARTBEAT_RATIO);
        let status = self.own_status(true);
        for (id, record) in &self.peers.records {
            if record.zone == self.identity.zone
                || includes_remote
                || record.replied_as_of.is_none()
            {
                let message = PeerMessage::Heartbeat { stamp: now, status: status.clone() };
                self.out.send(record.address, Some(*id), message);
            }
        }
        self.confirm_config_with_peers();
    }

    /// Confirms the configuration by the replies of all other entries.
    ///
    /// If no entry has a newer version or a change in flight, nothing newer can have been accepted,
    /// so the configuration is current even if the platform does not answer.
    fn confirm_config_with_peers(&mut self) {
        if self.has_apply_in_flight() {
            return;
        }
        let version = self.config.version;
        let confirmed_as_of = match self.peers.records.is_empty() {
            true => self.peers.listed_at.map(|_| self.out.now),
            false => self.peers.no_change_as_of(version),
        };
        if let Some(as_of) = confirmed_as_of {
            self.config.record_current(version, as_of);
        }
    }

    /// Returns the status of this entry for the others.
    ///
    /// The usage of teams is sent with heartbeats only and left out of replies, as both entries of
    /// each pair send heartbeats.
    pub(crate) fn own_status(&mut self, with_usage: bool) -> EntryStatus {
        let state = match (self.membership.is_stopping(), self.has_started()) {
            (true, _) => EntryState::Stopping,
            (false, true) => EntryState::Ready,
            (false, false) => EntryState::Starting,
        };
        EntryStatus {
            zone: self.identity.zone,
            peer_address: self.identity.peer_address,
            caller_address: self.identity.caller_address,
            state,
            config: self.config.version,
            head_age_us: self.config.head_age_us(self.out.now),
            apply_in_flight: self.has_apply_in_flight(),
            member_count: u32::try_from(self.peers.records.len()).unwrap_or(u32::MAX),
            usage: if with_usage { self.usage_report() } else { Vec::new() },
        }
    }

    fn usage_report(&mut self) -> Vec<TeamUsage> {
        let own = self.identity.entry;
        let usage = |(team, quota): (&TeamId, &crate::allotment::TeamQuota)| {
            let waiting =
                self.request_wait_queues.team_len(*team) + self.job_wait_queues.team_len(*team);
            TeamUsage { team: *team, running: quota.running, waiting, slice: quota.slice(own) }
        };
        let all = self.allotments.quotas.iter().map(usage).collect::<Vec<_>>();
        if all.len() <= MAX_REPORTED_TEAMS {
            return all;
        }
        let first = self.membership.next_usage_index % all.len();
        self.membership.next_usage_index = first + MAX_REPORTED_TEAMS;
        all.into_iter().cycle().skip(first).take(MAX_REPORTED_TEAMS).collect()
    }

    /// Handles a message from another entry.
    pub(crate) fn handle_peer_message(
        &mut self,
        from: EntryId,
        address: SocketAddr,
        message: PeerMessage,
    ) {
        match message {
            PeerMessage::Heartbeat { stamp, status } => {
                let reply = PeerMessage::HeartbeatReply { stamp, status: self.own_status(false) };
                self.handle_peer_status(from, status);
                self.out.send(address, Some(from), reply);
            }
            PeerMessage::HeartbeatReply { stamp, status } => {
                if let Some(age) = status.head_age_us {
                    let as_of = stamp.before(Duration::from_micros(age));
                    self.config.record_current(status.config, as_of);
                }
                self.handle_peer_status(from, status.clone());
                self.peers.record_reply(from, stamp, &status);
            }
            PeerMessage::TargetLeaving(instance) => {
                self.targets.mark_leaving(instance);
            }
            PeerMessage::SliceMoved(team) => self.read_allotment(team),
            PeerMessage::RequestConfig { known } => {
                if let Some(update) = self.config.update_since(known) {
                    self.out.send(address, Some(from), PeerMessage::SendConfig(update));
                }
            }
            PeerMessage::SendConfig(update) => self.config.apply_update(update, &mut self.out),
        }
    }

    /// Requests a newer configuration from the entry that has it, as the platform may not answer.
    fn request_config(&mut self, from: EntryId, status: &EntryStatus) {
        let now = self.out.now;
        if status.config <= self.config.version || self.membership.next_config_request > now {
            return;
        }
        self.membership.next_config_request = now + self.times.heartbeat_interval;
        let message = PeerMessage::RequestConfig { known: self.config.version };
        self.out.send(status.peer_address, Some(from), message);
    }

    fn handle_peer_status(&mut self, from: EntryId, status: EntryStatus) {
        self.config.record_version(status.config);
        self.request_config(from, &status);
        if self.peers.apply_status(from, status, self.out.now) {
            self.out.record(TimelineEvent::new(TimelineName::PeerJoined).with_number(from.0));
        }
    }
}
