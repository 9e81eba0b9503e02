//! Handles samples of the process's resource usage, and closes clients that do not read their answers (slow readers).

use crate::reducer::Reducer;
use crate::reducer::log_target;
use crate::reducer::state::stats::Count;
use ladderpass_overload::ResourceSample;
use ladderpass_routing::Time;

impl Reducer {
    /// Returns when the process's resource usage is to be sampled next, or `None` if the router does not monitor its
    /// own load.
    pub fn next_sample_at(&self) -> Option<Time> {
        self.overload.next_sample_at()
    }

    /// Returns how many clients to accept for one event of the listener.
    pub fn accept_budget(&self) -> usize {
        self.overload.accept_budget(self.limits.accepts_per_event)
    }

    pub(in crate::reducer) fn on_resources_sampled(&mut self, now: Time, mut sample: ResourceSample) {
        self.close_slow_readers(now);
        sample.buffer_bytes = self.connections.buffer_bytes();
        self.overload.record_sample(now, sample);
        self.overload.log_metrics(now, self.clients.len(), self.rpcs.len());
    }

    fn close_slow_readers(&mut self, now: Time) {
        for id in self.overload.overdue_slow_readers(now, &self.connections) {
            tracing::debug!(target: log_target::OVERLOAD, client = id.0, "slow reader closed");
            self.stats.count(Count::SlowReader);
            self.on_client_closed(now, id);
        }
    }
}
