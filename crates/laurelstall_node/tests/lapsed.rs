//! Targets that are missing from the fleet document after an outage of the platform. The clock is paused.

use laurelstall_config::document::{Document, DocumentName, Version};
use laurelstall_node::active_config::ActiveConfig;
use laurelstall_peer::{
    fleet_corrections::{DepartedHost, Departure, FleetCorrections, HostInstance},
    store::Acceptor,
};
use std::{fmt::Write, sync::Arc, thread};
use tokio::time::{Duration, advance, timeout};

const SHORT_TIMEOUT: Duration = Duration::from_millis(1);
const ROUNDS: u64 = 3_000;

/// Builds a fleet document from targets given as name, host and state of the host.
fn fleet_document(number: u64, targets: &[(&str, &str, &str)]) -> Document {
    let mut text = String::new();
    for (number, (_, host, state)) in targets.iter().enumerate() {
        write!(text, "[[host]]\nname = \"{host}\"\nnode_address = \"127.0.0.1:{}\"\n", 7_000 + number)
            .and_then(|()| write!(text, "data_centre = \"dc\"\nstate = \"{state}\"\n"))
            .expect("writing to a string succeeds");
    }
    for (name, host, _) in targets {
        write!(text, "[[target]]\nservice = \"t/shop\"\nname = \"{name}\"\nhost = \"{host}\"\nslots = 4\n")
            .expect("writing to a string succeeds");
    }
    Document { name: DocumentName::Fleet, version: Version::new(number), text }
}

fn targets(active: &ActiveConfig) -> Vec<String> {
    let snapshot = active.load();
    let mut names = snapshot.configuration.fleet.targets.iter().map(|t| t.name.clone()).collect::<Vec<_>>();
    names.sort();
    names
}

fn active_with(document: &Document) -> Arc<ActiveConfig> {
    let active = ActiveConfig::new();
    active.accept(document).expect("valid fleet document");
    active
}

#[tokio::test(start_paused = true)]
async fn targets_missing_after_an_outage_are_kept_until_they_had_time_to_register_again() {
    let active =
        active_with(&fleet_document(1, &[("a", "h-a", "live"), ("b", "h-b", "live"), ("c", "h-c", "live")]));
    active.on_platform_outage_end(0);
    active.accept(&fleet_document(2, &[("a", "h-a", "live")])).expect("valid fleet document");
    assert_eq!(targets(&active), ["a", "b", "c"]);
    active
        .accept(&fleet_document(3, &[("a", "h-a", "live"), ("b", "h-b", "live")]))
        .expect("valid fleet document");
    advance(Duration::from_millis(1_900)).await;
    assert!(
        timeout(SHORT_TIMEOUT, active.apply_next_expiry()).await.is_err(),
        "the grace period is not over"
    );
    assert_eq!(targets(&active), ["a", "b", "c"]);
    advance(Duration::from_millis(200)).await;
    timeout(SHORT_TIMEOUT, active.apply_next_expiry()).await.expect("the grace period is over");
    assert_eq!(targets(&active), ["a", "b"], "targets still missing are removed");
    active.accept(&fleet_document(4, &[("a", "h-a", "live")])).expect("valid fleet document");
    assert_eq!(targets(&active), ["a"], "targets removed from the fleet document later are removed at once");
}

#[tokio::test(start_paused = true)]
async fn missing_targets_that_were_leaving_or_have_a_successor_are_not_kept() {
    let active = active_with(&fleet_document(
        1,
        &[("a", "h-a", "leaving"), ("b", "h-b", "live"), ("c", "h-c", "live")],
    ));
    active.on_platform_outage_end(0);
    active.accept(&fleet_document(2, &[("d", "h-b", "live")])).expect("valid fleet document");
    assert_eq!(targets(&active), ["c", "d"]);
}

#[tokio::test(start_paused = true)]
async fn a_fleet_document_accepted_after_the_grace_period_is_not_reverted() {
    let active = active_with(&fleet_document(1, &[("a", "h-a", "live"), ("b", "h-b", "live")]));
    active.on_platform_outage_end(0);
    active.accept(&fleet_document(2, &[("a", "h-a", "live")])).expect("valid fleet document");
    advance(Duration::from_millis(2_100)).await;
    active
        .accept(&fleet_document(3, &[("a", "h-a", "live"), ("c", "h-c", "live")]))
        .expect("valid fleet document");
    assert!(
        timeout(SHORT_TIMEOUT, active.apply_next_expiry()).await.is_err(),
        "no kept target is left to remove"
    );
    assert_eq!(targets(&active), ["a", "c"]);
}

// Missing targets must be kept until two seconds after the end of the platform's outage, not after the time at which a
// node learns of it.
#[tokio::test(start_paused = true)]
async fn a_late_report_of_the_end_of_an_outage_keeps_targets_only_for_the_rest_of_the_grace_period() {
    let active = active_with(&fleet_document(1, &[("a", "h-a", "live"), ("b", "h-b", "live")]));
    active.on_platform_outage_end(1_500);
    active.accept(&fleet_document(2, &[("a", "h-a", "live")])).expect("valid fleet document");
    assert_eq!(targets(&active), ["a", "b"]);
    advance(Duration::from_millis(600)).await;
    timeout(SHORT_TIMEOUT, active.apply_next_expiry()).await.expect("the grace period is over");
    assert_eq!(targets(&active), ["a"]);
}

#[tokio::test(start_paused = true)]
async fn a_report_of_the_end_of_an_outage_after_the_grace_period_keeps_no_targets() {
    let active = active_with(&fleet_document(1, &[("a", "h-a", "live"), ("b", "h-b", "live")]));
    active.on_platform_outage_end(2_500);
    active.accept(&fleet_document(2, &[("a", "h-a", "live")])).expect("valid fleet document");
    assert_eq!(targets(&active), ["a"]);
}

// Concurrent updates of the active configuration from documents and from other nodes' corrections must not overwrite
// each other.
#[test]
fn a_configuration_accepted_during_a_concurrent_fleet_update_is_not_lost() {
    let active = active_with(&fleet_document(1, &[("a", "h-a", "live"), ("b", "h-b", "live")]));
    let corrections = |started_unix_ms: u64| FleetCorrections {
        era: 0,
        age_ms: 0,
        departed: vec![DepartedHost {
            instance: HostInstance { host: "h-b".to_owned(), target: "b".to_owned(), started_unix_ms },
            departure: Departure::Leaving,
        }],
        unlisted: "{}".to_owned(),
        evacuations: Vec::new(),
    };
    thread::scope(|scope| {
        let shared = active.clone();
        scope.spawn(move || {
            for round in 0..ROUNDS {
                shared
                    .accept(&fleet_document(2 + round, &[("a", "h-a", "live"), ("b", "h-b", "live")]))
                    .expect("valid fleet document");
                shared.merge_corrections(&corrections(round % 2));
            }
        });
        for number in 1..=ROUNDS {
            let version = Version::new(number);
            let limits = Document { name: DocumentName::System, version, text: "{}".to_owned() };
            active.accept(&limits).expect("all limits have defaults");
            thread::yield_now();
            assert_eq!(active.load().configuration.version(&DocumentName::System), version);
        }
    });
}
