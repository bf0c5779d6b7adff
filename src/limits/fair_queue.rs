//! Requests that wait for a place, in order of class and then of fair shares among tenants.
//!
//! Within a class this is start-time fair queueing (P. Goyal, H. Vin, H. Cheng, "Start-time Fair
//! Queuing", 1996) in seconds of occupied places: a tenant is charged what its requests are
//! expected to take, and corrected when they end. A tenant that was idle starts level with the
//! others, so it can neither save up nor be made to pay for the past.

use std::collections::VecDeque;

use crate::core::{Criticality, TenantId};
use crate::util::FastMap;

/// Classes in the order in which they are served.
pub(super) const CLASSES: [Criticality; 3] =
    [Criticality::Critical, Criticality::Normal, Criticality::Deferrable];

/// Weight of the latest occupancy in a tenant's mean.
const MEAN_WEIGHT: f64 = 0.1;

/// Index of a class; the highest class is 0.
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
    mean_secs: f64,
}

#[derive(Debug)]
struct ClassQueue<T> {
    tenants: FastMap<TenantId, TenantQueue<T>>,
    virtual_secs: f64,
    len: usize,
}

/// Who a waiting request belongs to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueFlow {
    /// Class.
    pub class: Criticality,
    /// Tenant.
    pub tenant: TenantId,
}

/// Waiting requests of all classes.
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
    /// Requests that wait, of all classes.
    pub fn len(&self) -> usize {
        self.classes.iter().map(|class| class.len).sum()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Requests that wait in this class.
    pub fn class_len(&self, class: Criticality) -> usize {
        self.classes[class_index(class)].len
    }

    /// Adds a request at the end of its tenant's line.
    pub fn push(&mut self, share: &QueueFlow, item: T) {
        let class = &mut self.classes[class_index(share.class)];
        let start_secs = class.virtual_secs;
        let tenant = class.tenants.entry(share.tenant.clone()).or_insert_with(|| TenantQueue {
            waiting: VecDeque::new(),
            finish_secs: start_secs,
            mean_secs: 0.0,
        });
        if tenant.waiting.is_empty() {
            tenant.finish_secs = tenant.finish_secs.max(start_secs);
        }
        tenant.waiting.push_back(item);
        class.len += 1;
    }

    /// Takes the next request of a class: the oldest one of the tenant that has had least.
    pub fn pop(&mut self, class: Criticality) -> Option<(TenantId, T)> {
        let class = &mut self.classes[class_index(class)];
        let mut least: Option<(&TenantId, &mut TenantQueue<T>)> = None;
        for (id, tenant) in &mut class.tenants {
            if tenant.waiting.is_empty() {
                continue;
            }
            let is_less = least.as_ref().is_none_or(|(least_id, least)| {
                (tenant.finish_secs, id) < (least.finish_secs, *least_id)
            });
            if is_less {
                least = Some((id, tenant));
            }
        }
        let (id, tenant) = least?;
        let item = tenant.waiting.pop_front()?;
        class.virtual_secs = class.virtual_secs.max(tenant.finish_secs);
        tenant.finish_secs += tenant.mean_secs;
        class.len -= 1;
        Some((id.clone(), item))
    }

    /// Corrects a tenant's charge after one of its requests has given its place back.
    pub fn correct_charge(&mut self, share: &QueueFlow, occupied_secs: f64) {
        let class = &mut self.classes[class_index(share.class)];
        let Some(tenant) = class.tenants.get_mut(&share.tenant) else { return };
        tenant.finish_secs += occupied_secs - tenant.mean_secs;
        tenant.mean_secs += (occupied_secs - tenant.mean_secs) * MEAN_WEIGHT;
    }

    /// Takes out the request that is to be shed so that `share` may wait in its place.
    ///
    /// It is the latest one of the tenant with the longest line in the lowest class that waits;
    /// none, if that class is above the newcomer's, or the same and no line is longer than the
    /// newcomer's own would be.
    pub fn evict_for(&mut self, share: &QueueFlow) -> Option<T> {
        let own_index = class_index(share.class);
        let index = (own_index..CLASSES.len()).rev().find(|index| self.classes[*index].len > 0)?;
        let class = &mut self.classes[index];
        let own = class.tenants.get(&share.tenant).map_or(0, |tenant| tenant.waiting.len());
        let longest = class.tenants.values_mut().max_by_key(|tenant| tenant.waiting.len())?;
        if index == own_index && longest.waiting.len() <= own + 1 {
            return None;
        }
        class.len -= 1;
        longest.waiting.pop_back()
    }

    /// Drops the requests that `is_gone` says no longer wait, and tenants without any.
    pub fn purge(&mut self, is_gone: impl Fn(&T) -> bool) {
        for class in &mut self.classes {
            for tenant in class.tenants.values_mut() {
                tenant.waiting.retain(|item| !is_gone(item));
            }
            class.len = class.tenants.values().map(|tenant| tenant.waiting.len()).sum();
            let level = class.virtual_secs;
            class
                .tenants
                .retain(|_, tenant| !tenant.waiting.is_empty() || tenant.finish_secs > level);
        }
    }
}
