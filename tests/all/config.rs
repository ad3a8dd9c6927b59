//! P7: an accepted configuration is in force at all entries within seconds and never reverts to an older version.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_bench::client::Http;
use chestnutvalve_bench::fleet::{operator, until};
use chestnutvalve_bench::forward::Mode;
use chestnutvalve_bench::load::{Call, Caller, Verdict};
use chestnutvalve_model::config::{Change, Document, Edit, Exception, Overrides};
use chestnutvalve_model::version::Version;
use rand::RngExt;
use tokio::time::sleep;

use crate::once::leader;
use crate::support::{self, Running, STATE_TIMEOUT, lookup};

/// Maximum attempts to get a definite response to a change.
const MAX_ATTEMPTS: usize = 100;

fn edit(id: &str, timeout_ms: u32) -> Edit {
    Edit::PutException(Exception {
        id: id.to_owned(),
        reason: "test".into(),
        on: chestnutvalve_model::config::Match {
            path: Some(format!("/{id}")),
            ..Default::default()
        },
        set: Overrides {
            timeout_ms: Some(timeout_ms),
            ..Overrides::default()
        },
    })
}

fn timeout_of(document: &Document, id: &str) -> Option<u32> {
    document.exceptions.get(id)?.set.timeout_ms
}

/// Polls the versions in force at the entries and fails when one decreases.
struct VersionMonitor(tokio::task::JoinHandle<()>);

impl VersionMonitor {
    fn start(fleet: &Running) -> Self {
        let entries: Vec<_> = fleet.entries.iter().map(|e| e.platform).collect();
        let http = Http::new();
        Self(tokio::spawn(async move {
            let mut seen = vec![Version::ZERO; entries.len()];
            loop {
                for (at, entry) in entries.iter().enumerate() {
                    let response = http.get(*entry, "/v1/status", Duration::from_secs(2)).await;
                    let Ok(response) = response else { continue };
                    let Ok(version) = operator::version(&response.json()["version"]) else {
                        continue;
                    };
                    assert!(
                        version >= seen[at],
                        "entry {at} went from {} to {version}",
                        seen[at]
                    );
                    seen[at] = version;
                }
                sleep(Duration::from_millis(30)).await;
            }
        }))
    }

    async fn check(self) {
        assert!(
            !self.0.is_finished(),
            "an entry reverted to an older version: {:?}",
            self.0.await
        );
        self.0.abort();
    }
}

/// Sends a change until the response is definite; returns `None` for a version conflict.
async fn submit_until_decided(fleet: &Running, first: usize, change: &Change) -> Option<Version> {
    for at in first..first + MAX_ATTEMPTS {
        let control = &fleet.controls[at % fleet.controls.len()];
        let response = fleet.propose(control.operators, change).await;
        if let Ok(response) = response {
            if response.status.is_success() {
                return Some(operator::version(&response.json()["version"]).unwrap());
            }
            if response.json()["code"] == "version_conflict" {
                return None;
            }
        }
        sleep(Duration::from_millis(100)).await;
    }
    panic!("no definite response to change {}", change.id);
}

fn change(id: String, expected: Version, edits: Vec<Edit>) -> Change {
    let (author, reason) = ("operator".to_owned(), "test".to_owned());
    Change {
        id,
        author,
        reason,
        expected,
        edits,
    }
}

