//! Costs of control traffic other than its rates: endpoint lists, memory, datagrams, reports for admission control, and the
//! time until the death of a router is detected.

use super::rates::{SETTLE_TIME, rates_of};
use super::reference_size::{ROUTERS, reference_shape};
use crate::capacity::simulated_routers::{Shape, Simulation, Subject, thread_cpu_time};
use ladderpass_routing::Span;
use std::io;
use std::net::UdpSocket;

/// Number of routers in the simulation that measures complete endpoint lists.
const LIST_ROUTERS: usize = 8;
const LIST_SPAN: Span = Span::from_millis(1000);
/// Number of members of each group in the simulation that measures complete endpoint lists.
const LIST_GROUP_MEMBERS: usize = 3;

/// Numbers of routers whose memory is measured. The measurement for the first number is left out of the result, because
/// it includes the memory that the process itself needs.
const MEMORY_ROUTERS: [usize; 4] = [64, 128, 256, ROUTERS];
const MEMORY_SPAN: Span = Span::from_millis(4000);
const PAGE_KIB: f64 = 4.0;

/// Size of a gossip datagram in bytes.
const GOSSIP_BYTES: usize = 11;
const DATAGRAM_COUNTS: [i32; 4] = [2000, 4000, 8000, 16_000];
const DATAGRAM_RUNS: usize = 5;
/// Number of datagrams that are sent in a row before they are received.
const DATAGRAM_BATCH: i32 = 50;

/// Number of router deaths that are measured.
const DEATHS: usize = 4;
/// Number of steps of [`SETTLE_STEP`], a minute in all, within which routers must find each other.
const MAX_SETTLE_STEPS: usize = 600;
const SETTLE_STEP: Span = Span::from_millis(100);
const DETECTION_STEP: Span = Span::from_millis(20);
const MAX_DETECTION: Span = Span::from_millis(60_000);

/// Cost of one complete endpoint list.
pub(super) struct ListCost {
    /// Number of members in the list.
    pub members: f64,
    /// Size of discovery's response in bytes.
    pub bytes: f64,
    /// CPU milliseconds that a router needs to read the response.
    pub cpu_ms: f64,
}

/// Measures the complete endpoint list that each router reads when it starts.
pub(super) fn list_cost(members: usize, seed: u64) -> io::Result<ListCost> {
    let mut simulation = Simulation::start(Shape {
        rate: 0.0,
        members,
        peers: false,
        observed: LIST_ROUTERS,
        seed,
        ..Shape::of(LIST_ROUTERS, members / LIST_GROUP_MEMBERS)
    })?;
    simulation.run(LIST_SPAN)?;
    let lists = simulation.counts.iter().map(|counts| counts.watches_opened).sum::<u64>().max(1) as f64;
    let bytes = simulation.counts.iter().map(|counts| counts.list_bytes).sum::<u64>() as f64;
    let cpu_ms = simulation.cost.nanos[Subject::EndpointList as usize] as f64 / 1e6;
    Ok(ListCost { members: members as f64, bytes: bytes / lists, cpu_ms: cpu_ms / lists })
}

/// Measures the memory of a router in KiB, by the number of routers, as the growth of this process. All simulations are
/// kept until the last one is measured, so that none reuses freed memory. Other threads must not allocate during the
/// measurement.
///
/// # Errors
/// If a simulation can't be started, or this process's memory can't be read.
pub fn memory(seed: u64) -> io::Result<Vec<(f64, f64)>> {
    let mut simulations = Vec::new();
    let mut points = Vec::new();
    for routers in MEMORY_ROUTERS {
        let before = resident_kib()?;
        let mut simulation = Simulation::start(Shape { rate: 0.0, seed, ..Shape::of(routers, 1) })?;
        simulation.run(MEMORY_SPAN)?;
        points.push((routers as f64, (resident_kib()? - before) / routers as f64));
        simulations.push(simulation);
    }
    points.remove(0);
    Ok(points)
}

/// Returns the resident memory of this process in KiB.
fn resident_kib() -> io::Result<f64> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages
        .map(|pages| pages * PAGE_KIB)
        .ok_or_else(|| io::Error::other("/proc/self/statm has no resident size"))
}

