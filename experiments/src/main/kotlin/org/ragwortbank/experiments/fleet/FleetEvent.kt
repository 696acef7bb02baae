package org.ragwortbank.experiments.fleet

import org.ragwortbank.core.entry.EntryInput
import org.ragwortbank.core.model.Account
import org.ragwortbank.core.model.Instance
import org.ragwortbank.core.model.InstanceName
import kotlin.time.Duration

/** An event that happens to the fleet at a scheduled time. */
sealed interface FleetEvent {
    /** [input] reaches the process at [address], if that still runs. */
    data class Deliver(val address: String, val input: EntryInput) : FleetEvent

    /**
     * The load balancer sends a request for [tokens] to the process at [balancerPosition], from 0 to 1.
     *
     * The balancer does not read the instance list, so it also selects processes that are not listed.
     */
    data class SendRequest(val balancerPosition: Double, val tokens: Long) : FleetEvent

    /** A process starts under [name] at [address]. */
    data class Start(val name: InstanceName, val address: String) : FleetEvent

    /** All processes of [name] crash, together with their host if [isHostLost]. */
    data class Crash(val name: InstanceName, val isHostLost: Boolean = false) : FleetEvent

    /** The process at [address] exits. */
    data class Exit(val address: String) : FleetEvent

    /** The process at [address] is suspended for [duration]; effects already decided on are performed afterwards. */
    data class Suspend(val address: String, val duration: Duration) : FleetEvent

    /** The process at [address] is asked to stop gracefully. */
    data class RequestStop(val address: String) : FleetEvent

    /** The two processes can't exchange messages for [duration]. */
    data class PartitionPair(val first: String, val second: String, val duration: Duration) : FleetEvent

    /** The process at [address] can't reach the platform for [duration]. */
    data class Isolate(val address: String, val duration: Duration) : FleetEvent

    /** The key-value service does not answer for [duration]. */
    data class StoreOutage(val duration: Duration) : FleetEvent

    /** The key-value service performs writes but its responses are lost for [duration]. */
    data class StoreResponseLoss(val duration: Duration) : FleetEvent

    /** The instance list can't be read for [duration]. */
    data class InstanceListOutage(val duration: Duration) : FleetEvent

    /** [instance] is added to the instance list. */
    data class AddToInstanceList(val instance: Instance) : FleetEvent

    /** The instance [name] is removed from the instance list. */
    data class RemoveFromInstanceList(val name: InstanceName) : FleetEvent

    /** The operators change the account's agreement. */
    data class ChangeAgreement(val account: Account) : FleetEvent
}
