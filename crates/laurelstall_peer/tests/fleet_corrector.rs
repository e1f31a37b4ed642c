//! Corrections to the list of hosts after a restore of the platform, at simulated times.

use laurelstall_config::fleet::{Fleet, FleetTarget, Host, HostState};
use laurelstall_peer::fleet_corrector::{FleetCorrector, REGISTRATION_GRACE};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{collections::BTreeMap, sync::Arc};
use tokio::time::{Duration, Instant};

/// Longer than corrections apply.
const LONG: Duration = Duration::from_secs(40);

/// A target on a host of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Entry {
    name: &'static str,
    started_unix_ms: u64,
    state: HostState,
}

fn live(name: &'static str) -> Entry {
    Entry { name, started_unix_ms: 7, state: HostState::Live }
}

fn leaving(name: &'static str) -> Entry {
    Entry { state: HostState::Leaving, ..live(name) }
}

fn list(entries: &[Entry], evacuated: &[&str]) -> Arc<Fleet> {
    let host = |entry: &Entry| Host {
        name: format!("h-{}", entry.name),
        node_address: ([127, 0, 0, 1], 7_000).into(),
        data_centre: "north".to_owned(),
        state: entry.state,
    };
    let target = |entry: &Entry| FleetTarget {
        service: "t/shop".to_owned(),
        name: entry.name.to_owned(),
        host: format!("h-{}", entry.name),
        slots: 4,
        cold_ms: 0,
        started_unix_ms: entry.started_unix_ms,
    };
    Arc::new(Fleet {
        evacuated: evacuated.iter().map(|name| (*name).to_owned()).collect(),
        hosts: entries.iter().map(host).collect(),
        targets: entries.iter().map(target).collect(),
    })
}

/// The list of hosts that a node follows over time.
struct View {
    corrector: FleetCorrector,
    now: Instant,
    followed: Arc<Fleet>,
}

impl View {
    fn new() -> Self {
        Self { corrector: FleetCorrector::default(), now: Instant::now(), followed: Arc::default() }
    }

    fn apply_list(&mut self, era: u64, entries: &[Entry], evacuated: &[&str]) {
        self.corrector.update(list(entries, evacuated), era, &self.followed, self.now);
        self.refresh();
    }

    fn refresh(&mut self) {
        self.followed = self.corrector.fleet(self.now);
    }

    fn wait(&mut self, time: Duration) {
        self.now += time;
        self.refresh();
    }

    fn send_corrections(&self, other: &mut Self) {
        if let Some(corrections) = self.corrector.corrections(self.now) {
            other.corrector.merge(&corrections, other.now);
            other.refresh();
        }
    }

    /// Names of the live targets in the list.
    fn serving(&self) -> Vec<&str> {
        let targets = self.followed.targets.iter();
        let is_live = |target: &&FleetTarget| {
            self.followed.host(&target.host).expect("it is listed").state == HostState::Live
        };
        let mut names = targets.filter(is_live).map(|target| target.name.as_str()).collect::<Vec<_>>();
        names.sort_unstable();
        names
    }
}

#[test]
fn departed_targets_do_not_come_back_with_the_copy() {
    let mut view = View::new();
    view.apply_list(0, &[live("a"), live("b"), live("c")], &[]);
    view.apply_list(0, &[live("a"), leaving("b"), live("c")], &[]);
    view.apply_list(0, &[live("a"), leaving("b")], &[]);
    view.apply_list(1, &[live("a"), live("b"), live("c")], &[]);
    assert_eq!(view.serving(), ["a"]);
    assert!(view.followed.host("h-b").is_some(), "its node is still running, and finishes its calls");
    assert!(view.followed.host("h-c").is_none());
    // Later lists still apply to the kept hosts.
    view.apply_list(1, &[live("a"), leaving("b"), live("c")], &[]);
    view.wait(Duration::from_secs(5));
    view.apply_list(1, &[live("a")], &[]);
    assert_eq!(view.serving(), ["a"]);
    view.wait(LONG);
    assert_eq!(view.serving(), ["a"]);
}

#[test]
fn a_later_start_of_a_departed_target_is_listed_at_once() {
    let mut view = View::new();
    view.apply_list(0, &[live("a"), live("b")], &[]);
    view.apply_list(0, &[leaving("a")], &[]);
    let restarted = |name| Entry { started_unix_ms: 8, ..live(name) };
    view.apply_list(1, &[restarted("a"), restarted("b")], &[]);
    assert_eq!(view.serving(), ["a", "b"]);
}

