package org.ragwortbank.core.sidecar

/** Decides which waiting run comes next. */
fun interface QueueOrder {
    /** The runs of [candidates] in the order in which they should start. */
    fun sort(candidates: List<Run>, tables: SidecarTables): List<Run>
}
