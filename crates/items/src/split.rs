//! Divides the requests of a route among its services.

use crate::route::Share;

/// Smooth weighted turns: over any stretch of requests each service gets its share within one request.
///
/// A random draw would miss the shares by several in a hundred over some hundred requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Split {
    /// What each share is behind, in the order of the shares.
    behind: Vec<i64>,
}

impl Split {
    /// A split that begins anywhere in its cycle, so that many routers do not all begin with the same service.
    pub fn new(shares: &[Share], random: u64) -> Self {
        let total: u64 = shares.iter().map(|s| u64::from(s.weight)).sum();
        let mut split = Self {
            behind: vec![0; shares.len()],
        };
        // A cycle is as long as the sum of the weights; more steps than that repeat it.
        for _ in 0..random.checked_rem(total).unwrap_or(0).min(STEPS_MAX) {
            split.next(shares);
        }
        split
    }

    /// The share whose turn it is; nothing while none has a weight.
    pub fn next<'shares>(&mut self, shares: &'shares [Share]) -> Option<&'shares Share> {
        self.behind.resize(shares.len(), 0);
        let total: i64 = shares.iter().map(|s| i64::from(s.weight)).sum();
        for (behind, share) in self.behind.iter_mut().zip(shares) {
            *behind += i64::from(share.weight);
        }
        let weighted = shares.iter().enumerate().filter(|(_, s)| s.weight > 0);
        let (at, share) = weighted.max_by_key(|(at, _)| (self.behind[*at], usize::MAX - at))?;
        self.behind[at] -= total;
        Some(share)
    }
}

/// Most steps at the start: enough to spread the beginnings of routers.
const STEPS_MAX: u64 = 100;
