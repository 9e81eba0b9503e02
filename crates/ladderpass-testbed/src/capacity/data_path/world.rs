//! One router's own code without sockets, in simulated time, before members that answer after a given time
//! and clients that each ask now and then: exact counts, and the CPU time of the router's part alone.
//!
//! It owns the world around the reducer. It must never read a clock but to count CPU time, and must never be
//! what a figure of a machine is taken from: system calls are not in it.

use ladderpass::launch::Launch;
use ladderpass::reducer::{ConnectionId, Effect, Event, Reducer};
use ladderpass_emulator::scenario::RouterLimits;
use ladderpass_emulator::{Scenario, proto};
use ladderpass_routing::{Endpoint, EndpointState, EndpointUpdate, MemberId, Router, Span, Time};
use nix::time::{ClockId, clock_gettime};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::Exp1;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};

/// What stands around the router, and how much is asked of it.
#[derive(Clone, Debug)]
pub struct Shape {
    pub groups: u32,
    /// Statements a second, a fifth of them writes, over so many clients by chance.
    pub rate: f64,
    pub clients: usize,
    /// From a statement's way out until its answer, by chance about this mean; the way alone takes a tenth of
    /// it.
    pub answer: Span,
    /// Routers that there are, for what each takes for its part; no others are in this world.
    pub routers: u32,
    /// How old a read's data may be.
    pub bound_ms: f64,
    pub sockets: usize,
    pub memory_mb: u64,
    /// In place of the time after which the router closes a client that rests.
    pub client_idle: Option<Span>,
    /// Routers tell each other what members told them, and share rounds of probes; nobody is heard here.
    pub shares_probes: bool,
    /// Part of the members, by chance, that have no connection left for this router and turn it away.
    pub full: f64,
}

/// What was counted over a time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    pub secs: f64,
    pub statements: f64,
    pub served: f64,
    pub refused: f64,
    /// Reads, and those of them that the primary was asked for.
    pub reads: f64,
    pub reads_at_primary: f64,
    /// Statements whose client had to open its connection anew.
    pub opened: f64,
    /// Clients whose connection the router closed while they rested.
    pub closed: f64,
    /// Connections to members that were made.
    pub connects: f64,
    pub probes: f64,
    /// Queries and bytes written to members, without welcomes.
    pub queries: f64,
    pub bytes: f64,
    pub turns: f64,
    /// CPU seconds in turns, and in all else that the router's code does.
    pub cpu_turns: f64,
    pub cpu_else: f64,
    /// Means over the time: connections to members, the most of any one, and clients that are open.
    pub links: f64,
    pub most_links: f64,
    pub clients: f64,
    /// Sum of the times from asked to answered, and the longest, in seconds.
    pub waited: f64,
    pub longest: f64,
}

#[derive(Default)]
struct Client {
    conn: Option<ConnectionId>,
    welcomed: bool,
    inbox: Vec<u8>,
    /// What it asks once it is welcomed.
    wants: Option<Vec<u8>>,
    asked: Option<Time>,
}

#[derive(Default)]
struct Link {
    member: Option<usize>,
    opened: bool,
    inbox: Vec<u8>,
}

enum Happening {
    Asks,
    Up(ConnectionId),
    Says(ConnectionId, Vec<u8>),
    Beat(ConnectionId),
    Ends(ConnectionId),
}

pub struct World {
    pub reducer: Reducer,
    pub now: Time,
    shape: Shape,
    discovery: SocketAddr,
    members: HashMap<SocketAddr, usize>,
    agenda: BTreeMap<(Time, u64), Happening>,
    next: u64,
    clients: Vec<Client>,
    of_client: HashMap<ConnectionId, usize>,
    links: HashMap<ConnectionId, Link>,
    of_member: Vec<u32>,
    full: Vec<bool>,
    effects: Vec<Effect>,
    chance: SmallRng,
    counts: Counts,
    /// What one reading of the CPU clock costs.
    reading: f64,
}

/// The CPU time of this thread, in seconds.
pub fn cpu() -> f64 {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)
        .map_or(0.0, |time| time.tv_sec() as f64 + time.tv_nsec() as f64 / 1e9)
}

