//! A simulation of one service: how soon a request that crashes targets is quarantined, and how often a harmless one
//! is.
//!
//! Half of the harmless requests are unique and retried once by their callers, the other half are a few frequent ones.
//! Crashes start after five seconds, because a service that has just started has no successful runs to clear them.

use laurelstall_crash::{
    crash_record::TargetCrash,
    crash_table::{CrashTable, RequestStatus},
    request_digest::RequestDigest,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const TARGETS: usize = 4;
const SLOTS: usize = 12;
const HARMLESS_PER_S: f64 = 100.0;
const FREQUENT_REQUESTS: u64 = 20;
const RUN_MS: i64 = 120;
const HARMFUL_RUN_MS: i64 = 80;
const REPORT_DELAY_MS: i64 = 50;
const FAULTS_START_MS: i64 = 5_000;
const DOWN_MS: i64 = 2_000;
const HARMFUL: u64 = 1_000_000;
const SERVICE: &str = "team/service";

#[derive(Clone, Copy)]
struct Run {
    digest: u64,
    until_ms: i64,
    is_repeat: bool,
}

#[derive(Default)]
struct Target {
    runs: Vec<Run>,
    down_until_ms: i64,
}

/// Rates of events that crash targets.
#[derive(Clone, Copy)]
struct Faults {
    /// Arrivals of the request that crashes targets.
    harmful_per_s: f64,
    /// Crashes of single targets without a request that causes them.
    crashes_per_s: f64,
    /// Crashes of three targets at once.
    rack_crashes_per_s: f64,
}

#[derive(Debug, Default)]
struct Outcome {
    /// Number of targets that the harmful request crashed.
    harmful_crashes: usize,
    /// Time in ms at which the harmful request was first quarantined.
    quarantined_after_ms: Option<i64>,
    /// Number of unique and frequent harmless requests that were quarantined at any time.
    unique_quarantined: usize,
    frequent_quarantined: usize,
    /// Number of harmless requests that were refused because of a quarantine.
    refused: usize,
}

struct Model {
    rng: SmallRng,
    table: CrashTable,
    targets: Vec<Target>,
    /// Reports in transit: time of arrival, id of the crash, and the running requests.
    reports: Vec<(i64, u64, Vec<u64>)>,
    last_unique: u64,
    crashes: u64,
    outcome: Outcome,
}

fn digest(number: u64) -> RequestDigest {
    RequestDigest { whole: number, head: number }
}

impl Model {
    fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            table: CrashTable::default(),
            targets: (0..TARGETS).map(|_| Target::default()).collect(),
            reports: Vec::new(),
            last_unique: FREQUENT_REQUESTS,
            crashes: 0,
            outcome: Outcome::default(),
        }
    }

    fn run(mut self, faults: Faults, seconds: i64) -> Outcome {
        for now_ms in 0..seconds * 1_000 {
            self.receive_reports(now_ms);
            self.finish_runs(now_ms);
            if self.happens(HARMLESS_PER_S) {
                let is_frequent = self.rng.random_bool(0.5);
                let number = if is_frequent {
                    self.rng.random_range(0..FREQUENT_REQUESTS)
                } else {
                    self.next_unique()
                };
                self.arrive(number, false, RUN_MS, now_ms);
            }
            if now_ms < FAULTS_START_MS {
                continue;
            }
            if self.happens(faults.harmful_per_s) {
                self.arrive(HARMFUL, true, HARMFUL_RUN_MS, now_ms);
            }
            if self.happens(faults.crashes_per_s) {
                let index = self.rng.random_range(0..TARGETS);
                self.crash_target(index, now_ms);
            }
            if self.happens(faults.rack_crashes_per_s) {
                self.crash_rack(now_ms);
            }
        }
        self.outcome
    }

    fn happens(&mut self, per_s: f64) -> bool {
        self.rng.random_bool(per_s / 1_000.0)
    }

    fn next_unique(&mut self) -> u64 {
        self.last_unique += 1;
        self.last_unique
    }

    fn is_quarantined(&self, number: u64, now_ms: i64) -> bool {
        let request_status = self.table.request_status(digest(number), now_ms * 1_000);
        matches!(request_status, RequestStatus::Quarantined { .. } | RequestStatus::HalfOpen)
    }

    fn arrive(&mut self, number: u64, is_repeat: bool, run_ms: i64, now_ms: i64) {
        if self.is_quarantined(number, now_ms) {
            self.outcome.refused += usize::from(number != HARMFUL);
            return;
        }
        let is_available = |target: &&mut Target| target.down_until_ms <= now_ms && target.runs.len() < SLOTS;
        let mut available = self.targets.iter_mut().filter(is_available).collect::<Vec<_>>();
        if available.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..available.len());
        available[index].runs.push(Run { digest: number, until_ms: now_ms + run_ms, is_repeat });
    }

    fn finish_runs(&mut self, now_ms: i64) {
        for index in 0..TARGETS {
            let ended =
                self.targets[index].runs.extract_if(.., |run| run.until_ms <= now_ms).collect::<Vec<_>>();
            for run in ended {
                if run.digest == HARMFUL {
                    self.targets[index].runs.push(run);
                    self.crash_target(index, now_ms);
                    self.outcome.harmful_crashes += 1;
                    break;
                }
                self.table.note_success(digest(run.digest), now_ms * 1_000);
            }
        }
    }

    fn crash_target(&mut self, index: usize, now_ms: i64) {
        if self.targets[index].down_until_ms > now_ms {
            return;
        }
        let lost = self.take_down(index, now_ms);
        self.repeat(lost, now_ms);
    }

    /// Crashes three targets at once and then retries the requests that they ran.
    fn crash_rack(&mut self, now_ms: i64) {
        let is_up = |target: &Target| target.down_until_ms <= now_ms;
        let crashed = (0..3).filter(|index| is_up(&self.targets[*index])).collect::<Vec<_>>();
        let mut lost = Vec::new();
        for index in crashed {
            lost.extend(self.take_down(index, now_ms));
        }
        self.repeat(lost, now_ms);
    }

    /// Crashes a target and returns the runs that are lost.
    fn take_down(&mut self, index: usize, now_ms: i64) -> Vec<Run> {
        let target = &mut self.targets[index];
        target.down_until_ms = now_ms + DOWN_MS;
        let runs = std::mem::take(&mut target.runs);
        self.crashes += 1;
        self.reports.push((
            now_ms + REPORT_DELAY_MS,
            self.crashes,
            runs.iter().map(|run| run.digest).collect(),
        ));
        runs
    }

    fn repeat(&mut self, lost: Vec<Run>, now_ms: i64) {
        for run in lost.into_iter().filter(|run| !run.is_repeat && run.digest != HARMFUL) {
            self.arrive(run.digest, true, RUN_MS, now_ms);
        }
    }

    fn receive_reports(&mut self, now_ms: i64) {
        let received = self.reports.extract_if(.., |(at_ms, ..)| *at_ms <= now_ms).collect::<Vec<_>>();
        for (_, id, numbers) in received {
            let before =
                numbers.iter().map(|number| self.is_quarantined(*number, now_ms)).collect::<Vec<_>>();
            let digests = numbers.iter().map(|number| digest(*number)).collect::<Vec<_>>();
            let crash = TargetCrash { id, at_us: (now_ms - REPORT_DELAY_MS) * 1_000 };
            self.table.note_crash(crash, SERVICE, &digests, now_ms * 1_000);
            for (number, was_quarantined) in numbers.iter().zip(before) {
                if !was_quarantined && self.is_quarantined(*number, now_ms) {
                    self.note_quarantined(*number, now_ms);
                }
            }
        }
    }

    fn note_quarantined(&mut self, number: u64, now_ms: i64) {
        match number {
            HARMFUL => self.outcome.quarantined_after_ms = self.outcome.quarantined_after_ms.or(Some(now_ms)),
            number if number < FREQUENT_REQUESTS => self.outcome.frequent_quarantined += 1,
            _ => self.outcome.unique_quarantined += 1,
        }
    }
}

