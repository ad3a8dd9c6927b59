//! Outgoing calls to other control instances.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use chestnutvalve_model::error::{Fault, Kind};
use chestnutvalve_wire::{Client, Error};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Clients by address. Their connections are separate from those of the replicas, so that a slow call does not delay
/// the log.
#[derive(Debug, Default)]
pub struct Peers {
    clients: Mutex<HashMap<SocketAddr, Client>>,
}

impl Peers {
    /// Calls an instance and waits for its answer.
    ///
    /// # Errors
    ///
    /// Returns the fault of the instance, or [`Kind::NoQuorum`] when it can't be reached.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &Q,
        timeout: Duration,
    ) -> Result<A, Fault> {
        match self.client(address).call(path, message, timeout).await {
            Ok(answer) => Ok(answer),
            Err(Error::Fault(fault)) => Err(fault),
            Err(error) => Err(Fault::new(Kind::NoQuorum, error.to_string())),
        }
    }

    fn client(&self, address: SocketAddr) -> Client {
        let clients = self.clients.lock();
        let mut clients = clients.unwrap_or_else(PoisonError::into_inner);
        let client = clients.entry(address);
        client.or_insert_with(|| Client::new(address)).clone()
    }
}