/// What it costs to read that clock twice, as it shows in what lies in between.
fn reading() -> f64 {
    let mut least = f64::INFINITY;
    for _ in 0..2000 {
        let before = cpu();
        least = least.min(cpu() - before);
    }
    least
}

/// Members of a group here; the size has 940 in 313.
pub const OF_GROUP: u32 = 3;

impl Shape {
    /// So many groups, with the rate a pair of router and member and the time between a client's statements
    /// that the size has.
    pub fn of(groups: u32) -> Shape {
        let rate = f64::from(groups * OF_GROUP) * 520.0 / 940.0;
        Shape {
            groups,
            rate,
            clients: (rate * 5900.0 / 520.0).round().max(1.0) as usize,
            answer: Span::from_millis(5),
            routers: 460,
            bound_ms: 2000.0,
            sockets: 24_000,
            memory_mb: 192,
            client_idle: None,
            shares_probes: false,
            full: 0.0,
        }
    }

    pub fn members(&self) -> usize {
        (self.groups * OF_GROUP) as usize
    }

    fn launch(&self, now: Time, seed: u64) -> Result<Launch, String> {
        let mut scenario = Scenario { groups: self.groups, replicas: OF_GROUP - 1, ..Scenario::default() };
        for method in scenario.methods.iter_mut().filter(|method| !method.writes) {
            method.max_age_ms = Some(self.bound_ms);
        }
        let allowed = RouterLimits { cores: 1.0, memory_mb: self.memory_mb, sockets: self.sockets };
        let address = |nth: usize| SocketAddr::from(([10, 9, (nth >> 8) as u8, nth as u8], 5432));
        let addresses: Vec<SocketAddr> = (0..self.members()).map(address).collect();
        let text = scenario.router_config(now, seed, &allowed, &addresses);
        let mut told: serde_json::Value = serde_json::from_str(&text).map_err(|fault| fault.to_string())?;
        told["settings"]["Balancers"] = self.routers.into();
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let nth = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("ladderpass-pure-{}-{nth}.json", std::process::id()));
        std::fs::write(&path, told.to_string()).map_err(|fault| fault.to_string())?;
        let variable = |key: &str| match key {
            "RELAY_NAME" => Some("pure".to_owned()),
            "RELAY_LISTEN" => Some("127.0.0.1:6432".to_owned()),
            "RELAY_DISCOVERY" => Some("127.0.0.1:8500".to_owned()),
            "RELAY_CONFIG" => Some(path.to_str()?.to_owned()),
            _ => None,
        };
        let launch = Launch::read(variable, None);
        // It is this function's own; one that stays behind harms nothing.
        let _ = std::fs::remove_file(&path);
        let mut launch = launch.map_err(|errors| errors.to_string())?;
        launch.limits.client_idle_timeout = self.client_idle.unwrap_or(launch.limits.client_idle_timeout);
        launch.settings.deployment.gossip = self.shares_probes;
        Ok(launch)
    }
}

/// From one side of a connection to the other; and how often discovery says that there is nothing new.
const WAY: Span = Span::from_nanos(200_000);
const BEAT: Span = Span::from_millis(2000);

impl World {
    pub fn new(shape: &Shape, seed: u64) -> Result<World, String> {
        let now = Time::from_nanos(1_796_000_000_000_000_000);
        let launch = shape.launch(now, seed)?;
        let mut members = HashMap::new();
        for (nth, instance) in launch.cached_endpoints.instances.iter().enumerate() {
            let address = instance.host_port.parse().map_err(|_| "an address of its own".to_owned())?;
            members.insert(address, nth);
        }
        let discovery = launch.discovery;
        let mut chance = SmallRng::seed_from_u64(seed);
        let full = (0..members.len()).map(|_| shape.full > 0.0 && chance.random::<f64>() < shape.full);
        let mut world = World {
            of_member: vec![0; members.len()],
            full: full.collect(),
            reducer: Reducer::start(now, launch),
            now,
            shape: shape.clone(),
            discovery,
            members,
            agenda: BTreeMap::new(),
            next: 0,
            clients: (0..shape.clients).map(|_| Client::default()).collect(),
            of_client: HashMap::new(),
            links: HashMap::new(),
            effects: Vec::new(),
            chance,
            counts: Counts::default(),
            reading: reading(),
        };
        if shape.rate > 0.0 {
            let gap = world.gap();
            world.plan(gap, Happening::Asks);
        }
        Ok(world)
    }

