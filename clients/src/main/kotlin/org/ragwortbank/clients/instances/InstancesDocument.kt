package org.ragwortbank.clients.instances

import kotlinx.serialization.Serializable

/** The instance list as the platform publishes it. */
@Serializable
data class InstancesDocument(
    val instances: List<InstanceDocument>,
)

/**
 * One instance.
 *
 * @property role `entry` or `sidecar`
 * @property address address at which the process accepts connections of other processes of the system
 * @property admin address at which it serves health, metrics and status
 * @property state `live` or `leaving`
 */
@Serializable
data class InstanceDocument(
    val name: String,
    val role: String,
    val address: String,
    val admin: String,
    val domain: String,
    val state: String = "live",
)
