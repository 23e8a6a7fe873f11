//! What an instance may send to a version that is not trusted yet.
//!
//! Each instance keeps its sends to the canary below a share of all its sends to the service since
//! it heard of the order. The sums over instances, restarts and partitions keep the same share. The
//! fraction of a request that the share leaves is rounded up or down at random, once for each process
//! and order, so that instances with few requests take part and the expected sum is exact.

/// Sends of one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Allowance {
    /// Sends to the service.
    pub(crate) sends: u32,
    /// Sends to the canary among them.
    pub(crate) canary: u32,
    /// Rounding of the fraction, uniform in 0..1.
    rounding: f64,
}

impl Allowance {
    pub(crate) fn new(rounding: f64) -> Self {
        Self {
            rounding,
            ..Self::default()
        }
    }

    /// Whether one more send to the canary keeps within `share`.
    pub(crate) fn allows(&self, share: f64) -> bool {
        self.allows_beyond(share, 0.0)
    }

    /// The same with `extra` sends.
    pub(crate) fn allows_beyond(&self, share: f64, extra: f64) -> bool {
        let limit = share * f64::from(self.sends + 1) + self.rounding + extra;
        f64::from(self.canary + 1) <= limit
    }

    pub(crate) fn count(&mut self, is_canary: bool) {
        self.sends += 1;
        self.canary += u32::from(is_canary);
    }
}
