//! What hosts, targets and operators said lately, for when the platform comes back from an older copy.
//!
//! The copy does not know what was said since it was made: a target that left is ready there, one that came is missing,
//! an evacuated data centre is in service. All of it is written again before long. Until then nodes correct the list
//! that the platform publishes by what they heard before, and tell each other what that was: a node that starts
//! meanwhile has nothing but the copy.

use crate::carried_news::{CarriedNews, Departed, DepartedHost, EvacuationWord, HostStart};
use laurelstall_config::fleet::{Fleet, FleetTarget, Host, HostState};
use std::{
    collections::{BTreeMap, HashMap, HashSet},
    hash::{Hash, Hasher},
    sync::Arc,
};
use tokio::time::{Duration, Instant};
use xxhash_rust::xxh3::Xxh3;

/// How long what was said is remembered: longer than a copy is old that the platform comes back from.
const REMEMBERED_FOR: Duration = Duration::from_secs(60);
/// Most words that are remembered of each kind, the oldest give way, and that one node tells another: with the longest names
/// they fit into a question.
pub const WORDS_MAX: usize = 1_500;
/// How long after a return the copy's word is not taken for what was said before: many times as long as it takes until all
/// of it is written again, or registrations that nobody renews have run out.
const CARRIED_FOR: Duration = Duration::from_secs(30);
/// How long after a return hosts are kept that the copy lacks: those that live have registered again by then.
pub const REGISTER_GRACE: Duration = Duration::from_millis(2_000);

/// A word and when it was heard.
#[derive(Debug, Clone, Copy)]
struct Heard<T> {
    word: T,
    at: Instant,
}

/// A host in service that no list of the era has named yet.
#[derive(Debug, Clone)]
struct UnlistedHost {
    host: Host,
    target: Option<FleetTarget>,
}

/// What is carried over a return of the platform.
#[derive(Debug, Clone)]
struct Carried {
    /// The first read of the era that this node heard of.
    since: Instant,
    departed: BTreeMap<HostStart, Departed>,
    /// By the host's name.
    unlisted: BTreeMap<String, UnlistedHost>,
    /// Whether data centres are evacuated, whatever the copy says.
    evacuations: BTreeMap<String, bool>,
}

/// The list of hosts as the platform publishes it, and what was said lately.
#[derive(Debug, Default)]
pub struct RecentFleet {
    /// The era of the list; none before the first.
    era: Option<u64>,
    listed: Arc<Fleet>,
    departed: HashMap<HostStart, Heard<Departed>>,
    evacuations: HashMap<String, Heard<bool>>,
    carried: Option<Carried>,
}

impl RecentFleet {
    /// Takes the newest list, of an era of the platform; `in_force` is what the node followed until now. Whether the
    /// platform came back from an older copy since the list before.
    pub fn take(&mut self, listed: Arc<Fleet>, era: u64, in_force: &Fleet, now: Instant) -> bool {
        let has_returned = self.era.is_some_and(|before| before < era);
        if has_returned {
            self.carry_over(in_force, now);
        } else if self.era == Some(era) {
            self.note_changes(&listed, now);
        }
        self.era = Some(era);
        self.listed = listed;
        self.forget_old(now);
        has_returned
    }

    /// The list to follow now: as it was published, but for what was said before the platform came back.
    pub fn fleet(&mut self, now: Instant) -> Arc<Fleet> {
        self.carried.take_if(|carried| now >= carried.since + CARRIED_FOR);
        let Some(carried) = &mut self.carried else { return self.listed.clone() };
        if now >= carried.since + REGISTER_GRACE {
            carried.unlisted.clear();
        }
        let mut fleet = Fleet::clone(&self.listed);
        carried.apply_departed(&mut fleet);
        carried.add_unlisted(&mut fleet);
        carried.apply_evacuations(&mut fleet);
        Arc::new(fleet)
    }

    /// When [`RecentFleet::fleet`] changes without a new list; none when it does not.
    pub fn next_change(&self, now: Instant) -> Option<Instant> {
        let since = self.carried.as_ref()?.since;
        let ends = [since + REGISTER_GRACE, since + CARRIED_FOR];
        ends.into_iter().find(|end| *end > now).or(Some(now))
    }

    /// What is carried over a return, in numbers, for a log line.
    pub fn carried_numbers(&self) -> String {
        let Some(carried) = &self.carried else { return "nothing is carried over".to_owned() };
        let (departed, unlisted) = (carried.departed.len(), carried.unlisted.len());
        let evacuations = carried.evacuations.len();
        format!(
            "{departed} hosts had departed, {unlisted} are kept that it lacks, {evacuations} data centres were spoken of"
        )
    }

    /// What other nodes are told of it; none when nothing is carried over a return.
    pub fn news(&self, now: Instant) -> Option<CarriedNews> {
        let carried = self.carried.as_ref()?;
        let departed = carried.departed.iter().take(WORDS_MAX);
        let departed =
            departed.map(|(start, departed)| DepartedHost { start: start.clone(), departed: *departed });
        let evacuations = carried.evacuations.iter();
        let evacuations = evacuations.map(|(data_centre, is_evacuated)| EvacuationWord {
            data_centre: data_centre.clone(),
            is_evacuated: *is_evacuated,
        });
        Some(CarriedNews {
            era: self.era?,
            age_ms: now.saturating_duration_since(carried.since).as_millis() as u64,
            departed: departed.collect(),
            unlisted: carried.unlisted_text(),
            evacuations: evacuations.collect(),
        })
    }

