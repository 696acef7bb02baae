package org.ragwortbank.core.model

/**
 * A row of the platform's instance list.
 *
 * @property peerAddress `host:port` at which the instance accepts links of other processes of the system
 * @property adminAddress `host:port` of its health, metrics and status pages
 */
data class Instance(
    val name: InstanceName,
    val role: InstanceRole,
    val peerAddress: String,
    val adminAddress: String,
    val failureDomain: FailureDomain,
    val isLeaving: Boolean = false,
)
