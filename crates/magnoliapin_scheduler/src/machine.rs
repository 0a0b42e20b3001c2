//! All decisions of one node.

use magnoliapin_model::ConfigVersion;
use magnoliapin_model::Moment;
use magnoliapin_site::ClientRequest;
use magnoliapin_site::InstanceReply;
use magnoliapin_site::NodeSettings;
use magnoliapin_site::PeerReply;
use magnoliapin_site::PeerRequest;
use magnoliapin_site::StoreReply;
use magnoliapin_site::TargetReply;
use rand::Rng;

use crate::desk::Desk;
use crate::desk::SchedulerPlace;
use crate::election::Election;
use crate::election::TakenLease;
use crate::leader::Asker;
use crate::leader::Leader;
use crate::leader::LeaderIdentity;
use crate::outbox::Outbox;
use crate::peer_link::PeerLink;
use crate::site_watch::SiteWatch;
use crate::CallId;
use crate::ClientId;
use crate::NodeAction;
use crate::NodeEvent;
use crate::NodeTimes;
use crate::PeerId;

/// Decides everything that a node does. It does no I/O and reads no clock.
#[derive(Debug)]
pub struct NodeMachine {
    identity: LeaderIdentity,
    out: Outbox,
    site_watch: SiteWatch,
    election: Election,
    desk: Desk,
    peer_link: PeerLink,
    leader: Option<Box<Leader>>,
    is_stopping: bool,
    was_ready: bool,
}

impl NodeMachine {
    /// Makes the machine of a node that has just started.
    pub fn new(settings: &NodeSettings, seed: u64) -> Self {
        let mut out = Outbox::new(seed);
        let times = NodeTimes::new(&settings.bounds);
        let identity = LeaderIdentity {
            node: settings.name.clone(),
            address: settings.peer_listen,
            power: settings.power,
            incarnation: out.random.random(),
            parts: settings.store_limits.parts(),
            times,
            instance_orders_per_s: settings.instance_orders_per_s,
            instance_lists_per_s: settings.instance_lists_per_s,
        };
        Self {
            site_watch: SiteWatch::new(),
            election: Election::new(identity.clone()),
            peer_link: PeerLink::default(),
            desk: Desk::new(identity.parts),
            leader: None,
            is_stopping: false,
            was_ready: false,
            identity,
            out,
        }
    }

    /// Returns whether new connections of clients are welcome.
    pub fn is_ready(&self) -> bool {
        // The watches ask again within their wait; a store that has not answered for several of
        // these takes no jobs from this node.
        let longest = self.identity.times.watch_wait * 2 + self.identity.times.answer_slack;
        let last_contact_at =
            self.site_watch.last_contact_at().max(self.election.last_contact_at());
        let is_heard = last_contact_at.is_some_and(|at| self.out.now.since(at) < longest);
        self.site_watch.config().is_some() && is_heard && !self.is_stopping
    }

    /// Returns whether this node schedules.
    pub fn is_scheduler(&self) -> bool {
        self.leader.is_some()
    }

    /// Returns the version of the configuration in force here.
    pub fn config_version(&self) -> ConfigVersion {
        self.site_watch.config().map(|config| config.version).unwrap_or_default()
    }

    /// Returns whether a planned stop is done: no client waits and another node may schedule.
    pub fn is_stopped(&self) -> bool {
        let has_let_go = self.leader.as_ref().is_none_or(|leader| leader.is_released());
        self.is_stopping && has_let_go && self.desk.is_idle()
    }

    /// Takes one event and adds what is to be done to `actions`.
    pub fn handle(&mut self, now: Moment, event: NodeEvent, actions: &mut Vec<NodeAction>) {
        self.out.now = now.max(self.out.now);
        match event {
            NodeEvent::Tick => self.tick(),
            NodeEvent::WallClock(wall) => self.out.set_wall_clock(wall),
            NodeEvent::Client(client, request) => self.take_request(client, *request),
            NodeEvent::Store(call, reply) => self.take_store_reply(call, &reply),
            NodeEvent::Target(call, reply) => self.take_target_reply(call, &reply),
            NodeEvent::Instances(call, reply) => self.take_instance_reply(call, &reply),
            NodeEvent::Advice(..) => {}
            NodeEvent::Peer(call, reply) => self.take_peer_reply(call, reply),
            NodeEvent::PeerRequest(peer, request) => self.take_peer_request(peer, request),
            NodeEvent::Stop => self.stop(),
        }
        self.note_ready();
        self.out.take_actions(actions);
    }

    /// Decides what follows from the events that were handled; called once after each batch.
    pub fn finish(&mut self, actions: &mut Vec<NodeAction>) {
        self.hand_over();
        if let Some(leader) = &mut self.leader {
            leader.finish(&mut self.out);
        }
        self.share_news();
        self.out.take_actions(actions);
    }

    fn tick(&mut self) {
        let times = self.identity.times;
        self.site_watch.poll(&times, &mut self.out);
        let may_lead =
            self.leader.is_none() && self.site_watch.config().is_some() && !self.is_stopping;
        self.election.poll(may_lead, self.peer_link.is_process_down(), &mut self.out);
        if self.leader.is_none() {
            let (generation, address) = (self.election.generation(), self.election.address());
            if self.peer_link.set_leader(generation, address) {
                // The one before may never answer.
                self.desk.ask_store(&mut self.out);
            }
            self.peer_link.poll(&mut self.out);
        }
        self.place_scheduler();
        self.desk.tick(&mut self.out);
        if let Some(leader) = &mut self.leader {
            leader.tick(&mut self.out);
        }
    }

