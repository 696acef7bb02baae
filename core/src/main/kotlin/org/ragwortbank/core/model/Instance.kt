package org.ragwortbank.core.model

/**
 * A row of the platform's instance list.
 *
 * @property peerAddress `host:port` at which the instance accepts connections of other processes of the system
 * @property adminAddress `host:port` of its health, metrics and status pages
 * @property isLeaving whether the instance is leaving the fleet and gets no new requests
 */
data class Instance(
    val name: InstanceName,
    val role: InstanceRole,
    val peerAddress: String,
    val adminAddress: String,
    val failureDomain: FailureDomain,
    val isLeaving: Boolean = false,
)
