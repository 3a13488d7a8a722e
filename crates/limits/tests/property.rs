//! Property tests of the gate and the probe budget against plain models.

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::proptest;

use shallotrill_limits::config::Config;
use shallotrill_limits::gate::Gate;
use shallotrill_limits::probe::Budget;
use shallotrill_limits::ticket::Effect;
use shallotrill_limits::ticket::Id;
use shallotrill_limits::ticket::Outcome;
use shallotrill_limits::ticket::Refused;
use shallotrill_limits::ticket::Release;
use shallotrill_limits::ticket::Ticket;
use shallotrill_limits::ticket::Verdict;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::partner;
use shallotrill_model::time::Instant;

const SLOTS: u32 = 4;
const QUEUE: u32 = 6;
const PPM: u32 = 10_000;
const BURST_US: u64 = 12_000;

#[derive(Clone, Debug)]
enum Step {
    /// Partner, priority and time to the deadline in microseconds.
    Offer(u8, u8, u64),
    /// Which running ticket, its latency in microseconds and its end.
    Release(usize, u64, Outcome),
    /// Which waiting ticket.
    Cancel(usize),
    /// Microseconds.
    Wait(u64),
    Drain,
    Undrain,
    /// Slots and length of the queue.
    Resize(u32, u32),
}

/// Tickets without a final verdict.
#[derive(Default)]
struct Model {
    waiting: BTreeSet<Id>,
    running: BTreeSet<Id>,
}

impl Model {
    fn refused(&mut self, refused: &Refused) {
        assert!(self.waiting.remove(&refused.id), "{refused:?} did not wait");
    }

    fn effect(&mut self, effect: &Effect) {
        for refused in &effect.refused {
            self.refused(refused);
        }
        for id in &effect.run {
            assert!(self.waiting.remove(id), "{id:?} did not wait");
            self.running.insert(*id);
        }
    }

    fn verdict(&mut self, id: Id, verdict: &Verdict) {
        match verdict {
            Verdict::Run => assert!(self.running.insert(id)),
            Verdict::Queue { displaced } => {
                if let Some(refused) = displaced {
                    self.refused(refused);
                }
                assert!(self.waiting.insert(id));
            }
            Verdict::Refuse(_) => {}
        }
    }
}

fn pick(ids: &BTreeSet<Id>, pick: usize) -> Option<Id> {
    ids.iter().nth(pick % ids.len().max(1)).copied()
}

fn step() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        4 => Just(Outcome::Success),
        1 => Just(Outcome::Failure),
        1 => Just(Outcome::Shed),
        1 => Just(Outcome::Timeout),
        1 => Just(Outcome::Cancelled),
    ];
    prop_oneof![
        12 => (0..4_u8, 0..3_u8, 0..60_000_u64).prop_map(|(p, q, us)| Step::Offer(p, q, us)),
        6 => (0..9_usize, 100..30_000_u64, outcome).prop_map(|(n, us, o)| Step::Release(n, us, o)),
        1 => (0..9_usize).prop_map(Step::Cancel),
        2 => (0..20_000_u64).prop_map(Step::Wait),
        1 => Just(Step::Drain),
        2 => Just(Step::Undrain),
        1 => (1..=SLOTS, 0..=QUEUE).prop_map(|(slots, queue)| Step::Resize(slots, queue)),
    ]
}

fn apply(gate: &mut Gate, model: &mut Model, step: &Step, id: Id, now: &mut Instant) {
    match *step {
        Step::Offer(partner, priority, us) => {
            let ticket = Ticket {
                id,
                partner: partner::Name::new(&format!("p{partner}")).unwrap(),
                priority,
                deadline: *now + Duration::from_micros(us),
            };
            model.verdict(id, &gate.offer(ticket, *now));
        }
        Step::Release(at, us, outcome) => {
            let Some(id) = pick(&model.running, at) else {
                return;
            };
            model.running.remove(&id);
            let latency = Duration::from_micros(us);
            let release = Release {
                id,
                latency,
                outcome,
            };
            model.effect(&gate.release(release, *now));
        }
        Step::Cancel(at) => {
            let Some(id) = pick(&model.waiting, at) else {
                return;
            };
            model.effect(&gate.cancel(id, *now));
            assert!(!model.waiting.contains(&id));
        }
        Step::Wait(us) => {
            *now = *now + Duration::from_micros(us);
            model.effect(&gate.expire(*now));
            assert!(gate.next_expiry().is_none_or(|at| at > *now));
        }
        Step::Drain => {
            model.effect(&gate.drain());
            assert!(model.waiting.is_empty());
        }
        Step::Undrain => gate.undrain(),
        Step::Resize(slots, queue) => {
            model.effect(&gate.resize(slots, queue, *now));
            assert!(gate.report(*now).limit <= slots);
            assert!(model.waiting.len() <= queue as usize);
        }
    }
}

proptest! {
    /// Guards against a ticket with no verdict or two, and against more work than slots or queue allow.
    #[test]
    fn every_ticket_gets_one_verdict(steps in proptest::collection::vec(step(), 1..200)) {
        let mut gate = Gate::new(Config::new(Incarnation(1), SLOTS, QUEUE));
        let mut model = Model::default();
        let mut now = Instant(1);
        for (number, step) in steps.iter().enumerate() {
            let before = model.running.len();
            apply(&mut gate, &mut model, step, Id(number as u64), &mut now);
            let report = gate.report(now);
            assert_eq!(report.in_flight as usize, model.running.len());
            assert_eq!(report.queued as usize, model.waiting.len());
            assert!(report.queued <= QUEUE);
            assert!((1..=SLOTS).contains(&report.limit));
            // A limit that just fell may be below what runs, but nothing is started then.
            assert!(report.in_flight <= report.limit || model.running.len() <= before);
        }
    }

    /// Guards against probes above the budget in any window, also after the clock jumped forward.
    #[test]
    fn spend_stays_in_budget(
        steps in proptest::collection::vec((0..400_000_u64, 1..13_000_u64), 1..200),
        jump in 0..u64::MAX / 2,
        jump_at in 0..200_usize,
    ) {
        let mut budget = Budget::new(SLOTS, PPM, Duration::from_micros(BURST_US), Instant(0));
        let mut now = 0;
        let mut spent = Vec::new();
        for (at, (gap, cost)) in steps.into_iter().enumerate() {
            now += if at == jump_at { jump } else { gap };
            if budget.take(Duration::from_micros(cost), Instant(now)).is_ok() {
                spent.push((now, cost));
            }
        }
        for (at, (start, _)) in spent.iter().enumerate() {
            let mut sum = 0;
            for (end, cost) in &spent[at..] {
                sum += cost;
                let earned = u128::from(end - start) * u128::from(SLOTS * PPM) / 1_000_000;
                assert!(u128::from(sum) <= u128::from(BURST_US) + earned + 1);
            }
        }
        let total: u64 = spent.iter().map(|(_, cost)| cost).sum();
        assert_eq!(budget.totals().spent_us, total);
        assert!(total <= budget.totals().credited_us);
    }
}
