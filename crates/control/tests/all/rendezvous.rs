//! Tests of the announcements of the group.

use std::time::Duration;

use chestnutvalve_control::daemon::locator;
use chestnutvalve_control::rendezvous::Rendezvous;
use chestnutvalve_kernel::Registry;
use tokio::time::{Instant, sleep};

use crate::harness::{Cluster, WAIT_TIMEOUT, free_address};

/// Time in which each announcing member sends several announcements.
const ANNOUNCEMENT_PERIOD: Duration = Duration::from_secs(2);

/// Guards against announcements by all relays of a large fleet, which would overload the few configured instances.
#[tokio::test(flavor = "multi_thread")]
async fn only_voters_announce_the_group() {
    let cluster = Cluster::start(1).await;
    let relay = cluster.launch_relay().await;
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while relay.instance.is_stale() {
        assert!(Instant::now() < deadline, "the relay does not follow");
        sleep(Duration::from_millis(20)).await;
    }
    let (address, observed) = (free_address(), Rendezvous::default());
    let mut registry = Registry::default();
    registry
        .register(locator::service(address, &observed))
        .expect("register the locator");
    registry.start().await.expect("start the locator");

    relay.instance.rendezvous.set_configured(&[address]);
    sleep(ANNOUNCEMENT_PERIOD).await;
    assert!(observed.members().is_empty());

    let (_, voter) = cluster.alive().next().expect("the voter runs");
    voter.instance.rendezvous.set_configured(&[address]);
    sleep(ANNOUNCEMENT_PERIOD).await;
    assert_eq!(observed.members().len(), 2);
}
