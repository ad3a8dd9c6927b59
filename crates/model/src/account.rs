//! Accounts of customers: API keys, priority and request limit.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::Invalid;
use crate::id::Customer;
use crate::rank::Rank;

/// Max accounts of one table.
pub const MAX_ACCOUNTS: usize = 20_000;
/// Max length of an API key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// API key of a customer. Its `Debug` output does not contain the key, so that no log or panic discloses it.
#[derive(Clone, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Key(Arc<str>);

impl Key {
    /// Wraps the text of a key.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Returns the text of the key.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

impl std::borrow::Borrow<str> for Key {
    fn borrow(&self) -> &str {
        &self.0
    }
}

/// Limit on the requests of a customer at all entries together.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Limit {
    /// Requests per second; above 0.
    pub per_second: f64,
    /// Requests beyond the rate that may arrive at once; 0 or more.
    pub burst: f64,
}

/// Account of a customer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Account {
    /// Name of the customer, which workers receive.
    pub customer: Customer,
    /// Keys with which callers act for the customer.
    #[serde(default)]
    pub keys: Vec<Key>,
    /// Priority class of the customer's requests; it replaces that of their route.
    pub rank: Option<Rank>,
    /// Limit on the customer's requests; `None` for no limit.
    pub limit: Option<Limit>,
}

/// Account without its keys, for reports.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Summary {
    /// Name of the customer.
    pub customer: Customer,
    /// Number of keys.
    pub keys: usize,
    /// Priority class of the customer's requests, if it replaces that of their route.
    pub rank: Option<Rank>,
    /// Limit on the customer's requests.
    pub limit: Option<Limit>,
}

/// All accounts, by customer and by key.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(from = "Vec<Account>", into = "Vec<Account>")]
pub struct Registry {
    by_customer: BTreeMap<Customer, Arc<Account>>,
    by_key: HashMap<Key, Arc<Account>>,
}

impl PartialEq for Registry {
    fn eq(&self, other: &Self) -> bool {
        self.by_customer == other.by_customer
    }
}

impl From<Vec<Account>> for Registry {
    fn from(accounts: Vec<Account>) -> Self {
        let mut registry = Self::default();
        for account in accounts {
            registry.put(account);
        }
        registry
    }
}

impl From<Registry> for Vec<Account> {
    fn from(registry: Registry) -> Self {
        let accounts = registry.by_customer.into_values();
        accounts.map(Arc::unwrap_or_clone).collect()
    }
}

impl Registry {
    /// Validates accounts and builds the registry.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field, named by its customer. The error contains no key.
    pub fn build(accounts: &[Account]) -> Result<Self, Invalid> {
        if let Some(first) = Self::invalid(accounts).into_iter().next() {
            return Err(first);
        }
        Ok(Self::from(accounts.to_vec()))
    }

    /// Returns all invalid fields of accounts, named by their customers. They contain no key.
    #[must_use]
    pub fn invalid(accounts: &[Account]) -> Vec<Invalid> {
        let mut invalid = Vec::new();
        if accounts.len() > MAX_ACCOUNTS {
            let expected = format!("at most {MAX_ACCOUNTS} accounts");
            invalid.push(Invalid::new("accounts", accounts.len(), expected));
        }
        let mut customers = BTreeSet::new();
        let mut owners: HashMap<&Key, &Customer> = HashMap::new();
        for account in accounts {
            account.validate(&mut invalid);
            let (customer, path) = (&account.customer, format!("accounts[{}]", account.customer));
            if !customers.insert(customer) {
                let expected = "a customer that is named once";
                invalid.push(Invalid::new(path.clone(), customer, expected));
            }
            for (at, key) in account.keys.iter().enumerate() {
                let owner = *owners.entry(key).or_insert(customer);
                if owner != customer {
                    let found = format!("the key of {owner}");
                    let expected = "a key that no other customer has";
                    invalid.push(Invalid::new(format!("{path}.keys[{at}]"), found, expected));
                }
            }
        }
        invalid
    }

    /// Returns whether there is no account, so that requests need no key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_customer.is_empty()
    }

    /// Returns all accounts, ordered by customer.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.by_customer.values()
    }

    /// Returns the account of a customer.
    #[must_use]
    pub fn of_customer(&self, customer: &Customer) -> Option<&Arc<Account>> {
        self.by_customer.get(customer)
    }

    /// Returns the account to which a key belongs.
    #[must_use]
    pub fn of_key(&self, key: &str) -> Option<&Arc<Account>> {
        self.by_key.get(key)
    }

    /// Returns the accounts of `next` that are new or differ from this registry.
    #[must_use]
    pub fn changed(&self, next: &Self) -> Vec<Account> {
        let changed = next
            .iter()
            .filter(|a| self.by_customer.get(&a.customer) != Some(*a));
        changed.map(|account| Account::clone(account)).collect()
    }

    /// Returns the customers of this registry that `next` has no account of.
    #[must_use]
    pub fn removed(&self, next: &Self) -> Vec<Customer> {
        let customers = self.by_customer.keys();
        let removed = customers.filter(|c| !next.by_customer.contains_key(*c));
        removed.cloned().collect()
    }

    /// Adds an account, or replaces the one of the same customer and its keys.
    pub fn put(&mut self, account: Account) {
        self.remove(&account.customer);
        let account = Arc::new(account);
        for key in &account.keys {
            self.by_key.insert(key.clone(), Arc::clone(&account));
        }
        self.by_customer.insert(account.customer.clone(), account);
    }

    /// Removes the account of a customer and its keys.
    pub fn remove(&mut self, customer: &Customer) {
        let Some(account) = self.by_customer.remove(customer) else {
            return;
        };
        for key in &account.keys {
            // A delta may move a key to another customer before it updates this one.
            if self
                .by_key
                .get(key)
                .is_some_and(|a| a.customer == *customer)
            {
                self.by_key.remove(key);
            }
        }
    }
}

impl Account {
    /// Returns the account without its keys.
    #[must_use]
    pub fn summary(&self) -> Summary {
        Summary {
            customer: self.customer.clone(),
            keys: self.keys.len(),
            rank: self.rank,
            limit: self.limit,
        }
    }

    fn validate(&self, invalid: &mut Vec<Invalid>) {
        let field = |name: &str| format!("accounts[{}].{name}", self.customer);
        for (at, key) in self.keys.iter().enumerate() {
            let length = key.expose().len();
            if length == 0 || length > MAX_KEY_BYTES {
                let found = format!("a key of {length} bytes");
                let expected = format!("1 to {MAX_KEY_BYTES} bytes");
                invalid.push(Invalid::new(field(&format!("keys[{at}]")), found, expected));
            }
        }
        let Some(Limit { per_second, burst }) = self.limit else {
            return;
        };
        if !per_second.is_finite() || per_second <= 0.0 {
            let expected = "a finite rate above 0";
            invalid.push(Invalid::new(field("rate"), per_second, expected));
        }
        if !burst.is_finite() || burst < 0.0 {
            let expected = "a finite burst of 0 or more";
            invalid.push(Invalid::new(field("burst"), burst, expected));
        }
    }
}
