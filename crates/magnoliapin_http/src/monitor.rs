//! Progress of one connection.

use std::net::Shutdown;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use smol::net::TcpStream;

use crate::ClientLimits;
use crate::LimitReason;

/// Time that a client has for its next bytes before its connection counts as slow. The head and the
/// body of an ordinary client arrive at once.
const GRACE_PERIOD: Duration = Duration::from_millis(500);
/// Time added to the idle timeout, so that a client that uses a connection until the timeout does
/// not meet one that is being closed.
const IDLE_MARGIN: Duration = Duration::from_secs(2);

/// Time without a request after which a connection that belongs to the system may be evicted. Its
/// other end may have gone without closing it, and a client that still has it opens a new one.
const UNUSED_TIME: Duration = Duration::from_secs(60);

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The first byte of a request.
    Idle,
    /// The rest of a head.
    Head,
    /// The rest of a body.
    Body,
    /// The response.
    Serving,
    /// The client's end of the connection, after the last response.
    Closing,
}

#[derive(Debug)]
struct MonitorState {
    phase: Phase,
    since: Instant,
    /// Bytes received in this phase.
    bytes: u64,
    write_blocked_since: Option<Instant>,
    end: Option<LimitReason>,
    is_trusted: bool,
    has_invalid_head: bool,
}

/// Records the progress of one connection, and ends it.
#[derive(Debug)]
pub struct ConnectionMonitor {
    stream: TcpStream,
    header_bytes: usize,
    state: Mutex<MonitorState>,
}

impl ConnectionMonitor {
    /// Creates the monitor of a new connection, with a limit on the size of heads.
    pub fn new(stream: TcpStream, header_bytes: usize) -> Self {
        let state = MonitorState {
            phase: Phase::Idle,
            since: Instant::now(),
            bytes: 0,
            write_blocked_since: None,
            end: None,
            is_trusted: false,
            has_invalid_head: false,
        };
        Self { stream, header_bytes, state: Mutex::new(state) }
    }

    /// Returns the limit on the size of heads under which the connection was opened.
    pub fn header_bytes(&self) -> usize {
        self.header_bytes
    }

    /// Returns why a limit has ended the connection; `None` if none has.
    pub fn end_reason(&self) -> Option<LimitReason> {
        self.lock().end
    }

    /// Records that the client has proved to belong to the system. Its connection is not evicted
    /// then, unless it is unused.
    pub fn trust(&self) {
        self.lock().is_trusted = true;
    }

    /// Returns whether the client has proved to belong to the system.
    pub fn is_trusted(&self) -> bool {
        self.lock().is_trusted
    }

    /// Records that the head of a request is complete.
    pub fn start_request(&self) {
        self.set_phase(Phase::Serving);
    }

    /// Records that a body is being read.
    pub fn start_body(&self) {
        self.set_phase(Phase::Body);
    }

    /// Records that the response to a request is ready to be written.
    pub fn finish_request(&self) {
        self.set_phase(Phase::Idle);
    }

    /// Records that only the client's end of the connection is awaited.
    pub fn start_closing(&self) {
        self.set_phase(Phase::Closing);
    }

    /// Records bytes received.
    pub fn record_read(&self, bytes: usize) {
        let mut state = self.lock();
        match state.phase {
            Phase::Idle => {
                state.phase = Phase::Head;
                state.since = Instant::now();
                state.bytes = bytes as u64;
            }
            // `hyper` reads again only if the head is not complete. It discards empty lines before
            // a request, and does not count them.
            Phase::Head if state.bytes > self.header_bytes as u64 => {
                state.end.get_or_insert(LimitReason::LargeHead);
            }
            _ => state.bytes += bytes as u64,
        }
    }

    /// Records that `hyper` refused the head of a request.
    pub(crate) fn record_invalid_head(&self) {
        self.lock().has_invalid_head = true;
    }