    /// A hash of what is carried over a return; 0 for nothing.
    ///
    /// Hosts that are kept are left out: each list that names one of them takes it out, at each node at another moment.
    pub fn hash(&self, now: Instant) -> u64 {
        let carried = self.carried.as_ref().filter(|carried| now < carried.since + CARRIED_FOR);
        let (Some(carried), Some(era)) = (carried, self.era) else { return 0 };
        let mut hash = Xxh3::new();
        hash.write_u64(era);
        for (start, word) in &carried.departed {
            hash.write(start.host.as_bytes());
            hash.write(start.target.as_bytes());
            hash.write_u64(start.started_unix_ms);
            hash.write_u8(u8::from(*word == Departed::Gone));
        }
        for (data_centre, is_evacuated) in &carried.evacuations {
            hash.write(data_centre.as_bytes());
            hash.write_u8(u8::from(*is_evacuated));
        }
        hash.finish().max(1)
    }

    /// Takes what another node carries over the same return; whether it brought anything.
    ///
    /// Of two words on one subject, the one counts that keeps calls away.
    pub fn take_news(&mut self, news: &CarriedNews, now: Instant) -> bool {
        let age = Duration::from_millis(news.age_ms);
        if self.era != Some(news.era) || age >= CARRIED_FOR {
            return false;
        }
        let since = now.checked_sub(age).unwrap_or(now);
        let hash_before = self.hash(now);
        let carried = self.carried.get_or_insert_with(|| Carried::new(since));
        carried.since = carried.since.min(since);
        for told in news.departed.iter().take(WORDS_MAX) {
            let known = carried.departed.entry(told.start.clone()).or_insert(told.departed);
            *known = (*known).max(told.departed);
        }
        for word in news.evacuations.iter().take(WORDS_MAX) {
            *carried.evacuations.entry(word.data_centre.clone()).or_default() |= word.is_evacuated;
        }
        match Fleet::from_text("carried hosts", &news.unlisted) {
            Ok(unlisted) => carried.unlisted.extend(live_hosts(&unlisted)),
            Err(error) => log::error!("hosts that another node keeps: {error}"),
        }
        self.hash(now) != hash_before
    }

    /// Keeps what was in force and what was said until now beyond the return of the platform.
    fn carry_over(&mut self, in_force: &Fleet, now: Instant) {
        let mut carried = Carried { since: now, ..self.carried.take().unwrap_or_else(|| Carried::new(now)) };
        let departed = self.departed.iter().map(|(start, heard)| (start.clone(), heard.word));
        carried.departed.extend(departed);
        carried.unlisted = live_hosts(in_force).collect();
        carried.evacuations.extend(self.evacuations.iter().map(|(name, heard)| (name.clone(), heard.word)));
        carried.evacuations.extend(in_force.evacuated.iter().map(|name| (name.clone(), true)));
        self.carried = Some(carried);
    }

    /// Notes what a list says that the one before it did not, in the same era.
    fn note_changes(&mut self, listed: &Fleet, now: Instant) {
        let changed = changed_hosts(&self.listed, listed);
        let before = starts(&self.listed, |host| changed.contains(host));
        let after = starts(listed, |host| changed.contains(host));
        let mut said = Vec::new();
        for (start, listed) in &before {
            match after.get(start) {
                None => said.push((start.owned(), Some(Departed::Gone))),
                Some(later) if !later.is_live() && listed.is_live() => {
                    said.push((start.owned(), Some(Departed::Leaving)));
                }
                Some(_) => {}
            }
        }
        // A host that is listed anew, or in another way, has written its entry itself.
        let live = after.iter().filter(|(_, listed)| listed.is_live());
        let written = live.filter(|(start, listed)| before.get(*start) != Some(*listed));
        said.extend(written.map(|(start, _)| (start.owned(), None)));
        for (start, departed) in said {
            self.note_departed(start, departed, now);
        }
        let is_listed = |name: &&String| !listed.evacuated.contains(name);
        let taken_back = self.listed.evacuated.iter().filter(is_listed).map(|name| (name.clone(), false));
        let evacuated = listed.evacuated.iter().filter(|name| !self.listed.evacuated.contains(name));
        let words = taken_back.chain(evacuated.map(|name| (name.clone(), true))).collect::<Vec<_>>();
        for (name, is_evacuated) in words {
            self.carried.as_mut().map(|carried| carried.evacuations.remove(&name));
            self.evacuations.insert(name, Heard { word: is_evacuated, at: now });
        }
    }

    /// Notes that a host departed, or that it is in service by its own word.
    fn note_departed(&mut self, start: HostStart, departed: Option<Departed>, now: Instant) {
        match departed {
            Some(word) => {
                self.departed.insert(start, Heard { word, at: now });
            }
            None => {
                self.departed.remove(&start);
                self.carried.as_mut().map(|carried| carried.departed.remove(&start));
            }
        }
    }

