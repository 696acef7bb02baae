package org.ragwortbank.clients.upstream

import kotlinx.collections.immutable.PersistentSet
import org.ragwortbank.core.message.SidecarCommand
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.sidecar.LoadFailure

/** A sidecar's client of its upstream. */
interface UpstreamClient {
    /** Runs [command]; closing the returned handle cancels the run. */
    fun run(command: SidecarCommand.Dispatch, listener: RunListener): AutoCloseable

    /** Adapters resident at the upstream; null when it does not answer. */
    suspend fun residentAdapters(): PersistentSet<AdapterRef>?

    /** Commands the upstream to load [adapter]; null when it is now resident. */
    suspend fun load(adapter: AdapterRef, fencingToken: Long): LoadFailure?

    /** Commands the upstream to unload [adapter]; returns whether it confirmed this. */
    suspend fun unload(adapter: AdapterRef, fencingToken: Long): Boolean
}
