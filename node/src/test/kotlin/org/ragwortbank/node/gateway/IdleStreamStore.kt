package org.ragwortbank.node.gateway

import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.versions.ServiceVersions
import org.ragwortbank.core.versions.StreamRecord
import org.ragwortbank.node.port.LeaseReply
import org.ragwortbank.node.port.StreamRecordReply
import org.ragwortbank.node.port.StreamStore
import org.ragwortbank.node.port.VersionsReply
import kotlin.time.Duration

/** A store that never replies to a write for streams. */
internal object IdleStreamStore : StreamStore {
    override fun saveVersions(
        service: ServiceName,
        versions: ServiceVersions,
        expectedRevision: Long,
        onReply: (VersionsReply) -> Unit,
    ) = Unit

    override fun grantLease(lifetime: Duration, onReply: (LeaseReply) -> Unit) = Unit

    override fun saveStreamRecords(records: List<StreamRecord>, lease: Long, onReply: (StreamRecordReply) -> Unit) =
        Unit
}
