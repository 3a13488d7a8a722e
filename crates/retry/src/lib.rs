//! Retry budget, hedging, joining of copies and crash containment.
