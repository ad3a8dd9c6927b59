//! Builders of changes and members, and a log, for the tests of the state machine.

use chestnutvalve_control::codec;
use chestnutvalve_control::replica::CommittedCommand;
use chestnutvalve_control::state::{Command, Outcome, Store};
use chestnutvalve_model::config::{Change, Edit, Exception, Match, Overrides};
use chestnutvalve_model::control::Step;
use chestnutvalve_model::directory::Member;
use chestnutvalve_model::id::{Entry, Incarnation, Service, Zone};
use chestnutvalve_model::version::Version;
use serde::de::DeserializeOwned;

pub fn entry(name: &str) -> Entry {
    Entry::new(name).expect("valid name")
}

pub fn service(name: &str) -> Service {
    Service::new(name).expect("valid name")
}

pub fn timeout(timeout_ms: u32) -> Vec<Edit> {
    vec![Edit::SetDefaults(Overrides {
        timeout_ms: Some(timeout_ms),
        ..Overrides::default()
    })]
}

pub fn exception(id: &str, reason: &str, service_name: Option<&str>) -> Exception {
    Exception {
        id: id.to_owned(),
        reason: reason.to_owned(),
        on: Match {
            service: service_name.map(service),
            ..Match::default()
        },
        set: Overrides {
            timeout_ms: Some(700),
            ..Overrides::default()
        },
    }
}

pub fn change(id: &str, expected: Version, edits: Vec<Edit>) -> Change {
    Change {
        id: id.to_owned(),
        author: "amy".to_owned(),
        reason: "test".to_owned(),
        expected,
        edits,
    }
}

pub fn member(name: &str, incarnation: u64) -> Member {
    let address = "127.0.0.1:7001".parse().expect("valid address");
    Member {
        entry: entry(name),
        incarnation: Incarnation(incarnation),
        zone: Zone::new("keene").expect("valid name"),
        callers: address,
        gateway: None,
        link_mbps: 1_000,
        platform: address,
        peers: address,
        draining: false,
    }
}

/// Store with a log of the commands that it applies.
pub struct Log {
    pub store: Store,
    pub term: u64,
    index: u64,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            store: Store::default(),
            term: 1,
            index: 0,
        }
    }
}

impl Log {
    pub fn apply<A: DeserializeOwned>(&mut self, command: &[u8]) -> A {
        self.index += 1;
        let result = self.store.apply(CommittedCommand {
            index: self.index,
            term: self.term,
            command,
        });
        codec::decode(&result).expect("result decodes")
    }

    pub fn propose<A: DeserializeOwned>(&mut self, command: &Command) -> A {
        self.apply(&codec::encode(command))
    }

    pub fn change(&mut self, change: &Change) -> Outcome {
        self.propose(&Command::Change(change.clone()))
    }

    pub fn apply_steps(&mut self, steps: Vec<Step>) {
        self.propose::<Version>(&Command::Directory(steps));
    }
}
