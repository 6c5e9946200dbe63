//! What a member in a search asks of the world, taken down for the search to carry out.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use whinspindle_fleet_policy::{
    DurableState, Environment, Hash, Message, Plan, Policy, Record, RestartRefusal, Unit,
};
use whinspindle_rollout::{Limits, RestartCheck};

#[derive(Default)]
pub struct Out {
    pub sent: Vec<(u16, Message)>,
    pub kept: Option<DurableState>,
    pub to_prove: Vec<(Policy, Rc<[u8]>)>,
    plan: Option<(Hash, Rc<Plan>)>,
}

#[derive(Clone, Default)]
pub struct Net(Rc<RefCell<Out>>);

impl Net {
    pub fn take(&self) -> Out {
        let mut out = self.0.borrow_mut();
        let plan = out.plan.clone();
        std::mem::replace(&mut *out, Out { plan, ..Out::default() })
    }

    /// A copy that is written to by itself.
    pub fn apart(&self) -> Net {
        let plan = self.0.borrow().plan.clone();
        Net(Rc::new(RefCell::new(Out { plan, ..Out::default() })))
    }
}

impl Environment for Net {
    fn send(&mut self, to: u16, message: Message) {
        self.0.borrow_mut().sent.push((to, message));
    }
    fn persist(&mut self, memory: &DurableState) -> bool {
        self.0.borrow_mut().kept = Some(memory.clone());
        true
    }
    fn prove(&mut self, policy: Policy, text: Rc<[u8]>) {
        self.0.borrow_mut().to_prove.push((policy, text));
    }
    fn plan(&self, hash: Hash) -> Option<Rc<Plan>> {
        self.0.borrow().plan.as_ref().filter(|(known, _)| *known == hash).map(|(_, plan)| Rc::clone(plan))
    }
    fn plan_received(&mut self, hash: Hash, _: Rc<[u8]>) {
        self.0.borrow_mut().plan = Some((hash, Rc::new(crate::members::release())));
    }
    fn check_restart(&self, record: &Record, unit: Unit, away: &BTreeSet<u16>) -> Result<(), RestartRefusal> {
        let granted: Vec<Unit> = record.grants.iter().map(|out| out.unit).collect();
        let limits = Limits { balancers: Some(1), ..Limits::default() };
        let balancers = usize::from(u16::MAX);
        RestartCheck {
            limits: &limits,
            granted: &granted,
            absent: away,
            balancer_count: balancers,
            servers: &[],
        }
        .check(unit)
    }
    fn log(&mut self, _: String) {}
}
