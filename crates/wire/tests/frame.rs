//! Frames and calls with malformed input, and the limits of a server.

use std::time::Duration;

use bytes::Bytes;
use chestnutvalve_model::error::{Fault, Kind};
use chestnutvalve_wire::{Client, Error, Frame, Router, Server};
use proptest::prelude::*;

const LIMIT: Duration = Duration::from_secs(5);

proptest! {
    /// Guards against a panic or a huge allocation on bytes from a faulty or hostile peer.
    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..256)) {
        if let Ok(frame) = Frame::from_bytes(&Bytes::from(bytes)) {
            let _ = frame.decode::<Vec<String>>();
        }
    }

    /// Guards against accepting a frame with a flipped bit.
    #[test]
    fn flipped_bit_is_detected(message in any::<Vec<u16>>(), at in any::<prop::sample::Index>(), bit in 0..8_u8) {
        let mut bytes = Frame::encode(&message).unwrap().to_bytes().to_vec();
        let at = at.index(bytes.len());
        bytes[at] ^= 1_u8 << bit;
        prop_assert!(Frame::from_bytes(&Bytes::from(bytes)).is_err());
    }

    /// Guards against a length prefix inside the payload that makes the decoder allocate without bound.
    #[test]
    fn forged_length_is_refused(length in (1_u64 << 32)..u64::MAX) {
        let frame = Frame::encode(&length).unwrap();
        prop_assert!(frame.decode::<Vec<u64>>().is_err());
    }
}

async fn serve_and_connect(router: Router) -> Client {
    let server = Server::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let client = Client::new(server.address().unwrap());
    tokio::spawn(server.serve(router));
    client
}

/// Guards against a malformed request that reaches the handler or stops the server.
#[tokio::test]
async fn request_of_another_type_gets_an_error_and_the_server_continues() {
    let router =
        Router::default().route("test/double", |n: u64| async move { Ok::<_, Fault>(n * 2) });
    let client = serve_and_connect(router).await;
    let refused = client
        .call::<_, u64>("test/double", &"text of another type", LIMIT)
        .await;
    assert!(
        matches!(
            refused,
            Err(Error::Fault(Fault {
                kind: Kind::BadRequest,
                ..
            }))
        ),
        "{refused:?}"
    );
    let unknown = client.call::<_, u64>("test/absent", &1_u64, LIMIT).await;
    assert!(
        matches!(
            unknown,
            Err(Error::Fault(Fault {
                kind: Kind::NotFound,
                ..
            }))
        ),
        "{unknown:?}"
    );
    assert_eq!(
        client
            .call::<_, u64>("test/double", &21_u64, LIMIT)
            .await
            .unwrap(),
        42
    );
}

/// Guards against a call that waits for an unresponsive peer beyond the caller's limit.
#[tokio::test]
async fn call_to_a_handler_that_never_answers_times_out() {
    let router = Router::default().route("test/silent", |(): ()| {
        std::future::pending::<Result<(), Fault>>()
    });
    let client = serve_and_connect(router).await;
    let silent = client
        .call::<_, ()>("test/silent", &(), Duration::from_millis(200))
        .await;
    assert!(matches!(silent, Err(Error::Timeout { .. })), "{silent:?}");
}

/// Starts a server that echoes numbers and returns two clients, each with its own connection.
async fn echo_server(configure: impl FnOnce(Server) -> Server) -> (Client, Client) {
    let server = Server::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let address = server.address().unwrap();
    let router = Router::default().route("test/echo", |n: u64| async move { Ok::<_, Fault>(n) });
    tokio::spawn(configure(server).serve(router));
    (Client::new(address), Client::new(address))
}

async fn echo(client: &Client, number: u64) -> Result<u64, Error> {
    client.call("test/echo", &number, LIMIT).await
}

/// Guards against peers that exhaust the file descriptors of the process with connections.
#[tokio::test]
async fn connection_beyond_the_limit_is_refused_and_the_first_one_continues() {
    let (first, second) = echo_server(|server| server.with_max_connections(1)).await;
    assert_eq!(echo(&first, 1).await.unwrap(), 1);
    let refused = echo(&second, 2).await;
    let closed = matches!(
        refused,
        Err(Error::Connection { .. } | Error::Unreachable { .. })
    );
    assert!(closed, "{refused:?}");
    assert_eq!(echo(&first, 3).await.unwrap(), 3);
}

/// Guards against connections of peers that disappeared without closing them using up the connection limit.
#[tokio::test]
async fn idle_connection_is_closed_and_frees_its_slot() {
    let idle = Duration::from_millis(100);
    let (first, second) =
        echo_server(|server| server.with_max_connections(1).with_idle_timeout(idle)).await;
    assert_eq!(echo(&first, 1).await.unwrap(), 1);
    let until_served = async {
        while echo(&second, 2).await.is_err() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(LIMIT, until_served).await.unwrap();
}
