//! An item that is to be run, and its request.

use amaranth_kernel::memory_budget::{MemoryUse, SMALL_BYTES};
use amaranth_wire::batch_entry::{BlobRef, ItemRequest, PartialOutput, SubmittedItem};
use amaranth_wire::caller_identity::CallerIdentity;
use amaranth_wire::id::{ConfigRevision, JobId};
use bytes::Bytes;

use crate::batch::item_context::ItemContext;
use crate::batch::job_reader::read_request;
use crate::memory_account::MemoryGuard;

/// Result of loading a request, with the reason for a failure.
pub type Result<T> = std::result::Result<T, String>;

/// An item to be run on this instance.
pub struct PendingItem {
    /// Job that the item belongs to.
    pub job: JobId,
    /// The item as its job's entry has it.
    pub item: SubmittedItem,
    /// Index of the item in its job.
    pub index: usize,
    /// Blob with the bodies of the job's items.
    pub bodies: BlobRef,
    /// Host of the route.
    pub host: String,
    /// Path that the job was sent to.
    pub path: String,
    /// When the job was received, in milliseconds of Unix time.
    pub received_ms: u64,
    /// Configuration that the job was received under. An older one must not decide about the item.
    pub revision: ConfigRevision,
    /// Who submitted the job.
    pub caller: CallerIdentity,
    /// Output of an earlier run, if one was saved.
    pub saved_output: Option<PartialOutput>,
}

/// The request of an item, accounted for while it is kept.
pub struct LoadedRequest {
    /// The request without its body.
    pub request: ItemRequest,
    /// Its body.
    pub body: Bytes,
    guard: MemoryGuard,
}

impl LoadedRequest {
    /// Reads the request of an item from the log; an error with the reason if that fails, or if there is no
    /// memory for its body.
    pub async fn load(context: &ItemContext, pending: &PendingItem) -> Result<Self> {
        let (bodies, index) = (&pending.bodies, pending.index);
        let mut request = read_request(&context.blobs, bodies, index, &pending.item).await?;
        let body = Bytes::from(std::mem::take(&mut request.body).into_vec());
        let mut guard = context.account.guard(MemoryUse::Item);
        guard.resize(body.len()).map_err(|over| over.to_string())?;
        Ok(Self {
            request,
            body,
            guard,
        })
    }

    /// Whether the body is too large to be kept while the item waits.
    pub fn is_large(&self) -> bool {
        self.guard.bytes() > SMALL_BYTES
    }
}
