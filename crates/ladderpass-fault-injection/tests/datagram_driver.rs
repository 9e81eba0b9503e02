//! The drivers over loopback: the addresses at which datagram ends see each other, links that are cut and healed, and
//! refused connections.

use ladderpass_fault_injection::driver::RunningTool;
use ladderpass_fault_injection::{Plan, RunningDatagrams};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::Duration;

fn udp_socket() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a loopback port is free");
    socket.set_read_timeout(Some(Duration::from_millis(400))).expect("the timeout is set");
    socket
}

fn free_address() -> SocketAddr {
    udp_socket().local_addr().expect("the socket is bound")
}

fn receive(socket: &UdpSocket) -> Option<(Vec<u8>, SocketAddr)> {
    let mut buffer = [0; 64];
    let (count, from) = socket.recv_from(&mut buffer).ok()?;
    Some((buffer[..count].to_vec(), from))
}

#[test]
fn each_end_sees_the_others_at_their_addresses_and_a_drop_rule_can_be_lifted() {
    let (one, two) = (udp_socket(), udp_socket());
    let (public_one, public_two) = (free_address(), free_address());
    let text = format!(
        "{{seed: 1, ends: [{{name: a, address: '{public_one}', to: '{}'}}, {{name: b, address: '{public_two}', to: '{}'}}]}}",
        one.local_addr().expect("the socket is bound"),
        two.local_addr().expect("the socket is bound")
    );
    let plan = Plan::read(&text).expect("the plan is valid");
    let datagrams = RunningDatagrams::start(plan.datagram_plan()).expect("the datagram part starts");
    one.send_to(b"hello", public_two).expect("the datagram is sent");
    assert_eq!(receive(&two), Some((b"hello".to_vec(), public_one)));
    two.send_to(b"there", public_one).expect("the datagram is sent");
    assert_eq!(receive(&one), Some((b"there".to_vec(), public_two)));
    let rule = |text: &str| serde_json::from_str(text).expect("the rule can be read");
    datagrams.add_rule(rule(r#"{"name": "cut", "from": ["a"], "do": "drop"}"#)).expect("the rule is valid");
    one.send_to(b"lost", public_two).expect("the datagram is sent");
    two.send_to(b"back", public_one).expect("the datagram is sent");
    assert_eq!(receive(&one).map(|(bytes, _)| bytes), Some(b"back".to_vec()));
    assert_eq!(receive(&two), None);
    assert!(datagrams.lift_rule("cut"));
    datagrams
        .add_rule(rule(r#"{"name": "twice", "do": {"duplicate": {"ms": 20}}}"#))
        .expect("the rule is valid");
    one.send_to(b"again", public_two).expect("the datagram is sent");
    assert!(receive(&two).is_some() && receive(&two).is_some() && receive(&two).is_none());
    assert_eq!(datagrams.traffic()[0].datagrams, 3);
    assert_eq!(datagrams.hits(), [("cut".to_owned(), 1), ("twice".to_owned(), 1)]);
    // A datagram from an unknown sender arrives from the receiver's own address in the plan.
    let unknown_sender = udp_socket();
    unknown_sender.send_to(b"boo", public_two).expect("the datagram is sent");
    assert_eq!(receive(&two), Some((b"boo".to_vec(), public_two)));
}

#[test]
fn a_cut_link_holds_back_all_bytes_until_it_is_healed() {
    let server = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let to = server.local_addr().expect("the socket is bound");
    let text = format!("{{links: [{{name: l, listen: '127.0.0.1:0', to: '{to}', talk: raw}}]}}");
    let tool =
        RunningTool::start(Plan::read(&text).expect("the plan is valid"), None).expect("the tool starts");
    let mut client = TcpStream::connect(tool.addresses[0]).expect("the link listens");
    let (mut forwarded, _) = server.accept().expect("the connection is forwarded");
    for stream in [&client, &forwarded] {
        stream.set_read_timeout(Some(Duration::from_millis(300))).expect("the timeout is set");
    }
    let mut buffer = [0; 16];
    client.write_all(b"one").expect("the bytes are written");
    assert_eq!(forwarded.read(&mut buffer).expect("the bytes arrive"), 3);
    tool.send_command("cut l").expect("the link exists");
    client.write_all(b"two").expect("the bytes are written");
    forwarded.write_all(b"three").expect("the bytes are written");
    assert!(forwarded.read(&mut buffer).is_err() && client.read(&mut buffer).is_err());
    tool.send_command("heal l").expect("the link exists");
    assert_eq!(forwarded.read(&mut buffer).expect("the bytes arrive"), 3);
    assert_eq!(client.read(&mut buffer).expect("the bytes arrive"), 5);
    assert!(tool.send_command("cut m").is_err());
}

#[test]
fn two_thousand_concurrent_connections_are_refused_and_the_next_one_is_forwarded() {
    let server = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let to = server.local_addr().expect("the socket is bound");
    let text = format!(
        "{{links: [{{name: l, listen: '127.0.0.1:0', to: '{to}', talk: raw}}], \
         rules: [{{name: r, when: {{opens: true}}, do: refuse, times: 2000}}]}}"
    );
    let tool =
        RunningTool::start(Plan::read(&text).expect("the plan is valid"), None).expect("the tool starts");
    let address = tool.addresses[0];
    let refused: usize = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..20)
            .map(|_| {
                scope.spawn(move || {
                    // A connection that is reset before it is established counts as refused as well.
                    let streams: Vec<_> = (0..100).map(|_| TcpStream::connect(address)).collect();
                    let is_refused = |stream: std::io::Result<TcpStream>| {
                        let Ok(mut stream) = stream else { return true };
                        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("the timeout is set");
                        let ended = stream.read(&mut [0; 8]);
                        matches!(ended, Ok(0))
                            || ended.is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionReset)
                    };
                    streams.into_iter().map(is_refused).filter(|&refused| refused).count()
                })
            })
            .collect();
        threads.into_iter().map(|thread| thread.join().expect("no thread panics")).sum()
    });
    assert_eq!(refused, 2000);
    let mut client = TcpStream::connect(address).expect("the link listens");
    client.write_all(b"one").expect("the bytes are written");
    let (mut forwarded, _) = server.accept().expect("the connection is forwarded");
    assert_eq!(forwarded.read(&mut [0; 8]).expect("the bytes arrive"), 3);
}
