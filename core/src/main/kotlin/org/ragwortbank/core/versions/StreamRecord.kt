package org.ragwortbank.core.versions

import kotlinx.collections.immutable.PersistentSet
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.SoftwareVersion
import org.ragwortbank.core.serving.StreamId

/** Identifies a record in the store: the gateway that wrote it and its number there. */
data class StreamRecordKey(
    val gateway: String,
    val incarnation: Long,
    val number: Long,
)

/** Streams of [service] that begin at [version], which isn't the base version of the service. */
data class StreamRecord(
    val key: StreamRecordKey,
    val service: ServiceName,
    val version: SoftwareVersion,
    val streams: PersistentSet<StreamId>,
)