#[test]
fn a_removed_target_that_registers_again_is_listed() {
    let mut view = View::new();
    view.apply_list(0, &[live("a"), live("b")], &[]);
    view.apply_list(0, &[live("a")], &[]);
    view.apply_list(1, &[live("a"), live("b")], &[]);
    assert_eq!(view.serving(), ["a"]);
    view.apply_list(1, &[live("a")], &[]);
    view.apply_list(1, &[live("a"), live("b")], &[]);
    assert_eq!(view.serving(), ["a", "b"]);
}

#[test]
fn targets_missing_from_the_copy_are_kept_for_the_grace_period() {
    let mut view = View::new();
    view.apply_list(3, &[live("a")], &[]);
    view.apply_list(3, &[live("a"), live("b"), live("c")], &[]);
    view.apply_list(4, &[live("a")], &[]);
    assert_eq!(view.serving(), ["a", "b", "c"]);
    view.apply_list(4, &[live("a"), live("b")], &[]);
    // A host that was listed in the new era is no longer kept.
    view.apply_list(4, &[live("a")], &[]);
    assert_eq!(view.serving(), ["a", "c"]);
    view.wait(REGISTRATION_GRACE);
    assert_eq!(view.serving(), ["a"]);
}

#[test]
fn evacuations_stay_as_last_set_before_the_restore() {
    let mut view = View::new();
    view.apply_list(0, &[live("a")], &["south"]);
    view.apply_list(0, &[live("a")], &["north"]);
    view.apply_list(1, &[live("a")], &["south"]);
    assert_eq!(view.followed.evacuated, ["north"]);
    view.apply_list(1, &[live("a"), live("b")], &["south"]);
    assert_eq!(view.followed.evacuated, ["north"]);
    // Changes after the restore apply immediately.
    view.apply_list(1, &[live("a"), live("b")], &["north"]);
    assert_eq!(view.followed.evacuated, ["north"]);
    view.apply_list(1, &[live("a"), live("b")], &[]);
    assert!(view.followed.evacuated.is_empty());
}

#[test]
fn corrections_expire() {
    let mut view = View::new();
    view.apply_list(0, &[live("a"), live("b")], &["south"]);
    view.apply_list(0, &[leaving("a")], &["south"]);
    view.apply_list(1, &[live("a"), live("b")], &[]);
    let next = view.corrector.next_change(view.now).expect("corrections apply");
    assert_eq!(next, view.now + REGISTRATION_GRACE);
    view.wait(LONG);
    assert_eq!(view.serving(), ["a", "b"]);
    assert!(view.followed.evacuated.is_empty());
    assert_eq!(view.corrector.next_change(view.now), None);
    assert_eq!(view.corrector.hash(view.now), 0);
}

#[test]
fn a_node_that_starts_after_the_restore_receives_the_corrections_of_others() {
    let (mut old, mut new) = (View::new(), View::new());
    old.apply_list(0, &[live("a"), live("b"), live("c")], &["south"]);
    old.apply_list(0, &[live("a"), leaving("b"), live("d")], &["south"]);
    let copy = [live("a"), live("b"), live("c")];
    old.apply_list(1, &copy, &[]);
    new.now = old.now;
    new.apply_list(1, &copy, &[]);
    assert_eq!(new.serving(), ["a", "b", "c"], "it knows nothing but the copy");
    assert_ne!(old.corrector.hash(old.now), new.corrector.hash(new.now));
    old.send_corrections(&mut new);
    assert_eq!(old.corrector.hash(old.now), new.corrector.hash(new.now));
    assert_eq!(old.serving(), ["a", "d"]);
    assert_eq!(new.serving(), old.serving());
    assert_eq!(new.followed.evacuated, ["south"]);
    new.wait(REGISTRATION_GRACE);
    assert_eq!(new.serving(), ["a"]);
}

#[test]
fn corrections_of_another_era_or_expired_ones_are_ignored() {
    let mut old = View::new();
    old.apply_list(0, &[live("a"), live("b")], &[]);
    old.apply_list(0, &[leaving("a")], &[]);
    old.apply_list(1, &[live("a"), live("b")], &[]);
    let mut other = View::new();
    other.now = old.now;
    other.apply_list(2, &[live("a"), live("b")], &[]);
    old.send_corrections(&mut other);
    assert_eq!(other.serving(), ["a", "b"]);
    let mut late = View::new();
    old.now += LONG;
    late.now = old.now;
    late.apply_list(1, &[live("a"), live("b")], &[]);
    old.send_corrections(&mut late);
    assert_eq!(late.serving(), ["a", "b"]);
}

