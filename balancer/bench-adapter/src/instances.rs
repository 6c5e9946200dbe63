//! The balancer instances of a process: events of the wire become calls on the decisions, whose effects are written
//! to the reply at once.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use whinspindle::balancer::Balancer;
use whinspindle::host::{Arrival, Endpoint, EndpointState, ExecutionEnd, Outcome};

use crate::error::AdapterError;
use crate::host::{InstanceHost, NANOS_PER_MICRO, UpstreamId};
use crate::wire::{Reader, endpoints_form, event_code};

/// Bytes of one entry of an endpoint list.
const ENTRY_SIZE: usize = 25;
/// Bytes of the fields `spentNs` and `upstream`.
const SPENT_AND_UPSTREAM_SIZE: usize = 14;

type Instance = Balancer<InstanceHost>;

/// An entry of an endpoint list, before an instance has assigned an index to its server.
struct ListedUpstream {
    upstream: UpstreamId,
    entry: Endpoint,
}

/// All instances that this process hosts; they share nothing but the reply.
#[derive(Default)]
pub struct Instances {
    reply: Rc<RefCell<Vec<u8>>>,
    /// Endpoint lists by their number on the wire.
    endpoint_lists: BTreeMap<u16, Vec<ListedUpstream>>,
    instances: BTreeMap<u16, Instance>,
}

impl Instances {
    /// Processes the events of one batch at the time `now` (microseconds) and returns the records of the reply.
    pub fn batch(&mut self, now: u64, body: &[u8]) -> Result<Vec<u8>, AdapterError> {
        let mut batch = Reader::new("batch", body);
        let count = batch.u32("count of records")?;
        for _ in 0..count {
            let code = batch.u8("code")?;
            let size = batch.u32("size")? as usize;
            let fields = batch.bytes("fields of a record", size)?;
            self.event(now, code, fields)?;
        }
        batch.done()?;
        Ok(std::mem::take(&mut *self.reply.borrow_mut()))
    }

    /// Passes one event to its instance.
    fn event(&mut self, now: u64, code: u8, bytes: &[u8]) -> Result<(), AdapterError> {
        let name = event_code::name(code).ok_or(AdapterError::UnknownCode(code))?;
        let mut fields = Reader::new(name, bytes);
        if code == event_code::LIST {
            return self.list(fields);
        }
        let balancer = fields.u16("balancer")?;
        if code == event_code::ATTACH {
            return self.attach(now, balancer, fields);
        }
        let Some(instance) = self.instances.get_mut(&balancer) else {
            return Err(AdapterError::NotAttached { record: name, balancer });
        };
        match code {
            event_code::ENDPOINTS => endpoints(instance, &self.endpoint_lists, now, &mut fields)?,
            event_code::QUERY => query(instance, now, &mut fields)?,
            event_code::UNDER_WAY => started(instance, now, &mut fields)?,
            event_code::COMPLETED => completed(instance, now, &mut fields)?,
            event_code::WITHDRAWN => withdrawn(instance, now, &mut fields)?,
            event_code::FIRED => instance.timer_fired(now, fields.u32("label")?),
            event_code::PROBE_RESULT => probe_result(instance, now, &mut fields)?,
            event_code::HEARD => skip_message(&mut fields)?,
            _ => {
                self.instances.remove(&balancer);
            }
        }
        fields.done()
    }

    /// Starts an instance with its settings.
    fn attach(&mut self, now: u64, balancer: u16, mut fields: Reader) -> Result<(), AdapterError> {
        let seed = fields.u64("initSeed")?;
        let size = fields.u32("options")? as usize;
        let deployment = whinspindle_deployment_settings::parse(fields.bytes("options", size)?)
            .map_err(AdapterError::Options)?;
        let host = InstanceHost::new(Rc::clone(&self.reply), balancer, deployment.load_columns);
        self.instances.insert(balancer, Balancer::new(host, deployment.balancer_settings, seed, now));
        fields.done()
    }

    /// Stores an endpoint list, to which later events refer by its number.
    fn list(&mut self, mut fields: Reader) -> Result<(), AdapterError> {
        let bank = fields.u16("bank")?;
        let count = fields.u32("elements")? as usize;
        let mut listed = Vec::with_capacity(count.min(1 << 16));
        for _ in 0..count {
            let mut entry = Reader::new("list", fields.bytes("elements", ENTRY_SIZE)?);
            let upstream = entry.upstream()?;
            let zone = usize::from(entry.u16("hall")?);
            let kind = usize::from(entry.u16("sku")?);
            let cell = usize::from(entry.u16("group")?);
            let state = match entry.u8("availability")? {
                0 => EndpointState::Gone,
                1 => EndpointState::Ready,
                2 => EndpointState::Draining,
                other => return Err(AdapterError::UnknownAvailability(other)),
            };
            let size = f64::from(entry.f32("size")?);
            let started_at = entry.u64("bornNs")? / NANOS_PER_MICRO;
            let size = if size.is_finite() && size > 0.0 { size } else { 1.0 };
            listed.push(ListedUpstream {
                upstream,
                entry: Endpoint {
                    server: 0,
                    key: whinspindle_deployment_settings::server_key(&upstream),
                    zone,
                    cell,
                    kind,
                    state,
                    relative_capacity: size,
                    started_at,
                },
            });
        }
        self.endpoint_lists.insert(bank, listed);
        fields.done()
    }
}

