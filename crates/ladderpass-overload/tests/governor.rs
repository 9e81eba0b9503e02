//! The governor before a front in simulated time: one server that serves and refuses at stated costs, clients by chance
//! from a seed, and the core that refuses. The same run each time; each case falls short where the governor is left out.

use ladderpass_overload::{
    ClientUsage, Governor, Level, OverloadEvent, ResourceLimits, ResourceSample, Settings,
};
use ladderpass_routing::{
    Arrival, Consistency as Staleness, Decision, Deployment, EndpointUpdate, Idempotency, Method,
    PrimaryInList, Router, Span, Time,
};
use std::collections::VecDeque;

const READ: u32 = 0;
const WRITE: u32 = 1;
const SERVE: f64 = 100e-6;
const REFUSE: f64 = 10e-6;
const WAIT: f64 = 1.0;

fn at(secs: f64) -> Time {
    Time::from_nanos(1_796_000_000_000_000_000) + Span::from_secs_f64(secs)
}

fn deployment() -> Deployment {
    let method = |level, effect, utility| Method {
        consistency: level,
        idempotency: effect,
        soft_deadline: Span::from_millis(500),
        utility,
        late_utility_share: 0.0,
    };
    Deployment {
        methods: vec![
            method(Staleness::Any, Idempotency::Idempotent, 2.0),
            method(Staleness::Write, Idempotency::NonIdempotent, 8.0),
        ],
        primary_in_list: PrimaryInList::Absent,
        session_write_age_carried: true,
        endpoint_poll_interval: None,
        health_checks: false,
        health_checks_report_position: false,
        router_count: 1,
        router_index: 0,
        gossip: false,
        max_attempts: 3,
        max_retry_after: Span::from_millis(500),
        tick: Span::from_millis(5),
        slow_start_capacity: 1.0,
        slow_start_duration: Span::ZERO,
        overload_window: Span::from_millis(1000),
        overload_multiple: 1.0,
        removal_is_advisory: false,
    }
}

/// Chance from a seed, without a library: the same everywhere.
struct Dice(u64);