#[test]
fn two_restores_in_a_row_lose_no_corrections() {
    let mut view = View::new();
    view.apply_list(0, &[live("a"), live("b"), live("c")], &[]);
    view.apply_list(0, &[live("a"), live("b")], &[]);
    view.apply_list(1, &[live("a"), live("b"), live("c")], &[]);
    view.apply_list(1, &[live("a"), leaving("b"), live("c")], &[]);
    view.apply_list(2, &[live("a"), live("b"), live("c")], &[]);
    assert_eq!(view.serving(), ["a"]);
}

#[test]
fn received_corrections_survive_the_next_restore() {
    let (mut old, mut new) = (View::new(), View::new());
    old.apply_list(0, &[live("a"), live("b")], &["south"]);
    old.apply_list(0, &[live("a"), leaving("b")], &["south"]);
    old.apply_list(1, &[live("a"), live("b")], &[]);
    new.now = old.now;
    new.apply_list(1, &[live("a"), live("b")], &[]);
    old.send_corrections(&mut new);
    new.apply_list(2, &[live("a"), live("b")], &[]);
    assert_eq!(new.serving(), ["a"]);
    assert_eq!(new.followed.evacuated, ["south"]);
}

/// In random histories, no node follows a target that has departed.
#[test]
fn no_departure_is_lost_in_random_histories() {
    const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];
    for seed in 0..400 {
        let mut rng = SmallRng::seed_from_u64(seed);
        // Entries of the store, and all departures that it had acknowledged, even if a restore lost them.
        let mut stored = BTreeMap::<&str, Entry>::new();
        let mut departed = BTreeMap::<(&str, u64), ()>::new();
        let mut starts = 1;
        let mut era = 0;
        let mut copy = stored.clone();
        let mut nodes = [View::new(), View::new(), View::new()];
        for step in 0..60 {
            let name = NAMES[rng.random_range(0..NAMES.len())];
            match rng.random_range(0..10) {
                0..=2 => {
                    starts += 1;
                    stored.insert(name, Entry { started_unix_ms: starts, ..live(name) });
                }
                3 | 4 => {
                    if let Some(entry) = stored.get_mut(name) {
                        entry.state = HostState::Leaving;
                        departed.insert((name, entry.started_unix_ms), ());
                    }
                }
                5 => {
                    if let Some(entry) = stored.remove(name) {
                        departed.insert((name, entry.started_unix_ms), ());
                    }
                }
                6 => copy = stored.clone(),
                7 => {
                    stored = copy.clone();
                    era += 1;
                }
                _ => {
                    // A node is restarted, and receives corrections after its first list.
                    let restarted = rng.random_range(1..nodes.len());
                    let now = nodes[0].now;
                    nodes[restarted] = View { now, ..View::new() };
                }
            }
            let entries = stored.values().copied().collect::<Vec<_>>();
            for node in &mut nodes {
                node.apply_list(era, &entries, &[]);
                node.wait(Duration::from_millis(100));
            }
            let [first, others @ ..] = &mut nodes;
            for other in others {
                first.send_corrections(other);
                let serving = other.followed.targets.iter().filter(|target| {
                    other.followed.host(&target.host).is_some_and(|host| host.state == HostState::Live)
                });
                for target in serving {
                    let is_departed = departed.contains_key(&(target.name.as_str(), target.started_unix_ms));
                    assert!(!is_departed, "seed {seed}, step {step}: {} had departed", target.name);
                }
            }
        }
    }
}

// A node that started after a target had said that it leaves took it for live once the platform was back from a copy.
#[test]
fn a_target_that_the_first_list_names_as_leaving_does_not_come_back_with_the_copy() {
    let mut view = View::new();
    view.apply_list(0, &[live("a"), leaving("b")], &[]);
    view.apply_list(1, &[live("a"), live("b")], &[]);
    assert_eq!(view.serving(), ["a"]);
    view.wait(Duration::from_millis(900));
    assert_eq!(view.serving(), ["a"]);
    // A node that reads its first list after the restore learns of it.
    let mut joined = View::new();
    joined.apply_list(1, &[live("a"), live("b")], &[]);
    view.send_corrections(&mut joined);
    assert_eq!(joined.serving(), ["a"]);
    // A second restore does not bring it back either.
    view.apply_list(2, &[live("a"), live("b")], &[]);
    assert_eq!(view.serving(), ["a"]);
}

#[test]
fn a_target_that_starts_again_after_leaving_serves_after_a_restore() {
    let mut view = View::new();
    view.apply_list(0, &[leaving("b")], &[]);
    view.apply_list(0, &[Entry { started_unix_ms: 9, ..live("b") }], &[]);
    view.apply_list(1, &[live("b")], &[]);
    view.apply_list(1, &[Entry { started_unix_ms: 9, ..live("b") }], &[]);
    assert_eq!(view.serving(), ["b"]);
}
