//! Types of a site, and the messages that a node exchanges with its clients, the platform and
//! other nodes.
//!
//! [`JobSpec`] is the job that a client submits, [`SiteConfig`] the configuration that the operator
//! has written, [`TargetRecord`] and [`InstanceRecord`] describe the machines that run the tasks.
//! [`ClientRequest`], [`StoreRequest`], [`TargetRequest`], [`InstanceRequest`] and
//! [`AdviceRequest`] are the messages; an implementation of [`SiteProtocol`] translates each to
//! and from the HTTP interface of the platform that the site runs on.

mod advice_message;
mod agent_message;
mod client_message;
mod instance_message;
mod job_id;
mod job_spec;
mod job_state;
mod node_settings;
mod peer_message;
mod resources;
mod site_config;
mod site_protocol;
mod store_message;
mod stored_input;
mod target_message;
mod target_record;
mod text_id;

pub use advice_message::AdviceReply;
pub use advice_message::AdviceRequest;
pub use advice_message::AllowedTargets;
pub use agent_message::AgentBatch;
pub use agent_message::AgentCall;
pub use agent_message::AgentReplies;
pub use agent_message::AgentReply;
pub use agent_message::AgentRequest;
pub use agent_message::AgentTarget;
pub use agent_message::NodeProfile;
pub use agent_message::ReportUpdate;
pub use agent_message::RunChange;
pub use client_message::ClientAction;
pub use client_message::ClientReply;
pub use client_message::ClientRequest;
pub use client_message::RefusalReason;
pub use instance_message::InstancePage;
pub use instance_message::InstanceRecord;
pub use instance_message::InstanceReply;
pub use instance_message::InstanceRequest;
pub use instance_message::InstanceState;
pub use instance_message::OrderRefusal;
pub use instance_message::OrderSender;
pub use job_id::JobId;
pub use job_id::TaskName;
pub use job_id::TaskNameError;
pub use job_spec::JobSchedule;
pub use job_spec::JobSpec;
pub use job_spec::JobSpecError;
pub use job_spec::StepSpec;
pub use job_state::JobState;
pub use node_settings::NodeSettings;
pub use node_settings::SiteBounds;
pub use node_settings::StoreLimits;
pub use peer_message::PeerReply;
pub use peer_message::PeerRequest;
pub use resources::Resources;
pub use site_config::AdviceRule;
pub use site_config::MaintenanceWave;
pub use site_config::PoolRule;
pub use site_config::QueueRule;
pub use site_config::RequestLimits;
pub use site_config::SiteChange;
pub use site_config::SiteConfig;
pub use site_config::TeamRule;
pub use site_config::TeamWeight;
pub use site_config::WaveState;
pub use site_protocol::HttpCall;
pub use site_protocol::HttpRequest;
pub use site_protocol::HttpResponse;
pub use site_protocol::SiteProtocol;
pub use store_message::CallFailure;
pub use store_message::RowId;
pub use store_message::RowRange;
pub use store_message::StoreReply;
pub use store_message::StoreRequest;
pub use store_message::StoreRow;
pub use store_message::StoreTransaction;
pub use stored_input::StoredInput;
pub use stored_input::UploadId;
pub use target_message::RunCompletion;
pub use target_message::RunId;
pub use target_message::RunOutcome;
pub use target_message::RunReport;
pub use target_message::RunningTask;
pub use target_message::StartRefusal;
pub use target_message::TargetReply;
pub use target_message::TargetRequest;
pub use target_record::TargetChange;
pub use target_record::TargetRecord;
pub use target_record::TargetState;
pub use text_id::InstanceName;
pub use text_id::NodeName;
pub use text_id::PoolName;
pub use text_id::QueueName;
pub use text_id::TargetName;
pub use text_id::TeamName;
pub use text_id::ZoneName;
