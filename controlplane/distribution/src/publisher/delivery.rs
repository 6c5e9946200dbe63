//! Tracks the delivery of one section to one subscriber: the versions sent and acknowledged, and the time of
//! a resend.

/// The time without an acknowledgement after which a section is first sent again, in milliseconds.
const FIRST_RESEND_AFTER_MS: u64 = 1_000;
/// The maximum time between two resends, in milliseconds. Each resend doubles the time until this maximum.
const MAX_RESEND_AFTER_MS: u64 = 8_000;

/// The delivery of a section on the current connection.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Delivery {
    last_sent: Option<SentVersion>,
    /// The version that was last acknowledged on this connection.
    acknowledged: Option<u64>,
}

/// The version that was last sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentVersion {
    /// The first version that was sent on this connection.
    first_version: u64,
    pub(super) version: u64,
    /// The time at which the oldest unacknowledged version was sent.
    pub(super) waiting_since_ms: u64,
    resend_at_ms: u64,
    resend_after_ms: u64,
}

impl Delivery {
    /// Whether any version was sent on this connection.
    pub(super) fn has_been_sent(&self) -> bool {
        self.last_sent.is_some()
    }

    /// Returns the version that was last sent, if it is not acknowledged.
    pub(super) fn unacknowledged(&self) -> Option<SentVersion> {
        self.last_sent.filter(|sent| self.acknowledged != Some(sent.version))
    }

    /// Returns the version that the subscriber has or will receive next: the version that was last sent,
    /// unless its acknowledgement is overdue. A connection delivers in order, so this version arrives before
    /// changes based on it.
    pub(super) fn assumed_version(&self, now: u64) -> Option<u64> {
        let is_overdue =
            self.unacknowledged().is_some_and(|sent| now >= sent.waiting_since_ms + FIRST_RESEND_AFTER_MS);
        self.last_sent.filter(|_| !is_overdue).map(|sent| sent.version)
    }

    /// Returns whether a version has to be sent now, and if so, records it as sent.
    pub(super) fn mark_sent_if_due(&mut self, now: u64, version: u64) -> bool {
        let Some(sent) = self.last_sent else {
            self.last_sent = Some(SentVersion::first(now, version));
            return true;
        };
        let is_unacknowledged = self.unacknowledged().is_some();
        if sent.version != version {
            let waiting_since_ms = if is_unacknowledged { sent.waiting_since_ms } else { now };
            let first_version = sent.first_version;
            self.last_sent =
                Some(SentVersion { first_version, waiting_since_ms, ..SentVersion::first(now, version) });
            return true;
        }
        if !is_unacknowledged || now < sent.resend_at_ms {
            return false;
        }
        let resend_after_ms = (2 * sent.resend_after_ms).min(MAX_RESEND_AFTER_MS);
        self.last_sent = Some(SentVersion { resend_at_ms: now + resend_after_ms, resend_after_ms, ..sent });
        true
    }

    /// Records an acknowledgement. A version that was not sent on this connection belongs to another
    /// controller and is ignored.
    pub(super) fn acknowledge(&mut self, now: u64, applied: u64) {
        let Some(sent) = &mut self.last_sent else { return };
        if !(sent.first_version..=sent.version).contains(&applied) || self.acknowledged == Some(applied) {
            return;
        }
        self.acknowledged = Some(applied);
        sent.waiting_since_ms = now;
    }
}

impl SentVersion {
    fn first(now: u64, version: u64) -> SentVersion {
        SentVersion {
            first_version: version,
            version,
            waiting_since_ms: now,
            resend_at_ms: now + FIRST_RESEND_AFTER_MS,
            resend_after_ms: FIRST_RESEND_AFTER_MS,
        }
    }
}
