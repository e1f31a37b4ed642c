//! Measures how long a node takes to compare two lists of hosts, and to correct a list after a restore of
//! the platform, for several fleet sizes.

use laurelstall_config::fleet::{Fleet, FleetTarget, Host, HostState, host_name};
use laurelstall_peer::fleet_corrector::FleetCorrector;
use std::{net::IpAddr, sync::Arc};
use tokio::time::Instant;

const SIZES: [usize; 4] = [13, 300, 1_000, 2_000];
const ROUNDS: u32 = 200;

fn list(hosts: usize, changed: usize) -> Arc<Fleet> {
    let ip = |index: usize| IpAddr::from([10, 0, (index / 250) as u8, (index % 250) as u8]);
    let host = |index: usize| Host {
        name: host_name(ip(index)),
        node_address: (ip(index), 8_124).into(),
        data_centre: "hall-a".to_owned(),
        state: if index == changed { HostState::Leaving } else { HostState::Live },
    };
    let target = |index: usize| FleetTarget {
        service: "main/shop".to_owned(),
        name: format!("i-{index}"),
        host: host_name(ip(index)),
        slots: 12,
        cold_ms: 0,
        started_unix_ms: 0,
    };
    Arc::new(Fleet {
        evacuated: Vec::new(),
        hosts: (0..hosts).map(host).collect(),
        targets: (0..hosts).map(target).collect(),
    })
}

fn main() {
    for hosts in SIZES {
        let mut recent = FleetCorrector::default();
        let lists = [list(hosts, 1), list(hosts, 2)];
        let now = Instant::now();
        recent.update(lists[0].clone(), 0, &Fleet::default(), now);
        let started = Instant::now();
        for round in 0..ROUNDS as usize {
            recent.update(lists[(round + 1) % 2].clone(), 0, &lists[round % 2], now);
            recent.fleet(now);
        }
        let compared = started.elapsed() / ROUNDS;
        let started = Instant::now();
        for round in 0..ROUNDS as usize {
            recent.update(lists[(round + 1) % 2].clone(), 1 + round as u64, &lists[round % 2], now);
            recent.fleet(now);
        }
        let corrected = started.elapsed() / ROUNDS;
        println!("{hosts} hosts: compared in {compared:.1?}, corrected in {corrected:.1?}");
    }
}
