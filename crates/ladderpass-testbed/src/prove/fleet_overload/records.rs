//! Plays the drills under overload, and holds their records.

use super::drills::{IGNORES_THRESHOLD, KEEPS_REPORTS_OF_DEAD, REPORTS_TENFOLD};
use super::drills::{clocks_apart, kills_and_split, kills_and_split_with_fault, one_faulty_router};
use super::drills::{separate_admission, shared_admission, single_router};
use crate::drill::play::{DrillRecord, Programs, play};
use crate::prove::parallel::{join, play_in_parallel};
use std::io;

/// The records of all drills under overload.
pub struct OverloadRecords {
    /// The drill in which one router gets almost all RPCs, and so decides with full knowledge.
    pub single: DrillRecord,
    /// The drill in which the routers share admission control.
    pub shared: DrillRecord,
    /// The drill in which each router sheds load by itself.
    pub separate: DrillRecord,
    /// The drill in which routers are killed and the network is split.
    pub failures: DrillRecord,
    /// The drill of the field `failures`, with routers that keep the load reports of dead routers.
    pub keeps_reports_of_dead: DrillRecord,
    /// The drill in which one router does not use the common admission threshold.
    pub ignores_threshold: DrillRecord,
    /// The drill in which one router reports ten times its load.
    pub reports_tenfold: DrillRecord,
    /// The drill in which wall clocks are apart, and one router does not share admission control.
    pub clocks_apart: DrillRecord,
}

/// Plays all drills. Drills that are compared with each other are played in parallel.
///
/// # Errors
/// Returns an error if a drill can't be played.
pub fn play_drills(programs: Programs<'_>, seed: u64) -> io::Result<OverloadRecords> {
    let compared = [&single_router(), &shared_admission(), &separate_admission()];
    let [single, shared, separate] = play_in_parallel(compared, programs, seed)?;
    std::thread::scope(|scope| {
        let failures = scope.spawn(|| play(&kills_and_split(), programs, seed));
        let keeps_reports = kills_and_split_with_fault(KEEPS_REPORTS_OF_DEAD);
        let keeps_reports = scope.spawn(move || play(&keeps_reports, programs, seed));
        let ignores_threshold = play(&one_faulty_router(IGNORES_THRESHOLD), programs, seed);
        let reports_tenfold = play(&one_faulty_router(REPORTS_TENFOLD), programs, seed);
        let clocks_apart = play(&clocks_apart(programs), programs, seed);
        Ok(OverloadRecords {
            single,
            shared,
            separate,
            failures: join(failures)?,
            keeps_reports_of_dead: join(keeps_reports)?,
            ignores_threshold: ignores_threshold?,
            reports_tenfold: reports_tenfold?,
            clocks_apart: clocks_apart?,
        })
    })
}
