package org.ragwortbank.core.serving

import org.ragwortbank.core.crash.CrashTrait
import org.ragwortbank.core.model.FailureDomain
import org.ragwortbank.core.versions.ServiceVersions
import org.ragwortbank.core.versions.StreamRecord
import org.ragwortbank.core.versions.StreamRecordKey

/** A decoded change in the platform's store. */
sealed interface StoreChange {
    /** A new version of the operators' configuration was written. */
    data class ConfigSet(val config: ServingConfig) : StoreChange

    /** The store has no configuration, or one that can't be read: nothing says that the one in force is the newest. */
    data object ConfigUnreadable : StoreChange

    /** An upstream was added to the instance list, or its registration changed. */
    data class UpstreamRegistered(val registration: UpstreamRegistration) : StoreChange

    /** An upstream was removed from the instance list. */
    data class UpstreamRemoved(val id: UpstreamId) : StoreChange

    /** A version of an adapter was declared the newest. */
    data class NewestVersionSet(val adapter: AdapterKey, val version: Long) : StoreChange

    /** Another gateway is listed as a member. */
    data class PeerRegistered(val name: String, val endpoint: Endpoint) : StoreChange

    /** Requests with [trait] are refused, because upstreams crash of them. */
    data class BlockSet(val trait: CrashTrait) : StoreChange

    /** Requests with [trait] may run again. */
    data class BlockLifted(val trait: CrashTrait) : StoreChange

    /**
     * The operators want nothing more sent to the upstreams of [domain].
     *
     * @property isValueReadable whether the item's value, which isn't used, has a form that can be read
     */
    data class DomainEvacuated(val domain: FailureDomain, val isValueReadable: Boolean = true) : StoreChange

    /** Upstreams of [domain] may be used again. */
    data class EvacuationLifted(val domain: FailureDomain) : StoreChange

    /** The software versions of [service] for resumable streams were written at [revision]. */
    data class VersionsSet(val service: ServiceName, val versions: ServiceVersions, val revision: Long) : StoreChange

    /** The store has no software versions of [service]. */
    data class VersionsRemoved(val service: ServiceName) : StoreChange

    /** Streams that begin at an admitted version were recorded. */
    data class StreamsRecorded(val record: StreamRecord) : StoreChange

    /** The record [key] was removed. */
    data class StreamRecordRemoved(val key: StreamRecordKey) : StoreChange

    /** Another gateway is no longer listed as a member. */
    data class PeerRemoved(val name: String) : StoreChange
}
