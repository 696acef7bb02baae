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

    /** A request for [tokens] arrives at the entry that [pick], from 0 to 1, falls on; the balancer knows no list. */
    data class Arrive(val pick: Double, val tokens: Long) : FleetEvent

    /** A process starts under [name] at [address]. */
    data class Start(val name: InstanceName, val address: String) : FleetEvent

    /** All processes of [name] end without notice, with their host when [hostLost]. */
    data class Crash(val name: InstanceName, val hostLost: Boolean = false) : FleetEvent

    /** The process at [address] exits. */
    data class Exit(val address: String) : FleetEvent

    /** The process at [address] does nothing for [duration]; what it has just decided on is done afterwards. */
    data class Freeze(val address: String, val duration: Duration) : FleetEvent

    /** The process at [address] is asked to stop gracefully. */
    data class Stop(val address: String) : FleetEvent

    /** The two processes can't reach each other for [duration]. */
    data class Cut(val first: String, val second: String, val duration: Duration) : FleetEvent

    /** The process at [address] can't reach the platform for [duration]. */
    data class Isolate(val address: String, val duration: Duration) : FleetEvent

    /** The key-value service does not answer for [duration]. */
    data class StoreDown(val duration: Duration) : FleetEvent

    /** The key-value service performs writes but does not answer for [duration]. */
    data class StoreLosesAnswers(val duration: Duration) : FleetEvent

    /** The instance list can't be read for [duration]. */
    data class ListDown(val duration: Duration) : FleetEvent

    /** [instance] is on the list from now on. */
    data class Listed(val instance: Instance) : FleetEvent

    /** [name] is off the list from now on. */
    data class Unlisted(val name: InstanceName) : FleetEvent

    /** The operators change the account's agreement. */
    data class Agree(val account: Account) : FleetEvent
}
