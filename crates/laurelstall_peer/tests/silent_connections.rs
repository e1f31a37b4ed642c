//! Distribution of new versions after all open connections between nodes went silent, while new ones work.

mod support;

use support::mesh::Mesh;
use tokio::time::{Duration, sleep};

/// Maximum time until a version is active on all nodes.
const BOUND: Duration = Duration::from_secs(1);
const SEEDS: u64 = 8;

/// Time until all nodes hold a version that the readers of the platform get `later` after the silence.
async fn time_to_all(seed: u64, later: Duration) -> Duration {
    let mesh = Mesh::start(18, seed).await;
    mesh.platform.publish(1);
    // By then, connections are open and exchanges have started at random times.
    sleep(Duration::from_secs(10)).await;
    mesh.silence.begin();
    sleep(later).await;
    mesh.platform.publish(2);
    mesh.time_to_all(2).await
}

/// Guards against versions and drain notices that are lost on connections between nodes that went silent.
#[tokio::test(start_paused = true)]
async fn a_version_reaches_all_nodes_in_time_after_their_connections_went_silent() {
    for later_ms in [0, 200, 600, 1_200, 2_000, 2_900] {
        let later = Duration::from_millis(later_ms);
        let mut longest = Duration::ZERO;
        for seed in 0..SEEDS {
            longest = longest.max(time_to_all(seed, later).await);
        }
        assert!(longest <= BOUND, "a change {later:?} after the silence: {longest:?}");
    }
}
