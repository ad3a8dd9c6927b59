//! Stored state after crashes, damage and failed syncs.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use chestnutvalve_consensus::{
    Entry, HardState, Payload, PersistentState, Position, Replica, ReplicaId, Settings, Snapshot,
    Write,
};
use chestnutvalve_storage::{Directory, Disk, Error, Store};
use rstest::rstest;
use tempfile::TempDir;

fn entry(term: u64, index: u64) -> Entry {
    Entry {
        position: Position { term, index },
        payload: Payload::Command(vec![7; 100].into()),
    }
}

/// Builds a write; only a replica can make receipts, so that one makes it.
fn write(term: u64, entries: Vec<Entry>, snapshot: Option<Snapshot>) -> Write {
    let now = std::time::Instant::now();
    let restored = PersistentState {
        hard_state: HardState {
            term,
            ..HardState::default()
        },
        ..PersistentState::default()
    };
    let mut replica = Replica::new(now, ReplicaId(1), Settings::default(), restored, 1);
    replica.finish_rollback_check(now);
    let term_raised = chestnutvalve_consensus::Message::VoteReply {
        term: term + 1,
        granted: false,
    };
    replica.step(now, ReplicaId(2), term_raised);
    let write = replica.take_write().unwrap();
    Write {
        hard_state: write
            .hard_state
            .map(|hard_state| HardState { term, ..hard_state }),
        entries,
        replaces_log: snapshot.is_some(),
        snapshot,
        ..write
    }
}

fn open(folder: &Path) -> Result<(Store, PersistentState), Error> {
    Store::open(folder, Disk::default())
}

/// Stores three batches of one entry and returns the log file.
fn filled(folder: &TempDir) -> PathBuf {
    let (mut store, _) = open(folder.path()).unwrap();
    for index in 1..=3 {
        store.write(write(1, vec![entry(1, index)], None)).unwrap();
    }
    folder.path().join("log")
}

fn indexes(restored: &PersistentState) -> Vec<u64> {
    let entries = restored.entries.iter();
    entries.map(|entry| entry.position.index).collect()
}

/// Guards against entries that are lost or kept although later ones replaced them.
#[test]
fn entries_survive_and_later_ones_replace_earlier_ones() {
    let folder = tempfile::tempdir().unwrap();
    filled(&folder);
    let (mut store, restored) = open(folder.path()).unwrap();
    assert_eq!(indexes(&restored), [1, 2, 3]);
    assert_eq!(restored.hard_state.term, 1);
    let replaced = write(2, vec![entry(2, 2)], None);
    store.write(replaced).unwrap();
    drop(store);
    let (_, restored) = open(folder.path()).unwrap();
    assert_eq!(restored.entries, [entry(1, 1), entry(2, 2)]);
    assert_eq!(restored.hard_state.term, 2);
}

/// Guards against a crash in the middle of a write that makes the log unusable or leaves half a batch, at every length.
#[test]
fn a_torn_last_record_is_cut_off() {
    let folder = tempfile::tempdir().unwrap();
    let log = filled(&folder);
    let bytes = fs::read(&log).unwrap();
    let record = 100;
    for lost in 1..=record {
        fs::write(&log, &bytes[..bytes.len() - lost]).unwrap();
        let (mut store, restored) = open(folder.path()).unwrap();
        assert_eq!(indexes(&restored), [1, 2], "{lost} bytes lost");
        store.write(write(1, vec![entry(1, 3)], None)).unwrap();
        drop(store);
        assert_eq!(indexes(&open(folder.path()).unwrap().1), [1, 2, 3]);
    }
    let mut zeros = bytes.clone();
    let end = zeros.len() - record;
    zeros[end..].fill(0);
    fs::write(&log, &zeros).unwrap();
    assert_eq!(indexes(&open(folder.path()).unwrap().1), [1, 2]);
}

/// Guards against a damaged record in the middle that is taken for a torn one, so that durable entries after it are lost.
#[test]
fn a_damaged_record_in_the_middle_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let log = filled(&folder);
    let bytes = fs::read(&log).unwrap();
    let (mut store, _) = open(folder.path()).unwrap();
    store.write(write(1, vec![entry(1, 4)], None)).unwrap();
    let size = fs::metadata(&log).unwrap().len();
    let last = bytes.len();
    assert!(size > last as u64);
    let bytes = fs::read(&log).unwrap();
    for at in (8..last).step_by(3) {
        let mut damaged = bytes.clone();
        damaged[at] ^= 0x40;
        fs::write(&log, &damaged).unwrap();
        let error = open(folder.path()).unwrap_err();
        let Error::Corrupt { file, offset, .. } = &error else {
            panic!("{error}");
        };
        assert_eq!(*file, log);
        assert!(*offset <= at as u64);
        assert!(error.to_string().contains(&offset.to_string()));
    }
}

