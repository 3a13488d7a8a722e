//! Property tests that compare the gate and the probe budget with simple models.

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
    Offer(u8, u8, u64, u64),
    /// Index of the running ticket, its latency in microseconds and its outcome.
    Release(usize, u64, Outcome),
    /// Index of the waiting ticket.
    Cancel(usize),
    /// Time in microseconds by which the clock advances.
    Wait(u64),
    Drain,
    Undrain,
    /// Number of slots and maximum length of the queue.
    Resize(u32, u32),
}

/// Tickets that the gate has not refused or released yet.
#[derive(Default)]
struct Model {
    waiting: BTreeSet<Id>,
    running: BTreeSet<Id>,
}

impl Model {
    fn refused(&mut self, refused: &Refused) {
        assert!(
            self.waiting.remove(&refused.id),
            "refused ticket was not waiting: {refused:?}"
        );
    }

    fn apply_effect(&mut self, effect: &Effect) {
        for refused in &effect.refused {
            self.refused(refused);
        }
        for id in &effect.run {
            assert!(
                self.waiting.remove(id),
                "started ticket was not waiting: {id:?}"
            );
            self.running.insert(*id);
        }
    }

    fn record_verdict(&mut self, id: Id, verdict: &Verdict) {
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

fn nth(ids: &BTreeSet<Id>, number: usize) -> Option<Id> {
    ids.iter().nth(number % ids.len().max(1)).copied()
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
        12 => (0..4_u8, 0..3_u8, 0..60_000_u64, 0..60_000_u64)
            .prop_map(|(p, q, timely_us, us)| Step::Offer(p, q, timely_us.min(us), us)),
        6 => (0..9_usize, 100..30_000_u64, outcome).prop_map(|(n, us, o)| Step::Release(n, us, o)),
        1 => (0..9_usize).prop_map(Step::Cancel),
        2 => (0..20_000_u64).prop_map(Step::Wait),
        1 => Just(Step::Drain),
        2 => Just(Step::Undrain),
        1 => (1..=SLOTS, 0..=QUEUE).prop_map(|(slots, queue)| Step::Resize(slots, queue)),
    ]
}

fn run_step(gate: &mut Gate, model: &mut Model, step: &Step, id: Id, now: &mut Instant) {
    match *step {
        Step::Offer(partner, priority, timely_us, us) => {
            let ticket = Ticket {
                id,
                partner: partner::Name::new(&format!("p{partner}")).unwrap(),
                priority,
                timely_until: *now + Duration::from_micros(timely_us),
                deadline: *now + Duration::from_micros(us),
            };
            model.record_verdict(id, &gate.offer(ticket, *now));
        }
        Step::Release(index, us, outcome) => {
            let Some(id) = nth(&model.running, index) else {
                return;
            };
            model.running.remove(&id);
            let latency = Duration::from_micros(us);
            let release = Release {
                id,
                latency,
                outcome,
            };
            model.apply_effect(&gate.release(release, *now));
        }
        Step::Cancel(index) => {
            let Some(id) = nth(&model.waiting, index) else {
                return;
            };
            model.apply_effect(&gate.cancel(id, *now));
            assert!(!model.waiting.contains(&id));
        }
        Step::Wait(us) => {
            *now = *now + Duration::from_micros(us);
            model.apply_effect(&gate.expire(*now));
            assert!(gate.next_expiry().is_none_or(|expiry| expiry > *now));
        }
        Step::Drain => {
            model.apply_effect(&gate.drain());
            assert!(model.waiting.is_empty());
        }
        Step::Undrain => gate.undrain(),
        Step::Resize(slots, queue) => {
            model.apply_effect(&gate.resize(slots, queue, *now));
            assert!(gate.report(*now).limit <= slots);
            assert!(model.waiting.len() <= queue as usize);
        }
    }
}

proptest! {
    /// Guards against a ticket with no final verdict or with two, and against more requests than the slots or the queue allow.
    #[test]
    fn every_ticket_gets_one_verdict(steps in proptest::collection::vec(step(), 1..200)) {
        let mut gate = Gate::new(Config::new(Incarnation(1), SLOTS, QUEUE));
        let mut model = Model::default();
        let mut now = Instant(1);
        for (step_index, step) in steps.iter().enumerate() {
            let running_before = model.running.len();
            run_step(&mut gate, &mut model, step, Id(step_index as u64), &mut now);
            let report = gate.report(now);
            assert_eq!(report.in_flight as usize, model.running.len());
            assert_eq!(report.queued as usize, model.waiting.len());
            assert!(report.queued <= QUEUE);
            assert!((1..=SLOTS).contains(&report.limit));
            // A limit that was just lowered may be below the number of running tickets, but no ticket is started then.
            assert!(report.in_flight <= report.limit || model.running.len() <= running_before);
        }
    }

    /// Guards against probes that exceed the budget in any time window, including after a forward jump of the clock.
    #[test]
    fn spend_stays_in_budget(
        steps in proptest::collection::vec((0..400_000_u64, 1..13_000_u64), 1..200),
        jump in 0..u64::MAX / 2,
        jump_at in 0..200_usize,
    ) {
        let mut budget = Budget::new(SLOTS, PPM, Duration::from_micros(BURST_US), Instant(0));
        let mut now = 0;
        let mut spent = Vec::new();
        for (index, (gap, cost)) in steps.into_iter().enumerate() {
            now += if index == jump_at { jump } else { gap };
            if budget.take(Duration::from_micros(cost), Instant(now)).is_ok() {
                spent.push((now, cost));
            }
        }
        for (index, (start, _)) in spent.iter().enumerate() {
            let mut spent_us = 0;
            for (end, cost) in &spent[index..] {
                spent_us += cost;
                let earned = u128::from(end - start) * u128::from(SLOTS * PPM) / 1_000_000;
                assert!(u128::from(spent_us) <= u128::from(BURST_US) + earned + 1);
            }
        }
        let total: u64 = spent.iter().map(|(_, cost)| cost).sum();
        assert_eq!(budget.totals().spent_us, total);
        assert!(total <= budget.totals().credited_us);
    }
}