    /// Lets it go on for so long, and tells what came to pass meanwhile.
    pub fn run(&mut self, span: Span) -> Counts {
        self.counts = Counts::default();
        let (began, ends) = (self.now, self.now + span);
        // What is due at once; after the start that is the most.
        self.pump();
        loop {
            let next = self.agenda.first_key_value().map_or(ends, |(&(at, _), _)| at);
            let wake = self.reducer.wake_at().unwrap_or(ends);
            // As the loop over sockets: it looks round at least this often.
            let longest = self.now + Span::from_millis(50);
            let at = next.min(wake.max(self.now)).min(longest).min(ends);
            let passed = (at - self.now).secs();
            self.counts.links += passed * self.of_member.iter().map(|&links| f64::from(links)).sum::<f64>();
            self.counts.clients += passed * self.of_client.len() as f64;
            let most = self.of_member.iter().copied().max().unwrap_or(0);
            self.counts.most_links = self.counts.most_links.max(f64::from(most));
            self.now = at;
            if at >= ends {
                break;
            }
            while let Some(first) = self.agenda.first_entry()
                && first.key().0 <= at
            {
                let happening = first.remove();
                self.happens(happening);
            }
            self.pump();
        }
        let mut counts = self.counts;
        counts.secs = (self.now - began).secs();
        counts.links /= counts.secs;
        counts.clients /= counts.secs;
        counts
    }

    /// All clients open, and rest.
    pub fn open_all(&mut self) {
        for index in 0..self.clients.len() {
            self.open(index);
            self.pump();
        }
    }

    /// The core alone with this list, for passes over its members.
    pub fn core(shape: &Shape, seed: u64) -> Result<(Router, Time), String> {
        let now = Time::from_nanos(1_796_000_000_000_000_000);
        let launch = shape.launch(now, seed)?;
        let mut router = Router::start(now, seed, launch.settings.deployment);
        let entries: Vec<Endpoint> = (0..shape.members() as u32)
            .map(|nth| Endpoint {
                member: MemberId(nth),
                group: nth / OF_GROUP,
                machine_kind: 0,
                zone: 0,
                id_hash: nth,
                concurrency: None,
                state: EndpointState::Active,
                started_at: None,
                primary: nth % OF_GROUP == 0,
            })
            .collect();
        router.on_endpoint_update(now, EndpointUpdate::Complete(&entries));
        Ok((router, now))
    }

    /// CPU seconds of a turn in which nothing is to be done, over so many.
    pub fn idle_turn(&mut self, turns: usize) -> f64 {
        let before = cpu();
        for _ in 0..turns {
            self.reducer.handle(self.now, Event::Tick);
        }
        (cpu() - before) / turns as f64
    }

    fn gap(&mut self) -> Span {
        let gap: f64 = self.chance.sample(Exp1);
        Span::from_secs_f64(gap / self.shape.rate)
    }

    fn plan(&mut self, after: Span, happening: Happening) {
        self.next += 1;
        self.agenda.insert((self.now + after, self.next), happening);
    }

    /// Batches of what came and the router's turns, as the loop over sockets has them.
    fn pump(&mut self) {
        loop {
            self.carry_out();
            self.apply(Event::Tick);
            if !self.carry_out() {
                return;
            }
        }
    }

    fn apply(&mut self, event: Event) {
        let turn = matches!(event, Event::Tick);
        let before = cpu();
        let effects = self.reducer.handle(self.now, event);
        let took = (cpu() - before - self.reading).max(0.0);
        if turn {
            self.counts.turns += 1.0;
            self.counts.cpu_turns += took;
        } else {
            self.counts.cpu_else += took;
        }
        self.effects.extend(effects);
    }