/// Makes `runs` simulations of `seconds` each.
fn simulate(runs: u64, seconds: i64, faults: Faults) -> Vec<Outcome> {
    (0..runs).map(|seed| Model::new(seed).run(faults, seconds)).collect()
}

fn mean(outcomes: &[Outcome], figure: impl Fn(&Outcome) -> usize) -> f64 {
    outcomes.iter().map(figure).sum::<usize>() as f64 / outcomes.len() as f64
}

const NO_FAULTS: Faults = Faults { harmful_per_s: 0.0, crashes_per_s: 0.0, rack_crashes_per_s: 0.0 };

#[test]
fn a_request_that_crashes_targets_is_always_quarantined() {
    for harmful_per_s in [0.5, 5.0, 20.0] {
        let outcomes = simulate(100, 30, Faults { harmful_per_s, ..NO_FAULTS });
        let crashes = mean(&outcomes, |outcome| outcome.harmful_crashes);
        let most = outcomes.iter().map(|outcome| outcome.harmful_crashes).max();
        let unique = mean(&outcomes, |outcome| outcome.unique_quarantined);
        let frequent = mean(&outcomes, |outcome| outcome.frequent_quarantined);
        let refused = mean(&outcomes, |outcome| outcome.refused);
        println!(
            "{harmful_per_s}/s: crashes {crashes:.2}, most {most:?}, quarantined unique {unique:.2} frequent {frequent:.2}, \
             refused {refused:.2}"
        );
        assert!(outcomes.iter().all(|outcome| outcome.quarantined_after_ms.is_some()));
        assert!(crashes < 4.1, "{crashes} crashes until the request was quarantined");
        assert!(frequent < 0.1 && refused < 1.0, "{frequent} quarantined, {refused} refused");
    }
}

#[test]
fn crashes_without_a_cause_in_a_request_cause_hardly_any_quarantine() {
    for (crashes_per_s, rack_crashes_per_s) in [(0.1, 0.0), (0.0, 0.05), (0.5, 0.1)] {
        let outcomes = simulate(20, 200, Faults { crashes_per_s, rack_crashes_per_s, ..NO_FAULTS });
        let unique = mean(&outcomes, |outcome| outcome.unique_quarantined);
        let frequent = mean(&outcomes, |outcome| outcome.frequent_quarantined);
        let refused = mean(&outcomes, |outcome| outcome.refused);
        println!(
            "crashes {crashes_per_s}/s, racks {rack_crashes_per_s}/s: quarantined unique {unique:.2} frequent {frequent:.2}, \
             refused {refused:.2}"
        );
        assert!(refused < 1.0, "{refused} of 20,000 requests refused");
    }
}
