//! Control instances that an entry knows.

use std::net::SocketAddr;
use std::sync::Arc;

use chestnutvalve_entry::link::Link;

fn addresses(ports: &[u16]) -> Vec<SocketAddr> {
    let address = |port: &u16| SocketAddr::from(([127, 0, 0, 1], *port));
    ports.iter().map(address).collect()
}

/// Guards against a deadlock between the two lists: a reload stopped the whole entry.
#[test]
fn a_reload_adds_the_new_addresses_to_the_known_members() {
    let link = Link::new(&addresses(&[1, 2, 3]), &Arc::default());
    link.adopt(&addresses(&[2, 3, 4]));
    link.configure(&addresses(&[4, 5]));
    assert_eq!(link.addresses(), addresses(&[2, 3, 4, 5]));
}

/// Guards against an entry that forgets all control instances because one answered before it knew the group.
#[test]
fn an_empty_list_of_members_is_not_adopted() {
    let link = Link::new(&addresses(&[1]), &Arc::default());
    link.adopt(&[]);
    assert_eq!(link.addresses(), addresses(&[1]));
}
