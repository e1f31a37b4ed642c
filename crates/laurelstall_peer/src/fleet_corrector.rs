//! Corrects the published list of hosts after the platform was restored from an older copy.
//!
//! The restored copy lacks the latest changes: targets that left are ready in it, new ones are missing, and
//! evacuated data centres are in service. Until hosts and operators have written all of it again, nodes
//! correct the list by the changes that they saw before the restore. They exchange these corrections, since
//! a node that starts in this time knows only the copy.

use crate::fleet_corrections::{DepartedHost, Departure, EvacuationState, FleetCorrections, HostInstance};
use laurelstall_config::fleet::{Fleet, FleetTarget, Host, HostState};
use std::{
    collections::{BTreeMap, HashMap, HashSet},
    hash::{Hash, Hasher},
    sync::Arc,
};
use tokio::time::{Duration, Instant};
use xxhash_rust::xxh3::Xxh3;

/// How long changes are remembered; exceeds the age of any copy that the platform is restored from.
const REMEMBERED_FOR: Duration = Duration::from_secs(60);
/// Maximum number of changes of each kind that are remembered and sent to another node. With names of
/// maximum length they fit into one request.
pub const CHANGES_MAX: usize = 1_500;
/// How long corrections apply after a restore. By then all changes are written again, or registrations that
/// nobody renews have expired.
const CORRECTED_FOR: Duration = Duration::from_secs(30);
/// How long hosts that the copy lacks are kept after a restore. Running ones have registered again by then.
pub const REGISTRATION_GRACE: Duration = Duration::from_millis(2_000);

/// A change and when it was seen.
#[derive(Debug, Clone, Copy)]
struct Timed<T> {
    value: T,
    at: Instant,
}

/// A live host that no list of the current era contains yet.
#[derive(Debug, Clone)]
struct UnlistedHost {
    host: Host,
    target: Option<FleetTarget>,
}

/// Corrections that apply after a restore of the platform.
#[derive(Debug, Clone)]
struct Corrections {
    /// Time of the first known read of the current era.
    since: Instant,
    departed: BTreeMap<HostInstance, Departure>,
    /// By name of the host.
    unlisted: BTreeMap<String, UnlistedHost>,
    /// Whether each of these data centres is evacuated, overriding the list.
    evacuations: BTreeMap<String, bool>,
}

/// The published list of hosts and its recent changes.
#[derive(Debug, Default)]
pub struct FleetCorrector {
    /// Era of the list; `None` before the first list.
    era: Option<u64>,
    listed: Arc<Fleet>,
    departed: HashMap<HostInstance, Timed<Departure>>,
    evacuations: HashMap<String, Timed<bool>>,
    corrections: Option<Corrections>,
}

impl FleetCorrector {
    /// Applies the newest list, which is from the given era of the platform; `followed` is the list that
    /// the node followed until now. Returns whether the platform was restored since the previous list.
    pub fn update(&mut self, listed: Arc<Fleet>, era: u64, followed: &Fleet, now: Instant) -> bool {
        let was_restored = self.era.is_some_and(|before| before < era);
        if was_restored {
            self.start_corrections(followed, now);
        } else if self.era == Some(era) {
            self.record_changes(&listed, now);
        }
        self.era = Some(era);
        self.listed = listed;
        self.evict_old(now);
        was_restored
    }

    /// Returns the list to follow now: the published one with corrections.
    pub fn fleet(&mut self, now: Instant) -> Arc<Fleet> {
        self.corrections.take_if(|corrections| now >= corrections.since + CORRECTED_FOR);
        let Some(corrections) = &mut self.corrections else { return self.listed.clone() };
        if now >= corrections.since + REGISTRATION_GRACE {
            corrections.unlisted.clear();
        }
        let mut fleet = Fleet::clone(&self.listed);
        corrections.apply_departed(&mut fleet);
        corrections.add_unlisted(&mut fleet);
        corrections.apply_evacuations(&mut fleet);
        Arc::new(fleet)
    }

    /// Time at which [`FleetCorrector::fleet`] changes without a new list; `None` if it does not.
    pub fn next_change(&self, now: Instant) -> Option<Instant> {
        let since = self.corrections.as_ref()?.since;
        let ends = [since + REGISTRATION_GRACE, since + CORRECTED_FOR];
        ends.into_iter().find(|end| *end > now).or(Some(now))
    }

