//! Registration of a daemon in the list of daemons in the store, under a lease.

use std::time::Duration;

use tt_adapter::LeaseId;
use tt_adapter::MemberRecord;
use tt_adapter::Platform;
use tt_adapter::PlatformError;

/// A daemon's record in the list of daemons. The store deletes it if it is not renewed in time.
#[derive(Debug)]
pub struct Registration {
    platform: Platform,
    record: MemberRecord,
    lease: Option<LeaseId>,
}

impl Registration {
    /// A registration that is not written yet: the first [`renew`](Registration::renew) does it.
    pub fn new(platform: Platform, record: MemberRecord) -> Registration {
        Registration { platform, record, lease: None }
    }

    /// Registers the daemon for `ttl`, or renews its lease. If the lease has ended, or the store has
    /// lost it, registers the daemon again.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`] of the store; the next call tries again.
    pub async fn renew(&mut self, ttl: Duration) -> Result<(), PlatformError> {
        if let Some(lease) = self.lease {
            match self.platform.renew_lease(lease).await {
                Err(PlatformError::LeaseEnded | PlatformError::Restored) => self.lease = None,
                result => return result,
            }
        }
        let granted = self.platform.grant_lease(ttl).await?;
        self.platform.put_member(&self.record, granted).await?;
        self.lease = Some(granted);
        Ok(())
    }

    /// Writes the record again under the current lease. Does nothing without one.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; the record may be missing until the next call.
    pub async fn write(&self) -> Result<(), PlatformError> {
        match self.lease {
            Some(lease) => self.platform.put_member(&self.record, lease).await,
            None => Ok(()),
        }
    }

    /// Marks the daemon in the list as leaving.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; the record may be unchanged.
    pub async fn announce_leave(&mut self) -> Result<(), PlatformError> {
        self.record.leaving = true;
        self.write().await
    }

    /// Ends the lease, which removes the daemon from the list.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; the lease then expires by itself.
    pub async fn end(self) -> Result<(), PlatformError> {
        match self.lease {
            Some(lease) => self.platform.revoke_lease(lease).await,
            None => Ok(()),
        }
    }
}
