//! Cases of faulty routers. Each case has the rule that the faulty router breaks and the faults of members and links that
//! reveal it.

/// A faulty router and the conditions that reveal its fault. The real router breaks no rule under the same conditions.
pub struct FaultCase {
    /// The value of `LADDERPASS_FAULTY` that switches the fault on.
    pub switch: &'static str,
    /// The number of the rule that the faulty router breaks.
    pub broken_rule: u8,
    /// The rules of the fault tool, as YAML.
    pub rules: &'static [&'static str],
    /// The time from a commit until a replica has received it, in milliseconds.
    pub log_ms: f64,
    /// Whether the router gets SIGTERM during the load.
    pub terminate: bool,
    /// The member that is drained during the load, if any.
    pub drained_member: Option<u32>,
    /// The members that start cold.
    pub cold_members: &'static [u32],
}

impl FaultCase {
    const DEFAULT: FaultCase = FaultCase {
        switch: "",
        broken_rule: 1,
        rules: &[],
        log_ms: 2.0,
        terminate: false,
        drained_member: None,
        cold_members: &[],
    };

    /// Returns whether the replicas lag further behind than reads allow.
    pub fn has_lagging_replicas(&self) -> bool {
        self.log_ms > MIN_LAGGING_LOG_MS
    }
}

/// If [`FaultCase::log_ms`] is above this value, the replicas' data counts as too old for reads.
const MIN_LAGGING_LOG_MS: f64 = 100.0;

/// All cases, in the order of the table.
pub const CASES: [FaultCase; 10] = [
    FaultCase {
        switch: "resends",
        broken_rule: 2,
        rules: &[
            "{name: r, link: member-0, when: {message: CommandComplete, holds: INSERT, nth: 5}, do: {half_close: {side: server}}, times: 5}",
        ],
        ..FaultCase::DEFAULT
    },
    FaultCase { switch: "answers-twice", ..FaultCase::DEFAULT },
    FaultCase {
        switch: "answers-late",
        rules: &["{name: r, when: {message: RowDescription, nth: 20}, do: {delay: {ms: 1500}}, times: 3}"],
        ..FaultCase::DEFAULT
    },
    FaultCase {
        switch: "passes-on-torn-rows",
        rules: &[
            "{name: r, when: {message: DataRow, holds: '-', nth: 20}, do: {set: {at: 10, to: 255}}, times: 5}",
        ],
        ..FaultCase::DEFAULT
    },
    FaultCase { switch: "ignores-lag", broken_rule: 5, log_ms: 3000.0, ..FaultCase::DEFAULT },
    FaultCase {
        switch: "loses-at-stop",
        rules: &["{name: r, when: {message: RowDescription}, do: {delay: {ms: 60}}, times: 0}"],
        terminate: true,
        ..FaultCase::DEFAULT
    },
    FaultCase { switch: "ignores-drains", broken_rule: 3, drained_member: Some(1), ..FaultCase::DEFAULT },
    // Both replicas are cold, so that one of them gets half of the reads, however much a busy machine distorts the
    // latencies.
    FaultCase { switch: "ignores-warm-up", broken_rule: 4, cold_members: &[1, 2], ..FaultCase::DEFAULT },
    FaultCase {
        switch: "reuses-unquiet",
        rules: &["{name: r, when: {message: RowDescription, nth: 40}, do: repeat, times: 20}"],
        ..FaultCase::DEFAULT
    },
    FaultCase {
        switch: "trusts-lengths",
        rules: &[
            "{name: r, when: {message: DataRow, holds: '-', nth: 20}, do: {set: {at: 1, to: 64}}, times: 5}",
        ],
        ..FaultCase::DEFAULT
    },
];
