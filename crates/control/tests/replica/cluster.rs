//! Cluster of replicas in one process, each with its own listener and data directory.

use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use chestnutvalve_control::replica::options::Peer;
use chestnutvalve_control::replica::{self, Handle, Network, Options, Role, StateMachine};
use chestnutvalve_storage::{Directory, Disk};
use chestnutvalve_wire::{Router, Server};
use tokio::task::JoinHandle;
use tokio::time::Instant;

pub type Commands = Arc<Mutex<Vec<Vec<u8>>>>;

/// Running instance whose state machine stores all commands.
pub struct Instance {
    pub handle: Handle,
    pub commands: Commands,
    /// Replica of a second group that shares the directory and the connections.
    pub second: Option<Handle>,
    server: JoinHandle<()>,
}

pub struct Cluster {
    pub folder: tempfile::TempDir,
    pub peers: Vec<Peer>,
    pub instances: Vec<Option<Instance>>,
    second: bool,
}

pub fn state_machine() -> (StateMachine, Commands) {
    let commands = Commands::default();
    let (apply, save, restore) = (commands.clone(), commands.clone(), commands.clone());
    let machine = StateMachine {
        check: Box::new(|_| Ok(())),
        apply: Box::new(move |committed| {
            let mut commands = apply.lock().unwrap();
            commands.push(committed.command.to_vec());
            commands.len().to_le_bytes().to_vec()
        }),
        save: Box::new(move || {
            let commands = save.lock().unwrap();
            let mut bytes = Vec::new();
            for command in commands.iter() {
                bytes.extend_from_slice(&u32::try_from(command.len()).unwrap().to_le_bytes());
                bytes.extend_from_slice(command);
            }
            bytes
        }),
        restore: Box::new(move |mut bytes| {
            let mut commands = restore.lock().unwrap();
            commands.clear();
            while let Some((size, rest)) = bytes.split_first_chunk::<4>() {
                let (command, rest) = rest.split_at(u32::from_le_bytes(*size) as usize);
                commands.push(command.to_vec());
                bytes = rest;
            }
            Ok(())
        }),
    };
    (machine, commands)
}

impl Cluster {
    pub async fn start(size: usize) -> Self {
        Self::start_with(size, false).await
    }

    /// Starts a group and, if `second` is set, a second group at the same instances.
    pub async fn start_with(size: usize, second: bool) -> Self {
        Self::start_on(&vec![Disk::default(); size], second).await
    }

    /// Starts a group with one instance on each disk.
    pub async fn start_on(disks: &[Disk], second: bool) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let mut servers = Vec::new();
        let mut peers = Vec::new();
        for number in 0..disks.len() {
            let server = Server::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
            peers.push(Peer {
                name: format!("c{number}"),
                address: server.address().unwrap(),
            });
            servers.push(server);
        }
        let mut cluster = Self {
            folder,
            peers,
            instances: Vec::new(),
            second,
        };
        for (number, server) in servers.into_iter().enumerate() {
            let instance = cluster.launch(number, server, disks[number].clone(), |o| o);
            cluster.instances.push(Some(instance.unwrap()));
        }
        cluster
    }

    /// Reserves the addresses of `size` instances, of which none runs.
    pub async fn idle(size: usize) -> Self {
        let mut cluster = Self::start_on(&[], false).await;
        let mut servers = Vec::new();
        for number in 0..size {
            let server = Server::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
            cluster.peers.push(Peer {
                name: format!("c{number}"),
                address: server.address().unwrap(),
            });
            servers.push(server);
        }
        cluster
    }

    pub fn path(&self, number: usize) -> PathBuf {
        self.folder.path().join(format!("c{number}"))
    }

    fn launch(
        &self,
        number: usize,
        server: Server,
        disk: Disk,
        adapt: impl Fn(Options) -> Options,
    ) -> Result<Instance, chestnutvalve_storage::Error> {
        let directory = Directory::open(&self.path(number), &mut Disk::default())?;
        let address = server.address().unwrap();
        let options = Options::new("test", &format!("c{number}"), address);
        let options = adapt(options.with_members(self.peers.clone()));
        let network = Network::default();
        let (machine, commands) = state_machine();
        let directory = Arc::new(directory);
        let second = self.second.then(|| {
            let options = Options::new("second", &format!("c{number}"), address);
            let options = options.with_members(self.peers.clone());
            let (machine, _) = self::state_machine();
            replica::start(&network, &directory, Disk::default(), options, machine)
        });
        let second = second.transpose()?;
        let handle = replica::start(&network, &directory, disk, options, machine)?;
        let server = tokio::spawn(server.serve(network.route(Router::default())));
        Ok(Instance {
            handle,
            commands,
            second,
            server,
        })
    }

    /// Restarts an instance, or starts an additional one.
    pub async fn restart_with(
        &mut self,
        number: usize,
        disk: Disk,
        adapt: impl Fn(Options) -> Options,
    ) -> Result<(), chestnutvalve_storage::Error> {
        let known = self.peers.get(number).map(|peer| peer.address);
        let address = known.unwrap_or_else(|| "127.0.0.1:0".parse().unwrap());
        let server = Server::bind(address).await.unwrap();
        let instance = self.launch(number, server, disk, adapt)?;
        self.instances
            .resize_with(self.instances.len().max(number + 1), || None);
        self.instances[number] = Some(instance);
        Ok(())
    }

    pub async fn restart(&mut self, number: usize) {
        self.restart_with(number, Disk::default(), |options| options)
            .await
            .unwrap();
    }

    /// Ends an instance without a leadership transfer.
    pub async fn crash(&mut self, number: usize) {
        let instance = self.instances[number].take().unwrap();
        instance.server.abort();
        instance.handle.abort().await;
        if let Some(second) = &instance.second {
            second.abort().await;
        }
        let _ = instance.server.await;
    }

    /// Ends an instance with a planned stop.
    pub async fn stop(&mut self, number: usize) {
        let instance = self.instances[number].take().unwrap();
        instance.handle.stop().await;
        instance.server.abort();
        let _ = instance.server.await;
    }

    pub fn handle(&self, number: usize) -> &Handle {
        &self.instances[number].as_ref().unwrap().handle
    }

    pub fn commands(&self, number: usize) -> Vec<Vec<u8>> {
        let instance = self.instances[number].as_ref().unwrap();
        instance.commands.lock().unwrap().clone()
    }

    pub fn leader(&self) -> Option<usize> {
        self.instances.iter().position(|instance| {
            let handle = instance.as_ref().map(|instance| &instance.handle);
            handle.is_some_and(|h| h.status().role == Role::Leader && h.has_lease())
        })
    }

    pub async fn wait_leader(&self) -> usize {
        wait("a leader with a lease", || self.leader()).await
    }

    /// Waits until an instance has applied at least `count` commands.
    pub async fn wait_commands(&self, number: usize, count: usize) {
        let instance = self.instances[number].as_ref().unwrap();
        wait("commands at a replica", || {
            (instance.commands.lock().unwrap().len() >= count).then_some(())
        })
        .await;
    }
}

/// Polls until there is a value; panics after 10 s.
pub async fn wait<T>(what: &str, poll: impl Fn() -> Option<T>) -> T {
    let end = Instant::now() + Duration::from_secs(10);
    loop {
        if let Some(value) = poll() {
            return value;
        }
        assert!(Instant::now() < end, "timed out waiting for {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