/// Measures the CPU microseconds to send and receive gossip datagrams over loopback, by the number of datagrams. Each
/// datagram takes one call to send and one to receive, as in the router. The least of several runs is taken, because
/// other load on the machine can only add CPU time.
pub(super) fn datagram_cpu() -> io::Result<Vec<(f64, f64)>> {
    let (sender, receiver) = (UdpSocket::bind("127.0.0.1:0")?, UdpSocket::bind("127.0.0.1:0")?);
    let mut points = Vec::new();
    for count in DATAGRAM_COUNTS {
        let mut least_us = f64::INFINITY;
        for _ in 0..DATAGRAM_RUNS {
            let began = thread_cpu_time();
            send_and_receive(&sender, &receiver, count)?;
            least_us = least_us.min((thread_cpu_time() - began).secs() * 1e6);
        }
        points.push((f64::from(count), least_us));
    }
    Ok(points)
}

fn send_and_receive(sender: &UdpSocket, receiver: &UdpSocket, count: i32) -> io::Result<()> {
    let to = receiver.local_addr()?;
    let mut buffer = [0; 2048];
    for _ in 0..count / DATAGRAM_BATCH {
        for _ in 0..DATAGRAM_BATCH {
            sender.send_to(&[7; GOSSIP_BYTES], to)?;
        }
        for _ in 0..DATAGRAM_BATCH {
            receiver.recv_from(&mut buffer)?;
        }
    }
    Ok(())
}

/// Reports for admission control, which are sent in datagrams of the membership protocol.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionReports {
    /// Bytes per second that a router sends in datagrams of the membership protocol, with reports and without.
    pub bytes_per_second: f64,
    /// Number of reports of other routers that a router has. The common admission threshold needs one report from each
    /// router for each group.
    pub reports: f64,
}

/// Measures the reports for admission control over a number of seconds.
///
/// # Errors
/// If the simulation can't be started.
pub fn measure_admission_reports(
    routers: usize,
    groups: usize,
    seed: u64,
    seconds: f64,
) -> io::Result<AdmissionReports> {
    let mut simulation = Simulation::start(Shape { fleet: true, ..reference_shape(routers, groups, seed) })?;
    simulation.run(SETTLE_TIME)?;
    simulation.reset_counts();
    simulation.run(Span::from_secs_f64(seconds))?;
    let reports: usize = (0..routers)
        .filter_map(|router| simulation.reducer(router))
        .flat_map(|reducer| reducer.admission_metrics().into_iter().map(|metrics| metrics.reports))
        .sum();
    Ok(AdmissionReports {
        bytes_per_second: rates_of(&simulation, seconds).membership_bytes,
        reports: reports as f64 / routers as f64,
    })
}

/// Measures the mean time in seconds from a router's death until no other router believes it to be alive, over a few
/// successive deaths. A death that is not detected within a minute counts as a minute.
///
/// # Errors
/// If the simulation can't be started, or the routers don't find each other within a minute.
pub fn death_detection_s(routers: usize, seed: u64) -> io::Result<f64> {
    let mut simulation = Simulation::start(Shape { rate: 0.0, seed, ..Shape::of(routers, 1) })?;
    simulation.run(SETTLE_TIME)?;
    settle(&mut simulation, routers)?;
    let mut total_s = 0.0;
    for index in 0..DEATHS {
        let from = simulation.now;
        simulation.kill((index + 1) * routers / (DEATHS + 1));
        let alive = routers - index - 1;
        while !all_believe_alive(&simulation, alive) && simulation.now - from < MAX_DETECTION {
            simulation.run(DETECTION_STEP)?;
        }
        total_s += (simulation.now - from).secs();
    }
    Ok(total_s / DEATHS as f64)
}

/// Runs a simulation until its routers have found each other.
fn settle(simulation: &mut Simulation, routers: usize) -> io::Result<()> {
    let mut steps = 0;
    while !all_believe_alive(simulation, routers) {
        steps += 1;
        if steps > MAX_SETTLE_STEPS {
            let text = format!("{routers} routers did not find each other within a minute");
            return Err(io::Error::other(text));
        }
        simulation.run(SETTLE_STEP)?;
    }
    Ok(())
}

/// Returns whether each running router believes this many routers to be alive.
fn all_believe_alive(simulation: &Simulation, count: usize) -> bool {
    let views = (0..simulation.shape.routers)
        .filter_map(|router| simulation.reducer(router)?.fleet_view())
        .map(|view| view.0);
    views.into_iter().all(|alive| alive == count)
}
