//! Attempts whose body is buffered by the guard before the target receives it: what is known if the guard's
//! node dies.

mod support;

use futures_util::future::{BoxFuture, FutureExt};
use http::{HeaderMap, StatusCode};
use http_body_util::{BodyExt, Empty};
use laurelstall_guard::{
    clock::Clock,
    refusal::{Refusal, RefusalReason},
};
use laurelstall_peer::{
    attempt::{Admission, Attempt, AttemptAnswer, AttemptBody, AttemptHandler, AttemptOutcome},
    client::PeerClient,
    link::OpenLink,
    message::{AttemptHead, BodyKind, PeerAnswer, PeerRequest},
    meter::Meter,
    pool::Pool,
    server::{PeerHandler, PeerServer},
};
use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};
use support::attempts::attempt_head;
use tokio::{
    net::TcpListener,
    sync::Notify,
    task::JoinHandle,
    time::{Duration, timeout},
};

/// How the guard of the test treats attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GuardMode {
    /// It never admits them.
    Queue,
    /// It admits them and receives their body, but never answers.
    Hang,
    /// It admits and answers them.
    Answer,
}

#[derive(Debug)]
struct TestGuard {
    mode: GuardMode,
    received: Notify,
    ran: Notify,
    bytes: AtomicU32,
}

impl AttemptHandler for TestGuard {
    fn attempt(&self, attempt: Attempt, mut admission: Admission) -> BoxFuture<'_, AttemptAnswer> {
        async move {
            self.received.notify_one();
            if self.mode == GuardMode::Queue {
                std::future::pending::<()>().await;
            }
            admission.grant();
            let AttemptBody::Stream(body) = attempt.body else { panic!("the body follows after admission") };
            let Ok(body) = body.collect().await else {
                return AttemptAnswer::new(AttemptOutcome::NotRun(Refusal::new(RefusalReason::NoConnection)));
            };
            self.bytes.store(body.to_bytes().len() as u32, Ordering::Relaxed);
            self.ran.notify_one();
            if self.mode == GuardMode::Hang {
                std::future::pending::<()>().await;
            }
            let body = Empty::new().map_err(|never| match never {}).boxed_unsync();
            let (status, headers) = (StatusCode::OK, HeaderMap::new());
            AttemptAnswer::new(AttemptOutcome::Answered { status, headers, body })
        }
        .boxed()
    }
}

impl PeerHandler for TestGuard {
    fn attempts(&self) -> &dyn AttemptHandler {
        self
    }

    fn is_member(&self, _ip: IpAddr) -> bool {
        true
    }

    fn answer(&self, _from: IpAddr, _request: PeerRequest) -> BoxFuture<'_, PeerAnswer> {
        async { PeerAnswer::Noted }.boxed()
    }
}

/// A node whose server can be aborted.
struct TestNode {
    address: SocketAddr,
    guard: Arc<TestGuard>,
    server_task: JoinHandle<()>,
}

impl TestNode {
    async fn start(mode: GuardMode) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
        let address = listener.local_addr().expect("it listens");
        let guard = Arc::new(TestGuard {
            mode,
            received: Notify::new(),
            ran: Notify::new(),
            bytes: AtomicU32::new(0),
        });
        let server = PeerServer::new(guard.clone(), Arc::new(Meter::default()));
        let server_task = tokio::spawn(server.serve(listener));
        Self { address, guard, server_task }
    }

    fn attempt(&self, budget: Duration) -> JoinHandle<AttemptAnswer> {
        let address = self.address;
        let attempt = attempt(budget);
        tokio::spawn(async move { client().attempt(address, attempt).await })
    }
}

fn client() -> PeerClient {
    PeerClient::new(Arc::new(Pool::new(Clock::new(), Arc::new(Meter::default()), Arc::new(OpenLink))))
}

fn attempt(budget: Duration) -> Attempt {
    let head = AttemptHead {
        method: "POST".to_owned(),
        may_repeat: false,
        body: BodyKind::BufferedAfterAdmission,
        ..attempt_head(budget)
    };
    Attempt { head, body: AttemptBody::Whole("order".into()) }
}

/// Maximum time to wait for an event.
const WAIT_MAX: Duration = Duration::from_secs(20);

async fn ended(call: JoinHandle<AttemptAnswer>) -> AttemptOutcome {
    timeout(WAIT_MAX, call).await.expect("the call ends in time").expect("no panic").outcome
}

#[tokio::test]
async fn a_queued_call_has_not_run_when_the_node_dies() {
    let node = TestNode::start(GuardMode::Queue).await;
    let call = node.attempt(WAIT_MAX);
    node.guard.received.notified().await;
    node.server_task.abort();
    let outcome = ended(call).await;
    assert!(matches!(outcome, AttemptOutcome::NotRun(_)), "{outcome:?}");
}

#[tokio::test]
async fn a_queued_call_has_not_run_when_its_budget_is_spent() {
    let node = TestNode::start(GuardMode::Queue).await;
    let outcome = ended(node.attempt(Duration::from_millis(200))).await;
    let is_proved =
        matches!(&outcome, AttemptOutcome::NotRun(refusal) if refusal.reason == RefusalReason::Deadline);
    assert!(is_proved, "{outcome:?}");
}

#[tokio::test]
async fn a_running_call_is_unknown_when_the_node_dies() {
    let node = TestNode::start(GuardMode::Hang).await;
    let call = node.attempt(WAIT_MAX);
    node.guard.ran.notified().await;
    node.server_task.abort();
    let outcome = ended(call).await;
    assert!(matches!(outcome, AttemptOutcome::Unknown(_)), "{outcome:?}");
}

#[tokio::test]
async fn after_admission_the_guard_receives_the_whole_body() {
    let node = TestNode::start(GuardMode::Answer).await;
    let outcome = ended(node.attempt(WAIT_MAX)).await;
    assert!(matches!(outcome, AttemptOutcome::Answered { .. }), "{outcome:?}");
    assert_eq!(node.guard.bytes.load(Ordering::Relaxed), 5);
}
