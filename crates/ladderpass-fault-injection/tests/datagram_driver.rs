//! Datagrams and cut links over loopback: the addresses that ends see, and what a cut holds back.

use ladderpass_fault_injection::driver::RunningTool;
use ladderpass_fault_injection::{Plan, RunningDatagrams};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::Duration;

fn socket() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("loopback");
    socket.set_read_timeout(Some(Duration::from_millis(400))).expect("a time-out");
    socket
}

fn free_address() -> SocketAddr {
    socket().local_addr().expect("bound")
}

fn receive(socket: &UdpSocket) -> Option<(Vec<u8>, SocketAddr)> {
    let mut buffer = [0; 64];
    let (count, from) = socket.recv_from(&mut buffer).ok()?;
    Some((buffer[..count].to_vec(), from))
}

#[test]
fn each_end_sees_the_others_at_their_addresses_and_a_cut_can_be_lifted() {
    let (one, two) = (socket(), socket());
    let (public_one, public_two) = (free_address(), free_address());
    let text = format!(
        "{{seed: 1, ends: [{{name: a, address: '{public_one}', to: '{}'}}, {{name: b, address: '{public_two}', to: '{}'}}]}}",
        one.local_addr().expect("bound"),
        two.local_addr().expect("bound")
    );
    let plan = Plan::read(&text).expect("allowed");
    let datagrams = RunningDatagrams::start(plan.datagram_plan()).expect("it starts");
    one.send_to(b"hello", public_two).expect("sent");
    assert_eq!(receive(&two), Some((b"hello".to_vec(), public_one)));
    two.send_to(b"there", public_one).expect("sent");
    assert_eq!(receive(&one), Some((b"there".to_vec(), public_two)));
    let rule = |text: &str| serde_json::from_str(text).expect("a rule");
    datagrams.add_rule(rule(r#"{"name": "cut", "from": ["a"], "do": "drop"}"#)).expect("allowed");
    one.send_to(b"lost", public_two).expect("sent");
    two.send_to(b"back", public_one).expect("sent");
    assert_eq!(receive(&one).map(|(bytes, _)| bytes), Some(b"back".to_vec()));
    assert_eq!(receive(&two), None);
    assert!(datagrams.lift_rule("cut"));
    datagrams.add_rule(rule(r#"{"name": "twice", "do": {"duplicate": {"ms": 20}}}"#)).expect("allowed");
    one.send_to(b"again", public_two).expect("sent");
    assert!(receive(&two).is_some() && receive(&two).is_some() && receive(&two).is_none());
    assert_eq!(datagrams.traffic()[0].datagrams, 3);
    assert_eq!(datagrams.hits(), [("cut".to_owned(), 1), ("twice".to_owned(), 1)]);
    // A datagram of an unknown sender comes from the receiver's own address.
    let stranger = socket();
    stranger.send_to(b"boo", public_two).expect("sent");
    assert_eq!(receive(&two), Some((b"boo".to_vec(), public_two)));
}

#[test]
fn a_cut_link_holds_what_comes_until_it_is_healed() {
    let server = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let to = server.local_addr().expect("bound");
    let text = format!("{{links: [{{name: l, listen: '127.0.0.1:0', to: '{to}', talk: raw}}]}}");
    let tool = RunningTool::start(Plan::read(&text).expect("allowed"), None).expect("it starts");
    let mut client = TcpStream::connect(tool.addresses[0]).expect("it listens");
    let (mut served, _) = server.accept().expect("it leads on");
    for stream in [&client, &served] {
        stream.set_read_timeout(Some(Duration::from_millis(300))).expect("a time-out");
    }
    let mut buffer = [0; 16];
    client.write_all(b"one").expect("written");
    assert_eq!(served.read(&mut buffer).expect("it came"), 3);
    tool.send_command("cut l").expect("it is there");
    client.write_all(b"two").expect("written");
    served.write_all(b"three").expect("written");
    assert!(served.read(&mut buffer).is_err() && client.read(&mut buffer).is_err());
    tool.send_command("heal l").expect("it is there");
    assert_eq!(served.read(&mut buffer).expect("it came"), 3);
    assert_eq!(client.read(&mut buffer).expect("it came"), 5);
    assert!(tool.send_command("cut m").is_err());
}

#[test]
fn two_thousand_connections_are_refused_at_once_and_the_next_one_passes() {
    let server = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let to = server.local_addr().expect("bound");
    let text = format!(
        "{{links: [{{name: l, listen: '127.0.0.1:0', to: '{to}', talk: raw}}], \
         rules: [{{name: r, when: {{opens: true}}, do: refuse, times: 2000}}]}}"
    );
    let tool = RunningTool::start(Plan::read(&text).expect("allowed"), None).expect("it starts");
    let address = tool.addresses[0];
    let refused: usize = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..20)
            .map(|_| {
                scope.spawn(move || {
                    // A connection that is reset before it is established counts as refused as well.
                    let streams: Vec<_> = (0..100).map(|_| TcpStream::connect(address)).collect();
                    let is_refused = |stream: std::io::Result<TcpStream>| {
                        let Ok(mut stream) = stream else { return true };
                        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a time-out");
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
    let mut client = TcpStream::connect(address).expect("it listens");
    client.write_all(b"one").expect("written");
    let (mut served, _) = server.accept().expect("it leads on");
    assert_eq!(served.read(&mut [0; 8]).expect("it came"), 3);
}