impl Dice {
    fn part(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

#[derive(Clone, Copy)]
struct Want {
    due: f64,
    method: u32,
    client: usize,
    repeat: bool,
    patience: f64,
}

/// RPCs a second at a time, and of what.
type Pace = fn(f64) -> f64;

struct Front {
    governor: Option<Governor>,
    core: Router,
    spent: Vec<ClientUsage>,
    now: f64,
    queue: VecDeque<Want>,
    dice: Dice,
    /// By second of arrival, by method: due, served in time, refused.
    seconds: Vec<[[u32; 3]; 2]>,
    late: u32,
    delays: Vec<(f64, f64)>,
    notes: Vec<(f64, OverloadEvent)>,
    come_back: Vec<f64>,
    slowness: fn(f64) -> f64,
    by_client: Vec<[u32; 2]>,
    repeats_served: u32,
    firsts_refused: u32,
}

impl Front {
    fn new(watches: bool, clients: usize, seed: u64) -> Front {
        let allowance =
            ResourceLimits { cores: 1.0, memory_bytes: 1 << 30, buffer_bytes: 1 << 28, descriptors: 4096 };
        let mut core = Router::start(at(0.0), seed, deployment());
        core.on_endpoint_update(at(0.0), EndpointUpdate::Complete(&[]));
        Front {
            governor: watches.then(|| Governor::new(at(0.0), Settings::default(), allowance, 2)),
            core,
            spent: vec![ClientUsage::default(); clients],
            now: 0.0,
            queue: VecDeque::new(),
            dice: Dice(seed),
            seconds: Vec::new(),
            late: 0,
            delays: Vec::new(),
            notes: Vec::new(),
            come_back: Vec::new(),
            slowness: |_| 1.0,
            by_client: vec![[0; 2]; clients],
            repeats_served: 0,
            firsts_refused: 0,
        }
    }

    fn second(&mut self, due: f64) -> &mut [[u32; 3]; 2] {
        let nth = due as usize;
        self.seconds.resize(self.seconds.len().max(nth + 1), Default::default());
        &mut self.seconds[nth]
    }

    /// Plays arrivals of this pace; `draw` says of what each is.
    fn play(&mut self, secs: f64, pace: Pace, draw: fn(&mut Dice, f64) -> Want) {
        let mut next = self.now;
        let until = self.now + secs;
        while self.now < until {
            while next <= self.now {
                let want = Want { due: next, ..draw(&mut self.dice, next) };
                self.second(next)[want.method as usize][0] += 1;
                self.queue.push_back(want);
                next += -(1.0 - self.dice.part()).ln() / pace(next).max(1e-9);
            }
            if self.queue.is_empty() {
                self.now = next;
            }
            // A turn: what stands in line, up to a budget.
            let began = self.now;
            for _ in 0..64 {
                let Some(want) = self.queue.pop_front() else { break };
                self.look(want);
            }
            let busy = Span::from_secs_f64(self.now - began);
            let (now, left) = (at(self.now), self.queue.len() * 128);
            if let Some(governor) = &mut self.governor {
                governor.end_iteration(now, busy, 0, left);
                let told = governor.take_events();
                self.notes.extend(told.into_iter().map(|note| (self.now, note)));
            }
        }
    }

    fn look(&mut self, want: Want) {
        let now = at(self.now);
        let slow = (self.slowness)(self.now);
        self.delays.push((want.due, self.now - want.due));
        let mut arrival = Arrival {
            method: want.method,
            group: 0,
            deadline: at(want.due) + Span::from_secs_f64(want.patience),
            is_client_retry: want.repeat,
            session: None,
            last_write_age: None,
            router_overload: None,
            fleet_overload: None,
            admission_draw: None,
        };
        if let Some(governor) = &mut self.governor {
            governor.record_statement(now, Span::from_secs_f64(self.now - want.due), 128);
            let spent = &mut self.spent[want.client];
            let strain = governor.overload_state(now, want.method, spent);
            let rank = self.core.priority(now, &arrival, &strain);
            governor.record_arrival(now, &strain, rank, spent);
            arrival.router_overload = Some(strain);
        }
        let (rpc, decision) = self.core.accept(now, arrival);
        if let Decision::Reject { retry_after: come_back } = decision {
            self.now += REFUSE * slow;
            self.second(want.due)[want.method as usize][2] += 1;
            self.come_back.push(come_back.secs());
            self.firsts_refused += u32::from(!want.repeat);
            self.by_client[want.client][1] += 1;
            if let Some(governor) = &mut self.governor {
                governor.record_rejected();
            }
        } else {
            rpc.abandon(&mut self.core);
            self.now += SERVE * slow;
            self.repeats_served += u32::from(want.repeat);
            self.by_client[want.client][0] += 1;
            if self.now <= want.due + want.patience {
                self.second(want.due)[want.method as usize][1] += 1;
            } else {
                self.late += 1;
            }
            if let Some(governor) = &mut self.governor {
                governor.record_served(at(self.now), want.method, 1024);
            }
        }
    }

    fn sum(&self, method: u32, from: usize, to: usize) -> [u32; 3] {
        let rows = self.seconds[from..to.min(self.seconds.len())].iter();
        rows.fold([0; 3], |sum, row| std::array::from_fn(|nth| sum[nth] + row[method as usize][nth]))
    }

    /// The delay that all but a thousandth of what was due in between kept.
    fn delay(&self, from: f64, to: f64) -> f64 {
        let mut delays: Vec<f64> =
            self.delays.iter().filter(|(due, _)| (from..to).contains(due)).map(|&(_, delay)| delay).collect();
        delays.sort_by(f64::total_cmp);
        delays[delays.len() - 1 - delays.len() / 1000]
    }
}

fn mixed(dice: &mut Dice, _: f64) -> Want {
    let method = if dice.part() < 0.1 { WRITE } else { READ };
    let client = (dice.part() * 200.0) as usize;
    Want { due: 0.0, method, client, repeat: false, patience: WAIT }
}

/// Half of what the server can do when calm, three times that between the fifth second and the 35th.
fn surge(now: f64) -> f64 {
    let calm = 0.5 / SERVE;
    if (5.0..35.0).contains(&now) { calm * 3.0 } else { calm }
}

#[test]
fn three_times_the_load_for_half_a_minute_and_back() {
    let mut front = Front::new(true, 200, 1);
    front.play(40.0, surge, mixed);
    let [due, served, _] = front.sum(WRITE, 5, 35);
    assert!(f64::from(served) > 0.99 * f64::from(due), "writes: {served} of {due}");
    assert!(front.delay(5.0, 35.0) < 0.050, "{}", front.delay(5.0, 35.0));
    assert_eq!(front.late, 0, "no client without an answer in its time");
    let [due, served, _] = front.sum(READ, 37, 40);
    assert_eq!(due, served, "calm again two seconds after");
    let [_, reads, _] = front.sum(READ, 5, 35);
    assert!(f64::from(reads) > 0.5 * 30.0 / SERVE, "what room there is serves reads: {reads}");
    // Without it the queue grows past every client's time.
    let mut front = Front::new(false, 200, 1);
    front.play(40.0, surge, mixed);
    let [due, served, _] = front.sum(WRITE, 5, 35);
    assert!(f64::from(served) < 0.3 * f64::from(due) && front.late > 100_000);
}

#[test]
fn one_client_that_floods_among_two_hundred_sheds_itself() {
    let mut front = Front::new(true, 201, 2);
    // 200 polite clients with 0.4 of what can be served; one that sends twice as much as can be.
    front.play(
        10.0,
        |_| 2.4 / SERVE,
        |dice, _| {
            let floods = dice.part() < 2.0 / 2.4;
            let client = if floods { 200 } else { (dice.part() * 200.0) as usize };
            Want { due: 0.0, method: READ, client, repeat: false, patience: WAIT }
        },
    );
    let polite = front.by_client[..200].iter().fold([0, 0], |sum, one| [sum[0] + one[0], sum[1] + one[1]]);
    assert!(f64::from(polite[1]) < 0.02 * f64::from(polite[0]), "polite ones: {polite:?}");
    assert!(front.by_client[200][1] > front.by_client[200][0], "{:?}", front.by_client[200]);
}

#[test]
fn repeats_go_before_first_tries_and_what_nobody_waits_for_before_both() {
    let mut front = Front::new(true, 200, 3);
    front.play(
        10.0,
        |_| 1.6 / SERVE,
        |dice, _| {
            let repeat = dice.part() < 0.5;
            Want { repeat, ..mixed(dice, 0.0) }
        },
    );
    let firsts = front.sum(READ, 1, 10)[0] + front.sum(WRITE, 1, 10)[0];
    assert!(
        f64::from(front.firsts_refused) < 0.02 * f64::from(firsts),
        "{} of {firsts}",
        front.firsts_refused
    );
    // Clients that leave before a read could be answered: under pressure none of their work is done.
    let mut front = Front::new(true, 200, 4);
    front.play(
        10.0,
        |_| 1.6 / SERVE,
        |dice, _| {
            let hasty = dice.part() < 0.5;
            Want { client: usize::from(hasty), patience: if hasty { 0.05 } else { WAIT }, ..mixed(dice, 0.0) }
        },
    );
    let [hasty, patient] = [front.by_client[1], front.by_client[0]];
    assert!(hasty[1] > 10 * patient[1], "hasty {hasty:?}, patient {patient:?}");
}

#[test]
fn only_writes_at_three_times_are_refused_in_part_and_served_in_time() {
    let mut front = Front::new(true, 200, 5);
    front.play(10.0, |_| 3.0 / SERVE, |dice, _| Want { method: WRITE, ..mixed(dice, 0.0) });
    let [due, served, refused] = front.sum(WRITE, 1, 10);
    // With refusing at a tenth of serving, (1 - 3 / 10) / (1 - 1 / 10) of a server's time is left.
    assert!(f64::from(served) > 0.6 * 9.0 / SERVE, "{served} of {due}");
    assert!(refused > served && front.late == 0);
    assert!(front.delay(1.0, 10.0) < 0.06, "{}", front.delay(1.0, 10.0));
}

#[test]
fn a_stall_of_800_ms_sheds_little_of_what_came_meanwhile() {
    let mut front = Front::new(true, 200, 6);
    front.play(2.0, |_| 0.5 / SERVE, mixed);
    // The process does not run: arrivals wait, and it knows when it woke.
    let woke = front.now + 0.8;
    let mut due = front.now;
    while due < woke {
        let want = Want { due, ..mixed(&mut front.dice, 0.0) };
        front.second(due)[want.method as usize][0] += 1;
        front.queue.push_back(want);
        due += SERVE * 2.0;
    }
    front.now = woke;
    front.governor.as_mut().expect("it watches").record_stall(at(woke));
    front.play(5.0, |_| 0.5 / SERVE, mixed);
    assert_eq!(front.late, 0, "each is answered in its time");
    let [due, served, _] = front.sum(WRITE, 2, 4);
    assert!(f64::from(served) > 0.97 * f64::from(due), "writes: {served} of {due}");
    let [due, served, _] = front.sum(READ, 5, 7);
    assert_eq!(due, served, "calm again two seconds after");
}

#[test]
fn a_hog_that_takes_half_of_the_core_is_met_like_a_load() {
    let mut front = Front::new(true, 200, 7);
    front.slowness = |now| if (3.0..8.0).contains(&now) { 3.0 } else { 1.0 };
    front.play(12.0, |_| 0.8 / SERVE, mixed);
    let [due, served, _] = front.sum(WRITE, 3, 8);
    assert!(f64::from(served) > 0.99 * f64::from(due), "writes: {served} of {due}");
    assert_eq!(front.late, 0);
    assert!(front.delay(3.0, 8.0) < 0.06, "{}", front.delay(3.0, 8.0));
    let [due, served, _] = front.sum(READ, 10, 12);
    assert_eq!(due, served, "calm again two seconds after");
}

#[test]
fn the_level_does_not_flutter_under_a_steady_load() {
    for (seed, load) in [(8, 1.1), (9, 1.5), (10, 2.0), (11, 3.0)] {
        let mut front = Front::new(true, 200, seed);
        front.play(
            20.0,
            if load == 1.1 {
                |_| 1.1 / SERVE
            } else if load == 1.5 {
                |_| 1.5 / SERVE
            } else if load == 2.0 {
                |_| 2.0 / SERVE
            } else {
                |_| 3.0 / SERVE
            },
            mixed,
        );
        assert!(front.notes.len() <= 20, "{load}: {} changes in 20 s", front.notes.len());
        let Some((_, OverloadEvent::LevelChanged { after: now, .. })) = front.notes.first() else {
            panic!("{load}: no level was told")
        };
        assert_ne!(*now, Level::Calm);
    }
}

#[test]
fn the_time_to_come_back_grows_with_the_pressure_and_is_spread() {
    let told = |load: Pace| {
        let mut front = Front::new(true, 200, 12);
        front.play(6.0, load, mixed);
        let all = &front.come_back[front.come_back.len() / 2..];
        let mean = all.iter().sum::<f64>() / all.len() as f64;
        let spread =
            all.iter().fold((f64::MAX, 0.0f64), |(least, most), &one| (least.min(one), most.max(one)));
        assert!(all.iter().all(|&one| one > 0.0 && one <= 0.5), "within what the deployment allows");
        assert!(spread.1 > 1.5 * spread.0, "{spread:?}");
        mean
    };
    let (little, much) = (told(|_| 1.2 / SERVE), told(|_| 4.0 / SERVE));
    assert!(much > 1.2 * little, "{little} {much}");
}

#[test]
fn memory_presses_by_itself_and_slow_readers_are_waited_for_less() {
    let allowance =
        ResourceLimits { cores: 1.0, memory_bytes: 100 << 20, buffer_bytes: 25 << 20, descriptors: 1000 };
    let mut governor = Governor::new(at(0.0), Settings::default(), allowance, 2);
    let look = |resident| ResourceSample {
        wall: Span::from_millis(50),
        resident_bytes: resident,
        ..ResourceSample::default()
    };
    for nth in 0..100 {
        governor.record_sample(at(f64::from(nth) * 0.05), look(50 << 20));
    }
    assert_eq!((governor.pressure(), governor.accept_budget(64)), (0.0, 64));
    let patient = governor.slow_reader_timeout();
    for nth in 100..200 {
        governor.record_sample(at(f64::from(nth) * 0.05), look(90 << 20));
    }
    assert!(governor.pressure() > 0.5, "{}", governor.pressure());
    assert!(governor.slow_reader_timeout() < patient && governor.accept_budget(64) < 32);
    for nth in 200..300 {
        governor.record_sample(at(f64::from(nth) * 0.05), look(50 << 20));
    }
    assert!(governor.pressure() < 0.01 && governor.level() == Level::Calm);
}