/// Guards against two accepted changes with the same expected version, a resend that is applied twice, and an entry that
/// reverts to an older version, while leaders are killed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_of_two_racing_operators_wins_and_resends_get_the_first_result() {
    let mut random = support::random(71);
    let mut fleet = support::start(support::layout()).await;
    let monitor = VersionMonitor::start(&fleet);
    let mut last = Version::ZERO;
    for round in 0..12_u32 {
        let read = until("a configuration", STATE_TIMEOUT, async || {
            let control = &fleet.controls[random.random_range(0..3)];
            fleet
                .config(control.operators)
                .await
                .filter(|(v, _)| *v >= last)
        });
        let (expected, _) = read.await.unwrap();
        let id = format!("race-{round}");
        let competing_change = |operator: u32| {
            change(
                format!("{id}-{operator}"),
                expected,
                vec![edit(&id, 1_000 + operator)],
            )
        };
        let competing = [competing_change(0), competing_change(1)];
        let killed = if round % 4 == 3 {
            leader(&fleet).await
        } else {
            None
        };
        let race = async {
            tokio::join!(
                submit_until_decided(&fleet, 0, &competing[0]),
                submit_until_decided(&fleet, 1, &competing[1])
            )
        };
        let kill = async {
            sleep(Duration::from_millis(random.random_range(0..30))).await;
            if let Some(at) = killed {
                fleet.controls[at].kill();
            }
        };
        let ((a, b), ()) = tokio::join!(race, kill);
        if let Some(at) = killed {
            fleet.controls[at].start().unwrap();
        }
        let winner = match (a, b) {
            (Some(version), None) => (0, version),
            (None, Some(version)) => (1, version),
            other => panic!("round {round}: expected exactly one accepted change, got {other:?}"),
        };
        assert!(winner.1 > last, "version {} after {last}", winner.1);
        last = winner.1;
        let again = submit_until_decided(&fleet, 2, &competing[winner.0]).await;
        assert_eq!(
            again,
            Some(winner.1),
            "the resend returned a different result"
        );
        let document = until("the change readable", STATE_TIMEOUT, async || {
            let config = fleet.config(fleet.controls[0].operators).await;
            config.filter(|(v, _)| *v >= last).map(|(_, d)| d)
        });
        let value = timeout_of(&document.await.unwrap(), &id);
        assert_eq!(value, Some(1_000 + u32::try_from(winner.0).unwrap()));
    }
    fleet.wait_in_force(last, STATE_TIMEOUT).await.unwrap();
    monitor.check().await;
}

/// Guards against entries that stay connected to a control instance with a one-way partition, and against that instance
/// spreading its outdated state after the partition heals.
#[rstest::rstest]
#[case::cannot_send(true)]
#[case::cannot_hear(false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_control_instance_cut_off_one_way_holds_nobody_back(#[case] sends: bool) {
    let mut layout = support::layout();
    layout.links = true;
    let fleet = support::start(layout).await;
    let monitor = VersionMonitor::start(&fleet);
    let cut = until("a leader", STATE_TIMEOUT, async || leader(&fleet).await)
        .await
        .unwrap();
    let name = fleet.controls[cut].name.clone();
    let one_way = |on: bool| {
        for other in fleet.controls.iter().filter(|c| c.name != name) {
            let (from, to) = (
                format!("{name}-{}", other.name),
                format!("{}-{name}", other.name),
            );
            // The instance sends requests on its own connections and responses on those opened by others.
            let (own, others) = if sends {
                (Mode::drop_requests(), Mode::drop_responses())
            } else {
                (Mode::drop_responses(), Mode::drop_requests())
            };
            fleet
                .forwarder(&from)
                .unwrap()
                .set_mode(if on { own } else { Mode::default() });
            fleet
                .forwarder(&to)
                .unwrap()
                .set_mode(if on { others } else { Mode::default() });
        }
    };
    one_way(true);
    let connected = (cut + 1) % 3;
    let mut last = Version::ZERO;
    for round in 0..3_u32 {
        let id = format!("cut-{round}");
        let accepted = until(
            "a change accepted during the partition",
            STATE_TIMEOUT,
            async || {
                let operators = fleet.controls[connected].operators;
                let (expected, _) = fleet.config(operators).await?;
                let change = change(format!("{id}-{expected}"), expected, vec![edit(&id, 2_000)]);
                let response = fleet.propose(operators, &change).await.ok()?;
                operator::version(&response.json()["version"]).ok()
            },
        );
        last = accepted.await.unwrap();
        fleet.wait_in_force(last, STATE_TIMEOUT).await.unwrap();
    }
    one_way(false);
    until(
        "the partitioned instance has caught up",
        STATE_TIMEOUT,
        async || {
            let (version, _) = fleet.config(fleet.controls[cut].operators).await?;
            (version >= last).then_some(())
        },
    )
    .await
    .unwrap();
    monitor.check().await;
}

