package org.ragwortbank.core.serving

/** A change of what the platform's store holds, already decoded. */
sealed interface StoreChange {
    /** A configuration is in force. */
    data class ConfigSet(val config: ServingConfig) : StoreChange

    /** An upstream described itself. */
    data class UpstreamRegistered(val registration: UpstreamRegistration) : StoreChange

    /** An upstream's entry was removed. */
    data class UpstreamRemoved(val id: UpstreamId) : StoreChange

    /** A version of an adapter was named as the newest. */
    data class NewestVersionSet(val adapter: AdapterKey, val version: Long) : StoreChange

    /** Another entry process is a member. */
    data class PeerRegistered(val name: String, val endpoint: Endpoint) : StoreChange

    /** Another entry process is no member any more. */
    data class PeerRemoved(val name: String) : StoreChange
}
