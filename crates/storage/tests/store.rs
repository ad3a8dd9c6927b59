//! Persistent state after crashes, corruption and failed syncs.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

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

/// Builds a write with the help of a replica, because only a replica can build a write id.
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

fn open(directory: &Path) -> Result<(Store, PersistentState), Error> {
    Store::open(directory, Disk::default())
}

/// Writes three batches of one entry each and returns the path of the log file.
fn write_three_batches(temp_dir: &TempDir) -> PathBuf {
    let (mut store, _) = open(temp_dir.path()).unwrap();
    for index in 1..=3 {
        store.write(&write(1, vec![entry(1, index)], None)).unwrap();
    }
    temp_dir.path().join("log")
}

fn indexes(restored: &PersistentState) -> Vec<u64> {
    let entries = restored.entries.iter();
    entries.map(|entry| entry.position.index).collect()
}

/// Guards against lost entries and against entries that stay although later ones replaced them.
#[test]
fn entries_survive_and_later_ones_replace_earlier_ones() {
    let temp_dir = tempfile::tempdir().unwrap();
    write_three_batches(&temp_dir);
    let (mut store, restored) = open(temp_dir.path()).unwrap();
    assert_eq!(indexes(&restored), [1, 2, 3]);
    assert_eq!(restored.hard_state.term, 1);
    let replaced = write(2, vec![entry(2, 2)], None);
    store.write(&replaced).unwrap();
    drop(store);
    let (_, restored) = open(temp_dir.path()).unwrap();
    assert_eq!(restored.entries, [entry(1, 1), entry(2, 2)]);
    assert_eq!(restored.hard_state.term, 2);
}

/// Guards against a log that is unusable or contains a partial batch after a crash during a write, for every length written.
#[test]
fn a_torn_last_record_is_truncated() {
    let temp_dir = tempfile::tempdir().unwrap();
    let log = write_three_batches(&temp_dir);
    let bytes = fs::read(&log).unwrap();
    let record = 100;
    for lost in 1..=record {
        fs::write(&log, &bytes[..bytes.len() - lost]).unwrap();
        let (mut store, restored) = open(temp_dir.path()).unwrap();
        assert_eq!(indexes(&restored), [1, 2], "{lost} bytes lost");
        store.write(&write(1, vec![entry(1, 3)], None)).unwrap();
        drop(store);
        assert_eq!(indexes(&open(temp_dir.path()).unwrap().1), [1, 2, 3]);
    }
    let mut zeros = bytes.clone();
    let end = zeros.len() - record;
    zeros[end..].fill(0);
    fs::write(&log, &zeros).unwrap();
    assert_eq!(indexes(&open(temp_dir.path()).unwrap().1), [1, 2]);
}

/// Guards against a corrupt record in the middle that is truncated like a torn one, so that durable entries after it are lost.
#[test]
fn a_corrupt_record_in_the_middle_is_an_error() {
    let temp_dir = tempfile::tempdir().unwrap();
    let log = write_three_batches(&temp_dir);
    let bytes = fs::read(&log).unwrap();
    let (mut store, _) = open(temp_dir.path()).unwrap();
    store.write(&write(1, vec![entry(1, 4)], None)).unwrap();
    let size = fs::metadata(&log).unwrap().len();
    let last = bytes.len();
    assert!(size > last as u64);
    let bytes = fs::read(&log).unwrap();
    for at in (8..last).step_by(3) {
        let mut corrupt = bytes.clone();
        corrupt[at] ^= 0x40;
        fs::write(&log, &corrupt).unwrap();
        let error = open(temp_dir.path()).unwrap_err();
        let Error::Corrupt { file, offset, .. } = &error else {
            panic!("{error}");
        };
        assert_eq!(*file, log);
        assert!(*offset <= at as u64);
        assert!(error.to_string().contains(&offset.to_string()));
    }
}

