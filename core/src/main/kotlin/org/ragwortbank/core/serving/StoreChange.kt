package org.ragwortbank.core.serving

import org.ragwortbank.core.crash.CrashTrait
import org.ragwortbank.core.model.FailureDomain

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

    /** Another gateway is no longer listed as a member. */
    data class PeerRemoved(val name: String) : StoreChange
}
