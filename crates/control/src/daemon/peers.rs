//! Calls to the other control instances.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use chestnutvalve_model::error::{Fault, Kind};
use chestnutvalve_wire::{Client, Error};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::settings::Voter;

/// Clients by address, and addresses by name.
#[derive(Debug, Default)]
pub struct Peers {
    addresses: Mutex<HashMap<String, SocketAddr>>,
    clients: Mutex<HashMap<SocketAddr, Client>>,
}

impl Peers {
    /// Creates the address book from the first voters.
    #[must_use]
    pub fn new(voters: &[Voter]) -> Self {
        let addresses = voters.iter().map(|v| (v.control.to_string(), v.peers));
        Self {
            addresses: Mutex::new(addresses.collect()),
            clients: Mutex::default(),
        }
    }

    /// Returns the known instances and their addresses, by name.
    #[must_use]
    pub fn all(&self) -> Vec<(String, SocketAddr)> {
        let addresses = self.addresses.lock();
        let addresses = addresses.unwrap_or_else(PoisonError::into_inner);
        let mut all: Vec<_> = addresses.iter().map(|(n, a)| (n.clone(), *a)).collect();
        all.sort();
        all
    }

    /// Calls an instance by name.
    ///
    /// # Errors
    ///
    /// Returns the fault of the instance, or [`Kind::NoQuorum`] when it is unknown or can't be reached.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        name: &str,
        path: &str,
        message: &Q,
        limit: Duration,
    ) -> Result<A, Fault> {
        let unknown = || Fault::new(Kind::NoQuorum, format!("address of {name} is not known"));
        let client = self.client(name).ok_or_else(unknown)?;
        match client.call(path, message, limit).await {
            Ok(answer) => Ok(answer),
            Err(Error::Fault(fault)) => Err(fault),
            Err(error) => Err(Fault::new(Kind::NoQuorum, error.to_string())),
        }
    }

    fn client(&self, name: &str) -> Option<Client> {
        let addresses = self.addresses.lock();
        let address = *addresses
            .unwrap_or_else(PoisonError::into_inner)
            .get(name)?;
        let clients = self.clients.lock();
        let mut clients = clients.unwrap_or_else(PoisonError::into_inner);
        let client = clients.entry(address);
        Some(client.or_insert_with(|| Client::new(address)).clone())
    }
}
