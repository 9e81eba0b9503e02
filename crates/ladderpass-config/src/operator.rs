//! The operator's file: what an installation may set beside what the platform tells. YAML, read and checked whole.
//!
//! It owns the file's form, its units and its defaults. A fault is one line that names the line, the key and what is
//! allowed. It must never keep what it has read, nor guess at what it can't read.

use crate::Faults;
use ladderpass_overload::{Band, Settings};
use ladderpass_routing::Span;
use serde::Deserialize;
use serde_saphyr::Spanned;
use std::net::{IpAddr, SocketAddr};

/// What the file may hold. Without the file none of it acts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operator {
    pub log: Log,
    /// None: the router does not watch itself.
    pub overload: Option<Settings>,
    /// None: routers tell each other nothing.
    pub peers: Option<Peers>,
    /// Overload is answered by all routers as one.
    pub shared_admission: bool,
    /// Further call-outs are paid from a budget of all routers.
    pub shared_retry_budget: bool,
    /// What the list says of zones and sizes is used: the zone of this router, and whether weights are sizes.
    pub zone: Option<String>,
    pub weights_are_concurrency: bool,
}

/// The routers that tell each other who is alive and what members told them, by datagrams.
#[derive(Clone, Debug, PartialEq)]
pub struct Peers {
    /// Where this router hears the others, and where they send to.
    pub listen: SocketAddr,
    pub address: SocketAddr,
    /// Where others may be found; those found there tell of the rest.
    pub listed: Vec<SocketAddr>,
    /// From where routers that nobody has listed may join: address and bits.
    pub networks: Vec<(IpAddr, u8)>,
    /// It is the form of before: a fixed order, of which this router takes the addresses alone.
    pub legacy_form: bool,
}

const PEERS_MOST: usize = 1000;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Log {
    pub json: bool,
    /// How often the figures are logged.
    pub metrics_interval: Span,
}

