//! Outgoing message queues to the other replicas.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use chestnutvalve_consensus::{Message, ReplicaId};
use chestnutvalve_wire::Client;
use tokio::sync::mpsc;

use super::network::{Envelope, Input, LeaderHint, Network};

/// Timeout of a call with messages; the receiver does no disk I/O before it answers.
const STEP_TIMEOUT: Duration = Duration::from_secs(1);
/// Messages that may wait for a peer. Further ones are dropped; the consensus protocol resends what it needs.
const QUEUE_CAPACITY: usize = 256;
/// Size after which no further messages are added to a call; far below the frame size limit.
const MAX_CALL_BYTES: usize = 4 * 1024 * 1024;

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

    /// Connects a replica at an address, replacing the link to a former address.
    pub fn connect(&mut self, to: ReplicaId, address: SocketAddr) {
        if to == self.id || self.peers.get(&to).is_some_and(|l| l.address == address) {
            return;
        }
        let (queue, received) = mpsc::channel(QUEUE_CAPACITY);
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

    /// Drops the links to replicas that `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(ReplicaId) -> bool) {
        self.peers.retain(|id, _| keep(*id));
    }

    /// Queues a message. Drops it when the replica has no link or its queue is full.
    pub fn send(&self, to: ReplicaId, message: Message) {
        if let Some(link) = self.peers.get(&to) {
            let _ = link.queue.try_send(message);
        }
    }
}

/// Returns whether only replicas without a leader send this message.
fn is_leader_query(message: &Message) -> bool {
    matches!(message, Message::WatermarkQuery | Message::PreVote { .. })
}

/// Sends queued messages until the sending half of the queue is dropped.
async fn run(
    client: Client,
    mut envelope: Envelope,
    mut queue: mpsc::Receiver<Message>,
    inputs: mpsc::Sender<Input>,
) {
    while let Some(message) = queue.recv().await {
        let mut size = message.size();
        envelope.messages.push(message);
        while size < MAX_CALL_BYTES
            && let Ok(message) = queue.try_recv()
        {
            size += message.size();
            envelope.messages.push(message);
        }
        let sent = client.call::<_, LeaderHint>("consensus/step", &envelope, STEP_TIMEOUT);
        match sent.await {
            Ok(Some((leader, address))) if envelope.messages.iter().any(is_leader_query) => {
                // A hint that is dropped here comes again with the next message.
                let _ = inputs.try_send(Input::LeaderHint(leader, address));
            }
            Ok(_) => {}
            Err(error) => spdlog::debug!(
                "group {}: sending messages to {} failed: {error}",
                envelope.group,
                envelope.to
            ),
        }
        envelope.messages.clear();
    }
}
