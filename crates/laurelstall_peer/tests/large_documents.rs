//! Replication of documents that together exceed what one answer to a pull holds.

mod support;

use laurelstall_config::document::{Document, DocumentName, Version};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use support::mesh::Mesh;
use tokio::time::{Duration, Instant, sleep};

const NODES: usize = 3;
const DOCUMENTS: usize = 7;
const DOCUMENT_BYTES: usize = 999_000;
/// Time until all nodes must hold the documents; exchanges and offers take less than a second each.
const SPREAD_MAX: Duration = Duration::from_secs(20);

fn name(number: usize) -> DocumentName {
    DocumentName::Team(format!("t-{number}"))
}

/// Returns a document of random letters and digits, which compress to about three quarters.
fn document(number: usize) -> Document {
    let mut rng = SmallRng::seed_from_u64(number as u64);
    let text = (0..DOCUMENT_BYTES).map(|_| char::from(rng.random_range(b'0'..=b'o'))).collect();
    Document { name: name(number), version: Version::new(2), text }
}

// A pull of several documents failed for ever, since their sum exceeded the limit of one answer.
#[tokio::test]
async fn documents_that_exceed_one_answer_together_reach_all_nodes() {
    let mesh = Mesh::start(NODES, 1).await;
    for number in 0..DOCUMENTS {
        mesh.nodes[0].1.apply(document(number));
    }
    let missing = || {
        let held = mesh.nodes.iter().flat_map(|(_, node)| (0..DOCUMENTS).map(move |number| (node, number)));
        held.filter(|(node, number)| node.store().version(&name(*number)) != Version::new(2)).count()
    };
    let started = Instant::now();
    while missing() > 0 && started.elapsed() < SPREAD_MAX {
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(missing(), 0, "documents are missing at some nodes");
}
