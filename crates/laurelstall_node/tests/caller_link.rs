//! Which connections of callers pass over the link.

use laurelstall_node::caller_link::is_over_link;
use std::net::IpAddr;

fn ip(text: &str) -> IpAddr {
    text.parse().expect("an IP address")
}

/// Guards against paced answers to callers on the same host, and unpaced ones to callers behind the link.
#[test]
fn only_connections_of_other_hosts_pass_over_the_link() {
    for (caller, own, expected) in [
        ("10.0.0.1", "10.0.0.1", false),
        ("10.0.0.2", "10.0.0.1", true),
        ("127.0.0.1", "127.0.0.1", false),
        ("127.0.0.1", "127.0.0.2", false),
        ("::1", "::1", false),
        ("::ffff:10.0.0.1", "10.0.0.1", false),
        ("fd00::2", "fd00::1", true),
    ] {
        assert_eq!(is_over_link(ip(caller), ip(own)), expected, "{caller} to {own}");
    }
}