    fn forget_old(&mut self, now: Instant) {
        forget_old(&mut self.departed, now);
        forget_old(&mut self.evacuations, now);
    }
}

impl Carried {
    fn new(since: Instant) -> Self {
        Self { since, departed: BTreeMap::new(), unlisted: BTreeMap::new(), evacuations: BTreeMap::new() }
    }

    /// Takes out hosts that were gone, and marks those that had said that they leave.
    fn apply_departed(&self, fleet: &mut Fleet) {
        let words = starts(fleet, |_| true).into_iter().filter_map(|(start, listed)| {
            let word = self.departed.get(&start.owned())?;
            Some((listed.host.name.clone(), *word))
        });
        let words = words.collect::<HashMap<_, _>>();
        let is_gone = |host: &String| words.get(host) == Some(&Departed::Gone);
        fleet.hosts.retain(|host| !is_gone(&host.name));
        fleet.targets.retain(|target| !is_gone(&target.host));
        for host in &mut fleet.hosts {
            if words.contains_key(&host.name) {
                host.state = HostState::Leaving;
            }
        }
    }

    /// Adds hosts that no list has named yet.
    fn add_unlisted(&mut self, fleet: &mut Fleet) {
        let listed = fleet.hosts.iter().map(|host| host.name.as_str()).collect::<HashSet<_>>();
        self.unlisted.retain(|name, _| !listed.contains(name.as_str()));
        for unlisted in self.unlisted.values() {
            if !self.departed.contains_key(&unlisted.start()) {
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
        serde_json::to_string(&fleet).expect("a list is text")
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
    fn start(&self) -> HostStart {
        StartRef::new(&self.host, self.target.as_ref()).owned()
    }
}

/// The hosts in service of a list, by name.
fn live_hosts(fleet: &Fleet) -> impl Iterator<Item = (String, UnlistedHost)> {
    let live = starts(fleet, |_| true).into_values().filter(ListedHost::is_live);
    live.map(|ListedHost { host, target }| {
        (host.name.clone(), UnlistedHost { host: host.clone(), target: target.cloned() })
    })
}

/// A host of a list, with the target that registered itself there.
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

/// A [`HostStart`] of a list: lists are long, and most of them changes little.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct StartRef<'a> {
    host: &'a str,
    target: &'a str,
    started_unix_ms: u64,
}

impl<'a> StartRef<'a> {
    fn new(host: &'a Host, target: Option<&'a FleetTarget>) -> Self {
        Self {
            host: &host.name,
            target: target.map(|target| target.name.as_str()).unwrap_or_default(),
            started_unix_ms: target.map_or(0, |target| target.started_unix_ms),
        }
    }

    fn owned(self) -> HostStart {
        HostStart {
            host: self.host.to_owned(),
            target: self.target.to_owned(),
            started_unix_ms: self.started_unix_ms,
        }
    }
}

/// The wanted hosts of a list, by what was started there.
fn starts(fleet: &Fleet, is_wanted: impl Fn(&str) -> bool) -> HashMap<StartRef<'_>, ListedHost<'_>> {
    let targets = fleet.targets.iter().filter(|target| is_wanted(&target.host));
    let targets = targets.map(|target| (target.host.as_str(), target)).collect::<HashMap<_, _>>();
    let hosts = fleet.hosts.iter().filter(|host| is_wanted(&host.name));
    let found = hosts.map(|host| {
        let target = targets.get(host.name.as_str()).copied();
        (StartRef::new(host, target), ListedHost { host, target })
    });
    found.collect()
}

/// The names of all hosts that two lists may show in other ways, found without looking each of them up: of a list of a
/// thousand hosts, a change concerns one or two.
fn changed_hosts<'a>(before: &'a Fleet, after: &'a Fleet) -> HashSet<&'a str> {
    let hosts = differing(&before.hosts, &after.hosts).map(|host| host.name.as_str());
    let targets = differing(&before.targets, &after.targets).map(|target| target.host.as_str());
    hosts.chain(targets).collect()
}

/// What stands in two lists between their common beginning and their common end.
fn differing<'a, T: PartialEq>(before: &'a [T], after: &'a [T]) -> impl Iterator<Item = &'a T> {
    let start = before.iter().zip(after).take_while(|(before, after)| before == after).count();
    let (before, after) = (&before[start..], &after[start..]);
    let end =
        before.iter().rev().zip(after.iter().rev()).take_while(|(before, after)| before == after).count();
    before[..before.len() - end].iter().chain(&after[..after.len() - end])
}

fn forget_old<K: Clone + Eq + Hash, T>(words: &mut HashMap<K, Heard<T>>, now: Instant) {
    words.retain(|_, heard| now < heard.at + REMEMBERED_FOR);
    while words.len() > WORDS_MAX {
        let oldest = words.iter().min_by_key(|(_, heard)| heard.at).map(|(key, _)| key.clone());
        oldest.map(|key| words.remove(&key));
    }
}