/// Guards against restoring a corrupt snapshot, and against reading entries that the rewritten log does not contain.
#[test]
fn snapshots_replace_the_log_and_are_checked() {
    let temp_dir = tempfile::tempdir().unwrap();
    write_three_batches(&temp_dir);
    let snapshot = Snapshot {
        position: Position { term: 1, index: 2 },
        data: vec![1, 2, 3].into(),
        ..Snapshot::default()
    };
    let (mut store, _) = open(temp_dir.path()).unwrap();
    let tail = vec![entry(1, 2), entry(1, 3)];
    store
        .write(&write(1, tail, Some(snapshot.clone())))
        .unwrap();
    drop(store);
    let (_, restored) = open(temp_dir.path()).unwrap();
    assert_eq!(restored.snapshot, snapshot);
    assert_eq!(indexes(&restored), [2, 3]);
    let path = temp_dir.path().join("snapshot");
    let bytes = fs::read(&path).unwrap();
    for at in 0..bytes.len() {
        let mut corrupt = bytes.clone();
        corrupt[at] ^= 1;
        fs::write(&path, &corrupt).unwrap();
        let error = open(temp_dir.path()).unwrap_err();
        assert!(matches!(&error, Error::Corrupt { file, .. } if *file == path));
    }
}

/// Guards against acknowledging writes after a failed sync: a later sync may succeed although the data is lost.
#[rstest]
fn nothing_is_written_after_a_failed_sync(#[values(false, true)] with_snapshot: bool) {
    let temp_dir = tempfile::tempdir().unwrap();
    let fail_syncs = Arc::new(AtomicBool::new(false));
    let switch = Arc::clone(&fail_syncs);
    let mut disk = Disk::default();
    let sync = disk.sync;
    disk.sync = Arc::new(move |file| {
        if switch.load(Ordering::Relaxed) {
            return Err(std::io::Error::other("device is gone"));
        }
        sync(file)
    });
    let (mut store, _) = Store::open(temp_dir.path(), disk).unwrap();
    store.write(&write(1, vec![entry(1, 1)], None)).unwrap();
    fail_syncs.store(true, Ordering::Relaxed);
    let snapshot = with_snapshot.then(Snapshot::default);
    let error = store.write(&write(1, vec![entry(1, 2)], snapshot));
    assert!(matches!(error, Err(Error::Io { .. })));
    fail_syncs.store(false, Ordering::Relaxed);
    let error = store.write(&write(1, vec![entry(1, 3)], None));
    assert!(matches!(error, Err(Error::EarlierWriteFailed(_))));
}

/// Guards against a replica that has to stop because its disk was full for a while, and against remains of the failed write
/// in the log.
#[rstest]
fn a_write_without_room_is_repeated(#[values(false, true)] with_snapshot: bool) {
    let temp_dir = tempfile::tempdir().unwrap();
    let room_bytes = Arc::new(AtomicUsize::new(usize::MAX));
    let room = Arc::clone(&room_bytes);
    let mut disk = Disk::default();
    let write_all = disk.write;
    disk.write = Arc::new(move |file, bytes| {
        let room = room.load(Ordering::Relaxed);
        if bytes.len() > room {
            write_all(file, &bytes[..room])?;
            return Err(std::io::ErrorKind::StorageFull.into());
        }
        write_all(file, bytes)
    });
    let (mut store, _) = Store::open(temp_dir.path(), disk).unwrap();
    store.write(&write(1, vec![entry(1, 1)], None)).unwrap();
    let snapshot = with_snapshot.then(|| Snapshot {
        position: Position { term: 1, index: 1 },
        ..Snapshot::default()
    });
    let next = write(1, vec![entry(1, 2)], snapshot);
    for room in [0, 1, 60] {
        room_bytes.store(room, Ordering::Relaxed);
        let error = store.write(&next).unwrap_err();
        assert!(matches!(error, Error::Full { .. }), "{error}");
        let names = fs::read_dir(temp_dir.path()).unwrap();
        let mut names = names.map(|entry| entry.unwrap().file_name());
        assert!(names.all(|name| name != "log.tmp" && name != "snapshot.tmp"));
        assert_eq!(indexes(&open(temp_dir.path()).unwrap().1), [1]);
    }
    room_bytes.store(usize::MAX, Ordering::Relaxed);
    store.write(&next).unwrap();
    store.write(&write(1, vec![entry(1, 3)], None)).unwrap();
    let expected: &[u64] = if with_snapshot { &[2, 3] } else { &[1, 2, 3] };
    assert_eq!(indexes(&open(temp_dir.path()).unwrap().1), expected);
}

