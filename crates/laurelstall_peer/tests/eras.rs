//! How lists of a later era get around: their numbers are lower than those of the era before.

mod support;

use laurelstall_config::document::{Document, DocumentName, Version};
use support::mesh::Mesh;
use tokio::time::{Duration, Instant, sleep};

/// Within which a version is in force at all nodes.
const BOUND: Duration = Duration::from_secs(2);

fn list(version: Version) -> Document {
    Document { name: DocumentName::Fleet, version, text: format!("list {version}") }
}

/// Waits until all nodes hold this list; for how long.
async fn time_to_all(mesh: &Mesh, version: Version) -> Duration {
    let started = Instant::now();
    let text = list(version).text;
    let holds = |text: &str, node: usize| {
        let store = mesh.nodes[node].1.store();
        store.document(&DocumentName::Fleet).is_some_and(|document| document.text == text)
    };
    while !(0..mesh.nodes.len()).all(|node| holds(&text, node)) && started.elapsed() < 2 * BOUND {
        sleep(Duration::from_millis(10)).await;
    }
    started.elapsed()
}

#[tokio::test]
async fn readers_in_two_eras_and_nodes_that_were_cut_off_end_with_the_later_one() {
    for seed in 1..=3 {
        let mesh = Mesh::start(9, seed).await;
        let old = Version::in_era(0, 100);
        mesh.nodes[0].1.take(list(old));
        assert!(time_to_all(&mesh, old).await < BOUND, "seed {seed}");
        let (cut, _) = mesh.nodes[8];
        mesh.darkness.add(cut);
        // One reader is in the new era already, another one still takes a list of the old.
        mesh.nodes[1].1.take(list(Version::in_era(1, 7)));
        mesh.nodes[2].1.take(list(Version::in_era(0, 101)));
        mesh.nodes[8].1.take(list(Version::in_era(0, 102)));
        sleep(Duration::from_millis(500)).await;
        mesh.darkness.remove(cut);
        let took = time_to_all(&mesh, Version::in_era(1, 7)).await;
        assert!(took < BOUND, "seed {seed}: {took:?}");
        // A second return, before all have heard of the first one's next list.
        mesh.nodes[3].1.take(list(Version::in_era(1, 8)));
        mesh.nodes[4].1.take(list(Version::in_era(2, 3)));
        let took = time_to_all(&mesh, Version::in_era(2, 3)).await;
        assert!(took < BOUND, "seed {seed}: {took:?}");
        assert!(mesh.nodes.iter().all(|(_, spread)| spread.platform_era() == 2));
    }
}
