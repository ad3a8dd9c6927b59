//! Malformed input on the internal listener.

use chestnutvalve_model::error::Kind;
use chestnutvalve_model::version::Version;
use chestnutvalve_wire::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::harness::{CALL_TIMEOUT, Cluster, poll};

/// Guards against an instance that stops when it receives other protocols, wrong types or unknown calls.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn instance_survives_malformed_input() {
    let cluster = Cluster::start(1).await;
    let address = cluster.members[0].peers;
    let noise: Vec<u8> = (0..100_000_u32).map(|n| (n * 131 % 251) as u8).collect();
    for bytes in [
        &noise[..],
        b"GET / HTTP/1.1\r\n\r\n",
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    ] {
        let mut stream = TcpStream::connect(address).await.expect("connect");
        // The instance may close the connection before it has read everything.
        let _ = stream.write_all(bytes).await;
        let _ = stream.shutdown().await;
        let _ = timeout(CALL_TIMEOUT, stream.read_to_end(&mut Vec::new())).await;
    }
    let client = &cluster.alive().next().expect("runs").1.client;
    let fault = |answer: Result<(), Error>| match answer {
        Err(Error::Fault(fault)) => fault.kind,
        other => panic!("expected a fault, got {other:?}"),
    };
    for path in [
        "config/watch",
        "directory/heartbeat",
        "eject/grant",
        "ledger/claim",
        "consensus/step",
    ] {
        let answer = client
            .call(path, &"text instead of a message", CALL_TIMEOUT)
            .await;
        assert_eq!(fault(answer), Kind::BadRequest, "{path}");
    }
    assert_eq!(
        fault(client.call("no/such", &(), CALL_TIMEOUT).await),
        Kind::NotFound
    );
    poll(client, Version::ZERO, 0).await;
}