    /// Did anything come of it?
    fn carry_out(&mut self) -> bool {
        let mut stirred = false;
        while !self.effects.is_empty() {
            for effect in std::mem::take(&mut self.effects) {
                match effect {
                    Effect::Connect(id, address) => self.connects(id, address),
                    Effect::Write(id) => stirred |= self.write(id),
                    Effect::Close(id) => self.closes(id),
                    Effect::CloseIfQuiet(id) => {
                        let effects = self.reducer.handle(self.now, Event::ReadToEnd(id));
                        self.effects.extend(effects);
                    }
                    Effect::Read(_)
                    | Effect::Accept(_)
                    | Effect::SendDatagrams
                    | Effect::StopListening
                    | Effect::Exit => {}
                }
            }
        }
        stirred
    }

    fn connects(&mut self, id: ConnectionId, address: SocketAddr) {
        let member = self.members.get(&address).copied().filter(|_| address != self.discovery);
        if let Some(member) = member {
            self.counts.connects += 1.0;
            self.of_member[member] += 1;
        }
        self.links.insert(id, Link { member, ..Link::default() });
        self.plan(WAY + WAY, Happening::Up(id));
    }

    fn closes(&mut self, id: ConnectionId) {
        if let Some(link) = self.links.remove(&id) {
            if let Some(member) = link.member {
                self.of_member[member] -= 1;
            }
        } else if let Some(index) = self.of_client.remove(&id) {
            let client = std::mem::take(&mut self.clients[index]);
            match client.asked {
                // Closed on one that waits: the crossing of a close and a statement, which its client has to
                // ask again.
                Some(_) => self.counts.refused += 1.0,
                None => self.counts.closed += 1.0,
            }
        }
    }

    fn write(&mut self, id: ConnectionId) -> bool {
        let bytes = self.reducer.outgoing(id).to_vec();
        if bytes.is_empty() {
            return false;
        }
        self.apply(Event::Written(id, bytes.len()));
        if let Some(&index) = self.of_client.get(&id) {
            self.client_reads(index, &bytes);
        } else {
            self.member_reads(id, &bytes);
        }
        true
    }

    fn client_reads(&mut self, index: usize, bytes: &[u8]) {
        let client = &mut self.clients[index];
        client.inbox.extend_from_slice(bytes);
        let (mut used, mut served) = (0, false);
        while let Some((kind, _, length)) = proto::parse_frame(client.inbox.get(used..).unwrap_or_default()) {
            used += length;
            served |= kind == b'D';
            match (kind, client.welcomed) {
                (b'Z', false) => {
                    client.welcomed = true;
                    if let (Some(query), Some(conn)) = (client.wants.take(), client.conn) {
                        // There and back again.
                        self.next += 1;
                        self.agenda.insert((self.now + WAY * 2.0, self.next), Happening::Says(conn, query));
                    }
                }
                (b'Z', true) => {
                    if let Some(asked) = client.asked.take() {
                        let took = (self.now - asked).secs();
                        self.counts.waited += took;
                        self.counts.longest = self.counts.longest.max(took);
                        *(if served { &mut self.counts.served } else { &mut self.counts.refused }) += 1.0;
                    }
                    served = false;
                }
                _ => {}
            }
        }
        client.inbox.drain(..used);
    }

