package org.ragwortbank.core.serving

/** A change of what the platform's store holds, already decoded. */
sealed interface StoreChange {
    /** A configuration is in force. */
    data class ConfigSet(val config: ServingConfig) : StoreChange

    /** An upstream described itself. */
    data class UpstreamSeen(val entry: UpstreamRegistration) : StoreChange

    /** An upstream's entry was removed. */
    data class UpstreamGone(val id: UpstreamId) : StoreChange

    /** A version of an adapter was named as the newest. */
    data class VersionNamed(val adapter: AdapterKey, val version: Long) : StoreChange

    /** Another entry process is a member. */
    data class PeerSeen(val name: String, val endpoint: Endpoint) : StoreChange

    /** Another entry process is no member any more. */
    data class PeerGone(val name: String) : StoreChange
}
