//! Traffic split: divides the requests of a route among its services by weight.

use crate::route::Share;

/// Smooth weighted round robin: over any sequence of requests each service gets its share to within one request.
///
/// A random choice would deviate from the shares by several per cent over some hundred requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WeightedSplit {
    /// Current weight of each share, in the order of the shares; the highest is chosen next.
    current_weights: Vec<i64>,
}

impl WeightedSplit {
    /// Creates a split that starts at a position of its cycle chosen by `random`, so that many routers do
    /// not all start with the same service.
    pub fn new(shares: &[Share], random: u64) -> Self {
        let total: u64 = shares.iter().map(|s| u64::from(s.weight)).sum();
        let mut split = Self {
            current_weights: vec![0; shares.len()],
        };
        // The cycle repeats after as many steps as the sum of the weights.
        for _ in 0..random
            .checked_rem(total)
            .unwrap_or(0)
            .min(SKIPPED_STEPS_MAX)
        {
            split.next(shares);
        }
        split
    }

    /// Chooses the share of the next request; `None` if all weights are zero.
    pub fn next<'shares>(&mut self, shares: &'shares [Share]) -> Option<&'shares Share> {
        self.current_weights.resize(shares.len(), 0);
        let total: i64 = shares.iter().map(|s| i64::from(s.weight)).sum();
        for (current, share) in self.current_weights.iter_mut().zip(shares) {
            *current += i64::from(share.weight);
        }
        let candidates = shares.iter().enumerate().filter(|(_, s)| s.weight > 0);
        let (index, share) = candidates
            .max_by_key(|(index, _)| (self.current_weights[*index], usize::MAX - index))?;
        self.current_weights[index] -= total;
        Some(share)
    }
}

/// Maximum number of steps that [`WeightedSplit::new`] skips; enough to spread the starting positions of routers.
const SKIPPED_STEPS_MAX: u64 = 100;
