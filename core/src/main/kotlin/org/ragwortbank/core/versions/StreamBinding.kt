package org.ragwortbank.core.versions

import org.ragwortbank.core.eligibility.ExclusionReason
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.RequestRow
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.SoftwareVersion
import org.ragwortbank.core.tick.Timestamp

/** To which software versions a request may be sent. */
sealed interface StreamBinding {
    /** Why an upstream of [version], null if it states none, doesn't get the request; null if it may. */
    fun reasonFor(version: SoftwareVersion?): ExclusionReason?

    /** To any: it is no resumable stream, or the upstreams of its service state no versions. */
    data object Free : StreamBinding {
        override fun reasonFor(version: SoftwareVersion?): ExclusionReason? = null
    }

    /** To upstreams of [version] only. */
    data class Bound(val version: SoftwareVersion) : StreamBinding {
        override fun reasonFor(version: SoftwareVersion?): ExclusionReason? =
            ExclusionReason.OTHER_VERSION.takeIf { version != this.version }
    }

    /** To those at which streams may begin now: [open]. */
    data class Beginning(val open: Set<SoftwareVersion>) : StreamBinding {
        override fun reasonFor(version: SoftwareVersion?): ExclusionReason? =
            when (version) {
                null -> ExclusionReason.OTHER_VERSION
                in open -> null
                else -> ExclusionReason.VERSION_UNDECIDED
            }
    }

    /** To none yet: it isn't known which version began the stream that the request takes up. */
    data object Undecided : StreamBinding {
        override fun reasonFor(version: SoftwareVersion?): ExclusionReason =
            if (version == null) ExclusionReason.OTHER_VERSION else ExclusionReason.VERSION_UNDECIDED
    }
}

/** To which software versions [request] may be sent at [now]. */
internal fun GatewayTables.bindingOf(request: RequestRow, now: Timestamp): StreamBinding =
    when {
        request.version != null -> StreamBinding.Bound(request.version)
        !request.route.isResumableStream || !hasVersions(request.service) -> StreamBinding.Free
        request.isTakeUp -> StreamBinding.Undecided
        else -> StreamBinding.Beginning(openVersions(request.service, now))
    }

/** Whether the resumable streams of [service] stay at a software version. */
internal fun GatewayTables.hasVersions(service: ServiceName): Boolean =
    streamVersions.services[service]?.latest != null ||
        upstreamsByService[service].orEmpty().any { upstreams[it]?.registration?.version != null }

/** The versions of [service] at which this gateway may begin streams at [now]. */
internal fun GatewayTables.openVersions(service: ServiceName, now: Timestamp): Set<SoftwareVersion> {
    val row = streamVersions.services[service]
    val versions = row?.stored
    val age = streamVersions.storeReadAt?.let { now - it }
    if (versions == null || age == null) return emptySet()
    val base = setOf(versions.base).filter { age <= VersionTimes.BASE_LEASE }
    val admitted = row.admittedAt.filterValues {
        age <= VersionTimes.STREAM_LEASE && now - it >= VersionTimes.STREAM_LEASE + VersionTimes.MARGIN
    }
    return base.toSet() + admitted.keys.filter { it != versions.base }
}

/** Whether no listed upstream of the version that [request] is bound to takes requests. */
internal fun GatewayTables.isVersionGone(request: RequestRow): Boolean =
    upstreamsByService[request.service].orEmpty().none { id ->
        upstreams[id]?.let { it.isAccepting && it.registration.version == request.version } ?: false
    }
