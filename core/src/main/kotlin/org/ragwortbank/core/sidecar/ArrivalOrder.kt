package org.ragwortbank.core.sidecar

/** First come, first served. */
class ArrivalOrder : QueueOrder {
    override fun order(candidates: List<Run>, tables: SidecarTables): List<Run> = candidates
}
