//! Customers of the soak, whose keys change with each route table, and the check that no process writes a key.

use std::path::Path;

use chestnutvalve_model::account::{Account, Key};
use chestnutvalve_model::id::Customer;
use chestnutvalve_model::rank::Rank;

use super::{Report, limits};
use crate::Error;
use crate::load::Credentials;

/// Customer that sends idempotent requests.
pub const READER: &str = "reader";
/// Customer that sends at-most-once requests.
pub const BUYER: &str = "buyer";
/// Customers that have the probe keys in turn.
const PROBERS: [&str; 2] = ["prober-even", "prober-odd"];
/// Start of each key.
const KEY_PREFIX: &str = "soak-secret";

/// Returns the accounts of the table with this label. The key of a customer that sends requests stays the same, while other
/// keys come and go.
pub fn accounts(label: u64) -> Vec<Account> {
    let account = |name: &str, keys: &[String], rank| Account {
        customer: Customer::new(name).expect("a valid customer name"),
        keys: keys.iter().map(|key| Key::new(key)).collect(),
        rank,
        limit: None,
    };
    let limited = |name| Account {
        limit: Some(limits::limit(name)),
        ..account(name, &[credentials(name).key], None)
    };
    let (current, other) = if label.is_multiple_of(2) {
        (PROBERS[0], PROBERS[1])
    } else {
        (PROBERS[1], PROBERS[0])
    };
    vec![
        account(READER, &[credentials(READER).key], Some(Rank::Middle)),
        account(BUYER, &[credentials(BUYER).key], None),
        account(current, &[probe_key(label)], None),
        account(other, &[], None),
        limited(limits::BELOW),
        limited(limits::ABOVE),
    ]
}

/// Returns the credentials with which a customer sends requests.
pub fn credentials(customer: &str) -> Credentials {
    Credentials {
        customer: customer.to_owned(),
        key: format!("{KEY_PREFIX}-{customer}"),
    }
}

/// Returns the key that only the table with this label has.
pub fn probe_key(label: u64) -> String {
    format!("{KEY_PREFIX}-only-{label}")
}

/// Checks that no process of the fleet wrote a key to its output.
///
/// # Errors
///
/// Returns an error if an output can't be read.
pub fn check_output(folder: &Path, report: &mut Report) -> Result<(), Error> {
    let failed = || Error::io(format!("reading {}", folder.display()));
    for file in std::fs::read_dir(folder).map_err(failed())? {
        let path = file.map_err(failed())?.path();
        let is_output = path.extension().is_some_and(|e| e == "out" || e == "err");
        if !is_output {
            continue;
        }
        let text = std::fs::read(&path).map_err(failed())?;
        if String::from_utf8_lossy(&text).contains(KEY_PREFIX) {
            let text = format!("{} contains a key", path.display());
            report.violations.push(text);
        }
    }
    Ok(())
}
