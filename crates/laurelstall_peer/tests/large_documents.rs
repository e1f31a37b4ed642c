//! Replication of documents that together exceed what one answer to a pull holds.

mod support;

use laurelstall_config::document::{Document, DocumentName, Version};
use laurelstall_peer::delta::{pack_delta, unpack_delta};
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

/// Returns random letters and digits, which compress to about three quarters.
fn random_text(seed: usize, bytes: usize) -> String {
    let mut rng = SmallRng::seed_from_u64(seed as u64);
    (0..bytes).map(|_| char::from(rng.random_range(b'0'..=b'o'))).collect()
}

fn document(number: usize) -> Document {
    Document { name: name(number), version: Version::new(2), text: random_text(number, DOCUMENT_BYTES) }
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

// The delta of a small change to a document above a megabyte contained the part that the dictionary did not cover.
#[test]
fn the_delta_of_a_small_change_is_small_whatever_the_size_of_the_document() {
    for bytes in [1_000, 500_000, 2_000_000, 16_000_000] {
        let base = random_text(bytes, bytes);
        let text = format!("{}changed{}", &base[..bytes / 3], &base[bytes / 3 + 7..]);
        let delta = pack_delta(&base, &text);
        assert!(delta.len() < 2_000, "{} bytes for a document of {bytes}", delta.len());
        assert_eq!(unpack_delta(&base, &delta, text.len()).expect("the delta applies"), text);
    }
}