/// Guards against an entry that starts without its configuration, or with an older one, while no control instance responds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_restarted_without_control_serves_with_the_accepted_configuration() {
    let mut fleet = support::start(support::layout()).await;
    let version = fleet
        .change("before", &[edit("before", 3_000)])
        .await
        .unwrap();
    fleet.wait_in_force(version, STATE_TIMEOUT).await.unwrap();
    for control in &fleet.controls {
        control.kill();
    }
    fleet.entries[0].kill();
    fleet.entries[0].start().unwrap();
    until("the version in force again", STATE_TIMEOUT, async || {
        let found = fleet.version_of(&fleet.entries[0]).await?;
        (found >= version).then_some(())
    })
    .await
    .unwrap();
    let address = fleet.entries[0].callers;
    let caller = Arc::new(Caller::new(vec![address], true));
    until(
        "a response from the restarted entry",
        STATE_TIMEOUT,
        async || {
            let call = Call::new(&lookup(), format!("r-{}", rand::random::<u64>()));
            (caller.call_at(&call, address).await.verdict == Verdict::Good).then_some(())
        },
    )
    .await
    .unwrap();
}

fn copy_directory(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).unwrap();
    for file in std::fs::read_dir(from).unwrap() {
        let file = file.unwrap();
        if file.file_type().unwrap().is_dir() {
            copy_directory(&file.path(), &to.join(file.file_name()));
        } else {
            std::fs::copy(file.path(), to.join(file.file_name())).unwrap();
        }
    }
}

/// Guards against the loss of accepted changes when a data folder is emptied or rolled back and a second instance fails just
/// after the repair. Without a quorum no change may be accepted; with one, all accepted changes must be present.
#[rstest::rstest]
#[case::emptied(false)]
#[case::rolled_back(true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_accepted_change_is_lost_with_a_data_folder(#[case] rolled_back: bool) {
    let mut fleet = support::start(support::layout()).await;
    let monitor = VersionMonitor::start(&fleet);
    let backup = fleet.folder().join("backup");
    fleet.controls[2].kill();
    copy_directory(&fleet.controls[2].data, &backup);
    fleet.controls[2].start().unwrap();

    // A frozen instance misses the changes, so that only the two others store them.
    fleet.controls[1].process().unwrap().freeze().unwrap();
    let mut last = Version::ZERO;
    for round in 0..5_u32 {
        let id = format!("kept-{round}");
        let accepted = until(
            "a change accepted by two of three",
            STATE_TIMEOUT,
            async || {
                let (expected, _) = fleet.config(fleet.controls[0].operators).await?;
                let change = change(format!("{id}-{expected}"), expected, vec![edit(&id, 4_000)]);
                let response = fleet
                    .propose(fleet.controls[0].operators, &change)
                    .await
                    .ok()?;
                operator::version(&response.json()["version"]).ok()
            },
        );
        last = accepted.await.unwrap();
    }
    fleet.controls[2].kill();
    let data = fleet.controls[2].data.clone();
    std::fs::remove_dir_all(&data).unwrap();
    if rolled_back {
        copy_directory(&backup, &data);
    }
    fleet.controls[2].start().unwrap();
    sleep(Duration::from_millis(500)).await;
    fleet.controls[0].kill();
    fleet.controls[1].process().unwrap().resume().unwrap();

    let complete = |document: &Document| {
        (0..5).all(|r| timeout_of(document, &format!("kept-{r}")) == Some(4_000))
    };
    for round in 0..4_u32 {
        for control in &fleet.controls[1..] {
            let Some((expected, _)) = fleet.config(control.operators).await else {
                continue;
            };
            let change = change(
                format!("probe-{round}-{}", control.name),
                expected,
                vec![edit("probe", 5_000)],
            );
            let Ok(response) = fleet.propose(control.operators, &change).await else {
                continue;
            };
            if response.status.is_success() {
                let (_, document) = fleet.config(control.operators).await.unwrap();
                assert!(
                    complete(&document),
                    "{} accepts changes but lacks those accepted before",
                    control.name
                );
            }
        }
        sleep(Duration::from_millis(100)).await;
    }
    fleet.controls[0].start().unwrap();
    let config = until("all accepted changes readable", STATE_TIMEOUT, async || {
        let (version, document) = fleet.config(fleet.controls[0].operators).await?;
        (version >= last).then_some(document)
    });
    assert!(complete(&config.await.unwrap()));
    monitor.check().await;
}