impl Default for Log {
    fn default() -> Log {
        Log { json: false, metrics_interval: Span::from_millis(10_000) }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Shape {
    log: Option<LogShape>,
    overload: Option<OverloadShape>,
    peers: Option<PeersShape>,
    fleet: Option<FleetShape>,
    members: Option<MembersShape>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PeersShape {
    listen: Option<Spanned<String>>,
    address: Option<Spanned<String>>,
    listed: Option<Vec<Spanned<String>>>,
    networks: Option<Vec<Spanned<String>>>,
    me: Option<Spanned<u32>>,
    all: Option<Vec<Spanned<String>>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FleetShape {
    sheds: Spanned<bool>,
    budgets: Option<Spanned<bool>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct MembersShape {
    zone: Option<Spanned<String>>,
    sizes: Option<bool>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LogShape {
    format: Option<Spanned<String>>,
    figures: Option<Spanned<String>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct OverloadShape {
    enabled: Option<bool>,
    delay: Option<TimeBand>,
    cpu: Option<PartBand>,
    memory: Option<PartBand>,
    rings: Option<PartBand>,
    descriptors: Option<PartBand>,
    rise: Option<Spanned<String>>,
    fall: Option<Spanned<String>>,
    calm_after: Option<Spanned<String>>,
    look: Option<Spanned<String>>,
    fair: Option<Spanned<f64>>,
    slow_reader: Option<Spanned<String>>,
    slow_reader_bytes: Option<Spanned<String>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TimeBand {
    from: Option<Spanned<String>>,
    full: Option<Spanned<String>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PartBand {
    from: Option<Spanned<f64>>,
    full: Option<Spanned<f64>>,
}

/// Reads the text of the file; an empty one holds defaults throughout. What is wrong is told whole, a line a
/// fault.
pub fn read(text: &str) -> Result<Operator, String> {
    if is_empty(text) {
        return Ok(Operator::default());
    }
    let mut faults = Faults::default();
    let (shape, whole) = shape(text, &mut faults);
    let mut operator = Operator::default();
    if let Some(shape) = shape {
        // Where a key could not be read, one that goes with it may only seem to be missing.
        let mut odd = Faults::default();
        sections(shape, &mut operator, &mut faults, &mut odd);
        if whole && let Err(told) = odd.none() {
            faults.tell(told);
        }
    }
    faults.none().map(|()| operator)
}

/// Checks what was read, section by section. `odd` hears of what is wrong only together: missing, or not to
/// be combined.
fn sections(shape: Shape, operator: &mut Operator, faults: &mut Faults, odd: &mut Faults) {
    if let Some(log) = shape.log {
        operator.log.json = match log.format.as_ref().map(|format| (format.value.as_str(), format)) {
            None | Some(("text", _)) => false,
            Some(("json", _)) => true,
            Some((other, format)) => {
                faults.tell(at(format, "log.format", &format!("{other:?}; allowed are text and json")));
                false
            }
        };
        faults.keep(span(&mut operator.log.metrics_interval, "log.figures", log.figures, 100, 3_600_000));
    }
    operator.overload = match shape.overload {
        Some(overload) if overload.enabled != Some(false) => Some(settings(overload, faults, odd)),
        _ => None,
    };
    let has_peers = shape.peers.is_some();
    operator.peers = shape.peers.and_then(|shape| peers(shape, faults, odd));
    if let Some(fleet) = shape.fleet {
        if fleet.sheds.value && !has_peers {
            let text = "true without peers; allowed is it together with peers";
            odd.tell(at(&fleet.sheds, "fleet.sheds", text));
        }
        operator.shared_admission = fleet.sheds.value;
        if let Some(budgets) = fleet.budgets {
            if budgets.value && !operator.shared_admission {
                let text = "true without fleet.sheds; allowed is it together with that";
                odd.tell(at(&budgets, "fleet.budgets", text));
            }
            operator.shared_retry_budget = budgets.value;
        }
    }
    if let Some(members) = shape.members {
        if let Some(zone) = members.zone.as_ref().filter(|zone| zone.value.trim().is_empty()) {
            faults.tell(at(zone, "members.zone", "empty; allowed is the name of a zone of the list"));
        }
        operator.zone = members.zone.map(|zone| zone.value);
        operator.weights_are_concurrency = members.sizes.unwrap_or(false);
    }
}

fn is_empty(text: &str) -> bool {
    text.lines().all(|line| line.trim().is_empty() || line.trim_start().starts_with('#'))
}

/// Keys that can't be read are looked for so often at most: each is a reading of the whole file.
const KEYS_MOST: usize = 50;

/// The file's keys, and whether all of them could be read. The library ends at the first that can't: its
/// fault is kept, and the rest is read without that key and what stands below it.
fn shape(text: &str, faults: &mut Faults) -> (Option<Shape>, bool) {
    let mut text = text.to_owned();
    for nth in 0..KEYS_MOST {
        let fault = match serde_saphyr::from_str::<Shape>(&text) {
            Ok(shape) => return (Some(shape), nth == 0),
            Err(fault) => fault,
        };
        // A key that only went with one left out before.
        if nth == 0 || !fault.without_snippet().to_string().contains("missing field") {
            faults.tell(one_line(&text, &fault));
        }
        let left = fault.location().and_then(|location| without(&text, location.line() as usize));
        // Where it is no YAML at all, there are no keys to go by.
        let is_yaml = serde_saphyr::from_str::<serde::de::IgnoredAny>(&text).is_ok();
        match left.filter(|left| is_yaml && !is_empty(left)) {
            Some(left) => text = left,
            None => return (None, false),
        }
    }
    (None, false)
}

/// The text without a line, counted from 1 on, and the deeper ones behind it: empty lines stand in their
/// place. None where there is nothing to take out.
fn without(text: &str, number: usize) -> Option<String> {
    let depth = |line: &str| line.len() - line.trim_start().len();
    let first = text.lines().nth(number.checked_sub(1)?).filter(|line| !line.trim().is_empty())?;
    // Items of a list may stand as deep as their key.
    let is_item = |line: &str| line.trim_start().starts_with('-');
    let mut within = false;
    let kept = text.lines().enumerate().map(|(nth, line)| {
        let below =
            depth(line) > depth(first) || depth(line) == depth(first) && is_item(line) && !is_item(first);
        within = nth + 1 == number || within && (below || line.trim().is_empty());
        if within { "" } else { line }
    });
    Some(kept.collect::<Vec<_>>().join("\n") + "\n")
}

fn peers(shape: PeersShape, faults: &mut Faults, odd: &mut Faults) -> Option<Peers> {
    if let (Some(me), Some(all)) = (&shape.me, &shape.all) {
        return earlier(me, all, faults, odd);
    }
    let named = shape.listen.as_ref().or(shape.address.as_ref());
    let lone = shape.me.as_ref().map(line).or(shape.all.iter().flatten().next().map(line));
    if let Some(line) = lone {
        odd.tell(format!("line {line}: peers: me and all stand together; allowed are listen and listed"));
    }
    if shape.listen.is_none() && lone.is_none() {
        let line = named.or(shape.listed.iter().flatten().next()).map_or(0, line);
        odd.tell(format!("line {line}: peers.listen: missing; allowed is address:port"));
    }
    let own = shape.listen.as_ref().and_then(|listen| faults.keep(address(listen, "peers.listen")));
    let told = shape.address.as_ref().and_then(|told| faults.keep(address(told, "peers.address")));
    let listed = shape.listed.unwrap_or_default();
    let networks = shape.networks.unwrap_or_default();
    if let Some(listen) = shape.listen.as_ref().filter(|_| listed.is_empty() && networks.is_empty()) {
        odd.tell(at(listen, "peers.listed", "no address and no network; allowed is at least one"));
    }
    let networks = networks.iter().filter_map(|text| faults.keep(network(text))).collect();
    let listed = addresses(&listed, "peers.listed", faults);
    let own = own?;
    Some(Peers { listen: own, address: told.unwrap_or(own), listed, networks, legacy_form: false })
}

/// The form of before: the same list everywhere, in the same order, and which of it each router is.
fn earlier(
    me: &Spanned<u32>,
    all: &[Spanned<String>],
    faults: &mut Faults,
    odd: &mut Faults,
) -> Option<Peers> {
    let listed = addresses(all, "peers.all", faults);
    if all.len() < 2 {
        let text = format!("{}; allowed are 2 to {PEERS_MOST} addresses", all.len());
        odd.tell(at(me, "peers.all", &text));
    } else if me.value as usize >= all.len() {
        odd.tell(at(me, "peers.me", &format!("{}; allowed are 0 to {}", me.value, all.len() - 1)));
    }
    let own = listed.get(me.value as usize).copied()?;
    Some(Peers { listen: own, address: own, listed, networks: Vec::new(), legacy_form: true })
}

fn address(text: &Spanned<String>, key: &str) -> Result<SocketAddr, String> {
    let address = text.value.parse::<SocketAddr>().ok();
    let usable = address.filter(|address| address.port() > 0 && !address.ip().is_unspecified());
    usable.ok_or_else(|| at(text, key, &format!("{:?}; allowed is address:port", text.value)))
}

fn addresses(texts: &[Spanned<String>], key: &str, faults: &mut Faults) -> Vec<SocketAddr> {
    let mut all = Vec::new();
    for text in texts {
        let Some(address) = faults.keep(address(text, key)) else { continue };
        if all.contains(&address) {
            faults.tell(at(text, key, &format!("{address} stands twice; allowed is once")));
        } else if all.len() == PEERS_MOST {
            faults.tell(at(text, key, &format!("more than the {PEERS_MOST} addresses allowed")));
            break;
        } else {
            all.push(address);
        }
    }
    all
}

fn network(text: &Spanned<String>) -> Result<(IpAddr, u8), String> {
    let fault = || at(text, "peers.networks", &format!("{:?}; allowed is address/bits", text.value));
    let (ip, bits) = text.value.split_once('/').ok_or_else(fault)?;
    let (ip, bits) = (ip.parse::<IpAddr>().map_err(|_| fault())?, bits.parse::<u8>().map_err(|_| fault())?);
    let most = if ip.is_ipv4() { 32 } else { 128 };
    if bits > most { Err(fault()) } else { Ok((ip, bits)) }
}

fn settings(shape: OverloadShape, faults: &mut Faults, odd: &mut Faults) -> Settings {
    let mut settings = Settings::default();
    if let Some(delay) = shape.delay {
        let (mut from, mut full) =
            (Span::from_secs_f64(settings.delay.from), Span::from_secs_f64(settings.delay.full));
        let last = delay.full.as_ref().or(delay.from.as_ref()).map(line);
        let from_read = faults.keep(span(&mut from, "overload.delay.from", delay.from, 1, 10_000));
        let full_read = faults.keep(span(&mut full, "overload.delay.full", delay.full, 1, 10_000));
        if from_read.and(full_read).is_some() {
            let band = odd.keep(band("overload.delay", from.secs(), full.secs(), last));
            settings.delay = band.unwrap_or(settings.delay);
        }
    }
    for (key, shape, band_of, most) in [
        ("overload.cpu", shape.cpu, &mut settings.cpu, 10.0),
        ("overload.memory", shape.memory, &mut settings.memory, 1.0),
        ("overload.rings", shape.rings, &mut settings.buffers, 1.0),
        ("overload.descriptors", shape.descriptors, &mut settings.descriptors, 1.0),
    ] {
        let Some(shape) = shape else { continue };
        let last = shape.full.as_ref().or(shape.from.as_ref()).map(line);
        let (mut from, mut full) = (band_of.from, band_of.full);
        let from_read = faults.keep(part(&mut from, &format!("{key}.from"), shape.from, most));
        let full_read = faults.keep(part(&mut full, &format!("{key}.full"), shape.full, most));
        if from_read.and(full_read).is_some() {
            *band_of = odd.keep(band(key, from, full, last)).unwrap_or(*band_of);
        }
    }
    faults.keep(span(&mut settings.rise, "overload.rise", shape.rise, 1, 60_000));
    faults.keep(span(&mut settings.fall, "overload.fall", shape.fall, 1, 60_000));
    faults.keep(span(&mut settings.calm_after, "overload.calm_after", shape.calm_after, 0, 600_000));
    faults.keep(span(&mut settings.sample_interval, "overload.look", shape.look, 5, 10_000));
    faults.keep(span(
        &mut settings.slow_reader_timeout,
        "overload.slow_reader",
        shape.slow_reader,
        100,
        600_000,
    ));
    if let Some(fair) = shape.fair {
        let allowed = (1.0..=1000.0).contains(&fair.value);
        if !allowed {
            faults.tell(at(&fair, "overload.fair", &format!("{}; allowed are 1 to 1000", fair.value)));
        }
        settings.fair_share_multiple = fair.value;
    }
    if let Some(bytes) = shape.slow_reader_bytes {
        let size = bytes.value.parse::<bytesize::ByteSize>().ok().filter(|_| bytes.value.ends_with('B'));
        match size.map(|size| size.as_u64()).filter(|size| (4 << 10..=1 << 30).contains(size)) {
            Some(size) => settings.slow_reader_bytes = size as usize,
            None => {
                let allowed = "; allowed are 4 KiB to 1 GiB, written with their unit";
                let text = format!("{:?}{allowed}", bytes.value);
                faults.tell(at(&bytes, "overload.slow_reader_bytes", &text));
            }
        }
    }
    settings
}

fn line<T>(value: &Spanned<T>) -> u64 {
    value.referenced.line()
}

fn at<T>(value: &Spanned<T>, key: &str, text: &str) -> String {
    format!("line {}: {key}: {text}", line(value))
}

fn span(
    into: &mut Span,
    key: &str,
    value: Option<Spanned<String>>,
    least: i64,
    most: i64,
) -> Result<(), String> {
    let Some(value) = value else { return Ok(()) };
    let allowed = || {
        let text = format!(
            "{:?}; allowed are {least}ms to {most}ms, written with their unit: ms, s, m",
            value.value
        );
        at(&value, key, &text)
    };
    let read = humantime::parse_duration(value.value.trim()).map_err(|_| allowed())?;
    let millis = read.as_secs_f64() * 1e3;
    if millis < least as f64 || millis > most as f64 {
        return Err(allowed());
    }
    *into = Span::from_secs_f64(read.as_secs_f64());
    Ok(())
}

fn part(into: &mut f64, key: &str, value: Option<Spanned<f64>>, most: f64) -> Result<(), String> {
    let Some(value) = value else { return Ok(()) };
    if !(value.value > 0.0 && value.value <= most) {
        let text = format!("{}; allowed is a part above 0 and up to {most}", value.value);
        return Err(at(&value, key, &text));
    }
    *into = value.value;
    Ok(())
}

fn band(key: &str, from: f64, full: f64, line: Option<u64>) -> Result<Band, String> {
    if from < full {
        return Ok(Band::new(from, full));
    }
    let line = line.unwrap_or(0);
    Err(format!("line {line}: {key}: from {from} is not below full {full}; allowed is a band that rises"))
}

/// The library's own fault, in one line, with the key of the line that it points to.
fn one_line(text: &str, fault: &serde_saphyr::Error) -> String {
    let told = fault.without_snippet().to_string();
    let told =
        told.split_whitespace().collect::<Vec<_>>().join(" ").replace("expected one of", "allowed are");
    let Some(location) = fault.location() else { return told };
    let number = location.line();
    let key = text.lines().nth((number as usize).saturating_sub(1)).and_then(|line| line.split_once(':'));
    let key = key.map_or(String::new(), |(key, _)| format!("{}: ", key.trim().trim_start_matches("- ")));
    format!("line {number}: {key}{told}")
}