/// Guards against a damaged snapshot that is restored, and against the entries before it being counted twice.
#[test]
fn snapshots_replace_the_log_and_are_checked() {
    let folder = tempfile::tempdir().unwrap();
    filled(&folder);
    let snapshot = Snapshot {
        position: Position { term: 1, index: 2 },
        data: vec![1, 2, 3].into(),
        ..Snapshot::default()
    };
    let (mut store, _) = open(folder.path()).unwrap();
    let tail = vec![entry(1, 2), entry(1, 3)];
    store.write(write(1, tail, Some(snapshot.clone()))).unwrap();
    drop(store);
    let (_, restored) = open(folder.path()).unwrap();
    assert_eq!(restored.snapshot, snapshot);
    assert_eq!(indexes(&restored), [2, 3]);
    let path = folder.path().join("snapshot");
    let bytes = fs::read(&path).unwrap();
    for at in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[at] ^= 1;
        fs::write(&path, &damaged).unwrap();
        let error = open(folder.path()).unwrap_err();
        assert!(matches!(&error, Error::Corrupt { file, .. } if *file == path));
    }
}

/// Guards against promises after a failed sync, whose data a later sync may report as durable although it is lost.
#[rstest]
fn nothing_is_written_after_a_failed_sync(#[values(false, true)] with_snapshot: bool) {
    let folder = tempfile::tempdir().unwrap();
    let fails = Arc::new(AtomicBool::new(false));
    let switch = Arc::clone(&fails);
    let mut disk = Disk::default();
    let sync = disk.sync;
    disk.sync = Arc::new(move |file| {
        if switch.load(Ordering::Relaxed) {
            return Err(std::io::Error::other("device is gone"));
        }
        sync(file)
    });
    let (mut store, _) = Store::open(folder.path(), disk).unwrap();
    store.write(write(1, vec![entry(1, 1)], None)).unwrap();
    fails.store(true, Ordering::Relaxed);
    let snapshot = with_snapshot.then(Snapshot::default);
    let error = store.write(write(1, vec![entry(1, 2)], snapshot));
    assert!(matches!(error, Err(Error::Io { .. })));
    fails.store(false, Ordering::Relaxed);
    let error = store.write(write(1, vec![entry(1, 3)], None));
    assert!(matches!(error, Err(Error::EarlierWriteFailed(_))));
}

/// Guards against two processes on one directory, a changed identity, and a removed group that counts as a new one.
#[test]
fn a_directory_has_one_owner_one_identity_and_known_groups() {
    let folder = tempfile::tempdir().unwrap();
    let disk = &mut Disk::default();
    let first = Directory::open(folder.path(), disk).unwrap();
    let identity = first.identity();
    let second = Directory::open(folder.path(), disk);
    assert!(matches!(second, Err(Error::Locked(_))));
    first.open_group("config", Disk::default()).unwrap();
    drop(first);
    let again = Directory::open(folder.path(), disk).unwrap();
    assert_eq!(again.identity(), identity);
    drop(again);
    fs::remove_dir_all(folder.path().join("config")).unwrap();
    let emptied = Directory::open(folder.path(), disk).unwrap();
    let refused = emptied.open_group("config", Disk::default());
    assert!(matches!(refused, Err(Error::Corrupt { .. })));
    emptied.open_group("ledger-0", Disk::default()).unwrap();
    let other = tempfile::tempdir().unwrap();
    let other = Directory::open(other.path(), disk).unwrap();
    assert_ne!(other.identity(), identity);
}

/// Guards against a removed replica that starts again under an identity that its group refuses, and against one that keeps
/// votes of its former identity.
#[test]
fn a_retired_directory_starts_anew() {
    let folder = tempfile::tempdir().unwrap();
    let open = || Directory::open(folder.path(), &mut Disk::default()).unwrap();
    let first = {
        let directory = open();
        directory.open_group("config", Disk::default()).unwrap();
        directory.retire().unwrap();
        directory.identity()
    };
    let directory = open();
    assert_ne!(directory.identity(), first);
    let (_, restored) = directory.open_group("config", Disk::default()).unwrap();
    assert_eq!(restored.entries.len(), 0);
    let second = directory.identity();
    drop(directory);
    assert_eq!(open().identity(), second);
}
