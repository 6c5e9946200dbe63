//! The delivery of one section to one subscriber: what was sent, acknowledged, and is to be sent again.

/// A section that has not been acknowledged for this long is sent again, in milliseconds.
const RESEND_MS: u64 = 1_000;
/// Each repetition doubles the wait, up to this, in milliseconds.
const MAX_RESEND_MS: u64 = 8_000;

/// The delivery of a section on the present connection.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Delivery {
    sent: Option<SentVersion>,
    /// The newest version of this connection that was acknowledged.
    acknowledged: Option<u64>,
}

/// The version that was sent last.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentVersion {
    /// The first version that was sent on this connection.
    first_version: u64,
    pub(super) version: u64,
    /// When the oldest unacknowledged version was sent.
    pub(super) waiting_since: u64,
    resend_at: u64,
    resend_after_ms: u64,
}

impl Delivery {
    /// Whether any version was sent on this connection.
    pub(super) fn has_been_sent(&self) -> bool {
        self.sent.is_some()
    }

    /// The version that was sent last, if it has not been acknowledged.
    pub(super) fn unacknowledged(&self) -> Option<SentVersion> {
        self.sent.filter(|sent| self.acknowledged != Some(sent.version))
    }

    /// The version that the subscriber has or is about to have: the one sent last, unless its acknowledgement is overdue.
    /// A connection keeps the order, so that version arrives before changes that build on it.
    pub(super) fn assumed_version(&self, now: u64) -> Option<u64> {
        let is_overdue = self.unacknowledged().is_some_and(|sent| now >= sent.waiting_since + RESEND_MS);
        self.sent.filter(|_| !is_overdue).map(|sent| sent.version)
    }

    /// Whether a version is to be sent now; if so, it is recorded as sent.
    pub(super) fn begin_if_due(&mut self, now: u64, version: u64) -> bool {
        let Some(sent) = self.sent else {
            self.sent = Some(SentVersion::first(now, version));
            return true;
        };
        let is_unacknowledged = self.unacknowledged().is_some();
        if sent.version != version {
            let waiting_since = if is_unacknowledged { sent.waiting_since } else { now };
            let first_version = sent.first_version;
            self.sent =
                Some(SentVersion { first_version, waiting_since, ..SentVersion::first(now, version) });
            return true;
        }
        if !is_unacknowledged || now < sent.resend_at {
            return false;
        }
        let resend_after_ms = (2 * sent.resend_after_ms).min(MAX_RESEND_MS);
        self.sent = Some(SentVersion { resend_at: now + resend_after_ms, resend_after_ms, ..sent });
        true
    }

    /// Records an acknowledgement. A version that was never sent on this connection is another controller's, and ignored.
    pub(super) fn acknowledge(&mut self, now: u64, applied: u64) {
        let Some(sent) = &mut self.sent else { return };
        if !(sent.first_version..=sent.version).contains(&applied) || self.acknowledged == Some(applied) {
            return;
        }
        self.acknowledged = Some(applied);
        sent.waiting_since = now;
    }
}

impl SentVersion {
    fn first(now: u64, version: u64) -> SentVersion {
        SentVersion {
            first_version: version,
            version,
            waiting_since: now,
            resend_at: now + RESEND_MS,
            resend_after_ms: RESEND_MS,
        }
    }
}
