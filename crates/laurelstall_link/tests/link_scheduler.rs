//! Order, rate and fairness of the pieces that a link sends.

use laurelstall_link::link_scheduler::{FlowId, LinkScheduler};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const MBPS: f64 = 14.0;
const PIECE_BYTES: u64 = 4_096;

/// Requests a piece for each body and returns the bodies in the order in which the link is handed to them.
fn order(link: &mut LinkScheduler, flows: &[FlowId]) -> Vec<FlowId> {
    for flow in flows {
        link.request(*flow, PIECE_BYTES, 0);
    }
    let mut order = Vec::new();
    while let Some(at_us) = link.next_grant_us() {
        order.extend(link.grant_next(at_us));
    }
    order
}

/// Sends from all bodies until `end_us`, waking up only every `tick_us`; returns the bytes sent of each.
fn run(link: &mut LinkScheduler, flows: &[FlowId], end_us: u64, tick_us: u64) -> Vec<u64> {
    let mut sent = vec![0; flows.len()];
    for flow in flows {
        link.request(*flow, PIECE_BYTES, 0);
    }
    for now_us in (0..end_us).step_by(tick_us as usize) {
        while let Some(flow) = link.grant_next(now_us) {
            sent[flows.iter().position(|other| *other == flow).expect("an open body")] += PIECE_BYTES;
            link.request(flow, PIECE_BYTES, now_us);
        }
    }
    sent
}

/// Guards against large unimportant bodies that delay small or important ones.
#[test]
fn important_bodies_go_first_and_then_small_ones() {
    let mut link = LinkScheduler::new(MBPS);
    let large = link.open(3, Some(90_000), 0);
    let small = link.open(3, Some(20_000), 0);
    let important = link.open(9, Some(200_000), 0);
    assert_eq!(order(&mut link, &[large, small, important]), [important, small, large]);
}

/// Guards against endless bodies of unknown size that go before ones that are nearly sent.
#[test]
fn a_body_of_unknown_size_counts_as_large_as_what_was_sent_of_it() {
    let mut link = LinkScheduler::new(MBPS);
    let unknown = link.open(3, None, 0);
    run(&mut link, &[unknown], 1_000_000, 1_000);
    let nearly_sent = link.open(3, Some(30_000), 0);
    assert_eq!(order(&mut link, &[unknown, nearly_sent]), [nearly_sent, unknown]);
}

/// Guards against a body that opened first and takes the whole link.
#[test]
fn bodies_of_the_same_size_share_the_link() {
    let mut link = LinkScheduler::new(MBPS);
    let flows = [(); 4].map(|()| link.open(3, Some(1 << 40), 0));
    let sent = run(&mut link, &flows, 10_000_000, 1_000);
    let (least, most) = (sent.iter().min().copied(), sent.iter().max().copied());
    // Bodies take turns of 128 KB.
    assert!(most.unwrap_or(0) - least.unwrap_or(0) <= 128 * 1024, "{sent:?}");
}

/// Guards against a burst of downloads that take turns and all end late.
#[test]
fn bodies_of_the_same_size_end_in_the_order_in_which_they_began() {
    let mut link = LinkScheduler::new(MBPS);
    let flows = [(); 4].map(|()| link.open(3, Some(90_000), 0));
    let sent = run(&mut link, &flows, 50_000, 1_000);
    assert!(sent[0] > 80_000 && sent[1..] == [0; 3], "{sent:?}");
}

/// Guards against a queue in the layers below, and against an idle link when timers fire late.
#[test]
fn the_rate_is_slightly_below_that_of_the_link() {
    for tick_us in [100, 1_000, 10_000, 20_000] {
        let mut link = LinkScheduler::new(MBPS);
        let flow = link.open(3, Some(u64::MAX / 2), 0);
        let bytes = run(&mut link, &[flow], 10_000_000, tick_us)[0];
        let share = bytes as f64 * 8.0 / 10.0 / (MBPS * 1e6);
        assert!((0.93..=0.96).contains(&share), "{share} of the bandwidth with a wake-up every {tick_us} us");
    }
}

/// Guards against a burst after idle time, which would queue in the layers below.
#[test]
fn an_idle_link_sends_no_burst() {
    let mut link = LinkScheduler::new(MBPS);
    let flow = link.open(3, Some(1_000_000), 0);
    let mut pieces = 0;
    link.request(flow, PIECE_BYTES, 10_000_000);
    while link.grant_next(10_000_000).is_some() {
        pieces += 1;
        link.request(flow, PIECE_BYTES, 10_000_000);
    }
    assert!(pieces <= 2, "{pieces} pieces at once");
}

/// Guards against bodies that send as if the link was free of small answers.
#[test]
fn bodies_leave_the_link_to_small_answers() {
    let mut link = LinkScheduler::new(MBPS);
    let flow = link.open(3, Some(u64::MAX / 2), 0);
    let mut paced = 0;
    link.request(flow, PIECE_BYTES, 0);
    for now_us in (0..10_000_000).step_by(1_000) {
        // Half of the link: 831 bytes each ms.
        link.count_unpaced(831, now_us);
        while link.grant_next(now_us).is_some() {
            paced += PIECE_BYTES;
            link.request(flow, PIECE_BYTES, now_us);
        }
    }
    let share = paced as f64 * 8.0 / 10.0 / (MBPS * 1e6);
    assert!((0.43..=0.48).contains(&share), "{share}");
}

/// Guards against bodies that wait for ever behind a flood of small answers.
#[test]
fn a_flood_of_small_answers_delays_bodies_for_a_bounded_time() {
    let mut link = LinkScheduler::new(MBPS);
    link.count_unpaced(100_000_000, 0);
    let flow = link.open(3, Some(100_000), 0);
    link.request(flow, PIECE_BYTES, 0);
    assert!(link.next_grant_us().is_some_and(|at_us| at_us <= 100_000));
}

/// Guards against state of cancelled bodies that stays behind, and against grants to them.
#[test]
fn random_cancellations_leave_nothing_behind() {
    let mut random = StdRng::seed_from_u64(7);
    let mut link = LinkScheduler::new(MBPS);
    let mut open = Vec::new();
    for now_us in (0..2_000_000).step_by(500) {
        match random.random_range(0..4) {
            0 => open.push(link.open(
                random.random_range(0..10),
                Some(random.random_range(0..200_000)),
                now_us,
            )),
            1 if !open.is_empty() => link.close(open.swap_remove(random.random_range(0..open.len()))),
            _ if !open.is_empty() => {
                link.request(open[random.random_range(0..open.len())], PIECE_BYTES, now_us);
            }
            _ => {}
        }
        while let Some(flow) = link.grant_next(now_us) {
            assert!(open.contains(&flow), "a grant to a closed body");
        }
    }
    open.drain(..).for_each(|flow| link.close(flow));
    assert_eq!((link.remaining_bytes(), link.next_grant_us()), (0, None));
}
