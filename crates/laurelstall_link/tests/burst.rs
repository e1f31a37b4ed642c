//! A model of a burst of downloads at one guard: which of them are in time.

use laurelstall_link::{
    link_admission::{ExpectedAnswer, LinkAdmission, LinkCall},
    link_scheduler::{FlowId, LinkScheduler},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::collections::HashMap;

const MBPS: f64 = 14.0;
const DOWNLOAD_BYTES: u64 = 90_000;
const PIECE_BYTES: u64 = 4_096;
const OBJECTIVE_US: u64 = 1_000_000;
/// Run times and sizes are drawn from half to one and a half times these means.
const RUN_US: u64 = 130_000;
const BURST_US: u64 = 5_000_000;
const TICK_US: u64 = 1_000;

/// A call that was admitted.
struct Download {
    arrived_us: u64,
    ready_us: u64,
    expected: ExpectedAnswer,
    unsent_bytes: u64,
}

/// Downloads in a burst by outcome.
#[derive(Debug, Default)]
struct Outcomes {
    in_time: u64,
    late: u64,
    refused: u64,
}

/// Sends a burst of downloads that need `load` times the bandwidth.
fn burst(load: f64) -> Outcomes {
    let (mut link, mut admission) = (LinkScheduler::new(MBPS), LinkAdmission::default());
    admission.note_answer(1, DOWNLOAD_BYTES);
    let mut random = StdRng::seed_from_u64(11);
    let mut around = |mean: u64| random.random_range(mean / 2..=mean * 3 / 2);
    let every_us = (DOWNLOAD_BYTES as f64 * 8.0 / MBPS / load) as u64;
    let mut next_arrival_us = 0;
    let mut running = Vec::new();
    let mut sending = HashMap::<FlowId, Download>::new();
    let mut outcomes = Outcomes::default();
    for now_us in (0..BURST_US + 10_000_000).step_by(TICK_US as usize) {
        while next_arrival_us <= now_us && now_us < BURST_US {
            next_arrival_us += every_us;
            let call = LinkCall { class: 1, importance: 3, is_nested: false, useful_us: OBJECTIVE_US };
            match admission.admit_answer(&call, &link, false, now_us) {
                Ok(expected) => {
                    let (ready_us, unsent_bytes) = (now_us + around(RUN_US), around(DOWNLOAD_BYTES));
                    running.push(Download { arrived_us: now_us, ready_us, expected, unsent_bytes });
                }
                Err(_) => outcomes.refused += 1,
            }
        }
        let is_run = |download: &mut Download| now_us >= download.ready_us;
        for download in running.extract_if(.., is_run) {
            admission.end(download.expected);
            let flow = link.open(3, Some(download.unsent_bytes), now_us);
            link.request(flow, PIECE_BYTES, now_us);
            sending.insert(flow, download);
        }
        while let Some(flow) = link.grant_next(now_us) {
            let download = sending.get_mut(&flow).expect("an open body");
            download.unsent_bytes = download.unsent_bytes.saturating_sub(PIECE_BYTES);
            if download.unsent_bytes > 0 {
                link.request(flow, download.unsent_bytes.min(PIECE_BYTES), now_us);
                continue;
            }
            let is_in_time = now_us <= download.arrived_us + OBJECTIVE_US;
            *(if is_in_time { &mut outcomes.in_time } else { &mut outcomes.late }) += 1;
            sending.remove(&flow);
            link.close(flow);
        }
    }
    outcomes
}

/// Guards against a link that spends its time on answers that are late.
#[test]
fn the_link_sends_answers_in_time_at_any_load() {
    // What the link sends at 95 % of its bandwidth during the burst.
    let capacity = BURST_US as f64 * MBPS * 0.95 / 8.0 / DOWNLOAD_BYTES as f64;
    for load in [0.5, 0.9, 1.5, 2.6, 4.0, 8.0] {
        let outcomes = burst(load);
        let wanted = capacity.min(capacity * load / 0.95);
        assert!(outcomes.in_time as f64 >= 0.9 * wanted, "load {load}: {outcomes:?} of {wanted}");
    }
}
