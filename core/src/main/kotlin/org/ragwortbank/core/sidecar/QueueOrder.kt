package org.ragwortbank.core.sidecar

/** Decides in which order waiting runs start. */
fun interface QueueOrder {
    /** Sorts [candidates], waiting runs in order of arrival, into the order in which they should start. */
    fun sort(candidates: List<Run>, tables: SidecarTables): List<Run>
}