    /// Returns whether `hyper` refused the head of a request.
    pub fn has_invalid_head(&self) -> bool {
        self.lock().has_invalid_head
    }

    /// Records whether a write to the socket is pending.
    pub fn record_write(&self, is_pending: bool) {
        let mut state = self.lock();
        let since = state.write_blocked_since;
        state.write_blocked_since = is_pending.then(|| since.unwrap_or_else(Instant::now));
    }

    /// Ends the connection. A request whose body is incomplete can still be refused.
    pub(crate) fn end(&self, reason: LimitReason) {
        let phase = {
            let mut state = self.lock();
            if state.end.is_some() {
                return;
            }
            state.end = Some(reason);
            state.phase
        };
        // The task that serves the connection is woken up and reads the end of the stream.
        let needs_reply = phase == Phase::Body || !reason.is_eviction();
        let how = if needs_reply { Shutdown::Read } else { Shutdown::Both };
        // Fails only if the client has disconnected.
        let _ = self.stream.shutdown(how);
    }

    /// Returns the limit that the connection exceeds now.
    pub(crate) fn exceeded_limit(
        &self,
        now: Instant,
        limits: &ClientLimits,
    ) -> Option<LimitReason> {
        let state = self.lock();
        if state.end.is_some() {
            return None;
        }
        let blocked = state.write_blocked_since;
        if blocked.is_some_and(|since| now.duration_since(since) > limits.write_timeout) {
            return Some(LimitReason::StalledWrite);
        }
        let age = now.duration_since(state.since);
        match state.phase {
            Phase::Idle if state.is_trusted => None,
            Phase::Idle if age > limits.idle_timeout + IDLE_MARGIN => Some(LimitReason::Idle),
            Phase::Head if age > limits.header_timeout => Some(LimitReason::SlowHead),
            Phase::Body if age > limits.body_timeout => Some(LimitReason::SlowBody),
            _ => None,
        }
    }

    /// Returns the order in which connections are evicted in favor of a new one, the lowest first;
    /// `None` if this one is not evicted.
    pub(crate) fn eviction_rank(&self, now: Instant) -> Option<(u8, u64, Duration)> {
        let state = self.lock();
        if state.end.is_some() {
            return None;
        }
        let age = now.duration_since(state.since);
        // Of equal connections, the oldest has the lowest rank.
        let youth = Duration::MAX - age;
        if state.is_trusted {
            let is_unused = state.phase == Phase::Idle && age > UNUSED_TIME;
            return is_unused.then_some((4, 0, youth));
        }
        let is_slow = age > GRACE_PERIOD;
        match state.phase {
            Phase::Closing => Some((0, 0, youth)),
            Phase::Idle if is_slow => Some((1, 0, youth)),
            Phase::Head | Phase::Body if is_slow => Some((2, rate(state.bytes, age), youth)),
            Phase::Idle | Phase::Head => Some((3, 0, youth)),
            Phase::Body | Phase::Serving => None,
        }
    }

    /// Returns the bytes per second of a body that is received slowly; `None` if none is.
    pub(crate) fn slow_body_rate(&self, now: Instant) -> Option<u64> {
        let state = self.lock();
        let age = now.duration_since(state.since);
        let is_slow = state.phase == Phase::Body && age > GRACE_PERIOD;
        (is_slow && !state.is_trusted && state.end.is_none()).then(|| rate(state.bytes, age))
    }

    /// Returns whether a body is being received.
    pub(crate) fn is_receiving_body(&self) -> bool {
        self.lock().phase == Phase::Body
    }

    fn set_phase(&self, phase: Phase) {
        let mut state = self.lock();
        state.phase = phase;
        state.since = Instant::now();
        state.bytes = 0;
    }

    fn lock(&self) -> MutexGuard<'_, MonitorState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns bytes per second.
fn rate(bytes: u64, age: Duration) -> u64 {
    bytes * 1_000 / (age.as_millis() as u64).max(1)
}
