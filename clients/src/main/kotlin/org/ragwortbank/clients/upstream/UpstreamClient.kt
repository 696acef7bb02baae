package org.ragwortbank.clients.upstream

import kotlinx.collections.immutable.PersistentSet
import org.ragwortbank.core.message.SidecarCommand
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.sidecar.LoadFailure

/** What a sidecar can ask of its upstream. */
interface UpstreamClient {
    /** Runs [command]; closing the returned handle breaks the run off. */
    fun run(command: SidecarCommand.Dispatch, listener: RunListener): AutoCloseable

    /** The adapters that the upstream holds; null when it does not answer. */
    suspend fun residentAdapters(): PersistentSet<AdapterRef>?

    /** Orders the upstream to load [adapter]; null when it holds it now. */
    suspend fun load(adapter: AdapterRef, fencingToken: Long): LoadFailure?

    /** Orders the upstream to drop [adapter] and tells whether it did. */
    suspend fun unload(adapter: AdapterRef, fencingToken: Long): Boolean
}
