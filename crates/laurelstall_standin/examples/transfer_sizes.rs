//! Compares the bytes that a configuration change takes on the wire: as a full document, compressed, or as a delta.
//!
//! Applies the changes of one day to the documents of the reference deployment. Run it with
//! `cargo run --release -p laurelstall_standin --example transfer_sizes`.

use laurelstall_peer::delta::{pack_delta, pack_whole, unpack_delta};
use laurelstall_standin::fleet_bench::team_documents;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::time::Instant;

const CHANGES_PER_DAY: usize = 730;
const TARGETS: usize = 550;
const SECONDS_PER_DAY: f64 = 86_400.0;

fn main() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut documents = team_documents(TARGETS);
    let all: usize = documents.iter().map(|(_, text)| text.len()).sum();
    let (mut full, mut packed, mut delta) = (0, 0, 0);
    let mut delta_us = 0;
    for _ in 0..CHANGES_PER_DAY {
        let number = rng.random_range(0..documents.len());
        let (_, text) = &mut documents[number];
        let changed = change(text, &mut rng);
        full += changed.len();
        packed += pack_whole(&changed).len();
        let started = Instant::now();
        let bytes = pack_delta(text, &changed);
        let rebuilt = unpack_delta(text, &bytes, changed.len()).expect("the delta applies to its base");
        delta_us += started.elapsed().as_micros();
        assert_eq!(rebuilt, changed);
        delta += bytes.len();
        *text = changed;
    }
    let show = |name: &str, bytes: usize| {
        let each = bytes as f64 / CHANGES_PER_DAY as f64;
        println!(
            "{name:34} {each:8.0} bytes a change {:8.1} bytes/s a node a day",
            bytes as f64 / SECONDS_PER_DAY
        );
    };
    println!("{} documents of {all} bytes together", documents.len());
    show("the team's document whole", full);
    show("the team's document with zstd", packed);
    show("zstd against the last version", delta);
    println!("packing and rebuilding a delta takes {} us", delta_us / CHANGES_PER_DAY as u128);
}

/// Simulates a deploy, which removes a target, adds one, or changes a limit.
fn change(text: &str, rng: &mut SmallRng) -> String {
    let targets = text.matches("[[service.target]]").count();
    let number = rng.random_range(0..1_000);
    match rng.random_range(0..3) {
        0 if targets > 10 => {
            let start = text.rfind("[[service.target]]").unwrap_or(text.len());
            text[..start].to_owned()
        }
        1 => format!(
            "{text}\n[[service.target]]\nname = \"new-{targets}-{number}\"\nhost = \"new-{targets}-{number}\"\nslots = 12\n"
        ),
        _ => {
            let line = text.lines().find(|line| line.starts_with("queue_wait_max_ms")).unwrap_or_default();
            text.replacen(line, &format!("queue_wait_max_ms = {}", 500 + number), 1)
        }
    }
}
