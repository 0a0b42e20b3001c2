//! Tests of the frames between nodes, with peers that send damaged ones.

use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use magnoliapin_model::Moment;
use magnoliapin_scheduler::NodeEvent;
use magnoliapin_site::AgentReplies;
use magnoliapin_site::CallFailure;
use magnoliapin_site::JobId;
use magnoliapin_site::JobState;
use magnoliapin_site::PeerReply;
use magnoliapin_site::PeerRequest;
use rand::rngs::StdRng;
use rand::Rng;
use rand::SeedableRng;
use smol::Async;
use smol::LocalExecutor;
use smol::Timer;

use super::PeerServer;
use crate::call_deadlines::CallDeadlines;
use crate::frame;
use crate::peer_client::PeerClient;

/// Longest time that a test waits for a reply.
const TEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads one request from bytes.
fn read(bytes: &[u8]) -> std::io::Result<(u64, PeerRequest)> {
    smol::block_on(frame::read(&mut smol::io::Cursor::new(bytes), &mut Vec::new()))
}

#[test]
fn frames_are_read_as_they_were_written() {
    let request = PeerRequest::Submit { job: JobId(9), row: vec![1, 2, 3], timeout_ms: 700 };
    let bytes = frame::encode(&(4_u64, request.clone()));
    assert_eq!(read(&bytes).expect("a frame"), (4, request));
    for length in 0..bytes.len() {
        assert!(read(&bytes[..length]).is_err(), "a frame cut after {length} bytes");
    }
}

#[test]
fn damaged_frames_are_errors_or_other_requests() {
    let mut random = StdRng::seed_from_u64(2);
    let replies =
        AgentReplies { session: 3, replies: vec![(7, magnoliapin_site::AgentReply::Missing)] };
    let bytes = frame::encode(&(4_u64, PeerRequest::AgentReplies(replies)));
    for _ in 0..2_000 {
        let mut damaged = bytes.clone();
        let position = random.random_range(0..damaged.len());
        damaged[position] = random.random();
        let _ = read(&damaged);
    }
}

/// Nodes of two versions exchange messages while a site is being updated, so the numbers of the
/// variants must not change: a reply would be taken for another one.
#[test]
fn encoded_variants_keep_their_numbers() {
    let variant = |bytes: Vec<u8>| bytes[5];
    let requests = [PeerRequest::Ping, PeerRequest::Read(JobId(1)), PeerRequest::Cancel(JobId(1))];
    let numbers = requests.map(|request| variant(frame::encode(&(0_u64, request))));
    assert_eq!(numbers, [0, 2, 3]);
    let replies = [
        PeerReply::Pong { generation: 1 },
        PeerReply::Accepted,
        PeerReply::State(JobState::Running),
        PeerReply::Cancelled,
        PeerReply::UnknownJob,
        PeerReply::NotLeader,
        PeerReply::Refused,
        PeerReply::OutcomeUnknown,
        PeerReply::Failed(CallFailure::Unknown),
        PeerReply::Received,
        PeerReply::Fenced { generation: 1 },
    ];
    let numbers = replies.map(|reply| variant(frame::encode(&(0_u64, reply))));
    assert_eq!(numbers, [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10]);
}

#[test]
fn a_frame_that_claims_to_be_too_long_is_refused() {
    let mut bytes = u32::MAX.to_le_bytes().to_vec();
    bytes.extend([0; 64]);
    assert!(read(&bytes).is_err());
}

/// A peer that sends garbage loses its connection; others are served.
#[test]
fn damaged_frames_do_not_disturb_other_peers() {
    let executor = Rc::new(LocalExecutor::new());
    let (events, received) = async_channel::unbounded();
    let server = Rc::new(PeerServer::new(Rc::clone(&executor), events));
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a free port");
    let address = listener.get_ref().local_addr().expect("an address");
    executor.spawn(Rc::clone(&server).accept(listener)).detach();
    let client = PeerClient::new(Rc::clone(&executor), CallDeadlines::default());
    let reply = smol::block_on(executor.run(async {
        let mut random = StdRng::seed_from_u64(1);
        for _ in 0..50 {
            let mut garbage = vec![0_u8; 40];
            random.fill(&mut garbage[..]);
            garbage[..4].copy_from_slice(&36_u32.to_le_bytes());
            let mut stream = TcpStream::connect(address).expect("the server accepts");
            stream.write_all(&garbage).expect("the garbage is sent");
        }
        let deadline = Moment::from_millis(u64::MAX / 2_000);
        let call = client.call(address, PeerRequest::Read(JobId(5)), deadline);
        let serve = async {
            while let Ok(event) = received.recv().await {
                if let NodeEvent::PeerRequest(peer, PeerRequest::Read(JobId(5))) = event {
                    server.send_reply(peer, PeerReply::State(JobState::Running));
                }
            }
            PeerReply::NotLeader
        };
        let timeout = async {
            Timer::after(TEST_TIMEOUT).await;
            PeerReply::OutcomeUnknown
        };
        call.or(serve).or(timeout).await
    }));
    assert_eq!(reply, PeerReply::State(JobState::Running));
}
