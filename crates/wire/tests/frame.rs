//! Frames and calls with malformed input.

use std::time::Duration;

use bytes::Bytes;
use chestnutvalve_model::error::{Fault, Kind};
use chestnutvalve_wire::{Client, Error, Frame, Router, Server};
use proptest::prelude::*;

const LIMIT: Duration = Duration::from_secs(5);

proptest! {
    /// Guards against a panic or a huge allocation on bytes from a broken or hostile peer.
    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..256)) {
        if let Ok(frame) = Frame::from_bytes(&Bytes::from(bytes)) {
            let _ = frame.decode::<Vec<String>>();
        }
    }

    /// Guards against a payload that passes with a flipped bit.
    #[test]
    fn flipped_bit_is_noticed(message in any::<Vec<u16>>(), at in any::<prop::sample::Index>(), bit in 0..8_u8) {
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

async fn served(router: Router) -> Client {
    let server = Server::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let client = Client::new(server.address().unwrap());
    tokio::spawn(server.serve(router));
    client
}

/// Guards against a malformed request that is handled or that takes the server down.
#[tokio::test]
async fn request_of_another_type_gets_an_error_and_the_server_goes_on() {
    let router =
        Router::default().route("test/double", |n: u64| async move { Ok::<_, Fault>(n * 2) });
    let client = served(router).await;
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

/// Guards against a silent peer that holds its caller for longer than the caller's limit.
#[tokio::test]
async fn silent_handler_ends_in_a_timeout() {
    let router = Router::default().route("test/silent", |(): ()| {
        std::future::pending::<Result<(), Fault>>()
    });
    let client = served(router).await;
    let silent = client
        .call::<_, ()>("test/silent", &(), Duration::from_millis(200))
        .await;
    assert!(matches!(silent, Err(Error::Timeout { .. })), "{silent:?}");
}

/// Starts a server that echoes numbers and returns two clients, each with a connection of its own.
async fn echoing(limit: impl FnOnce(Server) -> Server) -> (Client, Client) {
    let server = Server::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let address = server.address().unwrap();
    let router = Router::default().route("test/echo", |n: u64| async move { Ok::<_, Fault>(n) });
    tokio::spawn(limit(server).serve(router));
    (Client::new(address), Client::new(address))
}

async fn echo(client: &Client, number: u64) -> Result<u64, Error> {
    client.call("test/echo", &number, LIMIT).await
}

/// Guards against peers that use up the process's descriptors with connections.
#[tokio::test]
async fn connection_beyond_the_limit_is_refused_and_the_first_one_goes_on() {
    let (first, second) = echoing(|server| server.with_max_connections(1)).await;
    assert_eq!(echo(&first, 1).await.unwrap(), 1);
    let refused = echo(&second, 2).await;
    let closed = matches!(
        refused,
        Err(Error::Connection { .. } | Error::Unreachable { .. })
    );
    assert!(closed, "{refused:?}");
    assert_eq!(echo(&first, 3).await.unwrap(), 3);
}

/// Guards against connections of peers that have gone away unheard taking the places of live ones.
#[tokio::test]
async fn idle_connection_gives_its_place_back() {
    let idle = Duration::from_millis(100);
    let (first, second) =
        echoing(|server| server.with_max_connections(1).with_idle_timeout(idle)).await;
    assert_eq!(echo(&first, 1).await.unwrap(), 1);
    let until_served = async {
        while echo(&second, 2).await.is_err() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(LIMIT, until_served).await.unwrap();
}
