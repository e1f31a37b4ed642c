//! The store accepts only newer documents, in any order of arrival, and never in part.

use laurelstall_config::{
    document::{Document, DocumentName, Version},
    problem::{Checker, ConfigError},
};
use laurelstall_peer::{
    message::{PullItem, TransferText},
    store::{Acceptor, ApplyOutcome, DocumentStore},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::sync::Mutex;
use tokio::time::{Duration, sleep};

/// Maximum size of a document's text in bytes.
const DOCUMENT_BYTES_MAX: usize = 100_000;

/// Accepts any text but "bad".
#[derive(Debug, Default)]
struct AcceptAllButBad {
    taken: Mutex<Vec<u64>>,
}

impl Acceptor for AcceptAllButBad {
    fn accept(&self, document: &Document) -> Result<(), ConfigError> {
        let mut check = Checker::new("test", &document.text);
        check.ensure(document.text != "bad", "text", "is bad");
        check.finish()?;
        self.taken.lock().expect("no panic").push(document.version.number);
        Ok(())
    }
}

fn document(version: u64, text: &str) -> Document {
    Document { name: DocumentName::System, version: Version::new(version), text: text.to_owned() }
}

#[test]
fn an_older_version_is_never_accepted() {
    let (mut store, acceptor) = (DocumentStore::new(DOCUMENT_BYTES_MAX), AcceptAllButBad::default());
    assert!(matches!(store.apply(document(5, "five"), &acceptor), ApplyOutcome::Accepted));
    assert!(matches!(store.apply(document(4, "four"), &acceptor), ApplyOutcome::NotNewer));
    assert!(matches!(store.apply(document(5, "five"), &acceptor), ApplyOutcome::NotNewer));
    assert!(matches!(store.apply(document(0, "none"), &acceptor), ApplyOutcome::NotNewer));
    assert_eq!(store.document(&DocumentName::System).map(|d| d.text.as_str()), Some("five"));
}

#[test]
fn a_rejected_document_changes_nothing_and_is_not_pulled_again() {
    let (mut store, acceptor) = (DocumentStore::new(DOCUMENT_BYTES_MAX), AcceptAllButBad::default());
    store.apply(document(1, "one"), &acceptor);
    assert!(matches!(store.apply(document(2, "bad"), &acceptor), ApplyOutcome::Rejected(_)));
    assert_eq!(store.version(&DocumentName::System), Version::new(1));
    assert!(!store.wants(&DocumentName::System, Version::new(2)));
    assert!(store.wants(&DocumentName::System, Version::new(3)));
    assert_eq!(store.rejected().count(), 1);
    store.apply(document(3, "three"), &acceptor);
    assert_eq!(store.rejected().count(), 0);
}

// An oversized version was requested again at each exchange, and no status named it.
#[test]
fn an_oversized_version_is_reported_and_not_requested_again() {
    let (mut store, acceptor) = (DocumentStore::new(DOCUMENT_BYTES_MAX), AcceptAllButBad::default());
    store.apply(document(1, "one"), &acceptor);
    let oversized = " ".repeat(DOCUMENT_BYTES_MAX + 1);
    assert!(matches!(store.apply(document(2, &oversized), &acceptor), ApplyOutcome::Rejected(_)));
    assert!(!store.wants(&DocumentName::System, Version::new(2)));
    let (name, rejected) = store.rejected().next().expect("a version is rejected");
    assert_eq!((name, rejected.version), (&DocumentName::System, Version::new(2)));
    let reason = rejected.reason.to_string();
    assert!(reason.contains(&oversized.len().to_string()), "{reason}");
}

#[tokio::test(start_paused = true)]
async fn a_rejection_lasts_since_the_first_version_that_was_not_activated() {
    let (mut store, acceptor) = (DocumentStore::new(DOCUMENT_BYTES_MAX), AcceptAllButBad::default());
    store.apply(document(1, "one"), &acceptor);
    store.apply(document(2, "bad"), &acceptor);
    sleep(Duration::from_secs(3)).await;
    store.apply(document(3, "bad"), &acceptor);
    let ages_ms =
        |store: &DocumentStore| store.rejected().map(|(_, rejected)| rejected.age_ms()).collect::<Vec<_>>();
    assert_eq!(ages_ms(&store), [3_000]);
    store.apply(document(4, "four"), &acceptor);
    store.apply(document(5, "bad"), &acceptor);
    assert_eq!(ages_ms(&store), [0]);
}

#[test]
fn the_same_version_with_another_text_is_a_conflict_and_changes_nothing() {
    let (mut store, acceptor) = (DocumentStore::new(DOCUMENT_BYTES_MAX), AcceptAllButBad::default());
    store.apply(document(1, "one"), &acceptor);
    assert!(matches!(store.apply(document(1, "other"), &acceptor), ApplyOutcome::Conflict));
    assert_eq!(store.document(&DocumentName::System).map(|d| d.text.as_str()), Some("one"));
    assert_eq!(store.conflicts(), 1);
}

#[test]
fn a_delta_rebuilds_the_text_and_a_wrong_base_is_detected() {
    let acceptor = AcceptAllButBad::default();
    let (mut ahead, mut behind) =
        (DocumentStore::new(DOCUMENT_BYTES_MAX), DocumentStore::new(DOCUMENT_BYTES_MAX));
    let long = (0..200).map(|n| format!("line {n} of a document\n")).collect::<String>();
    ahead.apply(document(1, &long), &acceptor);
    behind.apply(document(1, &long), &acceptor);
    ahead.apply(document(2, &long.replace("line 7 ", "line seven ")), &acceptor);
    let items = behind.pull_items_for(&ahead.versions());
    let transfer = ahead.pack(&items[0]).expect("it is newer");
    let TransferText::Delta(packed) = &transfer.text else { panic!("the base is known") };
    assert!(packed.len() * 20 < long.len(), "{} bytes", packed.len());
    assert_eq!(behind.unpack(&transfer).expect("the base fits").version, Version::new(2));
    // The checksum does not match for a node whose version 1 has another text.
    let mut other = DocumentStore::new(DOCUMENT_BYTES_MAX);
    other.apply(document(1, &long.replace("document", "paragraph")), &acceptor);
    assert!(other.unpack(&transfer).is_err());
    let item = PullItem { known_checksum: 1, ..items[0].clone() };
    let whole = ahead.pack(&item).expect("it is newer");
    assert!(matches!(whole.text, TransferText::Whole(_)));
    assert!(other.unpack(&whole).is_ok());
}

#[test]
fn a_packed_text_is_cached_until_the_next_version() {
    let acceptor = AcceptAllButBad::default();
    let (mut ahead, mut behind) =
        (DocumentStore::new(DOCUMENT_BYTES_MAX), DocumentStore::new(DOCUMENT_BYTES_MAX));
    let text = |version: u64| format!("{}version {version}\n", "a line that stays\n".repeat(50));
    ahead.apply(document(1, &text(1)), &acceptor);
    behind.apply(document(1, &text(1)), &acceptor);
    for version in [2, 3] {
        ahead.apply(document(version, &text(version)), &acceptor);
        let items = behind.pull_items_for(&ahead.versions());
        let first = ahead.pack(&items[0]).expect("it is newer");
        assert_eq!(ahead.pack(&items[0]), Some(first.clone()));
        assert_eq!(
            behind.unpack(&first).map(|document| document.text).expect("the base fits"),
            text(version)
        );
    }
}

#[test]
fn a_corrupted_transfer_is_rejected() {
    let acceptor = AcceptAllButBad::default();
    let mut store = DocumentStore::new(DOCUMENT_BYTES_MAX);
    store.apply(document(1, "some text that is long enough to be packed"), &acceptor);
    let item = PullItem { name: DocumentName::System, known_version: Version::NONE, known_checksum: 0 };
    let whole = store.pack(&item).expect("it is newer");
    let empty = DocumentStore::new(DOCUMENT_BYTES_MAX);
    bolero::check!().with_type::<(usize, u8, u32)>().with_iterations(3_000).for_each(|(at, byte, bytes)| {
        let mut changed = whole.clone();
        changed.text_bytes = *bytes;
        if let TransferText::Whole(packed) = &mut changed.text {
            let at = at % packed.len();
            packed[at] = *byte;
        }
        if let Ok(document) = empty.unpack(&changed) {
            assert_eq!(document.checksum(), whole.checksum);
        }
    });
}

#[test]
fn offers_in_any_order_end_with_the_newest_and_never_decrease() {
    for seed in 0..50 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut store, acceptor) = (DocumentStore::new(DOCUMENT_BYTES_MAX), AcceptAllButBad::default());
        let mut newest = 0;
        for _ in 0..500 {
            let version = rng.random_range(0..100);
            let text = if rng.random_bool(0.2) { "bad".to_owned() } else { format!("text {version}") };
            let is_good = text != "bad";
            store.apply(document(version, &text), &acceptor);
            if is_good {
                newest = newest.max(version);
            }
            assert_eq!(store.version(&DocumentName::System), Version::new(newest));
        }
        let taken = acceptor.taken.lock().expect("no panic");
        assert!(taken.windows(2).all(|pair| pair[0] < pair[1]));
    }
}
