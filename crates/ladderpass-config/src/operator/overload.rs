//! The section `overload`: bands (ranges over which the overload pressure rises) and times of the overload control. The
//! defaults are those of `ladderpass-overload`.

use super::errors::{FoundErrors, OperatorFileError, ValueProblem, line};
use super::file::{DelayBand, OverloadSection, ShareBand};
use super::units::{set_duration, set_share, set_slow_reader_bytes};
use ladderpass_overload::{Band, Settings};
use ladderpass_routing::Span;
use serde_saphyr::Spanned;

/// The largest value that the file may set for a share of the allowed CPU time. The value is above 1, because a process
/// can use more CPU time than the cores that it is allowed.
const MAX_CPU_SHARE: f64 = 10.0;
const MAX_SHARE: f64 = 1.0;
const MIN_FAIR_SHARE_MULTIPLE: f64 = 1.0;
const MAX_FAIR_SHARE_MULTIPLE: f64 = 1000.0;

/// Reads the settings of the section `overload`.
pub(super) fn read_overload(section: OverloadSection, errors: &mut FoundErrors) -> Settings {
    let mut settings = Settings::default();
    if let Some(band) = section.delay {
        set_delay_band(&mut settings.delay, band, errors);
    }
    for (key, band, field, max) in [
        ("overload.cpu", section.cpu, &mut settings.cpu, MAX_CPU_SHARE),
        ("overload.memory", section.memory, &mut settings.memory, MAX_SHARE),
        ("overload.rings", section.buffers, &mut settings.buffers, MAX_SHARE),
        ("overload.descriptors", section.descriptors, &mut settings.descriptors, MAX_SHARE),
    ] {
        if let Some(band) = band {
            set_share_band(field, key, band, max, errors);
        }
    }
    for (key, value, field, allowed_ms) in [
        ("overload.rise", section.rise, &mut settings.rise, 1..=60_000),
        ("overload.fall", section.fall, &mut settings.fall, 1..=60_000),
        ("overload.calm_after", section.calm_after, &mut settings.calm_after, 0..=600_000),
        ("overload.look", section.sample_interval, &mut settings.sample_interval, 5..=10_000),
        (
            "overload.slow_reader",
            section.slow_reader_timeout,
            &mut settings.slow_reader_timeout,
            100..=600_000,
        ),
    ] {
        errors.ok_or_push(set_duration(field, key, value, allowed_ms));
    }
    errors
        .ok_or_push(set_fair_share_multiple(&mut settings.fair_share_multiple, section.fair_share_multiple));
    errors.ok_or_push(set_slow_reader_bytes(&mut settings.slow_reader_bytes, section.slow_reader_bytes));
    settings
}

fn set_delay_band(field: &mut Band, band: DelayBand, errors: &mut FoundErrors) {
    let mut from = Span::from_secs_f64(field.from);
    let mut full = Span::from_secs_f64(field.full);
    let last_line = band.full.as_ref().or(band.from.as_ref()).map(line);
    let from_read = errors.ok_or_push(set_duration(&mut from, "overload.delay.from", band.from, 1..=10_000));
    let full_read = errors.ok_or_push(set_duration(&mut full, "overload.delay.full", band.full, 1..=10_000));
    if from_read.and(full_read).is_some() {
        let band = checked_band("overload.delay", from.secs(), full.secs(), last_line);
        *field = errors.combinations.ok_or_push(band).unwrap_or(*field);
    }
}

fn set_share_band(field: &mut Band, key: &str, band: ShareBand, max: f64, errors: &mut FoundErrors) {
    let (mut from, mut full) = (field.from, field.full);
    let last_line = band.full.as_ref().or(band.from.as_ref()).map(line);
    let from_read = errors.ok_or_push(set_share(&mut from, &format!("{key}.from"), band.from, max));
    let full_read = errors.ok_or_push(set_share(&mut full, &format!("{key}.full"), band.full, max));
    if from_read.and(full_read).is_some() {
        *field = errors.combinations.ok_or_push(checked_band(key, from, full, last_line)).unwrap_or(*field);
    }
}

fn checked_band(key: &str, from: f64, full: f64, line: Option<u64>) -> Result<Band, OperatorFileError> {
    if from < full {
        return Ok(Band::new(from, full));
    }
    Err(OperatorFileError::at_line(line.unwrap_or(0), key, ValueProblem::Band { from, full }))
}

fn set_fair_share_multiple(field: &mut f64, multiple: Option<Spanned<f64>>) -> Result<(), OperatorFileError> {
    let Some(multiple) = multiple else { return Ok(()) };
    let (min, max) = (MIN_FAIR_SHARE_MULTIPLE, MAX_FAIR_SHARE_MULTIPLE);
    if !(min..=max).contains(&multiple.value) {
        let problem = ValueProblem::FairShareMultiple { value: multiple.value, min, max };
        return Err(OperatorFileError::at(&multiple, "overload.fair", problem));
    }
    *field = multiple.value;
    Ok(())
}