    /// Summary of the corrections for a log line.
    pub fn corrections_summary(&self) -> String {
        let Some(corrections) = &self.corrections else { return "no corrections apply".to_owned() };
        let (departed, unlisted) = (corrections.departed.len(), corrections.unlisted.len());
        let evacuations = corrections.evacuations.len();
        format!(
            "corrections: {departed} departed hosts, {unlisted} hosts missing from the copy, evacuation state of {evacuations} data centres"
        )
    }

    /// Returns the corrections for other nodes; `None` if there are none.
    pub fn corrections(&self, now: Instant) -> Option<FleetCorrections> {
        let corrections = self.corrections.as_ref()?;
        let departed = corrections.departed.iter().take(CHANGES_MAX);
        let departed = departed
            .map(|(instance, departed)| DepartedHost { instance: instance.clone(), departure: *departed });
        let evacuations = corrections.evacuations.iter();
        let evacuations = evacuations.map(|(data_centre, is_evacuated)| EvacuationState {
            data_centre: data_centre.clone(),
            is_evacuated: *is_evacuated,
        });
        Some(FleetCorrections {
            era: self.era?,
            age_ms: now.saturating_duration_since(corrections.since).as_millis() as u64,
            departed: departed.collect(),
            unlisted: corrections.unlisted_text(),
            evacuations: evacuations.collect(),
        })
    }

    /// Returns a hash of the corrections; 0 for none.
    ///
    /// Unlisted hosts are excluded, since each node removes one when it first receives a list that contains
    /// it.
    pub fn hash(&self, now: Instant) -> u64 {
        let corrections =
            self.corrections.as_ref().filter(|corrections| now < corrections.since + CORRECTED_FOR);
        let (Some(corrections), Some(era)) = (corrections, self.era) else { return 0 };
        let mut hash = Xxh3::new();
        hash.write_u64(era);
        for (instance, departed) in &corrections.departed {
            hash.write(instance.host.as_bytes());
            hash.write(instance.target.as_bytes());
            hash.write_u64(instance.started_unix_ms);
            hash.write_u8(u8::from(*departed == Departure::Gone));
        }
        for (data_centre, is_evacuated) in &corrections.evacuations {
            hash.write(data_centre.as_bytes());
            hash.write_u8(u8::from(*is_evacuated));
        }
        hash.finish().max(1)
    }

    /// Merges the corrections of another node for the same restore; returns whether any was new.
    ///
    /// Of two contradicting corrections, the one that keeps calls away wins.
    pub fn merge(&mut self, received: &FleetCorrections, now: Instant) -> bool {
        let age = Duration::from_millis(received.age_ms);
        if self.era != Some(received.era) || age >= CORRECTED_FOR {
            return false;
        }
        let since = now.checked_sub(age).unwrap_or(now);
        let hash_before = self.hash(now);
        let corrections = self.corrections.get_or_insert_with(|| Corrections::new(since));
        corrections.since = corrections.since.min(since);
        for reported in received.departed.iter().take(CHANGES_MAX) {
            let known = corrections.departed.entry(reported.instance.clone()).or_insert(reported.departure);
            *known = (*known).max(reported.departure);
        }
        for state in received.evacuations.iter().take(CHANGES_MAX) {
            *corrections.evacuations.entry(state.data_centre.clone()).or_default() |= state.is_evacuated;
        }
        match Fleet::from_text("unlisted hosts", &received.unlisted) {
            Ok(unlisted) => corrections.unlisted.extend(live_hosts(&unlisted)),
            Err(error) => log::error!("the unlisted hosts that another node sent are not readable: {error}"),
        }
        self.hash(now) != hash_before
    }

    /// Turns the list that was followed and its recent changes into corrections.
    fn start_corrections(&mut self, followed: &Fleet, now: Instant) {
        let mut corrections =
            Corrections { since: now, ..self.corrections.take().unwrap_or_else(|| Corrections::new(now)) };
        let departed = self.departed.iter().map(|(instance, timed)| (instance.clone(), timed.value));
        corrections.departed.extend(departed);
        // A node that started after they said so has recorded no change of theirs.
        for instance in leaving_instances(followed) {
            corrections.departed.entry(instance).or_insert(Departure::Leaving);
        }
        corrections.unlisted = live_hosts(followed).collect();
        corrections
            .evacuations
            .extend(self.evacuations.iter().map(|(name, timed)| (name.clone(), timed.value)));
        corrections.evacuations.extend(followed.evacuated.iter().map(|name| (name.clone(), true)));
        self.corrections = Some(corrections);
    }

