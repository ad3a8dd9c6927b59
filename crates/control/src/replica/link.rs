//! Sending to other replicas.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use chestnutvalve_consensus::{Message, ReplicaId};
use chestnutvalve_wire::Client;
use tokio::sync::mpsc;

use super::network::{Envelope, Hint, Input, Network};

/// Time for a peer to take messages; it does no disk work before it answers.
const STEP_TIMEOUT: Duration = Duration::from_secs(1);
/// Messages that wait for a peer. Further ones are dropped; the state machine sends again what matters.
const QUEUE: usize = 256;
/// Size of the messages in one call, in bytes; far below the limit of a frame.
const CALL_BYTES: usize = 4 * 1024 * 1024;

struct Link {
    address: SocketAddr,
    queue: mpsc::Sender<Message>,
}

/// Queues to the other replicas of a group.
pub(super) struct Links {
    network: Network,
    group: String,
    id: ReplicaId,
    address: SocketAddr,
    inputs: mpsc::Sender<Input>,
    peers: HashMap<ReplicaId, Link>,
}

impl Links {
    pub fn new(
        network: Network,
        inputs: mpsc::Sender<Input>,
        group: String,
        id: ReplicaId,
        address: SocketAddr,
    ) -> Self {
        Self {
            network,
            inputs,
            group,
            id,
            address,
            peers: HashMap::new(),
        }
    }

    /// Makes a replica reachable at an address.
    pub fn set(&mut self, to: ReplicaId, address: SocketAddr) {
        if to == self.id || self.peers.get(&to).is_some_and(|l| l.address == address) {
            return;
        }
        let (queue, received) = mpsc::channel(QUEUE);
        let envelope = Envelope {
            group: self.group.clone(),
            from: self.id,
            address: self.address,
            to,
            messages: Vec::new(),
        };
        let client = self.network.client(address);
        tokio::spawn(run(client, envelope, received, self.inputs.clone()));
        self.peers.insert(to, Link { address, queue });
    }

    /// Forgets replicas that are not members.
    pub fn retain(&mut self, keep: impl Fn(ReplicaId) -> bool) {
        self.peers.retain(|id, _| keep(*id));
    }

    /// Queues a message. It is dropped when the replica's address is not known or its queue is full.
    pub fn send(&self, to: ReplicaId, message: Message) {
        if let Some(link) = self.peers.get(&to) {
            let _ = link.queue.try_send(message);
        }
    }
}

/// Returns whether only a replica without a leader sends this message.
fn seeks_leader(message: &Message) -> bool {
    matches!(message, Message::WatermarkQuery | Message::PreVote { .. })
}

/// Sends queued messages until the queue's sender is dropped.
async fn run(
    client: Client,
    mut envelope: Envelope,
    mut queue: mpsc::Receiver<Message>,
    inputs: mpsc::Sender<Input>,
) {
    while let Some(message) = queue.recv().await {
        let mut size = message.size();
        envelope.messages.push(message);
        while size < CALL_BYTES
            && let Ok(message) = queue.try_recv()
        {
            size += message.size();
            envelope.messages.push(message);
        }
        let sent = client.call::<_, Hint>("consensus/step", &envelope, STEP_TIMEOUT);
        match sent.await {
            Ok(Some((leader, address))) if envelope.messages.iter().any(seeks_leader) => {
                // The next question brings the answer again.
                let _ = inputs.try_send(Input::Leader(leader, address));
            }
            Ok(_) => {}
            Err(error) => spdlog::debug!(
                "group {}: messages to {}: {error}",
                envelope.group,
                envelope.to
            ),
        }
        envelope.messages.clear();
    }
}
