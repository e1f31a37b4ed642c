//! Crash reports between many nodes of one process, delivered with delays by a seeded event loop.
//!
//! When many targets end at one instant, more requests are suspected than a table holds. Reports on them must not go
//! round among the nodes without end, all nodes must end with the same records, and a request that crashes targets
//! must still be quarantined everywhere.

use laurelstall_crash::{
    crash_record::crash_id, crash_table::RequestStatus, report_batch::CrashReportBatch,
    request_digest::RequestDigest,
};
use laurelstall_guard::clock::Clock;
use laurelstall_peer::{
    crash_registry::{CrashRegistry, ROUND_PAUSE_MS, ROUND_REPORTS_MAX},
    frame::encode,
    message::{PeerAnswer, PeerRequest},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use std::collections::{BTreeMap, HashSet};
use tokio::time::{Duration, advance};

/// Number of nodes to which each node forwards what is new: six partners and two nodes of other data centres.
const FAN_OUT: usize = 8;
/// Mean pause between two exchanges of a node in ms.
const EXCHANGE_MS: u64 = 1_000;
/// Time in ms within which the messages must have ended after a flood of reports: a few exchanges of each node.
const SILENT_AFTER_MS: u64 = 4_000;
/// Time in ms within which all nodes must quarantine a request after its second crash.
const QUARANTINE_MS: u64 = 1_000;
/// Largest number of messages until a simulation is stopped as one that never falls silent.
const MESSAGES_MAX: usize = 60_000;
/// Largest allowed length in bytes of one report on one crash, in messages that tell each node once per fan-out.
const REPORT_BYTES_MAX: usize = 64;
const SERVICE: &str = "team/service";

/// Inclusive bounds of the delay of a message in ms.
type Delay = (u64, u64);

enum Message {
    Reports(PeerRequest),
    Comparison { from: usize, request: PeerRequest },
    Answer { from: usize, answer: PeerAnswer },
}

/// Traffic between nodes.
#[derive(Debug, Default, Clone, Copy)]
struct Traffic {
    messages: usize,
    /// Copies of reports in messages with new reports.
    reports: usize,
    report_bytes: usize,
    comparisons: usize,
    comparison_bytes: usize,
}

struct Mesh {
    nodes: Vec<CrashRegistry>,
    recipients: Vec<Vec<usize>>,
    /// Messages in transit by the time of arrival in ms and a running number.
    in_transit: BTreeMap<(u64, u64), (usize, Message)>,
    next_exchange_ms: Vec<u64>,
    /// When each node may send new reports again.
    next_round_ms: Vec<u64>,
    delay: Delay,
    now_ms: u64,
    sent: u64,
    last_message_ms: u64,
    traffic: Traffic,
    rng: SmallRng,
}

fn digest(number: u64) -> RequestDigest {
    let whole = number.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ 0x5555;
    RequestDigest { whole, head: whole.rotate_left(17) }
}

impl Mesh {
    fn new(count: usize, delay: Delay, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let recipients = |own: usize, rng: &mut SmallRng| {
            let mut others = (0..count).filter(|other| *other != own).collect::<Vec<_>>();
            others.shuffle(rng);
            others.truncate(FAN_OUT);
            others
        };
        Self {
            nodes: (0..count).map(|_| CrashRegistry::new(Clock::new())).collect(),
            recipients: (0..count).map(|own| recipients(own, &mut rng)).collect(),
            in_transit: BTreeMap::new(),
            next_exchange_ms: (0..count).map(|_| rng.random_range(0..EXCHANGE_MS)).collect(),
            next_round_ms: vec![0; count],
            delay,
            now_ms: 0,
            sent: 0,
            last_message_ms: 0,
            traffic: Traffic::default(),
            rng,
        }
    }

    /// Id of a crash as witnesses make it: the second of the crash, and a hash.
    fn crash_id(&mut self) -> u64 {
        crash_id(1_700_000_000 + self.now_ms / 1_000, self.rng.random())
    }

    fn crash(&mut self, node: usize, numbers: &[u64]) {
        let id = self.crash_id();
        let digests = numbers.iter().map(|number| digest(*number)).collect::<Vec<_>>();
        self.nodes[node].note_crash(id, SERVICE, &digests);
    }

    fn send(&mut self, to: usize, message: Message) {
        let delay_ms = self.rng.random_range(self.delay.0..=self.delay.1);
        self.sent += 1;
        self.traffic.messages += 1;
        self.last_message_ms = self.now_ms;
        self.in_transit.insert((self.now_ms + delay_ms.max(1), self.sent), (to, message));
    }

    fn forward(&mut self, node: usize) {
        if self.now_ms < self.next_round_ms[node] {
            return;
        }
        let reports = self.nodes[node].take_unsent();
        if reports.is_empty() {
            return;
        }
        self.next_round_ms[node] = self.now_ms + ROUND_PAUSE_MS;
        let count = reports.len();
        let request = PeerRequest::CrashReportBatch(CrashReportBatch::pack(&reports));
        let bytes = encode(&request).len();
        for to in self.recipients[node].clone() {
            self.traffic.reports += count;
            self.traffic.report_bytes += bytes;
            self.send(to, Message::Reports(request.clone()));
        }
    }

    fn exchange(&mut self, node: usize) {
        if self.now_ms < self.next_exchange_ms[node] {
            return;
        }
        self.next_exchange_ms[node] += self.rng.random_range(EXCHANGE_MS / 2..=EXCHANGE_MS * 3 / 2);
        let other = self.recipients[node][self.rng.random_range(0..FAN_OUT)];
        if self.nodes[node].hash() == self.nodes[other].hash() {
            return;
        }
        let request = PeerRequest::CompareCrashFingerprints(self.nodes[node].comparison());
        self.traffic.comparisons += 1;
        self.traffic.comparison_bytes += encode(&request).len();
        self.send(other, Message::Comparison { from: node, request });
    }

    fn receive(&mut self, node: usize, message: Message) {
        match message {
            Message::Reports(PeerRequest::CrashReportBatch(batch)) => {
                self.nodes[node].merge_reports(&batch.unpack());
            }
            Message::Comparison { from, request: PeerRequest::CompareCrashFingerprints(theirs) } => {
                let answer = PeerAnswer::CrashDifferences(self.nodes[node].answer_comparison(&theirs));
                self.traffic.comparison_bytes += encode(&answer).len();
                self.send(from, Message::Answer { from: node, answer });
            }
            Message::Answer { from, answer: PeerAnswer::CrashDifferences(theirs) } => {
                let lacking = self.nodes[node].finish_comparison(&theirs);
                if !lacking.is_empty() {
                    let request = PeerRequest::CrashReportBatch(CrashReportBatch::pack(&lacking));
                    self.traffic.comparison_bytes += encode(&request).len();
                    self.send(from, Message::Reports(request));
                }
            }
            _ => unreachable!("the simulation sends no other message"),
        }
    }

    /// Advances the time by one ms and handles what is due.
    async fn step(&mut self) {
        advance(Duration::from_millis(1)).await;
        self.now_ms += 1;
        while let Some(entry) = self.in_transit.first_entry().filter(|entry| entry.key().0 <= self.now_ms) {
            let (node, message) = entry.remove();
            self.receive(node, message);
        }
        for node in 0..self.nodes.len() {
            self.forward(node);
            self.exchange(node);
        }
    }

    /// Runs for `run_ms`, or until there are far too many messages.
    async fn run(&mut self, run_ms: u64) {
        let end_ms = self.now_ms + run_ms;
        while self.now_ms < end_ms && self.traffic.messages < MESSAGES_MAX {
            self.step().await;
        }
    }

    fn distinct_hashes(&self) -> usize {
        self.nodes.iter().map(CrashRegistry::hash).collect::<HashSet<_>>().len()
    }

    /// Number of nodes that do not quarantine the request.
    fn behind(&self, number: u64) -> usize {
        let statuses = self.nodes.iter().map(|node| node.request_status(digest(number)));
        statuses.filter(|status| !matches!(status, RequestStatus::Quarantined { .. })).count()
    }

    /// Ends targets at one instant: ten requests at each, one of them a frequent one that also runs at others.
    fn flood(&mut self, digests: u64) {
        const FREQUENT: u64 = 20;
        for node in 0..self.nodes.len() {
            for number in 0..FREQUENT / 2 {
                self.nodes[node].note_success(digest(number));
            }
        }
        for target in 0..digests / 9 {
            let first = FREQUENT + target * 9;
            let frequent = self.rng.random_range(0..FREQUENT);
            let running = (first..first + 9).chain([frequent]).collect::<Vec<_>>();
            self.crash(target as usize % self.nodes.len(), &running);
        }
    }

    /// Crashes targets at two nodes with the same request and asserts that all nodes quarantine it in time.
    async fn assert_quarantined_after_two_crashes(&mut self, number: u64) {
        self.crash(3, &[number, 1_000_000 + number]);
        self.run(100).await;
        self.crash(11, &[number, 2_000_000 + number]);
        self.run(QUARANTINE_MS).await;
        assert_eq!(self.behind(number), 0, "nodes that do not quarantine request {number}");
    }
}

async fn flooded_mesh(nodes: usize, digests: u64) -> Mesh {
    let mut mesh = Mesh::new(nodes, (2, 30), 7);
    mesh.run(1_000).await;
    mesh.flood(digests);
    let started_ms = mesh.now_ms;
    mesh.run(SILENT_AFTER_MS * 3).await;
    let dropped = mesh.nodes.iter().map(|node| node.counts().dropped).sum::<u64>();
    let taken_again = mesh.nodes.iter().map(|node| node.counts().taken_again).sum::<u64>();
    println!(
        "{nodes} nodes, {digests} requests: {:?}, last message after {} ms of {} ms, {} hashes, {dropped} dropped, {taken_again} taken again",
        mesh.traffic,
        mesh.last_message_ms - started_ms,
        mesh.now_ms - started_ms,
        mesh.distinct_hashes()
    );
    mesh
}

async fn assert_flood_ends(nodes: usize, digests: u64) {
    let mesh = flooded_mesh(nodes, digests).await;
    assert!(mesh.traffic.messages < MESSAGES_MAX, "the reports circulate: {:?}", mesh.traffic);
    let silent_after_ms = mesh.last_message_ms.saturating_sub(1_000);
    assert!(silent_after_ms <= SILENT_AFTER_MS, "the last message was sent after {silent_after_ms} ms");
    assert_eq!(mesh.distinct_hashes(), 1, "all nodes have the same records");
    // Each node may tell its recipients once of each crash of each request: ten at each target.
    let crashes = digests / 9 * 10;
    let copies_max = nodes * FAN_OUT * crashes as usize;
    assert!(mesh.traffic.reports <= copies_max, "{} copies, {copies_max} allowed", mesh.traffic.reports);
    assert!(mesh.traffic.report_bytes <= copies_max * REPORT_BYTES_MAX);
}

#[tokio::test(start_paused = true)]
async fn reports_on_300_requests_end() {
    assert_flood_ends(48, 300).await;
}

#[tokio::test(start_paused = true)]
async fn reports_on_1000_requests_end() {
    assert_flood_ends(48, 1_000).await;
}

#[tokio::test(start_paused = true)]
async fn reports_on_2000_requests_end() {
    assert_flood_ends(48, 2_000).await;
}

/// More than twice what a table holds.
#[tokio::test(start_paused = true)]
async fn reports_on_more_requests_than_a_table_holds_end() {
    assert_flood_ends(24, 6_000).await;
}

/// A message has room for some reports; one on a request that crashed several targets must not wait behind a flood.
#[tokio::test(start_paused = true)]
async fn the_most_urgent_reports_are_sent_first_and_all_are_sent() {
    let mut mesh = Mesh::new(2 * FAN_OUT, (2, 30), 7);
    mesh.crash(0, &(0..1_000).collect::<Vec<_>>());
    mesh.crash(0, &[3]);
    let node = &mesh.nodes[0];
    let first = node.take_unsent();
    assert_eq!(first.len(), ROUND_REPORTS_MAX);
    assert_eq!(first[0].digest, digest(3));
    let rest = (0..3).flat_map(|_| node.take_unsent()).collect::<Vec<_>>();
    let sent = first.iter().chain(&rest).map(|report| report.digest).collect::<HashSet<_>>();
    assert_eq!(sent.len(), 1_000);
    assert!(node.take_unsent().is_empty());
}

/// A table that a flood has filled must still take the crashes of a new request.
#[tokio::test(start_paused = true)]
async fn a_request_that_crashes_targets_after_a_flood_is_quarantined_everywhere() {
    for digests in [1_000, 2_000, 4_000] {
        let mut mesh = flooded_mesh(24, digests).await;
        mesh.assert_quarantined_after_two_crashes(500_000).await;
    }
}

/// One of the requests of the flood may be the one that crashes targets: its next crash is the second.
#[tokio::test(start_paused = true)]
async fn a_request_of_the_flood_that_crashes_another_target_is_quarantined_everywhere() {
    for digests in [1_000, 2_000] {
        let mut mesh = flooded_mesh(24, digests).await;
        for part in 1..10 {
            let number = digests / 10 * part;
            mesh.crash(part as usize, &[number]);
            mesh.run(QUARANTINE_MS).await;
            assert_eq!(mesh.behind(number), 0, "nodes that do not quarantine request {number} of {digests}");
        }
    }
}

/// Ages in reports are wrong by the delay of the message. A delay of a second must not pass for a later success.
#[tokio::test(start_paused = true)]
async fn a_success_does_not_circulate_in_slow_messages() {
    const NODES: usize = 13;
    let mut mesh = Mesh::new(NODES, (1_000, 1_000), 3);
    mesh.nodes[5].note_success(digest(1));
    mesh.crash(0, &[1]);
    let started_ms = mesh.now_ms;
    mesh.run(60_000).await;
    let silent_after_ms = mesh.last_message_ms - started_ms;
    println!("{:?}, silent after {silent_after_ms} ms", mesh.traffic);
    // The crash and the success reach all within three hops each, and a comparison takes two messages.
    assert!(silent_after_ms <= 15_000, "the last message was sent after {silent_after_ms} ms");
    let copies_max = NODES * FAN_OUT * 2;
    assert!(mesh.traffic.reports <= copies_max, "{} copies, {copies_max} allowed", mesh.traffic.reports);
    assert_eq!(mesh.distinct_hashes(), 1);
}

/// Two nodes that differ in one request must not tell each other of all the others.
#[tokio::test(start_paused = true)]
async fn a_comparison_carries_only_the_differences() {
    const KNOWN: u64 = 2_000;
    let mut mesh = Mesh::new(24, (2, 30), 7);
    mesh.run(1_000).await;
    mesh.flood(KNOWN);
    mesh.run(SILENT_AFTER_MS).await;
    assert_eq!(mesh.distinct_hashes(), 1);
    for (node, number) in [(0, 700_000), (1, 800_000), (1, 700_000)] {
        mesh.crash(node, &[number]);
        mesh.nodes[node].take_unsent();
    }
    let [one, two] = &mesh.nodes[..2] else { unreachable!("there are 24 nodes") };
    one.note_success(digest(700_000));
    one.take_unsent();
    let request = PeerRequest::CompareCrashFingerprints(one.comparison());
    let differences = two.answer_comparison(&one.comparison());
    assert_eq!(differences.reports.len(), 2);
    let lacking = one.finish_comparison(&differences);
    assert_eq!(lacking.len(), 1, "the success and the crash that the other node lacks");
    two.merge_reports(&lacking);
    assert_eq!(one.hash(), two.hash());
    let answer = PeerAnswer::CrashDifferences(differences);
    // Ten bytes for each known request, and some for the three reports.
    let bytes = encode(&request).len() + encode(&answer).len();
    assert!(bytes <= 10 * KNOWN as usize + 1_000, "{bytes} bytes");
}

/// Whether a request is quarantined must not be found by walking the table for each report of each message.
#[tokio::test(start_paused = true)]
async fn merging_a_full_message_does_not_cost_the_square_of_the_records() {
    const REQUESTS: u64 = 2_000;
    /// Far above what the work takes in a debug build on a busy machine, and far below its square.
    const MERGE_TIME_MAX_MS: u128 = 1_000;
    let mut mesh = Mesh::new(2 * FAN_OUT, (2, 30), 7);
    let numbers = (0..REQUESTS).collect::<Vec<_>>();
    mesh.crash(0, &numbers);
    mesh.crash(0, &numbers);
    let reports = mesh.nodes[0].all_reports();
    assert_eq!(reports.len() as u64, REQUESTS);
    let started = std::time::Instant::now();
    mesh.nodes[1].merge_reports(&reports);
    mesh.nodes[1].merge_reports(&reports);
    let took_ms = started.elapsed().as_millis();
    println!("{took_ms} ms");
    assert!(took_ms <= MERGE_TIME_MAX_MS, "{took_ms} ms");
}