/// A change of the endpoints that an instance follows.
fn endpoints(
    instance: &mut Instance,
    lists: &BTreeMap<u16, Vec<ListedUpstream>>,
    now: u64,
    fields: &mut Reader,
) -> Result<(), AdapterError> {
    let form = fields.u8("form")?;
    fields.u32("epoch")?;
    let number = fields.u16("bank")?;
    if form == endpoints_form::WATCH_FAILED {
        instance.endpoint_watch_failed(now);
        return Ok(());
    }
    let listed = lists.get(&number).ok_or(AdapterError::UnknownList(number))?;
    let entries: Vec<Endpoint> = listed
        .iter()
        .map(|listed| Endpoint { server: instance.host.server(listed.upstream), ..listed.entry })
        .collect();
    match form {
        endpoints_form::CHANGED => instance.endpoints_changed(now, &entries),
        form if endpoints_form::COMPLETE.contains(&form) => instance.endpoints_replaced(now, &entries),
        other => return Err(AdapterError::UnknownForm(other)),
    }
    Ok(())
}

/// A query has arrived.
fn query(instance: &mut Instance, now: u64, fields: &mut Reader) -> Result<(), AdapterError> {
    let txn = fields.u32("txn")?;
    let product = usize::from(fields.u8("type")?);
    fields.u8("marks")?;
    let tenant = usize::from(fields.u16("org")?);
    fields.u64("hintNs")?;
    fields.u64("object")?;
    let deadline = fields.u64("deadlineNs")? / NANOS_PER_MICRO;
    let query = instance.host.take(txn);
    instance.query_arrived(now, query, Arrival { product, tenant, deadline, route: None });
    Ok(())
}

/// An execution has begun to run.
fn started(instance: &mut Instance, now: u64, fields: &mut Reader) -> Result<(), AdapterError> {
    let txn = fields.u32("txn")?;
    let execution = usize::from(fields.u8("shot")?);
    fields.bytes("spentNs and upstream", SPENT_AND_UPSTREAM_SIZE)?;
    if let Some(query) = instance.host.query(txn) {
        instance.execution_started(now, query, execution);
    }
    Ok(())
}

/// An execution has ended.
fn completed(instance: &mut Instance, now: u64, fields: &mut Reader) -> Result<(), AdapterError> {
    let txn = fields.u32("txn")?;
    let spent = fields.u64("spentNs")? / NANOS_PER_MICRO;
    fields.upstream()?;
    let execution = usize::from(fields.u8("shot")?);
    let outcome = outcome(fields.u8("stateCode")?)?;
    let over = fields.u8("noMore")? != 0;
    let report = instance.host.report(fields)?;
    if let Some(query) = instance.host.query(txn) {
        let open = instance.host.open_query(query);
        open.executions_in_flight = open.executions_in_flight.saturating_sub(1);
        open.ended |= over;
        instance.execution_ended(
            now,
            query,
            execution,
            ExecutionEnd { outcome, query_answered: over, elapsed_us: spent, report },
        );
        instance.host.release(query);
    }
    Ok(())
}

/// The client has withdrawn a query.
fn withdrawn(instance: &mut Instance, now: u64, fields: &mut Reader) -> Result<(), AdapterError> {
    let txn = fields.u32("txn")?;
    if let Some(query) = instance.host.query(txn) {
        instance.host.open_query(query).ended = true;
        instance.query_withdrawn(now, query);
        instance.host.release(query);
    }
    Ok(())
}

/// A health check was answered or has failed.
fn probe_result(instance: &mut Instance, now: u64, fields: &mut Reader) -> Result<(), AdapterError> {
    let answered = fields.u8("stateCode")? == 0;
    let upstream = fields.upstream()?;
    fields.u64("spentNs")?;
    let report = instance.host.report(fields)?;
    let server = instance.host.server(upstream);
    instance.probe_ended(now, server, answered, report);
    Ok(())
}

/// A message from another balancer, which the decisions do not use.
fn skip_message(fields: &mut Reader) -> Result<(), AdapterError> {
    fields.u32("by")?;
    let size = usize::from(fields.u16("contents")?);
    fields.bytes("contents", size)?;
    Ok(())
}

/// The outcome of an execution by its code on the wire.
fn outcome(code: u8) -> Result<Outcome, AdapterError> {
    Ok(match code {
        0 => Outcome::Completed,
        1 => Outcome::Cancelled,
        4 => Outcome::TimedOut,
        8 => Outcome::Rejected,
        9 => Outcome::NeverSent,
        10 => Outcome::Broken,
        13 => Outcome::Error,
        14 => Outcome::NotConnected,
        other => return Err(AdapterError::UnknownState(other)),
    })
}