    /// Records the differences of a list to its predecessor in the same era.
    fn record_changes(&mut self, listed: &Fleet, now: Instant) {
        let changed = changed_hosts(&self.listed, listed);
        let before = index_hosts(&self.listed, |host| changed.contains(host));
        let after = index_hosts(listed, |host| changed.contains(host));
        let mut changes = Vec::new();
        for (instance, listed) in &before {
            match after.get(instance) {
                None => changes.push((instance.owned(), Some(Departure::Gone))),
                Some(later) if !later.is_live() && listed.is_live() => {
                    changes.push((instance.owned(), Some(Departure::Leaving)));
                }
                Some(_) => {}
            }
        }
        // A new or changed entry was written by the host itself, so it overrides older corrections.
        let live = after.iter().filter(|(_, listed)| listed.is_live());
        let written = live.filter(|(instance, listed)| before.get(*instance) != Some(*listed));
        changes.extend(written.map(|(instance, _)| (instance.owned(), None)));
        for (instance, departed) in changes {
            self.record_departure(instance, departed, now);
        }
        let is_in_service = |name: &&String| !listed.evacuated.contains(name);
        let returned_to_service =
            self.listed.evacuated.iter().filter(is_in_service).map(|name| (name.clone(), false));
        let evacuated = listed.evacuated.iter().filter(|name| !self.listed.evacuated.contains(name));
        let evacuation_changes =
            returned_to_service.chain(evacuated.map(|name| (name.clone(), true))).collect::<Vec<_>>();
        for (name, is_evacuated) in evacuation_changes {
            self.corrections.as_mut().map(|corrections| corrections.evacuations.remove(&name));
            self.evacuations.insert(name, Timed { value: is_evacuated, at: now });
        }
    }

    /// Records that a host departed, or with `None` that it is in service.
    fn record_departure(&mut self, instance: HostInstance, departed: Option<Departure>, now: Instant) {
        match departed {
            Some(value) => {
                self.departed.insert(instance, Timed { value, at: now });
            }
            None => {
                self.departed.remove(&instance);
                self.corrections.as_mut().map(|corrections| corrections.departed.remove(&instance));
            }
        }
    }

    fn evict_old(&mut self, now: Instant) {
        evict_old(&mut self.departed, now);
        evict_old(&mut self.evacuations, now);
    }
}

impl Corrections {
    fn new(since: Instant) -> Self {
        Self { since, departed: BTreeMap::new(), unlisted: BTreeMap::new(), evacuations: BTreeMap::new() }
    }

    /// Removes hosts that were gone, and marks those that were leaving.
    fn apply_departed(&self, fleet: &mut Fleet) {
        let departures = index_hosts(fleet, |_| true).into_iter().filter_map(|(instance, listed)| {
            let departure = self.departed.get(&instance.owned())?;
            Some((listed.host.name.clone(), *departure))
        });
        let departures = departures.collect::<HashMap<_, _>>();
        let is_gone = |host: &String| departures.get(host) == Some(&Departure::Gone);
        fleet.hosts.retain(|host| !is_gone(&host.name));
        fleet.targets.retain(|target| !is_gone(&target.host));
        for host in &mut fleet.hosts {
            if departures.contains_key(&host.name) {
                host.state = HostState::Leaving;
            }
        }
    }

    /// Adds hosts that no list contains yet.
    fn add_unlisted(&mut self, fleet: &mut Fleet) {
        let listed = fleet.hosts.iter().map(|host| host.name.as_str()).collect::<HashSet<_>>();
        self.unlisted.retain(|name, _| !listed.contains(name.as_str()));
        for unlisted in self.unlisted.values() {
            if !self.departed.contains_key(&unlisted.instance()) {
                fleet.hosts.push(unlisted.host.clone());
                fleet.targets.extend(unlisted.target.clone());
            }
        }
    }

    fn unlisted_text(&self) -> String {
        let unlisted = self.unlisted.values();
        let fleet = Fleet {
            hosts: unlisted.clone().map(|unlisted| unlisted.host.clone()).collect(),
            targets: unlisted.filter_map(|unlisted| unlisted.target.clone()).collect(),
            ..Fleet::default()
        };
        serde_json::to_string(&fleet).expect("a list of hosts can be serialized")
    }

