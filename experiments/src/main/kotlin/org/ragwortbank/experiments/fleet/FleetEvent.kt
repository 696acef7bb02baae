package org.ragwortbank.experiments.fleet

import org.ragwortbank.core.entry.EntryInput
import org.ragwortbank.core.model.Account
import org.ragwortbank.core.model.Instance
import org.ragwortbank.core.model.InstanceName
import kotlin.time.Duration

/** Something that happens to the fleet at a set time. */
sealed interface FleetEvent {
    /** [input] reaches the process at [address], if it still runs. */
    data class Deliver(val address: String, val input: EntryInput) : FleetEvent

    /** The load balancer sends a request for [tokens] to the process at [balancerPosition], from 0 to 1. */
    data class SendRequest(val balancerPosition: Double, val tokens: Long) : FleetEvent

    /** A process starts under [name] at [address]. */
    data class Start(val name: InstanceName, val address: String) : FleetEvent

    /** All processes of [name] end without notice, with their host when [isHostLost]. */
    data class Crash(val name: InstanceName, val isHostLost: Boolean = false) : FleetEvent

    /** The process at [address] exits. */
    data class Exit(val address: String) : FleetEvent

    /** The process at [address] does nothing for [duration]; what it has just decided on is done afterwards. */
    data class Suspend(val address: String, val duration: Duration) : FleetEvent

    /** The process at [address] is asked to stop gracefully. */
    data class RequestStop(val address: String) : FleetEvent

    /** The two processes can't reach each other for [duration]. */
    data class PartitionPair(val first: String, val second: String, val duration: Duration) : FleetEvent

    /** The process at [address] can't reach the platform for [duration]. */
    data class Isolate(val address: String, val duration: Duration) : FleetEvent

    /** The key-value service does not answer for [duration]. */
    data class StoreOutage(val duration: Duration) : FleetEvent

    /** The key-value service performs writes but does not answer for [duration]. */
    data class StoreResponseLoss(val duration: Duration) : FleetEvent

    /** The instance list can't be read for [duration]. */
    data class InstanceListOutage(val duration: Duration) : FleetEvent

    /** [instance] is on the list from now on. */
    data class AddToInstanceList(val instance: Instance) : FleetEvent

    /** [name] is off the list from now on. */
    data class RemoveFromInstanceList(val name: InstanceName) : FleetEvent

    /** The operators change the account's agreement. */
    data class ChangeAgreement(val account: Account) : FleetEvent
}
