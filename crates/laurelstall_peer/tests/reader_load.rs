//! Load of the readers on a platform whose documents change all the time.

mod support;

use std::sync::atomic::Ordering;
use support::mesh::Mesh;
use tokio::time::{Duration, sleep};

/// Number of changes, one every 100 ms.
const CHANGES: u64 = 200;
/// Calls of a reader per change, as counted by the simulated platform.
const CALLS_PER_CHANGE: u64 = 3;
/// Calls of one reader in each of three data centres, and 10 % of that for all other nodes.
const CALLS_MAX: u64 = CHANGES * CALLS_PER_CHANGE * 3 * 11 / 10;

#[tokio::test(start_paused = true)]
async fn one_reader_per_data_centre_follows_each_change_and_all_nodes_receive_it_soon() {
    let mesh = Mesh::start(18, 1).await;
    mesh.platform.publish(1);
    sleep(Duration::from_secs(10)).await;
    let before = mesh.platform.calls.load(Ordering::Relaxed);
    for number in 2..=CHANGES {
        mesh.platform.publish(number);
        sleep(Duration::from_millis(100)).await;
    }
    let calls = mesh.platform.calls.load(Ordering::Relaxed) - before;
    assert!(calls <= CALLS_MAX, "{calls} calls for {CHANGES} changes");
    let took = mesh.time_to_all(CHANGES).await;
    assert!(took <= Duration::from_secs(1), "{took:?}");
}