/// Guards against two processes in one data directory, a changed identity, and removed group files that count as a new group.
#[test]
fn a_directory_has_one_owner_one_identity_and_known_groups() {
    let temp_dir = tempfile::tempdir().unwrap();
    let disk = &mut Disk::default();
    let first = Directory::open(temp_dir.path(), disk).unwrap();
    let identity = first.identity();
    let second = Directory::open(temp_dir.path(), disk);
    assert!(matches!(second, Err(Error::Locked(_))));
    first.open_group("config", Disk::default()).unwrap();
    drop(first);
    let again = Directory::open(temp_dir.path(), disk).unwrap();
    assert_eq!(again.identity(), identity);
    drop(again);
    fs::remove_dir_all(temp_dir.path().join("config")).unwrap();
    let emptied = Directory::open(temp_dir.path(), disk).unwrap();
    let refused = emptied.open_group("config", Disk::default());
    assert!(matches!(refused, Err(Error::Corrupt { .. })));
    emptied.open_group("ledger-0", Disk::default()).unwrap();
    let other = tempfile::tempdir().unwrap();
    let other = Directory::open(other.path(), disk).unwrap();
    assert_ne!(other.identity(), identity);
}

/// Sets the format that a file states.
fn set_format(path: &Path, format: u8) {
    let mut bytes = fs::read(path).unwrap();
    bytes[7] = format;
    fs::write(path, bytes).unwrap();
}

/// Guards against files of another version that are read as if they had the current layout, or that are changed, such as by
/// the truncation of a torn record, although they are refused; and against an error that leaves open which folder it is.
#[rstest]
#[case::later_log("log", 4, None)]
#[case::later_snapshot("snapshot", 4, None)]
#[case::earlier_log("log", 1, Some(false))]
#[case::earlier_snapshot("snapshot", 1, Some(false))]
#[case::same_layout_in_log("log", 1, Some(true))]
#[case::same_layout_in_snapshot("snapshot", 1, Some(true))]
fn a_folder_of_another_format_is_refused_unchanged(
    #[case] file: &str,
    #[case] format: u8,
    #[case] decodes: Option<bool>,
) {
    let temp_dir = tempfile::tempdir().unwrap();
    write_three_batches(&temp_dir);
    let snapshot = Snapshot {
        position: Position { term: 1, index: 2 },
        ..Snapshot::default()
    };
    let (mut store, _) = open(temp_dir.path()).unwrap();
    let compacted = write(1, vec![entry(1, 3)], Some(snapshot));
    store.write(&compacted).unwrap();
    store.write(&write(1, vec![entry(1, 4)], None)).unwrap();
    drop(store);
    set_format(&temp_dir.path().join(file), format);
    let log = temp_dir.path().join("log");
    let torn = fs::read(&log).unwrap();
    fs::write(&log, &torn[..torn.len() - 5]).unwrap();
    let content = || {
        let mut files: Vec<_> = fs::read_dir(temp_dir.path()).unwrap().collect();
        files.sort_by_key(|f| f.as_ref().unwrap().path());
        let files = files.into_iter().map(|f| f.unwrap().path());
        files
            .map(|path| (fs::read(&path).unwrap(), path))
            .collect::<Vec<_>>()
    };
    let before = content();
    let check = |restored: &PersistentState| {
        assert_eq!(indexes(restored), [3]);
        let decodes = decodes.expect("a later format is not read");
        if decodes {
            Ok(())
        } else {
            Err("command at index 3".to_owned())
        }
    };
    let opened = Store::open_checked(temp_dir.path(), Disk::default(), check);
    if decodes == Some(true) {
        assert_eq!(indexes(&opened.unwrap().1), [3]);
        return;
    }
    let error = opened.unwrap_err().to_string();
    let folder = temp_dir.path().display().to_string();
    for part in [&folder, &format!("format {format}"), "format 2"] {
        assert!(error.contains(part), "{error}");
    }
    assert!(
        decodes.is_none() || error.contains("command at index 3"),
        "{error}"
    );
    assert_eq!(content(), before);
}

/// Guards against a removed replica that restarts under an identity that its group rejects, and against one that keeps votes of
/// its former identity.
#[test]
fn a_retired_directory_is_emptied_and_gets_a_new_identity() {
    let temp_dir = tempfile::tempdir().unwrap();
    let open = || Directory::open(temp_dir.path(), &mut Disk::default()).unwrap();
    let first = {
        let directory = open();
        directory.open_group("config", Disk::default()).unwrap();
        directory.retire(&mut Disk::default()).unwrap();
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