    fn apply_evacuations(&self, fleet: &mut Fleet) {
        for (name, is_evacuated) in &self.evacuations {
            fleet.evacuated.retain(|listed| listed != name);
            if *is_evacuated {
                fleet.evacuated.push(name.clone());
            }
        }
        fleet.evacuated.sort();
    }
}

impl UnlistedHost {
    fn instance(&self) -> HostInstance {
        InstanceRef::new(&self.host, self.target.as_ref()).owned()
    }
}

/// Returns the live hosts of a list by name.
fn live_hosts(fleet: &Fleet) -> impl Iterator<Item = (String, UnlistedHost)> {
    let live = index_hosts(fleet, |_| true).into_values().filter(ListedHost::is_live);
    live.map(|ListedHost { host, target }| {
        (host.name.clone(), UnlistedHost { host: host.clone(), target: target.cloned() })
    })
}

/// Returns the instances of a list that are leaving.
fn leaving_instances(fleet: &Fleet) -> impl Iterator<Item = HostInstance> {
    let listed = index_hosts(fleet, |_| true).into_iter();
    listed.filter(|(_, listed)| !listed.is_live()).map(|(instance, _)| instance.owned())
}

/// A host of a list with the target that is registered there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ListedHost<'a> {
    host: &'a Host,
    target: Option<&'a FleetTarget>,
}

impl ListedHost<'_> {
    fn is_live(&self) -> bool {
        self.host.state == HostState::Live
    }
}

/// A borrowed [`HostInstance`]; avoids copies of a whole list for a few changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct InstanceRef<'a> {
    host: &'a str,
    target: &'a str,
    started_unix_ms: u64,
}

impl<'a> InstanceRef<'a> {
    fn new(host: &'a Host, target: Option<&'a FleetTarget>) -> Self {
        Self {
            host: &host.name,
            target: target.map(|target| target.name.as_str()).unwrap_or_default(),
            started_unix_ms: target.map_or(0, |target| target.started_unix_ms),
        }
    }

    fn owned(self) -> HostInstance {
        HostInstance {
            host: self.host.to_owned(),
            target: self.target.to_owned(),
            started_unix_ms: self.started_unix_ms,
        }
    }
}

/// Indexes the wanted hosts of a list.
fn index_hosts(fleet: &Fleet, is_wanted: impl Fn(&str) -> bool) -> HashMap<InstanceRef<'_>, ListedHost<'_>> {
    let targets = fleet.targets.iter().filter(|target| is_wanted(&target.host));
    let targets = targets.map(|target| (target.host.as_str(), target)).collect::<HashMap<_, _>>();
    let hosts = fleet.hosts.iter().filter(|host| is_wanted(&host.name));
    let found = hosts.map(|host| {
        let target = targets.get(host.name.as_str()).copied();
        (InstanceRef::new(host, target), ListedHost { host, target })
    });
    found.collect()
}

/// Names of all hosts that may differ between two lists. Compares the lists in order rather than looking up
/// each host, since usually only one or two of a thousand hosts change.
fn changed_hosts<'a>(before: &'a Fleet, after: &'a Fleet) -> HashSet<&'a str> {
    let hosts = differing(&before.hosts, &after.hosts).map(|host| host.name.as_str());
    let targets = differing(&before.targets, &after.targets).map(|target| target.host.as_str());
    hosts.chain(targets).collect()
}

/// Returns the items of two slices between their common prefix and their common suffix.
fn differing<'a, T: PartialEq>(before: &'a [T], after: &'a [T]) -> impl Iterator<Item = &'a T> {
    let start = before.iter().zip(after).take_while(|(before, after)| before == after).count();
    let (before, after) = (&before[start..], &after[start..]);
    let end =
        before.iter().rev().zip(after.iter().rev()).take_while(|(before, after)| before == after).count();
    before[..before.len() - end].iter().chain(&after[..after.len() - end])
}

fn evict_old<K: Clone + Eq + Hash, T>(entries: &mut HashMap<K, Timed<T>>, now: Instant) {
    entries.retain(|_, timed| now < timed.at + REMEMBERED_FOR);
    while entries.len() > CHANGES_MAX {
        let oldest = entries.iter().min_by_key(|(_, timed)| timed.at).map(|(key, _)| key.clone());
        oldest.map(|key| entries.remove(&key));
    }
}
