package org.ragwortbank.experiments.fleet

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.log.LogLine
import org.ragwortbank.core.model.Account
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.tick.Timestamp

/** Something that was seen from outside of the fleet. */
sealed interface FleetRecord {
    /** When it was seen. */
    val at: Timestamp

    /** A request was sent to an upstream for the first time. */
    data class Admitted(override val at: Timestamp, val tokens: Long, val address: String) : FleetRecord

    /** A request was refused. */
    data class Refused(override val at: Timestamp, val code: ResultCode) : FleetRecord

    /** A request arrived. */
    data class Offered(override val at: Timestamp, val tokens: Long) : FleetRecord

    /** The process at [address] wrote a line to its log. */
    data class Logged(override val at: Timestamp, val address: String, val line: LogLine) : FleetRecord

    /** The key-value service does not answer until [until]. */
    data class StoreSilent(override val at: Timestamp, val until: Timestamp) : FleetRecord

    /** The operators changed the agreement. */
    data class Agreed(override val at: Timestamp, val account: Account) : FleetRecord
}

/** All records of one run, in order. */
data class FleetHistory(val records: PersistentList<FleetRecord> = persistentListOf()) {
    /** The history with [record] at its end. */
    fun add(record: FleetRecord): FleetHistory = FleetHistory(records.add(record))

    /** The records of one kind. */
    inline fun <reified T : FleetRecord> recordsOf(): List<T> = records.filterIsInstance<T>()
}