    fn take_request(&mut self, client: ClientId, request: ClientRequest) {
        self.desk.take_request(client, request, &mut self.out);
    }

    fn take_store_reply(&mut self, call: CallId, reply: &StoreReply) {
        self.out.store_pace.record_reply(call, reply, self.out.now);
        if let Some(has_new_config) = self.site_watch.handle_reply(call, reply, &self.out) {
            if has_new_config {
                self.take_config();
            }
            if let Some(leader) = &mut self.leader {
                leader.set_waves(self.site_watch.waves(), &mut self.out);
            }
            self.site_watch.poll(&self.identity.times, &mut self.out);
            return;
        }
        let (is_taken, lease) = self.election.handle_reply(call, reply, &mut self.out);
        if let Some(lease) = lease {
            self.begin_to_lead(lease);
        }
        if is_taken {
            self.desk.set_waiting(self.election.waiting_jobs());
            let is_overtaken = self
                .leader
                .as_ref()
                .is_some_and(|leader| leader.generation() < self.election.generation());
            if is_overtaken {
                log::warn!("event=scheduler_overtaken by={}", self.election.generation());
                self.stop_leading();
            }
            return;
        }
        if self.desk.take_reply(call, reply, &mut self.out) {
            return;
        }
        if let Some(leader) = &mut self.leader {
            leader.take_store_reply(call, reply, &mut self.out);
        }
        self.drop_deposed();
    }

    fn take_target_reply(&mut self, call: CallId, reply: &TargetReply) {
        if let Some(leader) = &mut self.leader {
            leader.take_target_reply(call, reply, &mut self.out);
        }
        self.drop_deposed();
    }

    fn take_instance_reply(&mut self, call: CallId, reply: &InstanceReply) {
        if let Some(leader) = &mut self.leader {
            leader.take_instance_reply(call, reply, &mut self.out);
        }
        self.drop_deposed();
    }

    fn take_config(&mut self) {
        let Some(config) = self.site_watch.config().cloned() else { return };
        self.desk.set_config(&config);
        if let Some(leader) = &mut self.leader {
            leader.set_config(config);
        }
    }

    fn begin_to_lead(&mut self, lease: TakenLease) {
        let Some(config) = self.site_watch.config().cloned() else { return };
        let waiting = self.election.waiting_jobs().to_vec();
        let identity = self.identity.clone();
        let mut leader = Leader::new(identity, lease, config, waiting, &mut self.out);
        leader.set_waves(self.site_watch.waves(), &mut self.out);
        self.leader = Some(Box::new(leader));
        self.place_scheduler();
    }

    fn drop_deposed(&mut self) {
        if self.leader.as_ref().is_some_and(|leader| leader.is_deposed()) {
            self.stop_leading();
        }
    }

    /// Drops the scheduler of this node, and asks the store for what it was asked for.
    fn stop_leading(&mut self) {
        let Some(mut leader) = self.leader.take() else { return };
        let answers = leader.refuse_all(&mut self.out);
        self.place_scheduler();
        for (call, reply) in answers {
            self.desk.take_peer_reply(call, reply, &mut self.out);
        }
    }

    /// Tells the desk where the scheduler is.
    fn place_scheduler(&mut self) {
        let place = match (&self.leader, self.peer_link.address()) {
            (Some(_), _) => SchedulerPlace::Here,
            (None, Some(address)) => SchedulerPlace::At(address),
            (None, None) => SchedulerPlace::Unknown,
        };
        self.desk.set_scheduler(place);
    }

    /// Hands the desk's requests to the scheduler of this node.
    fn hand_over(&mut self) {
        for (call, request) in self.desk.take_local() {
            match &mut self.leader {
                Some(leader) => {
                    leader.take_peer_request(Asker::Local(call), request, &mut self.out);
                }
                None => {
                    self.desk.take_peer_reply(call, PeerReply::NotScheduler, &mut self.out);
                }
            }
        }
    }

    fn take_peer_reply(&mut self, call: CallId, reply: PeerReply) {
        if self.peer_link.handle_reply(call, &reply) {
            self.place_scheduler();
            if self.leader.is_none() && self.peer_link.is_unresponsive() {
                self.desk.ask_store(&mut self.out);
            }
            return;
        }
        if self.desk.take_peer_reply(call, reply, &mut self.out) == Some(false) {
            self.peer_link.record_failure();
            self.place_scheduler();
        }
    }

    fn take_peer_request(&mut self, peer: PeerId, request: PeerRequest) {
        match &mut self.leader {
            Some(leader) => leader.take_peer_request(Asker::Peer(peer), request, &mut self.out),
            None => self.out.push(NodeAction::AnswerPeer(peer, PeerReply::NotScheduler)),
        }
    }

    /// Tells the desk what the scheduler has done.
    fn share_news(&mut self) {
        let Some(leader) = &mut self.leader else { return };
        let news = leader.take_news();
        for (job, state) in news.ended {
            self.desk.note_ended(job, state);
        }
        for (call, reply) in news.answers {
            self.desk.take_peer_reply(call, reply, &mut self.out);
        }
        if news.was_renewed {
            self.election.record_renewal(self.out.now);
        }
    }

    fn stop(&mut self) {
        if self.is_stopping {
            return;
        }
        log::info!("event=stop_began scheduler={}", self.is_scheduler());
        self.is_stopping = true;
        if let Some(leader) = &mut self.leader {
            leader.release(&mut self.out);
        }
    }

    fn note_ready(&mut self) {
        let is_ready = self.is_ready();
        if std::mem::replace(&mut self.was_ready, is_ready) != is_ready {
            log::info!("event=readiness ready={is_ready} config={}", self.config_version());
        }
    }
}
