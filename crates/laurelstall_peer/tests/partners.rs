//! Choice of readers and partners.

use laurelstall_config::fleet::{Fleet, Host, HostState};
use laurelstall_peer::partners::{pick_partners, preceding_hosts};
use std::collections::{HashSet, VecDeque};

fn fleet(hosts: usize) -> Fleet {
    let host = |n: usize| Host {
        name: format!("h-{n}"),
        node_address: ([127, 0, 0, 1], 1_000 + n as u16).into(),
        data_centre: format!("dc-{}", n % 4),
        state: HostState::Live,
    };
    Fleet { hosts: (0..hosts).map(host).collect(), ..Fleet::default() }
}

fn readers(fleet: &Fleet) -> Vec<String> {
    let reads = |host: &&Host| preceding_hosts(fleet, &host.name, &host.data_centre).len() < 2;
    fleet.hosts.iter().filter(reads).map(|host| host.name.clone()).collect()
}

#[test]
fn each_data_centre_has_its_readers_for_any_fleet_size() {
    for hosts in [8, 80, 550] {
        assert_eq!(readers(&fleet(hosts)).len(), 8, "{hosts} hosts");
    }
}

#[test]
fn a_host_that_leaves_changes_one_reader_at_most() {
    let mut fleet = fleet(80);
    let before = readers(&fleet).into_iter().collect::<HashSet<_>>();
    let leaving = before.iter().next().cloned().expect("there are readers");
    let host = fleet.hosts.iter_mut().find(|host| host.name == leaving).expect("it is in the list");
    host.state = HostState::Leaving;
    let after = readers(&fleet).into_iter().filter(|name| *name != leaving).collect::<HashSet<_>>();
    assert!(after.difference(&before).count() <= 1);
}

#[test]
fn partners_are_local_and_remote_nodes_but_never_the_node_itself() {
    let fleet = fleet(80);
    for seed in 0..50 {
        let partners = pick_partners(&fleet, "h-0", "dc-0", 6, seed);
        let local = partners.iter().filter(|host| host.data_centre == "dc-0").count();
        assert_eq!((partners.len(), local), (6, 5));
        assert!(partners.iter().all(|host| host.name != "h-0"));
    }
}

#[test]
fn updates_reach_all_550_hosts_in_few_hops() {
    let fleet = fleet(550);
    let partners = |n: usize| pick_partners(&fleet, &format!("h-{n}"), &format!("dc-{}", n % 4), 6, n as u64);
    let mut hops = vec![None; 550];
    hops[0] = Some(0);
    let mut queue = VecDeque::from([0]);
    while let Some(at) = queue.pop_front() {
        for partner in partners(at) {
            let next = partner.node_address.port() as usize - 1_000;
            if hops[next].is_none() {
                hops[next] = hops[at].map(|hop| hop + 1);
                queue.push_back(next);
            }
        }
    }
    // Nodes that are nobody's partner learn of versions through their own exchanges.
    let missed = hops.iter().filter(|hop| hop.is_none()).count();
    assert!(missed <= 6, "{missed}");
    assert!(hops.iter().flatten().max() <= Some(&8));
}
