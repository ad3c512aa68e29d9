//! Tests of the links between VMs: authentication, reconnects and stalled receivers.

use std::time;

use daemon::{inbox, peer, relay::access, settings};

const DEADLINE: time::Duration = time::Duration::from_secs(20);

fn credential(text: &str) -> settings::Credential {
    text.to_owned().try_into().expect("a credential")
}

fn links(secret: &str) -> peer::Links {
    peer::Links::new(peer::link::Identity {
        vm: "vm-1".into(),
        incarnation: ids::Incarnation::new(7),
        credential: credential(secret),
    })
}

fn member(address: std::net::SocketAddr) -> member::Member {
    member::Member {
        vm: "vm-2".into(),
        incarnation: ids::Incarnation::new(8),
        centre: "north".into(),
        peer: address.to_string().into(),
    }
}

fn query(query_id: u64) -> node::peer::Message {
    let version = ids::Version::new(1);
    node::peer::Message::Member(member::Message::Query { query_id, version })
}

/// Maximum number of connections of a receiver.
const MAX_CONNECTIONS: usize = 8;

/// A VM that receives messages until its task is aborted.
struct Receiver {
    address: std::net::SocketAddr,
    outlet: inbox::Receiver,
    task: tokio::task::JoinHandle<()>,
}

async fn start_receiver(address: &str) -> Receiver {
    let listener = tokio::net::TcpListener::bind(address).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (inbox, outlet) = inbox::channel();
    let accepting = peer::accept::run(
        listener,
        credential("vm-credential-0001"),
        inbox,
        access::Gate::new("peer", MAX_CONNECTIONS),
    );
    Receiver { address, outlet, task: tokio::spawn(accepting) }
}

/// Sends queries until one has arrived, or returns `None` after [`DEADLINE`].
async fn send_until_received(links: &peer::Links, receiver: &mut Receiver) -> Option<node::Input> {
    let mut inputs = Vec::new();
    let sending = async {
        for number in 0.. {
            links.send(&["vm-2".into()], query(number));
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
    };
    tokio::select! {
        () = sending => None,
        _ = receiver.outlet.receive(&mut inputs, 1) => inputs.pop(),
        () = tokio::time::sleep(DEADLINE) => None,
    }
}

#[tokio::test]
async fn message_arrives_with_its_sender() {
    let mut receiver = start_receiver("127.0.0.1:0").await;
    let mut links = links("vm-credential-0001");
    links.set_members(vec![member(receiver.address)]);
    let input = send_until_received(&links, &mut receiver).await.expect("a message");
    let node::Input::Peer { from, incarnation, message } = input else {
        panic!("expected a message of a VM");
    };
    assert_eq!((from.as_str(), incarnation.get()), ("vm-1", 7));
    assert!(matches!(message, node::peer::Message::Member(member::Message::Query { .. })));
}

#[tokio::test]
async fn messages_with_a_wrong_credential_are_dropped() {
    let mut receiver = start_receiver("127.0.0.1:0").await;
    let mut wrong = links("wrong-credential-1");
    wrong.set_members(vec![member(receiver.address)]);
    let mut inputs = Vec::new();
    let send_duration = time::Duration::from_millis(500);
    let sending = async {
        for number in 0..50 {
            wrong.send(&["vm-2".into()], query(number));
            tokio::time::sleep(send_duration / 50).await;
        }
    };
    tokio::select! {
        () = sending => {}
        _ = receiver.outlet.receive(&mut inputs, 1) => panic!("received {inputs:?}"),
    }
    // A VM with the right credential is received at the same address.
    let mut right = links("vm-credential-0001");
    right.set_members(vec![member(receiver.address)]);
    assert!(send_until_received(&right, &mut receiver).await.is_some());
}

#[tokio::test]
async fn connections_without_a_handshake_do_not_end_those_of_vms() {
    let mut receiver = start_receiver("127.0.0.1:0").await;
    let mut crowd = Vec::new();
    let mut links = links("vm-credential-0001");
    links.set_members(vec![member(receiver.address)]);
    for _ in 0..2 {
        for _ in 0..2 * MAX_CONNECTIONS {
            let stream = tokio::net::TcpStream::connect(receiver.address).await;
            crowd.push(stream.expect("a connection"));
        }
        send_until_received(&links, &mut receiver).await.expect("a message");
    }
}

#[tokio::test]
async fn lost_connection_is_reopened_automatically() {
    let mut first = start_receiver("127.0.0.1:0").await;
    let mut links = links("vm-credential-0001");
    links.set_members(vec![member(first.address)]);
    send_until_received(&links, &mut first).await.expect("a message");
    let address = first.address.to_string();
    first.task.abort();
    drop(first.task.await);
    drop(first.outlet);
    let mut second = start_receiver(&address).await;
    assert!(
        send_until_received(&links, &mut second).await.is_some(),
        "no message after the reconnect"
    );
}

#[tokio::test]
async fn a_vm_that_has_been_heard_is_connected_to_at_once() {
    // The time after which a VM counts as silent.
    const HEARD_TIMEOUT: time::Duration = time::Duration::from_secs(1);
    let unused = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = unused.local_addr().expect("an address").to_string();
    drop(unused);
    let mut links = links("vm-credential-0001");
    links.set_members(vec![member(address.parse().expect("an address"))]);
    // Attempts fail for so long that the next one is up to two seconds away.
    let down = time::Duration::from_secs(4);
    for _ in 0..3 {
        tokio::time::sleep(down).await;
        let mut receiver = start_receiver(&address).await;
        links.reconnect(&"vm-2".into());
        let begun = time::Instant::now();
        assert!(send_until_received(&links, &mut receiver).await.is_some());
        assert!(begun.elapsed() < HEARD_TIMEOUT / 4, "{:?}", begun.elapsed());
        receiver.task.abort();
        drop(receiver.task.await);
    }
}

#[tokio::test]
async fn stalled_receiver_does_not_block_the_sender() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut links = links("vm-credential-0001");
    links.set_members(vec![member(address)]);
    let started = time::Instant::now();
    for number in 0..100_000 {
        links.send(&["vm-2".into()], query(number));
    }
    assert!(started.elapsed() < DEADLINE, "{:?}", started.elapsed());
}
