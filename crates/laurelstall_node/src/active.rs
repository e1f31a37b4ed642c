//! The configuration in force with its compiled programs, swapped as one value.

use crate::metrics::{latency_histogram, observe_us};
use arc_swap::ArcSwap;
use laurelstall_config::{
    configuration::{Checked, Configuration},
    document::{Document, DocumentName},
    fleet::{Fleet, FleetTarget},
    problem::{Checker, ConfigError},
    system::SpreadLimits,
    team::Team,
};
use laurelstall_peer::{
    carried_news::CarriedNews,
    recent_fleet::{REGISTER_GRACE, RecentFleet},
    spread::SpreadView,
    store::Acceptor,
};
use laurelstall_policy::program::{Program, ProgramError};
use laurelstall_workspace::key_directory::KeyDirectory;
use prometheus_client::metrics::histogram::Histogram;
use std::{
    collections::BTreeMap,
    future::pending,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};
use tokio::{
    sync::watch,
    time::{Duration, Instant, sleep_until},
};

/// The configuration in force.
#[derive(Debug, Default)]
pub struct InForce {
    /// The documents.
    pub configuration: Configuration,
    /// The compiled program of each team.
    pub programs: BTreeMap<String, Arc<Program>>,
    /// The workspaces of each team by their keys.
    pub keys: BTreeMap<String, Arc<KeyDirectory>>,
    /// Grows with each change, to tell whether something derived from it is out of date.
    pub generation: u64,
}

/// Most targets that one log line names: a list may lack hundreds.
const NAMES_LOGGED_MAX: usize = 8;

/// Holds the configuration in force and takes new documents into it.
#[derive(Debug)]
pub struct Active {
    in_force: ArcSwap<InForce>,
    /// Held while the next value is made: of two made from the same one, the first would be lost.
    changing: Mutex<()>,
    changed: watch::Sender<u64>,
    /// Until when targets are kept although the list lacks them, after the platform was away.
    keeps_until: Mutex<Option<Instant>>,
    /// The list of hosts as it was published, and what was said before the platform came back from an older copy.
    recent: Mutex<RecentFleet>,
    /// Times that the platform came back from an older copy, as far as its lists tell.
    pub returns: AtomicU64,
    /// How long after a node read it from the platform each version came in force here.
    pub delays: Histogram,
}

impl Active {
    /// Starts with nothing in force.
    pub fn new() -> Arc<Self> {
        let (changed, _) = watch::channel(0);
        Arc::new(Self {
            in_force: ArcSwap::default(),
            changing: Mutex::default(),
            changed,
            keeps_until: Mutex::default(),
            recent: Mutex::default(),
            returns: AtomicU64::new(0),
            delays: latency_histogram(),
        })
    }

    /// The configuration in force now; a request keeps to the one it started with.
    pub fn load(&self) -> Arc<InForce> {
        self.in_force.load_full()
    }

    /// Waits until the list in force changes though none is taken, since hosts that are kept have had their time, or what
    /// was carried over a return of the platform has; for ever when there is nothing of the kind.
    pub async fn follow_time(&self) {
        let kept_end = *self.keeps_until();
        let carried_end = self.recent().next_change(Instant::now());
        let Some(next) = kept_end.into_iter().chain(carried_end).min() else { return pending().await };
        sleep_until(next).await;
        self.refresh_fleet();
    }

    /// Puts the list in force that holds now, if it is another one.
    fn refresh_fleet(&self) {
        let _changing = self.changing();
        let old = self.in_force.load_full();
        let before = &old.configuration.fleet;
        let listed = self.recent().fleet(Instant::now());
        let fleet = self.with_lapsed(listed, before);
        if fleet == *before {
            return;
        }
        let missing = before.targets.len().saturating_sub(fleet.targets.len());
        if missing > 0 {
            log::info!("{missing} targets are still missing from the list: they are gone");
        }
        let version = old.configuration.version(&DocumentName::Fleet);
        let checked = Checked::Fleet(fleet);
        let configuration = old.configuration.with_document(&DocumentName::Fleet, version, checked);
        self.put_in_force(InForce {
            configuration,
            programs: old.programs.clone(),
            keys: old.keys.clone(),
            generation: old.generation + 1,
        });
    }

    fn put_in_force(&self, in_force: InForce) {
        let generation = in_force.generation;
        self.in_force.store(Arc::new(in_force));
        self.changed.send_replace(generation);
    }

    /// The list to put in force for one of the platform's: as far as it does not know better what was said before the
    /// platform came back from an older copy, and with what it lacks while registrations may have run out.
    fn corrected(&self, listed: Arc<Fleet>, era: u64, before: &Fleet) -> Arc<Fleet> {
        let now = Instant::now();
        let mut recent = self.recent();
        let has_returned = recent.take(listed, era, before, now);
        let corrected = recent.fleet(now);
        let carried = has_returned.then(|| recent.carried_numbers());
        drop(recent);
        if let Some(carried) = carried {
            self.returns.fetch_add(1, Ordering::Relaxed);
            log::warn!("the platform came back from an older copy, era {era}: {carried}");
        }
        self.with_lapsed(corrected, before)
    }

