package org.ragwortbank.clients.instances

import kotlinx.serialization.Serializable
import org.ragwortbank.core.model.FailureDomain
import org.ragwortbank.core.model.Instance
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.model.InstanceRole

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
) {
    /** The instance of this entry; null without a name or a known role. One that isn't live counts as leaving. */
    internal fun toInstance(): Instance? {
        val knownRole = roles[role]
        if (name.isBlank() || knownRole == null) return null
        return Instance(
            name = InstanceName(name),
            role = knownRole,
            peerAddress = address,
            adminAddress = admin,
            failureDomain = FailureDomain(domain),
            isLeaving = state != LIVE,
        )
    }
}

private const val LIVE = "live"
private val roles = mapOf("entry" to InstanceRole.ENTRY, "sidecar" to InstanceRole.SIDECAR)
