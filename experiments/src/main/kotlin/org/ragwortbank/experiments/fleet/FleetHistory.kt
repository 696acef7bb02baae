package org.ragwortbank.experiments.fleet

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.log.LogLine
import org.ragwortbank.core.model.Account
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.tick.Timestamp

/** An observation of the fleet from outside. The --trace option prints records under these names. */
sealed interface FleetRecord {
    /** The time of the observation. */
    val at: Timestamp

    /** A request was sent to an upstream for the first time. */
    data class Admitted(override val at: Timestamp, val tokens: Long, val address: String) : FleetRecord

    /** A request was refused. */
    data class Refused(override val at: Timestamp, val code: ResultCode) : FleetRecord

    /** A request arrived. */
    data class Offered(override val at: Timestamp, val tokens: Long) : FleetRecord

    /** The process at [address] wrote a line to its log. */
    data class Logged(override val at: Timestamp, val address: String, val line: LogLine) : FleetRecord

    /** The key-value service is unresponsive until [until]. */
    data class StoreSilent(override val at: Timestamp, val until: Timestamp) : FleetRecord

    /** The operators set the agreement to [account]. */
    data class Agreed(override val at: Timestamp, val account: Account) : FleetRecord
}

/** All records of one run, in the order in which they were made. */
data class FleetHistory(val records: PersistentList<FleetRecord> = persistentListOf()) {
    /** The history with [record] appended. */
    fun add(record: FleetRecord): FleetHistory = FleetHistory(records.add(record))

    /** The records of type [T], in order. */
    inline fun <reified T : FleetRecord> recordsOf(): List<T> = records.filterIsInstance<T>()
}
