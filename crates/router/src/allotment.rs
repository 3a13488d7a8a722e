//! Credit of workspaces at a router: takes a unit for each request and requests credit from registry processes.

mod table;

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::time;

pub use self::table::Table;
use crate::follow::Contact;
use crate::state::State;
use shallotrill_feed::message::Reply;
use shallotrill_feed::message::Request;
use shallotrill_items::table::ActiveWorkspace;
use shallotrill_limits::allotment::Ask;
use shallotrill_limits::allotment::Limit;
use shallotrill_limits::allotment::authority;
use shallotrill_limits::allotment::share::Decision;
use shallotrill_limits::allotment::share::Unit;
use shallotrill_model::workspace;

/// Time allowed to an owner for its reply, after which the next one is asked.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest time that a request waits for credit: two owners may fail to reply.
const WAIT_MAX: Duration = Duration::from_millis(400);

/// A workspace without requests for this long is removed from the table.
const RETENTION_PERIOD: Duration = Duration::from_mins(1);

/// `Retry-After` while no owner can be reached. Routers note the loss of a registry process, and return to it, within
/// about a second.
const RETRY_AFTER_NO_OWNER: Duration = Duration::from_millis(500);

/// A unit that a request has taken. It is returned when it is dropped before the request has been sent.
#[derive(Debug)]
pub struct Credit {
    state: Arc<State>,
    workspace: workspace::Name,
    unit: Unit,
    is_used: AtomicBool,
}

impl Credit {
    /// Records that the request is sent to a target, where it may run.
    pub fn record_use(&self) {
        self.is_used.store(true, Ordering::Relaxed);
    }

    /// Records that the request is proven not to have run, so that the unit is returned.
    pub fn release(&self) {
        self.is_used.store(false, Ordering::Relaxed);
    }
}

impl Drop for Credit {
    fn drop(&mut self) {
        if self.is_used.load(Ordering::Relaxed) {
            return;
        }
        let now = self.state.now();
        if let Some(account) = self.state.allotments.lock().account(&self.workspace) {
            account.share.give_back(self.unit, now);
        }
        self.state.metrics.record_allotment("returned");
    }
}

/// Why a request gets no credit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The workspace has used its allotment; contains the time after which the request may return.
    Exhausted(Duration),
    /// No owner can be reached; contains the time after which the request may return.
    NoOwner(Duration),
}

/// Marks a request as waiting until it is dropped, also when the caller goes away.
struct Waiting<'state> {
    state: &'state State,
    workspace: &'state workspace::Name,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(account) = self.state.allotments.lock().account(self.workspace) {
            account.share.end_waiting();
        }
    }
}

/// Takes a unit of the allotment of a workspace, and waits at most `wait_max` for the owner if none is held. `None`
/// for a workspace without an allotment.
///
/// # Errors
///
/// Returns [`Refusal`] when there is no credit. The request must not be sent to a target.
pub async fn take(
    state: &Arc<State>,
    active: &ActiveWorkspace,
    wait_max: Duration,
) -> Result<Option<Credit>, Refusal> {
    let Some(allotment) = active.workspace.allotment else {
        return Ok(None);
    };
    let limit = Limit {
        rate: allotment.rate,
        burst: allotment.burst,
    };
    let name = &active.name;
    let started = state.now();
    state.allotments.lock().record_arrival(name, limit, started);
    let mut waiting = None;
    loop {
        let mut changed = pin!(state.credit_changed.notified());
        // Registered before the decision, so that no notification is missed.
        changed.as_mut().enable();
        let now = state.now();
        let decision = state
            .allotments
            .lock()
            .account(name)
            .map_or(Decision::Ask, |account| account.share.take(now));
        match decision {
            Decision::Admit(unit) => {
                let decided = if waiting.is_some() { "waited" } else { "held" };
                state.metrics.record_allotment(decided);
                drop(waiting);
                request_credit(state, name);
                return Ok(Some(credit(state, name, unit)));
            }
            Decision::Refuse { empty, spread } => {
                state.metrics.record_allotment("refused");
                let wait = empty + spread.mul_f64(rand::random());
                return Err(Refusal::Exhausted(wait));
            }
            Decision::Ask => {}
        }
        if waiting.is_none() {
            if let Some(account) = state.allotments.lock().account(name) {
                account.share.start_waiting();
            }
            waiting = Some(Waiting {
                state,
                workspace: name,
            });
        }
        let remaining = wait_max.min(WAIT_MAX).saturating_sub(now.since(started));
        let asked = !remaining.is_zero() && request_credit(state, name);
        if !asked || time::timeout(remaining, changed).await.is_err() {
            return take_own(state, name);
        }
    }
}

