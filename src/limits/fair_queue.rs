//! Queue of requests waiting for a permit, by class and within a class by fair shares of tenants.
//!
//! Within a class this is start-time fair queueing (P. Goyal, H. Vin, H. Cheng, "Start-time Fair
//! Queuing", 1996), measured in seconds for which permits are held. A tenant is charged the time
//! that its requests are expected to take, and the charge is corrected when they end. A tenant that
//! was idle starts at the current virtual time, so it neither accumulates credit nor pays for the
//! past.

use std::collections::VecDeque;

use crate::core::{Criticality, TenantId};
use crate::util::FastMap;

/// Classes in the order in which they are served.
pub(super) const CLASSES: [Criticality; 3] =
    [Criticality::Critical, Criticality::Normal, Criticality::Deferrable];

/// Weight of the latest sample in a tenant's mean time that a permit is held.
const MEAN_WEIGHT: f64 = 0.1;

/// Index of a class in [`CLASSES`]; the highest class is 0.
pub(super) fn class_index(class: Criticality) -> usize {
    match class {
        Criticality::Critical => 0,
        Criticality::Normal => 1,
        Criticality::Deferrable => 2,
    }
}

#[derive(Debug)]
struct TenantQueue<T> {
    waiting: VecDeque<T>,
    /// Virtual time up to which the tenant has been served.
    finish_secs: f64,
    /// Mean time that a permit of the tenant is held.
    mean_held_secs: f64,
}

#[derive(Debug)]
struct ClassQueue<T> {
    tenants: FastMap<TenantId, TenantQueue<T>>,
    /// Virtual time of the class: the highest start time that was served.
    virtual_secs: f64,
    /// Waiting requests of all tenants.
    len: usize,
}

/// Flow of a request: requests of one flow are served in order of arrival.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueFlow {
    /// Priority class; flows of a higher class are served first.
    pub class: Criticality,
    /// Tenant that the flow is charged to.
    pub tenant: TenantId,
}

/// Fair queue of the waiting requests of all classes.
#[derive(Debug)]
pub struct FairQueue<T> {
    classes: [ClassQueue<T>; 3],
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        let class = || ClassQueue { tenants: FastMap::default(), virtual_secs: 0.0, len: 0 };
        Self { classes: [class(), class(), class()] }
    }
}

impl<T> FairQueue<T> {
    /// Waiting requests of all classes.
    pub fn len(&self) -> usize {
        self.classes.iter().map(|class| class.len).sum()
    }

    /// Whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Waiting requests of one class.
    pub fn class_len(&self, class: Criticality) -> usize {
        self.classes[class_index(class)].len
    }

    /// Adds a request at the end of its flow.
    pub fn push(&mut self, flow: &QueueFlow, item: T) {
        let class = &mut self.classes[class_index(flow.class)];
        let start_secs = class.virtual_secs;
        let tenant = class.tenants.entry(flow.tenant.clone()).or_insert_with(|| TenantQueue {
            waiting: VecDeque::new(),
            finish_secs: start_secs,
            mean_held_secs: 0.0,
        });
        if tenant.waiting.is_empty() {
            tenant.finish_secs = tenant.finish_secs.max(start_secs);
        }
        tenant.waiting.push_back(item);
        class.len += 1;
    }

    /// Takes the next request of a class: the oldest one of the tenant with the lowest virtual
    /// finish time.
    pub fn pop(&mut self, class: Criticality) -> Option<(TenantId, T)> {
        let class = &mut self.classes[class_index(class)];
        let mut next: Option<(&TenantId, &mut TenantQueue<T>)> = None;
        for (id, tenant) in &mut class.tenants {
            if tenant.waiting.is_empty() {
                continue;
            }
            let is_before = next.as_ref().is_none_or(|(next_id, next)| {
                (tenant.finish_secs, id) < (next.finish_secs, *next_id)
            });
            if is_before {
                next = Some((id, tenant));
            }
        }
        let (id, tenant) = next?;
        let item = tenant.waiting.pop_front()?;
        class.virtual_secs = class.virtual_secs.max(tenant.finish_secs);
        tenant.finish_secs += tenant.mean_held_secs;
        class.len -= 1;
        Some((id.clone(), item))
    }

    /// Replaces the expected charge of a request that has returned its permit by the actual one.
    pub fn correct_charge(&mut self, flow: &QueueFlow, held_secs: f64) {
        let class = &mut self.classes[class_index(flow.class)];
        let Some(tenant) = class.tenants.get_mut(&flow.tenant) else { return };
        tenant.finish_secs += held_secs - tenant.mean_held_secs;
        tenant.mean_held_secs += (held_secs - tenant.mean_held_secs) * MEAN_WEIGHT;
    }

    /// Removes the request that is to be shed so that a request of `flow` can wait instead.
    ///
    /// It is the newest request of the longest flow in the lowest class with waiting requests. None
    /// is shed if that class is above the class of `flow`, or if it is the same class and no flow
    /// is longer than `flow` would be with the new request.
    pub fn evict_for(&mut self, flow: &QueueFlow) -> Option<T> {
        let own_index = class_index(flow.class);
        let index = (own_index..CLASSES.len()).rev().find(|index| self.classes[*index].len > 0)?;
        let class = &mut self.classes[index];
        let own_len = class.tenants.get(&flow.tenant).map_or(0, |tenant| tenant.waiting.len());
        let longest = class.tenants.values_mut().max_by_key(|tenant| tenant.waiting.len())?;
        if index == own_index && longest.waiting.len() <= own_len + 1 {
            return None;
        }
        class.len -= 1;
        longest.waiting.pop_back()
    }

    /// Removes the requests for which `is_gone` holds, and tenants that have none left and are not
    /// ahead of the virtual time of their class.
    pub fn purge(&mut self, is_gone: impl Fn(&T) -> bool) {
        for class in &mut self.classes {
            for tenant in class.tenants.values_mut() {
                tenant.waiting.retain(|item| !is_gone(item));
            }
            class.len = class.tenants.values().map(|tenant| tenant.waiting.len()).sum();
            let virtual_secs = class.virtual_secs;
            class.tenants.retain(|_, tenant| {
                !tenant.waiting.is_empty() || tenant.finish_secs > virtual_secs
            });
        }
    }
}
