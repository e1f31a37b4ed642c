//! A chain of three services: the runs of the first call the second, whose runs call the third.

use laurelstall_chains::{
    call_end::NestedOutcome,
    chain_table::{ChainTable, Verdict},
};
use laurelstall_overload::call_level::{BUCKETS, CallLevel};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const CLASS: u32 = 1;
const IMPORTANCE: u8 = 40;
const START_US: u64 = 1_000_000;
/// Interval of the calls: 50 a second.
const INTERVAL_US: u64 = 20_000;

/// What a guard of the first two services has learned, and the name of the service that its runs call.
struct Hop {
    table: ChainTable,
    next: &'static str,
}

impl Hop {
    fn new(next: &'static str) -> Self {
        Self { table: ChainTable::default(), next }
    }

    /// Sends a call to the guard; `call_next` makes the call of its run.
    fn call(
        &mut self,
        level: CallLevel,
        now_us: u64,
        call_next: impl FnOnce() -> NestedOutcome,
    ) -> NestedOutcome {
        if let Verdict::Refuse { .. } = self.table.decide(CLASS, level, now_us).verdict {
            return NestedOutcome::RefusedByLevel;
        }
        let run = self.table.begin_run(CLASS, now_us).expect("few runs");
        self.table.note_call(run, self.next, now_us);
        let outcome = call_next();
        self.table.note_outcome((CLASS, run), self.next, level, outcome, now_us);
        let has_succeeded = outcome == NestedOutcome::Answered;
        self.table.end_run(run, has_succeeded);
        if has_succeeded { NestedOutcome::Answered } else { NestedOutcome::Failed }
    }
}

/// A failure must be known at the start of the chain, and its end too, though each guard learns of it from the next one.
#[test]
fn a_failure_and_its_end_are_known_at_the_start_of_the_chain() {
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut first, mut second) = (Hop::new("second"), Hop::new("third"));
        let mut now_us = START_US;
        let mut run = |seconds: u64, last: NestedOutcome| {
            let (mut calls, mut refused, mut answered) = (0, 0, 0);
            let until_us = now_us + seconds * 1_000_000;
            while now_us < until_us {
                let level = CallLevel { importance: IMPORTANCE, bucket: rng.random_range(0..BUCKETS) };
                let outcome = first.call(level, now_us, || second.call(level, now_us, || last));
                calls += 1;
                refused += usize::from(outcome == NestedOutcome::RefusedByLevel);
                answered += usize::from(outcome == NestedOutcome::Answered);
                now_us += INTERVAL_US;
            }
            (calls, refused, answered)
        };
        run(3, NestedOutcome::Answered);
        run(1, NestedOutcome::Failed);
        let (calls, refused, _) = run(4, NestedOutcome::Failed);
        // One call in 100 ms is let through, and a few of levels that were not refused lately.
        assert!(refused * 10 >= calls * 7, "{refused} of {calls} refused, seed {seed}");
        run(1, NestedOutcome::Answered);
        let (calls, _, answered) = run(2, NestedOutcome::Answered);
        assert_eq!(answered, calls, "recovery was not noticed, seed {seed}");
    }
}