fn credit(state: &Arc<State>, name: &workspace::Name, unit: Unit) -> Credit {
    Credit {
        state: Arc::clone(state),
        workspace: name.clone(),
        unit,
        is_used: AtomicBool::new(false),
    }
}

/// Takes a unit of this router's own part of the rate, because no owner can be reached. Some time after the last contact
/// with a quorum, the owners may grant that part to other routers.
fn take_own(state: &Arc<State>, name: &workspace::Name) -> Result<Option<Credit>, Refusal> {
    let routers = state.router_count.load(Ordering::Relaxed);
    let now = state.now();
    let has_part = authority::lasts(state.views.lock().quorum_contact(), now);
    let unit = if has_part {
        let mut table = state.allotments.lock();
        let account = table.account(name);
        account.and_then(|account| account.share.take_own(routers, now))
    } else {
        None
    };
    if let Some(unit) = unit {
        state.metrics.record_allotment("own");
        return Ok(Some(credit(state, name, unit)));
    }
    state.metrics.record_allotment("unreachable");
    let spread = RETRY_AFTER_NO_OWNER.mul_f64(rand::random());
    Err(Refusal::NoOwner(RETRY_AFTER_NO_OWNER + spread))
}

/// Requests credit of a workspace if it is needed. Returns whether an owner is or was asked.
fn request_credit(state: &Arc<State>, name: &workspace::Name) -> bool {
    let now = state.now();
    let needed = state
        .allotments
        .lock()
        .account(name)
        .is_some_and(|account| account.share.needs_ask(now));
    if !needed {
        return true;
    }
    let contacts: Vec<Contact> = state.views.lock().contacts().collect();
    let address = {
        let mut table = state.allotments.lock();
        if !table.choose_owner(name, &contacts, now) {
            return false;
        }
        let Some(address) = table.account(name).and_then(|account| account.owner) else {
            return false;
        };
        let owner = table.owner(address);
        if owner.is_busy {
            return true;
        }
        owner.is_busy = true;
        address
    };
    tokio::spawn(exchange(Arc::clone(state), address));
    true
}

/// Sends requests to one owner, one message at a time, until none is due.
async fn exchange(state: Arc<State>, address: SocketAddr) {
    loop {
        let now = state.now();
        let (link, asks) = {
            let mut table = state.allotments.lock();
            let asks = table.asks(address, now);
            let owner = table.owner(address);
            if asks.is_empty() {
                owner.is_busy = false;
                return;
            }
            (Arc::clone(&owner.link), asks)
        };
        state.metrics.credit_requests.inc();
        let request = Request::Credit {
            router: state.settings.address(),
            session: state.session,
            asks: asks.clone(),
        };
        let reply = link.call(&request, CALL_TIMEOUT).await;
        record_reply(&state, address, &asks, reply.ok());
        state.credit_changed.notify_waiters();
    }
}

fn record_reply(state: &State, address: SocketAddr, asks: &[Ask], reply: Option<Reply>) {
    let now = state.now();
    let mut table = state.allotments.lock();
    let answers = match reply {
        Some(Reply::Credit(answers)) if answers.len() == asks.len() => answers,
        _ => {
            for ask in asks {
                if let Some(account) = table.account(&ask.workspace) {
                    account.share.record_failure();
                }
            }
            table.owner(address).failed_at = Some(now);
            drop(table);
            warn!(event = "credit-owner-lost", address = address.to_string().as_str(), workspaces = asks.len(); "the registry process has not granted credit in time; the next one is asked");
            return;
        }
    };
    let returned = table.owner(address).failed_at.take().is_some();
    for (ask, answer) in asks.iter().zip(&answers) {
        let Some(account) = table.account(&ask.workspace) else {
            continue;
        };
        if let Some(answer) = answer {
            account.share.record_answer(answer, now);
        } else {
            account.share.record_failure();
            account.uninformed = Some((address, now));
        }
    }
    drop(table);
    if returned {
        info!(event = "credit-owner-returned", address = address.to_string().as_str(); "the registry process grants credit again");
    }
}

/// Returns unused credit and removes workspaces and registry processes that are no longer in use.
pub fn maintain(state: &Arc<State>) {
    let now = state.now();
    let names: Vec<workspace::Name> = {
        let mut table = state.allotments.lock();
        if table.accounts.is_empty() {
            return;
        }
        table
            .accounts
            .retain(|a| now.since(a.share.used_at()) < RETENTION_PERIOD);
        let accounts = table.accounts.iter_mut();
        let due = accounts.filter_map(|a| {
            let is_due = a.share.needs_ask(now);
            is_due.then(|| a.share.workspace().clone())
        });
        due.collect()
    };
    for name in &names {
        request_credit(state, name);
    }
    let known = state.views.lock().registries();
    let mut table = state.allotments.lock();
    table
        .owners
        .retain(|o| o.is_busy || known.contains(&o.link.address()));
}
