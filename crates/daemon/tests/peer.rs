//! Links between VMs: who is let in, and what a lost connection costs.

use std::time;

use daemon::{inbox, peer, settings};

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

fn question(query_id: u64) -> node::peer::Message {
    let version = ids::Version::new(1);
    node::peer::Message::Member(member::Message::Query { query_id, version })
}

/// A VM that receives; ends with its task.
struct Receiver {
    address: std::net::SocketAddr,
    outlet: inbox::Receiver,
    task: tokio::task::JoinHandle<()>,
}

async fn receiver(address: &str) -> Receiver {
    let listener = tokio::net::TcpListener::bind(address).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (inbox, outlet) = inbox::channel();
    let accepting = peer::accept::run(listener, credential("vm-credential-0001"), inbox);
    Receiver { address, outlet, task: tokio::spawn(accepting) }
}

/// Sends questions until one has arrived.
async fn exchange(links: &peer::Links, receiver: &mut Receiver) -> Option<node::Input> {
    let mut inputs = Vec::new();
    let sending = async {
        for number in 0.. {
            links.send(&"vm-2".into(), question(number));
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
    let mut receiver = receiver("127.0.0.1:0").await;
    let mut links = links("vm-credential-0001");
    links.set_members(vec![member(receiver.address)]);
    let input = exchange(&links, &mut receiver).await.expect("a message");
    let node::Input::Peer { from, incarnation, message } = input else {
        panic!("a message of a VM was expected");
    };
    assert_eq!((from.as_str(), incarnation.get()), ("vm-1", 7));
    assert!(matches!(message, node::peer::Message::Member(member::Message::Query { .. })));
}

#[tokio::test]
async fn vm_without_the_credential_is_not_heard() {
    let mut receiver = receiver("127.0.0.1:0").await;
    let mut wrong = links("wrong-credential-1");
    wrong.set_members(vec![member(receiver.address)]);
    let mut inputs = Vec::new();
    let quiet = time::Duration::from_millis(500);
    let sending = async {
        for number in 0..50 {
            wrong.send(&"vm-2".into(), question(number));
            tokio::time::sleep(quiet / 50).await;
        }
    };
    tokio::select! {
        () = sending => {}
        _ = receiver.outlet.receive(&mut inputs, 1) => panic!("heard {inputs:?}"),
    }
    // A VM with the credential is heard on the same face.
    let mut right = links("vm-credential-0001");
    right.set_members(vec![member(receiver.address)]);
    assert!(exchange(&right, &mut receiver).await.is_some());
}

#[tokio::test]
async fn lost_connection_is_made_again_by_itself() {
    let mut first = receiver("127.0.0.1:0").await;
    let mut links = links("vm-credential-0001");
    links.set_members(vec![member(first.address)]);
    exchange(&links, &mut first).await.expect("a message");
    let address = first.address.to_string();
    first.task.abort();
    drop(first.task.await);
    drop(first.outlet);
    let mut second = receiver(&address).await;
    assert!(exchange(&links, &mut second).await.is_some(), "heard again after the loss");
}

#[tokio::test]
async fn receiver_that_takes_nothing_holds_no_sender_up() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut links = links("vm-credential-0001");
    links.set_members(vec![member(address)]);
    let begun = time::Instant::now();
    for number in 0..100_000 {
        links.send(&"vm-2".into(), question(number));
    }
    assert!(begun.elapsed() < DEADLINE, "{:?}", begun.elapsed());
}