    fn member_reads(&mut self, id: ConnectionId, bytes: &[u8]) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let Some(member) = link.member else {
            let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
            self.plan(WAY + WAY, Happening::Says(id, head));
            return self.plan(WAY * 3.0, Happening::Beat(id));
        };
        link.inbox.extend_from_slice(bytes);
        let mut used = 0;
        let mut said = Vec::new();
        if !link.opened {
            let Some(length) = proto::parse_startup(&link.inbox) else { return };
            (link.opened, used) = (true, length);
            let mut welcome = Vec::new();
            if self.full.get(member).copied().unwrap_or(false) {
                link.inbox.clear();
                proto::put_error(&mut welcome, "FATAL", "53300");
                self.plan(WAY + WAY, Happening::Says(id, welcome));
                return self.plan(WAY * 2.0, Happening::Ends(id));
            }
            proto::put_startup_response(&mut welcome);
            said.push((WAY + WAY, welcome));
        }
        // What stands behind a query is answered after it.
        let mut after = WAY + WAY;
        while let Some((_, body, length)) = proto::parse_frame(link.inbox.get(used..).unwrap_or_default()) {
            used += length;
            self.counts.queries += 1.0;
            self.counts.bytes += length as f64;
            let statement = std::str::from_utf8(body).unwrap_or_default().trim_end_matches('\0');
            let primary = (member as u32).is_multiple_of(OF_GROUP);
            let mut answer = Vec::new();
            match statement {
                "" => {
                    proto::put_message(&mut answer, b'I', &[]);
                    proto::put_ready(&mut answer);
                }
                "SHOW server_load" => {
                    self.counts.probes += 1.0;
                    let position = self.now.nanos() as f64 / 1e9;
                    let report = format!("x0={position:.6},x1={},q=0", u8::from(primary));
                    proto::put_row(&mut answer, report.as_bytes(), false, primary, None);
                }
                _ => {
                    let writes = statement.starts_with("INSERT");
                    if !writes && primary {
                        self.counts.reads_at_primary += 1.0;
                    }
                    let work: f64 = self.chance.sample(Exp1);
                    after += self.shape.answer * (0.9 * work);
                    proto::put_row(&mut answer, &[b'x'; 64], writes, primary, Some(self.now));
                }
            }
            said.push((after, answer));
        }
        link.inbox.drain(..used);
        said.into_iter().for_each(|(after, bytes)| self.plan(after, Happening::Says(id, bytes)));
    }

    fn happens(&mut self, happening: Happening) {
        match happening {
            Happening::Asks => {
                self.asks();
                let gap = self.gap();
                self.plan(gap, Happening::Asks);
            }
            Happening::Up(id) => {
                if self.links.contains_key(&id) {
                    self.apply(Event::Connected(id));
                }
            }
            Happening::Says(id, bytes) => {
                if self.links.contains_key(&id) || self.of_client.contains_key(&id) {
                    self.feed(id, &bytes);
                }
            }
            Happening::Ends(id) => {
                if self.links.contains_key(&id) {
                    self.apply(Event::Closed(id));
                }
            }
            Happening::Beat(id) => {
                if self.links.contains_key(&id) {
                    self.feed(id, b"1\r\n\n\r\n");
                    self.plan(BEAT, Happening::Beat(id));
                }
            }
        }
    }

    fn feed(&mut self, id: ConnectionId, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let before = cpu();
            let room = self.reducer.read_buffer(id);
            let took = cpu() - before - self.reading;
            let (now, later) = bytes.split_at(room.len().min(bytes.len()));
            if now.is_empty() {
                // There is no room: what stands behind it waits with it.
                return self.plan(WAY, Happening::Says(id, later.to_vec()));
            }
            room[..now.len()].copy_from_slice(now);
            self.counts.cpu_else += took.max(0.0);
            self.apply(Event::Received(id, now.len(), Span::ZERO));
            bytes = later;
        }
    }

    fn open(&mut self, index: usize) -> ConnectionId {
        let id = self.reducer.next_id();
        self.of_client.insert(id, index);
        self.clients[index] = Client { conn: Some(id), ..Client::default() };
        self.apply(Event::Accepted(id));
        let mut startup = Vec::new();
        proto::put_startup(&mut startup);
        self.feed(id, &startup);
        id
    }

    /// A client by chance asks; where that one still waits, the next that doesn't.
    fn asks(&mut self) {
        let from = self.chance.random_range(0..self.clients.len().max(1));
        let mut free = (0..self.clients.len()).map(|step| (from + step) % self.clients.len());
        let Some(index) = free.find(|&index| self.clients[index].asked.is_none()) else { return };
        let group = self.chance.random_range(0..self.shape.groups);
        let writes = self.chance.random::<f64>() < 0.2;
        self.counts.statements += 1.0;
        self.counts.reads += f64::from(u8::from(!writes));
        self.next += 1;
        let id = self.next;
        let query = super::query(id, u64::from(group), writes);
        let open = self.clients[index].conn.filter(|_| self.clients[index].welcomed);
        match open {
            Some(conn) => self.feed(conn, &query),
            None => {
                self.counts.opened += 1.0;
                self.open(index);
                self.clients[index].wants = Some(query);
            }
        }
        self.clients[index].asked = Some(self.now);
    }
}
