//! Assignment of hosts to the entries that their callers should use.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chestnutvalve_entry::gateway::assignment::addresses;
use chestnutvalve_model::control::State;
use chestnutvalve_model::directory::Member;
use chestnutvalve_model::id::{Entry, Incarnation, Zone};
use chestnutvalve_routing::bandwidth::Link;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use tokio::time::{Duration, Instant};

fn state(entries: u16, link_mbps: u32) -> State {
    let mut state = State::default();
    for n in 0..entries {
        let address = SocketAddr::from(([127, 0, 0, 1], 10_000 + n));
        state.directory.join(&Member {
            entry: Entry::new(&format!("e{n}")).unwrap(),
            incarnation: Incarnation(1),
            zone: Zone::new("z1").unwrap(),
            callers: address,
            gateway: Some(address),
            link_mbps,
            platform: address,
            peers: address,
            draining: false,
        });
    }
    state
}

/// Guards against address answers that grow with the fleet, and against hosts without a second entry.
#[rstest]
#[case::narrow(45, 2, 45)]
#[case::narrow_large(90, 2, 64)]
#[case::wide(17, 1_000, 2)]
#[case::single(1, 2, 1)]
fn the_number_of_addresses_depends_on_the_links(
    #[case] entries: u16,
    #[case] link_mbps: u32,
    #[case] expected: usize,
) {
    let state = state(entries, link_mbps);
    let zone = Zone::new("z1").unwrap();
    assert_eq!(addresses(&state, "a.example", Some(&zone)).len(), expected);
}

/// Load pattern: callers of one zone send reservations of 4.4 kB over 45 links of 2 megabits per second, 300 per second
/// and for three seconds 600. Each request uses a random one of the addresses.
///
/// Guards against requests that wait for half of their target of 600 ms on the links although other links are idle.
#[test]
fn a_burst_of_small_requests_does_not_fill_the_links() {
    const LINK_MBPS: u32 = 2;
    const REQUEST_BYTES: usize = 4_400;
    const HALF_OF_TARGET: Duration = Duration::from_millis(300);
    let zone = Zone::new("z1").unwrap();
    let used = addresses(&state(45, LINK_MBPS), "a.example", Some(&zone));
    let start = Instant::now().into_std();
    let mut links: BTreeMap<SocketAddr, Link> = BTreeMap::new();
    let mut rng = StdRng::seed_from_u64(1);
    let (mut late, mut sent) = (0_u32, 0_u32);
    for ms in 0..10_000_u64 {
        let per_10_ms = if (3_000..6_000).contains(&ms) { 6 } else { 3 };
        if ms % 10 >= per_10_ms {
            continue;
        }
        let now = start + Duration::from_millis(ms);
        let address = used[rng.random_range(0..used.len())];
        let link = links.entry(address).or_insert_with(|| Link::new(LINK_MBPS));
        let done = link.reserve(now, REQUEST_BYTES);
        sent += 1;
        late += u32::from(done > now + HALF_OF_TARGET);
    }
    assert!(late * 100 < sent, "{late} of {sent}");
}