    /// A list with the targets that it lacks, while registrations may have run out.
    fn with_lapsed(&self, listed: Arc<Fleet>, before: &Fleet) -> Arc<Fleet> {
        let mut keeps_until = self.keeps_until();
        // A list that comes when their time is over is taken as it is.
        keeps_until.take_if(|until| Instant::now() >= *until);
        if keeps_until.is_none() {
            return listed;
        }
        drop(keeps_until);
        let Some(kept) = listed.with_lost_targets(before) else { return listed };
        // The kept ones stand behind those that are listed.
        let missing = &kept.targets[listed.targets.len()..];
        let count = missing.len();
        let names = first_names(missing);
        log::info!(
            "{count} targets are missing from the list after the platform was away: kept for now: {names}"
        );
        Arc::new(kept)
    }

    fn changing(&self) -> MutexGuard<'_, ()> {
        self.changing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn keeps_until(&self) -> MutexGuard<'_, Option<Instant>> {
        self.keeps_until.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn recent(&self) -> MutexGuard<'_, RecentFleet> {
        self.recent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells of each change, by generation.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}

/// The names of the first few targets, for a log line.
fn first_names(targets: &[FleetTarget]) -> String {
    let names = targets.iter().take(NAMES_LOGGED_MAX).map(|target| format!("'{}'", target.name));
    names.collect::<Vec<_>>().join(", ")
}

/// Checks a document as a node does before it takes it, its program included.
///
/// # Errors
///
/// All faults found.
pub fn check_document(document: &Document) -> Result<(Checked, Option<Program>), ConfigError> {
    let checked = Checked::from_document(document)?;
    let Checked::Team(team) = &checked else { return Ok((checked, None)) };
    if team.program.is_empty() {
        return Ok((checked, None));
    }
    let program = compile(document, team)?;
    Ok((checked, Some(program)))
}

fn compile(document: &Document, team: &Team) -> Result<Program, ConfigError> {
    let file = document.name.to_string();
    let mut check = Checker::new(&file, &document.text);
    let error = match Program::compile(&team.program) {
        Ok(program) => return Ok(program),
        Err(error) => error,
    };
    // A text that starts on the line after its quotes counts its own lines from there.
    let start = document.text.lines().enumerate().find(|(_, line)| line.trim_start().starts_with("program"));
    let start = start.map_or(0, |(index, line)| index + usize::from(line.trim_end().ends_with("\"\"\"")));
    let offset = match &error {
        ProgramError::Compile(line, _) => *line,
        _ => 0,
    };
    check.push(start + offset.max(1), "program", &error.to_string());
    check.finish()?;
    unreachable!("a problem was noted")
}

impl Acceptor for Active {
    fn accept(&self, document: &Document) -> Result<(), ConfigError> {
        let (checked, program) = check_document(document)?;
        let _changing = self.changing();
        let old = self.in_force.load_full();
        let checked = match checked {
            Checked::Fleet(listed) => {
                let before = &old.configuration.fleet;
                Checked::Fleet(self.corrected(listed, document.version.era, before))
            }
            other => other,
        };
        let configuration = old.configuration.with_document(&document.name, document.version, checked);
        let mut programs = old.programs.clone();
        let mut keys = old.keys.clone();
        if let DocumentName::Team(team) = &document.name {
            let directory = configuration.teams.get(team).map(|team| Arc::new(KeyDirectory::new(team)));
            keys.extend(directory.map(|directory| (team.clone(), directory)));
            programs.remove(team);
            programs.extend(program.map(|program| (team.clone(), Arc::new(program))));
        }
        for (host, holder, loser) in configuration.caller_host_conflicts() {
            log::error!("caller host '{host}' is claimed by team {loser} but held by team {holder}");
        }
        self.put_in_force(InForce { configuration, programs, keys, generation: old.generation + 1 });
        Ok(())
    }

    fn carried_hash(&self) -> u64 {
        self.recent().hash(Instant::now())
    }

    fn carried(&self) -> Option<CarriedNews> {
        self.recent().news(Instant::now())
    }

    fn take_carried(&self, news: &CarriedNews) {
        if self.recent().take_news(news, Instant::now()) {
            log::info!("the list of hosts is corrected by what another node carries, era {}", news.era);
        }
        self.refresh_fleet();
        // Whoever waits for the end of the time must look at it anew.
        self.changed.send_replace(self.in_force.load().generation);
    }

    fn note_delay(&self, delay_us: u64) {
        observe_us(&self.delays, delay_us);
    }

    fn expect_lapsed(&self, returned_age_ms: u64) {
        // Counted from the return itself: whoever hears of it late must not keep a target that has left for longer.
        let left = REGISTER_GRACE.saturating_sub(Duration::from_millis(returned_age_ms));
        let mut keeps_until = self.keeps_until();
        if left.is_zero() || keeps_until.is_some() {
            return;
        }
        *keeps_until = Some(Instant::now() + left);
        drop(keeps_until);
        // Whoever waits for the end of the time must look at it anew.
        self.changed.send_replace(self.in_force.load().generation);
    }
}

impl SpreadView for Active {
    fn fleet(&self) -> Arc<Fleet> {
        self.in_force.load().configuration.fleet.clone()
    }

    fn spread(&self) -> SpreadLimits {
        self.in_force.load().configuration.system.spread
    }
}
